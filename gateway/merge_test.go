package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/route"
)

// respondBody runs the request and answers with a body.
func respondBody(body string) behavior { return respondWith(func(re *reply) { re.body = body }) }

// record returns a record that starts with the given text.
func record(text string) string { return text + strings.Repeat(".", recordBytes-len(text)) }

// shardNames returns the names of count shards.
func shardNames(count int) []string {
	var out []string
	for ix := range count {
		out = append(out, fmt.Sprintf("p%d", ix))
	}
	return out
}

// checkMissing fails the test unless the answer lacks count parts.
func checkMissing(t *testing.T, an *answer, count int) {
	t.Helper()
	qt.Assert(t, an.header[names.MissingParts], qt.DeepEquals, []string{fmt.Sprint(count)})
}

// Guards against hits in the wrong order, hits that are not the best ones, and lost
// duplicates. A merged answer holds the greatest records of all parts in descending byte
// order.
func TestMergeReturnsGreatestRecords(t *testing.T) {
	tests := []struct {
		name  string
		parts []string
		topK  int
		want  string
	}{
		{"descending order", []string{record("b") + record("d"), record("a") + record("c")}, 10, record("d") + record("c") + record("b") + record("a")},
		{"top records", []string{record("b") + record("d"), record("a") + record("c")}, 2, record("d") + record("c")},
		{"all of one part", []string{record("x") + record("z") + record("y"), record("a")}, 3, record("z") + record("y") + record("x")},
		{"equal records", []string{record("a") + record("a"), record("a")}, 3, record("a") + record("a") + record("a")},
		{"unsigned bytes", []string{record("\xff"), record("\x7f") + record("\x00")}, 3, record("\xff") + record("\x7f") + record("\x00")},
		{"difference in the last byte", []string{strings.Repeat("a", 15) + "b", strings.Repeat("a", 16)}, 2, strings.Repeat("a", 15) + "b" + strings.Repeat("a", 16)},
		{"partial record", []string{record("b") + "zzzz", record("a") + strings.Repeat("z", 15)}, 5, record("b") + record("a")},
		{"an empty part", []string{"", record("a")}, 5, record("a")},
		{"no records", []string{"", "zz"}, 5, ""},
		{"top 0", []string{record("b"), record("a")}, 0, ""},
		{"three parts", []string{record("1"), record("3"), record("2")}, 2, record("3") + record("2")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				shs := shardNames(len(tt.parts))
				for ix, sh := range shs {
					rg.startServers(sh, 2, respondBody(tt.parts[ix]))
				}
				rg.setTable(route.Route{Prefix: "/", Shards: shs, Merge: route.Merge{TopK: tt.topK, LeastShare: 1}})
				an := rg.get("/a?q=1", http.StatusOK)
				qt.Assert(t, string(an.body), qt.Equals, tt.want)
				checkMissing(t, an, 0)
				qt.Assert(t, partStamps(an), qt.HasLen, len(shs))
				qt.Assert(t, an.header.Values(names.Stamp), qt.HasLen, 0)
				qt.Assert(t, an.header.Values("Content-Encoding"), qt.HasLen, 0)
				ars := rg.hist.arrivalsOf(an.id)
				qt.Assert(t, ars, qt.HasLen, len(shs))
			})
		})
	}
}

// One shard never answers. The caller gets the other parts just early enough to arrive
// within the target latency, and the shard counts as missing.
func TestPartialAnswerAtTargetLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const targetLatency = 100 * time.Millisecond
		rg := newRig(t, newMemNetwork(), setup{})
		shs := shardNames(10)
		for _, sh := range shs {
			rg.startServers(sh, 2)
		}
		rg.startServers("p7", 1, neverAnswer)
		rg.setTable(route.Route{Prefix: "/", Timeout: time.Second, TargetLatency: targetLatency, MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 0.89}})
		an := rg.get("/a", http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took, qt.Equals, targetLatency-2*callerDelay-partialMargin)
		rg.hist.awaitAborted(len(rg.hist.arrivalsOf(an.id)) - 9)
	})
}

