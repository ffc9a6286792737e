package quorum

import (
	"math/rand/v2"
	"slices"
	"time"
)

// defaultBatch is the MaxBatch of a Config that leaves it zero.
const defaultBatch = 64

var time0 time.Time

// State is the state of one voter, learner or outsider. It is immutable: Step
// returns a new one and leaves the old one as it was.
type State struct {
	cf        Config
	start     uint64    // start tells this start from others with the same boot number.
	startedAt time.Time // startedAt is also the zero of the times in messages.
	random    rand.PCG

	role    Role
	hard    HardState
	leader  ID
	ledFrom time.Time // ledFrom is since when the leader is known.
	log     entryLog
	history []votersFrom // history begins with the snapshot's voter set.
	commit  uint64

	heardAt     time.Time // heardAt is when a leader was last heard, or the start.
	electionAt  time.Time
	heartbeatAt time.Time // heartbeatAt is when to send the next Append, or Hello if not cleared.
	votes       []ID

	seen    []sighting // seen is sorted by ID.
	cleared bool
	refusal string // refusal says why the disk must not be used.
	answers []answer
	ahead   ahead // ahead is the newest log that an answer told of.

	members   []progress // members are the others, in a leader only.
	ledSince  time.Time
	contact   time.Time // contact is when the newest Append that a majority acknowledged was sent.
	resigning bool
	resignAt  time.Time // resignAt is when a resigning leader steps down in any case.
}

// New returns the state after a start from what the disk holds. A member is
// Uncleared until the others have cleared it; one that is not in the voter set
// or whose disk was refused is an Outsider.
func New(cf Config, sd StoredState, now time.Time) State {
	if cf.MaxBatch == 0 {
		cf.MaxBatch = defaultBatch
	}
	st := State{
		cf:          cf,
		startedAt:   now,
		random:      *rand.NewPCG(cf.Seed^uint64(now.UnixNano()), cf.Boot),
		role:        Role(voterChart.Initial()),
		hard:        sd.Hard,
		log:         newLog(sd.SnapshotIndex, sd.SnapshotTerm, sd.Entries),
		history:     []votersFrom{{sd.SnapshotIndex, sd.SnapshotVoters}},
		commit:      sd.SnapshotIndex,
		heardAt:     now,
		heartbeatAt: now,
	}
	sp := newStep(st, now)
	sp.raiseTerm()
	sp.start = sp.random.Uint64()
	sp.noteVoters(sd.Entries)
	sp.resetElection()
	sp.begin()
	return sp.State
}

// raiseTerm takes over the term of the log if the hard state lags behind it, as
// on a disk that holds a first snapshot only. A voter that sent a lower term
// after a restart than before would be taken for an older copy of its disk.
func (sp *step) raiseTerm() {
	te := sp.log.lastTerm()
	if te <= sp.hard.Term {
		return
	}
	sp.hard.Term = te
	if sp.hard.Vote != RefusedVote {
		sp.hard.Vote = ""
	}
}

// Role returns the role.
func (st State) Role() Role { return st.role }

// Leader returns the leader of the term, or "" if none is known.
func (st State) Leader() ID { return st.leader }

// Term returns the term.
func (st State) Term() uint64 { return st.hard.Term }

// Commit returns the index up to which entries are known to be committed.
func (st State) Commit() uint64 { return st.commit }

// Last returns the index of the last entry of the log.
func (st State) Last() uint64 { return st.log.last() }

// Voters returns the newest voter set of the log, which may not be committed.
func (st State) Voters() VoterSet {
	return st.history[len(st.history)-1].voters
}

// VotersAt returns the voter set in force at an index, for a snapshot up to it.
func (st State) VotersAt(index uint64) VoterSet {
	vs := st.history[0].voters
	for _, vf := range st.history {
		if vf.index <= index {
			vs = vf.voters
		}
	}
	return vs
}

// Refusal returns why the disk must not be used, or "". A start from a disk that
// was refused before has it at once, without a RoleChanged.
func (st State) Refusal() string { return st.refusal }

// LeaderSince returns since when the leader is known here, or the zero time.
func (st State) LeaderSince() time.Time {
	if st.leader == "" {
		return time0
	}
	return st.ledFrom
}

// Progress is what a leader knows of another member.
type Progress struct {
	ID          ID
	Matched     uint64    // Matched is up to where the member's log is known to be equal.
	LastContact time.Time // Contact is when the newest message that it acknowledged was sent.
}

// Members returns what a leader knows of the others; nothing if it doesn't lead.
func (st State) Members() []Progress {
	var ps []Progress
	for _, pr := range st.members {
		contact := time0
		if pr.acked != never {
			contact = st.startedAt.Add(time.Duration(pr.acked))
		}
		ps = append(ps, Progress{ID: pr.id, Matched: pr.matched, LastContact: contact})
	}
	return ps
}

// NextTick returns when a Tick will next do something, and false if only a
// message can. A Tick may come earlier or later.
func (st State) NextTick() (time.Time, bool) {
	switch st.role {
	case Uncleared, Leader:
		return st.heartbeatAt, true
	case Follower, PreCandidate, Candidate:
		return st.electionAt, true
	}
	return time0, false
}

// compact forgets the entries that a durable snapshot replaces.
func (sp *step) compact(index uint64) {
	if index <= sp.log.snapshotIndex || index > sp.commit {
		return
	}
	sp.log = sp.log.compacted(index)
	sp.history = slices.Clone(sp.history)
	for len(sp.history) > 1 && sp.history[1].index <= index {
		sp.history = sp.history[1:]
	}
}
