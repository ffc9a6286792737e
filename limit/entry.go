package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamwinch.example/operator"
)

// serverEntry guards one Server and tracks its requests in flight.
type serverEntry struct {
	mu       sync.Mutex
	se       Server
	inFlight []sentRequest // ordered by time of sending
	lastID   uint64
	rn       *rand.Rand
	groups   []*group // groups of the services that select the server
	waiters  []*Waiter
}

// sentRequest is a request that is running or may still be running.
type sentRequest struct {
	id        uint64
	sentAt    time.Time
	heldUntil time.Time // when a held slot is freed without confirmation; zero unless held
	probe     bool
}

// availability tells on which terms a server takes one more request. Higher
// values are preferred.
type availability uint8

const (
	unavailable availability = iota // takes none: it is leaving, or this instance may not connect to it
	full                            // has no capacity now
	lastResort                      // fails or is stuck; takes one only if no other server ever will
	degraded                        // ejected as slow; takes one at a time if the others are full
	available                       // has capacity
	probeDue                        // ejected and due for a probe
)

// availability returns on which terms the server takes one more request now.
func (se Server) availability(now time.Time) availability {
	if se.maxConnections == 0 || se.inFlight >= se.maxConnections {
		return se.unavailableOrFull()
	}
	switch se.state {
	case StateCold, StateServing:
		return se.availableOrFull(now)
	case StateEjected, StateProbing:
		if !se.probing && !now.Before(se.nextProbe) {
			return probeDue
		}
		switch {
		case se.inFlight > 0:
			return full
		case se.reason == Slow:
			return degraded
		default:
			return lastResort
		}
	default:
		return unavailable
	}
}

// availabilityFor returns the availability under the given tactics. The baseline
// uses any server that has capacity in its equal static share of the slots,
// whatever was learned about it.
func (se Server) availabilityFor(now time.Time, tactics operator.Tactics) availability {
	if tactics != operator.Baseline {
		return se.availability(now)
	}
	if av := se.unavailableOrFull(); av == unavailable || se.inFlight >= se.staticShare() {
		return av
	}
	return available
}

func (se Server) unavailableOrFull() availability {
	if se.maxConnections == 0 || se.state == StateDraining || se.state == StateGone {
		return unavailable
	}
	return full
}

func (se Server) availableOrFull(now time.Time) availability {
	switch {
	case se.inFlight+se.held >= se.maxInFlight() || se.sendDelay(now) > 0:
		return full
	case se.stuck(now):
		return lastResort
	default:
		return available
	}
}

// current returns the server after freeing slots that were held for too long.
func (en *serverEntry) current(now time.Time) Server {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.releaseExpired(now)
	return en.se
}

// evaluate returns the server's availability and its score.
func (en *serverEntry) evaluate(now time.Time, tactics operator.Tactics) (availability, float64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.releaseExpired(now)
	av := en.se.availabilityFor(now, tactics)
	if av < lastResort || tactics == operator.Baseline {
		return av, 0
	}
	return av, en.se.score(now)
}

// reserve records a request to the server if its availability is unchanged. It
// returns the request's ID and this instance's share of the connections.
func (en *serverEntry) reserve(now time.Time, tactics operator.Tactics, av availability) (id uint64, connections int, ok bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.se.availabilityFor(now, tactics) != av {
		return 0, 0, false
	}
	en.addRequest(now, av == probeDue)
	return en.lastID, en.se.maxConnections, true
}

func (en *serverEntry) addRequest(now time.Time, probe bool) {
	en.lastID++
	en.inFlight = append(en.inFlight, sentRequest{id: en.lastID, sentAt: now, probe: probe})
	en.se = en.se.Step(Sent{Now: now, Oldest: en.inFlight[0].sentAt, Probe: probe})
}

// finish ends a request. Its slot stays taken until heldUntil without
// confirmation, or is freed if that is zero. finish returns the server, and
// false if the request is unknown or has already ended.
func (en *serverEntry) finish(now time.Time, id uint64, oc Outcome, heldUntil time.Time) (Server, bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	ix := en.find(id)
	if ix < 0 || !en.inFlight[ix].heldUntil.IsZero() {
		return en.se, false
	}
	defer en.notifyWaiter()
	rq := en.inFlight[ix]
	held := !heldUntil.IsZero()
	if held {
		en.inFlight[ix].heldUntil = heldUntil
	} else {
		en.remove(ix)
	}
	en.se = en.se.Step(Ended{
		Now: now, Outcome: oc, Oldest: en.oldestSent(), Probe: rq.probe, Held: held, Random: en.rn.Float64(),
	})
	return en.se, true
}

// releaseSlot frees the slot of a held request.
func (en *serverEntry) releaseSlot(id uint64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if ix := en.find(id); ix >= 0 && !en.inFlight[ix].heldUntil.IsZero() {
		en.release(ix)
	}
}

func (en *serverEntry) releaseExpired(now time.Time) {
	if en.se.held == 0 {
		return
	}
	for ix := len(en.inFlight) - 1; ix >= 0; ix-- {
		if un := en.inFlight[ix].heldUntil; !un.IsZero() && !now.Before(un) {
			en.release(ix)
		}
	}
}

func (en *serverEntry) release(ix int) {
	en.remove(ix)
	defer en.notifyWaiter()
	en.se = en.se.Step(SlotReleased{Oldest: en.oldestSent()})
}

func (en *serverEntry) find(id uint64) int {
	for ix := range en.inFlight {
		if en.inFlight[ix].id == id {
			return ix
		}
	}
	return -1
}

func (en *serverEntry) remove(ix int) {
	en.inFlight = append(en.inFlight[:ix], en.inFlight[ix+1:]...)
}

func (en *serverEntry) oldestSent() time.Time {
	if len(en.inFlight) == 0 {
		return time.Time{}
	}
	return en.inFlight[0].sentAt
}

// step applies an event that doesn't come from a request.
func (en *serverEntry) step(ev Event) {
	en.mu.Lock()
	defer en.mu.Unlock()
	before := en.se.incarnation
	en.se = en.se.Step(ev)
	if en.se.incarnation != before {
		en.inFlight = en.inFlight[:0]
	}
}

// applyComparison applies the result of a comparison.
func (en *serverEntry) applyComparison(ev Compared) {
	en.mu.Lock()
	defer en.mu.Unlock()
	ev.Random = en.rn.Float64()
	en.se = en.se.Step(ev)
}

// setGroups replaces the groups that the server belongs to.
func (en *serverEntry) setGroups(groups []*group) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.groups = groups
}

// loadGroups returns the groups that the server belongs to.
func (en *serverEntry) loadGroups() []*group {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.groups
}
