// Package limit decides what one instance may send: which backend server takes a
// leaf request, how many requests may be in flight to each, how many extra ones
// hedges and retries may add, and which queries are admitted at all. It holds no
// connections and sends nothing.
package limit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
)

// HoldPolicy tells when the slot of an abandoned request becomes free.
type HoldPolicy uint8

// The hold policies.
const (
	// HoldUntilReleased keeps the slot taken until the server confirms that the
	// request has ended, or until HoldTimeout.
	HoldUntilReleased HoldPolicy = iota
	// ReleaseImmediately frees the slot when the request is abandoned.
	ReleaseImmediately
)

// DefaultHoldTimeout is how long a slot is held without confirmation.
const DefaultHoldTimeout = 2 * time.Second

const (
	// maxFullScan is the number of candidates up to which all are evaluated.
	maxFullScan = 4
	// minScoreRatio is by how much a server's score must be better than that of one
	// evaluated before it. The order is random, so nearly equal servers share the
	// load.
	minScoreRatio = 1.3
	// maxPickAttempts bounds how often Pick retries when another goroutine has taken
	// the chosen slot.
	maxPickAttempts = 4
)

// TableConfig configures a Table. The zero value is usable.
type TableConfig struct {
	Seed        uint64 // seed of the random choices
	Hold        HoldPolicy
	HoldTimeout time.Duration // zero means DefaultHoldTimeout
}

// Table holds this instance's view of each backend server. It is safe for
// concurrent use, and on the path of a request goroutines share no lock of the
// whole table.
type Table struct {
	ts         *timer.Service
	cf         TableConfig
	numPicks   atomic.Uint64
	st         atomic.Pointer[tableState]
	mu         sync.Mutex // guards the replacement of st
	estimators sync.Map   // *delayEstimator by service name
}

// tableState is the state derived from one view. It is immutable.
type tableState struct {
	servers           map[string]*serverEntry
	groups            map[string]*group // by service
	numInstances      int               // instances that have the entry role
	connectionDivisor int               // connection limits are divided by this
}

// NewTable returns an empty table.
func NewTable(ts *timer.Service, cf TableConfig) *Table {
	if cf.HoldTimeout <= 0 {
		cf.HoldTimeout = DefaultHoldTimeout
	}
	ta := &Table{ts: ts, cf: cf}
	ta.st.Store(&tableState{servers: make(map[string]*serverEntry), numInstances: 1})
	return ta
}

// Update applies the servers of a newer view: new and restarted servers start
// cold, and those that left are removed.
func (ta *Table) Update(vi *view.View) {
	ta.update(ta.ts.Now(), vi)
}

func (ta *Table) update(now time.Time, vi *view.View) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	old := ta.st.Load()
	st := &tableState{
		servers:           make(map[string]*serverEntry, len(vi.Servers)),
		groups:            make(map[string]*group, len(vi.Configuration.Services)),
		numInstances:      max(1, len(rankInstances("", vi.Instances))),
		connectionDivisor: vi.Divisor(),
	}
	selectors := newSelectorIndex(vi.Configuration.Services)
	for name, se := range vi.Configuration.Services {
		st.groups[name] = newGroup(se, old.groups[name])
	}
	for ix := range vi.Servers {
		re := &vi.Servers[ix]
		en := ta.entryFor(old, re)
		for se := range selectors.servicesOf(re) {
			st.groups[se.Name].add(en, re)
		}
		st.servers[re.Server] = en
	}
	for ix := range vi.Servers {
		re := &vi.Servers[ix]
		st.announce(now, st.servers[re.Server], re, selectors)
	}
	for name, en := range old.servers {
		if st.servers[name] == nil {
			en.step(Removed{Now: now})
		}
	}
	ta.st.Store(st)
	for _, gr := range st.groups {
		if gr.claimReview(now) {
			gr.review(now)
		}
	}
}

func (ta *Table) entryFor(st *tableState, re *backend.Record) *serverEntry {
	if en := st.servers[re.Server]; en != nil {
		return en
	}
	return &serverEntry{rn: rand.New(rand.NewPCG(ta.cf.Seed, hash("", re.Server)))}
}

