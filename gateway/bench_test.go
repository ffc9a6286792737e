package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/customer"
	"balsamwinch.example/registry"
	"balsamwinch.example/route"
)

const (
	// benchShards is the number of shards of a request.
	benchShards = 36
	// benchReplicas is the number of known backend servers of each shard.
	benchReplicas = 3
	// benchRecords is the number of records in the part of each shard.
	benchRecords = 63
	// benchBackendsEnv makes a process of the test binary serve as the backend servers of
	// the benchmark.
	benchBackendsEnv = "GATEWAY_STAND_INS"
)

// TestMain runs the tests, or the backend servers of the benchmark.
func TestMain(ma *testing.M) {
	if os.Getenv(benchBackendsEnv) != "" {
		serveBenchBackends()
		return
	}
	os.Exit(ma.Run())
}

// BenchmarkMerged measures a request to benchShards shards from the handler to the merged
// answer. The backend servers run in another process, so that CPU time and allocations are
// those of the gateway alone. They answer once all shards have been asked. The metrics are
// per exchange with a backend server.
func BenchmarkMerged(be *testing.B) { benchMerged(be, nil, http.Header{}) }

// BenchmarkMergedCustomers is BenchmarkMerged with 86 customers, whose keys the requests
// carry.
func BenchmarkMergedCustomers(be *testing.B) {
	var cus []customer.Customer
	for ix := range 86 {
		cus = append(cus, customer.Customer{Name: fmt.Sprint("customer-", ix), Keys: []string{fmt.Sprintf("sk-%032d", ix)}})
	}
	ix, err := customer.New(cus)
	qt.Assert(be, err, qt.IsNil)
	benchMerged(be, ix, http.Header{"Authorization": {"Bearer " + cus[50].Keys[0]}})
}

func benchMerged(be *testing.B, ix *customer.Index, he http.Header) {
	rg := newRig(be, loopback{}, setup{})
	ro := route.Route{Prefix: "/", Timeout: 10 * time.Second, MaxAttempts: 1}
	ro.Merge = route.Merge{TopK: 10, LeastShare: 1}
	ses := make(map[string][]registry.Server)
	for sh, address := range startBenchBackends(be) {
		service := fmt.Sprintf("shard-%d", sh)
		ro.Shards = append(ro.Shards, service)
		for re := range benchReplicas {
			id := fmt.Sprintf("%s-%d", service, re)
			ses[service] = append(ses[service], registry.Server{
				ID: id, Service: service, Address: address, Slots: 8, State: registry.Ready, DataCentre: fmt.Sprint("dc-", re),
			})
		}
	}
	rg.setTable(ro)
	rg.gw.SetTable(rg.gw.Table().WithCustomers(ix))
	rg.gw.SetServers(ses)
	for range 20 {
		benchRequest(be, rg, he)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	spent := processorTime(be)
	be.ResetTimer()
	for range be.N {
		benchRequest(be, rg, he)
	}
	be.StopTimer()
	spent = processorTime(be) - spent
	runtime.ReadMemStats(&after)
	exchanges := float64(be.N) * benchShards
	be.ReportMetric(float64(be.Elapsed())/exchanges, "ns/exchange")
	be.ReportMetric(float64(spent)/exchanges, "cpu-ns/exchange")
	be.ReportMetric(float64(after.Mallocs-before.Mallocs)/exchanges, "allocs/exchange")
	be.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/exchanges, "B/exchange")
}

// benchRequest lets the gateway answer one request, as net/http would.
func benchRequest(be *testing.B, rg *rig, he http.Header) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rq := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/search/papers?text=balsam+winch&most=10", nil)
	rq.RequestURI = rq.URL.RequestURI()
	rq.Header = http.Header{
		names.RequestID: {"q-8f14e45fceea167a"}, names.Deadline: {"900"}, "Accept": {"*/*"},
		"Accept-Encoding": {"gzip, deflate"}, "User-Agent": {"loader/3.2"}, "X-Caller": {"c-17"},
	}
	maps.Copy(rq.Header, he)
	wr := &benchWriter{hd: make(http.Header)}
	rg.gw.ServeHTTP(wr, rq)
	if wr.status != http.StatusOK || wr.hd.Get(names.MissingParts) != "0" {
		be.Fatal(wr.status, wr.hd)
	}
}

