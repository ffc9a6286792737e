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

// A caller sees its order booked twice. The entry sends a request on a kept-open
// connection, the backend server reads it, begins, and closes the connection;
// an HTTP client that takes this for an idle close sends it again elsewhere.
func TestSentOnce(t *testing.T) {
	for _, nth := range []int{1, 2} { // the nth request of a connection is the one that is cut
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			served := 0
			fk := &fake{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
				served++
				return served != nth && write(nc, reply(rq))
			}}
			cl := newClient(t, backend.ClientConfig{Dial: fk.dial})
			var err error
			for range nth {
				_, err = cl.Do(context.Background(), target(2), request("r"))
			}
			check(c, err, backend.Cut, true)
			arrivals, _, _ := fk.seen()
			c.Check(arrivals, qt.HasLen, nth)
		})
	}
}

// A caller sees "outcome unknown" for an order on a quiet afternoon. The backend
// server closed the idle connection a moment ago; not a byte of the order left
// on it, so a new connection takes it.
func TestIdleClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fk := &fake{answer: func(nc net.Conn, nth int, rq backend.Request) bool {
			return write(nc, reply(rq)) && nth > 1
		}}
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial})
		for _, id := range []string{"r1", "r2"} {
			_, err := cl.Do(context.Background(), target(1), request(id))
			c.Assert(err, qt.IsNil)
			synctest.Wait()
		}
		arrivals, _, conns := fk.seen()
		c.Check(arrivals, qt.DeepEquals, []string{"r1", "r2"})
		c.Check(conns, qt.Equals, 2)
	})
}

// A fitter waits until the deadline, again and again, while the backend server
// is well. A device between the two has lost track of all connections open at
// that time: what is sent on them vanishes for good, while new ones work.
func TestSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lost := false
		quit := make(chan struct{})
		defer close(quit)
		fk := &fake{}
		fk.answer = func(nc net.Conn, nth int, rq backend.Request) bool {
			time.Sleep(time.Millisecond)
			if lost && nth <= 3 {
				<-quit
				return false
			}
			return write(nc, reply(rq))
		}
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial, SilenceTimeout: 100 * time.Millisecond})
		together(3, func(int) error {
			_, err := cl.Do(context.Background(), target(4), request("warm"))
			return err
		})
		c.Assert(cl.Stats("sv").Idle, qt.Equals, 3)
		lost = true
		ctx, cancel := within(time.Second)
		defer cancel()
		began := time.Now()
		_, err := cl.Do(ctx, target(4), request("r1"))
		check(c, err, backend.Silent, true)
		c.Check(time.Since(began), qt.Equals, 100*time.Millisecond)
		_, err = cl.Do(ctx, target(4), request("r1-again"))
		c.Assert(err, qt.IsNil)
		c.Check(time.Since(began) < 150*time.Millisecond, qt.IsTrue)
		synctest.Wait()
		_, cancels, _ := fk.seen()
		c.Check(cancels, qt.DeepEquals, []string{"r1"})
		c.Check(cl.Stats("sv").Silent, qt.Equals, uint64(1))
	})
}

// newSilent returns a client with two idle connections to a server, which may
// have two, after 10 ms in which each had a reply. They are silent from then on.
func newSilent(c *qt.C, t *testing.T, cf backend.ClientConfig) (*backend.Client, *fake) {
	lost := false
	fk := &fake{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
		time.Sleep(10 * time.Millisecond)
		return write(nc, reply(rq))
	}}
	fk.silent = func(nth int) bool { return lost && nth <= 2 }
	cf.Dial = fk.dial
	cl := newClient(t, cf)
	together(2, func(int) error {
		_, err := cl.Do(context.Background(), target(2), request("warm"))
		return err
	})
	c.Assert(cl.Stats("sv").Idle, qt.Equals, 2)
	lost = true
	return cl, fk
}

