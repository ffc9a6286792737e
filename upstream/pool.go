package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// maxWaiters bounds the requests that wait for a connection to one server.
	maxWaiters = 256
	// minLogInterval is the minimum time between two log lines of one kind about one
	// server. Otherwise a faulty server could fill the disk with them.
	minLogInterval = time.Second
	// keepAliveFraction is the part of a server's stated keep-alive time after which an
	// idle connection is closed. A request that crosses the server's close is lost.
	keepAliveFraction = 0.8
)

// conn is a connection. Only one goroutine uses it at a time.
type conn struct {
	nc          net.Conn
	raw         syscall.RawConn // nil if nc has no file descriptor
	address     string
	incarnation int64         // server's incarnation when it was opened
	used        bool          // whether it has carried a request
	keepAlive   time.Duration // idle timeout stated by the server; 0 if none
	expires     time.Time     // end of its idle time, from which it may not be reused
}

func newConn(nc net.Conn, address string) *conn {
	cn := &conn{nc: nc, address: address}
	if sc, ok := nc.(syscall.Conn); ok {
		cn.raw, _ = sc.SyscallConn()
	}
	return cn
}

// idleTimeout returns how long the connection may stay idle, at most the limit.
func (cn *conn) idleTimeout(limit time.Duration) time.Duration {
	if cn.keepAlive == 0 {
		return limit
	}
	return min(limit, time.Duration(keepAliveFraction*float64(cn.keepAlive)))
}

func connectTCP(ctx context.Context, address string) (net.Conn, error) {
	// A host name would be resolved on every dial and could resolve to another server.
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, err
	}
	di := net.Dialer{KeepAlive: -1}
	return di.DialContext(ctx, "tcp", address)
}

// grant is the result of a request for a connection: a connection, or the outcome and
// error.
type grant struct {
	cn      *conn
	outcome Outcome
	err     error
}

func contextGrant(ctx context.Context) grant {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return grant{outcome: TimedOut, err: context.Cause(ctx)}
	}
	return grant{outcome: Canceled, err: context.Cause(ctx)}
}

// waiter is a request that waits for a connection. It is in pool.waiters until it gets
// its grant.
type waiter struct {
	ch      chan grant // buffers one grant
	dialing bool       // whether a connection is being dialed for it
}

// pool holds the connections to one server. Each is counted in numOpen from before its
// dial until it is closed, and is being dialed, busy or idle.
type pool struct {
	cl *Client
	id string

	mu          sync.Mutex
	maxConns    int
	idleTimeout time.Duration // how long a connection may stay idle
	address     string
	incarnation int64 // newest incarnation of the server
	numOpen     int
	numDialing  int     // connections in numOpen that are being dialed
	idle        []*conn // in the order of their return, the newest last
	waiters     []*waiter
	retired     bool // whether the server is no longer in use
	removed     bool // whether the client has deleted the pool

	lastDialTimedOut    bool      // whether the last dial got no response in time
	unreachable         bool      // whether the last dial failed and that was logged
	unreachableLoggedAt time.Time // last log line about it
	wrongBytesLoggedAt  time.Time // last log line about wrong bytes
	wrongBytesOmitted   int       // log lines left out since
}

func (po *pool) count() (open, idle int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.numOpen, len(po.idle)
}

// acquire returns a connection for one request: the idle one that was used last, a new
// one, or one that becomes free while the request may wait. It returns false if the pool
// was removed.
//
// If the limit is reached by dials alone and the last dial timed out, the server counts
// as unreachable at once. Otherwise each request would get the outcome that all
// connections are in use, although none is, and would be retried until its deadline;
// another server, or a reply without this one, is available sooner. After a refused
// connection this doesn't apply, since the result of the next dial is known soon.
func (po *pool) acquire(ctx context.Context, ta Target, deadline time.Time) (grant, bool) {
	now := po.cl.ts.Now()
	if !deadline.IsZero() && !now.Before(deadline) {
		return grant{outcome: TimedOut, err: ErrDeadline}, true
	}
	po.mu.Lock()
	if po.removed {
		po.mu.Unlock()
		return grant{}, false
	}
	po.setTarget(ta)
	po.retired = false
	if cn := po.popIdle(now); cn != nil {
		po.mu.Unlock()
		return grant{cn: cn}, true
	}
	wait := po.cl.cf.WaitTimeout
	if po.numOpen >= po.maxConns && po.lastDialTimedOut && po.numDialing == po.numOpen {
		po.mu.Unlock()
		return grant{outcome: NotSent, err: errStillUnreachable}, true
	}
	if po.numOpen >= po.maxConns && (wait <= 0 || len(po.waiters) >= maxWaiters) {
		po.mu.Unlock()
		return grant{outcome: NoConnection, err: ErrConnectionLimit}, true
	}
	wa := &waiter{ch: make(chan grant, 1)}
	po.waiters = append(po.waiters, wa)
	if po.numOpen < po.maxConns {
		po.startDial(wa)
		wait = 0
	}
	po.mu.Unlock()
	return po.await(ctx, wa, now, wait, deadline), true
}

