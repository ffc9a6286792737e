package tier_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/platform"
	"balsamwinch.example/tier"
)

const (
	// awaitTimeout bounds every wait for a condition. It checks no latency: a passing
	// test takes much less.
	awaitTimeout = time.Minute
	// pollInterval is how often a condition is checked.
	pollInterval = 10 * time.Millisecond
	// announceInterval is how often the backend servers announce themselves.
	announceInterval = 300 * time.Millisecond
	// stopTimeout is the timeout of a planned stop.
	stopTimeout = 4 * time.Second
)

// cluster is a whole tier in one process, each instance at its own address 127.0.0.x,
// with backend servers and an operator.
type cluster struct {
	t         *testing.T
	ctx       context.Context
	linkPort  int
	hc        *http.Client
	instances map[string]*instance
	controls  []*instance
	entries   []*instance

	mu        sync.Mutex
	listeners map[string]net.Listener
}

// instance is one instance of the tier.
type instance struct {
	se   tier.Settings
	lg   *zap.Logger
	di   tier.Dialect
	mws  []tier.MetricsWriter
	stop context.CancelFunc
	done chan error
}

// newCluster starts the instances. Each prepare function is called on every instance
// before it starts.
func newCluster(t *testing.T, controls, entries int, prepare ...func(in *instance)) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	cl := &cluster{
		t: t, ctx: ctx, instances: make(map[string]*instance), listeners: make(map[string]net.Listener),
		hc: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second},
	}
	t.TempDir() // Created first, so that it is removed last, when no instance writes any more.
	t.Cleanup(tier.SetListen(cl.listen))
	t.Cleanup(func() {
		cancel()
		for _, in := range cl.instances {
			in.shutdown()
		}
	})
	ips := make([]string, controls+entries)
	for ix := range ips {
		ips[ix] = fmt.Sprintf("127.0.0.%d", 11+ix)
	}
	cl.reserveLinkPort(ips)
	for ix, ip := range ips {
		se := tier.Defaults()
		se.Name, se.DataCentre, se.Address, se.LinkPort = "entry-"+ip, []string{"north", "south"}[ix%2], ip, cl.linkPort
		se.FirstStart = true
		se.Limits.MemoryMegabytes = 4096
		se.Timing.Announcement, se.Timing.StopWithin = announceInterval, stopTimeout
		in := &instance{se: se, lg: zap.NewNop(), di: platform.Dialect{}}
		if ix < controls {
			in.se.Name = "control-" + ip
			in.se.DataFolder = t.TempDir()
			in.se.Listen = tier.Listen{Control: cl.reserveAddress(ip), Addresses: cl.reserveAddress(ip)}
			cl.controls = append(cl.controls, in)
		} else {
			in.se.Listen = tier.Listen{Callers: cl.reserveAddress(ip), Ready: cl.reserveAddress(ip)}
			cl.entries = append(cl.entries, in)
		}
		in.se.Metrics = cl.reserveAddress(ip)
		cl.instances[in.se.Name] = in
	}
	for _, in := range cl.instances {
		for _, co := range cl.controls {
			in.se.Seeds = append(in.se.Seeds, co.se.Listen.Control)
		}
		for _, pr := range prepare {
			pr(in)
		}
		qt.Assert(t, in.se.Check(), qt.IsNil)
		cl.start(in)
	}
	return cl
}

// reserveAddress opens a listener on a free port and returns its address.
func (cl *cluster) reserveAddress(ip string) string {
	li, err := net.Listen("tcp4", ip+":0")
	qt.Assert(cl.t, err, qt.IsNil)
	cl.listeners[li.Addr().String()] = li
	cl.t.Cleanup(func() { _ = li.Close() })
	return li.Addr().String()
}

