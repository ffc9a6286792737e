package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/fanout"
	"balsamwinch.example/limit"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
)

// instantSender replies at once, without connections.
type instantSender struct{}

// Do returns the reply that matches the request.
func (instantSender) Do(_ context.Context, ta backend.Target, rq backend.Request) (backend.Reply, error) {
	return replyTo(ta.Server, rq), nil
}

func replyTo(server string, rq backend.Request) backend.Reply {
	return backend.Reply{RequestID: rq.RequestID, Server: server, Shard: rq.Shard, Snapshot: rq.Snapshot, Code: backend.ReplyOK}
}

// fakeServer is a backend server that answers every query at once.
type fakeServer struct {
	ln     net.Listener
	server string
}

func newFakeServer(server string) (*fakeServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	fs := &fakeServer{ln: ln, server: server}
	go fs.accept()
	return fs, nil
}

func (fs *fakeServer) accept() {
	for {
		nc, err := fs.ln.Accept()
		if err != nil {
			return
		}
		go fs.serve(nc)
	}
}

func (fs *fakeServer) serve(nc net.Conn) {
	defer nc.Close()
	rd := bufio.NewReader(nc)
	for {
		hr, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		var rq backend.Request
		if err := json.NewDecoder(hr.Body).Decode(&rq); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, hr.Body)
		body, _ := json.Marshal(replyTo(fs.server, rq)) // A Reply contains nothing that can't be encoded.
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// queryEntry is the part of an entry that answers queries, with its backend servers.
type queryEntry struct {
	en      *fanout.Engine
	cl      *backend.Client
	servers []*fakeServer
}

func newQueryEntry(leaves int, connected bool) (*queryEntry, error) {
	ts := timer.New()
	qe := &queryEntry{}
	vi := &view.View{Configuration: configuration(leaves), LeaseExpiry: time.Now().Add(leaseLength), Servers: recordsOf(leaves * replicas)}
	for ix := range vi.Servers {
		re := &vi.Servers[ix]
		re.Slots, re.ConnectionLimit = 1000, 8
		re.Holdings = re.Holdings[:1]
		if !connected {
			continue
		}
		fs, err := newFakeServer(re.Server)
		if err != nil {
			return nil, errors.Join(err, qe.close())
		}
		qe.servers = append(qe.servers, fs)
		re.Address = fs.ln.Addr().String()
	}
	ce := &view.Cell{}
	ce.Store(vi)
	ta := limit.NewTable(ts, limit.TableConfig{})
	ta.Update(vi)
	qe.cl = backend.NewClient(ts, zap.NewNop(), backend.ClientConfig{SilenceTimeout: time.Minute})
	var sd fanout.Sender = qe.cl
	if !connected {
		sd = instantSender{}
	}
	ad := limit.NewAdmission(ts, limit.AdmissionConfig{ServiceCapacity: ta.ServiceCapacity})
	nb := func(percent float64, burst int) fanout.Budget { return limit.NewBudget(percent, burst) }
	qe.en = fanout.New("entry-000", ce, sd, ta, ad, nb, nil, ts, zap.NewNop(), fanout.NewMetrics(metrics.NewSet()))
	return qe, nil
}

func (qe *queryEntry) close() error {
	if qe.cl != nil {
		qe.cl.Close()
	}
	var errs []error
	for _, fs := range qe.servers {
		errs = append(errs, fs.ln.Close())
	}
	return errors.Join(errs...)
}

// queryCost is the mean processor time in µs and the mean number of allocations per leaf
// request, and the median latency of a query in ms.
type queryCost struct {
	leafMicros, leafAllocs, median float64
}

func (qe *queryEntry) measure(ctx context.Context, leaves, queries int) (queryCost, error) {
	const warmUp = 20
	runQuery := func(ix int) (time.Duration, error) {
		start := time.Now()
		an := qe.en.Run(ctx, fanout.Query{
			RequestID: fmt.Sprint(ix), Service: serviceName, Repeatable: true, Deadline: start.Add(time.Minute),
			Body: json.RawMessage(`{"Building":"Av. Larco 345","Limit":20}`),
		})
		if an.Code != 0 {
			return 0, fmt.Errorf("answer %s: %s", an.Code, an.Detail)
		}
		return time.Since(start), nil
	}
	for ix := range warmUp {
		if _, err := runQuery(ix); err != nil {
			return queryCost{}, err
		}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	took := make([]float64, queries)
	var failed error
	spentMicros := cpuMicrosPerRun(queries, func(ix int) {
		du, err := runQuery(ix)
		if err != nil {
			failed = err
		}
		took[ix] = micros(du) / 1000
	})
	runtime.ReadMemStats(&after)
	allocs := float64(after.Mallocs-before.Mallocs) / float64(queries*leaves)
	return queryCost{leafMicros: spentMicros / float64(leaves), leafAllocs: allocs, median: quantileOf(slices.Clone(took), 0.5)}, failed
}

// fanouts measures the cost of a query per leaf request: for the engine alone, and with real
// connections to fake servers in this process, whose own cost is included.
func fanouts() Measurement {
	const leafRequestsPerRun = 20_000
	return Measurement{
		Name: "entry/fanout", SizeUnit: "leaves", Sizes: []int{13, 60, 180}, Quick: []int{13, 60, 180}, Target: TargetQueryLeaves,
		Columns: []Column{
			{"entry", "a leaf request, engine alone", "processor µs", Constant},
			{"entry", "a leaf request, engine alone", "allocations", Constant},
			{"entry", "a query, engine alone", "ms at the median", Linear},
			{"entry", "a leaf request over HTTP, with the stand-in's part", "processor µs", Constant},
			{"entry", "a leaf request over HTTP, with the stand-in's part", "allocations", Constant},
			{"entry", "a query over HTTP, one at a time", "ms at the median", Linear},
		},
		Take: func(ctx context.Context, tr Trial) ([]float64, error) {
			var vas []float64
			for _, connected := range []bool{false, true} {
				qe, err := newQueryEntry(tr.Size, connected)
				if err != nil {
					return nil, err
				}
				co, err := qe.measure(ctx, tr.Size, leafRequestsPerRun/tr.Size)
				if err := errors.Join(err, qe.close()); err != nil {
					return nil, err
				}
				vas = append(vas, co.leafMicros, co.leafAllocs, co.median)
			}
			return vas, nil
		},
	}
}
