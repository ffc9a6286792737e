package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"balsamwinch.example/customer"
)

// testLimits is the bound of the deployments.
var testLimits = Limits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// model plays owners and entry instances with a clock of its own. Messages take latency;
// links can lose, delay and duplicate them.
type model struct {
	now     time.Time
	events  eventQueue
	order   int
	random  *rand.Rand
	owners  []*modelOwner
	entries []*modelEntry
	quotas  map[string]customer.Quota
	version uint64
	latency func() time.Duration
	// lost, if set, reports whether a message between an entry instance and an owner is lost.
	lost      func(entry, owner int, toOwner bool) bool
	duplicate bool // each grant arrives twice

	results  map[string]*tally
	asks     int
	numWants int
}

// modelOwner is a control instance.
type modelOwner struct {
	ow      *Owner
	st      Standing
	contact bool // hears the leader all the time
	dead    bool
	queued  []func() // messages that arrived while the process was suspended
	frozen  bool
	lost    bool // never hears the leader again
	// removed owners are no longer voters, but may not know it.
	removed   bool
	removedAt time.Time
}

// modelEntry is an entry instance.
type modelEntry struct {
	le     *Ledger
	wakeAt time.Time
	dead   bool
	frozen time.Time // until when the process is suspended
	calls  map[uint64]*modelCall
}

type modelCall struct {
	customer string
	at       time.Time
}

// tally counts the requests of one customer.
type tally struct {
	sent     int
	admitted []time.Time
	waited   int
	refused  int
	noOwner  int
	above    int    // requests above the quota: those that one bucket for the whole fleet refuses
	single   bucket // that bucket
	maxWait  time.Duration
}

type modelEvent struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []modelEvent

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(i, j int) bool {
	if eq[i].at.Equal(eq[j].at) {
		return eq[i].order < eq[j].order
	}
	return eq[i].at.Before(eq[j].at)
}
func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }
func (eq *eventQueue) Push(x any)   { *eq = append(*eq, x.(modelEvent)) }
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

func newModel(seed uint64, owners, entries int, quotas map[string]customer.Quota) *model {
	mo := &model{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), results: make(map[string]*tally)}
	mo.latency = func() time.Duration {
		return 300*time.Microsecond + time.Duration(mo.random.IntN(500))*time.Microsecond
	}
	mo.setQuotas(quotas)
	for range owners {
		mo.owners = append(mo.owners, mo.newOwner(Standing{Voting: true}))
	}
	for ix := range entries {
		mo.entries = append(mo.entries, &modelEntry{le: NewLedger(testLimits, mo.random.Uint64()+uint64(ix)), calls: make(map[uint64]*modelCall)})
	}
	mo.now = mo.now.Add(time.Minute) // The owners' buckets are full.
	return mo
}

func (mo *model) newOwner(st Standing) *modelOwner {
	ow := &modelOwner{ow: NewOwner(mo.now, testLimits), st: st, contact: true}
	ow.ow.SetQuotas(mo.now, mo.version, mo.quotas)
	ow.ow.SetEntries(len(mo.entries))
	return ow
}

// setQuotas puts a new version in force at once at all owners; entry instances use it for
// their next request.
func (mo *model) setQuotas(quotas map[string]customer.Quota) {
	mo.version++
	mo.quotas = quotas
	for _, ow := range mo.owners {
		ow.ow.SetQuotas(mo.now, mo.version, quotas)
	}
}

// voters returns the largest number of voters within JoinDelay, votersWithin within a time.
func (mo *model) voters() int { return mo.votersWithin(JoinDelay) }

func (mo *model) votersWithin(span time.Duration) int {
	count := 0
	for _, ow := range mo.owners {
		if !ow.removed || mo.now.Sub(ow.removedAt) < span {
			count++
		}
	}
	return count
}

// lose cuts an owner off from the leader for good, but not from entry instances.
func (mo *model) lose(owner int) {
	mo.cut(owner)
	mo.owners[owner].lost = true
}

// cut takes the contact of an owner with the leader away. The owner knows nothing of changes
// from then on.
func (mo *model) cut(owner int) {
	ow := mo.owners[owner]
	if ow.contact {
		ow.contact, ow.st.LastContact, ow.st.Voters = false, mo.now, mo.voters()
	}
}

// replace adds a voter and removes a lost one, which keeps running.
func (mo *model) replace(owner int) {
	ow := mo.owners[owner]
	ow.removed, ow.removedAt = true, mo.now
	mo.owners = append(mo.owners, mo.newOwner(Standing{Voting: true, Since: mo.now}))
}

func (mo *model) after(delay time.Duration, do func()) {
	mo.order++
	heap.Push(&mo.events, modelEvent{at: mo.now.Add(delay), order: mo.order, do: do})
}

// run plays the events of a time span.
func (mo *model) run(span time.Duration) {
	end := mo.now.Add(span)
	for len(mo.events) > 0 && !mo.events[0].at.After(end) {
		ev := heap.Pop(&mo.events).(modelEvent)
		mo.now = ev.at
		ev.do()
	}
	mo.now = end
}

// refs returns the owners in the order in which an entry instance lists them. Every third
// one is in its data centre.
func (mo *model) refs(entry int) []OwnerRef {
	var out []OwnerRef
	for ix := range mo.owners {
		out = append(out, OwnerRef{Address: fmt.Sprint(ix), Name: fmt.Sprint("c", ix), Near: ix%3 == entry%3})
	}
	return out
}

