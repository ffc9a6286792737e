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

// waitTimeout bounds every wait for a condition. It is not a timing assertion: a passing
// test takes far less.
const waitTimeout = time.Minute

// recordingAnnouncer is an Announcer that records its calls.
type recordingAnnouncer struct {
	mu            sync.Mutex
	announced     []registry.Server
	left          []string
	err           error
	announcements chan struct{}
}

func newRecordingAnnouncer() *recordingAnnouncer {
	return &recordingAnnouncer{announcements: make(chan struct{}, 1000)}
}

func (ra *recordingAnnouncer) Announce(_ context.Context, se registry.Server) error {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	ra.announced = append(ra.announced, se)
	ra.announcements <- struct{}{}
	return ra.err
}

func (ra *recordingAnnouncer) Leave(_ context.Context, id string) error {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	ra.left = append(ra.left, id)
	return ra.err
}

func newServer(t *testing.T, cf Config, an Announcer) *Server {
	se, err := New(cf, an, timer.New(), zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = se.li.Close() })
	return se
}

// serveRequest passes a request to a server's handler.
func serveRequest(se *Server, path string, header ...string) *httptest.ResponseRecorder {
	rq := httptest.NewRequest(http.MethodGet, path, nil)
	for ix := 0; ix < len(header); ix += 2 {
		rq.Header.Set(header[ix], header[ix+1])
	}
	wr := httptest.NewRecorder()
	se.ServeHTTP(wr, rq)
	return wr
}

func TestResponseAndCounts(t *testing.T) {
	tests := []struct {
		name   string
		fa     Faults
		header []string
		status int
		notRun string
		stamp  string
		counts Counts
	}{
		{"complete", Faults{}, []string{headerRequestID, "r1"}, 200, "", Stamp("a", "r1"), Counts{1, 1, 0}},
		{"expected server matches", Faults{}, []string{headerRequestID, "r1", headerExpectServer, "a"}, 200, "", Stamp("a", "r1"), Counts{1, 1, 0}},
		{"another server expected", Faults{}, []string{headerRequestID, "r1", headerExpectServer, "b"}, 421, "1", "", Counts{1, 0, 1}},
		{"no request ID", Faults{}, nil, 400, "1", "", Counts{1, 0, 1}},
		{"shed", Faults{Shed: 1}, []string{headerRequestID, "r1"}, 503, "1", "", Counts{1, 0, 1}},
		{"failed", Faults{Fail: 1}, []string{headerRequestID, "r1"}, 500, "", Stamp("a", "r1"), Counts{1, 1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			se := newServer(t, Config{ID: "a", Service: "s", Records: 3, ReportLoad: true, Slots: 2}, newRecordingAnnouncer())
			se.SetFaults(tt.fa)
			wr := serveRequest(se, "/arm/x", tt.header...)
			qt.Check(t, wr.Code, qt.Equals, tt.status)
			qt.Check(t, wr.Header().Get(headerNotRun), qt.Equals, tt.notRun)
			qt.Check(t, wr.Header().Get(headerStamp), qt.Equals, tt.stamp)
			qt.Check(t, wr.Header().Get(headerServerLoad) != "", qt.IsTrue)
			qt.Check(t, se.Counts("arm"), qt.Equals, tt.counts)
			if tt.status == http.StatusOK {
				qt.Check(t, wr.Body.Bytes(), qt.DeepEquals, Records("s", "/arm/x", 3))
			}
		})
	}
}

// A server with one slot and a queue of one runs the first request, queues the second and
// rejects the third without running it. It also rejects a queued request whose caller's
// deadline has passed.
func TestQueueFullRejected(t *testing.T) {
	se := newServer(t, Config{ID: "a", Slots: 1, Queue: 1, ReportLoad: true}, newRecordingAnnouncer())
	se.slots <- struct{}{} // the first request
	second := make(chan *httptest.ResponseRecorder, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		second <- serveRequest(se, "/x", headerRequestID, "r2", headerDeadline, strconv.FormatInt(waitTimeout.Milliseconds(), 10))
	}()
	for se.waiting.Load() != 1 {
		qt.Assert(t, se.ts.Sleep(ctx, time.Millisecond), qt.IsNil)
	}
	third := serveRequest(se, "/x", headerRequestID, "r3")
	qt.Assert(t, third.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, third.Header().Get(headerServerLoad), qt.Equals, "1,1,1")
	<-se.slots
	qt.Assert(t, (<-second).Code, qt.Equals, http.StatusOK)

	se.slots <- struct{}{}
	late := serveRequest(se, "/x", headerRequestID, "r4", headerDeadline, "1")
	qt.Assert(t, late.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, late.Header().Get(headerNotRun), qt.Equals, "1")
	<-se.slots
}

