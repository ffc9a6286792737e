package quorum

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// observation is the durable state that this voter has observed of another one since its
// own start. Messages state only durable facts, so a disk that lacks one of them is an
// older copy.
type observation struct {
	id          ID
	boot, start uint64
	term        uint64
	matched     uint64 // matched is the highest index that the other voter held in the term.
}

func (sp *step) findObservation(id ID) (int, bool) {
	return slices.BinarySearchFunc(sp.observations, id, func(ob observation, id ID) int {
		return cmp.Compare(ob.id, id)
	})
}

// acceptSender records the term of a message. It reports false for a message that the other
// voter sent before its latest start, or from an older copy of its disk: such a message may
// state facts that the disk no longer holds.
func (sp *step) acceptSender(from ID, he Header) bool {
	po, ok := sp.findObservation(from)
	if !ok {
		ob := observation{id: from, boot: he.Boot, start: he.Start, term: he.Term}
		sp.observations = slices.Insert(sp.observations, po, ob)
		return true
	}
	ob := &sp.observations[po]
	if he.Start == ob.start {
		ob.raise(he.Term, 0)
		return true
	}
	if he.Boot <= ob.boot || he.Term < ob.term {
		return false
	}
	ob.boot, ob.start = he.Boot, he.Start
	ob.raise(he.Term, 0)
	sp.resetProgress(from)
	return true
}

// raise records that entries up to matched were durable in a term. Within a term, a log is
// never truncated below what it held as the leader or acknowledged.
func (ob *observation) raise(term, matched uint64) {
	if term > ob.term {
		ob.term = term
		ob.matched = 0
	}
	if term == ob.term {
		ob.matched = max(ob.matched, matched)
	}
}

func (sp *step) raiseObservation(id ID, term, matched uint64) {
	if po, ok := sp.findObservation(id); ok {
		sp.observations[po].raise(term, matched)
	}
}

// staleReason returns what was observed of a disk and is missing in its ClearanceRequest,
// or "".
//
// A disk that was restored from a copy has lost votes and entries that it had acknowledged.
// It could help to elect a leader that lacks a committed entry, or two leaders in one term.
// The boot number alone doesn't reveal the copy, because it continues from the copy's own
// number.
func (ob observation) staleReason(cr ClearanceRequest) string {
	switch {
	case cr.Start == ob.start:
		return ""
	case cr.Boot <= ob.boot:
		return fmt.Sprintf("boot %d was seen, this is boot %d", ob.boot, cr.Boot)
	case cr.Term < ob.term:
		return fmt.Sprintf("term %d was seen, the disk holds term %d", ob.term, cr.Term)
	case cr.Term == ob.term && cr.LastIndex < ob.matched:
		return fmt.Sprintf("index %d was seen in term %d, the disk ends at %d", ob.matched, ob.term, cr.LastIndex)
	}
	return ""
}

func (sp *step) onClearanceRequest(from ID, cr ClearanceRequest) {
	re := ClearanceReply{Header: sp.header(), Asker: cr.Start}
	if po, ok := sp.findObservation(from); ok {
		re.Refusal = sp.observations[po].staleReason(cr)
	}
	if re.Refusal == "" {
		sp.acceptSender(from, cr.Header)
	}
	if sp.boundByLease() {
		re.Leader = sp.leader
	}
	re.Removed = sp.isRemoved(from)
	re.LastIndex, re.LastTerm, re.Voters = sp.log.last(), sp.log.lastTerm(), sp.Voters()
	sp.send(from, re)
}

// isRemoved reports whether this voter leads and neither the committed nor a pending voter
// set contains the other one.
func (sp *step) isRemoved(id ID) bool {
	if sp.role != Leader || !sp.boundByLease() || !sp.committedInTerm() || sp.changePending() {
		return false
	}
	vs := sp.Voters()
	return !vs.HasVoter(id) && !vs.HasLearner(id)
}

// clearance is a positive answer, with the leader that the answering voter hears.
type clearance struct {
	id, leader ID
	receivedAt time.Time // receivedAt is when the answer arrived.
}

// newerLog is a log that is newer than this member's, identified by its last entry.
type newerLog struct {
	index, term uint64
	voters      VoterSet
}

// recordNewerLog records the voter set of the newest log.
//
// A voter that was down while others were replaced may have a voter set of which no
// majority exists any more. It would ask disks that never return, and the voter with the
// newest log could not be elected without its vote.
func (sp *step) recordNewerLog(re ClearanceReply) {
	term, index := sp.log.lastTerm(), sp.log.last()
	if sp.newerLog.term != 0 {
		term, index = sp.newerLog.term, sp.newerLog.index
	}
	if re.LastTerm > term || re.LastTerm == term && re.LastIndex > index {
		sp.newerLog = newerLog{index: re.LastIndex, term: re.LastTerm, voters: re.Voters}
	}
}

// clearingSets returns the voter sets of which a majority may clear this member.
func (sp *step) clearingSets() []VoterSet {
	if sp.newerLog.term == 0 {
		return []VoterSet{sp.Voters()}
	}
	return []VoterSet{sp.Voters(), sp.newerLog.voters}
}

