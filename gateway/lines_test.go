package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/budget"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/replica"
	"balsamwinch.example/route"
	"balsamwinch.example/scatter"
	"balsamwinch.example/timer"
	"balsamwinch.example/trail"
	"balsamwinch.example/upstream"
)

// logHeaderNames holds the header names used by logRig.
var logHeaderNames = HeaderNames{
	RequestID: "Id", Deadline: "Wait", ExpectServer: "Expect-Server", Stamp: "Stamp", NotRun: "Not-Run",
	ServerLoad: "Load", PartStamps: "Parts", MissingParts: "Missing",
}

// syncBuffer is a buffer that may be written and read concurrently.
type syncBuffer struct {
	mu sync.Mutex
	bu bytes.Buffer
}

func (sb *syncBuffer) Write(data []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.bu.Write(data)
}

// channelListener is an in-memory listener for tests in virtual time.
type channelListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (cl *channelListener) Accept() (net.Conn, error) {
	select {
	case nc := <-cl.conns:
		return nc, nil
	case <-cl.closed:
		return nil, net.ErrClosed
	}
}

func (cl *channelListener) Close() error {
	cl.once.Do(func() { close(cl.closed) })
	return nil
}

func (cl *channelListener) Addr() net.Addr { return cl }

func (cl *channelListener) Network() string { return "tcp" }

func (cl *channelListener) String() string { return cl.address }

// logRig is a gateway whose log is read back.
type logRig struct {
	t          *testing.T
	sv         *Server
	out        *syncBuffer
	tw         *trail.Writer
	ses        map[string][]registry.Server
	listeners  map[string]*channelListener
	blackholed string // address that never answers connection attempts
}

// withLogRig runs a test in virtual time.
func withLogRig(t *testing.T, test func(t *testing.T, lr *logRig)) {
	synctest.Test(t, func(t *testing.T) { test(t, newLogRig(t)) })
}

func newLogRig(t *testing.T) *logRig {
	ts := timer.New()
	lr := &logRig{t: t, out: &syncBuffer{}, ses: make(map[string][]registry.Server), listeners: make(map[string]*channelListener)}
	lg, tw := trail.New(lr.out, trail.Config{Instance: "entry-1"}, ts)
	lr.tw = tw
	up := upstream.New(upstream.Config{Names: logHeaderNames.Upstream(), Connect: lr.connect}, ts, zap.NewNop())
	t.Cleanup(up.Close)
	bu := budget.New(budget.Config{Ratio: 100, Slack: 100}, ts.Now().Add(-time.Hour))
	cf := Config{Names: logHeaderNames, CallerDelay: 3 * time.Millisecond, PartialMargin: time.Millisecond, MaxInFlight: 100}
	lr.sv = New(cf, ts, lg, up, replica.New(replica.Config{}), bu, quarantine.New())
	lr.sv.SetEntries(1)
	return lr
}

func (lr *logRig) connect(ctx context.Context, address string) (net.Conn, error) {
	if address == lr.blackholed {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	cl := lr.listeners[address]
	if cl == nil {
		return nil, errors.New("refused")
	}
	here, there := net.Pipe()
	cl.conns <- there
	return here, nil
}

// serve starts a backend server of a service and makes it known to the gateway.
func (lr *logRig) serve(service, id string, ha http.HandlerFunc) {
	cl := &channelListener{address: "address of " + id, conns: make(chan net.Conn, 10), closed: make(chan struct{})}
	lr.listeners[cl.address] = cl
	hs := httptest.NewUnstartedServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		wr.Header().Set(logHeaderNames.RequestID, rq.Header.Get(logHeaderNames.RequestID))
		wr.Header().Set(logHeaderNames.Stamp, "stamp of "+id)
		ha(wr, rq)
	}))
	_ = hs.Listener.Close()
	hs.Listener = cl
	hs.Start()
	lr.t.Cleanup(hs.Close)
	lr.addServer(service, id, cl.address, registry.Ready)
}

// addServer makes a backend server known to the gateway.
func (lr *logRig) addServer(service, id, address string, st registry.State) {
	lr.ses[service] = append(slices.Clone(lr.ses[service]), registry.Server{ID: id, Service: service, Address: address, Slots: 4, State: st})
	lr.sv.SetServers(lr.ses)
}

