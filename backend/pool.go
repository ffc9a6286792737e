package backend

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

var (
	errShareUsed    = errors.New("share of connections in use")
	errPoolGone     = errors.New("pool forgotten")
	errClientClosed = errors.New("client closed")
)

// use is what a connection is acquired for.
type use int

const (
	forQuery use = iota
	forCancel
)

// brief is what a connection for this use adds to those that come free soon.
func (us use) brief() int {
	if us == forCancel {
		return 1
	}
	return 0
}

// pool holds the connections to one backend server. Every connection is counted
// in exactly one of dialing, busy, lingering, idle and closing, from before it is
// dialed until its end is confirmed, so that their sum never exceeds the share.
type pool struct {
	cl *Client

	mu        sync.Mutex
	ta        Target
	retired   bool // retired says that the server is in no view any more.
	gone      bool // gone says that the client has forgotten the pool.
	dialing   int
	busy      int
	closing   int
	brief     int                // brief counts the Cancels under way; each ends soon.
	orphans   int                // orphans counts the connections being dialed for requests that have gone.
	idle      []*conn            // idle are in the order of their return, newest last.
	lingering []*conn            // lingering are in the order of their requests' ends.
	conns     map[*conn]struct{} // conns are all but those being dialed or closed.
	changed   chan struct{}      // changed is closed when a connection changes its place.
	st        ConnStats
}

func newPool(cl *Client, ta Target) *pool {
	return &pool{cl: cl, ta: ta, conns: make(map[*conn]struct{})}
}

func (po *pool) open() int {
	return po.dialing + po.busy + po.closing + len(po.idle) + len(po.lingering)
}

func (po *pool) stats() ConnStats {
	po.mu.Lock()
	defer po.mu.Unlock()
	st := po.st
	st.Open = po.open()
	st.Idle = len(po.idle)
	st.Lingering = len(po.lingering)
	st.Closing = po.closing
	return st
}

// acquire returns a connection for one request: an idle one, or a new one
// within the share. It waits for connections that are being closed. For a
// Cancel, which is less urgent, it closes no lingering one to make room.
//
// What stands in for a request without a reply would meet the same fate on
// another idle connection that went silent in the same moment. It shows as
// hedges, retries and Cancels that get no reply either. So those on which
// nothing came since are closed before they cost another request its wait.
func (po *pool) acquire(ctx context.Context, ta Target, us use) (*conn, *Error) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.gone {
		return nil, &Error{Kind: NoConnection, Server: ta.Server, Err: errPoolGone}
	}
	if err := po.retarget(ta); err != nil {
		return nil, &Error{Kind: DialFailed, Server: ta.Server, Err: err}
	}
	if us == forQuery {
		po.retired = false
	}
	if !ta.ReplySince.IsZero() {
		po.closeIdle(func(cn *conn) bool { return !cn.proved.After(ta.ReplySince) })
	}
	for {
		if cn := po.takeIdle(); cn != nil {
			po.brief += us.brief()
			return cn, nil
		}
		if po.open() < po.ta.MaxConnections {
			po.brief += us.brief()
			cn, er := po.dial(ctx)
			if er != nil {
				po.brief -= us.brief()
				po.notify()
			}
			return cn, er
		}
		if !po.endsSoon() && !(us == forQuery && po.evictOne()) {
			return nil, &Error{Kind: NoConnection, Server: ta.Server, Err: errShareUsed}
		}
		if !po.waitChange(ctx) {
			return nil, contextError(ctx, ta.Server, false)
		}
	}
}

// retarget takes over a newer address, incarnation and share.
func (po *pool) retarget(ta Target) error {
	if ta.Incarnation < po.ta.Incarnation {
		if ta.Address != po.ta.Address {
			return fmt.Errorf("incarnation %d is superseded by %d", ta.Incarnation, po.ta.Incarnation)
		}
		ta.Incarnation = po.ta.Incarnation
	}
	moved := ta.Incarnation != po.ta.Incarnation || ta.Address != po.ta.Address
	po.ta = ta
	if moved {
		po.closeIdle(func(*conn) bool { return true })
	}
	for len(po.idle) > 0 && po.open()-po.closing > ta.MaxConnections {
		po.closeOldest()
	}
	return nil
}

