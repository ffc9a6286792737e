package quorum

import (
	"slices"
	"time"
)

// resetElection draws a new time at which to campaign unless a leader is heard.
func (sp *step) resetElection() {
	extra := time.Duration(sp.random.Uint64() % uint64(sp.cf.ElectionTimeout))
	sp.electionAt = sp.now.Add(sp.cf.ElectionTimeout + extra)
}

// campaign asks whether a majority would vote for this voter. The term does not
// rise for it: a voter that was cut off for long would otherwise come back with
// a higher term and depose a leader that everyone else hears.
func (sp *step) campaign() {
	if sp.resigning {
		return
	}
	sp.fire(eventTimeout)
	sp.leader = ""
	sp.resetElection()
	sp.votes = []ID{sp.cf.Self}
	if sp.won() {
		sp.proceed()
		return
	}
	sp.requestVotes(VoteRequest{Pre: true})
}

// stand begins an election in the next term.
func (sp *step) stand(handedOver bool) {
	sp.leader = ""
	sp.hard = HardState{Term: sp.hard.Term + 1, Vote: sp.cf.Self}
	sp.votes = []ID{sp.cf.Self}
	sp.resetElection()
	if sp.won() {
		sp.lead()
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

// won reports whether a strict majority of the voters voted for this one.
func (sp *step) won() bool {
	vs := sp.Voters()
	count := 0
	for _, id := range sp.votes {
		if vs.HasVoter(id) {
			count++
		}
	}
	return strictMajority(count, len(vs.Voters))
}

// onVoteRequest answers a candidate. Learners vote too: one that was promoted
// may not have been told so yet, and its vote may be needed to tell it.
func (sp *step) onVoteRequest(from ID, vr VoteRequest) {
	if sp.role == Outsider {
		return
	}
	if sp.loyal() && !vr.HandedOver {
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
	sp.replyVote(from, vr, sp.vote(from, vr))
}

// vote gives this term's one vote if it is free and the candidate's log holds
// all that may be committed.
func (sp *step) vote(from ID, vr VoteRequest) bool {
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
	re.Removed = sp.expelled(to)
	sp.send(to, re)
}

// upToDate reports whether a candidate's log is at least as new as this one, so
// that it holds every committed entry if a majority says so.
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
	asked := re.For == sp.hard.Term && re.Pre == (sp.role == PreCandidate)
	if !asked || (sp.role != PreCandidate && sp.role != Candidate) {
		return
	}
	if re.Removed {
		sp.expel(from)
		return
	}
	if !re.Granted || slices.Contains(sp.votes, from) {
		return
	}
	sp.votes = append(slices.Clip(sp.votes), from)
	if sp.won() {
		sp.proceed()
	}
}

// proceed follows a majority of votes.
func (sp *step) proceed() {
	if sp.role == Candidate {
		sp.lead()
		return
	}
	sp.fire(eventPreVoteWon)
	sp.stand(false)
}

func (sp *step) onHandOver(from ID, ho TransferLeadership) {
	if sp.role != Follower || ho.Term != sp.hard.Term || from != sp.leader || sp.resigning {
		return
	}
	sp.fire(eventHandOver)
	sp.stand(true)
}