// reserveLinkPort opens listeners on one port that is free at all addresses.
func (cl *cluster) reserveLinkPort(ips []string) {
	for range 100 {
		first := cl.reserveAddress(ips[0])
		_, port, err := net.SplitHostPort(first)
		qt.Assert(cl.t, err, qt.IsNil)
		lis := map[string]net.Listener{}
		for _, ip := range ips[1:] {
			if li, err := net.Listen("tcp4", net.JoinHostPort(ip, port)); err == nil {
				lis[li.Addr().String()] = li
			}
		}
		if len(lis) == len(ips)-1 {
			for ad, li := range lis {
				cl.listeners[ad] = li
				cl.t.Cleanup(func() { _ = li.Close() })
			}
			cl.linkPort, err = strconv.Atoi(port)
			qt.Assert(cl.t, err, qt.IsNil)
			return
		}
		for _, li := range lis {
			_ = li.Close()
		}
	}
	cl.t.Fatal("no port is free at all addresses")
}

// listen returns the reserved listener for an address, once, or else opens a new one.
func (cl *cluster) listen(network, address string) (net.Listener, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if li, ok := cl.listeners[address]; ok {
		delete(cl.listeners, address)
		return li, nil
	}
	return net.Listen(network, address)
}

func (cl *cluster) start(in *instance) {
	ctx, stop := context.WithCancel(context.Background())
	in.stop, in.done = stop, make(chan error, 1)
	go func() { in.done <- tier.Run(ctx, in.se, nil, in.di, in.lg, in.mws...) }()
}

// shutdown stops an instance and returns the result of Run.
func (in *instance) shutdown() error {
	in.stop()
	err := <-in.done
	in.done <- err
	return err
}

