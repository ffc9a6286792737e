package soak

import (
	"fmt"
	"time"
)

// settleTime is how long control, and the entry instance that was asked, must have been without
// a fault before CheckInForce applies.
const settleTime = 4 * time.Second

// acknowledgement is a version of the configuration that was acknowledged.
type acknowledgement struct {
	version uint64
	at      time.Time
}

// controlCalm tracks whether control has a fault.
type controlCalm struct {
	faults int       // faults that are active
	since  time.Time // when the last one ended
}

// ControlFault records that a fault of control begins or has ended.
func (ch *Checker) ControlFault(at time.Time, begins bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if begins {
		ch.control.faults++
		return
	}
	ch.control.faults--
	ch.control.since = at
}

// versionDue returns the version that must be in force at an entry instance for a request sent
// at a time; 0 if none is certain.
func (ch *Checker) versionDue(at time.Time, en *entryState) uint64 {
	if ch.control.faults > 0 || at.Sub(ch.control.since) < settleTime || at.Sub(en.since) < settleTime {
		return 0
	}
	return ch.latestAcknowledged(at.Add(-applyDelay))
}

// latestAcknowledged returns the highest version that was acknowledged before a time; the zero
// time stands for any.
func (ch *Checker) latestAcknowledged(before time.Time) uint64 {
	latest := uint64(0)
	for _, ac := range ch.acknowledged {
		if before.IsZero() || ac.at.Before(before) {
			latest = max(latest, ac.version)
		}
	}
	return latest
}

// checkInForce checks that a response is not of an older version than the one due when its
// request was sent.
func (ch *Checker) checkInForce(at time.Time, rq *request, newest uint64) {
	if rq.dueVersion == 0 {
		return
	}
	ch.check(CheckInForce, newest >= rq.dueVersion, Violation{Request: rq.ID, Instance: rq.Entry}, at, func() string {
		return fmt.Sprintf("answered by version %d or older, %d was due", newest, rq.dueVersion)
	})
}