// takeIdle returns the newest idle connection that still lives, as busy.
func (po *pool) takeIdle() *conn {
	for len(po.idle) > 0 {
		cn := po.idle[len(po.idle)-1]
		po.idle = po.idle[:len(po.idle)-1]
		if po.cl.ts.Now().Sub(cn.proof) < po.cl.cf.IdleTimeout && cn.quiet() {
			po.busy++
			return cn
		}
		po.startClose(cn)
	}
	return nil
}

// endsSoon reports whether a connection comes free without more being done.
func (po *pool) endsSoon() bool {
	return po.closing > 0 || po.brief > 0 || po.orphans > 0
}

// evictOne closes the longest lingering connection and reports whether there
// was one.
func (po *pool) evictOne() bool {
	for _, cn := range po.lingering {
		if cn.evict() {
			break
		}
	}
	return len(po.lingering) > 0
}

// evict closes a connection if it still lingers, and reports whether it did.
// Once its late reply came, it may carry another request.
func (po *pool) evict(cn *conn) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	return slices.Contains(po.lingering, cn) && cn.evict()
}

func (po *pool) waitChange(ctx context.Context) bool {
	if po.changed == nil {
		po.changed = make(chan struct{})
	}
	ch := po.changed
	po.mu.Unlock()
	defer po.mu.Lock()
	select {
	case <-ch:
		return true
	case <-ctx.Done():
		return false
	}
}

func (po *pool) notify() {
	if po.changed != nil {
		close(po.changed)
		po.changed = nil
	}
}

// dialed is the outcome of opening a connection.
type dialed struct {
	cn *conn
	er *Error
}

// dial opens a connection, as busy. It is counted before the first packet
// leaves. If the context ends first, the connection becomes an idle one.
//
// To break the opening off instead would leave a connection that the backend
// server has accepted and counts towards its limit, while it counts no more here.
func (po *pool) dial(ctx context.Context) (*conn, *Error) {
	po.dialing++
	ta := po.ta
	po.mu.Unlock()
	defer po.mu.Lock()
	done := make(chan dialed)
	go func() {
		cn, er := po.connect(ta)
		select {
		case done <- dialed{cn, er}:
		case <-ctx.Done():
			po.adopt(cn)
		}
	}()
	select {
	case di := <-done:
		return di.cn, di.er
	case <-ctx.Done():
		po.mu.Lock()
		po.orphans++
		po.mu.Unlock()
		return nil, contextError(ctx, ta.Server, false)
	}
}

func (po *pool) connect(ta Target) (*conn, *Error) {
	ctx, cancel := context.WithTimeout(context.Background(), po.cl.cf.DialTimeout)
	defer cancel()
	nc, err := po.cl.cf.Dial(ctx, ta.Address)
	po.mu.Lock()
	defer po.mu.Unlock()
	po.dialing--
	if err != nil {
		po.notify()
		return nil, &Error{Kind: DialFailed, Server: ta.Server, Err: err}
	}
	po.busy++
	po.st.Opened++
	cn := newConn(nc, ta, po.cl.ts, po.cl.cf.MaxReplyBytes)
	po.conns[cn] = struct{}{}
	return cn, nil
}

// adopt takes a new connection whose request has gone, or nil.
func (po *pool) adopt(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.orphans--
	if cn == nil {
		return
	}
	po.busy--
	cn.reusable = true
	po.settleIn(cn)
}

// release takes a connection back, after a whole reply or unused.
func (po *pool) release(cn *conn, replied bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	cn.carries = ""
	if replied {
		cn.proved = po.cl.ts.Now()
	}
	po.busy--
	po.settleIn(cn)
}

// carry notes the request that a connection carries.
func (po *pool) carry(cn *conn, requestID string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	cn.carries = requestID
}

// heard returns when a whole reply last came over a connection that was open
// when the one that carries the request last worked; zero if none did.
func (po *pool) heard(requestID string) time.Time {
	po.mu.Lock()
	defer po.mu.Unlock()
	var worked, last time.Time
	for cn := range po.conns {
		if cn.carries == requestID {
			worked = cn.proved
		}
	}
	for cn := range po.conns {
		if !cn.opened.After(worked) && cn.proved.After(cn.opened) && cn.proved.After(last) {
			last = cn.proved
		}
	}
	return last
}

// endBrief notes the end of a Cancel.
func (po *pool) endBrief() {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.brief--
	po.notify()
}

