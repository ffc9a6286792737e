package backend_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/backend"
)

// Guards against running an order twice. The backend server reads a request on
// a kept-alive connection, begins it and closes the connection. An HTTP client
// that takes this for an idle close sends the request again elsewhere.
func TestNotResentWhenConnectionClosesMidRequest(t *testing.T) {
	for _, failing := range []int{1, 2} { // the connection is closed during this request
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			served := 0
			fk := &fakeServer{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
				served++
				return served != failing && write(nc, reply(rq))
			}}
			cl := newClient(t, backend.ClientConfig{Dial: fk.dial})
			var err error
			for range failing {
				_, err = cl.Do(context.Background(), target(2), request("r"))
			}
			checkError(c, err, backend.Cut, true)
			arrivals, _, _ := fk.received()
			c.Check(arrivals, qt.HasLen, failing)
		})
	}
}

// Guards against "outcome unknown" for an order that was never sent. The
// backend server has just closed the idle connection. No byte of the order was
// sent on it, so a new connection takes it.
func TestResentWhenIdleConnectionWasClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fk := &fakeServer{answer: func(nc net.Conn, nth int, rq backend.Request) bool {
			return write(nc, reply(rq)) && nth > 1
		}}
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial})
		for _, id := range []string{"r1", "r2"} {
			_, err := cl.Do(context.Background(), target(1), request(id))
			c.Assert(err, qt.IsNil)
			synctest.Wait()
		}
		arrivals, _, conns := fk.received()
		c.Check(arrivals, qt.DeepEquals, []string{"r1", "r2"})
		c.Check(conns, qt.Equals, 2)
	})
}

// Guards against one request after another waiting until its deadline although
// the backend server is healthy. A device between the two ends has lost track
// of all connections open at that time: requests on them vanish, while new
// connections work.
func TestSilentConnectionClosesIdleOnesOfItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lost := false
		quit := make(chan struct{})
		defer close(quit)
		fk := &fakeServer{}
		fk.answer = func(nc net.Conn, nth int, rq backend.Request) bool {
			time.Sleep(time.Millisecond)
			if lost && nth <= 3 {
				<-quit
				return false
			}
			return write(nc, reply(rq))
		}
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial, SilenceTimeout: 100 * time.Millisecond})
		runParallel(3, func(int) error {
			_, err := cl.Do(context.Background(), target(4), request("warm"))
			return err
		})
		c.Assert(cl.Stats("sv").Idle, qt.Equals, 3)
		lost = true
		ctx, cancel := withTimeout(time.Second)
		defer cancel()
		began := time.Now()
		_, err := cl.Do(ctx, target(4), request("r1"))
		checkError(c, err, backend.Silent, true)
		c.Check(time.Since(began), qt.Equals, 100*time.Millisecond)
		_, err = cl.Do(ctx, target(4), request("r1-again"))
		c.Assert(err, qt.IsNil)
		c.Check(time.Since(began) < 150*time.Millisecond, qt.IsTrue)
		synctest.Wait()
		_, cancels, _ := fk.received()
		c.Check(cancels, qt.DeepEquals, []string{"r1"})
		c.Check(cl.Stats("sv").Silent, qt.Equals, uint64(1))
	})
}

// newSilentClient returns a client whose two idle connections, the server's
// maximum, have each received a reply after 10 ms. They are silent from then
// on.
func newSilentClient(c *qt.C, t *testing.T, cf backend.ClientConfig) (*backend.Client, *fakeServer) {
	silent := false
	fk := &fakeServer{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
		time.Sleep(10 * time.Millisecond)
		return write(nc, reply(rq))
	}}
	fk.silent = func(nth int) bool { return silent && nth <= 2 }
	cf.Dial = fk.dial
	cl := newClient(t, cf)
	runParallel(2, func(int) error {
		_, err := cl.Do(context.Background(), target(2), request("warm"))
		return err
	})
	c.Assert(cl.Stats("sv").Idle, qt.Equals, 2)
	silent = true
	return cl, fk
}

