package limit

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
)

// trial is one run of the discrete-event simulation: entries that run the code
// of this package on simulated time share the slots of a few leafs, one for
// each shard of every query.
type trial struct {
	entries, leafs, slots int
	load                  func(at time.Duration) float64 // load is the arrivals against the slots' capacity.
	length, deadline      time.Duration
	hop                   time.Duration // hop is the one-way latency between any two machines.
	scheme                scheme
	tactics               operator.Tactics
	admit                 *AdmissionConfig // admit is nil for no queue at the entry.
	replicas              int              // replicas is how many servers each leaf has; zero is one.
	sick                  float64          // sick is how many times slower the first server is for four seconds.
	retry                 bool             // retry sends what was given up on again.
	leafQueue             int              // leafQueue is how many requests wait at a leaf before others are shed.
	slow                  float64          // slow is the share of leaf requests that take ten times as long.
	giveUp                time.Duration    // giveUp is when a request is given up as late; zero for never.
	stopLag               time.Duration    // stopLag is how long the leaf goes on with those.
	hold                  HoldPolicy
	seed                  uint64
}

// scheme says who may send to a leaf.
type scheme uint8

const (
	direct scheme = iota // direct lets every entry send by its own table.
	lent                 // lent makes an entry ask the leaf's owner for a slot.
	relay                // relay sends through one entry that holds all connections.
)

const simService = 5 * time.Millisecond

// tally is what a trial measured.
type tally struct {
	useful, sent, shed, messages int
	latencies, refusals          []time.Duration
	bySecond                     [16]int // bySecond counts the useful answers.
}

type simEvent struct {
	at time.Time
	do func()
}

type sim struct {
	trial
	tally
	now     time.Time
	events  []simEvent // events are in the order of time, the next one last.
	rn      *rand.Rand
	all     []*simLeaf
	members []*simEntry
}

type simLeaf struct {
	sm      *sim
	records []backend.Record
	busy    map[string]int
	waiting map[string][]func()
	lent    int      // lent counts the slots that the owner has lent.
	asking  []func() // asking are the entries that wait for the owner.
}

type simEntry struct {
	sm      *sim
	ta      *Table
	qu      *queue
	waiting [][]*simRequest // waiting is by leaf.
	asleep  []bool
}

type simQuery struct {
	at, from          *simEntry // from is where the query arrived, at where it fans out.
	arrived, deadline time.Time
	left              int
	over              bool
	wa                *waiting
}

type simRequest struct {
	qu   *simQuery
	leaf *simLeaf
	ix   int
}

// run runs a trial.
func (tr trial) run() tally {
	sm := &sim{trial: tr, now: t0, rn: rand.New(rand.NewPCG(tr.seed, 1))}
	entries := tr.entries
	if tr.scheme == relay {
		entries = 1
	}
	vi := viewOf(tr.leafs*max(1, tr.replicas), tr.leafs, tr.slots, entries)
	for ix := range tr.leafs {
		le := &simLeaf{sm: sm, busy: make(map[string]int), waiting: make(map[string][]func())}
		for at := ix; at < len(vi.Servers); at += tr.leafs {
			le.records = append(le.records, vi.Servers[at])
		}
		sm.all = append(sm.all, le)
	}
	for ix := range tr.entries {
		en := &simEntry{sm: sm, waiting: make([][]*simRequest, tr.leafs), asleep: make([]bool, tr.leafs)}
		en.ta = NewTable(nil, TableConfig{Seed: tr.seed*1000 + uint64(ix), Hold: tr.hold, HoldTimeout: 20 * simService})
		en.ta.update(sm.now, vi)
		if tr.admit != nil {
			cf := *tr.admit
			cf.ServiceCapacity = en.ta.ServiceCapacity
			en.qu = newQueue(cf.withDefaults())
		}
		sm.members = append(sm.members, en)
	}
	sm.arrivals()
	for len(sm.events) > 0 {
		ev := sm.events[len(sm.events)-1]
		sm.events = sm.events[:len(sm.events)-1]
		sm.now = ev.at
		ev.do()
	}
	return sm.tally
}

func (sm *sim) after(delay time.Duration, do func()) {
	ev := simEvent{sm.now.Add(delay), do}
	ix, _ := slices.BinarySearchFunc(sm.events, ev, func(old, ev simEvent) int {
		return ev.at.Compare(old.at)
	})
	sm.events = slices.Insert(sm.events, ix, ev)
}

// arrivals makes a Poisson process over all entries.
func (sm *sim) arrivals() {
	elapsed := sm.now.Sub(t0)
	if elapsed >= sm.length {
		return
	}
	gap := sm.rn.ExpFloat64() * float64(simService) / float64(sm.slots*max(1, sm.replicas)) / sm.load(elapsed)
	sm.after(time.Duration(gap), func() {
		sm.arrive(sm.members[sm.rn.IntN(len(sm.members))])
		sm.arrivals()
	})
}

func (sm *sim) arrive(en *simEntry) {
	qu := &simQuery{at: en, from: en, arrived: sm.now, deadline: sm.now.Add(sm.deadline), left: len(sm.all)}
	sm.after(sm.deadline, func() { sm.finish(qu, false) })
	switch {
	case sm.scheme == relay && en != sm.members[0]:
		qu.at = sm.members[0]
		sm.messages += 2
		sm.after(sm.hop, qu.fan)
	case en.qu != nil:
		en.admit(qu)
	default:
		qu.fan()
	}
}

