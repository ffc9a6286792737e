package instance

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/control"
	"balsamwinch.example/member"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
	"balsamwinch.example/wal"
)

// voterGroup is three control instances whose messages are delivered by deliver.
type voterGroup struct {
	c       *qt.C
	vrs     []settings.Voter
	threads map[string]*thread
	queue   []queuedMessage
	lost    map[string]bool // instances whose messages are dropped
}

type queuedMessage struct {
	from, to string
	ms       peer.Message
}

// outbox is the sender of one instance of a voterGroup.
type outbox struct {
	vg   *voterGroup
	name string
}

func (ob outbox) Send(name, _ string, ms peer.Message) {
	ob.vg.queue = append(ob.vg.queue, queuedMessage{ob.name, name, ms})
}

func newVoterGroup(c *qt.C, names ...string) *voterGroup {
	vg := &voterGroup{c: c, threads: make(map[string]*thread), lost: make(map[string]bool)}
	for _, name := range names {
		vg.vrs = append(vg.vrs, settings.Voter{Name: name, Address: name})
	}
	var vs quorum.VoterSet
	for _, name := range names {
		vs.Voters = append(vs.Voters, vg.start(name))
	}
	for _, name := range names {
		vg.threads[name].vo.bootstrap(vs)
	}
	return vg
}

// start starts an instance with an empty disk and returns the disk's identity.
func (vg *voterGroup) start(name string) quorum.ID {
	cf := settings.NewInstance()
	cf.Name, cf.Control.Voters = name, vg.vrs
	co := peer.NewCodec(quorum.Messages(), control.Messages(), member.Messages(), messages())
	th := newThread(cf, view.Instance{Name: name}, &view.Cell{}, co, timer.New(), zap.NewNop(), nil)
	th.pe = outbox{vg, name}
	jo, rc, err := wal.Open(vg.c.TempDir(), zap.NewNop())
	vg.c.Assert(err, qt.IsNil)
	vg.c.Cleanup(func() { _ = jo.Close() })
	th.vo, err = newVoter(th, jo, rc)
	vg.c.Assert(err, qt.IsNil)
	vg.threads[name] = th
	return th.vo.id
}

// run delivers messages and ticks all instances until a condition is true, at most for the
// given time, and reports whether it became true.
func (vg *voterGroup) run(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(tickInterval) {
		for _, vr := range vg.vrs {
			vg.threads[vr.Name].vo.tick(time.Now())
		}
		for len(vg.queue) > 0 {
			qm := vg.queue[0]
			vg.queue = vg.queue[1:]
			if !vg.lost[qm.from] && !vg.lost[qm.to] {
				vg.threads[qm.to].vo.handleMessage(messageReceived{from: qm.from, ms: qm.ms})
			}
		}
		if condition() {
			return true
		}
	}
	return false
}

func (vg *voterGroup) leader() *voter {
	for _, vr := range vg.vrs {
		if vo := vg.threads[vr.Name].vo; vo.leads(time.Now()) {
			return vo
		}
	}
	return nil
}

// awaitLeader waits for a leader other than the given voter.
func (vg *voterGroup) awaitLeader(not *voter) *voter {
	vg.c.Assert(vg.run(20*time.Second, func() bool { return vg.leader() != nil && vg.leader() != not }), qt.IsTrue)
	return vg.leader()
}

// A disk is lost, and the leader that added its replacement loses leadership before the
// replacement votes. The next leader must remove the lost disk: of four voters three are a
// majority, so with one of them gone for good, the next loss would stop all changes.
func TestNextLeaderRemovesReplacedDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vg := newVoterGroup(qt.New(t), "i1", "i2", "i3")
		first := vg.awaitLeader(nil)
		name := "i1"
		if nameOf(first.id) == name {
			name = "i2"
		}
		lost := vg.threads[name].vo.id
		added := vg.start(name)
		vg.threads[name].vo.bootstrap(quorum.VoterSet{})
		vg.lost[name] = true
		vg.run(2*replaceAfterElectionTimeouts*settings.DefaultElection, func() bool { return false })
		vg.c.Assert(vg.leader(), qt.Equals, first)

		first.handleFormation(name, formationRequest{Name: name, ID: added})
		vg.c.Assert(vg.run(time.Second, func() bool { return first.st.VotersAt(first.appliedIndex).HasLearner(added) }), qt.IsTrue)
		first.resign()
		next := vg.awaitLeader(first)
		vg.lost[name] = false
		vg.run(20*time.Second, func() bool { return !includes(next.st.VotersAt(next.appliedIndex), lost) })

		vs := next.st.VotersAt(next.appliedIndex)
		vg.c.Assert(vs.HasVoter(added), qt.IsTrue, qt.Commentf("%v", vs))
		vg.c.Assert(includes(vs, lost), qt.IsFalse, qt.Commentf("%v", vs))
		vg.c.Assert(vs.Voters, qt.HasLen, len(vg.vrs))
	})
}
