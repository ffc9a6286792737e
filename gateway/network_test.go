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

// network connects callers, the gateway and backend servers of a test.
type network interface {
	// listen opens a listener at an address of its own.
	listen(tb testing.TB) net.Listener
	// dial opens a connection to the address of a listener.
	dial(ctx context.Context, address string) (net.Conn, error)
}

// loopback is the loopback interface, with real sockets.
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

// memNetwork is an in-memory network for tests in synctest's virtual time, which stands
// still while a goroutine waits for a real socket.
type memNetwork struct {
	mu         sync.Mutex
	listeners  map[string]*memListener
	blackholed map[string]bool // addresses that never answer connection attempts
	last       int
}

func newMemNetwork() *memNetwork {
	return &memNetwork{listeners: make(map[string]*memListener), blackholed: make(map[string]bool)}
}

// blackhole makes connection attempts to an address hang.
func (mn *memNetwork) blackhole(address string) {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	mn.blackholed[address] = true
}

func (mn *memNetwork) listen(testing.TB) net.Listener {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	mn.last++
	li := &memListener{address: memAddress(fmt.Sprintf("10.0.0.%d:80", mn.last)), ch: make(chan net.Conn), done: make(chan struct{})}
	mn.listeners[li.address.String()] = li
	return li
}

var errRefused = errors.New("connection refused")

func (mn *memNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	mn.mu.Lock()
	li, hangs := mn.listeners[address], mn.blackholed[address]
	mn.mu.Unlock()
	if hangs {
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

type memAddress string

func (memAddress) Network() string   { return "tcp" }
func (ma memAddress) String() string { return string(ma) }

type memListener struct {
	address memAddress
	ch      chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (ml *memListener) Accept() (net.Conn, error) {
	select {
	case nc := <-ml.ch:
		return nc, nil
	case <-ml.done:
		return nil, net.ErrClosed
	}
}

func (ml *memListener) Close() error {
	ml.once.Do(func() { close(ml.done) })
	return nil
}

func (ml *memListener) Addr() net.Addr { return ml.address }

// onBothNetworks runs a test over real sockets, and over memNetwork in virtual time.
func onBothNetworks(t *testing.T, test func(t *testing.T, nw network)) {
	t.Run("sockets", func(t *testing.T) { test(t, loopback{}) })
	t.Run("pipes", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, newMemNetwork()) })
	})
}
