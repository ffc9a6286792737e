package fanout

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/limit"
)

// sendTask is one attempt in flight. It is passed by pointer to keep the stack
// of its goroutine small, since each leaf request has one.
type sendTask struct {
	action SendAttempt
	sent   time.Time
	// An idle connection must have received a reply since then; zero if any
	// connection will do.
	replySince time.Time
	ch         limit.Choice
}

// send sends one attempt and reports its end to the balancer and to the query
// run.
func (qr *queryRun) send(ctx context.Context, cancel context.CancelFunc, se *sendTask) {
	defer qr.goroutineDone()
	defer cancel()
	rp, err := qr.en.cl.Do(ctx, qr.target(se), qr.leafRequest(se))
	if err != nil {
		qr.reportFailure(se, asBackendError(err))
		return
	}
	qr.reportReply(se, rp)
}

func (qr *queryRun) leafRequest(se *sendTask) backend.Request {
	return backend.Request{
		RequestID:     se.action.RequestID,
		Service:       qr.qu.Service,
		Shard:         se.action.Shard,
		Snapshot:      se.action.Snapshot,
		TimeoutMillis: max(1, qr.leafDeadline.Sub(se.sent).Milliseconds()),
		Repeatable:    qr.qu.Repeatable,
		Key:           qr.qu.Key,
		Query:         qr.qu.Body,
	}
}

func (qr *queryRun) reportReply(se *sendTask, rp backend.Reply) {
	now := qr.en.ts.Now()
	qr.release(now, se, replyOutcome(&rp))
	qr.post(Replied{Now: now, Attempt: se.action.Attempt, Server: se.ch.Server, Reply: rp})
}

func (qr *queryRun) reportFailure(se *sendTask, er *backend.Error) {
	now := qr.en.ts.Now()
	qr.release(now, se, limit.Outcome{Kind: failureOutcome(er)})
	qr.post(AttemptFailed{Now: now, Attempt: se.action.Attempt, Kind: er.Kind, Sent: er.Sent})
	if er.Sent {
		qr.en.heldSlots.hold(qr.en, now, se.action.RequestID, se.ch)
	}
}

// release returns the slot of an attempt to the balancer.
func (qr *queryRun) release(now time.Time, se *sendTask, oc limit.Outcome) {
	oc.Latency = now.Sub(se.sent)
	qr.en.ba.Done(now, se.ch, oc)
	qr.observeLatency(oc)
}

// target returns where an attempt is sent. A silent connection looks like a
// slow server. It is abandoned while there is still time for another one. A
// request that must not be repeated could not use another connection, so it
// waits until the deadline.
func (qr *queryRun) target(se *sendTask) backend.Target {
	silenceTimeout := qr.pa.AnswerDeadline.Sub(se.sent)
	if qr.pa.Repeatable {
		silenceTimeout = silenceTimeout * silenceNumerator / silenceDenominator
	}
	return backend.Target{
		Server:         se.ch.Server,
		Address:        se.ch.Record.Address,
		Incarnation:    se.ch.Record.Incarnation,
		MaxConnections: se.ch.MaxConnections,
		SilenceTimeout: max(silenceTimeout, time.Millisecond),
		ReplySince:     se.replySince,
		LateThreshold:  qr.pa.HedgeDelay,
	}
}

// observeLatency records a latency. An abandoned attempt counts with the time
// waited if it was already late. Otherwise each winning hedge would hide a late
// reply, and the hedge delay would shrink with every hedge.
func (qr *queryRun) observeLatency(oc limit.Outcome) {
	switch oc.Kind {
	case limit.OK:
	case limit.Cancelled, limit.TimedOut, limit.ConnectionLost:
		if oc.Latency < qr.pa.HedgeDelay {
			return
		}
	default:
		return
	}
	qr.en.ba.ObserveLatency(qr.qu.Service, oc.Latency)
}

// asBackendError returns the error as a *backend.Error. For any other error
// type it is unknown whether the request was sent.
func asBackendError(err error) *backend.Error {
	var er *backend.Error
	if errors.As(err, &er) {
		return er
	}
	return &backend.Error{Kind: backend.Cut, Sent: true, Err: err}
}

