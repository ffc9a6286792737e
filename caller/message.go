// Package caller serves callers over HTTP: it tells them which instances to
// use, takes their queries and gives their answers.
package caller

import (
	"encoding/json"

	"balsamwinch.example/operator"
)

// The paths of the endpoints for callers.
const (
	// AddressesPath gives Addresses by GET. The parameters Service and
	// DataCentre are optional.
	AddressesPath = "/addresses"
	// QueryPath takes a Query by POST and gives a fanout.Answer.
	QueryPath = "/services/{Service}/query"
)

// Addresses tells a caller which instances to use.
type Addresses struct {
	Addresses []string // Addresses are IP numbers and ports, the one to try first at the front.
	TTLMillis int64    // TTLMillis is how long the caller may keep the list.
}

// Query is a caller's request.
type Query struct {
	RequestID      string `json:",omitempty"` // RequestID comes back in the answer; one is made if empty.
	DeadlineMillis int64  `json:",omitempty"` // DeadlineMillis counts from arrival; 0 means the service's own.
	Repeatable     *bool  `json:",omitempty"` // Repeatable is true if absent.
	Key            string `json:",omitempty"` // Key is required if the request is not repeatable.
	// Resend says that the Key was sent before and its outcome is not known. Such
	// a request is refused with "not run" only if the record of the first says so.
	Resend bool            `json:",omitempty"`
	Policy operator.Policy `json:",omitempty"` // Policy replaces the service's.
	Shards []string        `json:",omitempty"` // Shards limits the query to some shards.
	Query  json.RawMessage // Query is passed to the backend servers as it is.
}