func (en *simEntry) admit(qu *simQuery) {
	sm := en.sm
	refuse := func() {
		qu.over = true
		sm.refusals = append(sm.refusals, sm.now.Sub(qu.arrived))
	}
	qu.wa, _ = en.qu.arrive(sm.now, "s", 1, len(sm.all), qu.deadline)
	switch {
	case qu.wa == nil:
		refuse()
	case qu.wa.state == running:
		qu.fan()
	default:
		qu.wa.told = func() {
			if qu.wa.state == expired {
				refuse()
				return
			}
			sm.after(0, qu.fan)
		}
		sm.after(qu.wa.latest.Sub(sm.now)+1, func() { en.qu.advance(sm.now) })
	}
}

func (qu *simQuery) fan() {
	for ix, le := range qu.at.sm.all {
		rq := &simRequest{qu, le, ix}
		if qu.at.sm.scheme == lent {
			qu.at.ask(rq)
			continue
		}
		qu.at.waiting[ix] = append(qu.at.waiting[ix], rq)
		qu.at.pump(ix)
	}
}

// late says that a request can't be answered in time any more.
func (rq *simRequest) late(now time.Time) bool {
	return rq.qu.over || now.Add(2*simService).After(rq.qu.deadline)
}

// pump sends what waits for a leaf as far as the table lets it.
func (en *simEntry) pump(ix int) {
	sm := en.sm
	for len(en.waiting[ix]) > 0 {
		rq := en.waiting[ix][0]
		if rq.late(sm.now) {
			en.waiting[ix] = en.waiting[ix][1:]
			continue
		}
		ch, ok := en.ta.Pick(sm.now, sm.tactics, rq.leaf.records, nil)
		if !ok {
			en.sleep(rq)
			return
		}
		en.waiting[ix] = en.waiting[ix][1:]
		en.send(rq, ch)
	}
}

func (en *simEntry) sleep(rq *simRequest) {
	if en.asleep[rq.ix] {
		return
	}
	en.asleep[rq.ix] = true
	wait, _ := en.ta.RetryDelay(en.sm.now, rq.leaf.records, nil)
	en.sm.after(wait, func() {
		en.asleep[rq.ix] = false
		en.pump(rq.ix)
	})
}

func (en *simEntry) send(rq *simRequest, ch Choice) {
	sm, sent := en.sm, en.sm.now
	over, givenUp := false, false
	end := func(ki OutcomeKind) {
		over = true
		if givenUp {
			en.ta.ReleaseSlot(sm.now, ch)
		} else {
			en.ta.Done(sm.now, ch, Outcome{Kind: ki, Latency: sm.now.Sub(sent)})
			en.replied(rq, ki)
		}
		en.pump(rq.ix)
	}
	service := sm.service(ch.Server)
	if sm.giveUp > 0 && 2*sm.hop+service > sm.giveUp {
		service = min(service, sm.giveUp+sm.stopLag)
		sm.after(sm.giveUp, func() {
			if !over {
				givenUp = true
				en.ta.Done(sm.now, ch, Outcome{Kind: Cancelled, Latency: sm.giveUp})
				en.replied(rq, Cancelled)
				en.pump(rq.ix)
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

// replied goes on with the query: a shed request is queued again, in front. One
// that was given up on has been answered elsewhere unless it is retried.
func (en *simEntry) replied(rq *simRequest, ki OutcomeKind) {
	sm := en.sm
	if ki == Shed || ki == Cancelled && sm.retry {
		again := func() { en.waiting[rq.ix] = slices.Insert(en.waiting[rq.ix], 0, rq) }
		if sm.tactics != operator.Baseline {
			again()
			return
		}
		sm.after(time.Duration((0.5+sm.rn.Float64())*float64(simService)), func() {
			again()
			en.pump(rq.ix)
		})
		return
	}
	rq.qu.left--
	switch {
	case rq.qu.left > 0:
	case rq.qu.at != rq.qu.from:
		sm.after(sm.hop, func() { sm.finish(rq.qu, true) })
	default:
		sm.finish(rq.qu, true)
	}
}

func (sm *sim) finish(qu *simQuery, useful bool) {
	if qu.over {
		return
	}
	qu.over = true
	if useful {
		sm.useful++
		sm.bySecond[sm.now.Sub(t0)/time.Second]++
		sm.latencies = append(sm.latencies, sm.now.Sub(qu.arrived))
	}
	if qu.wa != nil {
		qu.at.qu.end(sm.now, qu.wa)
	}
}

// service draws a lognormal service time.
func (sm *sim) service(server string) time.Duration {
	const sigma = 0.4
	se := float64(simService) * math.Exp(sigma*sm.rn.NormFloat64()-sigma*sigma/2)
	if sm.rn.Float64() < sm.slow {
		se *= 10
	}
	if at := sm.now.Sub(t0); sm.sick > 0 && server == "a" && at >= 2*time.Second && at < 6*time.Second {
		se *= sm.sick
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

// ask takes a slot from the leaf's owner and gives it back after the reply:
// three messages between instances.
func (en *simEntry) ask(rq *simRequest) {
	sm, le := en.sm, rq.leaf
	sm.messages += 3
	granted := func() {
		if rq.late(sm.now) {
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
		le.asking = append(le.asking, func() { sm.after(sm.hop, granted) })
		le.lend()
	})
}

func (le *simLeaf) lend() {
	for le.lent < le.sm.slots && len(le.asking) > 0 {
		next := le.asking[0]
		le.asking = le.asking[1:]
		le.lent++
		next()
	}
}

func (le *simLeaf) release() {
	le.lent--
	le.lend()
}

// millis returns a quantile in milliseconds.
func millis(ds []time.Duration, qu float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[int(qu*float64(len(ds)-1))].Seconds() * 1000
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// surge is twice the capacity from the third second to the sixth.
func surge(at time.Duration) float64 {
	if at >= 2*time.Second && at < 6*time.Second {
		return 2
	}
	return 0.5
}
