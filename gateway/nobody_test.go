package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/budget"
	"balsamwinch.example/registry"
	"balsamwinch.example/route"
)

// leave makes all backend servers of a service say that they drain, or are gone.
func (rg *rig) leave(service string, st registry.State) {
	for _, be := range rg.servers {
		if be.service == service {
			be.mu.Lock()
			be.state = st
			be.mu.Unlock()
		}
	}
	rg.publish()
}

// A service's backend servers left by plan while routes still lead to it. Each of
// its callers was held for the fifth part of its aim and then told that no backend
// server is known, though nobody was expected. Only where servers may be about to
// become known, as right after a start, is there a reason to wait.
func TestNobodyExpected(t *testing.T) {
	const aim = 100 * time.Millisecond
	tests := []struct {
		name   string
		before func(rg *rig)
		took   time.Duration
	}{
		{"known a moment ago, draining", func(rg *rig) {
			rg.serve("s", 2)
			rg.leave("s", registry.Draining)
		}, 0},
		{"known a moment ago, gone", func(rg *rig) {
			rg.serve("s", 2)
			rg.leave("s", registry.Gone)
		}, 0},
		{"not known yet", func(*rig) {}, aim / 5},
		{"only a draining one known yet", func(rg *rig) {
			rg.servers = append(rg.servers, newBackend(rg, "s", "s-1"))
			rg.leave("s", registry.Draining)
		}, aim / 5},
		{"not known for long", func(*rig) { time.Sleep(settleFor) }, 0},
		{"not known for almost as long", func(*rig) { time.Sleep(settleFor - aim) }, aim / 5},
		{"named a moment ago", func(rg *rig) {
			rg.table(route.Route{Prefix: "/", Aim: aim, Targets: to("other")})
			time.Sleep(settleFor)
			rg.table(route.Route{Prefix: "/", Aim: aim, Targets: to("s")})
		}, aim / 5},
		{"another version names it, too", func(rg *rig) {
			time.Sleep(settleFor)
			rg.table(route.Route{Prefix: "/", Aim: aim, Targets: to("s")})
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, newPipes(), setup{})
				rg.table(route.Route{Prefix: "/", Aim: aim, Targets: to("s")})
				tt.before(rg)
				an := rg.get("/a", http.StatusServiceUnavailable)
				qt.Assert(t, an.took, qt.Equals, tt.took)
				qt.Assert(t, an.header.Get("Retry-After"), qt.Equals, "0.1")
				qt.Assert(t, rg.le.of(an.id), qt.HasLen, 0)
				rg.serve("s", 1)
				rg.get("/a", http.StatusOK)
			})
		})
	}
}

// Backend servers become known while a request waits for one. It goes on at once
// and not only at the next look.
func TestServerBecomesKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newPipes(), setup{})
		rg.table(route.Route{Prefix: "/", Aim: 200 * time.Millisecond, Targets: to("s")})
		an := rg.begin(ask{uri: "/a"})
		time.Sleep(33 * time.Millisecond)
		rg.serve("s", 1)
		got := <-an
		rg.checkStatus(got, http.StatusOK)
		qt.Assert(t, got.took, qt.Equals, 33*time.Millisecond)
	})
}

// The backend servers of one shard have left. The answer can only lack its part,
// and was held until shortly before the aim all the same. And if all parts are
// needed, the other shards worked for nothing: no shard is asked then, and the
// caller is told that its request has not run.
func TestShardLeft(t *testing.T) {
	for _, state := range []registry.State{registry.Draining, registry.Gone} {
		synctest.Test(t, func(t *testing.T) {
			rg := newRig(t, newPipes(), setup{})
			for _, sh := range shards(3) {
				rg.serve(sh, 1, paused(10*time.Millisecond, fine))
			}
			rg.leave("p2", state)
			const aim = 100 * time.Millisecond
			rg.table(
				route.Route{Prefix: "/some/", Aim: aim, Shards: shards(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}},
				route.Route{Prefix: "/all/", Aim: aim, Shards: shards(3), Merge: route.Merge{TopK: 5, LeastShare: 1}},
			)
			time.Sleep(settleFor)
			an := rg.get("/some/", http.StatusOK)
			checkMissing(t, an, 1)
			qt.Assert(t, an.took, qt.Equals, 10*time.Millisecond)
			an = rg.get("/all/", http.StatusServiceUnavailable)
			qt.Assert(t, an.took, qt.Equals, time.Duration(0))
			qt.Assert(t, an.header.Get("Retry-After"), qt.Equals, "0.1")
			qt.Assert(t, rg.le.of(an.id), qt.HasLen, 0)
		})
	}
}

