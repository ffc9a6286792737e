package limit

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
)

// simConfig configures a run of the discrete-event simulation. Entry instances
// run the code of this package on simulated time and share the slots of a few
// leafs, one for each shard of every query.
type simConfig struct {
	entries, leafs, slots int
	load                  func(at time.Duration) float64 // arrival rate as a fraction of the slots' capacity
	length, deadline      time.Duration
	hop                   time.Duration // one-way latency between any two machines
	scheme                scheme
	tactics               operator.Tactics
	admission             *AdmissionConfig // nil: no queue at the entry instance
	replicas              int              // servers per leaf; zero means one
	slowdown              float64          // how many times slower the first server is for four seconds
	retry                 bool             // whether abandoned requests are sent again
	leafQueue             int              // requests that wait at a leaf before others are shed
	slowFraction          float64          // fraction of leaf requests that take ten times as long
	requestTimeout        time.Duration    // when a late request is abandoned; zero means never
	cancelDelay           time.Duration    // how long the leaf continues to work on abandoned requests
	hold                  HoldPolicy
	seed                  uint64
}

// scheme tells who may send to a leaf.
type scheme uint8

const (
	direct scheme = iota // every entry instance sends according to its own table
	lent                 // an entry instance borrows a slot from the leaf's owner
	relay                // all requests go through one entry instance that holds all connections
)

const simService = 5 * time.Millisecond

// simResult is the result of a simulation.
type simResult struct {
	useful, sent, shed, messages int
	latencies, refusals          []time.Duration
	bySecond                     [16]int // useful answers
}

type simEvent struct {
	at time.Time
	do func()
}

type sim struct {
	simConfig
	simResult
	now    time.Time
	events []simEvent // by time in descending order, the next event last
	rn     *rand.Rand
	leafs  []*simLeaf
	nodes  []*simEntry
}

type simLeaf struct {
	sm        *sim
	records   []backend.Record
	busy      map[string]int
	waiting   map[string][]func()
	numLent   int      // slots lent by the owner
	lendQueue []func() // entry instances that wait for the owner
}

type simEntry struct {
	sm      *sim
	ta      *Table
	qu      *queue
	waiting [][]*simRequest // by leaf
	paused  []bool
}

type simQuery struct {
	at, from          *simEntry // from is where the query arrived, at is where it fans out
	arrived, deadline time.Time
	pendingShards     int
	finished          bool
	qy                *query
}

type simRequest struct {
	qu   *simQuery
	leaf *simLeaf
	ix   int
}

// run runs the simulation.
func (sc simConfig) run() simResult {
	sm := &sim{simConfig: sc, now: t0, rn: rand.New(rand.NewPCG(sc.seed, 1))}
	entries := sc.entries
	if sc.scheme == relay {
		entries = 1
	}
	vi := viewOf(sc.leafs*max(1, sc.replicas), sc.leafs, sc.slots, entries)
	for ix := range sc.leafs {
		le := &simLeaf{sm: sm, busy: make(map[string]int), waiting: make(map[string][]func())}
		for at := ix; at < len(vi.Servers); at += sc.leafs {
			le.records = append(le.records, vi.Servers[at])
		}
		sm.leafs = append(sm.leafs, le)
	}
	for ix := range sc.entries {
		en := &simEntry{sm: sm, waiting: make([][]*simRequest, sc.leafs), paused: make([]bool, sc.leafs)}
		en.ta = NewTable(nil, TableConfig{Seed: sc.seed*1000 + uint64(ix), Hold: sc.hold, HoldTimeout: 20 * simService})
		en.ta.update(sm.now, vi)
		if sc.admission != nil {
			cf := *sc.admission
			cf.ServiceCapacity = en.ta.ServiceCapacity
			en.qu = newQueue(cf.withDefaults())
		}
		sm.nodes = append(sm.nodes, en)
	}
	sm.arrivals()
	for len(sm.events) > 0 {
		ev := sm.events[len(sm.events)-1]
		sm.events = sm.events[:len(sm.events)-1]
		sm.now = ev.at
		ev.do()
	}
	return sm.simResult
}

func (sm *sim) after(delay time.Duration, do func()) {
	ev := simEvent{sm.now.Add(delay), do}
	ix, _ := slices.BinarySearchFunc(sm.events, ev, func(old, ev simEvent) int {
		return ev.at.Compare(old.at)
	})
	sm.events = slices.Insert(sm.events, ix, ev)
}

