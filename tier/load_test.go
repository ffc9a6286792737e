package tier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An instance is idle, then serves a query now and then, then is busy. It must report a
// large change soon, a small one rarely, and nothing while nothing changes.
func TestLoadIsReportedWhenItChanges(t *testing.T) {
	c := qt.New(t)
	now, sum := time.Unix(1000, 0), time.Duration(0)
	lm := loadMeter{lastAt: now}
	advance := func(length time.Duration, mergedInFlight float64) (numReported int) {
		for end := now.Add(length); now.Before(end); {
			now = now.Add(loadInterval)
			sum += time.Duration(mergedInFlight * float64(loadInterval))
			if lm.update(now, sum) {
				numReported++
			}
		}
		return numReported
	}
	c.Assert(advance(20*time.Second, 0), qt.Equals, 1)
	c.Assert(advance(2*time.Second, targetMergedInFlight) >= 2, qt.IsTrue)
	advance(20*time.Second, targetMergedInFlight)
	c.Assert(lm.load > 0.95 && lm.load < 1.05, qt.IsTrue)
	c.Assert(advance(20*time.Second, targetMergedInFlight) <= 4, qt.IsTrue)
	advance(3*time.Second, 4*targetMergedInFlight)
	c.Assert(lm.reported > 2, qt.IsTrue)
	c.Assert(lm.update(now, sum), qt.IsFalse) // no time has passed
}
