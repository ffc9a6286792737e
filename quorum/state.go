package quorum

import (
	"math/rand/v2"
	"slices"
	"time"
)

// defaultMaxBatch is used if Config.MaxBatch is zero.
const defaultMaxBatch = 64

var zeroTime time.Time

// State is the state of one voter, learner or non-member. It is immutable: Step returns a
// new one and leaves the old one unchanged.
type State struct {
	cf        Config
	start     uint64    // start distinguishes this start from others with the same boot number.
	startedAt time.Time // startedAt is also the zero point of the times in messages.
	random    rand.PCG

	role         Role
	hard         HardState
	leader       ID
	leaderSince  time.Time // leaderSince is the time since which the leader is known.
	log          entryLog
	voterHistory []votersFrom // voterHistory begins with the snapshot's voter set.
	commit       uint64

	leaderHeardAt time.Time // leaderHeardAt is when a leader was last heard, or the start.
	electionAt    time.Time
	heartbeatAt   time.Time // heartbeatAt is when to send the next Append, or ClearanceRequest if not cleared.
	votes         []ID

	observations []observation // observations are sorted by ID.
	cleared      bool
	refusal      string // refusal is the reason for which the disk must not be used.
	clearances   []clearance
	newerLog     newerLog // newerLog is the newest log that a clearance reported.

	members        []progress // members are the other members; only a leader has them.
	becameLeaderAt time.Time
	quorumContact  time.Time // quorumContact is when the newest Append that a majority acknowledged was sent.
	resigning      bool
	resignDeadline time.Time // resignDeadline is when a resigning leader steps down in any case.
}

// New returns the state after a start from the stored state. A member is Uncleared until
// the others have cleared it; one that is not in the voter set or whose disk was refused is
// an Outsider.
func New(cf Config, sd StoredState, now time.Time) State {
	if cf.MaxBatch == 0 {
		cf.MaxBatch = defaultMaxBatch
	}
	st := State{
		cf:            cf,
		startedAt:     now,
		random:        *rand.NewPCG(cf.Seed^uint64(now.UnixNano()), cf.Boot),
		role:          Role(voterChart.Initial()),
		hard:          sd.Hard,
		log:           newLog(sd.SnapshotIndex, sd.SnapshotTerm, sd.Entries),
		voterHistory:  []votersFrom{{sd.SnapshotIndex, sd.SnapshotVoters}},
		commit:        sd.SnapshotIndex,
		leaderHeardAt: now,
		heartbeatAt:   now,
	}
	sp := newStep(st, now)
	sp.raiseTermToLog()
	sp.start = sp.random.Uint64()
	sp.recordVoters(sd.Entries)
	sp.resetElection()
	sp.enterInitialRole()
	return sp.State
}

// raiseTermToLog raises the term to that of the log if the hard state lags behind it, as on
// a disk that holds only a first snapshot. A voter that sent a lower term after a restart
// than before would be taken for an older copy of its disk.
func (sp *step) raiseTermToLog() {
	te := sp.log.lastTerm()
	if te <= sp.hard.Term {
		return
	}
	sp.hard.Term = te
	if sp.hard.Vote != RefusedVote {
		sp.hard.Vote = ""
	}
}

// Role returns the current role of the member.
func (st State) Role() Role { return st.role }

// Leader returns the leader of the current term, or "" if none is known.
func (st State) Leader() ID { return st.leader }

// Term returns the current term.
func (st State) Term() uint64 { return st.hard.Term }

// Commit returns the index up to which entries are known to be committed.
func (st State) Commit() uint64 { return st.commit }

// Last returns the index of the last entry of the log.
func (st State) Last() uint64 { return st.log.last() }

// Voters returns the newest voter set of the log, which may not be committed.
func (st State) Voters() VoterSet {
	return st.voterHistory[len(st.voterHistory)-1].voters
}

// VotersAt returns the voter set in force at an index, for a snapshot up to it.
func (st State) VotersAt(index uint64) VoterSet {
	vs := st.voterHistory[0].voters
	for _, vf := range st.voterHistory {
		if vf.index <= index {
			vs = vf.voters
		}
	}
	return vs
}

// Refusal returns the reason for which the disk must not be used, or "". After a start from
// a disk that was refused before it is set at once, without a RoleChanged.
func (st State) Refusal() string { return st.refusal }

// LeaderSince returns the time since which the leader is known here, or the zero time.
func (st State) LeaderSince() time.Time {
	if st.leader == "" {
		return zeroTime
	}
	return st.leaderSince
}

// Progress is a leader's view of another member.
type Progress struct {
	ID          ID
	Matched     uint64    // Matched is the index up to which the member's log is known to be equal.
	LastContact time.Time // LastContact is when the newest message that the member acknowledged was sent.
}

// Members returns a leader's view of the other members; nil if this voter doesn't lead.
func (st State) Members() []Progress {
	var ps []Progress
	for _, pr := range st.members {
		contact := zeroTime
		if pr.ackedSendTime != noTime {
			contact = st.startedAt.Add(time.Duration(pr.ackedSendTime))
		}
		ps = append(ps, Progress{ID: pr.id, Matched: pr.matched, LastContact: contact})
	}
	return ps
}

// NextTick returns the time at which a Tick will next have an effect, and false if only a
// message can. A Tick may come earlier or later.
func (st State) NextTick() (time.Time, bool) {
	switch st.role {
	case Uncleared, Leader:
		return st.heartbeatAt, true
	case Follower, PreCandidate, Candidate:
		return st.electionAt, true
	}
	return zeroTime, false
}

// compact removes the entries that a durable snapshot replaces.
func (sp *step) compact(index uint64) {
	if index <= sp.log.snapshotIndex || index > sp.commit {
		return
	}
	sp.log = sp.log.compacted(index)
	sp.voterHistory = slices.Clone(sp.voterHistory)
	for len(sp.voterHistory) > 1 && sp.voterHistory[1].index <= index {
		sp.voterHistory = sp.voterHistory[1:]
	}
}
