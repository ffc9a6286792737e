package fanout

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/limit"
	"balsamwinch.example/operator"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
)

// instant replies at once. It embeds a table for the choice of servers.
type instant struct {
	*limit.Table
}

func (instant) Do(_ context.Context, ta backend.Target, rq backend.Request) (backend.Reply, error) {
	return backend.Reply{RequestID: rq.RequestID, Server: ta.Server, Shard: rq.Shard, Snapshot: rq.Snapshot, Code: backend.ReplyOK}, nil
}

// bare is instant with a table that decides nothing.
type bare struct {
	instant
}

func (bare) Pick(_ time.Time, _ operator.Tactics, candidates []backend.Record, _ []string) (limit.Choice, bool) {
	return limit.Choice{Server: candidates[0].Server, Record: candidates[0]}, true
}
func (bare) Done(time.Time, limit.Choice, limit.Outcome) {}
func (bare) ObserveLatency(string, time.Duration)        {}

// BenchmarkRun measures what a query costs the entry itself, with servers that
// reply at once: processor time and allocations for each leaf request, and the
// time from arrival to answer. The table of package limit is the real one but for
// bare, which shows what is the engine's own.
func BenchmarkRun(b *testing.B) {
	for _, count := range []int{13, 180} {
		b.Run(strconv.Itoa(count), func(b *testing.B) { benchmarkRun(b, count, false) })
		b.Run(strconv.Itoa(count)+"/bare", func(b *testing.B) { benchmarkRun(b, count, true) })
	}
}

func benchmarkRun(b *testing.B, count int, decidesNothing bool) {
	vi := &view.View{Sequence: 1, LeaseUntil: time.Now().Add(time.Hour)}
	var shards []string
	for ix := range count {
		sh := fmt.Sprintf("shard-%d", ix)
		shards = append(shards, sh)
		for _, replica := range []string{"-x", "-y"} {
			vi.Servers = append(vi.Servers, backend.Record{
				Server: sh + replica, Service: "s", Incarnation: 1, State: backend.Serving, Slots: 1000, ConnectionLimit: 1000,
				Holdings: []backend.Holding{{Shard: sh, Snapshot: v5}},
			})
		}
	}
	vi.Configuration.Services = map[string]operator.Service{"s": {
		Partitions: []operator.Partition{{Number: 1, Shards: shards}}, Selector: operator.Selector{Service: "s"}, ExtraLoadPercent: 5,
	}}
	vi.Configuration.Limits.MaxEntries = 1
	ts := timer.New()
	var ce view.Cell
	ce.Store(vi)
	cl := instant{limit.NewTable(ts, limit.TableConfig{})}
	cl.Update(vi)
	nb := func(percent float64, burst int) Budget { return limit.NewBudget(percent, burst) }
	var ta Balancer = cl
	if decidesNothing {
		ta = bare{cl}
	}
	en := New("i", &ce, cl, ta, limit.NewAdmission(ts, limit.AdmissionConfig{}), nb, nil, ts, zap.NewNop(), NewMetrics(metrics.NewSet()))
	var took []time.Duration
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime()
	for b.Loop() {
		start := time.Now()
		an := en.Run(context.Background(), Query{RequestID: "r", Service: "s", Repeatable: true, Deadline: start.Add(time.Minute)})
		took = append(took, time.Since(start))
		if an.Code != 0 {
			b.Fatal(an.Code, an.Detail)
		}
	}
	leaves := float64(len(took) * count)
	b.ReportMetric(float64(processorTime()-before)/leaves, "cpu-ns/leaf")
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
}

// processorTime returns the processor time of the process, in nanoseconds.
func processorTime() int64 {
	var us syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &us) != nil {
		return 0
	}
	return us.Utime.Nano() + us.Stime.Nano()
}
