package gateway

import (
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/quarantine"
	"balsamwinch.example/route"
)

// suspect makes a gateway suspect a request, or refuse it after three losses.
func (rg *rig) suspect(uri string, losses int) {
	key := quarantine.Content{Method: http.MethodGet, Host: host, URI: uri}.Key()
	for nth := range losses {
		now := rg.ts.Now()
		rg.gw.qa.RecordLoss(now, quarantine.Loss{Key: key, Attempt: strconv.Itoa(nth), Start: now, Probe: nth > 0, Servers: []string{strconv.Itoa(nth)}})
	}
}

// virtual reports whether time stands still while anybody works. Over sockets, a loaded
// machine may take so long for an answer that the query is hedged, as it then may be.
func virtual(nw network) bool {
	_, ok := nw.(*pipes)
	return ok
}

// A request is known to end servers. It is refused at once, without an attempt, with a word
// that it hasn't run and when it may; a request that differs from it in one byte runs.
func TestQuarantinedIsRefused(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		rg.serve("s", 2)
		rg.table(route.Route{Prefix: "/", MaxAttempts: 2, Targets: to("s")})
		rg.suspect("/a?q=1", 3)
		an := rg.get("/a?q=1", http.StatusServiceUnavailable)
		qt.Assert(t, string(an.body), qt.Equals, `{"Code":109,"Detail":"backend servers end under this request"}`)
		after, err := strconv.ParseFloat(an.header.Get("Retry-After"), 64)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, after > 0 && after <= 600, qt.IsTrue, qt.Commentf("%v", after))
		qt.Assert(t, rg.le.of(an.id), qt.HasLen, 0)
		rg.get("/a?q=2", http.StatusOK)
	})
}

// Servers ended while an innocent query was with them, and the instance can't know that it
// is innocent. Its caller sends it again and gets the whole answer: one server is asked, and
// when that has answered all others, and from then on it runs as any other.
func TestSuspectThatIsInnocentIsServed(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		shs := shards(5)
		for _, sh := range shs {
			rg.serve(sh, 2)
		}
		rg.table(route.Route{Prefix: "/", MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 1}})
		rg.suspect("/a", 2)
		an := rg.get("/a", http.StatusOK)
		checkMissing(t, an, 0)
		ars := rg.le.of(an.id)
		if virtual(nw) {
			qt.Assert(t, ars, qt.HasLen, len(shs))
		}
		checkServices(t, rg, an, shs)
		qt.Assert(t, rg.gw.qa.Count(quarantine.Probe), qt.Equals, 0)
	})
}

// A suspected query ends the server that is asked first. No other one gets it, whatever the
// route allows, and the caller isn't told that it hasn't run.
func TestSuspectMeetsOneServer(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		shs := shards(5)
		for _, sh := range shs {
			rg.serve(sh, 3, resets)
		}
		rg.table(route.Route{Prefix: "/", MaxAttempts: 3, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 0.4}})
		rg.suspect("/a", 1)
		an := rg.get("/a", http.StatusBadGateway)
		qt.Assert(t, rg.le.of(an.id), qt.HasLen, 1)
	})
}

// A query that nobody suspects ends whoever runs it. Each shard's first server has it before
// anybody can know; beyond these it meets two more at most, and not a second one of each.
// Where time passes meanwhile, three hedges come besides.
func TestFirstAttemptTakesFewServers(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		shs := shards(10)
		for _, sh := range shs {
			rg.serve(sh, 3, resets)
		}
		rg.table(route.Route{Prefix: "/", MaxAttempts: 3, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 0.1}})
		an := rg.get("/a", http.StatusBadGateway)
		most := len(shs) + 2
		if !virtual(nw) {
			most += 3
		}
		qt.Assert(t, len(rg.le.of(an.id)) <= most, qt.IsTrue, qt.Commentf("%d", len(rg.le.of(an.id))))
	})
}

// A server at its deadline answers 504 just before it would end. The request stays suspect.
func TestFailureDoesNotClear(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		rg.serve("s", 1, fails(http.StatusGatewayTimeout))
		rg.table(route.Route{Prefix: "/", MaxAttempts: 1, Targets: to("s")})
		rg.suspect("/a", 2)
		rg.get("/a", http.StatusGatewayTimeout)
		qt.Assert(t, rg.gw.qa.Count(quarantine.Probe), qt.Equals, 1)
	})
}
