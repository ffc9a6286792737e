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

// trial is one run of a discrete-event simulation on virtual time: entry
// instances that run the code of this package ask one replica of every shard
// for each query, and a second one after the hedge time. They share the replicas.
type trial struct {
	name              string
	entries, shards   int
	slots, queue      int
	perSecond         float64 // perSecond is the queries of all entries together.
	works             []simWork
	speeds            []float64
	pause, pauseEvery time.Duration
	slow              []simSlow
	failing           []simFailing
	hop, farHop       time.Duration // hop is one way within a data centre, farHop between two.
	handshake         time.Duration
	length, from      time.Duration // from is when measuring begins.
	ratio             float64
	slack             int
	share             float64
	seed              uint64
}

// simWork is a kind of query. The work of a request is lognormal.
type simWork struct {
	name         string
	part         float64
	mean, spread float64
	tail, tailX  float64
	aim          time.Duration
}

// simSlow makes a part of the servers slower for a span.
type simSlow struct {
	at, until time.Duration
	share, by float64
}

// simFailing makes a part of the servers refuse or fail a part of their
// requests for a span.
type simFailing struct {
	at, until   time.Duration
	share, part float64
	kind        Outcome
}

// policy is how a replica is chosen.
type policy uint8

const (
	randomly policy = iota // randomly chooses any replica and never hedges.
	hedged                 // hedged chooses any replica, and another one after the hedge time.
	learned                // learned is this package.
)

func (po policy) String() string { return [...]string{"random", "random+hedge", "learned"}[po] }

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simEvents []simEvent

func (ev simEvents) Len() int { return len(ev) }
func (ev simEvents) Less(ix, iy int) bool {
	return ev[ix].at < ev[iy].at || ev[ix].at == ev[iy].at && ev[ix].order < ev[iy].order
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
	trial
	policy  policy
	now     time.Duration
	events  simEvents
	order   int
	rn      *rand.Rand
	servers [][]*simServer // servers are by shard.
	members []*simEntry

	latencies         [][]time.Duration // latencies of the slowest shards, by work.
	requests, hedges  int
	overdue, failures int
	unbudgeted        int
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
	done              func(kind Outcome)
}

type simEntry struct {
	tb     *Balancer
	bu     *budget.Budget
	centre string
}

var simStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func (sm *sim) clock() time.Time { return simStart.Add(sm.now) }

func (sm *sim) after(de time.Duration, do func()) {
	sm.order++
	heap.Push(&sm.events, simEvent{at: sm.now + de, order: sm.order, do: do})
}

func newSim(tr trial, po policy) *sim {
	sm := &sim{trial: tr, policy: po, rn: rand.New(rand.NewPCG(tr.seed, 1))}
	sm.latencies = make([][]time.Duration, len(tr.works))
	records := make(map[string][]registry.Server)
	for sh := range tr.shards {
		speeds := slices.Clone(tr.speeds)
		sm.rn.Shuffle(len(speeds), func(ix, iy int) { speeds[ix], speeds[iy] = speeds[iy], speeds[ix] })
		var of []*simServer
		for re, speed := range speeds {
			service := fmt.Sprintf("shard-%d", sh)
			se := &simServer{sm: sm, speed: speed, record: registry.Server{
				ID: fmt.Sprintf("%s-%d", service, re), Service: service, Slots: tr.slots,
				DataCentre: fmt.Sprintf("centre-%d", re),
			}}
			if tr.pauseEvery > 0 {
				se.phase = time.Duration(sm.rn.Int64N(int64(tr.pauseEvery)))
			}
			records[service] = append(records[service], se.record)
			of = append(of, se)
		}
		sm.servers = append(sm.servers, of)
	}
	sm.harm()
	for en := range tr.entries {
		centre := fmt.Sprintf("centre-%d", en%len(tr.speeds))
		me := &simEntry{
			tb:     New(Config{DataCentre: centre, Seed: tr.seed + uint64(en)}),
			bu:     budget.New(budget.Config{Ratio: tr.ratio, Slack: tr.slack, Window: 10 * time.Second, Fraction: tr.share}, simStart),
			centre: centre,
		}
		me.bu.SetNumEntries(simStart, tr.entries)
		me.tb.Update(simStart, records)
		sm.members = append(sm.members, me)
	}
	return sm
}

