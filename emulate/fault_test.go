package emulate

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/timer"
)

// instanceVariable makes this test program run one instance instead of the tests.
const instanceVariable = "EMULATE_TEST_INSTANCE"

func TestMain(m *testing.M) {
	if os.Getenv(instanceVariable) != "" {
		if err := ServeInstance(context.Background(), os.Stdin, zap.NewNop()); err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// An entry instance is killed; a control instance is stopped and loses its disk. After a
// restart each listens at its old address, and the configuration is still there.
func TestInstanceRestartsAtItsAddress(t *testing.T) {
	t.Setenv(instanceVariable, "1")
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	program, err := os.Executable()
	qt.Assert(t, err, qt.IsNil)
	lo, err := StartLocalTier(ctx, LocalConfig{
		Entries: 1, Controls: 3, DataCentres: []string{"x"}, Folder: t.TempDir(), StopTimeout: 2 * time.Second, Program: []string{program}, LogFolder: t.TempDir(),
	}, timer.New(), zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, lo.Close(), qt.IsNil) }()
	qt.Assert(t, lo.Configure(ctx, testConfiguration(1)), qt.IsNil)
	qt.Assert(t, lo.EntryNames(), qt.DeepEquals, []string{"entry-1"})
	qt.Assert(t, lo.ControlNames(), qt.HasLen, 3)
	qt.Assert(t, lo.Kill("entry-1"), qt.IsNil)
	qt.Assert(t, readyStatus(ctx, lo.instances[3].se.Listen.Ready), qt.Equals, 0)
	qt.Assert(t, lo.Stop("control-1"), qt.IsNil)
	qt.Assert(t, lo.DeleteData("control-1"), qt.IsNil)
	qt.Assert(t, lo.Start(ctx, "control-1"), qt.IsNil)
	qt.Assert(t, lo.Start(ctx, "entry-1"), qt.IsNil)
	qt.Assert(t, lo.Configure(ctx, testConfiguration(1)), qt.IsNil)
	qt.Assert(t, lo.Kill("unknown"), qt.ErrorMatches, ".*no instance unknown.*")
}

// recordedEvents records the events of a server.
type recordedEvents struct {
	mu  sync.Mutex
	all []ServerEvent
}

func (re *recordedEvents) add(ev ServerEvent) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.all = append(re.all, ev)
}

func (re *recordedEvents) kinds() []ServerEventKind {
	re.mu.Lock()
	defer re.mu.Unlock()
	var out []ServerEventKind
	for _, ev := range re.all {
		out = append(out, ev.Kind)
	}
	return out
}

func TestServerEvents(t *testing.T) {
	var re recordedEvents
	se := newServer(t, Config{ID: "a", Service: "s", OnEvent: re.add}, newRecordingAnnouncer())
	serveRequest(se, "/x", headerRequestID, "r1", headerExpectServer, "a")
	serveRequest(se, "/x", headerRequestID, "r2", headerExpectServer, "b")
	qt.Assert(t, re.kinds(), qt.DeepEquals, []ServerEventKind{EventRequestReceived, EventRequestStarted, EventRequestReceived, EventRequestRejected})
	qt.Assert(t, se.Announced(), qt.IsFalse)
	qt.Assert(t, se.announce(t.Context()), qt.IsNil)
	qt.Assert(t, se.Announced(), qt.IsTrue)
	qt.Assert(t, re.kinds(), qt.HasLen, 4)
	qt.Assert(t, se.Drain(t.Context()), qt.IsNil)
	qt.Assert(t, re.kinds()[4:], qt.DeepEquals, []ServerEventKind{EventDrainAcknowledged})
	lastEvent := re.all[3]
	lastEvent.At = time.Time{}
	qt.Assert(t, lastEvent, qt.Equals, ServerEvent{Kind: EventRequestRejected, Server: "a", Service: "s", Request: "r2", Path: "/x", Expected: "b"})
}

// Under Faults.WrongRequest the header, stamp and body are all those of another request.
// Under Faults.Duplicate the response is on the connection twice.
func TestWrongRequestAndDuplicateFaults(t *testing.T) {
	se := newServer(t, Config{ID: "a", Service: "s", Records: 1}, newRecordingAnnouncer())
	se.SetFaults(Faults{WrongRequest: 1})
	wr := serveRequest(se, "/x", headerRequestID, "r1")
	qt.Check(t, wr.Header().Get(headerRequestID), qt.Equals, "r1-other")
	qt.Check(t, wr.Header().Get(headerStamp), qt.Equals, Stamp("a", "r1-other"))
	qt.Check(t, wr.Body.Bytes(), qt.DeepEquals, Records("s", "/x-other", 1))
	se.SetFaults(Faults{Duplicate: 1})
	hs := httptest.NewServer(se)
	defer hs.Close()
	nc, err := net.Dial("tcp4", hs.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer nc.Close()
	rq, err := http.NewRequest(http.MethodGet, hs.URL+"/x", nil)
	qt.Assert(t, err, qt.IsNil)
	rq.Header.Set(headerRequestID, "r2")
	qt.Assert(t, rq.Write(nc), qt.IsNil)
	rd := bufio.NewReader(nc)
	for range 2 {
		rs, err := http.ReadResponse(rd, rq)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, rs.Header.Get(headerStamp), qt.Equals, Stamp("a", "r2"))
		_, err = rd.Discard(int(rs.ContentLength))
		qt.Assert(t, err, qt.IsNil)
	}
}

// A paused server starts nothing until the pause ends. Under Faults.Late the response is
// delayed, and under Faults.Silent there is none until the caller gives up.
func TestHaltDelayAndSilentFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var re recordedEvents
		se := &Server{
			cf: Config{ID: "a", Slots: 1, ServiceTimeFactor: 1, OnEvent: re.add}, ts: timer.New(), slots: make(chan struct{}, 1), counts: make(map[string]Counts),
			ps: newPauses(Pause{}, 1, time.Now()), rd: newPauses(Pause{}, 1, time.Now()).rd,
		}
		se.SetFaults(Faults{Late: 1})
		start := time.Now()
		se.Halt(time.Second)
		serveRequest(se, "/x", headerRequestID, "r1")
		took := time.Since(start)
		qt.Check(t, took >= time.Second+minResponseDelay && took <= time.Second+maxResponseDelay, qt.IsTrue, qt.Commentf("%v", took))
		se.SetFaults(Faults{Silent: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		rq := httptest.NewRequestWithContext(ctx, http.MethodGet, "/x", nil)
		rq.Header.Set(headerRequestID, "r2")
		start = time.Now()
		wr := httptest.NewRecorder()
		se.ServeHTTP(wr, rq)
		qt.Check(t, time.Since(start), qt.Equals, time.Minute)
		qt.Check(t, wr.Body.Len(), qt.Equals, 0)
		qt.Check(t, re.kinds(), qt.DeepEquals, []ServerEventKind{EventRequestReceived, EventRequestStarted, EventRequestReceived, EventRequestStarted})
	})
}
