package tier

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/gateway"
	"balsamwinch.example/memory"
)

// Guards against calls whose bodies together take all memory: one that finds no room is told to
// call another instance, small ones are read, and the room is free again afterwards.
func TestBodiesOfCallsShareMemory(t *testing.T) {
	c := qt.New(t)
	const limit = 1 << 20
	held, release := make(chan struct{}), make(chan struct{})
	ha := limitBodies(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		body, status, detail := gateway.ReadBody(wr, rq, 8<<20)
		if status != 0 {
			http.Error(wr, detail, status)
			return
		}
		if rq.URL.Path == "/held" {
			close(held)
			<-release
		}
		_, _ = wr.Write(body[:1])
	}), limit)
	call := func(path string, size int) int {
		wr := httptest.NewRecorder()
		ha.ServeHTTP(wr, httptest.NewRequest(http.MethodPut, path, bytes.NewReader(make([]byte, size))))
		return wr.Code
	}
	ended := make(chan int)
	go func() { ended <- call("/held", limit) }()
	<-held
	c.Assert(call("/", limit), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(call("/", memory.FreeBytes), qt.Equals, http.StatusOK)
	close(release)
	c.Assert(<-ended, qt.Equals, http.StatusOK)
	c.Assert(call("/", limit), qt.Equals, http.StatusOK)
	c.Assert(call("/", 2*limit), qt.Equals, http.StatusServiceUnavailable)
}
