// Package quorum implements the replicated log of the control instances, a Raft variant, as
// a pure function: a state and an event yield the next state and the actions that the
// executor performs. It neither reads a clock nor accesses a disk or a socket. The commands
// in the log are opaque to it.
package quorum

import (
	"time"

	"balsamwinch.example/peer"
)

// ID is the opaque identity of a voter or learner. A replacement for a lost disk has
// another ID.
type ID string

// Config configures a voter.
type Config struct {
	Self              ID
	ElectionTimeout   time.Duration // ElectionTimeout is the base timeout; each timeout is random in [ElectionTimeout, 2*ElectionTimeout).
	HeartbeatInterval time.Duration // HeartbeatInterval is the time between two heartbeats of a leader.
	Seed              uint64        // Seed seeds the random timeouts together with the time passed to New; it must therefore not be a time itself.
	MaxBatch          int           // MaxBatch bounds the entries in one message; 64 if zero.
	Boot              uint64        // Boot counts the starts from this disk, from 1; it is synced before New.
}

// EntryType is the purpose of an entry.
type EntryType uint8

// The types of entries. Only EntryCommand carries a command of the executor.
const (
	EntryCommand EntryType = iota
	EntryVoters
	EntryNoop
)

// Entry is one entry of the replicated log. The first index is 1.
type Entry struct {
	Index, Term uint64
	Type        EntryType
	Data        []byte
}

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote ID // Vote is the candidate voted for in the term, "" for none, or RefusedVote.
}

// RefusedVote is the vote stored on a disk that was refused as an older copy. No voter may
// have this ID.
const RefusedVote ID = "(refused disk)"

// StoredState is the state that the executor recovered from its disk. At the first start of
// the whole system, SnapshotVoters holds the first voters and the rest is zero.
type StoredState struct {
	Hard                        HardState
	SnapshotIndex, SnapshotTerm uint64
	SnapshotVoters              VoterSet
	Entries                     []Entry // Entries are those after SnapshotIndex, in order.
}

// Role is a state of the chart in voter.yaml.
type Role string

// The roles. An Uncleared member has started and may neither vote nor acknowledge before a
// majority has cleared its disk. An Outsider is not in the voter set, or its disk was
// refused.
const (
	Uncleared    Role = "Uncleared"
	Follower     Role = "Follower"
	PreCandidate Role = "PreCandidate"
	Candidate    Role = "Candidate"
	Leader       Role = "Leader"
	Learner      Role = "Learner"
	Outsider     Role = "Outsider"
)

// Event is an input of a voter.
type Event interface{ isEvent() }

// Tick reports the current time. Ticks should come several times per heartbeat interval.
type Tick struct{ Now time.Time }

// Received is a message from another voter or learner.
type Received struct {
	Now     time.Time
	From    ID
	Message peer.Message
}

// Propose asks the leader to append a command, whose data must not be changed afterwards.
// ProposalAppended or ProposalRejected answers with the same tag.
type Propose struct {
	Now  time.Time
	Tag  uint64
	Data []byte
}

// Probe makes a leader send a heartbeat at once. State that the leader had committed at an
// earlier time is confirmed as the newest once State.LastQuorumContact is after that time:
// a majority has acknowledged since then that it follows no later leader. Probe has no
// effect on other roles.
type Probe struct{ Now time.Time }

// RequestClearance makes a member that is not cleared yet ask another instance, which the
// voter set on its disk may lack. A leader that has removed the member replies so. It has
// no effect on other roles.
type RequestClearance struct {
	Now time.Time
	To  ID
}

// ChangeVoters asks the leader to add a new member or to remove one; exactly one of Add and
// Remove is set. ProposalAppended or ProposalRejected answers with the same tag. A new
// member starts as a learner; the leader promotes it once it has caught up.
type ChangeVoters struct {
	Now         time.Time
	Tag         uint64
	Add, Remove ID
}

// Compacted reports that the executor holds a durable snapshot up to Index, so that the
// entries up to it are no longer needed.
type Compacted struct{ Index uint64 }

