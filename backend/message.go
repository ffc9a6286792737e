package backend

import (
	"encoding/json"

	"balsamwinch.example/snapshot"
)

// The paths of a backend server's endpoints.
const (
	QueryPath  = "/query"  // accepts a Request by POST and returns a Reply
	CancelPath = "/cancel" // accepts a Cancel by POST and returns a CancelReply
	HealthPath = "/health" // returns a Health, which may be outdated
	LoadPath   = "/load"   // returns a Load, which may be outdated or wrong
)

// AnnouncePath is the path of an instance's endpoint that accepts a Record by
// POST and returns an AnnounceReply.
const AnnouncePath = "/announce"

// AnnounceReply is the response to an announcement.
type AnnounceReply struct {
	Instance  string
	Instances []string // announce addresses of instances to use, nearest first
	// Time in milliseconds after which the server should announce itself again.
	RepeatMillis int64
}

// Request asks one backend server for one shard's part of a query.
type Request struct {
	RequestID     string // unique for each attempt and repeated in the reply
	Service       string
	Shard         string
	Snapshot      snapshot.ID
	TimeoutMillis int64 // time left when the request was sent
	Repeatable    bool
	Key           string `json:",omitempty"` // the caller's key of a non-repeatable request
	Query         json.RawMessage
}

// ReplyCode is the outcome of a Request.
type ReplyCode string

// The reply codes of a backend server.
const (
	ReplyOK             ReplyCode = "OK"
	ReplyShed           ReplyCode = "Shed"           // no free slot; not run
	ReplyDraining       ReplyCode = "Draining"       // draining; not run
	ReplyVersionGone    ReplyCode = "VersionGone"    // no longer holds the snapshot; not run
	ReplyWrongShard     ReplyCode = "WrongShard"     // does not hold the shard; not run
	ReplyBad            ReplyCode = "Bad"            // malformed request; not run
	ReplyDeadlinePassed ReplyCode = "DeadlinePassed" // may have run in part
	ReplyCancelled      ReplyCode = "Cancelled"      // may have run in part
	ReplyFailed         ReplyCode = "Failed"         // ran and failed
)

// NotRun reports whether the backend server guarantees that it did not begin.
func (rc ReplyCode) NotRun() bool {
	switch rc {
	case ReplyShed, ReplyDraining, ReplyVersionGone, ReplyWrongShard, ReplyBad:
		return true
	default:
		return false
	}
}

// Reply is a backend server's answer to a Request. The server itself states
// Server, Shard, Snapshot and RequestID; a reply that differs from the request
// in any of them is not an answer to it.
type Reply struct {
	RequestID        string
	Server           string
	Incarnation      uint64
	Shard            string
	Snapshot         snapshot.ID
	Code             ReplyCode
	Rows             []json.RawMessage `json:",omitempty"`
	Running          int               // the server's own count of requests in its slots
	RetryAfterMillis int64             `json:",omitempty"`
}

// Cancel asks a backend server to stop a request.
type Cancel struct {
	RequestID string
}

// CancelReply states whether the request is known to have stopped.
type CancelReply struct {
	RequestID string
	Stopped   bool // false while the request still holds its slot
}

// Health is the health that a backend server reports.
type Health struct {
	Server string
	State  State
}

// Load is the load that a backend server reports.
type Load struct {
	Server      string
	Running     int
	Slots       int
	Connections int
}
