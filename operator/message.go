package operator

import (
	"context"
	"time"

	"balsamwinch.example/result"
	"balsamwinch.example/settings"
	"balsamwinch.example/snapshot"
)

// The paths of the operators' endpoints of an instance.
const (
	ChangesPath = "/changes" // ChangesPath takes a ChangeRequest by POST and gives a ChangeReply.
	FilesPath   = "/files"   // FilesPath gives a FilesReply.
	StatusPath  = "/status"  // StatusPath gives a Status.
	AuditPath   = "/audit"   // AuditPath gives an AuditReply; the parameter from is the first number.
	ExplainPath = "/explain" // ExplainPath gives an Explanation; the parameter subject names the matter.
	DrainPath   = "/drain"   // DrainPath takes a DrainRequest by POST and gives a DrainReply.
	VotersPath  = "/voters"  // VotersPath takes a VotersRequest by POST and gives a VotersReply.
)

// Fault is one thing that is wrong with the operators' files.
type Fault = settings.Fault

// File is one configuration file.
type File struct {
	Name    string
	Content []byte
}

// FileChange is what a change does to one file.
type FileChange struct {
	Name string
	// Base is the revision at which the file last changed, as the operator
	// knew it; 0 means that the file was not known to exist.
	Base    uint64
	Content []byte `json:",omitempty"`
	Delete  bool   `json:",omitempty"`
}

// ChangeRequest asks for a change of the configuration. A resend carries the
// same ChangeID and gets the answer of the first.
type ChangeRequest struct {
	ChangeID string
	Author   string
	Files    []FileChange
}

// Conflict names the change that went first.
type Conflict struct {
	File     string
	Author   string
	ChangeID string
	Revision uint64
}

// ChangeReply is the answer to a change. Code is one of Accepted, Pending,
// Conflict and Invalid.
type ChangeReply struct {
	Code       result.Code
	Revision   uint64           `json:",omitempty"` // Revision is the one the change made.
	Conflict   *Conflict        `json:",omitempty"`
	Faults     []settings.Fault `json:",omitempty"`
	WaitingFor []string         `json:",omitempty"` // WaitingFor names instances that may serve without the change.
}

// StoredFile is one file of the accepted configuration.
type StoredFile struct {
	Name     string
	Content  []byte
	Revision uint64 // Revision is the one at which the file last changed.
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
	Instance  string // Instance is the one that answered.
	Leader    string // Leader is empty when the instance knows none.
	Term      uint64
	Revision  uint64 // Revision is the one in force on the instance that answered.
	Voters    []VoterStatus
	Instances []InstanceStatus
	Services  []ServiceStatus
	Servers   []ServerStatus
}

// VoterStatus is one member of the replicated log.
type VoterStatus struct {
	ID      string // ID is the voter's identity, which changes with its disk.
	Name    string
	Address string
	Learner bool // Learner says that it does not vote until it has caught up.
}

// InstanceStatus is one instance.
type InstanceStatus struct {
	Name        string
	Region      string
	DataCentre  string
	Roles       []settings.Role
	Addresses   settings.Addresses
	Draining    bool
	InForce     uint64 // InForce is the revision that it last reported.
	LeaseMillis int64  // LeaseMillis is how long its lease still runs, at most.
}

// ServiceStatus is one service.
type ServiceStatus struct {
	Name     string
	Policy   Policy
	Snapshot snapshot.ID // Snapshot is the one that a query would pin now.
	Shards   int         // Shards is how many the snapshot's partition has.
	Covered  int         // Covered is how many of them some server holds.
	// Unannounced names the shards that no server announces.
	Unannounced []string `json:",omitempty"`
}

// ServerStatus is one backend server.
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
	// SetAside says why the instance that answered gives the server no work;
	// empty if it does.
	SetAside string `json:",omitempty"`
}

// AuditEntry is one accepted or refused change in the audit trail. Its fields
// are those of control.AuditEntry, which computes and verifies the hashes.
type AuditEntry struct {
	Number   uint64 // Number counts changes from 1.
	When     time.Time
	Author   string
	ChangeID string
	Code     result.Code
	Revision uint64 // Revision is the one that the change made; 0 if refused.
	Detail   string // Detail says why the change was refused.
	Files    []AuditFile
	Previous string // Previous is the Hash of the entry before, in hexadecimal.
	Hash     string // Hash is the SHA-256 over all fields above, in hexadecimal.
}

