// Package fanout answers one query from many backend servers: it pins one
// snapshot, sends a request to a replica of each shard, hedges and retries
// within a budget, merges the replies that belong together and reports what is
// missing. Step contains the decisions for one query and has no side effects;
// Engine carries them out.
package fanout

import (
	"encoding/json"
	"time"

	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/snapshot"
)

// Query is one request of a caller.
type Query struct {
	RequestID  string // repeated in the answer
	Service    string
	Deadline   time.Time // when the caller needs the answer; zero means the service's default
	Repeatable bool      // whether backend servers may run the request more than once
	Key        string    // identifies a non-repeatable request across resends
	// Resend reports that the caller sent the Key before and does not know the
	// outcome. Such a request is refused with "not run" only if the record of the
	// first arrival confirms it.
	Resend bool
	Policy operator.Policy // overrides the service's policy; empty keeps it
	Shards []string        // restricts the query to some shards; empty means all
	Body   json.RawMessage // passed unchanged to the backend servers
}

// Answer is the answer to one Query. Covered and Missing together name each
// shard of the snapshot's partition map, or of the query's subset, exactly
// once.
type Answer struct {
	RequestID        string
	Instance         string // name of the instance that answered
	Code             result.Code
	Detail           string         `json:",omitempty"`
	Snapshot         snapshot.ID    // snapshot that all rows come from
	Revision         uint64         // configuration revision in use
	Stale            bool           `json:",omitempty"` // whether the instance had lost control, so its configuration may be outdated
	Covered          []string       // shards whose rows are all in Rows
	Missing          []MissingShard `json:",omitempty"`
	Rows             []ShardRows    `json:",omitempty"`
	RetryAfterMillis int64          `json:",omitempty"` // delay after which the caller may retry a refused or incomplete query
	Cost             Cost
}

// ShardRows holds the rows of one shard and the backend server that returned
// them.
type ShardRows struct {
	Shard  string
	Server string
	Rows   []json.RawMessage
}

// MissingShard is a shard that the answer does not cover.
type MissingShard struct {
	Shard  string
	Reason Reason
}

// Cost is the number of requests and the time that an answer took.
type Cost struct {
	LeafRequests int   // requests sent to backend servers
	Hedges       int   // requests sent while another for the shard was in flight
	Retries      int   // requests sent after another for the shard had failed
	Restarts     int   // restarts on a newer snapshot
	Extra        int   // leaf requests beyond one per shard that was sent any
	Micros       int64 // microseconds from arrival to answer
}

// Reason is the reason why a shard is missing.
type Reason string

// The reasons for a missing shard.
const (
	NotAsked    Reason = "NotAsked"    // the query ended before an attempt was sent
	NoServer    Reason = "NoServer"    // no selected backend server holds the shard in this snapshot
	Busy        Reason = "Busy"        // all slots and connections of every replica were in use
	Late        Reason = "Late"        // left out because waiting longer was not worthwhile
	Deadline    Reason = "Deadline"    // an attempt was sent, but no reply came by the deadline
	Shed        Reason = "Shed"        // the backend servers had no free slot
	Draining    Reason = "Draining"    // the backend servers were draining
	VersionGone Reason = "VersionGone" // the backend servers had dropped the snapshot
	WrongShard  Reason = "WrongShard"  // the backend servers did not hold the shard
	Silent      Reason = "Silent"      // the connections made no progress
	Cut         Reason = "Cut"         // the connections ended before the reply was complete
	Unreachable Reason = "Unreachable" // no connection could be opened
	Crossed     Reason = "Crossed"     // the replies were for another request or snapshot
	Malformed   Reason = "Malformed"   // the replies could not be decoded
	Failed      Reason = "Failed"      // the backend servers ran the request and failed
	BadRequest  Reason = "BadRequest"  // the backend servers rejected the request as malformed
	Cancelled   Reason = "Cancelled"   // the caller disconnected
	NotKept     Reason = "NotKept"     // the request ran, but its rows are no longer kept for resends
)
