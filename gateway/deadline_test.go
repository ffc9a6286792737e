package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/route"
)

// A caller waits for less than the target latency. Its deadline used to come before the
// partial answer was due, so that it got a failure although enough parts were in.
func TestPartialAnswerBeforeCallersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		rg.startServers("p0", 1)
		rg.startServers("p1", 1)
		rg.startServers("p2", 2, neverAnswer)
		rg.setTable(route.Route{Prefix: "/", Timeout: time.Second, TargetLatency: 300 * time.Millisecond, Shards: shardNames(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}})
		an := rg.send(request{uri: "/a", timeoutMillis: 100})
		rg.checkStatus(an, http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, an.took, qt.Equals, 100*time.Millisecond-2*callerDelay-answerMargin)
	})
}
