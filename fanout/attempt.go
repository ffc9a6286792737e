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

// sending is one attempt under way. It is passed by pointer so that the stack of
// its goroutine, of which there is one for each leaf request, stays small.
type sending struct {
	ask  SendAttempt
	sent time.Time
	// since is since when an idle connection must have proved to work; zero if any
	// will do.
	since time.Time
	ch    limit.Choice
}

// send sends one attempt, reports its end to the servers' table and to the run.
func (rn *run) send(ctx context.Context, cancel context.CancelFunc, se *sending) {
	defer rn.leave()
	defer cancel()
	rp, err := rn.en.cl.Do(ctx, rn.target(se), rn.request(se))
	if err != nil {
		rn.reportFailure(se, failureOf(err))
		return
	}
	rn.reportReply(se, rp)
}

func (rn *run) request(se *sending) backend.Request {
	return backend.Request{
		RequestID:     se.ask.RequestID,
		Service:       rn.qu.Service,
		Shard:         se.ask.Shard,
		Snapshot:      se.ask.Snapshot,
		TimeoutMillis: max(1, rn.leafBy.Sub(se.sent).Milliseconds()),
		Repeatable:    rn.qu.Repeatable,
		Key:           rn.qu.Key,
		Query:         rn.qu.Body,
	}
}

func (rn *run) reportReply(se *sending, rp backend.Reply) {
	now := rn.en.ts.Now()
	rn.release(now, se, outcome(&rp))
	rn.post(Replied{Now: now, Attempt: se.ask.Attempt, Server: se.ch.Server, Reply: rp})
}

func (rn *run) reportFailure(se *sending, er *backend.Error) {
	now := rn.en.ts.Now()
	rn.release(now, se, limit.Outcome{Kind: failureKind(er)})
	rn.post(AttemptFailed{Now: now, Attempt: se.ask.Attempt, Kind: er.Kind, Sent: er.Sent})
	if er.Sent {
		rn.en.held.keep(rn.en, now, se.ask.RequestID, se.ch)
	}
}

// release gives the slot of an attempt back.
func (rn *run) release(now time.Time, se *sending, oc limit.Outcome) {
	oc.Latency = now.Sub(se.sent)
	rn.en.ta.Done(now, se.ch, oc)
	rn.learn(oc)
}

// target returns where an attempt goes. A connection that has gone silent looks
// like a slow server. It is given up while there is time for another one; a
// request that must not be repeated has no use for another and waits to the end.
func (rn *run) target(se *sending) backend.Target {
	silent := rn.ru.AnswerDeadline.Sub(se.sent)
	if rn.ru.Repeatable {
		silent = silent * silentNum / silentDen
	}
	return backend.Target{
		Server:         se.ch.Server,
		Address:        se.ch.Record.Address,
		Incarnation:    se.ch.Record.Incarnation,
		MaxConnections: se.ch.MaxConnections,
		SilenceTimeout: max(silent, time.Millisecond),
		ReplySince:     se.since,
		LateThreshold:  rn.ru.HedgeDelay,
	}
}

// learn takes a latency into account. One that was given up counts with how
// long it was waited for if that is late already: without it a hedge that wins
// would hide each late reply, and the delay would shrink with every hedge.
func (rn *run) learn(oc limit.Outcome) {
	switch oc.Kind {
	case limit.OK:
	case limit.Cancelled, limit.TimedOut, limit.ConnectionLost:
		if oc.Latency < rn.ru.HedgeDelay {
			return
		}
	default:
		return
	}
	rn.en.ta.ObserveLatency(rn.qu.Service, oc.Latency)
}

// failureOf returns the error as a *backend.Error. Of any other it is not known
// whether the request left.
func failureOf(err error) *backend.Error {
	var er *backend.Error
	if errors.As(err, &er) {
		return er
	}
	return &backend.Error{Kind: backend.Cut, Sent: true, Err: err}
}

// outcome returns what a reply says of the server.
func outcome(rp *backend.Reply) limit.Outcome {
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

// failureKind returns what a failure says of the server. After a request that
// left and had no reply, the server may still be at work.
func failureKind(er *backend.Error) limit.OutcomeKind {
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

// Settled takes in what became of a request that was given up after it left; it
// is for backend.ClientConfig.Settled. A server that proves to have stopped
// gets its slot back at once.
func (en *Engine) RequestAbandoned(sm backend.AbandonedRequest) {
	en.held.settle(en, sm)
}

const (
	// holdTime is how long a request waits for its settlement to be heard of.
	holdTime = time.Minute
	// holdSweep is after how many requests the overdue ones are dropped.
	holdSweep = 256
)

// holds pairs requests that were given up with their settlements, whichever
// comes first.
type holds struct {
	kept  sync.Map // kept maps request ids to a *hold.
	count atomic.Uint64
}

// hold is one side of a pair.
type hold struct {
	when       time.Time
	choice     limit.Choice
	settlement *backend.AbandonedRequest // settlement is nil until it has come.
}

func (hs *holds) keep(en *Engine, now time.Time, requestID string, ch limit.Choice) {
	ot := hs.meet(requestID, &hold{when: now, choice: ch})
	if ot != nil && ot.settlement != nil && ot.settlement.Stopped {
		en.ta.ReleaseSlot(now, ch)
	}
}

func (hs *holds) settle(en *Engine, sm backend.AbandonedRequest) {
	now := en.ts.Now()
	ot := hs.meet(sm.RequestID, &hold{when: now, settlement: &sm})
	if ot != nil && ot.settlement == nil && sm.Stopped {
		en.ta.ReleaseSlot(now, ot.choice)
	}
}

// meet leaves one side for the other, or takes the other that was there first.
func (hs *holds) meet(requestID string, ho *hold) *hold {
	if hs.count.Add(1)%holdSweep == 0 {
		hs.sweep(ho.when.Add(-holdTime))
	}
	ot, met := hs.kept.LoadOrStore(requestID, ho)
	if !met {
		return nil
	}
	hs.kept.Delete(requestID)
	return ot.(*hold)
}

// sweep drops sides whose other never came, as when the sender settles nothing.
func (hs *holds) sweep(before time.Time) {
	hs.kept.Range(func(id, ho any) bool {
		if ho.(*hold).when.Before(before) {
			hs.kept.Delete(id)
		}
		return true
	})
}
