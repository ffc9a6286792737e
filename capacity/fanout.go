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

// instant replies at once, in place of a client with connections.
type instant struct{}

// Do returns the reply that the request asks for.
func (instant) Do(_ context.Context, ta backend.Target, rq backend.Request) (backend.Reply, error) {
	return answerTo(ta.Server, rq), nil
}

func answerTo(server string, rq backend.Request) backend.Reply {
	return backend.Reply{RequestID: rq.RequestID, Server: server, Shard: rq.Shard, Snapshot: rq.Snapshot, Code: backend.ReplyOK}
}

// standIn is a backend server that answers every query at once.
type standIn struct {
	ln     net.Listener
	server string
}

func newStandIn(server string) (*standIn, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	si := &standIn{ln: ln, server: server}
	go si.accept()
	return si, nil
}

func (si *standIn) accept() {
	for {
		nc, err := si.ln.Accept()
		if err != nil {
			return
		}
		go si.serve(nc)
	}
}

func (si *standIn) serve(nc net.Conn) {
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
		body, _ := json.Marshal(answerTo(si.server, rq)) // A Reply has nothing that can't be encoded.
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// tierOf is what an entry needs to answer queries.
type tierOf struct {
	en *fanout.Engine
	cl *backend.Client
	si []*standIn
}

func newTierOf(leaves int, connected bool) (*tierOf, error) {
	ts := timer.New()
	ti := &tierOf{}
	vi := &view.View{Configuration: configuration(leaves), LeaseExpiry: time.Now().Add(leaseLength), Servers: recordsOf(leaves * replicas)}
	for ix := range vi.Servers {
		re := &vi.Servers[ix]
		re.Slots, re.ConnectionLimit = 1000, 8
		re.Holdings = re.Holdings[:1]
		if !connected {
			continue
		}
		si, err := newStandIn(re.Server)
		if err != nil {
			return nil, errors.Join(err, ti.close())
		}
		ti.si = append(ti.si, si)
		re.Address = si.ln.Addr().String()
	}
	ce := &view.Cell{}
	ce.Store(vi)
	ta := limit.NewTable(ts, limit.TableConfig{})
	ta.Update(vi)
	ti.cl = backend.NewClient(ts, zap.NewNop(), backend.ClientConfig{SilenceTimeout: time.Minute})
	var sd fanout.Sender = ti.cl
	if !connected {
		sd = instant{}
	}
	ad := limit.NewAdmission(ts, limit.AdmissionConfig{ServiceCapacity: ta.ServiceCapacity})
	nb := func(percent float64, burst int) fanout.Budget { return limit.NewBudget(percent, burst) }
	ti.en = fanout.New("entry-000", ce, sd, ta, ad, nb, nil, ts, zap.NewNop(), fanout.NewMetrics(metrics.NewSet()))
	return ti, nil
}

func (ti *tierOf) close() error {
	if ti.cl != nil {
		ti.cl.Close()
	}
	var errs []error
	for _, si := range ti.si {
		errs = append(errs, si.ln.Close())
	}
	return errors.Join(errs...)
}

// cost is what queries cost.
type cost struct {
	leafMicros, leafAllocs, median float64
}

func (ti *tierOf) measure(ctx context.Context, leaves, queries int) (cost, error) {
	const warmUp = 20
	ask := func(ix int) (time.Duration, error) {
		start := time.Now()
		an := ti.en.Run(ctx, fanout.Query{
			RequestID: fmt.Sprint(ix), Service: serviceName, Repeatable: true, Deadline: start.Add(time.Minute),
			Body: json.RawMessage(`{"Building":"Av. Larco 345","Limit":20}`),
		})
		if an.Code != 0 {
			return 0, fmt.Errorf("answer %s: %s", an.Code, an.Detail)
		}
		return time.Since(start), nil
	}
	for ix := range warmUp {
		if _, err := ask(ix); err != nil {
			return cost{}, err
		}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	took := make([]float64, queries)
	var failed error
	spentMicros := spent(queries, func(ix int) {
		du, err := ask(ix)
		if err != nil {
			failed = err
		}
		took[ix] = micros(du) / 1000
	})
	runtime.ReadMemStats(&after)
	allocs := float64(after.Mallocs-before.Mallocs) / float64(queries*leaves)
	return cost{leafMicros: spentMicros / float64(leaves), leafAllocs: allocs, median: quantileOf(slices.Clone(took), 0.5)}, failed
}

// fanouts measures what a query costs an entry for each leaf request: the engine
// alone, and with real connections to stand-ins in this process, whose own cost
// is in the figure.
func fanouts() Measurement {
	const leafRequestsEach = 20_000
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
		Sample: func(ctx context.Context, tr Trial) ([]float64, error) {
			var vas []float64
			for _, connected := range []bool{false, true} {
				ti, err := newTierOf(tr.Size, connected)
				if err != nil {
					return nil, err
				}
				co, err := ti.measure(ctx, tr.Size, leafRequestsEach/tr.Size)
				if err := errors.Join(err, ti.close()); err != nil {
					return nil, err
				}
				vas = append(vas, co.leafMicros, co.leafAllocs, co.median)
			}
			return vas, nil
		},
	}
}
