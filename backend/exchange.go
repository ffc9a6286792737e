package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
)

// query sends a request over the connection, which it gives back to the pool.
func (po *pool) query(ctx context.Context, cn *conn, ta Target, rq Request) (Reply, *Error) {
	if er := stampTimeout(ctx, po, &rq); er != nil {
		cn.reusable = true
		po.release(cn, false)
		return Reply{}, er
	}
	po.carry(cn, rq.RequestID)
	bs, er := cn.exchange(ctx, QueryPath, rq, po.silentAfter(ta))
	if er != nil {
		po.fail(cn, ta, rq, er)
		return Reply{}, er
	}
	var re Reply
	er = cn.decode(bs, &re)
	if er == nil {
		er = checkReply(ta, rq, re)
	}
	if er != nil {
		po.fail(cn, ta, rq, er)
		return Reply{}, er
	}
	po.release(cn, true)
	return re, nil
}

// stampTimeout sets the time left of the context's deadline in the request.
func stampTimeout(ctx context.Context, po *pool, rq *Request) *Error {
	until, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	left := until.Sub(po.cl.ts.Now()).Milliseconds()
	if left <= 0 {
		return &Error{Kind: Deadline, Server: po.ta.Server, Err: context.DeadlineExceeded}
	}
	if rq.TimeoutMillis == 0 || left < rq.TimeoutMillis {
		rq.TimeoutMillis = left
	}
	return nil
}

func (po *pool) silentAfter(ta Target) time.Duration {
	if ta.SilenceTimeout > 0 {
		return ta.SilenceTimeout
	}
	return po.cl.cf.SilenceTimeout
}

func (cn *conn) decode(bs []byte, out any) *Error {
	err := json.Unmarshal(bs, out)
	if cn.in.Cap() > keptBytes {
		cn.in = bytes.Buffer{}
	}
	if err != nil {
		return cn.malformed(err)
	}
	return nil
}

// checkReply refuses a reply that is not for the request. A backend server, or
// something before it, can mix up replies; it shows as the rows of another
// query, shard or snapshot in an answer. Each reply states what it is for, and
// one that differs in anything is no answer, whatever its code.
func checkReply(ta Target, rq Request, re Reply) *Error {
	crossed := func(field string, want, got any) *Error {
		return &Error{Kind: Crossed, Server: ta.Server, Sent: true, Err: fmt.Errorf("%s: want %v, got %v", field, want, got)}
	}
	switch {
	case re.RequestID != rq.RequestID:
		return crossed("RequestID", rq.RequestID, re.RequestID)
	case re.Server != ta.Server:
		return crossed("Server", ta.Server, re.Server)
	case re.Shard != rq.Shard:
		return crossed("Shard", rq.Shard, re.Shard)
	case re.Snapshot != rq.Snapshot:
		return crossed("Snapshot", rq.Snapshot, re.Snapshot)
	case !re.Code.known():
		return &Error{Kind: Malformed, Server: ta.Server, Sent: true, Err: fmt.Errorf("Code: %q is not known", re.Code)}
	}
	return nil
}

func (rc ReplyCode) known() bool {
	switch rc {
	case ReplyOK, ReplyDeadlinePassed, ReplyCancelled, ReplyFailed:
		return true
	default:
		return rc.NotRun()
	}
}

// fail gives a connection back after a failed exchange, and sees to the request
// if the backend server may still run it.
func (po *pool) fail(cn *conn, ta Target, rq Request, er *Error) {
	lingers := false
	sent := cn.sentAt
	ta.ReplySince = po.doubtedSince(cn, ta, rq.RequestID)
	switch er.Kind {
	case Silent:
		po.abandon(cn)
	case Cancelled, Deadline:
		lingers = er.Sent && cn.resumable()
		if lingers {
			po.linger(cn)
		} else {
			po.discard(cn)
		}
	case Malformed:
		if !er.Sent {
			po.release(cn, false)
			return
		}
		po.discard(cn)
	case Crossed:
		po.discardCrossed(cn, rq, er)
	default:
		po.discard(cn)
	}
	if !er.Sent {
		return
	}
	if !lingers {
		cn = nil
	}
	go po.settle(cn, ta, rq.RequestID, er.Kind, sent)
}

