// Package experiment measures the routed tier on one machine: an open-loop load of merged
// and plain requests on a tier of package emulate, with arms that differ in the maximum
// number of backend servers tried for one request. The arms take turns on the same tier
// and the same backend servers, and get the same arrivals.
//
// Two kinds of state carry over from one arm's turn to the next, because all arms share
// one tier: what entry instances have learned about backend servers, and the retry
// budget, whose window counts the requests of all arms.
package experiment

import (
	"fmt"
	"os"
	"time"

	"balsamwinch.example/emulate"
	"balsamwinch.example/settings"
)

// Experiment is the content of an experiment file. Durations are written like 250ms.
type Experiment struct {
	Name    string
	Seed    uint64 // makes arrivals, service times and pauses reproducible
	Tier    Tier
	Servers Servers
	Merged  Stream // requests to all shards
	Plain   Stream // requests to one service besides the shards
	Arms    []Arm
	Warmup  time.Duration // duration of the load before the measurement
	Block   time.Duration // duration of one arm's turn
	Length  time.Duration // duration of the measured load of all arms together; rounded down to whole rounds
}

// Tier is the size of the tier.
type Tier struct {
	Entries     int
	Controls    int
	DataCentres []string // assigned in turn to the instances and to the replicas of each service
}

// Servers describes the backend servers.
type Servers struct {
	Shards         int // number of services with one shard each; one more service handles plain requests
	Replicas       int // number of backend servers of each service
	Slots          int
	Queue          int
	Connections    int
	ConnectionCost time.Duration
	Work           emulate.ServiceTime
	Pause          emulate.Pause
	Paces          []float64 // service time factors, assigned in turn to the replicas of each service; default 1
	Records        int       // number of records in a part
}

// Stream describes the requests of one kind.
type Stream struct {
	Rate       float64 // requests per second of all callers together
	Timeout    time.Duration
	Aim        time.Duration // target latency
	TopK       int
	LeastShare float64
}

// Arm is one of the settings that are compared.
type Arm struct {
	Name        string
	MaxAttempts int // maximum backend servers tried for one request, per shard
}

// Read reads and checks an experiment file. The error is settings.Faults if the content
// is invalid.
func Read(path string) (Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, err
	}
	return Parse(path, data)
}

// Parse parses and checks the content of an experiment file.
func Parse(file string, data []byte) (Experiment, error) {
	ex := Experiment{Seed: 1}
	tr, fs := settings.Parse(file, data)
	ck := settings.NewChecker(tr, append(fs, tr.Decode(&ex)...))
	ex.check(ck)
	return ex, ck.Faults().Err()
}

const (
	maxInstances = 100
	maxServers   = 1000
	maxRate      = 100_000
)

func (ex Experiment) check(ck *settings.Checker) {
	ck.Name(ex.Name, "Name")
	ex.Tier.Check(ck, maxInstances)
	ex.Servers.Check(ck)
	ex.Merged.Check(ck, "Merged")
	ex.Plain.Check(ck, "Plain")
	settings.Between(ck, ex.Merged.TopK, 1, maxServers, "Merged", "TopK")
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
	ck.Want(ex.Rounds() > 0, "at least one round of all arms", ex.Length, "Length")
}

// Rounds returns how many turns each arm has during the measurement.
func (ex Experiment) Rounds() int { return ex.roundsIn(ex.Length) }

// roundsIn returns how many whole rounds, with one turn of each arm, fit into a duration.
func (ex Experiment) roundsIn(length time.Duration) int {
	round := ex.Block * time.Duration(len(ex.Arms))
	if round <= 0 {
		return 0
	}
	return int(length / round)
}

const (
	host           = "routed.example"
	plainService   = "plain"
	version        = 1
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	headerTimeout  = 3 * time.Second
	idleTimeout    = 30 * time.Second
)

// shards returns the services that hold a shard each.
func (ex Experiment) shards() []string {
	out := make([]string, ex.Servers.Shards)
	for ix := range out {
		out[ix] = fmt.Sprintf("shard-%02d", ix+1)
	}
	return out
}

// Configuration returns the configuration of the tier: for each arm one route for merged
// requests and one for plain requests.
func (ex Experiment) Configuration() emulate.Configuration {
	cf := emulate.Configuration{
		Version: version,
		Limits:  emulate.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout},
	}
	for _, ar := range ex.Arms {
		merged, plain := ex.route(ar, ex.Merged, groupMerged), ex.route(ar, ex.Plain, groupPlain)
		merged.Shards, merged.TopK, merged.LeastShare = ex.shards(), ex.Merged.TopK, ex.Merged.LeastShare
		plain.Service = plainService
		cf.Routes = append(cf.Routes, merged, plain)
	}
	for _, name := range append(ex.shards(), plainService) {
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

// serverConfigs returns the configurations of the backend servers.
func (ex Experiment) serverConfigs() []emulate.Config {
	var out []emulate.Config
	se := ex.Servers
	for _, name := range append(ex.shards(), plainService) {
		for nth := range se.Replicas {
			cf := emulate.Config{
				ID: fmt.Sprintf("%s-%d", name, nth+1), Service: name, DataCentre: ex.Tier.DataCentres[nth%len(ex.Tier.DataCentres)],
				Slots: se.Slots, Queue: se.Queue, Connections: se.Connections, ConnectionCost: se.ConnectionCost,
				ServiceTime: se.Work, Pause: se.Pause, Records: se.Records, ReportLoad: true,
				Seed: ex.Seed*maxServers + uint64(len(out)),
			}
			if len(se.Paces) > 0 {
				cf.ServiceTimeFactor = se.Paces[nth%len(se.Paces)]
			}
			out = append(out, cf)
		}
	}
	return out
}

// Check checks the section Tier of a file.
func (ti Tier) Check(ck *settings.Checker, limit int) {
	settings.Between(ck, ti.Entries, 1, limit, "Tier", "Entries")
	settings.Between(ck, ti.Controls, 1, limit, "Tier", "Controls")
	ck.Want(len(ti.DataCentres) > 0, "at least one data centre", len(ti.DataCentres), "Tier", "DataCentres")
}

// Check checks the section Servers of a file.
func (se Servers) Check(ck *settings.Checker) {
	settings.Between(ck, se.Shards, 1, maxServers, "Servers", "Shards")
	settings.Between(ck, se.Replicas, 1, maxServers, "Servers", "Replicas")
	settings.Between(ck, se.Slots, 1, maxServers, "Servers", "Slots")
	settings.Between(ck, se.Records, 1, maxServers, "Servers", "Records")
	settings.Between(ck, se.Connections, 1, maxRate, "Servers", "Connections")
	ck.Want(se.Work.Median > 0, "a time above 0", se.Work.Median, "Servers", "Work", "Median")
}

// Check checks a section of a file that describes a stream of requests.
func (st Stream) Check(ck *settings.Checker, name string) {
	settings.Between(ck, st.Rate, 0, maxRate, name, "Rate")
	ck.Want(st.Timeout > 0, "a time above 0", st.Timeout, name, "Timeout")
}