// arrivals schedules a Poisson process over all entry instances.
func (sm *sim) arrivals() {
	elapsed := sm.now.Sub(t0)
	if elapsed >= sm.length {
		return
	}
	gap := sm.rn.ExpFloat64() * float64(simService) / float64(sm.slots*max(1, sm.replicas)) / sm.load(elapsed)
	sm.after(time.Duration(gap), func() {
		sm.arrive(sm.nodes[sm.rn.IntN(len(sm.nodes))])
		sm.arrivals()
	})
}

func (sm *sim) arrive(en *simEntry) {
	qu := &simQuery{at: en, from: en, arrived: sm.now, deadline: sm.now.Add(sm.deadline), pendingShards: len(sm.leafs)}
	sm.after(sm.deadline, func() { sm.finish(qu, false) })
	switch {
	case sm.scheme == relay && en != sm.nodes[0]:
		qu.at = sm.nodes[0]
		sm.messages += 2
		sm.after(sm.hop, qu.fanOut)
	case en.qu != nil:
		en.admit(qu)
	default:
		qu.fanOut()
	}
}

func (en *simEntry) admit(qu *simQuery) {
	sm := en.sm
	refuse := func() {
		qu.finished = true
		sm.refusals = append(sm.refusals, sm.now.Sub(qu.arrived))
	}
	qu.qy, _ = en.qu.enqueue(sm.now, "s", 1, len(sm.leafs), qu.deadline)
	switch {
	case qu.qy == nil:
		refuse()
	case qu.qy.state == running:
		qu.fanOut()
	default:
		qu.qy.onDecision = func() {
			if qu.qy.state == expired {
				refuse()
				return
			}
			sm.after(0, qu.fanOut)
		}
		sm.after(qu.qy.latest.Sub(sm.now)+1, func() { en.qu.advance(sm.now) })
	}
}

func (qu *simQuery) fanOut() {
	for ix, le := range qu.at.sm.leafs {
		rq := &simRequest{qu, le, ix}
		if qu.at.sm.scheme == lent {
			qu.at.borrowSlot(rq)
			continue
		}
		qu.at.waiting[ix] = append(qu.at.waiting[ix], rq)
		qu.at.sendWaiting(ix)
	}
}

// tooLate reports whether the request can no longer be answered in time.
func (rq *simRequest) tooLate(now time.Time) bool {
	return rq.qu.finished || now.Add(2*simService).After(rq.qu.deadline)
}

// sendWaiting sends the requests that wait for a leaf, as far as the table
// allows.
func (en *simEntry) sendWaiting(ix int) {
	sm := en.sm
	for len(en.waiting[ix]) > 0 {
		rq := en.waiting[ix][0]
		if rq.tooLate(sm.now) {
			en.waiting[ix] = en.waiting[ix][1:]
			continue
		}
		ch, ok := en.ta.Pick(sm.now, sm.tactics, rq.leaf.records, nil)
		if !ok {
			en.pause(rq)
			return
		}
		en.waiting[ix] = en.waiting[ix][1:]
		en.send(rq, ch)
	}
}

func (en *simEntry) pause(rq *simRequest) {
	if en.paused[rq.ix] {
		return
	}
	en.paused[rq.ix] = true
	wait, _ := en.ta.RetryDelay(en.sm.now, rq.leaf.records, nil)
	en.sm.after(wait, func() {
		en.paused[rq.ix] = false
		en.sendWaiting(rq.ix)
	})
}

func (en *simEntry) send(rq *simRequest, ch Choice) {
	sm, sent := en.sm, en.sm.now
	ended, cancelled := false, false
	end := func(ki OutcomeKind) {
		ended = true
		if cancelled {
			en.ta.ReleaseSlot(sm.now, ch)
		} else {
			en.ta.Done(sm.now, ch, Outcome{Kind: ki, Latency: sm.now.Sub(sent)})
			en.replied(rq, ki)
		}
		en.sendWaiting(rq.ix)
	}
	service := sm.service(ch.Server)
	if sm.requestTimeout > 0 && 2*sm.hop+service > sm.requestTimeout {
		service = min(service, sm.requestTimeout+sm.cancelDelay)
		sm.after(sm.requestTimeout, func() {
			if !ended {
				cancelled = true
				en.ta.Done(sm.now, ch, Outcome{Kind: Cancelled, Latency: sm.requestTimeout})
				en.replied(rq, Cancelled)
				en.sendWaiting(rq.ix)
			}
		})
	}
	sm.sent++
	sm.after(sm.hop, func() {
		rq.leaf.serve(ch.Server, service, func(ki OutcomeKind) {
			sm.after(sm.hop, func() { end(ki) })
		})
	})
}

