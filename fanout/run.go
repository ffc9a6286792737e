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

// run carries out one query: it feeds events to Step and performs its actions.
// Everything but post is for the goroutine of Engine.Run alone.
type run struct {
	en       *Engine
	ctx      context.Context // ctx is the caller's.
	qu       *Query
	se       operator.Service
	sv       *service
	ru       Params
	ro       *route
	plan     snapshot.Coverage
	stale    bool
	revision uint64
	leafBy   time.Time // leafBy is when backend servers give up.
	recordBy time.Time // recordBy is when the answer is given even if its record is not known to be kept.

	live atomic.Int64 // live counts the goroutines of the run.

	st       State
	base     context.Context // base is that of all attempts.
	cancel   context.CancelFunc
	events   chan Event
	done     chan struct{} // done is closed when nobody takes events any more.
	wake     chan struct{}
	tm       *timer.Timeout
	todo     []Event
	attempts []attempt // attempts are in the order of their numbers, from 1.
	waits    map[int]context.CancelFunc
	answer   *Answer
}

// leave ends one goroutine of the run, and the run with the last of them.
func (rn *run) leave() {
	if rn.live.Add(-1) == 0 {
		rn.en.active.Add(-1)
	}
}

// attempt is what the run remembers of one attempt; the zero attempt never left.
type attempt struct {
	shard     int
	server    string
	requestID string
	sent      time.Time // sent is zero once a reply has come.
	cancel    context.CancelFunc
}

// spareEvents is the room for events beyond one for each shard.
const spareEvents = 4

// execute runs the planned query to its answer.
func (rn *run) execute() Answer {
	en := rn.en
	rn.pin()
	count := len(rn.plan.Shards)
	rn.base, rn.cancel = context.WithDeadline(context.WithoutCancel(rn.ctx), rn.ru.AnswerDeadline)
	rn.events = make(chan Event, count+spareEvents)
	rn.done = make(chan struct{})
	rn.wake = make(chan struct{}, 1)
	rn.attempts = make([]attempt, 0, count+spareEvents)
	rn.st = NewState(rn.ru)
	rn.sv.bu.Load().Earn(count)
	rn.step(PlanReady{Now: en.ts.Now(), Plan: rn.plan})
	gone := rn.ctx.Done()
	for rn.answer == nil {
		if len(rn.todo) > 0 {
			ev := rn.todo[0]
			rn.todo = rn.todo[1:]
			rn.step(ev)
			continue
		}
		select {
		case ev := <-rn.events:
			rn.step(ev)
		case <-rn.wake:
			rn.drain()
			rn.todo = append(rn.todo, TimerFired{Now: en.ts.Now()})
		case <-gone:
			gone = nil
			rn.step(CallerGone{Now: en.ts.Now()})
		}
	}
	rn.end()
	return *rn.answer
}

// end stops what still runs. A passed deadline ends the attempts by itself, and
// their backend servers know it; a cancellation would be told to each of them.
func (rn *run) end() {
	close(rn.done)
	if rn.tm != nil {
		rn.tm.Stop()
	}
	if rn.en.ts.Now().Before(rn.ru.AnswerDeadline) {
		rn.cancel()
	}
}

// post hands an event to the run; after its end nobody wants it.
func (rn *run) post(ev Event) {
	select {
	case rn.events <- ev:
	case <-rn.done:
	}
}

// drain takes the events that are there before the time for decisions comes: a
// reply that made it by the deadline counts.
func (rn *run) drain() {
	for rn.answer == nil {
		select {
		case ev := <-rn.events:
			rn.step(ev)
		default:
			return
		}
	}
}

// step feeds one event to Step and performs what comes of it.
func (rn *run) step(ev Event) {
	if ro, ok := ev.(CapacityAvailable); ok {
		rn.stopWaiting(ro.Shard)
	}
	if re, ok := ev.(Replied); ok {
		rn.attempts[re.Attempt.Number-1].sent = time.Time{}
	}
	var acts []Action
	rn.st, acts = Step(rn.st, ev)
	for _, ac := range acts {
		switch ac := ac.(type) {
		case SendAttempt:
			rn.ask(ac)
		case CancelAttempt:
			if cancel := rn.attempts[ac.Attempt.Number-1].cancel; cancel != nil {
				cancel()
			}
		case Replan:
			rn.replan(ac.Newer)
		case SetTimer:
			rn.arm(ac.At)
		case Finish:
			rn.answer = &ac.Answer
		}
	}
}

func (rn *run) arm(at time.Time) {
	delay := max(0, at.Sub(rn.en.ts.Now()))
	if rn.tm != nil {
		rn.tm.Reset(delay)
		return
	}
	rn.tm = rn.en.ts.Timeout(delay, func() {
		select {
		case rn.wake <- struct{}{}:
		default:
		}
	})
}

// pin takes the plan of the newest view. Since the query was planned it may have
// waited for its admission or for the record of its intent.
func (rn *run) pin() {
	was := rn.ro
	rn.refresh()
	if rn.ro == was {
		return
	}
	if plan, ok := rn.ro.planFor(rn.qu.Shards); ok {
		rn.plan = plan
	}
}

// replan looks for a newer snapshot in the newest view.
func (rn *run) replan(newer snapshot.ID) {
	rn.refresh()
	if plan, ok := rn.ro.planNewer(newer, rn.qu.Shards); ok {
		rn.todo = append(rn.todo, PlanReady{Now: rn.en.ts.Now(), Plan: plan})
	}
}