// Guards against a response that claims that a request did not run, if its deadline
// passes while it runs.
func TestDeadlineWhileRunningIsNotReportedAsNotRun(t *testing.T) {
	se := newServer(t, Config{ID: "a", ServiceTime: ServiceTime{Median: waitTimeout}}, newRecordingAnnouncer())
	wr := serveRequest(se, "/x", headerRequestID, "r1", headerDeadline, "1")
	qt.Assert(t, wr.Code, qt.Equals, http.StatusGatewayTimeout)
	qt.Assert(t, wr.Header().Get(headerNotRun), qt.Equals, "")
	qt.Assert(t, wr.Header().Get(headerStamp), qt.Equals, Stamp("a", "r1"))
}

// Needs a listener, because the faults are in the bytes on the wire.
func TestFaultyResponseIsAnError(t *testing.T) {
	for name, fa := range map[string]Faults{"cut": {Cut: 1}, "garble": {Garble: 1}, "truncate": {Truncate: 1}} {
		t.Run(name, func(t *testing.T) {
			se := newServer(t, Config{ID: "a", Records: 4}, newRecordingAnnouncer())
			se.SetFaults(fa)
			stop := serve(t, se)
			defer stop()
			ca := NewCaller()
			defer ca.Close()
			_, err := ca.Send(t.Context(), se.Address(), Request{ID: "r1", Host: "h", Path: "/x", Timeout: waitTimeout})
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

// A connection beyond the limit is reset; once another one closes, a new one is accepted.
func TestConnectionBeyondLimitIsReset(t *testing.T) {
	se := newServer(t, Config{ID: "a", Connections: 1}, newRecordingAnnouncer())
	defer serve(t, se)()
	first, err := net.Dial("tcp4", se.Address())
	qt.Assert(t, err, qt.IsNil)
	// The reset may arrive before the dial returns or after.
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
		res, err := ca.Send(t.Context(), se.Address(), Request{ID: "r", Path: "/x", Timeout: waitTimeout})
		if err == nil {
			qt.Assert(t, res.Status, qt.Equals, http.StatusOK)
			return
		}
		qt.Assert(t, t.Context().Err(), qt.IsNil)
	}
}

// Only the first request on a connection holds its slot for longer.
func TestOnlyFirstRequestPaysConnectionCost(t *testing.T) {
	se := newServer(t, Config{ID: "a", ConnectionCost: time.Second}, newRecordingAnnouncer())
	rq := httptest.NewRequest(http.MethodGet, "/x", nil)
	rq = rq.WithContext(context.WithValue(rq.Context(), connectionKey{}, &connection{}))
	qt.Assert(t, se.connectionCost(rq), qt.Equals, time.Second)
	qt.Assert(t, se.connectionCost(rq), qt.Equals, time.Duration(0))
}

func TestWorkStopsDuringPauses(t *testing.T) {
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

// A server that leaves as planned announces that it drains, then that it has left, with
// increasing sequence numbers, and stops for good. It also stops if no announcement is
// received.
func TestDrainAnnouncesAndStops(t *testing.T) {
	for _, ra := range []*recordingAnnouncer{newRecordingAnnouncer(), {announcements: make(chan struct{}, 1000), err: errors.New("not received")}} {
		se := newServer(t, Config{ID: "a", Service: "s", DataCentre: "d", Slots: 2, AnnounceInterval: time.Hour}, ra)
		done := make(chan error, 1)
		go func() { done <- se.Serve(t.Context()) }()
		<-ra.announcements
		qt.Assert(t, se.Drain(t.Context()), qt.ErrorIs, ra.err)
		qt.Assert(t, <-done, qt.Equals, error(suture.ErrDoNotRestart))
		qt.Assert(t, ra.left, qt.DeepEquals, []string{"a"})
		qt.Assert(t, ra.announced, qt.DeepEquals, []registry.Server{
			{ID: "a", Service: "s", DataCentre: "d", Address: se.Address(), Slots: 2, Sequence: 1},
			{ID: "a", Service: "s", DataCentre: "d", Address: se.Address(), Slots: 2, Sequence: 2, State: registry.Draining},
		})
	}
}

// recordingControl is a tier.ControlAPI that records its calls.
type recordingControl struct {
	*recordingAnnouncer
	version uint64
	data    []byte
	ignored []string

	evacuated evacuation.Set
}

func (rc *recordingControl) Accept(_ context.Context, version uint64, data []byte) error {
	rc.version, rc.data = version, data
	return rc.err
}

func (rc *recordingControl) Newest(context.Context) (uint64, []byte, error) {
	return rc.version, rc.data, rc.err
}

func (rc *recordingControl) Evacuate(_ context.Context, dataCentre string, evacuate bool, _ string) error {
	if rc.err != nil {
		return rc.err
	}
	rc.evacuated, _ = rc.evacuated.Apply(evacuation.Change{DataCentre: dataCentre, Evacuate: evacuate, BaseRevision: rc.evacuated.Revision})
	return nil
}

func (rc *recordingControl) Evacuated() evacuation.Set { return rc.evacuated }

func (rc *recordingControl) Announce(ctx context.Context, se registry.Server, _ string) error {
	return rc.recordingAnnouncer.Announce(ctx, se)
}

func (rc *recordingControl) Leave(ctx context.Context, id, _ string) error {
	return rc.recordingAnnouncer.Leave(ctx, id)
}

func (rc *recordingControl) BodyLimit() int64 { return 1 << 16 }

func (rc *recordingControl) Ignore(id, _, detail string) {
	rc.ignored = append(rc.ignored, id+": "+detail)
}

// The calls of a server and an operator arrive at control unchanged, also if the instance
// that is called first doesn't respond.
func TestControlCallsReachHandler(t *testing.T) {
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	rc := &recordingControl{recordingAnnouncer: newRecordingAnnouncer()}
	hs := httptest.NewServer(Dialect{}.ControlHandler(rc))
	defer hs.Close()
	co := NewControlClient([]string{dead.Listener.Addr().String(), hs.Listener.Addr().String()})
	defer co.Close()
	se := registry.Server{ID: "a/b", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Version: "v", Slots: 3, State: registry.Draining, Sequence: 9, WarmMillis: 5}
	qt.Assert(t, co.Announce(t.Context(), se), qt.IsNil)
	qt.Assert(t, co.Leave(t.Context(), "a/b"), qt.IsNil)
	qt.Assert(t, rc.announced, qt.DeepEquals, []registry.Server{se})
	qt.Assert(t, rc.left, qt.DeepEquals, []string{"a/b"})
	data := testConfiguration(7).Encode()
	qt.Assert(t, co.Configure(t.Context(), data), qt.IsNil)
	qt.Assert(t, rc.version, qt.Equals, uint64(7))
	got, err := co.LatestConfiguration(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, string(data))
	qt.Assert(t, co.Configure(t.Context(), data[:len(data)-1]), qt.ErrorMatches, "(?s).*configuration:.*")
	rc.err = errors.New("no majority")
	qt.Assert(t, co.Configure(t.Context(), data), qt.IsNotNil)
}

// A valid configuration that is larger than control stores gets status 413, as in every
// other dialect, and the client doesn't retry it at the next instance, as it does a
// configuration whose outcome is unknown.
func TestTooLargeConfigurationIsNotRetried(t *testing.T) {
	tests := []struct {
		name     string
		err      error
		status   int
		code     result.Code
		numCalls int64
	}{
		{"accepted", nil, http.StatusOK, 0, 1},
		{"too large", &result.Error{Code: result.Invalid, Op: "propose document"}, http.StatusRequestEntityTooLarge, result.NotRunBadRequest, 1},
		{"outcome unknown", &result.Error{Code: result.ControlUnavailable, Op: "propose document"}, http.StatusServiceUnavailable, result.ControlUnavailable, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ha := Dialect{}.ControlHandler(&recordingControl{recordingAnnouncer: &recordingAnnouncer{err: tt.err}})
			var numCalls atomic.Int64
			hs := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
				numCalls.Add(1)
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
			qt.Assert(t, numCalls.Load(), qt.Equals, tt.numCalls)
		})
	}
}

func TestParseConfiguration(t *testing.T) {
	tb, err := Dialect{}.Parse([]byte(`
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
		_, err := Dialect{}.Parse([]byte(text))
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

// A whole tier on one machine forms, accepts a configuration, receives the announcements
// of backend servers and answers merged and plain requests correctly.
func TestLocalTierAnswersRequests(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
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

// Announcements repeat at the interval and carry the remaining warm-up time. The interval
// passes in fake time.
func TestAnnouncementsCarryRemainingWarmup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ra := newRecordingAnnouncer()
		se := &Server{cf: Config{ID: "a", Warmup: 1500 * time.Millisecond, AnnounceInterval: time.Second}, an: ra, ts: timer.New(), lg: zap.NewNop(), started: time.Now()}
		se.li = newListener(fakeListener{}, 0)
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		se.announceLoop(ctx)
		var warmMillis []int64
		for _, an := range ra.announced {
			warmMillis = append(warmMillis, an.WarmMillis)
		}
		qt.Assert(t, warmMillis, qt.DeepEquals, []int64{1500, 500, 0})
	})
}

// fakeListener has an address and nothing else.
type fakeListener struct{ net.Listener }

func (fakeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }
