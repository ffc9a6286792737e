package gateway

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"time"

	"balsamwinch.example/identifier"
	"balsamwinch.example/replica"
	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

// Delays before an attempt that could not be started is tried again.
const (
	noServerRetryDelay = 20 * time.Millisecond
	budgetRetryDelay   = 25 * time.Millisecond
	// busyRetryDelay covers only capacity that the queue is not notified of, such as a
	// connection that was opened for a caller who has left.
	busyRetryDelay = 20 * time.Millisecond
	// hedgeRetryDelay is for a hedge, which is not queued.
	hedgeRetryDelay = 4 * time.Millisecond
)

// attemptResult is the result of an attempt that has ended.
type attemptResult struct {
	shard int
	index int
	rs    upstream.Result
}

// attempt is one request to a backend server.
type attempt struct {
	shard     int
	index     int // of executor.attempts
	pk        replica.Pick
	chargedAt time.Time // when the retry budget was charged; zero if it was not
}

// executor executes the query of one request.
type executor struct {
	ca       *call
	qu       *scatter.Query
	services []string
	rq       *upstream.Request
	replies  []*upstream.Reply // newest reply of each shard
	tried    [][]string        // IDs of the backend servers that must not be asked now, for each shard
	refusers [][]string        // IDs of those of tried that refused the request, for each shard
	reasked  []bool            // whether servers that refused a shard may be asked again; nil if none
	picks    []replica.Pick    // newest attempt of each shard
	arrived  []bool            // whether a request for the shard may have reached a backend server
	attempts []attemptRecord   // all attempts of the request
	results  chan attemptResult
	waiting  waitState

	stallNews chan struct{} // nil unless stalls are shared; see stalls.go
}

// execute runs a query over one shard for each of the services and returns its executor,
// which holds the replies. It returns false if the caller has disconnected.
func (ca *call) execute(pl scatter.Plan, services []string) (*executor, bool) {
	ex := &executor{
		ca:       ca,
		qu:       scatter.New(pl),
		services: services,
		rq:       ca.upstreamRequest(),
		replies:  make([]*upstream.Reply, len(services)),
		tried:    make([][]string, len(services)),
		picks:    make([]replica.Pick, len(services)),
		arrived:  make([]bool, len(services)),
		results:  make(chan attemptResult, 2*len(services)),
	}
	ex.rq.Deadline = pl.Deadline
	if len(services) > 1 {
		ca.sv.up.Prepare(ex.rq)
	}
	ca.ex = ex
	start := ca.sv.ts.Now()
	ex.start(start)
	defer ca.updateQuarantine()
	answered := ex.run()
	if answered && ex.qu.MayHaveRun() {
		ca.sv.stop.history.Record(ca.ro.Name, ca.sv.ts.Now().Sub(start))
	}
	return ex, answered
}

// run starts the attempts that the query wants until the query ends. It returns false if
// the caller has disconnected.
func (ex *executor) run() bool {
	ts := ex.ca.sv.ts
	caller := ex.ca.rq.Context()
	ctx, cancel := upstream.WithCancel(context.WithoutCancel(caller))
	defer cancel(upstream.ErrSuperseded)
	defer ex.leaveQueue()
	defer ex.watchStalls()()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	stopping := ex.ca.sv.stop.serving.Done()
	if ex.stopBy() {
		stopping = nil
	}
	var attempts []scatter.Attempt
	for {
		now := ts.Now()
		checkAt := ex.giveUpStuck(now)
		attempts = ex.qu.Next(now, attempts[:0])
		for _, sa := range attempts {
			ex.startAttempt(ctx, now, sa)
		}
		if ex.qu.State() != scatter.Running {
			ex.awaitRefusals(timer)
			return true
		}
		timer.Reset(earlier(ex.qu.WakeAt(now), checkAt).Sub(now))
		select {
		case res := <-ex.results:
			ex.handleResult(res)
			ex.drainResults()
		case sh := <-ex.waiting.wakeups:
			ex.capacityFreed(sh)
		case <-ex.stallNews:
			ex.hedgeStalled(ts.Now())
		case <-stopping:
			ex.stopBy()
			stopping = nil
		case <-timer.C:
		case <-caller.Done():
			// The caller has left: its requests at the backend servers are canceled, too.
			cancel(context.Canceled)
			return false
		}
	}
}

// drainResults handles the other results that are ready. It yields first, so that exchanges
// which can proceed do so: with one core, each reply would otherwise take an iteration of
// run. A complete answer does not wait for that.
func (ex *executor) drainResults() {
	if ex.qu.State() == scatter.Running {
		runtime.Gosched()
	}
	for ex.qu.State() == scatter.Running {
		select {
		case res := <-ex.results:
			ex.handleResult(res)
		default:
			return
		}
	}
}

