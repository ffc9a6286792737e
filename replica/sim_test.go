package replica

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/budget"
	"balsamwinch.example/registry"
)

// scenario configures one run of a discrete-event simulation on virtual time. Entry
// instances that run the code of this package send a request to one replica of every shard
// for each query, and to a second one after the hedge delay. They share the replicas.
type scenario struct {
	name                string
	entries, shards     int
	slots, queue        int
	queriesPerSecond    float64 // queriesPerSecond is the total of all entry instances.
	works               []simWork
	speeds              []float64
	pause, pauseEvery   time.Duration
	slow                []simSlow
	failing             []simFailing
	hop, farHop         time.Duration // hop is the one-way delay within a data centre, farHop between two.
	handshake           time.Duration
	length, measureFrom time.Duration // measureFrom is when measuring begins.
	ratio               float64
	slack               int
	budgetFraction      float64
	seed                uint64
}

// simWork is a kind of query. The work of a request is lognormal.
type simWork struct {
	name             string
	fraction         float64
	mean, spread     float64
	tail, tailFactor float64
	target           time.Duration
}

// simSlow makes a fraction of the servers slower for a time.
type simSlow struct {
	from, until      time.Duration
	fraction, factor float64
}

// simFailing makes a fraction of the servers refuse or fail a fraction of their requests
// for a time.
type simFailing struct {
	from, until                     time.Duration
	serverFraction, requestFraction float64
	outcome                         Outcome
}

// policy is how a replica is chosen.
type policy uint8

const (
	randomChoice  policy = iota // randomChoice chooses any replica and never hedges.
	randomHedged                // randomHedged chooses any replica, and another one after the hedge delay.
	learnedChoice               // learnedChoice uses this package.
)

func (po policy) String() string { return [...]string{"random", "random+hedge", "learned"}[po] }

type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type simEvents []simEvent

func (ev simEvents) Len() int { return len(ev) }
func (ev simEvents) Less(ix, iy int) bool {
	return ev[ix].at < ev[iy].at || ev[ix].at == ev[iy].at && ev[ix].sequence < ev[iy].sequence
}
func (ev simEvents) Swap(ix, iy int) { ev[ix], ev[iy] = ev[iy], ev[ix] }
func (ev *simEvents) Push(it any)    { *ev = append(*ev, it.(simEvent)) }
func (ev *simEvents) Pop() any {
	last := len(*ev) - 1
	it := (*ev)[last]
	*ev = (*ev)[:last]
	return it
}

type sim struct {
	scenario
	policy   policy
	now      time.Duration
	events   simEvents
	sequence int
	rn       *rand.Rand
	servers  [][]*simServer // servers are by shard.
	members  []*simEntry

	latencies         [][]time.Duration // latencies of the slowest shards, by work.
	requests, hedges  int
	overdue, failures int
	budgetDenied      int
}

type simServer struct {
	sm      *sim
	record  registry.Server
	speed   float64
	phase   time.Duration
	slow    []simSlow
	failing []simFailing
	busy    int
	waiting []*simRequest
}

type simRequest struct {
	work              float64
	started, canceled bool
	done              func(outcome Outcome)
}

type simEntry struct {
	ba     *Balancer
	bu     *budget.Budget
	centre string
}

var simStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (sm *sim) clock() time.Time { return simStart.Add(sm.now) }

func (sm *sim) after(de time.Duration, action func()) {
	sm.sequence++
	heap.Push(&sm.events, simEvent{at: sm.now + de, sequence: sm.sequence, run: action})
}

func newSim(sc scenario, po policy) *sim {
	sm := &sim{scenario: sc, policy: po, rn: rand.New(rand.NewPCG(sc.seed, 1))}
	sm.latencies = make([][]time.Duration, len(sc.works))
	records := make(map[string][]registry.Server)
	for sh := range sc.shards {
		speeds := slices.Clone(sc.speeds)
		sm.rn.Shuffle(len(speeds), func(ix, iy int) { speeds[ix], speeds[iy] = speeds[iy], speeds[ix] })
		var replicas []*simServer
		for re, speed := range speeds {
			service := fmt.Sprintf("shard-%d", sh)
			se := &simServer{sm: sm, speed: speed, record: registry.Server{
				ID: fmt.Sprintf("%s-%d", service, re), Service: service, Slots: sc.slots,
				DataCentre: fmt.Sprintf("centre-%d", re),
			}}
			if sc.pauseEvery > 0 {
				se.phase = time.Duration(sm.rn.Int64N(int64(sc.pauseEvery)))
			}
			records[service] = append(records[service], se.record)
			replicas = append(replicas, se)
		}
		sm.servers = append(sm.servers, replicas)
	}
	sm.assignFaults()
	for en := range sc.entries {
		centre := fmt.Sprintf("centre-%d", en%len(sc.speeds))
		me := &simEntry{
			ba:     New(Config{DataCentre: centre, Seed: sc.seed + uint64(en)}),
			bu:     budget.New(budget.Config{Ratio: sc.ratio, Slack: sc.slack, Window: 10 * time.Second, Fraction: sc.budgetFraction}, simStart),
			centre: centre,
		}
		me.bu.SetNumEntries(simStart, sc.entries)
		me.ba.Update(simStart, records)
		sm.members = append(sm.members, me)
	}
	return sm
}