// Guards against a missing shard although the hedge was sent in time: the hedge
// took another idle connection that had gone silent at the same moment. All
// connections of the share are silent, so one must be closed for a new one.
// That the new one works says nothing about the others, so the server still
// counts as unresponsive.
func TestHedgeAvoidsSilentIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl, _ := newSilentClient(c, t, backend.ClientConfig{SilenceTimeout: time.Second})
		replied := time.Now()
		time.Sleep(10 * time.Millisecond)
		ta := target(2)
		ctx, cancel := context.WithCancel(context.Background())
		go cl.Do(ctx, ta, request("lost"))
		synctest.Wait()
		ta.ReplySince = time.Now()
		time.Sleep(10 * time.Millisecond)
		_, err := cl.Do(context.Background(), ta, request("hedge"))
		c.Assert(err, qt.IsNil)
		c.Check(cl.LastReply("sv", "lost"), qt.Equals, replied)
		_, err = cl.Do(context.Background(), ta, request("again")) // over the connection that replied
		c.Assert(err, qt.IsNil)
		c.Check(cl.Stats("sv").Opened, qt.Equals, uint64(3))
		cancel()
		time.Sleep(time.Second) // The clock stops with the test, and what the request leaves behind needs it.
	})
}

// Guards against "overloaded" while backend servers are idle. Requests were
// lost on silent connections and abandoned for hedges, and their Cancels went
// over silent connections too, so their slots stayed taken for seconds. The
// server's confirmation that it does not run a request frees its slot at once.
// Since no reply follows, the other connections of that age are closed before
// they cost a request each.
func TestCancelAvoidsSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		abandoned := make(chan time.Duration, 1)
		began := time.Now()
		var got backend.AbandonedRequest
		cl, fk := newSilentClient(c, t, backend.ClientConfig{OnAbandoned: func(ar backend.AbandonedRequest) {
			got = ar
			abandoned <- time.Since(began)
		}})
		ctx, cancel := withTimeout(time.Hour)
		time.AfterFunc(50*time.Millisecond, cancel)
		ta := target(2)
		ta.LateThreshold = 50 * time.Millisecond
		_, err := cl.Do(ctx, ta, request("r1"))
		checkError(c, err, backend.Cancelled, true)
		c.Check(<-abandoned, qt.Equals, 60*time.Millisecond)
		c.Check(got, qt.Equals, backend.AbandonedRequest{Server: "sv", RequestID: "r1", Stopped: true})
		_, cancels, _ := fk.received()
		c.Check(cancels, qt.DeepEquals, []string{"r1"})
		time.Sleep(time.Second / 2)
		st := cl.Stats("sv")
		c.Check([]any{st.Lost, st.Open, st.Idle}, qt.DeepEquals, []any{uint64(1), 1, 1})
	})
}

// A long reply that keeps arriving does not count as a silent connection.
func TestSlowReplyIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fk := &fakeServer{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
			for _, by := range encode(reply(rq)) {
				time.Sleep(90 * time.Millisecond)
				nc.Write([]byte{by})
			}
			return true
		}}
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial, SilenceTimeout: 100 * time.Millisecond})
		_, err := cl.Do(context.Background(), target(1), request("r1"))
		c.Assert(err, qt.IsNil)
	})
}

