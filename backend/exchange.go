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

// query sends a request over the connection, which it returns to the pool.
func (po *pool) query(ctx context.Context, cn *conn, ta Target, rq Request) (Reply, *Error) {
	if er := setTimeout(ctx, po, &rq); er != nil {
		cn.reusable = true
		po.release(cn, false)
		return Reply{}, er
	}
	po.setRequest(cn, rq.RequestID)
	bs, er := cn.exchange(ctx, QueryPath, rq, po.silenceTimeout(ta))
	if er != nil {
		po.handleFailure(cn, ta, rq, er)
		return Reply{}, er
	}
	var re Reply
	er = cn.decode(bs, &re)
	if er == nil {
		er = checkReply(ta, rq, re)
	}
	if er != nil {
		po.handleFailure(cn, ta, rq, er)
		return Reply{}, er
	}
	po.release(cn, true)
	return re, nil
}

// setTimeout sets the time left until the context's deadline in the request,
// unless the request already states a shorter time.
func setTimeout(ctx context.Context, po *pool, rq *Request) *Error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	left := deadline.Sub(po.cl.ts.Now()).Milliseconds()
	if left <= 0 {
		return &Error{Kind: Deadline, Server: po.ta.Server, Err: context.DeadlineExceeded}
	}
	if rq.TimeoutMillis == 0 || left < rq.TimeoutMillis {
		rq.TimeoutMillis = left
	}
	return nil
}

func (po *pool) silenceTimeout(ta Target) time.Duration {
	if ta.SilenceTimeout > 0 {
		return ta.SilenceTimeout
	}
	return po.cl.cf.SilenceTimeout
}

func (cn *conn) decode(bs []byte, out any) *Error {
	err := json.Unmarshal(bs, out)
	if cn.replyBody.Cap() > maxKeptBufferBytes {
		cn.replyBody = bytes.Buffer{}
	}
	if err != nil {
		return cn.malformed(err)
	}
	return nil
}

// checkReply rejects a reply that is not for the request. A backend server, or
// something in front of it, can mix up replies, and rows of another query,
// shard or snapshot would enter an answer. Each reply states what it is for.
// One that differs in any field is not an answer, whatever its code.
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
		return &Error{Kind: Malformed, Server: ta.Server, Sent: true, Err: fmt.Errorf("Code: unknown value %q", re.Code)}
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

// handleFailure returns a connection to the pool after a failed exchange, and
// resolves the request if the backend server may still be running it.
func (po *pool) handleFailure(cn *conn, ta Target, rq Request, er *Error) {
	lingers := false
	sent := cn.sentAt
	ta.ReplySince = po.cancelReplySince(cn, ta, rq.RequestID)
	switch er.Kind {
	case Silent:
		po.closeSilent(cn)
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
		po.discardMismatched(cn, rq, er)
	default:
		po.discard(cn)
	}
	if !er.Sent {
		return
	}
	if !lingers {
		cn = nil
	}
	go po.resolveAbandoned(cn, ta, rq.RequestID, er.Kind, sent)
}

// cancelReplySince returns since when a connection must have received a reply
// to carry the Cancel of a failed request; zero if any connection will do.
func (po *pool) cancelReplySince(cn *conn, ta Target, requestID string) time.Time {
	threshold := po.cl.ts.Now().Add(-ta.LateThreshold)
	if ta.LateThreshold == 0 || cn.sentAt.After(threshold) || po.lastReply(requestID).After(threshold) {
		return time.Time{}
	}
	return threshold
}

func (po *pool) discardMismatched(cn *conn, rq Request, er *Error) {
	po.mu.Lock()
	po.st.Mismatched++
	po.mu.Unlock()
	po.discard(cn)
	po.cl.lg.Warn("backend.reply.crossed", zap.String("Server", cn.ta.Server),
		zap.String("RequestID", rq.RequestID), zap.Error(er.Err))
}

// replyGrace is how much later than the confirmation of a Cancel the cancelled
// request's own reply may arrive.
const replyGrace = 20 * time.Millisecond

// resolveAbandoned asks the backend server to stop an abandoned request. If the
// request's connection lingers, it also waits there for the late reply, which
// shows that the request has ended and lets the connection be reused, saving
// the cost of a new one.
func (po *pool) resolveAbandoned(cn *conn, ta Target, requestID string, kind ErrorKind, sent time.Time) {
	ar := AbandonedRequest{Server: ta.Server, RequestID: requestID}
	lateReply := make(chan bool, 1)
	if cn != nil {
		go func() { lateReply <- po.awaitLateReply(cn, requestID) }()
	} else {
		lateReply <- false
	}
	// After the deadline no Cancel is needed: the server knows the deadline
	// itself.
	if kind != Deadline {
		var reached bool
		ar.Stopped, reached = po.sendCancel(ta, requestID)
		if !reached && cn != nil {
			// No connection is left to send the Cancel on, so closing this one tells
			// the server to stop.
			po.evict(cn)
		}
	}
	if !ar.Stopped || cn == nil {
		ar.Stopped = <-lateReply || ar.Stopped
		po.notifyAbandoned(ar)
		return
	}
	// The request's slot is free, whether or not its connection receives the late
	// reply.
	po.notifyAbandoned(ar)
	ti := po.cl.ts.Timeout(replyGrace, func() { po.closeLost(cn, sent) })
	<-lateReply
	ti.Stop()
}

func (po *pool) notifyAbandoned(ar AbandonedRequest) {
	if po.cl.cf.OnAbandoned != nil {
		po.cl.cf.OnAbandoned(ar)
	}
}

// sendCancel sends a Cancel, and reports whether the request has stopped and
// whether the backend server was reached. A Cancel takes the server no time, so
// if there is no reply, the connection is silent and the Cancel is sent again
// on a new one.
func (po *pool) sendCancel(ta Target, requestID string) (stopped, reached bool) {
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
		reached = reached || er.Sent
		if er.Kind != Silent {
			return false, reached
		}
		ta.ReplySince = po.cl.ts.Now()
	}
}

// awaitLateReply waits for the late reply on a lingering connection and reports
// whether it arrived.
func (po *pool) awaitLateReply(cn *conn, requestID string) bool {
	replied := false
	defer func() { po.endLinger(cn, replied) }()
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

// cancel sends a Cancel over the connection, which it returns to the pool.
func (po *pool) cancel(ctx context.Context, cn *conn, ta Target, requestID string) (CancelReply, *Error) {
	bs, er := cn.exchange(ctx, CancelPath, Cancel{RequestID: requestID}, po.silenceTimeout(ta))
	if er != nil {
		po.handleCancelFailure(cn, er)
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

func (po *pool) handleCancelFailure(cn *conn, er *Error) {
	if er.Kind == Silent {
		po.closeSilent(cn)
		return
	}
	po.discard(cn)
}
