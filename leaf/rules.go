package leaf

import (
	"fmt"
	"time"

	"balsamwinch.example/settings"
)

const (
	// Gives instances the time to receive the announcement of the drain before the connections
	// are closed.
	defaultDrainFor = 3 * time.Second

	maxSlots        = 10_000
	maxConnections  = 100_000
	maxFactor       = 10_000
	maxRows         = 10_000
	maxKeepVersions = 1_000
)

// ParseConfig decodes and checks the content of a settings file. It returns all faults at
// once.
func ParseConfig(file string, data []byte) (Config, settings.Faults) {
	cf := Config{}.withDefaults(time.Time{})
	cf.Incarnation = 0
	cf.DrainFor = defaultDrainFor
	tr, fs := settings.Parse(file, data)
	ck := settings.NewChecker(tr, append(fs, tr.Decode(&cf)...))
	if len(tr.Keys()) == 0 && len(fs) > 0 {
		return cf, ck.Faults()
	}
	cf.checkIdentity(ck)
	cf.checkIndex(ck)
	cf.checkService(ck)
	cf.checkTimes(ck)
	for _, sh := range cf.Faults.shares() {
		settings.Between(ck, sh.value, 0, 1, "Faults", sh.field)
	}
	settings.Between(ck, cf.Faults.SlowFactor, 0, maxFactor, "Faults", "SlowFactor")
	return cf, ck.Faults()
}

func (cf Config) checkIdentity(ck *settings.Checker) {
	ck.Name(cf.Server, "Server")
	ck.Name(cf.Service, "Service")
	ck.Name(cf.DataCentre, "DataCentre")
	ck.Address(cf.Address, true, "Address")
	if cf.ControlAddress != "" {
		ck.Address(cf.ControlAddress, true, "ControlAddress")
	}
	paths := make([][]string, len(cf.Announce))
	for i, ad := range cf.Announce {
		paths[i] = []string{"Announce", fmt.Sprint(i)}
		ck.Address(ad, false, paths[i]...)
	}
	ck.Unique("address", cf.Announce, paths)
}

func (cf Config) checkIndex(ck *settings.Checker) {
	ck.Want(len(cf.Shards) > 0, "one shard or more", len(cf.Shards), "Shards")
	paths := make([][]string, len(cf.Shards))
	for i, sh := range cf.Shards {
		paths[i] = []string{"Shards", fmt.Sprint(i)}
		ck.Name(sh, paths[i]...)
	}
	ck.Unique("shard", cf.Shards, paths)
	ck.Want(cf.Partition > 0, "a number from 1", cf.Partition, "Partition")
	ck.Want(cf.Version > 0, "a number from 1", cf.Version, "Version")
	settings.Between(ck, cf.KeepVersions, 1, maxKeepVersions, "KeepVersions")
	settings.Between(ck, cf.RowsPerReply, 1, maxRows, "RowsPerReply")
}

func (cf Config) checkService(ck *settings.Checker) {
	settings.Between(ck, cf.Slots, 1, maxSlots, "Slots")
	settings.Between(ck, cf.Queue, 0, maxSlots, "Queue")
	settings.Between(ck, cf.ConnectionLimit, 1, maxConnections, "ConnectionLimit")
	settings.Between(ck, cf.ColdFactor, 1, maxFactor, "ColdFactor")
	settings.Between(ck, cf.Latency.Sigma, 0, 3, "Latency", "Sigma")
}

func (cf Config) checkTimes(ck *settings.Checker) {
	for _, ti := range []struct {
		path []string
		du   time.Duration
		lo   time.Duration
	}{
		{[]string{"PublishEvery"}, cf.PublishEvery, 0},
		{[]string{"PublishLag"}, cf.PublishLag, 0},
		{[]string{"AcceptDelay"}, cf.AcceptDelay, 0},
		{[]string{"Latency", "Median"}, cf.Latency.Median, 0},
		{[]string{"ColdFor"}, cf.ColdFor, 0},
		{[]string{"StopLag"}, cf.StopLag, 0},
		{[]string{"DrainFor"}, cf.DrainFor, 0},
		{[]string{"DrainLimit"}, cf.DrainLimit, time.Millisecond},
		{[]string{"LoadLag"}, cf.LoadLag, 0},
		{[]string{"Repeat"}, cf.Repeat, 10 * time.Millisecond},
		{[]string{"TTL"}, cf.TTL, 100 * time.Millisecond},
	} {
		settings.Between(ck, ti.du, ti.lo, time.Hour, ti.path...)
	}
}

// faultShare is the value of a fault that is drawn for each request.
type faultShare struct {
	field string
	value float64
}

func (fa Faults) shares() []faultShare {
	return []faultShare{
		{"SlowShare", fa.SlowShare},
		{"Shed", fa.Shed},
		{"Crossed", fa.Crossed},
		{"Doubled", fa.Doubled},
		{"Cut", fa.Cut},
		{"Lost", fa.Lost},
	}
}

// check returns an error if a share lies outside 0 to 1.
func (fa Faults) check() error {
	for _, sh := range fa.shares() {
		if sh.value < 0 || sh.value > 1 {
			return &shareError{sh}
		}
	}
	return nil
}

// shareError means that a share is out of range.
type shareError struct {
	fs faultShare
}

// Error returns the field, the accepted range and the value.
func (se *shareError) Error() string {
	return fmt.Sprintf("%s: want a share from 0 to 1, got %v", se.fs.field, se.fs.value)
}
