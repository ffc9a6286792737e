// Package experiment measures the routed tier on one machine: an open-loop load
// of merged and plain requests on a tier of package emulate, with arms that
// differ in how many backend servers may be asked for one request. The arms take
// turns on the same tier and the same backend servers and get the same arrivals.
//
// Two things pass from one arm's turn to the next, since it is one tier: what
// entry instances have learned of backend servers, and the retry budget, whose
// window counts the requests of all arms.
package experiment

import (
	"fmt"
	"os"
	"time"

	"balsamwinch.example/emulate"
	"balsamwinch.example/settings"
)

// Experiment is an experiment file. Times are written like 250ms.
type Experiment struct {
	Name    string
	Seed    uint64 // Seed makes arrivals, work and pauses repeatable.
	Tier    Tier
	Servers Servers
	Merged  Stream // Merged requests ask all shards.
	Plain   Stream // Plain requests ask one service besides the shards.
	Arms    []Arm
	Warmup  time.Duration // Warmup is a load that is not measured.
	Block   time.Duration // Block is how long one arm is loaded before the next has its turn.
	Length  time.Duration // Length is the time under load of all arms together, in whole turns.
}

// Tier is what the tier consists of.
type Tier struct {
	Entries     int
	Controls    int
	DataCentres []string // DataCentres are filled in turn by instances and by the replicas of each service.
}

// Servers are the backend servers.
type Servers struct {
	Shards         int // Shards is how many services hold a shard each; one more serves plain requests.
	Replicas       int // Replicas is how many backend servers each service has.
	Slots          int
	Queue          int
	Connections    int
	ConnectionCost time.Duration
	Work           emulate.ServiceTime
	Pause          emulate.Pause
	Paces          []float64 // Paces are given to the replicas of each service in turn; default 1.
	Records        int       // Records is how many records a part has.
}

// Stream is the requests of one kind.
type Stream struct {
	Rate       float64 // Rate is the requests a second, from all callers together.
	Timeout    time.Duration
	Aim        time.Duration // Aim is the time within which an answer has its full worth.
	TopK       int
	LeastShare float64
}

// Arm is one of the settings that are compared.
type Arm struct {
	Name        string
	MaxAttempts int // MaxAttempts bounds the backend servers asked for one request, for each shard.
}

// Read reads and checks an experiment file. The error is settings.Faults if the
// file has faults.
func Read(path string) (Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, err
	}
	return Parse(path, data)
}

// Parse reads and checks the content of an experiment file.
func Parse(file string, data []byte) (Experiment, error) {
	ex := Experiment{Seed: 1}
	tr, fs := settings.Parse(file, data)
	ck := settings.NewChecker(tr, append(fs, tr.Decode(&ex)...))
	ex.check(ck)
	return ex, ck.Faults().Err()
}

const (
	mostInstances = 100
	mostServers   = 1000
	mostRate      = 100_000
)

func (ex Experiment) check(ck *settings.Checker) {
	ck.Name(ex.Name, "Name")
	ex.Tier.Check(ck, mostInstances)
	ex.Servers.Check(ck)
	ex.Merged.Check(ck, "Merged")
	ex.Plain.Check(ck, "Plain")
	settings.Between(ck, ex.Merged.TopK, 1, mostServers, "Merged", "TopK")
	ck.Want(ex.Merged.Rate+ex.Plain.Rate > 0, "a rate above 0", 0, "Merged", "Rate")
	ck.Want(len(ex.Arms) > 0, "at least one arm", len(ex.Arms), "Arms")
	var names []string
	var paths [][]string
	for ix, ar := range ex.Arms {
		at := []string{"Arms", fmt.Sprint(ix)}
		ck.Name(ar.Name, append(at, "Name")...)
		ck.Want(ar.MaxAttempts >= 1, "1 or more", ar.MaxAttempts, append(at, "MaxAttempts")...)
		names, paths = append(names, ar.Name), append(paths, append(at, "Name"))
	}
	ck.Unique("arm", names, paths)
	ck.Want(ex.Block > 0, "a time above 0", ex.Block, "Block")
	ck.Want(ex.Rounds() > 0, "at least one turn of all arms", ex.Length, "Length")
}

// Turns returns how often each arm has its turn while it is measured.
func (ex Experiment) Rounds() int { return ex.turns(ex.Length) }

