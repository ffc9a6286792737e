package stall

import "time"

// latenessSpan is the time over which the quickest message is the reference for others. It
// is short enough that the drift of two clocks, up to 0.1 ms a second, does not matter.
const latenessSpan = 30 * time.Second

// Lateness estimates how long the messages of one sender were delayed. Each message
// carries the age of its sender; a message that was on its way for as long as the quickest
// one of the last minute is not late. The zero value is ready for use.
type Lateness struct {
	started           bool
	since             time.Duration
	current, previous time.Duration // smallest difference of the clocks in this span and the one before
}

// Of returns how much later than the quickest one a message arrived, given the age that its
// sender had when it was sent.
func (la *Lateness) Of(at, senderAge time.Duration) time.Duration {
	difference := at - senderAge
	switch {
	case !la.started:
		*la = Lateness{started: true, since: at, current: difference, previous: difference}
	case at-la.since >= latenessSpan:
		la.since, la.previous, la.current = at, la.current, difference
	}
	la.current = min(la.current, difference)
	return difference - min(la.current, la.previous)
}
