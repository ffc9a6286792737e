// Package leaf emulates a backend server: it announces itself, holds shards of
// several snapshots, has slots, a connection limit, a cold start and a drain,
// and misbehaves as it is told. It is for trials and tests and keeps no index.
package leaf

import (
	"cmp"
	"time"
)

// Config holds the settings of a Leaf.
type Config struct {
	Server     string // Server is the name, unique among backend servers.
	Service    string
	DataCentre string
	Labels     map[string]string
	// Address is the IP number and port of the query endpoint; port 0 lets the
	// kernel choose.
	Address string
	// ControlAddress is the IP number and port of the endpoint for counts, faults
	// and versions; its connections do not count against ConnectionLimit. None is
	// opened if it is empty.
	ControlAddress string
	Announce       []string // Announce are the announce addresses of instances.

	Shards       []string // Shards are those held at the start.
	Partition    uint64   // Partition is the number of the first partition map; default 1.
	Version      uint64   // Version is the first index version; default 1.
	KeepVersions int      // KeepVersions is how many snapshots are held; default 3.
	// PublishEvery is the period of new index versions; 0 publishes only when told
	// to. Leafs with the same period publish the same versions.
	PublishEvery time.Duration
	PublishLag   time.Duration // PublishLag delays each periodic version.
	RowsPerReply int           // RowsPerReply is how many rows a shard answers with; default 1.

	Slots           int           // Slots is how many requests run at a time; default 4.
	Queue           int           // Queue is how many requests wait for a slot before others are shed.
	ConnectionLimit int           // ConnectionLimit is how many connections are accepted; default 40.
	AcceptDelay     time.Duration // AcceptDelay is the cost of a new connection.
	Latency         Latency
	ColdFor         time.Duration // ColdFor is the length of the cold start.
	// ColdFactor multiplies the service time when the cold start begins; it falls
	// evenly to 1.
	ColdFactor float64
	StopLag    time.Duration // StopLag is how long a cancelled or timed-out request goes on.
	DrainFor   time.Duration // DrainFor is how long the Leaf goes on, draining, when it is told to end.
	DrainLimit time.Duration // DrainLimit bounds the wait for requests that were taken on; default 30 s.
	LoadLag    time.Duration // LoadLag is how old the reported health and load get.

	Repeat      time.Duration // Repeat is the period of announcements until an instance says another; default 1 s.
	TTL         time.Duration // TTL is how long an announcement holds; default 5 s.
	Incarnation uint64        // Incarnation is taken from the clock if it is 0.
	Seed        uint64        // Seed makes service times and faults repeatable.
	Faults      Faults
}

// Latency is a lognormal distribution of service times, given by its median and
// the standard deviation of the logarithm. A zero Median answers at once.
type Latency struct {
	Median time.Duration
	Sigma  float64
}

func (cf Config) withDefaults(now time.Time) Config {
	cf.Partition = cmp.Or(cf.Partition, 1)
	cf.Version = cmp.Or(cf.Version, 1)
	cf.KeepVersions = cmp.Or(cf.KeepVersions, 3)
	cf.RowsPerReply = cmp.Or(cf.RowsPerReply, 1)
	cf.Slots = cmp.Or(cf.Slots, 4)
	cf.ConnectionLimit = cmp.Or(cf.ConnectionLimit, 40)
	cf.ColdFactor = cmp.Or(cf.ColdFactor, 1)
	cf.DrainLimit = cmp.Or(cf.DrainLimit, 30*time.Second)
	cf.Repeat = cmp.Or(cf.Repeat, time.Second)
	cf.TTL = cmp.Or(cf.TTL, 5*time.Second)
	cf.Incarnation = cmp.Or(cf.Incarnation, uint64(now.UnixMilli()))
	return cf
}

// versionAt returns the periodic index version of a time.
func (cf Config) versionAt(now time.Time) uint64 {
	if cf.PublishEvery <= 0 {
		return cf.Version
	}
	return cf.Version + uint64(now.Add(-cf.PublishLag).UnixNano()/int64(cf.PublishEvery))
}

// nextVersion returns how long it is until the next periodic index version.
func (cf Config) nextVersion(now time.Time) time.Duration {
	since := time.Duration(now.Add(-cf.PublishLag).UnixNano() % int64(cf.PublishEvery))
	return cf.PublishEvery - since
}
