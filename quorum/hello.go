package quorum

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// sighting is what this voter has seen of another one since its own start. Only
// durable facts are sent, so a disk that lacks one of them is an older copy.
type sighting struct {
	id          ID
	boot, start uint64
	term        uint64
	matched     uint64 // matched is the highest index that the other one held in the term.
}

func (sp *step) findSighting(id ID) (int, bool) {
	return slices.BinarySearchFunc(sp.seen, id, func(se sighting, id ID) int {
		return cmp.Compare(se.id, id)
	})
}

// recognise notes the term of a message. It reports false for a message that
// another voter sent before its latest start, or from an older copy of its disk:
// such a message may state what the disk no longer holds.
func (sp *step) recognise(from ID, he Header) bool {
	po, ok := sp.findSighting(from)
	if !ok {
		se := sighting{id: from, boot: he.Boot, start: he.Start, term: he.Term}
		sp.seen = slices.Insert(sp.seen, po, se)
		return true
	}
	se := &sp.seen[po]
	if he.Start == se.start {
		se.raise(he.Term, 0)
		return true
	}
	if he.Boot <= se.boot || he.Term < se.term {
		return false
	}
	se.boot, se.start = he.Boot, he.Start
	se.raise(he.Term, 0)
	sp.restartProgress(from)
	return true
}

// raise notes that entries up to matched were durable in a term. Within a term a
// log is never truncated below what it once held as the leader or acknowledged.
func (se *sighting) raise(term, matched uint64) {
	if term > se.term {
		se.term = term
		se.matched = 0
	}
	if term == se.term {
		se.matched = max(se.matched, matched)
	}
}

func (sp *step) raiseSighting(id ID, term, matched uint64) {
	if po, ok := sp.findSighting(id); ok {
		sp.seen[po].raise(term, matched)
	}
}

// older says what was seen of a disk that a Hello from it lacks, or "".
//
// A disk that is put back from a copy has forgotten votes and entries that it
// had acknowledged: it would help to elect a leader that lacks a committed
// entry, or two leaders in one term. The boot number alone does not show it, as
// the copy counts on from its own number.
func (se sighting) older(he ClearanceRequest) string {
	switch {
	case he.Start == se.start:
		return ""
	case he.Boot <= se.boot:
		return fmt.Sprintf("boot %d was seen, this is boot %d", se.boot, he.Boot)
	case he.Term < se.term:
		return fmt.Sprintf("term %d was seen, the disk holds term %d", se.term, he.Term)
	case he.Term == se.term && he.LastIndex < se.matched:
		return fmt.Sprintf("index %d was seen in term %d, the disk ends at %d", se.matched, se.term, he.LastIndex)
	}
	return ""
}

func (sp *step) onHello(from ID, he ClearanceRequest) {
	re := ClearanceReply{Header: sp.header(), Asker: he.Start}
	if po, ok := sp.findSighting(from); ok {
		re.Refusal = sp.seen[po].older(he)
	}
	if re.Refusal == "" {
		sp.recognise(from, he.Header)
	}
	if sp.loyal() {
		re.Leader = sp.leader
	}
	re.Removed = sp.expelled(from)
	re.LastIndex, re.LastTerm, re.Voters = sp.log.last(), sp.log.lastTerm(), sp.Voters()
	sp.send(from, re)
}

// expelled reports whether this voter leads and no committed or pending voter
// set holds the other one.
func (sp *step) expelled(id ID) bool {
	if sp.role != Leader || !sp.loyal() || !sp.termOpen() || sp.changePending() {
		return false
	}
	vs := sp.Voters()
	return !vs.HasVoter(id) && !vs.HasLearner(id)
}

// answer is a clearance, with the leader that the answering voter hears.
type answer struct {
	id, leader ID
	at         time.Time // at is when it came.
}

// ahead is a log that is newer than the own one, by its last entry.
type ahead struct {
	index, term uint64
	voters      VoterSet
}

// noteAhead keeps the voter set of the newest log.
//
// A voter that was down while others were replaced knows a set of which no
// majority may be left: it would ask the disks that are gone for ever, and the
// one that holds the newest log could not lead without its vote.
func (sp *step) noteAhead(re ClearanceReply) {
	term, index := sp.log.lastTerm(), sp.log.last()
	if sp.ahead.term != 0 {
		term, index = sp.ahead.term, sp.ahead.index
	}
	if re.LastTerm > term || re.LastTerm == term && re.LastIndex > index {
		sp.ahead = ahead{index: re.LastIndex, term: re.LastTerm, voters: re.Voters}
	}
}

// sets returns the voter sets of which a majority may clear this member.
func (sp *step) sets() []VoterSet {
	if sp.ahead.term == 0 {
		return []VoterSet{sp.Voters()}
	}
	return []VoterSet{sp.Voters(), sp.ahead.voters}
}