// Several shards are slow. If the required share of parts is not there at the target
// latency, the answer waits for it, but for nothing beyond it.
func TestMinShareReachedAfterTargetLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		shs := shardNames(4)
		rg.startServers("p0", 1)
		rg.startServers("p1", 1, delayed(150*time.Millisecond, respondOK))
		rg.startServers("p2", 1, delayed(230*time.Millisecond, respondOK))
		rg.startServers("p3", 1, delayed(400*time.Millisecond, respondOK))
		rg.setTable(route.Route{Prefix: "/", Timeout: time.Second, TargetLatency: 100 * time.Millisecond, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 0.75}})
		an := rg.get("/a", http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took, qt.Equals, 230*time.Millisecond)
	})
}

// The required share of parts does not arrive within the caller's timeout. The caller gets
// a failure, not fewer parts than configured.
func TestMinShareNotReachedByDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		shs := shardNames(4)
		rg.startServers("p0", 1)
		rg.startServers("p1", 1)
		rg.startServers("p2", 2, neverAnswer)
		rg.startServers("p3", 2, neverAnswer)
		rg.setTable(route.Route{Prefix: "/", Timeout: time.Second, TargetLatency: 100 * time.Millisecond, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 0.75}})
		an := rg.send(request{uri: "/a", timeoutMillis: 600})
		rg.checkUnknown(an)
		qt.Assert(t, an.took, qt.Equals, 600*time.Millisecond-2*callerDelay-answerMargin)
	})
}

// Number of shards, required share, number of failing shards, and whether there is an
// answer.
var minShareTests = []struct {
	shards int
	share  float64
	failed int
	ok     bool
}{
	{10, 0.89, 0, true},
	{10, 0.89, 1, true},
	{10, 0.89, 2, false},
	{10, 0.75, 2, true},
	{10, 0.75, 3, false},
	{10, 1, 1, false},
	{10, 0, 9, true},
	{10, 0, 10, false},
	{3, 0.67, 0, true},
	{3, 0.67, 1, false},
	{3, 0.66, 1, true},
	{1, 0.5, 0, true},
	{1, 0.5, 1, false},
}

// Backend servers of some shards answer with failures, which are stamped like any answer. A
// failure must not count as a part; otherwise the caller would lack a shard's hits without
// knowing. If too few shards are left, the caller is told at once.
func TestMinShareWithFailingShards(t *testing.T) {
	for _, tt := range minShareTests {
		t.Run(fmt.Sprint(tt.shards, " ", tt.share, " ", tt.failed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, newMemNetwork(), setup{})
				shs := shardNames(tt.shards)
				for ix, sh := range shs {
					switch {
					case ix < tt.failed:
						rg.startServers(sh, 3, respondFailure(500+ix%5))
					case tt.ok:
						rg.startServers(sh, 1, respondOK)
					default:
						rg.startServers(sh, 1, delayed(50*time.Millisecond, respondOK))
					}
				}
				rg.setTable(route.Route{
					Prefix: "/", Timeout: time.Second, TargetLatency: 200 * time.Millisecond, MaxAttempts: 2, Shards: shs,
					Merge: route.Merge{TopK: 50, LeastShare: tt.share},
				})
				if tt.ok {
					checkMissing(t, rg.get("/a", http.StatusOK), tt.failed)
					return
				}
				an := rg.get("/a", http.StatusBadGateway)
				qt.Assert(t, an.took, qt.Equals, time.Duration(0))
			})
		})
	}
}

// A shard answers with a status other than success, such as 404, 301 or 304. It must not
// count as a part, and the shard's other servers are asked.
func TestNonSuccessIsNoPart(t *testing.T) {
	for _, status := range []int{301, 304, 400, 404, 418, 500, 503, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				shs := shardNames(3)
				rg.startServers("p0", 2)
				rg.startServers("p1", 2, respondFailure(status), respondOK)
				rg.startServers("p2", 2, respondFailure(status))
				rg.setTable(route.Route{
					Prefix: "/", Timeout: longTimeout, TargetLatency: longTimeout / 2, MaxAttempts: 2, Shards: shs,
					Merge: route.Merge{TopK: 50, LeastShare: 0.5},
				})
				checkMissing(t, rg.get("/a", http.StatusOK), 1)
			})
		})
	}
}

