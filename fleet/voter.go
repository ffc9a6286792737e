package fleet

import (
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/quorum"
	"balsamwinch.example/wal"
)

const (
	// maxBatchEntries bounds the entries of one message; documents may be large.
	maxBatchEntries = 16
	// A snapshot is written once the commands since the last one exceed minSnapshotBytes
	// and snapshotGrowthFactor times the size of the last snapshot. Writing one costs in
	// proportion to its size, so the log may grow to twice that size first.
	minSnapshotBytes     = 1 << 20
	snapshotGrowthFactor = 2
)

// voter is an open disk and the replicated log on it.
type voter struct {
	jo         *wal.Journal
	id         quorum.ID
	boot       uint64
	firstSeeds []string // firstSeeds are the seeds of a disk that took part in the first start.

	formed bool // formed is set once the group exists and the log is in use.
	st     quorum.State
	sm     state

	appliedIndex, appliedTerm        uint64
	bytesSinceSnapshot, snapshotSize int
	failed                           error
}

// leadership is a leader's state for its term.
type leadership struct {
	since             time.Time
	lastHeard         map[quorum.ID]time.Time // lastHeard is when a member's last message arrived.
	proposedVersion   uint64                  // proposedVersion is the highest version that was appended.
	broadcastVersion  uint64                  // broadcastVersion is the version whose commit was broadcast.
	broadcastRevision uint64                  // broadcastRevision is the revision of the evacuations whose commit was broadcast.
	inFlightBytes     int                     // inFlightBytes is the number of bytes that are appended and not committed.
	addressProposedAt map[string]time.Time    // addressProposedAt is when an instance's address was last proposed, by name.
}

// startLog starts the replicated log from the recovered state.
func (th *thread) startLog(hs quorum.HardState, sn wal.Snapshot, ens []quorum.Entry) {
	vo := th.vo
	sm, err := decodeState(sn.Data)
	if vo.fail(err) {
		return
	}
	now := th.now()
	vo.formed = true
	vo.sm = sm
	vo.appliedIndex, vo.appliedTerm = sn.Index, sn.Term
	vo.snapshotSize = len(sn.Data)
	vo.st = quorum.New(quorum.Config{
		Self:              vo.id,
		ElectionTimeout:   th.nd.cf.ElectionTimeout,
		HeartbeatInterval: th.nd.cf.HeartbeatInterval,
		Seed:              th.nd.start ^ uint64(now.UnixNano()),
		MaxBatch:          maxBatchEntries,
		Boot:              vo.boot,
	}, quorum.StoredState{
		Hard:           hs,
		SnapshotIndex:  sn.Index,
		SnapshotTerm:   sn.Term,
		SnapshotVoters: sn.Voters,
		Entries:        ens,
	}, now)
	th.nd.lg.Info("log-opened", zap.String("ID", string(vo.id)), zap.Uint64("Boot", vo.boot),
		zap.String("Role", string(vo.st.Role())), zap.Uint64("Term", vo.st.Term()), zap.Uint64("Last", vo.st.Last()),
		zap.Uint64("Version", sm.Document.Version), zap.Stringer("Voters", vo.st.Voters()))
	th.learnCommitted()
}

func (vo *voter) fail(err error) bool {
	if err != nil && vo.failed == nil {
		vo.failed = err
	}
	return err != nil
}

// step passes an event to the log and performs the resulting actions in order.
func (th *thread) step(ev quorum.Event) {
	vo := th.vo
	st, acs := quorum.Step(vo.st, ev)
	vo.st = st
	for _, ac := range acs {
		if vo.failed != nil {
			return
		}
		th.perform(ac)
	}
}

func (th *thread) perform(ac quorum.Action) {
	vo := th.vo
	switch ac := ac.(type) {
	case quorum.Save:
		vo.fail(vo.jo.Save(ac))
	case quorum.Send:
		th.send(ac)
	case quorum.Apply:
		th.apply(ac.Entries)
	case quorum.ProposalRejected:
		th.nd.lg.Info("change-refused", zap.Stringer("Reason", ac.Reason), zap.String("Leader", string(ac.Leader)))
	case quorum.NeedSnapshot:
		th.sendSnapshot(ac.To)
	case quorum.Restore:
		th.restore(ac)
	case quorum.RoleChanged:
		th.roleChanged(ac)
	}
}

func (th *thread) send(ac quorum.Send) {
	li := th.nd.links.find(instanceOf(ac.To))
	if li == nil {
		return
	}
	frame, err := th.nd.co.Encode(ac.Message)
	if err != nil {
		th.nd.lg.Error("message-not-encoded", zap.Error(err))
		return
	}
	_ = li.co.Send(Envelope{From: th.vo.id, To: ac.To, Frame: frame}) // It may be lost.
}

