package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsamwinch.example/overload"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/result"
	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

const (
	// maxLabels bounds the routes, and the services, that have series of their own. Further
	// ones share the label otherLabel: a configuration may name hundreds of routes, and
	// each has about twenty series.
	maxLabels = 200
	// otherLabel is the label of routes and services without series of their own.
	otherLabel = "other"
	// noLabel is the label of requests that match no route.
	noLabel = "none"
	// maxLabelBytes bounds the length of a label.
	maxLabelBytes = 64
)

// latencyBounds are the upper bounds of the latency histograms, in seconds.
var latencyBounds = []float64{.005, .01, .02, .03, .05, .08, .1, .15, .2, .3, .5, .8, 1.2, 2, 5}

// statusClasses are the values of the status label. 499 is a caller that disconnected.
var statusClasses = [...]string{"2xx", "3xx", "4xx", "499", "502", "503", "504", "5xx"}

func statusClass(status int) int {
	switch {
	case status == statusCallerLeft:
		return 3
	case status == http.StatusBadGateway:
		return 4
	case status == http.StatusServiceUnavailable:
		return 5
	case status == http.StatusGatewayTimeout:
		return 6
	case status >= 500:
		return 7
	case status >= 400:
		return 2
	case status >= 300:
		return 1
	}
	return 0
}

// serverMetrics counts requests and attempts. It must be registered before use.
type serverMetrics struct {
	set         *metrics.Set
	probed      *metrics.Counter
	quarantined *metrics.Counter
	returned    *metrics.Counter // callers that came back as told and were admitted for it
	refusals    [overload.NumClasses]*metrics.Counter

	mu       sync.Mutex // guards additions to the maps
	routes   atomic.Pointer[map[string]*routeMetrics]
	services atomic.Pointer[map[string]*serviceMetrics]
}

// register creates the metrics of a server. It must be called before the first request.
func (mt *serverMetrics) register(sv *Server) {
	mt.set = metrics.NewSet()
	mt.routes.Store(&map[string]*routeMetrics{})
	mt.services.Store(&map[string]*serviceMetrics{})
	mt.set.NewGauge("balsamwinch_requests_active", func() float64 { return float64(sv.InFlight()) })
	mt.set.NewGauge("balsamwinch_configuration_version", func() float64 {
		if tb := sv.Table(); tb != nil {
			return float64(tb.Version())
		}
		return 0
	})
	mt.set.NewGauge("balsamwinch_entry_instances", func() float64 {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		return float64(sv.entries.current)
	})
	mt.probed = mt.set.NewCounter("balsamwinch_requests_probed_total")
	mt.quarantined = mt.set.NewCounter("balsamwinch_requests_quarantined_total")
	mt.returned = mt.set.NewCounter("balsamwinch_overload_returned_total")
	mt.set.NewGauge("balsamwinch_overload_level", func() float64 {
		if sv.cf.Levels == nil {
			return 1
		}
		return sv.cf.Levels.Lowest(sv.ts.Now())
	})
	for class := range mt.refusals {
		mt.refusals[class] = mt.set.NewCounter(`balsamwinch_overload_refused_total{class="` + strconv.Itoa(class) + `"}`)
	}
	for _, ve := range []quarantine.Verdict{quarantine.Probe, quarantine.Refuse} {
		mt.set.NewGauge(`balsamwinch_quarantine_records{verdict="`+ve.String()+`"}`, func() float64 { return float64(sv.qa.Count(ve)) })
	}
	mt.set.NewGauge("balsamwinch_backend_servers", func() float64 {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		count := 0
		for _, ses := range sv.servers {
			count += len(ses)
		}
		return float64(count)
	})
}

// countRefusal counts a request refused by the levels of all entry instances.
func (mt *serverMetrics) countRefusal(class overload.Class) { mt.refusals[class].Inc() }

// WriteMetrics writes the metrics in the Prometheus text format.
func (sv *Server) WriteMetrics(wr io.Writer) {
	sv.metrics.set.WritePrometheus(wr)
	sv.customers.write(wr)
}

// routeMetrics holds the series of one route.
type routeMetrics struct {
	set      *metrics.Set
	label    string
	latency  *metrics.PrometheusHistogram
	late     *metrics.Counter
	partial  *metrics.Counter
	byStatus [len(statusClasses)]atomic.Pointer[metrics.Counter]
}

// serviceMetrics holds the series of one service.
type serviceMetrics struct {
	set     *metrics.Set
	label   string
	first   *metrics.Counter
	hedges  *metrics.Counter
	retries *metrics.Counter
	denied  *metrics.Counter
	missing *metrics.Counter
	byEnd   [numEnds]atomic.Pointer[metrics.Counter]
}

// Ends of attempts as they are counted: the outcomes of package upstream, and some finer
// distinctions.
const (
	endedFailed      = int(upstream.NoConnection) + 1 + iota // Answered with a status of 500 or above.
	endedMisdirected                                         // NotRun, because another server uses the address.
	endedSuperseded                                          // Canceled, because the request had ended.
	numEnds
)

func endIndex(ctx context.Context, rs upstream.Result) int {
	switch {
	case rs.Outcome == upstream.Answered && rs.Reply != nil && rs.Reply.Status >= 500:
		return endedFailed
	case rs.Misdirected:
		return endedMisdirected
	case rs.Outcome == upstream.Canceled && superseded(ctx):
		return endedSuperseded
	}
	return min(int(rs.Outcome), int(upstream.NoConnection))
}

