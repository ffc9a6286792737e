package emulate

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener accepts connections up to a limit and resets those beyond it.
type listener struct {
	net.Listener
	limit int64
	open  atomic.Int64
	over  atomic.Int64
	note  func(ServerEventKind) // note is told of each connection; may be nil.
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
			li.tell(EventConnectionAccepted)
			return &accepted{Conn: nc, li: li}, nil
		}
		li.open.Add(-1)
		li.over.Add(1)
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // This makes the close a reset.
		}
		_ = nc.Close()
		li.tell(EventConnectionReset)
	}
}

func (li *listener) tell(kind ServerEventKind) {
	if li.note != nil {
		li.note(kind)
	}
}

// accepted is a connection that counts until it is closed.
type accepted struct {
	net.Conn
	li   *listener
	once sync.Once
}

// Close closes the connection and lets another one in.
func (ac *accepted) Close() error {
	ac.once.Do(func() { ac.li.open.Add(-1) })
	return ac.Conn.Close()
}
