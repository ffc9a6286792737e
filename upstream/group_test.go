package upstream

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// A caller leaves while three servers work for it. All three see the end of their
// connections at once, and what would be sent for it later stays here.
func TestGroupEnds(t *testing.T) {
	qc := qt.New(t)
	ctx, cancel := WithCancel(within(t))
	cl := newClient(qc, Config{})
	took, ended := make(chan struct{}), make(chan struct{})
	var tas []Target
	var holds []<-chan Result
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		ta := serve(qc, func(pc *peerConn) {
			pc.take()
			took <- struct{}{}
			pc.awaitEnd()
			ended <- struct{}{}
		})
		ta.ID = id
		tas = append(tas, ta)
		holds = append(holds, async(ctx, cl, ta, get()))
	}
	for range holds {
		<-took
	}
	cancel(context.Canceled)
	for _, hold := range holds {
		re := <-hold
		qc.Assert(re.Outcome, qt.Equals, Canceled)
		qc.Assert(re.Err, qt.ErrorIs, context.Canceled)
		qc.Assert(re.Sent, qt.IsTrue)
		<-ended
	}
	re := cl.Do(ctx, tas[0], get())
	qc.Assert(re.Outcome, qt.Equals, Canceled)
	qc.Assert(re.Sent, qt.IsFalse)
}

// A request has its reply, and its connection carries another caller's when the first
// caller's context ends. The second request isn't interrupted; one of the first caller
// that is still under way is.
func TestGroupEndsAfterReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qc := qt.New(t)
		goOn := make(chan struct{})
		cl := newClient(qc, Config{Connect: chatter(func(pc *peerConn) {
			if pc.nth > 0 {
				pc.awaitEnd()
				return
			}
			pc.answerOne()
			rq := pc.take()
			<-goOn
			pc.say("%s", good(rq.Header.Get("Request-Id")))
		}, qc)})
		ta, other := Target{ID: "i-1", MaxConnections: 1}, Target{ID: "i-2", MaxConnections: 1}
		first, cancelFirst := WithCancel(t.Context())
		second, cancelSecond := WithCancel(t.Context())
		defer cancelSecond(nil)
		checkGood(qc, cl.Do(first, ta, get()), true)
		under := async(first, cl, other, get())
		hold := async(second, cl, ta, get())
		synctest.Wait()
		cancelFirst(context.Canceled)
		qc.Assert((<-under).Outcome, qt.Equals, Canceled)
		synctest.Wait()
		close(goOn)
		checkGood(qc, <-hold, false)
	})
}
