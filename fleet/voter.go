package fleet

import (
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/quorum"
	"balsamwinch.example/wal"
)

const (
	// maxBatch bounds the entries of one message; documents may be large.
	maxBatch = 16
	// snapshotBytes is after how many bytes of commands, at least, a snapshot is
	// written. One costs in proportion to its size, so the log may grow to twice
	// that first.
	snapshotBytes  = 1 << 20
	snapshotFactor = 2
)

// voter is an open disk and the log on it.
type voter struct {
	jo    *wal.Journal
	id    quorum.ID
	boot  uint64
	first []string // first are the seeds of a disk that took part in the first start.

	formed bool // formed says that the group exists and the log is in use.
	st     quorum.State
	sm     state

	appliedIndex, appliedTerm uint64
	bytesSince, snapshotSize  int
	failed                    error
}

// leadership is what a leader keeps for its term.
type leadership struct {
	since    time.Time
	heard    map[quorum.ID]time.Time // heard is when something came from a member.
	proposed uint64                  // proposed is the highest version that was appended.
	told     uint64                  // told is the version whose commit the voters were told at once.
	revision uint64                  // revision is likewise that of the evacuations.
	flight   int                     // flight is how many bytes are appended and not committed.
	named    map[string]time.Time    // named is when an address was proposed.
}

// start begins with what the disk holds.
func (th *thread) start(hs quorum.HardState, sn wal.Snapshot, ens []quorum.Entry) {
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
		MaxBatch:          maxBatch,
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
	th.learnState()
}

func (vo *voter) fail(err error) bool {
	if err != nil && vo.failed == nil {
		vo.failed = err
	}
	return err != nil
}

// step gives an event to the log and performs its actions in order.
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
	li := th.nd.li.find(nameOf(ac.To))
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

// routed passes a message of the log on, if it is meant for this disk and comes
// from the instance that it names.
func (th *thread) routed(ev routed) {
	vo := th.vo
	if vo == nil || !vo.formed || vo.failed != nil || ev.ms.To != vo.id || nameOf(ev.ms.From) != ev.from {
		return
	}
	ms, err := th.nd.co.Decode(ev.ms.Frame)
	if err != nil {
		th.nd.lg.Warn("message-not-decoded", zap.String("Instance", ev.from), zap.Error(err))
		return
	}
	now := th.now()
	if vo.st.Role() == quorum.Leader {
		th.leading.heard[ev.ms.From] = now
	}
	th.step(quorum.Received{Now: now, From: ev.ms.From, Message: ms})
}

// apply runs committed entries through the state.
func (th *thread) apply(ens []quorum.Entry) {
	vo := th.vo
	for _, en := range ens {
		vo.appliedIndex, vo.appliedTerm = en.Index, en.Term
		vo.bytesSince += len(en.Data)
		switch en.Type {
		case quorum.EntryCommand:
			th.command(en)
		case quorum.EntryVoters:
			vs := vo.st.VotersAt(en.Index)
			vo.sm = vo.sm.withVoters(vs)
			th.nd.lg.Info("voters-changed", zap.Uint64("Index", en.Index), zap.Stringer("Voters", vs))
			th.houseAt = th.last // The next change need not wait.
		}
	}
	if vo.failed == nil && vo.bytesSince > max(snapshotBytes, snapshotFactor*vo.snapshotSize) {
		th.snapshot()
	}
}

func (th *thread) command(en quorum.Entry) {
	vo := th.vo
	cm, err := decodeCommand(en.Data)
	if vo.fail(err) {
		// What a newer version wrote can't be passed over: this state would differ
		// from the others'.
		return
	}
	before := vo.sm.Evacuations
	vo.sm = vo.sm.with(cm)
	th.learnState()
	if cm.Evacuation != nil {
		_, outcome := before.Apply(cm.Evacuation.Order)
		th.ordered(cm.Evacuation.ID, outcome)
	}
}

// learnState takes over the document and the evacuations that the log has committed.
func (th *thread) learnState() {
	if st := th.vo.sm.Evacuations; th.learnEvacuations(st) && th.vo.st.Role() == quorum.Leader {
		th.tellOutsiders(Evacuations{Set: st})
	}
	do := th.vo.sm.Document
	if do.Version <= th.nd.newest.Load().Version {
		return
	}
	th.learn(&do)
	if th.vo.st.Role() == quorum.Leader {
		th.tellOutsiders(Document(do))
	}
}

func (th *thread) snapshot() {
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
	vo.bytesSince, vo.snapshotSize = 0, len(data)
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
	vo.bytesSince, vo.snapshotSize = 0, len(ac.Data)
	th.nd.lg.Info("snapshot-restored", zap.Uint64("Index", ac.Index), zap.Int("Bytes", len(ac.Data)))
	th.learnState()
}

func (th *thread) roleChanged(ac quorum.RoleChanged) {
	th.nd.lg.Info("role-changed", zap.String("Role", string(ac.Role)), zap.Uint64("Term", ac.Term),
		zap.String("Leader", nameOf(ac.Leader)), zap.String("Reason", ac.Reason))
	if ac.Role == quorum.Leader {
		th.leading = leadership{since: th.now(), heard: make(map[quorum.ID]time.Time), named: make(map[string]time.Time)}
		return
	}
	th.abandon("the instance does not lead")
}
