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

// names are the header names of the tests.
var names = HeaderNames{
	RequestID: "Request-Id", Deadline: "Deadline-Ms", ExpectServer: "Expect-Server", Stamp: "Stamp", NotRun: "Not-Run",
	ServerLoad: "Load", ServerID: "Server-Id", PartStamps: "Part-Stamps", MissingParts: "Missing-Parts",
}

// host is the host of all routes but those that say otherwise.
const host = "a.example"

// Times of the gateways of the tests.
const (
	distance = 3 * time.Millisecond
	margin   = 6 * time.Millisecond
)

// setup is how a test's gateway differs from the usual one.
type setup struct {
	budget     budget.Config
	mostActive int
	entries    int
	young      bool // young says that the gateway has just started.
	noTable    bool
}

// rig is a gateway between callers and backend servers.
type rig struct {
	tb testing.TB
	nw network
	ts *timer.Service
	le *ledger
	up *upstream.Client
	bu *budget.Budget
	gw *Server
	hs *http.Server
	li net.Listener

	mu      sync.Mutex
	tables  []*route.Table
	acts    map[string][]act // acts are those of the first, second, ... arrival of a request at a service; the last one stays.
	any     func(wo *work) act
	servers []*backend
	last    int
}

func newRig(tb testing.TB, nw network, se setup) *rig {
	rg := &rig{tb: tb, nw: nw, ts: timer.New(), le: newLedger(tb), acts: make(map[string][]act)}
	lg := zap.NewNop()
	uc := upstream.Config{Names: names.Upstream()}
	if _, ok := nw.(*pipes); ok {
		uc.Connect = nw.dial
	}
	rg.up = upstream.New(uc, rg.ts, lg)
	if se.budget.Window == 0 {
		se.budget = budget.Config{Ratio: 1, Slack: 1000, Window: 10 * time.Second}
	}
	if se.mostActive == 0 {
		se.mostActive = 1000
	}
	// The budget is that of a process that has run for a whole window.
	rg.bu = budget.New(se.budget, rg.ts.Now().Add(-se.budget.Window))
	re := replica.New(replica.Config{Seed: 1, HedgeFraction: 0.08})
	rg.gw = New(Config{
		Names: names, CallerDelay: distance, HoldMargin: margin, MaxInFlight: se.mostActive,
	}, rg.ts, lg, rg.up, re, rg.bu, quarantine.New())
	if !se.young {
		rg.gw.started = rg.gw.started.Add(-youngFor)
	}
	rg.gw.SetEntries(max(1, se.entries))
	rg.li = nw.listen(tb)
	rg.hs = &http.Server{Handler: rg.gw}
	var wg sync.WaitGroup
	wg.Go(func() { _ = rg.hs.Serve(rg.li) })
	tb.Cleanup(func() {
		_ = rg.hs.Close()
		wg.Wait()
		if _, ok := nw.(*pipes); ok {
			time.Sleep(time.Minute) // Whatever may still happen is in the ledger then.
		}
		rg.up.Close()
		for _, be := range rg.servers {
			be.stop()
		}
		rg.le.check(rg.tables)
	})
	return rg
}

// limits are those of the tables of the tests.
var limits = route.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// maxConnections is what backend servers of the tests take.
const maxConnections = 100

// table makes a table of the routes and puts it in force. Services are those that
// the routes name.
func (rg *rig) table(ros ...route.Route) {
	rg.tb.Helper()
	rg.limited(limits, maxConnections, ros...)
}

