package quorum

import "time"

// A voter that acknowledged a leader's message refuses its vote to others for the election
// timeout, measured on its own clock. The leader's lease ends a tenth earlier, so that
// clock rates may differ by up to that much.
const (
	leaseNumerator   = 9
	leaseDenominator = 10
)

// LeaseExpiry returns the time until which no other leader can exist. It is the zero time
// if the voter does not lead or has not heard from a majority yet. A leader that transfers
// leadership has no lease from then on.
func (st State) LeaseExpiry() time.Time {
	if st.role != Leader || st.quorumContact.IsZero() {
		return zeroTime
	}
	return st.quorumContact.Add(st.cf.ElectionTimeout * leaseNumerator / leaseDenominator)
}

// LastQuorumContact returns when the newest Append that a majority of the voters has
// acknowledged was sent. It is the zero time if the voter does not lead or has not heard
// from a majority yet. It never decreases while a voter leads.
func (st State) LastQuorumContact() time.Time {
	if st.role != Leader {
		return zeroTime
	}
	return st.quorumContact
}

// CommittedInTerm reports whether the voter leads and has committed an entry of its own
// term, and with it all entries that earlier leaders committed.
func (st State) CommittedInTerm() bool {
	return st.role == Leader && st.committedInTerm()
}

// confirmLeadership asks all members for an acknowledgement at once.
func (sp *step) confirmLeadership() {
	if sp.role != Leader {
		return
	}
	sp.updateQuorumContact()
	sp.broadcast()
}

// boundByLease reports whether this voter must refuse its vote because a leader may rely on
// its lease: this voter heard a leader within the election timeout, or it leads and a
// majority hears it. A voter that has just started may have heard one before its restart.
// Without this, a leader's lease could overlap with the next leader's.
func (sp *step) boundByLease() bool {
	since := sp.leaderHeardAt
	if sp.role == Leader {
		since = sp.quorumContact
	}
	return !since.IsZero() && sp.now.Before(since.Add(sp.cf.ElectionTimeout))
}

// sendTime returns the current time in the form used in messages.
func (sp *step) sendTime() int64 {
	return int64(sp.now.Sub(sp.startedAt))
}

// recentlyAcked reports whether a member acknowledged something sent within the election
// timeout.
func (sp *step) recentlyAcked(pr progress) bool {
	return pr.ackedSendTime != noTime && sp.sendTime()-pr.ackedSendTime < int64(sp.cf.ElectionTimeout)
}

// updateQuorumContact computes when the newest message that a majority of the voters has
// acknowledged was sent. The time never decreases: a voter is bound by its acknowledgement
// also after a restart, and a change of voters that could weaken it is itself acknowledged
// later by a majority.
func (sp *step) updateQuorumContact() {
	var sendTimes []int64
	for _, id := range sp.Voters().Voters {
		if id == sp.cf.Self {
			sendTimes = append(sendTimes, sp.sendTime())
			continue
		}
		sendTimes = append(sendTimes, sp.progress(id).ackedSendTime)
	}
	at := majorityValue(sendTimes)
	if at == noTime {
		return
	}
	if sent := sp.startedAt.Add(time.Duration(at)); sent.After(sp.quorumContact) {
		sp.quorumContact = sent
	}
}

func (sp *step) tickLeader() {
	sp.updateQuorumContact()
	if sp.quorumLost() {
		sp.stepDown()
		return
	}
	if !sp.now.Before(sp.heartbeatAt) {
		sp.broadcast()
	}
	sp.promoteLearner()
	sp.tryTransfer()
}

// quorumLost reports whether no majority was heard for twice the election timeout. An
// isolated leader would otherwise accept proposals that can't commit.
func (sp *step) quorumLost() bool {
	since := sp.becameLeaderAt
	if sp.quorumContact.After(since) {
		since = sp.quorumContact
	}
	return !sp.now.Before(since.Add(2 * sp.cf.ElectionTimeout))
}

func (sp *step) resign() {
	sp.resigning = true
	sp.resignDeadline = sp.now.Add(sp.cf.ElectionTimeout)
	if sp.role != Leader {
		sp.transition(eventStepDown)
		return
	}
	sp.tryTransfer()
}

// tryTransfer lets a resigning leader transfer leadership to a voter that holds the whole
// log, or step down without a successor after the deadline.
func (sp *step) tryTransfer() {
	if sp.role != Leader || !sp.resigning {
		return
	}
	vs := sp.Voters()
	for _, pr := range sp.members {
		if vs.HasVoter(pr.id) && pr.matched == sp.log.last() && sp.recentlyAcked(pr) {
			sp.send(pr.id, TransferLeadership{Header: sp.header()})
			sp.stepDown()
			return
		}
	}
	if len(vs.Voters) == 1 || !sp.now.Before(sp.resignDeadline) {
		sp.stepDown()
	}
}
