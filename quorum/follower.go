package quorum

// follow takes the sender of an Append or Snapshot as the leader of its term. It
// reports false if the term is over.
func (sp *step) follow(from ID, he Header) bool {
	if he.Term < sp.hard.Term || sp.role == Leader && he.Term == sp.hard.Term {
		return false
	}
	if he.Term > sp.hard.Term {
		sp.adoptTerm(he.Term)
	}
	sp.fire(eventStepDown)
	sp.leader = from
	sp.heardAt = sp.now
	sp.resetElection()
	return true
}

func (sp *step) onAppend(from ID, ap Append) {
	if !sp.follow(from, ap.Header) {
		sp.reject(from, ap.Sent, sp.commit)
		return
	}
	sp.raiseSighting(from, ap.Term, ap.PrevIndex+uint64(len(ap.Entries)))
	ap = sp.trimmed(ap)
	te, ok := sp.log.term(ap.PrevIndex)
	if !ok || te != ap.PrevTerm {
		sp.reject(from, ap.Sent, sp.lastBefore(ap.PrevIndex))
		return
	}
	matched := ap.PrevIndex + uint64(len(ap.Entries))
	sp.appendFrom(ap)
	sp.commitTo(min(ap.Commit, matched))
	sp.join()
	sp.acknowledge(from, ap.Sent, matched)
}

// trimmed returns the message without what is committed here already, which is
// the same in every log.
func (sp *step) trimmed(ap Append) Append {
	if ap.PrevIndex >= sp.commit {
		return ap
	}
	skip := min(sp.commit-ap.PrevIndex, uint64(len(ap.Entries)))
	ap.Entries = ap.Entries[skip:]
	ap.PrevIndex = sp.commit
	ap.PrevTerm, _ = sp.log.term(sp.commit)
	return ap
}

// lastBefore returns the index after which the leader should try again: the end
// of this log, or the end of the term before the one that differs.
func (sp *step) lastBefore(prev uint64) uint64 {
	if prev > sp.log.last() {
		return sp.log.last()
	}
	differs, _ := sp.log.term(prev)
	for prev > sp.commit {
		if te, _ := sp.log.term(prev); te != differs {
			break
		}
		prev--
	}
	return prev
}

// appendFrom appends the entries that this log lacks. Entries that differ from
// the leader's are removed first; equal ones stay, because an Append that was
// overtaken must not remove what later ones brought.
func (sp *step) appendFrom(ap Append) {
	var sv Save
	for po, en := range ap.Entries {
		te, ok := sp.log.term(en.Index)
		if ok && te == en.Term {
			continue
		}
		if ok {
			sv.TruncateFrom = en.Index
			sp.log = sp.log.withoutFrom(en.Index)
			sp.forgetVotersFrom(en.Index)
		}
		sv.Entries = ap.Entries[po:]
		break
	}
	if len(sv.Entries) == 0 {
		return
	}
	sp.log = sp.log.with(sv.Entries)
	sp.noteVoters(sv.Entries)
	sp.save(sv)
}

func (sp *step) onSnapshot(from ID, sn Snapshot) {
	if !sp.follow(from, sn.Header) {
		sp.reject(from, sn.Sent, sp.commit)
		return
	}
	sp.raiseSighting(from, sn.Term, sn.Index)
	te, ok := sp.log.term(sn.Index)
	switch {
	case sn.Index <= sp.commit:
	case ok && te == sn.IndexTerm:
		sp.commitTo(sn.Index)
	default:
		sp.restore(sn)
	}
	sp.join()
	sp.acknowledge(from, sn.Sent, min(sn.Index, sp.commit))
}

// restore replaces the log. Entries behind one that differs from the snapshot's
// last can't be committed.
func (sp *step) restore(sn Snapshot) {
	sp.saveHard()
	sp.log = newLog(sn.Index, sn.IndexTerm, nil)
	sp.history = []votersFrom{{sn.Index, sn.Voters}}
	sp.commit = sn.Index
	sp.act(Restore{Index: sn.Index, Term: sn.IndexTerm, Voters: sn.Voters, Data: sn.Data})
}

func (sp *step) acknowledge(to ID, sent int64, matched uint64) {
	sp.send(to, AppendReply{Header: sp.header(), Sent: sent, Matched: matched})
}

func (sp *step) reject(to ID, sent int64, after uint64) {
	sp.send(to, AppendReply{Header: sp.header(), Sent: sent, Matched: after, Rejected: true})
}
