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

// lineNames are the header names of the tests of lines.
var lineNames = HeaderNames{
	RequestID: "Id", Deadline: "Wait", ExpectServer: "Expect-Server", Stamp: "Stamp", NotRun: "Not-Run",
	ServerLoad: "Load", PartStamps: "Parts", MissingParts: "Missing",
}

// syncBuffer is a buffer that may be written while it is read.
type syncBuffer struct {
	mu sync.Mutex
	bu bytes.Buffer
}

func (sb *syncBuffer) Write(data []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.bu.Write(data)
}

// door is a listener in memory, so that time can be virtual.
type door struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (do *door) Accept() (net.Conn, error) {
	select {
	case nc := <-do.conns:
		return nc, nil
	case <-do.closed:
		return nil, net.ErrClosed
	}
}

func (do *door) Close() error {
	do.once.Do(func() { close(do.closed) })
	return nil
}

func (do *door) Addr() net.Addr { return do }

func (do *door) Network() string { return "tcp" }

func (do *door) String() string { return do.address }

// logged is a gateway whose log is read back.
type logged struct {
	t     *testing.T
	sv    *Server
	out   *syncBuffer
	tw    *trail.Writer
	ses   map[string][]registry.Server
	doors map[string]*door
	dark  string // dark is an address from which nothing ever comes.
}

// onLogged runs a test in virtual time.
func onLogged(t *testing.T, test func(t *testing.T, lo *logged)) {
	synctest.Test(t, func(t *testing.T) { test(t, newLogged(t)) })
}

func newLogged(t *testing.T) *logged {
	ts := timer.New()
	lo := &logged{t: t, out: &syncBuffer{}, ses: make(map[string][]registry.Server), doors: make(map[string]*door)}
	lg, tw := trail.New(lo.out, trail.Config{Instance: "entry-1"}, ts)
	lo.tw = tw
	up := upstream.New(upstream.Config{Names: lineNames.Upstream(), Connect: lo.connect}, ts, zap.NewNop())
	t.Cleanup(up.Close)
	bu := budget.New(budget.Config{Ratio: 100, Slack: 100}, ts.Now().Add(-time.Hour))
	cf := Config{Names: lineNames, CallerDelay: 3 * time.Millisecond, HoldMargin: time.Millisecond, MaxInFlight: 100}
	lo.sv = New(cf, ts, lg, up, replica.New(replica.Config{}), bu, quarantine.New())
	lo.sv.SetEntries(1)
	return lo
}

func (lo *logged) connect(ctx context.Context, address string) (net.Conn, error) {
	if address == lo.dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	do := lo.doors[address]
	if do == nil {
		return nil, errors.New("refused")
	}
	here, there := net.Pipe()
	do.conns <- there
	return here, nil
}

// serve adds a backend server of a service.
func (lo *logged) serve(service, id string, ha http.HandlerFunc) {
	do := &door{address: "address of " + id, conns: make(chan net.Conn, 10), closed: make(chan struct{})}
	lo.doors[do.address] = do
	hs := httptest.NewUnstartedServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		wr.Header().Set(lineNames.RequestID, rq.Header.Get(lineNames.RequestID))
		wr.Header().Set(lineNames.Stamp, "stamp of "+id)
		ha(wr, rq)
	}))
	_ = hs.Listener.Close()
	hs.Listener = do
	hs.Start()
	lo.t.Cleanup(hs.Close)
	lo.known(service, id, do.address, registry.Ready)
}

// known makes the gateway know a backend server.
func (lo *logged) known(service, id, address string, st registry.State) {
	lo.ses[service] = append(slices.Clone(lo.ses[service]), registry.Server{ID: id, Service: service, Address: address, Slots: 4, State: st})
	lo.sv.SetServers(lo.ses)
}

