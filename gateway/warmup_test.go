package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
	"balsamwinch.example/replica"
	"balsamwinch.example/route"
	"balsamwinch.example/warmup"
)

// makeCold makes all backend servers of a service cold, with a limit that lets this
// instance send them nothing.
func (rg *rig) makeCold(service string) {
	ses := make(map[string][]registry.Server)
	for _, be := range rg.servers {
		se := be.record()
		if se.Service == service {
			se.WarmMillis = 3000
		}
		ses[se.Service] = append(ses[se.Service], se)
	}
	rg.gw.SetServers(ses)
	rg.gw.re.SetWarmups(map[string]replica.Warmup{service: {Allowance: warmup.Allowance{MinInterval: time.Second}, Duration: 3 * time.Second}})
}

// Guards against requests that wait for cold backend servers that already get as many
// requests as they can take.
func TestColdServersRejectAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		rg.setTable(route.Route{Prefix: "/", TargetLatency: 100 * time.Millisecond, Targets: singleTarget("s")})
		rg.startServers("s", 2)
		rg.makeCold("s")
		an := rg.get("/a", http.StatusServiceUnavailable)
		qt.Assert(t, an.took, qt.Equals, time.Duration(0))
		qt.Assert(t, an.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Assert(t, rg.hist.arrivalsOf(an.id), qt.HasLen, 0)
	})
}

// Guards against a merged answer that waits for a shard whose servers are all cold.
func TestColdShardIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		rg.setTable(route.Route{Prefix: "/", TargetLatency: 100 * time.Millisecond, Shards: []string{"a", "b"}, Merge: route.Merge{TopK: 3, LeastShare: 0.5}})
		rg.startServers("a", 2)
		rg.startServers("b", 2)
		rg.makeCold("b")
		an := rg.get("/a", http.StatusOK)
		qt.Assert(t, an.took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", an.took))
		qt.Assert(t, an.header.Get(names.MissingParts), qt.Equals, "1")
	})
}
