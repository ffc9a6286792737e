package quorum

import "time"

// A voter that acknowledged a leader's message refuses its vote to others for
// the Election time, on its own clock. The lease of a leader ends a tenth
// earlier, so that clocks may run at rates that differ by up to that much.
const (
	leaseNumerator   = 9
	leaseDenominator = 10
)

// LeaseUntil returns until when no other leader can exist. It is the zero time
// if the voter does not lead or has not heard from a majority yet. A leader that
// hands over has no lease from then on.
func (st State) LeaseExpiry() time.Time {
	if st.role != Leader || st.contact.IsZero() {
		return time0
	}
	return st.contact.Add(st.cf.ElectionTimeout * leaseNumerator / leaseDenominator)
}

// Contact returns when the newest Append was sent that a majority of the voters
// has acknowledged. It is the zero time if the voter does not lead or has not
// heard from a majority yet. It never falls while a voter leads.
func (st State) LastQuorumContact() time.Time {
	if st.role != Leader {
		return time0
	}
	return st.contact
}

// TermOpen reports whether the voter leads and has committed an entry of its own
// term, and with it all that earlier leaders committed.
func (st State) CommittedInTerm() bool {
	return st.role == Leader && st.termOpen()
}

// probe asks all members for an acknowledgement now.
func (sp *step) probe() {
	if sp.role != Leader {
		return
	}
	sp.updateContact()
	sp.broadcast()
}

// loyal reports whether this voter must refuse its vote because a leader may
// rely on it: it heard one within the Election time, or it leads and a majority
// hears it. A voter that has just started may have heard one and forgotten it.
// Without this, a leader's lease would overlap with the next leader's.
func (sp *step) loyal() bool {
	since := sp.heardAt
	if sp.role == Leader {
		since = sp.contact
	}
	return !since.IsZero() && sp.now.Before(since.Add(sp.cf.ElectionTimeout))
}

// sent returns the time now as it is put in messages.
func (sp *step) sent() int64 {
	return int64(sp.now.Sub(sp.startedAt))
}

// inContact reports whether a member acknowledged something sent within the
// Election time.
func (sp *step) inContact(pr progress) bool {
	return pr.acked != never && sp.sent()-pr.acked < int64(sp.cf.ElectionTimeout)
}

// updateContact finds the newest time at which something was sent that a
// majority of the voters has acknowledged. It never falls: who acknowledged is
// bound by it also after a restart, and a change of voters that could weaken it
// is itself acknowledged later by a majority.
func (sp *step) updateContact() {
	var sents []int64
	for _, id := range sp.Voters().Voters {
		if id == sp.cf.Self {
			sents = append(sents, sp.sent())
			continue
		}
		sents = append(sents, sp.progress(id).acked)
	}
	at := heldByMajority(sents)
	if at == never {
		return
	}
	if sent := sp.startedAt.Add(time.Duration(at)); sent.After(sp.contact) {
		sp.contact = sent
	}
}

func (sp *step) tickLeader() {
	sp.updateContact()
	if sp.contactLost() {
		sp.stepDown()
		return
	}
	if !sp.now.Before(sp.heartbeatAt) {
		sp.broadcast()
	}
	sp.promote()
	sp.tryHandOver()
}

// contactLost reports whether no majority was heard for twice the Election time.
// A leader that is cut off would otherwise accept proposals that can't commit.
func (sp *step) contactLost() bool {
	since := sp.ledSince
	if sp.contact.After(since) {
		since = sp.contact
	}
	return !sp.now.Before(since.Add(2 * sp.cf.ElectionTimeout))
}

func (sp *step) resign() {
	sp.resigning = true
	sp.resignAt = sp.now.Add(sp.cf.ElectionTimeout)
	if sp.role != Leader {
		sp.fire(eventStepDown)
		return
	}
	sp.tryHandOver()
}

// tryHandOver lets a resigning leader hand over to a voter that holds the whole
// log, or step down without one once its time is up.
func (sp *step) tryHandOver() {
	if sp.role != Leader || !sp.resigning {
		return
	}
	vs := sp.Voters()
	for _, pr := range sp.members {
		if vs.HasVoter(pr.id) && pr.matched == sp.log.last() && sp.inContact(pr) {
			sp.send(pr.id, TransferLeadership{Header: sp.header()})
			sp.stepDown()
			return
		}
	}
	if len(vs.Voters) == 1 || !sp.now.Before(sp.resignAt) {
		sp.stepDown()
	}
}
