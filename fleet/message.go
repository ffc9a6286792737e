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
	KindEvacuationOrder
	KindEvacuations
)

// Report is what an instance tells the others of itself.
type Report struct {
	Start    uint64 // Start is random and tells two processes of one name apart.
	Sequence uint64 // Sequence rises with each report of a process.

	Name, Address string
	ID            quorum.ID // ID is the voter's identity; "" while the disk isn't open.
	Fresh         bool      // Fresh says that the disk is empty and waits for the group to be formed.
	First         []string  // First are the seeds of a disk that took part in the first start, if Fresh.
	Outsider      bool      // Outsider says that the instance wants to be added to the voters.
	Leading       bool
	Term          uint64 // Term is the term in which it leads.
	Version       uint64 // Version is that of the newest document it knows to be committed.
	Revision      uint64 // Revision is that of the newest evacuations it knows to be committed.

	Members   []Member   // Members are those that it is linked with and the voters.
	Formation *Formation // Formation is nil if it is not known.
}

// Formation is how the group began. All first voters begin with the same
// snapshot, which is made of it.
type Formation struct {
	Voters  []quorum.ID `cbor:"1,keyasint"`
	Members []Member    `cbor:"2,keyasint"`
}

// Join is the first message on a link, from the instance that opened it.
type Join struct{ Report Report }

// Welcome answers Join.
type JoinReply struct{ Report Report }

// Notice says that a report has changed. Instances that aren't voters repeat it.
type ReportUpdate struct{ Report Report }

// Routed carries a message of the replicated log to one disk.
type Envelope struct {
	From, To quorum.ID
	Frame    []byte
}

// Document is a committed document, from a leader to those that don't vote.
type Document struct {
	Version uint64
	Data    []byte
}

// Proposal asks the leader to commit a document. Answer comes once a version at
// least as high is committed.
type Proposal struct {
	Request uint64
	Version uint64
	Data    []byte
}

// Reading asks the leader for the committed document.
type ReadRequest struct {
	Request uint64
	Held    uint64 // Held is the version that need not be sent again.
}

// EvacuationOrder asks the leader to commit an order. Answer comes once it is applied.
type EvacuationOrder struct {
	Request uint64
	Order   evacuation.Change
}

// Evacuations are committed evacuations, from a leader to those that don't vote.
type Evacuations struct{ Set evacuation.Set }

// Answer answers Proposal, Reading and EvacuationOrder.
type Answer struct {
	Request uint64
	OK      bool
	Version uint64
	Data    []byte
	Same    bool   // Same says that Held is the committed version; Data is left out.
	Leader  string // Leader is whom to ask if not OK; "" if unknown.
	Reason  string

	// Outcome and Evacuations are what an EvacuationOrder led to.
	Outcome     evacuation.Outcome
	Evacuations evacuation.Set
}

// Kind returns KindJoin.
func (Join) Kind() peer.Kind { return KindJoin }

// Kind returns KindWelcome.
func (JoinReply) Kind() peer.Kind { return KindJoinReply }

// Kind returns KindNotice.
func (ReportUpdate) Kind() peer.Kind { return KindReportUpdate }

// Kind returns KindRouted.
func (Envelope) Kind() peer.Kind { return KindEnvelope }

// Kind returns KindDocument.
func (Document) Kind() peer.Kind { return KindDocument }

// Kind returns KindProposal.
func (Proposal) Kind() peer.Kind { return KindProposal }

// Kind returns KindReading.
func (ReadRequest) Kind() peer.Kind { return KindReadRequest }

// Kind returns KindAnswer.
func (Answer) Kind() peer.Kind { return KindAnswer }

// Kind returns KindEvacuationOrder.
func (EvacuationOrder) Kind() peer.Kind { return KindEvacuationOrder }

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
		EvacuationOrder{},
		Evacuations{},
	}
}
