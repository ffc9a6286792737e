// Package soak puts the routed tier under load while faults occur in it and around it,
// several at a time, and continuously checks the tier's guarantees. Instances run in
// processes of their own, so that they can be killed; backend servers, callers and
// operators run in this process and report what they do to a Checker.
//
// The faults are drawn from a seed before the run. The machine's scheduling is not: the
// same seed injects the same faults, but the results may differ.
package soak

import (
	"os"
	"time"

	"balsamwinch.example/emulate/experiment"
	"balsamwinch.example/settings"
	"balsamwinch.example/tier"
)

// Settings are the content of a soak file. Durations are written like 250ms.
type Settings struct {
	Name    string
	Seed    uint64 // makes arrivals, service times and the schedule of faults reproducible
	Tier    experiment.Tier
	Servers experiment.Servers
	// PlainServices is the number of services that take plain requests in turn, one for
	// each version of the configuration: the service of a response reveals its version.
	PlainServices int
	Merged        experiment.Stream // requests to all shards
	Plain         experiment.Stream // requests to one service
	Once          experiment.Stream // like Plain, for requests that are not repeatable
	MaxAttempts   int               // maximum backend servers tried for one request, per shard
	Length        time.Duration     // duration of the load
	Quiet         time.Duration     // final part of Length without active faults
	Faults        Faults
	Checks        Checks
}

// Faults configures the faults.
type Faults struct {
	Every       time.Duration // mean interval between the starts of two faults
	Least, Most time.Duration // bounds of a fault's duration, without the recovery
	AtOnce      int           // maximum number of active faults
	// Mend is the minimum time from the end of one control fault to the start of the
	// next: what the tier may need until it can tolerate another loss.
	Mend    time.Duration
	Weights map[Kind]int // relative frequency of each kind; a kind that isn't listed never occurs
}

// Checks are the bounds of the checks.
type Checks struct {
	Drain      time.Duration // how long a server may receive requests after its draining was acknowledged
	DrainSlack time.Duration // added to Drain, since a loaded machine records an arrival late
	// OverLimit is the number of connections that one backend server may reset because of
	// its limit. The server counts a connection until it has read that the peer closed
	// it, so an immediately replaced connection can exceed the limit.
	OverLimit int
	Budget    tier.Budget // bounds the arrivals beyond the first, for each service
}

// Read reads and checks a soak file. The error is settings.Faults if the content is
// invalid.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, data)
}

// Parse parses and checks the content of a soak file.
func Parse(file string, data []byte) (Settings, error) {
	de := tier.Defaults()
	cf := Settings{
		Seed: 1, PlainServices: 4, MaxAttempts: 3,
		Checks: Checks{Drain: de.Timing.Drain, DrainSlack: 500 * time.Millisecond, Budget: de.Budget},
	}
	tr, fs := settings.Parse(file, data)
	ck := settings.NewChecker(tr, append(fs, tr.Decode(&cf)...))
	cf.check(ck)
	return cf, ck.Faults().Err()
}

const (
	maxInstances = 200
	maxServers   = 1000
	maxRate      = 100_000
)

func (cf Settings) check(ck *settings.Checker) {
	ck.Name(cf.Name, "Name")
	cf.Tier.Check(ck, maxInstances)
	cf.Servers.Check(ck)
	settings.Between(ck, cf.PlainServices, 2, maxServers, "PlainServices")
	settings.Between(ck, cf.MaxAttempts, 1, maxServers, "MaxAttempts")
	cf.Merged.Check(ck, "Merged")
	cf.Plain.Check(ck, "Plain")
	cf.Once.Check(ck, "Once")
	settings.Between(ck, cf.Merged.TopK, 1, maxServers, "Merged", "TopK")
	ck.Want(cf.Merged.Rate+cf.Plain.Rate+cf.Once.Rate > 0, "a rate above 0", 0, "Merged", "Rate")
	ck.Want(cf.Length > cf.Quiet && cf.Quiet >= 0, "more than Quiet", cf.Length, "Length")
	cf.checkFaults(ck)
	ck.Want(cf.Checks.Drain > 0, "a time above 0", cf.Checks.Drain, "Checks", "Drain")
	ck.Want(cf.Checks.Budget.Window > 0, "a time above 0", cf.Checks.Budget.Window, "Checks", "Budget", "Window")
}

func (cf Settings) checkFaults(ck *settings.Checker) {
	fa := cf.Faults
	ck.Want(fa.Every > 0, "a time above 0", fa.Every, "Faults", "Every")
	ck.Want(fa.Least >= 0 && fa.Most >= fa.Least, "at least Least", fa.Most, "Faults", "Most")
	ck.Want(fa.AtOnce >= 1, "1 or more", fa.AtOnce, "Faults", "AtOnce")
	for ki, we := range fa.Weights {
		settings.OneOf(ck, ki, Kinds(), "Faults", "Weights", string(ki))
		ck.Want(we >= 0, "0 or more", we, "Faults", "Weights", string(ki))
	}
}
