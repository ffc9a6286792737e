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
	started  context.Context           // ends when the stop begins
	start    context.CancelFunc
}

func newStopState() stopState {
	started, start := context.WithCancel(context.Background())
	return stopState{history: shutdown.NewHistory(), started: started, start: start}
}

// AnswerBy makes the gateway answer all requests by the given time, since the process ends
// soon after it. Requests that can't be served by then are rejected as not run. At that
// time, those in flight get what is known of them: a merged answer of the parts that are
// in, if they suffice, or else a failure that says whether the request may have run.
func (sv *Server) AnswerBy(at time.Time) {
	sv.stop.answerBy.Store(&at)
	sv.stop.start()
}

// acceptUntil returns until when the request is accepted. It returns false if the instance
// isn't being stopped.
func (ca *call) acceptUntil() (time.Time, bool) {
	st := &ca.sv.stop
	answerBy := st.answerBy.Load()
	if answerBy == nil {
		return time.Time{}, false
	}
	return shutdown.AcceptUntil(*answerBy, shutdown.Request{
		Timeout: ca.timeout(), TargetLatency: ca.ro.TargetLatency, Expected: st.history.Expected(ca.ro.Name),
	}), true
}

// acceptStopping reports whether the request can be answered before the process ends, and
// rejects it if not. A request that is only partly received isn't awaited any longer then.
func (ca *call) acceptStopping() bool {
	until, stopping := ca.acceptUntil()
	if !stopping || ca.sv.ts.Now().Before(until) {
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
	unwatch := context.AfterFunc(ca.sv.stop.started, func() {
		defer close(finished)
		if until, stopping := ca.acceptUntil(); stopping {
			_ = rc.SetReadDeadline(until)
		}
	})
	return func() {
		if unwatch() {
			return
		}
		// Otherwise the server would take the deadline for a caller that has left. If it
		// has passed, the request is rejected.
		<-finished
		if until, _ := ca.acceptUntil(); ca.sv.ts.Now().Before(until) {
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