// A fitter's search misses a shard although it was hedged in time. The hedge
// took another idle connection, which had gone silent in the same moment. All
// places are taken by such connections, so one has to go for a new one. That it
// works says nothing for the others, so the server still counts as not heard.
func TestProvedSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl, _ := newSilent(c, t, backend.ClientConfig{SilenceTimeout: time.Second})
		replied := time.Now()
		time.Sleep(10 * time.Millisecond)
		ta := target(2)
		go cl.Do(c.Context(), ta, request("lost"))
		synctest.Wait()
		ta.ReplySince = time.Now()
		time.Sleep(10 * time.Millisecond)
		_, err := cl.Do(context.Background(), ta, request("hedge"))
		c.Assert(err, qt.IsNil)
		c.Check(cl.LastReply("sv", "lost"), qt.Equals, replied)
		_, err = cl.Do(context.Background(), ta, request("again")) // over the proved one
		c.Assert(err, qt.IsNil)
		c.Check(cl.Stats("sv").Opened, qt.Equals, uint64(3))
	})
}

// A service answers "overloaded" while its backend servers are idle. Requests
// were lost on silent connections and given up for hedges, and their Cancels
// went over silent connections too, so their slots stayed taken for seconds.
// The word that a request doesn't run frees its slot at once, and as no reply
// follows, the other connections of that age go before they cost a request each.
func TestCancelOfLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		settled := make(chan time.Duration, 1)
		began := time.Now()
		var got backend.AbandonedRequest
		cl, fk := newSilent(c, t, backend.ClientConfig{OnAbandoned: func(se backend.AbandonedRequest) {
			got = se
			settled <- time.Since(began)
		}})
		ctx, cancel := within(time.Hour)
		time.AfterFunc(50*time.Millisecond, cancel)
		ta := target(2)
		ta.LateThreshold = 50 * time.Millisecond
		_, err := cl.Do(ctx, ta, request("r1"))
		check(c, err, backend.Cancelled, true)
		c.Check(<-settled, qt.Equals, 60*time.Millisecond)
		c.Check(got, qt.Equals, backend.AbandonedRequest{Server: "sv", RequestID: "r1", Stopped: true})
		_, cancels, _ := fk.seen()
		c.Check(cancels, qt.DeepEquals, []string{"r1"})
		time.Sleep(time.Second / 2)
		st := cl.Stats("sv")
		c.Check([]any{st.Lost, st.Open, st.Idle}, qt.DeepEquals, []any{uint64(1), 1, 1})
	})
}

// A long answer that keeps coming is no silent connection.
func TestSlowIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fk := &fake{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
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

// A parent sees another family's classes. The backend server, or something
// before it, gives a reply to another request, late or twice; the next request
// on that connection would take it for its own.
func TestCrossed(t *testing.T) {
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
				fk := &fake{answer: func(nc net.Conn, nth int, rq backend.Request) bool {
					if nth > 1 {
						return write(nc, reply(rq))
					}
					answer(nc, reply(rq))
					return true
				}}
				cl := newClient(t, backend.ClientConfig{Dial: fk.dial})
				_, err := cl.Do(context.Background(), target(2), request("r1"))
				check(c, err, backend.Crossed, true)
				re, err := cl.Do(context.Background(), target(2), request("r2"))
				c.Assert(err, qt.IsNil)
				c.Check(re.RequestID, qt.Equals, "r2")
				c.Check(fk.carried(1), qt.Equals, 1)
			})
		})
	}
}

// A fitter's search fails although the backend server is well: it gave the reply
// before twice, and the second copy met this search. The copy shows behind the
// first, so the connection is not used again.
func TestDoubled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fk := &fake{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
			bs := encode(reply(rq))
			nc.Write(append(bs, bs...))
			return true
		}}
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial})
		for _, id := range []string{"r1", "r2"} {
			_, err := cl.Do(context.Background(), target(2), request(id))
			c.Assert(err, qt.IsNil)
		}
		c.Check(fk.carried(1), qt.Equals, 1)
	})
}

