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
	errShareInUse   = errors.New("all connections of the share are in use")
	errPoolRemoved  = errors.New("connection pool removed")
	errClientClosed = errors.New("client closed")
)

// purpose is what a connection is acquired for.
type purpose int

const (
	forQuery purpose = iota
	forCancel
)

// numCancels returns how many Cancels a connection with this purpose carries.
func (pu purpose) numCancels() int {
	if pu == forCancel {
		return 1
	}
	return 0
}

// pool holds the connections to one backend server. Every connection is counted
// in exactly one of dialing, busy, lingering, idle and closing, from before it
// is dialed until its close is confirmed, so that their sum never exceeds the
// share.
type pool struct {
	cl *Client

	mu          sync.Mutex
	ta          Target
	retired     bool // whether the server is no longer in any view
	removed     bool // whether the client has removed the pool
	dialing     int
	busy        int
	closing     int
	cancels     int                // Cancels in flight; each ends soon
	orphanDials int                // connections being dialed for requests that have ended
	idle        []*conn            // in the order of their return, newest last
	lingering   []*conn            // in the order in which their requests ended
	conns       map[*conn]struct{} // all except those being dialed or closed
	changed     chan struct{}      // closed when a connection changes its state
	st          ConnStats
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
// Cancel, which is less urgent, it closes no lingering connection to make room.
//
// A hedge, retry or Cancel sent because of a missing reply would fail the same
// way on another idle connection that went silent at the same time. So idle
// connections that have received no reply since ReplySince are closed before
// they cost another request its wait.
func (po *pool) acquire(ctx context.Context, ta Target, pu purpose) (*conn, *Error) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.removed {
		return nil, &Error{Kind: NoConnection, Server: ta.Server, Err: errPoolRemoved}
	}
	if err := po.setTarget(ta); err != nil {
		return nil, &Error{Kind: DialFailed, Server: ta.Server, Err: err}
	}
	if pu == forQuery {
		po.retired = false
	}
	if !ta.ReplySince.IsZero() {
		po.closeIdle(func(cn *conn) bool { return !cn.lastReply.After(ta.ReplySince) })
	}
	for {
		if cn := po.takeIdle(); cn != nil {
			po.cancels += pu.numCancels()
			return cn, nil
		}
		if po.open() < po.ta.MaxConnections {
			po.cancels += pu.numCancels()
			cn, er := po.dial(ctx)
			if er != nil {
				po.cancels -= pu.numCancels()
				po.notify()
			}
			return cn, er
		}
		if !po.mayFreeSoon() && !(pu == forQuery && po.evictLingering()) {
			return nil, &Error{Kind: NoConnection, Server: ta.Server, Err: errShareInUse}
		}
		if !po.waitForChange(ctx) {
			return nil, contextError(ctx, ta.Server, false)
		}
	}
}

// setTarget applies a newer address, incarnation and share.
func (po *pool) setTarget(ta Target) error {
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
		po.closeOldestIdle()
	}
	return nil
}

// takeIdle returns the newest idle connection that is still usable and marks it
// as busy.
func (po *pool) takeIdle() *conn {
	for len(po.idle) > 0 {
		cn := po.idle[len(po.idle)-1]
		po.idle = po.idle[:len(po.idle)-1]
		if po.cl.ts.Now().Sub(cn.lastProgress) < po.cl.cf.IdleTimeout && cn.usable() {
			po.busy++
			return cn
		}
		po.startClose(cn)
	}
	return nil
}

// mayFreeSoon reports whether a connection becomes free without further action.
func (po *pool) mayFreeSoon() bool {
	return po.closing > 0 || po.cancels > 0 || po.orphanDials > 0
}

// evictLingering closes the connection that has lingered longest and reports
// whether any was lingering.
func (po *pool) evictLingering() bool {
	for _, cn := range po.lingering {
		if cn.evict() {
			break
		}
	}
	return len(po.lingering) > 0
}

// evict closes a connection if it still lingers, and reports whether it did.
// Once its late reply has come, it may carry another request.
func (po *pool) evict(cn *conn) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	return slices.Contains(po.lingering, cn) && cn.evict()
}

