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

// MetricsPath is the HTTP path of the metrics, on the address in Settings.Metrics.
const MetricsPath = "/metrics"

// MetricsWriter writes metrics in the Prometheus text format.
type MetricsWriter func(wr io.Writer)

// serveMetrics adds the HTTP server for metrics. If its address is taken, that is logged
// and the instance runs without it.
func serveMetrics(sp *suture.Supervisor, address string, lg *zap.Logger, mws ...MetricsWriter) {
	if _, err := serveHTTP(sp, "metrics", address, metricsHandler(mws)); err != nil {
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

// runtimeMetrics are the metrics of the Go runtime that indicate load, with the names
// under which they are exposed. Reading them doesn't stop the world.
var runtimeMetrics = []struct{ exposed, name string }{
	{"balsamwinch_goroutines", "/sched/goroutines:goroutines"},
	{"balsamwinch_heap_bytes", "/memory/classes/heap/objects:bytes"},
	{"balsamwinch_memory_bytes", "/memory/classes/total:bytes"},
	{"balsamwinch_garbage_collections_total", "/gc/cycles/total:gc-cycles"},
}

// writeProcessMetrics writes the metrics of the process.
func writeProcessMetrics(started time.Time, now func() time.Time) MetricsWriter {
	return func(wr io.Writer) {
		samples := make([]metrics.Sample, len(runtimeMetrics))
		for ix, rm := range runtimeMetrics {
			samples[ix].Name = rm.name
		}
		metrics.Read(samples)
		for ix, sa := range samples {
			if sa.Value.Kind() == metrics.KindUint64 {
				vm.WriteGaugeUint64(wr, runtimeMetrics[ix].exposed, sa.Value.Uint64())
			}
		}
		vm.WriteGaugeFloat64(wr, "balsamwinch_running_seconds", now().Sub(started).Seconds())
	}
}

// writeLinkMetrics writes the number of an entry instance's links to control instances.
func writeLinkMetrics(su *feed.Subscriber) MetricsWriter {
	return func(wr io.Writer) { vm.WriteGaugeUint64(wr, "balsamwinch_control_links", uint64(su.NumConnected())) }
}

// writeGroupMetrics writes the state of a control instance's consensus group.
func writeGroupMetrics(nd *fleet.Node, pu *feed.Publisher) MetricsWriter {
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

// callBuckets are the upper bounds in seconds of the call duration histograms.
var callBuckets = []float64{.001, .003, .01, .03, .1, .3, 1, 3}

// controlInstanceAPI is the API of a control instance.
type controlInstanceAPI interface {
	ControlAPI
	AddressAPI
}

// instrumentedAPI counts and measures the calls to a control instance from operators,
// backend servers and callers.
type instrumentedAPI struct {
	next          controlInstanceAPI
	ts            *timer.Service
	set           *vm.Set
	accept, read  callMetrics
	evacuate      callMetrics
	depart        callMetrics
	announcements *vm.Counter
	leaves        *vm.Counter
	ignored       *vm.Counter
	lookUps       *vm.Counter
	emptyLookUps  *vm.Counter
}

// callMetrics are the metrics of one kind of call.
type callMetrics struct {
	seconds *vm.PrometheusHistogram
	failed  *vm.Counter
}

func newInstrumentedAPI(co controlInstanceAPI, ts *timer.Service) *instrumentedAPI {
	set := vm.NewSet()
	series := func(name string) callMetrics {
		labels := `{call="` + name + `"}`
		return callMetrics{
			seconds: set.NewPrometheusHistogramExt("balsamwinch_control_call_seconds"+labels, callBuckets),
			failed:  set.NewCounter("balsamwinch_control_calls_failed_total" + labels),
		}
	}
	return &instrumentedAPI{
		next: co, ts: ts, set: set, accept: series("Accept"), read: series("Read"), evacuate: series("Evacuate"), depart: series("Depart"),
		announcements: set.NewCounter("balsamwinch_announcements_total"),
		leaves:        set.NewCounter("balsamwinch_leaves_total"),
		ignored:       set.NewCounter("balsamwinch_ignored_announcements_total"),
		lookUps:       set.NewCounter("balsamwinch_address_look_ups_total"),
		emptyLookUps:  set.NewCounter("balsamwinch_address_look_ups_empty_total"),
	}
}

func (cm *callMetrics) observe(took time.Duration, err error) {
	cm.seconds.Update(took.Seconds())
	if err != nil {
		cm.failed.Inc()
	}
}

// Accept measures and forwards the call.
func (ia *instrumentedAPI) Accept(ctx context.Context, version uint64, data []byte) error {
	start := ia.ts.Now()
	err := ia.next.Accept(ctx, version, data)
	ia.accept.observe(ia.ts.Now().Sub(start), err)
	return err
}

// Newest measures and forwards the call.
func (ia *instrumentedAPI) Newest(ctx context.Context) (version uint64, data []byte, err error) {
	start := ia.ts.Now()
	version, data, err = ia.next.Newest(ctx)
	ia.read.observe(ia.ts.Now().Sub(start), err)
	return version, data, err
}

// Evacuate measures and forwards the call.
func (ia *instrumentedAPI) Evacuate(ctx context.Context, dataCentre string, evacuate bool, from string) error {
	start := ia.ts.Now()
	err := ia.next.Evacuate(ctx, dataCentre, evacuate, from)
	ia.evacuate.observe(ia.ts.Now().Sub(start), err)
	return err
}

// Evacuated forwards the call.
func (ia *instrumentedAPI) Evacuated() evacuation.Set { return ia.next.Evacuated() }

// Announce counts and forwards the call, and times it if the server departs.
func (ia *instrumentedAPI) Announce(ctx context.Context, se registry.Server, from string) error {
	ia.announcements.Inc()
	start := ia.ts.Now()
	err := ia.next.Announce(ctx, se, from)
	if ia.countIgnored(err) {
		return err
	}
	if se.State != registry.Ready {
		ia.depart.observe(ia.ts.Now().Sub(start), err)
	}
	return err
}

// Leave counts, measures and forwards the call.
func (ia *instrumentedAPI) Leave(ctx context.Context, id, from string) error {
	ia.leaves.Inc()
	start := ia.ts.Now()
	err := ia.next.Leave(ctx, id, from)
	if ia.countIgnored(err) {
		return err
	}
	ia.depart.observe(ia.ts.Now().Sub(start), err)
	return err
}

// countIgnored counts a call that was ignored, and reports whether it was.
func (ia *instrumentedAPI) countIgnored(err error) bool {
	ignored := AnnounceStatus(err) == http.StatusBadRequest
	if ignored {
		ia.ignored.Inc()
	}
	return ignored
}

// Ignore counts and forwards the call.
func (ia *instrumentedAPI) Ignore(id, from, detail string) {
	ia.ignored.Inc()
	ia.next.Ignore(id, from, detail)
}

// BodyLimit forwards the call.
func (ia *instrumentedAPI) BodyLimit() int64 { return ia.next.BodyLimit() }

// Addresses counts and forwards the call.
func (ia *instrumentedAPI) Addresses(host, dataCentre, region string) ([]string, time.Duration) {
	ads, keep := ia.next.Addresses(host, dataCentre, region)
	ia.lookUps.Inc()
	if len(ads) == 0 {
		ia.emptyLookUps.Inc()
	}
	return ads, keep
}
