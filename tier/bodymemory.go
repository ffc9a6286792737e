package tier

import (
	"io"
	"net/http"
	"sync/atomic"

	"balsamwinch.example/gateway"
)

const (
	// freeBodyBytes is the part of each body that isn't charged to the memory of all.
	freeBodyBytes = 64 << 10
	// apiBodyMemoryDivisor sets the memory for bodies of calls: that of the process divided by
	// apiBodyMemoryDivisor.
	apiBodyMemoryDivisor = 8
)

// limitBodies bounds the bytes of all bodies that are read at the same time for a handler. A
// body that finds no room fails with gateway.ErrNoMemory.
func limitBodies(ha http.Handler, limit int64) http.Handler {
	used := new(atomic.Int64)
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		lb := &limitedBody{ReadCloser: rq.Body, used: used, limit: limit}
		rq.Body = lb
		defer func() { used.Add(-lb.charged) }()
		ha.ServeHTTP(wr, rq)
	})
}

// limitedBody is the body of one call.
type limitedBody struct {
	io.ReadCloser
	used        *atomic.Int64
	limit       int64
	read        int64
	charged     int64
	outOfMemory bool
}

// Read reads from the body and charges what goes beyond freeBodyBytes.
func (lb *limitedBody) Read(bs []byte) (int, error) {
	if lb.outOfMemory {
		return 0, gateway.ErrNoMemory
	}
	nu, err := lb.ReadCloser.Read(bs)
	lb.read += int64(nu)
	if more := lb.read - freeBodyBytes - lb.charged; more > 0 {
		lb.charged += more
		lb.outOfMemory = lb.used.Add(more) > lb.limit
	}
	if lb.outOfMemory {
		return 0, gateway.ErrNoMemory
	}
	return nu, err
}
