package upstream

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// Guards against requests lost on connections to an earlier incarnation of a restarted
// server, which are dead, some without having been closed. A request with the earlier
// incarnation as its target must not bring them back.
func TestRestartClosesOldConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qc := qt.New(t)
		cl := newClient(qc, Config{Connect: pipeConnector(func(pc *peerConn) {
			for rq := pc.readRequest(); rq != nil; rq = pc.readRequest() {
				pc.printf("%s", okReply(rq.Header.Get("Request-Id")))
			}
		}, qc)})
		first := Target{ID: "i-1", Incarnation: 10, MaxConnections: 1}
		restarted := Target{ID: "i-1", Incarnation: 20, MaxConnections: 1}
		checkAnswered(qc, cl.Do(t.Context(), first, newGet()), true)
		checkAnswered(qc, cl.Do(t.Context(), first, newGet()), false)
		cl.Retain(map[string]Target{"i-1": restarted})
		checkCount(qc, cl, 0, 0)
		checkAnswered(qc, cl.Do(t.Context(), restarted, newGet()), true)
		checkAnswered(qc, cl.Do(t.Context(), first, newGet()), false)
		checkAnswered(qc, cl.Do(t.Context(), restarted, newGet()), false)
	})
}