// configure puts one route in force.
func (lo *logged) configure(ro route.Route) {
	ro.Name, ro.Host, ro.Prefix = "quotes", "a.example", "/"
	if ro.Timeout == 0 {
		ro.Timeout = 10 * time.Second
	}
	var ses []route.Service
	for _, na := range append(slices.Clone(ro.Shards), targets(ro)...) {
		ses = append(ses, route.Service{Name: na, MaxConnections: 100})
	}
	tb, err := route.New(7, []route.Route{ro}, ses, route.Limits{})
	qt.Assert(lo.t, err, qt.IsNil)
	lo.sv.SetTable(tb)
}

func targets(ro route.Route) []string {
	var out []string
	for _, ta := range ro.Targets {
		out = append(out, ta.Service)
	}
	return out
}

func plain() []route.Target { return []route.Target{{Service: "desk", Weight: 1}} }

// ask sends a request and returns the status of the answer; 0 if it was broken off.
func (lo *logged) ask(ctx context.Context) (status int) {
	rq := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil).WithContext(ctx)
	rq.Header.Set(lineNames.RequestID, "r-1")
	rq.Header.Set(lineNames.Deadline, "9000")
	wr := httptest.NewRecorder()
	defer func() {
		if va := recover(); va != nil && !errors.Is(va.(error), http.ErrAbortHandler) {
			panic(va)
		}
	}()
	lo.sv.ServeHTTP(wr, rq)
	return wr.Code
}

// line returns the only line about the request, or nil if there is none.
func (lo *logged) line() *trail.Line {
	qt.Assert(lo.t, lo.tw.Close(), qt.IsNil)
	lo.out.mu.Lock()
	defer lo.out.mu.Unlock()
	var lis []trail.Line
	unread, err := trail.Scan(bytes.NewReader(lo.out.bu.Bytes()), func(raw []byte) bool { return bytes.Contains(raw, []byte(`"r-1"`)) },
		func(li trail.Line) bool {
			lis = append(lis, li)
			return true
		})
	qt.Assert(lo.t, err, qt.IsNil)
	qt.Assert(lo.t, unread, qt.Equals, 0)
	if len(lis) == 0 {
		return nil
	}
	qt.Assert(lo.t, lis, qt.HasLen, 1)
	return &lis[0]
}

// want checks the event, the level and what else the test names of the line.
func (lo *logged) want(event string, fields map[string]string, ats ...string) {
	lo.t.Helper()
	li := lo.line()
	qt.Assert(lo.t, li, qt.IsNotNil)
	qt.Check(lo.t, li.Level+" "+li.Event, qt.Equals, event)
	qt.Check(lo.t, li.Instance, qt.Equals, "entry-1")
	for na, va := range fields {
		qt.Check(lo.t, li.Text(na), qt.Equals, va, qt.Commentf("%s", na))
	}
	var got []string
	for _, at := range trail.Attempts(*li) {
		got = append(got, strings.TrimSpace(fmt.Sprintf("%s %s %s %s %s", at.Service, at.Server, at.Kind, at.End, whyOf(at))))
	}
	qt.Check(lo.t, got, qt.DeepEquals, ats)
}

func whyOf(at trail.Attempt) string {
	switch {
	case at.Status > 0:
		return fmt.Sprint(at.Status)
	case at.Cause != "":
		return fmt.Sprintf("%s, %d known, %d ready", at.Cause, at.Known, at.Ready)
	}
	return at.Error
}

func good(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write([]byte("0123456789abcdef")) }

// cut ends the connection after the request has come.
func cut(wr http.ResponseWriter, _ *http.Request) {
	nc, _, err := wr.(http.Hijacker).Hijack()
	if err == nil {
		_ = nc.Close()
	}
}

func TestNoLineForGoodAnswer(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Targets: plain()})
		lo.serve("desk", "i-1", good)
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 200)
		qt.Assert(t, lo.line(), qt.IsNil)
	})
}

func TestLineWithoutConfiguration(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 503)
		lo.want("warn request-failed", map[string]string{
			"Status": "503", "Code": "100", "Detail": "no configuration", "Version": "0", "Route": "", "SaidMillis": "9000", "Sent": "0",
		})
	})
}

