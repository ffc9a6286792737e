package backend

import (
	"encoding/json"

	"balsamwinch.example/snapshot"
)

// The paths of a backend server's endpoints.
const (
	QueryPath  = "/query"  // QueryPath takes a Request by POST and gives a Reply.
	CancelPath = "/cancel" // CancelPath takes a Cancel by POST and gives a CancelReply.
	HealthPath = "/health" // HealthPath gives a Health; it may lag.
	LoadPath   = "/load"   // LoadPath gives a Load; it may lag or mislead.
)

// AnnouncePath is the path of an instance's endpoint that takes a Record by
// POST and gives an AnnounceReply.
const AnnouncePath = "/announce"

// AnnounceReply answers an announcement.
type AnnounceReply struct {
	Instance  string
	Instances []string // Instances are the announce addresses of instances to turn to, nearest first.
	// RepeatMillis is how soon the server should announce itself again.
	RepeatMillis int64
}

// Request asks one backend server for one shard's part of a query.
type Request struct {
	RequestID     string // RequestID is unique for each attempt and comes back in the reply.
	Service       string
	Shard         string
	Snapshot      snapshot.ID
	TimeoutMillis int64 // TimeoutMillis is the time left when the request was sent.
	Repeatable    bool
	Key           string `json:",omitempty"` // Key is the caller's key of a not-repeatable request.
	Query         json.RawMessage
}

// ReplyCode says what became of a Request.
type ReplyCode string

// The reply codes of a backend server.
const (
	ReplyOK             ReplyCode = "OK"
	ReplyShed           ReplyCode = "Shed"           // no slot free; not run
	ReplyDraining       ReplyCode = "Draining"       // leaving; not run
	ReplyVersionGone    ReplyCode = "VersionGone"    // no longer holds the snapshot; not run
	ReplyWrongShard     ReplyCode = "WrongShard"     // does not hold the shard; not run
	ReplyBad            ReplyCode = "Bad"            // malformed request; not run
	ReplyDeadlinePassed ReplyCode = "DeadlinePassed" // may have run in part
	ReplyCancelled      ReplyCode = "Cancelled"      // may have run in part
	ReplyFailed         ReplyCode = "Failed"         // ran and failed
)

// NotRun reports whether the backend server promises that it did not begin.
func (rc ReplyCode) NotRun() bool {
	switch rc {
	case ReplyShed, ReplyDraining, ReplyVersionGone, ReplyWrongShard, ReplyBad:
		return true
	default:
		return false
	}
}

// Reply is a backend server's answer to a Request. Server, Shard, Snapshot and
// RequestID are its own statement; a reply that differs from the request in
// any of them is not an answer to it.
type Reply struct {
	RequestID        string
	Server           string
	Incarnation      uint64
	Shard            string
	Snapshot         snapshot.ID
	Code             ReplyCode
	Rows             []json.RawMessage `json:",omitempty"`
	Running          int               // Running is the server's own count of requests in its slots.
	RetryAfterMillis int64             `json:",omitempty"`
}

// Cancel asks a backend server to stop a request.
type Cancel struct {
	RequestID string
}

// CancelReply says whether the request is known to have stopped.
type CancelReply struct {
	RequestID string
	Stopped   bool // Stopped is false while the request still holds its slot.
}

// Health is what a backend server says of its health.
type Health struct {
	Server string
	State  State
}

// Load is what a backend server says of its load.
type Load struct {
	Server      string
	Running     int
	Slots       int
	Connections int
}
