package quorum

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// VoterSet names the voters, which count, and the learners, which don't yet. It
// is immutable.
type VoterSet struct {
	Voters, Learners []ID
}

// HasVoter reports whether the ID is a voter.
func (vs VoterSet) HasVoter(id ID) bool {
	return slices.Contains(vs.Voters, id)
}

// HasLearner reports whether the ID is a learner.
func (vs VoterSet) HasLearner(id ID) bool {
	return slices.Contains(vs.Learners, id)
}

// String returns the voters, and behind a plus sign the learners.
func (vs VoterSet) String() string {
	if len(vs.Learners) == 0 {
		return fmt.Sprint(vs.Voters)
	}
	return fmt.Sprint(vs.Voters, "+", vs.Learners)
}

// WithLearner returns the set with one learner more.
func (vs VoterSet) WithLearner(id ID) VoterSet {
	return VoterSet{Voters: vs.Voters, Learners: append(slices.Clip(vs.Learners), id)}
}

// WithPromoted returns the set with a learner made a voter.
func (vs VoterSet) WithPromoted(id ID) VoterSet {
	vs = vs.Without(id)
	return VoterSet{Voters: append(slices.Clip(vs.Voters), id), Learners: vs.Learners}
}

// Without returns the set without a voter or learner.
func (vs VoterSet) Without(id ID) VoterSet {
	return VoterSet{Voters: without(vs.Voters, id), Learners: without(vs.Learners, id)}
}

func without(ids []ID, id ID) []ID {
	return slices.DeleteFunc(slices.Clone(ids), func(other ID) bool { return other == id })
}

// Encode returns the set as the data of an entry.
func (vs VoterSet) Encode() []byte {
	data, err := cbor.Marshal(vs)
	if err != nil {
		panic(err) // Lists of strings always have an encoding.
	}
	return data
}

// DecodeVoters reads the data of an EntryVoters.
func DecodeVoters(data []byte) (VoterSet, error) {
	var vs VoterSet
	err := cbor.Unmarshal(data, &vs)
	return vs, err
}

// strictMajority reports whether a count is more than half of the voters. Half
// is not enough: with 2 or 4 voters both halves would win at the same time.
func strictMajority(count, voters int) bool {
	return 2*count > voters
}

// heldByMajority returns the highest value that a strict majority has reached.
func heldByMajority[T int64 | uint64](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// votersFrom is a voter set and the index from which it is in force.
type votersFrom struct {
	index  uint64
	voters VoterSet
}

// noteVoters keeps the voter sets among entries that were just appended. A set
// is in force at once, not only when it is committed.
func (sp *step) noteVoters(es []Entry) {
	for _, en := range es {
		if en.Type != EntryVoters {
			continue
		}
		vs, err := DecodeVoters(en.Data)
		if err != nil {
			continue // Only a leader writes these entries, with Encode.
		}
		sp.history = append(slices.Clip(sp.history), votersFrom{en.Index, vs})
	}
}

// forgetVotersFrom drops the voter sets of entries that are truncated.
func (sp *step) forgetVotersFrom(index uint64) {
	for len(sp.history) > 1 && sp.history[len(sp.history)-1].index >= index {
		sp.history = sp.history[:len(sp.history)-1]
	}
}

// changePending reports whether the newest voter set is not committed yet.
func (sp *step) changePending() bool {
	return sp.history[len(sp.history)-1].index > sp.commit
}

// termOpen reports whether an entry of the leader's own term is committed.
// Before that, an uncommitted voter set of an earlier leader may still come
// back, so that a change made now would not be one by one.
func (st State) termOpen() bool {
	te, _ := st.log.term(st.commit)
	return te == st.hard.Term
}

func (sp *step) changeVoters(ev ChangeVoters) {
	if re := sp.refuseChange(ev); re != 0 {
		sp.refuseProposal(ev.Tag, re)
		return
	}
	vs := sp.Voters().Without(ev.Remove)
	if ev.Add != "" {
		vs = vs.WithLearner(ev.Add)
	}
	sp.appendVoters(vs)
	sp.act(ProposalAppended{Tag: ev.Tag, Index: sp.log.last(), Term: sp.hard.Term})
}

// refuseChange returns why a change is refused, or 0.
func (sp *step) refuseChange(ev ChangeVoters) Reason {
	vs := sp.Voters()
	switch {
	case sp.role != Leader:
		return ReasonNotLeader
	case sp.resigning:
		return ReasonResigning
	case (ev.Add == "") == (ev.Remove == ""):
		return ReasonInvalidChange
	case !sp.termOpen():
		return ReasonNoCommitInTerm
	case sp.changePending():
		return ReasonChangePending
	case vs.HasVoter(ev.Add) || vs.HasLearner(ev.Add):
		return ReasonAlreadyMember
	case ev.Add != "":
		return 0
	case !vs.HasVoter(ev.Remove) && !vs.HasLearner(ev.Remove):
		return ReasonNotMember
	case ev.Remove == sp.cf.Self:
		// With 2 voters, a leader that removed itself and crashed would leave a
		// voter that needs the vote of one whose longer log forbids it.
		return ReasonIsLeader
	}
	return 0
}

// promote makes a voter of a learner that has caught up. A newcomer that
// counted earlier would raise the majority without holding anything: the next
// loss of a voter would stop the log, or worse, a majority could be found that
// lacks committed entries after the newcomer's disk is replaced.
func (sp *step) promote() {
	if sp.role != Leader || sp.resigning || sp.changePending() || !sp.termOpen() {
		return
	}
	for _, id := range sp.Voters().Learners {
		pr := sp.progress(id)
		if pr.matched >= sp.commit && sp.inContact(pr) {
			sp.appendVoters(sp.Voters().WithPromoted(id))
			return
		}
	}
}

func (sp *step) appendVoters(vs VoterSet) {
	sp.appendOwn(EntryVoters, vs.Encode())
}
