package replica

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
)

const ms = time.Millisecond

// bench is a table with one service on virtual time.
type bench struct {
	c   *qt.C
	tb  *Balancer
	now time.Time
}

func newBench(c *qt.C, servers ...registry.Server) *bench {
	be := &bench{c: c, tb: New(Config{Seed: 1}), now: simStart}
	be.list(servers...)
	return be
}

// ready returns a ready server of the service "s" with two slots.
func ready(id string) registry.Server {
	return registry.Server{ID: id, Service: "s", Slots: 2}
}

func (be *bench) list(servers ...registry.Server) {
	be.tb.Update(be.now, map[string][]registry.Server{"s": servers})
}

func (be *bench) pass(de time.Duration) { be.now = be.now.Add(de) }

func (be *bench) ask(avoid ...string) Request { return Request{Service: "s", Class: "w", Avoid: avoid} }

func (be *bench) choose(avoid ...string) Pick {
	be.c.Helper()
	pk, ok := be.tb.Choose(be.now, be.ask(avoid...))
	be.c.Assert(ok, qt.IsTrue)
	return pk
}

// only chooses the server with the id, whatever the table thinks of it.
func (be *bench) only(id string) Pick {
	be.c.Helper()
	var others []string
	for ot := range be.tb.servers {
		if ot != id {
			others = append(others, ot)
		}
	}
	pk := be.choose(others...)
	be.c.Assert(pk.Server.ID, qt.Equals, id)
	return pk
}

// answer lets a server answer a request after some time.
func (be *bench) answer(id string, de time.Duration) { be.end(id, de, Served) }

func (be *bench) end(id string, de time.Duration, kind Outcome) {
	be.c.Helper()
	pk := be.only(id)
	be.pass(de)
	be.tb.Done(be.now, pk, Report{Outcome: kind})
}

// settle lets all servers answer often, each after 10 ms.
func (be *bench) settle(ids ...string) {
	be.c.Helper()
	for range 60 {
		for _, id := range ids {
			be.answer(id, 10*ms)
		}
	}
}

// doubtful reports whether a choice of the server is doubtful.
func (be *bench) doubtful(id string) bool {
	be.c.Helper()
	pk := be.only(id)
	be.tb.Done(be.now, pk, Report{Outcome: Canceled})
	return pk.Unhealthy
}

// shares returns how many of some choices, each given back at once, fall to
// each server.
func (be *bench) shares(count int) map[string]int {
	got := make(map[string]int)
	for range count {
		pk := be.choose()
		got[pk.Server.ID]++
		be.tb.Done(be.now, pk, Report{Outcome: Canceled})
	}
	return got
}

func TestChooseAmong(t *testing.T) {
	draining, gone := ready("b"), ready("c")
	draining.State, gone.State = registry.Draining, registry.Gone
	tests := []struct {
		name    string
		servers []registry.Server
		service string
		avoid   []string
		want    string // want is empty if none may be chosen.
	}{
		{"no servers", nil, "s", nil, ""},
		{"unknown service", []registry.Server{ready("a")}, "other", nil, ""},
		{"one", []registry.Server{ready("a")}, "s", nil, "a"},
		{"draining and gone are passed over", []registry.Server{draining, gone, ready("a")}, "s", nil, "a"},
		{"none but draining", []registry.Server{draining, gone}, "s", nil, ""},
		{"asked before", []registry.Server{ready("a"), ready("d")}, "s", []string{"a"}, "d"},
		{"all asked before", []registry.Server{ready("a"), ready("d")}, "s", []string{"d", "a"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			be := newBench(c, tt.servers...)
			pk, ok := be.tb.Choose(be.now, Request{Service: tt.service, Class: "w", Avoid: tt.avoid})
			c.Assert(ok, qt.Equals, tt.want != "")
			c.Assert(pk.Server.ID, qt.Equals, tt.want)
		})
	}
}

func TestEqualServersShareTheWork(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"), ready("c"))
	for _, count := range be.shares(900) {
		c.Assert(count > 200, qt.IsTrue, qt.Commentf("%d of 900", count))
	}
	held := make(map[string]int)
	for range 6 {
		held[be.choose().Server.ID]++
	}
	c.Assert(held, qt.DeepEquals, map[string]int{"a": 2, "b": 2, "c": 2})
}

func TestMoreSlotsTakeMore(t *testing.T) {
	c := qt.New(t)
	large := ready("a")
	large.Slots = 6
	be := newBench(c, large, ready("b"))
	held := make(map[string]int)
	for range 8 {
		held[be.choose().Server.ID]++
	}
	// The last one finds 1 + 5/6 against 1 + 2/2, which is a near tie.
	c.Assert(held["a"] >= 5 && held["b"] >= 2, qt.IsTrue, qt.Commentf("%v", held))
}

