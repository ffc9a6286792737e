package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/budget"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/replica"
	"balsamwinch.example/route"
	"balsamwinch.example/timer"
	"balsamwinch.example/upstream"
)

// names holds the header names of the tests.
var names = HeaderNames{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", ExpectServer: "Expect-Server", Stamp: "Stamp", NotRun: "Not-Run",
	ServerLoad: "Load", ServerID: "Server-Id", PartStamps: "Part-Stamps", MissingParts: "Missing-Parts", Customer: "Customer-Name",
}

// host is the default host of routes and requests.
const host = "a.example"

// Delays of the tests' gateways.
const (
	callerDelay   = 3 * time.Millisecond
	partialMargin = 6 * time.Millisecond
)

// setup holds the options of a rig.
type setup struct {
	budget      budget.Config
	maxInFlight int
	entries     int
	justStarted bool // the gateway has just started
	noTable     bool

	sharedStalls bool
}

// rig is a gateway between callers and backend servers.
type rig struct {
	tb   testing.TB
	nw   network
	ts   *timer.Service
	hist *history
	up   *upstream.Client
	bu   *budget.Budget
	gw   *Server
	hs   *http.Server
	li   net.Listener

	mu        sync.Mutex
	tables    []*route.Table
	behaviors map[string][]behavior // by service: behavior at the first, second, ... arrival of a request; the last one repeats
	behave    func(wo *work) behavior
	servers   []*backend
	lastID    int
}

func newRig(tb testing.TB, nw network, se setup) *rig {
	rg := &rig{tb: tb, nw: nw, ts: timer.New(), hist: newHistory(tb), behaviors: make(map[string][]behavior)}
	lg := zap.NewNop()
	uc := upstream.Config{Names: names.Upstream()}
	if _, ok := nw.(*memNetwork); ok {
		uc.Connect = nw.dial
	}
	rg.up = upstream.New(uc, rg.ts, lg)
	if se.budget.Window == 0 {
		se.budget = budget.Config{Ratio: 1, Slack: 1000, Window: 10 * time.Second}
	}
	if se.maxInFlight == 0 {
		se.maxInFlight = 1000
	}
	// The budget is that of a process that has run for a whole window.
	rg.bu = budget.New(se.budget, rg.ts.Now().Add(-se.budget.Window))
	re := replica.New(replica.Config{Seed: 1, HedgeFraction: 0.08})
	rg.gw = New(Config{
		Names: names, CallerDelay: callerDelay, PartialMargin: partialMargin, MaxInFlight: se.maxInFlight,
		SharedStalls: se.sharedStalls,
	}, rg.ts, lg, rg.up, re, rg.bu, quarantine.New())
	if !se.justStarted {
		rg.gw.started = rg.gw.started.Add(-startupDuration)
	}
	rg.gw.SetEntries(max(1, se.entries))
	rg.li = nw.listen(tb)
	rg.hs = &http.Server{Handler: rg.gw}
	var wg sync.WaitGroup
	wg.Go(func() { _ = rg.hs.Serve(rg.li) })
	tb.Cleanup(func() {
		_ = rg.hs.Close()
		wg.Wait()
		if _, ok := nw.(*memNetwork); ok {
			time.Sleep(time.Minute) // The history is complete by then.
		}
		rg.up.Close()
		for _, be := range rg.servers {
			be.stop()
		}
		rg.hist.check(rg.tables)
	})
	return rg
}

// limits holds the default limits of tables.
var limits = route.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// maxConnections is the default connection limit of backend servers.
const maxConnections = 100

// setTable puts a table of the routes in force. Its services are those that the routes
// name.
func (rg *rig) setTable(ros ...route.Route) {
	rg.tb.Helper()
	rg.setLimitedTable(limits, maxConnections, ros...)
}

