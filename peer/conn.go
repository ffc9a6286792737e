package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// conn is a connection that this instance made.
type conn struct {
	pe     *Peer
	qc     *quic.Conn
	silent atomic.Bool

	mu      sync.Mutex
	users   int
	retired bool
}

func newConn(pe *Peer, qc *quic.Conn) *conn {
	return &conn{pe: pe, qc: qc}
}

// acquire takes a share in the connection unless it is broken or out of use.
func (cn *conn) acquire() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.retired || cn.qc.Context().Err() != nil {
		return false
	}
	cn.users++
	return true
}

func (cn *conn) release() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.users--
	cn.closeLocked()
}

func (cn *conn) retire() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.retired = true
	cn.closeLocked()
}

func (cn *conn) closeLocked() {
	if cn.retired && cn.users == 0 {
		cn.qc.CloseWithError(connectionClosed, "out of use")
	}
}

// exchange sends a request over a stream of its own and reads what comes back
// until the other end closes the stream, which says that it handled it all.
func (cn *conn) exchange(ctx context.Context, request []byte) ([]byte, *Error) {
	st, err := cn.qc.OpenStreamSync(ctx)
	if err != nil {
		return nil, cn.error(ctx, err)
	}
	stop := context.AfterFunc(ctx, func() {
		st.CancelRead(streamAbandoned)
		st.CancelWrite(streamAbandoned)
	})
	defer stop()
	unwatch := cn.watch()
	defer unwatch()
	if _, err := st.Write(request); err != nil {
		return nil, cn.error(ctx, err)
	}
	st.Close()
	data, err := readLimited(st)
	if err != nil {
		return nil, cn.error(ctx, err)
	}
	return data, nil
}

func (cn *conn) error(ctx context.Context, err error) *Error {
	if cn.silent.Load() {
		return &Error{Kind: Silent}
	}
	return transportError(ctx, err, Lost)
}

// watch closes the connection if it goes silent while somebody waits for an
// answer on it. It returns a function that ends the watch.
//
// It guards against a connection of which something between the two ends has
// lost track: packets vanish for good while a new connection would work, and a
// message waits for its whole deadline or is lost. The other end's QUIC
// confirms whatever it gets within milliseconds, also while its handler is
// busy, so a connection on which nothing at all came back for a while after a
// write is not worth waiting on.
func (cn *conn) watch() func() {
	done := make(chan struct{})
	go func() {
		su := cn.pe.ts.Subscribe(silence)
		defer su.Stop()
		seen := cn.received()
		probed := true // The request itself is the first probe.
		for {
			select {
			case <-done:
				return
			case <-cn.qc.Context().Done():
				return
			case <-su.C:
			}
			now := cn.received()
			switch {
			case now != seen:
				seen, probed = now, false
			case !probed:
				cn.probe()
				probed = true
			default:
				cn.silent.Store(true)
				cn.qc.CloseWithError(connectionClosed, "silent")
				return
			}
		}
	}()
	return func() { close(done) }
}

func (cn *conn) received() uint64 {
	return cn.qc.ConnectionStats().PacketsReceived
}

// probe makes the other end answer by an empty stream.
func (cn *conn) probe() {
	st, err := cn.qc.OpenStream()
	if err != nil {
		return
	}
	st.Close()
	st.CancelRead(streamAbandoned)
}
