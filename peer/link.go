package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"

	"balsamwinch.example/keys"
)

const (
	// maxQueueMessages and maxQueueBytes bound the queue of messages to one peer.
	maxQueueMessages = 1024
	maxQueueBytes    = 32 << 20
	// maxBatchBytes is how much is sent before the peer must acknowledge it.
	maxBatchBytes = 1 << 20
	// batchTimeout bounds the sending of one batch.
	batchTimeout = 30 * time.Second
	// redialDelay is the delay between attempts of Send to reach a peer.
	redialDelay = 250 * time.Millisecond
)

// target identifies the receiver of messages.
type target struct {
	name    string
	address string
}

// link is the state of a Peer for one target: at most one connection in use and the queue of
// one-way messages.
type link struct {
	pe *Peer
	ta target
	// refs counts the calls, the sender, the dial attempt and the connections that use the
	// link. It is guarded by Peer.mu.
	refs int

	mu          sync.Mutex
	cn          *conn        // the connection in use, or nil
	di          *dialAttempt // the dial in progress, or nil
	queue       [][]byte
	queuedBytes int // the size of the queue
	sending     bool
	lastWarned  ErrorKind // the last failure logged since a success
}

// dialAttempt is a dial in progress, shared by all calls that wait for it.
type dialAttempt struct {
	done chan struct{}
	cn   *conn
	err  *Error
}

// Call sends a message and returns the reply, which is nil if the handler returned none. The
// name must match the peer's certificate; with an empty name any instance with that address is
// accepted. If a reused connection turns out to be broken, the call is retried over a new one,
// so a message may be handled twice. When the deadline expires, the connection is taken out
// of use, since it may be silent for good. Errors are of type *Error.
func (pe *Peer) Call(ctx context.Context, name, address string, ms Message) (Message, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	frame, err := pe.co.encode(ms, true)
	if err != nil {
		return nil, err
	}
	if !pe.beginWork() {
		return nil, &Error{Kind: Closing, Name: name, Address: address, Detail: "this instance is closing"}
	}
	defer pe.inFlight.Done()
	pe.cs.countOut(ms.Kind(), len(frame))
	lk := pe.acquireLink(target{name, address})
	defer pe.releaseLink(lk)
	data, er := lk.exchange(ctx, frame)
	if er != nil {
		return nil, lk.withTarget(er)
	}
	reply, err := pe.co.decodeReply(data)
	if err != nil {
		return nil, lk.withTarget(transportError(ctx, err, Malformed))
	}
	if reply != nil {
		pe.cs.countIn(reply.Kind(), len(data))
	}
	return reply, nil
}

// Send queues a one-way message and returns at once. Messages to one peer arrive in order,
// each at most twice. If the queue is full or the peer cannot be reached, the oldest are
// dropped.
func (pe *Peer) Send(name, address string, ms Message) {
	frame, err := pe.co.Encode(ms)
	if err != nil {
		pe.lg.Error("message not sent", zap.String("peer", name), zap.Error(err))
		return
	}
	pe.cs.countOut(ms.Kind(), len(frame))
	lk := pe.acquireLink(target{name, address})
	if !lk.enqueue(frame) {
		pe.releaseLink(lk)
		return
	}
	go lk.sendQueue()
}

// acquireLink returns the link of a target and adds a reference to it. A link without
// references is deleted, so that links to replaced instances do not accumulate.
func (pe *Peer) acquireLink(ta target) *link {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	lk, ok := pe.links[ta]
	if !ok {
		lk = &link{pe: pe, ta: ta}
		pe.links[ta] = lk
	}
	lk.refs++
	return lk
}

// retainLink adds a reference to a link that is already held.
func (pe *Peer) retainLink(lk *link) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	lk.refs++
}

// releaseLink drops a reference to a link.
func (pe *Peer) releaseLink(lk *link) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	lk.refs--
	if lk.refs == 0 {
		delete(pe.links, lk.ta)
	}
}

func (lk *link) withTarget(er *Error) *Error {
	cp := *er
	cp.Name, cp.Address = lk.ta.name, lk.ta.address
	return &cp
}

// exchange sends a request and returns the reply. If a reused connection breaks before the
// reply arrives, it is replaced and the request is retried: a peer that has restarted must not
// appear unreachable.
func (lk *link) exchange(ctx context.Context, request []byte) ([]byte, *Error) {
	for {
		cn, reused, er := lk.connection(ctx)
		if er != nil {
			return nil, er
		}
		data, er := cn.exchange(ctx, request)
		cn.release()
		if er == nil {
			lk.resetWarned()
			return data, nil
		}
		broken := er.Kind == Lost || er.Kind == Silent
		if broken || er.Kind == TimedOut || er.Kind == Closing || er.Kind == BadKey {
			lk.retire(cn)
		}
		if !broken || !reused {
			return nil, er
		}
	}
}