// A shard's backend servers fail in every known way. The other shards' parts make the
// answer and the shard counts as missing; if only its first server fails, the shard is
// included.
func TestShardFaults(t *testing.T) {
	for _, fa := range faults {
		t.Run(fa.name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				shs := shardNames(3)
				rg.startServers("p0", 3)
				rg.startServers("p1", 3, fa.bh, respondOK)
				rg.startServers("p2", 3)
				rg.setTable(route.Route{
					Prefix: "/", Timeout: longTimeout, TargetLatency: time.Second, MaxAttempts: 2, Shards: shs,
					Merge: route.Merge{TopK: 50, LeastShare: 0.6},
				})
				checkMissing(t, rg.get("/1", http.StatusOK), 0)
				rg.startServers("p1", 0, fa.bh)
				checkMissing(t, rg.get("/2", http.StatusOK), 1)
			})
		})
	}
}

// A backend server answers with success but without a stamp, which only a faulty server
// does. A merged answer with an empty stamp would be invalid, and so would a single answer
// without a stamp.
func TestAnswerWithoutStampIsRejected(t *testing.T) {
	unstamped := respondWith(func(re *reply) { re.stamped = false })
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		shs := shardNames(3)
		rg.startServers("p0", 2)
		rg.startServers("p1", 2, unstamped, respondOK)
		rg.startServers("p2", 2, unstamped)
		rg.startServers("s", 2, unstamped)
		rg.setTable(
			route.Route{Prefix: "/", Timeout: longTimeout, TargetLatency: longTimeout / 2, MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 50, LeastShare: 0.5}},
			route.Route{Prefix: "/s/", Timeout: longTimeout, Kind: route.NotRepeatable, Targets: singleTarget("s")},
		)
		checkMissing(t, rg.get("/a", http.StatusOK), 1)
		rg.get("/s/", http.StatusBadGateway)
	})
}

// Guards against the stamp of one part that makes the list of all unreadable.
func TestStampOfOnePartKeepsOthers(t *testing.T) {
	for _, suffix := range []string{", other", strings.Repeat("x", 60<<10)} {
		onBothNetworks(t, func(t *testing.T, nw network) {
			rg := newRig(t, nw, setup{})
			odd := respondWith(func(re *reply) { re.stampSuffix = suffix })
			rg.startServers("p0", 2)
			rg.startServers("p1", 2, odd, respondOK)
			rg.startServers("p2", 2, odd)
			rg.setTable(route.Route{
				Prefix: "/", Timeout: longTimeout, TargetLatency: longTimeout / 2, MaxAttempts: 2,
				Shards: shardNames(3), Merge: route.Merge{TopK: 50, LeastShare: 0.5},
			})
			checkMissing(t, rg.get("/a", http.StatusOK), 1)
		})
	}
}

// The index is repartitioned, and the next version of the configuration names other shards.
// A query that started under the old version must finish on the old shards, including
// retries; mixed parts would lose or duplicate hits. The next query uses only the new
// shards.
func TestTableChangesDuringQuery(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		gate := make(chan struct{})
		old, next := []string{"old1", "old2", "old3"}, []string{"new1", "new2", "old3"}
		rg.startServers("old1", 2, heldUntil(gate, truncateBody), respondOK)
		rg.startServers("old2", 2, heldUntil(gate, respondOK))
		rg.startServers("old3", 2, heldUntil(gate, respondOK))
		rg.startServers("new1", 2)
		rg.startServers("new2", 2)
		merge := route.Merge{TopK: 100, LeastShare: 0.5}
		rg.setTable(route.Route{Prefix: "/", MaxAttempts: 1, Shards: old, Merge: merge})
		rg.setTable(route.Route{Prefix: "/", MaxAttempts: 2, Shards: old, Merge: merge})
		one := rg.sendAsync(request{uri: "/1"})
		rg.hist.awaitArrivals(3)
		rg.setTable(route.Route{Prefix: "/", MaxAttempts: 2, Shards: next, Merge: merge})
		close(gate)
		an := <-one
		rg.checkStatus(an, http.StatusOK)
		checkMissing(t, an, 0)
		checkServices(t, rg, an, old)
		an = rg.get("/2", http.StatusOK)
		checkServices(t, rg, an, next)
	})
}