func TestLineWithoutRoute(t *testing.T) {
	onLogged(t, func(_ *testing.T, lo *logged) {
		lo.configure(route.Route{Targets: plain()})
		rq := httptest.NewRequest(http.MethodGet, "http://b.example/x", nil)
		rq.Header.Set(lineNames.RequestID, "r-1")
		lo.sv.ServeHTTP(httptest.NewRecorder(), rq)
		lo.want("info request-failed", map[string]string{"Status": "404", "Code": "103", "Version": "7"})
	})
}

// All backend servers of a service drain. The request is refused, and the line
// must tell this from a service that nobody announced.
func TestLineWithoutServer(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Targets: plain(), Aim: 50 * time.Millisecond})
		lo.known("desk", "i-1", "127.0.0.1:1", registry.Draining)
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 503)
		lo.want("warn request-failed", map[string]string{"Status": "503", "Code": "100", "AimMillis": "50", "Sent": "0", "Active": "1"},
			"desk   NotAsked no backend server is known, 1 known, 0 ready")
	})
}

// A backend server dies after it has got a request that may run once. The caller
// gets 502, and the line must name the server and what happened on its connection.
func TestLineOfLostAnswer(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Targets: plain(), Kind: route.NotRepeatable})
		lo.serve("desk", "i-1", cut)
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 502)
		lo.want("warn request-failed", map[string]string{"Status": "502", "Code": "201", "Detail": "an answer was lost", "Sent": "1"},
			"desk i-1 First Lost "+lostText(t, lo))
	})
}

// Backend servers end one after the other, and their operator wants to know whether it
// is always under the same request. Its ids differ in each attempt: the line names the
// content and those that broke off, also where another server has answered in the end.
func TestLineOfContentUnderWhichServersEnd(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Targets: plain(), Kind: route.Repeatable, MaxAttempts: 2})
		lo.serve("desk", "i-1", cut)
		lo.serve("desk", "i-2", cut)
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 502)
		content := quarantine.Content{Method: http.MethodGet, Host: "a.example", URI: "http://a.example/x"}
		li := lo.line()
		qt.Check(t, li.Text("Content"), qt.Equals, content.Key().String())
		qt.Check(t, li.Text("BrokeOff"), qt.Equals, "2")
		for _, id := range []string{"i-1", "i-2"} {
			qt.Check(t, strings.Contains(li.Text("Under"), id), qt.IsTrue, qt.Commentf(li.Text("Under")))
		}
	})
}

// lostText returns the error of the only attempt, which the system words.
func lostText(t *testing.T, lo *logged) string {
	ats := trail.Attempts(*lo.line())
	qt.Assert(t, ats, qt.HasLen, 1)
	qt.Assert(t, ats[0].Error, qt.Not(qt.Equals), "")
	qt.Assert(t, strings.Contains(ats[0].Error, "i-1"), qt.IsFalse, qt.Commentf("the server stands in its own field: %q", ats[0].Error))
	return ats[0].Error
}

// A backend server's failure is passed on as it came, so that no code of ours is
// in the answer; the line says that it failed, and who.
func TestLineOfPassedFailure(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Targets: plain(), MaxAttempts: 2})
		for _, id := range []string{"i-1", "i-2"} {
			lo.serve("desk", id, func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(500) })
		}
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 500)
		li := lo.line()
		qt.Assert(t, li.Text("Code"), qt.Equals, "202")
		qt.Assert(t, li.Text("Retried"), qt.Equals, "1")
		ats := trail.Attempts(*li)
		qt.Assert(t, ats, qt.HasLen, 2)
		qt.Assert(t, []string{ats[0].Kind, ats[1].Kind}, qt.DeepEquals, []string{"First", "Retry"})
		qt.Assert(t, ats[0].Server == ats[1].Server, qt.IsFalse)
		qt.Assert(t, []int{ats[0].Status, ats[1].Status}, qt.DeepEquals, []int{500, 500})
	})
}

