package feed

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/overload"
	"balsamwinch.example/peer"
)

// maxReports bounds the reports and levels of one message.
const maxReports = 64

// OverloadReport informs a control instance of what the entry instance counted of the
// requests of callers.
type OverloadReport struct {
	Reports []overload.Report `cbor:"1,keyasint"`
}

// Kind returns the kind of the message.
func (OverloadReport) Kind() peer.Kind { return kindOverloadReport }

// AdmissionLevels informs the entry instances of the fractions of requests to admit.
type AdmissionLevels struct {
	Levels []overload.Levels `cbor:"1,keyasint"`
}

// Kind returns the kind of the message.
func (AdmissionLevels) Kind() peer.Kind { return kindAdmissionLevels }

// overloadFeatures returns the features to announce.
func overloadFeatures(enabled bool) Features {
	if enabled {
		return FeatureOverload
	}
	return 0
}

// lockedController guards a controller. Reports arrive on all links concurrently.
type lockedController struct {
	mu sync.Mutex
	co *overload.Controller
	// logged holds the levels of each group that were last logged.
	logged map[string]overload.Levels
}

func (lc *lockedController) add(now time.Time, res []overload.Report) {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	if lc.co == nil {
		lc.co, lc.logged = overload.NewController(), make(map[string]overload.Levels)
	}
	lc.co.Add(now, res[:min(len(res), maxReports)])
}

func (lc *lockedController) evaluate(now time.Time) []overload.Levels {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	if lc.co == nil {
		return nil
	}
	lss := lc.co.Evaluate(now)
	return lss[:min(len(lss), maxReports)]
}

// takeChanged returns the levels that have changed since they were last returned.
func (lc *lockedController) takeChanged(lss []overload.Levels) []overload.Levels {
	lc.mu.Lock()
	defer lc.mu.Unlock()
	var out []overload.Levels
	for _, ls := range lss {
		if last := lc.logged[ls.Group]; ls.SimilarTo(&last) {
			continue
		}
		out = append(out, ls)
		lc.logged[ls.Group] = ls
		if !ls.Watched {
			delete(lc.logged, ls.Group)
		}
	}
	return out
}

// publishLevels sends new admission levels to the entry instances that understand them.
func (pu *Publisher) publishLevels(now time.Time) {
	lss := pu.overload.evaluate(now)
	if len(lss) == 0 {
		return
	}
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for _, ls := range pu.overload.takeChanged(lss) {
		pu.ll.info(now, "admission-level-set", levelFields(ls)...)
	}
	pu.broadcastTo(AdmissionLevels{Levels: lss}, func(sb *subscriber) bool { return sb.features.Has(FeatureOverload) })
}

// SendOverload sends this entry instance's counts to the control instances that also get
// its samples, if they understand them. Reports beyond maxReports are dropped.
func (su *Subscriber) SendOverload(res []overload.Report) {
	if len(res) == 0 {
		return
	}
	me := OverloadReport{Reports: res[:min(len(res), maxReports)]}
	su.mu.Lock()
	defer su.mu.Unlock()
	for _, co := range su.collectorLinks(FeatureOverload) {
		_ = co.Send(me) // Reading from the link reports its end.
	}
}

// receiveLevels passes admission levels of a control instance on.
func (su *Subscriber) receiveLevels(so *source, lss []overload.Levels) {
	if su.cf.LevelsReceived != nil {
		su.cf.LevelsReceived(so.address, lss)
	}
}

func levelFields(ls overload.Levels) []zap.Field {
	return []zap.Field{
		zap.String("Group", ls.Group), zap.Bool("Watched", ls.Watched), zap.Bool("Limited", ls.Limited),
		zap.Float32("Fraction", ls.Fraction), zap.Int("Levels", len(ls.Levels)),
		zap.Float64("Demand", ls.Demand), zap.Float64("Limit", ls.Limit),
	}
}
