// Package soak puts the routed tier under load while things around it and in it
// fail, several at once, and checks all the while that what the tier promises
// holds. Instances run in processes of their own, so that they can be killed;
// backend servers, callers and operators run in this one and tell a Judge what
// they did and saw.
//
// The faults are drawn from a seed before the run. What the scheduler of the
// machine does is not: the same seed plays the same faults, and may yet show
// something else.
package soak

import (
	"os"
	"time"

	"balsamwinch.example/emulate/experiment"
	"balsamwinch.example/settings"
	"balsamwinch.example/tier"
)

// Settings are a soak file. Times are written like 250ms.
type Settings struct {
	Name    string
	Seed    uint64 // Seed makes arrivals, work and the schedule of faults repeatable.
	Tier    experiment.Tier
	Servers experiment.Servers
	// PlainServices is how many services take plain requests in turn, one for each
	// version of the configuration: by its service an answer shows its version.
	PlainServices int
	Merged        experiment.Stream // Merged requests ask all shards.
	Plain         experiment.Stream // Plain requests ask one service.
	Once          experiment.Stream // Once is like Plain, for requests that may run once only.
	MaxAttempts   int               // MaxAttempts bounds the backend servers asked for one request, for each shard.
	Length        time.Duration     // Length is how long the load lasts.
	Quiet         time.Duration     // Quiet is the end of it, in which no fault is under way.
	Faults        Faults
	Checks        Checks
}

// Faults say what goes wrong.
type Faults struct {
	Every       time.Duration // Every is the mean time from one beginning to the next.
	Least, Most time.Duration // Least and Most bound how long one lasts, besides what mending takes.
	AtOnce      int           // AtOnce is how many may be under way.
	// Mend is the time from the end of a fault of control to the next: what the tier
	// may need until it bears another loss.
	Mend    time.Duration
	Weights map[Kind]int // Weights say how often each kind is drawn; those not named never.
}

// Checks are the bounds that the checks keep to.
type Checks struct {
	Drain      time.Duration // Drain is how long a server whose leaving was acknowledged may get requests.
	DrainSlack time.Duration // DrainSlack is added to it, since a loaded machine notes an arrival late.
	// OverLimit is how many connections one backend server may reset as beyond its
	// limit: it counts a connection until it has read that the other end closed it,
	// so one that was replaced at once can seem one too many.
	OverLimit int
	Budget    tier.Budget // Budget bounds the arrivals beyond the first for each service.
}

// Read reads and checks a soak file. The error is settings.Faults if the file has
// faults.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, data)
}

// Parse reads and checks the content of a soak file.
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
	mostInstances = 200
	mostServers   = 1000
	mostRate      = 100_000
)

func (cf Settings) check(ck *settings.Checker) {
	ck.Name(cf.Name, "Name")
	cf.Tier.Check(ck, mostInstances)
	cf.Servers.Check(ck)
	settings.Between(ck, cf.PlainServices, 2, mostServers, "PlainServices")
	settings.Between(ck, cf.MaxAttempts, 1, mostServers, "MaxAttempts")
	cf.Merged.Check(ck, "Merged")
	cf.Plain.Check(ck, "Plain")
	cf.Once.Check(ck, "Once")
	settings.Between(ck, cf.Merged.TopK, 1, mostServers, "Merged", "TopK")
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
