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
	// logGap is the least time between two log lines of one kind about one server.
	// A faulty server would fill the disk with them otherwise.
	logGap = time.Second
	// keepPart of the time that a server keeps idle connections is made use of. A
	// request that crosses the server's close is lost.
	keepPart = 0.8
)

// conn is one connection. Only one goroutine uses it at a time.
type conn struct {
	nc      net.Conn
	raw     syscall.RawConn // raw is nil if nc has no descriptor.
	address string
	born    int64         // born is that of the server's start for which it was opened.
	used    bool          // used says that it has carried a request.
	keep    time.Duration // keep is how long the server said it keeps it idle; 0 if it didn't.
	expires time.Time     // expires is when it may not be used any more while idle.
}

func newConn(nc net.Conn, address string) *conn {
	cn := &conn{nc: nc, address: address}
	if sc, ok := nc.(syscall.Conn); ok {
		cn.raw, _ = sc.SyscallConn()
	}
	return cn
}

// idleLimit returns how long the connection may stay idle.
func (cn *conn) idleLimit(most time.Duration) time.Duration {
	if cn.keep == 0 {
		return most
	}
	return min(most, time.Duration(keepPart*float64(cn.keep)))
}

func connectTCP(ctx context.Context, address string) (net.Conn, error) {
	// A name would be looked up on every dial, and could lead elsewhere.
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, err
	}
	di := net.Dialer{KeepAlive: -1}
	return di.DialContext(ctx, "tcp", address)
}

// grant is what a request gets that asks for a connection: one, or the outcome
// and error of not getting one.
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

// waiter is a request that waits for a connection. It is in pool.waiters until
// it has its grant.
type waiter struct {
	ch      chan grant // ch holds one grant.
	dialing bool       // dialing says that a connection is being opened for it.
}

// pool holds the connections to one server. Each is counted in open from before
// its dial until it is closed, and is being dialed, busy or idle.
type pool struct {
	cl *Client
	id string

	mu       sync.Mutex
	limit    int
	idleMost time.Duration // idleMost is how long a connection may stay idle.
	address  string
	born     int64 // born is that of the newest start of the server that was named.
	open     int
	dialing  int     // dialing counts those of open that are being opened.
	idle     []*conn // idle are in the order of their return, the newest last.
	waiters  []*waiter
	retired  bool // retired says that the server is not in use any more.
	gone     bool // gone says that the client has forgotten the pool.

	dark          bool      // dark says that nothing came in answer to the last dial.
	unreachable   bool      // unreachable says that the last dial failed and that it was logged.
	unreachableAt time.Time // unreachableAt is when that was last logged.
	wrongAt       time.Time // wrongAt is when wrong bytes were last logged.
	wrongs        int       // wrongs counts the lines left out since.
}

func (po *pool) count() (open, idle int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.open, len(po.idle)
}

// take returns a connection for one request: the idle one that was used last, a
// new one, or one that comes free while it may wait. It reports false if the
// pool is of no use any more.
//
// If all that the server allows are being opened and nothing came in answer to the
// last one, the server counts as unreachable at once. Otherwise each request would be
// told that connections are in use, though nobody uses any, and try until its time
// is over; another server, or an answer without this one, comes sooner. A connection
// that is refused is no such case: the next one is soon known to be open or not.
func (po *pool) take(ctx context.Context, ta Target, until time.Time) (grant, bool) {
	now := po.cl.ts.Now()
	if !until.IsZero() && !now.Before(until) {
		return grant{outcome: TimedOut, err: ErrDeadline}, true
	}
	po.mu.Lock()
	if po.gone {
		po.mu.Unlock()
		return grant{}, false
	}
	po.retarget(ta)
	po.retired = false
	if cn := po.popIdle(now); cn != nil {
		po.mu.Unlock()
		return grant{cn: cn}, true
	}
	wait := po.cl.cf.WaitTimeout
	if po.open >= po.limit && po.dark && po.dialing == po.open {
		po.mu.Unlock()
		return grant{outcome: NotSent, err: errStillUnreachable}, true
	}
	if po.open >= po.limit && (wait <= 0 || len(po.waiters) >= maxWaiters) {
		po.mu.Unlock()
		return grant{outcome: NoConnection, err: ErrConnectionLimit}, true
	}
	wa := &waiter{ch: make(chan grant, 1)}
	po.waiters = append(po.waiters, wa)
	if po.open < po.limit {
		po.startDial(wa)
		wait = 0
	}
	po.mu.Unlock()
	return po.await(ctx, wa, now, wait, until), true
}

