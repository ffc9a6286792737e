package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A target may set a shorter idle timeout than the client's, but not a longer one. The
// latest value applies from the next use of a connection.
func TestTargetIdleTimeout(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idle, kept time.Duration
	}{
		{"usual", 0, 30 * time.Second},
		{"shorter", time.Second, time.Second},
		{"longer", time.Minute, 30 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				qc := qt.New(t)
				cl := newClient(qc, Config{Connect: pipeConnector(func(pc *peerConn) {
					for rq := pc.readRequest(); rq != nil; rq = pc.readRequest() {
						pc.printf("%s", okReply(rq.Header.Get("Request-Id")))
					}
				}, qc)})
				ta := Target{ID: "i-1", MaxConnections: 1, IdleTimeout: tc.idle}
				checkAnswered(qc, cl.Do(t.Context(), ta, newGet()), true)
				time.Sleep(tc.kept - 1)
				cl.CloseIdle(time.Now())
				checkCount(qc, cl, 1, 1)
				checkAnswered(qc, cl.Do(t.Context(), ta, newGet()), false)
				time.Sleep(tc.kept)
				cl.CloseIdle(time.Now())
				checkCount(qc, cl, 0, 0)
			})
		})
	}
}