// One of two shards has no backend server. The caller gets the other's part, and
// the line says which part is missing and why.
func TestLineOfPartialAnswer(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Shards: []string{"s-1", "s-2"}, Aim: 100 * time.Millisecond, Merge: route.Merge{TopK: 5, RecordBytes: 16, LeastShare: 0.5}})
		lo.serve("s-1", "i-1", good)
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 200)
		lo.want("warn request-answered", map[string]string{"Status": "200", "Code": "10", "Missing": "1", "Detail": "no backend server is known"},
			"s-2   NotAsked no backend server is known, 0 known, 0 ready")
	})
}

// A whole answer comes later than the route aims for. The line must show the
// attempts for the shard that made it late, and only those.
func TestLineOfLateAnswer(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Shards: []string{"s-1", "s-2"}, Aim: 50 * time.Millisecond, Merge: route.Merge{TopK: 5, RecordBytes: 16, LeastShare: 1}})
		lo.serve("s-1", "i-1", good)
		lo.serve("s-2", "i-2", func(wr http.ResponseWriter, rq *http.Request) {
			time.Sleep(80 * time.Millisecond)
			good(wr, rq)
		})
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 200)
		lo.want("warn request-answered", map[string]string{"Status": "200", "Code": "0", "Missing": "0", "Detail": detailLate, "AimMillis": "50", "Millis": "80"},
			"s-2 i-2 First Answered 200")
	})
}

// A backend server hangs, and a second one is asked beside it. The answer is
// good; the line is for whoever asks how often that happens.
func TestLineOfHedgedAnswer(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Targets: plain(), MaxAttempts: 2})
		both := make(chan struct{})
		var mu sync.Mutex
		asked := 0
		for _, id := range []string{"i-1", "i-2"} {
			lo.serve("desk", id, func(wr http.ResponseWriter, rq *http.Request) {
				mu.Lock()
				asked++
				first := asked == 1
				mu.Unlock()
				if first {
					<-both
					return
				}
				good(wr, rq)
			})
		}
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 200)
		close(both)
		lo.want("info request-answered", map[string]string{"Status": "200", "Hedged": "1", "Sent": "2", "Detail": ""})
	})
}

// All connections to a server wait to be opened for callers that have left. The
// next request looked for a free one each 5 ms, 35 times in all, and its line said
// that as many requests were sent. Nothing was.
func TestLineWithoutConnection(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Targets: plain(), Aim: time.Second})
		defer time.Sleep(time.Second) // The connection is given up by then.
		lo.dark = "address of i-1"
		lo.known("desk", "i-1", lo.dark, registry.Ready)
		ctx, leave := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer leave()
		first := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil).WithContext(ctx)
		first.Header.Set(lineNames.RequestID, "r-0")
		func() {
			defer func() { qt.Check(t, recover(), qt.Equals, http.ErrAbortHandler) }()
			lo.sv.ServeHTTP(httptest.NewRecorder(), first)
		}()
		began := lo.sv.ts.Now()
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 503)
		qt.Assert(t, lo.sv.ts.Now().Sub(began), qt.Equals, 200*time.Millisecond)
		lo.want("warn request-failed", map[string]string{"Status": "503", "Code": "100", "Detail": "no connection was free", "Sent": "0", "Hedged": "0", "Retried": "0"},
			"desk   NotAsked no connection was free, 1 known, 1 ready")
		var sb strings.Builder
		lo.sv.WriteMetrics(&sb)
		tries := ""
		for _, li := range strings.Split(sb.String(), "\n") {
			if after, ok := strings.CutPrefix(li, `balsamwinch_attempts_ended_total{service="desk",end="NoConnection"} `); ok {
				tries = after
			}
		}
		qt.Assert(t, len(tries), qt.Equals, 1, qt.Commentf("%s tries", tries))
	})
}