// assignFaults assigns the slow and failing spans to servers of different shards.
func (sm *sim) assignFaults() {
	for _, sl := range sm.slow {
		for _, replicas := range sm.servers {
			for _, se := range replicas {
				if sm.rn.Float64() < sl.fraction {
					se.slow = append(se.slow, sl)
					break
				}
			}
		}
	}
	for _, fa := range sm.failing {
		for _, replicas := range sm.servers {
			for _, se := range replicas {
				if sm.rn.Float64() < fa.serverFraction {
					se.failing = append(se.failing, fa)
					break
				}
			}
		}
	}
}

// finish returns when work that starts now is done; no work is done in pauses.
func (se *simServer) finish(work float64) time.Duration {
	sm := se.sm
	factor := se.speed
	for _, sl := range se.slow {
		if sm.now >= sl.from && sm.now < sl.until {
			factor *= sl.factor
		}
	}
	left := time.Duration(work * factor * float64(time.Millisecond))
	if sm.pauseEvery == 0 {
		return sm.now + left
	}
	at := sm.now
	for {
		in := (at + sm.pauseEvery - se.phase) % sm.pauseEvery
		if in < sm.pause {
			at += sm.pause - in
			continue
		}
		if until := sm.pauseEvery - in; left > until {
			left -= until
			at += until
			continue
		}
		return at + left
	}
}

func (se *simServer) receive(rq *simRequest) {
	for _, fa := range se.failing {
		if se.sm.now >= fa.from && se.sm.now < fa.until && se.sm.rn.Float64() < fa.requestFraction {
			rq.done(fa.outcome)
			return
		}
	}
	switch {
	case se.busy < se.sm.slots:
		se.start(rq)
	case len(se.waiting) >= se.sm.queue:
		rq.done(Shed)
	default:
		se.waiting = append(se.waiting, rq)
	}
}

func (se *simServer) start(rq *simRequest) {
	se.busy++
	rq.started = true
	se.sm.after(se.finish(rq.work)-se.sm.now, func() {
		if rq.canceled {
			return
		}
		rq.started = false
		rq.done(Served)
		se.release()
	})
}

func (se *simServer) release() {
	se.busy--
	for len(se.waiting) > 0 && se.busy < se.sm.slots {
		rq := se.waiting[0]
		se.waiting = se.waiting[1:]
		if !rq.canceled {
			se.start(rq)
		}
	}
}

// cancel closes the connection of a request. Its slot becomes free after the handshake of
// the next connection.
func (se *simServer) cancel(rq *simRequest) {
	if rq.canceled {
		return
	}
	rq.canceled = true
	if rq.started {
		se.sm.after(se.sm.handshake, se.release)
	}
}

func (sm *sim) run() {
	sm.arrive()
	for len(sm.events) > 0 {
		ev := heap.Pop(&sm.events).(simEvent)
		sm.now = ev.at
		ev.run()
	}
}

// arrive generates queries until the end.
func (sm *sim) arrive() {
	sm.after(time.Duration(sm.rn.ExpFloat64()/sm.queriesPerSecond*float64(time.Second)), func() {
		if sm.now < sm.length {
			sm.query()
			sm.arrive()
		}
	})
}

func (sm *sim) query() {
	en := sm.members[sm.rn.IntN(len(sm.members))]
	kind, part := 0, sm.rn.Float64()
	for kind < len(sm.works)-1 && part >= sm.works[kind].fraction {
		part -= sm.works[kind].fraction
		kind++
	}
	start, left := sm.now, sm.shards
	for sh := range sm.shards {
		sr := &simShardRequest{sm: sm, en: en, shard: sh, work: &sm.works[kind], start: start}
		sr.end = func() {
			if left--; left == 0 && start >= sm.measureFrom {
				sm.latencies[kind] = append(sm.latencies[kind], sm.now-start)
			}
		}
		sr.begin()
	}
}

// simShardRequest is the request of one query for one shard.
type simShardRequest struct {
	sm       *sim
	en       *simEntry
	shard    int
	work     *simWork
	start    time.Duration
	attempts []*simAttempt
	tried    []string
	finished bool
	end      func()
}