// await returns the grant of a waiter. A wait of 0 means no timeout other than the
// deadline.
func (po *pool) await(ctx context.Context, wa *waiter, now time.Time, wait time.Duration, deadline time.Time) grant {
	late := grant{outcome: NoConnection, err: ErrConnectionLimit}
	if !deadline.IsZero() && (wait == 0 || deadline.Before(now.Add(wait))) {
		wait = deadline.Sub(now)
		late = grant{outcome: TimedOut, err: ErrDeadline}
	}
	if wait > 0 {
		ti := po.cl.ts.Timeout(wait, func() { po.cancelWait(wa, late) })
		defer ti.Stop()
	}
	select {
	case gr := <-wa.ch:
		return gr
	case <-ctx.Done():
		po.cancelWait(wa, contextGrant(ctx))
		return <-wa.ch
	}
}

// cancelWait gives a waiter the grant, unless it has already got one.
func (po *pool) cancelWait(wa *waiter, gr grant) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.deliver(wa, gr)
}

// deliver gives a waiter its grant and reports whether it was still waiting.
func (po *pool) deliver(wa *waiter, gr grant) bool {
	at := slices.Index(po.waiters, wa)
	if at < 0 {
		return false
	}
	po.waiters = slices.Delete(po.waiters, at, at+1)
	wa.ch <- gr
	return true
}

// setTarget updates the address and limits of the server.
func (po *pool) setTarget(ta Target) {
	po.maxConns, po.idleTimeout = ta.MaxConnections, po.cl.cf.IdleTimeout
	if ta.IdleTimeout > 0 {
		po.idleTimeout = min(ta.IdleTimeout, po.idleTimeout)
	}
	if po.address != ta.Address || po.incarnation < ta.Incarnation {
		// Connections to an earlier incarnation are dead, some without having been
		// closed: each would cost the request on it.
		po.address, po.incarnation, po.lastDialTimedOut = ta.Address, max(po.incarnation, ta.Incarnation), false
		po.closeIdle(func(*conn) bool { return true })
	}
}

// popIdle returns the idle connection that was used last and may still be reused, or nil.
func (po *pool) popIdle(now time.Time) *conn {
	for len(po.idle) > 0 {
		last := len(po.idle) - 1
		cn := po.idle[last]
		po.idle[last] = nil
		po.idle = po.idle[:last]
		if now.Before(cn.expires) {
			return cn
		}
		po.closeConn(cn)
	}
	return nil
}

// closeConn closes a connection that is neither idle nor delivered to a waiter.
func (po *pool) closeConn(cn *conn) {
	_ = cn.nc.Close()
	po.numOpen--
}

// startDial dials a connection for a waiter. If that one gets another connection first,
// the new one serves other requests.
//
// The dial isn't cancelled when the request ends: the server may already have accepted
// the connection, which costs it part of a slot, and would have to accept another one.
func (po *pool) startDial(wa *waiter) {
	po.numOpen++
	po.numDialing++
	wa.dialing = true
	go po.dial(wa, po.address, po.incarnation)
}

func (po *pool) dial(wa *waiter, address string, incarnation int64) {
	ctx, cancel := context.WithTimeout(context.Background(), po.cl.cf.DialTimeout)
	defer cancel()
	nc, err := po.cl.cf.Connect(ctx, address)
	po.mu.Lock()
	defer po.mu.Unlock()
	po.numDialing--
	po.lastDialTimedOut = err != nil && ctx.Err() != nil
	if err != nil {
		po.numOpen--
		po.deliver(wa, po.dialFailure(address, err))
		po.dialForWaiters()
		return
	}
	po.logReachable(address)
	cn := newConn(nc, address)
	cn.incarnation = incarnation
	if !po.deliver(wa, grant{cn: cn}) {
		po.put(cn, true)
	}
}

