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

// fixture is a balancer with one service on virtual time.
type fixture struct {
	c   *qt.C
	ba  *Balancer
	now time.Time
}

func newFixture(c *qt.C, servers ...registry.Server) *fixture {
	fx := &fixture{c: c, ba: New(Config{Seed: 1}), now: simStart}
	fx.setServers(servers...)
	return fx
}

// ready returns a ready server of the service "s" with two slots.
func ready(id string) registry.Server {
	return registry.Server{ID: id, Service: "s", Slots: 2}
}

func (fx *fixture) setServers(servers ...registry.Server) {
	fx.ba.Update(fx.now, map[string][]registry.Server{"s": servers})
}

func (fx *fixture) advance(de time.Duration) { fx.now = fx.now.Add(de) }

func (fx *fixture) request(avoid ...string) Request {
	return Request{Service: "s", Class: "w", Avoid: avoid}
}

func (fx *fixture) choose(avoid ...string) Pick {
	fx.c.Helper()
	pk, ok := fx.ba.Choose(fx.now, fx.request(avoid...))
	fx.c.Assert(ok, qt.IsTrue)
	return pk
}

// chooseServer chooses the server with the id, whatever its state.
func (fx *fixture) chooseServer(id string) Pick {
	fx.c.Helper()
	var others []string
	for ot := range fx.ba.servers {
		if ot != id {
			others = append(others, ot)
		}
	}
	pk := fx.choose(others...)
	fx.c.Assert(pk.Server.ID, qt.Equals, id)
	return pk
}

// answer has a server answer a request after some time.
func (fx *fixture) answer(id string, de time.Duration) { fx.finish(id, de, Served) }

func (fx *fixture) finish(id string, de time.Duration, outcome Outcome) {
	fx.c.Helper()
	pk := fx.chooseServer(id)
	fx.advance(de)
	fx.ba.Done(fx.now, pk, Report{Outcome: outcome})
}

// train has each server answer often, each time after 10 ms.
func (fx *fixture) train(ids ...string) {
	fx.c.Helper()
	for range 60 {
		for _, id := range ids {
			fx.answer(id, 10*ms)
		}
	}
}

// unhealthy reports whether a choice of the server is marked unhealthy.
func (fx *fixture) unhealthy(id string) bool {
	fx.c.Helper()
	pk := fx.chooseServer(id)
	fx.ba.Done(fx.now, pk, Report{Outcome: Canceled})
	return pk.Unhealthy
}

// countChoices makes some choices, each canceled at once, and counts them by server.
func (fx *fixture) countChoices(count int) map[string]int {
	got := make(map[string]int)
	for range count {
		pk := fx.choose()
		got[pk.Server.ID]++
		fx.ba.Done(fx.now, pk, Report{Outcome: Canceled})
	}
	return got
}

func TestChooseEligibleServer(t *testing.T) {
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
		{"draining and gone are skipped", []registry.Server{draining, gone, ready("a")}, "s", nil, "a"},
		{"only draining and gone", []registry.Server{draining, gone}, "s", nil, ""},
		{"tried before", []registry.Server{ready("a"), ready("d")}, "s", []string{"a"}, "d"},
		{"all tried before", []registry.Server{ready("a"), ready("d")}, "s", []string{"d", "a"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			fx := newFixture(c, tt.servers...)
			pk, ok := fx.ba.Choose(fx.now, Request{Service: tt.service, Class: "w", Avoid: tt.avoid})
			c.Assert(ok, qt.Equals, tt.want != "")
			c.Assert(pk.Server.ID, qt.Equals, tt.want)
		})
	}
}

func TestEqualServersGetEqualLoad(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"), ready("c"))
	for _, count := range fx.countChoices(900) {
		c.Assert(count > 200, qt.IsTrue, qt.Commentf("%d of 900", count))
	}
	counts := make(map[string]int)
	for range 6 {
		counts[fx.choose().Server.ID]++
	}
	c.Assert(counts, qt.DeepEquals, map[string]int{"a": 2, "b": 2, "c": 2})
}

func TestMoreSlotsGetMoreRequests(t *testing.T) {
	c := qt.New(t)
	large := ready("a")
	large.Slots = 6
	fx := newFixture(c, large, ready("b"))
	counts := make(map[string]int)
	for range 8 {
		counts[fx.choose().Server.ID]++
	}
	// The last choice compares 1 + 5/6 with 1 + 2/2, which is a near tie.
	c.Assert(counts["a"] >= 5 && counts["b"] >= 2, qt.IsTrue, qt.Commentf("%v", counts))
}