func (po *pool) waitForChange(ctx context.Context) bool {
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

// dialResult is the result of opening a connection.
type dialResult struct {
	cn *conn
	er *Error
}

// dial opens a connection and marks it as busy. It counts the connection before
// the first packet is sent. If the context ends first, the connection becomes
// idle.
//
// Aborting the dial instead could leave a connection that the backend server
// has accepted and counts towards its limit, while it is no longer counted
// here.
func (po *pool) dial(ctx context.Context) (*conn, *Error) {
	po.dialing++
	ta := po.ta
	po.mu.Unlock()
	defer po.mu.Lock()
	done := make(chan dialResult)
	go func() {
		cn, er := po.connect(ta)
		select {
		case done <- dialResult{cn, er}:
		case <-ctx.Done():
			po.adoptDialed(cn)
		}
	}()
	select {
	case di := <-done:
		return di.cn, di.er
	case <-ctx.Done():
		po.mu.Lock()
		po.orphanDials++
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

// adoptDialed takes over a new connection whose request has ended; cn is nil if
// the dial failed.
func (po *pool) adoptDialed(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.orphanDials--
	if cn == nil {
		return
	}
	po.busy--
	cn.reusable = true
	po.idleOrClose(cn)
}

// release takes a connection back, after a complete reply or unused.
func (po *pool) release(cn *conn, replied bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	cn.requestID = ""
	if replied {
		cn.lastReply = po.cl.ts.Now()
	}
	po.busy--
	po.idleOrClose(cn)
}

// setRequest records the request that a connection carries.
func (po *pool) setRequest(cn *conn, requestID string) {
	po.mu.Lock()
	defer po.mu.Unlock()
	cn.requestID = requestID
}

// lastReply returns when a complete reply last came over a connection that was
// already open when the connection carrying the request last worked; zero if
// none did.
func (po *pool) lastReply(requestID string) time.Time {
	po.mu.Lock()
	defer po.mu.Unlock()
	var worked, last time.Time
	for cn := range po.conns {
		if cn.requestID == requestID {
			worked = cn.lastReply
		}
	}
	for cn := range po.conns {
		if !cn.opened.After(worked) && cn.lastReply.After(cn.opened) && cn.lastReply.After(last) {
			last = cn.lastReply
		}
	}
	return last
}

// cancelDone records the end of a Cancel.
func (po *pool) cancelDone() {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.cancels--
	po.notify()
}

// idleOrClose makes a connection idle, or closes it if it must not be reused.
func (po *pool) idleOrClose(cn *conn) {
	current := cn.ta.Address == po.ta.Address && cn.ta.Incarnation == po.ta.Incarnation
	if po.retired || !current || !cn.reusable || po.open()-po.closing >= po.ta.MaxConnections {
		po.startClose(cn)
		return
	}
	po.idle = append(po.idle, cn)
	if po.cl.ts.Now().Sub(po.idle[0].lastProgress) >= po.cl.cf.IdleTimeout {
		po.closeOldestIdle()
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

// closeSilent closes a busy connection that went silent, and every idle
// connection that was opened before the silent request was sent.
//
// A device between the two ends can lose track of open connections: requests on
// them are lost, while new connections work. One request after another then
// makes no progress until its deadline, once for each connection that was open
// at that time. Closing the idle connections too makes the next attempt open a
// new one, so the loss costs at most one wait.
func (po *pool) closeSilent(cn *conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.busy--
	po.st.Silent++
	po.startClose(cn)
	po.closeIdle(func(ot *conn) bool { return !ot.opened.After(cn.sentAt) })
	po.cl.lg.Warn("backend.connection.silent", zap.String("Server", po.ta.Server),
		zap.Duration("Age", cn.sentAt.Sub(cn.opened)), zap.Duration("SilentAfter", cn.silenceTimeout))
}

// closeLost ends the lingering of a connection on which a request or its reply
// was lost, and closes the idle connections that have received no reply since
// it was sent.
//
// The backend server confirmed over another connection that it does not run the
// request, and no reply to it arrives. So the connection is silent, and others
// of its age may be too. Without this, each of them would cost one more request
// its wait.
func (po *pool) closeLost(cn *conn, sent time.Time) {
	if !po.evict(cn) {
		return
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	po.st.Lost++
	po.closeIdle(func(ot *conn) bool { return !ot.opened.After(sent) && !ot.lastReply.After(sent) })
	po.cl.lg.Warn("backend.connection.lost", zap.String("Server", po.ta.Server), zap.Duration("Age", sent.Sub(cn.opened)))
}

func (po *pool) closeIdle(match func(*conn) bool) {
	po.idle = slices.DeleteFunc(po.idle, func(cn *conn) bool {
		if match(cn) {
			po.startClose(cn)
			return true
		}
		return false
	})
}

func (po *pool) closeOldestIdle() {
	cn := po.idle[0]
	po.idle = slices.Delete(po.idle, 0, 1)
	po.startClose(cn)
}

// startClose closes a connection that is in no other state any more. It counts
// as open until the backend server has confirmed the close or CloseTimeout has
// passed, because a server that has not yet seen the close counts the
// connection towards its limit and would refuse the one that takes its place.
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

// endLinger ends the lingering of a connection, with or without its late reply.
func (po *pool) endLinger(cn *conn, replied bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	cn.requestID = ""
	if replied {
		cn.lastReply = po.cl.ts.Now()
	}
	po.lingering = slices.DeleteFunc(po.lingering, func(ot *conn) bool { return ot == cn })
	cn.reusable = cn.reusable && !cn.isEvicted()
	po.idleOrClose(cn)
}

// updateTarget applies a target and closes idle connections that have ended or
// are no longer needed.
func (po *pool) updateTarget(ta Target) {
	po.mu.Lock()
	defer po.mu.Unlock()
	// An incarnation older than the one in use comes from an outdated view, so
	// its address is not used.
	_ = po.setTarget(ta)
	po.retired = false
	oldest := po.cl.ts.Now().Add(-po.cl.cf.IdleTimeout)
	po.closeIdle(func(cn *conn) bool { return cn.lastProgress.Before(oldest) || !cn.usable() })
}

// retire closes the idle connections and reports whether no connection is open
// any more. If so, the pool can no longer be used.
func (po *pool) retire() bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.retired = true
	po.closeIdle(func(*conn) bool { return true })
	po.removed = po.open() == 0
	return po.removed
}
