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

// Sender sends requests to backend servers; *backend.Client is one. An error is
// a *backend.Error. Once the context ends, it returns soon.
type Sender interface {
	Do(ctx context.Context, ta backend.Target, rq backend.Request) (backend.Reply, error)
}

// Hearer is a Sender that knows when it last heard a backend server;
// *backend.Client is one. With any other, no server is ever doubted.
type ReplyTracker interface {
	// Heard returns when a whole reply last came from a backend server over a
	// connection that was open when the one that carries the request last worked;
	// zero if none did.
	LastReply(server, requestID string) time.Time
}

// Servers chooses among replicas and keeps their slots; *limit.Table is one.
type Balancer interface {
	Pick(now time.Time, tactics operator.Tactics, candidates []backend.Record, exclude []string) (limit.Choice, bool)
	Done(now time.Time, ch limit.Choice, oc limit.Outcome)
	ReleaseSlot(now time.Time, ch limit.Choice)
	RetryDelay(now time.Time, candidates []backend.Record, exclude []string) (time.Duration, bool)
	NewWaiter(now time.Time, candidates []backend.Record, exclude []string) *limit.Waiter
	HedgeDelay(service string) time.Duration
	ObserveLatency(service string, latency time.Duration)
}

// Admitter admits queries at the entry; *limit.Admission is one.
type Admitter interface {
	Admit(ctx context.Context, service string, weight, cost int, deadline time.Time) (release func(served bool), err *result.Error)
}

// Budget bounds extra leaf requests; *limit.Budget is one.
type Budget interface {
	Earn(n int)
	Spend() bool
}

// NewBudget makes the budget of one service from the percentage in its
// configuration and the number of extra leaf requests that it may save up.
type BudgetFactory func(percent float64, burst int) Budget

// Engine answers queries. It is safe for many goroutines, and queries share no
// lock on their way.
type Engine struct {
	self string
	boot string // boot tells this engine's attempts from those of an earlier process.
	ce   *view.Cell
	cl   Sender
	he   ReplyTracker // he is nil if the Sender is none.
	ta   Balancer
	ad   Admitter
	nb   BudgetFactory
	on   once.Recorder
	ts   *timer.Service
	lg   *zap.Logger
	me   *Metrics

	seq      atomic.Uint64
	active   atomic.Int64 // active counts queries and what they left running.
	routes   atomic.Pointer[routes]
	services sync.Map // services maps a configured service's name to its *service.
	held     holds
	recent   recent
	slow     logLimit
}

// New returns an engine of the instance with the given name. The lease, the
// configuration and the backend servers are those of the newest view in the
// cell.
func New(self string, ce *view.Cell, cl Sender, ta Balancer, ad Admitter, nb BudgetFactory, on once.Recorder, ts *timer.Service, lg *zap.Logger, me *Metrics) *Engine {
	en := &Engine{
		self: self, boot: strconv.FormatInt(ts.Now().UnixNano(), 36),
		ce: ce, cl: cl, ta: ta, ad: ad, nb: nb, on: on, ts: ts, lg: lg, me: me,
	}
	en.he, _ = cl.(ReplyTracker)
	en.slow.init()
	return en
}

// Bounds of the times within a query.
const (
	defaultSpan = time.Second // defaultSpan is the deadline if nobody states one.

	// The margin before the deadline is for merging and the way back to the
	// caller; half of it lies between the end of a leaf request and the answer.
	marginShare = 20
	minMargin   = 2 * time.Millisecond
	maxMargin   = 25 * time.Millisecond

	// recordShare is the part of the time that is kept for recording the outcome
	// of a request that must not be repeated.
	recordShare = 10
	maxRecord   = 250 * time.Millisecond

	// silentShare is the part of its time after which a leaf request without any
	// progress gives up its connection. A hedge on another one comes before.
	silentNum, silentDen = 2, 3
)

// Run answers one query, by its deadline unless the recording of an outcome
// takes longer. When ctx ends, a query that may be repeated ends too; one that
// must not goes on once it may have begun, so that its outcome is recorded.
func (en *Engine) Run(ctx context.Context, qu Query) Answer {
	rn := &run{en: en, ctx: ctx, qu: &qu}
	en.active.Add(1)
	rn.live.Add(1)
	defer rn.leave()
	start := en.ts.Now()
	vi := en.ce.Load()
	an, consulted := rn.run(start, vi)
	if qu.Resend && !qu.Repeatable && !consulted && an.Code.NotRun() {
		// The caller sent this key before and lost the answer. "Not run" would be
		// true of this arrival only, and the caller would give the order anew
		// under another key while the first one may have run.
		an.Detail = "an earlier arrival may have run; this one was refused: " + an.Code.String() + " " + an.Detail
		an.Code = result.OutcomeUnknown
	}
	an.RequestID = qu.RequestID
	an.Instance = en.self
	if an.Revision == 0 {
		an.Revision = vi.Configuration.Revision
	}
	an.Cost.Micros = en.ts.Now().Sub(start).Microseconds()
	en.observe(rn, start, &an)
	return an
}

// Active returns how many queries run or have left something running: attempts
// that end, outcomes that are being recorded.
func (en *Engine) InFlight() int {
	return int(en.active.Load())
}

