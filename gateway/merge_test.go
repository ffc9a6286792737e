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

// gives runs the request and answers with a body.
func gives(body string) act { return says(func(re *reply) { re.body = body }) }

// rec returns a record that begins with the given text.
func rec(text string) string { return text + strings.Repeat(".", recordBytes-len(text)) }

// shards returns the names of so many shards.
func shards(count int) []string {
	var out []string
	for ix := range count {
		out = append(out, fmt.Sprintf("p%d", ix))
	}
	return out
}

// checkMissing fails the test unless so many parts are left out.
func checkMissing(t *testing.T, an *answer, count int) {
	t.Helper()
	qt.Assert(t, an.header[names.MissingParts], qt.DeepEquals, []string{fmt.Sprint(count)})
}

// A caller gets the hits of a query in a wrong order, or not the best ones, or
// each of two equal ones only once. A merged answer holds the greatest records of
// all parts, greatest first, compared byte by byte.
func TestMerge(t *testing.T) {
	tests := []struct {
		name  string
		parts []string
		most  int
		want  string
	}{
		{"falling", []string{rec("b") + rec("d"), rec("a") + rec("c")}, 10, rec("d") + rec("c") + rec("b") + rec("a")},
		{"the greatest", []string{rec("b") + rec("d"), rec("a") + rec("c")}, 2, rec("d") + rec("c")},
		{"all of one part", []string{rec("x") + rec("z") + rec("y"), rec("a")}, 3, rec("z") + rec("y") + rec("x")},
		{"equal records", []string{rec("a") + rec("a"), rec("a")}, 3, rec("a") + rec("a") + rec("a")},
		{"bytes without a sign", []string{rec("\xff"), rec("\x7f") + rec("\x00")}, 3, rec("\xff") + rec("\x7f") + rec("\x00")},
		{"the last byte", []string{strings.Repeat("a", 15) + "b", strings.Repeat("a", 16)}, 2, strings.Repeat("a", 15) + "b" + strings.Repeat("a", 16)},
		{"a remainder", []string{rec("b") + "zzzz", rec("a") + strings.Repeat("z", 15)}, 5, rec("b") + rec("a")},
		{"an empty part", []string{"", rec("a")}, 5, rec("a")},
		{"no records", []string{"", "zz"}, 5, ""},
		{"none wanted", []string{rec("b"), rec("a")}, 0, ""},
		{"three parts", []string{rec("1"), rec("3"), rec("2")}, 2, rec("3") + rec("2")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBoth(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				shs := shards(len(tt.parts))
				for ix, sh := range shs {
					rg.serve(sh, 2, gives(tt.parts[ix]))
				}
				rg.table(route.Route{Prefix: "/", Shards: shs, Merge: route.Merge{TopK: tt.most, LeastShare: 1}})
				an := rg.get("/a?q=1", http.StatusOK)
				qt.Assert(t, string(an.body), qt.Equals, tt.want)
				checkMissing(t, an, 0)
				qt.Assert(t, stampsOf(an), qt.HasLen, len(shs))
				qt.Assert(t, an.header.Values(names.Stamp), qt.HasLen, 0)
				qt.Assert(t, an.header.Values("Content-Encoding"), qt.HasLen, 0)
				ars := rg.le.of(an.id)
				qt.Assert(t, ars, qt.HasLen, len(shs))
			})
		})
	}
}

// One shard stands still. Just before the aim, so early that the answer reaches
// the caller within it, the caller gets the parts that are in. The shard counts as
// left out.
func TestHoldToAim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const aim = 100 * time.Millisecond
		rg := newRig(t, newPipes(), setup{})
		shs := shards(10)
		for _, sh := range shs {
			rg.serve(sh, 2)
		}
		rg.serve("p7", 1, silent)
		rg.table(route.Route{Prefix: "/", Timeout: time.Second, Aim: aim, MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 0.89}})
		an := rg.get("/a", http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took, qt.Equals, aim-2*distance-margin)
		rg.le.awaitEnded(len(rg.le.of(an.id)) - 9)
	})
}

// Several shards are slow. Before the least share is in there is no answer to
// give at the aim, and when it is in later there is no reason to wait on.
func TestLeastShareLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newPipes(), setup{})
		shs := shards(4)
		rg.serve("p0", 1)
		rg.serve("p1", 1, paused(150*time.Millisecond, fine))
		rg.serve("p2", 1, paused(230*time.Millisecond, fine))
		rg.serve("p3", 1, paused(400*time.Millisecond, fine))
		rg.table(route.Route{Prefix: "/", Timeout: time.Second, Aim: 100 * time.Millisecond, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 0.75}})
		an := rg.get("/a", http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took, qt.Equals, 230*time.Millisecond)
	})
}