// benchWriter is a ResponseWriter that discards the body.
type benchWriter struct {
	hd     http.Header
	status int
}

func (wr *benchWriter) Header() http.Header            { return wr.hd }
func (wr *benchWriter) WriteHeader(status int)         { wr.status = status }
func (wr *benchWriter) Write(body []byte) (int, error) { return len(body), nil }

// processorTime returns the CPU time that this process has used.
func processorTime(tb testing.TB) time.Duration {
	var ru syscall.Rusage
	qt.Assert(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &ru), qt.IsNil)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// startBenchBackends starts the backend servers and returns their addresses, one for each
// shard. They stop with the benchmark.
func startBenchBackends(tb testing.TB) []string {
	co := exec.Command(os.Args[0])
	co.Env = append(os.Environ(), benchBackendsEnv+"=1", "GOMAXPROCS=2")
	co.Stderr = os.Stderr
	in, err := co.StdinPipe()
	qt.Assert(tb, err, qt.IsNil)
	out, err := co.StdoutPipe()
	qt.Assert(tb, err, qt.IsNil)
	qt.Assert(tb, co.Start(), qt.IsNil)
	tb.Cleanup(func() {
		_ = in.Close()
		_ = co.Wait()
	})
	var addresses []string
	for sc := bufio.NewScanner(out); len(addresses) < benchShards && sc.Scan(); {
		addresses = append(addresses, sc.Text())
	}
	qt.Assert(tb, addresses, qt.HasLen, benchShards)
	return addresses
}

// serveBenchBackends runs one backend server for each shard until standard input closes.
func serveBenchBackends() {
	ba := &barrier{done: make(chan struct{})}
	for sh := range benchShards {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go serveBenchConn(nc, ba, benchReply(sh))
			}
		}()
		fmt.Println(ln.Addr())
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// benchReply returns the answer of a shard's backend server to every request.
func benchReply(sh int) []byte {
	body := make([]byte, 0, benchRecords*recordBytes)
	for re := range benchRecords {
		body = append(body, fmt.Sprintf("%04d-%04d-%02d-%03d", re*(7919+sh)%10000, re*104729%10000, sh, re)[:recordBytes]...)
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: q-8f14e45fceea167a\r\n%s: 3e1b.07.5a2.600.%d.c9f2a4d1\r\n%s: 3,0,8,100\r\n"+
		"Content-Type: application/octet-stream\r\nContent-Length: %d\r\nKeep-Alive: timeout=15\r\n\r\n%s",
		names.RequestID, names.Stamp, sh, names.ServerLoad, len(body), body)
}

// serveBenchConn answers the requests on a connection.
func serveBenchConn(nc net.Conn, ba *barrier, reply []byte) {
	defer nc.Close()
	rd := bufio.NewReader(nc)
	for {
		li, err := rd.ReadString('\n')
		if err != nil {
			return
		}
		if strings.TrimSpace(li) != "" {
			continue
		}
		ba.wait()
		if _, err := nc.Write(reply); err != nil {
			return
		}
	}
}

// barrier makes the backend servers wait until all shards of the current request have been
// asked.
type barrier struct {
	mu      sync.Mutex
	arrived int
	done    chan struct{}
}

func (ba *barrier) wait() {
	ba.mu.Lock()
	done := ba.done
	if ba.arrived++; ba.arrived == benchShards {
		ba.arrived, ba.done = 0, make(chan struct{})
		close(done)
	}
	ba.mu.Unlock()
	<-done
}