// replied continues the query: a shed request goes back to the front of the
// queue. An abandoned one counts as answered elsewhere unless it is retried.
func (en *simEntry) replied(rq *simRequest, ki OutcomeKind) {
	sm := en.sm
	if ki == Shed || ki == Cancelled && sm.retry {
		requeue := func() { en.waiting[rq.ix] = slices.Insert(en.waiting[rq.ix], 0, rq) }
		if sm.tactics != operator.Baseline {
			requeue()
			return
		}
		sm.after(time.Duration((0.5+sm.rn.Float64())*float64(simService)), func() {
			requeue()
			en.sendWaiting(rq.ix)
		})
		return
	}
	rq.qu.pendingShards--
	switch {
	case rq.qu.pendingShards > 0:
	case rq.qu.at != rq.qu.from:
		sm.after(sm.hop, func() { sm.finish(rq.qu, true) })
	default:
		sm.finish(rq.qu, true)
	}
}

func (sm *sim) finish(qu *simQuery, useful bool) {
	if qu.finished {
		return
	}
	qu.finished = true
	if useful {
		sm.useful++
		sm.bySecond[sm.now.Sub(t0)/time.Second]++
		sm.latencies = append(sm.latencies, sm.now.Sub(qu.arrived))
	}
	if qu.qy != nil {
		qu.at.qu.end(sm.now, qu.qy)
	}
}

// service draws a lognormal service time.
func (sm *sim) service(server string) time.Duration {
	const sigma = 0.4
	se := float64(simService) * math.Exp(sigma*sm.rn.NormFloat64()-sigma*sigma/2)
	if sm.rn.Float64() < sm.slowFraction {
		se *= 10
	}
	if at := sm.now.Sub(t0); sm.slowdown > 0 && server == "a" && at >= 2*time.Second && at < 6*time.Second {
		se *= sm.slowdown
	}
	return time.Duration(se)
}

func (le *simLeaf) serve(server string, service time.Duration, reply func(ki OutcomeKind)) {
	begin := func() {
		le.busy[server]++
		le.sm.after(service, func() {
			le.busy[server]--
			reply(OK)
			if ws := le.waiting[server]; len(ws) > 0 {
				le.waiting[server] = ws[1:]
				ws[0]()
			}
		})
	}
	switch {
	case le.busy[server] < le.sm.slots:
		begin()
	case len(le.waiting[server]) < le.sm.leafQueue:
		le.waiting[server] = append(le.waiting[server], begin)
	default:
		le.sm.shed++
		reply(Shed)
	}
}

// borrowSlot borrows a slot from the leaf's owner and returns it after the
// reply. This takes three messages between instances.
func (en *simEntry) borrowSlot(rq *simRequest) {
	sm, le := en.sm, rq.leaf
	sm.messages += 3
	granted := func() {
		if rq.tooLate(sm.now) {
			sm.after(sm.hop, le.release)
			return
		}
		sm.sent++
		sm.after(sm.hop, func() {
			le.serve("a", sm.service("a"), func(OutcomeKind) {
				sm.after(sm.hop, func() {
					en.replied(rq, OK)
					sm.after(sm.hop, le.release)
				})
			})
		})
	}
	sm.after(sm.hop, func() {
		le.lendQueue = append(le.lendQueue, func() { sm.after(sm.hop, granted) })
		le.grantSlots()
	})
}

func (le *simLeaf) grantSlots() {
	for le.numLent < le.sm.slots && len(le.lendQueue) > 0 {
		next := le.lendQueue[0]
		le.lendQueue = le.lendQueue[1:]
		le.numLent++
		next()
	}
}

func (le *simLeaf) release() {
	le.numLent--
	le.grantSlots()
}

// quantileMillis returns a quantile in milliseconds.
func quantileMillis(ds []time.Duration, qu float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[int(qu*float64(len(ds)-1))].Seconds() * 1000
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// surge is twice the capacity from the third to the sixth second, and half of it
// otherwise.
func surge(at time.Duration) float64 {
	if at >= 2*time.Second && at < 6*time.Second {
		return 2
	}
	return 0.5
}
