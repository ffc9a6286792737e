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

// setServiceState sets the state of all backend servers of a service.
func (rg *rig) setServiceState(service string, st registry.State) {
	for _, be := range rg.servers {
		if be.service == service {
			be.mu.Lock()
			be.state = st
			be.mu.Unlock()
		}
	}
	rg.publish()
}

// A service's backend servers were shut down as planned while routes still lead to it. Each
// request to it used to wait for a fifth of its target latency before it was rejected,
// although no server was expected. Waiting is only justified if servers may be about to
// become known, as just after a start.
func TestWaitOnlyIfServerIsExpected(t *testing.T) {
	const targetLatency = 100 * time.Millisecond
	tests := []struct {
		name   string
		before func(rg *rig)
		took   time.Duration
	}{
		{"just known, now draining", func(rg *rig) {
			rg.startServers("s", 2)
			rg.setServiceState("s", registry.Draining)
		}, 0},
		{"just known, now gone", func(rg *rig) {
			rg.startServers("s", 2)
			rg.setServiceState("s", registry.Gone)
		}, 0},
		{"not known yet", func(*rig) {}, targetLatency / 5},
		{"only a draining one known", func(rg *rig) {
			rg.servers = append(rg.servers, newBackend(rg, "s", "s-1"))
			rg.setServiceState("s", registry.Draining)
		}, targetLatency / 5},
		{"discovery timeout has passed", func(*rig) { time.Sleep(discoveryTimeout) }, 0},
		{"discovery timeout almost over", func(*rig) { time.Sleep(discoveryTimeout - targetLatency) }, targetLatency / 5},
		{"named just now", func(rg *rig) {
			rg.setTable(route.Route{Prefix: "/", TargetLatency: targetLatency, Targets: singleTarget("other")})
			time.Sleep(discoveryTimeout)
			rg.setTable(route.Route{Prefix: "/", TargetLatency: targetLatency, Targets: singleTarget("s")})
		}, targetLatency / 5},
		{"named by the previous version, too", func(rg *rig) {
			time.Sleep(discoveryTimeout)
			rg.setTable(route.Route{Prefix: "/", TargetLatency: targetLatency, Targets: singleTarget("s")})
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, newMemNetwork(), setup{})
				rg.setTable(route.Route{Prefix: "/", TargetLatency: targetLatency, Targets: singleTarget("s")})
				tt.before(rg)
				an := rg.get("/a", http.StatusServiceUnavailable)
				qt.Assert(t, an.took, qt.Equals, tt.took)
				qt.Assert(t, an.header.Get("Retry-After"), qt.Equals, "0.1")
				qt.Assert(t, rg.hist.arrivalsOf(an.id), qt.HasLen, 0)
				rg.startServers("s", 1)
				rg.get("/a", http.StatusOK)
			})
		})
	}
}

// Backend servers become known while a request waits for one. The request must resume at
// once, not at the next poll.
func TestRequestResumesWhenServerAppears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		rg.setTable(route.Route{Prefix: "/", TargetLatency: 200 * time.Millisecond, Targets: singleTarget("s")})
		an := rg.sendAsync(request{uri: "/a"})
		time.Sleep(33 * time.Millisecond)
		rg.startServers("s", 1)
		got := <-an
		rg.checkStatus(got, http.StatusOK)
		qt.Assert(t, got.took, qt.Equals, 33*time.Millisecond)
	})
}

// The backend servers of one shard have left. A partial answer used to wait until shortly
// before the target latency for a part that could not come. If all parts are needed, the
// other shards used to work for nothing; now no shard is asked, and the request is rejected
// as not run.
func TestShardWithoutReadyServer(t *testing.T) {
	for _, state := range []registry.State{registry.Draining, registry.Gone} {
		synctest.Test(t, func(t *testing.T) {
			rg := newRig(t, newMemNetwork(), setup{})
			for _, sh := range shardNames(3) {
				rg.startServers(sh, 1, delayed(10*time.Millisecond, respondOK))
			}
			rg.setServiceState("p2", state)
			const targetLatency = 100 * time.Millisecond
			rg.setTable(
				route.Route{Prefix: "/some/", TargetLatency: targetLatency, Shards: shardNames(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}},
				route.Route{Prefix: "/all/", TargetLatency: targetLatency, Shards: shardNames(3), Merge: route.Merge{TopK: 5, LeastShare: 1}},
			)
			time.Sleep(discoveryTimeout)
			an := rg.get("/some/", http.StatusOK)
			checkMissing(t, an, 1)
			qt.Assert(t, an.took, qt.Equals, 10*time.Millisecond)
			an = rg.get("/all/", http.StatusServiceUnavailable)
			qt.Assert(t, an.took, qt.Equals, time.Duration(0))
			qt.Assert(t, an.header.Get("Retry-After"), qt.Equals, "0.1")
			qt.Assert(t, rg.hist.arrivalsOf(an.id), qt.HasLen, 0)
		})
	}
}

