package registry

import "time"

// watch counts the time in which the process was running. The process may be
// suspended for seconds. Without this, every server would then have been silent
// for too long at the first look, while what they announced still waits to be
// read, and all would be dropped at once. So a gap between two looks that is
// longer than gap counts as nothing. This holds as long as the owner looks
// several times within the gap while it runs.
type watch struct {
	gap     time.Duration
	last    time.Time
	running time.Duration
}

// look tells the time and returns how long the process has been running.
func (wa *watch) look(now time.Time) time.Duration {
	if wa.last.IsZero() {
		wa.last = now
	}
	past := now.Sub(wa.last)
	if past < 0 {
		return wa.running
	}
	wa.last = now
	if past <= wa.gap {
		wa.running += past
	}
	return wa.running
}
