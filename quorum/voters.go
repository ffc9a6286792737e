package quorum

import (
	"fmt"
	"slices"

	"balsamwinch.example/codec"
)

// VoterSet holds the voters, which count towards majorities, and the learners, which don't
// yet. It is immutable.
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

// String returns the voters, followed by a plus sign and the learners if there are any.
func (vs VoterSet) String() string {
	if len(vs.Learners) == 0 {
		return fmt.Sprint(vs.Voters)
	}
	return fmt.Sprint(vs.Voters, "+", vs.Learners)
}

// WithLearner returns the set with an additional learner.
func (vs VoterSet) WithLearner(id ID) VoterSet {
	return VoterSet{Voters: vs.Voters, Learners: append(slices.Clip(vs.Learners), id)}
}

// WithPromoted returns the set with a learner promoted to voter.
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
	data, err := codec.Marshal(vs)
	if err != nil {
		panic(err) // Lists of strings always have an encoding.
	}
	return data
}

// DecodeVoters reads the data of an EntryVoters.
func DecodeVoters(data []byte) (VoterSet, error) {
	var vs VoterSet
	err := codec.Unmarshal(data, &vs)
	return vs, err
}

// strictMajority reports whether a count is more than half of the voters. Half is not
// enough: with 2 or 4 voters both halves could win at the same time.
func strictMajority(count, voters int) bool {
	return 2*count > voters
}

// majorityValue returns the highest value that a strict majority has reached.
func majorityValue[T int64 | uint64](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// votersFrom is a voter set and the index from which it is in force.
type votersFrom struct {
	index  uint64
	voters VoterSet
}

// recordVoters records the voter sets among entries that were just appended. A set is in
// force at once, not only when it is committed.
func (sp *step) recordVoters(es []Entry) {
	for _, en := range es {
		if en.Type != EntryVoters {
			continue
		}
		vs, err := DecodeVoters(en.Data)
		if err != nil {
			continue // Only a leader writes these entries, with Encode.
		}
		sp.voterHistory = append(slices.Clip(sp.voterHistory), votersFrom{en.Index, vs})
	}
}

// dropVotersFrom removes the voter sets of truncated entries.
func (sp *step) dropVotersFrom(index uint64) {
	for len(sp.voterHistory) > 1 && sp.voterHistory[len(sp.voterHistory)-1].index >= index {
		sp.voterHistory = sp.voterHistory[:len(sp.voterHistory)-1]
	}
}

// changePending reports whether the newest voter set is not committed yet.
func (sp *step) changePending() bool {
	return sp.voterHistory[len(sp.voterHistory)-1].index > sp.commit
}

// committedInTerm reports whether an entry of the leader's own term is committed. Before
// that, an uncommitted voter set of an earlier leader may still return, so that a change
// now might not be the only one in progress.
func (st State) committedInTerm() bool {
	te, _ := st.log.term(st.commit)
	return te == st.hard.Term
}

func (sp *step) changeVoters(ev ChangeVoters) {
	if re := sp.rejectionReason(ev); re != 0 {
		sp.rejectProposal(ev.Tag, re)
		return
	}
	vs := sp.Voters().Without(ev.Remove)
	if ev.Add != "" {
		vs = vs.WithLearner(ev.Add)
	}
	sp.appendVoters(vs)
	sp.emit(ProposalAppended{Tag: ev.Tag, Index: sp.log.last(), Term: sp.hard.Term})
}

// rejectionReason returns why a change is rejected, or 0.
func (sp *step) rejectionReason(ev ChangeVoters) Reason {
	vs := sp.Voters()
	switch {
	case sp.role != Leader:
		return ReasonNotLeader
	case sp.resigning:
		return ReasonResigning
	case (ev.Add == "") == (ev.Remove == ""):
		return ReasonInvalidChange
	case !sp.committedInTerm():
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
		// With 2 voters, a leader that removed itself and crashed could leave a voter
		// without that entry. This voter would then need the vote of the removed leader,
		// which must refuse it because its own log is longer.
		return ReasonIsLeader
	}
	return 0
}

// promoteLearner promotes a learner that has caught up. If a new member counted earlier, it
// would raise the majority without holding any entries: the next loss of a voter would stop
// the log, or a majority could form that lacks committed entries after the new member's
// disk is replaced.
func (sp *step) promoteLearner() {
	if sp.role != Leader || sp.resigning || sp.changePending() || !sp.committedInTerm() {
		return
	}
	for _, id := range sp.Voters().Learners {
		pr := sp.progress(id)
		if pr.matched >= sp.commit && sp.recentlyAcked(pr) {
			sp.appendVoters(sp.Voters().WithPromoted(id))
			return
		}
	}
}

func (sp *step) appendVoters(vs VoterSet) {
	sp.appendOwn(EntryVoters, vs.Encode())
}
