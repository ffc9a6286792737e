package quorum

import (
	"slices"
	"time"

	"balsamwinch.example/peer"
)

// step is the working copy of a state during one event.
type step struct {
	State
	now     time.Time
	durable HardState // durable is the hard state that is saved or part of an emitted Save.
	reason  string    // reason is that of the RoleChanged.
	actions []Action
}

// newStep copies the slices that a step modifies in place; all others are replaced as a
// whole.
func newStep(st State, now time.Time) *step {
	st.observations = slices.Clone(st.observations)
	st.members = slices.Clone(st.members)
	return &step{State: st, now: now, durable: st.hard}
}

// Step returns the state after an event and the actions to perform. It is pure. The
// executor must publish the new state before it performs the actions, because a leader that
// transfers leadership has no lease from then on.
func Step(st State, ev Event) (State, []Action) {
	sp := newStep(st, zeroTime)
	switch ev := ev.(type) {
	case Tick:
		sp.now = ev.Now
		sp.tick()
	case Received:
		sp.now = ev.Now
		sp.receive(ev.From, ev.Message)
	case Propose:
		sp.now = ev.Now
		sp.propose(ev)
	case Probe:
		sp.now = ev.Now
		sp.confirmLeadership()
	case RequestClearance:
		sp.now = ev.Now
		sp.requestClearance(ev.To)
	case ChangeVoters:
		sp.now = ev.Now
		sp.changeVoters(ev)
	case Compacted:
		sp.compact(ev.Index)
	case SnapshotReady:
		sp.now = ev.Now
		sp.sendSnapshot(ev)
	case Resign:
		sp.now = ev.Now
		sp.resign()
	}
	sp.finish(st)
	return sp.State, sp.actions
}

func (sp *step) tick() {
	switch sp.role {
	case Uncleared:
		sp.tickUncleared()
	case Follower, PreCandidate, Candidate:
		if !sp.now.Before(sp.electionAt) {
			sp.startPreVote()
		}
	case Leader:
		sp.tickLeader()
	}
}

func (sp *step) receive(from ID, ms peer.Message) {
	if sp.refusal != "" {
		return
	}
	switch ms := ms.(type) {
	case ClearanceRequest:
		sp.onClearanceRequest(from, ms)
	case ClearanceReply:
		sp.onClearanceReply(from, ms)
	case VoteRequest:
		if sp.admit(from, ms.Header) {
			sp.onVoteRequest(from, ms)
		}
	case VoteReply:
		if sp.admit(from, ms.Header) {
			sp.onVoteReply(from, ms)
		}
	case Append:
		if sp.admitLeader(from, ms.Header) {
			sp.onAppend(from, ms)
		}
	case AppendReply:
		if sp.admit(from, ms.Header) {
			sp.onAppendReply(from, ms)
		}
	case Snapshot:
		if sp.admitLeader(from, ms.Header) {
			sp.onSnapshot(from, ms)
		}
	case TransferLeadership:
		if sp.admit(from, ms.Header) {
			sp.onTransferLeadership(from, ms)
		}
	}
}

func (sp *step) emit(ac Action) {
	sp.actions = append(sp.actions, ac)
}

// save emits a Save of entries, together with the hard state if that changed.
func (sp *step) save(sv Save) {
	if sp.hard != sp.durable {
		hs := sp.hard
		sv.Hard = &hs
		sp.durable = sp.hard
	}
	sp.emit(sv)
}

// saveHard emits a Save if the hard state changed. It runs before each message: a voter
// that sent its vote, crashed and restarted without it could vote for another candidate in
// the same term, and two candidates would lead.
func (sp *step) saveHard() {
	if sp.hard != sp.durable {
		sp.save(Save{})
	}
}

func (sp *step) send(to ID, ms peer.Message) {
	sp.saveHard()
	sp.emit(Send{To: to, Message: ms})
}

func (sp *step) header() Header {
	return Header{Boot: sp.cf.Boot, Start: sp.start, Term: sp.hard.Term}
}

func (sp *step) finish(before State) {
	sp.saveHard()
	if sp.leader != before.leader {
		sp.leaderSince = sp.now
	}
	same := sp.role == before.role && sp.hard.Term == before.hard.Term && sp.leader == before.leader
	if same && sp.reason == "" {
		return
	}
	sp.emit(RoleChanged{Role: sp.role, Term: sp.hard.Term, Leader: sp.leader, Reason: sp.reason})
}

func (sp *step) rejectProposal(tag uint64, re Reason) {
	sp.emit(ProposalRejected{Tag: tag, Leader: sp.leader, Reason: re})
}