// handleEnvelope passes a message to the log if it is meant for this disk and its sender is
// the instance at the other end of the link.
func (th *thread) handleEnvelope(ev envelopeReceived) {
	vo := th.vo
	if vo == nil || !vo.formed || vo.failed != nil || ev.ms.To != vo.id || instanceOf(ev.ms.From) != ev.from {
		return
	}
	ms, err := th.nd.co.Decode(ev.ms.Frame)
	if err != nil {
		th.nd.lg.Warn("message-not-decoded", zap.String("Instance", ev.from), zap.Error(err))
		return
	}
	now := th.now()
	if vo.st.Role() == quorum.Leader {
		th.leading.lastHeard[ev.ms.From] = now
	}
	th.step(quorum.Received{Now: now, From: ev.ms.From, Message: ms})
	th.noteContact(now, ev.ms.From)
}

// apply applies committed entries to the state machine.
func (th *thread) apply(ens []quorum.Entry) {
	vo := th.vo
	for _, en := range ens {
		vo.appliedIndex, vo.appliedTerm = en.Index, en.Term
		vo.bytesSinceSnapshot += len(en.Data)
		switch en.Type {
		case quorum.EntryCommand:
			th.applyCommand(en)
		case quorum.EntryVoters:
			vs := vo.st.VotersAt(en.Index)
			vo.sm = vo.sm.withVoters(vs)
			th.nd.lg.Info("voters-changed", zap.Uint64("Index", en.Index), zap.Stringer("Voters", vs))
			th.nextMaintenance = th.lastNow // The next change need not wait.
		}
	}
	if vo.failed == nil && vo.bytesSinceSnapshot > max(minSnapshotBytes, snapshotGrowthFactor*vo.snapshotSize) {
		th.saveSnapshot()
	}
}

func (th *thread) applyCommand(en quorum.Entry) {
	vo := th.vo
	cm, err := decodeCommand(en.Data)
	if vo.fail(err) {
		// A command written by a newer version must not be skipped: the state would diverge
		// from that of the other voters.
		return
	}
	before := vo.sm.Evacuations
	vo.sm = vo.sm.withCommand(cm)
	th.learnCommitted()
	if cm.Evacuation != nil {
		_, outcome := before.Apply(cm.Evacuation.Order)
		th.completeOrder(cm.Evacuation.ID, outcome)
	}
}

// learnCommitted adopts the document and the evacuations that the log has committed.
func (th *thread) learnCommitted() {
	if st := th.vo.sm.Evacuations; th.learnEvacuations(st) && th.vo.st.Role() == quorum.Leader {
		th.pushToNonMembers(Evacuations{Set: st})
	}
	do := th.vo.sm.Document
	if do.Version <= th.nd.newest.Load().Version {
		return
	}
	th.learnDocument(&do)
	if th.vo.st.Role() == quorum.Leader {
		th.pushToNonMembers(Document(do))
	}
}

func (th *thread) saveSnapshot() {
	vo := th.vo
	data := vo.sm.encode()
	sn := wal.Snapshot{
		Index:  vo.appliedIndex,
		Term:   vo.appliedTerm,
		Voters: vo.st.VotersAt(vo.appliedIndex),
		Data:   data,
	}
	if vo.fail(vo.jo.SaveSnapshot(sn)) {
		return
	}
	vo.bytesSinceSnapshot, vo.snapshotSize = 0, len(data)
	th.step(quorum.Compacted{Index: sn.Index})
}

func (th *thread) sendSnapshot(to quorum.ID) {
	vo := th.vo
	th.step(quorum.SnapshotReady{
		Now:    th.now(),
		To:     to,
		Index:  vo.appliedIndex,
		Term:   vo.appliedTerm,
		Voters: vo.st.VotersAt(vo.appliedIndex),
		Data:   vo.sm.encode(),
	})
}

func (th *thread) restore(ac quorum.Restore) {
	vo := th.vo
	sn := wal.Snapshot{Index: ac.Index, Term: ac.Term, Voters: ac.Voters, Data: ac.Data}
	if vo.fail(vo.jo.SaveSnapshot(sn)) {
		return
	}
	sm, err := decodeState(ac.Data)
	if vo.fail(err) {
		return
	}
	vo.sm = sm
	vo.appliedIndex, vo.appliedTerm = ac.Index, ac.Term
	vo.bytesSinceSnapshot, vo.snapshotSize = 0, len(ac.Data)
	th.nd.lg.Info("snapshot-restored", zap.Uint64("Index", ac.Index), zap.Int("Bytes", len(ac.Data)))
	th.learnCommitted()
}

func (th *thread) roleChanged(ac quorum.RoleChanged) {
	th.nd.lg.Info("role-changed", zap.String("Role", string(ac.Role)), zap.Uint64("Term", ac.Term),
		zap.String("Leader", instanceOf(ac.Leader)), zap.String("Reason", ac.Reason))
	if ac.Role == quorum.Leader {
		th.leading = leadership{since: th.now(), lastHeard: make(map[quorum.ID]time.Time), addressProposedAt: make(map[string]time.Time)}
		return
	}
	th.rejectPending("the instance does not lead")
}
