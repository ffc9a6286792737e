package scatter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// ask asks for all that is wanted and returns it.
func ask(qu *Query, ms int) []Attempt {
	was := qu.Next(at(ms), nil)
	for _, wa := range was {
		qu.AttemptStarted(wa.Shard, at(ms+30))
	}
	return was
}

// Callers of all shards are refused for seconds: a query that ends whoever runs it took
// one server of each shard by its first attempts, and a second one of each by hedges
// and retries, before anybody could know. Until a server has answered there are few
// hedges, no retry once two have broken off, and one last try when all are over.
func TestQueryThatEndsServersTakesFew(t *testing.T) {
	c := qt.New(t)
	qu := begun(t, plan(10, 9))
	c.Assert(ask(qu, 30), qt.HasLen, fewHedges)
	c.Assert(ask(qu, 31), qt.HasLen, 0)
	c.Assert(qu.WakeAt(at(31)).After(at(31)), qt.IsTrue, qt.Commentf("it must not wake for hedges that may not be"))
	for sh := 3; sh < 10; sh++ {
		qu.AttemptEnded(at(56), sh, OutcomeLost)
		if sh == 3 {
			c.Assert(ask(qu, 56), qt.DeepEquals, []Attempt{{3, Retry}}, qt.Commentf("one server may always break off"))
		} else {
			c.Assert(ask(qu, 56), qt.HasLen, 0)
		}
	}
	for sh := range 3 {
		qu.AttemptEnded(at(57), sh, OutcomeLost)
		qu.AttemptEnded(at(58), sh, OutcomeLost)
	}
	c.Assert(ask(qu, 60), qt.HasLen, 0)
	qu.AttemptEnded(at(90), 3, OutcomeLost)
	c.Assert(qu.State(), qt.Equals, Failed, qt.Commentf("too many shards have had all their attempts"))
}

// Servers end one after the other under a query of which only few attempts were made.
// It goes on one server at a time, and is given up after the third.
func TestGivesUpAfterThreeServers(t *testing.T) {
	c := qt.New(t)
	pl := plan(4, 1)
	pl.MaxAttempts = 5
	qu := begun(t, pl)
	qu.AttemptEnded(at(10), 0, OutcomeLost)
	qu.AttemptEnded(at(10), 1, OutcomeLost)
	qu.AttemptEnded(at(10), 2, OutcomeNotRun)
	c.Assert(ask(qu, 10), qt.HasLen, 0)
	qu.AttemptEnded(at(11), 3, OutcomeNotRun)
	c.Assert(ask(qu, 11), qt.DeepEquals, []Attempt{{0, Retry}})
	c.Assert(ask(qu, 11), qt.HasLen, 0)
	qu.AttemptEnded(at(20), 0, OutcomeLost)
	c.Assert(qu.State(), qt.Equals, Failed)
}

// Two servers end for reasons of their own while a query is with them. The others answer,
// so it is asked again at once at all shards that lack a part. A failure doesn't prove it:
// a server at its deadline gives one just before it would end.
func TestAnswerProvesTheQuery(t *testing.T) {
	c := qt.New(t)
	qu := begun(t, plan(4, 4))
	qu.AttemptEnded(at(10), 0, OutcomeLost)
	qu.AttemptEnded(at(10), 1, OutcomeLost)
	c.Assert(ask(qu, 10), qt.HasLen, 0)
	qu.AttemptEnded(at(11), 2, OutcomeFailed)
	c.Assert(ask(qu, 11), qt.HasLen, 0)
	qu.AttemptEnded(at(12), 3, OutcomePart)
	c.Assert(ask(qu, 12), qt.DeepEquals, []Attempt{{0, Retry}, {1, Retry}, {2, Retry}})
}

// Servers have ended under a query before. One server is asked alone; if that ends too, the
// query is over at once, and if it answers, all others are asked.
func TestProbe(t *testing.T) {
	pl := plan(4, 3)
	pl.Probe, pl.FirstShard = true, 2
	t.Run("ends", func(t *testing.T) {
		c := qt.New(t)
		qu := New(pl)
		c.Assert(ask(qu, 0), qt.DeepEquals, []Attempt{{2, First}})
		c.Assert(ask(qu, 29), qt.HasLen, 0)
		c.Assert(ask(qu, 31), qt.HasLen, 0, qt.Commentf("no hedge"))
		c.Assert(qu.WakeAt(at(31)), qt.Equals, pl.Deadline)
		qu.AttemptEnded(at(56), 2, OutcomeLost)
		c.Assert(qu.State(), qt.Equals, Failed)
	})
	t.Run("answers", func(t *testing.T) {
		c := qt.New(t)
		qu := New(pl)
		ask(qu, 0)
		qu.AttemptEnded(at(8), 2, OutcomePart)
		c.Assert(ask(qu, 8), qt.DeepEquals, []Attempt{{3, First}, {0, First}, {1, First}})
	})
	t.Run("is refused", func(t *testing.T) {
		c := qt.New(t)
		qu := New(pl)
		ask(qu, 0)
		qu.AttemptEnded(at(1), 2, OutcomeNotRun)
		c.Assert(ask(qu, 1), qt.DeepEquals, []Attempt{{2, Retry}}, qt.Commentf("who refuses says nothing"))
		qu.AttemptEnded(at(2), 2, OutcomeNotRun)
		c.Assert(ask(qu, 2), qt.DeepEquals, []Attempt{{3, First}})
	})
	t.Run("nobody is there", func(t *testing.T) {
		c := qt.New(t)
		qu := New(pl)
		c.Assert(qu.Next(at(0), nil), qt.DeepEquals, []Attempt{{2, First}})
		qu.AttemptDeferred(at(0), 2, CauseNoConnection, at(20))
		c.Assert(qu.WakeAt(at(0)), qt.Equals, at(0), qt.Commentf("another shard is asked at once"))
		c.Assert(ask(qu, 0), qt.DeepEquals, []Attempt{{3, First}})
		c.Assert(ask(qu, 20), qt.HasLen, 0)
	})
	t.Run("once only", func(t *testing.T) {
		c := qt.New(t)
		one := pl
		one.Shards, one.MinParts, one.FirstShard, one.Repeatable = 1, 1, 0, false
		qu := New(one)
		c.Assert(ask(qu, 0), qt.HasLen, 1)
		qu.AttemptEnded(at(5), 0, OutcomeLost)
		c.Assert(qu.State(), qt.Equals, Failed)
		c.Assert(qu.MayHaveRun(), qt.IsTrue)
	})
}

// A query that is asked carefully isn't held beyond its deadline.
func TestProbeExpires(t *testing.T) {
	c := qt.New(t)
	pl := plan(3, 2)
	pl.Probe = true
	qu := New(pl)
	c.Assert(qu.Next(at(0), nil), qt.HasLen, 1)
	qu.AttemptStarted(0, time.Time{})
	qu.Next(pl.Deadline, nil)
	c.Assert(qu.State(), qt.Equals, Expired)
}