func TestLocalDataCentrePreferred(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c)
	fx.ba = New(Config{Seed: 1, DataCentre: "near"})
	near, far := ready("a"), ready("b")
	near.DataCentre, far.DataCentre = "near", "far"
	fx.setServers(far, near)
	c.Assert(fx.countChoices(50), qt.DeepEquals, map[string]int{"a": 50})
	for range 3 {
		fx.finish("a", ms, Shed)
	}
	c.Assert(fx.choose().Server.ID, qt.Equals, "b")
}

// A server becomes eight times slower, so that every third query would wait for it. After
// three slow answers it must get hardly any requests. Once it answers quickly again it must
// be chosen while the others have one request each in flight.
func TestSlowServerIsAvoidedAndUsedAgain(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"), ready("c"))
	fx.train("a", "b", "c")
	for range 3 {
		fx.answer("a", 80*ms)
	}
	got := fx.countChoices(1000)["a"]
	c.Assert(got < 60, qt.IsTrue, qt.Commentf("%d of 1000", got))
	for range 12 {
		fx.answer("a", 10*ms)
	}
	fx.chooseServer("b")
	fx.chooseServer("c")
	c.Assert(fx.choose().Server.ID, qt.Equals, "a")
}

func TestRecoveredServerGetsEqualLoad(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"), ready("c"))
	fx.train("a", "b", "c")
	for range 3 {
		fx.answer("a", 80*ms)
	}
	for range 12 {
		fx.answer("a", 10*ms)
	}
	fx.advance(5 * time.Second)
	got := fx.countChoices(900)["a"]
	c.Assert(got > 200, qt.IsTrue, qt.Commentf("%d of 900", got))
}

func TestSlowServerIsProbed(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"), ready("c"))
	fx.train("a", "b", "c")
	for range 8 {
		fx.answer("a", 120*ms)
	}
	got := fx.countChoices(2000)["a"]
	c.Assert(got > 10 && got < 90, qt.IsTrue, qt.Commentf("%d of 2000", got))
	for range 500 {
		pk, ok := fx.ba.Choose(fx.now, Request{Service: "s", Class: "w", NoProbe: true})
		c.Assert(ok, qt.IsTrue)
		c.Assert(pk.Server.ID, qt.Not(qt.Equals), "a")
		fx.ba.Done(fx.now, pk, Report{Outcome: Canceled})
	}
}

func TestSlownessDecays(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	for range 5 {
		fx.answer("a", 80*ms)
	}
	c.Assert(fx.countChoices(200)["a"] < 20, qt.IsTrue)
	fx.advance(time.Minute)
	c.Assert(fx.countChoices(200)["a"] > 50, qt.IsTrue)
}

func TestColdServerIsChosenLess(t *testing.T) {
	c := qt.New(t)
	warm := ready("a")
	warm.WarmMillis = 3000
	fx := newFixture(c, warm, ready("b"))
	c.Assert(fx.countChoices(50), qt.DeepEquals, map[string]int{"b": 50})
	fx.advance(30 * time.Second)
	c.Assert(fx.countChoices(100)["a"] > 20, qt.IsTrue)
}

func TestFailuresEject(t *testing.T) {
	tests := []struct {
		outcome   Outcome
		count     int
		unhealthy bool
	}{
		{Failed, 1, false},
		{Failed, 2, true},
		{Shed, 1, true},
		{Unreachable, 1, true},
		{Canceled, 10, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d times %d", tt.count, tt.outcome), func(t *testing.T) {
			c := qt.New(t)
			fx := newFixture(c, ready("a"), ready("b"))
			fx.train("a", "b")
			for range tt.count {
				fx.finish("a", ms, tt.outcome)
			}
			c.Assert(fx.unhealthy("a"), qt.Equals, tt.unhealthy)
		})
	}
}

// A server refuses everything for a while. Each probe of it costs a caller a retry, so
// probes come one at a time, with a backoff of up to 2 s, and never from a request that
// can't be retried.
func TestProbesOfFailingServerBackOff(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	fx.finish("a", ms, Unreachable)
	ejectedAt := fx.now
	var probes []time.Duration
	for fx.now.Sub(ejectedAt) < 20*time.Second {
		fx.advance(10 * ms)
		pk, _ := fx.ba.Choose(fx.now, Request{Service: "s", Class: "w", NoProbe: true})
		c.Assert(pk.Server.ID, qt.Equals, "b")
		fx.ba.Done(fx.now, pk, Report{Outcome: Served})
		if pk := fx.choose(); pk.Server.ID == "a" {
			probes = append(probes, fx.now.Sub(ejectedAt))
			c.Assert(pk.Unhealthy, qt.IsTrue)
			second := fx.choose()
			c.Assert(second.Server.ID, qt.Equals, "b")
			fx.ba.Done(fx.now, second, Report{Outcome: Canceled})
			fx.ba.Done(fx.now, pk, Report{Outcome: Unreachable})
		} else {
			fx.ba.Done(fx.now, pk, Report{Outcome: Canceled})
		}
	}
	c.Assert(probes[0] >= 100*ms && probes[0] <= 120*ms, qt.IsTrue, qt.Commentf("%v", probes))
	c.Assert(len(probes) >= 10 && len(probes) <= 16, qt.IsTrue, qt.Commentf("%v", probes))
	for ix := 1; ix < len(probes); ix++ {
		gap := probes[ix] - probes[ix-1]
		c.Assert(gap >= 100*ms && gap <= 2020*ms, qt.IsTrue, qt.Commentf("%v", probes))
	}
}

