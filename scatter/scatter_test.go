package scatter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func plan(shards, least int) Plan {
	return Plan{
		Shards: shards, Least: least, MaxAttempts: 2, Repeatable: true,
		Offer: at(20), Hold: at(90), Deadline: at(600), Pause: 5 * time.Millisecond,
	}
}

// begun returns a query of which every shard was asked at the start, to be
// hedged at 30 ms.
func begun(t *testing.T, pl Plan) *Query {
	qu := New(pl)
	for _, wa := range qu.Next(t0, nil) {
		qt.Assert(t, wa.Kind, qt.Equals, First)
		qu.Asked(wa.Shard, at(30))
	}
	qt.Assert(t, qu.Next(t0, nil), qt.HasLen, 0)
	return qu
}

func TestAllParts(t *testing.T) {
	qu := begun(t, plan(3, 2))
	for sh := range 3 {
		qt.Assert(t, qu.End(), qt.Equals, Running)
		qu.Replied(at(10), sh, ReplyPart)
	}
	qt.Assert(t, qu.End(), qt.Equals, Answered)
	qt.Assert(t, qu.Have(), qt.Equals, 3)
}

// A backend server pauses: its part doesn't come. The query asks another one
// once the request is overdue, and takes whichever part comes first.
func TestHedge(t *testing.T) {
	qu := begun(t, plan(2, 2))
	qu.Replied(at(10), 0, ReplyPart)
	qt.Assert(t, qu.Wake(at(10)), qt.Equals, at(30))
	qt.Assert(t, qu.Next(at(30), nil), qt.DeepEquals, []Want{{1, Hedge}})
	qu.Asked(1, at(60))
	qt.Assert(t, qu.Next(at(70), nil), qt.HasLen, 0, qt.Commentf("two backend servers at most"))
	qu.Replied(at(75), 1, ReplyPart)
	qt.Assert(t, qu.End(), qt.Equals, Answered)
	qu.Replied(at(80), 1, ReplyPart)
	qt.Assert(t, qu.Have(), qt.Equals, 2, qt.Commentf("the later part counts once"))
}

// One shard is down. The caller would wait until its deadline for a part that
// doesn't come; just before the aim it gets what is in.
func TestHold(t *testing.T) {
	qu := begun(t, plan(3, 2))
	qu.Replied(at(10), 0, ReplyPart)
	qu.Replied(at(12), 1, ReplyPart)
	qu.Next(at(89), nil)
	qt.Assert(t, qu.End(), qt.Equals, Running)
	qu.Asked(2, time.Time{})
	qt.Assert(t, qu.Wake(at(89)), qt.Equals, at(90))
	qu.Next(at(90), nil)
	qt.Assert(t, qu.End(), qt.Equals, Answered)
	qt.Assert(t, qu.Have(), qt.Equals, 2)
	qt.Assert(t, qu.Has(2), qt.IsFalse)
}

// Below the least share nothing is given at the aim; the first part that makes
// it enough ends the query.
func TestHoldBelowLeast(t *testing.T) {
	qu := begun(t, plan(3, 2))
	qu.Replied(at(10), 0, ReplyPart)
	qu.Next(at(95), nil)
	qt.Assert(t, qu.End(), qt.Equals, Running)
	qu.Replied(at(120), 1, ReplyPart)
	qt.Assert(t, qu.End(), qt.Equals, Answered)
}

// Too many shards failed for an answer. Nothing is gained by waiting for the
// rest, so the caller is told at once.
func TestFailsAtOnce(t *testing.T) {
	qu := begun(t, plan(3, 3))
	qu.Replied(at(10), 0, ReplyFailed)
	qt.Assert(t, qu.Next(at(10), nil), qt.DeepEquals, []Want{{0, Retry}})
	qu.Asked(0, at(40))
	qu.Replied(at(20), 0, ReplyLost)
	qt.Assert(t, qu.End(), qt.Equals, Failed)
	qt.Assert(t, qu.Cause(0), qt.Equals, CauseLost)
	qt.Assert(t, qu.Cause(1), qt.Equals, CauseLate)
}

func TestDeadline(t *testing.T) {
	qu := begun(t, plan(1, 1))
	qu.Next(at(600), nil)
	qt.Assert(t, qu.End(), qt.Equals, Expired)
	qt.Assert(t, qu.Ran(), qt.IsTrue)
}

