package instance

import (
	"slices"
	"time"

	"balsamwinch.example/control"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
)

// pendingProposal is a command that the leader proposed and that is not applied yet.
type pendingProposal struct {
	index, term uint64
	reply       chan<- peer.Message
}

// waitingChange is a committed change whose operator waits until it is in force.
type waitingChange struct {
	oc       control.ChangeOutcome
	pr       control.Progress
	deadline time.Time
	reply    chan<- peer.Message
}

// replyToProposer sends the outcome of an entry to its proposer, if that is waiting here.
func (vo *voter) replyToProposer(en quorum.Entry, oc control.Outcome) {
	for tag, pd := range vo.proposed {
		if pd.index != en.Index {
			continue
		}
		delete(vo.proposed, tag)
		if pd.term != en.Term {
			pd.reply <- control.ProposalReply{Code: result.NotLeader, Leader: nameOf(vo.st.Leader())}
			continue
		}
		vo.deliverOutcome(pd.reply, oc)
	}
}

func (vo *voter) deliverOutcome(reply chan<- peer.Message, oc control.Outcome) {
	co, ok := oc.(control.ChangeOutcome)
	if !ok || co.Code != result.Accepted {
		reply <- outcomeReply(oc)
		return
	}
	now := vo.th.ts.Now()
	vo.waiting = append(vo.waiting, waitingChange{
		oc:       co,
		pr:       control.NewProgress().WithOutcome(co),
		deadline: now.Add(inForceTimeout),
		reply:    reply,
	})
	vo.resolveWaiting(now)
}

func outcomeReply(oc control.Outcome) control.ProposalReply {
	data, err := control.EncodeOutcome(oc)
	if err != nil {
		return control.ProposalReply{Code: result.ControlUnavailable}
	}
	return control.ProposalReply{Code: result.Accepted, Outcome: data}
}

// resolveWaiting replies to operators whose change is in force or whose wait has timed out.
func (vo *voter) resolveWaiting(now time.Time) {
	if len(vo.waiting) == 0 {
		return
	}
	vo.waiting = slices.DeleteFunc(vo.waiting, func(wa waitingChange) bool {
		if all, _ := vo.bo.InForce(now, wa.oc.Revision); all && vo.leads(now) {
			wa.pr, _ = wa.pr.With(control.EventInForce)
		}
		if !wa.pr.Done() && now.Before(wa.deadline) && vo.role == quorum.Leader {
			return false
		}
		wa.reply <- outcomeReply(wa.oc.WithProgress(wa.pr))
		return true
	})
}

func (vo *voter) proposalAppended(ac quorum.ProposalAppended) {
	pd, ok := vo.proposed[ac.Tag]
	if !ok {
		return
	}
	pd.index, pd.term = ac.Index, ac.Term
	vo.proposed[ac.Tag] = pd
}

func (vo *voter) proposalRejected(ac quorum.ProposalRejected) {
	pd, ok := vo.proposed[ac.Tag]
	if !ok {
		return
	}
	delete(vo.proposed, ac.Tag)
	pd.reply <- control.ProposalReply{Code: result.NotLeader, Leader: nameOf(ac.Leader)}
}

// abandonWaiting replies to all proposers and operators waiting at a leader that lost
// leadership. Their commands may or may not be committed; they find out by sending them to the
// next leader.
func (vo *voter) abandonWaiting() {
	for tag, pd := range vo.proposed {
		delete(vo.proposed, tag)
		pd.reply <- control.ProposalReply{Code: result.NotLeader, Leader: nameOf(vo.leader)}
	}
	for _, wa := range vo.waiting {
		wa.reply <- control.ProposalReply{Code: result.NotLeader, Leader: nameOf(vo.leader)}
	}
	vo.waiting = nil
}