// Guards against returning another caller's rows. The backend server, or
// something in front of it, sends a reply to another request, late or twice;
// the next request on that connection would take it for its own.
func TestMismatchedReplyIsRejected(t *testing.T) {
	replies := map[string]func(nc net.Conn, re backend.Reply){
		"RequestID": func(nc net.Conn, re backend.Reply) { re.RequestID = "other"; write(nc, re) },
		"Server":    func(nc net.Conn, re backend.Reply) { re.Server = "other"; write(nc, re) },
		"Shard":     func(nc net.Conn, re backend.Reply) { re.Shard = "other"; write(nc, re) },
		"Snapshot":  func(nc net.Conn, re backend.Reply) { re.Snapshot.Version++; write(nc, re) },
		"late": func(nc net.Conn, re backend.Reply) {
			re.RequestID = "r0"
			write(nc, re)
			re.RequestID = "r1"
			write(nc, re)
		},
	}
	for name, answer := range replies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				fk := &fakeServer{answer: func(nc net.Conn, nth int, rq backend.Request) bool {
					if nth > 1 {
						return write(nc, reply(rq))
					}
					answer(nc, reply(rq))
					return true
				}}
				cl := newClient(t, backend.ClientConfig{Dial: fk.dial})
				_, err := cl.Do(context.Background(), target(2), request("r1"))
				checkError(c, err, backend.Crossed, true)
				re, err := cl.Do(context.Background(), target(2), request("r2"))
				c.Assert(err, qt.IsNil)
				c.Check(re.RequestID, qt.Equals, "r2")
				c.Check(fk.numRequests(1), qt.Equals, 1)
			})
		})
	}
}

// Guards against failing a request although the backend server is healthy: it
// sent the previous reply twice, and the second copy met this request. The copy
// is detected after the first reply, so the connection is not reused.
func TestDuplicateReplyEndsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fk := &fakeServer{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
			bs := encode(reply(rq))
			nc.Write(append(bs, bs...))
			return true
		}}
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial})
		for _, id := range []string{"r1", "r2"} {
			_, err := cl.Do(context.Background(), target(2), request(id))
			c.Assert(err, qt.IsNil)
		}
		c.Check(fk.numRequests(1), qt.Equals, 1)
	})
}

// Invalid replies are rejected with their error kind, and the connection is
// closed.
func TestMalformedReplyIsRejected(t *testing.T) {
	for _, tc := range []struct {
		raw  string
		kind backend.ErrorKind
	}{
		{"nonsense\r\n\r\n", backend.Malformed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nnonsense", backend.Malformed},
		{"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}", backend.Malformed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + `{"RequestID":"r1"}`, backend.Cut},
		{"HTTP/1.1 200", backend.Cut},
		{"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" + `{"RequestID":"r1","Server":"sv","Shard":"a","Snapshot":{"Partition":1,"Version":1},"Code":"X"}`, backend.Malformed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n" + string(make([]byte, 999)), backend.Malformed},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fk := &fakeServer{answer: func(nc net.Conn, _ int, _ backend.Request) bool {
				nc.Write([]byte(tc.raw))
				return tc.kind == backend.Malformed
			}}
			cl := newClient(t, backend.ClientConfig{Dial: fk.dial, MaxReplyBytes: 500})
			_, err := cl.Do(context.Background(), target(1), request("r1"))
			checkError(c, err, tc.kind, true)
			cl.Do(context.Background(), target(1), request("r2"))
			c.Check(fk.numRequests(1), qt.Equals, 1)
		})
	}
}

// Sent is false only when certainly no byte was sent: these requests never
// reach the server.
func TestErrorsBeforeSending(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	short, cancel := withTimeout(time.Microsecond)
	defer cancel()
	<-short.Done()
	bad := request("r1")
	bad.Query = []byte("{")
	old := target(1)
	old.Incarnation, old.Address = 0, "127.0.0.1:2"
	for _, tc := range []struct {
		ctx  context.Context
		ta   backend.Target
		rq   backend.Request
		kind backend.ErrorKind
	}{
		{ended, target(1), request("r1"), backend.Cancelled},
		{short, target(1), request("r1"), backend.Deadline},
		{context.Background(), target(0), request("r1"), backend.NoConnection},
		{context.Background(), target(1), bad, backend.Malformed},
		{context.Background(), backend.Target{Server: "by-name", Address: "localhost:1", MaxConnections: 1}, request("r1"), backend.DialFailed},
		{context.Background(), old, request("r1"), backend.DialFailed},
	} {
		c := qt.New(t)
		fk := &fakeServer{answer: func(net.Conn, int, backend.Request) bool { return false }}
		cf := backend.ClientConfig{Dial: fk.dial}
		if tc.ta.Server == "by-name" {
			cf.Dial = nil
		}
		cl := newClient(t, cf)
		cl.Cancel(context.Background(), target(0), "none") // introduces incarnation 1
		_, err := cl.Do(tc.ctx, tc.ta, tc.rq)
		checkError(c, err, tc.kind, false)
		arrivals, _, _ := fk.received()
		c.Check(arrivals, qt.HasLen, 0)
	}
}