// request makes a caller of a customer send a request to an entry instance.
func (mo *model) request(name string, entry int) {
	if mo.thaw(entry, func() { mo.request(name, entry) }) {
		return
	}
	ta := mo.tally(name)
	ta.sent++
	if qu := mo.quotas[name]; ta.single.countRequest(mo.now, qu) {
		ta.above++
	}
	en := mo.entries[entry]
	if en.dead {
		return
	}
	if len(en.le.owners) != len(mo.owners) {
		en.le.SetOwners(mo.refs(entry))
	}
	en.le.SetVersion(mo.version)
	if !mo.quotas[name].Bounded() {
		return
	}
	vd, ticket := en.le.Take(mo.now, name)
	if vd.Outcome == Waiting {
		ta.waited++
		en.calls[ticket] = &modelCall{customer: name, at: mo.now}
	} else {
		mo.count(ta, vd, mo.now)
	}
	mo.step(entry)
}

// countRequest reports whether a bucket of rate and burst, without a share or a reserve, has
// no token for a request.
func (bu *bucket) countRequest(now time.Time, qu customer.Quota) (refused bool) {
	if bu.at.IsZero() {
		bu.level, bu.at = qu.Burst, now
	}
	bu.level = min(max(1, qu.Burst), bu.level+qu.Rate*now.Sub(bu.at).Seconds())
	bu.at = now
	return bu.take(1) == 0
}

func (mo *model) tally(name string) *tally {
	ta := mo.results[name]
	if ta == nil {
		ta = &tally{}
		mo.results[name] = ta
	}
	return ta
}

func (mo *model) count(ta *tally, vd Verdict, since time.Time) {
	ta.maxWait = max(ta.maxWait, mo.now.Sub(since))
	switch vd.Outcome {
	case Admitted:
		ta.admitted = append(ta.admitted, mo.now)
	case NoOwner:
		ta.noOwner++
		ta.refused++
	default:
		ta.refused++
	}
}

// step runs the ledger of an entry instance as its timers do.
func (mo *model) step(entry int) {
	en := mo.entries[entry]
	if en.dead || mo.thaw(entry, func() { mo.step(entry) }) {
		return
	}
	asks, settled := en.le.Step(mo.now)
	for _, se := range settled {
		if ca := en.calls[se.Ticket]; ca != nil {
			delete(en.calls, se.Ticket)
			mo.count(mo.tally(ca.customer), se.Verdict, ca.at)
		}
	}
	for _, as := range asks {
		mo.asks++
		mo.numWants += len(as.Wants)
		mo.send(entry, as)
	}
	if at := en.le.WakeAt(mo.now); !at.IsZero() && (!en.wakeAt.After(mo.now) || at.Before(en.wakeAt)) {
		en.wakeAt = at
		mo.after(max(0, at.Sub(mo.now)), func() { mo.step(entry) })
	}
}

// send carries a request to an owner and its answer back.
func (mo *model) send(entry int, as Ask) {
	owner := slices.IndexFunc(mo.refs(entry), func(or OwnerRef) bool { return or.Address == as.Owner.Address })
	lost := mo.lost
	if lost != nil && lost(entry, owner, true) {
		return
	}
	mo.after(mo.latency(), func() { mo.arrive(entry, owner, as) })
}

func (mo *model) arrive(entry, owner int, as Ask) {
	ow := mo.owners[owner]
	if ow.dead {
		return
	}
	if ow.frozen {
		ow.queued = append(ow.queued, func() { mo.arrive(entry, owner, as) })
		return
	}
	st := ow.st
	if ow.contact {
		st.LastContact, st.Voters, st.SpareVoters = mo.now, mo.voters(), mo.votersWithin(SpareVoterWindow)
	}
	grants, re := ow.ow.Grant(mo.now, st, as.Version, as.Wants)
	var deliver func()
	deliver = func() {
		if en := mo.entries[entry]; !en.dead && !mo.thaw(entry, deliver) {
			en.le.Granted(mo.now, as.ID, re, grants)
			mo.step(entry)
		}
	}
	if mo.lost != nil && mo.lost(entry, owner, false) {
		return
	}
	mo.after(mo.latency(), deliver)
	if mo.duplicate {
		mo.after(mo.latency()+10*time.Millisecond, deliver)
	}
}

// caller makes requests of a customer at random times until a time. The entry instance of a
// request is drawn by entry.
func (mo *model) caller(name string, rate float64, until time.Time, entry func() int) {
	if rate <= 0 {
		return
	}
	gap := time.Duration(mo.random.ExpFloat64() / rate * float64(time.Second))
	mo.after(gap, func() {
		if mo.now.After(until) {
			return
		}
		mo.request(name, entry())
		mo.caller(name, rate, until, entry)
	})
}

// excess returns by how many requests the admitted ones of a customer exceed the bound in
// the worst window, and 0 or less if the bound holds.
func excess(qu customer.Quota, admitted []time.Time) float64 {
	bound := (qu.Rate*testLimits.Window.Seconds()+qu.Burst)*(1+testLimits.Overage) + testLimits.Slack
	worst, first := math.Inf(-1), 0
	for ix, at := range admitted {
		for at.Sub(admitted[first]) > testLimits.Window {
			first++
		}
		worst = max(worst, float64(ix-first+1)-bound)
	}
	return worst
}
