package scatter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startAttempts starts all attempts that are due and returns them.
func startAttempts(qu *Query, ms int) []Attempt {
	ats := qu.Next(at(ms), nil)
	for _, att := range ats {
		qu.AttemptStarted(att.Shard, at(ms+30))
	}
	return ats
}

// Guards against a query of death that takes one server of each shard by its first attempts
// and a second one of each by hedges and retries, before anybody can know: the callers of
// all shards would be refused for seconds. Until a server has answered there are few
// hedges, no retry once two servers have broken off, and one last attempt when all others
// have ended.
func TestQueryOfDeathReachesFewServers(t *testing.T) {
	c := qt.New(t)
	qu := newStartedQuery(t, plan(10, 9))
	c.Assert(startAttempts(qu, 30), qt.HasLen, maxEarlyHedges)
	c.Assert(startAttempts(qu, 31), qt.HasLen, 0)
	c.Assert(qu.WakeAt(at(31)).After(at(31)), qt.IsTrue, qt.Commentf("it must not wake for hedges that are not allowed"))
	for sh := 3; sh < 10; sh++ {
		qu.AttemptEnded(at(56), sh, OutcomeLost)
		if sh == 3 {
			c.Assert(startAttempts(qu, 56), qt.DeepEquals, []Attempt{{3, Retry}}, qt.Commentf("a single lost server is no reason for caution"))
		} else {
			c.Assert(startAttempts(qu, 56), qt.HasLen, 0)
		}
	}
	for sh := range 3 {
		qu.AttemptEnded(at(57), sh, OutcomeLost)
		qu.AttemptEnded(at(58), sh, OutcomeLost)
	}
	c.Assert(startAttempts(qu, 60), qt.HasLen, 0)
	qu.AttemptEnded(at(90), 3, OutcomeLost)
	c.Assert(qu.State(), qt.Equals, Failed, qt.Commentf("too many shards have used all their attempts"))
}

// Servers fail one after the other under a query that has made only a few attempts. The
// query continues with one server at a time and fails after the third.
func TestQueryFailsAfterThreeLostServers(t *testing.T) {
	c := qt.New(t)
	pl := plan(4, 1)
	pl.MaxAttempts = 5
	qu := newStartedQuery(t, pl)
	qu.AttemptEnded(at(10), 0, OutcomeLost)
	qu.AttemptEnded(at(10), 1, OutcomeLost)
	qu.AttemptEnded(at(10), 2, OutcomeNotRun)
	c.Assert(startAttempts(qu, 10), qt.HasLen, 0)
	qu.AttemptEnded(at(11), 3, OutcomeNotRun)
	c.Assert(startAttempts(qu, 11), qt.DeepEquals, []Attempt{{0, Retry}})
	c.Assert(startAttempts(qu, 11), qt.HasLen, 0)
	qu.AttemptEnded(at(20), 0, OutcomeLost)
	c.Assert(qu.State(), qt.Equals, Failed)
}

// Two servers fail for reasons of their own while running a query. Once another server
// answers, all shards that lack a part must be retried at once. A failure response is no
// such proof: a server may send it at its deadline, just before it would crash.
func TestRetriesAllShardsOnceOneAnswers(t *testing.T) {
	c := qt.New(t)
	qu := newStartedQuery(t, plan(4, 4))
	qu.AttemptEnded(at(10), 0, OutcomeLost)
	qu.AttemptEnded(at(10), 1, OutcomeLost)
	c.Assert(startAttempts(qu, 10), qt.HasLen, 0)
	qu.AttemptEnded(at(11), 2, OutcomeFailed)
	c.Assert(startAttempts(qu, 11), qt.HasLen, 0)
	qu.AttemptEnded(at(12), 3, OutcomePart)
	c.Assert(startAttempts(qu, 12), qt.DeepEquals, []Attempt{{0, Retry}, {1, Retry}, {2, Retry}})
}

// Servers have failed under the same query before. One server is tried alone. If it fails
// too, the query fails at once; if it answers, all others are tried.
func TestProbeTriesOneServerAlone(t *testing.T) {
	pl := plan(4, 3)
	pl.Probe, pl.FirstShard = true, 2
	t.Run("fails", func(t *testing.T) {
		c := qt.New(t)
		qu := New(pl)
		c.Assert(startAttempts(qu, 0), qt.DeepEquals, []Attempt{{2, First}})
		c.Assert(startAttempts(qu, 29), qt.HasLen, 0)
		c.Assert(startAttempts(qu, 31), qt.HasLen, 0, qt.Commentf("no hedge"))
		c.Assert(qu.WakeAt(at(31)), qt.Equals, pl.Deadline)
		qu.AttemptEnded(at(56), 2, OutcomeLost)
		c.Assert(qu.State(), qt.Equals, Failed)
	})
	t.Run("answers", func(t *testing.T) {
		c := qt.New(t)
		qu := New(pl)
		startAttempts(qu, 0)
		qu.AttemptEnded(at(8), 2, OutcomePart)
		c.Assert(startAttempts(qu, 8), qt.DeepEquals, []Attempt{{3, First}, {0, First}, {1, First}})
	})
	t.Run("is refused", func(t *testing.T) {
		c := qt.New(t)
		qu := New(pl)
		startAttempts(qu, 0)
		qu.AttemptEnded(at(1), 2, OutcomeNotRun)
		c.Assert(startAttempts(qu, 1), qt.DeepEquals, []Attempt{{2, Retry}}, qt.Commentf("a refusal shows nothing about the request"))
		qu.AttemptEnded(at(2), 2, OutcomeNotRun)
		c.Assert(startAttempts(qu, 2), qt.DeepEquals, []Attempt{{3, First}})
	})
	t.Run("no connection", func(t *testing.T) {
		c := qt.New(t)
		qu := New(pl)
		c.Assert(qu.Next(at(0), nil), qt.DeepEquals, []Attempt{{2, First}})
		qu.AttemptDeferred(at(0), 2, CauseNoConnection, at(20))
		c.Assert(qu.WakeAt(at(0)), qt.Equals, at(0), qt.Commentf("another shard is tried at once"))
		c.Assert(startAttempts(qu, 0), qt.DeepEquals, []Attempt{{3, First}})
		c.Assert(startAttempts(qu, 20), qt.HasLen, 0)
	})
	t.Run("not repeatable", func(t *testing.T) {
		c := qt.New(t)
		one := pl
		one.Shards, one.MinParts, one.FirstShard, one.Repeatable = 1, 1, 0, false
		qu := New(one)
		c.Assert(startAttempts(qu, 0), qt.HasLen, 1)
		qu.AttemptEnded(at(5), 0, OutcomeLost)
		c.Assert(qu.State(), qt.Equals, Failed)
		c.Assert(qu.MayHaveRun(), qt.IsTrue)
	})
}

// A query that probes one server at a time must not outlast its deadline.
func TestProbeExpiresAtDeadline(t *testing.T) {
	c := qt.New(t)
	pl := plan(3, 2)
	pl.Probe = true
	qu := New(pl)
	c.Assert(qu.Next(at(0), nil), qt.HasLen, 1)
	qu.AttemptStarted(0, time.Time{})
	qu.Next(pl.Deadline, nil)
	c.Assert(qu.State(), qt.Equals, Expired)
}