// checkServices fails the test unless the answer's parts come from exactly these services
// and no other one was asked.
func checkServices(t *testing.T, rg *rig, an *answer, want []string) {
	t.Helper()
	want = slices.Sorted(slices.Values(want))
	var got, asked []string
	for _, stamp := range partStamps(an) {
		got = append(got, rg.hist.stamped[stamp].service)
	}
	for _, ar := range rg.hist.arrivalsOf(an.id) {
		asked = append(asked, ar.service)
	}
	qt.Assert(t, slices.Sorted(slices.Values(got)), qt.DeepEquals, want)
	qt.Assert(t, slices.Compact(slices.Sorted(slices.Values(asked))), qt.DeepEquals, want)
}

// Versions of the configuration alternate while queries run. The history checks that each
// answer has the shards of a single version.
func TestAnswerUsesOneTable(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		sets := [][]string{{"a", "b", "c"}, {"a", "d"}, {"d", "e", "f", "g"}}
		for _, service := range []string{"a", "b", "c", "d", "e", "f", "g"} {
			rg.startServers(service, 2, waitThen(func(wo *work) bool { return wo.waitFor(time.Millisecond) }, respondOK))
		}
		change := func(nth int) {
			rg.setTable(route.Route{Prefix: "/", TargetLatency: time.Second, MaxAttempts: 2, Shards: sets[nth%len(sets)], Merge: route.Merge{TopK: 5, LeastShare: 1}})
		}
		change(0)
		var ans []<-chan *answer
		for nth := range 30 {
			ans = append(ans, rg.sendAsync(request{uri: "/a"}))
			rg.hist.awaitArrivals(nth)
			change(nth)
		}
		for _, an := range ans {
			rg.checkStatus(<-an, http.StatusOK)
		}
	})
}

// A version removes a service while requests to it are in flight. One of them is rejected
// by its first server and must be retried at another one, where it still gets a connection
// besides those in use.
func TestRemovedServiceServesInFlightRequests(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		rejectGate, gate := make(chan struct{}), make(chan struct{})
		rg.behave = func(wo *work) behavior {
			switch {
			case wo.be.service == "t" || wo.nth > 0:
				return respondOK
			case wo.ar.uri == "/refused":
				return waitThen(func(wo *work) bool { return wo.waitWhileOpen(rejectGate) }, rejectNotRun(http.StatusServiceUnavailable))
			}
			return heldUntil(gate, respondOK)
		}
		rg.startServers("s", 2)
		rg.startServers("t", 1)
		rg.setTable(route.Route{Prefix: "/", Kind: route.NotRepeatable, TargetLatency: 100 * time.Millisecond, Targets: singleTarget("s")})
		var ans []<-chan *answer
		for _, uri := range []string{"/1", "/2", "/3", "/4", "/refused"} {
			ans = append(ans, rg.sendAsync(request{uri: uri}))
		}
		rg.hist.awaitArrivals(len(ans))
		rg.setTable(route.Route{Prefix: "/", Kind: route.NotRepeatable, TargetLatency: 100 * time.Millisecond, Targets: singleTarget("t")})
		close(rejectGate)
		rg.checkStatus(<-ans[4], http.StatusOK)
		close(gate)
		for _, an := range ans[:4] {
			rg.checkStatus(<-an, http.StatusOK)
		}
		an := rg.get("/after", http.StatusOK)
		rg.hist.checkArrived(an.id, "t")
	})
}

// Two backend servers of a shard both answer, the first one late. The answer must hold one
// part of each shard, or hits would be duplicated. A late part must not appear in the next
// answer.
func TestOnePartOfEachShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		shs := shardNames(3)
		for _, sh := range shs {
			rg.startServers(sh, 2, delayed(60*time.Millisecond, respondOK), delayed(20*time.Millisecond, respondOK))
		}
		rg.setTable(route.Route{Prefix: "/", Timeout: time.Second, MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 100, LeastShare: 1}})
		var before []string
		for range 20 {
			an := rg.get("/a", http.StatusOK)
			checkMissing(t, an, 0)
			checkServices(t, rg, an, shs)
			for _, stamp := range partStamps(an) {
				qt.Assert(t, slices.Contains(before, stamp), qt.IsFalse)
				before = append(before, stamp)
			}
		}
		qt.Assert(t, len(rg.hist.arrivalsOf("")) > 60, qt.IsTrue, qt.Commentf("some were hedged"))
	})
}

