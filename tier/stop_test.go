package tier_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an entry instance that is stopped and ends the connection of a request
// which a backend server still runs: its caller must get an answer, whether the request
// came before or during the stop.
func TestStopAnswersRequestInFlight(t *testing.T) {
	cl := newCluster(t, 1, 1)
	co, en := cl.controls[0], cl.entries[0]
	cl.configure(config(1, "s1", "/extra/"), co)
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	cl.startServer("s1", "i-s1-held", func(*backend) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, rq *http.Request) {
			arrived <- struct{}{}
			select {
			case <-rq.Context().Done():
			case <-release:
			}
		})
	})
	t.Cleanup(func() { close(release) })
	cl.awaitResolved(co, en)
	answers := make(chan *response, 2)
	ask := func() {
		go func() {
			re := cl.get(en, "/one/a")
			for re.status == http.StatusServiceUnavailable { // The server isn't known yet.
				re = cl.get(en, "/one/a")
			}
			answers <- re
		}()
		select {
		case <-arrived:
		case re := <-answers:
			t.Fatalf("status %d before the request reached the server: %s", re.status, re.body)
		}
	}
	ask()
	en.stop()
	cl.await("the instance drains", func() bool { return cl.readyStatus(en) != http.StatusOK })
	ask()
	for range 2 {
		qt.Assert(t, (<-answers).status, qt.Equals, http.StatusGatewayTimeout)
	}
	qt.Assert(t, en.shutdown(), qt.IsNil)
}

// Guards against a control instance that is stopped and ends the connection of an
// operator's call that it has read.
func TestStopAnswersOperator(t *testing.T) {
	cl := newCluster(t, 3, 0)
	cl.configure(config(1, "s1", "/extra/"), cl.controls...)
	co := cl.controls[0]
	for _, other := range cl.controls[1:] {
		qt.Assert(t, other.shutdown(), qt.IsNil)
	}
	nc, err := net.Dial("tcp4", co.se.Listen.Control)
	qt.Assert(t, err, qt.IsNil)
	defer nc.Close()
	rd := bufio.NewReader(nc)
	body := config(2, "s1", "/extra/")
	_, _ = fmt.Fprintf(nc, "PUT /config HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body))
	rs, err := http.ReadResponse(rd, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rs.StatusCode, qt.Equals, http.StatusContinue)
	_, _ = nc.Write(body)
	co.stop()
	rs, err = http.ReadResponse(rd, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rs.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("there is no majority"))
	qt.Assert(t, co.shutdown(), qt.IsNil)
}
