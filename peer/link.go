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
	// queueMessages and queueBytes bound the messages that wait for one peer.
	queueMessages = 1024
	queueBytes    = 32 << 20
	// batchBytes is how much is sent before the peer confirms it.
	batchBytes = 1 << 20
	// batchTimeout bounds the sending of one batch.
	batchTimeout = 30 * time.Second
	// redialPause is the time between attempts to reach a peer by Send.
	redialPause = 250 * time.Millisecond
)

// target is whom messages are sent to.
type target struct {
	name    string
	address string
}

// link is what a Peer holds for one target: at most one connection in use and
// the queue of one-way messages.
type link struct {
	pe *Peer
	ta target
	// holders counts, under the lock of the Peer, the calls, the sender, the
	// attempt to connect and the connections that need the link.
	holders int

	mu      sync.Mutex
	cn      *conn    // cn is the connection in use, if any.
	di      *dialing // di is the attempt under way, if any.
	queue   [][]byte
	queued  int // queued is the size of the queue in bytes.
	sending bool
	warned  ErrorKind // warned is the last failure that was logged since a success.
}

// dialing is an attempt to make a connection, shared by all who wait for it.
type dialing struct {
	done chan struct{}
	cn   *conn
	err  *Error
}

// Call sends a message and returns the reply, which is nil if the handler gave
// none. The name must be the one in the peer's certificate; with an empty name
// any instance that owns the address will do. A Call over a connection that
// turns out to be broken is made once more over a new one, so a message may be
// handled twice. When the deadline passes, the connection is given up as well:
// it may be one that has gone silent for good. Errors are of type *Error.
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
	if !pe.begin() {
		return nil, &Error{Kind: Closing, Name: name, Address: address, Detail: "this instance is closing"}
	}
	defer pe.busy.Done()
	pe.cs.out(ms.Kind(), len(frame))
	lk := pe.hold(target{name, address})
	defer pe.drop(lk)
	data, er := lk.exchange(ctx, frame)
	if er != nil {
		return nil, lk.named(er)
	}
	reply, err := pe.co.openReply(data)
	if err != nil {
		return nil, lk.named(transportError(ctx, err, Malformed))
	}
	if reply != nil {
		pe.cs.in(reply.Kind(), len(data))
	}
	return reply, nil
}

// Send queues a one-way message and returns at once. The messages to one peer
// arrive in their order, at most twice; when too many wait or the peer cannot
// be reached, the oldest are dropped.
func (pe *Peer) Send(name, address string, ms Message) {
	frame, err := pe.co.Encode(ms)
	if err != nil {
		pe.lg.Error("message not sent", zap.String("peer", name), zap.Error(err))
		return
	}
	pe.cs.out(ms.Kind(), len(frame))
	lk := pe.hold(target{name, address})
	if !lk.push(frame) {
		pe.drop(lk)
		return
	}
	go lk.drain()
}

// hold returns the link of a target and takes a share in it. A link without
// shares is dropped, so that addresses of instances that were replaced do not
// add up.
func (pe *Peer) hold(ta target) *link {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	lk, ok := pe.links[ta]
	if !ok {
		lk = &link{pe: pe, ta: ta}
		pe.links[ta] = lk
	}
	lk.holders++
	return lk
}

// share takes one more share in a link that is held.
func (pe *Peer) share(lk *link) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	lk.holders++
}

// drop gives a share in a link back.
func (pe *Peer) drop(lk *link) {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	lk.holders--
	if lk.holders == 0 {
		delete(pe.links, lk.ta)
	}
}

func (lk *link) named(er *Error) *Error {
	cp := *er
	cp.Name, cp.Address = lk.ta.name, lk.ta.address
	return &cp
}

// exchange sends a request and returns what comes back. A connection that broke
// before its answer came is replaced once if it had been used before: the peer
// may have restarted, and must not appear unreachable for that.
func (lk *link) exchange(ctx context.Context, request []byte) ([]byte, *Error) {
	for {
		cn, reused, er := lk.connection(ctx)
		if er != nil {
			return nil, er
		}
		data, er := cn.exchange(ctx, request)
		cn.release()
		if er == nil {
			lk.succeeded()
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

// succeeded makes the next failure worth a line in the log again.
func (lk *link) succeeded() {
	lk.mu.Lock()
	lk.warned = ""
	lk.mu.Unlock()
}

// connection returns the connection in use and whether it was used before, or
// makes one.
func (lk *link) connection(ctx context.Context) (*conn, bool, *Error) {
	lk.mu.Lock()
	if lk.cn != nil && lk.cn.acquire() {
		cn := lk.cn
		lk.mu.Unlock()
		return cn, true, nil
	}
	if lk.di == nil {
		lk.di = &dialing{done: make(chan struct{})}
		lk.pe.share(lk)
		go lk.dial(lk.di)
	}
	di := lk.di
	lk.mu.Unlock()
	select {
	case <-di.done:
	case <-ctx.Done():
		return nil, false, &Error{Kind: Unreachable, Detail: "no connection by the deadline", Err: ctx.Err()}
	}
	if di.err != nil {
		return nil, false, di.err
	}
	if !di.cn.acquire() {
		return nil, false, transportError(ctx, context.Cause(di.cn.qc.Context()), Lost)
	}
	return di.cn, false, nil
}

// dial makes a connection and hands it to all who wait for the attempt. The
// share of the attempt in the link passes to the connection.
func (lk *link) dial(di *dialing) {
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
		lk.pe.drop(lk)
		return
	}
	context.AfterFunc(qc.Context(), func() { lk.ended(di.cn) })
}

// ended runs when a connection is closed by either side.
func (lk *link) ended(cn *conn) {
	lk.retire(cn)
	er := transportError(lk.pe.ctx, context.Cause(cn.qc.Context()), Lost)
	if er.Kind == BadKey || er.Kind == WrongVersion {
		lk.mu.Lock()
		lk.warnLocked(er)
		lk.mu.Unlock()
	}
	lk.pe.drop(lk)
}

// retire takes a connection out of use. Those who wait on it may still get
// their answers; the last one closes it.
func (lk *link) retire(cn *conn) {
	lk.mu.Lock()
	if lk.cn == cn {
		lk.cn = nil
	}
	lk.mu.Unlock()
	cn.retire()
}

// warnLocked logs a failure unless it was the last one as well.
func (lk *link) warnLocked(er *Error) {
	if er.Kind == lk.warned || er.Kind == Cancelled {
		return
	}
	lk.warned = er.Kind
	lk.pe.lg.Warn("peer not reached", zap.String("peer", lk.ta.name), zap.String("address", lk.ta.address),
		zap.String("kind", string(er.Kind)), zap.Error(er.Err))
}

// dial makes a connection to the target and verifies who answers.
func (pe *Peer) dial(ta target) (*quic.Conn, error) {
	ap, err := netip.ParseAddrPort(ta.address)
	if err != nil {
		return nil, &Error{Kind: Unreachable, Detail: "want an IP number and port", Err: err}
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

// clientTLS returns the settings for a connection to the named instance. DNS
// names are compared without regard to case, so the name is compared once more:
// it decides whose word a message is taken for.
func clientTLS(tc *tls.Config, name string, ap netip.AddrPort) *tls.Config {
	tc = tc.Clone()
	if name == "" {
		tc.ServerName = ap.Addr().String()
		return tc
	}
	tc.ServerName = name
	tc.VerifyConnection = func(cs tls.ConnectionState) error {
		if got := keys.PeerName(cs); got != name {
			return fmt.Errorf("certificate is of %q, want %q", got, name)
		}
		return nil
	}
	return tc
}