// The least share isn't reached before the end of the caller's time. It gets a
// failure then, not fewer parts than the operator allows.
func TestLeastShareNever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newPipes(), setup{})
		shs := shards(4)
		rg.serve("p0", 1)
		rg.serve("p1", 1)
		rg.serve("p2", 2, silent)
		rg.serve("p3", 2, silent)
		rg.table(route.Route{Prefix: "/", Timeout: time.Second, Aim: 100 * time.Millisecond, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 0.75}})
		an := rg.ask(ask{uri: "/a", waits: 600})
		rg.checkUnknown(an)
		qt.Assert(t, an.took, qt.Equals, 600*time.Millisecond)
	})
}

// Share of shards, how many of them fail, and whether there is an answer.
var shareTests = []struct {
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

// Backend servers of some shards answer with failures, which bear a stamp like
// any answer. A failure is no part: with it the caller would miss a shard's hits
// without knowing. If too few shards are left, the caller is told at once.
func TestLeastShare(t *testing.T) {
	for _, tt := range shareTests {
		t.Run(fmt.Sprint(tt.shards, " ", tt.share, " ", tt.failed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, newPipes(), setup{})
				shs := shards(tt.shards)
				for ix, sh := range shs {
					switch {
					case ix < tt.failed:
						rg.serve(sh, 3, fails(500+ix%5))
					case tt.ok:
						rg.serve(sh, 1, fine)
					default:
						rg.serve(sh, 1, paused(50*time.Millisecond, fine))
					}
				}
				rg.table(route.Route{
					Prefix: "/", Timeout: time.Second, Aim: 200 * time.Millisecond, MaxAttempts: 2, Shards: shs,
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

// A part comes back as something else than a success: not found, elsewhere,
// nothing new. It isn't a part either, and the shard's other servers are asked.
func TestOtherStatusIsNoPart(t *testing.T) {
	for _, status := range []int{301, 304, 400, 404, 418, 500, 503, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			onBoth(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				shs := shards(3)
				rg.serve("p0", 2)
				rg.serve("p1", 2, fails(status), fine)
				rg.serve("p2", 2, fails(status))
				rg.table(route.Route{
					Prefix: "/", Timeout: late, Aim: late / 2, MaxAttempts: 2, Shards: shs,
					Merge: route.Merge{TopK: 50, LeastShare: 0.5},
				})
				checkMissing(t, rg.get("/a", http.StatusOK), 1)
			})
		})
	}
}

// A shard's backend servers fail in any way that there is. The other shards' parts
// make the answer, the shard counts as left out, and it is in the answer again when
// only the first of its servers fails.
func TestPartFaults(t *testing.T) {
	for _, fa := range faultList {
		t.Run(fa.name, func(t *testing.T) {
			onBoth(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				shs := shards(3)
				rg.serve("p0", 3)
				rg.serve("p1", 3, fa.ac, fine)
				rg.serve("p2", 3)
				rg.table(route.Route{
					Prefix: "/", Timeout: late, Aim: time.Second, MaxAttempts: 2, Shards: shs,
					Merge: route.Merge{TopK: 50, LeastShare: 0.6},
				})
				checkMissing(t, rg.get("/1", http.StatusOK), 0)
				rg.serve("p1", 0, fa.ac)
				checkMissing(t, rg.get("/2", http.StatusOK), 1)
			})
		})
	}
}

// A backend server answers with success but signs nothing, for which there is no
// reason but a fault. A merged answer that names an empty stamp would be wrong as a
// whole, and a plain success without a stamp would not count.
func TestNoStamp(t *testing.T) {
	unsigned := says(func(re *reply) { re.stamped = false })
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		shs := shards(3)
		rg.serve("p0", 2)
		rg.serve("p1", 2, unsigned, fine)
		rg.serve("p2", 2, unsigned)
		rg.serve("s", 2, unsigned)
		rg.table(
			route.Route{Prefix: "/", Timeout: late, Aim: late / 2, MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 50, LeastShare: 0.5}},
			route.Route{Prefix: "/s/", Timeout: late, Kind: route.NotRepeatable, Targets: to("s")},
		)
		checkMissing(t, rg.get("/a", http.StatusOK), 1)
		rg.get("/s/", http.StatusBadGateway)
	})
}