// announce updates the entry of a record with the record and with this
// instance's shares under the services that select it.
func (st *tableState) announce(now time.Time, en *serverEntry, re *backend.Record, si selectorIndex) {
	var groups []*group
	numSharers := 0
	for se := range si.servicesOf(re) {
		gr := st.groups[se.Name]
		groups = append(groups, gr)
		numSharers = max(numSharers, gr.numSharers(st.numInstances))
	}
	if len(groups) == 0 {
		numSharers = st.numInstances
	}
	en.setGroups(groups)
	en.step(Announced{
		Now: now, Record: *re, MaxConnections: connectionShare(re, st.connectionDivisor), NumSharers: numSharers,
	})
}

// connectionShare returns this instance's share of the record's connection
// limit. A record without a limit counts as one connection for each slot.
func connectionShare(re *backend.Record, divisor int) int {
	if re.ConnectionLimit <= 0 {
		return max(1, re.Slots)
	}
	return ConnectionsPerInstance(re.ConnectionLimit, divisor)
}

// addServer adds a candidate from a view that is newer than the table's.
func (ta *Table) addServer(now time.Time, re *backend.Record) *serverEntry {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	old := ta.st.Load()
	if en := old.servers[re.Server]; en != nil {
		return en
	}
	st := *old
	st.servers = maps.Clone(old.servers)
	en := ta.entryFor(old, re)
	st.servers[re.Server] = en
	st.announce(now, en, re, selectorIndex{})
	ta.st.Store(&st)
	return en
}

// Pick chooses one of the candidates that are not excluded and takes one of its
// slots. Of a few candidates it chooses the best, of many the better of two
// random ones, by requests in flight relative to the limit and by observed
// latency. An ejected server is chosen if it is due for a probe; if it is slow
// and the others are full, one request at a time; and otherwise only if no other
// candidate is left. Pick returns false if no candidate can take a request now;
// RetryDelay returns when to try again.
func (ta *Table) Pick(now time.Time, tactics operator.Tactics, candidates []backend.Record, exclude []string) (Choice, bool) {
	for range maxPickAttempts {
		ix, en, av := ta.choose(now, tactics, candidates, exclude)
		if ix < 0 {
			return Choice{}, false
		}
		id, connections, ok := en.reserve(now, tactics, av)
		if ok {
			re := candidates[ix]
			return Choice{
				Server: re.Server, Record: re, MaxConnections: connections, Probe: av == probeDue, en: en, id: id,
			}, true
		}
	}
	return Choice{}, false
}

// choose returns the index, entry and availability of the best candidate. The
// index is negative if there is none.
func (ta *Table) choose(now time.Time, tactics operator.Tactics, candidates []backend.Record, exclude []string) (int, *serverEntry, availability) {
	if len(candidates) == 0 {
		return -1, nil, unavailable
	}
	pc := rand.NewPCG(ta.cf.Seed, ta.numPicks.Add(1))
	first := int(pc.Uint64() % uint64(len(candidates)))
	cs := candidateSearch{ta: ta, now: now, tactics: tactics, candidates: candidates, exclude: exclude, bestIndex: -1}
	if len(candidates) <= maxFullScan {
		cs.scan(first, len(candidates))
		return cs.result()
	}
	cs.scan(first, 1)
	if cs.bestAvailability != probeDue {
		second := int(pc.Uint64() % uint64(len(candidates)-1))
		cs.scan((first+1+second)%len(candidates), 1)
	}
	return cs.result()
}

// candidateSearch is one search through the candidates.
type candidateSearch struct {
	ta         *Table
	now        time.Time
	tactics    operator.Tactics
	candidates []backend.Record
	exclude    []string

	bestIndex        int
	en               *serverEntry
	bestAvailability availability
	score            float64
	anyFull          bool // whether a candidate is full now but would take the request later
}

