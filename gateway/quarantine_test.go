package gateway

import (
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/quarantine"
	"balsamwinch.example/route"
)

// suspect makes a gateway suspect a request, or quarantine it after three losses.
func (rg *rig) suspect(uri string, losses int) {
	key := quarantine.Content{Method: http.MethodGet, Host: host, URI: uri}.Key()
	for nth := range losses {
		now := rg.ts.Now()
		rg.gw.qa.RecordLoss(now, quarantine.Loss{Key: key, Attempt: strconv.Itoa(nth), Start: now, Probe: nth > 0, Servers: []string{strconv.Itoa(nth)}})
	}
}

// virtualTime reports whether the network runs in virtual time. Over sockets, a loaded
// machine may be so slow that a query is hedged, which is allowed.
func virtualTime(nw network) bool {
	_, ok := nw.(*memNetwork)
	return ok
}

// A request is known to crash servers. It is rejected at once without an attempt; the
// answer says that it has not run and when to retry. A request that differs in one byte
// runs.
func TestQuarantinedRequestIsRejected(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		rg.startServers("s", 2)
		rg.setTable(route.Route{Prefix: "/", MaxAttempts: 2, Targets: singleTarget("s")})
		rg.suspect("/a?q=1", 3)
		an := rg.get("/a?q=1", http.StatusServiceUnavailable)
		qt.Assert(t, string(an.body), qt.Equals, `{"Code":109,"Detail":"backend servers end under this request"}`)
		after, err := strconv.ParseFloat(an.header.Get("Retry-After"), 64)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, after > 0 && after <= 600, qt.IsTrue, qt.Commentf("%v", after))
		qt.Assert(t, rg.hist.arrivalsOf(an.id), qt.HasLen, 0)
		rg.get("/a?q=2", http.StatusOK)
	})
}

// Servers crashed while they had a harmless query, and the instance cannot know that it is
// harmless. When its caller retries it, one server is asked first and the others after it
// has answered. The caller gets the complete answer, and the query is no longer suspected.
func TestHarmlessSuspectIsServed(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		shs := shardNames(5)
		for _, sh := range shs {
			rg.startServers(sh, 2)
		}
		rg.setTable(route.Route{Prefix: "/", MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 1}})
		rg.suspect("/a", 2)
		an := rg.get("/a", http.StatusOK)
		checkMissing(t, an, 0)
		ars := rg.hist.arrivalsOf(an.id)
		if virtualTime(nw) {
			qt.Assert(t, ars, qt.HasLen, len(shs))
		}
		checkServices(t, rg, an, shs)
		qt.Assert(t, rg.gw.qa.Count(quarantine.Probe), qt.Equals, 0)
	})
}

// A suspected query crashes the server that is asked first. No other server gets it,
// whatever the route allows, and the answer does not say that it has not run.
func TestSuspectReachesOneServer(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		shs := shardNames(5)
		for _, sh := range shs {
			rg.startServers(sh, 3, resetUnanswered)
		}
		rg.setTable(route.Route{Prefix: "/", MaxAttempts: 3, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 0.4}})
		rg.suspect("/a", 1)
		an := rg.get("/a", http.StatusBadGateway)
		qt.Assert(t, rg.hist.arrivalsOf(an.id), qt.HasLen, 1)
	})
}

// A query that is not suspected yet crashes every server that runs it. The first server of
// each shard gets it before that can be known; beyond those, at most two more servers get
// it, not a second one of each shard. In real time, up to three hedges are added.
func TestUnsuspectedCrasherReachesFewServers(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		shs := shardNames(10)
		for _, sh := range shs {
			rg.startServers(sh, 3, resetUnanswered)
		}
		rg.setTable(route.Route{Prefix: "/", MaxAttempts: 3, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 0.1}})
		an := rg.get("/a", http.StatusBadGateway)
		maxArrivals := len(shs) + 2
		if !virtualTime(nw) {
			maxArrivals += 3
		}
		qt.Assert(t, len(rg.hist.arrivalsOf(an.id)) <= maxArrivals, qt.IsTrue, qt.Commentf("%d", len(rg.hist.arrivalsOf(an.id))))
	})
}

// A server at its deadline answers 504 just before it would crash. The request must remain
// suspected.
func TestFailureDoesNotClearSuspect(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		rg.startServers("s", 1, respondFailure(http.StatusGatewayTimeout))
		rg.setTable(route.Route{Prefix: "/", MaxAttempts: 1, Targets: singleTarget("s")})
		rg.suspect("/a", 2)
		rg.get("/a", http.StatusGatewayTimeout)
		qt.Assert(t, rg.gw.qa.Count(quarantine.Probe), qt.Equals, 1)
	})
}