// Replies that are no replies are refused with their kind; the connection ends.
func TestMalformed(t *testing.T) {
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
			fk := &fake{answer: func(nc net.Conn, _ int, _ backend.Request) bool {
				nc.Write([]byte(tc.raw))
				return tc.kind == backend.Malformed
			}}
			cl := newClient(t, backend.ClientConfig{Dial: fk.dial, MaxReplyBytes: 500})
			_, err := cl.Do(context.Background(), target(1), request("r1"))
			check(c, err, tc.kind, true)
			cl.Do(context.Background(), target(1), request("r2"))
			c.Check(fk.carried(1), qt.Equals, 1)
		})
	}
}

// Sent is false only when surely no byte left: these never reach the server.
func TestNotSent(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	short, cancel := within(time.Microsecond)
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
		fk := &fake{answer: func(net.Conn, int, backend.Request) bool { return false }}
		cf := backend.ClientConfig{Dial: fk.dial}
		if tc.ta.Server == "by-name" {
			cf.Dial = nil
		}
		cl := newClient(t, cf)
		cl.Cancel(context.Background(), target(0), "none") // makes incarnation 1 known
		_, err := cl.Do(tc.ctx, tc.ta, tc.rq)
		check(c, err, tc.kind, false)
		arrivals, _, _ := fk.seen()
		c.Check(arrivals, qt.HasLen, 0)
	}
}

// The time left goes along; a passed deadline ends the wait, and the late reply
// makes the connection fit for use again.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fk := &fake{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
			time.Sleep(300 * time.Millisecond)
			return write(nc, reply(rq))
		}}
		settled := make(chan backend.AbandonedRequest, 1)
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial, OnAbandoned: func(se backend.AbandonedRequest) { settled <- se }})
		ctx, cancel := within(250 * time.Millisecond)
		defer cancel()
		_, err := cl.Do(ctx, target(1), request("r1"))
		check(c, err, backend.Deadline, true)
		synctest.Wait()
		c.Check(fk.timeouts, qt.DeepEquals, []int64{250})
		c.Check(cl.Stats("sv").Lingering, qt.Equals, 1)
		c.Check(<-settled, qt.Equals, backend.AbandonedRequest{Server: "sv", RequestID: "r1", Stopped: true})
		_, err = cl.Do(context.Background(), target(1), request("r2"))
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		_, cancels, conns := fk.seen()
		c.Check(cancels, qt.HasLen, 0)
		c.Check(conns, qt.Equals, 1)
	})
}

// A hedge's loser goes on to hold its slot: the share is one connection, which
// carries the request, so no Cancel can be sent. The end of that connection says
// it, and the next request waits for its place.
func TestCancelOnLastConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		heard := make(chan time.Time, 1)
		fk := &fake{answer: func(nc net.Conn, nth int, rq backend.Request) bool {
			if nth > 1 {
				return write(nc, reply(rq))
			}
			nc.Read(make([]byte, 1))
			heard <- time.Now()
			return false
		}}
		cl := newClient(t, backend.ClientConfig{Dial: fk.dial})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Millisecond, cancel)
		_, err := cl.Do(ctx, target(1), request("r1"))
		check(c, err, backend.Cancelled, true)
		cancelled := time.Now()
		c.Check((<-heard).Sub(cancelled), qt.Equals, time.Duration(0))
		_, err = cl.Do(context.Background(), target(1), request("r2"))
		c.Assert(err, qt.IsNil)
	})
}

// A backend server refuses connections after it was absent from the view for a
// moment: the connections from before are forgotten, but still open.
func TestRetainCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		answer := make(chan struct{})
		fk := &fake{answer: func(nc net.Conn, _ int, rq backend.Request) bool {
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
		check(c, err, backend.NoConnection, false)
		close(answer)
		c.Check(<-first, qt.IsNil)
	})
}

func together(nu int, fn func(i int) error) []error {
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
