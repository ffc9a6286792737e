package quorum

// acceptLeader accepts the sender of an Append or Snapshot as the leader of its term. It
// reports false if that term is lower than the current one.
func (sp *step) acceptLeader(from ID, he Header) bool {
	if he.Term < sp.hard.Term || sp.role == Leader && he.Term == sp.hard.Term {
		return false
	}
	if he.Term > sp.hard.Term {
		sp.adoptTerm(he.Term)
	}
	sp.transition(eventStepDown)
	sp.leader = from
	sp.leaderHeardAt = sp.now
	sp.resetElection()
	return true
}

func (sp *step) onAppend(from ID, ap Append) {
	if !sp.acceptLeader(from, ap.Header) {
		sp.reject(from, ap.Sent, sp.commit)
		return
	}
	sp.raiseObservation(from, ap.Term, ap.PrevIndex+uint64(len(ap.Entries)))
	ap = sp.withoutCommitted(ap)
	te, ok := sp.log.term(ap.PrevIndex)
	if !ok || te != ap.PrevTerm {
		sp.reject(from, ap.Sent, sp.retryAfter(ap.PrevIndex))
		return
	}
	matched := ap.PrevIndex + uint64(len(ap.Entries))
	sp.appendMissing(ap)
	sp.commitTo(min(ap.Commit, matched))
	sp.applyMembership()
	sp.acknowledge(from, ap.Sent, matched)
}

// withoutCommitted returns the message without the entries that are committed here already,
// which are equal in every log.
func (sp *step) withoutCommitted(ap Append) Append {
	if ap.PrevIndex >= sp.commit {
		return ap
	}
	skip := min(sp.commit-ap.PrevIndex, uint64(len(ap.Entries)))
	ap.Entries = ap.Entries[skip:]
	ap.PrevIndex = sp.commit
	ap.PrevTerm, _ = sp.log.term(sp.commit)
	return ap
}

// retryAfter returns the index after which the leader should retry: the end of this log, or
// the end of the term before the conflicting one.
func (sp *step) retryAfter(prev uint64) uint64 {
	if prev > sp.log.last() {
		return sp.log.last()
	}
	conflictTerm, _ := sp.log.term(prev)
	for prev > sp.commit {
		if te, _ := sp.log.term(prev); te != conflictTerm {
			break
		}
		prev--
	}
	return prev
}

// appendMissing appends the entries that this log lacks. Entries that differ from the
// leader's are removed first. Equal ones stay, because a delayed Append must not remove
// entries of later ones.
func (sp *step) appendMissing(ap Append) {
	var sv Save
	for po, en := range ap.Entries {
		te, ok := sp.log.term(en.Index)
		if ok && te == en.Term {
			continue
		}
		if ok {
			sv.TruncateFrom = en.Index
			sp.log = sp.log.truncatedFrom(en.Index)
			sp.dropVotersFrom(en.Index)
		}
		sv.Entries = ap.Entries[po:]
		break
	}
	if len(sv.Entries) == 0 {
		return
	}
	sp.log = sp.log.with(sv.Entries)
	sp.recordVoters(sv.Entries)
	sp.save(sv)
}

func (sp *step) onSnapshot(from ID, sn Snapshot) {
	if !sp.acceptLeader(from, sn.Header) {
		sp.reject(from, sn.Sent, sp.commit)
		return
	}
	sp.raiseObservation(from, sn.Term, sn.Index)
	te, ok := sp.log.term(sn.Index)
	switch {
	case sn.Index <= sp.commit:
	case ok && te == sn.IndexTerm:
		sp.commitTo(sn.Index)
	default:
		sp.restore(sn)
	}
	sp.applyMembership()
	sp.acknowledge(from, sn.Sent, min(sn.Index, sp.commit))
}

// restore replaces the log. Entries after one that differs from the snapshot's last entry
// can't be committed.
func (sp *step) restore(sn Snapshot) {
	sp.saveHard()
	sp.log = newLog(sn.Index, sn.IndexTerm, nil)
	sp.voterHistory = []votersFrom{{sn.Index, sn.Voters}}
	sp.commit = sn.Index
	sp.emit(Restore{Index: sn.Index, Term: sn.IndexTerm, Voters: sn.Voters, Data: sn.Data})
}

func (sp *step) acknowledge(to ID, sent int64, matched uint64) {
	sp.send(to, AppendReply{Header: sp.header(), Sent: sent, Matched: matched})
}

func (sp *step) reject(to ID, sent int64, after uint64) {
	sp.send(to, AppendReply{Header: sp.header(), Sent: sent, Matched: after, Rejected: true})
}