// await returns the grant of a waiter. A wait of 0 has no bound of its own.
func (po *pool) await(ctx context.Context, wa *waiter, now time.Time, wait time.Duration, until time.Time) grant {
	late := grant{outcome: NoConnection, err: ErrConnectionLimit}
	if !until.IsZero() && (wait == 0 || until.Before(now.Add(wait))) {
		wait = until.Sub(now)
		late = grant{outcome: TimedOut, err: ErrDeadline}
	}
	if wait > 0 {
		ti := po.cl.ts.Timeout(wait, func() { po.leave(wa, late) })
		defer ti.Stop()
	}
	select {
	case gr := <-wa.ch:
		return gr
	case <-ctx.Done():
		po.leave(wa, contextGrant(ctx))
		return <-wa.ch
	}
}

// leave ends the wait of a waiter with the given grant, unless it has one.
func (po *pool) leave(wa *waiter, gr grant) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.grantTo(wa, gr)
}

// grantTo gives a waiter its grant and reports whether it still waited for it.
func (po *pool) grantTo(wa *waiter, gr grant) bool {
	at := slices.Index(po.waiters, wa)
	if at < 0 {
		return false
	}
	po.waiters = slices.Delete(po.waiters, at, at+1)
	wa.ch <- gr
	return true
}

// retarget takes over the address and limit of a target.
func (po *pool) retarget(ta Target) {
	po.limit, po.idleMost = ta.MaxConnections, po.cl.cf.IdleTimeout
	if ta.IdleTimeout > 0 {
		po.idleMost = min(ta.IdleTimeout, po.idleMost)
	}
	if po.address != ta.Address || po.born < ta.Incarnation {
		// Connections to an earlier start are dead, some of them without a word: each
		// would cost the request on it.
		po.address, po.born, po.dark = ta.Address, max(po.born, ta.Incarnation), false
		po.closeIdle(func(*conn) bool { return true })
	}
}

// popIdle returns the newest idle connection that may still be used, or nil.
func (po *pool) popIdle(now time.Time) *conn {
	for len(po.idle) > 0 {
		last := len(po.idle) - 1
		cn := po.idle[last]
		po.idle[last] = nil
		po.idle = po.idle[:last]
		if now.Before(cn.expires) {
			return cn
		}
		po.drop(cn)
	}
	return nil
}

// drop closes a connection that is in no other place any more.
func (po *pool) drop(cn *conn) {
	_ = cn.nc.Close()
	po.open--
}

// startDial opens a connection for a waiter, and for others if that one gets
// another connection first.
//
// It isn't broken off when the request ends: the server may have accepted the
// connection, which costs it part of a slot, and would have to accept the next.
func (po *pool) startDial(wa *waiter) {
	po.open++
	po.dialing++
	wa.dialing = true
	go po.dial(wa, po.address, po.born)
}

func (po *pool) dial(wa *waiter, address string, born int64) {
	ctx, cancel := context.WithTimeout(context.Background(), po.cl.cf.DialTimeout)
	defer cancel()
	nc, err := po.cl.cf.Connect(ctx, address)
	po.mu.Lock()
	defer po.mu.Unlock()
	po.dialing--
	po.dark = err != nil && ctx.Err() != nil
	if err != nil {
		po.open--
		po.grantTo(wa, po.dialFailure(address, err))
		po.serveWaiters()
		return
	}
	po.regained(address)
	cn := newConn(nc, address)
	cn.born = born
	if !po.grantTo(wa, grant{cn: cn}) {
		po.settle(cn, true)
	}
}

