// Package limit decides what one instance may send: which backend server takes
// a leaf request, how many may be in flight at each, how many extra ones hedges
// and retries may add, and which queries are admitted at all. It holds no
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

// HoldPolicy says when the slot of a request that was given up on is free again.
type HoldPolicy uint8

// The hold policies.
const (
	// UntilProof keeps the slot taken until the server proves that the request
	// has ended, or until HoldBound.
	HoldUntilReleased HoldPolicy = iota
	// FreeAtOnce frees the slot when the request is given up on.
	ReleaseImmediately
)

// DefaultHoldBound is how long a slot is held without proof.
const DefaultHoldTimeout = 2 * time.Second

const (
	// fewCandidates is up to how many candidates are all looked at.
	fewCandidates = 4
	// betterBy is how much better a server must be rated than one that was looked
	// at before it. The order is random, so nearly equal servers share the work.
	betterBy = 1.3
	// pickAttempts bounds how often a choice that another goroutine took from
	// under this one is made again.
	pickAttempts = 4
)

// TableConfig is what a Table is made with. The zero TableConfig is usable.
type TableConfig struct {
	Seed        uint64 // Seed is the seed of the random choices.
	Hold        HoldPolicy
	HoldTimeout time.Duration // HoldBound is zero for the default.
}

// Table holds what is known of each backend server. It is safe for many
// goroutines, and no lock is shared by all of them on the way of a request.
type Table struct {
	ts     *timer.Service
	cf     TableConfig
	draws  atomic.Uint64
	sn     atomic.Pointer[servings]
	mu     sync.Mutex // mu guards the replacement of sn.
	hedges sync.Map   // hedges maps a service's name to its *hedge.
}

// servings is what one view makes of the table. It is never changed.
type servings struct {
	entries   map[string]*entry
	groups    map[string]*group // groups are by service.
	instances int               // instances is how many have the entry role.
	divisor   int               // divisor is what connection limits are divided by.
}

// NewTable returns an empty table.
func NewTable(ts *timer.Service, cf TableConfig) *Table {
	if cf.HoldTimeout <= 0 {
		cf.HoldTimeout = DefaultHoldTimeout
	}
	ta := &Table{ts: ts, cf: cf}
	ta.sn.Store(&servings{entries: make(map[string]*entry), instances: 1})
	return ta
}

// Update takes over the servers of a newer view: new ones start cold, those
// that restarted are cold again, those that left are forgotten.
func (ta *Table) Update(vi *view.View) {
	ta.update(ta.ts.Now(), vi)
}

func (ta *Table) update(now time.Time, vi *view.View) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	old := ta.sn.Load()
	sn := &servings{
		entries:   make(map[string]*entry, len(vi.Servers)),
		groups:    make(map[string]*group, len(vi.Configuration.Services)),
		instances: max(1, len(rank("", vi.Instances))),
		divisor:   vi.Divisor(),
	}
	wanted := newWanted(vi.Configuration.Services)
	for name, se := range vi.Configuration.Services {
		sn.groups[name] = newGroup(se, old.groups[name])
	}
	for ix := range vi.Servers {
		re := &vi.Servers[ix]
		en := ta.entryOf(old, re)
		for se := range wanted.of(re) {
			sn.groups[se.Name].add(en, re)
		}
		sn.entries[re.Server] = en
	}
	for ix := range vi.Servers {
		re := &vi.Servers[ix]
		sn.announce(now, sn.entries[re.Server], re, wanted)
	}
	for name, en := range old.entries {
		if sn.entries[name] == nil {
			en.step(Removed{Now: now})
		}
	}
	ta.sn.Store(sn)
	for _, gr := range sn.groups {
		if gr.due(now) {
			gr.review(now)
		}
	}
}

func (ta *Table) entryOf(sn *servings, re *backend.Record) *entry {
	if en := sn.entries[re.Server]; en != nil {
		return en
	}
	return &entry{rn: rand.New(rand.NewPCG(ta.cf.Seed, weigh("", re.Server)))}
}

// announce steps the entry of a record with it and with the shares that its
// services leave this instance.
func (sn *servings) announce(now time.Time, en *entry, re *backend.Record, wa wanted) {
	var groups []*group
	sharers := 0
	for se := range wa.of(re) {
		gr := sn.groups[se.Name]
		groups = append(groups, gr)
		sharers = max(sharers, gr.sharers(sn.instances))
	}
	if len(groups) == 0 {
		sharers = sn.instances
	}
	en.join(groups)
	en.step(Announced{
		Now: now, Record: *re, MaxConnections: connections(re, sn.divisor), NumSharers: sharers,
	})
}

// connections returns the share of a record that states its limit, and one for
// each slot of one that does not.
func connections(re *backend.Record, divisor int) int {
	if re.ConnectionLimit <= 0 {
		return max(1, re.Slots)
	}
	return ConnectionsPerInstance(re.ConnectionLimit, divisor)
}

// adopt adds a candidate that came with a newer view than the table's.
func (ta *Table) adopt(now time.Time, re *backend.Record) *entry {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	old := ta.sn.Load()
	if en := old.entries[re.Server]; en != nil {
		return en
	}
	sn := *old
	sn.entries = maps.Clone(old.entries)
	en := ta.entryOf(old, re)
	sn.entries[re.Server] = en
	sn.announce(now, en, re, wanted{})
	ta.sn.Store(&sn)
	return en
}