// An index is divided anew: the next version names other shards. A query begun
// under the old version ends on its shards, also where it has to ask again; with
// parts of both, hits would be missing or come twice. The next query is asked of
// the new shards alone.
func TestTableChangesDuringQuery(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		gate := make(chan struct{})
		old, next := []string{"old1", "old2", "old3"}, []string{"new1", "new2", "old3"}
		rg.serve("old1", 2, held(gate, cutBody), fine)
		rg.serve("old2", 2, held(gate, fine))
		rg.serve("old3", 2, held(gate, fine))
		rg.serve("new1", 2)
		rg.serve("new2", 2)
		merge := route.Merge{TopK: 100, LeastShare: 0.5}
		rg.table(route.Route{Prefix: "/", MaxAttempts: 1, Shards: old, Merge: merge})
		rg.table(route.Route{Prefix: "/", MaxAttempts: 2, Shards: old, Merge: merge})
		one := rg.begin(ask{uri: "/1"})
		rg.le.awaitArrivals(3)
		rg.table(route.Route{Prefix: "/", MaxAttempts: 2, Shards: next, Merge: merge})
		close(gate)
		an := <-one
		rg.checkStatus(an, http.StatusOK)
		checkMissing(t, an, 0)
		checkServices(t, rg, an, old)
		an = rg.get("/2", http.StatusOK)
		checkServices(t, rg, an, next)
	})
}

// checkServices fails the test unless the answer's parts are of these services and
// no other one was asked.
func checkServices(t *testing.T, rg *rig, an *answer, want []string) {
	t.Helper()
	want = slices.Sorted(slices.Values(want))
	var got, asked []string
	for _, stamp := range stampsOf(an) {
		got = append(got, rg.le.issued[stamp].service)
	}
	for _, ar := range rg.le.of(an.id) {
		asked = append(asked, ar.service)
	}
	qt.Assert(t, slices.Sorted(slices.Values(got)), qt.DeepEquals, want)
	qt.Assert(t, slices.Compact(slices.Sorted(slices.Values(asked))), qt.DeepEquals, want)
}

// Versions follow each other while queries run. Each answer is of one version's
// shards, whichever that is; the ledger compares.
func TestTablesAlternate(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		sets := [][]string{{"a", "b", "c"}, {"a", "d"}, {"d", "e", "f", "g"}}
		for _, service := range []string{"a", "b", "c", "d", "e", "f", "g"} {
			rg.serve(service, 2, after(func(wo *work) bool { return wo.pause(time.Millisecond) }, fine))
		}
		change := func(nth int) {
			rg.table(route.Route{Prefix: "/", Aim: time.Second, MaxAttempts: 2, Shards: sets[nth%len(sets)], Merge: route.Merge{TopK: 5, LeastShare: 1}})
		}
		change(0)
		var ans []<-chan *answer
		for nth := range 30 {
			ans = append(ans, rg.begin(ask{uri: "/a"}))
			rg.le.awaitArrivals(nth)
			change(nth)
		}
		for _, an := range ans {
			rg.checkStatus(<-an, http.StatusOK)
		}
	})
}

// A version takes a service out of use while requests to it are under way. One of
// them is refused by the server that was asked first and has to go to another one.
// It still gets a connection there, beside those that are in use.
func TestServiceOutOfUse(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		refuse, gate := make(chan struct{}), make(chan struct{})
		rg.any = func(wo *work) act {
			switch {
			case wo.be.service == "t" || wo.nth > 0:
				return fine
			case wo.ar.uri == "/refused":
				return after(func(wo *work) bool { return wo.during(refuse) }, shed(http.StatusServiceUnavailable))
			}
			return held(gate, fine)
		}
		rg.serve("s", 2)
		rg.serve("t", 1)
		rg.table(route.Route{Prefix: "/", Kind: route.NotRepeatable, Aim: 100 * time.Millisecond, Targets: to("s")})
		var ans []<-chan *answer
		for _, uri := range []string{"/1", "/2", "/3", "/4", "/refused"} {
			ans = append(ans, rg.begin(ask{uri: uri}))
		}
		rg.le.awaitArrivals(len(ans))
		rg.table(route.Route{Prefix: "/", Kind: route.NotRepeatable, Aim: 100 * time.Millisecond, Targets: to("t")})
		close(refuse)
		rg.checkStatus(<-ans[4], http.StatusOK)
		close(gate)
		for _, an := range ans[:4] {
			rg.checkStatus(<-an, http.StatusOK)
		}
		an := rg.get("/after", http.StatusOK)
		rg.le.checkArrived(an.id, "t")
	})
}