// doubtedSince returns since when a connection must have proved to work to carry
// the Cancel of a request that failed; zero if any will do.
func (po *pool) doubtedSince(cn *conn, ta Target, requestID string) time.Time {
	from := po.cl.ts.Now().Add(-ta.LateThreshold)
	if ta.LateThreshold == 0 || cn.sentAt.After(from) || po.heard(requestID).After(from) {
		return time.Time{}
	}
	return from
}

func (po *pool) discardCrossed(cn *conn, rq Request, er *Error) {
	po.mu.Lock()
	po.st.Mismatched++
	po.mu.Unlock()
	po.discard(cn)
	po.cl.lg.Warn("backend.reply.crossed", zap.String("Server", cn.ta.Server),
		zap.String("RequestID", rq.RequestID), zap.Error(er.Err))
}

// replyGrace is how long a reply may be under way behind the word that its
// request has ended.
const replyGrace = 20 * time.Millisecond

// settle asks the backend server to stop a request that was given up, and waits
// on its connection, if that lingers, for the late reply. The reply shows that
// the request has ended and keeps the connection for others, which spares the
// cost of a new one.
func (po *pool) settle(cn *conn, ta Target, requestID string, kind ErrorKind, sent time.Time) {
	sm := AbandonedRequest{Server: ta.Server, RequestID: requestID}
	late := make(chan bool, 1)
	if cn != nil {
		go func() { late <- po.awaitLate(cn, requestID) }()
	} else {
		late <- false
	}
	// A passed deadline needs no Cancel: the server knows the deadline itself.
	if kind != Deadline {
		var asked bool
		sm.Stopped, asked = po.askToStop(ta, requestID)
		if !asked && cn != nil {
			// No connection is left to say it on. The end of this one says it.
			po.evict(cn)
		}
	}
	if !sm.Stopped || cn == nil {
		sm.Stopped = <-late || sm.Stopped
		po.settled(sm)
		return
	}
	// The slot of the request is free, whether or not its connection brings more.
	po.settled(sm)
	ti := po.cl.ts.Timeout(replyGrace, func() { po.lose(cn, sent) })
	<-late
	ti.Stop()
}

func (po *pool) settled(sm AbandonedRequest) {
	if po.cl.cf.OnAbandoned != nil {
		po.cl.cf.OnAbandoned(sm)
	}
}

// askToStop sends a Cancel, and reports whether the request has stopped and
// whether the backend server was reached. A Cancel takes the server no time, so
// one without a reply has met a silent connection and is sent on a new one.
func (po *pool) askToStop(ta Target, requestID string) (stopped, asked bool) {
	ctx, cancel := context.WithTimeout(context.Background(), po.cl.cf.LingerTimeout)
	defer cancel()
	ta.SilenceTimeout = po.cl.cf.CancelTimeout
	for {
		cr, err := po.cl.Cancel(ctx, ta, requestID)
		if err == nil {
			return cr.Stopped, true
		}
		var er *Error
		errors.As(err, &er)
		asked = asked || er.Sent
		if er.Kind != Silent {
			return false, asked
		}
		ta.ReplySince = po.cl.ts.Now()
	}
}

// awaitLate waits for the late reply on a lingering connection and reports
// whether it came.
func (po *pool) awaitLate(cn *conn, requestID string) bool {
	replied := false
	defer func() { po.unlinger(cn, replied) }()
	bs, er := cn.resume(po.cl.cf.LingerTimeout)
	if er != nil {
		return false
	}
	var re Reply
	if cn.decode(bs, &re) != nil || re.RequestID != requestID {
		cn.reusable = false
		return false
	}
	replied = true
	return true
}

// cancel sends a Cancel over the connection, which it gives back to the pool.
func (po *pool) cancel(ctx context.Context, cn *conn, ta Target, requestID string) (CancelReply, *Error) {
	bs, er := cn.exchange(ctx, CancelPath, Cancel{RequestID: requestID}, po.silentAfter(ta))
	if er != nil {
		po.failCancel(cn, er)
		return CancelReply{}, er
	}
	var cr CancelReply
	er = cn.decode(bs, &cr)
	if er == nil && cr.RequestID != requestID {
		er = &Error{Kind: Crossed, Server: ta.Server, Sent: true, Err: fmt.Errorf("RequestID: want %s, got %s", requestID, cr.RequestID)}
	}
	if er != nil {
		po.discard(cn)
		return CancelReply{}, er
	}
	po.release(cn, true)
	return cr, nil
}

func (po *pool) failCancel(cn *conn, er *Error) {
	if er.Kind == Silent {
		po.abandon(cn)
		return
	}
	po.discard(cn)
}