// SnapshotReady answers NeedSnapshot with the newest durable snapshot.
type SnapshotReady struct {
	Now         time.Time
	To          ID
	Index, Term uint64
	Voters      VoterSet
	Data        []byte
}

// Resign announces that the process is about to stop. A leader transfers leadership to a
// voter that has caught up; the resigned voter never campaigns again.
type Resign struct{ Now time.Time }

func (Tick) isEvent()             {}
func (Received) isEvent()         {}
func (Propose) isEvent()          {}
func (Probe) isEvent()            {}
func (RequestClearance) isEvent() {}
func (ChangeVoters) isEvent()     {}
func (Compacted) isEvent()        {}
func (SnapshotReady) isEvent()    {}
func (Resign) isEvent()           {}

// Action is an instruction to the executor. Actions are performed in order, and a Save or
// Restore is durable before any later action begins.
type Action interface{ isAction() }

// Save writes to the journal: first entries from TruncateFrom on are removed unless it is
// zero, then Entries are appended, and Hard replaces the hard state unless it is nil.
type Save struct {
	Hard         *HardState
	TruncateFrom uint64
	Entries      []Entry
}

// Send sends a message; it may be lost, duplicated or reordered.
type Send struct {
	To      ID
	Message peer.Message
}

// Apply passes committed entries of every type, in order and each once between two starts.
type Apply struct{ Entries []Entry }

// ProposalAppended reports where the leader appended a proposal. The proposal is committed
// once Apply passes an entry with this index and term; another term at the index means that
// the proposal was lost.
type ProposalAppended struct{ Tag, Index, Term uint64 }

// ProposalRejected reports that a proposal was not appended.
type ProposalRejected struct {
	Tag    uint64
	Leader ID // Leader is the leader if one is known.
	Reason Reason
}

// NeedSnapshot asks for a SnapshotReady for a member that lags behind the log.
type NeedSnapshot struct{ To ID }

// Restore replaces the durable snapshot, the state machine and the whole log, which is
// empty afterwards.
type Restore struct {
	Index, Term uint64
	Voters      VoterSet
	Data        []byte
}

// RoleChanged reports that the role, the term or the known leader changed. Reason is set
// when a voter was refused or removed.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader ID
	Reason string
}

func (Save) isAction()             {}
func (Send) isAction()             {}
func (Apply) isAction()            {}
func (ProposalAppended) isAction() {}
func (ProposalRejected) isAction() {}
func (NeedSnapshot) isAction()     {}
func (Restore) isAction()          {}
func (RoleChanged) isAction()      {}

// Reason is the reason for which a proposal was rejected.
type Reason uint8

// The reasons of ProposalRejected.
const (
	ReasonNotLeader      Reason = iota + 1 // The voter does not lead.
	ReasonResigning                        // The leader is about to transfer leadership.
	ReasonChangePending                    // Another voter change is not committed yet.
	ReasonNoCommitInTerm                   // The leader has not yet committed an entry of its term.
	ReasonAlreadyMember                    // The new member is a voter or learner already.
	ReasonNotMember                        // The member to remove is neither voter nor learner.
	ReasonIsLeader                         // The leader can't be removed; Resign makes it transfer leadership first.
	ReasonInvalidChange                    // Not exactly one of Add and Remove is set.
)

// String describes the reason.
func (re Reason) String() string {
	switch re {
	case ReasonNotLeader:
		return "not the leader"
	case ReasonResigning:
		return "the leader is handing over"
	case ReasonChangePending:
		return "another voter change is pending"
	case ReasonNoCommitInTerm:
		return "the leader has not committed an entry of its term yet"
	case ReasonAlreadyMember:
		return "already a member"
	case ReasonNotMember:
		return "not a member"
	case ReasonIsLeader:
		return "the leader can't be removed, it has to resign first"
	case ReasonInvalidChange:
		return "exactly one of add and remove must be named"
	}
	return "no reason"
}