// dialFailure distinguishes an unreachable server from a shortage of resources in this
// process.
func (po *pool) dialFailure(address string, err error) grant {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return grant{outcome: NoConnection, err: err}
		}
	}
	po.logUnreachable(address, err)
	return grant{outcome: NotSent, err: fmt.Errorf("%w: %w", ErrUnreachable, err)}
}

// dialForWaiters dials connections for waiters, up to the limit.
func (po *pool) dialForWaiters() {
	for _, wa := range po.waiters {
		if po.numOpen >= po.maxConns {
			return
		}
		if !wa.dialing {
			po.startDial(wa)
		}
	}
}

// release returns a clean connection to the pool.
func (po *pool) release(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.put(cn, true)
}

// discard closes a connection.
func (po *pool) discard(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.put(cn, false)
}

// put gives a clean connection to the waiter that has waited longest or makes it idle,
// and closes any other connection.
func (po *pool) put(cn *conn, clean bool) {
	if !clean || po.retired || cn.address != po.address || cn.incarnation != po.incarnation || po.numOpen > po.maxConns {
		po.closeConn(cn)
		po.dialForWaiters()
		return
	}
	now := po.cl.ts.Now()
	cn.expires = now.Add(cn.idleTimeout(po.idleTimeout))
	if len(po.waiters) > 0 {
		po.deliver(po.waiters[0], grant{cn: cn})
		return
	}
	po.idle = append(po.idle, cn)
	if !now.Before(po.idle[0].expires) {
		ol := po.idle[0]
		po.idle = slices.Delete(po.idle, 0, 1)
		po.closeConn(ol)
	}
}

func (po *pool) closeIdle(match func(*conn) bool) {
	po.idle = slices.DeleteFunc(po.idle, func(cn *conn) bool {
		if match(cn) {
			po.closeConn(cn)
			return true
		}
		return false
	})
}

func (po *pool) closeExpired(now time.Time) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.closeIdle(func(cn *conn) bool { return !now.Before(cn.expires) })
	po.dialForWaiters()
}

// retain updates the target of a server that is in use.
func (po *pool) retain(ta Target) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.setTarget(ta)
	po.retired = false
	po.closeIdle(func(*conn) bool { return po.numOpen > po.maxConns })
	po.dialForWaiters()
}

// retire closes the idle connections and reports whether none is open any more, in which
// case the pool is removed.
func (po *pool) retire() bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.retired = true
	po.closeIdle(func(*conn) bool { return true })
	po.removed = po.numOpen == 0 && len(po.waiters) == 0
	return po.removed
}

func (po *pool) logUnreachable(address string, err error) {
	now := po.cl.ts.Now()
	if po.unreachable || now.Sub(po.unreachableLoggedAt) < minLogInterval {
		return
	}
	po.unreachable, po.unreachableLoggedAt = true, now
	po.cl.lg.Warn("server-unreachable", zap.String("Server", po.id), zap.String("Address", address), zap.Error(err))
}

func (po *pool) logReachable(address string) {
	if po.unreachable {
		po.unreachable = false
		po.cl.lg.Info("server-regained", zap.String("Server", po.id), zap.String("Address", address))
	}
}

// logWrongBytes logs that a connection is closed because of bytes that aren't a reply to
// its request. The sample is copied, because it lies in a buffer that the next exchange
// reads into, and a logger may keep it until then.
func (po *pool) logWrongBytes(err error, sample []byte) {
	po.mu.Lock()
	defer po.mu.Unlock()
	now := po.cl.ts.Now()
	if now.Sub(po.wrongBytesLoggedAt) < minLogInterval {
		po.wrongBytesOmitted++
		return
	}
	po.cl.lg.Warn("connection-closed-for-wrong-bytes", zap.String("Server", po.id), zap.String("Address", po.address),
		zap.Error(err), zap.ByteString("Bytes", slices.Clone(sample[:min(len(sample), maxSampleBytes)])), zap.Int("LeftOut", po.wrongBytesOmitted))
	po.wrongBytesLoggedAt, po.wrongBytesOmitted = now, 0
}
