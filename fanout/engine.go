package fanout

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/limit"
	"balsamwinch.example/once"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
)

// Sender sends requests to backend servers; *backend.Client implements it.
// Errors are of type *backend.Error. Do returns soon after the context ends.
type Sender interface {
	Do(ctx context.Context, ta backend.Target, rq backend.Request) (backend.Reply, error)
}

// ReplyTracker is implemented by a Sender that tracks the latest reply of each
// backend server, such as *backend.Client. With any other Sender no server is
// considered unresponsive.
type ReplyTracker interface {
	// LastReply returns when a complete reply last came from a backend server
	// over a connection that was already open when the connection carrying the
	// request last worked; zero if none did.
	LastReply(server, requestID string) time.Time
}

// Balancer chooses among replicas and accounts for their slots; *limit.Table
// implements it.
type Balancer interface {
	Pick(now time.Time, tactics operator.Tactics, candidates []backend.Record, exclude []string) (limit.Choice, bool)
	Done(now time.Time, ch limit.Choice, oc limit.Outcome)
	ReleaseSlot(now time.Time, ch limit.Choice)
	RetryDelay(now time.Time, candidates []backend.Record, exclude []string) (time.Duration, bool)
	NewWaiter(now time.Time, candidates []backend.Record, exclude []string) *limit.Waiter
	HedgeDelay(service string) time.Duration
	ObserveLatency(service string, latency time.Duration)
}

// Admitter admits queries at the entry; *limit.Admission implements it.
type Admitter interface {
	Admit(ctx context.Context, service string, weight, cost int, deadline time.Time) (release func(served bool), err *result.Error)
}

// Budget limits extra leaf requests; *limit.Budget implements it.
type Budget interface {
	Earn(n int)
	Spend() bool
}

// BudgetFactory creates the budget of one service from its configured
// percentage and the number of extra leaf requests that it may accumulate.
type BudgetFactory func(percent float64, burst int) Budget

// Engine answers queries. It is safe for concurrent use, and queries share no
// lock on their path.
type Engine struct {
	self   string
	bootID string // distinguishes this engine's attempts from those of an earlier process
	ce     *view.Cell
	cl     Sender
	rt     ReplyTracker // nil if the Sender does not implement it
	ba     Balancer
	ad     Admitter
	bf     BudgetFactory
	on     once.Recorder
	ts     *timer.Service
	lg     *zap.Logger
	me     *Metrics

	seq       atomic.Uint64
	active    atomic.Int64 // queries running, including the goroutines they left behind
	routes    atomic.Pointer[routeTable]
	services  sync.Map // name of a configured service to *serviceState
	heldSlots heldSlots
	recent    answerRing
	answerLog logLimiter
}

// New returns an engine of the instance with the given name. It takes the
// lease, the configuration and the backend servers from the newest view in the
// cell.
func New(self string, ce *view.Cell, cl Sender, ba Balancer, ad Admitter, bf BudgetFactory, on once.Recorder, ts *timer.Service, lg *zap.Logger, me *Metrics) *Engine {
	en := &Engine{
		self: self, bootID: strconv.FormatInt(ts.Now().UnixNano(), 36),
		ce: ce, cl: cl, ba: ba, ad: ad, bf: bf, on: on, ts: ts, lg: lg, me: me,
	}
	en.rt, _ = cl.(ReplyTracker)
	en.answerLog.init()
	return en
}

// Limits that divide the time of a query.
const (
	defaultTimeout = time.Second // deadline if neither query nor service states one

	// The margin before the deadline covers merging and the way back to the
	// caller. Half of it lies between the end of a leaf request and the answer.
	marginDivisor = 20
	minMargin     = 2 * time.Millisecond
	maxMargin     = 25 * time.Millisecond

	// A request that must not be repeated reserves 1/recordDivisor of its time,
	// up to maxRecordTime, for recording its outcome.
	recordDivisor = 10
	maxRecordTime = 250 * time.Millisecond

	// Fraction of its time after which a leaf request that makes no progress
	// abandons its connection. A hedge on another connection comes earlier.
	silenceNumerator, silenceDenominator = 2, 3
)