// turns returns the whole turns of all arms in a time.
func (ex Experiment) turns(length time.Duration) int {
	turn := ex.Block * time.Duration(len(ex.Arms))
	if turn <= 0 {
		return 0
	}
	return int(length / turn)
}

const (
	host       = "routed.example"
	plainName  = "plain"
	version    = 1
	bodyBytes  = 1 << 20
	headBytes  = 16 << 10
	headWithin = 3 * time.Second
	idleWithin = 30 * time.Second
)

// shards returns the services that hold a shard each.
func (ex Experiment) shards() []string {
	out := make([]string, ex.Servers.Shards)
	for ix := range out {
		out[ix] = fmt.Sprintf("shard-%02d", ix+1)
	}
	return out
}

// Configuration returns the configuration of the tier: for each arm a route for
// merged requests and one for plain ones.
func (ex Experiment) Configuration() emulate.Configuration {
	cf := emulate.Configuration{
		Version: version,
		Limits:  emulate.Limits{HeaderBytes: headBytes, BodyBytes: bodyBytes, HeaderTimeout: headWithin, IdleTimeout: idleWithin},
	}
	for _, ar := range ex.Arms {
		merged, plain := ex.route(ar, ex.Merged, groupMerged), ex.route(ar, ex.Plain, groupPlain)
		merged.Shards, merged.TopK, merged.LeastShare = ex.shards(), ex.Merged.TopK, ex.Merged.LeastShare
		plain.Service = plainName
		cf.Routes = append(cf.Routes, merged, plain)
	}
	for _, name := range append(ex.shards(), plainName) {
		cf.Services = append(cf.Services, emulate.Service{Name: name, HealthPath: emulate.HealthPath, Connections: ex.Servers.Connections})
	}
	return cf
}

func (ex Experiment) route(ar Arm, st Stream, group string) emulate.Route {
	return emulate.Route{
		Name: ar.Name + "-" + group, Host: host, Prefix: "/" + ar.Name + "/" + group + "/", Kind: "Repeatable",
		Timeout: st.Timeout, Aim: st.Aim, MaxAttempts: ar.MaxAttempts,
	}
}

// configs returns the backend servers.
func (ex Experiment) configs() []emulate.Config {
	var out []emulate.Config
	se := ex.Servers
	for _, name := range append(ex.shards(), plainName) {
		for nth := range se.Replicas {
			cf := emulate.Config{
				ID: fmt.Sprintf("%s-%d", name, nth+1), Service: name, DataCentre: ex.Tier.DataCentres[nth%len(ex.Tier.DataCentres)],
				Slots: se.Slots, Queue: se.Queue, Connections: se.Connections, ConnectionCost: se.ConnectionCost,
				ServiceTime: se.Work, Pause: se.Pause, Records: se.Records, ReportLoad: true,
				Seed: ex.Seed*mostServers + uint64(len(out)),
			}
			if len(se.Paces) > 0 {
				cf.ServiceTimeFactor = se.Paces[nth%len(se.Paces)]
			}
			out = append(out, cf)
		}
	}
	return out
}

// Check checks the part Tier of a file.
func (ti Tier) Check(ck *settings.Checker, most int) {
	settings.Between(ck, ti.Entries, 1, most, "Tier", "Entries")
	settings.Between(ck, ti.Controls, 1, most, "Tier", "Controls")
	ck.Want(len(ti.DataCentres) > 0, "at least one data centre", len(ti.DataCentres), "Tier", "DataCentres")
}

// Check checks the part Servers of a file.
func (se Servers) Check(ck *settings.Checker) {
	settings.Between(ck, se.Shards, 1, mostServers, "Servers", "Shards")
	settings.Between(ck, se.Replicas, 1, mostServers, "Servers", "Replicas")
	settings.Between(ck, se.Slots, 1, mostServers, "Servers", "Slots")
	settings.Between(ck, se.Records, 1, mostServers, "Servers", "Records")
	settings.Between(ck, se.Connections, 1, mostRate, "Servers", "Connections")
	ck.Want(se.Work.Median > 0, "a time above 0", se.Work.Median, "Servers", "Work", "Median")
}

// Check checks the part of a file that describes a stream of requests.
func (st Stream) Check(ck *settings.Checker, name string) {
	settings.Between(ck, st.Rate, 0, mostRate, name, "Rate")
	ck.Want(st.Timeout > 0, "a time above 0", st.Timeout, name, "Timeout")
}
