package replica

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/outlier"
	"balsamwinch.example/registry"
	"balsamwinch.example/stall"
)

// newStallFixture returns a trained balancer that shares stalls, with servers named a, b, ...
func newStallFixture(c *qt.C, count int) *fixture {
	var ses []registry.Server
	var ids []string
	for ix := range count {
		ids = append(ids, string(rune('a'+ix)))
		ses = append(ses, ready(ids[ix]))
	}
	fx := newFixture(c, ses...)
	fx.train(ids...)
	fx.ba.SetSharedStalls(true)
	return fx
}

// checkFor calls CheckStalls as often as it asks for the given time and returns the
// observations.
func (fx *fixture) checkFor(span time.Duration) []stall.Observation {
	var out []stall.Observation
	for end := fx.now.Add(span); ; {
		obs, delay, busy := fx.ba.CheckStalls(fx.now)
		out = append(out, obs...)
		if !busy || fx.now.Add(delay).After(end) {
			fx.now = end
			return out
		}
		fx.advance(delay)
	}
}

func (fx *fixture) hear(id string, left time.Duration) {
	fx.ba.HearStalls(fx.now, 0, []stall.Stall{{ID: id, AgeMillis: 30, LeftMillis: uint32(left / ms)}})
}

// Guards against stalls that are reported late or not at all: the request is abandoned or
// hedged long before it gets its answer.
func TestStuckRequestIsReportedWithinMilliseconds(t *testing.T) {
	c := qt.New(t)
	fx := newStallFixture(c, 3)
	pk := fx.choose()
	<-fx.ba.StallWork()
	c.Assert(fx.checkFor(20*ms), qt.HasLen, 0)
	obs := fx.checkFor(20 * ms)
	c.Assert(obs, qt.HasLen, 1)
	c.Assert(obs[0].ID, qt.Equals, pk.Server.ID)
	c.Assert(obs[0].AgeMillis <= 35, qt.IsTrue)
	fx.ba.Done(fx.now, pk, Report{Outcome: Abandoned})
	obs, _, busy := fx.ba.CheckStalls(fx.now)
	c.Assert(busy, qt.IsFalse)
	c.Assert(obs, qt.DeepEquals, []stall.Observation{{ID: pk.Server.ID, Kind: stall.Abandoned, AgeMillis: 40, Group: stall.GroupOf("s")}})
}

// Guards against reports that say nothing about a server: a known fault explains the
// request, or the process paused itself.
func TestStuckRequestIsNotReported(t *testing.T) {
	tests := []struct {
		name  string
		event func(fx *fixture)
	}{
		{"slow by a finding", func(fx *fixture) {
			fx.chooseServer("a")
			fx.ba.ApplyFindings(fx.now, []outlier.Finding{{ID: "a", Slowness: 1}})
		}},
		{"answered in time", func(fx *fixture) { fx.answer("a", 15*ms) }},
		{"pause of this process", func(fx *fixture) {
			fx.chooseServer("a")
			fx.checkFor(5 * ms)
			fx.advance(80 * ms)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fx := newStallFixture(qt.New(t), 5)
			tt.event(fx)
			qt.Assert(t, fx.checkFor(20*ms), qt.HasLen, 0)
		})
	}
}

// Guards against reports on all servers when this instance, or its network, is the cause.
func TestManyStuckServersAreNotReported(t *testing.T) {
	c := qt.New(t)
	fx := newStallFixture(c, 12)
	for id := range fx.ba.servers {
		fx.chooseServer(id)
	}
	c.Assert(len(fx.checkFor(200*ms)) <= minStuckBound, qt.IsTrue)
	c.Assert(fx.ba.StallCounts().Ignored > 0, qt.IsTrue)
}

// Guards against requests to a server that others have found stalled, against a herd at one
// of the others, against avoiding it beyond its stall, and against avoiding all replicas.
func TestStalledServerIsAvoided(t *testing.T) {
	c := qt.New(t)
	fx := newStallFixture(c, 3)
	fx.hear("a", 100*ms)
	counts := fx.countChoices(200)
	c.Assert(counts["a"], qt.Equals, 0)
	c.Assert(counts["b"] > 70 && counts["c"] > 70, qt.IsTrue) // Otherwise one gets the load of all.
	fx.hear("b", 60*ms)
	c.Assert(fx.countChoices(200), qt.DeepEquals, map[string]int{"c": 200})
	fx.hear("c", 90*ms)
	c.Assert(fx.countChoices(200), qt.DeepEquals, map[string]int{"b": 200})
	fx.advance(101 * ms)
	c.Assert(len(fx.countChoices(200)), qt.Equals, 3)
}

// Guards against a stalled server that is avoided in favour of one that fails: that costs
// more than the rest of a stall.
func TestStalledServerIsBetterThanFailingOnes(t *testing.T) {
	c := qt.New(t)
	fx := newStallFixture(c, 2)
	fx.finish("b", ms, Shed)
	fx.hear("a", 100*ms)
	c.Assert(fx.choose().Server.ID, qt.Equals, "a")
}