// Run answers one query by its deadline, unless recording an outcome takes
// longer. When ctx ends, a repeatable query ends too. One that must not be
// repeated continues once it may have begun, so that its outcome is recorded.
func (en *Engine) Run(ctx context.Context, qu Query) Answer {
	qr := &queryRun{en: en, ctx: ctx, qu: &qu}
	en.active.Add(1)
	qr.numGoroutines.Add(1)
	defer qr.goroutineDone()
	start := en.ts.Now()
	vi := en.ce.Load()
	an, recordChecked := qr.answerQuery(start, vi)
	if qu.Resend && !qu.Repeatable && !recordChecked && an.Code.NotRun() {
		// The caller sent this key before and lost the answer. "Not run" would be
		// true of this arrival only, and the caller would send the order again
		// under another key although the first arrival may have run.
		an.Detail = "an earlier arrival may have run; this one was refused: " + an.Code.String() + " " + an.Detail
		an.Code = result.OutcomeUnknown
	}
	an.RequestID = qu.RequestID
	an.Instance = en.self
	if an.Revision == 0 {
		an.Revision = vi.Configuration.Revision
	}
	an.Cost.Micros = en.ts.Now().Sub(start).Microseconds()
	en.recordAnswer(qr, start, &an)
	return an
}

// InFlight returns the number of queries that are running or have left
// goroutines behind, such as ending attempts and outcomes being recorded.
func (en *Engine) InFlight() int {
	return int(en.active.Load())
}

