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
		Shards: shards, MinParts: least, MaxAttempts: 2, Repeatable: true,
		NoServerDeadline: at(20), PartialDeadline: at(90), Deadline: at(600), RetryDelay: 5 * time.Millisecond,
	}
}

// begun returns a query of which every shard was asked at the start, to be
// hedged at 30 ms.
func begun(t *testing.T, pl Plan) *Query {
	qu := New(pl)
	for _, wa := range qu.Next(t0, nil) {
		qt.Assert(t, wa.Kind, qt.Equals, First)
		qu.AttemptStarted(wa.Shard, at(30))
	}
	qt.Assert(t, qu.Next(t0, nil), qt.HasLen, 0)
	return qu
}

func TestAllParts(t *testing.T) {
	qu := begun(t, plan(3, 2))
	for sh := range 3 {
		qt.Assert(t, qu.State(), qt.Equals, Running)
		qu.AttemptEnded(at(10), sh, OutcomePart)
	}
	qt.Assert(t, qu.State(), qt.Equals, Answered)
	qt.Assert(t, qu.NumParts(), qt.Equals, 3)
}

// A backend server pauses: its part doesn't come. The query asks another one
// once the request is overdue, and takes whichever part comes first.
func TestHedge(t *testing.T) {
	qu := begun(t, plan(2, 2))
	qu.AttemptEnded(at(10), 0, OutcomePart)
	qt.Assert(t, qu.WakeAt(at(10)), qt.Equals, at(30))
	qt.Assert(t, qu.Next(at(30), nil), qt.DeepEquals, []Attempt{{1, Hedge}})
	qu.AttemptStarted(1, at(60))
	qt.Assert(t, qu.Next(at(70), nil), qt.HasLen, 0, qt.Commentf("two backend servers at most"))
	qu.AttemptEnded(at(75), 1, OutcomePart)
	qt.Assert(t, qu.State(), qt.Equals, Answered)
	qu.AttemptEnded(at(80), 1, OutcomePart)
	qt.Assert(t, qu.NumParts(), qt.Equals, 2, qt.Commentf("the later part counts once"))
}

// One shard is down. The caller would wait until its deadline for a part that
// doesn't come; just before the aim it gets what is in.
func TestHold(t *testing.T) {
	qu := begun(t, plan(3, 2))
	qu.AttemptEnded(at(10), 0, OutcomePart)
	qu.AttemptEnded(at(12), 1, OutcomePart)
	qu.Next(at(89), nil)
	qt.Assert(t, qu.State(), qt.Equals, Running)
	qu.AttemptStarted(2, time.Time{})
	qt.Assert(t, qu.WakeAt(at(89)), qt.Equals, at(90))
	qu.Next(at(90), nil)
	qt.Assert(t, qu.State(), qt.Equals, Answered)
	qt.Assert(t, qu.NumParts(), qt.Equals, 2)
	qt.Assert(t, qu.HasPart(2), qt.IsFalse)
}

// Below the least share nothing is given at the aim; the first part that makes
// it enough ends the query.
func TestHoldBelowLeast(t *testing.T) {
	qu := begun(t, plan(3, 2))
	qu.AttemptEnded(at(10), 0, OutcomePart)
	qu.Next(at(95), nil)
	qt.Assert(t, qu.State(), qt.Equals, Running)
	qu.AttemptEnded(at(120), 1, OutcomePart)
	qt.Assert(t, qu.State(), qt.Equals, Answered)
}

// Too many shards failed for an answer. Nothing is gained by waiting for the
// rest, so the caller is told at once.
func TestFailsAtOnce(t *testing.T) {
	qu := begun(t, plan(3, 3))
	qu.AttemptEnded(at(10), 0, OutcomeFailed)
	qt.Assert(t, qu.Next(at(10), nil), qt.DeepEquals, []Attempt{{0, Retry}})
	qu.AttemptStarted(0, at(40))
	qu.AttemptEnded(at(20), 0, OutcomeLost)
	qt.Assert(t, qu.State(), qt.Equals, Failed)
	qt.Assert(t, qu.Cause(0), qt.Equals, CauseLost)
	qt.Assert(t, qu.Cause(1), qt.Equals, CauseTimeout)
}

func TestDeadline(t *testing.T) {
	qu := begun(t, plan(1, 1))
	qu.Next(at(600), nil)
	qt.Assert(t, qu.State(), qt.Equals, Expired)
	qt.Assert(t, qu.MayHaveRun(), qt.IsTrue)
}

