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

// Limits and timeouts of a voter.
const (
	// maxChangesSinceSnapshot is the number of changes after which a snapshot is written.
	// Replaying a change costs a merge of all files.
	maxChangesSinceSnapshot = 500
	// minBytesSinceSnapshot is the smallest size of the commands in the log at which a
	// snapshot is written. Writing a snapshot costs in proportion to its size, so the log may
	// first grow to the size of the last one.
	minBytesSinceSnapshot = 256 << 10
	// inForceTimeout is how long a change waits to be in force before its operator gets the
	// reply that it is pending.
	inForceTimeout = 8 * time.Second
	// maxAuditEntries bounds the audit entries in one reply.
	maxAuditEntries = 200
	// rosterTTL is the maximum age of the list of lease holders in a grant.
	rosterTTL = 100 * time.Millisecond
	// replaceAfterElectionTimeouts is how many election timeouts a disk must have been silent,
	// and the leader must have led, before another disk of its instance replaces it.
	replaceAfterElectionTimeouts = 4
)

// voter runs the replicated log: it persists state, sends messages and applies committed
// entries. It runs on the control thread.
type voter struct {
	th         *thread
	id         quorum.ID
	boot       uint64
	jo         *wal.Journal
	formed     bool
	st         quorum.State
	sm         control.State
	storageErr error

	appliedIndex, appliedTerm uint64
	changesSince, bytesSince  int // since the last snapshot
	snapshotSize              int
	role                      quorum.Role
	leader                    quorum.ID
	leaderSince               time.Time
	bo                        control.LeaseTable
	roster                    roster
	lastTag                   uint64
	proposed                  map[uint64]pendingProposal
	waiting                   []waitingChange
	lastReceived              map[quorum.ID]time.Time
}

// diskID returns the identity of a voter: the instance's name and its disk's ID.
func diskID(name, disk string) quorum.ID {
	return quorum.ID(name + "/" + disk)
}

