package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// network is what callers, the gateway and backend servers of a test meet on.
type network interface {
	// listen opens a listener at an address of its own.
	listen(tb testing.TB) net.Listener
	// dial opens a connection to the address of a listener.
	dial(ctx context.Context, address string) (net.Conn, error)
}

// loopback is the machine's own network, with real sockets.
type loopback struct{}

func (loopback) listen(tb testing.TB) net.Listener {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	return li
}

func (loopback) dial(ctx context.Context, address string) (net.Conn, error) {
	var di net.Dialer
	return di.DialContext(ctx, "tcp", address)
}

// pipes is a network in memory for tests with synctest's time: a goroutine that
// waits for a real socket would hold that time up.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	dark      map[string]bool // dark are addresses from which nothing ever comes.
	last      int
}

func newPipes() *pipes {
	return &pipes{listeners: make(map[string]*pipeListener), dark: make(map[string]bool)}
}

// darken makes connections to an address never open.
func (pi *pipes) darken(address string) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	pi.dark[address] = true
}

func (pi *pipes) listen(testing.TB) net.Listener {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	pi.last++
	li := &pipeListener{address: pipeAddress(fmt.Sprintf("10.0.0.%d:80", pi.last)), ch: make(chan net.Conn), done: make(chan struct{})}
	pi.listeners[li.address.String()] = li
	return li
}

var errRefused = errors.New("connection refused")

func (pi *pipes) dial(ctx context.Context, address string) (net.Conn, error) {
	pi.mu.Lock()
	li, dark := pi.listeners[address], pi.dark[address]
	pi.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if li == nil {
		return nil, errRefused
	}
	ours, theirs := net.Pipe()
	select {
	case li.ch <- theirs:
		return ours, nil
	case <-li.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type pipeAddress string

func (pipeAddress) Network() string   { return "tcp" }
func (pa pipeAddress) String() string { return string(pa) }

type pipeListener struct {
	address pipeAddress
	ch      chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case nc := <-pl.ch:
		return nc, nil
	case <-pl.done:
		return nil, net.ErrClosed
	}
}

func (pl *pipeListener) Close() error {
	pl.once.Do(func() { close(pl.done) })
	return nil
}

func (pl *pipeListener) Addr() net.Addr { return pl.address }

// onBoth runs a test over real sockets and over pipes in synctest's time.
func onBoth(t *testing.T, test func(t *testing.T, nw network)) {
	t.Run("sockets", func(t *testing.T) { test(t, loopback{}) })
	t.Run("pipes", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, newPipes()) })
	})
}
