package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// conn is a connection that this instance dialled.
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

// acquire adds a user to the connection. It returns false if the connection is broken or
// retired.
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
	cn.closeIfUnusedLocked()
}

func (cn *conn) retire() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.retired = true
	cn.closeIfUnusedLocked()
}

func (cn *conn) closeIfUnusedLocked() {
	if cn.retired && cn.users == 0 {
		cn.qc.CloseWithError(connectionClosed, "out of use")
	}
}

// exchange sends a request over its own stream and reads the reply until the other end closes
// the stream, which confirms that the whole request was handled.
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
	unwatch := cn.watchSilence(cn.packetsReceived())
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

// watchSilence closes the connection if it goes silent while a reply is awaited. It returns a
// function that ends the watch. last is the number of packets received before the request was
// written: counted later, for example when the goroutine starts, it may include the request's
// acknowledgement, and a connection whose handler is busy for longer than silenceTimeout would
// count as silent.
//
// It guards against connections that something between the two ends has lost track of: all
// packets are dropped while a new connection would work, and each message waits for its whole
// deadline or is lost. QUIC acknowledges what it receives within milliseconds, even while the
// handler is busy, so a connection that receives nothing at all for a while after a write is
// given up.
func (cn *conn) watchSilence(last uint64) func() {
	done := make(chan struct{})
	go func() {
		su := cn.pe.ts.Subscribe(silenceTimeout)
		defer su.Stop()
		probed := true // the request itself is the first probe
		for {
			select {
			case <-done:
				return
			case <-cn.qc.Context().Done():
				return
			case <-su.C:
			}
			now := cn.packetsReceived()
			switch {
			case now != last:
				last, probed = now, false
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

func (cn *conn) packetsReceived() uint64 {
	return cn.qc.ConnectionStats().PacketsReceived
}

// probe opens and closes an empty stream, which the other end acknowledges.
func (cn *conn) probe() {
	st, err := cn.qc.OpenStream()
	if err != nil {
		return
	}
	st.Close()
	st.CancelRead(streamAbandoned)
}