func (rg *rig) setLimitedTable(li route.Limits, connections int, ros ...route.Route) {
	rg.tb.Helper()
	var ses []route.Service
	for ix := range ros {
		ro := &ros[ix]
		if ro.Name == "" {
			ro.Name = ro.Prefix
		}
		if ro.Host == "" {
			ro.Host = host
		}
		if ro.Timeout == 0 {
			ro.Timeout = 10 * time.Second
		}
		if len(ro.Shards) > 0 {
			ro.Merge.RecordBytes = recordBytes
		}
		for _, name := range servicesOf(ro) {
			if !slices.ContainsFunc(ses, func(se route.Service) bool { return se.Name == name }) {
				ses = append(ses, route.Service{Name: name, MaxConnections: connections})
			}
		}
	}
	rg.mu.Lock()
	version := uint64(len(rg.tables) + 1)
	tb, err := route.New(version, ros, ses, li)
	rg.tables = append(rg.tables, tb)
	rg.mu.Unlock()
	qt.Assert(rg.tb, err, qt.IsNil)
	rg.gw.SetTable(tb)
}

func servicesOf(ro *route.Route) []string {
	out := slices.Clone(ro.Shards)
	for _, ta := range ro.Targets {
		out = append(out, ta.Service)
	}
	return out
}

// singleTarget returns the targets of a route to one service.
func singleTarget(service string) []route.Target {
	return []route.Target{{Service: service, Weight: 1}}
}

// startServers starts backend servers of a service and announces them. The behaviors apply
// to the first, second and further arrivals of each request at the service, and the last
// one repeats; the default is respondOK.
func (rg *rig) startServers(service string, count int, bhs ...behavior) []*backend {
	rg.mu.Lock()
	if len(bhs) > 0 {
		rg.behaviors[service] = bhs
	}
	var out []*backend
	for range count {
		rg.lastID++
		be := newBackend(rg, service, fmt.Sprintf("%s-%d", service, rg.lastID))
		rg.servers = append(rg.servers, be)
		out = append(out, be)
	}
	rg.mu.Unlock()
	rg.publish()
	return out
}

// behavior returns how a backend server treats a request.
func (rg *rig) behavior(wo *work) behavior {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.behave != nil {
		return rg.behave(wo)
	}
	bhs := rg.behaviors[wo.be.service]
	if len(bhs) == 0 {
		return respondOK
	}
	return bhs[min(wo.nth, len(bhs)-1)]
}

// publish sends the gateway the current set of backend servers.
func (rg *rig) publish() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	ses := make(map[string][]registry.Server)
	for _, be := range rg.servers {
		if se := be.record(); se.State != registry.Gone {
			ses[be.service] = append(ses[be.service], se)
		}
	}
	rg.gw.SetServers(ses)
}

// request is a request of a caller. Fields that are not set have defaults.
type request struct {
	method, host, uri string
	id                string
	noID              bool
	lines             []string // additional header lines
	body              string
	chunked           bool
	timeoutMillis     int // timeout that the caller announces, in milliseconds
}

// answer is what a caller gets. Field err is set if the answer is incomplete.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	length int64
	close  bool
	took   time.Duration
	err    error
}

// head returns the encoded request line and header.
func (rq *request) head() string {
	lines := []string{fmt.Sprintf("%s %s HTTP/1.1", rq.method, rq.uri), "Host: " + rq.host}
	if !rq.noID {
		lines = append(lines, names.RequestID+": "+rq.id)
	}
	if rq.timeoutMillis != 0 {
		lines = append(lines, names.Deadline+": "+strconv.Itoa(rq.timeoutMillis))
	}
	switch {
	case rq.chunked:
		lines = append(lines, "Transfer-Encoding: chunked")
	case rq.body != "":
		lines = append(lines, "Content-Length: "+strconv.Itoa(len(rq.body)))
	}
	return strings.Join(append(lines, rq.lines...), "\r\n") + "\r\n\r\n"
}

// payload returns the encoded body.
func (rq *request) payload() string {
	if !rq.chunked {
		return rq.body
	}
	return encodeChunks(rq.body) + "0\r\n\r\n"
}

// caller is a connection of a caller to the gateway.
type caller struct {
	rg *rig
	nc net.Conn
	rd *bufio.Reader
}