// resetWarned makes the next failure be logged again.
func (lk *link) resetWarned() {
	lk.mu.Lock()
	lk.lastWarned = ""
	lk.mu.Unlock()
}

// connection returns the connection in use, or dials a new one. The boolean reports whether
// the connection was used before.
func (lk *link) connection(ctx context.Context) (*conn, bool, *Error) {
	lk.mu.Lock()
	if lk.cn != nil && lk.cn.acquire() {
		cn := lk.cn
		lk.mu.Unlock()
		return cn, true, nil
	}
	if lk.di == nil {
		lk.di = &dialAttempt{done: make(chan struct{})}
		lk.pe.retainLink(lk)
		go lk.dial(lk.di)
	}
	di := lk.di
	lk.mu.Unlock()
	select {
	case <-di.done:
	case <-ctx.Done():
		return nil, false, &Error{Kind: Unreachable, Detail: "not connected before the deadline", Err: ctx.Err()}
	}
	if di.err != nil {
		return nil, false, di.err
	}
	if !di.cn.acquire() {
		return nil, false, transportError(ctx, context.Cause(di.cn.qc.Context()), Lost)
	}
	return di.cn, false, nil
}

// dial dials the target and gives the result to all that wait for the attempt. The attempt's
// reference to the link passes to the connection.
func (lk *link) dial(di *dialAttempt) {
	qc, err := lk.pe.dial(lk.ta)
	lk.mu.Lock()
	lk.di = nil
	if err == nil {
		di.cn = newConn(lk.pe, qc)
		lk.cn = di.cn
	} else {
		di.err = transportError(lk.pe.ctx, err, Unreachable)
		lk.warnLocked(di.err)
	}
	lk.mu.Unlock()
	close(di.done)
	if err != nil {
		lk.pe.releaseLink(lk)
		return
	}
	context.AfterFunc(qc.Context(), func() { lk.onConnectionClosed(di.cn) })
}

// onConnectionClosed runs when either side has closed a connection.
func (lk *link) onConnectionClosed(cn *conn) {
	lk.retire(cn)
	er := transportError(lk.pe.ctx, context.Cause(cn.qc.Context()), Lost)
	if er.Kind == BadKey || er.Kind == WrongVersion {
		lk.mu.Lock()
		lk.warnLocked(er)
		lk.mu.Unlock()
	}
	lk.pe.releaseLink(lk)
}

// retire takes a connection out of use. Exchanges in flight may still complete; the last one
// closes the connection.
func (lk *link) retire(cn *conn) {
	lk.mu.Lock()
	if lk.cn == cn {
		lk.cn = nil
	}
	lk.mu.Unlock()
	cn.retire()
}

// warnLocked logs a failure unless its kind equals that of the last one logged.
func (lk *link) warnLocked(er *Error) {
	if er.Kind == lk.lastWarned || er.Kind == Cancelled {
		return
	}
	lk.lastWarned = er.Kind
	lk.pe.lg.Warn("connection to peer failed", zap.String("peer", lk.ta.name), zap.String("address", lk.ta.address),
		zap.String("kind", string(er.Kind)), zap.Error(er.Err))
}

// dial connects to the target and verifies its identity.
func (pe *Peer) dial(ta target) (*quic.Conn, error) {
	ap, err := netip.ParseAddrPort(ta.address)
	if err != nil {
		return nil, &Error{Kind: Unreachable, Detail: "want an IP address and port", Err: err}
	}
	ctx, cancel := context.WithTimeout(pe.ctx, dialTimeout)
	defer cancel()
	qc, err := pe.tr.Dial(ctx, net.UDPAddrFromAddrPort(ap), clientTLS(pe.cf.TLS, ta.name, ap), pe.qc)
	if err != nil {
		return nil, err
	}
	pe.cs.dialled.Add(1)
	pe.track(qc)
	return qc, nil
}

// clientTLS returns the TLS configuration for a connection to the named instance. TLS compares
// DNS names case-insensitively, so the name is compared again exactly: it decides which
// instance a reply is attributed to.
func clientTLS(tc *tls.Config, name string, ap netip.AddrPort) *tls.Config {
	tc = tc.Clone()
	if name == "" {
		tc.ServerName = ap.Addr().String()
		return tc
	}
	tc.ServerName = name
	tc.VerifyConnection = func(cs tls.ConnectionState) error {
		if got := keys.PeerName(cs); got != name {
			return fmt.Errorf("certificate is for %q, want %q", got, name)
		}
		return nil
	}
	return tc
}