func TestAnsweredProbeEndsEjection(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	fx.finish("a", ms, Shed)
	c.Assert(fx.countChoices(50), qt.DeepEquals, map[string]int{"b": 50})
	fx.advance(150 * ms)
	pk := fx.choose()
	c.Assert(pk.Server.ID, qt.Equals, "a")
	fx.advance(10 * ms)
	fx.ba.Done(fx.now, pk, Report{Outcome: Served})
	c.Assert(fx.unhealthy("a"), qt.IsFalse)
}

func TestEjectedServersAreChosenWhenNoneElseIsReady(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	for range 4 {
		fx.finish("a", ms, Unreachable)
	}
	fx.finish("b", ms, Unreachable)
	got := make(map[string]int)
	for range 20 {
		pk := fx.choose()
		c.Assert(pk.Unhealthy, qt.IsTrue)
		got[pk.Server.ID]++
		fx.ba.Done(fx.now, pk, Report{Outcome: Canceled})
	}
	c.Assert(got, qt.DeepEquals, map[string]int{"b": 20})
}

func TestReplacedServerIsNeverChosen(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.finish("a", ms, Replaced)
	fx.advance(time.Hour)
	fx.setServers(ready("a"), ready("b"))
	c.Assert(fx.countChoices(50), qt.DeepEquals, map[string]int{"b": 50})
	_, ok := fx.ba.Choose(fx.now, fx.request("b"))
	c.Assert(ok, qt.IsFalse)
}

func TestUpdateKeepsHistoryOfListedServers(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	fx.finish("a", ms, Shed)
	fx.setServers(ready("a"), ready("c"))
	c.Assert(fx.unhealthy("a"), qt.IsTrue)
	c.Assert(fx.unhealthy("c"), qt.IsFalse)
	fx.setServers(ready("c"))
	fx.setServers(ready("a"), ready("c"))
	c.Assert(fx.unhealthy("a"), qt.IsFalse)
}

// A replica is stalled for 250 ms. From when its first request passes the hedge delay until
// it answers, the others are chosen.
func TestOverdueServerIsSuspect(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	pk := fx.chooseServer("a")
	fx.advance(50 * ms)
	fx.ba.Overdue(fx.now, pk)
	fx.ba.Overdue(fx.now, pk)
	c.Assert(fx.countChoices(50), qt.DeepEquals, map[string]int{"b": 50})
	c.Assert(fx.choose("b").Unhealthy, qt.IsTrue)
	fx.advance(100 * ms)
	fx.ba.Done(fx.now, pk, Report{Outcome: Served})
	c.Assert(fx.unhealthy("a"), qt.IsFalse)
}

func TestAbandonedRequestMakesServerSuspectBriefly(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	pk := fx.chooseServer("a")
	fx.advance(50 * ms)
	fx.ba.Overdue(fx.now, pk)
	fx.advance(10 * ms)
	fx.ba.Done(fx.now, pk, Report{Outcome: Abandoned})
	c.Assert(fx.unhealthy("a"), qt.IsTrue)
	fx.advance(time.Second)
	c.Assert(fx.unhealthy("a"), qt.IsFalse)
}

// A hedge that loses is abandoned early. That says nothing about its server.
func TestRequestAbandonedEarlyIsIgnored(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	before := fx.ba.MedianLatency("w")
	for range 50 {
		fx.finish("a", 2*ms, Abandoned)
	}
	c.Assert(fx.unhealthy("a"), qt.IsFalse)
	c.Assert(fx.ba.MedianLatency("w"), qt.Equals, before)
	c.Assert(fx.countChoices(400)["a"] > 100, qt.IsTrue)
}

