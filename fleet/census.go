package fleet

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/quorum"
)

const (
	// replaceSilence is how long a voter must have been silent before an instance
	// of another name takes its place.
	replaceSilence = 2500 * time.Millisecond
	// askingSpan is how old the request of an outsider may be.
	askingSpan = 4 * housePeriod
)

// census is what a leader knows when it looks at the voters.
type census struct {
	self     quorum.ID
	voters   quorum.VoterSet
	wanted   int
	election time.Duration
	silence  func(id quorum.ID) time.Duration // silence is how long a member has not been heard in this term.
	asking   []quorum.ID                      // asking are the outsiders that want to be added, in order.
}

// change returns one member to add or to remove, or neither.
//
// A newcomer is added before the lost voter is removed, which is the order that
// keeps a majority in reach if one more is lost in between. Beyond that there
// are never more voters than wanted: an even number bears no more losses.
func (ce census) change() (add, remove quorum.ID) {
	vs := ce.voters
	for _, id := range vs.Learners {
		if ce.silence(id) >= ce.limit(id) {
			return "", id
		}
	}
	switch {
	case len(vs.Learners) > 0:
		return "", "" // It is promoted first.
	case len(vs.Voters) > ce.wanted:
		return "", ce.excess()
	case len(vs.Voters)-len(ce.lost()) < ce.wanted:
		return ce.newcomer(), ""
	}
	return "", ""
}

// limit is how long a member may be silent before it counts as lost. One whose
// name comes back with another disk is lost for certain: the old process must
// have ended, and a second loss may follow soon.
func (ce census) limit(id quorum.ID) time.Duration {
	if _, ok := ce.twin(id); ok {
		return ce.election
	}
	return replaceSilence
}

// twin returns another disk of the same name that votes or asks to be added.
func (ce census) twin(id quorum.ID) (quorum.ID, bool) {
	for _, ot := range slices.Concat(ce.voters.Voters, ce.asking) {
		if ot != id && nameOf(ot) == nameOf(id) {
			return ot, true
		}
	}
	return "", false
}

// lost returns the voters that count as lost.
func (ce census) lost() []quorum.ID {
	var ids []quorum.ID
	for _, id := range ce.voters.Voters {
		if id != ce.self && ce.silence(id) >= ce.limit(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// excess returns the voter to remove when there is one too many: the one whose
// name has another disk, else the one that has been silent longest.
func (ce census) excess() quorum.ID {
	var worst quorum.ID
	rank := func(id quorum.ID) time.Duration {
		si := ce.silence(id)
		if _, ok := ce.twin(id); ok && si >= ce.election {
			return math.MaxInt64
		}
		return si
	}
	for _, id := range ce.voters.Voters {
		if id != ce.self && (worst == "" || rank(id) > rank(worst)) {
			worst = id
		}
	}
	return worst
}

// newcomer returns who is to be added: another disk of a lost voter's instance
// before others, and no second disk of an instance that still votes.
func (ce census) newcomer() quorum.ID {
	lost := ce.lost()
	named := func(ids []quorum.ID, id quorum.ID) bool {
		return slices.ContainsFunc(ids, func(ot quorum.ID) bool { return nameOf(ot) == nameOf(id) })
	}
	for _, id := range ce.asking {
		if named(lost, id) {
			return id
		}
	}
	for _, id := range ce.asking {
		if !named(ce.voters.Voters, id) {
			return id
		}
	}
	return ""
}

// manage changes the voters by one if that is due.
func (th *thread) manage(now time.Time) {
	if !th.leads() || !th.vo.st.CommittedInTerm() {
		return
	}
	vo := th.vo
	// A leader that doesn't hear a majority can't change anything and knows nothing
	// of the others.
	if now.Sub(vo.st.LastQuorumContact()) >= th.nd.cf.ElectionTimeout {
		return
	}
	vs := vo.st.Voters()
	if !slices.Equal(vs.Voters, vo.st.VotersAt(vo.appliedIndex).Voters) || !slices.Equal(vs.Learners, vo.st.VotersAt(vo.appliedIndex).Learners) {
		return // A change is pending.
	}
	ce := census{
		self:     vo.id,
		voters:   vs,
		wanted:   th.nd.cf.wanted(),
		election: th.nd.cf.ElectionTimeout,
		silence:  func(id quorum.ID) time.Duration { return th.silence(now, id) },
		asking:   th.asking(now),
	}
	add, remove := ce.change()
	if add == "" && remove == "" {
		return
	}
	th.nd.lg.Info("voter-change", zap.String("Add", string(add)), zap.String("Remove", string(remove)), zap.Stringer("Voters", vs))
	if add != "" {
		th.leading.heard[add] = now
	}
	th.step(quorum.ChangeVoters{Now: th.now(), Add: add, Remove: remove})
}

// silence returns how long a member has not been heard, at most since this
// instance leads.
func (th *thread) silence(now time.Time, id quorum.ID) time.Duration {
	since := th.leading.since
	if at, ok := th.leading.heard[id]; ok && at.After(since) {
		since = at
	}
	return now.Sub(since)
}

// asking returns the outsiders that asked to be added lately, by name.
func (th *thread) asking(now time.Time) []quorum.ID {
	var ids []quorum.ID
	for _, pa := range th.nd.li.known() {
		re := pa.report
		if re.Outsider && re.ID != "" && now.Sub(pa.at) < askingSpan && !th.inSet(re.ID) {
			ids = append(ids, re.ID)
		}
	}
	return ids
}
