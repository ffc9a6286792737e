package emulate

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that runs twice because the caller's HTTP client retried it:
// net/http retries a request whose reused connection closes before the response, as when
// an entry instance exits on receiving it.
func TestCallerNeverRetries(t *testing.T) {
	var arrived atomic.Int64
	hs := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		if arrived.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		wr.WriteHeader(http.StatusOK)
	}))
	defer hs.Close()
	ca := NewCaller()
	defer ca.Close()
	for nth, failed := range []bool{false, true, false} {
		_, err := ca.Send(t.Context(), hs.Listener.Addr().String(), Request{ID: "r", Host: "a.example", Path: "/x", Timeout: waitTimeout})
		qt.Assert(t, err != nil, qt.Equals, failed, qt.Commentf("%d: %v", nth, err))
	}
	qt.Assert(t, arrived.Load(), qt.Equals, int64(3))
}
