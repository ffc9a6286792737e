package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
	"balsamwinch.example/warmup"
)

// newColdBalancer returns a balancer with one cold server and one warm server.
func newColdBalancer(now time.Time, minInterval time.Duration) *Balancer {
	ba := New(Config{Seed: 1})
	ba.Update(now, map[string][]registry.Server{"shard": {
		{ID: "cold", Service: "shard", Slots: 2, WarmMillis: 3000},
		{ID: "warm", Service: "shard", Slots: 2},
	}})
	ba.SetWarmups(map[string]Warmup{"shard": {Allowance: warmup.Allowance{Probability: 1, MinInterval: minInterval}, Duration: 3 * time.Second}})
	return ba
}

// Guards against a cold server that gets as many requests as a warm one.
func TestColdServerGetsLimitedRate(t *testing.T) {
	now := time.Unix(1000, 0)
	ba := newColdBalancer(now, time.Second)
	chosen := map[string]int{}
	for range 1000 {
		pk, ok := ba.Choose(now, Request{Service: "shard", Class: "w"})
		qt.Assert(t, ok, qt.IsTrue)
		chosen[pk.Server.ID]++
		now = now.Add(5 * time.Millisecond)
		ba.Done(now, pk, Report{Outcome: Served})
	}
	qt.Assert(t, chosen["cold"] <= 6, qt.IsTrue, qt.Commentf("%v", chosen))
	qt.Assert(t, chosen["warm"]+chosen["cold"], qt.Equals, 1000)
}

// Guards against requests that wait for a cold server until they are late: the balancer
// reports that all remaining servers are warming up.
func TestAllWarmingUp(t *testing.T) {
	now := time.Unix(1000, 0)
	ba := newColdBalancer(now, time.Second)
	rq := Request{Service: "shard", Class: "w", Avoid: []string{"warm"}}
	ba.AllWarmingUp(now, rq) // The server turns cold now.
	qt.Assert(t, ba.AllWarmingUp(now.Add(time.Second), rq), qt.IsFalse)
	_, ok := ba.Choose(now.Add(time.Second), rq)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = ba.Choose(now.Add(time.Second), rq)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, ba.AllWarmingUp(now.Add(time.Second), rq), qt.IsTrue)
	qt.Assert(t, ba.AllWarmingUp(now.Add(time.Second), Request{Service: "shard"}), qt.IsFalse)
}

// Guards against full load on servers that became cold while their data centre was
// evacuated and that announce it only later.
func TestServerReadyAgainCountsAsCold(t *testing.T) {
	now := time.Unix(1000, 0)
	ba := newColdBalancer(now, time.Second)
	set := func(st registry.State) {
		ba.Update(now, map[string][]registry.Server{"shard": {{ID: "warm", Service: "shard", Slots: 2, State: st}}})
	}
	set(registry.Draining)
	now = now.Add(time.Minute)
	set(registry.Ready)
	count := 0
	for range 2000 {
		now = now.Add(time.Millisecond)
		if pk, ok := ba.Choose(now, Request{Service: "shard", Class: "w"}); ok {
			ba.Done(now, pk, Report{Outcome: Served})
			count++
		}
	}
	qt.Assert(t, count <= 3, qt.IsTrue, qt.Commentf("%d requests in two seconds", count))
	now = now.Add(2 * time.Second)
	for range 100 {
		_, ok := ba.Choose(now, Request{Service: "shard", Class: "w"})
		qt.Assert(t, ok, qt.IsTrue)
	}
}

// Guards against more requests from all instances together than cold servers can take, when
// a whole data centre of servers returns under more than the usual load. It also logs how
// much of the allowed rate is used.
func TestColdServersStayWithinLimitOverAllInstances(t *testing.T) {
	for _, instances := range []int{9, 18, 67, 191} {
		for _, rate := range []float64{2, 12, 40} {
			t.Run(fmt.Sprintf("%d instances, %v a second", instances, rate), func(t *testing.T) {
				li := warmup.Limit{Rate: rate, BurstFactor: 1.5, Slack: 5, Duration: 3 * time.Second}
				worst, mean := simulateCold(instances, li)
				t.Logf("at most %d in a second, allowed %d; %.1f a second on average", worst, li.MaxPerSecond(), mean)
				qt.Assert(t, worst <= li.MaxPerSecond(), qt.IsTrue)
				qt.Assert(t, mean <= rate, qt.IsTrue)
			})
		}
	}
}

// simulateCold simulates instances that together send 55 requests a second to each of 36
// servers that turn cold at the same moment. It returns the maximum that any server got in
// any second and the mean number of requests per server and second.
func simulateCold(instances int, li warmup.Limit) (worst int, mean float64) {
	const servers, perSecond, span = 36, 55, 3 * time.Second
	rn := rand.New(rand.NewPCG(1, uint64(instances)))
	begin := time.Unix(1000, 0)
	bas := make([]*Balancer, instances)
	ses := make(map[string][]registry.Server)
	was := make(map[string]Warmup)
	for sh := range servers {
		name := fmt.Sprint("shard-", sh)
		ses[name] = []registry.Server{{ID: name, Service: name, Slots: 4, WarmMillis: 3000}}
		was[name] = Warmup{Allowance: li.PerSender(instances), Duration: li.Duration}
	}
	for ix := range bas {
		bas[ix] = New(Config{Seed: rn.Uint64()})
		bas[ix].Update(begin, ses)
		bas[ix].SetWarmups(was)
	}
	got := make(map[string][]time.Duration)
	total := 0
	for at := time.Duration(0); at < span; at += time.Duration(rn.ExpFloat64() * float64(time.Second) / perSecond) {
		ba, now := bas[rn.IntN(instances)], begin.Add(at)
		for name := range ses {
			if pk, ok := ba.Choose(now, Request{Service: name, Class: "w"}); ok {
				ba.Done(now.Add(time.Microsecond), pk, Report{Outcome: Served})
				got[name] = append(got[name], at)
				total++
			}
		}
	}
	for _, ats := range got {
		for first, last := 0, 0; last < len(ats); last++ {
			for ats[last]-ats[first] >= time.Second {
				first++
			}
			worst = max(worst, last-first+1)
		}
	}
	return worst, float64(total) / servers / span.Seconds()
}