func endLabel(index int) string {
	switch index {
	case endedFailed:
		return "Failed"
	case endedMisdirected:
		return endMisdirected
	case endedSuperseded:
		return "Superseded"
	}
	return upstream.Outcome(index).String()
}

// countRequest counts a request that has ended.
func (mt *serverMetrics) countRequest(ca *call, took time.Duration, late bool) {
	rm := mt.route(ca.routeName())
	rm.countStatus(statusClass(ca.status))
	if ca.status == statusCallerLeft {
		return
	}
	rm.latency.Update(took.Seconds())
	if ca.status < http.StatusInternalServerError && late {
		rm.late.Inc()
	}
	if ca.code == result.Partial {
		rm.partial.Inc()
	}
	if ca.numMissing > 0 && ca.ex != nil {
		mt.countMissing(ca.ex)
	}
}

// countMissing counts the missing parts of a request, whether it was answered or failed.
func (mt *serverMetrics) countMissing(ex *executor) {
	for sh, service := range ex.services {
		if !ex.qu.HasPart(sh) {
			mt.service(service).missing.Inc()
		}
	}
}

// countAttempt counts the start of an attempt.
func (mt *serverMetrics) countAttempt(service string, ak scatter.AttemptKind) {
	sm := mt.service(service)
	switch ak {
	case scatter.Hedge:
		sm.hedges.Inc()
	case scatter.Retry:
		sm.retries.Inc()
	default:
		sm.first.Inc()
	}
}

// countDenied counts an attempt that the retry budget did not allow.
func (mt *serverMetrics) countDenied(service string) { mt.service(service).denied.Inc() }

// countAttemptEnd counts the end of an attempt.
func (mt *serverMetrics) countAttemptEnd(ctx context.Context, service string, rs upstream.Result) {
	mt.service(service).countEnd(endIndex(ctx, rs))
}

func (rm *routeMetrics) countStatus(class int) {
	co := rm.byStatus[class].Load()
	if co == nil {
		co = rm.set.GetOrCreateCounter(`balsamwinch_requests_total{route="` + rm.label + `",status="` + statusClasses[class] + `"}`)
		rm.byStatus[class].Store(co)
	}
	co.Inc()
}

func (sm *serviceMetrics) countEnd(index int) {
	co := sm.byEnd[index].Load()
	if co == nil {
		co = sm.set.GetOrCreateCounter(`balsamwinch_attempts_ended_total{service="` + sm.label + `",end="` + endLabel(index) + `"}`)
		sm.byEnd[index].Store(co)
	}
	co.Inc()
}

// route returns the series of a route. Adding a route copies the map, so that lookups take
// no lock.
func (mt *serverMetrics) route(name string) *routeMetrics {
	if rm, ok := (*mt.routes.Load())[name]; ok {
		return rm
	}
	return addMetrics(&mt.mu, &mt.routes, name, mt.newRouteMetrics)
}

func (mt *serverMetrics) service(name string) *serviceMetrics {
	if sm, ok := (*mt.services.Load())[name]; ok {
		return sm
	}
	return addMetrics(&mt.mu, &mt.services, name, mt.newServiceMetrics)
}

// addMetrics returns the series for a name, creating them if fewer than maxLabels exist;
// otherwise it returns those of otherLabel.
func addMetrics[Metrics any](mu *sync.Mutex, mp *atomic.Pointer[map[string]*Metrics], name string, create func(label string) *Metrics) *Metrics {
	mu.Lock()
	defer mu.Unlock()
	old := *mp.Load()
	if _, ok := old[name]; !ok && len(old) >= maxLabels {
		name = otherLabel
	}
	if me, ok := old[name]; ok {
		return me
	}
	me := create(sanitizeLabel(name))
	next := maps.Clone(old)
	next[name] = me
	mp.Store(&next)
	return me
}

func (mt *serverMetrics) newRouteMetrics(label string) *routeMetrics {
	labels := `{route="` + label + `"}`
	return &routeMetrics{
		set: mt.set, label: label,
		latency: mt.set.GetOrCreatePrometheusHistogramExt("balsamwinch_request_seconds"+labels, latencyBounds),
		late:    mt.set.GetOrCreateCounter("balsamwinch_requests_late_total" + labels),
		partial: mt.set.GetOrCreateCounter("balsamwinch_requests_partial_total" + labels),
	}
}

func (mt *serverMetrics) newServiceMetrics(label string) *serviceMetrics {
	labels := `{service="` + label + `"}`
	kind := func(ak scatter.AttemptKind) *metrics.Counter {
		return mt.set.GetOrCreateCounter(`balsamwinch_attempts_total{service="` + label + `",kind="` + kindName(ak) + `"}`)
	}
	return &serviceMetrics{
		set: mt.set, label: label,
		first: kind(scatter.First), hedges: kind(scatter.Hedge), retries: kind(scatter.Retry),
		denied:  mt.set.GetOrCreateCounter("balsamwinch_attempts_denied_total" + labels),
		missing: mt.set.GetOrCreateCounter("balsamwinch_parts_missing_total" + labels),
	}
}

// sanitizeLabel makes a name safe for use as a label. Operators choose the names, and one
// that breaks the format would make the whole metrics page unreadable.
func sanitizeLabel(name string) string {
	if name == "" {
		return noLabel
	}
	name = name[:min(len(name), maxLabelBytes)]
	return strings.Map(func(ru rune) rune {
		if ru < ' ' || ru > '~' || strings.ContainsRune(`"\{}`, ru) {
			return '_'
		}
		return ru
	}, name)
}
