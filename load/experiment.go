// Package load puts an open-loop load on a tier and measures its answers. An experiment file
// names services, arms, rates and faults; the report gives latency, coverage and cost of the
// answers and the promises that they broke. The package acts as the callers and controls the
// emulated backend servers of package leaf; it does not depend on the internals of an
// instance.
package load

import (
	"os"
	"strconv"
	"time"

	"balsamwinch.example/leaf"
	"balsamwinch.example/operator"
	"balsamwinch.example/settings"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Name     string
	Seed     uint64 // makes arrivals, choices and service times repeatable
	Tier     TierSpec
	Services []Service
	Arms     []Arm
	Block    time.Duration // how long one arm is loaded before the next one
	Settle   time.Duration // pause after each block, once all queries have completed
	// How much later than its deadline an answer still counts as useful: the caller's latency
	// includes the network delay in both directions.
	Grace  time.Duration
	Phases []Phase
}

// TierSpec describes the tier that is started for the experiment.
type TierSpec struct {
	Instances   int      // instances, all with the role Entry
	Voters      int      // how many of the instances also have the role Control
	DataCentres []string // assigned to instances and backend servers in turn
	MaxEntries  int      // bound from which connection shares are computed; default Instances
	AddressTTL  time.Duration
}

// Service describes a group of services with equal parameters.
type Service struct {
	Name     string // name of the group; if Count is above 1, a number is appended for each service
	Count    int    // services in the group; default 1
	Leaves   int    // shards that a query of the service needs
	Replicas int    // backend servers that hold each shard; default 1

	Slots           int
	Queue           int // requests that wait at a backend server before it sheds others
	Connections     int
	ConnectionDelay time.Duration
	ServiceTime     leaf.Latency
	StopLag         time.Duration // how long a cancelled leaf request keeps its slot
	KeepVersions    int

	Policy           operator.Policy
	Deadline         time.Duration
	ExtraLoadPercent float64
	Weight           int // weight of the service's share under overload; default 1
	Entries          int

	// Fraction of its shards that a partial answer must cover to count as useful under the
	// policy Best; default 0.9.
	UsefulCoverage float64

	Rate float64 // queries per second to each service of the group
	// Gives every query a key and lets it run at most once.
	NotRepeatable bool
	// Fraction of the queries that the caller sends a second time through another instance
	// without waiting for the first answer.
	DuplicateShare float64
}

// Arm is one of the tactics that an experiment compares.
type Arm struct {
	Name    string
	Tactics operator.Tactics
}

// Phase is a part of an experiment with one surge and one set of faults.
type Phase struct {
	Name   string
	Length time.Duration // time under load, summed over all arms
	Warmup bool          // omits the phase from the report
	// Makes this the phase without faults that the others are compared with.
	Reference bool
	Surge     Surge
	Faults    []FaultSpec
}

// Surge sets the rate of a group's services to a multiple of their capacity.
type Surge struct {
	Service string
	Times   float64
}

// Defaults of an experiment.
const (
	defaultBlock            = 2 * time.Second
	defaultSettle           = 200 * time.Millisecond
	defaultAddressTTL       = 2 * time.Second
	defaultExtraLoadPercent = 5.0
	defaultKeepVersions     = 3
	defaultUsefulCoverage   = 0.9
)

// ReadExperiment reads and checks an experiment file. If the file has faults, the error is a
// settings.Faults.
func ReadExperiment(path string) (Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, err
	}
	return ParseExperiment(path, data)
}

// ParseExperiment decodes and checks the content of an experiment file.
func ParseExperiment(file string, data []byte) (Experiment, error) {
	ex := Experiment{Block: defaultBlock, Settle: defaultSettle, Seed: 1}
	tr, faults := settings.Parse(file, data)
	faults = append(faults, tr.Decode(&ex)...)
	ex = ex.withDefaults()
	ck := settings.NewChecker(tr, faults)
	ex.check(ck)
	return ex, ck.Faults().Err()
}

func (ex Experiment) withDefaults() Experiment {
	ti := &ex.Tier
	ti.Instances = orDefault(ti.Instances, 1)
	ti.Voters = orDefault(ti.Voters, 1)
	ti.MaxEntries = orDefault(ti.MaxEntries, ti.Instances)
	ti.AddressTTL = orDefault(ti.AddressTTL, defaultAddressTTL)
	for ix := range ex.Services {
		se := &ex.Services[ix]
		se.Count = orDefault(se.Count, 1)
		se.Replicas = orDefault(se.Replicas, 1)
		se.Weight = orDefault(se.Weight, 1)
		se.KeepVersions = orDefault(se.KeepVersions, defaultKeepVersions)
		se.ExtraLoadPercent = orDefault(se.ExtraLoadPercent, defaultExtraLoadPercent)
		se.UsefulCoverage = orDefault(se.UsefulCoverage, defaultUsefulCoverage)
		se.Policy = orDefault(se.Policy, operator.Complete)
	}
	return ex
}