// AuditFile is what an audited change did, or would have done, to one file.
type AuditFile struct {
	Name       string
	BeforeHash string // BeforeHash is the SHA-256 in hexadecimal; empty if the file did not exist.
	AfterHash  string // AfterHash is the SHA-256 in hexadecimal; empty if the file is deleted.
	Before     []byte // Before is nil also when the content is no longer kept.
	After      []byte // After is nil also when the content is no longer kept.
}

// AuditReply lists audit entries in ascending order.
type AuditReply struct {
	Entries []AuditEntry
	More    bool // More says that later entries exist.
}

// Explanation says why something is as it is.
type Explanation struct {
	Subject string
	Lines   []string
}

// DrainRequest asks an instance to stop gracefully.
type DrainRequest struct {
	// Instance is the name of the instance that is meant; the one that is asked
	// refuses if it has another name. Empty means whichever is asked.
	Instance string `json:",omitempty"`
}

// DrainReply says that the instance is draining.
type DrainReply struct {
	Instance string
	// StopsWithinMillis is how long it goes on at most.
	StopsWithinMillis int64
}

// VotersAction is a change of the set of voters.
type VotersAction string

// The changes of the set of voters.
const (
	AddVoter     VotersAction = "Add"     // AddVoter adds a learner, which votes once caught up.
	RemoveVoter  VotersAction = "Remove"  // RemoveVoter takes a voter or learner out.
	ReplaceVoter VotersAction = "Replace" // ReplaceVoter adds one and removes the other once it votes.
)

// VotersRequest asks for a change of the set of voters. A resend is harmless:
// a change that is already made is answered as made.
type VotersRequest struct {
	Action   VotersAction
	Author   string
	Name     string // Name is the instance to add or remove.
	Address  string `json:",omitempty"` // Address is the peer address of the one to add.
	Replaces string `json:",omitempty"` // Replaces is the instance that Name replaces.
}

// VotersReply lists the voters after the change.
type VotersReply struct {
	Voters []VoterStatus
	Detail string `json:",omitempty"`
}

// ErrorReply is the body of every answer that is a failure.
type ErrorReply struct {
	Code             result.Code
	Name             string // Name is the code's name.
	Detail           string
	Leader           string `json:",omitempty"` // Leader is the operators' address to turn to.
	RetryAfterMillis int64  `json:",omitempty"`
}

// NotLeader is the error of an instance that can't answer because another leads
// control.
type NotLeaderError struct {
	Leader string // Leader is the operators' address of the leader; empty if not known.
}

// Error names the leader.
func (nl *NotLeaderError) Error() string {
	if nl.Leader == "" {
		return "not the leader; no leader is known"
	}
	return "not the leader; ask " + nl.Leader
}

// Unwrap returns the error with its result code.
func (nl *NotLeaderError) Unwrap() error {
	return &result.Error{Code: result.NotLeader, Op: "operator", Detail: nl.Error()}
}

// Backend does what operators ask of an instance. Its errors are *NotLeader or
// *result.Error; any other is answered as an internal error.
type Backend interface {
	// Change commits a change and waits, as long as the context lasts, until it
	// is in force; then its reply has the code Accepted, and Pending otherwise.
	// Conflict and Invalid are replies too, not errors.
	Change(ctx context.Context, cr ChangeRequest) (ChangeReply, error)
	// Files lists the accepted files.
	Files(ctx context.Context) (FilesReply, error)
	// Status describes the tier as this instance sees it; it needs no leader.
	Status(ctx context.Context) (Status, error)
	// Audit lists entries whose number is from or above.
	Audit(ctx context.Context, from uint64) (AuditReply, error)
	// Explain says why a server, an instance, a service, a change or the leader
	// is as it is.
	Explain(ctx context.Context, subject string) (Explanation, error)
	// Drain starts a graceful stop of this instance and returns at once.
	Drain(ctx context.Context, dr DrainRequest) (DrainReply, error)
	// ChangeVoters changes the set of voters; it is idempotent.
	ChangeVoters(ctx context.Context, vr VotersRequest) (VotersReply, error)
}