func TestInFlightRequestCountsBeforeHedgeDelay(t *testing.T) {
	c := qt.New(t)
	large := ready("a")
	large.Slots = 100
	fx := newFixture(c, large, ready("b"))
	fx.train("a", "b")
	fx.chooseServer("a")
	c.Assert(fx.countChoices(100)["a"] > 20, qt.IsTrue)
	fx.advance(20 * ms)
	c.Assert(fx.countChoices(100), qt.DeepEquals, map[string]int{"b": 100})
}

func TestReportedLoad(t *testing.T) {
	tests := []struct {
		name string
		re   Report
		age  time.Duration
		less bool // less is set if the server should be chosen less often than the other.
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
			fx := newFixture(c, ready("a"), ready("b"))
			fx.train("a", "b")
			pk := fx.chooseServer("a")
			fx.advance(10 * ms)
			fx.ba.Done(fx.now, pk, tt.re)
			fx.advance(tt.age)
			got := fx.countChoices(200)["a"]
			c.Assert(got < 20, qt.Equals, tt.less, qt.Commentf("%d of 200", got))
		})
	}
}

func TestSecondDoneIsIgnored(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"))
	first, second := fx.choose(), fx.choose()
	fx.ba.Overdue(fx.now, first)
	fx.ba.Done(fx.now, first, Report{Outcome: Served})
	fx.ba.Done(fx.now, first, Report{Outcome: Unreachable})
	fx.ba.Overdue(fx.now, first)
	c.Assert(fx.ba.servers["a"].inFlight, qt.HasLen, 1)
	c.Assert(fx.choose().Unhealthy, qt.IsFalse)
	fx.ba.Done(fx.now, second, Report{Outcome: Served})
	fx.ba.Done(fx.now, Pick{}, Report{Outcome: Unreachable})
	fx.ba.Overdue(fx.now, Pick{})
	c.Assert(fx.ba.HedgeDelay(fx.now, fx.request(), Pick{}) > 0, qt.IsTrue)
}

func TestHedgeDelayWithFewSamples(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	c.Assert(fx.ba.HedgeDelay(fx.now, fx.request(), fx.chooseServer("a")), qt.Equals, 50*ms)
	for range 10 {
		fx.answer("b", 10*ms)
	}
	got := fx.ba.HedgeDelay(fx.now, fx.request(), fx.chooseServer("b"))
	c.Assert(got > 27*ms && got < 34*ms, qt.IsTrue, qt.Commentf("%v", got))
}

// HedgeDelay is the quantile of all answers, to the width of a bucket.
func TestHedgeDelayIsTheQuantile(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	rn := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		fx.answer([]string{"a", "b"}[rn.IntN(2)], ms+time.Duration(rn.Int64N(int64(99*ms))))
	}
	got := fx.ba.HedgeDelay(fx.now, fx.request(), fx.choose())
	c.Assert(got > 84*ms && got < 100*ms, qt.IsTrue, qt.Commentf("%v", got))
	got = fx.ba.MedianLatency("w")
	c.Assert(got > 44*ms && got < 57*ms, qt.IsTrue, qt.Commentf("%v", got))
}

func TestHedgeDelayIsShorterAtSlowServer(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	for ix := range 200 {
		fx.answer("a", 10*ms+time.Duration(ix%10)*ms)
		fx.answer("b", 10*ms+time.Duration(ix%10)*ms)
	}
	usual := fx.ba.HedgeDelay(fx.now, fx.request(), fx.chooseServer("b"))
	for range 6 {
		fx.answer("a", 150*ms)
	}
	slow := fx.chooseServer("a")
	got := fx.ba.HedgeDelay(fx.now, fx.request(), slow)
	c.Assert(got < usual, qt.IsTrue, qt.Commentf("%v and %v", got, usual))
	c.Assert(got <= fx.ba.MedianLatency("w"), qt.IsTrue)
	for range 6 {
		fx.answer("b", 150*ms)
	}
	c.Assert(fx.ba.HedgeDelay(fx.now, fx.request(), slow) >= usual, qt.IsTrue)
}

// The latency that a hedged request would have had is never known. If such requests were
// left out, the quantile would fall and more requests would be hedged, until the budget is
// spent on hedges that gain nothing.
func TestHedgedRequestsDoNotLowerHedgeDelay(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	rn := rand.New(rand.NewPCG(5, 6))
	hedged, count := 0, 20_000
	for range count {
		pk := fx.choose()
		latency := ms + time.Duration(rn.Int64N(int64(99*ms)))
		delay := fx.ba.HedgeDelay(fx.now, fx.request(), pk)
		outcome := Served
		if latency > delay {
			hedged++
			fx.advance(delay)
			fx.ba.Overdue(fx.now, pk)
			latency, outcome = 5*ms, Abandoned
		}
		fx.advance(latency)
		fx.ba.Done(fx.now, pk, Report{Outcome: outcome})
		fx.answer("b", 30*ms) // This is the server of the hedge.
	}
	fraction := float64(hedged) / float64(count)
	c.Assert(fraction > 0.05 && fraction < 0.2, qt.IsTrue, qt.Commentf("%.3f", fraction))
}

