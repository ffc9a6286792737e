package fleet

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/quorum"
)

const (
	// voterSilenceTimeout is the time without messages after which an instance with another
	// name replaces a voter.
	voterSilenceTimeout = 2500 * time.Millisecond
	// joinRequestTTL is the time for which a non-member's request to be added counts.
	joinRequestTTL = 4 * maintenanceInterval
)

// membership is a leader's view of the members, from which it derives voter changes.
type membership struct {
	self            quorum.ID
	voters          quorum.VoterSet
	targetVoters    int
	electionTimeout time.Duration
	silence         func(id quorum.ID) time.Duration // silence is the time since a member was last heard in this term.
	joinRequests    []quorum.ID                      // joinRequests are the non-members that want to be added, in order.
}

// nextChange returns one member to add or to remove, or neither.
//
// A new voter is added before the lost one is removed, so that a majority stays reachable
// if another voter is lost in between. Otherwise there are never more voters than wanted:
// an even number tolerates no more failures.
func (mb membership) nextChange() (add, remove quorum.ID) {
	vs := mb.voters
	for _, id := range vs.Learners {
		if mb.silence(id) >= mb.silenceTimeout(id) {
			return "", id
		}
	}
	switch {
	case len(vs.Learners) > 0:
		return "", "" // It is promoted first.
	case len(vs.Voters) > mb.targetVoters:
		return "", mb.surplusVoter()
	case len(vs.Voters)-len(mb.lostVoters()) < mb.targetVoters:
		return mb.nextLearner(), ""
	}
	return "", ""
}

// silenceTimeout is the silence after which a member counts as lost. It is shorter if the
// member's name has returned with another disk: the old process must have ended, and a
// second loss may follow soon.
func (mb membership) silenceTimeout(id quorum.ID) time.Duration {
	if _, ok := mb.otherDisk(id); ok {
		return mb.electionTimeout
	}
	return voterSilenceTimeout
}

// otherDisk returns another ID with the same instance name that votes or asks to be added.
func (mb membership) otherDisk(id quorum.ID) (quorum.ID, bool) {
	for _, ot := range slices.Concat(mb.voters.Voters, mb.joinRequests) {
		if ot != id && instanceOf(ot) == instanceOf(id) {
			return ot, true
		}
	}
	return "", false
}

// lostVoters returns the voters that count as lost.
func (mb membership) lostVoters() []quorum.ID {
	var ids []quorum.ID
	for _, id := range mb.voters.Voters {
		if id != mb.self && mb.silence(id) >= mb.silenceTimeout(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// surplusVoter returns the voter to remove when there is one too many: the one whose
// instance has another disk, else the one with the longest silence.
func (mb membership) surplusVoter() quorum.ID {
	var worst quorum.ID
	rank := func(id quorum.ID) time.Duration {
		si := mb.silence(id)
		if _, ok := mb.otherDisk(id); ok && si >= mb.electionTimeout {
			return math.MaxInt64
		}
		return si
	}
	for _, id := range mb.voters.Voters {
		if id != mb.self && (worst == "" || rank(id) > rank(worst)) {
			worst = id
		}
	}
	return worst
}

// nextLearner returns the non-member to add, or "". Another disk of a lost voter's instance
// comes first; a second disk of an instance that still votes is never added.
func (mb membership) nextLearner() quorum.ID {
	lost := mb.lostVoters()
	hasInstance := func(ids []quorum.ID, id quorum.ID) bool {
		return slices.ContainsFunc(ids, func(ot quorum.ID) bool { return instanceOf(ot) == instanceOf(id) })
	}
	for _, id := range mb.joinRequests {
		if hasInstance(lost, id) {
			return id
		}
	}
	for _, id := range mb.joinRequests {
		if !hasInstance(mb.voters.Voters, id) {
			return id
		}
	}
	return ""
}

// manageVoters proposes one voter change if one is due.
func (th *thread) manageVoters(now time.Time) {
	if !th.isLeader() || !th.vo.st.CommittedInTerm() {
		return
	}
	vo := th.vo
	// A leader without contact to a majority can't commit a change, and its view of the
	// others is out of date.
	if now.Sub(vo.st.LastQuorumContact()) >= th.nd.cf.ElectionTimeout {
		return
	}
	vs := vo.st.Voters()
	if !slices.Equal(vs.Voters, vo.st.VotersAt(vo.appliedIndex).Voters) || !slices.Equal(vs.Learners, vo.st.VotersAt(vo.appliedIndex).Learners) {
		return // A change is pending.
	}
	mb := membership{
		self:            vo.id,
		voters:          vs,
		targetVoters:    th.nd.cf.targetVoters(),
		electionTimeout: th.nd.cf.ElectionTimeout,
		silence:         func(id quorum.ID) time.Duration { return th.silence(now, id) },
		joinRequests:    th.joinRequests(now),
	}
	add, remove := mb.nextChange()
	if add == "" && remove == "" {
		return
	}
	th.nd.lg.Info("voter-change", zap.String("Add", string(add)), zap.String("Remove", string(remove)), zap.Stringer("Voters", vs))
	if add != "" {
		th.leading.lastHeard[add] = now
	}
	th.step(quorum.ChangeVoters{Now: th.now(), Add: add, Remove: remove})
}

// silence returns the time since a member was last heard, at most the time since this
// instance became the leader.
func (th *thread) silence(now time.Time, id quorum.ID) time.Duration {
	since := th.leading.since
	if at, ok := th.leading.lastHeard[id]; ok && at.After(since) {
		since = at
	}
	return now.Sub(since)
}

// joinRequests returns the non-members that recently asked to be added, by name.
func (th *thread) joinRequests(now time.Time) []quorum.ID {
	var ids []quorum.ID
	for _, pr := range th.nd.links.latestReports() {
		re := pr.report
		if re.Outsider && re.ID != "" && now.Sub(pr.receivedAt) < joinRequestTTL && !th.isMember(re.ID) {
			ids = append(ids, re.ID)
		}
	}
	return ids
}
