package instance

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/control"
	"balsamwinch.example/peer"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
)

// killedLeader replies as three voters of which i3, the leader, was killed: i3 never replies,
// i1 still names it as the leader for a while, and i2 leads from leadsAt on.
type killedLeader struct {
	start   time.Time
	leadsAt time.Duration
	asked   []string
}

func (kl *killedLeader) call(ctx context.Context, name string, _ peer.Message) (peer.Message, error) {
	kl.asked = append(kl.asked, name)
	leads := time.Since(kl.start) >= kl.leadsAt
	switch {
	case name == "i3":
		<-ctx.Done()
		return nil, ctx.Err()
	case name == "i2" && leads:
		return control.Grant{LeaseMillis: 2000, Granted: true, Leader: "i2"}, nil
	case leads:
		return control.Grant{Leader: "i2"}, nil
	default:
		return control.Grant{Leader: "i3"}, nil
	}
}

// The leader is killed, and another voter leads 0.6 s later. An instance whose renewal timed
// out at the killed leader must skip it for a while. Otherwise it calls it again, because it
// is next in turn or a voter that has not noticed names it; its lease then expires although
// there is a leader, and its callers are refused.
func TestUnresponsiveVoterIsSkipped(t *testing.T) {
	var vrs []settings.Voter
	for _, name := range []string{"i1", "i2", "i3"} {
		vrs = append(vrs, settings.Voter{Name: name})
	}
	for next := range vrs {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			kl := &killedLeader{start: time.Now(), leadsAt: 600 * time.Millisecond}
			rn := &renewer{cf: settings.Instance{Control: settings.ControlGroup{Voters: vrs}}, pc: kl, ts: timer.New(), leaderHint: "i3", nextVoter: next}
			for {
				if gr, ok := rn.request(t.Context(), control.Renewal{}); ok {
					c.Assert(gr.Granted, qt.IsTrue)
					break
				}
				c.Assert(rn.ts.Sleep(t.Context(), tickInterval), qt.IsNil)
			}
			c.Assert(time.Since(kl.start) <= callTimeout+3*tickInterval, qt.IsTrue, qt.Commentf("%v, asked %v", time.Since(kl.start), kl.asked))
		})
	}
}

// slowLeader is a leader that does not reply to the first call in time.
type slowLeader struct{ asked []string }

func (sl *slowLeader) call(ctx context.Context, name string, _ peer.Message) (peer.Message, error) {
	sl.asked = append(sl.asked, name)
	if name != "i3" {
		return control.Grant{Leader: "i3"}, nil
	}
	if len(sl.asked) == 1 {
		<-ctx.Done()
		return nil, errors.New("no answer in time")
	}
	return control.Grant{LeaseMillis: 2000, Granted: true, Leader: "i3"}, nil
}

// The leader is late with one reply and goes on leading. It must be called again soon: if it
// were skipped for good, nobody would renew the lease.
func TestSlowLeaderIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		sl := &slowLeader{}
		vrs := []settings.Voter{{Name: "i1"}, {Name: "i2"}, {Name: "i3"}}
		rn := &renewer{cf: settings.Instance{Control: settings.ControlGroup{Voters: vrs}}, pc: sl, ts: timer.New(), leaderHint: "i3"}
		began := time.Now()
		for {
			if _, ok := rn.request(t.Context(), control.Renewal{}); ok {
				break
			}
			c.Assert(rn.ts.Sleep(t.Context(), tickInterval), qt.IsNil)
		}
		c.Assert(time.Since(began) <= callTimeout+unresponsiveTimeout+2*tickInterval, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		c.Assert(slices.Contains(sl.asked, "i1"), qt.IsTrue)
	})
}

// With a single voter, an unresponsive voter is not skipped.
func TestOnlyVoterIsAskedAgain(t *testing.T) {
	c := qt.New(t)
	rn := &renewer{cf: settings.Instance{Control: settings.ControlGroup{Voters: []settings.Voter{{Name: "i1"}}}}, ts: timer.New()}

	rn.unresponsive, rn.unresponsiveSince = "i1", rn.ts.Now()
	c.Assert(rn.selectVoter(), qt.Equals, "i1")
}
