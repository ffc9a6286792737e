package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Check is the name of a check.
type Check string

// The checks.
const (
	CheckStamp           Check = "stamp"       // A response's parts belong to its request and come from known servers.
	CheckShards          Check = "shards"      // The services of the parts are those of one version that was sent before the response.
	CheckDuplicateParts  Check = "twice"       // No service has two parts.
	CheckPartCount       Check = "set"         // The parts and the missing ones together are the shards of such a version.
	CheckRecords         Check = "records"     // The records are the greatest ones of the parts.
	CheckNotRun          Check = "not run"     // A request that got 408, 421, 429 or 503 ran nowhere, neither before nor after.
	CheckOnce            Check = "once"        // A request that is not repeatable ran at most once.
	CheckDrain           Check = "drain"       // No request reaches a server later than the drain time after its draining was acknowledged.
	CheckVersion         Check = "version"     // The version never goes back at one entry instance.
	CheckInForce         Check = "in force"    // Without a fault of control, a version answers all requests sent later than 3 s after its acknowledgement.
	CheckAccepted        Check = "accepted"    // Acknowledged configurations can be read back.
	CheckRefused         Check = "refused"     // An invalid configuration is rejected, and one that is sent again is accepted.
	CheckBudget          Check = "budget"      // Arrivals beyond the first stay within the retry budget in every window, for each service.
	CheckQuarantine      Check = "fatal"       // A request on which three servers have crashed reaches servers in at most three more attempts.
	CheckFalseQuarantine Check = "blame"       // No other request is rejected as one that crashes servers.
	CheckEvacuated       Check = "evacuated"   // No request reaches a server in a data centre later than the drain time after its evacuation was acknowledged.
	CheckConnections     Check = "connections" // The connections of a backend server stay within its limit.
)

// AllChecks returns all checks in the order of the report.
func AllChecks() []Check {
	return []Check{
		CheckStamp, CheckShards, CheckDuplicateParts, CheckPartCount, CheckRecords, CheckNotRun, CheckOnce,
		CheckDrain, CheckVersion, CheckInForce, CheckAccepted, CheckRefused, CheckBudget, CheckConnections, CheckQuarantine, CheckFalseQuarantine, CheckEvacuated,
	}
}

// Violation is one failure of a check.
type Violation struct {
	Check    Check
	At       time.Duration // since the start of the load
	Request  string        `json:",omitempty"`
	Instance string        `json:",omitempty"` // entry instance or backend server
	Detail   string
	UnderWay []string // faults that were active
}

// String returns the check, the time, the request, the instance, the detail and the
// active faults.
func (vi Violation) String() string {
	return fmt.Sprintf("%s at %.3fs, request %q, at %q: %s; under way: %v", vi.Check, vi.At.Seconds(), vi.Request, vi.Instance, vi.Detail, vi.UnderWay)
}

// Tally counts how often a check was evaluated and how often it failed.
type Tally struct {
	Check  Check
	Looked int
	Broken int
}

// Layout is where a version of the configuration routes requests.
type Layout struct {
	Shards []string // services of merged requests
	Plain  string   // service of all other requests
}

// services returns the services of a group of requests.
func (la Layout) services(group string) []string {
	if group == groupMerged {
		return la.Shards
	}
	return []string{la.Plain}
}

// sentVersion is a version that an operator has started to send.
type sentVersion struct {
	version uint64
	layout  Layout
	at      time.Time
}

// maxViolations bounds the violations that are kept per check, so that a check that fails
// often doesn't displace another one; all are counted.
const maxViolations = 8

// Checker receives the events of a run and checks each as it is received. Events may be
// received out of order. It is safe for concurrent use.
type Checker struct {
	cf           Settings
	start        time.Time
	activeFaults func() []string

	mu             sync.Mutex // guards the fields below
	tallies        map[Check]*Tally
	violations     []Violation
	servers        map[string]string    // service of each server, by ID
	dataCentres    map[string]string    // data centre of each server, by ID
	evacuatedSince map[string]time.Time // when control acknowledged the evacuation of a data centre
	sentVersions   []sentVersion        // in the order of the versions
	sentData       map[uint64]string
	acknowledged   []acknowledgement
	control        controlCalm
	entries        map[string]*entryState
	requests       map[string]*request
	drainAckedAt   map[string]time.Time
	resets         map[string]int
	arrivals       map[string]*serviceArrivals
	fatalRequests  map[string]*fatalRequest // requests that crash servers, by path
	firsts         int
	extras         int
}

// entryState is the state of one incarnation of an entry instance.
type entryState struct {
	incarnation int
	minVersion  uint64    // highest version that was certainly in force there
	since       time.Time // when the first request was sent there
}

