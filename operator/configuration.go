// Package operator defines the configuration that operators write as a folder
// of small YAML files, merges the files in the order of their names, checks the
// merged whole, and speaks with operators over HTTP.
package operator

import "time"

// Policy says when a query's answer is given.
type Policy string

// The policies of a service.
const (
	// Complete waits for every shard until the deadline.
	Complete Policy = "Complete"
	// Best returns once waiting costs more than it gains, and labels the rest missing.
	Best Policy = "Best"
)

// Tactics names the set of decisions that entries use for a service.
type Tactics string

// The tactics of a service.
const (
	Adaptive Tactics = "Adaptive" // Adaptive is the default.
	// Baseline is what measurements compare with: equal static shares, wait for
	// all, no hedge, no set-aside, retry once.
	Baseline Tactics = "Baseline"
)

// Configuration is the merged whole of the operators' files. It is immutable.
type Configuration struct {
	Revision uint64 // Revision rises by one with each accepted change.
	Services map[string]Service
	Limits   Limits
}

// Service is one query service.
type Service struct {
	Name       string `yaml:"-"`
	Partitions []Partition
	Selector   Selector
	Exclude    []string // Exclude names backend servers that get no work.
	Policy     Policy
	Tactics    Tactics
	// DeadlineMillis is the deadline of a query that states none.
	DeadlineMillis int64
	// ExtraLoadPercent bounds hedges and retries, in percent of leaf requests.
	ExtraLoadPercent float64
	// Weight is the service's share of an instance under overload.
	Weight int
	// Entries is how many instances serve the service; 0 lets the slots of its
	// backend servers decide (limit.Entries).
	Entries int
	// ServeWithoutControl lets entries serve, labelled stale, after their lease ran out.
	ServeWithoutControl bool
}

// Partition is one partition map: a number and the shards that make it up.
type Partition struct {
	Number uint64
	Shards []string
}

// Selector chooses backend servers by what they announce. An empty field
// chooses all.
type Selector struct {
	Service     string
	DataCentres []string
	Labels      map[string]string
}

// Limits are bounds that hold for every instance.
type Limits struct {
	// MaxEntries is how many entry instances may hold connections to a backend
	// server at a time. Connection shares are computed from it.
	MaxEntries int
	// AddressTTLMillis is how long a caller may keep an address list.
	AddressTTLMillis int64
}

// Deadline returns the deadline of a query that states none.
func (se Service) Deadline() time.Duration {
	return time.Duration(se.DeadlineMillis) * time.Millisecond
}

// AddressTTL returns how long a caller may keep an address list.
func (li Limits) AddressTTL() time.Duration {
	return time.Duration(li.AddressTTLMillis) * time.Millisecond
}