func orDefault[T comparable](va, def T) T {
	var zero T
	if va == zero {
		return def
	}
	return va
}

// Upper bounds of an experiment's values.
const (
	maxServers = 100
	maxShards  = 200
	maxRate    = 100_000
	maxLength  = 10 * time.Minute
)

func (ex Experiment) check(ck *settings.Checker) {
	ck.Name(ex.Name, "Name")
	settings.Between(ck, ex.Block, 100*time.Millisecond, maxLength, "Block")
	settings.Between(ck, ex.Settle, 0, maxLength, "Settle")
	settings.Between(ck, ex.Tier.Instances, 1, maxServers, "Tier", "Instances")
	settings.Between(ck, ex.Tier.Voters, 1, ex.Tier.Instances, "Tier", "Voters")
	ck.Want(len(ex.Tier.DataCentres) > 0, "at least one data centre", len(ex.Tier.DataCentres), "Tier", "DataCentres")
	ck.Want(len(ex.Services) > 0, "at least one service", len(ex.Services), "Services")
	ck.Want(len(ex.Arms) > 0, "at least one arm", len(ex.Arms), "Arms")
	ck.Want(len(ex.Phases) > 0, "at least one phase", len(ex.Phases), "Phases")
	for ix, se := range ex.Services {
		se.check(ck, strconv.Itoa(ix))
	}
	for ix, ar := range ex.Arms {
		ck.Name(ar.Name, "Arms", strconv.Itoa(ix), "Name")
		settings.OneOf(ck, ar.Tactics, []operator.Tactics{operator.Adaptive, operator.Baseline}, "Arms", strconv.Itoa(ix), "Tactics")
	}
	for ix, ph := range ex.Phases {
		ex.checkPhase(ck, ph, strconv.Itoa(ix))
	}
	ex.checkUnique(ck)
}

func (se Service) check(ck *settings.Checker, at string) {
	path := func(field ...string) []string {
		return append([]string{"Services", at}, field...)
	}
	ck.Name(se.Name, path("Name")...)
	settings.Between(ck, se.Count, 1, maxServers, path("Count")...)
	settings.Between(ck, se.Leaves, 1, maxShards, path("Leaves")...)
	settings.Between(ck, se.Replicas, 1, maxServers, path("Replicas")...)
	settings.Between(ck, se.Slots, 1, maxServers, path("Slots")...)
	settings.Between(ck, se.Connections, 1, 10*maxServers, path("Connections")...)
	settings.Between(ck, se.ServiceTime.Median, 0, time.Minute, path("ServiceTime", "Median")...)
	settings.Between(ck, se.ServiceTime.Sigma, 0, 3, path("ServiceTime", "Sigma")...)
	settings.OneOf(ck, se.Policy, []operator.Policy{operator.Complete, operator.Best}, path("Policy")...)
	settings.Between(ck, se.Deadline, time.Millisecond, maxLength, path("Deadline")...)
	settings.Between(ck, se.UsefulCoverage, 0, 1, path("UsefulCoverage")...)
	settings.Between(ck, se.Rate, 0, maxRate, path("Rate")...)
	settings.Between(ck, se.DuplicateShare, 0, 1, path("DuplicateShare")...)
	ck.Want(se.DuplicateShare == 0 || se.NotRepeatable, "NotRepeatable: true beside it", se.DuplicateShare, path("DuplicateShare")...)
}

func (ex Experiment) checkPhase(ck *settings.Checker, ph Phase, at string) {
	ck.Name(ph.Name, "Phases", at, "Name")
	settings.Between(ck, ph.Length, ex.Block, maxLength, "Phases", at, "Length")
	if ph.Surge != (Surge{}) {
		ck.Want(ex.hasService(ph.Surge.Service), "the name of a service above", ph.Surge.Service, "Phases", at, "Surge", "Service")
		settings.Between(ck, ph.Surge.Times, 0.01, 100, "Phases", at, "Surge", "Times")
	}
	for ix, fs := range ph.Faults {
		ex.checkFault(ck, fs, "Phases", at, "Faults", strconv.Itoa(ix))
	}
}

func (ex Experiment) checkUnique(ck *settings.Checker) {
	unique := func(what, list string, count int, name func(ix int) string) {
		var names []string
		var paths [][]string
		for ix := range count {
			names = append(names, name(ix))
			paths = append(paths, []string{list, strconv.Itoa(ix), "Name"})
		}
		ck.Unique(what, names, paths)
	}
	unique("service", "Services", len(ex.Services), func(ix int) string { return ex.Services[ix].Name })
	unique("arm", "Arms", len(ex.Arms), func(ix int) string { return ex.Arms[ix].Name })
	unique("phase", "Phases", len(ex.Phases), func(ix int) string { return ex.Phases[ix].Name })
}

func (ex Experiment) hasService(name string) bool {
	_, ok := ex.service(name)
	return ok
}

func (ex Experiment) service(name string) (Service, bool) {
	for _, se := range ex.Services {
		if se.Name == name {
			return se, true
		}
	}
	return Service{}, false
}
