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
	// patience bounds every wait for a condition. It is no timing bound: a test
	// that holds is through long before.
	patience = time.Minute
	// look is how often a condition is looked at.
	look = 10 * time.Millisecond
	// announceEvery is how often the backend servers announce themselves.
	announceEvery = 300 * time.Millisecond
	// stopWithin is how long a planned stop may take.
	stopWithin = 4 * time.Second
)

// world is a whole tier in one process, each instance at an address 127.0.0.x of
// its own, with backend servers and an operator.
type world struct {
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
	mws  []tier.MetricsWriter
	stop context.CancelFunc
	done chan error
}

// newWorld starts the instances. What is given is called for each one before.
func newWorld(t *testing.T, controls, entries int, prepare ...func(in *instance)) *world {
	ctx, cancel := context.WithCancel(context.Background())
	wd := &world{
		t: t, ctx: ctx, instances: make(map[string]*instance), listeners: make(map[string]net.Listener),
		hc: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second},
	}
	t.TempDir() // What it makes is removed last, when no instance writes any more.
	t.Cleanup(tier.SetListen(wd.listen))
	t.Cleanup(func() {
		cancel()
		for _, in := range wd.instances {
			in.end()
		}
	})
	ips := make([]string, controls+entries)
	for ix := range ips {
		ips[ix] = fmt.Sprintf("127.0.0.%d", 11+ix)
	}
	wd.holdLinkPort(ips)
	for ix, ip := range ips {
		se := tier.Defaults()
		se.Name, se.DataCentre, se.Address, se.LinkPort = "entry-"+ip, []string{"north", "south"}[ix%2], ip, wd.linkPort
		se.FirstStart = true
		se.Limits.MemoryMegabytes = 4096
		se.Timing.Announcement, se.Timing.StopWithin = announceEvery, stopWithin
		in := &instance{se: se, lg: zap.NewNop()}
		if ix < controls {
			in.se.Name = "control-" + ip
			in.se.DataFolder = t.TempDir()
			in.se.Listen = tier.Listen{Control: wd.hold(ip), Addresses: wd.hold(ip)}
			wd.controls = append(wd.controls, in)
		} else {
			in.se.Listen = tier.Listen{Callers: wd.hold(ip), Ready: wd.hold(ip)}
			wd.entries = append(wd.entries, in)
		}
		in.se.Metrics = wd.hold(ip)
		wd.instances[in.se.Name] = in
	}
	for _, in := range wd.instances {
		for _, co := range wd.controls {
			in.se.Seeds = append(in.se.Seeds, co.se.Listen.Control)
		}
		for _, pr := range prepare {
			pr(in)
		}
		qt.Assert(t, in.se.Check(), qt.IsNil)
		wd.start(in)
	}
	return wd
}

// hold opens a listener on a free port and returns its address.
func (wd *world) hold(ip string) string {
	li, err := net.Listen("tcp4", ip+":0")
	qt.Assert(wd.t, err, qt.IsNil)
	wd.listeners[li.Addr().String()] = li
	wd.t.Cleanup(func() { _ = li.Close() })
	return li.Addr().String()
}

// holdLinkPort opens listeners on one port that is free at all addresses.
func (wd *world) holdLinkPort(ips []string) {
	for range 100 {
		first := wd.hold(ips[0])
		_, port, err := net.SplitHostPort(first)
		qt.Assert(wd.t, err, qt.IsNil)
		lis := map[string]net.Listener{}
		for _, ip := range ips[1:] {
			if li, err := net.Listen("tcp4", net.JoinHostPort(ip, port)); err == nil {
				lis[li.Addr().String()] = li
			}
		}
		if len(lis) == len(ips)-1 {
			for ad, li := range lis {
				wd.listeners[ad] = li
				wd.t.Cleanup(func() { _ = li.Close() })
			}
			wd.linkPort, err = strconv.Atoi(port)
			qt.Assert(wd.t, err, qt.IsNil)
			return
		}
		for _, li := range lis {
			_ = li.Close()
		}
	}
	wd.t.Fatal("no port is free at all addresses")
}

// listen gives out the listener that is held for an address, once.
func (wd *world) listen(network, address string) (net.Listener, error) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if li, ok := wd.listeners[address]; ok {
		delete(wd.listeners, address)
		return li, nil
	}
	return net.Listen(network, address)
}

func (wd *world) start(in *instance) {
	ctx, stop := context.WithCancel(context.Background())
	in.stop, in.done = stop, make(chan error, 1)
	go func() { in.done <- tier.Run(ctx, in.se, nil, platform.Dialect{}, in.lg, in.mws...) }()
}

