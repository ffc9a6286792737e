package upstream

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// When a caller cancels while three servers work on its requests, all three must see the
// end of their connections at once, and later requests with the context must not be sent.
func TestCancelGroupInterruptsAll(t *testing.T) {
	qc := qt.New(t)
	ctx, cancel := WithCancel(testContext(t))
	cl := newClient(qc, Config{})
	requestRead, ended := make(chan struct{}), make(chan struct{})
	var tas []Target
	var results []<-chan Result
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		ta := startServer(qc, func(pc *peerConn) {
			pc.readRequest()
			requestRead <- struct{}{}
			pc.awaitClose()
			ended <- struct{}{}
		})
		ta.ID = id
		tas = append(tas, ta)
		results = append(results, async(ctx, cl, ta, newGet()))
	}
	for range results {
		<-requestRead
	}
	cancel(context.Canceled)
	for _, result := range results {
		re := <-result
		qc.Assert(re.Outcome, qt.Equals, Canceled)
		qc.Assert(re.Err, qt.ErrorIs, context.Canceled)
		qc.Assert(re.Sent, qt.IsTrue)
		<-ended
	}
	re := cl.Do(ctx, tas[0], newGet())
	qc.Assert(re.Outcome, qt.Equals, Canceled)
	qc.Assert(re.Sent, qt.IsFalse)
}

// Guards against an interruption that hits another request: the first caller's context
// ends after its reply, when another caller's request is in flight on the same
// connection. That request must not be interrupted; another request of the first caller
// that is in flight must be.
func TestCancelGroupSparesReusedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qc := qt.New(t)
		proceed := make(chan struct{})
		cl := newClient(qc, Config{Connect: pipeConnector(func(pc *peerConn) {
			if pc.nth > 0 {
				pc.awaitClose()
				return
			}
			pc.answerOne()
			rq := pc.readRequest()
			<-proceed
			pc.printf("%s", okReply(rq.Header.Get("Request-Id")))
		}, qc)})
		ta, other := Target{ID: "i-1", MaxConnections: 1}, Target{ID: "i-2", MaxConnections: 1}
		first, cancelFirst := WithCancel(t.Context())
		second, cancelSecond := WithCancel(t.Context())
		defer cancelSecond(nil)
		checkAnswered(qc, cl.Do(first, ta, newGet()), true)
		inFlight := async(first, cl, other, newGet())
		result := async(second, cl, ta, newGet())
		synctest.Wait()
		cancelFirst(context.Canceled)
		qc.Assert((<-inFlight).Outcome, qt.Equals, Canceled)
		synctest.Wait()
		close(proceed)
		checkAnswered(qc, <-result, false)
	})
}