// NewChecker returns a checker for a run. activeFaults is called for each violation.
func NewChecker(cf Settings, activeFaults func() []string) *Checker {
	ch := &Checker{
		cf: cf, activeFaults: activeFaults, tallies: make(map[Check]*Tally), servers: make(map[string]string),
		dataCentres: make(map[string]string), evacuatedSince: make(map[string]time.Time),
		sentData: make(map[uint64]string), entries: make(map[string]*entryState), requests: make(map[string]*request),
		drainAckedAt: make(map[string]time.Time), resets: make(map[string]int), arrivals: make(map[string]*serviceArrivals),
		fatalRequests: make(map[string]*fatalRequest),
	}
	for _, ck := range AllChecks() {
		ch.tallies[ck] = &Tally{Check: ck}
	}
	return ch
}

// Start records the start of the load.
func (ch *Checker) Start(at time.Time) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.start = at
}

// check counts an evaluation of a check, and a violation unless it held.
func (ch *Checker) check(ck Check, held bool, vi Violation, at time.Time, detail func() string) {
	ch.tallies[ck].Looked++
	if held {
		return
	}
	ch.tallies[ck].Broken++
	if ch.tallies[ck].Broken > maxViolations {
		return
	}
	vi.Check, vi.At, vi.Detail, vi.UnderWay = ck, at.Sub(ch.start), detail(), ch.activeFaults()
	ch.violations = append(ch.violations, vi)
}

// Tallies returns the counts of each check.
func (ch *Checker) Tallies() []Tally {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	var out []Tally
	for _, ck := range AllChecks() {
		out = append(out, *ch.tallies[ck])
	}
	return out
}

// Violations returns the first violations of each check.
func (ch *Checker) Violations() []Violation {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return slices.Clone(ch.violations)
}

// ServerStarted records a backend server before it starts.
func (ch *Checker) ServerStarted(id, service, dataCentre string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.servers[id], ch.dataCentres[id] = service, dataCentre
}

// EvacuationAcknowledged records that the evacuation of a data centre was acknowledged.
// It counts as an evaluation of CheckEvacuated: from now on each arrival there is
// checked, and at best there is none.
func (ch *Checker) EvacuationAcknowledged(dataCentre string, at time.Time) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.evacuatedSince[dataCentre] = at
	ch.check(CheckEvacuated, true, Violation{}, at, nil)
}

// EvacuationEnding records that the evacuation of a data centre is about to be withdrawn.
func (ch *Checker) EvacuationEnding(dataCentre string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	delete(ch.evacuatedSince, dataCentre)
}

// ConfigurationSent records a configuration before an operator sends it for the first
// time.
func (ch *Checker) ConfigurationSent(at time.Time, version uint64, la Layout, data []byte) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.sentVersions = append(ch.sentVersions, sentVersion{version, la, at})
	slices.SortFunc(ch.sentVersions, func(one, other sentVersion) int { return int(one.version) - int(other.version) })
	ch.sentData[version] = string(data)
}

// ConfigurationAcknowledged records that a version was accepted.
func (ch *Checker) ConfigurationAcknowledged(at time.Time, version uint64) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.acknowledged = append(ch.acknowledged, acknowledgement{version, at})
}

// LatestAcknowledged returns the highest version that was acknowledged.
func (ch *Checker) LatestAcknowledged() uint64 {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.latestAcknowledged(time.Time{})
}

// ConfigurationRead checks a configuration that was read: its version must be at least
// before, the highest version acknowledged when the read began, and its data must be what
// was sent as that version. No data means that the read got no response.
func (ch *Checker) ConfigurationRead(at time.Time, before, version uint64, data []byte) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	held := version >= before && len(data) > 0 && ch.sentData[version] == string(data)
	ch.check(CheckAccepted, held, Violation{}, at, func() string {
		return fmt.Sprintf("read version %d with %d bytes; %d was acknowledged before", version, len(data), before)
	})
}

// CheckRefusal records whether a configuration that was invalid or sent again was handled
// correctly.
func (ch *Checker) CheckRefusal(at time.Time, what string, held bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.check(CheckRefused, held, Violation{}, at, func() string { return what })
}

// EntryStarted records a new incarnation of an entry instance, after the previous one has
// exited and before the new one starts.
func (ch *Checker) EntryStarted(entry string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.entries[entry] = &entryState{incarnation: ch.entry(entry).incarnation + 1}
}

func (ch *Checker) entry(entry string) *entryState {
	if ch.entries[entry] == nil {
		ch.entries[entry] = &entryState{}
	}
	return ch.entries[entry]
}