// Guards against a hedge that waits for the usual delay although the server is known to be
// stalled, and against a useless one when no other server is free.
func TestRequestToStalledServerIsHedgedSooner(t *testing.T) {
	c := qt.New(t)
	fx := newStallFixture(c, 2)
	for range 40 {
		fx.answer("a", 10*ms)
		fx.answer("b", 40*ms)
	}
	fx.advance(30 * time.Second) // The slowness of b has decayed.
	fx.answer("b", 10*ms)
	pk := fx.chooseServer("a")
	before := fx.ba.HedgeDelay(fx.now, fx.request(), pk)
	c.Assert(fx.ba.StalledWithFree(fx.now, fx.request("a"), pk), qt.IsFalse)
	fx.hear("a", 100*ms)
	c.Assert(fx.ba.StalledWithFree(fx.now, fx.request("a"), pk), qt.IsTrue)
	c.Assert(fx.ba.HedgeDelay(fx.now, fx.request(), pk) < before, qt.IsTrue)
	fx.hear("b", 100*ms)
	c.Assert(fx.ba.StalledWithFree(fx.now, fx.request("a"), pk), qt.IsFalse)
}

// Guards against any change of choices and hedge delays in a tier where stalls are not
// shared: it must behave call for call as before.
func TestStallsThatAreNotSharedChangeNothing(t *testing.T) {
	c := qt.New(t)
	run := func(news bool) string {
		fx := newStallFixture(c, 3)
		fx.ba.SetSharedStalls(false)
		log := ""
		for range 200 {
			if news {
				fx.hear("a", 100*ms)
				fx.ba.CheckStalls(fx.now)
			}
			pk := fx.choose()
			log += fmt.Sprint(pk.Server.ID, pk.Unhealthy, fx.ba.HedgeDelay(fx.now, fx.request(), pk))
			fx.advance(12 * ms)
			fx.ba.Done(fx.now, pk, Report{Outcome: Served})
		}
		return log
	}
	c.Assert(run(true), qt.Equals, run(false))
}

// Guards against news from before a pause of this process, or about an earlier start of a
// server, being applied.
func TestOutdatedNewsOfStalls(t *testing.T) {
	c := qt.New(t)
	fx := newStallFixture(c, 2)
	fx.hear("a", 300*ms)
	fx.ba.Resumed(fx.now)
	c.Assert(fx.countChoices(100)["a"] > 0, qt.IsTrue)
	count := fx.ba.HearStalls(fx.now, 0, []stall.Stall{{ID: "a", Born: 5, LeftMillis: 100}, {ID: "z", LeftMillis: 100}})
	c.Assert(count, qt.Equals, 0)
	c.Assert(fx.countChoices(100)["a"] > 0, qt.IsTrue)
}

// forecastStall applies a forecast of a stall of 120 ms every 3 s.
func (fx *fixture) forecastStall(id string, in time.Duration) {
	fx.ba.SetForecasts(fx.now, 0, []stall.Forecast{{
		ID: id, PeriodMicros: 3000000, InMillis: uint32(in / ms), LengthMillis: 120, SpreadMillis: 20,
	}})
}

// Guards against requests that are sent to a server just before its forecast stall, and
// against a server that nobody asks any more: some requests must confirm the forecast.
func TestForecastStallIsAvoided(t *testing.T) {
	c := qt.New(t)
	fx := newStallFixture(c, 3)
	fx.forecastStall("a", time.Second)
	c.Assert(fx.countChoices(600)["a"] > 150, qt.IsTrue)
	fx.advance(972 * ms)
	counts := fx.countChoices(3000)
	c.Assert(counts["a"] > 10 && counts["a"] < 120, qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(counts["b"] > 1300 && counts["c"] > 1300, qt.IsTrue, qt.Commentf("%v", counts))
	fx.forecastStall("b", 30*ms)
	fx.forecastStall("c", 40*ms)
	fx.advance(60 * ms)
	counts = fx.countChoices(3000) // The stall of a began first and ends first.
	c.Assert(counts["a"] > 2600, qt.IsTrue, qt.Commentf("%v", counts))
	fx.advance(time.Second)
	c.Assert(fx.countChoices(600)["a"] > 150, qt.IsTrue)
}

// Guards against a hedge that waits although the server is about to stall, and against a
// forecast that is never found wrong.
func TestRequestsDuringForecastStall(t *testing.T) {
	c := qt.New(t)
	fx := newStallFixture(c, 2)
	for range 30 {
		fx.answer("b", 40*ms)
	}
	fx.advance(30 * time.Second)
	fx.answer("b", 10*ms)
	pk := fx.chooseServer("a")
	before := fx.ba.HedgeDelay(fx.now, fx.request(), pk)
	fx.forecastStall("a", 5*ms)
	c.Assert(fx.ba.HedgeDelay(fx.now, fx.request(), pk) < before, qt.IsTrue)
	fx.ba.Done(fx.now, pk, Report{Outcome: Served})
	fx.advance(30 * ms)
	fx.answer("a", 10*ms)
	obs, _, _ := fx.ba.CheckStalls(fx.now)
	c.Assert(obs, qt.HasLen, 1)
	c.Assert(obs[0].Kind, qt.Equals, stall.Quick)
}