// scan evaluates the candidates in order, starting at the given index and
// wrapping around, until it has found maxAvailable ones that are available, or
// one that is due for a probe.
func (cs *candidateSearch) scan(from, maxAvailable int) {
	for step := range cs.candidates {
		ix := (from + step) % len(cs.candidates)
		re := &cs.candidates[ix]
		if slices.Contains(cs.exclude, re.Server) {
			continue
		}
		en := cs.ta.lookUp(cs.now, re)
		av, score := en.evaluate(cs.now, cs.tactics)
		cs.anyFull = cs.anyFull || av == full
		if av >= lastResort && (av > cs.bestAvailability || av == cs.bestAvailability && score*minScoreRatio < cs.score) {
			cs.bestIndex, cs.en, cs.bestAvailability, cs.score = ix, en, av, score
		}
		if av == probeDue {
			return
		}
		if av == available {
			if maxAvailable--; maxAvailable == 0 {
				return
			}
		}
	}
}

// result returns the best candidate. A last-resort server is not used while
// another one is merely full: waiting for a slot is better than a server that
// may not answer.
func (cs *candidateSearch) result() (int, *serverEntry, availability) {
	if cs.bestAvailability == lastResort && cs.anyFull {
		return -1, nil, full
	}
	return cs.bestIndex, cs.en, cs.bestAvailability
}

func (ta *Table) lookUp(now time.Time, re *backend.Record) *serverEntry {
	if en := ta.st.Load().servers[re.Server]; en != nil {
		return en
	}
	return ta.addServer(now, re)
}

// Done ends the request of a choice. It frees the slot, or holds it until
// confirmation if the server may still be working on the request.
func (ta *Table) Done(now time.Time, ch Choice, oc Outcome) {
	if ch.en == nil {
		return
	}
	var heldUntil time.Time
	if oc.Kind.mayHoldSlot() && !oc.SlotReleased && ta.cf.Hold == HoldUntilReleased {
		heldUntil = now.Add(ta.cf.HoldTimeout)
	}
	se, ok := ch.en.finish(now, ch.id, oc, heldUntil)
	if !ok {
		return
	}
	urgent := oc.Kind == Draining || se.consecutiveFailures == failureThreshold
	for _, gr := range ch.en.loadGroups() {
		if urgent || gr.claimReview(now) {
			gr.review(now)
		}
	}
}

// ReleaseSlot records that the server has confirmed that an abandoned request
// holds no slot any more: its late reply came, or the reply to its cancellation
// said so.
func (ta *Table) ReleaseSlot(_ time.Time, ch Choice) {
	if ch.en != nil {
		ch.en.releaseSlot(ch.id)
	}
}

// RetryDelay returns how long to wait until one of the candidates may have
// capacity, and whether any of them may have it at all. A Waiter is notified of
// capacity earlier.
func (ta *Table) RetryDelay(now time.Time, candidates []backend.Record, exclude []string) (time.Duration, bool) {
	minDelay := maxPause
	possible := false
	for ix := range candidates {
		re := &candidates[ix]
		if slices.Contains(exclude, re.Server) {
			continue
		}
		se := ta.lookUp(now, re).current(now)
		if se.availability(now) == unavailable {
			continue
		}
		possible = true
		wait := time.Duration(se.expectedLatency()) / time.Duration(1+se.inFlight)
		if delay := se.sendDelay(now); delay > 0 {
			wait = delay
		}
		minDelay = min(minDelay, max(wait, minPause))
	}
	return minDelay, possible
}

// Server returns the view of a server, and whether the table contains it.
func (ta *Table) Server(now time.Time, name string) (Server, bool) {
	en := ta.st.Load().servers[name]
	if en == nil {
		return Server{}, false
	}
	return en.current(now), true
}

// ServiceCapacity returns what the backend servers of a service can take from
// this instance; the zero value if unknown.
func (ta *Table) ServiceCapacity(service string) ServiceCapacity {
	gr := ta.st.Load().groups[service]
	if gr == nil {
		return ServiceCapacity{}
	}
	return *gr.capacity.Load()
}