// replyOutcome returns what a reply says about the server.
func replyOutcome(rp *backend.Reply) limit.Outcome {
	switch rp.Code {
	case backend.ReplyOK:
		return limit.Outcome{Kind: limit.OK}
	case backend.ReplyShed:
		return limit.Outcome{Kind: limit.Shed, RetryAfter: time.Duration(rp.RetryAfterMillis) * time.Millisecond}
	case backend.ReplyDraining:
		return limit.Outcome{Kind: limit.Draining}
	case backend.ReplyVersionGone, backend.ReplyWrongShard, backend.ReplyBad:
		return limit.Outcome{Kind: limit.NotSent}
	case backend.ReplyDeadlinePassed:
		return limit.Outcome{Kind: limit.TimedOut, SlotReleased: true}
	case backend.ReplyCancelled:
		return limit.Outcome{Kind: limit.Cancelled, SlotReleased: true}
	default:
		return limit.Outcome{Kind: limit.Failed}
	}
}

// failureOutcome returns what a failure says about the server. After a request
// that was sent and got no reply, the server may still be working on it.
func failureOutcome(er *backend.Error) limit.OutcomeKind {
	switch {
	case er.Kind == backend.DialFailed:
		return limit.Failed
	case !er.Sent:
		return limit.NotSent
	case er.Kind == backend.Cancelled:
		return limit.Cancelled
	case er.Kind == backend.Deadline:
		return limit.TimedOut
	default:
		return limit.ConnectionLost
	}
}

// RequestAbandoned handles the outcome of a request that was abandoned after it
// was sent; use it as backend.ClientConfig.OnAbandoned. The slot of a server
// that has confirmed the stop is released at once.
func (en *Engine) RequestAbandoned(ar backend.AbandonedRequest) {
	en.heldSlots.release(en, ar)
}

const (
	// How long an abandoned request waits for its counterpart.
	heldSlotTTL = time.Minute
	// Number of calls of pair from one sweep to the next.
	sweepEvery = 256
)

// heldSlots matches the slots of abandoned requests with the outcomes that the
// client reports. Either may arrive first.
type heldSlots struct {
	pending sync.Map // request id to *heldSlot
	count   atomic.Uint64
}

// heldSlot is one half of a match: the slot or the reported outcome.
type heldSlot struct {
	createdAt time.Time
	choice    limit.Choice
	abandoned *backend.AbandonedRequest // nil in the half that holds the slot
}

func (hs *heldSlots) hold(en *Engine, now time.Time, requestID string, ch limit.Choice) {
	ot := hs.pair(requestID, &heldSlot{createdAt: now, choice: ch})
	if ot != nil && ot.abandoned != nil && ot.abandoned.Stopped {
		en.ba.ReleaseSlot(now, ch)
	}
}

func (hs *heldSlots) release(en *Engine, ar backend.AbandonedRequest) {
	now := en.ts.Now()
	ot := hs.pair(ar.RequestID, &heldSlot{createdAt: now, abandoned: &ar})
	if ot != nil && ot.abandoned == nil && ar.Stopped {
		en.ba.ReleaseSlot(now, ot.choice)
	}
}

// pair stores one half to wait for the other, or removes and returns the other
// if it arrived first.
func (hs *heldSlots) pair(requestID string, ho *heldSlot) *heldSlot {
	if hs.count.Add(1)%sweepEvery == 0 {
		hs.sweep(ho.createdAt.Add(-heldSlotTTL))
	}
	ot, found := hs.pending.LoadOrStore(requestID, ho)
	if !found {
		return nil
	}
	hs.pending.Delete(requestID)
	return ot.(*heldSlot)
}

// sweep drops halves whose counterpart never came, for example because the
// sender reports no outcomes.
func (hs *heldSlots) sweep(before time.Time) {
	hs.pending.Range(func(id, ho any) bool {
		if ho.(*heldSlot).createdAt.Before(before) {
			hs.pending.Delete(id)
		}
		return true
	})
}
