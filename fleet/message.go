package fleet

import (
	"balsamwinch.example/evacuation"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
)

// The kinds of the messages between control instances.
const (
	KindJoin peer.Kind = peer.KindFleet + iota
	KindJoinReply
	KindReportUpdate
	KindEnvelope
	KindDocument
	KindProposal
	KindReadRequest
	KindAnswer
	KindEvacuationRequest
	KindEvacuations
)

// Report describes an instance to the others.
type Report struct {
	Start    uint64 // Start is random and distinguishes processes with the same name.
	Sequence uint64 // Sequence increases with each report of a process.

	Name, Address string
	ID            quorum.ID // ID is the voter's identity; "" while the disk isn't open.
	Fresh         bool      // Fresh is set while the disk is empty and waits for the group to be formed.
	First         []string  // First are the seeds of a disk that took part in the first start, if Fresh.
	Outsider      bool      // Outsider is set if the instance is not a member and asks to be added to the voters.
	Leading       bool
	Term          uint64 // Term is the term in which the instance leads.
	Version       uint64 // Version is that of the newest document the instance knows to be committed.
	Revision      uint64 // Revision is that of the newest evacuations the instance knows to be committed.

	Members   []Member   // Members are the voters and the linked instances.
	Formation *Formation // Formation is nil if it is not known.
}

// Formation describes how the group was formed. All first voters start from the same
// snapshot, which is derived from it.
type Formation struct {
	Voters  []quorum.ID `cbor:"1,keyasint"`
	Members []Member    `cbor:"2,keyasint"`
}

// Join is the first message on a link, from the instance that opened it.
type Join struct{ Report Report }

// JoinReply answers Join.
type JoinReply struct{ Report Report }

// ReportUpdate carries a changed report. Non-members send it periodically.
type ReportUpdate struct{ Report Report }

// Envelope carries a message of the replicated log to one disk.
type Envelope struct {
	From, To quorum.ID
	Frame    []byte
}

// Document is a committed document, sent by a leader to non-members.
type Document struct {
	Version uint64
	Data    []byte
}

// Proposal asks the leader to commit a document. The Answer follows once a version at least
// as high is committed.
type Proposal struct {
	Request uint64
	Version uint64
	Data    []byte
}

// ReadRequest asks the leader for the committed document.
type ReadRequest struct {
	Request uint64
	Held    uint64 // Held is the version that the requester has; it is not sent again.
}

// EvacuationRequest asks the leader to commit a change of the evacuations. The Answer
// follows once it is applied.
type EvacuationRequest struct {
	Request uint64
	Order   evacuation.Change
}

// Evacuations are committed evacuations, sent by a leader to non-members.
type Evacuations struct{ Set evacuation.Set }

// Answer answers Proposal, ReadRequest and EvacuationRequest.
type Answer struct {
	Request uint64
	OK      bool
	Version uint64
	Data    []byte
	Same    bool   // Same is set if Held is the committed version; Data is then empty.
	Leader  string // Leader is the instance to ask if not OK; "" if unknown.
	Reason  string

	// Outcome and Evacuations are the result of an EvacuationRequest.
	Outcome     evacuation.Outcome
	Evacuations evacuation.Set
}

// Kind returns KindJoin.
func (Join) Kind() peer.Kind { return KindJoin }

// Kind returns KindJoinReply.
func (JoinReply) Kind() peer.Kind { return KindJoinReply }

// Kind returns KindReportUpdate.
func (ReportUpdate) Kind() peer.Kind { return KindReportUpdate }

// Kind returns KindEnvelope.
func (Envelope) Kind() peer.Kind { return KindEnvelope }

// Kind returns KindDocument.
func (Document) Kind() peer.Kind { return KindDocument }

// Kind returns KindProposal.
func (Proposal) Kind() peer.Kind { return KindProposal }

// Kind returns KindReadRequest.
func (ReadRequest) Kind() peer.Kind { return KindReadRequest }

// Kind returns KindAnswer.
func (Answer) Kind() peer.Kind { return KindAnswer }

// Kind returns KindEvacuationRequest.
func (EvacuationRequest) Kind() peer.Kind { return KindEvacuationRequest }

// Kind returns KindEvacuations.
func (Evacuations) Kind() peer.Kind { return KindEvacuations }

// Messages returns one zero value of each message, for the codec of the links.
func Messages() []peer.Message {
	return []peer.Message{
		Join{},
		JoinReply{},
		ReportUpdate{},
		Envelope{},
		Document{},
		Proposal{},
		ReadRequest{},
		Answer{},
		EvacuationRequest{},
		Evacuations{},
	}
}
