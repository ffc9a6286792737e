package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Check is one of the checks.
type Check string

// The checks.
const (
	CheckStamp           Check = "stamp"       // An answer's parts belong to its request and come from known servers.
	CheckShards          Check = "shards"      // The parts' services are those of one version that was sent before the answer.
	CheckDuplicateParts  Check = "twice"       // No service has two parts.
	CheckPartCount       Check = "set"         // Parts and missing ones together are the shards of such a version.
	CheckRecords         Check = "records"     // The records are the greatest of the parts'.
	CheckNotRun          Check = "not run"     // What was answered with 408, 421, 429 or 503 ran nowhere, neither before nor after.
	CheckOnce            Check = "once"        // A request that may run once only ran at most once.
	CheckDrain           Check = "drain"       // No request reaches a server later than the drain time after its leaving was acknowledged.
	CheckVersion         Check = "version"     // A version never goes back at one entry instance.
	CheckAccepted        Check = "accepted"    // What was acknowledged is read back.
	CheckRefused         Check = "refused"     // An invalid configuration is refused, one that is sent again is taken.
	CheckBudget          Check = "budget"      // Arrivals beyond the first stay within the budget in any window, for each service.
	CheckQuarantine      Check = "fatal"       // A request under which three servers have ended reaches servers in three more attempts at most.
	CheckFalseQuarantine Check = "blame"       // No other request is refused as one under which servers end.
	CheckEvacuated       Check = "evacuated"   // No request reaches a server in a data centre later than the drain time after its evacuation was acknowledged.
	CheckConnections     Check = "connections" // A backend server's connections stay within its limit.
)

// ChecksInOrder returns all checks.
func AllChecks() []Check {
	return []Check{
		CheckStamp, CheckShards, CheckDuplicateParts, CheckPartCount, CheckRecords, CheckNotRun, CheckOnce,
		CheckDrain, CheckVersion, CheckAccepted, CheckRefused, CheckBudget, CheckConnections, CheckQuarantine, CheckFalseQuarantine, CheckEvacuated,
	}
}

// Breach is a check that did not hold once.
type Violation struct {
	Check    Check
	At       time.Duration // At is since the start of the load.
	Request  string        `json:",omitempty"`
	Instance string        `json:",omitempty"` // Instance is the entry instance or the backend server.
	Detail   string
	UnderWay []string // UnderWay are the faults that were under way.
}

// String says what did not hold, when and amid what.
func (br Violation) String() string {
	return fmt.Sprintf("%s at %.3fs, request %q, at %q: %s; under way: %v", br.Check, br.At.Seconds(), br.Request, br.Instance, br.Detail, br.UnderWay)
}

// Tally is how often a check was looked at and did not hold.
type Tally struct {
	Check  Check
	Looked int
	Broken int
}

// Layout is what a version of the configuration leads requests to.
type Layout struct {
	Shards []string // Shards are the services of merged requests.
	Plain  string   // Plain is the service of the others.
}

// of returns the services of a group of requests.
func (la Layout) of(group string) []string {
	if group == groupMerged {
		return la.Shards
	}
	return []string{la.Plain}
}

// offer is a version that an operator began to send.
type offer struct {
	version uint64
	layout  Layout
	at      time.Time
}

// mostBreaches bounds the breaches that are kept of each check, so that one that
// breaks often doesn't hide another; all are counted.
const mostBreaches = 8

// Judge is told what happened and checks it, each thing as it is told. Times may
// come in another order than they were. It is safe for concurrent use.
type Checker struct {
	cf    Settings
	start time.Time
	under func() []string

	mu           sync.Mutex // mu guards what follows.
	tallies      map[Check]*Tally
	breaches     []Violation
	servers      map[string]string    // servers are the services of the servers by id.
	centres      map[string]string    // centres are the data centres of the servers by id.
	evacuated    map[string]time.Time // evacuated is since when data centres are, by the word of control.
	offers       []offer              // offers are in the order of their versions.
	data         map[uint64]string
	acknowledged uint64
	entries      map[string]*entryLife
	requests     map[string]*request
	leaving      map[string]time.Time
	resets       map[string]int
	budgets      map[string]*arrivals
	harms        map[string]*harm // harms are those of requests under which servers end, by path.
	firsts       int
	extras       int
}

// entryLife is one life of an entry instance.
type entryLife struct {
	number int
	floor  uint64 // floor is the highest version that was surely in force there.
}

