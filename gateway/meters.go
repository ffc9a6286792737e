package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"balsamwinch.example/quarantine"
	"balsamwinch.example/result"
	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

const (
	// mostLabels bounds the routes, and the services, that have series of their
	// own. What comes after shares the label otherLabel: a configuration may name
	// hundreds of routes, and each has some twenty series.
	mostLabels = 200
	// otherLabel is the label of what has no series of its own.
	otherLabel = "other"
	// noLabel is the label of requests that no route was found for.
	noLabel = "none"
	// mostLabelBytes bounds a label.
	mostLabelBytes = 64
)

// latencyBounds are the upper bounds of the latency histograms in seconds.
var latencyBounds = []float64{.005, .01, .02, .03, .05, .08, .1, .15, .2, .3, .5, .8, 1.2, 2, 5}

// statusClasses are the labels of answers. 499 is a caller that left.
var statusClasses = [...]string{"2xx", "3xx", "4xx", "499", "502", "503", "504", "5xx"}

func statusClass(status int) int {
	switch {
	case status == statusLeft:
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

// meters counts what happened to requests. The zero value counts nothing visible
// until begin.
type meters struct {
	set     *metrics.Set
	probed  *metrics.Counter
	refused *metrics.Counter

	mu       sync.Mutex // mu guards additions to the maps.
	routes   atomic.Pointer[map[string]*routeMeters]
	services atomic.Pointer[map[string]*serviceMeters]
}

// begin makes the meters of a server. It is called before the first request.
func (mt *meters) begin(sv *Server) {
	mt.set = metrics.NewSet()
	mt.routes.Store(&map[string]*routeMeters{})
	mt.services.Store(&map[string]*serviceMeters{})
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
		return float64(sv.entries.now)
	})
	mt.probed = mt.set.NewCounter("balsamwinch_requests_probed_total")
	mt.refused = mt.set.NewCounter("balsamwinch_requests_quarantined_total")
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

// WriteMetrics writes the metrics in the Prometheus text format.
func (sv *Server) WriteMetrics(wr io.Writer) { sv.mt.set.WritePrometheus(wr) }

// routeMeters are the series of one route.
type routeMeters struct {
	set     *metrics.Set
	label   string
	seconds *metrics.PrometheusHistogram
	late    *metrics.Counter
	partial *metrics.Counter
	status  [len(statusClasses)]atomic.Pointer[metrics.Counter]
}

// serviceMeters are the series of one service.
type serviceMeters struct {
	set     *metrics.Set
	label   string
	first   *metrics.Counter
	hedges  *metrics.Counter
	retries *metrics.Counter
	denied  *metrics.Counter
	missing *metrics.Counter
	ends    [mostEnds]atomic.Pointer[metrics.Counter]
}

// Ends of attempts as they are counted: the outcomes of package upstream, and
// some that are told apart further.
const (
	endedFailed     = int(upstream.NoConnection) + 1 + iota // Answered with a status from 500 on.
	endedMoved                                              // NotRun, as the address is another server's.
	endedSuperseded                                         // Canceled, as the request was over.
	mostEnds
)

func endIndex(ctx context.Context, rs upstream.Result) int {
	switch {
	case rs.Outcome == upstream.Answered && rs.Reply != nil && rs.Reply.Status >= 500:
		return endedFailed
	case rs.Misdirected:
		return endedMoved
	case rs.Outcome == upstream.Canceled && superseded(ctx):
		return endedSuperseded
	}
	return min(int(rs.Outcome), int(upstream.NoConnection))
}

func endLabel(index int) string {
	switch index {
	case endedFailed:
		return "Failed"
	case endedMoved:
		return endMoved
	case endedSuperseded:
		return "Superseded"
	}
	return upstream.Outcome(index).String()
}

// request counts a request that is over.
func (mt *meters) request(ca *call, took time.Duration, late bool) {
	rm := mt.route(ca.routeName())
	rm.count(statusClass(ca.status))
	if ca.status == statusLeft {
		return
	}
	rm.seconds.Update(took.Seconds())
	if ca.status < http.StatusInternalServerError && late {
		rm.late.Inc()
	}
	if ca.code == result.Partial {
		rm.partial.Inc()
	}
	if ca.missed > 0 && ca.cr != nil {
		mt.missed(ca.cr)
	}
}

// missed counts the parts that an answer lacks or would have lacked.
func (mt *meters) missed(cr *carrier) {
	for sh, service := range cr.services {
		if !cr.qu.HasPart(sh) {
			mt.service(service).missing.Inc()
		}
	}
}

// began counts the beginning of an attempt.
func (mt *meters) began(service string, wk scatter.AttemptKind) {
	sm := mt.service(service)
	switch wk {
	case scatter.Hedge:
		sm.hedges.Inc()
	case scatter.Retry:
		sm.retries.Inc()
	default:
		sm.first.Inc()
	}
}

// denied counts an attempt that the retry budget did not allow.
func (mt *meters) denied(service string) { mt.service(service).denied.Inc() }

// ended counts the end of an attempt.
func (mt *meters) ended(ctx context.Context, service string, rs upstream.Result) {
	mt.service(service).end(endIndex(ctx, rs))
}

func (rm *routeMeters) count(class int) {
	co := rm.status[class].Load()
	if co == nil {
		co = rm.set.GetOrCreateCounter(`balsamwinch_requests_total{route="` + rm.label + `",status="` + statusClasses[class] + `"}`)
		rm.status[class].Store(co)
	}
	co.Inc()
}

func (sm *serviceMeters) end(index int) {
	co := sm.ends[index].Load()
	if co == nil {
		co = sm.set.GetOrCreateCounter(`balsamwinch_attempts_ended_total{service="` + sm.label + `",end="` + endLabel(index) + `"}`)
		sm.ends[index].Store(co)
	}
	co.Inc()
}

// route returns the series of a route. The map is copied to add one, so that
// finding one takes no lock.
func (mt *meters) route(name string) *routeMeters {
	if rm, ok := (*mt.routes.Load())[name]; ok {
		return rm
	}
	return addMeters(&mt.mu, &mt.routes, name, mt.newRoute)
}

func (mt *meters) service(name string) *serviceMeters {
	if sm, ok := (*mt.services.Load())[name]; ok {
		return sm
	}
	return addMeters(&mt.mu, &mt.services, name, mt.newService)
}

// addMeters returns the series of a name, made if there is room for one more, or those
// of otherLabel.
func addMeters[Meters any](mu *sync.Mutex, mp *atomic.Pointer[map[string]*Meters], name string, create func(label string) *Meters) *Meters {
	mu.Lock()
	defer mu.Unlock()
	old := *mp.Load()
	if _, ok := old[name]; !ok && len(old) >= mostLabels {
		name = otherLabel
	}
	if me, ok := old[name]; ok {
		return me
	}
	me := create(labelOf(name))
	next := maps.Clone(old)
	next[name] = me
	mp.Store(&next)
	return me
}

func (mt *meters) newRoute(label string) *routeMeters {
	in := `{route="` + label + `"}`
	return &routeMeters{
		set: mt.set, label: label,
		seconds: mt.set.GetOrCreatePrometheusHistogramExt("balsamwinch_request_seconds"+in, latencyBounds),
		late:    mt.set.GetOrCreateCounter("balsamwinch_requests_late_total" + in),
		partial: mt.set.GetOrCreateCounter("balsamwinch_requests_partial_total" + in),
	}
}

func (mt *meters) newService(label string) *serviceMeters {
	in := `{service="` + label + `"}`
	kind := func(wk scatter.AttemptKind) *metrics.Counter {
		return mt.set.GetOrCreateCounter(`balsamwinch_attempts_total{service="` + label + `",kind="` + kindName(wk) + `"}`)
	}
	return &serviceMeters{
		set: mt.set, label: label,
		first: kind(scatter.First), hedges: kind(scatter.Hedge), retries: kind(scatter.Retry),
		denied:  mt.set.GetOrCreateCounter("balsamwinch_attempts_denied_total" + in),
		missing: mt.set.GetOrCreateCounter("balsamwinch_parts_missing_total" + in),
	}
}

// labelOf makes a name fit for a label: operators choose names, and one that breaks
// the format would make the whole page useless.
func labelOf(name string) string {
	if name == "" {
		return noLabel
	}
	name = name[:min(len(name), mostLabelBytes)]
	return strings.Map(func(ru rune) rune {
		if ru < ' ' || ru > '~' || strings.ContainsRune(`"\{}`, ru) {
			return '_'
		}
		return ru
	}, name)
}
