package tier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An instance is idle, then serves a query now and then, then is busy. It tells a change
// soon, a small one seldom, and nothing while nothing changes.
func TestLoadIsToldWhenItChanges(t *testing.T) {
	c := qt.New(t)
	now, sum := time.Unix(1000, 0), time.Duration(0)
	lm := loadMeter{at: now}
	pass := func(length time.Duration, merging float64) (told int) {
		for end := now.Add(length); now.Before(end); {
			now = now.Add(loadPeriod)
			sum += time.Duration(merging * float64(loadPeriod))
			if lm.look(now, sum) {
				told++
			}
		}
		return told
	}
	c.Assert(pass(20*time.Second, 0), qt.Equals, 1)
	c.Assert(pass(2*time.Second, rightMerging) >= 2, qt.IsTrue)
	pass(20*time.Second, rightMerging)
	c.Assert(lm.load > 0.95 && lm.load < 1.05, qt.IsTrue)
	c.Assert(pass(20*time.Second, rightMerging) <= 4, qt.IsTrue)
	pass(3*time.Second, 4*rightMerging)
	c.Assert(lm.told > 2, qt.IsTrue)
	c.Assert(lm.look(now, sum), qt.IsFalse) // No time has passed.
}