// Backend servers that refuse a request have not run it, so others are asked,
// but each of them was an arrival: after a few the shard is given up.
func TestRefusals(t *testing.T) {
	qu := begun(t, plan(1, 1))
	now := 1
	for range refusals {
		qu.AttemptEnded(at(now), 0, OutcomeNotRun)
		qt.Assert(t, qu.State(), qt.Equals, Running)
		now += 20
		qt.Assert(t, qu.Next(at(now), nil), qt.DeepEquals, []Attempt{{0, Retry}})
		qu.AttemptStarted(0, time.Time{})
	}
	qu.AttemptEnded(at(now), 0, OutcomeNotRun)
	qt.Assert(t, qu.State(), qt.Equals, Failed)
	qt.Assert(t, qu.MayHaveRun(), qt.IsFalse)
}

// A booking whose answer was lost may have run: it must not be sent again, and
// the caller must not be told that it did not run.
func TestNotRepeatable(t *testing.T) {
	pl := plan(1, 1)
	pl.Repeatable = false
	qu := begun(t, pl)
	qt.Assert(t, qu.Next(at(500), nil), qt.HasLen, 0, qt.Commentf("no hedge"))
	qu.AttemptEnded(at(510), 0, OutcomeLost)
	qt.Assert(t, qu.State(), qt.Equals, Failed)
	qt.Assert(t, qu.MayHaveRun(), qt.IsTrue)

	qu = begun(t, pl)
	qu.AttemptEnded(at(10), 0, OutcomeNotRun)
	qt.Assert(t, qu.Next(at(10), nil), qt.DeepEquals, []Attempt{{0, Retry}})
	qu.AttemptStarted(0, time.Time{})
	qu.AttemptEnded(at(20), 0, OutcomeFailed)
	qt.Assert(t, qu.State(), qt.Equals, Failed)
	qt.Assert(t, qu.MayHaveRun(), qt.IsTrue)
}

// No backend server of the shard is known. The caller is told while it still
// has time to ask elsewhere.
func TestNobodyToAsk(t *testing.T) {
	qu := New(plan(1, 1))
	for now := 0; now < 20; now += 10 {
		qt.Assert(t, qu.Next(at(now), nil), qt.HasLen, 1)
		qu.AttemptDeferred(at(now), 0, CauseNoServer, at(now+10))
		qt.Assert(t, qu.State(), qt.Equals, Running)
	}
	qu.AttemptDeferred(at(20), 0, CauseNoServer, at(30))
	qt.Assert(t, qu.State(), qt.Equals, Failed)
	qt.Assert(t, qu.MayHaveRun(), qt.IsFalse)
	qt.Assert(t, qu.Cause(0), qt.Equals, CauseNoServer)
}

// A hedge that the budget doesn't allow changes nothing for the attempt beside
// which it was wanted.
func TestHedgeDenied(t *testing.T) {
	qu := begun(t, plan(1, 1))
	qt.Assert(t, qu.Next(at(30), nil), qt.DeepEquals, []Attempt{{0, Hedge}})
	qu.AttemptDeferred(at(30), 0, CauseBudget, at(55))
	qt.Assert(t, qu.WakeAt(at(30)), qt.Equals, at(55))
	qu.AttemptEnded(at(40), 0, OutcomePart)
	qt.Assert(t, qu.State(), qt.Equals, Answered)
}

// An instance has just started and opens few connections, and all of them are in
// use when a request comes. Its backend servers are idle; the request must wait
// for a connection instead of being counted as refused by three of them.
func TestBusy(t *testing.T) {
	qu := begun(t, plan(1, 1))
	now := 0
	for _, next := range []int{5, 15} {
		qu.AttemptEnded(at(now), 0, OutcomeNoConnection)
		qt.Assert(t, qu.State(), qt.Equals, Running)
		qt.Assert(t, qu.WakeAt(at(now)), qt.Equals, at(next))
		qt.Assert(t, qu.Next(at(next-1), nil), qt.HasLen, 0)
		now = next
		qt.Assert(t, qu.Next(at(now), nil), qt.DeepEquals, []Attempt{{0, First}})
		qu.AttemptStarted(0, at(now+30))
	}
	qu.AttemptEnded(at(now), 0, OutcomePart)
	qt.Assert(t, qu.State(), qt.Equals, Answered)

	qu = begun(t, plan(1, 1))
	qu.AttemptEnded(at(20), 0, OutcomeNoConnection)
	qt.Assert(t, qu.State(), qt.Equals, Failed, qt.Commentf("told at once when no connection comes free"))
	qt.Assert(t, qu.MayHaveRun(), qt.IsFalse)
	qt.Assert(t, qu.Cause(0), qt.Equals, CauseNoConnection)
}