func TestOwnDataCentreFirst(t *testing.T) {
	c := qt.New(t)
	be := newBench(c)
	be.tb = New(Config{Seed: 1, DataCentre: "near"})
	near, far := ready("a"), ready("b")
	near.DataCentre, far.DataCentre = "near", "far"
	be.list(far, near)
	c.Assert(be.shares(50), qt.DeepEquals, map[string]int{"a": 50})
	for range 3 {
		be.end("a", ms, Shed)
	}
	c.Assert(be.choose().Server.ID, qt.Equals, "b")
}

// A server turns eight times slower. The caller of every third query would wait
// for it; after three slow answers it gets hardly any requests. Once it answers
// quickly again it is asked while the others hold one request each, and some
// seconds later it has its equal part back.
func TestSlowServerIsLeftAndTakenBack(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"), ready("c"))
	be.settle("a", "b", "c")
	for range 3 {
		be.answer("a", 80*ms)
	}
	got := be.shares(1000)["a"]
	c.Assert(got < 60, qt.IsTrue, qt.Commentf("%d of 1000", got))
	for range 12 {
		be.answer("a", 10*ms)
	}
	be.only("b")
	be.only("c")
	c.Assert(be.choose().Server.ID, qt.Equals, "a")
}

func TestSlowServerGetsItsPartBack(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"), ready("c"))
	be.settle("a", "b", "c")
	for range 3 {
		be.answer("a", 80*ms)
	}
	for range 12 {
		be.answer("a", 10*ms)
	}
	be.pass(5 * time.Second)
	got := be.shares(900)["a"]
	c.Assert(got > 200, qt.IsTrue, qt.Commentf("%d of 900", got))
}

func TestSlowServerIsProbed(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"), ready("c"))
	be.settle("a", "b", "c")
	for range 8 {
		be.answer("a", 120*ms)
	}
	got := be.shares(2000)["a"]
	c.Assert(got > 10 && got < 90, qt.IsTrue, qt.Commentf("%d of 2000", got))
	for range 500 {
		pk, ok := be.tb.Choose(be.now, Request{Service: "s", Class: "w", NoProbe: true})
		c.Assert(ok, qt.IsTrue)
		c.Assert(pk.Server.ID, qt.Not(qt.Equals), "a")
		be.tb.Done(be.now, pk, Report{Outcome: Canceled})
	}
}

func TestSlownessIsForgotten(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	for range 5 {
		be.answer("a", 80*ms)
	}
	c.Assert(be.shares(200)["a"] < 20, qt.IsTrue)
	be.pass(time.Minute)
	c.Assert(be.shares(200)["a"] > 50, qt.IsTrue)
}

func TestStartedServerIsUsedLess(t *testing.T) {
	c := qt.New(t)
	warm := ready("a")
	warm.WarmMillis = 3000
	be := newBench(c, warm, ready("b"))
	c.Assert(be.shares(50), qt.DeepEquals, map[string]int{"b": 50})
	be.pass(30 * time.Second)
	c.Assert(be.shares(100)["a"] > 20, qt.IsTrue)
}

func TestFailuresSetAside(t *testing.T) {
	tests := []struct {
		kind  Outcome
		count int
		aside bool
	}{
		{Failed, 1, false},
		{Failed, 2, true},
		{Shed, 1, true},
		{Unreachable, 1, true},
		{Canceled, 10, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d times %d", tt.count, tt.kind), func(t *testing.T) {
			c := qt.New(t)
			be := newBench(c, ready("a"), ready("b"))
			be.settle("a", "b")
			for range tt.count {
				be.end("a", ms, tt.kind)
			}
			c.Assert(be.doubtful("a"), qt.Equals, tt.aside)
		})
	}
}