// One server refuses connections, another one takes the request. One request left
// the machine, and the line says so.
func TestLineCountsWhatLeft(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Targets: plain(), Kind: route.NotRepeatable})
		lo.known("desk", "i-1", "address of nobody", registry.Ready)
		lo.known("desk", "i-2", "address of nobody else", registry.Ready)
		lo.serve("desk", "i-3", cut)
		lo.sv.re.SetMaxInFlight(map[string]int{"desk": 10})
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 502)
		qt.Assert(t, lo.line().Text("Sent"), qt.Equals, "1")
	})
}

// An answer without one part was late, since another part was needed and came after
// the aim. The line must name both: the one that is missing and the one that made it
// late.
func TestLineOfLatePartialAnswer(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Shards: []string{"s-1", "s-2", "s-3"}, Aim: 50 * time.Millisecond, Merge: route.Merge{TopK: 5, RecordBytes: 16, LeastShare: 0.6}})
		lo.serve("s-1", "i-1", good)
		slow := func(span time.Duration) http.HandlerFunc {
			return func(wr http.ResponseWriter, rq *http.Request) {
				time.Sleep(span)
				good(wr, rq)
			}
		}
		lo.serve("s-2", "i-2", slow(80*time.Millisecond))
		lo.serve("s-3", "i-3", slow(time.Second))
		qt.Assert(t, lo.ask(t.Context()), qt.Equals, 200)
		lo.want("warn request-answered", map[string]string{"Status": "200", "Code": "10", "Missing": "1", "Millis": "80"},
			"s-2 i-2 First Answered 200", "s-3 i-3 First UnderWay")
	})
}

// The caller leaves while a backend server works. Nothing can be answered any
// more, and the line says so.
func TestLineOfCallerThatLeft(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Targets: plain(), Kind: route.NotRepeatable})
		ctx, leave := context.WithCancel(t.Context())
		hold := make(chan struct{})
		lo.serve("desk", "i-1", func(http.ResponseWriter, *http.Request) {
			leave()
			<-hold
		})
		lo.ask(ctx)
		close(hold)
		lo.want("info request-left", map[string]string{"Status": "499", "Detail": "caller left", "Sent": "1"}, "desk i-1 First UnderWay")
	})
}

// A route has many shards and all fail at once. The line stays short and says
// how much it leaves out.
func TestLineIsBounded(t *testing.T) {
	tests := []struct {
		attempts, unasked       int
		notes, shownOf, leftOut int
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
		cr := &carrier{ca: &call{status: 502}, qu: scatter.New(scatter.Plan{Shards: tt.attempts + tt.unasked})}
		for sh := range tt.attempts + tt.unasked {
			cr.services = append(cr.services, "s")
			if sh < tt.attempts {
				cr.notes = append(cr.notes, note{shard: uint16(sh)})
			}
		}
		cr.ca.cr = cr
		li := story{ca: cr.ca}.list()
		qt.Check(t, []int{len(li.notes), len(li.unasked), li.leftOut}, qt.DeepEquals, []int{tt.notes, tt.shownOf, tt.leftOut},
			qt.Commentf("%d attempts, %d unasked", tt.attempts, tt.unasked))
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
		{errors.New(strings.Repeat("x", 500)), strings.Repeat("x", mostErrorBytes)},
	}
	for _, tt := range tests {
		qt.Check(t, errorText(tt.err), qt.Equals, tt.want)
	}
}

// The number of entry instances divides connections and the retry budget, so a
// change of it is told, and only a change.
func TestLineOfEntries(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		for _, count := range []int{1, 3, 3, 2} {
			lo.sv.SetEntries(count)
		}
		qt.Assert(t, lo.tw.Close(), qt.IsNil)
		var got []string
		_, err := trail.Scan(&lo.out.bu, func([]byte) bool { return true }, func(li trail.Line) bool {
			got = append(got, li.Event+" "+li.Text("Before")+" "+li.Text("Entries"))
			return true
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, []string{"entries-known 0 1", "entries-known 1 3", "entries-known 3 2"})
	})
}
