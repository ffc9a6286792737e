package scatter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func plan(shards, minParts int) Plan {
	return Plan{
		Shards: shards, MinParts: minParts, MaxAttempts: 2, Repeatable: true,
		NoServerDeadline: at(20), PartialDeadline: at(90), Deadline: at(600), RetryDelay: 5 * time.Millisecond,
	}
}

// newStartedQuery returns a query with an attempt started for every shard, to be hedged at
// 30 ms.
func newStartedQuery(t *testing.T, pl Plan) *Query {
	qu := New(pl)
	for _, att := range qu.Next(t0, nil) {
		qt.Assert(t, att.Kind, qt.Equals, First)
		qu.AttemptStarted(att.Shard, at(30))
	}
	qt.Assert(t, qu.Next(t0, nil), qt.HasLen, 0)
	return qu
}

func TestAnsweredWithAllParts(t *testing.T) {
	qu := newStartedQuery(t, plan(3, 2))
	for sh := range 3 {
		qt.Assert(t, qu.State(), qt.Equals, Running)
		qu.AttemptEnded(at(10), sh, OutcomePart)
	}
	qt.Assert(t, qu.State(), qt.Equals, Answered)
	qt.Assert(t, qu.NumParts(), qt.Equals, 3)
}

// A backend server pauses, so its part doesn't come. The query tries another one once the
// request is overdue, and takes whichever part comes first.
func TestOverdueAttemptIsHedged(t *testing.T) {
	qu := newStartedQuery(t, plan(2, 2))
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

// One shard is down. Instead of waiting until the deadline, the query ends at the partial
// deadline with the parts that are in.
func TestPartialAnswerAtPartialDeadline(t *testing.T) {
	qu := newStartedQuery(t, plan(3, 2))
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

// Below the minimum number of parts there is no partial answer; the first part that reaches
// it ends the query.
func TestNoPartialAnswerBelowMinParts(t *testing.T) {
	qu := newStartedQuery(t, plan(3, 2))
	qu.AttemptEnded(at(10), 0, OutcomePart)
	qu.Next(at(95), nil)
	qt.Assert(t, qu.State(), qt.Equals, Running)
	qu.AttemptEnded(at(120), 1, OutcomePart)
	qt.Assert(t, qu.State(), qt.Equals, Answered)
}

// Too many shards failed for an answer. Waiting for the rest gains nothing, so the query
// fails at once.
func TestFailsOnceMinPartsIsOutOfReach(t *testing.T) {
	qu := newStartedQuery(t, plan(3, 3))
	qu.AttemptEnded(at(10), 0, OutcomeFailed)
	qt.Assert(t, qu.Next(at(10), nil), qt.DeepEquals, []Attempt{{0, Retry}})
	qu.AttemptStarted(0, at(40))
	qu.AttemptEnded(at(20), 0, OutcomeLost)
	qt.Assert(t, qu.State(), qt.Equals, Failed)
	qt.Assert(t, qu.Cause(0), qt.Equals, CauseLost)
	qt.Assert(t, qu.Cause(1), qt.Equals, CauseTimeout)
}

func TestQueryExpiresAtDeadline(t *testing.T) {
	qu := newStartedQuery(t, plan(1, 1))
	qu.Next(at(600), nil)
	qt.Assert(t, qu.State(), qt.Equals, Expired)
	qt.Assert(t, qu.MayHaveRun(), qt.IsTrue)
}

// Backend servers that refuse a request have not run it, so others are tried. But each
// attempt reaches a server, so after a few refusals the shard is given up.
func TestRefusalsAreBounded(t *testing.T) {
	qu := newStartedQuery(t, plan(1, 1))
	now := 1
	for range defaultMaxRefusals {
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

// A booking whose answer was lost may have run. It must not be retried, and MayHaveRun must
// say so.
func TestNonRepeatableRequestIsNotRetriedAfterRun(t *testing.T) {
	pl := plan(1, 1)
	pl.Repeatable = false
	qu := newStartedQuery(t, pl)
	qt.Assert(t, qu.Next(at(500), nil), qt.HasLen, 0, qt.Commentf("no hedge"))
	qu.AttemptEnded(at(510), 0, OutcomeLost)
	qt.Assert(t, qu.State(), qt.Equals, Failed)
	qt.Assert(t, qu.MayHaveRun(), qt.IsTrue)

	qu = newStartedQuery(t, pl)
	qu.AttemptEnded(at(10), 0, OutcomeNotRun)
	qt.Assert(t, qu.Next(at(10), nil), qt.DeepEquals, []Attempt{{0, Retry}})
	qu.AttemptStarted(0, time.Time{})
	qu.AttemptEnded(at(20), 0, OutcomeFailed)
	qt.Assert(t, qu.State(), qt.Equals, Failed)
	qt.Assert(t, qu.MayHaveRun(), qt.IsTrue)
}

// No backend server of the shard is known. The query fails early enough for the caller to
// retry elsewhere.
func TestFailsAtNoServerDeadline(t *testing.T) {
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

// A hedge that the budget denies changes nothing for the attempt in flight.
func TestDeferredHedgeKeepsAttempt(t *testing.T) {
	qu := newStartedQuery(t, plan(1, 1))
	qt.Assert(t, qu.Next(at(30), nil), qt.DeepEquals, []Attempt{{0, Hedge}})
	qu.AttemptDeferred(at(30), 0, CauseBudget, at(55))
	qt.Assert(t, qu.WakeAt(at(30)), qt.Equals, at(55))
	qu.AttemptEnded(at(40), 0, OutcomePart)
	qt.Assert(t, qu.State(), qt.Equals, Answered)
}

// An instance has just started and has few connections, all of them in use when a request
// comes. The backend servers are idle, so the request must wait for a connection. Lack of
// one must not count as a refusal by a server.
func TestNoConnectionIsNoRefusal(t *testing.T) {
	qu := newStartedQuery(t, plan(1, 1))
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

	qu = newStartedQuery(t, plan(1, 1))
	qu.AttemptEnded(at(20), 0, OutcomeNoConnection)
	qt.Assert(t, qu.State(), qt.Equals, Failed, qt.Commentf("fails at once when no connection becomes free"))
	qt.Assert(t, qu.MayHaveRun(), qt.IsFalse)
	qt.Assert(t, qu.Cause(0), qt.Equals, CauseNoConnection)
}

// A shard finds no connection or no server. A request to a single backend server is given
// up at NoServerDeadline, since its caller can retry elsewhere. A part of a merged answer
// is awaited until PartialDeadline, like the other parts; its NoServerDeadline is the same.
// Both end exactly then, not at the retry after it.
func TestWaitForServerOrConnection(t *testing.T) {
	noConnection := func(qu *Query, now time.Time, index int) {
		qu.AttemptStarted(index, now.Add(30*time.Millisecond))
		qu.AttemptEnded(now, index, OutcomeNoConnection)
	}
	noServer := func(qu *Query, now time.Time, index int) {
		qu.AttemptDeferred(now, index, CauseNoServer, now.Add(13*time.Millisecond))
	}
	deferred := func(qu *Query, now time.Time, index int) {
		qu.AttemptDeferred(now, index, CauseNoConnection, now.Add(20*time.Millisecond))
	}
	tests := []struct {
		name    string
		shards  int
		attempt func(qu *Query, now time.Time, index int)
		until   int
		state   State
		cause   Cause
	}{
		{"single, no connection", 1, noConnection, 20, Failed, CauseNoConnection},
		{"single, deferred", 1, deferred, 20, Failed, CauseNoConnection},
		{"single, no server", 1, noServer, 20, Failed, CauseNoServer},
		{"part, no connection", 3, noConnection, 90, Answered, CauseNoConnection},
		{"part, deferred", 3, deferred, 90, Answered, CauseNoConnection},
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
			for _, att := range qu.Next(t0, nil) {
				if att.Shard == last {
					tt.attempt(qu, t0, last)
					continue
				}
				qu.AttemptStarted(att.Shard, time.Time{})
				qu.AttemptEnded(t0, att.Shard, OutcomePart)
			}
			now := t0
			for qu.State() == Running {
				now = qu.WakeAt(now)
				for _, att := range qu.Next(now, nil) {
					tt.attempt(qu, now, att.Shard)
				}
			}
			qt.Assert(t, now, qt.Equals, at(tt.until))
			qt.Assert(t, qu.State(), qt.Equals, tt.state)
			qt.Assert(t, qu.Cause(last), qt.Equals, tt.cause)
		})
	}
}

// A connection becomes free while a shard waits for one. The shard is due at once, not at
// its next retry. A shard with an attempt in flight, or with its part, is not tried again.
func TestRetryNow(t *testing.T) {
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

// All connections to a server wait to be opened for as long as the request has time.
// Retrying every 5 ms made 35 attempts.
func TestNoConnectionBacksOff(t *testing.T) {
	pl := plan(2, 1)
	pl.NoServerDeadline, pl.PartialDeadline = at(188), at(188)
	qu := New(pl)
	qu.AttemptDeferred(t0, 1, CauseNoServer, at(188))
	var attempts []time.Duration
	for now := t0; qu.State() == Running; now = qu.WakeAt(now) {
		for _, att := range qu.Next(now, nil) {
			if att.Shard == 0 {
				attempts = append(attempts, now.Sub(t0)/time.Millisecond)
				qu.AttemptStarted(0, time.Time{})
				qu.AttemptEnded(now, 0, OutcomeNoConnection)
				continue
			}
			qu.AttemptDeferred(now, 1, CauseNoServer, at(188))
		}
	}
	qt.Assert(t, attempts, qt.DeepEquals, []time.Duration{0, 5, 15, 35, 75, 115, 155, 188})
	qt.Assert(t, qu.State(), qt.Equals, Failed)
}

// No server is left for a shard. The query is answered as soon as the other parts are in
// and fails as soon as too many can't come. An attempt in flight continues.
func TestNoServerLeftGivesUpShard(t *testing.T) {
	type event struct {
		at      int
		shard   int
		outcome Outcome
	}
	tests := []struct {
		name       string
		minParts   int
		noServer   []int // noServer lists the shards that are given up before any attempt.
		events     []event
		until      int
		state      State
		mayHaveRun bool
	}{
		{"other parts are in", 2, []int{1}, []event{{10, 0, OutcomePart}, {15, 2, OutcomePart}}, 15, Answered, true},
		{"one part is in, the others are given up", 1, []int{0, 1}, []event{{10, 2, OutcomePart}}, 10, Answered, true},
		{"too many given up", 2, []int{0, 1}, nil, 0, Failed, false},
		{"all", 1, []int{0, 1, 2}, nil, 0, Failed, false},
		{"too many given up after one is lost", 2, []int{1}, []event{{10, 0, OutcomePart}, {12, 2, OutcomeLost}}, 12, Failed, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pl := plan(3, tt.minParts)
			pl.NoServerDeadline, pl.MaxAttempts = pl.PartialDeadline, 1
			qu := New(pl)
			for _, sh := range tt.noServer {
				qu.NoServerLeft(t0, sh, CauseNoServer, at(20))
			}
			for _, att := range qu.Next(t0, nil) {
				qu.AttemptStarted(att.Shard, time.Time{})
			}
			now := 0
			for _, ev := range tt.events {
				qt.Assert(t, qu.State(), qt.Equals, Running)
				now = ev.at
				qu.AttemptEnded(at(now), ev.shard, ev.outcome)
			}
			qt.Assert(t, qu.State(), qt.Equals, tt.state)
			qt.Assert(t, now, qt.Equals, tt.until)
			qt.Assert(t, qu.MayHaveRun(), qt.Equals, tt.mayHaveRun)
		})
	}
}

// All backend servers of a shard refused the request, or none is left for a hedge. The
// former ends the shard; the latter changes nothing for the attempt in flight.
func TestNoServerLeftKeepsAttemptInFlight(t *testing.T) {
	qu := newStartedQuery(t, plan(1, 1))
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

// Guards against a query that fails at the partial deadline for one part that waits for a
// connection, and against waiting as long for a part without any known server.
func TestNoConnectionDeadlineOutlastsNoServerDeadline(t *testing.T) {
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

// Guards against a hedge beyond the allowed attempts, of a part that is in, or of a request
// that may run only once, when its server is known to be stalled.
func TestHedgeNow(t *testing.T) {
	qu := newStartedQuery(t, plan(3, 2))
	qu.AttemptEnded(at(5), 0, OutcomePart)
	qu.HedgeNow(at(6), 0)
	qu.HedgeNow(at(6), 1)
	qt.Assert(t, qu.Next(at(6), nil), qt.DeepEquals, []Attempt{{1, Hedge}})
	qu.AttemptStarted(1, at(60))
	qu.HedgeNow(at(7), 1)
	qt.Assert(t, qu.Next(at(7), nil), qt.HasLen, 0)
	pl := plan(2, 2)
	pl.Repeatable = false
	once := newStartedQuery(t, pl)
	once.HedgeNow(at(6), 1)
	qt.Assert(t, once.Next(at(6), nil), qt.HasLen, 0)
}
