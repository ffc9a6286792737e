package quorum

import (
	"slices"
	"time"
)

// resetElection draws a new election timeout, after which the voter campaigns unless it
// hears a leader.
func (sp *step) resetElection() {
	extra := time.Duration(sp.random.Uint64() % uint64(sp.cf.ElectionTimeout))
	sp.electionAt = sp.now.Add(sp.cf.ElectionTimeout + extra)
}

// startPreVote asks whether a majority would vote for this voter, without raising the term.
// Otherwise a voter that was isolated for long would return with a higher term and depose a
// leader that all others hear.
func (sp *step) startPreVote() {
	if sp.resigning {
		return
	}
	sp.transition(eventTimeout)
	sp.leader = ""
	sp.resetElection()
	sp.votes = []ID{sp.cf.Self}
	if sp.hasMajority() {
		sp.onMajority()
		return
	}
	sp.requestVotes(VoteRequest{Pre: true})
}

// startElection begins an election in the next term.
func (sp *step) startElection(handedOver bool) {
	sp.leader = ""
	sp.hard = HardState{Term: sp.hard.Term + 1, Vote: sp.cf.Self}
	sp.votes = []ID{sp.cf.Self}
	sp.resetElection()
	if sp.hasMajority() {
		sp.becomeLeader()
		return
	}
	sp.requestVotes(VoteRequest{HandedOver: handedOver})
}

func (sp *step) requestVotes(vr VoteRequest) {
	sp.saveHard()
	vr.Header = sp.header()
	vr.LastIndex = sp.log.last()
	vr.LastTerm = sp.log.lastTerm()
	for _, id := range sp.Voters().Voters {
		if id != sp.cf.Self {
			sp.send(id, vr)
		}
	}
}

// hasMajority reports whether a strict majority of the voters voted for this one.
func (sp *step) hasMajority() bool {
	vs := sp.Voters()
	count := 0
	for _, id := range sp.votes {
		if vs.HasVoter(id) {
			count++
		}
	}
	return strictMajority(count, len(vs.Voters))
}

// onVoteRequest answers a candidate. Learners vote too: one that was promoted may not have
// received that entry yet, and its vote may be needed to elect the leader that sends it.
func (sp *step) onVoteRequest(from ID, vr VoteRequest) {
	if sp.role == Outsider {
		return
	}
	if sp.boundByLease() && !vr.HandedOver {
		sp.replyVote(from, vr, false)
		return
	}
	if vr.Pre {
		sp.replyVote(from, vr, vr.Term >= sp.hard.Term && sp.upToDate(vr))
		return
	}
	if vr.Term > sp.hard.Term {
		sp.adoptTerm(vr.Term)
	}
	sp.replyVote(from, vr, sp.grantVote(from, vr))
}

// grantVote grants the only vote of this term if it is free and the candidate's log holds
// every entry that may be committed.
func (sp *step) grantVote(from ID, vr VoteRequest) bool {
	if vr.Term < sp.hard.Term || !sp.upToDate(vr) {
		return false
	}
	if sp.hard.Vote != "" && sp.hard.Vote != from {
		return false
	}
	sp.hard.Vote = from
	sp.resetElection()
	return true
}

func (sp *step) replyVote(to ID, vr VoteRequest, granted bool) {
	re := VoteReply{Header: sp.header(), Pre: vr.Pre, For: vr.Term, Granted: granted}
	re.Removed = sp.isRemoved(to)
	sp.send(to, re)
}

// upToDate reports whether a candidate's log is at least as new as this one. If that is
// true at a majority, the candidate holds every committed entry.
func (sp *step) upToDate(vr VoteRequest) bool {
	te := sp.log.lastTerm()
	if vr.LastTerm != te {
		return vr.LastTerm > te
	}
	return vr.LastIndex >= sp.log.last()
}

func (sp *step) onVoteReply(from ID, re VoteReply) {
	if re.Term > sp.hard.Term {
		sp.adoptTerm(re.Term)
		return
	}
	current := re.For == sp.hard.Term && re.Pre == (sp.role == PreCandidate)
	if !current || (sp.role != PreCandidate && sp.role != Candidate) {
		return
	}
	if re.Removed {
		sp.becomeRemoved(from)
		return
	}
	if !re.Granted || slices.Contains(sp.votes, from) {
		return
	}
	sp.votes = append(slices.Clip(sp.votes), from)
	if sp.hasMajority() {
		sp.onMajority()
	}
}

// onMajority continues after a majority of votes or pre-votes.
func (sp *step) onMajority() {
	if sp.role == Candidate {
		sp.becomeLeader()
		return
	}
	sp.transition(eventPreVoteWon)
	sp.startElection(false)
}

func (sp *step) onTransferLeadership(from ID, tl TransferLeadership) {
	if sp.role != Follower || tl.Term != sp.hard.Term || from != sp.leader || sp.resigning {
		return
	}
	sp.transition(eventHandOver)
	sp.startElection(true)
}