// A shard has no backend server. The other shards' parts are returned in time for the
// target latency, and the request does not wait longer.
func TestShardWithoutServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const targetLatency = 100 * time.Millisecond
		rg := newRig(t, newMemNetwork(), setup{})
		rg.startServers("p0", 1)
		rg.startServers("p1", 1)
		rg.setTable(
			route.Route{Prefix: "/some/", Timeout: time.Second, TargetLatency: targetLatency, Shards: shardNames(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}},
			route.Route{Prefix: "/all/", Timeout: time.Second, TargetLatency: targetLatency, Shards: shardNames(3), Merge: route.Merge{TopK: 5, LeastShare: 1}},
		)
		an := rg.get("/some/", http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took < targetLatency, qt.IsTrue)
		an = rg.send(request{uri: "/all/"})
		qt.Assert(t, an.status >= 500, qt.IsTrue)
		qt.Assert(t, an.took <= targetLatency, qt.IsTrue, qt.Commentf("took %v", an.took))
	})
}

// If all shards reject a query, nothing has run, and the answer says so; if one part ran,
// it must not.
//
// If every shard is needed, the query fails as soon as all servers of one shard have
// rejected it. Over sockets, an attempt of another shard may still be in flight then and
// may run, so this case is tested only in virtual time, where replies arrive together. Over
// sockets, one shard is enough for an answer, so that the query fails with the last shard.
func TestAllShardsReject(t *testing.T) {
	test := func(t *testing.T, nw network, minShare float64, ran bool, status int) {
		rg := newRig(t, nw, setup{})
		shs := shardNames(3)
		for _, sh := range shs {
			rg.startServers(sh, 2, rejectNotRun(http.StatusServiceUnavailable))
		}
		if ran {
			rg.startServers("p0", 0, respondOK)
		}
		rg.setTable(route.Route{Prefix: "/", Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: minShare}})
		rg.get("/a", status)
	}
	onBothNetworks(t, func(t *testing.T, nw network) { test(t, nw, 0.3, false, http.StatusServiceUnavailable) })
	onBothNetworks(t, func(t *testing.T, nw network) { test(t, nw, 1, true, http.StatusBadGateway) })
	synctest.Test(t, func(t *testing.T) { test(t, newMemNetwork(), 1, false, http.StatusServiceUnavailable) })
}

// A query's body must reach each shard complete, and concurrent queries must not mix.
func TestConcurrentQueriesDoNotMix(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		shs := shardNames(5)
		for _, sh := range shs {
			rg.startServers(sh, 2)
		}
		rg.setTable(route.Route{Prefix: "/", MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 7, LeastShare: 1}})
		var ans []<-chan *answer
		for nth := range 40 {
			ans = append(ans, rg.sendAsync(request{uri: fmt.Sprint("/q?", nth), body: strings.Repeat(fmt.Sprint(nth), 2000)}))
		}
		for _, ch := range ans {
			an := <-ch
			rg.checkStatus(an, http.StatusOK)
			checkMissing(t, an, 0)
		}
	})
}

// Replies report requests that wait at the backend servers. Reading the next replies into
// recycled buffers must not hide that: the admission limit falls, and each answer is made
// of its own parts, whether they are longer or shorter than earlier ones.
func TestRecycledRepliesDoNotLeak(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{maxInFlight: 100})
		shs := shardNames(2)
		for ix, count := range []int{40, 1, 9, 70} {
			for _, sh := range shs {
				rg.startServers(sh, 1-min(ix, 1), respondWith(func(re *reply) {
					re.body = strings.Repeat(record(fmt.Sprint(sh, ix)), count)
					re.lines = append(re.lines, names.ServerLoad+": 3,9,8")
				}))
			}
			rg.setTable(route.Route{Prefix: "/", Shards: shs, Merge: route.Merge{TopK: 3 * count, LeastShare: 1}})
			an := rg.get("/a", http.StatusOK)
			want := strings.Repeat(record(fmt.Sprint("p1", ix)), count) + strings.Repeat(record(fmt.Sprint("p0", ix)), count)
			qt.Assert(t, string(an.body), qt.Equals, want)
		}
		qt.Assert(t, rg.gw.ad.Limit("p0") < 100, qt.IsTrue)
	})
}
