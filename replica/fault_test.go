package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A server crashes with six requests in flight, and all of them fail at once. It
// is back soon, but the six counted as six failures in a row: it was set aside for
// the longest time, though not one probe had failed. They count once.
func TestRequestsThatFailTogetherCountOnce(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	var held []Pick
	for range 6 {
		held = append(held, be.only("a"))
	}
	for _, pk := range held {
		be.tb.Done(be.now, pk, Report{Outcome: Unreachable})
	}
	be.pass(leastAside + ms)
	c.Assert(be.choose().Server.ID, qt.Equals, "a")
}

// A replica pauses while five requests wait there, and all five are hedged. Each
// doubled the time for which it counts as suspect, to two seconds for a pause of a
// quarter of one. They count once.
func TestRequestsThatWaitTogetherCountOnce(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	var held []Pick
	for range 5 {
		held = append(held, be.only("a"))
	}
	be.pass(50 * ms)
	for _, pk := range held {
		be.tb.Overdue(be.now, pk)
	}
	for _, pk := range held {
		be.pass(ms)
		be.tb.Done(be.now, pk, Report{Outcome: Abandoned})
	}
	be.pass(200 * ms)
	c.Assert(be.doubtful("a"), qt.IsFalse)
}

// One request takes long at a server that answers others meanwhile. It was hedged
// and given up, but since the server had answered, its latency was left out: the
// hedge time fell, and more requests were hedged than HedgeShare.
func TestHedgesBesideAnswersDontLowerTheHedgeTime(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"))
	rn := rand.New(rand.NewPCG(5, 6))
	hedged, count := 0, 20_000
	for range count {
		pk := be.choose()
		latency := ms + time.Duration(rn.Int64N(int64(99*ms)))
		delay := be.tb.HedgeDelay(be.now, be.ask(), pk)
		if latency <= delay {
			be.pass(latency)
			be.tb.Done(be.now, pk, Report{Outcome: Served})
			continue
		}
		hedged++
		other := be.choose()
		be.pass(delay)
		be.tb.Overdue(be.now, pk)
		be.tb.Done(be.now, other, Report{Outcome: Served})
		be.pass(5 * ms)
		be.tb.Done(be.now, pk, Report{Outcome: Abandoned})
	}
	share := float64(hedged) / float64(count)
	c.Assert(share > 0.04 && share < 0.12, qt.IsTrue, qt.Commentf("%.3f", share))
}

// Time runs out for a request of which nobody told that it was overdue. Its server
// let it wait in vain all the same.
func TestSilenceBeyondTheHedgeTimeIsOverdue(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	be.end("a", 500*ms, Abandoned)
	c.Assert(be.doubtful("a"), qt.IsTrue)
}

// An address belongs to another server now. The book that named the old one
// drops it and, after a reconnect, names it once more: it was asked again, and the
// request was lost to a 421.
func TestMovedStaysAfterItWasDropped(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.end("a", ms, Replaced)
	be.list(ready("b"))
	be.list(ready("a"), ready("b"))
	c.Assert(be.shares(50), qt.DeepEquals, map[string]int{"b": 50})
}

func TestMovedAreBounded(t *testing.T) {
	c := qt.New(t)
	be := newBench(c)
	for ix := range 2 * mostMoved {
		id := fmt.Sprint(ix)
		be.list(ready(id))
		be.end(id, ms, Replaced)
	}
	c.Assert(be.tb.moved, qt.HasLen, mostMoved)
	c.Assert(be.tb.movedOrder, qt.HasLen, mostMoved)
}

// A backend server starts again under its id after its address was another's for a
// while, or after it was slow. Judged by the start before, it would get no request for
// good; and what is still under way there must not count for the new one.
func TestStartsAgain(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	old := be.only("a")
	be.end("a", ms, Replaced)
	be.list(ready("a"), ready("b"))
	c.Assert(be.shares(50), qt.DeepEquals, map[string]int{"b": 50})
	again := ready("a")
	again.Born = 20
	be.list(again, ready("b"))
	be.tb.Done(be.now, old, Report{Outcome: Failed})
	c.Assert(be.shares(50)["a"] > 10, qt.IsTrue)
	c.Assert(be.tb.NumReady("s"), qt.Equals, 2)
	// The start before stays moved, in case somebody still lists it.
	be.list(ready("a"), ready("b"))
	c.Assert(be.tb.NumReady("s"), qt.Equals, 1)
}
