package operator

import (
	"context"
	"time"

	"balsamwinch.example/result"
	"balsamwinch.example/settings"
	"balsamwinch.example/snapshot"
)

// Paths of an instance's operator endpoints.
const (
	ChangesPath = "/changes" // POST of a ChangeRequest; returns a ChangeReply
	FilesPath   = "/files"   // returns a FilesReply
	StatusPath  = "/status"  // returns a Status
	AuditPath   = "/audit"   // returns an AuditReply that starts at the number in the parameter from
	ExplainPath = "/explain" // returns an Explanation of the parameter subject
	DrainPath   = "/drain"   // POST of a DrainRequest; returns a DrainReply
	VotersPath  = "/voters"  // POST of a VotersRequest; returns a VotersReply
)

// Fault is an error in the operators' files.
type Fault = settings.Fault

// File is one configuration file.
type File struct {
	Name    string
	Content []byte
}

// FileChange creates, replaces or deletes one file.
type FileChange struct {
	Name string
	// Base is the revision at which the file last changed, as far as the operator knows; 0
	// means that the operator knows of no such file.
	Base    uint64
	Content []byte `json:",omitempty"`
	Delete  bool   `json:",omitempty"`
}

// ChangeRequest requests a change of the configuration. A resent request carries the same
// ChangeID and gets the reply of the first.
type ChangeRequest struct {
	ChangeID string
	Author   string
	Files    []FileChange
}

// Conflict identifies the change that was made in the meantime.
type Conflict struct {
	File     string
	Author   string
	ChangeID string
	Revision uint64
}

// ChangeReply is the reply to a change. Code is one of Accepted, Pending, Conflict and
// Invalid.
type ChangeReply struct {
	Code       result.Code
	Revision   uint64           `json:",omitempty"` // revision that the change created
	Conflict   *Conflict        `json:",omitempty"`
	Faults     []settings.Fault `json:",omitempty"`
	WaitingFor []string         `json:",omitempty"` // instances that may still serve without the change
}

// StoredFile is one file of the accepted configuration.
type StoredFile struct {
	Name     string
	Content  []byte
	Revision uint64 // revision at which the file last changed
	Author   string
	ChangeID string
}

// FilesReply lists the files of the accepted configuration by name.
type FilesReply struct {
	Revision uint64
	Files    []StoredFile
}

// Status is the state of the tier as one instance sees it.
type Status struct {
	Instance  string // instance that responded
	Leader    string // empty if unknown
	Term      uint64
	Revision  uint64 // revision in force on the instance that responded
	Voters    []VoterStatus
	Instances []InstanceStatus
	Services  []ServiceStatus
	Servers   []ServerStatus
}

// VoterStatus is one member of the replicated log.
type VoterStatus struct {
	ID      string // identity of the voter, which changes with its disk
	Name    string
	Address string
	Learner bool // does not vote until it has caught up
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Name        string
	Region      string
	DataCentre  string
	Roles       []settings.Role
	Addresses   settings.Addresses
	Draining    bool
	InForce     uint64 // revision that it last reported as in force
	LeaseMillis int64  // upper bound of the remaining lease
}

// ServiceStatus is the state of one service.
type ServiceStatus struct {
	Name     string
	Policy   Policy
	Snapshot snapshot.ID // snapshot that a query would pin now
	Shards   int         // number of shards in the snapshot's partition map
	Covered  int         // number of those shards that some server holds
	// Unannounced lists the shards that no server announces.
	Unannounced []string `json:",omitempty"`
}

// ServerStatus is the state of one backend server.
type ServerStatus struct {
	Name        string
	Service     string
	Address     string
	DataCentre  string
	State       string
	Incarnation uint64
	Slots       int
	Connections int
	InFlight    int
	// SetAside is the reason why the instance that responded has ejected the server; empty if
	// it has not.
	SetAside string `json:",omitempty"`
}

// AuditEntry is an accepted or rejected change in the audit trail. Its fields are those of
// control.AuditEntry, which computes and verifies the hashes.
type AuditEntry struct {
	Number   uint64 // position in the audit trail, from 1
	When     time.Time
	Author   string
	ChangeID string
	Code     result.Code
	Revision uint64 // revision that the change created; 0 if rejected
	Detail   string // reason of a rejection
	Files    []AuditFile
	Previous string // Hash of the previous entry, in hexadecimal
	Hash     string // SHA-256 over all fields above, in hexadecimal
}

