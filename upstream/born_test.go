package upstream

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// A backend server starts again under its id and address. What was kept open to the
// start before is dead, some of it without a word, and each request sent on it would
// be lost. A request that was chosen for the earlier start doesn't bring that back.
func TestTargetStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qc := qt.New(t)
		cl := newClient(qc, Config{Connect: chatter(func(pc *peerConn) {
			for rq := pc.take(); rq != nil; rq = pc.take() {
				pc.say("%s", good(rq.Header.Get("Request-Id")))
			}
		}, qc)})
		first := Target{ID: "i-1", Incarnation: 10, MaxConnections: 1}
		again := Target{ID: "i-1", Incarnation: 20, MaxConnections: 1}
		checkGood(qc, cl.Do(t.Context(), first, get()), true)
		checkGood(qc, cl.Do(t.Context(), first, get()), false)
		cl.Retain(map[string]Target{"i-1": again})
		checkCount(qc, cl, 0, 0)
		checkGood(qc, cl.Do(t.Context(), again, get()), true)
		checkGood(qc, cl.Do(t.Context(), first, get()), false)
		checkGood(qc, cl.Do(t.Context(), again, get()), false)
	})
}