// await waits until a condition holds, and fails the test after awaitTimeout.
func (cl *cluster) await(what string, holds func() bool) {
	cl.t.Helper()
	ctx, cancel := context.WithTimeout(cl.ctx, awaitTimeout)
	defer cancel()
	tk := time.NewTicker(pollInterval)
	defer tk.Stop()
	for !holds() {
		select {
		case <-tk.C:
		case <-ctx.Done():
			cl.t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// call sends a request and returns the status and body; status 0 means that there was no
// response.
func (cl *cluster) call(method, address, path string, body []byte) (int, []byte) {
	rq, err := http.NewRequestWithContext(cl.ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	rs, err := cl.hc.Do(rq)
	if err != nil {
		return 0, nil
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return 0, nil
	}
	return rs.StatusCode, data
}

// configure sends a configuration to the instances in turn until one accepts it, as an
// operator does. A 4xx status fails the test.
func (cl *cluster) configure(data []byte, among ...*instance) {
	cl.t.Helper()
	nth := 0
	cl.await("a configuration is accepted", func() bool {
		co := among[nth%len(among)]
		nth++
		status, body := cl.call(http.MethodPut, co.se.Listen.Control, "/config", data)
		if status >= 400 && status < 500 {
			cl.t.Fatalf("refused with %d: %s", status, body)
		}
		return status == http.StatusOK
	})
}

// backend is a fake backend server that announces itself until it is stopped.
type backend struct {
	cl             *cluster
	id, service    string
	dataCentre     string
	hs             *httptest.Server
	runs           atomic.Int64
	wg             sync.WaitGroup
	stopAnnouncing context.CancelFunc
}

func (cl *cluster) startServers(service string, count int) []*backend {
	return cl.startServersIn("north", service, count)
}

// startServersIn starts backend servers in a data centre.
func (cl *cluster) startServersIn(dataCentre, service string, count int) []*backend {
	var out []*backend
	for nth := range count {
		id := fmt.Sprintf("i-%s-%s-%d", service, dataCentre, nth)
		out = append(out, cl.startServerIn(dataCentre, service, id, func(be *backend) http.Handler { return be }))
	}
	return out
}

// startServer starts a backend server with the given handler.
func (cl *cluster) startServer(service, id string, handler func(be *backend) http.Handler) *backend {
	return cl.startServerIn("north", service, id, handler)
}

// startServerIn starts a backend server in a data centre with the given handler.
func (cl *cluster) startServerIn(dataCentre, service, id string, handler func(be *backend) http.Handler) *backend {
	ctx, cancel := context.WithCancel(cl.ctx)
	be := &backend{cl: cl, id: id, service: service, dataCentre: dataCentre, stopAnnouncing: cancel}
	be.hs = httptest.NewServer(handler(be))
	be.wg.Go(func() { be.announce(ctx) })
	cl.t.Cleanup(func() {
		cancel()
		be.wg.Wait()
		be.hs.Close()
	})
	return be
}

// announce sends announcements at each interval, each one to the control instances in
// turn until one acknowledges it.
func (be *backend) announce(ctx context.Context) {
	tk := time.NewTicker(announceInterval)
	defer tk.Stop()
	for seq := 1; ; seq++ {
		for ix := range be.cl.controls {
			if be.announceTo(be.cl.controls[(seq+ix)%len(be.cl.controls)], seq, "ready") == http.StatusOK {
				break
			}
		}
		select {
		case <-tk.C:
		case <-ctx.Done():
			return
		}
	}
}

// announceTo sends one announcement to a control instance and returns the status.
func (be *backend) announceTo(co *instance, seq int, state string) int {
	beat, err := json.Marshal(map[string]any{
		"service": be.service, "address": be.hs.Listener.Addr().String(), "zone": be.dataCentre, "version": "v1",
		"max_concurrency": 4, "state": state, "warmup_left_ms": 0, "seq": seq,
	})
	if err != nil {
		panic(err)
	}
	status, _ := be.cl.call(http.MethodPut, co.se.Listen.Control, "/instances/"+be.id, beat)
	return status
}

// ServeHTTP responds with a stamp and the id of the request. It doesn't run requests
// meant for another server.
func (be *backend) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	id := rq.Header.Get("Balsamwinch-Request-Id")
	wr.Header().Set("Balsamwinch-Request-Id", id)
	if rq.Header.Get("Balsamwinch-Expect-Instance") != be.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	be.runs.Add(1)
	wr.Header().Set("Balsamwinch-Server-Stamp", be.id+"."+id)
	_, _ = io.WriteString(wr, be.answer(id))
}

// answer returns a record of 16 bytes that names the service.
func (be *backend) answer(id string) string { return fmt.Sprintf("%-16.16s", be.service+" "+id) }

// resolve looks up the entry instances at a control instance.
func (cl *cluster) resolve(co *instance, dataCentre string) []string {
	_, body := cl.call(http.MethodGet, co.se.Listen.Addresses, "/resolve?name=a.example&region=r&zone="+url.QueryEscape(dataCentre), nil)
	var an struct {
		Addrs []string `json:"addrs"`
		TTL   float64  `json:"ttl_s"`
	}
	if json.Unmarshal(body, &an) != nil || an.TTL <= 0 {
		return nil
	}
	return an.Addrs
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// get sends a request to an entry instance on a new connection.
func (cl *cluster) get(en *instance, path string) *response {
	ca := &caller{cl: cl}
	defer ca.leave()
	return ca.ask(en.se.Listen.Callers, path)
}

// response is what a caller got; status 0 means no response.
type response struct {
	id     string
	status int
	header http.Header
	body   string
}

// caller is a caller with at most one connection at a time.
type caller struct {
	cl *cluster
	nc net.Conn
	rd *bufio.Reader
}

func (ca *caller) leave() {
	if ca.nc != nil {
		_ = ca.nc.Close()
		ca.nc = nil
	}
}

// ask sends a request on the open connection, or on a new one to the address.
func (ca *caller) ask(address, path string) *response {
	if ca.nc == nil {
		nc, err := net.Dial("tcp4", address)
		if err != nil {
			return &response{}
		}
		ca.nc, ca.rd = nc, bufio.NewReader(nc)
	}
	re := &response{id: newID()}
	_, _ = fmt.Fprintf(ca.nc, "GET %s HTTP/1.1\r\nHost: a.example\r\nBalsamwinch-Request-Id: %s\r\nBalsamwinch-Deadline-Ms: 5000\r\n\r\n", path, re.id)
	rs, err := http.ReadResponse(ca.rd, nil)
	if err != nil {
		ca.leave()
		return re
	}
	body, err := io.ReadAll(rs.Body)
	if err != nil {
		ca.leave()
		return re
	}
	re.status, re.header, re.body = rs.StatusCode, rs.Header, string(body)
	if rs.Close {
		ca.leave()
	}
	return re
}

// askRepeatedly requests the paths in turn until the context ends, like a caller that
// looks up addresses before each new connection. It returns the number of requests, and
// the responses whose status isn't 200.
func (cl *cluster) askRepeatedly(ctx context.Context, co *instance, paths []string) (asked int, failures []*response) {
	ca := &caller{cl: cl}
	defer ca.leave()
	for ctx.Err() == nil {
		address := ""
		if ca.nc == nil {
			list := cl.resolve(co, "north")
			if len(list) == 0 {
				continue
			}
			address = list[rand.IntN(len(list))]
		}
		re := ca.ask(address, paths[asked%len(paths)])
		if re.id == "" {
			continue // It couldn't connect, and looks up addresses again.
		}
		asked++
		if re.status != http.StatusOK {
			failures = append(failures, re)
		}
	}
	return asked, failures
}

// config returns a configuration with a plain route, a merged route, and an extra route
// to tell versions apart.
func config(version int, service, extra string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"one","host":"a.example","path_prefix":"/one/","route_type":"unsafe","timeout_ms":4000,"target_latency_ms":2000,"priority":1,"service":%q,"max_attempts":2},
{"name":"all","host":"a.example","path_prefix":"/all/","route_type":"safe","timeout_ms":4000,"target_latency_ms":2000,"priority":1,"fanout_services":["p1","p2","p3"],"max_attempts":2,"top_k":2,"min_shard_ratio":1},
{"name":"extra","host":"a.example","path_prefix":%q,"route_type":"safe","timeout_ms":4000,"target_latency_ms":2000,"priority":1,"service":"s1","max_attempts":2}],
"services":[{"name":"s1","health_path":"/health","max_connections":200},{"name":"s2","health_path":"/health","max_connections":200},
{"name":"p1","health_path":"/health","max_connections":200},{"name":"p2","health_path":"/health","max_connections":200},{"name":"p3","health_path":"/health","max_connections":200}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, service, extra)
}

// checkOne fails the test unless a plain request was answered by the service.
func (cl *cluster) checkOne(re *response, service string) {
	cl.t.Helper()
	qt.Assert(cl.t, re.status, qt.Equals, http.StatusOK, qt.Commentf("%s", re.body))
	qt.Assert(cl.t, re.body, qt.Equals, fmt.Sprintf("%-16.16s", service+" "+re.id))
	stamp := re.header.Get("Balsamwinch-Server-Stamp")
	qt.Assert(cl.t, strings.HasPrefix(stamp, "i-"+service+"-") && strings.HasSuffix(stamp, "."+re.id), qt.IsTrue, qt.Commentf("%s", stamp))
}

// checkAll fails the test unless a merged request was answered with the two greatest
// records.
func (cl *cluster) checkAll(re *response) {
	cl.t.Helper()
	qt.Assert(cl.t, re.status, qt.Equals, http.StatusOK, qt.Commentf("%s", re.body))
	qt.Assert(cl.t, re.body, qt.Equals, fmt.Sprintf("%-16.16s%-16.16s", "p3 "+re.id, "p2 "+re.id))
	qt.Assert(cl.t, re.header.Get("Balsamwinch-Missing-Parts"), qt.Equals, "0")
	qt.Assert(cl.t, strings.Count(re.header.Get("Balsamwinch-Part-Stamps"), "."+re.id), qt.Equals, 3)
}

// awaitResolved waits until a control instance returns exactly these entry instances.
func (cl *cluster) awaitResolved(co *instance, ens ...*instance) {
	cl.t.Helper()
	var want []string
	for _, en := range ens {
		want = append(want, en.se.Listen.Callers)
	}
	slices.Sort(want)
	cl.await("the list holds just the ready entry instances", func() bool {
		return slices.Equal(slices.Sorted(slices.Values(cl.resolve(co, "north"))), want)
	})
}

// readyStatus returns the status of an entry instance's readiness check.
func (cl *cluster) readyStatus(en *instance) int {
	status, _ := cl.call(http.MethodGet, en.se.Listen.Ready, "/ready", nil)
	return status
}

// awaitInForce waits until an entry instance serves the configuration made with these
// values.
func (cl *cluster) awaitInForce(en *instance, service, extra, dropped string) {
	cl.t.Helper()
	cl.await("a configuration is in force", func() bool { return cl.get(en, extra).status == http.StatusOK })
	if dropped != "" {
		qt.Assert(cl.t, cl.get(en, dropped).status, qt.Equals, http.StatusNotFound)
	}
	cl.await("the services have servers", func() bool {
		return cl.get(en, "/one/a").status == http.StatusOK && cl.get(en, "/all/a").status == http.StatusOK
	})
	cl.checkOne(cl.get(en, "/one/a?b"), service)
	cl.checkAll(cl.get(en, "/all/a?b"))
}

// readConfiguration reads the configuration at a control instance, retrying until it is
// returned.
func (cl *cluster) readConfiguration(co *instance) []byte {
	cl.t.Helper()
	var data []byte
	cl.await("a configuration is read", func() bool {
		status, body := cl.call(http.MethodGet, co.se.Listen.Control, "/config", nil)
		data = body
		return status == http.StatusOK
	})
	return data
}

// Runs through the whole life of a tier in one process: it forms from nothing, accepts a
// configuration, receives announcements of backend servers, and serves callers through
// its entry instances. A second configuration must take effect at both entry instances,
// no read may return an older one, and neither the loss of a control instance nor the
// stop of an entry instance may lose a request.
func TestTierEndToEnd(t *testing.T) {
	cl := newCluster(t, 3, 2)
	for _, service := range []string{"s1", "s2", "p1", "p2", "p3"} {
		cl.startServers(service, 3)
	}
	for _, en := range cl.entries {
		cl.await("an entry instance listens", func() bool { return cl.readyStatus(en) != 0 })
		qt.Assert(t, cl.readyStatus(en), qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, cl.get(en, "/one/a").status, qt.Equals, http.StatusServiceUnavailable)
	}

	first := config(3, "s1", "/first/")
	cl.configure(first, cl.controls...)
	for _, co := range cl.controls {
		cl.awaitResolved(co, cl.entries...)
		qt.Assert(t, string(cl.readConfiguration(co)), qt.Equals, string(first))
	}
	qt.Assert(t, cl.resolve(cl.controls[0], cl.entries[1].se.DataCentre)[0], qt.Equals, cl.entries[1].se.Listen.Callers)
	for _, en := range cl.entries {
		cl.awaitInForce(en, "s1", "/first/a", "")
		qt.Assert(t, cl.readyStatus(en), qt.Equals, http.StatusOK)
		qt.Assert(t, cl.get(en, "/none/").status, qt.Equals, http.StatusNotFound)
	}

	second := config(5, "s2", "/second/")
	cl.configure(second, cl.controls[1])
	for _, co := range cl.controls {
		qt.Assert(t, string(cl.readConfiguration(co)), qt.Equals, string(second))
	}
	for _, en := range cl.entries {
		cl.awaitInForce(en, "s2", "/second/a", "/first/a")
	}
	// Delayed older configurations are acknowledged and change nothing.
	cl.configure(first, cl.controls[2])
	cl.configure(config(4, "s1", "/fourth/"), cl.controls[0])
	qt.Assert(t, string(cl.readConfiguration(cl.controls[0])), qt.Equals, string(second))
	status, _ := cl.call(http.MethodPut, cl.controls[0].se.Listen.Control, "/config", second[:len(second)-1])
	qt.Assert(t, status, qt.Equals, http.StatusBadRequest)

	stopped, remaining := cl.controls[0], cl.controls[1:]
	qt.Assert(t, stopped.shutdown(), qt.IsNil)
	for range 20 {
		for _, en := range cl.entries {
			cl.checkOne(cl.get(en, "/one/a"), "s2")
			cl.checkAll(cl.get(en, "/all/a"))
		}
	}
	third := config(9, "s1", "/third/")
	cl.configure(third, remaining...)
	for _, co := range remaining {
		qt.Assert(t, string(cl.readConfiguration(co)), qt.Equals, string(third))
		cl.awaitResolved(co, cl.entries...)
	}
	for _, en := range cl.entries {
		cl.awaitInForce(en, "s1", "/third/a", "/second/a")
	}
	cl.stopEntryUnderLoad(remaining)
}

// stopEntryUnderLoad stops an entry instance while callers send requests.
func (cl *cluster) stopEntryUnderLoad(controls []*instance) {
	stopped, remaining := cl.entries[0], cl.entries[1]
	ctx, cancel := context.WithCancel(cl.ctx)
	defer cancel()
	var asked atomic.Int64
	var mu sync.Mutex
	var failures []*response
	var wg sync.WaitGroup
	for _, co := range controls {
		wg.Go(func() {
			count, fas := cl.askRepeatedly(ctx, co, []string{"/one/a", "/all/a", "/third/a"})
			asked.Add(int64(count))
			mu.Lock()
			defer mu.Unlock()
			failures = append(failures, fas...)
		})
	}
	stopped.stop()
	for _, co := range controls {
		cl.awaitResolved(co, remaining)
	}
	qt.Assert(cl.t, cl.readyStatus(stopped) != http.StatusOK, qt.IsTrue)
	qt.Assert(cl.t, stopped.shutdown(), qt.IsNil)
	cl.checkOne(cl.get(remaining, "/one/a"), "s1")
	cancel()
	wg.Wait()
	for _, re := range failures {
		cl.t.Errorf("request %s got status %d: %s", re.id, re.status, re.body)
	}
	qt.Assert(cl.t, asked.Load() > 0, qt.IsTrue)
	_, err := net.Dial("tcp4", stopped.se.Listen.Callers)
	qt.Assert(cl.t, err, qt.IsNotNil)
	cl.t.Logf("%d requests sent while an entry instance stopped", asked.Load())
}

// Guards against an instance that runs without one of its listeners: if it can't listen,
// Run must fail with an error that names the address.
func TestListenErrorNamesAddress(t *testing.T) {
	taken := errors.New("address already in use")
	for _, field := range []string{"Callers", "Ready", "Control", "Addresses", "Link"} {
		se := tier.Defaults()
		se.Name, se.Address, se.LinkPort, se.Seeds, se.DataFolder = "a", "127.0.0.1", 1, []string{"127.0.0.1:1"}, t.TempDir()
		addresses := map[string]*string{"Callers": &se.Listen.Callers, "Ready": &se.Listen.Ready, "Control": &se.Listen.Control, "Addresses": &se.Listen.Addresses}
		bad := "127.0.0.1:1"
		switch field {
		case "Callers", "Ready":
			se.Listen = tier.Listen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0"}
		default:
			se.Listen = tier.Listen{Control: "127.0.0.1:0", Addresses: "127.0.0.1:0"}
		}
		if ad := addresses[field]; ad != nil {
			bad = "127.0.0.1:2"
			*ad = bad
		}
		restore := tier.SetListen(func(network, address string) (net.Listener, error) {
			if address == bad {
				return nil, taken
			}
			return net.Listen(network, "127.0.0.1:0")
		})
		ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
		err := tier.Run(ctx, se, nil, platform.Dialect{}, zap.NewNop())
		cancel()
		restore()
		qt.Check(t, err, qt.ErrorIs, taken, qt.Commentf("%s", field))
		qt.Check(t, err, qt.ErrorMatches, ".*"+bad+".*", qt.Commentf("%s", field))
	}
}
