package registry

import "time"

// runningClock counts the time in which the process was running. The process may be
// suspended for seconds. At the first check afterwards, every server would have been
// silent for too long and be dropped, although its announcements wait to be read. So a
// gap between two calls of advance that is longer than maxGap doesn't count. The owner
// must call advance several times within maxGap while it runs.
type runningClock struct {
	maxGap  time.Duration
	last    time.Time
	running time.Duration
}

// advance sets the current time and returns how long the process has been running.
func (rc *runningClock) advance(now time.Time) time.Duration {
	if rc.last.IsZero() {
		rc.last = now
	}
	elapsed := now.Sub(rc.last)
	if elapsed < 0 {
		return rc.running
	}
	rc.last = now
	if elapsed <= rc.maxGap {
		rc.running += elapsed
	}
	return rc.running
}
