package quorum

import "slices"

const (
	// maxInFlightBatches bounds the full batches that one member has not acknowledged.
	maxInFlightBatches = 4
	// noTime is the ackedSendTime of a member that has not acknowledged anything, and the
	// snapshotRequestedAt of one for which no snapshot is awaited.
	noTime int64 = -1
)

// progress is a leader's view of another member.
type progress struct {
	id                  ID
	matched             uint64 // matched is the index up to which the member's log is known to be equal.
	next                uint64 // next is the first index to send.
	ackedSendTime       int64  // ackedSendTime is when the newest acknowledged message was sent.
	snapshotRequestedAt int64  // snapshotRequestedAt is when a snapshot was last requested.
}

// becomeLeader begins a leader's term. The term starts with an entry of its own, because
// entries of earlier terms are committed only through a later entry of the current term.
func (sp *step) becomeLeader() {
	sp.transition(eventVoteWon)
	sp.leader = sp.cf.Self
	sp.becameLeaderAt = sp.now
	sp.quorumContact = zeroTime
	sp.members = nil
	sp.syncMembers()
	sp.appendOwn(EntryNoop, nil)
	sp.updateQuorumContact()
	sp.heartbeatAt = sp.now.Add(sp.cf.HeartbeatInterval)
}

// syncMembers updates the members to the newest voter set.
func (sp *step) syncMembers() {
	vs := sp.Voters()
	sp.members = slices.DeleteFunc(sp.members, func(pr progress) bool {
		return !vs.HasVoter(pr.id) && !vs.HasLearner(pr.id)
	})
	for _, id := range slices.Concat(vs.Voters, vs.Learners) {
		if id != sp.cf.Self && sp.findProgress(id) == nil {
			sp.members = append(sp.members, sp.newProgress(id))
		}
	}
}

func (sp *step) newProgress(id ID) progress {
	return progress{id: id, next: sp.log.last() + 1, ackedSendTime: noTime, snapshotRequestedAt: noTime}
}

func (sp *step) findProgress(id ID) *progress {
	for po := range sp.members {
		if sp.members[po].id == id {
			return &sp.members[po]
		}
	}
	return nil
}

// progress returns a copy of the progress of a member.
func (sp *step) progress(id ID) progress {
	if pr := sp.findProgress(id); pr != nil {
		return *pr
	}
	return sp.newProgress(id)
}

// resetProgress discards the progress of a member that has restarted.
func (sp *step) resetProgress(id ID) {
	if pr := sp.findProgress(id); pr != nil {
		*pr = sp.newProgress(id)
	}
}

func (sp *step) propose(ev Propose) {
	switch {
	case sp.role != Leader:
		sp.rejectProposal(ev.Tag, ReasonNotLeader)
	case sp.resigning:
		sp.rejectProposal(ev.Tag, ReasonResigning)
	default:
		sp.appendOwn(EntryCommand, ev.Data)
		sp.emit(ProposalAppended{Tag: ev.Tag, Index: sp.log.last(), Term: sp.hard.Term})
	}
}

// appendOwn appends an entry of the leader, saves it and sends it.
func (sp *step) appendOwn(et EntryType, data []byte) {
	en := Entry{Index: sp.log.last() + 1, Term: sp.hard.Term, Type: et, Data: data}
	es := []Entry{en}
	sp.log = sp.log.with(es)
	sp.save(Save{Entries: es})
	if et == EntryVoters {
		sp.recordVoters(es)
		sp.syncMembers()
	}
	for po := range sp.members {
		sp.sendAppend(&sp.members[po])
	}
	sp.advanceCommit()
}

func (sp *step) broadcast() {
	sp.heartbeatAt = sp.now.Add(sp.cf.HeartbeatInterval)
	for po := range sp.members {
		sp.sendAppend(&sp.members[po])
	}
}

