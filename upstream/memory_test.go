package upstream

import (
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an instance that runs out of memory: bodies without end at many requests at
// once must end, and those with an end be received meanwhile.
func TestBodiesWithoutEndShareMemory(t *testing.T) {
	qc := qt.New(t)
	const limit, endless, whole = 4 << 20, 60, 20
	chunk := []byte("10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n")
	ta := startServer(qc, func(pc *peerConn) {
		for rq := pc.readRequest(); rq != nil; rq = pc.readRequest() {
			pc.printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", rq.Header.Get("Request-Id"))
			if size, err := strconv.Atoi(rq.Header.Get("Size")); err == nil {
				pc.printf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("y", size))
				continue
			}
			pc.printf("Transfer-Encoding: chunked\r\n\r\n")
			for err := error(nil); err == nil; {
				_, err = pc.Write(chunk)
			}
			return
		}
	})
	ta.MaxConnections = endless + whole
	cl := newClient(qc, Config{BodyMemory: limit, DialTimeout: time.Minute})
	var wg sync.WaitGroup
	for range endless {
		wg.Go(func() {
			re := cl.Do(testContext(t), ta, newGet())
			qc.Check(re.Outcome, qt.Equals, Lost)
			qc.Check(re.Err, qt.ErrorIs, errBodyMemory)
		})
	}
	for range whole {
		wg.Go(func() {
			rq := newGet()
			rq.Header.Set("Size", "60000")
			re := cl.Do(testContext(t), ta, rq)
			qc.Check(re.Outcome, qt.Equals, Answered, qt.Commentf("%v", re.Err))
		})
	}
	wg.Wait()
	qc.Assert(cl.memory.Used(), qt.Equals, 0)
}

// Guards against memory that stays charged for a reply that nobody recycles.
func TestDroppedReplyReleasesMemory(t *testing.T) {
	qc := qt.New(t)
	ta := startServer(qc, func(pc *peerConn) {
		for rq := pc.readRequest(); rq != nil; rq = pc.readRequest() {
			pc.printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 300000\r\n\r\n%s", rq.Header.Get("Request-Id"), strings.Repeat("y", 300000))
		}
	})
	cl := newClient(qc, Config{})
	re := cl.Do(testContext(t), ta, newGet())
	checkAnswered(qc, re, true)
	qc.Assert(cl.memory.Used() > 0, qt.IsTrue)
	cl.Recycle(re.Reply)
	qc.Assert(cl.memory.Used(), qt.Equals, 0)
	qc.Assert(cl.Do(testContext(t), ta, newGet()).Outcome, qt.Equals, Answered)
	for cl.memory.Used() > 0 {
		runtime.GC()
	}
}