// A server refuses everything for a while. Each probe of it costs a caller a
// repeat, so they come one at a time and more and more seldom, up to 2 s apart,
// and never from a request that can't be sent again.
func TestProbesOfAFailingServer(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	be.end("a", ms, Unreachable)
	fell := be.now
	var probes []time.Duration
	for be.now.Sub(fell) < 20*time.Second {
		be.pass(10 * ms)
		pk, _ := be.tb.Choose(be.now, Request{Service: "s", Class: "w", NoProbe: true})
		c.Assert(pk.Server.ID, qt.Equals, "b")
		be.tb.Done(be.now, pk, Report{Outcome: Served})
		if pk := be.choose(); pk.Server.ID == "a" {
			probes = append(probes, be.now.Sub(fell))
			c.Assert(pk.Unhealthy, qt.IsTrue)
			second := be.choose()
			c.Assert(second.Server.ID, qt.Equals, "b")
			be.tb.Done(be.now, second, Report{Outcome: Canceled})
			be.tb.Done(be.now, pk, Report{Outcome: Unreachable})
		} else {
			be.tb.Done(be.now, pk, Report{Outcome: Canceled})
		}
	}
	c.Assert(probes[0] >= 100*ms && probes[0] <= 120*ms, qt.IsTrue, qt.Commentf("%v", probes))
	c.Assert(len(probes) >= 10 && len(probes) <= 16, qt.IsTrue, qt.Commentf("%v", probes))
	for ix := 1; ix < len(probes); ix++ {
		gap := probes[ix] - probes[ix-1]
		c.Assert(gap >= 100*ms && gap <= 2020*ms, qt.IsTrue, qt.Commentf("%v", probes))
	}
}

func TestProbeThatServesEndsSetAside(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	be.end("a", ms, Shed)
	c.Assert(be.shares(50), qt.DeepEquals, map[string]int{"b": 50})
	be.pass(150 * ms)
	pk := be.choose()
	c.Assert(pk.Server.ID, qt.Equals, "a")
	be.pass(10 * ms)
	be.tb.Done(be.now, pk, Report{Outcome: Served})
	c.Assert(be.doubtful("a"), qt.IsFalse)
}

func TestNeverNothingWhileOneIsReady(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	for range 4 {
		be.end("a", ms, Unreachable)
	}
	be.end("b", ms, Unreachable)
	got := make(map[string]int)
	for range 20 {
		pk := be.choose()
		c.Assert(pk.Unhealthy, qt.IsTrue)
		got[pk.Server.ID]++
		be.tb.Done(be.now, pk, Report{Outcome: Canceled})
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"b": 20})
}

func TestMovedIsNeverChosenAgain(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.end("a", ms, Replaced)
	be.pass(time.Hour)
	be.list(ready("a"), ready("b"))
	c.Assert(be.shares(50), qt.DeepEquals, map[string]int{"b": 50})
	_, ok := be.tb.Choose(be.now, be.ask("b"))
	c.Assert(ok, qt.IsFalse)
}

func TestUpdateKeepsWhatIsKnown(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	be.end("a", ms, Shed)
	be.list(ready("a"), ready("c"))
	c.Assert(be.doubtful("a"), qt.IsTrue)
	c.Assert(be.doubtful("c"), qt.IsFalse)
	be.list(ready("c"))
	be.list(ready("a"), ready("c"))
	c.Assert(be.doubtful("a"), qt.IsFalse)
}

// A replica stands still for 250 ms. Its first request passes the hedge time;
// from then on, until it answers, the others are asked.
func TestOverdueServerIsSuspect(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	pk := be.only("a")
	be.pass(50 * ms)
	be.tb.Overdue(be.now, pk)
	be.tb.Overdue(be.now, pk)
	c.Assert(be.shares(50), qt.DeepEquals, map[string]int{"b": 50})
	c.Assert(be.choose("b").Unhealthy, qt.IsTrue)
	be.pass(100 * ms)
	be.tb.Done(be.now, pk, Report{Outcome: Served})
	c.Assert(be.doubtful("a"), qt.IsFalse)
}

func TestSilentServerIsSuspectForAMoment(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	pk := be.only("a")
	be.pass(50 * ms)
	be.tb.Overdue(be.now, pk)
	be.pass(10 * ms)
	be.tb.Done(be.now, pk, Report{Outcome: Abandoned})
	c.Assert(be.doubtful("a"), qt.IsTrue)
	be.pass(time.Second)
	c.Assert(be.doubtful("a"), qt.IsFalse)
}

// A hedge that loses is given up early. That says nothing against its server.
func TestEarlySilenceSaysNothing(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	before := be.tb.MedianLatency("w")
	for range 50 {
		be.end("a", 2*ms, Abandoned)
	}
	c.Assert(be.doubtful("a"), qt.IsFalse)
	c.Assert(be.tb.MedianLatency("w"), qt.Equals, before)
	c.Assert(be.shares(400)["a"] > 100, qt.IsTrue)
}

func TestWaitingRequestShowsBeforeItIsOverdue(t *testing.T) {
	c := qt.New(t)
	large := ready("a")
	large.Slots = 100
	be := newBench(c, large, ready("b"))
	be.settle("a", "b")
	be.only("a")
	c.Assert(be.shares(100)["a"] > 20, qt.IsTrue)
	be.pass(20 * ms)
	c.Assert(be.shares(100), qt.DeepEquals, map[string]int{"b": 100})
}