// sendAppend sends the next entries that the in-flight limit allows, or a heartbeat. It
// assumes that they arrive; the rejection of a later message reveals a loss.
func (sp *step) sendAppend(pr *progress) {
	pr.next = max(pr.next, sp.log.snapshotIndex+1)
	prev := pr.next - 1
	prevTerm, _ := sp.log.term(prev)
	upTo := prev
	if prev-pr.matched < uint64(maxInFlightBatches*sp.cf.MaxBatch) {
		upTo = min(sp.log.last(), prev+uint64(sp.cf.MaxBatch))
	}
	pr.next = upTo + 1
	sp.send(pr.id, Append{
		Header:    sp.header(),
		Sent:      sp.sendTime(),
		PrevIndex: prev,
		PrevTerm:  prevTerm,
		Commit:    sp.commit,
		Entries:   sp.log.slice(prev, upTo),
	})
}

func (sp *step) onAppendReply(from ID, re AppendReply) {
	if re.Term > sp.hard.Term {
		sp.adoptTerm(re.Term)
		return
	}
	pr := sp.findProgress(from)
	if sp.role != Leader || re.Term != sp.hard.Term || pr == nil {
		return
	}
	pr.ackedSendTime = max(pr.ackedSendTime, re.Sent)
	if re.Rejected {
		sp.backtrack(pr, re.Matched)
	} else {
		sp.raiseObservation(from, re.Term, re.Matched)
		sp.advance(pr, re.Matched)
	}
	sp.updateQuorumContact()
	sp.promoteLearner()
	sp.tryTransfer()
}

// advance records the index that a member holds and sends it the missing entries.
func (sp *step) advance(pr *progress, matched uint64) {
	pr.matched = max(pr.matched, matched)
	pr.next = max(pr.next, pr.matched+1)
	if pr.matched >= sp.log.snapshotIndex {
		pr.snapshotRequestedAt = noTime
	}
	if pr.next <= sp.log.last() {
		sp.sendAppend(pr)
	}
	sp.advanceCommit()
}

// backtrack retries from an earlier index, or with a snapshot if the log no longer holds
// the entries that the member lacks. A rejection below an acknowledged index was delayed,
// or the member's disk is broken; only the next heartbeat answers it, so that the two don't
// exchange messages as fast as the network allows.
func (sp *step) backtrack(pr *progress, after uint64) {
	overtaken := after < pr.matched
	after = max(after, pr.matched)
	if after < sp.log.snapshotIndex {
		sp.requestSnapshot(pr)
		return
	}
	if after+1 >= pr.next {
		return
	}
	pr.next = after + 1
	if !overtaken {
		sp.sendAppend(pr)
	}
}

// requestSnapshot asks the executor for a snapshot, unless the last one may still be in
// flight.
func (sp *step) requestSnapshot(pr *progress) {
	pr.next = sp.log.snapshotIndex + 1
	if pr.snapshotRequestedAt != noTime && sp.sendTime()-pr.snapshotRequestedAt < int64(2*sp.cf.ElectionTimeout) {
		return
	}
	pr.snapshotRequestedAt = sp.sendTime()
	sp.emit(NeedSnapshot{To: pr.id})
}

func (sp *step) sendSnapshot(ev SnapshotReady) {
	if sp.role != Leader || sp.findProgress(ev.To) == nil {
		return
	}
	sp.send(ev.To, Snapshot{
		Header:    sp.header(),
		Sent:      sp.sendTime(),
		Index:     ev.Index,
		IndexTerm: ev.Term,
		Voters:    ev.Voters,
		Data:      ev.Data,
	})
}

// advanceCommit commits the entries that a majority of the voters holds.
//
// Only entries of the leader's own term are committed by counting replicas. An entry of an
// earlier term may be on a majority and still be overwritten by a leader that never held it
// but has a newer last term; a committed entry would change.
func (sp *step) advanceCommit() {
	var held []uint64
	for _, id := range sp.Voters().Voters {
		if id == sp.cf.Self {
			held = append(held, sp.log.last())
			continue
		}
		held = append(held, sp.progress(id).matched)
	}
	index := majorityValue(held)
	te, _ := sp.log.term(index)
	if index > sp.commit && te == sp.hard.Term {
		sp.commitTo(index)
	}
}

func (sp *step) commitTo(index uint64) {
	if index <= sp.commit {
		return
	}
	es := sp.log.slice(sp.commit, index)
	sp.commit = index
	sp.emit(Apply{Entries: es})
}
