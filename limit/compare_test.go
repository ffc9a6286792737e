package limit

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// withLatency returns a warm server with the given mean latency.
func withLatency(la time.Duration) Server {
	se := warmServer(4, 1)
	se.latency.value = la
	return se
}

// A replica becomes ten times slower and delays its queries. It is ejected if
// there are enough peers to compare with and its shard has another server.
func TestCompareEjectsSlowServers(t *testing.T) {
	c := qt.New(t)
	sv := []Server{withLatency(5 * ms), withLatency(50 * ms), withLatency(5 * ms), withLatency(60 * ms)}
	co := compare(t0, sv, [][]int{{0, 1}, {2, 3}})
	// Server 3 of the second shard is the slowest. Of four servers, only one may be
	// ejected as slow.
	c.Assert(co.verdicts, qt.DeepEquals, []Verdict{NoChange, NoChange, NoChange, Eject})
	co = compare(t0, sv, [][]int{{0, 1}, {2}, {3}})
	c.Assert(co.verdicts, qt.DeepEquals, []Verdict{NoChange, Eject, NoChange, NoChange})
	co = compare(t0, sv[:2], [][]int{{0, 1}})
	c.Assert(co.verdicts, qt.DeepEquals, []Verdict{NoChange, NoChange}, qt.Commentf("two latencies are too few to compare"))
}

// A whole data centre slows down or fails, and every server of a shard looks
// bad. Ejecting all of them would lose the shard, which even a slow server
// covers. If the usable servers of a shard drain, an ejected one must be
// readmitted.
func TestCompareKeepsShardsCovered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "servers")
		sv := make([]Server, n)
		for ix := range sv {
			sv[ix] = withLatency(rapid.SampledFrom([]time.Duration{5 * ms, 50 * ms}).Draw(rt, "latency"))
			sv[ix].consecutiveFailures = rapid.SampledFrom([]int{0, failureThreshold}).Draw(rt, "failures")
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
		co := compare(t0, sv, shards)
		after := make([]Server, n)
		for ix := range sv {
			after[ix] = sv[ix].Step(Compared{Verdict: co.verdicts[ix], Reason: co.reasons[ix]})
		}
		for _, holders := range shards {
			could := slices.ContainsFunc(holders, func(ix int) bool { return sv[ix].usable() || sv[ix].ejected() })
			can := slices.ContainsFunc(holders, func(ix int) bool { return after[ix].usable() })
			if could && !can {
				rt.Fatalf("a shard of servers %v has none left", holders)
			}
		}
	})
}