// AuditFile is the effect of an audited change on one file; of a rejected change, the effect
// that it would have had.
type AuditFile struct {
	Name       string
	BeforeHash string // SHA-256 in hexadecimal; empty if the file did not exist
	AfterHash  string // SHA-256 in hexadecimal; empty if the file is deleted
	Before     []byte // nil also if the content is no longer kept
	After      []byte // nil also if the content is no longer kept
}

// AuditReply lists audit entries in ascending order.
type AuditReply struct {
	Entries []AuditEntry
	More    bool // whether later entries exist
}

// Explanation lists the reasons for the state of a subject.
type Explanation struct {
	Subject string
	Lines   []string
}

// DrainRequest asks an instance to stop gracefully.
type DrainRequest struct {
	// Instance is the name of the instance to stop; an instance of another name rejects the
	// request. Empty matches any instance.
	Instance string `json:",omitempty"`
}

// DrainReply confirms that the instance is draining.
type DrainReply struct {
	Instance string
	// StopsWithinMillis bounds the time until the instance stops.
	StopsWithinMillis int64
}

// VotersAction is a kind of change to the set of voters.
type VotersAction string

// Changes of the set of voters.
const (
	AddVoter     VotersAction = "Add"     // adds a learner, which votes once it has caught up
	RemoveVoter  VotersAction = "Remove"  // removes a voter or learner
	ReplaceVoter VotersAction = "Replace" // adds one and removes the other once the new one votes
)

// VotersRequest requests a change of the set of voters. It is idempotent: a change that is
// already made is confirmed.
type VotersRequest struct {
	Action   VotersAction
	Author   string
	Name     string // instance to add or remove
	Address  string `json:",omitempty"` // peer address of the instance to add
	Replaces string `json:",omitempty"` // instance that Name replaces
}

// VotersReply lists the voters after the change.
type VotersReply struct {
	Voters []VoterStatus
	Detail string `json:",omitempty"`
}

// ErrorReply is the body of every response to a failed request.
type ErrorReply struct {
	Code             result.Code
	Name             string // name of the code
	Detail           string
	Leader           string `json:",omitempty"` // operator address of the leader
	RetryAfterMillis int64  `json:",omitempty"`
}

// NotLeaderError is the error of an instance that cannot handle a request because another
// instance leads control.
type NotLeaderError struct {
	Leader string // operator address of the leader; empty if unknown
}

// Error returns a message that names the leader.
func (nl *NotLeaderError) Error() string {
	if nl.Leader == "" {
		return "not the leader; no leader is known"
	}
	return "not the leader; ask " + nl.Leader
}

// Unwrap returns an error with the result code NotLeader.
func (nl *NotLeaderError) Unwrap() error {
	return &result.Error{Code: result.NotLeader, Op: "operator", Detail: nl.Error()}
}

// Backend handles the requests of operators on an instance. Its errors are *NotLeaderError or
// *result.Error; the server reports any other as an internal error.
type Backend interface {
	// Change commits a change and waits until it is in force or the context ends. The reply
	// has the code Accepted if it is in force and Pending if not. Conflict and Invalid are
	// replies too, not errors.
	Change(ctx context.Context, cr ChangeRequest) (ChangeReply, error)
	// Files lists the accepted files.
	Files(ctx context.Context) (FilesReply, error)
	// Status returns the state of the tier as this instance sees it; it needs no leader.
	Status(ctx context.Context) (Status, error)
	// Audit lists entries whose number is at least from.
	Audit(ctx context.Context, from uint64) (AuditReply, error)
	// Explain returns the reasons for the state of a backend server, a service, a change, a
	// request or the leader.
	Explain(ctx context.Context, subject string) (Explanation, error)
	// Drain starts a graceful stop of this instance and returns at once.
	Drain(ctx context.Context, dr DrainRequest) (DrainReply, error)
	// ChangeVoters changes the set of voters; it is idempotent.
	ChangeVoters(ctx context.Context, vr VotersRequest) (VotersReply, error)
}