// Requests that are refused before anything is sent are no arrivals. If they counted
// as such, a shard that nobody serves would add to what may be retried at the others.
func TestShardLeftAddsNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newPipes(), setup{budget: budget.Config{Ratio: 0.5, Window: 10 * time.Second}})
		rg.serve("p0", 1)
		rg.table(route.Route{Prefix: "/", Aim: 100 * time.Millisecond, Shards: shards(2), Merge: route.Merge{TopK: 5, LeastShare: 1}})
		time.Sleep(settleFor)
		for range 50 {
			rg.get("/", http.StatusServiceUnavailable)
		}
		qt.Assert(t, rg.bu.Spend(rg.ts.Now(), "p0"), qt.IsFalse)
	})
}

// The backend servers of a shard refuse connections. Each of them was tried, so
// nobody is left who could give the part, and the answer was held until shortly
// before the aim all the same.
func TestShardUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newPipes(), setup{})
		for _, sh := range shards(3) {
			rg.serve(sh, 1, paused(10*time.Millisecond, fine))
		}
		for _, be := range rg.serve("p2", 2) {
			be.refuse()
		}
		rg.servers[2].refuse()
		rg.table(route.Route{Prefix: "/", Aim: 100 * time.Millisecond, MaxAttempts: 2, Shards: shards(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}})
		an := rg.get("/", http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", an.took))
	})
}

// The machines of all backend servers of a shard are gone, so that connections
// never open. While the first of them wait to be opened, they fill the share, and
// it is not known yet whether they will. Once one has failed, the next requests are
// answered as soon as the other parts are in.
func TestShardDark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newPipes()
		rg := newRig(t, nw, setup{young: true})
		for _, sh := range shards(3) {
			rg.serve(sh, 1)
		}
		nw.darken(rg.servers[2].li.Addr().String())
		rg.table(route.Route{Prefix: "/", Aim: 100 * time.Millisecond, MaxAttempts: 2, Shards: shards(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}})
		an := rg.get("/", http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took, qt.Equals, 100*time.Millisecond-2*distance-margin)
		time.Sleep(300 * time.Millisecond)
		first := rg.begin(ask{uri: "/"})
		time.Sleep(100 * time.Millisecond) // The first one has left, and its connection still waits to be opened.
		checkMissing(t, <-first, 1)
		for range 3 {
			an = rg.get("/", http.StatusOK)
			checkMissing(t, an, 1)
			qt.Assert(t, an.took, qt.Equals, time.Duration(0))
		}
	})
}

// An instance has just started and opens one connection to each backend server.
// Many requests come at once, and parts were left out for want of a connection that
// came free in time: each waiting request looked for one now and then, and a
// connection lay idle meanwhile. Each part waits until it is its turn.
func TestPartsWaitForConnection(t *testing.T) {
	const count, work, aim = 8, 10 * time.Millisecond, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newPipes(), setup{young: true})
		for _, sh := range shards(3) {
			rg.serve(sh, 1, paused(work, fine))
		}
		rg.table(route.Route{Prefix: "/", Aim: aim, MaxAttempts: 1, Shards: shards(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}})
		var ans []<-chan *answer
		for range count {
			ans = append(ans, rg.begin(ask{uri: "/a"}))
			time.Sleep(time.Microsecond)
		}
		for nth, ch := range ans {
			an := <-ch
			rg.checkStatus(an, http.StatusOK)
			checkMissing(t, an, 0)
			qt.Assert(t, an.took <= time.Duration(nth+1)*work, qt.IsTrue, qt.Commentf("request %d took %v", nth, an.took))
		}
		for _, be := range rg.servers {
			_, _, most := be.connections()
			qt.Assert(t, most, qt.Equals, 1)
		}
	})
}

// Callers that wait for a connection leave. The others' turn comes as before, and
// nothing is sent for those who left.
func TestWaitingCallersLeave(t *testing.T) {
	const work = 10 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newPipes(), setup{young: true})
		rg.serve("s", 1, paused(work, fine))
		rg.table(route.Route{Prefix: "/", Kind: route.NotRepeatable, Aim: time.Second, Targets: to("s")})
		var cas []*caller
		var ass []ask
		for range 6 {
			ca := rg.connect()
			cas, ass = append(cas, ca), append(ass, ca.send(ask{uri: "/a", body: "order"}))
			time.Sleep(time.Microsecond)
		}
		synctest.Wait()
		start := rg.ts.Now()
		for nth, ca := range cas {
			if nth%2 == 1 {
				ca.leave()
			}
		}
		for nth := 0; nth < len(cas); nth += 2 {
			rg.checkStatus(cas[nth].receive(ass[nth]), http.StatusOK)
		}
		qt.Assert(t, rg.ts.Now().Sub(start) <= 3*work, qt.IsTrue)
		time.Sleep(time.Minute)
		qt.Assert(t, rg.le.of(""), qt.HasLen, 3)
	})
}
