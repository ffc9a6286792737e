package gateway

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/route"
)

// The platform stops an instance. Callers that hold connections to it must leave
// it without a request being cut: each answer says that the connection ends, and
// the connection ends after it, not before.
func TestCloseAfterAnswer(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		gate := make(chan struct{})
		close(gate)
		rg.serve("s", 1, held(gate, fine))
		rg.table(route.Route{Prefix: "/", Kind: route.NotRepeatable, Targets: to("s")})
		ca := rg.connect()
		for range 3 {
			an := ca.do(ask{uri: "/a"})
			rg.checkStatus(an, http.StatusOK)
			qt.Assert(t, an.close, qt.IsFalse)
		}
		rg.gw.CloseAfterResponse()
		an := ca.do(ask{uri: "/a"})
		rg.checkStatus(an, http.StatusOK)
		qt.Assert(t, an.close, qt.IsTrue)
		_, err := ca.rd.ReadByte()
		qt.Assert(t, err, qt.IsNotNil)
		an = rg.get("/b", http.StatusOK)
		qt.Assert(t, an.close, qt.IsTrue, qt.Commentf("callers that come late are served too"))
	})
}

// Near the end of a stop what still comes is refused, with the promise that it has
// not run, and what is under way is finished. The process may end once nothing is
// under way.
func TestRefuse(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		gate := make(chan struct{})
		rg.serve("s", 2, held(gate, fine))
		rg.serve("p1", 1, held(gate, fine))
		rg.table(
			route.Route{Prefix: "/", Kind: route.NotRepeatable, Targets: to("s")},
			route.Route{Prefix: "/m/", MaxAttempts: 1, Shards: []string{"s", "p1"}, Merge: route.Merge{TopK: 3, LeastShare: 1}},
		)
		one, two := rg.begin(ask{uri: "/a"}), rg.begin(ask{uri: "/m/"})
		rg.le.awaitArrivals(3)
		rg.gw.CloseAfterResponse()
		rg.gw.RejectAll()
		an := rg.get("/b", http.StatusServiceUnavailable)
		qt.Assert(t, an.close, qt.IsTrue)
		qt.Assert(t, rg.le.of(an.id), qt.HasLen, 0)

		qt.Assert(t, rg.gw.InFlight(), qt.Equals, 2)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		qt.Assert(t, rg.gw.WaitIdle(ctx), qt.ErrorIs, context.Canceled)
		idle := make(chan struct{})
		go func() {
			defer close(idle)
			awaitIdle(rg)
		}()
		close(gate)
		rg.checkStatus(<-one, http.StatusOK)
		rg.checkStatus(<-two, http.StatusOK)
		<-idle
		qt.Assert(t, rg.gw.InFlight(), qt.Equals, 0)
	})
}

// An instance that has no configuration yet is stopped. It refuses as before.
func TestRefuseWithoutTable(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		rg.gw.CloseAfterResponse()
		rg.gw.RejectAll()
		qt.Assert(t, rg.get("/a", http.StatusServiceUnavailable).close, qt.IsTrue)
		awaitIdle(rg)
	})
}
