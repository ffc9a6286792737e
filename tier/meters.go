package tier

import (
	"context"
	"io"
	"net/http"
	"runtime/metrics"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/feed"
	"balsamwinch.example/fleet"
	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

// MetricsPath is where the metrics are, on the address that Settings.Metrics names.
const MetricsPath = "/metrics"

// MetricsWriter writes metrics in the Prometheus text format.
type MetricsWriter func(wr io.Writer)

// serveMetrics adds the listener for metrics. An instance whose address for
// metrics is taken serves all the same, and its log says so.
func serveMetrics(sp *suture.Supervisor, address string, lg *zap.Logger, mws ...MetricsWriter) {
	if err := serveHTTP(sp, "metrics", address, metricsHandler(mws)); err != nil {
		lg.Warn("metrics-not-served", zap.String("Address", address), zap.Error(err))
	}
}

func metricsHandler(mws []MetricsWriter) http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("GET "+MetricsPath, func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "text/plain; version=0.0.4")
		for _, mw := range mws {
			mw(wr)
		}
	})
	return mx
}

// runtimeMetrics are those of the Go runtime that say something of load, by the
// name under which they are shown. Reading them stops nothing.
var runtimeMetrics = []struct{ shown, name string }{
	{"balsamwinch_goroutines", "/sched/goroutines:goroutines"},
	{"balsamwinch_heap_bytes", "/memory/classes/heap/objects:bytes"},
	{"balsamwinch_memory_bytes", "/memory/classes/total:bytes"},
	{"balsamwinch_garbage_collections_total", "/gc/cycles/total:gc-cycles"},
}

// writeProcess writes what concerns the process.
func writeProcess(started time.Time, now func() time.Time) MetricsWriter {
	return func(wr io.Writer) {
		samples := make([]metrics.Sample, len(runtimeMetrics))
		for ix, rm := range runtimeMetrics {
			samples[ix].Name = rm.name
		}
		metrics.Read(samples)
		for ix, sa := range samples {
			if sa.Value.Kind() == metrics.KindUint64 {
				vm.WriteGaugeUint64(wr, runtimeMetrics[ix].shown, sa.Value.Uint64())
			}
		}
		vm.WriteGaugeFloat64(wr, "balsamwinch_running_seconds", now().Sub(started).Seconds())
	}
}

// writeLinks writes what an entry instance knows of control.
func writeLinks(su *feed.Subscriber) MetricsWriter {
	return func(wr io.Writer) { vm.WriteGaugeUint64(wr, "balsamwinch_control_links", uint64(su.NumConnected())) }
}

// writeGroup writes how a control instance stands in its group.
func writeGroup(nd *fleet.Node, pu *feed.Publisher) MetricsWriter {
	return func(wr io.Writer) {
		st := nd.Status()
		vm.WriteGaugeUint64(wr, `balsamwinch_control_role{role="`+st.Role+`"}`, 1)
		vm.WriteGaugeUint64(wr, "balsamwinch_control_term", st.Term)
		vm.WriteGaugeUint64(wr, "balsamwinch_control_commit", st.Commit)
		vm.WriteGaugeUint64(wr, "balsamwinch_configuration_version", st.Version)
		vm.WriteGaugeUint64(wr, "balsamwinch_control_voters", uint64(len(st.Voters)))
		vm.WriteGaugeUint64(wr, "balsamwinch_control_learners", uint64(len(st.Learners)))
		vm.WriteGaugeUint64(wr, "balsamwinch_control_links", uint64(st.Linked))
		vm.WriteGaugeUint64(wr, "balsamwinch_entry_instances", uint64(len(pu.ReadyEntries())))
		vm.WriteGaugeUint64(wr, "balsamwinch_entry_instances_chosen", uint64(pu.Sharers()))
	}
}

// callBounds are the upper bounds of the histograms of control calls in seconds.
var callBounds = []float64{.001, .003, .01, .03, .1, .3, 1, 3}

// calls are those that a control instance takes.
type calls interface {
	ControlAPI
	AddressAPI
}

// counted counts the calls that a control instance takes from operators, backend
// servers and callers.
type counted struct {
	co            calls
	ts            *timer.Service
	set           *vm.Set
	accept, read  call
	evacuate      call
	announcements *vm.Counter
	leaves        *vm.Counter
	ignored       *vm.Counter
	lookUps       *vm.Counter
	emptyLookUps  *vm.Counter
}

// call is the series of one kind of call.
type call struct {
	seconds *vm.PrometheusHistogram
	failed  *vm.Counter
}

func newCounted(co calls, ts *timer.Service) *counted {
	set := vm.NewSet()
	series := func(name string) call {
		in := `{call="` + name + `"}`
		return call{
			seconds: set.NewPrometheusHistogramExt("balsamwinch_control_call_seconds"+in, callBounds),
			failed:  set.NewCounter("balsamwinch_control_calls_failed_total" + in),
		}
	}
	return &counted{
		co: co, ts: ts, set: set, accept: series("Accept"), read: series("Read"), evacuate: series("Evacuate"),
		announcements: set.NewCounter("balsamwinch_announcements_total"),
		leaves:        set.NewCounter("balsamwinch_leaves_total"),
		ignored:       set.NewCounter("balsamwinch_ignored_announcements_total"),
		lookUps:       set.NewCounter("balsamwinch_address_look_ups_total"),
		emptyLookUps:  set.NewCounter("balsamwinch_address_look_ups_empty_total"),
	}
}

func (cl *call) done(took time.Duration, err error) {
	cl.seconds.Update(took.Seconds())
	if err != nil {
		cl.failed.Inc()
	}
}

// Accept counts and passes the call on.
func (cu *counted) Accept(ctx context.Context, version uint64, data []byte) error {
	start := cu.ts.Now()
	err := cu.co.Accept(ctx, version, data)
	cu.accept.done(cu.ts.Now().Sub(start), err)
	return err
}

// Newest counts and passes the call on.
func (cu *counted) Newest(ctx context.Context) (version uint64, data []byte, err error) {
	start := cu.ts.Now()
	version, data, err = cu.co.Newest(ctx)
	cu.read.done(cu.ts.Now().Sub(start), err)
	return version, data, err
}

// Evacuate counts and passes the call on.
func (cu *counted) Evacuate(ctx context.Context, dataCentre string, evacuate bool, from string) error {
	start := cu.ts.Now()
	err := cu.co.Evacuate(ctx, dataCentre, evacuate, from)
	cu.evacuate.done(cu.ts.Now().Sub(start), err)
	return err
}

// Evacuated passes the call on.
func (cu *counted) Evacuated() evacuation.Set { return cu.co.Evacuated() }

// Announce counts and passes the call on.
func (cu *counted) Announce(se registry.Server) {
	cu.announcements.Inc()
	cu.co.Announce(se)
}

// Leave counts and passes the call on.
func (cu *counted) Leave(id string) {
	cu.leaves.Inc()
	cu.co.Leave(id)
}

// Ignore counts and passes the call on.
func (cu *counted) Ignore(id, detail string) {
	cu.ignored.Inc()
	cu.co.Ignore(id, detail)
}

// BodyLimit passes the call on.
func (cu *counted) BodyLimit() int64 { return cu.co.BodyLimit() }

// Addresses counts and passes the call on.
func (cu *counted) Addresses(host, dataCentre, region string) ([]string, time.Duration) {
	ads, keep := cu.co.Addresses(host, dataCentre, region)
	cu.lookUps.Inc()
	if len(ads) == 0 {
		cu.emptyLookUps.Inc()
	}
	return ads, keep
}