// settleIn makes a connection idle, or closes it if it may not be used again.
func (po *pool) settleIn(cn *conn) {
	current := cn.ta.Address == po.ta.Address && cn.ta.Incarnation == po.ta.Incarnation
	if po.retired || !current || !cn.reusable || po.open()-po.closing >= po.ta.MaxConnections {
		po.startClose(cn)
		return
	}
	po.idle = append(po.idle, cn)
	if po.cl.ts.Now().Sub(po.idle[0].proof) >= po.cl.cf.IdleTimeout {
		po.closeOldest()
	}
	po.notify()
}

// discard closes a busy connection.
func (po *pool) discard(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.busy--
	po.startClose(cn)
}

// abandon closes a busy connection that went silent, and with it every idle
// connection that was opened before the silent request was sent.
//
// Something between the two ends can lose track of open connections: requests
// on them vanish for good while new connections work. It shows as no progress
// until the deadline, for one request after another, one for each connection
// that was open then. Closing the idle ones too makes the next attempt open a new
// connection, so the loss costs one wait at most.
func (po *pool) abandon(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.busy--
	po.st.Silent++
	po.startClose(cn)
	po.closeIdle(func(ot *conn) bool { return !ot.opened.After(cn.sentAt) })
	po.cl.lg.Warn("backend.connection.silent", zap.String("Server", po.ta.Server),
		zap.Duration("Age", cn.sentAt.Sub(cn.opened)), zap.Duration("SilentAfter", cn.silent))
}

// lose ends the lingering of a connection on which a request or its reply was
// lost, and closes the idle connections on which nothing came since it was sent.
//
// The backend server says over another connection that it does not run the
// request, and no reply to it comes: so the connection is silent, and those of
// its age may be. Without this each of them would cost one more request its wait.
func (po *pool) lose(cn *conn, sent time.Time) {
	if !po.evict(cn) {
		return
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	po.st.Lost++
	po.closeIdle(func(ot *conn) bool { return !ot.opened.After(sent) && !ot.proved.After(sent) })
	po.cl.lg.Warn("backend.connection.lost", zap.String("Server", po.ta.Server), zap.Duration("Age", sent.Sub(cn.opened)))
}

func (po *pool) closeIdle(chosen func(*conn) bool) {
	po.idle = slices.DeleteFunc(po.idle, func(cn *conn) bool {
		if chosen(cn) {
			po.startClose(cn)
			return true
		}
		return false
	})
}

func (po *pool) closeOldest() {
	cn := po.idle[0]
	po.idle = slices.Delete(po.idle, 0, 1)
	po.startClose(cn)
}

// startClose ends a connection that is in no other place any more. It counts as
// open until the backend server has confirmed the end or CloseWait has passed,
// because a server that has not yet seen the end counts it towards its limit and
// would refuse the connection that takes its place.
func (po *pool) startClose(cn *conn) {
	po.closing++
	delete(po.conns, cn)
	go func() {
		confirmed := cn.close(po.cl.cf.CloseTimeout)
		po.mu.Lock()
		defer po.mu.Unlock()
		po.closing--
		if !confirmed {
			po.st.Unconfirmed++
		}
		po.notify()
	}()
}

// linger moves a busy connection to the lingering ones.
func (po *pool) linger(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.busy--
	po.lingering = append(po.lingering, cn)
	po.notify()
}

// unlinger ends the lingering of a connection, after its late reply or without.
func (po *pool) unlinger(cn *conn, replied bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	cn.carries = ""
	if replied {
		cn.proved = po.cl.ts.Now()
	}
	po.lingering = slices.DeleteFunc(po.lingering, func(ot *conn) bool { return ot == cn })
	cn.reusable = cn.reusable && !cn.isEvicted()
	po.settleIn(cn)
}

// retain takes over a target and closes idle connections that have ended or are
// no longer needed.
func (po *pool) retain(ta Target) {
	po.mu.Lock()
	defer po.mu.Unlock()
	// An older incarnation than the one in use is a late view; its address is of
	// no use here.
	_ = po.retarget(ta)
	po.retired = false
	oldest := po.cl.ts.Now().Add(-po.cl.cf.IdleTimeout)
	po.closeIdle(func(cn *conn) bool { return cn.proof.Before(oldest) || !cn.quiet() })
}

// retire closes the idle connections and reports whether none is open any more;
// the pool is of no use from then on.
func (po *pool) retire() bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.retired = true
	po.closeIdle(func(*conn) bool { return true })
	po.gone = po.open() == 0
	return po.gone
}
