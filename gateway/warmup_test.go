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

// cool makes all backend servers of a service cold, and this instance send none of them
// anything.
func (rg *rig) cool(service string) {
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

// Guards against callers who wait for cold backend servers that get what they bear already.
func TestColdServersRefuseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newPipes(), setup{})
		rg.table(route.Route{Prefix: "/", Aim: 100 * time.Millisecond, Targets: to("s")})
		rg.serve("s", 2)
		rg.cool("s")
		an := rg.get("/a", http.StatusServiceUnavailable)
		qt.Assert(t, an.took, qt.Equals, time.Duration(0))
		qt.Assert(t, an.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Assert(t, rg.le.of(an.id), qt.HasLen, 0)
	})
}

// Guards against a merged answer that is held for a shard whose servers are all cold.
func TestColdShardIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newPipes(), setup{})
		rg.table(route.Route{Prefix: "/", Aim: 100 * time.Millisecond, Shards: []string{"a", "b"}, Merge: route.Merge{TopK: 3, LeastShare: 0.5}})
		rg.serve("a", 2)
		rg.serve("b", 2)
		rg.cool("b")
		an := rg.get("/a", http.StatusOK)
		qt.Assert(t, an.took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", an.took))
		qt.Assert(t, an.header.Get(names.MissingParts), qt.Equals, "1")
	})
}