// The time left is sent with the request. When the deadline passes, the caller
// stops waiting, and the late reply makes the connection reusable.
func TestConnectionReusedAfterLateReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fk := &fakeServer{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
			time.Sleep(300 * time.Millisecond)
			return write(nc, reply(rq))
		}}
		abandoned := make(chan backend.AbandonedRequest, 1)
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial, OnAbandoned: func(ar backend.AbandonedRequest) { abandoned <- ar }})
		ctx, cancel := withTimeout(250 * time.Millisecond)
		defer cancel()
		_, err := cl.Do(ctx, target(1), request("r1"))
		checkError(c, err, backend.Deadline, true)
		synctest.Wait()
		c.Check(fk.timeouts, qt.DeepEquals, []int64{250})
		c.Check(cl.Stats("sv").Lingering, qt.Equals, 1)
		c.Check(<-abandoned, qt.Equals, backend.AbandonedRequest{Server: "sv", RequestID: "r1", Stopped: true})
		_, err = cl.Do(context.Background(), target(1), request("r2"))
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		_, cancels, conns := fk.received()
		c.Check(cancels, qt.HasLen, 0)
		c.Check(conns, qt.Equals, 1)
	})
}

// Guards against a cancelled request that keeps its slot: the share is one
// connection, which carries the request, so no Cancel can be sent. Closing that
// connection cancels the request, and the next request waits until it may open
// another.
func TestCancelByClosingLastConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		closedAt := make(chan time.Time, 1)
		fk := &fakeServer{answer: func(nc net.Conn, nth int, rq backend.Request) bool {
			if nth > 1 {
				return write(nc, reply(rq))
			}
			nc.Read(make([]byte, 1))
			closedAt <- time.Now()
			return false
		}}
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Millisecond, cancel)
		_, err := cl.Do(ctx, target(1), request("r1"))
		checkError(c, err, backend.Cancelled, true)
		cancelled := time.Now()
		c.Check((<-closedAt).Sub(cancelled), qt.Equals, time.Duration(0))
		_, err = cl.Do(context.Background(), target(1), request("r2"))
		c.Assert(err, qt.IsNil)
	})
}

// Guards against connections refused by a backend server that was missing from
// the view for a moment: its earlier connections are still open and must still
// count.
func TestRemovedServerConnectionsStillCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		answer := make(chan struct{})
		fk := &fakeServer{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
			<-answer
			return write(nc, reply(rq))
		}}
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial})
		first := make(chan error)
		go func() {
			_, err := cl.Do(context.Background(), target(1), request("r1"))
			first <- err
		}()
		synctest.Wait()
		cl.SetTargets(nil)
		_, err := cl.Do(context.Background(), target(1), request("r2"))
		checkError(c, err, backend.NoConnection, false)
		close(answer)
		c.Check(<-first, qt.IsNil)
	})
}

func runParallel(nu int, fn func(i int) error) []error {
	errs := make([]error, nu)
	done := make(chan struct{})
	for i := range nu {
		go func() {
			errs[i] = fn(i)
			done <- struct{}{}
		}()
	}
	for range nu {
		<-done
	}
	return errs
}
