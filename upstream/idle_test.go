package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A target may ask for a shorter idle time than the client's, and no longer one. The
// newest word counts from the next use on.
func TestTargetIdle(t *testing.T) {
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
				cl := newClient(qc, Config{Connect: chatter(func(pc *peerConn) {
					for rq := pc.take(); rq != nil; rq = pc.take() {
						pc.say("%s", good(rq.Header.Get("Request-Id")))
					}
				}, qc)})
				ta := Target{ID: "i-1", MaxConnections: 1, IdleTimeout: tc.idle}
				checkGood(qc, cl.Do(t.Context(), ta, get()), true)
				time.Sleep(tc.kept - 1)
				cl.CloseIdle(time.Now())
				checkCount(qc, cl, 1, 1)
				checkGood(qc, cl.Do(t.Context(), ta, get()), false)
				time.Sleep(tc.kept)
				cl.CloseIdle(time.Now())
				checkCount(qc, cl, 0, 0)
			})
		})
	}
}
