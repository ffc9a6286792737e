package limit

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/view"
)

// viewOf returns a view in which service s has the given entry instances, and
// servers a, b and so on hold its shards in turn.
func viewOf(servers, shards, slots, entries int) *view.View {
	vi := &view.View{}
	pa := operator.Partition{Number: 1}
	for ix := range shards {
		pa.Shards = append(pa.Shards, fmt.Sprint(ix))
	}
	for ix := range servers {
		vi.Servers = append(vi.Servers, backend.Record{
			Server: fmt.Sprintf("%c%.*d", 'a'+ix%26, min(1, ix/26), ix/26), Service: "s",
			Incarnation: 1, Sequence: 1, State: backend.Serving, Slots: slots, ConnectionLimit: 110,
			Holdings: []backend.Holding{{Shard: fmt.Sprint(ix % shards), Snapshot: snapshot.ID{Partition: 1, Version: 1}}},
		})
	}
	for ix := range entries {
		vi.Instances = append(vi.Instances, view.Instance{Name: fmt.Sprint(ix), Entry: true})
	}
	vi.Configuration.Services = map[string]operator.Service{"s": {Entries: entries, Partitions: []operator.Partition{pa}}}
	vi.Configuration.Limits.MaxEntries = min(entries, 110)
	return vi
}

// tableOf returns a table of servers that all hold one shard, and their records.
func tableOf(cf TableConfig, n int) (*Table, []backend.Record) {
	vi := viewOf(n, 1, 8, 1)
	ta := NewTable(nil, cf)
	ta.update(t0, vi)
	return ta, vi.Servers
}

// warmTable brings each server of a table into the serving state, with replies
// of 5 ms.
func warmTable(ta *Table, res []backend.Record, now time.Time) {
	for _, re := range res {
		for range 2 * warmupReplies {
			ch, _ := ta.Pick(now, operator.Adaptive, []backend.Record{re}, nil)
			ta.Done(now, ch, Outcome{Kind: OK, Latency: 5 * ms})
		}
	}
	for _, gr := range ta.st.Load().groups {
		gr.review(now)
	}
}

func picks(ta *Table, now time.Time, res []backend.Record, n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		ch, ok := ta.Pick(now, operator.Adaptive, res, nil)
		if !ok {
			counts["none"]++
			continue
		}
		counts[ch.Server]++
		ta.Done(now, ch, Outcome{Kind: OK, Latency: 5 * ms})
	}
	return counts
}

// A hedge has won and the slow request was cancelled, but the server continues
// to work on it for a while. A request sent to that slot would be shed. The slot
// stays taken until the server confirms the end or the timeout passes, and no
// longer.
func TestSlotHeldUntilReleased(t *testing.T) {
	for _, tc := range []struct {
		name    string
		hold    HoldPolicy
		outcome Outcome
		then    func(ta *Table, ch Choice)
		after   time.Duration
		held    int
	}{
		{"held", HoldUntilReleased, Outcome{Kind: Cancelled}, nil, 0, 1},
		{"held until the timeout", HoldUntilReleased, Outcome{Kind: TimedOut}, nil, DefaultHoldTimeout - 1, 1},
		{"timeout", HoldUntilReleased, Outcome{Kind: ConnectionLost}, nil, DefaultHoldTimeout, 0},
		{"late reply", HoldUntilReleased, Outcome{Kind: Cancelled}, func(ta *Table, ch Choice) { ta.ReleaseSlot(t0, ch) }, 0, 0},
		{"released at once", HoldUntilReleased, Outcome{Kind: Cancelled, SlotReleased: true}, nil, 0, 0},
		{"not run", HoldUntilReleased, Outcome{Kind: Shed}, nil, 0, 0},
		{"freed", ReleaseImmediately, Outcome{Kind: Cancelled}, nil, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			ta, res := tableOf(TableConfig{Hold: tc.hold}, 1)
			ch, ok := ta.Pick(t0, operator.Adaptive, res, nil)
			c.Assert(ok, qt.IsTrue)
			ta.Done(t0, ch, tc.outcome)
			ta.Done(t0, ch, tc.outcome) // a second end of the same request must be ignored
			if tc.then != nil {
				tc.then(ta, ch)
			}
			now := t0.Add(tc.after)
			se, _ := ta.Server(now, "a")
			running, held := se.InFlight()
			c.Assert([]int{running, held}, qt.DeepEquals, []int{0, tc.held})
			_, ok = ta.Pick(now, operator.Adaptive, res, nil)
			c.Assert(ok, qt.Equals, tc.held == 0 && tc.outcome.Kind != Shed)
		})
	}
}

