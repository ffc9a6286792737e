package instance

import (
	"slices"
	"time"

	"balsamwinch.example/control"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
)

// pending is a command that the leader proposed and that is not applied yet.
type pending struct {
	index, term uint64
	reply       chan<- peer.Message
}

// waiting is a committed change whose operator waits until it is in force.
type waiting struct {
	oc    control.ChangeOutcome
	pr    control.Progress
	until time.Time
	reply chan<- peer.Message
}

// answer gives an outcome to the one who waits for the entry, if any.
func (vo *voter) answer(en quorum.Entry, oc control.Outcome) {
	for tag, pd := range vo.proposed {
		if pd.index != en.Index {
			continue
		}
		delete(vo.proposed, tag)
		if pd.term != en.Term {
			pd.reply <- control.ProposalReply{Code: result.NotLeader, Leader: nameOf(vo.st.Leader())}
			continue
		}
		vo.deliver(pd.reply, oc)
	}
}

func (vo *voter) deliver(reply chan<- peer.Message, oc control.Outcome) {
	co, ok := oc.(control.ChangeOutcome)
	if !ok || co.Code != result.Accepted {
		reply <- outcomeReply(oc)
		return
	}
	now := vo.th.ts.Now()
	vo.waiting = append(vo.waiting, waiting{
		oc:    co,
		pr:    control.NewProgress().WithOutcome(co),
		until: now.Add(inForceWait),
		reply: reply,
	})
	vo.settle(now)
}

func outcomeReply(oc control.Outcome) control.ProposalReply {
	data, err := control.EncodeOutcome(oc)
	if err != nil {
		return control.ProposalReply{Code: result.ControlUnavailable}
	}
	return control.ProposalReply{Code: result.Accepted, Outcome: data}
}

// settle answers operators whose change is in force by now, or whose patience
// has run out.
func (vo *voter) settle(now time.Time) {
	if len(vo.waiting) == 0 {
		return
	}
	vo.waiting = slices.DeleteFunc(vo.waiting, func(wa waiting) bool {
		if all, _ := vo.bo.InForce(now, wa.oc.Revision); all && vo.leads(now) {
			wa.pr, _ = wa.pr.With(control.EventInForce)
		}
		if !wa.pr.Done() && now.Before(wa.until) && vo.role == quorum.Leader {
			return false
		}
		wa.reply <- outcomeReply(wa.oc.WithProgress(wa.pr))
		return true
	})
}

func (vo *voter) appended(ac quorum.ProposalAppended) {
	pd, ok := vo.proposed[ac.Tag]
	if !ok {
		return
	}
	pd.index, pd.term = ac.Index, ac.Term
	vo.proposed[ac.Tag] = pd
}

func (vo *voter) refused(ac quorum.ProposalRejected) {
	pd, ok := vo.proposed[ac.Tag]
	if !ok {
		return
	}
	delete(vo.proposed, ac.Tag)
	pd.reply <- control.ProposalReply{Code: result.NotLeader, Leader: nameOf(ac.Leader)}
}

// abandon answers all who wait at a leader that was deposed: their commands may
// or may not be committed, and they ask the next leader by resending.
func (vo *voter) abandon() {
	for tag, pd := range vo.proposed {
		delete(vo.proposed, tag)
		pd.reply <- control.ProposalReply{Code: result.NotLeader, Leader: nameOf(vo.leader)}
	}
	for _, wa := range vo.waiting {
		wa.reply <- control.ProposalReply{Code: result.NotLeader, Leader: nameOf(vo.leader)}
	}
	vo.waiting = nil
}
