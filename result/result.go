// Package result defines the numbered result codes that all programs of balsamwinch use in
// responses and logs, and the error type that carries them. docs/RESULTS.md holds the same
// table; a test compares the two.
package result

import (
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result code. The meaning of a code never changes.
type Code int

// Responses to queries.
const (
	// Complete means that the response holds every shard of one snapshot.
	Complete Code = 0
	// Partial means that shards are missing; the response names them.
	Partial Code = 10
)

// Rejections: no backend server can have started the request.
const (
	// NotRunOverloaded means that the queue is full or a limit is reached.
	NotRunOverloaded Code = 100
	// NotRunDraining means that the instance is stopping.
	NotRunDraining Code = 101
	// NotRunStale means that the instance's lease from control has expired.
	NotRunStale Code = 102
	// NotRunUnknownService means that no configuration names the service.
	NotRunUnknownService Code = 103
	// NotRunDeadline means that the deadline left no time to query any shard.
	NotRunDeadline Code = 104
	// NotRunNoServer means that no selected backend server holds any shard.
	NotRunNoServer Code = 105
	// NotRunBadRequest means that the request is malformed.
	NotRunBadRequest Code = 106
	// NotRunKeyReused means that the idempotency key was used before with another request.
	NotRunKeyReused Code = 107
	// NotRunNoControl means that the intent of a non-repeatable request could not be recorded,
	// so the request was not sent.
	NotRunNoControl Code = 108
	// NotRunQuarantined means that backend servers crashed while running the same request, and
	// none has ever answered it.
	NotRunQuarantined Code = 109
	// NotRunUnauthorized means that the request needs a customer's API key and carries none
	// that is valid.
	NotRunUnauthorized Code = 110
	// NotRunOverQuota means that the customer has used its quota.
	NotRunOverQuota Code = 111
)

// Failures after a backend server may have started the request.
const (
	// Incomplete means that the policy requires every shard and some are missing.
	Incomplete Code = 200
	// OutcomeUnknown means that a non-repeatable request may have run.
	OutcomeUnknown Code = 201
	// Failed means that the backend servers ran the request and reported a failure.
	Failed Code = 202
)

// Results of configuration changes.
const (
	// Accepted means that the change is in force on every serving instance.
	Accepted Code = 300
	// Conflict means that a file has changed since the revision given as its base.
	Conflict Code = 301
	// Invalid means that the merged configuration is invalid.
	Invalid Code = 302
	// NotLeader means that the instance does not lead control.
	NotLeader Code = 303
	// Pending means that the change is committed but not yet in force everywhere.
	Pending Code = 304
	// ControlUnavailable means that no leader could be reached. The outcome of a change that
	// was already sent is unknown; the change may be resent.
	ControlUnavailable Code = 305
)

// Faults of settings, keys and stored state.
const (
	// BadSettings means that a settings file is invalid.
	BadSettings Code = 400
	// BadKey means that a peer had no certificate or a wrong one.
	BadKey Code = 401
	// DamagedState means that the data folder holds damage other than a torn tail.
	DamagedState Code = 402
	// StorageFailed means that a write or sync failed, so the instance stopped.
	StorageFailed Code = 403
)

// Row is one row of the table of result codes.
type Row struct {
	Code    Code
	Name    string
	Status  int // HTTP status that goes with the code
	Meaning string
}

// Table lists all result codes in ascending order.
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
	{NotRunUnauthorized, "NotRunUnauthorized", http.StatusUnauthorized, "Refused: the request needs a customer's API key and carries none that is valid."},
	{NotRunOverQuota, "NotRunOverQuota", http.StatusTooManyRequests, "Refused: the customer's quota is used up. Come back after Retry-After."},
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

// String returns the name of the code, or its number if the code is unknown.
func (co Code) String() string {
	if ro, ok := Lookup(co); ok {
		return ro.Name
	}
	return fmt.Sprintf("Code(%d)", int(co))
}

// Status returns the HTTP status that goes with the code; it is 500 for an unknown code.
func (co Code) Status() int {
	if ro, ok := Lookup(co); ok {
		return ro.Status
	}
	return http.StatusInternalServerError
}

// NotRun reports whether the code guarantees that no backend server started the request.
func (co Code) NotRun() bool {
	return co >= 100 && co < 200
}

// Error is an error with a result code.
type Error struct {
	Code       Code
	Op         string        // operation that failed
	Detail     string        // what was expected and what was found
	RetryAfter time.Duration // when to retry; zero if unknown
	Err        error         // cause, if any
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
