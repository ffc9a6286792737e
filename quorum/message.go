package quorum

import "balsamwinch.example/peer"

// The kinds of the messages between voters.
const (
	KindClearanceRequest peer.Kind = peer.KindQuorum + iota
	KindClearanceReply
	KindVoteRequest
	KindVoteReply
	KindAppend
	KindAppendReply
	KindSnapshot
	KindTransferLeadership
)

// Header is the start of every message. All that it states is durable at the sender.
type Header struct {
	Boot  uint64 // Boot counts the starts from the sender's disk.
	Start uint64 // Start distinguishes starts with the same boot number.
	Term  uint64
}

// ClearanceRequest asks whether the sender, which has just started, may vote and
// acknowledge.
type ClearanceRequest struct {
	Header
	LastIndex uint64
}

// ClearanceReply clears the requester unless Refusal or Removed is set.
type ClearanceReply struct {
	Header
	Asker   uint64 // Asker is the Start of the ClearanceRequest.
	Refusal string // Refusal is what was observed of the requester and is missing on its disk.
	Removed bool   // Removed is set if the committed voter set lacks the requester.
	Leader  ID     // Leader is the leader that the sender hears, or the sender itself.

	LastIndex, LastTerm uint64   // LastIndex is the end of the sender's log.
	Voters              VoterSet // Voters is the newest voter set in the sender's log.
}

// VoteRequest asks for a vote in the sender's term, or with Pre whether a vote would be
// granted in the next term.
type VoteRequest struct {
	Header
	Pre                 bool
	HandedOver          bool // HandedOver is set if the leader transferred leadership to the sender.
	LastIndex, LastTerm uint64
}

// VoteReply answers a VoteRequest whose header had the term For.
type VoteReply struct {
	Header
	Pre     bool
	For     uint64
	Granted bool
	Removed bool // Removed is set if the committed voter set lacks the candidate.
}

// Append carries the entries after PrevIndex; without entries it is a heartbeat.
type Append struct {
	Header
	Sent                int64 // Sent is the send time on the leader's clock; the reply returns it.
	PrevIndex, PrevTerm uint64
	Commit              uint64
	Entries             []Entry
}

// AppendReply acknowledges that the log equals the leader's up to Matched. If Rejected, the
// leader should retry after Matched.
type AppendReply struct {
	Header
	Sent     int64
	Matched  uint64
	Rejected bool
}

// Snapshot carries the state machine up to Index to a member whose log lags behind the
// start of the leader's. AppendReply answers it.
type Snapshot struct {
	Header
	Sent             int64
	Index, IndexTerm uint64
	Voters           VoterSet
	Data             []byte
}

// TransferLeadership tells a voter that the leader has stepped down in its favour.
type TransferLeadership struct{ Header }

// Kind returns KindClearanceRequest.
func (ClearanceRequest) Kind() peer.Kind { return KindClearanceRequest }

// Kind returns KindClearanceReply.
func (ClearanceReply) Kind() peer.Kind { return KindClearanceReply }

// Kind returns KindVoteRequest.
func (VoteRequest) Kind() peer.Kind { return KindVoteRequest }

// Kind returns KindVoteReply.
func (VoteReply) Kind() peer.Kind { return KindVoteReply }

// Kind returns KindAppend.
func (Append) Kind() peer.Kind { return KindAppend }

// Kind returns KindAppendReply.
func (AppendReply) Kind() peer.Kind { return KindAppendReply }

// Kind returns KindSnapshot.
func (Snapshot) Kind() peer.Kind { return KindSnapshot }

// Kind returns KindTransferLeadership.
func (TransferLeadership) Kind() peer.Kind { return KindTransferLeadership }

// Messages returns one zero value of each message, for the codec. Received events carry
// messages as values, not as pointers.
func Messages() []peer.Message {
	return []peer.Message{
		ClearanceRequest{},
		ClearanceReply{},
		VoteRequest{},
		VoteReply{},
		Append{},
		AppendReply{},
		Snapshot{},
		TransferLeadership{},
	}
}
