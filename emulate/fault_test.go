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

// An entry instance is killed and a control instance stopped, loses its disk, and
// both are started again: each listens again at its old address, and the
// configuration is still there.
func TestInstancesEndAndStart(t *testing.T) {
	t.Setenv(instanceVariable, "1")
	ctx, cancel := context.WithTimeout(t.Context(), patience)
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
	qt.Assert(t, statusOf(ctx, lo.instances[3].se.Listen.Ready), qt.Equals, 0)
	qt.Assert(t, lo.Stop("control-1"), qt.IsNil)
	qt.Assert(t, lo.DeleteData("control-1"), qt.IsNil)
	qt.Assert(t, lo.Start(ctx, "control-1"), qt.IsNil)
	qt.Assert(t, lo.Start(ctx, "entry-1"), qt.IsNil)
	qt.Assert(t, lo.Configure(ctx, testConfiguration(1)), qt.IsNil)
	qt.Assert(t, lo.Kill("nobody"), qt.ErrorMatches, ".*no instance nobody.*")
}

// seenBy keeps what a server saw.
type seenBy struct {
	mu  sync.Mutex
	all []ServerEvent
}

func (sb *seenBy) note(sn ServerEvent) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.all = append(sb.all, sn)
}

func (sb *seenBy) kinds() []ServerEventKind {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	var out []ServerEventKind
	for _, sn := range sb.all {
		out = append(out, sn.Kind)
	}
	return out
}

func TestSeen(t *testing.T) {
	var sb seenBy
	se := newServer(t, Config{ID: "a", Service: "s", OnEvent: sb.note}, newHeard())
	ask(se, "/x", headerRequestID, "r1", headerExpect, "a")
	ask(se, "/x", headerRequestID, "r2", headerExpect, "b")
	qt.Assert(t, sb.kinds(), qt.DeepEquals, []ServerEventKind{EventRequestReceived, EventRequestStarted, EventRequestReceived, EventRequestRejected})
	qt.Assert(t, se.Announced(), qt.IsFalse)
	qt.Assert(t, se.announce(t.Context()), qt.IsNil)
	qt.Assert(t, se.Announced(), qt.IsTrue)
	qt.Assert(t, sb.kinds(), qt.HasLen, 4)
	qt.Assert(t, se.Drain(t.Context()), qt.IsNil)
	qt.Assert(t, sb.kinds()[4:], qt.DeepEquals, []ServerEventKind{EventDrainAcknowledged})
	last := sb.all[3]
	last.At = time.Time{}
	qt.Assert(t, last, qt.Equals, ServerEvent{Kind: EventRequestRejected, Server: "a", Service: "s", Request: "r2", Path: "/x", Expected: "b"})
}

// An answer to another request is one by all that it says, and one that is sent
// twice stands twice on the connection.
func TestOtherAndTwice(t *testing.T) {
	se := newServer(t, Config{ID: "a", Service: "s", Records: 1}, newHeard())
	se.SetFaults(Faults{WrongRequest: 1})
	wr := ask(se, "/x", headerRequestID, "r1")
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

// A server that stands still begins nothing until it goes on; a late one answers
// later, and a silent one not at all until its caller leaves.
func TestHaltLateSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sb seenBy
		se := &Server{
			cf: Config{ID: "a", Slots: 1, ServiceTimeFactor: 1, OnEvent: sb.note}, ts: timer.New(), slots: make(chan struct{}, 1), counts: make(map[string]Counts),
			ps: newPauses(Pause{}, 1, time.Now()), rd: newPauses(Pause{}, 1, time.Now()).rd,
		}
		se.SetFaults(Faults{Late: 1})
		start := time.Now()
		se.Halt(time.Second)
		ask(se, "/x", headerRequestID, "r1")
		took := time.Since(start)
		qt.Check(t, took >= time.Second+lateLeast && took <= time.Second+lateMost, qt.IsTrue, qt.Commentf("%v", took))
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
		qt.Check(t, sb.kinds(), qt.DeepEquals, []ServerEventKind{EventRequestReceived, EventRequestStarted, EventRequestReceived, EventRequestStarted})
	})
}