// nameOf returns the name of the instance in a voter's identity.
func nameOf(id quorum.ID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// newVoter returns the voter of an opened data folder. On an empty disk it takes no part until
// the tier is formed.
func newVoter(th *thread, jo *wal.Journal, rc wal.Recovered) (*voter, error) {
	vo := &voter{
		th:           th,
		id:           diskID(th.cf.Name, rc.DiskID),
		boot:         rc.Boot,
		jo:           jo,
		sm:           control.NewState(),
		proposed:     make(map[uint64]pendingProposal),
		lastReceived: make(map[quorum.ID]time.Time),
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

// quorumConfig returns the configuration that a voter is started with.
//
// The seed is random and not the time: quorum.New mixes the time into the seed, and the time
// mixed with itself gives the same value on all voters. Voters with equal election timeouts
// stood for election together, term after term; with two of three voters left, the leases
// expired meanwhile.
func quorumConfig(id quorum.ID, boot uint64, election, heartbeat time.Duration) quorum.Config {
	return quorum.Config{
		Self:              id,
		ElectionTimeout:   election,
		HeartbeatInterval: heartbeat,
		Seed:              rand.Uint64(),
		Boot:              boot,
	}
}

// bootstrap starts the replicated log of an empty disk with the voters of the tier's first
// start. If there are none, the disk starts as a non-member that waits to be added.
func (vo *voter) bootstrap(vs quorum.VoterSet) {
	if vo.formed {
		return
	}
	if len(vs.Voters) == 0 {
		vo.start(quorum.HardState{}, wal.Snapshot{}, nil)
		return
	}
	sn := firstSnapshot(vs)
	if vo.storageFailed(vo.jo.SaveSnapshot(sn)) {
		return
	}
	vo.appliedIndex, vo.appliedTerm = sn.Index, sn.Term
	vo.start(quorum.HardState{Term: sn.Term}, sn, nil)
	vo.th.lg.Info("control-formed", zap.Any("Voters", vs.Voters))
}

func (vo *voter) storageFailed(err error) bool {
	if err != nil && vo.storageErr == nil {
		vo.storageErr = err
	}
	return err != nil
}

func (vo *voter) tick(now time.Time) {
	if !vo.formed {
		return
	}
	vo.step(quorum.Tick{Now: now})
	vo.removeReplaced(now)
	vo.resolveWaiting(now)
}

// step passes an event to the replicated log and performs the resulting actions in order.
// Appended proposals are recorded first: a single voter commits an entry in the same step, and
// its proposer would otherwise get no reply.
func (vo *voter) step(ev quorum.Event) {
	st, acs := quorum.Step(vo.st, ev)
	vo.st = st
	for _, ac := range acs {
		if ap, ok := ac.(quorum.ProposalAppended); ok {
			vo.proposalAppended(ap)
		}
	}
	for _, ac := range acs {
		if vo.storageErr != nil {
			return
		}
		vo.perform(ac)
	}
}

func (vo *voter) perform(ac quorum.Action) {
	switch ac := ac.(type) {
	case quorum.Save:
		vo.storageFailed(vo.jo.Save(ac))
	case quorum.Send:
		vo.send(ac)
	case quorum.Apply:
		vo.apply(ac.Entries)
	case quorum.ProposalRejected:
		vo.proposalRejected(ac)
	case quorum.NeedSnapshot:
		vo.sendSnapshot(ac.To)
	case quorum.Restore:
		vo.restoreSnapshot(ac)
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
	vo.th.send(nameOf(ac.To), "", routedMessage{From: vo.id, To: ac.To, Frame: frame})
}

// handleMessage handles messages of other instances to control.
func (vo *voter) handleMessage(ev messageReceived) {
	switch ms := ev.ms.(type) {
	case routedMessage:
		vo.handleRouted(ev.from, ms)
	case formationRequest:
		ev.reply <- vo.handleFormation(ev.from, ms)
	case control.Renewal:
		ev.reply <- vo.handleRenewal(ms)
	case control.Proposal:
		vo.handleProposal(ms, ev.reply)
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

// handleRouted passes on a message of the replicated log if it is addressed to this disk and
// its sender belongs to the instance that it came from.
func (vo *voter) handleRouted(from string, ms routedMessage) {
	if !vo.formed || ms.To != vo.id || nameOf(ms.From) != from {
		return
	}
	in, err := vo.th.co.Decode(ms.Frame)
	if err != nil {
		vo.th.lg.Warn("message-not-decoded", zap.String("From", from), zap.Error(err))
		return
	}
	now := vo.th.ts.Now()
	vo.lastReceived[ms.From] = now
	vo.step(quorum.Received{Now: now, From: ms.From, Message: in})
	vo.resolveWaiting(now)
}

// apply applies committed entries to the state machine and replies to their proposers.
func (vo *voter) apply(ens []quorum.Entry) {
	for _, en := range ens {
		vo.appliedIndex, vo.appliedTerm = en.Index, en.Term
		if en.Type == quorum.EntryCommand {
			vo.applyCommand(en)
		}
	}
	if vo.changesSince >= maxChangesSinceSnapshot || vo.bytesSince >= max(minBytesSinceSnapshot, vo.snapshotSize) {
		vo.saveSnapshot()
	}
}

func (vo *voter) applyCommand(en quorum.Entry) {
	cm, err := control.Decode(en.Data)
	if err != nil {
		// The command was checked before it was proposed, so if it cannot be read, a newer
		// version wrote it. Skipping it would make this voter's state differ.
		vo.storageFailed(&result.Error{Code: result.DamagedState, Op: "read command", Err: err})
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
		vo.notifyHolders(rev)
	}
	vo.replyToProposer(en, oc)
}

// notifyHolders tells every lease holder of a new revision, so that they need not wait for
// their next renewal. A lost notice only delays the renewal.
func (vo *voter) notifyHolders(revision uint64) {
	for _, in := range vo.bo.Instances(vo.th.ts.Now()) {
		if in.Name == vo.th.self.Name {
			vo.th.triggerRenewal()
			continue
		}
		vo.th.send(in.Name, in.PeerAddress, revisionNotice{Revision: revision})
	}
}

// leads reports whether this voter may act as the leader: there can be no other leader until
// its lease expires, and it has applied an entry of its own term and so all entries that
// earlier leaders committed.
func (vo *voter) leads(now time.Time) bool {
	return vo.formed && vo.role == quorum.Leader && vo.appliedTerm == vo.st.Term() && now.Before(vo.st.LeaseExpiry())
}

// roleChanged starts a new lease table when this voter becomes the leader. When it loses
// leadership, it tells waiting proposers that the outcome is unknown.
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
		vo.abandonWaiting()
	}
}

func (vo *voter) resign() {
	if vo.formed {
		vo.step(quorum.Resign{Now: vo.th.ts.Now()})
	}
}
