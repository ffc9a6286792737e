package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
	"balsamwinch.example/route"
	"balsamwinch.example/stall"
)

// workTime is how long a server that isn't stalled works. All attempts of a query have begun
// by then, so that no answer changes their hedge delay.
const workTime = 2 * time.Millisecond

// newStallRig returns a rig with a route over the given number of shards, two servers each,
// and the given number of entry instances.
func newStallRig(t *testing.T, shards, entries int, shared bool) *rig {
	rg := newRig(t, newMemNetwork(), setup{entries: entries, sharedStalls: shared})
	shs := shardNames(shards)
	for _, sh := range shs {
		rg.startServers(sh, 2)
	}
	rg.setTable(route.Route{Prefix: "/", Timeout: 2 * time.Second, MaxAttempts: 2, Shards: shs, Merge: route.Merge{TopK: 5, LeastShare: 1}})
	return rg
}

// sharesStalls reports whether the gateway shares stalls.
func (rg *rig) sharesStalls() bool {
	rg.gw.stalls.mu.Lock()
	defer rg.gw.stalls.mu.Unlock()
	return rg.gw.stalls.inForce
}

// stallOnce makes one server of the shard stall at its next request and returns the server.
func (rg *rig) stallOnce(service string, span time.Duration) <-chan registry.Server {
	stalled := make(chan registry.Server, 1)
	rg.mu.Lock()
	defer rg.mu.Unlock()
	done := false
	rg.behave = func(wo *work) behavior {
		if wo.be.service != service || done {
			return delayed(workTime, respondOK)
		}
		done = true
		stalled <- wo.be.record()
		return delayed(span, respondOK)
	}
	return stalled
}

// hearStall passes news of a stalled server to the gateway.
func (rg *rig) hearStall(se registry.Server) {
	rg.gw.HearStalls(rg.ts.Now(), 0, []stall.Stall{{ID: se.ID, Born: se.Born, AgeMillis: 30, LeftMillis: 100}}, nil)
}

// Guards against a request in flight to a stalled server that waits for its usual hedge
// delay although another instance has told of the stall.
func TestNewsOfStallHedgesRequestInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newStallRig(t, 20, 16, true)
		stalled := rg.stallOnce("p3", 500*time.Millisecond)
		answer := rg.sendAsync(request{uri: "/a"})
		se := <-stalled
		time.Sleep(5 * time.Millisecond)
		rg.hearStall(se)
		an := <-answer
		rg.checkStatus(an, http.StatusOK)
		qt.Assert(t, an.took, qt.Equals, 5*time.Millisecond+workTime)
	})
}

// Guards against a changed behavior of tiers with few entry instances or routes of few
// shards, and of those where stalls are not shared: the same request is hedged after the
// usual delay.
func TestStallsAreSharedInLargeTiersOnly(t *testing.T) {
	tests := []struct {
		name            string
		shards, entries int
		shared          bool
	}{{"few shards", 19, 16, true}, {"few entry instances", 20, 15, true}, {"not shared", 20, 16, false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newStallRig(t, tt.shards, tt.entries, tt.shared)
				stalled := rg.stallOnce("p3", 500*time.Millisecond)
				answer := rg.sendAsync(request{uri: "/a"})
				rg.hearStall(<-stalled)
				an := <-answer
				qt.Assert(t, an.took, qt.Equals, 50*time.Millisecond+workTime)
				_, _, busy := rg.gw.re.CheckStalls(rg.ts.Now())
				qt.Assert(t, busy, qt.IsFalse)
			})
		})
	}
}

// Guards against sharing that stays in force, or out of it, when the number of entry
// instances changes.
func TestSharingOfStallsFollowsEntryInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newStallRig(t, 20, 15, true)
		qt.Assert(t, rg.sharesStalls(), qt.IsFalse)
		rg.gw.SetEntries(16)
		qt.Assert(t, rg.sharesStalls(), qt.IsTrue)
		rg.gw.SetEntries(4)
		time.Sleep(entryCountTTL + time.Second)
		qt.Assert(t, rg.sharesStalls(), qt.IsFalse)
	})
}
