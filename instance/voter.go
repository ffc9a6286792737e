package instance

import (
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/control"
	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
	"balsamwinch.example/wal"
)

// Bounds of a voter.
const (
	// snapshotChanges is after how many changes the state is written as a snapshot,
	// since replaying one costs a merge of all files.
	snapshotChanges = 500
	// snapshotBytes is after how many bytes of commands, at least, the state is
	// written as a snapshot. Writing one costs in proportion to its size, so the
	// log may grow to the size of the last one first.
	snapshotBytes = 256 << 10
	// inForceWait is how long a change waits to be in force before its operator is
	// told that it is pending.
	inForceWait = 8 * time.Second
	// auditPage is how many audit entries one reply carries at most.
	auditPage = 200
	// rosterPeriod is how old the list of lease holders in a grant may be.
	rosterPeriod = 100 * time.Millisecond
	// replaceAfter is how many election timeouts a disk must have been silent, and
	// the leader must have led, before another disk of its instance replaces it.
	replaceAfter = 4
)

// voter performs what the replicated log decides: it saves, sends and applies.
// It runs on the control thread.
type voter struct {
	th     *thread
	id     quorum.ID
	boot   uint64
	jo     *wal.Journal
	formed bool
	st     quorum.State
	sm     control.State
	failed error

	appliedIndex, appliedTerm uint64
	changesSince, bytesSince  int // since the last snapshot
	snapshotSize              int
	role                      quorum.Role
	leader                    quorum.ID
	leaderSince               time.Time
	bo                        control.LeaseTable
	roster                    roster
	tag                       uint64
	proposed                  map[uint64]pending
	waiting                   []waiting
	heard                     map[quorum.ID]time.Time
	replacing                 map[quorum.ID]quorum.ID // replacing maps a newcomer to the lost disk that it replaces.
}

// diskID returns the identity of a voter: the instance's name and its disk.
func diskID(name, disk string) quorum.ID {
	return quorum.ID(name + "/" + disk)
}

