package tier

import (
	"io"
	"net/http"

	"balsamwinch.example/gateway"
	"balsamwinch.example/memory"
)

// bodyMemoryDivisor sets the memory for bodies of calls, or of replies: that of the process
// divided by bodyMemoryDivisor.
const bodyMemoryDivisor = 8

// bodyMemory returns the bytes for the bodies of calls, or of replies, that are held at a time.
func (se Settings) bodyMemory() int { return se.Limits.MemoryMegabytes << 20 / bodyMemoryDivisor }

// limitBodies bounds the bytes of all bodies that a handler reads at the same time. A body that
// finds no room fails with gateway.ErrNoMemory.
func limitBodies(ha http.Handler, limit int) http.Handler {
	bu := memory.New(limit)
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		lb := &limitedBody{ReadCloser: rq.Body, bu: bu}
		rq.Body = lb
		defer func() { bu.Release(lb.held) }()
		ha.ServeHTTP(wr, rq)
	})
}

// limitedBody is the body of one call.
type limitedBody struct {
	io.ReadCloser
	bu         *memory.Budget
	read, held int
}

// Read reads from the body and charges what was read.
func (lb *limitedBody) Read(bs []byte) (int, error) {
	nu, err := lb.ReadCloser.Read(bs)
	lb.read += nu
	held, ok := lb.bu.Reserve(lb.held, lb.read)
	if !ok {
		return 0, gateway.ErrNoMemory
	}
	lb.held = held
	return nu, err
}
