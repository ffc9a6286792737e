package emulate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/registry"
	"balsamwinch.example/result"
	"balsamwinch.example/route"
	"balsamwinch.example/timer"
)

// patience bounds every wait for a condition. It is no timing bound: a test that
// holds is through long before.
const patience = time.Minute

// heard is an Announcer that keeps what it is told.
type heard struct {
	mu   sync.Mutex
	all  []registry.Server
	gone []string
	err  error
	told chan struct{}
}

func newHeard() *heard { return &heard{told: make(chan struct{}, 1000)} }

func (he *heard) Announce(_ context.Context, se registry.Server) error {
	he.mu.Lock()
	defer he.mu.Unlock()
	he.all = append(he.all, se)
	he.told <- struct{}{}
	return he.err
}

func (he *heard) Leave(_ context.Context, id string) error {
	he.mu.Lock()
	defer he.mu.Unlock()
	he.gone = append(he.gone, id)
	return he.err
}

func newServer(t *testing.T, cf Config, an Announcer) *Server {
	se, err := New(cf, an, timer.New(), zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = se.li.Close() })
	return se
}

// ask sends a request straight to a server's handler.
func ask(se *Server, path string, header ...string) *httptest.ResponseRecorder {
	rq := httptest.NewRequest(http.MethodGet, path, nil)
	for ix := 0; ix < len(header); ix += 2 {
		rq.Header.Set(header[ix], header[ix+1])
	}
	wr := httptest.NewRecorder()
	se.ServeHTTP(wr, rq)
	return wr
}

func TestAnswers(t *testing.T) {
	tests := []struct {
		name   string
		tr     Faults
		header []string
		status int
		notRun string
		stamp  string
		counts Counts
	}{
		{"whole", Faults{}, []string{headerRequestID, "r1"}, 200, "", Stamp("a", "r1"), Counts{1, 1, 0}},
		{"meant for it", Faults{}, []string{headerRequestID, "r1", headerExpect, "a"}, 200, "", Stamp("a", "r1"), Counts{1, 1, 0}},
		{"meant for another", Faults{}, []string{headerRequestID, "r1", headerExpect, "b"}, 421, "1", "", Counts{1, 0, 1}},
		{"no id", Faults{}, nil, 400, "1", "", Counts{1, 0, 1}},
		{"shed", Faults{Shed: 1}, []string{headerRequestID, "r1"}, 503, "1", "", Counts{1, 0, 1}},
		{"failed", Faults{Fail: 1}, []string{headerRequestID, "r1"}, 500, "", Stamp("a", "r1"), Counts{1, 1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			se := newServer(t, Config{ID: "a", Service: "s", Records: 3, ReportLoad: true, Slots: 2}, newHeard())
			se.SetFaults(tt.tr)
			wr := ask(se, "/arm/x", tt.header...)
			qt.Check(t, wr.Code, qt.Equals, tt.status)
			qt.Check(t, wr.Header().Get(headerNotRun), qt.Equals, tt.notRun)
			qt.Check(t, wr.Header().Get(headerStamp), qt.Equals, tt.stamp)
			qt.Check(t, wr.Header().Get(headerLoad) != "", qt.IsTrue)
			qt.Check(t, se.Counts("arm"), qt.Equals, tt.counts)
			if tt.status == http.StatusOK {
				qt.Check(t, wr.Body.Bytes(), qt.DeepEquals, Records("s", "/arm/x", 3))
			}
		})
	}
}

// A server with one slot and a queue of one works on the first request, holds the
// second, refuses the third unrun, and answers the second with a refusal too once
// its caller no longer waits.
func TestSlotsAndQueue(t *testing.T) {
	se := newServer(t, Config{ID: "a", Slots: 1, Queue: 1, ReportLoad: true}, newHeard())
	se.slots <- struct{}{} // The first request.
	second := make(chan *httptest.ResponseRecorder, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		second <- ask(se, "/x", headerRequestID, "r2", headerDeadline, strconv.FormatInt(patience.Milliseconds(), 10))
	}()
	for se.waiting.Load() != 1 {
		qt.Assert(t, se.ts.Sleep(ctx, time.Millisecond), qt.IsNil)
	}
	third := ask(se, "/x", headerRequestID, "r3")
	qt.Assert(t, third.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, third.Header().Get(headerLoad), qt.Equals, "1,1,1")
	<-se.slots
	qt.Assert(t, (<-second).Code, qt.Equals, http.StatusOK)

	se.slots <- struct{}{}
	late := ask(se, "/x", headerRequestID, "r4", headerDeadline, "1")
	qt.Assert(t, late.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, late.Header().Get(headerNotRun), qt.Equals, "1")
	<-se.slots
}