func TestOldLatenciesDecay(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"))
	for range 1000 {
		fx.answer("a", 10*ms)
	}
	for range 500 {
		fx.answer("a", 100*ms)
	}
	got := fx.ba.MedianLatency("w")
	c.Assert(got > 90*ms && got < 110*ms, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(fx.ba.MedianLatency("unknown") > 0, qt.IsTrue)
}

func TestLatenciesAfterThreeDays(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"))
	for range 3 * 24 {
		fx.answer("a", 10*ms)
		fx.advance(time.Hour)
	}
	got := fx.ba.MedianLatency("w")
	c.Assert(got > 9*ms && got < 11*ms, qt.IsTrue, qt.Commentf("%v", got))
}

// The process is frozen for 8 s while requests are in flight, which then seem to have taken
// 8 s. None of their servers may be blamed for it.
func TestResumedIgnoresRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	first, second := fx.chooseServer("a"), fx.chooseServer("b")
	fx.ba.Overdue(fx.now, second)
	fx.advance(8 * time.Second)
	fx.ba.Resumed(fx.now)
	fx.ba.Overdue(fx.now, first)
	fx.ba.Done(fx.now, first, Report{Outcome: Served})
	fx.ba.Done(fx.now, second, Report{Outcome: Unreachable})
	c.Assert(fx.ba.MedianLatency("w") < 15*ms, qt.IsTrue)
	c.Assert(fx.unhealthy("a"), qt.IsFalse)
	c.Assert(fx.unhealthy("b"), qt.IsFalse)
}

func TestClassesAreBounded(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"))
	for ix := range 2 * maxClasses {
		fx.advance(ms)
		pk, _ := fx.ba.Choose(fx.now, Request{Service: "s", Class: fmt.Sprint(ix)})
		fx.ba.Done(fx.now, pk, Report{Outcome: Served})
	}
	c.Assert(fx.ba.classes, qt.HasLen, maxClasses)
	c.Assert(fx.ba.classes[fmt.Sprint(2*maxClasses-1)], qt.IsNotNil)
}

func TestNoAllocations(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"), ready("c"))
	fx.train("a", "b", "c")
	rq := fx.request()
	got := testing.AllocsPerRun(1000, func() {
		pk, _ := fx.ba.Choose(fx.now, rq)
		fx.ba.HedgeDelay(fx.now, rq, pk)
		fx.advance(10 * ms)
		fx.ba.Done(fx.now, pk, Report{Outcome: Served})
	})
	c.Assert(got, qt.Equals, 0.0)
}

func TestConcurrentUse(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"), ready("c"))
	var wg sync.WaitGroup
	for gr := range 8 {
		wg.Go(func() {
			rn := rand.New(rand.NewPCG(uint64(gr), 1))
			for ix := range 500 {
				now := simStart.Add(time.Duration(ix) * ms)
				rq := fx.request()
				pk, ok := fx.ba.Choose(now, rq)
				if !ok {
					continue
				}
				fx.ba.HedgeDelay(now, rq, pk)
				fx.ba.Overdue(now, pk)
				fx.ba.Done(now.Add(ms), pk, Report{Outcome: Outcome(rn.IntN(int(Canceled) + 1)), HasLoad: true, Slots: 2})
				if ix%50 == 0 {
					fx.ba.Update(now, map[string][]registry.Server{"s": {ready("a"), ready("b"), ready(fmt.Sprint(ix))}})
					fx.ba.Resumed(now)
				}
				fx.ba.MedianLatency("w")
			}
		})
	}
	wg.Wait()
	for _, se := range fx.ba.servers {
		c.Assert(se.inFlight, qt.HasLen, 0)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{3, 13} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			ba := New(Config{Seed: 1})
			var servers []registry.Server
			for ix := range count {
				servers = append(servers, ready(fmt.Sprint(ix)))
			}
			now := simStart
			ba.Update(now, map[string][]registry.Server{"s": servers})
			rq := Request{Service: "s", Class: "w"}
			for b.Loop() {
				pk, _ := ba.Choose(now, rq)
				ba.HedgeDelay(now, rq, pk)
				now = now.Add(time.Millisecond)
				ba.Done(now, pk, Report{Outcome: Served})
			}
		})
	}
}