// end stops an instance and returns how it ended.
func (in *instance) end() error {
	in.stop()
	err := <-in.done
	in.done <- err
	return err
}

// await waits until a condition holds.
func (wd *world) await(what string, holds func() bool) {
	wd.t.Helper()
	ctx, cancel := context.WithTimeout(wd.ctx, patience)
	defer cancel()
	tk := time.NewTicker(look)
	defer tk.Stop()
	for !holds() {
		select {
		case <-tk.C:
		case <-ctx.Done():
			wd.t.Fatalf("never: %s", what)
		}
	}
}

// call makes a call and returns status and body; status 0 for no answer.
func (wd *world) call(method, address, path string, body []byte) (int, []byte) {
	rq, err := http.NewRequestWithContext(wd.ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	rs, err := wd.hc.Do(rq)
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

// configure has a configuration accepted by one of the control instances, as an
// operator does: sent again unchanged while there is no clear answer.
func (wd *world) configure(data []byte, among ...*instance) {
	wd.t.Helper()
	nth := 0
	wd.await("a configuration is accepted", func() bool {
		co := among[nth%len(among)]
		nth++
		status, body := wd.call(http.MethodPut, co.se.Listen.Control, "/config", data)
		if status >= 400 && status < 500 {
			wd.t.Fatalf("refused with %d: %s", status, body)
		}
		return status == http.StatusOK
	})
}

// backend is a fake backend server that announces itself until it is stopped.
type backend struct {
	wd          *world
	id, service string
	dataCentre  string
	hs          *httptest.Server
	runs        atomic.Int64
	wg          sync.WaitGroup
	end         context.CancelFunc
}

func (wd *world) serve(service string, count int) []*backend {
	return wd.serveIn("north", service, count)
}

// serveIn starts backend servers in a data centre.
func (wd *world) serveIn(dataCentre, service string, count int) []*backend {
	var out []*backend
	for nth := range count {
		id := fmt.Sprintf("i-%s-%s-%d", service, dataCentre, nth)
		out = append(out, wd.serveAt(dataCentre, service, id, func(be *backend) http.Handler { return be }))
	}
	return out
}

// serveOne starts a backend server that answers as the handler does.
func (wd *world) serveOne(service, id string, handler func(be *backend) http.Handler) *backend {
	return wd.serveAt("north", service, id, handler)
}

// serveAt starts a backend server in a data centre that answers as the handler does.
func (wd *world) serveAt(dataCentre, service, id string, handler func(be *backend) http.Handler) *backend {
	ctx, cancel := context.WithCancel(wd.ctx)
	be := &backend{wd: wd, id: id, service: service, dataCentre: dataCentre, end: cancel}
	be.hs = httptest.NewServer(handler(be))
	be.wg.Go(func() { be.announce(ctx) })
	wd.t.Cleanup(func() {
		cancel()
		be.wg.Wait()
		be.hs.Close()
	})
	return be
}

// announce tells one control instance after another until one acknowledges, again
// and again.
func (be *backend) announce(ctx context.Context) {
	tk := time.NewTicker(announceEvery)
	defer tk.Stop()
	for seq := 1; ; seq++ {
		beat, err := json.Marshal(map[string]any{
			"service": be.service, "address": be.hs.Listener.Addr().String(), "zone": be.dataCentre, "version": "v1",
			"max_concurrency": 4, "state": "ready", "warmup_left_ms": 0, "seq": seq,
		})
		if err != nil {
			panic(err)
		}
		for ix := range be.wd.controls {
			co := be.wd.controls[(seq+ix)%len(be.wd.controls)]
			if status, _ := be.wd.call(http.MethodPut, co.se.Listen.Control, "/instances/"+be.id, beat); status == http.StatusOK {
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

// ServeHTTP answers with a stamp and the id of the request. What is meant for
// another server isn't run.
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

// answer is a record of 16 bytes that names the service.
func (be *backend) answer(id string) string { return fmt.Sprintf("%-16.16s", be.service+" "+id) }

// resolve asks a control instance which entry instances there are.
func (wd *world) resolve(co *instance, dataCentre string) []string {
	_, body := wd.call(http.MethodGet, co.se.Listen.Addresses, "/resolve?name=a.example&region=r&zone="+url.QueryEscape(dataCentre), nil)
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

// get asks an entry instance for a path, on a connection of its own.
func (wd *world) get(en *instance, path string) *response {
	ca := &caller{wd: wd}
	defer ca.leave()
	return ca.ask(en.se.Listen.Callers, path)
}

// response is what a caller got; status 0 stands for none.
type response struct {
	id     string
	status int
	header http.Header
	body   string
}

// caller is a caller with one connection at a time.
type caller struct {
	wd *world
	nc net.Conn
	rd *bufio.Reader
}

func (ca *caller) leave() {
	if ca.nc != nil {
		_ = ca.nc.Close()
		ca.nc = nil
	}
}

// ask sends a request to an address, on the connection that there is or a new one.
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

// roam asks for paths in turn until the context ends, as a caller does that asks
// where to connect before each new connection. It returns the answers but those
// with status 200.
func (wd *world) roam(ctx context.Context, co *instance, paths []string) (asked int, others []*response) {
	ca := &caller{wd: wd}
	defer ca.leave()
	for ctx.Err() == nil {
		address := ""
		if ca.nc == nil {
			list := wd.resolve(co, "north")
			if len(list) == 0 {
				continue
			}
			address = list[rand.IntN(len(list))]
		}
		re := ca.ask(address, paths[asked%len(paths)])
		if re.id == "" {
			continue // It couldn't connect and asks again where to.
		}
		asked++
		if re.status != http.StatusOK {
			others = append(others, re)
		}
	}
	return asked, others
}

// config returns a configuration: a plain route, one over shards, and one route by
// which versions differ.
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
func (wd *world) checkOne(re *response, service string) {
	wd.t.Helper()
	qt.Assert(wd.t, re.status, qt.Equals, http.StatusOK, qt.Commentf("%s", re.body))
	qt.Assert(wd.t, re.body, qt.Equals, fmt.Sprintf("%-16.16s", service+" "+re.id))
	stamp := re.header.Get("Balsamwinch-Server-Stamp")
	qt.Assert(wd.t, strings.HasPrefix(stamp, "i-"+service+"-") && strings.HasSuffix(stamp, "."+re.id), qt.IsTrue, qt.Commentf("%s", stamp))
}

// checkAll fails the test unless a request over shards was answered with the
// greatest two records.
func (wd *world) checkAll(re *response) {
	wd.t.Helper()
	qt.Assert(wd.t, re.status, qt.Equals, http.StatusOK, qt.Commentf("%s", re.body))
	qt.Assert(wd.t, re.body, qt.Equals, fmt.Sprintf("%-16.16s%-16.16s", "p3 "+re.id, "p2 "+re.id))
	qt.Assert(wd.t, re.header.Get("Balsamwinch-Missing-Parts"), qt.Equals, "0")
	qt.Assert(wd.t, strings.Count(re.header.Get("Balsamwinch-Part-Stamps"), "."+re.id), qt.Equals, 3)
}

// resolved waits until a control instance shows just these entry instances.
func (wd *world) resolved(co *instance, ens ...*instance) {
	wd.t.Helper()
	var want []string
	for _, en := range ens {
		want = append(want, en.se.Listen.Callers)
	}
	slices.Sort(want)
	wd.await("the list holds just the ready entry instances", func() bool {
		return slices.Equal(slices.Sorted(slices.Values(wd.resolve(co, "north"))), want)
	})
}

// ready returns what an entry instance says of itself.
func (wd *world) ready(en *instance) int {
	status, _ := wd.call(http.MethodGet, en.se.Listen.Ready, "/ready", nil)
	return status
}

// inForce waits until an entry instance handles requests as the configuration does
// that is made with these values.
func (wd *world) inForce(en *instance, service, extra, dropped string) {
	wd.t.Helper()
	wd.await("a configuration is in force", func() bool { return wd.get(en, extra).status == http.StatusOK })
	if dropped != "" {
		qt.Assert(wd.t, wd.get(en, dropped).status, qt.Equals, http.StatusNotFound)
	}
	wd.await("the services have servers", func() bool {
		return wd.get(en, "/one/a").status == http.StatusOK && wd.get(en, "/all/a").status == http.StatusOK
	})
	wd.checkOne(wd.get(en, "/one/a?b"), service)
	wd.checkAll(wd.get(en, "/all/a?b"))
}

// newest reads the configuration at a control instance until that one is sure.
func (wd *world) newest(co *instance) []byte {
	wd.t.Helper()
	var data []byte
	wd.await("a configuration is read", func() bool {
		status, body := wd.call(http.MethodGet, co.se.Listen.Control, "/config", nil)
		data = body
		return status == http.StatusOK
	})
	return data
}

// The whole path of a day, in one process: the tier forms from nothing, takes a
// configuration, hears backend servers, sends callers to its entry instances and
// serves them. A second configuration takes effect at both, at no time is an older
// one read, and losing a control instance or stopping an entry instance loses no
// request.
func TestWholePath(t *testing.T) {
	wd := newWorld(t, 3, 2)
	for _, service := range []string{"s1", "s2", "p1", "p2", "p3"} {
		wd.serve(service, 3)
	}
	for _, en := range wd.entries {
		wd.await("an entry instance listens", func() bool { return wd.ready(en) != 0 })
		qt.Assert(t, wd.ready(en), qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, wd.get(en, "/one/a").status, qt.Equals, http.StatusServiceUnavailable)
	}

	first := config(3, "s1", "/first/")
	wd.configure(first, wd.controls...)
	for _, co := range wd.controls {
		wd.resolved(co, wd.entries...)
		qt.Assert(t, string(wd.newest(co)), qt.Equals, string(first))
	}
	qt.Assert(t, wd.resolve(wd.controls[0], wd.entries[1].se.DataCentre)[0], qt.Equals, wd.entries[1].se.Listen.Callers)
	for _, en := range wd.entries {
		wd.inForce(en, "s1", "/first/a", "")
		qt.Assert(t, wd.ready(en), qt.Equals, http.StatusOK)
		qt.Assert(t, wd.get(en, "/none/").status, qt.Equals, http.StatusNotFound)
	}

	second := config(5, "s2", "/second/")
	wd.configure(second, wd.controls[1])
	for _, co := range wd.controls {
		qt.Assert(t, string(wd.newest(co)), qt.Equals, string(second))
	}
	for _, en := range wd.entries {
		wd.inForce(en, "s2", "/second/a", "/first/a")
	}
	// What was held up on its way is acknowledged and changes nothing.
	wd.configure(first, wd.controls[2])
	wd.configure(config(4, "s1", "/fourth/"), wd.controls[0])
	qt.Assert(t, string(wd.newest(wd.controls[0])), qt.Equals, string(second))
	status, _ := wd.call(http.MethodPut, wd.controls[0].se.Listen.Control, "/config", second[:len(second)-1])
	qt.Assert(t, status, qt.Equals, http.StatusBadRequest)

	lost, left := wd.controls[0], wd.controls[1:]
	qt.Assert(t, lost.end(), qt.IsNil)
	for range 20 {
		for _, en := range wd.entries {
			wd.checkOne(wd.get(en, "/one/a"), "s2")
			wd.checkAll(wd.get(en, "/all/a"))
		}
	}
	third := config(9, "s1", "/third/")
	wd.configure(third, left...)
	for _, co := range left {
		qt.Assert(t, string(wd.newest(co)), qt.Equals, string(third))
		wd.resolved(co, wd.entries...)
	}
	for _, en := range wd.entries {
		wd.inForce(en, "s1", "/third/a", "/second/a")
	}
	wd.stopOne(left)
}

// stopOne stops an entry instance while callers ask.
func (wd *world) stopOne(controls []*instance) {
	gone, stays := wd.entries[0], wd.entries[1]
	ctx, cancel := context.WithCancel(wd.ctx)
	defer cancel()
	var asked atomic.Int64
	var mu sync.Mutex
	var others []*response
	var wg sync.WaitGroup
	for _, co := range controls {
		wg.Go(func() {
			count, ots := wd.roam(ctx, co, []string{"/one/a", "/all/a", "/third/a"})
			asked.Add(int64(count))
			mu.Lock()
			defer mu.Unlock()
			others = append(others, ots...)
		})
	}
	gone.stop()
	for _, co := range controls {
		wd.resolved(co, stays)
	}
	qt.Assert(wd.t, wd.ready(gone) != http.StatusOK, qt.IsTrue)
	qt.Assert(wd.t, gone.end(), qt.IsNil)
	wd.checkOne(wd.get(stays, "/one/a"), "s1")
	cancel()
	wg.Wait()
	for _, re := range others {
		wd.t.Errorf("%s was answered %d %s", re.id, re.status, re.body)
	}
	qt.Assert(wd.t, asked.Load() > 0, qt.IsTrue)
	_, err := net.Dial("tcp4", gone.se.Listen.Callers)
	qt.Assert(wd.t, err, qt.IsNotNil)
	wd.t.Logf("%d requests while an entry instance stopped", asked.Load())
}

// An instance can't listen where its settings say. It ends with a fault that names
// the address instead of running without it.
func TestAddressTaken(t *testing.T) {
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
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		err := tier.Run(ctx, se, nil, platform.Dialect{}, zap.NewNop())
		cancel()
		restore()
		qt.Check(t, err, qt.ErrorIs, taken, qt.Commentf("%s", field))
		qt.Check(t, err, qt.ErrorMatches, ".*"+bad+".*", qt.Commentf("%s", field))
	}
}