func (rg *rig) connect() *caller {
	rg.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	nc, err := rg.nw.dial(ctx, rg.li.Addr().String())
	qt.Assert(rg.tb, err, qt.IsNil)
	rg.tb.Cleanup(func() { _ = nc.Close() })
	return &caller{rg: rg, nc: nc, rd: bufio.NewReader(nc)}
}

// register sets the defaults of a request and records it.
func (rg *rig) register(rq request) request {
	rg.mu.Lock()
	rg.lastID++
	last := rg.lastID
	rg.mu.Unlock()
	if rq.method == "" {
		rq.method = http.MethodGet
		if rq.body != "" {
			rq.method = http.MethodPost
		}
	}
	if rq.host == "" {
		rq.host = host
	}
	if rq.id == "" && !rq.noID {
		rq.id = fmt.Sprintf("q%d", last)
	}
	rg.hist.update(func() {
		rg.hist.requests[rq.id] = &callerRequest{method: rq.method, host: rq.host, uri: rq.uri, body: rq.body}
	})
	return rq
}

// send sends a request and returns it with its defaults set.
func (ca *caller) send(rq request) request {
	rq = ca.rg.register(rq)
	ca.write(rq)
	return rq
}

// write sends a registered request. Errors are ignored, since the gateway may answer and
// close the connection before it has read a body that is too long.
func (ca *caller) write(rq request) { _, _ = io.WriteString(ca.nc, rq.head()+rq.payload()) }

// receive reads the answer to a request and records it.
func (ca *caller) receive(rq request) *answer {
	an := ca.read(rq)
	ca.rg.hist.update(func() { ca.rg.hist.requests[rq.id].answer = an })
	return an
}

func (ca *caller) read(rq request) *answer {
	an := &answer{id: rq.id}
	rs, err := http.ReadResponse(ca.rd, &http.Request{Method: rq.method})
	if err != nil {
		an.err = err
		return an
	}
	an.status, an.header, an.length, an.close = rs.StatusCode, rs.Header, rs.ContentLength, rs.Close
	an.body, an.err = io.ReadAll(rs.Body)
	return an
}

// do sends a request and reads the answer.
func (ca *caller) do(rq request) *answer {
	start := ca.rg.ts.Now()
	rq = ca.rg.register(rq)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		ca.write(rq)
	}()
	an := ca.receive(rq)
	an.took = ca.rg.ts.Now().Sub(start)
	if an.err == nil && !an.close {
		<-sent
	}
	return an
}

// leave closes the connection.
func (ca *caller) leave() { _ = ca.nc.Close() }

// send sends a request on a new connection and returns the answer.
func (rg *rig) send(rq request) *answer {
	ca := rg.connect()
	defer ca.leave()
	return ca.do(rq)
}

// get requests a path and fails the test unless the status matches.
func (rg *rig) get(uri string, status int) *answer {
	rg.tb.Helper()
	an := rg.send(request{uri: uri})
	rg.checkStatus(an, status)
	return an
}

func (rg *rig) checkStatus(an *answer, status int) {
	rg.tb.Helper()
	qt.Assert(rg.tb, an.err, qt.IsNil)
	qt.Assert(rg.tb, an.status, qt.Equals, status, qt.Commentf("%s: %s\n%s", an.id, an.body, rg.hist))
}

// checkUnknown fails the test unless the answer says that it is unknown whether the request
// has run.
func (rg *rig) checkUnknown(an *answer) {
	rg.tb.Helper()
	if an.err == nil && an.status == http.StatusGatewayTimeout {
		return
	}
	rg.checkStatus(an, http.StatusBadGateway)
}

// checkFault is checkStatus, except that 502 also accepts 504.
func (rg *rig) checkFault(an *answer, status int) {
	rg.tb.Helper()
	if status == http.StatusBadGateway {
		rg.checkUnknown(an)
		return
	}
	rg.checkStatus(an, status)
}

// sendAsync starts a request and returns a channel for its answer.
func (rg *rig) sendAsync(rq request) <-chan *answer {
	ch := make(chan *answer, 1)
	go func() { ch <- rg.send(rq) }()
	return ch
}

// testContext returns a context with timeout testTimeout.
func testContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), testTimeout)
}
