package upstream

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// When a prepared request is sent to two servers, each must get the complete request with
// its own ID as the target.
func TestPreparedRequestToTwoServers(t *testing.T) {
	qc := qt.New(t)
	var seen []*http.Request
	cl := newClient(qc, Config{})
	rq := newPost([]byte("body"))
	rq.SendTargetID, rq.Deadline = true, time.Now().Add(time.Hour)
	rq.Header.Set("Keep-Alive", "timeout=5")
	cl.Prepare(rq)
	for _, id := range []string{"i-1", "i-2"} {
		ta := startServer(qc, func(pc *peerConn) {
			rq := pc.readRequest()
			seen = append(seen, rq)
			pc.printf("%s", okReply(rq.Header.Get("Request-Id")))
		})
		ta.ID = id
		checkAnswered(qc, cl.Do(testContext(t), ta, rq), true)
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

// Guards against header injection by a line break in a header value: a request with one
// must not be sent, even if it was prepared.
func TestPreparedInvalidRequestIsRefused(t *testing.T) {
	qc := qt.New(t)
	cl := newClient(qc, Config{})
	rq := newGet()
	rq.Header.Set("Accept", "a\r\nb: c")
	cl.Prepare(rq)
	re := cl.Do(testContext(t), Target{ID: "i-1", Address: "192.0.2.1:1", MaxConnections: 1}, rq)
	qc.Assert(re.Outcome, qt.Equals, NotSent)
	qc.Assert(re.Err, qt.ErrorIs, ErrInvalidRequest)
}
