package scatter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Retries are needed only while the attempts in flight can't bring enough parts. Otherwise
// the retry budget would be spent on parts that the answer can do without.
func TestNeedsRetries(t *testing.T) {
	qu := newStartedQuery(t, plan(3, 2))
	qu.AttemptEnded(at(1), 0, OutcomeNotRun)
	qt.Assert(t, qu.NeedsRetries(), qt.IsFalse)
	qu.AttemptEnded(at(2), 1, OutcomeNotRun)
	qt.Assert(t, qu.NeedsRetries(), qt.IsTrue)
	qu.AttemptStarted(1, time.Time{})
	qt.Assert(t, qu.NeedsRetries(), qt.IsFalse)
}

// The delay after a refusal stops growing, so that a part which may be refused many times is
// still tried within a target latency of 60 ms.
func TestRefusalDelayIsBounded(t *testing.T) {
	pl := plan(1, 1)
	pl.MaxRefusals = 6
	qu := newStartedQuery(t, pl)
	now := t0
	for _, want := range []int{0, 5, 10, 15, 15, 15} {
		qu.AttemptEnded(now, 0, OutcomeNotRun)
		qt.Assert(t, qu.WakeAt(now).Sub(now), qt.Equals, time.Duration(want)*time.Millisecond)
		now = qu.WakeAt(now)
		qt.Assert(t, qu.Next(now, nil), qt.DeepEquals, []Attempt{{0, Retry}})
		qu.AttemptStarted(0, time.Time{})
	}
	qt.Assert(t, qu.OnlyInFlight(), qt.IsTrue)
	qu.AttemptEnded(now, 0, OutcomeNotRun)
	qt.Assert(t, qu.State(), qt.Equals, Failed)
	qt.Assert(t, qu.OnlyInFlight(), qt.IsFalse)
}
