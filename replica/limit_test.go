package replica

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
)

// One replica stands still and both connections that this instance may open to it
// carry requests that wait. It is the one of the own data centre. Further requests
// must go to the other replicas at once, and be told when all are full, instead of
// finding no connection free at the first one again and again.
func TestFullServerIsNotChosen(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tb := New(Config{DataCentre: "a", Seed: 1})
	tb.Update(now, map[string][]registry.Server{"shard": {
		{ID: "near", Service: "shard", DataCentre: "a", Slots: 2},
		{ID: "far", Service: "shard", DataCentre: "b", Slots: 2},
	}})
	tb.SetMaxInFlight(map[string]int{"shard": 2})
	as := Request{Service: "shard", Class: "w"}
	chosen := map[string]int{}
	var last Pick
	for range 4 {
		pk, ok := tb.Choose(now, as)
		c.Assert(ok, qt.IsTrue)
		chosen[pk.Server.ID]++
		last = pk
	}
	c.Assert(chosen, qt.DeepEquals, map[string]int{"near": 2, "far": 2})
	_, ok := tb.Choose(now, as)
	c.Assert(ok, qt.IsFalse)
	c.Assert(tb.NumReady("shard"), qt.Equals, 2)
	tb.Done(now.Add(time.Millisecond), last, Report{Outcome: Served})
	pk, ok := tb.Choose(now.Add(time.Millisecond), as)
	c.Assert(ok, qt.IsTrue)
	c.Assert(pk.Server.ID, qt.Equals, last.Server.ID)
}
