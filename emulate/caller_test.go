package emulate

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An entry instance ends on receipt of a request on a connection that was used
// before. net/http would send such a request again, and what was to run once would
// run twice by the caller's own doing.
func TestCallerSendsOnce(t *testing.T) {
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
		_, err := ca.Send(t.Context(), hs.Listener.Addr().String(), Request{ID: "r", Host: "a.example", Path: "/x", Timeout: patience})
		qt.Assert(t, err != nil, qt.Equals, failed, qt.Commentf("%d: %v", nth, err))
	}
	qt.Assert(t, arrived.Load(), qt.Equals, int64(3))
}
