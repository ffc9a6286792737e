package replica

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
)

// A replica in the local data centre is stalled, and both connections that this instance
// may open to it carry waiting requests. Further requests must go to the other replicas at
// once, and fail at once when all are full, instead of repeatedly finding no free
// connection at the stalled one.
func TestServerAtMaxInFlightIsNotChosen(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	ba := New(Config{DataCentre: "a", Seed: 1})
	ba.Update(now, map[string][]registry.Server{"shard": {
		{ID: "near", Service: "shard", DataCentre: "a", Slots: 2},
		{ID: "far", Service: "shard", DataCentre: "b", Slots: 2},
	}})
	ba.SetMaxInFlight(map[string]int{"shard": 2})
	rq := Request{Service: "shard", Class: "w"}
	chosen := map[string]int{}
	var last Pick
	for range 4 {
		pk, ok := ba.Choose(now, rq)
		c.Assert(ok, qt.IsTrue)
		chosen[pk.Server.ID]++
		last = pk
	}
	c.Assert(chosen, qt.DeepEquals, map[string]int{"near": 2, "far": 2})
	_, ok := ba.Choose(now, rq)
	c.Assert(ok, qt.IsFalse)
	c.Assert(ba.NumReady("shard"), qt.Equals, 2)
	ba.Done(now.Add(time.Millisecond), last, Report{Outcome: Served})
	pk, ok := ba.Choose(now.Add(time.Millisecond), rq)
	c.Assert(ok, qt.IsTrue)
	c.Assert(pk.Server.ID, qt.Equals, last.Server.ID)
}