type simAttempt struct {
	pk   Pick
	se   *simServer
	rq   *simRequest
	done bool
}

func (sr *simShardRequest) request() Request {
	return Request{Service: fmt.Sprintf("shard-%d", sr.shard), Class: sr.work.name, Avoid: sr.tried}
}

func (sr *simShardRequest) begin() {
	sm := sr.sm
	sm.requests++
	sr.en.bu.CountRequest(sm.clock(), sr.request().Service)
	at := sr.send()
	if sm.policy == randomChoice {
		return
	}
	sm.after(sr.delay(at), func() {
		if sr.finished || at.done {
			return
		}
		sr.en.ba.Overdue(sm.clock(), at.pk)
		sm.overdue++
		sr.sendExtra()
	})
}

func (sr *simShardRequest) delay(at *simAttempt) time.Duration {
	if sr.sm.policy == learnedChoice {
		return sr.en.ba.HedgeDelay(sr.sm.clock(), sr.request(), at.pk)
	}
	ba := sr.en.ba
	return ba.class(ba.at(sr.sm.clock()), Request{Class: sr.work.name}).hedgeDelay(ba.latest)
}

// sendExtra sends the request to a second server if the budget allows it.
func (sr *simShardRequest) sendExtra() {
	if len(sr.attempts) >= 2 {
		return
	}
	if !sr.en.bu.Spend(sr.sm.clock(), sr.request().Service) {
		sr.sm.budgetDenied++
		return
	}
	sr.sm.hedges++
	sr.send()
}

func (sr *simShardRequest) choose() Pick {
	ba, rq := sr.en.ba, sr.request()
	if sr.sm.policy == learnedChoice {
		pk, _ := ba.Choose(sr.sm.clock(), rq)
		return pk
	}
	at := ba.at(sr.sm.clock())
	ls := ba.class(at, rq)
	cas := ba.eligible(at, rq, ls)
	se := cas[sr.sm.rn.IntN(len(cas))].se
	return Pick{Server: se.record, se: se, number: se.send(at, ls)}
}

func (sr *simShardRequest) send() *simAttempt {
	sm := sr.sm
	at := &simAttempt{pk: sr.choose()}
	for _, se := range sm.servers[sr.shard] {
		if se.record.ID == at.pk.Server.ID {
			at.se = se
		}
	}
	hop := sm.hop
	if at.se.record.DataCentre != sr.en.centre {
		hop = sm.farHop
	}
	sr.attempts = append(sr.attempts, at)
	sr.tried = append(sr.tried, at.pk.Server.ID)
	at.rq = &simRequest{work: sr.drawWork()}
	at.rq.done = func(outcome Outcome) {
		se := at.se
		re := Report{Outcome: outcome, Running: se.busy, Waiting: len(se.waiting), Slots: sm.slots, HasLoad: true}
		sm.after(hop, func() { sr.answered(at, re) })
	}
	sm.after(hop, func() {
		if !at.rq.canceled {
			at.se.receive(at.rq)
		}
	})
	return at
}

func (sr *simShardRequest) drawWork() float64 {
	wo, rn := sr.work, sr.sm.rn
	work := wo.mean * math.Exp(wo.spread*rn.NormFloat64()-wo.spread*wo.spread/2)
	if rn.Float64() < wo.tail {
		work *= wo.tailFactor
	}
	return work
}

func (sr *simShardRequest) answered(at *simAttempt, re Report) {
	if at.done {
		return
	}
	at.done = true
	now := sr.sm.clock()
	sr.en.ba.Done(now, at.pk, re)
	if sr.finished {
		return
	}
	if re.Outcome != Served {
		sr.refused()
		return
	}
	sr.finish()
	for ix, ot := range sr.attempts {
		if ot.done {
			continue
		}
		ot.done = true
		outcome := Abandoned
		if ix > 0 {
			outcome = Canceled
		}
		sr.en.ba.Done(now, ot.pk, Report{Outcome: outcome})
		sr.sm.after(sr.sm.farHop, func() { ot.se.cancel(ot.rq) })
	}
}

// refused tries another server, or gives the shard up if no attempt is in flight.
func (sr *simShardRequest) refused() {
	sr.sendExtra()
	for _, at := range sr.attempts {
		if !at.done {
			return
		}
	}
	sr.sm.failures++
	sr.finish()
}

func (sr *simShardRequest) finish() {
	sr.finished = true
	sr.end()
}

func quantile(la []time.Duration, qu float64) time.Duration {
	if len(la) == 0 {
		return 0
	}
	return la[min(len(la)-1, int(qu*float64(len(la))))].Round(100 * time.Microsecond)
}

