// Package control implements the replicated state machine of the control instances:
// it decides which configuration changes are accepted, which non-repeatable
// requests may run, and which instances hold a lease. It is pure: it uses no
// sockets, disks or clocks, and takes the time from each command or call. Package
// quorum replicates the log, and package instance carries out the decisions.
package control

import (
	"time"

	"balsamwinch.example/once"
	"balsamwinch.example/result"
	"balsamwinch.example/settings"
)

// Command is one command of the replicated log: Change, BeginIntent or
// FinishIntent.
type Command interface {
	isCommand()
}

// Outcome is the result of a command: ChangeOutcome, IntentOutcome or Skipped.
type Outcome interface {
	isOutcome()
}

// Change asks for a change of the operators' files. A retry carries the same
// ChangeID and gets the outcome of the first attempt.
type Change struct {
	ChangeID string
	Author   string
	When     time.Time // leader's clock at the proposal
	Files    []FileChange
}

// FileChange is what a change does to one file.
type FileChange struct {
	Name string
	// Base is the revision at which the file last changed in the operator's
	// view; 0 means that the file did not exist.
	Base    uint64
	Content []byte
	Delete  bool
}

// ChangeOutcome is the outcome of a Change. Code is Accepted, Conflict or Invalid.
// Accepted here means committed: WithProgress turns it into Pending until every
// serving instance uses the revision.
type ChangeOutcome struct {
	Code     result.Code
	Revision uint64 // revision that the change created; 0 if rejected
	Conflict *ConflictingChange
	Faults   []settings.Fault // at most MaxFaults
}

// ConflictingChange names the earlier change that a Change conflicts with.
type ConflictingChange struct {
	File     string
	Author   string
	ChangeID string
	Revision uint64
}

// BeginIntent records that a non-repeatable request is about to be sent.
type BeginIntent struct {
	Key      string // caller's idempotency key; a UUIDv7 includes its creation time, see TooOld
	Digest   string // SHA-256 of the request, in hexadecimal
	Service  string
	Instance string
	// Attempt identifies one arrival of the request, unique among all arrivals
	// at all instances. A retried command with the same Attempt is Fresh again,
	// and only the Attempt that was Fresh can finish the intent. If it is
	// empty, a retried command finds the intent Running.
	Attempt string
	When    time.Time // leader's clock at the proposal
}

// IntentStatus is the status of a key: what earlier arrivals of it recorded.
type IntentStatus = once.Status

// The statuses of a key.
const (
	Fresh     = once.Fresh
	Running   = once.Running
	Finished  = once.Finished
	KeyReused = once.KeyReused
	TooOld    = once.TooOld
	Full      = once.Full
	// Malformed means that the key is empty or too long, or is a UUIDv7 from
	// the future.
	Malformed IntentStatus = "Malformed"
	// AttemptNotFound means that a FinishIntent found no running intent of its
	// attempt and changed nothing.
	AttemptNotFound IntentStatus = "Lost"
)

// IntentOutcome is the outcome of a BeginIntent or FinishIntent.
type IntentOutcome struct {
	Status IntentStatus
	// Code is the recorded result if Status is Finished. Otherwise it is the
	// result to answer with if the request isn't sent.
	Code   result.Code
	Answer []byte
	// AnswerDropped reports whether the answer was too large or too old to
	// keep.
	AnswerDropped bool
}

// FinishIntent records the result of a request. A code that means "not run" frees
// the key.
type FinishIntent struct {
	Key     string
	Digest  string
	Attempt string // attempt of the BeginIntent that was Fresh
	Code    result.Code
	Answer  []byte
	When    time.Time // leader's clock at the proposal
}

// Skipped is the outcome of a command whose index was applied before.
type Skipped struct{}

func (Change) isCommand()       {}
func (BeginIntent) isCommand()  {}
func (FinishIntent) isCommand() {}

func (ChangeOutcome) isOutcome() {}
func (IntentOutcome) isOutcome() {}
func (Skipped) isOutcome()       {}