// Work that outlasts the caller counts as run: the answer must not say otherwise.
func TestDeadlineWhileRunning(t *testing.T) {
	se := newServer(t, Config{ID: "a", ServiceTime: ServiceTime{Median: patience}}, newHeard())
	wr := ask(se, "/x", headerRequestID, "r1", headerDeadline, "1")
	qt.Assert(t, wr.Code, qt.Equals, http.StatusGatewayTimeout)
	qt.Assert(t, wr.Header().Get(headerNotRun), qt.Equals, "")
	qt.Assert(t, wr.Header().Get(headerStamp), qt.Equals, Stamp("a", "r1"))
}

// Bytes go wrong on the wire only with a listener.
func TestSpoiltAnswers(t *testing.T) {
	for name, tr := range map[string]Faults{"cut": {Cut: 1}, "garble": {Garble: 1}, "truncate": {Truncate: 1}} {
		t.Run(name, func(t *testing.T) {
			se := newServer(t, Config{ID: "a", Records: 4}, newHeard())
			se.SetFaults(tr)
			stop := serve(t, se)
			defer stop()
			ca := NewCaller()
			defer ca.Close()
			_, err := ca.Send(t.Context(), se.Address(), Request{ID: "r1", Host: "h", Path: "/x", Timeout: patience})
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

// serve runs a server until the returned function is called.
func serve(t *testing.T, se *Server) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- se.Serve(ctx) }()
	return func() {
		cancel()
		qt.Check(t, <-done, qt.ErrorIs, context.Canceled)
	}
}

// The connection beyond the limit is reset; once one is closed, another gets in.
func TestConnectionLimit(t *testing.T) {
	se := newServer(t, Config{ID: "a", Connections: 1}, newHeard())
	defer serve(t, se)()
	first, err := net.Dial("tcp4", se.Address())
	qt.Assert(t, err, qt.IsNil)
	// The reset may come before the dial returns or after.
	second, err := net.Dial("tcp4", se.Address())
	if err == nil {
		_, err = second.Read(make([]byte, 1))
		qt.Assert(t, second.Close(), qt.IsNil)
	}
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, se.RejectedConnections(), qt.Equals, 1)
	qt.Assert(t, first.Close(), qt.IsNil)
	ca := NewCaller()
	defer ca.Close()
	for {
		an, err := ca.Send(t.Context(), se.Address(), Request{ID: "r", Path: "/x", Timeout: patience})
		if err == nil {
			qt.Assert(t, an.Status, qt.Equals, http.StatusOK)
			return
		}
		qt.Assert(t, t.Context().Err(), qt.IsNil)
	}
}

// The first request of a connection holds its slot longer, a second one doesn't.
func TestConnectionCost(t *testing.T) {
	se := newServer(t, Config{ID: "a", ConnectionCost: time.Second}, newHeard())
	rq := httptest.NewRequest(http.MethodGet, "/x", nil)
	rq = rq.WithContext(context.WithValue(rq.Context(), connectionKey{}, &connection{}))
	qt.Assert(t, se.connectionCost(rq), qt.Equals, time.Second)
	qt.Assert(t, se.connectionCost(rq), qt.Equals, time.Duration(0))
}

func TestPauses(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	// Pauses of 100 ms begin at 1000, 2000 and so on.
	pa := Pause{Least: 100 * time.Millisecond, Most: 100 * time.Millisecond, EveryLeast: time.Second, EveryMost: time.Second}
	tests := []struct{ begin, work, end int }{
		{0, 10, 10},
		{0, 1000, 1000},
		{0, 1001, 1101},
		{0, 2000, 2200},
		{990, 20, 1110},
		{1000, 5, 1105},
		{1050, 0, 1100},
		{1100, 0, 1100},
		{1100, 5, 1105},
	}
	ps := newPauses(pa, 1, now)
	for _, tt := range tests {
		got := ps.end(at(tt.begin), time.Duration(tt.work)*time.Millisecond)
		qt.Check(t, got.Sub(now), qt.Equals, at(tt.end).Sub(now), qt.Commentf("%+v", tt))
	}
	qt.Check(t, newPauses(Pause{}, 1, now).end(now, time.Minute), qt.Equals, now.Add(time.Minute))
}

// A server that leaves as planned says that it drains, then that it is gone, with
// growing sequence numbers, and ends for good. A server that nobody hears ends too.
func TestDrain(t *testing.T) {
	for _, he := range []*heard{newHeard(), {told: make(chan struct{}, 1000), err: errors.New("nobody")}} {
		se := newServer(t, Config{ID: "a", Service: "s", DataCentre: "d", Slots: 2, AnnounceInterval: time.Hour}, he)
		done := make(chan error, 1)
		go func() { done <- se.Serve(t.Context()) }()
		<-he.told
		qt.Assert(t, se.Drain(t.Context()), qt.ErrorIs, he.err)
		qt.Assert(t, <-done, qt.Equals, error(suture.ErrDoNotRestart))
		qt.Assert(t, he.gone, qt.DeepEquals, []string{"a"})
		qt.Assert(t, he.all, qt.DeepEquals, []registry.Server{
			{ID: "a", Service: "s", DataCentre: "d", Address: se.Address(), Slots: 2, Sequence: 1},
			{ID: "a", Service: "s", DataCentre: "d", Address: se.Address(), Slots: 2, Sequence: 2, State: registry.Draining},
		})
	}
}

// calls are control calls that keep what they are told.
type calls struct {
	*heard
	version uint64
	data    []byte
	ignored []string

	evacuated evacuation.Set
}

func (ca *calls) Accept(_ context.Context, version uint64, data []byte) error {
	ca.version, ca.data = version, data
	return ca.err
}

func (ca *calls) Newest(context.Context) (uint64, []byte, error) { return ca.version, ca.data, ca.err }

func (ca *calls) Evacuate(_ context.Context, dataCentre string, evacuate bool, _ string) error {
	if ca.err != nil {
		return ca.err
	}
	ca.evacuated, _ = ca.evacuated.Apply(evacuation.Change{DataCentre: dataCentre, Evacuate: evacuate, BaseRevision: ca.evacuated.Revision})
	return nil
}

func (ca *calls) Evacuated() evacuation.Set { return ca.evacuated }

func (ca *calls) Announce(se registry.Server) { _ = ca.heard.Announce(context.Background(), se) }

func (ca *calls) Leave(id string)  { _ = ca.heard.Leave(context.Background(), id) }
func (ca *calls) BodyLimit() int64 { return 1 << 16 }

func (ca *calls) Ignore(id, detail string) { ca.ignored = append(ca.ignored, id+": "+detail) }

// What a server and an operator say through the client arrives at control
// unchanged, also if another instance before it doesn't answer.
func TestDialectCalls(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	cs := &calls{heard: newHeard()}
	hs := httptest.NewServer(Dialect{}.ControlHandler(cs))
	defer hs.Close()
	co := NewControlClient([]string{dead.Listener.Addr().String(), hs.Listener.Addr().String()})
	defer co.Close()
	se := registry.Server{ID: "a/b", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Version: "v", Slots: 3, State: registry.Draining, Sequence: 9, WarmMillis: 5}
	qt.Assert(t, co.Announce(t.Context(), se), qt.IsNil)
	qt.Assert(t, co.Leave(t.Context(), "a/b"), qt.IsNil)
	qt.Assert(t, cs.all, qt.DeepEquals, []registry.Server{se})
	qt.Assert(t, cs.gone, qt.DeepEquals, []string{"a/b"})
	data := testConfiguration(7).Encode()
	qt.Assert(t, co.Configure(t.Context(), data), qt.IsNil)
	qt.Assert(t, cs.version, qt.Equals, uint64(7))
	got, err := co.LatestConfiguration(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, string(data))
	qt.Assert(t, co.Configure(t.Context(), data[:len(data)-1]), qt.ErrorMatches, "(?s).*configuration:.*")
	cs.err = errors.New("no majority")
	qt.Assert(t, co.Configure(t.Context(), data), qt.IsNotNil)
}

// An operator sends a sound configuration that is larger than control keeps. It is
// told so, as in every other dialect, and the client doesn't send it again to the
// next instance, as it does one whose outcome is unknown.
func TestConfigurationTooLarge(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		status int
		code   result.Code
		asked  int64
	}{
		{"accepted", nil, http.StatusOK, 0, 1},
		{"larger than control keeps", &result.Error{Code: result.Invalid, Op: "propose document"}, http.StatusRequestEntityTooLarge, result.NotRunBadRequest, 1},
		{"not sure", &result.Error{Code: result.ControlUnavailable, Op: "propose document"}, http.StatusServiceUnavailable, result.ControlUnavailable, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ha := Dialect{}.ControlHandler(&calls{heard: &heard{err: tt.err}})
			var asked atomic.Int64
			hs := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
				asked.Add(1)
				re := httptest.NewRecorder()
				ha.ServeHTTP(re, rq)
				qt.Check(t, re.Code, qt.Equals, tt.status)
				wr.WriteHeader(re.Code)
			}))
			defer hs.Close()
			co := NewControlClient([]string{hs.Listener.Addr().String(), hs.Listener.Addr().String()})
			defer co.Close()
			err := co.Configure(t.Context(), testConfiguration(7).Encode())
			var re *result.Error
			qt.Assert(t, errors.As(err, &re), qt.Equals, tt.err != nil)
			if re != nil {
				qt.Assert(t, re.Code, qt.Equals, tt.code)
			}
			qt.Assert(t, asked.Load(), qt.Equals, tt.asked)
		})
	}
}

