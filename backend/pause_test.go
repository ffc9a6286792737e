package backend_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/backend"
)

// pausingServer is a fakeServer that may stand still: it then neither replies nor notices that
// connections are closed, and connections to it still open, as the kernel accepts them.
type pausingServer struct {
	fakeServer
	pausedUntil time.Time

	mu         sync.Mutex
	open, peak int // connections that the server counts towards its limit
}

func (ps *pausingServer) awaitEndOfPause() { time.Sleep(time.Until(ps.pausedUntil)) }

func (ps *pausingServer) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	ps.mu.Lock()
	ps.open++
	ps.peak = max(ps.peak, ps.open)
	ps.mu.Unlock()
	go ps.serve(far, 1)
	return &pausingConn{Conn: near, far: far, ps: ps}, nil
}

// pausingConn is the client's end of a connection to a pausingServer.
type pausingConn struct {
	net.Conn
	far net.Conn
	ps  *pausingServer
}

// CloseWrite tells the server, which closes its end once it runs.
func (pc *pausingConn) CloseWrite() error {
	go func() {
		pc.ps.awaitEndOfPause()
		pc.ps.mu.Lock()
		pc.ps.open--
		pc.ps.mu.Unlock()
		pc.far.Close()
	}()
	return nil
}

// A backend server stands still for a moment, longer than a connection may be silent. The
// client closes its connection and sends the next request. While the server has not noticed
// the close, it counts the old connection, and a new one would be beyond its limit.
func TestPausedServerSeesNoConnectionBeyondShare(t *testing.T) {
	for _, pause := range []time.Duration{150 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			ps := &pausingServer{}
			ps.answer = func(nc net.Conn, _ int, rq backend.Request) bool {
				ps.awaitEndOfPause()
				return write(nc, reply(rq))
			}
			cl := newClient(t, backend.ClientConfig{Dial: ps.dial, SilenceTimeout: 50 * time.Millisecond})
			_, err := cl.Do(context.Background(), target(1), request("r1"))
			c.Assert(err, qt.IsNil)
			ps.pausedUntil = time.Now().Add(pause)
			_, err = cl.Do(context.Background(), target(1), request("r2"))
			checkError(c, err, backend.Silent, true)
			start := time.Now()
			_, err = cl.Do(context.Background(), target(1), request("r3"))
			c.Check(err, qt.IsNil)
			c.Check(time.Since(start) <= pause, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			c.Check(ps.peak, qt.Equals, 1)
			c.Check(cl.Stats("sv").Unconfirmed, qt.Equals, uint64(0))
		})
	}
}
