// Package operator defines the configuration that operators write as a folder of small YAML
// files. It merges the files in the order of their names, validates the result, and serves
// operators over HTTP.
package operator

import "time"

// Policy determines when a query is answered.
type Policy string

// Policies of a service.
const (
	// Complete waits for every shard until the deadline.
	Complete Policy = "Complete"
	// Best answers once waiting longer costs more than it gains, and lists the missing shards.
	Best Policy = "Best"
)

// Tactics selects the algorithms that entry instances use for a service.
type Tactics string

// Tactics of a service.
const (
	Adaptive Tactics = "Adaptive" // the default
	// Baseline is the reference for measurements: equal static shares, wait for all shards, no
	// hedges, no ejection, one retry.
	Baseline Tactics = "Baseline"
)

// Configuration is the result of merging the operators' files. It is immutable.
type Configuration struct {
	Revision uint64 // incremented by each accepted change
	Services map[string]Service
	Limits   Limits
}

// Service is the configuration of one query service.
type Service struct {
	Name       string `yaml:"-"`
	Partitions []Partition
	Selector   Selector
	Exclude    []string // names of backend servers that get no requests
	Policy     Policy
	Tactics    Tactics
	// DeadlineMillis is the default deadline of a query.
	DeadlineMillis int64
	// ExtraLoadPercent bounds hedges and retries, in percent of leaf requests.
	ExtraLoadPercent float64
	// Weight is the service's relative share of an instance under overload.
	Weight int
	// Entries is the number of instances that serve the service. With 0 it is derived from the
	// slots of the service's backend servers (limit.Entries).
	Entries int
	// ServeWithoutControl lets entry instances go on serving after their lease has expired,
	// with responses labelled stale.
	ServeWithoutControl bool
}

// Partition is a partition map: a number and the shards that an index is split into.
type Partition struct {
	Number uint64
	Shards []string
}

// Selector selects backend servers by what they announce. An empty field matches all.
type Selector struct {
	Service     string
	DataCentres []string
	Labels      map[string]string
}

// Limits holds the bounds that apply to every instance.
type Limits struct {
	// MaxEntries bounds the entry instances that hold connections to a backend server at a
	// time. Connection shares are computed from it.
	MaxEntries int
	// AddressTTLMillis is how long a caller may cache an address list.
	AddressTTLMillis int64
}

// Deadline returns the default deadline of a query.
func (se Service) Deadline() time.Duration {
	return time.Duration(se.DeadlineMillis) * time.Millisecond
}

// AddressTTL returns how long a caller may cache an address list.
func (li Limits) AddressTTL() time.Duration {
	return time.Duration(li.AddressTTLMillis) * time.Millisecond
}