func (rg *rig) limited(li route.Limits, connections int, ros ...route.Route) {
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
		for _, name := range namesOf(ro) {
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

func namesOf(ro *route.Route) []string {
	out := slices.Clone(ro.Shards)
	for _, ta := range ro.Targets {
		out = append(out, ta.Service)
	}
	return out
}

// to is the target of a plain route.
func to(service string) []route.Target { return []route.Target{{Service: service, Weight: 1}} }

// serve starts backend servers of a service and announces them. What they do
// with the first, second and further arrivals of each request at the service is
// said by the acts, of which the last one stays; fine if there is none.
func (rg *rig) serve(service string, count int, acs ...act) []*backend {
	rg.mu.Lock()
	if len(acs) > 0 {
		rg.acts[service] = acs
	}
	var out []*backend
	for range count {
		rg.last++
		be := newBackend(rg, service, fmt.Sprintf("%s-%d", service, rg.last))
		rg.servers = append(rg.servers, be)
		out = append(out, be)
	}
	rg.mu.Unlock()
	rg.publish()
	return out
}

// act returns what a backend server does with a request.
func (rg *rig) act(wo *work) act {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.any != nil {
		return rg.any(wo)
	}
	acs := rg.acts[wo.be.service]
	if len(acs) == 0 {
		return fine
	}
	return acs[min(wo.nth, len(acs)-1)]
}

// publish tells the gateway which backend servers there are.
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

// ask is a request of a caller. Fields that are not set take what is usual.
type ask struct {
	method, host, uri string
	id                string
	noID              bool
	lines             []string // lines are further lines of the head.
	body              string
	chunked           bool
	waits             int // waits is how long the caller says it waits, in milliseconds.
}

// answer is what a caller gets. Err is set if there is no whole one.
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

// head returns the head of a request as it goes out.
func (as *ask) head() string {
	lines := []string{fmt.Sprintf("%s %s HTTP/1.1", as.method, as.uri), "Host: " + as.host}
	if !as.noID {
		lines = append(lines, names.RequestID+": "+as.id)
	}
	if as.waits != 0 {
		lines = append(lines, names.Deadline+": "+strconv.Itoa(as.waits))
	}
	switch {
	case as.chunked:
		lines = append(lines, "Transfer-Encoding: chunked")
	case as.body != "":
		lines = append(lines, "Content-Length: "+strconv.Itoa(len(as.body)))
	}
	return strings.Join(append(lines, as.lines...), "\r\n") + "\r\n\r\n"
}

// payload returns the body of a request as it goes out.
func (as *ask) payload() string {
	if !as.chunked {
		return as.body
	}
	return inChunks(as.body) + "0\r\n\r\n"
}

// caller is a connection of a caller to the gateway.
type caller struct {
	rg *rig
	nc net.Conn
	rd *bufio.Reader
}

func (rg *rig) connect() *caller {
	rg.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	nc, err := rg.nw.dial(ctx, rg.li.Addr().String())
	qt.Assert(rg.tb, err, qt.IsNil)
	rg.tb.Cleanup(func() { _ = nc.Close() })
	return &caller{rg: rg, nc: nc, rd: bufio.NewReader(nc)}
}

// fill completes a request and notes it.
func (rg *rig) fill(as ask) ask {
	rg.mu.Lock()
	rg.last++
	last := rg.last
	rg.mu.Unlock()
	if as.method == "" {
		as.method = http.MethodGet
		if as.body != "" {
			as.method = http.MethodPost
		}
	}
	if as.host == "" {
		as.host = host
	}
	if as.id == "" && !as.noID {
		as.id = fmt.Sprintf("q%d", last)
	}
	rg.le.note(func() { rg.le.asked[as.id] = &asked{method: as.method, host: as.host, uri: as.uri, body: as.body} })
	return as
}

// send sends a request and returns it as it was sent.
func (ca *caller) send(as ask) ask {
	as = ca.rg.fill(as)
	ca.write(as)
	return as
}

// write sends what was filled in. The gateway may answer, and close, before it
// has read a body that is too long.
func (ca *caller) write(as ask) { _, _ = io.WriteString(ca.nc, as.head()+as.payload()) }

// receive reads the answer to a request.
func (ca *caller) receive(as ask) *answer {
	an := ca.read(as)
	ca.rg.le.note(func() { ca.rg.le.asked[as.id].got = an })
	return an
}

func (ca *caller) read(as ask) *answer {
	an := &answer{id: as.id}
	rs, err := http.ReadResponse(ca.rd, &http.Request{Method: as.method})
	if err != nil {
		an.err = err
		return an
	}
	an.status, an.header, an.length, an.close = rs.StatusCode, rs.Header, rs.ContentLength, rs.Close
	an.body, an.err = io.ReadAll(rs.Body)
	return an
}

// do sends a request and reads the answer.
func (ca *caller) do(as ask) *answer {
	start := ca.rg.ts.Now()
	as = ca.rg.fill(as)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		ca.write(as)
	}()
	an := ca.receive(as)
	an.took = ca.rg.ts.Now().Sub(start)
	if an.err == nil && !an.close {
		<-sent
	}
	return an
}

// leave closes the connection.
func (ca *caller) leave() { _ = ca.nc.Close() }

// ask sends a request on a connection of its own.
func (rg *rig) ask(as ask) *answer {
	ca := rg.connect()
	defer ca.leave()
	return ca.do(as)
}

// get asks for a path and fails the test unless the status is the wanted one.
func (rg *rig) get(uri string, status int) *answer {
	rg.tb.Helper()
	an := rg.ask(ask{uri: uri})
	rg.checkStatus(an, status)
	return an
}

func (rg *rig) checkStatus(an *answer, status int) {
	rg.tb.Helper()
	qt.Assert(rg.tb, an.err, qt.IsNil)
	qt.Assert(rg.tb, an.status, qt.Equals, status, qt.Commentf("%s: %s\n%s", an.id, an.body, rg.le))
}

// checkUnknown fails the test unless the answer says that it is not known whether
// the request has run.
func (rg *rig) checkUnknown(an *answer) {
	rg.tb.Helper()
	if an.err == nil && an.status == http.StatusGatewayTimeout {
		return
	}
	rg.checkStatus(an, http.StatusBadGateway)
}

// checkFault is checkStatus with 502 for either of 502 and 504.
func (rg *rig) checkFault(an *answer, status int) {
	rg.tb.Helper()
	if status == http.StatusBadGateway {
		rg.checkUnknown(an)
		return
	}
	rg.checkStatus(an, status)
}

// begin starts a request and returns where its answer arrives.
func (rg *rig) begin(as ask) <-chan *answer {
	ch := make(chan *answer, 1)
	go func() { ch <- rg.ask(as) }()
	return ch
}

// contextOf returns a context that bounds a wait.
func contextOf() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), patience)
}
