// Package control decides what the replicated log means: which changes of the
// configuration are accepted, which not-repeatable requests may run, and which
// instances hold a lease. It is pure: no sockets, disks or clocks; time comes
// with each command or call. Package quorum agrees on the log and package
// instance performs what is decided here.
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

// Outcome is what a command led to: ChangeOutcome, IntentOutcome or Skipped.
type Outcome interface {
	isOutcome()
}

// Change asks for a change of the operators' files. A resend carries the same
// ChangeID and gets the outcome of the first.
type Change struct {
	ChangeID string
	Author   string
	When     time.Time // When is the leader's clock at the proposal.
	Files    []FileChange
}

// FileChange is what a change does to one file.
type FileChange struct {
	Name string
	// Base is the revision at which the file last changed, as the operator
	// knew it; 0 means that the file was not known to exist.
	Base    uint64
	Content []byte
	Delete  bool
}

// ChangeOutcome is the verdict on a Change. Code is Accepted, Conflict or
// Invalid. Accepted here means committed: At turns it into Pending until every
// serving instance has the revision in force.
type ChangeOutcome struct {
	Code     result.Code
	Revision uint64 // Revision is the one that the change made; 0 if refused.
	Conflict *ConflictingChange
	Faults   []settings.Fault // Faults are at most MaxFaults.
}

// ConflictWith names the change that went first.
type ConflictingChange struct {
	File     string
	Author   string
	ChangeID string
	Revision uint64
}

// BeginIntent records that a not-repeatable request is about to be sent.
type BeginIntent struct {
	Key      string // Key is the caller's key. A UUID of version 7 states its age; see TooOld.
	Digest   string // Digest is the SHA-256 of the request, in hexadecimal.
	Service  string
	Instance string
	// Attempt names this arrival of the request, unique among all arrivals at
	// all instances. A resent command with the same Attempt is Fresh again, and
	// only the Attempt that was Fresh can finish the intent. Empty means that a
	// resent command finds the intent Running.
	Attempt string
	When    time.Time // When is the leader's clock at the proposal.
}

// IntentStatus says what an earlier arrival of the key left behind.
type IntentStatus = once.Status

// The statuses of an intent.
const (
	Fresh     = once.Fresh
	Running   = once.Running
	Finished  = once.Finished
	KeyReused = once.KeyReused
	TooOld    = once.TooOld
	Full      = once.Full
	// Malformed says that the key is empty or too long, or a UUID of version 7
	// from the future.
	Malformed IntentStatus = "Malformed"
	// Lost says that a FinishIntent found no running intent of its attempt, so
	// it changed nothing.
	AttemptNotFound IntentStatus = "Lost"
)

// IntentOutcome is the verdict on a BeginIntent or FinishIntent.
type IntentOutcome struct {
	Status IntentStatus
	// Code is the recorded outcome when Finished, and otherwise the code that
	// a request which isn't sent is answered with.
	Code   result.Code
	Answer []byte
	// AnswerDropped says that the answer was too large or too old to keep.
	AnswerDropped bool
}

// FinishIntent records the outcome of a request. A code that says "not run"
// frees the key.
type FinishIntent struct {
	Key     string
	Digest  string
	Attempt string // Attempt is the one of the BeginIntent that was Fresh.
	Code    result.Code
	Answer  []byte
	When    time.Time // When is the leader's clock at the proposal.
}

// Skipped is the outcome of a command whose index was applied before.
type Skipped struct{}

func (Change) isCommand()       {}
func (BeginIntent) isCommand()  {}
func (FinishIntent) isCommand() {}

func (ChangeOutcome) isOutcome() {}
func (IntentOutcome) isOutcome() {}
func (Skipped) isOutcome()       {}
