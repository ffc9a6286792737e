package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"balsamwinch.example/shutdown"
)

// stopState is the state of a stop of the instance.
type stopState struct {
	history  *shutdown.History
	answerBy atomic.Pointer[time.Time] // nil unless the instance is being stopped
	serving  context.Context           // ends when the stop begins
	begin    context.CancelFunc
}

func newStopState() stopState {
	serving, begin := context.WithCancel(context.Background())
	return stopState{history: shutdown.NewHistory(), serving: serving, begin: begin}
}

// AnswerBy makes the gateway answer all requests by the given time, since the process ends
// soon after it. Requests that can't be served by then are rejected as not run. At that
// time, those in flight get what is known of them: a merged answer of the parts that are
// in, if they suffice, or else a failure that says whether the request may have run.
func (sv *Server) AnswerBy(at time.Time) {
	sv.stop.answerBy.Store(&at)
	sv.stop.begin()
}

// acceptanceEnd returns until when the request is accepted, or the zero time if the instance
// isn't being stopped. Once known, it stays the same.
func (ca *call) acceptanceEnd() time.Time {
	st := &ca.sv.stop
	if answerBy := st.answerBy.Load(); answerBy != nil && ca.acceptUntil.IsZero() {
		ca.acceptUntil = shutdown.AcceptUntil(*answerBy, shutdown.Request{
			Timeout: ca.timeout(), TargetLatency: ca.ro.TargetLatency, Expected: st.history.Expected(ca.ro.Name),
		})
	}
	return ca.acceptUntil
}

// acceptStopping reports whether the request can be answered before the process ends, and
// rejects it if not. A request that is only partly received isn't awaited any longer then.
func (ca *call) acceptStopping() bool {
	if until := ca.acceptanceEnd(); until.IsZero() || ca.sv.ts.Now().Before(until) {
		return true
	}
	ca.wr.Header().Set("Connection", "close")
	ca.reject(reasonStopping, retryAfterStopping)
	return false
}

// limitBodyRead ends the read of the body at the time from which the request would be
// rejected, if the instance is stopped before the body is complete. The returned function
// must be called after the read.
func (ca *call) limitBodyRead() (done func()) {
	rc := http.NewResponseController(ca.wr)
	finished := make(chan struct{})
	unwatch := context.AfterFunc(ca.sv.stop.serving, func() {
		defer close(finished)
		_ = rc.SetReadDeadline(ca.acceptanceEnd())
	})
	return func() {
		if unwatch() {
			return
		}
		// Otherwise the server would take the deadline for a caller that has left. If it
		// has passed, the request is rejected.
		<-finished
		if ca.sv.ts.Now().Before(ca.acceptanceEnd()) {
			_ = rc.SetReadDeadline(time.Time{})
		}
	}
}

// stopBy makes the query end by the time by which all requests must be answered. It
// returns false if the instance isn't being stopped.
func (ex *executor) stopBy() bool {
	answerBy := ex.ca.sv.stop.answerBy.Load()
	if answerBy == nil {
		return false
	}
	ex.qu.EndBy(*answerBy)
	rq := *ex.rq // Attempts in flight use the earlier one.
	rq.Deadline = earlier(rq.Deadline, *answerBy)
	ex.rq = &rq
	return true
}

// stopped reports whether the time by which all requests must be answered has come.
func (sv *Server) stopped() bool {
	answerBy := sv.stop.answerBy.Load()
	return answerBy != nil && !sv.ts.Now().Before(*answerBy)
}