func TestReportedLoad(t *testing.T) {
	tests := []struct {
		name string
		re   Report
		age  time.Duration
		less bool // less says that the server should get less than the other.
	}{
		{"idle", Report{Running: 1, Slots: 2, HasLoad: true}, 10 * ms, false},
		{"queue", Report{Running: 2, Waiting: 6, Slots: 2, HasLoad: true}, 10 * ms, true},
		{"old queue", Report{Running: 2, Waiting: 6, Slots: 2, HasLoad: true}, 1100 * ms, false},
		{"not reported", Report{Running: 2, Waiting: 6, Slots: 2}, 10 * ms, false},
		{"slow pace", Report{Slots: 2, Pace: 300, HasLoad: true}, 10 * ms, true},
		{"usual pace", Report{Slots: 2, Pace: 100, HasLoad: true}, 10 * ms, false},
		{"old pace", Report{Slots: 2, Pace: 300, HasLoad: true}, 1100 * ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			be := newBench(c, ready("a"), ready("b"))
			be.settle("a", "b")
			pk := be.only("a")
			be.pass(10 * ms)
			be.tb.Done(be.now, pk, tt.re)
			be.pass(tt.age)
			got := be.shares(200)["a"]
			c.Assert(got < 20, qt.Equals, tt.less, qt.Commentf("%d of 200", got))
		})
	}
}

func TestDoneTwice(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"))
	first, second := be.choose(), be.choose()
	be.tb.Overdue(be.now, first)
	be.tb.Done(be.now, first, Report{Outcome: Served})
	be.tb.Done(be.now, first, Report{Outcome: Unreachable})
	be.tb.Overdue(be.now, first)
	c.Assert(be.tb.servers["a"].flights, qt.HasLen, 1)
	c.Assert(be.choose().Unhealthy, qt.IsFalse)
	be.tb.Done(be.now, second, Report{Outcome: Served})
	be.tb.Done(be.now, Pick{}, Report{Outcome: Unreachable})
	be.tb.Overdue(be.now, Pick{})
	c.Assert(be.tb.HedgeDelay(be.now, be.ask(), Pick{}) > 0, qt.IsTrue)
}

func TestHedgeAfterWithFewAnswers(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	c.Assert(be.tb.HedgeDelay(be.now, be.ask(), be.only("a")), qt.Equals, 50*ms)
	for range 10 {
		be.answer("b", 10*ms)
	}
	got := be.tb.HedgeDelay(be.now, be.ask(), be.only("b"))
	c.Assert(got > 27*ms && got < 34*ms, qt.IsTrue, qt.Commentf("%v", got))
}

// HedgeAfter is the quantile of all answers, to the width of a step.
func TestHedgeAfterIsTheQuantile(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	rn := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		be.answer([]string{"a", "b"}[rn.IntN(2)], ms+time.Duration(rn.Int64N(int64(99*ms))))
	}
	got := be.tb.HedgeDelay(be.now, be.ask(), be.choose())
	c.Assert(got > 84*ms && got < 100*ms, qt.IsTrue, qt.Commentf("%v", got))
	got = be.tb.MedianLatency("w")
	c.Assert(got > 44*ms && got < 57*ms, qt.IsTrue, qt.Commentf("%v", got))
}

func TestHedgeAfterAtASlowServer(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	for ix := range 200 {
		be.answer("a", 10*ms+time.Duration(ix%10)*ms)
		be.answer("b", 10*ms+time.Duration(ix%10)*ms)
	}
	usual := be.tb.HedgeDelay(be.now, be.ask(), be.only("b"))
	for range 6 {
		be.answer("a", 150*ms)
	}
	slow := be.only("a")
	got := be.tb.HedgeDelay(be.now, be.ask(), slow)
	c.Assert(got < usual, qt.IsTrue, qt.Commentf("%v and %v", got, usual))
	c.Assert(got <= be.tb.MedianLatency("w"), qt.IsTrue)
	for range 6 {
		be.answer("b", 150*ms)
	}
	c.Assert(be.tb.HedgeDelay(be.now, be.ask(), slow) >= usual, qt.IsTrue)
}