// A shard finds no connection, or no server. A request to a single backend server
// is given up at Offer, since its caller can ask elsewhere. A part of a merged answer
// is waited for until Hold, as the other parts are; for it Offer is Hold. Both are
// answered then, not at the look after it.
func TestWaitForRoom(t *testing.T) {
	busy := func(qu *Query, now time.Time, po int) {
		qu.AttemptStarted(po, now.Add(30*time.Millisecond))
		qu.AttemptEnded(now, po, OutcomeNoConnection)
	}
	noServer := func(qu *Query, now time.Time, po int) {
		qu.AttemptDeferred(now, po, CauseNoServer, now.Add(13*time.Millisecond))
	}
	noRoom := func(qu *Query, now time.Time, po int) {
		qu.AttemptDeferred(now, po, CauseNoConnection, now.Add(20*time.Millisecond))
	}
	tests := []struct {
		name   string
		shards int
		short  func(qu *Query, now time.Time, po int)
		until  int
		end    State
		cause  Cause
	}{
		{"single, no connection", 1, busy, 20, Failed, CauseNoConnection},
		{"single, no room", 1, noRoom, 20, Failed, CauseNoConnection},
		{"single, no server", 1, noServer, 20, Failed, CauseNoServer},
		{"part, no connection", 3, busy, 90, Answered, CauseNoConnection},
		{"part, no room", 3, noRoom, 90, Answered, CauseNoConnection},
		{"part, no server", 3, noServer, 90, Answered, CauseNoServer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pl := plan(tt.shards, max(1, tt.shards-1))
			if tt.shards > 1 {
				pl.NoServerDeadline = pl.PartialDeadline
			}
			qu := New(pl)
			last := tt.shards - 1
			for _, wa := range qu.Next(t0, nil) {
				if wa.Shard == last {
					tt.short(qu, t0, last)
					continue
				}
				qu.AttemptStarted(wa.Shard, time.Time{})
				qu.AttemptEnded(t0, wa.Shard, OutcomePart)
			}
			now := t0
			for qu.State() == Running {
				now = qu.WakeAt(now)
				for _, wa := range qu.Next(now, nil) {
					tt.short(qu, now, wa.Shard)
				}
			}
			qt.Assert(t, now, qt.Equals, at(tt.until))
			qt.Assert(t, qu.State(), qt.Equals, tt.end)
			qt.Assert(t, qu.Cause(last), qt.Equals, tt.cause)
		})
	}
}

// A connection comes free while a shard waits for one. It is asked at once, not at
// its next look; and a shard that is asked, or has its part, is not asked again.
func TestRoom(t *testing.T) {
	qu := New(plan(2, 2))
	for sh := range 2 {
		qu.AttemptDeferred(t0, sh, CauseNoConnection, at(20))
	}
	qu.RetryNow(at(3), 1)
	qt.Assert(t, qu.Next(at(3), nil), qt.DeepEquals, []Attempt{{1, First}})
	qu.AttemptStarted(1, at(30))
	qu.RetryNow(at(4), 1)
	qt.Assert(t, qu.Next(at(4), nil), qt.HasLen, 0)
	qu.AttemptEnded(at(5), 1, OutcomePart)
	qu.RetryNow(at(6), 1)
	qt.Assert(t, qu.Next(at(6), nil), qt.HasLen, 0)
	qu.RetryNow(at(7), 0)
	qt.Assert(t, qu.Next(at(7), nil), qt.DeepEquals, []Attempt{{0, First}})
}

