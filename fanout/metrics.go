package fanout

import (
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"balsamwinch.example/result"
)

// Metrics exports the engine's metrics for each configured service: latency,
// answers by code, shards covered and missing by reason, leaf requests and the
// extra ones among them.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns metrics registered in the set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set}
}

// serviceMetrics holds the series of one service.
type serviceMetrics struct {
	set          *metrics.Set
	name         string
	latency      *metrics.Histogram
	leafRequests *metrics.Counter
	extra        *metrics.Counter
	hedges       *metrics.Counter
	retries      *metrics.Counter
	restarts     *metrics.Counter
	covered      *metrics.Counter
	missing      sync.Map // Reason to *metrics.Counter
	answers      sync.Map // result.Code to *metrics.Counter
}

func (me *Metrics) service(name string) *serviceMetrics {
	sm := &serviceMetrics{set: me.set, name: name}
	sm.latency = me.set.GetOrCreateHistogram(sm.series("balsamwinch_query_seconds"))
	sm.leafRequests = me.set.GetOrCreateCounter(sm.series("balsamwinch_leaf_requests_total"))
	sm.extra = me.set.GetOrCreateCounter(sm.series("balsamwinch_leaf_requests_extra_total"))
	sm.hedges = me.set.GetOrCreateCounter(sm.series("balsamwinch_hedges_total"))
	sm.retries = me.set.GetOrCreateCounter(sm.series("balsamwinch_retries_total"))
	sm.restarts = me.set.GetOrCreateCounter(sm.series("balsamwinch_restarts_total"))
	sm.covered = me.set.GetOrCreateCounter(sm.series("balsamwinch_shards_covered_total"))
	return sm
}

// series returns the name of a series of the service. labels are alternating
// label names and values.
func (sm *serviceMetrics) series(name string, labels ...string) string {
	st := name + `{service=` + strconv.Quote(sm.name)
	for ix := 0; ix+1 < len(labels); ix += 2 {
		st += "," + labels[ix] + "=" + strconv.Quote(labels[ix+1])
	}
	return st + "}"
}

func (sm *serviceMetrics) missingCounter(re Reason) *metrics.Counter {
	if co, ok := sm.missing.Load(re); ok {
		return co.(*metrics.Counter)
	}
	co, _ := sm.missing.LoadOrStore(re, sm.set.GetOrCreateCounter(sm.series("balsamwinch_shards_missing_total", "reason", string(re))))
	return co.(*metrics.Counter)
}

func (sm *serviceMetrics) answerCounter(code result.Code) *metrics.Counter {
	if co, ok := sm.answers.Load(code); ok {
		return co.(*metrics.Counter)
	}
	co, _ := sm.answers.LoadOrStore(code, sm.set.GetOrCreateCounter(sm.series("balsamwinch_answers_total", "code", code.String())))
	return co.(*metrics.Counter)
}

// add adds one answer to the series.
func (sm *serviceMetrics) add(an *Answer) {
	const perSecond = 1e6
	sm.latency.Update(float64(an.Cost.Micros) / perSecond)
	sm.answerCounter(an.Code).Inc()
	sm.leafRequests.Add(an.Cost.LeafRequests)
	sm.extra.Add(an.Cost.Extra)
	sm.hedges.Add(an.Cost.Hedges)
	sm.retries.Add(an.Cost.Retries)
	sm.restarts.Add(an.Cost.Restarts)
	sm.covered.Add(len(an.Covered))
	for _, mi := range an.Missing {
		sm.missingCounter(mi.Reason).Inc()
	}
}
