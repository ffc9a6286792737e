package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/timer"
)

// Guards against an instance that takes itself for a voter too early or too long: its share
// of a quota would be used twice. A voter of the first start counts from the beginning, its
// replacement from when it was added, and the replaced one never hears the leader again.
func TestStandingFollowsMembership(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 1)
	gr.all[0].mustPropose(1, "one")
	for _, in := range gr.votersRunning() {
		gr.await("contact of "+in.name, func() bool { return gr.ts.Now().Sub(in.nd.Standing().LastContact) < time.Second })
		st := in.nd.Standing()
		gr.c.Assert(st.Voting, qt.IsTrue)
		gr.c.Assert(st.Since.IsZero(), qt.IsTrue)
		gr.c.Assert(st.MaxVoters(gr.ts.Now(), time.Second), qt.Equals, 3)
	}
	gone := gr.leader()
	began := gr.ts.Now()
	standby := gr.all[0]
	for _, in := range gr.all {
		if !in.nd.Standing().Voting {
			standby = in
		}
	}
	gr.c.Assert(standby.nd.Standing().Voting, qt.IsFalse)
	gone.stop()
	gr.awaitVoters(3)
	gr.await("the standby votes", func() bool { return standby.nd.Standing().Voting })
	st := standby.nd.Standing()
	gr.c.Assert(st.Since.After(began), qt.IsTrue)
	gr.await("the removal", func() bool {
		st, now := standby.nd.Standing(), gr.ts.Now()
		return st.MaxVoters(now, voterCountTTL) == 4 && st.MaxVoters(now.Add(time.Second), time.Second) == 3
	})
	gone.run(false)
	gr.await("the returned voter is on standby", func() bool { return gone.nd.Status().Role == "Outsider" })
	gr.c.Assert(gone.nd.Standing().Voting, qt.IsFalse)
}

// Guards against an instance that was suspended and takes messages from before for contact
// with the leader, although it has been replaced in the meantime.
func TestSuspensionEndsContact(t *testing.T) {
	ts := timer.New()
	now := ts.Now()
	for _, tt := range []struct {
		gap  time.Duration
		kept bool
	}{{suspensionThreshold / 2, true}, {suspensionThreshold, false}} {
		th := &thread{nd: &Node{ts: ts}, leaderHeardAt: now.Add(-tt.gap), lastWorkAt: now.Add(-tt.gap)}
		th.noteSuspension()
		qt.Check(t, th.leaderHeardAt.IsZero(), qt.Equals, !tt.kept)
		qt.Check(t, th.votingSince.IsZero(), qt.Equals, tt.kept)
	}
}
