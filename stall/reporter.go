package stall

import "time"

// maxReported bounds the observations that wait in a Reporter; more are dropped. A query
// meets a few stalled servers at a time.
const maxReported = 64

// reportRate bounds the observations that are sent in a second in the long run, and
// maxReported those at once: an observation has 50 bytes and goes to two control instances.
// At usual load an instance sends one every second or two.
const reportRate = 20

// Reporter collects the observations of an entry instance until they are sent. It is not
// safe for concurrent use.
type Reporter struct {
	waiting []waiting
	allowed float64 // observations that may be added at the time addedAt
	addedAt time.Duration
}

// waiting is an observation that has not been sent. Its ages are computed when it is sent.
type waiting struct {
	ob                Observation
	sent, ended, seen time.Duration
}

// NewReporter returns a Reporter without observations.
func NewReporter() *Reporter { return &Reporter{allowed: maxReported} }

// Stuck records a request in flight that is stuck.
func (rp *Reporter) Stuck(at time.Duration, se Server, sent time.Duration) {
	rp.add(waiting{ob: Observation{ID: se.ID, Born: se.Born, Group: se.Group, Kind: Stuck}, sent: sent, seen: at})
}

// Ended records the end of a request: one that was stuck (Answered, Abandoned) or Quick.
// If the request still waits here as Stuck, only its end is sent.
func (rp *Reporter) Ended(at time.Duration, se Server, sent time.Duration, ki Kind) {
	ended := waiting{ob: Observation{ID: se.ID, Born: se.Born, Group: se.Group, Kind: ki}, sent: sent, ended: at, seen: at}
	for ix, wa := range rp.waiting {
		if wa.ob.Kind == Stuck && wa.ob.ID == se.ID && wa.sent == sent {
			rp.waiting[ix] = ended
			return
		}
	}
	rp.add(ended)
}

func (rp *Reporter) add(wa waiting) {
	rp.allowed = min(maxReported, rp.allowed+reportRate*(wa.seen-rp.addedAt).Seconds())
	rp.addedAt = wa.seen
	if rp.allowed >= 1 && len(rp.waiting) < maxReported {
		rp.allowed--
		rp.waiting = append(rp.waiting, wa)
	}
}

// Len returns the number of observations that wait.
func (rp *Reporter) Len() int { return len(rp.waiting) }

// Drop drops the observations that wait, because the process stood still.
func (rp *Reporter) Drop() { rp.waiting = nil }

// Take returns the observations that wait and removes them. Those that have waited for
// MaxNewsAge are left out.
func (rp *Reporter) Take(at time.Duration) []Observation {
	var out []Observation
	for _, wa := range rp.waiting {
		if at-wa.seen >= MaxNewsAge {
			continue
		}
		ob := wa.ob
		ob.AgeMillis = millis(at - wa.sent)
		if ob.Kind != Stuck {
			ob.EndMillis = millis(at - wa.ended)
		}
		out = append(out, ob)
	}
	rp.waiting = rp.waiting[:0]
	return out
}
