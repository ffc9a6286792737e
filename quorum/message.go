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

// Header begins every message. All that it states is durable at the sender.
type Header struct {
	Boot  uint64 // Boot counts the starts from the sender's disk.
	Start uint64 // Start tells two starts with the same boot number apart.
	Term  uint64
}

// Hello asks whether the sender, which has just started, may vote and
// acknowledge.
type ClearanceRequest struct {
	Header
	LastIndex uint64
}

// HelloReply clears the asker unless Refusal or Removed is set.
type ClearanceReply struct {
	Header
	Asker   uint64 // Asker is the Start of the Hello.
	Refusal string // Refusal says what was seen of the asker that its disk lacks.
	Removed bool   // Removed says that the committed voter set lacks the asker.
	Leader  ID     // Leader is the leader that the sender hears, or the sender itself.

	LastIndex, LastTerm uint64   // LastIndex is the end of the sender's log.
	Voters              VoterSet // Voters is the newest set in it.
}

// VoteRequest asks for a vote in the sender's term, or with Pre whether a vote
// would be granted in the term after it.
type VoteRequest struct {
	Header
	Pre                 bool
	HandedOver          bool // HandedOver says that the leader resigned in favour of the sender.
	LastIndex, LastTerm uint64
}

// VoteReply answers a VoteRequest whose header had the term For.
type VoteReply struct {
	Header
	Pre     bool
	For     uint64
	Granted bool
	Removed bool // Removed says that the committed voter set lacks the candidate.
}

// Append carries entries after PrevIndex; it is a heartbeat if there are none.
type Append struct {
	Header
	Sent                int64 // Sent is a time on the leader's clock that the reply returns.
	PrevIndex, PrevTerm uint64
	Commit              uint64
	Entries             []Entry
}

// AppendReply acknowledges that the log is equal to the leader's up to Matched,
// or if Rejected, that the leader should try again after Matched.
type AppendReply struct {
	Header
	Sent     int64
	Matched  uint64
	Rejected bool
}

// Snapshot carries the state machine up to Index to a member that lags behind
// the leader's log. AppendReply answers it.
type Snapshot struct {
	Header
	Sent             int64
	Index, IndexTerm uint64
	Voters           VoterSet
	Data             []byte
}

// HandOver tells a voter that the leader has stepped down in its favour.
type TransferLeadership struct{ Header }

// Kind returns KindHello.
func (ClearanceRequest) Kind() peer.Kind { return KindClearanceRequest }

// Kind returns KindHelloReply.
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

// Kind returns KindHandOver.
func (TransferLeadership) Kind() peer.Kind { return KindTransferLeadership }

// Messages returns one zero value of each message, for the codec. Received
// events carry the messages as values, not as pointers.
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