func TestConfiguration(t *testing.T) {
	tb, err := Dialect{}.Table([]byte(`
Version: 3
Routes:
  - {Name: all, Host: a.example, Prefix: /all/, Kind: Repeatable, Timeout: 1s, Aim: 200ms, MaxAttempts: 3, Shards: [p, q], TopK: 5, LeastShare: 0.5}
  - {Name: split, Host: a.example, Prefix: /split/, Timeout: 1s, Weights: {q: 1, p: 3}}
Services: [{Name: p, HealthPath: /health, Connections: 10}, {Name: q}]
Limits: {HeaderBytes: 1000, BodyBytes: 2000, HeaderTimeout: 3s, IdleTimeout: 15s}
`))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, tb.Routes(), qt.ContentEquals, []route.Route{
		{Name: "all", Host: "a.example", Prefix: "/all/", Timeout: time.Second, TargetLatency: 200 * time.Millisecond, MaxAttempts: 3, Shards: []string{"p", "q"}, Merge: route.Merge{TopK: 5, RecordBytes: RecordBytes, LeastShare: 0.5}},
		{Name: "split", Host: "a.example", Prefix: "/split/", Kind: route.NotRepeatable, Timeout: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "p", Weight: 3}, {Service: "q", Weight: 1}}},
	})
	qt.Assert(t, tb.Limits(), qt.Equals, route.Limits{HeaderBytes: 1000, BodyBytes: 2000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
	for name, text := range map[string]string{
		"unknown field":   "Version: 1\nRoute: []",
		"unknown kind":    "Routes: [{Name: a, Kind: Often}]",
		"unknown service": "Routes: [{Name: a, Host: h, Prefix: /, Timeout: 1s, Service: s}]",
	} {
		_, err := Dialect{}.Table([]byte(text))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}

func testConfiguration(version uint64) Configuration {
	return Configuration{
		Version: version,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/all/", Kind: "Repeatable", Timeout: 5 * time.Second, MaxAttempts: 3, Shards: []string{"p", "q"}, TopK: 4, LeastShare: 1},
			{Name: "one", Host: "a.example", Prefix: "/one/", Timeout: 5 * time.Second, MaxAttempts: 2, Service: "p"},
		},
		Services: []Service{{Name: "p", HealthPath: HealthPath, Connections: 100}, {Name: "q", HealthPath: HealthPath, Connections: 100}},
		Limits:   Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Someone tries the whole tier on one machine: it forms, takes a configuration,
// hears backend servers and answers merged and plain requests rightly.
func TestLocal(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	ts := timer.New()
	lo, err := StartLocalTier(ctx, LocalConfig{Entries: 2, Controls: 3, DataCentres: []string{"x", "y"}, Folder: t.TempDir(), StopTimeout: 2 * time.Second}, ts, zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	defer func() { qt.Check(t, lo.Close(), qt.IsNil) }()
	var cfs []Config
	for _, id := range []string{"p1", "p2", "q1", "q2"} {
		cfs = append(cfs, Config{ID: id, Service: id[:1], DataCentre: "x", Slots: 2, Queue: 2, Connections: 100, Records: 3})
	}
	ss, err := StartServers(cfs, lo.ControlAddresses(), ts, zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	defer ss.Close()
	qt.Assert(t, lo.Configure(ctx, testConfiguration(1)), qt.IsNil)
	ca := NewCaller()
	defer ca.Close()
	for _, ex := range []Expectation{
		{Services: []string{"p", "q"}, Service: ss.Service, Records: 3, TopK: 4},
		{Services: []string{"p"}, Service: ss.Service, Records: 3},
	} {
		path := map[int]string{1: "/one/x", 2: "/all/x"}[len(ex.Services)]
		for _, address := range lo.CallerAddresses() {
			_, err := ca.AwaitComplete(ctx, ts, address, Request{ID: "r", Host: "a.example", Path: path, Timeout: 5 * time.Second}, ex)
			qt.Assert(t, err, qt.IsNil)
		}
	}
}

// The time between two announcements passes without anybody waiting for it.
func TestAnnouncements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		he := newHeard()
		se := &Server{cf: Config{ID: "a", Warmup: 1500 * time.Millisecond, AnnounceInterval: time.Second}, an: he, ts: timer.New(), lg: zap.NewNop(), started: time.Now()}
		se.li = newListener(fakeListener{}, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		se.announceAll(ctx)
		var warm []int64
		for _, an := range he.all {
			warm = append(warm, an.WarmMillis)
		}
		qt.Assert(t, warm, qt.DeepEquals, []int64{1500, 500, 0})
	})
}

// fakeListener has an address and nothing else.
type fakeListener struct{ net.Listener }

func (fakeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }
