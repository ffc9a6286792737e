package quorum

import "slices"

const (
	// window is how many full batches may be unacknowledged by one member.
	window = 4
	// never is the acked time of a member that has not acknowledged anything.
	never int64 = -1
)

// progress is what the leader knows of one other member.
type progress struct {
	id         ID
	matched    uint64 // matched is up to where the member's log is known to be equal.
	next       uint64 // next is the first index to send.
	acked      int64  // acked is when the newest acknowledged message was sent.
	snapshotAt int64  // snapshotAt is when a snapshot was last asked for.
}

// lead begins a leader's term. Its first entry opens the term: entries of
// earlier terms are only committed behind it.
func (sp *step) lead() {
	sp.fire(eventVoteWon)
	sp.leader = sp.cf.Self
	sp.ledSince = sp.now
	sp.contact = time0
	sp.members = nil
	sp.syncMembers()
	sp.appendOwn(EntryNoop, nil)
	sp.updateContact()
	sp.heartbeatAt = sp.now.Add(sp.cf.HeartbeatInterval)
}

// syncMembers makes the members fit the newest voter set.
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
	return progress{id: id, next: sp.log.last() + 1, acked: never, snapshotAt: never}
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

// restartProgress forgets what a member held that has started again.
func (sp *step) restartProgress(id ID) {
	if pr := sp.findProgress(id); pr != nil {
		*pr = sp.newProgress(id)
	}
}

func (sp *step) propose(ev Propose) {
	switch {
	case sp.role != Leader:
		sp.refuseProposal(ev.Tag, ReasonNotLeader)
	case sp.resigning:
		sp.refuseProposal(ev.Tag, ReasonResigning)
	default:
		sp.appendOwn(EntryCommand, ev.Data)
		sp.act(ProposalAppended{Tag: ev.Tag, Index: sp.log.last(), Term: sp.hard.Term})
	}
}

// appendOwn appends an entry of the leader, saves it and sends it.
func (sp *step) appendOwn(et EntryType, data []byte) {
	en := Entry{Index: sp.log.last() + 1, Term: sp.hard.Term, Type: et, Data: data}
	es := []Entry{en}
	sp.log = sp.log.with(es)
	sp.save(Save{Entries: es})
	if et == EntryVoters {
		sp.noteVoters(es)
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

// sendAppend sends the next entries as far as the window has room, or a
// heartbeat. It takes for granted that what it sends arrives; a rejection of a
// later message shows a loss.
func (sp *step) sendAppend(pr *progress) {
	pr.next = max(pr.next, sp.log.snapshotIndex+1)
	prev := pr.next - 1
	prevTerm, _ := sp.log.term(prev)
	upTo := prev
	if prev-pr.matched < uint64(window*sp.cf.MaxBatch) {
		upTo = min(sp.log.last(), prev+uint64(sp.cf.MaxBatch))
	}
	pr.next = upTo + 1
	sp.send(pr.id, Append{
		Header:    sp.header(),
		Sent:      sp.sent(),
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
	pr.acked = max(pr.acked, re.Sent)
	if re.Rejected {
		sp.retreat(pr, re.Matched)
	} else {
		sp.raiseSighting(from, re.Term, re.Matched)
		sp.advance(pr, re.Matched)
	}
	sp.updateContact()
	sp.promote()
	sp.tryHandOver()
}

// advance notes what a member holds and sends it what it still lacks.
func (sp *step) advance(pr *progress, matched uint64) {
	pr.matched = max(pr.matched, matched)
	pr.next = max(pr.next, pr.matched+1)
	if pr.matched >= sp.log.snapshotIndex {
		pr.snapshotAt = never
	}
	if pr.next <= sp.log.last() {
		sp.sendAppend(pr)
	}
	sp.advanceCommit()
}

// retreat tries again after an earlier index, or by a snapshot if the log no
// longer holds what the member lacks. A rejection below what the member has
// acknowledged was overtaken, or its disk is broken; it is answered by the next
// heartbeat, lest the two keep sending as fast as the network allows.
func (sp *step) retreat(pr *progress, after uint64) {
	overtaken := after < pr.matched
	after = max(after, pr.matched)
	if after < sp.log.snapshotIndex {
		sp.needSnapshot(pr)
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

// needSnapshot asks the executor for a snapshot, but not again while the last
// one may still be on its way.
func (sp *step) needSnapshot(pr *progress) {
	pr.next = sp.log.snapshotIndex + 1
	if pr.snapshotAt != never && sp.sent()-pr.snapshotAt < int64(2*sp.cf.ElectionTimeout) {
		return
	}
	pr.snapshotAt = sp.sent()
	sp.act(NeedSnapshot{To: pr.id})
}

func (sp *step) sendSnapshot(ev SnapshotReady) {
	if sp.role != Leader || sp.findProgress(ev.To) == nil {
		return
	}
	sp.send(ev.To, Snapshot{
		Header:    sp.header(),
		Sent:      sp.sent(),
		Index:     ev.Index,
		IndexTerm: ev.Term,
		Voters:    ev.Voters,
		Data:      ev.Data,
	})
}

// advanceCommit commits what a majority of the voters holds.
//
// Only an entry of the leader's own term is committed by counting. An entry of
// an earlier term may be on a majority and still be overwritten by a leader that
// never held it but has a newer last term; a committed entry would change.
func (sp *step) advanceCommit() {
	var held []uint64
	for _, id := range sp.Voters().Voters {
		if id == sp.cf.Self {
			held = append(held, sp.log.last())
			continue
		}
		held = append(held, sp.progress(id).matched)
	}
	index := heldByMajority(held)
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
	sp.act(Apply{Entries: es})
}