// NewJudge returns a judge of a run. The faults that are under way are asked for at
// each breach.
func NewChecker(cf Settings, under func() []string) *Checker {
	ju := &Checker{
		cf: cf, under: under, tallies: make(map[Check]*Tally), servers: make(map[string]string),
		centres: make(map[string]string), evacuated: make(map[string]time.Time),
		data: make(map[uint64]string), entries: make(map[string]*entryLife), requests: make(map[string]*request),
		leaving: make(map[string]time.Time), resets: make(map[string]int), budgets: make(map[string]*arrivals),
		harms: make(map[string]*harm),
	}
	for _, ck := range AllChecks() {
		ju.tallies[ck] = &Tally{Check: ck}
	}
	return ju
}

// Begin tells when the load starts.
func (ju *Checker) Start(at time.Time) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	ju.start = at
}

// look counts that a check was looked at, and a breach unless it held.
func (ju *Checker) look(ck Check, held bool, br Violation, at time.Time, detail func() string) {
	ju.tallies[ck].Looked++
	if held {
		return
	}
	ju.tallies[ck].Broken++
	if ju.tallies[ck].Broken > mostBreaches {
		return
	}
	br.Check, br.At, br.Detail, br.UnderWay = ck, at.Sub(ju.start), detail(), ju.under()
	ju.breaches = append(ju.breaches, br)
}

// Tallies returns how often each check was looked at.
func (ju *Checker) Tallies() []Tally {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	var out []Tally
	for _, ck := range AllChecks() {
		out = append(out, *ju.tallies[ck])
	}
	return out
}

// Breaches returns the first breaches of each check.
func (ju *Checker) Violations() []Violation {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	return slices.Clone(ju.breaches)
}

// ServerStarted tells of a backend server before it starts.
func (ju *Checker) ServerStarted(id, service, dataCentre string) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	ju.servers[id], ju.centres[id] = service, dataCentre
}

// Evacuated tells that the evacuation of a data centre was acknowledged. It counts as a
// look: from now on each arrival there is judged, and at best none comes.
func (ju *Checker) EvacuationAcknowledged(dataCentre string, at time.Time) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	ju.evacuated[dataCentre] = at
	ju.look(CheckEvacuated, true, Violation{}, at, nil)
}

// Returning tells that the evacuation of a data centre is about to be withdrawn.
func (ju *Checker) EvacuationEnding(dataCentre string) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	delete(ju.evacuated, dataCentre)
}

// Offered tells of a configuration before an operator sends it for the first time.
func (ju *Checker) ConfigurationSent(at time.Time, version uint64, la Layout, data []byte) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	ju.offers = append(ju.offers, offer{version, la, at})
	slices.SortFunc(ju.offers, func(one, other offer) int { return int(one.version) - int(other.version) })
	ju.data[version] = string(data)
}

// Acknowledged tells that a version was accepted.
func (ju *Checker) ConfigurationAcknowledged(version uint64) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	ju.acknowledged = max(ju.acknowledged, version)
}

// Newest returns the highest version that was acknowledged.
func (ju *Checker) LatestAcknowledged() uint64 {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	return ju.acknowledged
}

// ReadBack tells what was read of the configuration: a version that was
// acknowledged before the read began, or a higher one, with what it was sent with.
// No data stands for a read that nobody answered.
func (ju *Checker) ConfigurationRead(at time.Time, before, version uint64, data []byte) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	held := version >= before && len(data) > 0 && ju.data[version] == string(data)
	ju.look(CheckAccepted, held, Violation{}, at, func() string {
		return fmt.Sprintf("read version %d with %d bytes; %d was acknowledged before", version, len(data), before)
	})
}

// Refused tells what became of a configuration that was invalid or sent again.
func (ju *Checker) CheckRefusal(at time.Time, what string, held bool) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	ju.look(CheckRefused, held, Violation{}, at, func() string { return what })
}

// EntryStarted tells that an entry instance has a new life, after the end of the
// last one and before the start.
func (ju *Checker) EntryStarted(entry string) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	ju.entries[entry] = &entryLife{number: ju.life(entry).number + 1}
}

func (ju *Checker) life(entry string) *entryLife {
	if ju.entries[entry] == nil {
		ju.entries[entry] = &entryLife{}
	}
	return ju.entries[entry]
}
