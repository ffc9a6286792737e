package tier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An instance is idle, then serves a query now and then, then is busy. It tells a change
// soon, a small one seldom, and nothing while nothing changes.
func TestCarryingIsToldWhenItChanges(t *testing.T) {
	c := qt.New(t)
	now, sum := time.Unix(1000, 0), time.Duration(0)
	ca := carrying{at: now}
	pass := func(length time.Duration, merging float64) (told int) {
		for end := now.Add(length); now.Before(end); {
			now = now.Add(carryingPeriod)
			sum += time.Duration(merging * float64(carryingPeriod))
			if ca.look(now, sum) {
				told++
			}
		}
		return told
	}
	c.Assert(pass(20*time.Second, 0), qt.Equals, 1)
	c.Assert(pass(2*time.Second, rightlyMerging) >= 2, qt.IsTrue)
	pass(20*time.Second, rightlyMerging)
	c.Assert(ca.load > 0.95 && ca.load < 1.05, qt.IsTrue)
	c.Assert(pass(20*time.Second, rightlyMerging) <= 4, qt.IsTrue)
	pass(3*time.Second, 4*rightlyMerging)
	c.Assert(ca.told > 2, qt.IsTrue)
	c.Assert(ca.look(now, sum), qt.IsFalse) // No time has passed.
}
