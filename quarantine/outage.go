package quarantine

import "time"

// outage is what a service lost since it last answered: the first losses of two different
// requests, so that for each request that of another one is known.
type outage [2]struct {
	key Key
	at  time.Time
}

// add takes in a loss.
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

// before reports whether another request than the given one was lost before a time.
func (ou *outage) before(until time.Time, key Key) bool {
	for _, lo := range ou {
		if !lo.at.IsZero() && lo.key != key && lo.at.Before(until) {
			return true
		}
	}
	return false
}
