// Package route holds the configuration that decides where a request goes: the
// routes, the services that they refer to, and the limits on callers. A Table is
// immutable and finds the route of a request; a Picker divides the requests of a
// split route. The package uses no network and no clock and doesn't know backend
// servers: package registry tracks which servers a service has.
package route

import (
	"fmt"
	"slices"
	"time"
)

// Kind tells whether a request may run more than once.
type Kind uint8

// The kinds of requests.
const (
	Repeatable    Kind = iota // may run more than once
	NotRepeatable             // runs at most once for each request of a caller
)

// String returns the name of the kind, or its number if it is unknown.
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

// Target is a service that gets requests of a route in proportion to Weight.
type Target struct {
	Service string
	Weight  int
}

// Merge configures how the answers of the shards are merged.
type Merge struct {
	TopK        int     // maximum number of records in an answer
	RecordBytes int     // size of each record
	LeastShare  float64 // fraction of the shards, 0 to 1, below which the answer is a failure
}

// Route configures the requests to one host whose path begins with one prefix.
// Either Targets or Shards is set.
type Route struct {
	Name          string
	Host          string // host name in requests, compared without case and port
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // longest time that a caller waits
	TargetLatency time.Duration // time within which an answer has its full value; 0 if there is none
	Priority      int           // rank of the requests under overload; 0 is the highest
	Public        bool          // requests need no API key
	MaxAttempts   int           // maximum of backend servers tried for one request, per shard; below 1 means 1
	Targets       []Target      // one for a plain route, several for a split one
	Shards        []string      // services that hold one shard each
	Merge         Merge         // used only with Shards
}

func (ro *Route) clone() Route {
	co := *ro
	co.Targets = slices.Clone(ro.Targets)
	co.Shards = slices.Clone(ro.Shards)
	return co
}

// Service is a service that routes refer to.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // connections that one backend server accepts from all callers together
	// Warmup is how long a backend server warms up after its start, and WarmupRate
	// how many requests per second it can take meanwhile; 0 means unlimited.
	Warmup     time.Duration
	WarmupRate float64
}

// Limits bounds the size of callers' requests and the time that they may take.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}