// startAttempt starts an attempt, or tells the query why it could not.
func (ex *executor) startAttempt(ctx context.Context, now time.Time, sa scatter.Attempt) {
	sv := ex.ca.sv
	service := ex.services[sa.Shard]
	ex.allowRefusersAgain(sa.Shard)
	if ex.deferOptionalRetry(now, sa) {
		return
	}
	if sa.Kind == scatter.Hedge {
		sv.re.Overdue(now, ex.picks[sa.Shard])
	}
	rr := replica.Request{Service: service, Class: ex.ca.ro.Name, Avoid: ex.tried[sa.Shard], NoProbe: !ex.ca.repeatable() || ex.ca.probe, HedgeFraction: hedgeFraction(len(ex.services))}
	pk, ok := ex.chooseServer(now, sa, rr)
	if !ok {
		ex.noServerChosen(now, sa)
		return
	}
	ex.dequeue(sa.Shard)
	var chargedAt time.Time
	if ex.needsBudget(sa) {
		if !ex.spend(now, sa, service) {
			sv.re.Done(now, pk, replica.Report{Outcome: replica.Canceled})
			ex.recordDenied(service)
			ex.qu.AttemptDeferred(now, sa.Shard, scatter.CauseBudget, now.Add(budgetRetryDelay))
			return
		}
		chargedAt = now
	}
	switch sa.Kind {
	case scatter.Hedge:
		ex.ca.numHedges++
	case scatter.Retry:
		ex.ca.numRetries++
	}
	ex.ca.numSent++
	ex.picks[sa.Shard] = pk
	ex.tried[sa.Shard] = append(ex.tried[sa.Shard], pk.Server.ID)
	var hedgeAt time.Time
	if ex.ca.repeatable() && !(sa.Kind == scatter.Hedge && pk.Unhealthy) {
		hedgeAt = now.Add(sv.re.HedgeDelay(now, rr, pk))
	}
	ex.qu.AttemptStarted(sa.Shard, hedgeAt)
	go ex.runAttempt(ctx, ex.rq, attempt{shard: sa.Shard, index: ex.recordStart(now, sa, pk.Server.ID), pk: pk, chargedAt: chargedAt})
}

// chooseServer chooses a backend server, or queues the shard until one has capacity. After
// queueing it tries once more, since capacity freed just before has woken others. A hedge
// is not queued, because shards without any attempt would wait behind it.
func (ex *executor) chooseServer(now time.Time, sa scatter.Attempt, rr replica.Request) (replica.Pick, bool) {
	re := ex.ca.sv.re
	pk, ok := re.Choose(now, rr)
	if ok || sa.Kind == scatter.Hedge || !ex.enqueue(sa.Shard) {
		return pk, ok
	}
	return re.Choose(now, rr)
}

// needsBudget reports whether an attempt is an extra arrival that the retry budget pays
// for. A retry is not, if no earlier attempt has reached a backend server; a hedge always
// is, since the attempt it accompanies was sent before.
func (ex *executor) needsBudget(sa scatter.Attempt) bool {
	return sa.Kind == scatter.Hedge || sa.Kind == scatter.Retry && ex.arrived[sa.Shard]
}

// runAttempt runs one attempt and delivers its result.
func (ex *executor) runAttempt(ctx context.Context, rq *upstream.Request, at attempt) {
	sv := ex.ca.sv
	se := at.pk.Server
	rs := sv.up.Do(ctx, sv.target(se), rq)
	now := sv.ts.Now()
	sv.re.Done(now, at.pk, replicaReport(ctx, rs))
	if rs.Outcome != upstream.NoConnection { // Two attempts without a connection would wake each other forever.
		sv.qu.wake(se.Service, se.ID)
	}
	if !at.chargedAt.IsZero() && !mayHaveArrived(rs) {
		sv.bu.Refund(now, at.chargedAt, se.Service)
	}
	sv.metrics.countAttemptEnd(ctx, ex.services[at.shard], rs)
	if rs.Outcome == upstream.Answered && !sv.qa.Empty() {
		sv.qa.ServiceAnswered(se.Service)
	}
	select {
	case ex.results <- attemptResult{at.shard, at.index, rs}:
	case <-ctx.Done():
	}
}

// mayHaveArrived reports whether a request may have reached its backend server.
func mayHaveArrived(rs upstream.Result) bool {
	return rs.Outcome != upstream.NotSent && rs.Outcome != upstream.NoConnection
}

