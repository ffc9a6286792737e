package control

import (
	"balsamwinch.example/peer"
	"balsamwinch.example/result"
	"balsamwinch.example/view"
)

// The kinds of the messages between instances.
const (
	kindRenewal = peer.KindControl + 1 + iota
	kindGrant
	kindProposal
	kindProposalReply
	kindStatusRequest
	kindStatusReply
	kindAuditRequest
	kindAuditReply
)

// Renewal asks the leader to grant or extend a lease.
type Renewal struct {
	Instance  view.Instance
	InForce   uint64 // revision in use at the instance; 0 if none
	Releasing bool   // whether the instance has stopped serving and closed its connections
	// Leased means that the instance holds an unexpired lease when it sends the
	// renewal. Until the leases of the previous leader have expired, a new
	// leader grants entry instances only renewals with Leased set.
	Leased bool
	// Entries is the divisor that the instance applies to connection limits:
	// the Grant.Entries that it last applied. Zero means the one last granted.
	Entries int
	// Roster is the Grant.Roster of the instance's list of lease holders.
	Roster uint64
}

// Grant is the response to a Renewal. The holder counts LeaseMillis from when it
// sent the renewal, and closes its connections to backend servers when the lease
// expires.
type Grant struct {
	Granted     bool
	LeaseMillis int64
	Reason      string // why the lease is not granted
	Term        uint64
	Revision    uint64
	// Newer means that Revision is above Renewal.InForce. Names then lists all
	// accepted files, and Files has those that changed since. The instance
	// keeps its files that are in Names but not in Files.
	Newer bool
	Names []string
	Files []File
	// Roster is the digest of the list of lease holders. Instances is the list
	// itself, sent only if the digest differs from that in the renewal.
	Roster    uint64
	Instances []view.Instance
	Leader    string
	// Entries is the divisor to apply to connection limits: the number of entry
	// instances that share them.
	Entries int
}

// Proposal asks the leader to append a command to the log.
type Proposal struct {
	Command []byte // command encoded by Encode
}

// ProposalReply is the response to a Proposal.
type ProposalReply struct {
	Code    result.Code
	Outcome []byte // encoded by EncodeOutcome; empty if the command was not applied
	Leader  string // instance to ask instead
}

// StatusRequest asks an instance for its view of the control group.
type StatusRequest struct{}

// StatusReply is an instance's view of the control group.
type StatusReply struct {
	Instance          string
	Role              string
	Leader            string
	Term              uint64
	LeaderSinceMillis int64 // how long ago the instance first heard from the leader
	Commit            uint64
	Applied           uint64
	Revision          uint64
	WaitingFor        []string // instances that may serve without using the revision
	Voters            []string
	Learners          []string
	Holders           []Holder
	AuditHead         AuditHead
	Intents           int
}

// AuditRequest asks for audit entries.
type AuditRequest struct {
	From  uint64
	Limit int // maximum number of entries to return
}

// AuditReply returns audit entries. Base identifies the entry before the oldest
// kept one, and Head the newest, so that a reader can tell which entries are
// missing.
type AuditReply struct {
	OK      bool   // whether the responder is the leader, so that no entries are missing at the end
	Leader  string // instance to ask instead
	Entries []AuditEntry
	Base    AuditHead
	Head    AuditHead
}

// Kind implements peer.Message.
func (Renewal) Kind() peer.Kind { return kindRenewal }

// Kind implements peer.Message.
func (Grant) Kind() peer.Kind { return kindGrant }

// Kind implements peer.Message.
func (Proposal) Kind() peer.Kind { return kindProposal }

// Kind implements peer.Message.
func (ProposalReply) Kind() peer.Kind { return kindProposalReply }

// Kind implements peer.Message.
func (StatusRequest) Kind() peer.Kind { return kindStatusRequest }

// Kind implements peer.Message.
func (StatusReply) Kind() peer.Kind { return kindStatusReply }

// Kind implements peer.Message.
func (AuditRequest) Kind() peer.Kind { return kindAuditRequest }

// Kind implements peer.Message.
func (AuditReply) Kind() peer.Kind { return kindAuditReply }

// Messages returns a zero value of each message, for the codec.
func Messages() []peer.Message {
	return []peer.Message{
		Renewal{},
		Grant{},
		Proposal{},
		ProposalReply{},
		StatusRequest{},
		StatusReply{},
		AuditRequest{},
		AuditReply{},
	}
}
