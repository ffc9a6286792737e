package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against content of a recycled reply in a later one: replies of various lengths,
// some of them chunked, must each have their own body and headers, and a reply that
// wasn't recycled must not change.
func TestRecycledReplyHasOwnContent(t *testing.T) {
	qc := qt.New(t)
	lengths := []int{700, 3, 0, 699, 2000, 90000, 1, 701}
	ta := startServer(qc, func(pc *peerConn) {
		for ix, le := range lengths {
			rq := pc.readRequest()
			id := rq.Header.Get("Request-Id")
			body := strings.Repeat(strconv.Itoa(ix), le)
			if ix%2 == 0 {
				pc.printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", id, le, body)
				continue
			}
			pc.printf("HTTP/1.1 500 Failed\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, le, body)
		}
	})
	cl := newClient(qc, Config{})
	var kept *Reply
	for ix, le := range lengths {
		re := cl.Do(testContext(t), ta, newGet())
		qc.Assert(re.Outcome, qt.Equals, Answered)
		ry := re.Reply
		qc.Assert(string(ry.Body), qt.Equals, strings.Repeat(strconv.Itoa(ix), le))
		qc.Assert(ry.Status == http.StatusOK, qt.Equals, ix%2 == 0)
		qc.Assert(ry.Stamp != "", qt.Equals, ix%2 == 0)
		if ix == 3 {
			kept = ry
			continue
		}
		cl.Recycle(ry)
	}
	qc.Assert(string(kept.Body), qt.Equals, strings.Repeat("3", lengths[3]))
	qc.Assert(kept.Status, qt.Equals, http.StatusInternalServerError)
}
