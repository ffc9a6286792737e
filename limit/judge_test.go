package limit

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// withLatency returns a warm server whose mean latency is the given one.
func withLatency(la time.Duration) Server {
	se := warmServer(4, 1)
	se.latency.value = la
	return se
}

// A replica becomes ten times slower and its queries with it. It is set aside
// as long as its peers show what is usual and its shard has another server.
func TestJudgeSlow(t *testing.T) {
	c := qt.New(t)
	sv := []Server{withLatency(5 * ms), withLatency(50 * ms), withLatency(5 * ms), withLatency(60 * ms)}
	ju := judge(t0, sv, [][]int{{0, 1}, {2, 3}})
	// Shard 1's server 3 is the slowest; a third of four servers is one.
	c.Assert(ju.verdicts, qt.DeepEquals, []Verdict{NoChange, NoChange, NoChange, Eject})
	ju = judge(t0, sv, [][]int{{0, 1}, {2}, {3}})
	c.Assert(ju.verdicts, qt.DeepEquals, []Verdict{NoChange, Eject, NoChange, NoChange})
	ju = judge(t0, sv[:2], [][]int{{0, 1}})
	c.Assert(ju.verdicts, qt.DeepEquals, []Verdict{NoChange, NoChange}, qt.Commentf("two latencies show nothing"))
}

// A whole data centre slows down or dies, and every server of a shard looks
// bad. Setting all of them aside would lose the shard, which even a slow server
// covers. A shard whose usable servers drain gets a set-aside one back.
func TestJudgeKeepsShards(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "servers")
		sv := make([]Server, n)
		for ix := range sv {
			sv[ix] = withLatency(rapid.SampledFrom([]time.Duration{5 * ms, 50 * ms}).Draw(rt, "latency"))
			sv[ix].failures = rapid.SampledFrom([]int{0, failuresSuspected}).Draw(rt, "failures")
			switch rapid.IntRange(0, 3).Draw(rt, "state") {
			case 0:
				sv[ix] = sv[ix].Step(Compared{Verdict: Eject, Reason: Slow})
			case 1:
				sv[ix] = sv[ix].Step(reply(t0, Draining, 0, false))
			}
		}
		shards := make([][]int, rapid.IntRange(1, 4).Draw(rt, "shards"))
		for sh := range shards {
			shards[sh] = rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 1, n, rapid.ID[int]).Draw(rt, "holders")
		}
		ju := judge(t0, sv, shards)
		after := make([]Server, n)
		for ix := range sv {
			after[ix] = sv[ix].Step(Compared{Verdict: ju.verdicts[ix], Reason: ju.reasons[ix]})
		}
		for _, holders := range shards {
			could := slices.ContainsFunc(holders, func(ix int) bool { return sv[ix].usable() || sv[ix].aside() })
			can := slices.ContainsFunc(holders, func(ix int) bool { return after[ix].usable() })
			if could && !can {
				rt.Fatalf("a shard of servers %v has none left", holders)
			}
		}
	})
}
