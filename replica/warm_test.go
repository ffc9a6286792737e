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

// warmTable returns a table with a server that is cold and one that is warm.
func warmTable(now time.Time, spacing time.Duration) *Balancer {
	tb := New(Config{Seed: 1})
	tb.Update(now, map[string][]registry.Server{"shard": {
		{ID: "cold", Service: "shard", Slots: 2, WarmMillis: 3000},
		{ID: "warm", Service: "shard", Slots: 2},
	}})
	tb.SetWarmups(map[string]Warmup{"shard": {Allowance: warmup.Allowance{Probability: 1, MinInterval: spacing}, Duration: 3 * time.Second}})
	return tb
}

// Guards against a cold server that gets as many requests as a warm one.
func TestColdServerIsSpared(t *testing.T) {
	now := time.Unix(1000, 0)
	tb := warmTable(now, time.Second)
	chosen := map[string]int{}
	for range 1000 {
		pk, ok := tb.Choose(now, Request{Service: "shard", Class: "w"})
		qt.Assert(t, ok, qt.IsTrue)
		chosen[pk.Server.ID]++
		now = now.Add(5 * time.Millisecond)
		tb.Done(now, pk, Report{Outcome: Served})
	}
	qt.Assert(t, chosen["cold"] <= 6, qt.IsTrue, qt.Commentf("%v", chosen))
	qt.Assert(t, chosen["warm"]+chosen["cold"], qt.Equals, 1000)
}

// Guards against requests that wait for a cold server until they are late: whoever asks is
// told that all that is left is warming up.
func TestAllCold(t *testing.T) {
	now := time.Unix(1000, 0)
	tb := warmTable(now, time.Second)
	as := Request{Service: "shard", Class: "w", Avoid: []string{"warm"}}
	tb.AllWarmingUp(now, as) // The server turns cold now.
	qt.Assert(t, tb.AllWarmingUp(now.Add(time.Second), as), qt.IsFalse)
	_, ok := tb.Choose(now.Add(time.Second), as)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = tb.Choose(now.Add(time.Second), as)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, tb.AllWarmingUp(now.Add(time.Second), as), qt.IsTrue)
	qt.Assert(t, tb.AllWarmingUp(now.Add(time.Second), Request{Service: "shard"}), qt.IsFalse)
}

// Guards against full load on servers that became cold while their data centre was
// evacuated, and say so only with their next announcement.
func TestReturnedServerIsCold(t *testing.T) {
	now := time.Unix(1000, 0)
	tb := warmTable(now, time.Second)
	set := func(st registry.State) {
		tb.Update(now, map[string][]registry.Server{"shard": {{ID: "warm", Service: "shard", Slots: 2, State: st}}})
	}
	set(registry.Draining)
	now = now.Add(time.Minute)
	set(registry.Ready)
	count := 0
	for range 2000 {
		now = now.Add(time.Millisecond)
		if pk, ok := tb.Choose(now, Request{Service: "shard", Class: "w"}); ok {
			tb.Done(now, pk, Report{Outcome: Served})
			count++
		}
	}
	qt.Assert(t, count <= 3, qt.IsTrue, qt.Commentf("%d requests in two seconds", count))
	now = now.Add(2 * time.Second)
	for range 100 {
		_, ok := tb.Choose(now, Request{Service: "shard", Class: "w"})
		qt.Assert(t, ok, qt.IsTrue)
	}
}

// Guards against more requests to cold servers, from all instances together, than they
// bear: a data centre of servers comes back at once under more than the usual load. It
// also shows that what they bear isn't left unused.
func TestColdServersTogether(t *testing.T) {
	for _, instances := range []int{9, 18, 67, 191} {
		for _, rate := range []float64{2, 12, 40} {
			t.Run(fmt.Sprintf("%d instances, %v a second", instances, rate), func(t *testing.T) {
				li := warmup.Limit{Rate: rate, BurstFactor: 1.5, Slack: 5, Duration: 3 * time.Second}
				worst, mean := playCold(instances, li)
				t.Logf("at most %d in a second, allowed %d; %.1f a second in the mean", worst, li.MaxPerSecond(), mean)
				qt.Assert(t, worst <= li.MaxPerSecond(), qt.IsTrue)
				qt.Assert(t, mean <= rate, qt.IsTrue)
			})
		}
	}
}

// playCold plays instances that send 55 requests a second together to each of 36 servers
// that turn cold at the same moment, and returns the most that one got in any second and
// how many each got in a second in the mean.
func playCold(instances int, li warmup.Limit) (worst int, mean float64) {
	const servers, perSecond, span = 36, 55, 3 * time.Second
	rn := rand.New(rand.NewPCG(1, uint64(instances)))
	begin := time.Unix(1000, 0)
	tbs := make([]*Balancer, instances)
	ses := make(map[string][]registry.Server)
	was := make(map[string]Warmup)
	for sh := range servers {
		name := fmt.Sprint("shard-", sh)
		ses[name] = []registry.Server{{ID: name, Service: name, Slots: 4, WarmMillis: 3000}}
		was[name] = Warmup{Allowance: li.PerSender(instances), Duration: li.Duration}
	}
	for ix := range tbs {
		tbs[ix] = New(Config{Seed: rn.Uint64()})
		tbs[ix].Update(begin, ses)
		tbs[ix].SetWarmups(was)
	}
	got := make(map[string][]time.Duration)
	total := 0
	for at := time.Duration(0); at < span; at += time.Duration(rn.ExpFloat64() * float64(time.Second) / perSecond) {
		tb, now := tbs[rn.IntN(instances)], begin.Add(at)
		for name := range ses {
			if pk, ok := tb.Choose(now, Request{Service: name, Class: "w"}); ok {
				tb.Done(now.Add(time.Microsecond), pk, Report{Outcome: Served})
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