// dialFailure tells a server that can't be reached from an own lack of means.
func (po *pool) dialFailure(address string, err error) grant {
	for _, own := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, own) {
			return grant{outcome: NoConnection, err: err}
		}
	}
	po.lostReach(address, err)
	return grant{outcome: NotSent, err: fmt.Errorf("%w: %w", ErrUnreachable, err)}
}

// serveWaiters opens connections for requests that wait, within the limit.
func (po *pool) serveWaiters() {
	for _, wa := range po.waiters {
		if po.open >= po.limit {
			return
		}
		if !wa.dialing {
			po.startDial(wa)
		}
	}
}

// release takes a connection back that is clean.
func (po *pool) release(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.settle(cn, true)
}

// discard closes a connection.
func (po *pool) discard(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.settle(cn, false)
}

// settle gives a clean connection to the longest waiter or makes it idle, and
// closes any other.
func (po *pool) settle(cn *conn, clean bool) {
	if !clean || po.retired || cn.address != po.address || cn.born != po.born || po.open > po.limit {
		po.drop(cn)
		po.serveWaiters()
		return
	}
	now := po.cl.ts.Now()
	cn.expires = now.Add(cn.idleLimit(po.idleMost))
	if len(po.waiters) > 0 {
		po.grantTo(po.waiters[0], grant{cn: cn})
		return
	}
	po.idle = append(po.idle, cn)
	if !now.Before(po.idle[0].expires) {
		ol := po.idle[0]
		po.idle = slices.Delete(po.idle, 0, 1)
		po.drop(ol)
	}
}

func (po *pool) closeIdle(chosen func(*conn) bool) {
	po.idle = slices.DeleteFunc(po.idle, func(cn *conn) bool {
		if chosen(cn) {
			po.drop(cn)
			return true
		}
		return false
	})
}

func (po *pool) closeExpired(now time.Time) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.closeIdle(func(cn *conn) bool { return !now.Before(cn.expires) })
	po.serveWaiters()
}

// retain takes over a target that is in use.
func (po *pool) retain(ta Target) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.retarget(ta)
	po.retired = false
	po.closeIdle(func(*conn) bool { return po.open > po.limit })
	po.serveWaiters()
}

// retire closes what is idle and reports whether nothing is open any more; the
// pool is of no use from then on.
func (po *pool) retire() bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.retired = true
	po.closeIdle(func(*conn) bool { return true })
	po.gone = po.open == 0 && len(po.waiters) == 0
	return po.gone
}

func (po *pool) lostReach(address string, err error) {
	now := po.cl.ts.Now()
	if po.unreachable || now.Sub(po.unreachableAt) < logGap {
		return
	}
	po.unreachable, po.unreachableAt = true, now
	po.cl.lg.Warn("server-unreachable", zap.String("Server", po.id), zap.String("Address", address), zap.Error(err))
}

func (po *pool) regained(address string) {
	if po.unreachable {
		po.unreachable = false
		po.cl.lg.Info("server-regained", zap.String("Server", po.id), zap.String("Address", address))
	}
}

// wrongBytes logs that a connection is closed because of bytes that answer no
// request of it. The sample is copied: it lies in a buffer that the next exchange
// reads into, and a logger may keep it until then.
func (po *pool) wrongBytes(err error, sample []byte) {
	po.mu.Lock()
	defer po.mu.Unlock()
	now := po.cl.ts.Now()
	if now.Sub(po.wrongAt) < logGap {
		po.wrongs++
		return
	}
	po.cl.lg.Warn("connection-closed-for-wrong-bytes", zap.String("Server", po.id), zap.String("Address", po.address),
		zap.Error(err), zap.ByteString("Bytes", slices.Clone(sample[:min(len(sample), sampleBytes)])), zap.Int("LeftOut", po.wrongs))
	po.wrongAt, po.wrongs = now, 0
}