// Two backend servers of a shard both answer, the first one late. One part of each
// shard is in the answer: hits would come twice otherwise. And a part that comes
// late is none of the next query.
func TestOnePartOfEachShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newPipes(), setup{})
		shs := shards(3)
		for _, sh := range shs {
			rg.serve(sh, 2, paused(60*time.Millisecond, fine), paused(20*time.Millisecond, fine))
		}
		rg.table(route.Route{Prefix: "/", Timeout: time.Second, MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 100, LeastShare: 1}})
		var before []string
		for range 20 {
			an := rg.get("/a", http.StatusOK)
			checkMissing(t, an, 0)
			checkServices(t, rg, an, shs)
			for _, stamp := range stampsOf(an) {
				qt.Assert(t, slices.Contains(before, stamp), qt.IsFalse)
				before = append(before, stamp)
			}
		}
		qt.Assert(t, len(rg.le.of("")) > 60, qt.IsTrue, qt.Commentf("some were hedged"))
	})
}

// A shard has no backend server at all. The others' parts are given while there
// is time to come within the aim, and nothing is waited for beyond it.
func TestShardWithoutServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const aim = 100 * time.Millisecond
		rg := newRig(t, newPipes(), setup{})
		rg.serve("p0", 1)
		rg.serve("p1", 1)
		rg.table(
			route.Route{Prefix: "/some/", Timeout: time.Second, Aim: aim, Shards: shards(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}},
			route.Route{Prefix: "/all/", Timeout: time.Second, Aim: aim, Shards: shards(3), Merge: route.Merge{TopK: 5, LeastShare: 1}},
		)
		an := rg.get("/some/", http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took < aim, qt.IsTrue)
		an = rg.ask(ask{uri: "/all/"})
		qt.Assert(t, an.status >= 500, qt.IsTrue)
		qt.Assert(t, an.took <= aim, qt.IsTrue, qt.Commentf("held for %v", an.took))
	})
}

// All shards refuse a query, so nothing has run, and the caller is told so; with
// one part that ran, it isn't.
//
// If every shard is needed, the query fails with the first that all its servers refused.
// Over sockets an attempt of another shard may still be under way then, of which nobody
// can say that it won't run: that case is told in the bubble, where replies come together.
// Over sockets one shard is enough for an answer, so that the query fails with the last.
func TestShardsRefuse(t *testing.T) {
	refuse := func(t *testing.T, nw network, least float64, ran bool, status int) {
		rg := newRig(t, nw, setup{})
		shs := shards(3)
		for _, sh := range shs {
			rg.serve(sh, 2, shed(http.StatusServiceUnavailable))
		}
		if ran {
			rg.serve("p0", 0, fine)
		}
		rg.table(route.Route{Prefix: "/", Timeout: time.Second, Aim: 100 * time.Millisecond, MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: least}})
		rg.get("/a", status)
	}
	onBoth(t, func(t *testing.T, nw network) { refuse(t, nw, 0.3, false, http.StatusServiceUnavailable) })
	onBoth(t, func(t *testing.T, nw network) { refuse(t, nw, 1, true, http.StatusBadGateway) })
	synctest.Test(t, func(t *testing.T) { refuse(t, newPipes(), 1, false, http.StatusServiceUnavailable) })
}

// A query with a body goes to each shard whole, and many at once do not mix.
func TestQueriesAtOnce(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		shs := shards(5)
		for _, sh := range shs {
			rg.serve(sh, 2)
		}
		rg.table(route.Route{Prefix: "/", MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 7, LeastShare: 1}})
		var ans []<-chan *answer
		for nth := range 40 {
			ans = append(ans, rg.begin(ask{uri: fmt.Sprint("/q?", nth), body: strings.Repeat(fmt.Sprint(nth), 2000)}))
		}
		for _, ch := range ans {
			an := <-ch
			rg.checkStatus(an, http.StatusOK)
			checkMissing(t, an, 0)
		}
	})
}

// Requests wait at the backend servers, as their replies say. What the next requests
// are read into must not hide that: the limit falls, and each answer is made of its own
// parts, be they longer or shorter than those before.
func TestRecycledReplies(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{mostActive: 100})
		shs := shards(2)
		for ix, count := range []int{40, 1, 9, 70} {
			for _, sh := range shs {
				rg.serve(sh, 1-min(ix, 1), says(func(re *reply) {
					re.body = strings.Repeat(rec(fmt.Sprint(sh, ix)), count)
					re.lines = append(re.lines, names.ServerLoad+": 3,9,8")
				}))
			}
			rg.table(route.Route{Prefix: "/", Shards: shs, Merge: route.Merge{TopK: 3 * count, LeastShare: 1}})
			an := rg.get("/a", http.StatusOK)
			want := strings.Repeat(rec(fmt.Sprint("p1", ix)), count) + strings.Repeat(rec(fmt.Sprint("p0", ix)), count)
			qt.Assert(t, string(an.body), qt.Equals, want)
		}
		qt.Assert(t, rg.gw.ad.Limit("p0") < 100, qt.IsTrue)
	})
}