// replicaReport converts the result of an exchange to a report about its backend server.
func replicaReport(ctx context.Context, rs upstream.Result) replica.Report {
	re := replica.Report{}
	if rs.Reply != nil && rs.Reply.HasLoad {
		ld := rs.Reply.Load
		re.HasLoad, re.Running, re.Waiting, re.Slots, re.Pace = true, ld.Running, ld.Waiting, ld.Slots, ld.ServiceTimePercent
	}
	switch rs.Outcome {
	case upstream.Answered:
		re.Outcome = replica.Served
		if rs.Reply.Status >= 500 {
			re.Outcome = replica.Failed
		}
	case upstream.NotRun:
		re.Outcome = replica.Shed
		if rs.Misdirected {
			re.Outcome = replica.Replaced
		}
	case upstream.NotSent:
		re.Outcome = replica.Unreachable
	case upstream.NoConnection:
		// All connections are being opened or wait for replies that nobody needs:
		// the server is stalled or gone.
		re.Outcome, re.LocalCause = replica.Shed, true
	case upstream.Lost, upstream.Wrong:
		re.Outcome = replica.Failed
	case upstream.TimedOut:
		re.Outcome = replica.Abandoned
	case upstream.Canceled:
		re.Outcome = replica.Abandoned
		if context.Cause(ctx) != upstream.ErrSuperseded {
			re.Outcome = replica.Canceled
		}
	default:
		re.Outcome = replica.Canceled
	}
	return re
}

// handleResult passes the end of an attempt to the query.
func (ex *executor) handleResult(res attemptResult) {
	ex.recordEnd(ex.ca.sv.ts.Now(), res.index, res.rs)
	ex.recordRefusal(res)
	if mayHaveArrived(res.rs) {
		ex.arrived[res.shard] = true
	}
	if !res.rs.Sent {
		ex.uncountAttempt(res)
	}
	if res.rs.Outcome == upstream.NoConnection {
		ex.allowServerAgain(res)
	}
	if !ex.qu.HasPart(res.shard) && res.rs.Outcome == upstream.Answered && !ex.ca.lacksStamp(res.rs.Reply) {
		ex.replies[res.shard] = res.rs.Reply
	}
	ex.qu.AttemptEnded(ex.ca.sv.ts.Now(), res.shard, ex.ca.scatterOutcome(res.rs))
	if res.rs.Outcome == upstream.NoConnection && ex.qu.NeedsAttempt(res.shard) {
		ex.enqueue(res.shard)
	}
}

// uncountAttempt reverts the log counters for an attempt of which nothing was sent.
func (ex *executor) uncountAttempt(res attemptResult) {
	ex.ca.numSent--
	switch ex.attempts[res.index].kind {
	case scatter.Hedge:
		ex.ca.numHedges--
	case scatter.Retry:
		ex.ca.numRetries--
	}
}

// allowServerAgain lets a backend server be chosen again that was not asked after all.
func (ex *executor) allowServerAgain(res attemptResult) {
	id := ex.attempts[res.index].server
	ex.tried[res.shard] = slices.DeleteFunc(ex.tried[res.shard], func(other string) bool { return other == id })
}

// scatterOutcome returns what an exchange means for the query. Only a success is a part of
// a merged answer. For a request to a single backend server, any answer except a server
// error counts as a part and is forwarded unchanged.
func (ca *call) scatterOutcome(rs upstream.Result) scatter.Outcome {
	switch rs.Outcome {
	case upstream.Answered:
		if ca.lacksStamp(rs.Reply) {
			return scatter.OutcomeLost
		}
		return ca.outcomeForStatus(rs.Reply.Status)
	case upstream.NoConnection:
		return scatter.OutcomeNoConnection
	case upstream.NotRun, upstream.NotSent:
		return scatter.OutcomeNotRun
	default:
		return scatter.OutcomeLost
	}
}

// lacksStamp reports whether a success has no stamp. Nothing proves then that a backend
// server produced it for this request, so it must not be forwarded. In a merged answer the
// stamps of all parts stand in one list, and one that isn't a single short element of it
// would make the others unreadable.
func (ca *call) lacksStamp(rp *upstream.Reply) bool {
	if !isSuccess(rp.Status) {
		return false
	}
	return rp.Stamp == "" || len(ca.ro.Shards) > 0 && (len(rp.Stamp) > identifier.MaxBytes || strings.Contains(rp.Stamp, ","))
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

func (ca *call) outcomeForStatus(status int) scatter.Outcome {
	switch {
	case isSuccess(status):
		return scatter.OutcomePart
	case len(ca.ro.Shards) > 0 || status >= 500:
		return scatter.OutcomeFailed
	default:
		return scatter.OutcomePart
	}
}