// clearingVoters returns the other voters of these sets.
func (sp *step) clearingVoters() []ID {
	var ids []ID
	for _, vs := range sp.clearingSets() {
		for _, id := range vs.Voters {
			if id != sp.cf.Self && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// enterInitialRole sets the role after a start.
func (sp *step) enterInitialRole() {
	if sp.hard.Vote == RefusedVote {
		sp.refuseDisk("disk was refused at an earlier start")
		return
	}
	vs := sp.Voters()
	if !vs.HasVoter(sp.cf.Self) && !vs.HasLearner(sp.cf.Self) {
		sp.transition(eventRemove)
		return
	}
	sp.tryClear()
}

func (sp *step) tickUncleared() {
	if sp.now.Before(sp.heartbeatAt) {
		return
	}
	sp.heartbeatAt = sp.now.Add(sp.cf.HeartbeatInterval)
	for _, id := range sp.clearingVoters() {
		sp.sendClearanceRequest(id)
	}
	sp.tryClear()
}

// requestClearance asks an instance that may be in none of the voter sets known here.
func (sp *step) requestClearance(to ID) {
	if sp.role == Uncleared && to != sp.cf.Self {
		sp.sendClearanceRequest(to)
	}
}

func (sp *step) sendClearanceRequest(to ID) {
	sp.send(to, ClearanceRequest{Header: sp.header(), LastIndex: sp.log.last()})
}

func (sp *step) onClearanceReply(from ID, re ClearanceReply) {
	sp.acceptSender(from, re.Header)
	if re.Asker != sp.start || sp.cleared {
		return
	}
	if re.Refusal != "" {
		sp.refuseDisk(fmt.Sprintf("disk is an older copy: %s at %s", re.Refusal, from))
		return
	}
	if re.Removed {
		sp.becomeRemoved(from)
		return
	}
	sp.clearances = slices.DeleteFunc(slices.Clone(sp.clearances), func(cl clearance) bool { return cl.id == from })
	sp.clearances = append(sp.clearances, clearance{from, re.Leader, sp.now})
	sp.recordNewerLog(re)
	sp.tryClear()
}

// refuseDisk stops the use of the disk: this member neither votes nor acknowledges any
// more. That is saved, because at a later start the voters that observed what the disk
// lacks may have restarted too and lost their observations.
func (sp *step) refuseDisk(reason string) {
	sp.transition(eventRefuse)
	sp.hard.Vote = RefusedVote
	sp.refusal = reason
	sp.reason = reason
}

// becomeRemoved handles a leader's statement that this member was removed. If it is added
// again, it learns that from the leader's Append.
func (sp *step) becomeRemoved(leader ID) {
	sp.transition(eventRemove)
	sp.leader = ""
	sp.reason = fmt.Sprintf("removed from the voter set, says leader %s", leader)
}

// tryClear ends the phase after a start in which this member neither votes nor
// acknowledges.
//
// A majority must have answered, either of the member's own voter set or of the set in the
// newest log reported by an answer; the member itself counts if it is a voter. With 3
// voters one answer makes a majority, and it may come from a voter that observed nothing.
// Therefore the leader's answer is required if a leader is heard; otherwise all answers are
// awaited for as long as a voter could still follow a leader that this member doesn't hear.
//
// These cases are not detected: an older disk of one of 3 voters while the only other voter
// that knows better is unreachable or has restarted as well; an older disk of the only
// voter; and an older disk from a time at which it was the only voter.
func (sp *step) tryClear() {
	clearedByLeader, waitsForLeader := false, false
	for _, cl := range sp.clearances {
		clearedByLeader = clearedByLeader || cl.id == cl.leader
		// A voter that no longer answers may have heard the leader's last message.
		fresh := sp.now.Before(cl.receivedAt.Add(sp.cf.ElectionTimeout))
		waitsForLeader = waitsForLeader || cl.leader != "" && fresh
	}
	majorityAnswered := slices.ContainsFunc(sp.clearingSets(), sp.clearedByMajority)
	allAnswered := !slices.ContainsFunc(sp.clearingVoters(), func(id ID) bool { return !sp.clearedBy(id) })
	timedOut := !sp.now.Before(sp.startedAt.Add(2*sp.cf.ElectionTimeout)) && !waitsForLeader
	switch {
	case clearedByLeader && (majorityAnswered || !sp.Voters().HasVoter(sp.cf.Self)):
		sp.clear()
	case majorityAnswered && (allAnswered || timedOut):
		sp.clear()
	}
}

// clearedBy reports whether an instance has cleared this one, or is this one.
func (sp *step) clearedBy(id ID) bool {
	return id == sp.cf.Self || slices.ContainsFunc(sp.clearances, func(cl clearance) bool { return cl.id == id })
}

func (sp *step) clearedByMajority(vs VoterSet) bool {
	count := 0
	for _, id := range vs.Voters {
		if sp.clearedBy(id) {
			count++
		}
	}
	return strictMajority(count, len(vs.Voters))
}

func (sp *step) clear() {
	sp.cleared = true
	sp.clearances = nil
	sp.newerLog = newerLog{}
	sp.resetElection()
	if sp.role != Uncleared {
		return
	}
	if sp.Voters().HasVoter(sp.cf.Self) {
		sp.transition(eventClear)
		return
	}
	sp.transition(eventEnlist)
}

// admit reports whether a message may be processed: not before this member's own disk is
// cleared, and not if the sender's disk may be an older copy. A member that is not cleared
// asks the sender, which may be in none of the voter sets known here.
func (sp *step) admit(from ID, he Header) bool {
	if !sp.acceptSender(from, he) {
		return false
	}
	if !sp.cleared {
		sp.requestClearance(from)
	}
	return sp.cleared
}

// admitLeader is admit for messages that only a leader sends. A member that is not in its
// own voter set, such as a new learner, learns here whom to ask for clearance.
func (sp *step) admitLeader(from ID, he Header) bool {
	if !sp.acceptSender(from, he) {
		return false
	}
	if !sp.cleared {
		sp.sendClearanceRequest(from)
	}
	return sp.cleared
}
