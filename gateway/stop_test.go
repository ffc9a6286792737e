package gateway

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/route"
)

// The platform stops an instance. Callers with open connections must move away without
// losing a request: each answer announces that the connection closes, and it closes only
// after the answer.
func TestCloseAfterResponse(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		gate := make(chan struct{})
		close(gate)
		rg.startServers("s", 1, heldUntil(gate, respondOK))
		rg.setTable(route.Route{Prefix: "/", Kind: route.NotRepeatable, Targets: singleTarget("s")})
		ca := rg.connect()
		for range 3 {
			an := ca.do(request{uri: "/a"})
			rg.checkStatus(an, http.StatusOK)
			qt.Assert(t, an.close, qt.IsFalse)
		}
		rg.gw.CloseAfterResponse()
		an := ca.do(request{uri: "/a"})
		rg.checkStatus(an, http.StatusOK)
		qt.Assert(t, an.close, qt.IsTrue)
		_, err := ca.rd.ReadByte()
		qt.Assert(t, err, qt.IsNotNil)
		an = rg.get("/b", http.StatusOK)
		qt.Assert(t, an.close, qt.IsTrue, qt.Commentf("late callers are served, too"))
	})
}

// Near the end of a shutdown, new requests are rejected as not run, and requests in flight
// finish. The process may exit once no request is in flight.
func TestRejectAllFinishesInFlight(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		gate := make(chan struct{})
		rg.startServers("s", 2, heldUntil(gate, respondOK))
		rg.startServers("p1", 1, heldUntil(gate, respondOK))
		rg.setTable(
			route.Route{Prefix: "/", Kind: route.NotRepeatable, Targets: singleTarget("s")},
			route.Route{Prefix: "/m/", MaxAttempts: 1, Shards: []string{"s", "p1"}, Merge: route.Merge{TopK: 3, LeastShare: 1}},
		)
		one, two := rg.sendAsync(request{uri: "/a"}), rg.sendAsync(request{uri: "/m/"})
		rg.hist.awaitArrivals(3)
		rg.gw.CloseAfterResponse()
		rg.gw.RejectAll()
		an := rg.get("/b", http.StatusServiceUnavailable)
		qt.Assert(t, an.close, qt.IsTrue)
		qt.Assert(t, rg.hist.arrivalsOf(an.id), qt.HasLen, 0)

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

// An instance without a configuration is stopped. It continues to reject requests.
func TestRejectAllWithoutTable(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		rg.gw.CloseAfterResponse()
		rg.gw.RejectAll()
		qt.Assert(t, rg.get("/a", http.StatusServiceUnavailable).close, qt.IsTrue)
		awaitIdle(rg)
	})
}
