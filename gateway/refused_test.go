package gateway

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/budget"
	"balsamwinch.example/route"
)

// Of the servers, 80 % refuse 60 % of their requests at random and at once. Each server of a
// shard used to be asked once, so that a query failed although a server that had refused a
// part would have accepted it milliseconds later. With all servers asked once, 26 to 32
// of 150 queries that need 35 of 36 parts were in time, and 137 to 142 of those that need
// 31. The retry budget of a service must hold.
func TestRefusedPartsAreRetried(t *testing.T) {
	tests := []struct {
		name     string
		minParts float64
		target   time.Duration
		want     int
	}{
		{"35 of 36", 35, 200 * time.Millisecond, 130},
		{"31 of 36", 31, 60 * time.Millisecond, 145},
	}
	const queries, interval, shards = 150, 20 * time.Millisecond, 36
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bc := budget.Config{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}
				rg := newRig(t, newMemNetwork(), setup{budget: bc})
				rn := rand.New(rand.NewPCG(1, 2))
				good := make(map[string]bool)
				rg.behave = func(wo *work) behavior {
					if !good[wo.be.id] && rn.Float64() < 0.6 {
						return rejectNotRun(http.StatusServiceUnavailable)
					}
					return delayed(4*time.Millisecond, respondOK)
				}
				shs := shardNames(shards)
				for _, sh := range shs {
					rg.startServers(sh, 3)
				}
				for ix := 0; ix < len(rg.servers); ix += 5 {
					good[rg.servers[ix].id] = true
				}
				rg.setTable(route.Route{
					Prefix: "/", Timeout: time.Second, TargetLatency: tt.target, MaxAttempts: 2, Shards: shs,
					Merge: route.Merge{TopK: 5, LeastShare: tt.minParts / shards},
				})
				var ans []<-chan *answer
				for range queries {
					ans = append(ans, rg.sendAsync(request{uri: "/a", timeoutMillis: 800}))
					time.Sleep(interval)
				}
				inTime := 0
				for _, ch := range ans {
					if an := <-ch; an.status == http.StatusOK && an.took <= tt.target-2*callerDelay {
						inTime++
					}
				}
				arrivals := make(map[string]int)
				for _, ar := range rg.hist.arrivalsOf("") {
					arrivals[ar.service]++
				}
				for sh, count := range arrivals {
					extras, limit := count-queries, bc.Ratio*queries+float64(bc.Slack)
					qt.Check(t, float64(extras) <= limit, qt.IsTrue, qt.Commentf("%s: %d extra arrivals", sh, extras))
				}
				t.Logf("%d of %d queries in time", inTime, queries)
				qt.Check(t, inTime >= tt.want, qt.IsTrue, qt.Commentf("%d of %d in time", inTime, queries))
			})
		})
	}
}

// Servers that refuse a part again and again would use up the retry budget. A part that the
// answer can do without must leave half of it to parts that decide whether there is an
// answer. The part has one server, so that each retry is at a server that refused before.
func TestOptionalPartsLeaveRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{budget: budget.Config{Slack: 20, Window: 10 * time.Second}})
		rejects := rejectNotRun(http.StatusServiceUnavailable)
		rg.startServers("p0", 2, delayed(20*time.Millisecond, respondOK))
		rg.startServers("p1", 2, delayed(20*time.Millisecond, respondOK))
		rg.startServers("p2", 1, rejects)
		rg.setTable(route.Route{Prefix: "/", TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Shards: shardNames(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}})
		for range 8 {
			checkMissing(t, rg.get("/a", http.StatusOK), 1)
		}
		left := rg.bu.RemainingFraction(rg.ts.Now(), "p2")
		qt.Assert(t, left > 0.44 && left <= optionalRetryReserve, qt.IsTrue, qt.Commentf("%v", left))
		// Another part fails, so that the one that was optional decides.
		rg.startServers("p1", 0, respondFailure(http.StatusInternalServerError))
		rg.startServers("p2", 0, rejects, rejects, rejects, respondOK)
		checkMissing(t, rg.get("/b", http.StatusOK), 1)
	})
}