// setRoute puts a table with one route in force.
func (lr *logRig) setRoute(ro route.Route) {
	ro.Name, ro.Host, ro.Prefix = "quotes", "a.example", "/"
	if ro.Timeout == 0 {
		ro.Timeout = 10 * time.Second
	}
	var ses []route.Service
	for _, na := range append(slices.Clone(ro.Shards), targetServices(ro)...) {
		ses = append(ses, route.Service{Name: na, MaxConnections: 100})
	}
	tb, err := route.New(7, []route.Route{ro}, ses, route.Limits{})
	qt.Assert(lr.t, err, qt.IsNil)
	lr.sv.SetTable(tb)
}

func targetServices(ro route.Route) []string {
	var out []string
	for _, ta := range ro.Targets {
		out = append(out, ta.Service)
	}
	return out
}

func deskTarget() []route.Target { return []route.Target{{Service: "desk", Weight: 1}} }

// send sends a request and returns the status of the answer, or 0 if the handler was
// aborted.
func (lr *logRig) send(ctx context.Context) (status int) {
	rq := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil).WithContext(ctx)
	rq.Header.Set(logHeaderNames.RequestID, "r-1")
	rq.Header.Set(logHeaderNames.Deadline, "9000")
	wr := httptest.NewRecorder()
	defer func() {
		if va := recover(); va != nil && !errors.Is(va.(error), http.ErrAbortHandler) {
			panic(va)
		}
	}()
	lr.sv.ServeHTTP(wr, rq)
	return wr.Code
}

// logLine returns the only log line about the request, or nil if there is none.
func (lr *logRig) logLine() *trail.Line {
	qt.Assert(lr.t, lr.tw.Close(), qt.IsNil)
	lr.out.mu.Lock()
	defer lr.out.mu.Unlock()
	var lis []trail.Line
	unread, err := trail.Scan(bytes.NewReader(lr.out.bu.Bytes()), func(raw []byte) bool { return bytes.Contains(raw, []byte(`"r-1"`)) },
		func(li trail.Line) bool {
			lis = append(lis, li)
			return true
		})
	qt.Assert(lr.t, err, qt.IsNil)
	qt.Assert(lr.t, unread, qt.Equals, 0)
	if len(lis) == 0 {
		return nil
	}
	qt.Assert(lr.t, lis, qt.HasLen, 1)
	return &lis[0]
}

// checkLine checks the level, the event, the given fields and the attempts of the line.
func (lr *logRig) checkLine(event string, fields map[string]string, ats ...string) {
	lr.t.Helper()
	li := lr.logLine()
	qt.Assert(lr.t, li, qt.IsNotNil)
	qt.Check(lr.t, li.Level+" "+li.Event, qt.Equals, event)
	qt.Check(lr.t, li.Instance, qt.Equals, "entry-1")
	for na, va := range fields {
		qt.Check(lr.t, li.Text(na), qt.Equals, va, qt.Commentf("%s", na))
	}
	var got []string
	for _, at := range trail.Attempts(*li) {
		got = append(got, strings.TrimSpace(fmt.Sprintf("%s %s %s %s %s", at.Service, at.Server, at.Kind, at.End, attemptDetail(at))))
	}
	qt.Check(lr.t, got, qt.DeepEquals, ats)
}

func attemptDetail(at trail.Attempt) string {
	switch {
	case at.Status > 0:
		return fmt.Sprint(at.Status)
	case at.Cause != "":
		return fmt.Sprintf("%s, %d known, %d ready", at.Cause, at.Known, at.Ready)
	}
	return at.Error
}

func respondRecord(wr http.ResponseWriter, _ *http.Request) {
	_, _ = wr.Write([]byte("0123456789abcdef"))
}

// closeConnection closes the connection after the request has arrived.
func closeConnection(wr http.ResponseWriter, _ *http.Request) {
	nc, _, err := wr.(http.Hijacker).Hijack()
	if err == nil {
		_ = nc.Close()
	}
}

func TestNoLogLineForGoodAnswer(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget()})
		lr.serve("desk", "i-1", respondRecord)
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 200)
		qt.Assert(t, lr.logLine(), qt.IsNil)
	})
}

func TestLogLineWithoutConfiguration(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 503)
		lr.checkLine("warn request-failed", map[string]string{
			"Status": "503", "Code": "100", "Detail": "no configuration", "Version": "0", "Route": "", "SaidMillis": "9000", "Sent": "0",
		})
	})
}

