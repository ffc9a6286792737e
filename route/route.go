// Package route holds the configuration that decides where a request goes: its
// routes, the services that they name, and the limits on callers. A Table is
// immutable and finds the route of a request; a Picker divides the requests of
// a split route. The package asks no network, reads no clock and knows no
// backend server: which servers a service has is package registry's.
package route

import (
	"fmt"
	"slices"
	"time"
)

// Kind says whether a request may run more than once.
type Kind uint8

// The kinds of requests.
const (
	Repeatable    Kind = iota // Repeatable requests may run more than once.
	NotRepeatable             // NotRepeatable requests run at most once for each request of a caller.
)

// String returns the name of the kind, or its number when it is not known.
func (ki Kind) String() string {
	switch ki {
	case Repeatable:
		return "Repeatable"
	case NotRepeatable:
		return "NotRepeatable"
	default:
		return fmt.Sprintf("Kind(%d)", uint8(ki))
	}
}

// Target is a service that gets requests of a route, in proportion to Weight.
type Target struct {
	Service string
	Weight  int
}

// Merge says how the shards' answers become one.
type Merge struct {
	TopK        int     // TopK is the most records in an answer.
	RecordBytes int     // RecordBytes is the size of each record.
	LeastShare  float64 // LeastShare is the part of the shards, 0 to 1, below which the answer is a failure.
}

// Route says what happens to the requests of one host whose path begins with
// one prefix. Either Targets or Shards is set.
type Route struct {
	Name          string
	Host          string // Host is the name that callers ask for; its case and a port don't count.
	Prefix        string // Prefix begins and ends with a slash.
	Kind          Kind
	Timeout       time.Duration // Timeout is the longest time that a caller is kept waiting.
	TargetLatency time.Duration // Aim is the time within which an answer has its full worth; 0 if there is none.
	MaxAttempts   int           // MaxAttempts bounds the backend servers asked for one request, for each shard; below 1 it means 1.
	Targets       []Target      // Targets has one element for a plain route and several for a split one.
	Shards        []string      // Shards are the services that hold one shard each.
	Merge         Merge         // Merge counts only with Shards.
}

func (ro *Route) clone() Route {
	co := *ro
	co.Targets = slices.Clone(ro.Targets)
	co.Shards = slices.Clone(ro.Shards)
	return co
}

// Service is a service that routes name.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // MaxConnections is what one backend server accepts from all callers together.
	// Warmup is how long a backend server is cold after it starts, and WarmupRate how many
	// requests a second it bears then; 0 if that isn't bounded.
	Warmup     time.Duration
	WarmupRate float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}