// Wait returns nil when nothing is in flight, or the context's error.
func (en *Engine) Wait(ctx context.Context) error {
	for en.InFlight() > 0 {
		if err := en.ts.Sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// answerQuery answers a query. recordChecked reports whether the intent record
// was consulted and rules out that an earlier arrival ran.
func (qr *queryRun) answerQuery(start time.Time, vi *view.View) (an Answer, recordChecked bool) {
	if an, ok := qr.prepare(start, vi); !ok {
		return an, false
	}
	release, er := qr.en.ad.Admit(qr.ctx, qr.qu.Service, qr.se.Weight, len(qr.plan.Shards), qr.pa.AnswerDeadline)
	if er != nil {
		return refusal(er.Code, er.Detail, er.RetryAfter), false
	}
	if qr.qu.Repeatable {
		an = qr.execute()
	} else {
		an, recordChecked = qr.executeOnce()
	}
	release(an.Code == result.Complete || an.Code == result.Partial)
	an.Stale = an.Stale || qr.stale
	return an, recordChecked
}

func refusal(co result.Code, detail string, retryAfter time.Duration) Answer {
	return Answer{Code: co, Detail: detail, Covered: []string{}, RetryAfterMillis: retryAfter.Milliseconds()}
}

// prepare checks whether the query may run at all and plans it. It returns
// false with the refusal if not.
func (qr *queryRun) prepare(start time.Time, vi *view.View) (Answer, bool) {
	qu := qr.qu
	se, known := vi.Configuration.Services[qu.Service]
	if !vi.Leased(start) {
		// Without control an instance cannot know whether its configuration is
		// still in force. It continues to serve only where the operators allow it,
		// and marks its answers as stale.
		if !known || !se.ServeWithoutControl {
			return refusal(result.NotRunStale, "the lease from control has run out", retryAfterMissing), false
		}
		qr.stale = true
	}
	if !known {
		return refusal(result.NotRunUnknownService, "want a configured service, got "+strconv.Quote(qu.Service), 0), false
	}
	if detail := validate(se, qu); detail != "" {
		return refusal(result.NotRunBadRequest, detail, 0), false
	}
	qr.se = se
	qr.revision = vi.Configuration.Revision
	qr.sv = qr.en.serviceOf(qu.Service, se)
	qr.setParams(start)
	if !start.Before(qr.pa.AnswerDeadline) {
		return refusal(result.NotRunDeadline, "the deadline leaves no time", 0), false
	}
	qr.ro = qr.en.routesOf(vi).routeFor(qu.Service, se)
	plan, ok := qr.ro.planFor(qu.Shards)
	if !ok {
		return refusal(result.NotRunNoServer, "no backend server holds a shard of one snapshot", retryAfterMissing), false
	}
	qr.plan = plan
	return Answer{}, true
}

// validate returns what is wrong with a query, or an empty string.
func validate(se operator.Service, qu *Query) string {
	switch qu.Policy {
	case "", operator.Complete, operator.Best:
	default:
		return "Policy: want Complete or Best, got " + strconv.Quote(string(qu.Policy))
	}
	if !qu.Repeatable && qu.Key == "" {
		return "Key: want one for a request that is not repeatable"
	}
	if sh, ok := unknownShard(se, qu.Shards); ok {
		return "Shards: want shards of a partition map, got " + strconv.Quote(sh)
	}
	return ""
}

// setParams divides the time available to the query.
func (qr *queryRun) setParams(start time.Time) {
	qu := qr.qu
	if qu.Deadline.IsZero() {
		span := qr.se.Deadline()
		if span <= 0 {
			span = defaultTimeout
		}
		qu.Deadline = start.Add(span)
	}
	span := qu.Deadline.Sub(start)
	margin := min(max(span/marginDivisor, minMargin), maxMargin)
	qr.recordDeadline = qu.Deadline.Add(-margin)
	reserve := time.Duration(0)
	if !qu.Repeatable {
		reserve = min(span/recordDivisor, maxRecordTime)
	}
	qr.pa = Params{
		RequestIDPrefix: qu.RequestID + "." + qr.en.self + "." + qr.en.bootID + "." + strconv.FormatUint(qr.en.seq.Add(1), 36),
		Start:           start,
		AnswerDeadline:  qr.recordDeadline.Add(-reserve),
		HedgeDelay:      qr.en.ba.HedgeDelay(qu.Service),
		Policy:          effectivePolicy(qr.se, qu),
		Tactics:         qr.se.Tactics,
		Repeatable:      qu.Repeatable,
	}
	qr.leafDeadline = qr.pa.AnswerDeadline.Add(-margin / 2)
	if qr.pa.HedgeDelay <= 0 {
		qr.pa.HedgeDelay = limit.DefaultHedgeDelay
	}
}

// effectivePolicy returns the query's policy, else the service's, else
// Complete: unless someone asked for it, an answer with missing shards must not
// pass as a success.
func effectivePolicy(se operator.Service, qu *Query) operator.Policy {
	switch {
	case qu.Policy != "":
		return qu.Policy
	case se.Policy != "":
		return se.Policy
	default:
		return operator.Complete
	}
}

// routesOf returns the routes of a view. Concurrent queries that see a new view
// may build them twice; one of them is kept.
func (en *Engine) routesOf(vi *view.View) *routeTable {
	for {
		old := en.routes.Load()
		if old != nil && old.vi == vi {
			return old
		}
		rs := newRoutes(vi, old)
		if old != nil && old.vi.Sequence > vi.Sequence {
			return rs
		}
		if en.routes.CompareAndSwap(old, rs) {
			return rs
		}
	}
}

// serviceState is the state of a service that is kept between its queries.
type serviceState struct {
	me *serviceMetrics
	bu atomic.Pointer[serviceBudget]
}

type serviceBudget struct {
	percent float64
	Budget
}

// maxBudgetBurst is the number of extra leaf requests that a service may
// accumulate.
const maxBudgetBurst = 20

// serviceOf returns the state of a configured service, with the budget that the
// configuration states.
func (en *Engine) serviceOf(name string, se operator.Service) *serviceState {
	va, ok := en.services.Load(name)
	if !ok {
		va, _ = en.services.LoadOrStore(name, &serviceState{me: en.me.service(name)})
	}
	sv := va.(*serviceState)
	if old := sv.bu.Load(); old == nil || old.percent != se.ExtraLoadPercent {
		sv.bu.CompareAndSwap(old, &serviceBudget{
			percent: se.ExtraLoadPercent,
			Budget:  en.bf(se.ExtraLoadPercent, maxBudgetBurst),
		})
	}
	return sv
}