// refresh takes the newest view's backend servers, unless the service has left
// the configuration.
func (rn *run) refresh() {
	vi := rn.en.ce.Load()
	if se, ok := vi.Configuration.Services[rn.qu.Service]; ok {
		rn.ro = rn.en.routesOf(vi).of(rn.qu.Service, se)
	}
}

// ask sends an attempt, or says at once why it can't.
func (rn *run) ask(ac SendAttempt) {
	en := rn.en
	now := en.ts.Now()
	rn.attempts = append(rn.attempts, attempt{shard: ac.Attempt.Shard})
	var exclude []string
	if ac.Kind != First {
		rn.refresh()
	}
	if ac.ExcludeTried {
		exclude = rn.tried(ac.Attempt.Shard)
	}
	candidates := rn.ro.holding(ac.Snapshot, ac.Shard)
	ch, ok := en.ta.Pick(now, rn.se.Tactics, candidates, exclude)
	if !ok {
		rn.notSent(now, ac, candidates, exclude)
		return
	}
	owed := ac.BudgetUse == BudgetOptional || ac.BudgetUse == BudgetRequiredIfResponsive && rn.doubted(now, ac.Attempt.Shard)
	if ac.BudgetUse != BudgetExempt && !rn.sv.bu.Load().Spend() && !owed {
		en.ta.Done(now, ch, limit.Outcome{Kind: limit.NotSent})
		rn.todo = append(rn.todo, BudgetExhausted{Now: now, Attempt: ac.Attempt})
		return
	}
	rn.stopWaiting(ac.Attempt.Shard)
	since := rn.provedSince(now, ac)
	ctx, cancel := context.WithCancel(rn.base)
	at := &rn.attempts[ac.Attempt.Number-1]
	at.server = ch.Server
	at.requestID = ac.RequestID
	at.sent = now
	at.cancel = cancel
	rn.live.Add(1)
	go rn.send(ctx, cancel, &sending{ask: ac, sent: now, since: since, ch: ch})
}

// doubted reports whether nothing comes from the backend servers that have not
// replied to the attempts for a shard.
//
// All connections to a server can go silent at once. One slow reply among many
// looks the same for its own attempt, but then the server's other replies go on
// coming over connections that were open then.
func (rn *run) doubted(now time.Time, ix int) bool {
	from := now.Add(-rn.ru.HedgeDelay)
	late := false
	for _, at := range rn.attempts {
		if at.shard != ix || at.sent.IsZero() {
			continue
		}
		if rn.en.he == nil || at.sent.After(from) || rn.en.he.LastReply(at.server, at.requestID).After(from) {
			return false
		}
		late = true
	}
	return late
}

// provedSince returns since when a connection must have proved to work to carry
// an attempt in place of a late one; zero if any will do. Half a delay leaves out
// most of those that worked after the late one was sent and went silent then.
func (rn *run) provedSince(now time.Time, ac SendAttempt) time.Time {
	if ac.Kind == Hedge || rn.doubted(now, ac.Attempt.Shard) {
		return now.Add(-rn.ru.HedgeDelay / 2)
	}
	return time.Time{}
}

// tried returns the servers that the shard was sent to.
func (rn *run) tried(ix int) []string {
	var names []string
	for _, at := range rn.attempts {
		if at.shard == ix && at.server != "" && !slices.Contains(names, at.server) {
			names = append(names, at.server)
		}
	}
	return names
}

// notSent says that no server can be sent an attempt, and waits for room if the
// shard has nothing else to wait for.
func (rn *run) notSent(now time.Time, ac SendAttempt, candidates []backend.Record, exclude []string) {
	ev := NoServerAvailable{Now: now, Attempt: ac.Attempt}
	if ac.Kind == Hedge {
		ev.RetryDelay, ev.AvailableLater = rn.en.ta.RetryDelay(now, candidates, exclude)
		ev.Unresponsive = rn.doubted(now, ac.Attempt.Shard)
	} else if len(candidates) > 0 {
		ev.RetryDelay, ev.AvailableLater = rn.en.ta.RetryDelay(now, candidates, nil)
		rn.awaitRoom(now, ac.Attempt.Shard, candidates)
	}
	rn.todo = append(rn.todo, ev)
}

// awaitRoom posts Room when a candidate may have room. A query that only looked
// again from time to time would be overtaken by later ones.
func (rn *run) awaitRoom(now time.Time, ix int, candidates []backend.Record) {
	if rn.waits[ix] != nil {
		return
	}
	wa := rn.en.ta.NewWaiter(now, candidates, nil)
	if wa == nil {
		return
	}
	ctx, cancel := context.WithCancel(rn.base)
	if rn.waits == nil {
		rn.waits = make(map[int]context.CancelFunc)
	}
	rn.waits[ix] = cancel
	rn.live.Add(1)
	go func() {
		defer rn.leave()
		defer wa.Close()
		select {
		case <-wa.Available():
			rn.post(CapacityAvailable{Now: rn.en.ts.Now(), Shard: ix})
		case <-ctx.Done():
		}
	}()
}

// stopWaiting ends the wait of a shard for room.
func (rn *run) stopWaiting(ix int) {
	if cancel := rn.waits[ix]; cancel != nil {
		cancel()
		delete(rn.waits, ix)
	}
}
