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

// Renewal asks the leader for a lease or for its extension.
type Renewal struct {
	Instance  view.Instance
	InForce   uint64 // InForce is the revision that the instance uses; 0 if none.
	Releasing bool   // Releasing says that the instance has stopped serving and closed its connections.
	// Leased says that the instance holds a lease that has not run out when it
	// sends the renewal. A new leader grants only those until the leases of the
	// earlier leader have run out.
	Leased bool
	// Entries is by how many entry instances it divides the connection limits
	// now: the Grant.Entries that it last followed. Zero means the last granted.
	Entries int
	// Roster is the Grant.Roster of the list of instances that the instance holds.
	Roster uint64
}

// Grant answers a Renewal. The holder counts LeaseMillis from when it sent the
// renewal, and closes its connections to backend servers when the lease ends.
type Grant struct {
	Granted     bool
	LeaseMillis int64
	Reason      string // Reason says why the lease is not granted.
	Term        uint64
	Revision    uint64
	// Newer says that Revision is above Renewal.InForce. Then Names are all accepted
	// files and Files those of them that changed since; an instance keeps the files
	// that Names lists and Files does not.
	Newer bool
	Names []string
	Files []File
	// Roster is the digest of the list of lease holders, and Instances the list,
	// only if the digest is not that of the renewal.
	Roster    uint64
	Instances []view.Instance
	Leader    string
	// Entries is by how many entry instances to divide the connection limits.
	Entries int
}

// Proposal asks the leader to append a command to the log.
type Proposal struct {
	Command []byte // Command is what Encode gave.
}

// ProposalReply answers a Proposal.
type ProposalReply struct {
	Code    result.Code
	Outcome []byte // Outcome is what EncodeOutcome gave; empty if the command was not applied.
	Leader  string // Leader is whom to ask instead.
}

// StatusRequest asks an instance for its view of control.
type StatusRequest struct{}

// StatusReply is an instance's view of control.
type StatusReply struct {
	Instance          string
	Role              string
	Leader            string
	Term              uint64
	LeaderSinceMillis int64 // LeaderSinceMillis is how long ago the leader was first heard.
	Commit            uint64
	Applied           uint64
	Revision          uint64
	WaitingFor        []string // WaitingFor names instances that may serve without the revision.
	Voters            []string
	Learners          []string
	Holders           []Holder
	AuditHead         AuditHead
	Intents           int
}

// AuditRequest asks for audit entries.
type AuditRequest struct {
	From  uint64
	Limit int // Limit is how many entries to give at most.
}

// AuditReply gives audit entries. Base names the entry before the oldest kept
// one, and Head the newest, so that a reader can tell what is missing.
type AuditReply struct {
	OK      bool   // OK says that the one who answers leads, so that nothing is missing at the end.
	Leader  string // Leader is whom to ask instead.
	Entries []AuditEntry
	Base    AuditHead
	Head    AuditHead
}

// Kind numbers the message.
func (Renewal) Kind() peer.Kind { return kindRenewal }

// Kind numbers the message.
func (Grant) Kind() peer.Kind { return kindGrant }

// Kind numbers the message.
func (Proposal) Kind() peer.Kind { return kindProposal }

// Kind numbers the message.
func (ProposalReply) Kind() peer.Kind { return kindProposalReply }

// Kind numbers the message.
func (StatusRequest) Kind() peer.Kind { return kindStatusRequest }

// Kind numbers the message.
func (StatusReply) Kind() peer.Kind { return kindStatusReply }

// Kind numbers the message.
func (AuditRequest) Kind() peer.Kind { return kindAuditRequest }

// Kind numbers the message.
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