// Requests that were hedged never show how long they would have taken. If they
// were left out, the quantile would fall, more requests would be hedged, and so
// on until the budget is spent on hedges that gain nothing.
func TestHedgesDontLowerTheHedgeTime(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	rn := rand.New(rand.NewPCG(5, 6))
	hedged, count := 0, 20_000
	for range count {
		pk := be.choose()
		latency := ms + time.Duration(rn.Int64N(int64(99*ms)))
		delay := be.tb.HedgeDelay(be.now, be.ask(), pk)
		kind := Served
		if latency > delay {
			hedged++
			be.pass(delay)
			be.tb.Overdue(be.now, pk)
			latency, kind = 5*ms, Abandoned
		}
		be.pass(latency)
		be.tb.Done(be.now, pk, Report{Outcome: kind})
		be.answer("b", 30*ms) // The server of the hedge.
	}
	share := float64(hedged) / float64(count)
	c.Assert(share > 0.05 && share < 0.2, qt.IsTrue, qt.Commentf("%.3f", share))
}

func TestLatenciesAreForgotten(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"))
	for range 1000 {
		be.answer("a", 10*ms)
	}
	for range 500 {
		be.answer("a", 100*ms)
	}
	got := be.tb.MedianLatency("w")
	c.Assert(got > 90*ms && got < 110*ms, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(be.tb.MedianLatency("unknown") > 0, qt.IsTrue)
}

func TestLatenciesAfterADay(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"))
	for range 3 * 24 {
		be.answer("a", 10*ms)
		be.pass(time.Hour)
	}
	got := be.tb.MedianLatency("w")
	c.Assert(got > 9*ms && got < 11*ms, qt.IsTrue, qt.Commentf("%v", got))
}

// The process is frozen for 8 s while requests are in flight. On waking all of
// them seem to have taken 8 s; none of the servers is to blame.
func TestResumed(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	first, second := be.only("a"), be.only("b")
	be.tb.Overdue(be.now, second)
	be.pass(8 * time.Second)
	be.tb.Resumed(be.now)
	be.tb.Overdue(be.now, first)
	be.tb.Done(be.now, first, Report{Outcome: Served})
	be.tb.Done(be.now, second, Report{Outcome: Unreachable})
	c.Assert(be.tb.MedianLatency("w") < 15*ms, qt.IsTrue)
	c.Assert(be.doubtful("a"), qt.IsFalse)
	c.Assert(be.doubtful("b"), qt.IsFalse)
}

func TestWorksAreBounded(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"))
	for ix := range 2 * mostWorks {
		be.pass(ms)
		pk, _ := be.tb.Choose(be.now, Request{Service: "s", Class: fmt.Sprint(ix)})
		be.tb.Done(be.now, pk, Report{Outcome: Served})
	}
	c.Assert(be.tb.works, qt.HasLen, mostWorks)
	c.Assert(be.tb.works[fmt.Sprint(2*mostWorks-1)], qt.IsNotNil)
}

func TestNoAllocations(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"), ready("c"))
	be.settle("a", "b", "c")
	as := be.ask()
	got := testing.AllocsPerRun(1000, func() {
		pk, _ := be.tb.Choose(be.now, as)
		be.tb.HedgeDelay(be.now, as, pk)
		be.pass(10 * ms)
		be.tb.Done(be.now, pk, Report{Outcome: Served})
	})
	c.Assert(got, qt.Equals, 0.0)
}

func TestConcurrentUse(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"), ready("c"))
	var wg sync.WaitGroup
	for gr := range 8 {
		wg.Go(func() {
			rn := rand.New(rand.NewPCG(uint64(gr), 1))
			for ix := range 500 {
				now := simStart.Add(time.Duration(ix) * ms)
				as := be.ask()
				pk, ok := be.tb.Choose(now, as)
				if !ok {
					continue
				}
				be.tb.HedgeDelay(now, as, pk)
				be.tb.Overdue(now, pk)
				be.tb.Done(now.Add(ms), pk, Report{Outcome: Outcome(rn.IntN(int(Canceled) + 1)), HasLoad: true, Slots: 2})
				if ix%50 == 0 {
					be.tb.Update(now, map[string][]registry.Server{"s": {ready("a"), ready("b"), ready(fmt.Sprint(ix))}})
					be.tb.Resumed(now)
				}
				be.tb.MedianLatency("w")
			}
		})
	}
	wg.Wait()
	for _, se := range be.tb.servers {
		c.Assert(se.flights, qt.HasLen, 0)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{3, 13} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tb := New(Config{Seed: 1})
			var servers []registry.Server
			for ix := range count {
				servers = append(servers, ready(fmt.Sprint(ix)))
			}
			now := simStart
			tb.Update(now, map[string][]registry.Server{"s": servers})
			as := Request{Service: "s", Class: "w"}
			for b.Loop() {
				pk, _ := tb.Choose(now, as)
				tb.HedgeDelay(now, as, pk)
				now = now.Add(time.Millisecond)
				tb.Done(now, pk, Report{Outcome: Served})
			}
		})
	}
}
