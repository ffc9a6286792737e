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

// instantReplies is a Sender that replies at once. It embeds a table to choose
// servers.
type instantReplies struct {
	*limit.Table
}

func (instantReplies) Do(_ context.Context, ta backend.Target, rq backend.Request) (backend.Reply, error) {
	return backend.Reply{RequestID: rq.RequestID, Server: ta.Server, Shard: rq.Shard, Snapshot: rq.Snapshot, Code: backend.ReplyOK}, nil
}

// fixedPick is instantReplies with a balancer that always picks the first
// candidate.
type fixedPick struct {
	instantReplies
}

func (fixedPick) Pick(_ time.Time, _ operator.Tactics, candidates []backend.Record, _ []string) (limit.Choice, bool) {
	return limit.Choice{Server: candidates[0].Server, Record: candidates[0]}, true
}
func (fixedPick) Done(time.Time, limit.Choice, limit.Outcome) {}
func (fixedPick) ObserveLatency(string, time.Duration)        {}

// BenchmarkRun measures the cost of a query for the entry itself, with servers
// that reply at once: processor time and allocations per leaf request, and the
// time from arrival to answer. It uses the real table of package limit, except
// in the "bare" cases, which show the engine's own cost.
func BenchmarkRun(b *testing.B) {
	for _, count := range []int{13, 180} {
		b.Run(strconv.Itoa(count), func(b *testing.B) { benchmarkRun(b, count, false) })
		b.Run(strconv.Itoa(count)+"/bare", func(b *testing.B) { benchmarkRun(b, count, true) })
	}
}

func benchmarkRun(b *testing.B, count int, fixed bool) {
	vi := &view.View{Sequence: 1, LeaseExpiry: time.Now().Add(time.Hour)}
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
	cl := instantReplies{limit.NewTable(ts, limit.TableConfig{})}
	cl.Update(vi)
	bf := func(percent float64, burst int) Budget { return limit.NewBudget(percent, burst) }
	var ba Balancer = cl
	if fixed {
		ba = fixedPick{cl}
	}
	en := New("i", &ce, cl, ba, limit.NewAdmission(ts, limit.AdmissionConfig{}), bf, nil, ts, zap.NewNop(), NewMetrics(metrics.NewSet()))
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

// processorTime returns the processor time used by the process, in nanoseconds.
func processorTime() int64 {
	var us syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &us) != nil {
		return 0
	}
	return us.Utime.Nano() + us.Stime.Nano()
}
