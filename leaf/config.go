// Package leaf emulates a backend server: it announces itself, holds shards of several
// snapshots, has slots, a connection limit, a cold start and a drain, and misbehaves as
// configured. It is meant for experiments and tests and keeps no index.
package leaf

import (
	"cmp"
	"time"
)

// Config holds the settings of a Leaf.
type Config struct {
	Server     string // name, unique among backend servers
	Service    string
	DataCentre string
	Labels     map[string]string
	// IP address and port of the query endpoint; with port 0 the kernel chooses the port.
	Address string
	// IP address and port of the endpoint for counts, faults and versions; its connections do
	// not count against ConnectionLimit. If empty, the endpoint is not opened.
	ControlAddress string
	Announce       []string // announce addresses of instances

	Shards       []string // shards held at the start
	Partition    uint64   // number of the first partition map; default 1
	Version      uint64   // first index version; default 1
	KeepVersions int      // maximum number of snapshots held; default 3
	// Interval between new index versions; 0 publishes only on request. Leafs with the same
	// interval publish the same versions.
	PublishEvery time.Duration
	PublishLag   time.Duration // delay of each periodic version
	RowsPerReply int           // rows that a shard returns; default 1

	Slots           int           // requests that run at a time; default 4
	Queue           int           // requests that wait for a slot before others are shed
	ConnectionLimit int           // maximum number of accepted connections; default 40
	AcceptDelay     time.Duration // delay before a new connection is read
	Latency         Latency
	ColdFor         time.Duration // length of the cold start
	// Factor by which the service time is multiplied when the cold start begins; it falls
	// linearly to 1.
	ColdFactor float64
	StopLag    time.Duration // how long a cancelled or timed-out request keeps its slot
	DrainFor   time.Duration // how long a Leaf that is to stop keeps draining
	DrainLimit time.Duration // limit of the wait for accepted requests at the end of the drain; default 30 s
	LoadLag    time.Duration // age of the reported health and load

	Repeat      time.Duration // interval of announcements until an instance requests another one; default 1 s
	TTL         time.Duration // lifetime of an announcement; default 5 s
	Incarnation uint64        // taken from the clock if 0
	Seed        uint64        // makes service times and faults repeatable
	Faults      Faults
}

// Latency is a lognormal distribution of service times, given by its median and the standard
// deviation of the logarithm. With a zero Median, requests are answered at once.
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

// versionAt returns the periodic index version at the given time.
func (cf Config) versionAt(now time.Time) uint64 {
	if cf.PublishEvery <= 0 {
		return cf.Version
	}
	return cf.Version + uint64(now.Add(-cf.PublishLag).UnixNano()/int64(cf.PublishEvery))
}

// untilNextVersion returns the time until the next periodic index version.
func (cf Config) untilNextVersion(now time.Time) time.Duration {
	since := time.Duration(now.Add(-cf.PublishLag).UnixNano() % int64(cf.PublishEvery))
	return cf.PublishEvery - since
}
