package emulate

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener accepts connections up to a limit and resets those beyond it.
type listener struct {
	net.Listener
	limit        int64
	open         atomic.Int64
	rejected     atomic.Int64
	onConnection func(ServerEventKind) // called for each connection; may be nil
}

func newListener(li net.Listener, limit int) *listener {
	return &listener{Listener: li, limit: int64(limit)}
}

// Accept returns the next connection within the limit.
func (li *listener) Accept() (net.Conn, error) {
	for {
		nc, err := li.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if li.open.Add(1) <= li.limit || li.limit <= 0 {
			li.notify(EventConnectionAccepted)
			return &countedConn{Conn: nc, li: li}, nil
		}
		li.open.Add(-1)
		li.rejected.Add(1)
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // makes Close reset the connection
		}
		_ = nc.Close()
		li.notify(EventConnectionReset)
	}
}

func (li *listener) notify(kind ServerEventKind) {
	if li.onConnection != nil {
		li.onConnection(kind)
	}
}

// countedConn is a connection that counts towards the limit until it is closed.
type countedConn struct {
	net.Conn
	li   *listener
	once sync.Once
}

// Close closes the connection and frees its place within the limit.
func (cc *countedConn) Close() error {
	cc.once.Do(func() { cc.li.open.Add(-1) })
	return cc.Conn.Close()
}