// A server restarts while a request is in flight. The slot is gone with the old
// process, so the late end of the request must not free a slot of the new one.
func TestRestartDiscardsRequestsInFlight(t *testing.T) {
	c := qt.New(t)
	ta, res := tableOf(TableConfig{}, 1)
	old, _ := ta.Pick(t0, operator.Adaptive, res, nil)
	res[0].Incarnation = 2
	ta.update(t0, &view.View{Servers: res})
	_, ok := ta.Pick(t0, operator.Adaptive, res, nil)
	c.Assert(ok, qt.IsTrue)
	ta.Done(t0, old, Outcome{Kind: OK, Latency: 5 * ms})
	se, _ := ta.Server(t0, "a")
	running, _ := se.InFlight()
	c.Assert(running, qt.Equals, 1)
}

// A server drains, but this instance's view doesn't show it yet. After the first
// draining reply no more requests may be sent, although the view still says
// Serving.
func TestDrainingReplyTakesEffectAtOnce(t *testing.T) {
	c := qt.New(t)
	ta, res := tableOf(TableConfig{}, 2)
	warmTable(ta, res, t0)
	ch, _ := ta.Pick(t0, operator.Adaptive, res, []string{"b"})
	ta.Done(t0, ch, Outcome{Kind: Draining})
	ta.update(t0, &view.View{Servers: res})
	c.Assert(picks(ta, t0, res, 100), qt.DeepEquals, map[string]int{"b": 100})
	_, able := ta.RetryDelay(t0, res, []string{"b"})
	c.Assert(able, qt.IsFalse)
}

// A replica stops replying. Requests to it would pile up until their deadlines.
// So it is ejected after a while without replies, gets single probes, and
// returns to full load slowly after successful ones.
func TestStuckReplicaIsEjectedAndProbed(t *testing.T) {
	c := qt.New(t)
	ta, res := tableOf(TableConfig{}, 2)
	warmTable(ta, res, t0)
	stuck, _ := ta.Pick(t0, operator.Adaptive, res, []string{"b"})
	now := t0.Add(200 * ms)
	c.Assert(picks(ta, now, res, 50), qt.DeepEquals, map[string]int{"b": 50})
	se, _ := ta.Server(now, "a")
	c.Assert(se.Reason(), qt.Equals, Stuck)
	ta.Done(now, stuck, Outcome{Kind: OK, Latency: 200 * ms})
	c.Assert(picks(ta, now, res[:1], 1), qt.DeepEquals, map[string]int{"a": 1}, qt.Commentf("no other candidate"))

	now = now.Add(time.Second)
	for range minGoodProbes {
		ch, _ := ta.Pick(now, operator.Adaptive, res, nil)
		c.Assert([]any{ch.Server, ch.Probe}, qt.DeepEquals, []any{"a", true})
		other, _ := ta.Pick(now, operator.Adaptive, res, nil)
		c.Assert(other.Server, qt.Equals, "b", qt.Commentf("one probe at a time"))
		ta.Done(now, other, Outcome{Kind: OK, Latency: 5 * ms})
		ta.Done(now, ch, Outcome{Kind: OK, Latency: 5 * ms})
		now = now.Add(probeInterval)
	}
	se, _ = ta.Server(now, "a")
	c.Assert([]any{se.State(), se.maxInFlight()}, qt.DeepEquals, []any{StateCold, 1})
}

// A slow replica is ejected, and the other one is full. If requests waited only
// for the other, the slow replica's slots would be lost when they are needed
// most.
func TestSlowReplicaServesWhenOthersAreFull(t *testing.T) {
	c := qt.New(t)
	ta, res := tableOf(TableConfig{}, 2)
	warmTable(ta, res, t0)
	en := ta.st.Load().servers["a"]
	en.applyComparison(Compared{Now: t0, MedianLatency: 5 * ms, Verdict: Eject, Reason: Slow})
	c.Assert(picks(ta, t0, res, 10), qt.DeepEquals, map[string]int{"b": 10})
	chosen := map[string]int{}
	for ok := true; ok; {
		var ch Choice
		ch, ok = ta.Pick(t0, operator.Adaptive, res, nil)
		chosen[ch.Server]++
	}
	se, _ := ta.Server(t0, "b")
	c.Assert(chosen, qt.DeepEquals, map[string]int{"a": 1, "b": se.maxInFlight(), "": 1})
}