// nameOf returns the instance's name in a voter's identity.
func nameOf(id quorum.ID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// newVoter returns the voter of an opened data folder. It takes part once the
// tier is formed.
func newVoter(th *thread, jo *wal.Journal, rc wal.Recovered) (*voter, error) {
	vo := &voter{
		th:        th,
		id:        diskID(th.cf.Name, rc.DiskID),
		boot:      rc.Boot,
		jo:        jo,
		sm:        control.NewState(),
		proposed:  make(map[uint64]pending),
		heard:     make(map[quorum.ID]time.Time),
		replacing: make(map[quorum.ID]quorum.ID),
	}
	if rc.Snapshot.Index == 0 {
		return vo, nil
	}
	if err := vo.restoreState(rc.Snapshot.Index, rc.Snapshot.Term, rc.Snapshot.Data); err != nil {
		return nil, err
	}
	vo.start(rc.Hard, rc.Snapshot, rc.Entries)
	return vo, nil
}

func (vo *voter) start(hs quorum.HardState, sn wal.Snapshot, ens []quorum.Entry) {
	now := vo.th.ts.Now()
	vo.formed = true
	ti := vo.th.cf.Timing
	vo.st = quorum.New(quorumConfig(vo.id, vo.boot, ti.Election, ti.Heartbeat), quorum.StoredState{
		Hard:           hs,
		SnapshotIndex:  sn.Index,
		SnapshotTerm:   sn.Term,
		SnapshotVoters: sn.Voters,
		Entries:        ens,
	}, now)
	vo.role = vo.st.Role()
}

// quorumConfig returns what a voter is started with.
//
// The seed is drawn and not the time: quorum.New mixes the time into it, and a time mixed
// with itself is the same for all. Voters that drew the same waits stood for election
// together, term after term; with two left of three the leases ran out meanwhile.
func quorumConfig(id quorum.ID, boot uint64, election, heartbeat time.Duration) quorum.Config {
	return quorum.Config{
		Self:              id,
		ElectionTimeout:   election,
		HeartbeatInterval: heartbeat,
		Seed:              rand.Uint64(),
		Boot:              boot,
	}
}

// form starts the replicated log of a fresh disk, with the voters of the tier's
// first start or, if they are none, as an outsider that waits to be added.
func (vo *voter) form(vs quorum.VoterSet) {
	if vo.formed {
		return
	}
	if len(vs.Voters) == 0 {
		vo.start(quorum.HardState{}, wal.Snapshot{}, nil)
		return
	}
	sn := firstSnapshot(vs)
	if vo.fail(vo.jo.SaveSnapshot(sn)) {
		return
	}
	vo.appliedIndex, vo.appliedTerm = sn.Index, sn.Term
	vo.start(quorum.HardState{Term: sn.Term}, sn, nil)
	vo.th.lg.Info("control-formed", zap.Any("Voters", vs.Voters))
}

func (vo *voter) fail(err error) bool {
	if err != nil && vo.failed == nil {
		vo.failed = err
	}
	return err != nil
}

func (vo *voter) tick(now time.Time) {
	if !vo.formed {
		return
	}
	vo.step(quorum.Tick{Now: now})
	vo.replace(now)
	vo.settle(now)
}

// step gives an event to the replicated log and performs its actions in order.
// Where a proposal was appended is noted first: the only voter of a tier commits
// it in the same step, and its proposer would miss the entry.
func (vo *voter) step(ev quorum.Event) {
	st, acs := quorum.Step(vo.st, ev)
	vo.st = st
	for _, ac := range acs {
		if ap, ok := ac.(quorum.ProposalAppended); ok {
			vo.appended(ap)
		}
	}
	for _, ac := range acs {
		if vo.failed != nil {
			return
		}
		vo.perform(ac)
	}
}

func (vo *voter) perform(ac quorum.Action) {
	switch ac := ac.(type) {
	case quorum.Save:
		vo.fail(vo.jo.Save(ac))
	case quorum.Send:
		vo.send(ac)
	case quorum.Apply:
		vo.apply(ac.Entries)
	case quorum.ProposalRejected:
		vo.refused(ac)
	case quorum.NeedSnapshot:
		vo.sendSnapshot(ac.To)
	case quorum.Restore:
		vo.restore(ac)
	case quorum.RoleChanged:
		vo.roleChanged(ac)
	}
}

func (vo *voter) send(ac quorum.Send) {
	frame, err := vo.th.co.Encode(ac.Message)
	if err != nil {
		vo.th.lg.Error("message-not-encoded", zap.Error(err))
		return
	}
	vo.th.send(nameOf(ac.To), "", routed{From: vo.id, To: ac.To, Frame: frame})
}

// message handles what other instances ask of control.
func (vo *voter) message(ev messaged) {
	switch ms := ev.ms.(type) {
	case routed:
		vo.routed(ev.from, ms)
	case formationRequest:
		ev.reply <- vo.formation(ev.from, ms)
	case control.Renewal:
		ev.reply <- vo.renewal(ms)
	case control.Proposal:
		vo.proposal(ms, ev.reply)
	case control.StatusRequest:
		ev.reply <- vo.status()
	case control.AuditRequest:
		ev.reply <- vo.audit(ms)
	case filesRequest:
		ev.reply <- vo.files()
	case votersRequest:
		ev.reply <- vo.changeVoters(ms)
	}
}

// routed passes a message of the replicated log on, if it is meant for this
// disk and comes from the instance that it names.
func (vo *voter) routed(from string, ms routed) {
	if !vo.formed || ms.To != vo.id || nameOf(ms.From) != from {
		return
	}
	in, err := vo.th.co.Decode(ms.Frame)
	if err != nil {
		vo.th.lg.Warn("message-not-decoded", zap.String("From", from), zap.Error(err))
		return
	}
	now := vo.th.ts.Now()
	vo.heard[ms.From] = now
	vo.step(quorum.Received{Now: now, From: ms.From, Message: in})
	vo.settle(now)
}

// apply runs committed entries through the state machine and answers those who
// wait for them.
func (vo *voter) apply(ens []quorum.Entry) {
	for _, en := range ens {
		vo.appliedIndex, vo.appliedTerm = en.Index, en.Term
		if en.Type == quorum.EntryCommand {
			vo.command(en)
		}
	}
	if vo.changesSince >= snapshotChanges || vo.bytesSince >= max(snapshotBytes, vo.snapshotSize) {
		vo.snapshot()
	}
}

func (vo *voter) command(en quorum.Entry) {
	cm, err := control.Decode(en.Data)
	if err != nil {
		// The command was checked before it was proposed, so an unreadable one was
		// written by a newer version. Going on would let this voter's state differ.
		vo.fail(&result.Error{Code: result.DamagedState, Op: "read command", Err: err})
		return
	}
	vo.bytesSince += len(en.Data)
	if _, ok := cm.(control.Change); ok {
		vo.changesSince++
	}
	before := vo.sm.Revision()
	sm, oc := vo.sm.Apply(en.Index, cm)
	vo.sm = sm
	if rev := sm.Revision(); rev > before && vo.role == quorum.Leader {
		vo.bo = vo.bo.WithRevision(vo.th.ts.Now(), rev)
		vo.notify(rev)
	}
	vo.answer(en, oc)
}

// notify tells every lease holder of a new revision, so that they don't wait
// for their next renewal. A lost notice only delays.
func (vo *voter) notify(revision uint64) {
	for _, in := range vo.bo.Instances(vo.th.ts.Now()) {
		if in.Name == vo.th.self.Name {
			vo.th.wake()
			continue
		}
		vo.th.send(in.Name, in.PeerAddress, notice{Revision: revision})
	}
}

// leads reports whether this voter may act as the leader: no other can exist
// until its lease ends, and it has applied an entry of its own term, and with it
// all that earlier leaders committed.
func (vo *voter) leads(now time.Time) bool {
	return vo.formed && vo.role == quorum.Leader && vo.appliedTerm == vo.st.Term() && now.Before(vo.st.LeaseExpiry())
}

// roleChanged starts a new book of leases when this voter becomes the leader,
// and tells those who wait that the outcome is unknown when it no longer is.
func (vo *voter) roleChanged(ac quorum.RoleChanged) {
	now := vo.th.ts.Now()
	if ac.Leader != vo.leader {
		vo.leader = ac.Leader
		vo.leaderSince = now
		if ac.Leader != "" {
			vo.th.leader = nameOf(ac.Leader)
		}
	}
	was := vo.role
	vo.role = ac.Role
	vo.th.lg.Info("role-changed", zap.String("Role", string(ac.Role)), zap.Uint64("Term", ac.Term),
		zap.String("Leader", nameOf(ac.Leader)), zap.String("Reason", ac.Reason))
	if ac.Role == quorum.Leader && was != quorum.Leader {
		vo.roster = roster{}
		vo.bo = control.NewLeaseTable(now, vo.th.cf.Timing.Lease).WithRevision(now, vo.sm.Revision())
		return
	}
	if was == quorum.Leader && ac.Role != quorum.Leader {
		vo.abandon()
	}
}

func (vo *voter) resign() {
	if vo.formed {
		vo.step(quorum.Resign{Now: vo.th.ts.Now()})
	}
}
