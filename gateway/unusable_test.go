package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/outlier"
	"balsamwinch.example/registry"
	"balsamwinch.example/route"
)

// shardRoute returns a route over three shards that needs a share of them.
func shardRoute(minShare float64) route.Route {
	return route.Route{Prefix: "/", Timeout: 2 * time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shards: shardNames(3), Merge: route.Merge{TopK: 5, LeastShare: minShare}}
}

// applyFinding makes a finding of all entry instances known to the gateway.
func (rg *rig) applyFinding(bes []*backend, slowness, failures float32) {
	for _, be := range bes {
		rg.gw.re.ApplyFindings(rg.ts.Now(), []outlier.Finding{{ID: be.id, Slowness: slowness, Failures: failures}})
	}
}

// Both servers of a needed part are silent. Once they are known to be slow, failing or gone,
// the part can't come, but the query used to be held until the caller left. Otherwise it
// must wait: an answer may still come in time.
func TestStuckPartEndsQuery(t *testing.T) {
	tests := []struct {
		name               string
		slowness, failures float32
		gone               bool
		min, max           time.Duration
	}{
		{"no finding", 0, 0, false, 790 * time.Millisecond, 790 * time.Millisecond},
		{"slow", 0.7, 0, false, 300 * time.Millisecond, 500 * time.Millisecond},
		{"so slow that an answer may come", 3, 0, false, 790 * time.Millisecond, 790 * time.Millisecond},
		{"failing", 0, 0.6, false, 300 * time.Millisecond, 500 * time.Millisecond},
		{"refusing some", 0, 0.3, false, 790 * time.Millisecond, 790 * time.Millisecond},
		{"gone", 0, 0, true, 300 * time.Millisecond, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, newMemNetwork(), setup{})
				rg.startServers("p0", 2, delayed(10*time.Millisecond, respondOK))
				rg.startServers("p1", 2, delayed(10*time.Millisecond, respondOK))
				bes := rg.startServers("p2", 2, delayed(10*time.Millisecond, respondOK))
				rg.setTable(shardRoute(1))
				for range 30 {
					rg.get("/warm", http.StatusOK)
				}
				rg.startServers("p2", 0, neverAnswer)
				an := rg.sendAsync(request{uri: "/a", timeoutMillis: 800})
				time.Sleep(200 * time.Millisecond)
				rg.applyFinding(bes, tt.slowness, tt.failures)
				if tt.gone {
					rg.setServiceState("p2", registry.Gone)
				}
				got := <-an
				rg.checkUnknown(got)
				qt.Assert(t, got.took >= tt.min && got.took <= tt.max, qt.IsTrue, qt.Commentf("%v", got.took))
			})
		})
	}
}

// A part that was given up as stuck arrives while the query still waits for others, so it
// counts.
func TestStuckPartCountsIfItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		rg.startServers("p0", 2, delayed(600*time.Millisecond, respondOK))
		rg.startServers("p1", 2, delayed(500*time.Millisecond, respondOK))
		bes := rg.startServers("p2", 2, delayed(450*time.Millisecond, respondOK))
		rg.setTable(shardRoute(0.6))
		rg.applyFinding(bes, 0, 0.6)
		an := rg.get("/a", http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took, qt.Equals, 500*time.Millisecond)
	})
}

// All servers of a shard refuse everything. While they are known to be down, a query that
// needs the shard is rejected before anything is sent to the others, and one that doesn't
// isn't held up. When the servers are back, they are found by the next tries.
func TestShardWhoseServersAreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		rg.startServers("p0", 2)
		rg.startServers("p1", 2)
		bes := rg.startServers("p2", 2, rejectNotRun(http.StatusServiceUnavailable))
		rg.setTable(shardRoute(1))
		rg.applyFinding(bes, 0, 1)
		sawDown := false
		for range 8 {
			an := rg.send(request{uri: "/a"})
			if an.status == http.StatusServiceUnavailable && len(rg.hist.arrivalsOf(an.id)) == 0 {
				sawDown = true
			}
		}
		qt.Assert(t, sawDown, qt.IsTrue)
		rg.startServers("p2", 0, respondOK)
		time.Sleep(2500 * time.Millisecond)
		rg.applyFinding(bes, 0, 1)
		checkMissing(t, rg.get("/b", http.StatusOK), 0)
	})
}
