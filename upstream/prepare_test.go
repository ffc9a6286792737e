package upstream

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A request goes to two servers one after the other. Each gets all of it, with its own
// id as the one that is meant.
func TestPrepare(t *testing.T) {
	qc := qt.New(t)
	var seen []*http.Request
	cl := newClient(qc, Config{})
	rq := post([]byte("body"))
	rq.SendTargetID, rq.Deadline = true, time.Now().Add(time.Hour)
	rq.Header.Set("Keep-Alive", "timeout=5")
	cl.Prepare(rq)
	for _, id := range []string{"i-1", "i-2"} {
		ta := serve(qc, func(pc *peerConn) {
			rq := pc.take()
			seen = append(seen, rq)
			pc.say("%s", good(rq.Header.Get("Request-Id")))
		})
		ta.ID = id
		checkGood(qc, cl.Do(within(t), ta, rq), true)
	}
	cl.Close()
	qc.Assert(seen, qt.HasLen, 2)
	for ix, id := range []string{"i-1", "i-2"} {
		qc.Assert(seen[ix].Header["Expect-Server"], qt.DeepEquals, []string{id})
		qc.Assert(seen[ix].Header["Deadline-Ms"], qt.HasLen, 1)
		qc.Assert(seen[ix].Header["Request-Id"], qt.DeepEquals, []string{rq.RequestID})
		qc.Assert(seen[ix].Header["Keep-Alive"], qt.IsNil)
		qc.Assert(seen[ix].ContentLength, qt.Equals, int64(4))
	}
}

// A line break in a header would begin another one. Prepared or not, no server gets
// such a request.
func TestPrepareRefused(t *testing.T) {
	qc := qt.New(t)
	cl := newClient(qc, Config{})
	rq := get()
	rq.Header.Set("Accept", "a\r\nb: c")
	cl.Prepare(rq)
	re := cl.Do(within(t), Target{ID: "i-1", Address: "192.0.2.1:1", MaxConnections: 1}, rq)
	qc.Assert(re.Outcome, qt.Equals, NotSent)
	qc.Assert(re.Err, qt.ErrorIs, ErrInvalidRequest)
}