func TestLogLineWithoutRoute(t *testing.T) {
	withLogRig(t, func(_ *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget()})
		rq := httptest.NewRequest(http.MethodGet, "http://b.example/x", nil)
		rq.Header.Set(logHeaderNames.RequestID, "r-1")
		lr.sv.ServeHTTP(httptest.NewRecorder(), rq)
		lr.checkLine("info request-failed", map[string]string{"Status": "404", "Code": "103", "Version": "7"})
	})
}

// All backend servers of a service drain, and the request is rejected. The line must
// distinguish this from a service that was never announced.
func TestLogLineWithoutServer(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget(), TargetLatency: 50 * time.Millisecond})
		lr.addServer("desk", "i-1", "127.0.0.1:1", registry.Draining)
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 503)
		lr.checkLine("warn request-failed", map[string]string{"Status": "503", "Code": "100", "AimMillis": "50", "Sent": "0", "Active": "1"},
			"desk   NotAsked no backend server is known, 1 known, 0 ready")
	})
}

// A backend server crashes after it received a non-repeatable request. The caller gets 502,
// and the line must name the server and the error of its connection.
func TestLogLineOfLostAnswer(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget(), Kind: route.NotRepeatable})
		lr.serve("desk", "i-1", closeConnection)
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 502)
		lr.checkLine("warn request-failed", map[string]string{"Status": "502", "Code": "201", "Detail": "an answer was lost", "Sent": "1"},
			"desk i-1 First Lost "+lostError(t, lr))
	})
}

// Backend servers crash one after the other, perhaps always during the same request. Its ID
// differs in each attempt, so the line gives the content key and the servers that lost the
// connection, even if another server has answered in the end.
func TestLogLineNamesContentAndLostServers(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget(), Kind: route.Repeatable, MaxAttempts: 2})
		lr.serve("desk", "i-1", closeConnection)
		lr.serve("desk", "i-2", closeConnection)
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 502)
		content := quarantine.Content{Method: http.MethodGet, Host: "a.example", URI: "http://a.example/x"}
		li := lr.logLine()
		qt.Check(t, li.Text("Content"), qt.Equals, content.Key().String())
		qt.Check(t, li.Text("BrokeOff"), qt.Equals, "2")
		for _, id := range []string{"i-1", "i-2"} {
			qt.Check(t, strings.Contains(li.Text("Under"), id), qt.IsTrue, qt.Commentf(li.Text("Under")))
		}
	})
}

// lostError returns the error of the only attempt, whose text comes from the operating
// system.
func lostError(t *testing.T, lr *logRig) string {
	ats := trail.Attempts(*lr.logLine())
	qt.Assert(t, ats, qt.HasLen, 1)
	qt.Assert(t, ats[0].Error, qt.Not(qt.Equals), "")
	qt.Assert(t, strings.Contains(ats[0].Error, "i-1"), qt.IsFalse, qt.Commentf("the server has its own field: %q", ats[0].Error))
	return ats[0].Error
}

// A backend server's failure is forwarded unchanged, without a result code of this
// instance. The line must say that the request failed and at which servers.
func TestLogLineOfForwardedFailure(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget(), MaxAttempts: 2})
		for _, id := range []string{"i-1", "i-2"} {
			lr.serve("desk", id, func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(500) })
		}
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 500)
		li := lr.logLine()
		qt.Assert(t, li.Text("Code"), qt.Equals, "202")
		qt.Assert(t, li.Text("Retried"), qt.Equals, "1")
		ats := trail.Attempts(*li)
		qt.Assert(t, ats, qt.HasLen, 2)
		qt.Assert(t, []string{ats[0].Kind, ats[1].Kind}, qt.DeepEquals, []string{"First", "Retry"})
		qt.Assert(t, ats[0].Server == ats[1].Server, qt.IsFalse)
		qt.Assert(t, []int{ats[0].Status, ats[1].Status}, qt.DeepEquals, []int{500, 500})
	})
}

