package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A server crashes with six requests in flight, which all fail at once. Counted as six
// consecutive failures, they would eject the restarted server for the longest time although
// no probe failed. They count once.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	var picks []Pick
	for range 6 {
		picks = append(picks, fx.chooseServer("a"))
	}
	for _, pk := range picks {
		fx.ba.Done(fx.now, pk, Report{Outcome: Unreachable})
	}
	fx.advance(minEjection + ms)
	c.Assert(fx.choose().Server.ID, qt.Equals, "a")
}

// A replica pauses while five requests wait there, and all five are hedged. If each doubled
// the time for which the server is suspect, a pause of 250 ms would make it suspect for two
// seconds. They count once.
func TestConcurrentAbandonedRequestsCountOnce(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	var picks []Pick
	for range 5 {
		picks = append(picks, fx.chooseServer("a"))
	}
	fx.advance(50 * ms)
	for _, pk := range picks {
		fx.ba.Overdue(fx.now, pk)
	}
	for _, pk := range picks {
		fx.advance(ms)
		fx.ba.Done(fx.now, pk, Report{Outcome: Abandoned})
	}
	fx.advance(200 * ms)
	c.Assert(fx.unhealthy("a"), qt.IsFalse)
}

// A slow request is hedged and abandoned at a server that answers others meanwhile. If its
// latency were left out because the server had answered, the hedge delay would fall and
// more requests than HedgeFraction would be hedged.
func TestHedgeDelayStableWhileServerAnswersOthers(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"))
	rn := rand.New(rand.NewPCG(5, 6))
	hedged, count := 0, 20_000
	for range count {
		pk := fx.choose()
		latency := ms + time.Duration(rn.Int64N(int64(99*ms)))
		delay := fx.ba.HedgeDelay(fx.now, fx.request(), pk)
		if latency <= delay {
			fx.advance(latency)
			fx.ba.Done(fx.now, pk, Report{Outcome: Served})
			continue
		}
		hedged++
		other := fx.choose()
		fx.advance(delay)
		fx.ba.Overdue(fx.now, pk)
		fx.ba.Done(fx.now, other, Report{Outcome: Served})
		fx.advance(5 * ms)
		fx.ba.Done(fx.now, pk, Report{Outcome: Abandoned})
	}
	fraction := float64(hedged) / float64(count)
	c.Assert(fraction > 0.04 && fraction < 0.12, qt.IsTrue, qt.Commentf("%.3f", fraction))
}

// A request's deadline passes without a call of Overdue. Its server becomes suspect all the
// same.
func TestAbandonedAfterHedgeDelayMakesServerSuspect(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	fx.finish("a", 500*ms, Abandoned)
	c.Assert(fx.unhealthy("a"), qt.IsTrue)
}

// A server's address belongs to another one now. The registry drops the old server and,
// after a reconnect, lists it once more: it must not be chosen again, as the request would
// be answered with a 421.
func TestReplacedServerStaysExcludedWhenListedAgain(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.finish("a", ms, Replaced)
	fx.setServers(ready("b"))
	fx.setServers(ready("a"), ready("b"))
	c.Assert(fx.countChoices(50), qt.DeepEquals, map[string]int{"b": 50})
}

func TestReplacedServersAreBounded(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c)
	for ix := range 2 * maxReplaced {
		id := fmt.Sprint(ix)
		fx.setServers(ready(id))
		fx.finish(id, ms, Replaced)
	}
	c.Assert(fx.ba.replaced, qt.HasLen, maxReplaced)
	c.Assert(fx.ba.replacedOrder, qt.HasLen, maxReplaced)
}

// A backend server restarts under its id after it was replaced at its address for a while,
// or after it was slow. Judged by its earlier start it would never get a request again.
// Requests still in flight to the earlier start must not count for the new one.
func TestRestartedServerStartsWithoutHistory(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	old := fx.chooseServer("a")
	fx.finish("a", ms, Replaced)
	fx.setServers(ready("a"), ready("b"))
	c.Assert(fx.countChoices(50), qt.DeepEquals, map[string]int{"b": 50})
	restarted := ready("a")
	restarted.Born = 20
	fx.setServers(restarted, ready("b"))
	fx.ba.Done(fx.now, old, Report{Outcome: Failed})
	c.Assert(fx.countChoices(50)["a"] > 10, qt.IsTrue)
	c.Assert(fx.ba.NumReady("s"), qt.Equals, 2)
	// The earlier start stays replaced, in case it is still listed somewhere.
	fx.setServers(ready("a"), ready("b"))
	c.Assert(fx.ba.NumReady("s"), qt.Equals, 1)
}
