// Package result defines the numbered result codes that every program of
// balsamwinch gives to callers, operators and logs, and the error struct that
// carries them. docs/RESULTS.md holds the same table; a test compares the two.
package result

import (
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result code. A code never changes its meaning.
type Code int

// Answers to queries.
const (
	// Complete says that every shard of one snapshot is in the answer.
	Complete Code = 0
	// Partial says that the answer names shards which are missing.
	Partial Code = 10
)

// Refusals: no backend server can have begun the request.
const (
	// NotRunOverloaded says that the queue bound or the limits left no room.
	NotRunOverloaded Code = 100
	// NotRunDraining says that the instance is stopping.
	NotRunDraining Code = 101
	// NotRunStale says that the instance's lease from control has run out.
	NotRunStale Code = 102
	// NotRunUnknownService says that no configuration names the service.
	NotRunUnknownService Code = 103
	// NotRunDeadline says that the deadline left no time to ask any shard.
	NotRunDeadline Code = 104
	// NotRunNoServer says that no selected backend server holds any shard.
	NotRunNoServer Code = 105
	// NotRunBadRequest says that the request is malformed.
	NotRunBadRequest Code = 106
	// NotRunKeyReused says that the key was used before with another request.
	NotRunKeyReused Code = 107
	// NotRunNoControl says that the intent of a not-repeatable request could
	// not be recorded, so it was not sent.
	NotRunNoControl Code = 108
	// NotRunQuarantined says that backend servers ended under the same request
	// before, and none ever answered it.
	NotRunQuarantined Code = 109
)

// Failures after a backend server may have begun.
const (
	// Incomplete says that the policy demands every shard and some are missing.
	Incomplete Code = 200
	// OutcomeUnknown says that a not-repeatable request may have run.
	OutcomeUnknown Code = 201
	// Failed says that the backend servers ran the request and reported failure.
	Failed Code = 202
)

// Results of configuration changes.
const (
	// Accepted says that the change is in force on every serving instance.
	Accepted Code = 300
	// Conflict says that a file changed since the revision named as its base.
	Conflict Code = 301
	// Invalid says that the merged configuration did not pass its checks.
	Invalid Code = 302
	// NotLeader says that the asked instance does not lead control.
	NotLeader Code = 303
	// Pending says that the change is committed but not yet in force everywhere.
	Pending Code = 304
	// ControlUnavailable says that no leader could be reached; the outcome of a
	// change that was already sent is unknown and it may be resent.
	ControlUnavailable Code = 305
)

// Faults of settings, keys and stored state.
const (
	// BadSettings says that a settings file did not pass its checks.
	BadSettings Code = 400
	// BadKey says that a peer had no key or a wrong one.
	BadKey Code = 401
	// DamagedState says that the data folder holds damage that is not a torn tail.
	DamagedState Code = 402
	// StorageFailed says that a write or sync failed, so the instance stopped.
	StorageFailed Code = 403
)

// Row is one line of the table of result codes.
type Row struct {
	Code    Code
	Name    string
	Status  int // Status is the HTTP status that goes with the code.
	Meaning string
}

// Table lists every result code in ascending order.
var Table = []Row{
	{Complete, "Complete", http.StatusOK, "Every shard of one snapshot is in the answer."},
	{Partial, "Partial", http.StatusOK, "The answer holds some shards of one snapshot and names those missing."},
	{NotRunOverloaded, "NotRunOverloaded", http.StatusServiceUnavailable, "Refused before any backend server was asked: no room. Come back after RetryAfterMillis."},
	{NotRunDraining, "NotRunDraining", http.StatusServiceUnavailable, "Refused: this instance is stopping. Ask for addresses again."},
	{NotRunStale, "NotRunStale", http.StatusServiceUnavailable, "Refused: this instance has lost control and its lease ran out. Use another address."},
	{NotRunUnknownService, "NotRunUnknownService", http.StatusNotFound, "Refused: no configuration names the service."},
	{NotRunDeadline, "NotRunDeadline", http.StatusGatewayTimeout, "Refused: the deadline left no time to ask any shard."},
	{NotRunNoServer, "NotRunNoServer", http.StatusServiceUnavailable, "Refused: no selected backend server holds any shard of the service."},
	{NotRunBadRequest, "NotRunBadRequest", http.StatusBadRequest, "Refused: the request is malformed; Detail says where."},
	{NotRunKeyReused, "NotRunKeyReused", http.StatusConflict, "Refused: the key was used before with another request."},
	{NotRunNoControl, "NotRunNoControl", http.StatusServiceUnavailable, "Refused: the intent of a not-repeatable request could not be recorded."},
	{NotRunQuarantined, "NotRunQuarantined", http.StatusServiceUnavailable, "Refused: backend servers end when they run this request. Come back after Retry-After."},
	{Incomplete, "Incomplete", http.StatusGatewayTimeout, "The service's policy demands every shard and some are missing; they are named."},
	{OutcomeUnknown, "OutcomeUnknown", http.StatusBadGateway, "A not-repeatable request may have run. It is not sent again under this key."},
	{Failed, "Failed", http.StatusBadGateway, "Backend servers ran the request and reported failure."},
	{Accepted, "Accepted", http.StatusOK, "The change is in force on every serving instance."},
	{Conflict, "Conflict", http.StatusConflict, "A file changed since the revision named as its base; the other change is named."},
	{Invalid, "Invalid", http.StatusUnprocessableEntity, "The merged configuration did not pass its checks; nothing was changed."},
	{NotLeader, "NotLeader", http.StatusMisdirectedRequest, "The asked instance does not lead control."},
	{Pending, "Pending", http.StatusAccepted, "The change is committed but not yet in force everywhere. Resend it to ask again."},
	{ControlUnavailable, "ControlUnavailable", http.StatusServiceUnavailable, "No control leader could be reached. Resend the change with the same change id."},
	{BadSettings, "BadSettings", http.StatusUnprocessableEntity, "A settings file did not pass its checks."},
	{BadKey, "BadKey", http.StatusForbidden, "A peer presented no key or one that the certificate authority did not sign."},
	{DamagedState, "DamagedState", http.StatusInternalServerError, "The data folder holds damage that is not a torn tail; the instance refuses to start."},
	{StorageFailed, "StorageFailed", http.StatusInternalServerError, "A write or sync failed; the instance stopped rather than lose state silently."},
}

// Lookup returns the row of a code and whether the table holds it.
func Lookup(co Code) (Row, bool) {
	for _, ro := range Table {
		if ro.Code == co {
			return ro, true
		}
	}
	return Row{}, false
}

// String returns the name of the code, or its number when it is not known.
func (co Code) String() string {
	if ro, ok := Lookup(co); ok {
		return ro.Name
	}
	return fmt.Sprintf("Code(%d)", int(co))
}

// Status returns the HTTP status that goes with the code.
func (co Code) Status() int {
	if ro, ok := Lookup(co); ok {
		return ro.Status
	}
	return http.StatusInternalServerError
}

// NotRun reports whether the code promises that no backend server began.
func (co Code) NotRun() bool {
	return co >= 100 && co < 200
}

// Error is an error with a result code.
type Error struct {
	Code       Code
	Op         string        // Op names the operation that failed.
	Detail     string        // Detail says what was expected and what was found.
	RetryAfter time.Duration // RetryAfter is when to come back; zero if unknown.
	Err        error         // Err is the cause, if any.
}

// Error returns the operation, code, detail and cause in one line.
func (er *Error) Error() string {
	st := fmt.Sprintf("%s: %s (%d)", er.Op, er.Code, int(er.Code))
	if er.Detail != "" {
		st += ": " + er.Detail
	}
	if er.Err != nil {
		st += ": " + er.Err.Error()
	}
	return st
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error {
	return er.Err
}