func largeScenario() scenario {
	return scenario{
		name: "5 slots, 28 and 9.2 ms", entries: 9, shards: 10, slots: 5, queue: 30, queriesPerSecond: 180,
		works: []simWork{
			{name: "long", fraction: 0.75, mean: 28, spread: 0.35, tail: 0.01, tailFactor: 5, target: 200 * time.Millisecond},
			{name: "short", fraction: 0.25, mean: 9.2, spread: 0.35, tail: 0.01, tailFactor: 5, target: 80 * time.Millisecond},
		},
		speeds: []float64{0.8, 1, 1.3},
		pause:  250 * time.Millisecond, pauseEvery: 6 * time.Second,
		hop: 200 * time.Microsecond, farHop: 1400 * time.Microsecond, handshake: 6 * time.Millisecond,
		length: 40 * time.Second, measureFrom: 5 * time.Second,
		ratio: 0.2, slack: 58, budgetFraction: 0.85, seed: 7,
	}
}

func smallScenario() scenario {
	sc := largeScenario()
	sc.name, sc.entries, sc.slots, sc.queue = "2 slots, 11 and 3.8 ms", 8, 2, 12
	sc.works[0].mean, sc.works[1].mean = 11, 3.8
	sc.works[0].target, sc.works[1].target = 100*time.Millisecond, 50*time.Millisecond
	sc.speeds = []float64{1, 1, 1}
	sc.pause, sc.pauseEvery = 120*time.Millisecond, 3*time.Second
	sc.farHop, sc.slack = 900*time.Microsecond, 56
	return sc
}

func (sc scenario) variant(name string, change func(*scenario)) scenario {
	sc.name += ", " + name
	change(&sc)
	return sc
}

func scenarios() []scenario {
	slow := func(sc *scenario) {
		sc.slow = []simSlow{
			{from: 10 * time.Second, until: 16500 * time.Millisecond, fraction: 0.15, factor: 8.5},
			{from: 22 * time.Second, until: 29 * time.Second, fraction: 0.15, factor: 5},
		}
	}
	failing := func(sc *scenario) {
		sc.failing = []simFailing{{from: 10 * time.Second, until: 17 * time.Second, serverFraction: 0.15, requestFraction: 0.45, outcome: Shed}}
	}
	burst := func(sc *scenario) { sc.queriesPerSecond *= 1.7 }
	return []scenario{
		largeScenario(), largeScenario().variant("slow servers", slow), largeScenario().variant("failing servers", failing), largeScenario().variant("1.7 times the load", burst),
		smallScenario(), smallScenario().variant("slow servers", slow), smallScenario().variant("failing servers", failing), smallScenario().variant("1.7 times the load", burst),
	}
}

// measurement is the result of one run.
type measurement struct {
	p50, p99, p999 []time.Duration
	withinTarget   []float64
	hedged         float64
}

func (sm *sim) measure() measurement {
	var me measurement
	for ix, la := range sm.latencies {
		slices.Sort(la)
		me.p50 = append(me.p50, quantile(la, 0.5))
		me.p99 = append(me.p99, quantile(la, 0.99))
		me.p999 = append(me.p999, quantile(la, 0.999))
		in := 0
		for _, lt := range la {
			if lt+6*time.Millisecond <= sm.works[ix].target {
				in++
			}
		}
		me.withinTarget = append(me.withinTarget, float64(in)/float64(len(la)))
	}
	me.hedged = float64(sm.hedges) / float64(sm.requests)
	return me
}

// TestSimulation compares the choice of this package with a random one, with and without
// hedges, and prints the latency of the slowest shard of a query.
func TestSimulation(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			c := qt.New(t)
			var all []measurement
			for po := randomChoice; po <= learnedChoice; po++ {
				sm := newSim(sc, po)
				sm.run()
				me := sm.measure()
				all = append(all, me)
				for ix, wo := range sc.works {
					c.Logf("%-13s %-6s p50 %6v p99 %6v p99.9 %6v within target %.4f hedged %.3f denied by budget %d failed %d", po, wo.name,
						me.p50[ix], me.p99[ix], me.p999[ix], me.withinTarget[ix], me.hedged, sm.budgetDenied, sm.failures)
				}
			}
			for ix := range sc.works {
				c.Assert(all[learnedChoice].p99[ix] < all[randomHedged].p99[ix], qt.IsTrue)
				c.Assert(all[learnedChoice].p99[ix] < all[randomChoice].p99[ix], qt.IsTrue)
			}
			c.Assert(all[learnedChoice].hedged < 0.15, qt.IsTrue)
		})
	}
}