// Pick chooses one of the candidates that is not excluded and takes a slot of
// it: of a few the best, of many the better of two random ones, by what is in
// flight against the limit and by seen latency. A server that is set aside is
// chosen when it is due for a probe; one at a time if it is slow and the others
// are full; and otherwise only when no other candidate is left. Pick returns
// false when none may be sent a request now; Pause says when to ask again.
func (ta *Table) Pick(now time.Time, tactics operator.Tactics, candidates []backend.Record, exclude []string) (Choice, bool) {
	for range pickAttempts {
		ix, en, of := ta.choose(now, tactics, candidates, exclude)
		if ix < 0 {
			return Choice{}, false
		}
		ticket, connections, ok := en.take(now, tactics, of)
		if ok {
			re := candidates[ix]
			return Choice{
				Server: re.Server, Record: re, MaxConnections: connections, Probe: of == overdue, en: en, ticket: ticket,
			}, true
		}
	}
	return Choice{}, false
}

// choose returns the index of the candidate to take, its entry and how it was
// on offer; a negative index if there is none.
func (ta *Table) choose(now time.Time, tactics operator.Tactics, candidates []backend.Record, exclude []string) (int, *entry, offer) {
	if len(candidates) == 0 {
		return -1, nil, closed
	}
	pc := rand.NewPCG(ta.cf.Seed, ta.draws.Add(1))
	first := int(pc.Uint64() % uint64(len(candidates)))
	se := search{ta: ta, now: now, tactics: tactics, candidates: candidates, exclude: exclude, best: -1}
	if len(candidates) <= fewCandidates {
		se.scan(first, len(candidates))
		return se.result()
	}
	se.scan(first, 1)
	if se.found != overdue {
		second := int(pc.Uint64() % uint64(len(candidates)-1))
		se.scan((first+1+second)%len(candidates), 1)
	}
	return se.result()
}

// search is one look through the candidates.
type search struct {
	ta         *Table
	now        time.Time
	tactics    operator.Tactics
	candidates []backend.Record
	exclude    []string

	best  int
	en    *entry
	found offer
	score float64
	full  bool // full says that a candidate is busy now and would take the request later.
}

// scan looks at the candidates in a circle from the given one, until enough of
// them have room.
func (se *search) scan(from, enough int) {
	for step := range se.candidates {
		ix := (from + step) % len(se.candidates)
		re := &se.candidates[ix]
		if slices.Contains(se.exclude, re.Server) {
			continue
		}
		en := se.ta.entry(se.now, re)
		of, score := en.rate(se.now, se.tactics)
		se.full = se.full || of == full
		if of >= spare && (of > se.found || of == se.found && score*betterBy < se.score) {
			se.best, se.en, se.found, se.score = ix, en, of, score
		}
		if of == overdue {
			return
		}
		if of == open {
			if enough--; enough == 0 {
				return
			}
		}
	}
}

// result returns what was found. A spare server is left alone while another is
// only busy: waiting for a slot is better than a server that may not answer.
func (se *search) result() (int, *entry, offer) {
	if se.found == spare && se.full {
		return -1, nil, full
	}
	return se.best, se.en, se.found
}

func (ta *Table) entry(now time.Time, re *backend.Record) *entry {
	if en := ta.sn.Load().entries[re.Server]; en != nil {
		return en
	}
	return ta.adopt(now, re)
}

// Done ends the request of a choice. It frees the slot, or holds it until proof
// when the server may still be at work.
func (ta *Table) Done(now time.Time, ch Choice, oc Outcome) {
	if ch.en == nil {
		return
	}
	var until time.Time
	if oc.Kind.unproven() && !oc.SlotReleased && ta.cf.Hold == HoldUntilReleased {
		until = now.Add(ta.cf.HoldTimeout)
	}
	se, ok := ch.en.done(now, ch.ticket, oc, until)
	if !ok {
		return
	}
	urgent := oc.Kind == Draining || se.failures == failuresSuspected
	for _, gr := range ch.en.memberOf() {
		if urgent || gr.due(now) {
			gr.review(now)
		}
	}
}

// Stopped says that the server has proved that the request of a choice, given
// up on before, holds no slot any more: its late reply came, or the reply to
// its cancellation said so.
func (ta *Table) ReleaseSlot(_ time.Time, ch Choice) {
	if ch.en != nil {
		ch.en.stopped(ch.ticket)
	}
}

// Pause returns how long to wait until one of the candidates may have room, and
// whether any of them may have it at all. A Waiter hears of room earlier.
func (ta *Table) RetryDelay(now time.Time, candidates []backend.Record, exclude []string) (time.Duration, bool) {
	least := mostPause
	able := false
	for ix := range candidates {
		re := &candidates[ix]
		if slices.Contains(exclude, re.Server) {
			continue
		}
		se := ta.entry(now, re).look(now)
		if se.offer(now) == closed {
			continue
		}
		able = true
		wait := time.Duration(se.expected()) / time.Duration(1+se.inFlight)
		if rest := se.rest(now); rest > 0 {
			wait = rest
		}
		least = min(least, max(wait, leastPause))
	}
	return least, able
}

// Server returns what is known of a server, and whether it is in the table.
func (ta *Table) Server(now time.Time, name string) (Server, bool) {
	en := ta.sn.Load().entries[name]
	if en == nil {
		return Server{}, false
	}
	return en.look(now), true
}

// Room returns what the backend servers of a service can take from this
// instance; the zero Room if nothing is known of it.
func (ta *Table) ServiceCapacity(service string) ServiceCapacity {
	gr := ta.sn.Load().groups[service]
	if gr == nil {
		return ServiceCapacity{}
	}
	return *gr.room.Load()
}
