package fanout

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/limit"
	"balsamwinch.example/operator"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/timer"
)

// queryRun executes one query: it passes events to Step and performs its
// actions. Only the goroutine of Engine.Run may use it, except for post.
type queryRun struct {
	en             *Engine
	ctx            context.Context // context of the caller
	qu             *Query
	se             operator.Service
	sv             *serviceState
	pa             Params
	ro             *route
	plan           snapshot.Coverage
	stale          bool
	revision       uint64
	leafDeadline   time.Time // when backend servers give up
	recordDeadline time.Time // when the answer is given even if its record is not confirmed

	numGoroutines atomic.Int64 // goroutines of the query still running

	st            State
	attemptsCtx   context.Context // parent context of all attempts
	cancel        context.CancelFunc
	events        chan Event
	done          chan struct{} // closed when no more events are received
	timerFired    chan struct{}
	tm            *timer.Timeout
	pending       []Event
	attempts      []attempt // in the order of their numbers, from 1
	capacityWaits map[int]context.CancelFunc
	answer        *Answer
}

// goroutineDone ends one goroutine of the query; the query ends with the last
// of them.
func (qr *queryRun) goroutineDone() {
	if qr.numGoroutines.Add(-1) == 0 {
		qr.en.active.Add(-1)
	}
}

// attempt is the state of one attempt; the zero value was never sent.
type attempt struct {
	shard     int
	server    string
	requestID string
	sent      time.Time // zero once a reply has come
	cancel    context.CancelFunc
}

// extraEvents is the event buffer capacity beyond one per shard.
const extraEvents = 4

// execute runs the planned query and returns its answer.
func (qr *queryRun) execute() Answer {
	en := qr.en
	qr.pinPlan()
	count := len(qr.plan.Shards)
	qr.attemptsCtx, qr.cancel = context.WithDeadline(context.WithoutCancel(qr.ctx), qr.pa.AnswerDeadline)
	qr.events = make(chan Event, count+extraEvents)
	qr.done = make(chan struct{})
	qr.timerFired = make(chan struct{}, 1)
	qr.attempts = make([]attempt, 0, count+extraEvents)
	qr.st = NewState(qr.pa)
	qr.sv.bu.Load().Earn(count)
	qr.step(PlanReady{Now: en.ts.Now(), Plan: qr.plan})
	gone := qr.ctx.Done()
	for qr.answer == nil {
		if len(qr.pending) > 0 {
			ev := qr.pending[0]
			qr.pending = qr.pending[1:]
			qr.step(ev)
			continue
		}
		select {
		case ev := <-qr.events:
			qr.step(ev)
		case <-qr.timerFired:
			qr.drainEvents()
			qr.pending = append(qr.pending, TimerFired{Now: en.ts.Now()})
		case <-gone:
			gone = nil
			qr.step(CallerGone{Now: en.ts.Now()})
		}
	}
	qr.stop()
	return *qr.answer
}

// stop stops what is still running. After the deadline it cancels no attempts:
// they end by themselves and their backend servers know the deadline, while each
// cancellation would cost a message to a backend server.
func (qr *queryRun) stop() {
	close(qr.done)
	if qr.tm != nil {
		qr.tm.Stop()
	}
	if qr.en.ts.Now().Before(qr.pa.AnswerDeadline) {
		qr.cancel()
	}
}

// post sends an event to the query; it is dropped after the query's end.
func (qr *queryRun) post(ev Event) {
	select {
	case qr.events <- ev:
	case <-qr.done:
	}
}

// drainEvents handles pending events before the timer event: a reply that
// arrived by the deadline counts.
func (qr *queryRun) drainEvents() {
	for qr.answer == nil {
		select {
		case ev := <-qr.events:
			qr.step(ev)
		default:
			return
		}
	}
}

// step passes one event to Step and performs the resulting actions.
func (qr *queryRun) step(ev Event) {
	if ca, ok := ev.(CapacityAvailable); ok {
		qr.stopWaiting(ca.Shard)
	}
	if re, ok := ev.(Replied); ok {
		qr.attempts[re.Attempt.Number-1].sent = time.Time{}
	}
	var acts []Action
	qr.st, acts = Step(qr.st, ev)
	for _, ac := range acts {
		switch ac := ac.(type) {
		case SendAttempt:
			qr.sendAttempt(ac)
		case CancelAttempt:
			if cancel := qr.attempts[ac.Attempt.Number-1].cancel; cancel != nil {
				cancel()
			}
		case Replan:
			qr.replan(ac.Newer)
		case SetTimer:
			qr.setTimer(ac.At)
		case Finish:
			qr.answer = &ac.Answer
		}
	}
}

func (qr *queryRun) setTimer(at time.Time) {
	delay := max(0, at.Sub(qr.en.ts.Now()))
	if qr.tm != nil {
		qr.tm.Reset(delay)
		return
	}
	qr.tm = qr.en.ts.Timeout(delay, func() {
		select {
		case qr.timerFired <- struct{}{}:
		default:
		}
	})
}

// pinPlan takes the plan of the newest view, since the query may have waited
// for admission or for the record of its intent after it was planned.
func (qr *queryRun) pinPlan() {
	previous := qr.ro
	qr.refreshRoute()
	if qr.ro == previous {
		return
	}
	if plan, ok := qr.ro.planFor(qr.qu.Shards); ok {
		qr.plan = plan
	}
}

// replan looks for a newer snapshot in the newest view.
func (qr *queryRun) replan(newer snapshot.ID) {
	qr.refreshRoute()
	if plan, ok := qr.ro.planNewer(newer, qr.qu.Shards); ok {
		qr.pending = append(qr.pending, PlanReady{Now: qr.en.ts.Now(), Plan: plan})
	}
}

