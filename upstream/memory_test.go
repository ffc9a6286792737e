package upstream

import (
	"net/http"
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
		rq, err := http.ReadRequest(pc.rd)
		if err != nil {
			return
		}
		pc.printf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", rq.Header.Get("Request-Id"))
		if size, err := strconv.Atoi(rq.Header.Get("Size")); err == nil {
			pc.printf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("y", size))
			return
		}
		pc.printf("Transfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			_, err = pc.Write(chunk)
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
	qc.Assert([]int{cl.memory.used, cl.memory.holders}, qt.DeepEquals, []int{0, 0})
}

func TestBodyMemory(t *testing.T) {
	c := qt.New(t)
	bm := &bodyMemory{limit: 1 << 20}
	first, ok := bm.reserve(0, freeBodyBytes)
	c.Assert([]any{first, ok}, qt.DeepEquals, []any{0, true})
	first, ok = bm.reserve(0, 1<<20)
	c.Assert([]any{first, ok}, qt.DeepEquals, []any{1 << 20, true})
	_, ok = bm.reserve(first, 1<<20+1)
	c.Assert(ok, qt.IsFalse)
	second, ok := bm.reserve(0, 1<<19) // its share, though nothing is free
	c.Assert([]any{second, ok}, qt.DeepEquals, []any{1 << 19, true})
	_, ok = bm.reserve(second, 1<<19+1)
	c.Assert(ok, qt.IsFalse)
	bm.release(first)
	_, ok = bm.reserve(second, 1<<20)
	c.Assert(ok, qt.IsTrue)
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
	used := func() int {
		cl.memory.mu.Lock()
		defer cl.memory.mu.Unlock()
		return cl.memory.used
	}
	re := cl.Do(testContext(t), ta, newGet())
	checkAnswered(qc, re, true)
	qc.Assert(used() > 0, qt.IsTrue)
	cl.Recycle(re.Reply)
	qc.Assert(used(), qt.Equals, 0)
	qc.Assert(cl.Do(testContext(t), ta, newGet()).Outcome, qt.Equals, Answered)
	for used() > 0 {
		runtime.GC()
	}
}