// harm gives the slow and failing spans to servers of different shards.
func (sm *sim) harm() {
	for _, sl := range sm.slow {
		for _, of := range sm.servers {
			for _, se := range of {
				if sm.rn.Float64() < sl.share {
					se.slow = append(se.slow, sl)
					break
				}
			}
		}
	}
	for _, fa := range sm.failing {
		for _, of := range sm.servers {
			for _, se := range of {
				if sm.rn.Float64() < fa.share {
					se.failing = append(se.failing, fa)
					break
				}
			}
		}
	}
}

// finish returns when work that starts now is done: it stands still in pauses.
func (se *simServer) finish(work float64) time.Duration {
	sm := se.sm
	factor := se.speed
	for _, sl := range se.slow {
		if sm.now >= sl.at && sm.now < sl.until {
			factor *= sl.by
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

func (se *simServer) offer(rq *simRequest) {
	for _, fa := range se.failing {
		if se.sm.now >= fa.at && se.sm.now < fa.until && se.sm.rn.Float64() < fa.part {
			rq.done(fa.kind)
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
		se.free()
	})
}

func (se *simServer) free() {
	se.busy--
	for len(se.waiting) > 0 && se.busy < se.sm.slots {
		rq := se.waiting[0]
		se.waiting = se.waiting[1:]
		if !rq.canceled {
			se.start(rq)
		}
	}
}

// cancel closes the connection of a request: its slot is free after the
// handshake of the next connection.
func (se *simServer) cancel(rq *simRequest) {
	if rq.canceled {
		return
	}
	rq.canceled = true
	if rq.started {
		se.sm.after(se.sm.handshake, se.free)
	}
}

func (sm *sim) run() {
	sm.arrive()
	for len(sm.events) > 0 {
		ev := heap.Pop(&sm.events).(simEvent)
		sm.now = ev.at
		ev.do()
	}
}

// arrive lets queries come until the end.
func (sm *sim) arrive() {
	sm.after(time.Duration(sm.rn.ExpFloat64()/sm.perSecond*float64(time.Second)), func() {
		if sm.now < sm.length {
			sm.query()
			sm.arrive()
		}
	})
}

func (sm *sim) query() {
	en := sm.members[sm.rn.IntN(len(sm.members))]
	kind, part := 0, sm.rn.Float64()
	for kind < len(sm.works)-1 && part >= sm.works[kind].part {
		part -= sm.works[kind].part
		kind++
	}
	start, left := sm.now, sm.shards
	for sh := range sm.shards {
		fa := &simFan{sm: sm, en: en, shard: sh, work: &sm.works[kind], start: start}
		fa.end = func() {
			if left--; left == 0 && start >= sm.from {
				sm.latencies[kind] = append(sm.latencies[kind], sm.now-start)
			}
		}
		fa.begin()
	}
}

// simFan is the request of one query for one shard.
type simFan struct {
	sm       *sim
	en       *simEntry
	shard    int
	work     *simWork
	start    time.Duration
	attempts []*simAttempt
	asked    []string
	over     bool
	end      func()
}

type simAttempt struct {
	pk   Pick
	se   *simServer
	rq   *simRequest
	done bool
}

func (fa *simFan) ask() Request {
	return Request{Service: fmt.Sprintf("shard-%d", fa.shard), Class: fa.work.name, Avoid: fa.asked}
}

func (fa *simFan) begin() {
	sm := fa.sm
	sm.requests++
	fa.en.bu.CountRequest(sm.clock(), fa.ask().Service)
	at := fa.send()
	if sm.policy == randomly {
		return
	}
	sm.after(fa.delay(at), func() {
		if fa.over || at.done {
			return
		}
		fa.en.tb.Overdue(sm.clock(), at.pk)
		sm.overdue++
		fa.again()
	})
}

func (fa *simFan) delay(at *simAttempt) time.Duration {
	if fa.sm.policy == learned {
		return fa.en.tb.HedgeDelay(fa.sm.clock(), fa.ask(), at.pk)
	}
	tb := fa.en.tb
	return tb.work(tb.at(fa.sm.clock()), Request{Class: fa.work.name}).delay(tb.latest)
}

// again asks a second server if the budget has it.
func (fa *simFan) again() {
	if len(fa.attempts) >= 2 {
		return
	}
	if !fa.en.bu.Spend(fa.sm.clock(), fa.ask().Service) {
		fa.sm.unbudgeted++
		return
	}
	fa.sm.hedges++
	fa.send()
}

func (fa *simFan) choose() Pick {
	tb, as := fa.en.tb, fa.ask()
	if fa.sm.policy == learned {
		pk, _ := tb.Choose(fa.sm.clock(), as)
		return pk
	}
	at := tb.at(fa.sm.clock())
	wo := tb.work(at, as)
	cas := tb.rate(at, as, wo)
	se := cas[fa.sm.rn.IntN(len(cas))].se
	return Pick{Server: se.record, se: se, number: se.take(at, wo)}
}

func (fa *simFan) send() *simAttempt {
	sm := fa.sm
	at := &simAttempt{pk: fa.choose()}
	for _, se := range sm.servers[fa.shard] {
		if se.record.ID == at.pk.Server.ID {
			at.se = se
		}
	}
	hop := sm.hop
	if at.se.record.DataCentre != fa.en.centre {
		hop = sm.farHop
	}
	fa.attempts = append(fa.attempts, at)
	fa.asked = append(fa.asked, at.pk.Server.ID)
	at.rq = &simRequest{work: fa.draw()}
	at.rq.done = func(kind Outcome) {
		se := at.se
		re := Report{Outcome: kind, Running: se.busy, Waiting: len(se.waiting), Slots: sm.slots, HasLoad: true}
		sm.after(hop, func() { fa.answered(at, re) })
	}
	sm.after(hop, func() {
		if !at.rq.canceled {
			at.se.offer(at.rq)
		}
	})
	return at
}

func (fa *simFan) draw() float64 {
	wo, rn := fa.work, fa.sm.rn
	work := wo.mean * math.Exp(wo.spread*rn.NormFloat64()-wo.spread*wo.spread/2)
	if rn.Float64() < wo.tail {
		work *= wo.tailX
	}
	return work
}

func (fa *simFan) answered(at *simAttempt, re Report) {
	if at.done {
		return
	}
	at.done = true
	now := fa.sm.clock()
	fa.en.tb.Done(now, at.pk, re)
	if fa.over {
		return
	}
	if re.Outcome != Served {
		fa.refused()
		return
	}
	fa.finish()
	for ix, ot := range fa.attempts {
		if ot.done {
			continue
		}
		ot.done = true
		kind := Abandoned
		if ix > 0 {
			kind = Canceled
		}
		fa.en.tb.Done(now, ot.pk, Report{Outcome: kind})
		fa.sm.after(fa.sm.farHop, func() { ot.se.cancel(ot.rq) })
	}
}

// refused asks another server, or gives the shard up when none is in flight.
func (fa *simFan) refused() {
	fa.again()
	for _, at := range fa.attempts {
		if !at.done {
			return
		}
	}
	fa.sm.failures++
	fa.finish()
}

func (fa *simFan) finish() {
	fa.over = true
	fa.end()
}

func quantile(la []time.Duration, qu float64) time.Duration {
	if len(la) == 0 {
		return 0
	}
	return la[min(len(la)-1, int(qu*float64(len(la))))].Round(100 * time.Microsecond)
}

func large() trial {
	return trial{
		name: "5 slots, 28 and 9.2 ms", entries: 9, shards: 10, slots: 5, queue: 30, perSecond: 180,
		works: []simWork{
			{name: "long", part: 0.75, mean: 28, spread: 0.35, tail: 0.01, tailX: 5, aim: 200 * time.Millisecond},
			{name: "short", part: 0.25, mean: 9.2, spread: 0.35, tail: 0.01, tailX: 5, aim: 80 * time.Millisecond},
		},
		speeds: []float64{0.8, 1, 1.3},
		pause:  250 * time.Millisecond, pauseEvery: 6 * time.Second,
		hop: 200 * time.Microsecond, farHop: 1400 * time.Microsecond, handshake: 6 * time.Millisecond,
		length: 40 * time.Second, from: 5 * time.Second,
		ratio: 0.2, slack: 58, share: 0.85, seed: 7,
	}
}

func small() trial {
	tr := large()
	tr.name, tr.entries, tr.slots, tr.queue = "2 slots, 11 and 3.8 ms", 8, 2, 12
	tr.works[0].mean, tr.works[1].mean = 11, 3.8
	tr.works[0].aim, tr.works[1].aim = 100*time.Millisecond, 50*time.Millisecond
	tr.speeds = []float64{1, 1, 1}
	tr.pause, tr.pauseEvery = 120*time.Millisecond, 3*time.Second
	tr.farHop, tr.slack = 900*time.Microsecond, 56
	return tr
}

func (tr trial) with(name string, change func(*trial)) trial {
	tr.name += ", " + name
	change(&tr)
	return tr
}

func simTrials() []trial {
	slow := func(tr *trial) {
		tr.slow = []simSlow{
			{at: 10 * time.Second, until: 16500 * time.Millisecond, share: 0.15, by: 8.5},
			{at: 22 * time.Second, until: 29 * time.Second, share: 0.15, by: 5},
		}
	}
	grey := func(tr *trial) {
		tr.failing = []simFailing{{at: 10 * time.Second, until: 17 * time.Second, share: 0.15, part: 0.45, kind: Shed}}
	}
	burst := func(tr *trial) { tr.perSecond *= 1.7 }
	return []trial{
		large(), large().with("slow servers", slow), large().with("grey", grey), large().with("1.7 times the load", burst),
		small(), small().with("slow servers", slow), small().with("grey", grey), small().with("1.7 times the load", burst),
	}
}

// measured is what one run showed.
type measured struct {
	p50, p99, p999 []time.Duration
	inAim          []float64
	hedged         float64
}

func (sm *sim) measure() measured {
	var me measured
	for ix, la := range sm.latencies {
		slices.Sort(la)
		me.p50 = append(me.p50, quantile(la, 0.5))
		me.p99 = append(me.p99, quantile(la, 0.99))
		me.p999 = append(me.p999, quantile(la, 0.999))
		in := 0
		for _, lt := range la {
			if lt+6*time.Millisecond <= sm.works[ix].aim {
				in++
			}
		}
		me.inAim = append(me.inAim, float64(in)/float64(len(la)))
	}
	me.hedged = float64(sm.hedges) / float64(sm.requests)
	return me
}

// TestSimulation compares the choice of this package with a random one, with
// and without hedges, and prints what the slowest shard of a query took.
func TestSimulation(t *testing.T) {
	for _, tr := range simTrials() {
		t.Run(tr.name, func(t *testing.T) {
			c := qt.New(t)
			var all []measured
			for po := randomly; po <= learned; po++ {
				sm := newSim(tr, po)
				sm.run()
				me := sm.measure()
				all = append(all, me)
				for ix, wo := range tr.works {
					c.Logf("%-13s %-6s p50 %6v p99 %6v p99.9 %6v in aim %.4f hedged %.3f unbudgeted %d failed %d", po, wo.name,
						me.p50[ix], me.p99[ix], me.p999[ix], me.inAim[ix], me.hedged, sm.unbudgeted, sm.failures)
				}
			}
			for ix := range tr.works {
				c.Assert(all[learned].p99[ix] < all[hedged].p99[ix], qt.IsTrue)
				c.Assert(all[learned].p99[ix] < all[randomly].p99[ix], qt.IsTrue)
			}
			c.Assert(all[learned].hedged < 0.15, qt.IsTrue)
		})
	}
}