// One of two shards has no backend server. The caller gets the other shard's part, and the
// line says which part is missing and why.
func TestLogLineOfPartialAnswer(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Shards: []string{"s-1", "s-2"}, TargetLatency: 100 * time.Millisecond, Merge: route.Merge{TopK: 5, RecordBytes: 16, LeastShare: 0.5}})
		lr.serve("s-1", "i-1", respondRecord)
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 200)
		lr.checkLine("warn request-answered", map[string]string{"Status": "200", "Code": "10", "Missing": "1", "Detail": "no backend server is known"},
			"s-2   NotAsked no backend server is known, 0 known, 0 ready")
	})
}

// A complete answer is later than the target latency. The line must list the attempts of
// the shard that made it late, and no others.
func TestLogLineOfLateAnswer(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Shards: []string{"s-1", "s-2"}, TargetLatency: 50 * time.Millisecond, Merge: route.Merge{TopK: 5, RecordBytes: 16, LeastShare: 1}})
		lr.serve("s-1", "i-1", respondRecord)
		lr.serve("s-2", "i-2", func(wr http.ResponseWriter, rq *http.Request) {
			time.Sleep(80 * time.Millisecond)
			respondRecord(wr, rq)
		})
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 200)
		lr.checkLine("warn request-answered", map[string]string{"Status": "200", "Code": "0", "Missing": "0", "Detail": detailLate, "AimMillis": "50", "Millis": "80"},
			"s-2 i-2 First Answered 200")
	})
}

// A backend server hangs and the request is hedged. The answer is good, but the line still
// records the hedge.
func TestLogLineOfHedgedAnswer(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget(), MaxAttempts: 2})
		both := make(chan struct{})
		var mu sync.Mutex
		asked := 0
		for _, id := range []string{"i-1", "i-2"} {
			lr.serve("desk", id, func(wr http.ResponseWriter, rq *http.Request) {
				mu.Lock()
				asked++
				first := asked == 1
				mu.Unlock()
				if first {
					<-both
					return
				}
				respondRecord(wr, rq)
			})
		}
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 200)
		close(both)
		lr.checkLine("info request-answered", map[string]string{"Status": "200", "Hedged": "1", "Sent": "2", "Detail": ""})
	})
}

// All connections to a server are still opening for callers that have left. The next
// request used to poll for a free connection every 5 ms, 35 times in total, and its line
// counted each as a sent request although nothing was sent.
func TestLogLineWithoutConnection(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget(), TargetLatency: time.Second})
		defer time.Sleep(time.Second) // The connection attempt has timed out by then.
		lr.blackholed = "address of i-1"
		lr.addServer("desk", "i-1", lr.blackholed, registry.Ready)
		ctx, leave := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer leave()
		first := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil).WithContext(ctx)
		first.Header.Set(logHeaderNames.RequestID, "r-0")
		func() {
			defer func() { qt.Check(t, recover(), qt.Equals, http.ErrAbortHandler) }()
			lr.sv.ServeHTTP(httptest.NewRecorder(), first)
		}()
		began := lr.sv.ts.Now()
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 503)
		qt.Assert(t, lr.sv.ts.Now().Sub(began), qt.Equals, 200*time.Millisecond)
		lr.checkLine("warn request-failed", map[string]string{"Status": "503", "Code": "100", "Detail": "no connection was free", "Sent": "0", "Hedged": "0", "Retried": "0"},
			"desk   NotAsked no connection was free, 1 known, 1 ready")
		var sb strings.Builder
		lr.sv.WriteMetrics(&sb)
		tries := ""
		for _, li := range strings.Split(sb.String(), "\n") {
			if after, ok := strings.CutPrefix(li, `balsamwinch_attempts_ended_total{service="desk",end="NoConnection"} `); ok {
				tries = after
			}
		}
		qt.Assert(t, len(tries), qt.Equals, 1, qt.Commentf("%s tries", tries))
	})
}

// Two servers refuse connections and a third takes the request. The line must count a
// single sent request.
func TestLogLineCountsOnlySentRequests(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget(), Kind: route.NotRepeatable})
		lr.addServer("desk", "i-1", "unused address", registry.Ready)
		lr.addServer("desk", "i-2", "another unused address", registry.Ready)
		lr.serve("desk", "i-3", closeConnection)
		lr.sv.re.SetMaxInFlight(map[string]int{"desk": 10})
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 502)
		qt.Assert(t, lr.logLine().Text("Sent"), qt.Equals, "1")
	})
}