// Wait returns when nothing is active, or the context's error.
func (en *Engine) Wait(ctx context.Context) error {
	for en.InFlight() > 0 {
		if err := en.ts.Sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// run answers a query. Consulted says that the record of intents was asked and
// said that no earlier arrival can have run.
func (rn *run) run(start time.Time, vi *view.View) (an Answer, consulted bool) {
	if an, ok := rn.prepare(start, vi); !ok {
		return an, false
	}
	release, er := rn.en.ad.Admit(rn.ctx, rn.qu.Service, rn.se.Weight, len(rn.plan.Shards), rn.ru.AnswerDeadline)
	if er != nil {
		return refusal(er.Code, er.Detail, er.RetryAfter), false
	}
	if rn.qu.Repeatable {
		an = rn.execute()
	} else {
		an, consulted = rn.executeOnce()
	}
	release(an.Code == result.Complete || an.Code == result.Partial)
	an.Stale = an.Stale || rn.stale
	return an, consulted
}

func refusal(co result.Code, detail string, retryAfter time.Duration) Answer {
	return Answer{Code: co, Detail: detail, Covered: []string{}, RetryAfterMillis: retryAfter.Milliseconds()}
}

// prepare checks whether the query may be run at all and plans it. It returns
// false with the refusal if not.
func (rn *run) prepare(start time.Time, vi *view.View) (Answer, bool) {
	qu := rn.qu
	se, known := vi.Configuration.Services[qu.Service]
	if !vi.Leased(start) {
		// An instance that has lost control can't know that its configuration is
		// still in force. It serves on only where the operators allow it, and says so.
		if !known || !se.ServeWithoutControl {
			return refusal(result.NotRunStale, "the lease from control has run out", retryMissing), false
		}
		rn.stale = true
	}
	if !known {
		return refusal(result.NotRunUnknownService, "want a configured service, got "+strconv.Quote(qu.Service), 0), false
	}
	if detail := check(se, qu); detail != "" {
		return refusal(result.NotRunBadRequest, detail, 0), false
	}
	rn.se = se
	rn.revision = vi.Configuration.Revision
	rn.sv = rn.en.serviceOf(qu.Service, se)
	rn.setRules(start)
	if !start.Before(rn.ru.AnswerDeadline) {
		return refusal(result.NotRunDeadline, "the deadline leaves no time", 0), false
	}
	rn.ro = rn.en.routesOf(vi).of(qu.Service, se)
	plan, ok := rn.ro.planFor(qu.Shards)
	if !ok {
		return refusal(result.NotRunNoServer, "no backend server holds a shard of one snapshot", retryMissing), false
	}
	rn.plan = plan
	return Answer{}, true
}

// check returns what is wrong with a query, or nothing.
func check(se operator.Service, qu *Query) string {
	switch qu.Policy {
	case "", operator.Complete, operator.Best:
	default:
		return "Policy: want Complete or Best, got " + strconv.Quote(string(qu.Policy))
	}
	if !qu.Repeatable && qu.Key == "" {
		return "Key: want one for a request that is not repeatable"
	}
	if sh, ok := unknown(se, qu.Shards); ok {
		return "Shards: want shards of a partition map, got " + strconv.Quote(sh)
	}
	return ""
}

// setRules splits the time that the query has.
func (rn *run) setRules(start time.Time) {
	qu := rn.qu
	if qu.Deadline.IsZero() {
		span := rn.se.Deadline()
		if span <= 0 {
			span = defaultSpan
		}
		qu.Deadline = start.Add(span)
	}
	span := qu.Deadline.Sub(start)
	margin := min(max(span/marginShare, minMargin), maxMargin)
	rn.recordBy = qu.Deadline.Add(-margin)
	reserve := time.Duration(0)
	if !qu.Repeatable {
		reserve = min(span/recordShare, maxRecord)
	}
	rn.ru = Params{
		RequestIDPrefix: qu.RequestID + "." + rn.en.self + "." + rn.en.boot + "." + strconv.FormatUint(rn.en.seq.Add(1), 36),
		Start:           start,
		AnswerDeadline:  rn.recordBy.Add(-reserve),
		HedgeDelay:      rn.en.ta.HedgeDelay(qu.Service),
		Policy:          policy(rn.se, qu),
		Tactics:         rn.se.Tactics,
		Repeatable:      qu.Repeatable,
	}
	rn.leafBy = rn.ru.AnswerDeadline.Add(-margin / 2)
	if rn.ru.HedgeDelay <= 0 {
		rn.ru.HedgeDelay = limit.DefaultHedgeDelay
	}
}

// policy returns the query's policy, the service's, or Complete: without a word
// from anybody, a missing shard must not pass as a success.
func policy(se operator.Service, qu *Query) operator.Policy {
	switch {
	case qu.Policy != "":
		return qu.Policy
	case se.Policy != "":
		return se.Policy
	default:
		return operator.Complete
	}
}

// routesOf returns the routes of a view. Queries that see a new view at the same
// time may make them twice; one of them is kept.
func (en *Engine) routesOf(vi *view.View) *routes {
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

// service is what lasts of a service between its queries.
type service struct {
	me *serviceMetrics
	bu atomic.Pointer[boundBudget]
}

type boundBudget struct {
	percent float64
	Budget
}

// budgetBurst is how many extra leaf requests a service may save up.
const budgetBurst = 20

// serviceOf returns what lasts of a configured service, with its budget as the
// configuration has it.
func (en *Engine) serviceOf(name string, se operator.Service) *service {
	va, ok := en.services.Load(name)
	if !ok {
		va, _ = en.services.LoadOrStore(name, &service{me: en.me.service(name)})
	}
	sv := va.(*service)
	if old := sv.bu.Load(); old == nil || old.percent != se.ExtraLoadPercent {
		sv.bu.CompareAndSwap(old, &boundBudget{
			percent: se.ExtraLoadPercent,
			Budget:  en.nb(se.ExtraLoadPercent, budgetBurst),
		})
	}
	return sv
}
