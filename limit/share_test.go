package limit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
	"balsamwinch.example/view"
)

// Control admits MaxEntries instances at a time, even while one replaces
// another. For every limit their shares must fit, or the backend server refuses
// connections that an instance relies on.
func TestConnectionsPerInstanceWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit, maxEntries := rapid.IntRange(0, 200).Draw(rt, "limit"), rapid.IntRange(1, 1000).Draw(rt, "entries")
		if sum := maxEntries * ConnectionsPerInstance(limit, maxEntries); sum > limit {
			rt.Fatalf("%d connections over a limit of %d", sum, limit)
		}
	})
	c := qt.New(t)
	ta, res := tableOf(TableConfig{}, 1)
	vi := &view.View{Servers: res, Configuration: operator.Configuration{Limits: operator.Limits{MaxEntries: 111}}}
	ta.update(t0, vi)
	_, ok := ta.Pick(t0, operator.Baseline, res, nil)
	c.Assert(ok, qt.IsFalse, qt.Commentf("110 connections for 111 instances are none for each"))
}

// An instance fails or joins. If that reshuffled which instances serve which
// services, connections would be reopened everywhere. At most one place may
// move.
func TestSubsetMovesAtMostOnePlace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var ins []view.Instance
		for ix := range rapid.IntRange(2, 30).Draw(rt, "instances") {
			dc := fmt.Sprint("dc", rapid.IntRange(0, 3).Draw(rt, "centre"))
			ins = append(ins, view.Instance{Name: fmt.Sprint("i", ix), DataCentre: dc, Entry: true})
		}
		entries := rapid.IntRange(1, 8).Draw(rt, "entries")
		before := Subset("s", entries, ins)
		ins[rapid.IntRange(0, len(ins)-1).Draw(rt, "leaves")].Draining = true
		after := Subset("s", entries, ins)
		kept, centres := make(map[string]bool), make(map[string]int)
		for _, in := range after {
			kept[in.Name] = true
			centres[in.DataCentre]++
		}
		lost := 0
		for _, in := range before {
			if !kept[in.Name] {
				lost++
			}
		}
		if lost > 1 || len(after) != min(entries, len(ins)-1) {
			rt.Fatalf("%d of %d places lost, %d left", lost, len(before), len(after))
		}
		all := make(map[string]bool)
		for _, in := range ins {
			if !in.Draining {
				all[in.DataCentre] = true
			}
		}
		if len(centres) != min(len(all), len(after)) {
			rt.Fatalf("%d of %d data centres used for %d places", len(centres), len(all), len(after))
		}
	})
}

func TestNumEntries(t *testing.T) {
	c := qt.New(t)
	for slots, want := range []int{0, 2, 2, 3, 2, 5, 2, 2, 2, 3} {
		servers := []backend.Record{{Server: "a", Service: "s", Slots: 8}, {Server: "b", Service: "s", Slots: slots}, {Service: "x", Slots: 1}}
		se := operator.Service{Selector: operator.Selector{Service: "s"}, Exclude: []string{"a"}}
		c.Check(NumEntries(se, servers), qt.Equals, want, qt.Commentf("%d slots", slots))
		se.Entries = 9
		c.Check(NumEntries(se, servers), qt.Equals, 9)
	}
}

// A fault makes every request late. Hedging and retrying all of them would
// double the load on overloaded servers. In any period, the extra requests must
// stay within the percentage plus one burst.
func TestBudgetBoundsExtraRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		percent, burst := rapid.IntRange(0, 100).Draw(rt, "percent"), rapid.IntRange(0, 10).Draw(rt, "burst")
		bu := NewBudget(float64(percent), burst)
		earned := []int{0}
		spent := []int{0}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			n := rapid.IntRange(0, 50).Draw(rt, "requests")
			bu.Earn(n)
			sp := 0
			for sp < n && bu.Spend() {
				sp++
			}
			earned = append(earned, earned[len(earned)-1]+n)
			spent = append(spent, spent[len(spent)-1]+sp)
		}
		for from := range earned {
			for to := from; to < len(earned); to++ {
				if 100*(spent[to]-spent[from]) > percent*(earned[to]-earned[from])+100*burst {
					rt.Fatalf("%d extra for %d requests", spent[to]-spent[from], earned[to]-earned[from])
				}
			}
		}
	})
	c := qt.New(t)
	bu := NewBudget(5, 0)
	bu.Earn(20)
	c.Assert([]bool{bu.Spend(), bu.Spend()}, qt.DeepEquals, []bool{false, false}, qt.Commentf("without a burst nothing accumulates"))
}

// One reply in a hundred is ten times slower. A hedge delay based on the mean
// would hedge too often or too late. A high percentile stays just above the
// usual latency and follows when the service becomes slower.
func TestHedgeDelayFollowsHighPercentile(t *testing.T) {
	c := qt.New(t)
	ta := NewTable(nil, TableConfig{})
	c.Assert(ta.HedgeDelay("s"), qt.Equals, DefaultHedgeDelay)
	observe := func(n int, usual time.Duration) time.Duration {
		for ix := range n {
			la := usual
			if ix%100 == 0 {
				la *= 10
			}
			ta.ObserveLatency("s", la)
		}
		return ta.HedgeDelay("s").Round(ms)
	}
	c.Assert(observe(minHedgeSamples, 5*ms), qt.Equals, 5*ms)
	c.Assert(observe((numHedgeWindows+1)*hedgeWindowSize, 8*ms), qt.Equals, 8*ms)
	c.Assert(observe((numHedgeWindows+1)*hedgeWindowSize, 4*ms), qt.Equals, 4*ms)
}
