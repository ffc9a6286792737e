// Package fanout answers one query from many backend servers: it pins one
// snapshot, asks a replica of each shard, hedges and retries within a budget,
// merges what belongs together and labels what is missing. Step holds the
// decisions of one query and touches nothing; Engine carries them out.
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
	RequestID  string // RequestID comes back in the answer.
	Service    string
	Deadline   time.Time // Deadline is when the caller needs the answer; zero takes the service's.
	Repeatable bool      // Repeatable says that backend servers may run the request more than once.
	Key        string    // Key names a request that is not repeatable across its resends.
	// Resend says that the caller sent the Key before and does not know the
	// outcome. Such a request is never refused with "not run" unless the record
	// of the first arrival says so.
	Resend bool
	Policy operator.Policy // Policy replaces the service's; empty keeps it.
	Shards []string        // Shards limits the query to some shards; empty means all.
	Body   json.RawMessage // Body is passed to the backend servers as it is.
}

// Answer is the answer to one Query. Covered and Missing together name each
// shard of the snapshot's partition map, or of the query's subset, once.
type Answer struct {
	RequestID        string
	Instance         string // Instance is the name of the instance that answered.
	Code             result.Code
	Detail           string         `json:",omitempty"`
	Snapshot         snapshot.ID    // Snapshot is what every row comes from.
	Revision         uint64         // Revision is that of the configuration in use.
	Stale            bool           `json:",omitempty"` // Stale says that the instance had lost control and its configuration may be old.
	Covered          []string       // Covered names the shards whose rows are all in Rows.
	Missing          []MissingShard `json:",omitempty"`
	Rows             []ShardRows    `json:",omitempty"`
	RetryAfterMillis int64          `json:",omitempty"` // RetryAfterMillis is when to come back after a refusal.
	Cost             Cost
}

// ShardRows are the rows of one shard, and the backend server that gave them.
type ShardRows struct {
	Shard  string
	Server string
	Rows   []json.RawMessage
}

// Missing is a shard that the answer does not cover.
type MissingShard struct {
	Shard  string
	Reason Reason
}

// Cost is what an answer cost.
type Cost struct {
	LeafRequests int   // LeafRequests counts the requests sent to backend servers.
	Hedges       int   // Hedges counts those sent while another for the shard was running.
	Retries      int   // Retries counts those sent after another for the shard had failed.
	Restarts     int   // Restarts counts how often the query began again on a newer snapshot.
	Extra        int   // Extra counts the leaf requests beyond one for each shard that was asked.
	Micros       int64 // Micros is the time from arrival to answer, in microseconds.
}

// Reason says why a shard is missing.
type Reason string

// The reasons for a missing shard.
const (
	NotAsked    Reason = "NotAsked"    // the query ended before the shard's turn
	NoServer    Reason = "NoServer"    // no selected backend server holds the shard in this snapshot
	Busy        Reason = "Busy"        // every replica's slots and connections were taken
	Late        Reason = "Late"        // left out because waiting cost more than it gained
	Deadline    Reason = "Deadline"    // asked, and no reply by the deadline
	Shed        Reason = "Shed"        // the backend servers had no slot free
	Draining    Reason = "Draining"    // the backend servers were leaving
	VersionGone Reason = "VersionGone" // the backend servers had dropped the snapshot
	WrongShard  Reason = "WrongShard"  // the backend servers did not hold the shard
	Silent      Reason = "Silent"      // the connections made no progress
	Cut         Reason = "Cut"         // the connections ended before the reply was whole
	Unreachable Reason = "Unreachable" // no connection could be opened
	Crossed     Reason = "Crossed"     // the replies were for another request or snapshot
	Malformed   Reason = "Malformed"   // the replies could not be read
	Failed      Reason = "Failed"      // the backend servers ran the request and failed
	BadRequest  Reason = "BadRequest"  // the backend servers refused the request as malformed
	Cancelled   Reason = "Cancelled"   // the caller went away
	NotKept     Reason = "NotKept"     // the request ran, and its rows are no longer kept for resends
)
