package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/route"
)

const (
	// stopTime is how long after the begin of a stop all requests are answered, and
	// halfStop half of it.
	stopTime = 4 * time.Second
	halfStop = stopTime / 2
)

// stopTest is a gateway in synctest's time, with a route for requests to one backend server
// that may run only once and take as long as the test says.
type stopTest struct {
	*rig
	work time.Duration
}

func testStop(t *testing.T, test func(st *stopTest)) {
	synctest.Test(t, func(t *testing.T) {
		st := &stopTest{rig: newRig(t, newMemNetwork(), setup{}), work: 40 * time.Millisecond}
		slow := behavior{do: func(wo *work) bool {
			time.Sleep(st.work)
			return respondOK.do(wo)
		}}
		st.startServers("s", 2, slow)
		st.startServers("p0", 1)
		st.startServers("p1", 1)
		st.startServers("p2", 1, neverAnswer)
		st.setTable(
			route.Route{Name: "once", Prefix: "/", Kind: route.NotRepeatable, Timeout: 5 * time.Second, TargetLatency: 800 * time.Millisecond, Targets: singleTarget("s")},
			route.Route{Name: "merged", Prefix: "/m/", Timeout: 10 * time.Second, TargetLatency: 8 * time.Second, Shards: shardNames(3), Merge: route.Merge{TopK: 5, LeastShare: 0.6}},
		)
		test(st)
	})
}

// beginStop begins a stop of the instance and returns when all requests must be answered.
func (st *stopTest) beginStop() time.Time {
	by := st.ts.Now().Add(stopTime)
	st.gw.CloseAfterResponse()
	st.gw.AnswerBy(by)
	return by
}

// Guards against a connection that a stop ends without an answer although a backend server
// has run the request: before the process ends, the caller is told that the outcome is
// unknown, whether the request came before or during the stop.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	testStop(t, func(st *stopTest) {
		st.work = 2 * stopTime
		before := st.sendAsync(request{uri: "/a", body: "order"})
		merged := st.sendAsync(request{uri: "/m/"})
		synctest.Wait()
		by := st.beginStop()
		time.Sleep(halfStop)
		during := st.sendAsync(request{uri: "/b", body: "order"})
		for _, an := range []*answer{<-before, <-during} {
			st.checkStatus(an, http.StatusGatewayTimeout)
			qt.Assert(t, strings.Contains(string(an.body), reasonStopped), qt.IsTrue)
		}
		an := <-merged
		st.checkStatus(an, http.StatusOK)
		checkMissing(t, an, 1)
		qt.Assert(t, st.ts.Now(), qt.Equals, by)
	})
}

// Guards against a stop that refuses requests which it can still serve.
func TestStopServesShortRequests(t *testing.T) {
	testStop(t, func(st *stopTest) {
		by := st.beginStop()
		for range 20 {
			st.get("/a", http.StatusOK)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Until(by.Add(-800 * time.Millisecond)))
		an := st.get("/b", http.StatusServiceUnavailable)
		qt.Assert(t, st.hist.arrivalsOf(an.id), qt.HasLen, 0)
		qt.Assert(t, an.close, qt.IsTrue)
	})
}

// Guards against requests that a stop accepts although, as the earlier ones of their route,
// they take longer than the process runs. They must be rejected at once, as not run.
func TestStopRejectsLongRequests(t *testing.T) {
	testStop(t, func(st *stopTest) {
		st.work = 2 * time.Second
		st.get("/a", http.StatusOK)
		by := st.beginStop()
		time.Sleep(time.Until(by.Add(-2100 * time.Millisecond)))
		st.get("/b", http.StatusOK)
		time.Sleep(time.Until(by.Add(-1900 * time.Millisecond)))
		start := st.ts.Now()
		an := st.get("/c", http.StatusServiceUnavailable)
		qt.Assert(t, st.ts.Now(), qt.Equals, start)
		qt.Assert(t, an.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Assert(t, st.hist.arrivalsOf(an.id), qt.HasLen, 0)
	})
}

// Guards against a request whose body is sent slowly: at a stop, it would be passed on so
// late that its answer is cut off, or its connection would end without an answer.
func TestStopRejectsHalfSentBody(t *testing.T) {
	testStop(t, func(st *stopTest) {
		early, late := st.connect(), st.connect()
		rq := st.register(request{uri: "/a", body: "0123456789"})
		sendHalf := func(ca *caller) { _, _ = io.WriteString(ca.nc, rq.head()+rq.payload()[:5]) }
		sendHalf(early)
		by := st.beginStop()
		sendHalf(late)
		for _, ca := range []*caller{early, late} {
			an := ca.receive(rq)
			st.checkStatus(an, http.StatusServiceUnavailable)
			qt.Assert(t, an.close, qt.IsTrue)
		}
		qt.Assert(t, st.ts.Now(), qt.Equals, by.Add(-800*time.Millisecond))
		qt.Assert(t, st.hist.arrivalsOf(rq.id), qt.HasLen, 0)
	})
}

// A body that is complete in time is served during a stop, and its caller doesn't count as
// gone.
func TestStopServesSlowBody(t *testing.T) {
	testStop(t, func(st *stopTest) {
		ca := st.connect()
		rq := st.register(request{uri: "/a", body: "0123456789"})
		_, _ = io.WriteString(ca.nc, rq.head()+rq.payload()[:5])
		st.beginStop()
		time.Sleep(halfStop)
		st.work = halfStop - 100*time.Millisecond
		_, _ = io.WriteString(ca.nc, rq.payload()[5:])
		st.checkStatus(ca.receive(rq), http.StatusOK)
	})
}