// refreshRoute takes the backend servers of the newest view, unless the service
// was removed from the configuration.
func (qr *queryRun) refreshRoute() {
	vi := qr.en.ce.Load()
	if se, ok := vi.Configuration.Services[qr.qu.Service]; ok {
		qr.ro = qr.en.routesOf(vi).routeFor(qr.qu.Service, se)
	}
}

// sendAttempt sends an attempt, or reports at once why it cannot.
func (qr *queryRun) sendAttempt(ac SendAttempt) {
	en := qr.en
	now := en.ts.Now()
	qr.attempts = append(qr.attempts, attempt{shard: ac.Attempt.Shard})
	var exclude []string
	if ac.Kind != First {
		qr.refreshRoute()
	}
	if ac.ExcludeTried {
		exclude = qr.triedServers(ac.Attempt.Shard)
	}
	candidates := qr.ro.serversFor(ac.Snapshot, ac.Shard)
	ch, ok := en.ba.Pick(now, qr.se.Tactics, candidates, exclude)
	if !ok {
		qr.noServerAvailable(now, ac, candidates, exclude)
		return
	}
	overBudget := ac.BudgetUse == BudgetOptional || ac.BudgetUse == BudgetRequiredIfResponsive && qr.unresponsive(now, ac.Attempt.Shard)
	if ac.BudgetUse != BudgetExempt && !qr.sv.bu.Load().Spend() && !overBudget {
		en.ba.Done(now, ch, limit.Outcome{Kind: limit.NotSent})
		qr.pending = append(qr.pending, BudgetExhausted{Now: now, Attempt: ac.Attempt})
		return
	}
	qr.stopWaiting(ac.Attempt.Shard)
	replySince := qr.replySince(now, ac)
	ctx, cancel := context.WithCancel(qr.attemptsCtx)
	at := &qr.attempts[ac.Attempt.Number-1]
	at.server = ch.Server
	at.requestID = ac.RequestID
	at.sent = now
	at.cancel = cancel
	qr.numGoroutines.Add(1)
	go qr.send(ctx, cancel, &sendTask{action: ac, sent: now, replySince: replySince, ch: ch})
}

// unresponsive reports whether the backend servers with unanswered attempts for
// a shard send no replies at all.
//
// All connections to a server can go silent at once. To its own attempt, a
// single slow reply looks the same, but then other replies of the server keep
// arriving over connections that were open at that time.
func (qr *queryRun) unresponsive(now time.Time, ix int) bool {
	threshold := now.Add(-qr.pa.HedgeDelay)
	late := false
	for _, at := range qr.attempts {
		if at.shard != ix || at.sent.IsZero() {
			continue
		}
		if qr.en.rt == nil || at.sent.After(threshold) || qr.en.rt.LastReply(at.server, at.requestID).After(threshold) {
			return false
		}
		late = true
	}
	return late
}

// replySince returns since when a connection must have received a reply to
// carry an attempt in place of a late one; zero if any connection will do. Half
// a hedge delay rules out most connections that worked after the late attempt
// was sent and went silent then.
func (qr *queryRun) replySince(now time.Time, ac SendAttempt) time.Time {
	if ac.Kind == Hedge || qr.unresponsive(now, ac.Attempt.Shard) {
		return now.Add(-qr.pa.HedgeDelay / 2)
	}
	return time.Time{}
}

// triedServers returns the servers that attempts for the shard were sent to.
func (qr *queryRun) triedServers(ix int) []string {
	var names []string
	for _, at := range qr.attempts {
		if at.shard == ix && at.server != "" && !slices.Contains(names, at.server) {
			names = append(names, at.server)
		}
	}
	return names
}

// noServerAvailable reports that no server can take an attempt, and waits for
// capacity if the shard has nothing else to wait for.
func (qr *queryRun) noServerAvailable(now time.Time, ac SendAttempt, candidates []backend.Record, exclude []string) {
	ev := NoServerAvailable{Now: now, Attempt: ac.Attempt}
	if ac.Kind == Hedge {
		ev.RetryDelay, ev.AvailableLater = qr.en.ba.RetryDelay(now, candidates, exclude)
		ev.Unresponsive = qr.unresponsive(now, ac.Attempt.Shard)
	} else if len(candidates) > 0 {
		ev.RetryDelay, ev.AvailableLater = qr.en.ba.RetryDelay(now, candidates, nil)
		qr.awaitCapacity(now, ac.Attempt.Shard, candidates)
	}
	qr.pending = append(qr.pending, ev)
}

// awaitCapacity posts CapacityAvailable when a candidate may have capacity. A
// query that only polled would be overtaken by later ones.
func (qr *queryRun) awaitCapacity(now time.Time, ix int, candidates []backend.Record) {
	if qr.capacityWaits[ix] != nil {
		return
	}
	wa := qr.en.ba.NewWaiter(now, candidates, nil)
	if wa == nil {
		return
	}
	ctx, cancel := context.WithCancel(qr.attemptsCtx)
	if qr.capacityWaits == nil {
		qr.capacityWaits = make(map[int]context.CancelFunc)
	}
	qr.capacityWaits[ix] = cancel
	qr.numGoroutines.Add(1)
	go func() {
		defer qr.goroutineDone()
		defer wa.Close()
		select {
		case <-wa.Available():
			qr.post(CapacityAvailable{Now: qr.en.ts.Now(), Shard: ix})
		case <-ctx.Done():
		}
	}()
}

// stopWaiting ends a shard's wait for capacity.
func (qr *queryRun) stopWaiting(ix int) {
	if cancel := qr.capacityWaits[ix]; cancel != nil {
		cancel()
		delete(qr.capacityWaits, ix)
	}
}