// asked returns the others in these sets.
func (sp *step) asked() []ID {
	var ids []ID
	for _, vs := range sp.sets() {
		for _, id := range vs.Voters {
			if id != sp.cf.Self && !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// begin decides the role after a start.
func (sp *step) begin() {
	if sp.hard.Vote == RefusedVote {
		sp.refuse("disk was refused at an earlier start")
		return
	}
	vs := sp.Voters()
	if !vs.HasVoter(sp.cf.Self) && !vs.HasLearner(sp.cf.Self) {
		sp.fire(eventRemove)
		return
	}
	sp.tryClear()
}

func (sp *step) tickUncleared() {
	if sp.now.Before(sp.heartbeatAt) {
		return
	}
	sp.heartbeatAt = sp.now.Add(sp.cf.HeartbeatInterval)
	for _, id := range sp.asked() {
		sp.sayHello(id)
	}
	sp.tryClear()
}

// greet asks an instance that may be in no set known here.
func (sp *step) greet(to ID) {
	if sp.role == Uncleared && to != sp.cf.Self {
		sp.sayHello(to)
	}
}

func (sp *step) sayHello(to ID) {
	sp.send(to, ClearanceRequest{Header: sp.header(), LastIndex: sp.log.last()})
}

func (sp *step) onHelloReply(from ID, re ClearanceReply) {
	sp.recognise(from, re.Header)
	if re.Asker != sp.start || sp.cleared {
		return
	}
	if re.Refusal != "" {
		sp.refuse(fmt.Sprintf("disk is an older copy: %s at %s", re.Refusal, from))
		return
	}
	if re.Removed {
		sp.expel(from)
		return
	}
	sp.answers = slices.DeleteFunc(slices.Clone(sp.answers), func(an answer) bool { return an.id == from })
	sp.answers = append(sp.answers, answer{from, re.Leader, sp.now})
	sp.noteAhead(re)
	sp.tryClear()
}

// refuse ends the use of the disk: from now on, this member neither votes nor
// acknowledges. That is saved, because at a later start the voters that know
// what the disk lacks may have started again too, and have forgotten it.
func (sp *step) refuse(reason string) {
	sp.fire(eventRefuse)
	sp.hard.Vote = RefusedVote
	sp.refusal = reason
	sp.reason = reason
}

// expel follows a leader's word that this member was removed. If it is added
// again, the leader's Append says so.
func (sp *step) expel(leader ID) {
	sp.fire(eventRemove)
	sp.leader = ""
	sp.reason = fmt.Sprintf("removed from the voter set, says leader %s", leader)
}

// tryClear ends the time in which this member neither votes nor acknowledges.
//
// A majority must have answered, itself counted if it is a voter, of the own voter
// set or of that in the newest log which an answer told of. Of 3 voters
// one answer makes a majority, and it may come from the one that knows nothing.
// So the leader's answer is awaited if one is heard; otherwise all answers are,
// for as long as any voter could still be following a leader unheard by us.
//
// What remains is not seen: an older disk of one of 3 voters while the only other
// one that knows better is out of reach or has started again as well; an older
// disk of the only voter; and one from a time at which it was the only voter.
func (sp *step) tryClear() {
	byLeader, waitsForLeader := false, false
	for _, an := range sp.answers {
		byLeader = byLeader || an.id == an.leader
		// One that doesn't answer any more may have heard the leader's last word.
		fresh := sp.now.Before(an.at.Add(sp.cf.ElectionTimeout))
		waitsForLeader = waitsForLeader || an.leader != "" && fresh
	}
	majority := slices.ContainsFunc(sp.sets(), sp.majorityAnswered)
	all := !slices.ContainsFunc(sp.asked(), func(id ID) bool { return !sp.answered(id) })
	waited := !sp.now.Before(sp.startedAt.Add(2*sp.cf.ElectionTimeout)) && !waitsForLeader
	switch {
	case byLeader && (majority || !sp.Voters().HasVoter(sp.cf.Self)):
		sp.clear()
	case majority && (all || waited):
		sp.clear()
	}
}

// answered reports whether an instance has cleared this one, or is this one.
func (sp *step) answered(id ID) bool {
	return id == sp.cf.Self || slices.ContainsFunc(sp.answers, func(an answer) bool { return an.id == id })
}

func (sp *step) majorityAnswered(vs VoterSet) bool {
	count := 0
	for _, id := range vs.Voters {
		if sp.answered(id) {
			count++
		}
	}
	return strictMajority(count, len(vs.Voters))
}

func (sp *step) clear() {
	sp.cleared = true
	sp.answers = nil
	sp.ahead = ahead{}
	sp.resetElection()
	if sp.role != Uncleared {
		return
	}
	if sp.Voters().HasVoter(sp.cf.Self) {
		sp.fire(eventClear)
		return
	}
	sp.fire(eventEnlist)
}

// admit reports whether a message may be acted on: not before this member's own
// disk is cleared, and not if the sender's disk is in doubt. A member that is not
// cleared asks the sender, which may be in no set known here.
func (sp *step) admit(from ID, he Header) bool {
	if !sp.recognise(from, he) {
		return false
	}
	if !sp.cleared {
		sp.greet(from)
	}
	return sp.cleared
}

// admitLeader is admit for what only a leader sends. A member that is not in its
// own voter set, as a newcomer, learns here whom to ask for clearance.
func (sp *step) admitLeader(from ID, he Header) bool {
	if !sp.recognise(from, he) {
		return false
	}
	if !sp.cleared {
		sp.sayHello(from)
	}
	return sp.cleared
}