// Backend servers that refuse a request have not run it, so others are asked,
// but each of them was an arrival: after a few the shard is given up.
func TestRefusals(t *testing.T) {
	qu := begun(t, plan(1, 1))
	now := 1
	for range refusals {
		qu.Replied(at(now), 0, ReplyNotRun)
		qt.Assert(t, qu.End(), qt.Equals, Running)
		now += 20
		qt.Assert(t, qu.Next(at(now), nil), qt.DeepEquals, []Want{{0, Retry}})
		qu.Asked(0, time.Time{})
	}
	qu.Replied(at(now), 0, ReplyNotRun)
	qt.Assert(t, qu.End(), qt.Equals, Failed)
	qt.Assert(t, qu.Ran(), qt.IsFalse)
}

// A booking whose answer was lost may have run: it must not be sent again, and
// the caller must not be told that it did not run.
func TestNotRepeatable(t *testing.T) {
	pl := plan(1, 1)
	pl.Repeatable = false
	qu := begun(t, pl)
	qt.Assert(t, qu.Next(at(500), nil), qt.HasLen, 0, qt.Commentf("no hedge"))
	qu.Replied(at(510), 0, ReplyLost)
	qt.Assert(t, qu.End(), qt.Equals, Failed)
	qt.Assert(t, qu.Ran(), qt.IsTrue)

	qu = begun(t, pl)
	qu.Replied(at(10), 0, ReplyNotRun)
	qt.Assert(t, qu.Next(at(10), nil), qt.DeepEquals, []Want{{0, Retry}})
	qu.Asked(0, time.Time{})
	qu.Replied(at(20), 0, ReplyFailed)
	qt.Assert(t, qu.End(), qt.Equals, Failed)
	qt.Assert(t, qu.Ran(), qt.IsTrue)
}

// No backend server of the shard is known. The caller is told while it still
// has time to ask elsewhere.
func TestNobodyToAsk(t *testing.T) {
	qu := New(plan(1, 1))
	for now := 0; now < 20; now += 10 {
		qt.Assert(t, qu.Next(at(now), nil), qt.HasLen, 1)
		qu.Denied(at(now), 0, CauseNoServer, at(now+10))
		qt.Assert(t, qu.End(), qt.Equals, Running)
	}
	qu.Denied(at(20), 0, CauseNoServer, at(30))
	qt.Assert(t, qu.End(), qt.Equals, Failed)
	qt.Assert(t, qu.Ran(), qt.IsFalse)
	qt.Assert(t, qu.Cause(0), qt.Equals, CauseNoServer)
}

// A hedge that the budget doesn't allow changes nothing for the attempt beside
// which it was wanted.
func TestHedgeDenied(t *testing.T) {
	qu := begun(t, plan(1, 1))
	qt.Assert(t, qu.Next(at(30), nil), qt.DeepEquals, []Want{{0, Hedge}})
	qu.Denied(at(30), 0, CauseBudget, at(55))
	qt.Assert(t, qu.Wake(at(30)), qt.Equals, at(55))
	qu.Replied(at(40), 0, ReplyPart)
	qt.Assert(t, qu.End(), qt.Equals, Answered)
}

// An instance has just started and opens few connections, and all of them are in
// use when a request comes. Its backend servers are idle; the request must wait
// for a connection instead of being counted as refused by three of them.
func TestBusy(t *testing.T) {
	qu := begun(t, plan(1, 1))
	now := 0
	for now+5 < 20 {
		qu.Replied(at(now), 0, ReplyBusy)
		qt.Assert(t, qu.End(), qt.Equals, Running)
		qt.Assert(t, qu.Next(at(now), nil), qt.HasLen, 0)
		now += 5
		qt.Assert(t, qu.Next(at(now), nil), qt.DeepEquals, []Want{{0, First}})
		qu.Asked(0, at(now+30))
	}
	qu.Replied(at(now), 0, ReplyPart)
	qt.Assert(t, qu.End(), qt.Equals, Answered)

	qu = begun(t, plan(1, 1))
	qu.Replied(at(20), 0, ReplyBusy)
	qt.Assert(t, qu.End(), qt.Equals, Failed, qt.Commentf("told at once when no connection comes free"))
	qt.Assert(t, qu.Ran(), qt.IsFalse)
	qt.Assert(t, qu.Cause(0), qt.Equals, CauseBusy)
}
