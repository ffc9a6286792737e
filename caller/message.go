// Package caller serves callers over HTTP: it tells them which instances to use,
// accepts their queries and returns the answers.
package caller

import (
	"encoding/json"

	"balsamwinch.example/operator"
)

// The paths of the endpoints for callers.
const (
	// AddressesPath returns Addresses to GET. The parameters Service and DataCentre
	// are optional.
	AddressesPath = "/addresses"
	// QueryPath accepts a Query by POST and returns a fanout.Answer.
	QueryPath = "/services/{Service}/query"
)

// Addresses lists the instances that a caller may use.
type Addresses struct {
	Addresses []string // IP addresses with ports, in the order in which to try them
	TTLMillis int64    // how long the caller may cache the list
}

// Query is a caller's request.
type Query struct {
	RequestID      string `json:",omitempty"` // returned in the answer; generated if empty
	DeadlineMillis int64  `json:",omitempty"` // counts from arrival; 0 means the service's default
	Repeatable     *bool  `json:",omitempty"` // true if absent
	Key            string `json:",omitempty"` // required if the request is not repeatable
	// Resend says that the Key was sent before and that the outcome is unknown. Such
	// a request is rejected with a "not run" code only if the record of the first
	// one says so.
	Resend bool            `json:",omitempty"`
	Policy operator.Policy `json:",omitempty"` // overrides the service's policy
	Shards []string        `json:",omitempty"` // if set, limits the query to these shards
	Query  json.RawMessage // passed to the backend servers unchanged
}