// A replica has failed and refuses connections. It answers faster than any other
// and never has requests in flight, so by load alone it would get all requests.
func TestFailingReplicaGetsFewRequests(t *testing.T) {
	c := qt.New(t)
	ta, res := tableOf(TableConfig{}, 2)
	warmTable(ta, res, t0)
	dead := 0
	var open []Choice
	for range 8 {
		ch, _ := ta.Pick(t0, operator.Adaptive, res, nil)
		if ch.Server == "b" {
			open = append(open, ch)
			continue
		}
		dead++
		ta.Done(t0, ch, Outcome{Kind: Failed})
	}
	for _, ch := range open {
		ta.Done(t0, ch, Outcome{Kind: OK, Latency: 5 * ms})
	}
	c.Assert(dead <= 2, qt.IsTrue, qt.Commentf("%d of 8 sent to it", dead))
	c.Assert(picks(ta, t0.Add(2*staleAfter), res, 30)["a"] > 0, qt.IsTrue, qt.Commentf("it may have recovered"))
}

// A new replica with empty caches joins busy ones. If it got its full share at
// once, that many queries would be slow; it starts with a small one.
func TestColdReplicaGetsLittleLoad(t *testing.T) {
	c := qt.New(t)
	ta, res := tableOf(TableConfig{}, 3)
	warmTable(ta, res[:2], t0)
	var chs []Choice
	cold := 0
	for range 12 {
		ch, ok := ta.Pick(t0, operator.Adaptive, res, nil)
		c.Assert(ok, qt.IsTrue)
		if ch.Server == "c" {
			cold++
		}
		chs = append(chs, ch)
	}
	c.Assert(cold, qt.Equals, 1)
	for _, ch := range chs {
		ta.Done(t0, ch, Outcome{Kind: OK, Latency: 5 * ms})
	}
	c.Assert(picks(ta, t0, res, 50)["c"], qt.Equals, 0)
	c.Assert(picks(ta, t0.Add(warmupRamp), res, 30)["c"] > 0, qt.IsTrue, qt.Commentf("it must not stay cold for ever"))
	picks(ta, t0, res[2:], warmupReplies)
	counts := picks(ta, t0.Add(warmupRamp), res, 300)
	c.Assert(counts["c"] > 60, qt.IsTrue, qt.Commentf("%v", counts))
}

// Many goroutines use one table. The connection share of each server always
// bounds its requests in flight, and at the end none is in flight or held.
func TestTableConcurrent(t *testing.T) {
	c := qt.New(t)
	ta, res := tableOf(TableConfig{}, 6)
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			rn := rand.New(rand.NewPCG(1, uint64(worker)))
			for step := range 2000 {
				now := t0.Add(time.Duration(step) * ms)
				tactics := []operator.Tactics{operator.Adaptive, operator.Baseline}[rn.IntN(2)]
				ch, ok := ta.Pick(now, tactics, res, nil)
				if !ok {
					continue
				}
				if se, _ := ta.Server(now, ch.Server); se.inFlight > ch.MaxConnections {
					t.Errorf("%d in flight over %d connections", se.inFlight, ch.MaxConnections)
				}
				ki := []OutcomeKind{OK, OK, Shed, Cancelled, Failed, NotSent}[rn.IntN(6)]
				ta.Done(now, ch, Outcome{Kind: ki, Latency: 5 * ms})
				ta.ReleaseSlot(now, ch)
				ta.ObserveLatency("s", 5*ms)
			}
		})
	}
	wg.Wait()
	for _, re := range res {
		se, _ := ta.Server(t0.Add(time.Hour), re.Server)
		running, held := se.InFlight()
		c.Assert([]int{running, held}, qt.DeepEquals, []int{0, 0})
	}
}

// Two queries wait for the same full server. The freed slot goes to the one that
// came first or, if that has been answered from elsewhere, to the next.
func TestWaitersNotifiedInOrder(t *testing.T) {
	c := qt.New(t)
	ta, res := tableOf(TableConfig{}, 1)
	ch, _ := ta.Pick(t0, operator.Adaptive, res, nil)
	first, second := ta.NewWaiter(t0, res, nil), ta.NewWaiter(t0, res, nil)
	ta.Done(t0, ch, Outcome{Kind: OK, Latency: 5 * ms})
	c.Assert([]int{len(first.Available()), len(second.Available())}, qt.DeepEquals, []int{1, 0})
	first.Close()
	c.Assert(len(second.Available()), qt.Equals, 1)
	second.Close()
}