// Requests that are rejected before anything is sent must not count as arrivals. Otherwise
// a shard without servers would add to the retry budget of the others.
func TestRejectedQueriesAddNoRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{budget: budget.Config{Ratio: 0.5, Window: 10 * time.Second}})
		rg.startServers("p0", 1)
		rg.setTable(route.Route{Prefix: "/", TargetLatency: 100 * time.Millisecond, Shards: shardNames(2), Merge: route.Merge{TopK: 5, LeastShare: 1}})
		time.Sleep(discoveryTimeout)
		for range 50 {
			rg.get("/", http.StatusServiceUnavailable)
		}
		qt.Assert(t, rg.bu.Spend(rg.ts.Now(), "p0"), qt.IsFalse)
	})
}

// The backend servers of a shard refuse connections. After each was tried, none is left for
// the part, but the answer used to wait until shortly before the target latency all the
// same.
func TestUnreachableShardIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		for _, sh := range shardNames(3) {
			rg.startServers(sh, 1, delayed(10*time.Millisecond, respondOK))
		}
		for _, be := range rg.startServers("p2", 2) {
			be.closeListener()
		}
		rg.servers[2].closeListener()
		rg.setTable(route.Route{Prefix: "/", TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shards: shardNames(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}})
		an := rg.get("/", http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took < 20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", an.took))
	})
}

// The machines of all backend servers of a shard are gone, so connection attempts hang. At
// first they take all connections, and it is not known yet that they will fail. After one
// has failed, the next requests are answered as soon as the other parts have arrived.
func TestBlackholedShardIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newMemNetwork()
		rg := newRig(t, nw, setup{justStarted: true})
		for _, sh := range shardNames(3) {
			rg.startServers(sh, 1)
		}
		nw.blackhole(rg.servers[2].li.Addr().String())
		rg.setTable(route.Route{Prefix: "/", TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shards: shardNames(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}})
		an := rg.get("/", http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took, qt.Equals, 100*time.Millisecond-2*callerDelay-partialMargin)
		time.Sleep(300 * time.Millisecond)
		first := rg.sendAsync(request{uri: "/"})
		time.Sleep(100 * time.Millisecond) // The first caller has left, and its connection is still opening.
		checkMissing(t, <-first, 1)
		for range 3 {
			an = rg.get("/", http.StatusOK)
			checkMissing(t, an, 1)
			qt.Assert(t, an.took, qt.Equals, time.Duration(0))
		}
	})
}

// An instance has just started and opens one connection to each backend server. In a burst
// of requests, parts used to be missing although connections became free in time: each
// waiting request polled for one, and a connection was idle in between. Parts now wait in a
// queue.
func TestPartsWaitForConnection(t *testing.T) {
	const count, work, targetLatency = 8, 10 * time.Millisecond, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{justStarted: true})
		for _, sh := range shardNames(3) {
			rg.startServers(sh, 1, delayed(work, respondOK))
		}
		rg.setTable(route.Route{Prefix: "/", TargetLatency: targetLatency, MaxAttempts: 1, Shards: shardNames(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}})
		var ans []<-chan *answer
		for range count {
			ans = append(ans, rg.sendAsync(request{uri: "/a"}))
			time.Sleep(time.Microsecond)
		}
		for nth, ch := range ans {
			an := <-ch
			rg.checkStatus(an, http.StatusOK)
			checkMissing(t, an, 0)
			qt.Assert(t, an.took <= time.Duration(nth+1)*work, qt.IsTrue, qt.Commentf("request %d took %v", nth, an.took))
		}
		for _, be := range rg.servers {
			_, _, peak := be.connections()
			qt.Assert(t, peak, qt.Equals, 1)
		}
	})
}

// Callers that wait for a connection disconnect. The others keep their places, and nothing
// is sent for those who left.
func TestWaitingCallersLeave(t *testing.T) {
	const work = 10 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{justStarted: true})
		rg.startServers("s", 1, delayed(work, respondOK))
		rg.setTable(route.Route{Prefix: "/", Kind: route.NotRepeatable, TargetLatency: time.Second, Targets: singleTarget("s")})
		var cas []*caller
		var rqs []request
		for range 6 {
			ca := rg.connect()
			cas, rqs = append(cas, ca), append(rqs, ca.send(request{uri: "/a", body: "order"}))
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
			rg.checkStatus(cas[nth].receive(rqs[nth]), http.StatusOK)
		}
		qt.Assert(t, rg.ts.Now().Sub(start) <= 3*work, qt.IsTrue)
		time.Sleep(time.Minute)
		qt.Assert(t, rg.hist.arrivalsOf(""), qt.HasLen, 3)
	})
}