// All connections to a server wait to be opened, for as long as the request has
// time. Looking for a free one each 5 ms brought 35 looks.
func TestBusyGrows(t *testing.T) {
	pl := plan(2, 1)
	pl.NoServerDeadline, pl.PartialDeadline = at(188), at(188)
	qu := New(pl)
	qu.AttemptDeferred(t0, 1, CauseNoServer, at(188))
	var looks []time.Duration
	for now := t0; qu.State() == Running; now = qu.WakeAt(now) {
		for _, wa := range qu.Next(now, nil) {
			if wa.Shard == 0 {
				looks = append(looks, now.Sub(t0)/time.Millisecond)
				qu.AttemptStarted(0, time.Time{})
				qu.AttemptEnded(now, 0, OutcomeNoConnection)
				continue
			}
			qu.AttemptDeferred(now, 1, CauseNoServer, at(188))
		}
	}
	qt.Assert(t, looks, qt.DeepEquals, []time.Duration{0, 5, 15, 35, 75, 115, 155, 188})
	qt.Assert(t, qu.State(), qt.Equals, Failed)
}

// Nobody is left who could give a part. The answer is due as soon as the others are
// in, a failure as soon as too many can't come, and an attempt under way goes on.
func TestNobodyLeft(t *testing.T) {
	type event struct {
		at    int
		shard int
		reply Outcome
	}
	tests := []struct {
		name   string
		least  int
		nobody []int // nobody are the shards that are given up before any is asked.
		events []event
		until  int
		end    State
		ran    bool
	}{
		{"others in", 2, []int{1}, []event{{10, 0, OutcomePart}, {15, 2, OutcomePart}}, 15, Answered, true},
		{"others in, all left but one", 1, []int{0, 1}, []event{{10, 2, OutcomePart}}, 10, Answered, true},
		{"too many", 2, []int{0, 1}, nil, 0, Failed, false},
		{"all", 1, []int{0, 1, 2}, nil, 0, Failed, false},
		{"too many with one that fails", 2, []int{1}, []event{{10, 0, OutcomePart}, {12, 2, OutcomeLost}}, 12, Failed, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pl := plan(3, tt.least)
			pl.NoServerDeadline, pl.MaxAttempts = pl.PartialDeadline, 1
			qu := New(pl)
			for _, sh := range tt.nobody {
				qu.NoServerLeft(t0, sh, CauseNoServer, at(20))
			}
			for _, wa := range qu.Next(t0, nil) {
				qu.AttemptStarted(wa.Shard, time.Time{})
			}
			now := 0
			for _, ev := range tt.events {
				qt.Assert(t, qu.State(), qt.Equals, Running)
				now = ev.at
				qu.AttemptEnded(at(now), ev.shard, ev.reply)
			}
			qt.Assert(t, qu.State(), qt.Equals, tt.end)
			qt.Assert(t, now, qt.Equals, tt.until)
			qt.Assert(t, qu.MayHaveRun(), qt.Equals, tt.ran)
		})
	}
}

// All backend servers of a shard were tried and refused it, or nobody is left for a
// hedge. The first ends the shard, the second changes nothing for the attempt that
// is under way.
func TestNobodyLeftAfter(t *testing.T) {
	qu := begun(t, plan(1, 1))
	qt.Assert(t, qu.Next(at(30), nil), qt.DeepEquals, []Attempt{{0, Hedge}})
	qu.NoServerLeft(at(30), 0, CauseNotRun, at(50))
	qt.Assert(t, qu.State(), qt.Equals, Running)
	qt.Assert(t, qu.WakeAt(at(30)), qt.Equals, at(50))
	qu.AttemptEnded(at(40), 0, OutcomeNotRun)
	qt.Assert(t, qu.Next(at(40), nil), qt.DeepEquals, []Attempt{{0, Retry}})
	qu.NoServerLeft(at(40), 0, CauseNotRun, at(60))
	qt.Assert(t, qu.State(), qt.Equals, Failed)
	qt.Assert(t, qu.MayHaveRun(), qt.IsFalse)
}

// Guards against an answer that fails at the end of the hold for one part that waits for a
// connection, and against waiting as long for a part that nobody is known for.
func TestRoomOutlastsOffer(t *testing.T) {
	pl := plan(2, 2)
	pl.NoServerDeadline, pl.NoConnectionDeadline = at(90), at(600)
	for ca, want := range map[Cause]State{CauseNoConnection: Running, CauseNoServer: Failed} {
		qu := New(pl)
		qu.AttemptStarted(0, time.Time{})
		qu.AttemptEnded(at(10), 0, OutcomePart)
		qu.AttemptDeferred(at(89), 1, ca, at(109))
		qu.AttemptDeferred(at(90), 1, ca, at(110))
		qt.Assert(t, qu.State(), qt.Equals, want, qt.Commentf("%v", ca))
	}
}
