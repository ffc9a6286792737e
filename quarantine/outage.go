package quarantine

import "time"

// outage holds what a service has lost since it last answered: the first losses of two
// different requests, so that for any request the loss of another one is known.
type outage [2]struct {
	key Key
	at  time.Time
}

// add records a loss.
func (ou *outage) add(now time.Time, key Key) {
	for ix := range ou {
		if ou[ix].at.IsZero() {
			ou[ix].key, ou[ix].at = key, now
		}
		if ou[ix].key == key {
			return
		}
	}
}

// lostOtherBefore reports whether a request other than the given one was lost before a
// time.
func (ou *outage) lostOtherBefore(until time.Time, key Key) bool {
	for _, lo := range ou {
		if !lo.at.IsZero() && lo.key != key && lo.at.Before(until) {
			return true
		}
	}
	return false
}
