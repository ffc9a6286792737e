package overload

import "time"

const (
	// maxWaitDivisor bounds the wait of a rejected caller: its remaining time divided by
	// maxWaitDivisor. A caller that should wait for longer doesn't wait at all.
	maxWaitDivisor = 3
	// minWait is the shortest wait. A caller that comes back at once finds the same state.
	minWait = 20 * time.Millisecond
	// early and late bound when a caller counts as back as told, before and after its time.
	early = 15 * time.Millisecond
	late  = 250 * time.Millisecond
	// maxTickets bounds the callers that are expected back at one entry instance.
	maxTickets = 4096
	// goldenRatio spreads consecutive numbers evenly over an interval.
	goldenRatio = 0.6180339887498949
)

// Key identifies a caller's request: a digest of its customer, method, path and body.
type Key [16]byte

// Returns tells rejected callers when to come back, and recognises those that do. Callers
// may come back at any entry instance, so that only those that come to the same one are
// recognised.
type Returns struct {
	spread float64
	due    map[Key]time.Time
	order  []Key // order lists due, the oldest first.
}

// NewReturns returns Returns that expect nobody. The phase, from 0 to 1, should differ
// between entry instances.
func NewReturns(phase float64) *Returns {
	return &Returns{spread: phase, due: make(map[Key]time.Time)}
}

// Reject returns how long a rejected caller should wait, given the admitted fraction of its
// requests and the time for which it waits for an answer. Of callers that are rejected
// together, the more urgent ones are told to come back earlier and the others are spread
// over the time in which capacity for all of them is expected.
func (rt *Returns) Reject(now time.Time, key Key, class Class, fraction float64, remaining time.Duration) time.Duration {
	longest := max(minWait, remaining/maxWaitDivisor)
	rt.spread += goldenRatio
	rt.spread -= float64(int(rt.spread))
	// Of the span, class 0 uses the first third, and the last class up to the end. With a
	// higher admitted fraction there is capacity sooner.
	end := (1 + 2*float64(class)/(NumClasses-1)) / 3 * (1 - fraction/2)
	wait := minWait + time.Duration(float64(longest-minWait)*end*rt.spread)
	rt.expect(now, key, now.Add(wait))
	return wait
}

// expect records that a caller was told to come back at a time.
func (rt *Returns) expect(now time.Time, key Key, at time.Time) {
	for len(rt.order) > 0 {
		oldest := rt.order[0]
		if len(rt.order) < maxTickets && now.Before(rt.due[oldest].Add(late)) {
			break
		}
		delete(rt.due, oldest)
		rt.order = rt.order[1:]
	}
	if _, ok := rt.due[key]; !ok {
		rt.order = append(rt.order, key)
	}
	rt.due[key] = at
}

// Returned reports whether a caller has come back as told. It is reported once. A caller
// that comes early gets no preference, and must come back as it was told first.
func (rt *Returns) Returned(now time.Time, key Key) bool {
	at, ok := rt.due[key]
	if !ok || now.Before(at.Add(-early)) || !now.Before(at.Add(late)) {
		return false
	}
	rt.due[key] = time.Time{} // It leaves the table with its turn in order.
	return true
}
