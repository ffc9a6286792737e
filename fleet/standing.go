package fleet

import (
	"slices"
	"time"

	"balsamwinch.example/quorum"
)

const (
	// voterCountTTL is how long an earlier number of voters is kept in a Standing.
	voterCountTTL = 10 * time.Second
	// suspensionThreshold is the time without any work of the node's goroutine from which it
	// counts as suspended. A voter that is silent for voterSilenceTimeout may be replaced, and
	// what the links still hold from before looks like contact with the leader.
	suspensionThreshold = 2 * time.Second
)

// Standing is the place of an instance in the group. It is immutable.
type Standing struct {
	// Voting is set if the instance is in the newest voter set that it knows and its disk is
	// in use.
	Voting bool
	// Since is the time since which it has been voting without interruption; zero if its disk
	// said so when its process started. A suspension of the process is an interruption.
	Since time.Time
	// LastContact is when it last received a message of the leader that it follows. If it
	// leads, it is the send time of the newest message that a majority has acknowledged. It is
	// zero if there was no contact since the start or the last suspension.
	LastContact time.Time

	voters []voterCount // the last one is in force
}

// voterCount is a number of voters and when it was last in force; zero if it still is.
type voterCount struct {
	count int
	until time.Time
}

// MaxVoters returns the largest number of voters that was in force within the given time, at
// most 10 s. It is 0 if the instance knows no voters.
func (st Standing) MaxVoters(now time.Time, within time.Duration) int {
	count := 0
	for _, vc := range st.voters {
		if vc.until.IsZero() || now.Sub(vc.until) < within {
			count = max(count, vc.count)
		}
	}
	return count
}

// Standing returns the place of this instance in the group. It takes no lock.
func (nd *Node) Standing() Standing { return *nd.standing.Load() }

// noteContact records that a message of a member arrived and was processed.
func (th *thread) noteContact(now time.Time, from quorum.ID) {
	if vo := th.vo; vo.st.Role() != quorum.Leader && vo.st.Leader() == from {
		th.leaderHeardAt = now
	}
}

// noteSuspension forgets the contact with the leader after a suspension of the process.
func (th *thread) noteSuspension() {
	now := th.now()
	if !th.lastWorkAt.IsZero() && now.Sub(th.lastWorkAt) >= suspensionThreshold {
		th.leaderHeardAt, th.votingSince = time.Time{}, now
	}
	th.lastWorkAt = now
}

// publishStanding makes the current standing available to other goroutines.
func (th *thread) publishStanding() {
	now := th.now()
	was := th.nd.standing.Load()
	st := Standing{voters: was.voters}
	if vo := th.vo; vo != nil && vo.formed {
		vs := vo.st.Voters()
		// The log of a voter that was replaced while it was down still lists it.
		st.Voting = vs.HasVoter(vo.id) && vo.st.Role() != quorum.Outsider
		st.LastContact = th.leaderHeardAt
		if vo.st.Role() == quorum.Leader {
			st.LastContact = vo.st.LastQuorumContact()
		}
		st.voters = withVoterCount(was.voters, now, len(vs.Voters))
	}
	switch {
	case !st.Voting:
		th.wasVoting = false
	case !th.wasVoting && th.standingKnown:
		th.wasVoting, th.votingSince = true, now
	default:
		th.wasVoting = true
	}
	if th.vo != nil && th.vo.formed {
		th.standingKnown = true
	}
	st.Since = th.votingSince
	th.nd.standing.Store(&st)
}

// withVoterCount returns the counts with the current one at the end and without those that
// ended long ago.
func withVoterCount(vcs []voterCount, now time.Time, count int) []voterCount {
	if len(vcs) > 0 && vcs[len(vcs)-1].count == count {
		return vcs
	}
	vcs = slices.Clone(vcs)
	if len(vcs) > 0 {
		vcs[len(vcs)-1].until = now
	}
	vcs = slices.DeleteFunc(vcs, func(vc voterCount) bool { return now.Sub(vc.until) >= voterCountTTL })
	return append(vcs, voterCount{count: count})
}