// A partial answer is late because it needed a part that arrived after the target latency.
// The line must list both the missing part and the late part.
func TestLogLineOfLatePartialAnswer(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Shards: []string{"s-1", "s-2", "s-3"}, TargetLatency: 50 * time.Millisecond, Merge: route.Merge{TopK: 5, RecordBytes: 16, LeastShare: 0.6}})
		lr.serve("s-1", "i-1", respondRecord)
		slow := func(span time.Duration) http.HandlerFunc {
			return func(wr http.ResponseWriter, rq *http.Request) {
				time.Sleep(span)
				respondRecord(wr, rq)
			}
		}
		lr.serve("s-2", "i-2", slow(80*time.Millisecond))
		lr.serve("s-3", "i-3", slow(time.Second))
		qt.Assert(t, lr.send(t.Context()), qt.Equals, 200)
		lr.checkLine("warn request-answered", map[string]string{"Status": "200", "Code": "10", "Missing": "1", "Millis": "80"},
			"s-2 i-2 First Answered 200", "s-3 i-3 First UnderWay")
	})
}

// The caller disconnects while a backend server works. Nothing can be answered any more,
// and the line says so.
func TestLogLineOfCallerThatLeft(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget(), Kind: route.NotRepeatable})
		ctx, leave := context.WithCancel(t.Context())
		hold := make(chan struct{})
		lr.serve("desk", "i-1", func(http.ResponseWriter, *http.Request) {
			leave()
			<-hold
		})
		lr.send(ctx)
		close(hold)
		lr.checkLine("info request-left", map[string]string{"Status": "499", "Detail": "caller left", "Sent": "1"}, "desk i-1 First UnderWay")
	})
}

// All of a route's many shards fail at once. The line stays short and says how many
// attempts it omits.
func TestLogLineIsBounded(t *testing.T) {
	tests := []struct {
		attempts, unasked                    int
		shownAttempts, shownUnasked, omitted int
	}{
		{0, 0, 0, 0, 0},
		{3, 2, 3, 2, 0},
		{12, 0, 12, 0, 0},
		{20, 0, 12, 0, 8},
		{10, 5, 10, 2, 3},
		{20, 5, 12, 0, 13},
		{0, 54, 0, 12, 42},
	}
	for _, tt := range tests {
		ex := &executor{ca: &call{status: 502}, qu: scatter.New(scatter.Plan{Shards: tt.attempts + tt.unasked})}
		for sh := range tt.attempts + tt.unasked {
			ex.services = append(ex.services, "s")
			if sh < tt.attempts {
				ex.attempts = append(ex.attempts, attemptRecord{shard: uint16(sh)})
			}
		}
		ex.ca.ex = ex
		li := requestLine{ca: ex.ca}.attemptList()
		qt.Check(t, []int{len(li.indexes), len(li.unaskedShards), li.numOmitted}, qt.DeepEquals, []int{tt.shownAttempts, tt.shownUnasked, tt.omitted},
			qt.Commentf("%d attempts, %d shards without one", tt.attempts, tt.unasked))
	}
}

func TestErrorText(t *testing.T) {
	tests := []struct {
		err  error
		want string
	}{
		{errors.New("reset"), "reset"},
		{&upstream.Error{Server: "i-1", Address: "10.0.0.1:80", Err: upstream.ErrConnectionLimit}, "all connections are in use"},
		{fmt.Errorf("dial: %w", &net.OpError{Op: "dial", Err: errors.New("refused")}), "dial: dial: refused"},
		{errors.New(strings.Repeat("x", 500)), strings.Repeat("x", maxErrorBytes)},
	}
	for _, tt := range tests {
		qt.Check(t, errorText(tt.err), qt.Equals, tt.want)
	}
}

// Connections and the retry budget are divided by the number of entry instances, so each
// change of it is logged, and only changes.
func TestLogLineOfEntryCount(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		for _, count := range []int{1, 3, 3, 2} {
			lr.sv.SetEntries(count)
		}
		qt.Assert(t, lr.tw.Close(), qt.IsNil)
		var got []string
		_, err := trail.Scan(&lr.out.bu, func([]byte) bool { return true }, func(li trail.Line) bool {
			got = append(got, li.Event+" "+li.Text("Before")+" "+li.Text("Entries"))
			return true
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, []string{"entries-known 0 1", "entries-known 1 3", "entries-known 3 2"})
	})
}
