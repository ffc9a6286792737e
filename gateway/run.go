package gateway

import (
	"context"
	"runtime"
	"slices"
	"time"

	"balsamwinch.example/replica"
	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

// Pauses before an ask that was denied is tried again.
const (
	noServerPause = 20 * time.Millisecond
	budgetPause   = 25 * time.Millisecond
	// busyPause is only for room that the queue is not told of, such as that of a
	// connection that was opened for a caller who has left.
	busyPause = 20 * time.Millisecond
	// hedgePause is for a hedge, which doesn't queue.
	hedgePause = 4 * time.Millisecond
)

// ended is an attempt that is over.
type ended struct {
	shard  int
	number int
	rs     upstream.Result
}

// attempt is one arrival at a backend server.
type attempt struct {
	shard  int
	number int // number is that of its note.
	pk     replica.Pick
	spent  time.Time // spent is when the retry budget was charged for it; zero if it wasn't.
}

// carrier carries out one query.
type carrier struct {
	ca       *call
	qu       *scatter.Query
	services []string
	rq       *upstream.Request
	replies  []*upstream.Reply // replies holds the newest reply of each shard.
	tried    [][]string        // tried holds the backend servers asked for each shard.
	picks    []replica.Pick    // picks holds the newest attempt of each shard.
	arrived  []bool            // arrived says that a request for the shard counts as arrived.
	notes    []note            // notes tell of every attempt.
	ends     chan ended
	queueing queueing
}

// carry runs a query over the shards that the services hold and returns it with
// the reply of each shard. It returns false if the caller has left.
func (ca *call) carry(pl scatter.Plan, services []string) (*carrier, bool) {
	cr := &carrier{
		ca:       ca,
		qu:       scatter.New(pl),
		services: services,
		rq:       ca.request(),
		replies:  make([]*upstream.Reply, len(services)),
		tried:    make([][]string, len(services)),
		picks:    make([]replica.Pick, len(services)),
		arrived:  make([]bool, len(services)),
		ends:     make(chan ended, 2*len(services)),
	}
	cr.rq.Deadline = pl.Deadline
	if len(services) > 1 {
		ca.sv.up.Prepare(cr.rq)
	}
	ca.cr = cr
	cr.begin(ca.sv.ts.Now())
	defer ca.learn()
	return cr, cr.loop()
}

// loop performs what the query wants until it is over.
func (cr *carrier) loop() bool {
	ts := cr.ca.sv.ts
	caller := cr.ca.rq.Context()
	ctx, cancel := upstream.WithCancel(context.WithoutCancel(caller))
	defer cancel(upstream.ErrSuperseded)
	defer cr.leaveQueue()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var wants []scatter.Attempt
	for {
		now := ts.Now()
		wants = cr.qu.Next(now, wants[:0])
		for _, wa := range wants {
			cr.try(ctx, now, wa)
		}
		if cr.qu.State() != scatter.Running {
			return true
		}
		timer.Reset(cr.qu.WakeAt(now).Sub(now))
		select {
		case en := <-cr.ends:
			cr.ended(en)
			cr.drain()
		case sh := <-cr.queueing.woken:
			cr.roomFor(sh)
		case <-timer.C:
		case <-caller.Done():
			// The caller has left: what it asked for ends at the backend servers too.
			cancel(context.Canceled)
			return false
		}
	}
}

// drain takes in what else has ended. Exchanges that can go on do so before: with one
// core, each of their replies would take a turn of the loop otherwise. An answer that
// is whole doesn't wait for that.
func (cr *carrier) drain() {
	if cr.qu.State() == scatter.Running {
		runtime.Gosched()
	}
	for cr.qu.State() == scatter.Running {
		select {
		case en := <-cr.ends:
			cr.ended(en)
		default:
			return
		}
	}
}

// try begins an attempt, or tells the query why it can't.
func (cr *carrier) try(ctx context.Context, now time.Time, wa scatter.Attempt) {
	sv := cr.ca.sv
	service := cr.services[wa.Shard]
	if wa.Kind == scatter.Hedge {
		sv.re.Overdue(now, cr.picks[wa.Shard])
	}
	as := replica.Request{Service: service, Class: cr.ca.ro.Name, Avoid: cr.tried[wa.Shard], NoProbe: !cr.ca.repeatable() || cr.ca.probe, HedgeFraction: hedgeShare(len(cr.services))}
	pk, ok := cr.choose(now, wa, as)
	if !ok {
		cr.nobody(now, wa)
		return
	}
	cr.unqueue(wa.Shard)
	var spent time.Time
	if cr.costs(wa) {
		if !sv.bu.Spend(now, service) {
			sv.re.Done(now, pk, replica.Report{Outcome: replica.Canceled})
			cr.denied(service)
			cr.qu.AttemptDeferred(now, wa.Shard, scatter.CauseBudget, now.Add(budgetPause))
			return
		}
		spent = now
	}
	switch wa.Kind {
	case scatter.Hedge:
		cr.ca.hedged++
	case scatter.Retry:
		cr.ca.again++
	}
	cr.ca.sent++
	cr.picks[wa.Shard] = pk
	cr.tried[wa.Shard] = append(cr.tried[wa.Shard], pk.Server.ID)
	var hedgeAt time.Time
	if cr.ca.repeatable() && !(wa.Kind == scatter.Hedge && pk.Unhealthy) {
		hedgeAt = now.Add(sv.re.HedgeDelay(now, as, pk))
	}
	cr.qu.AttemptStarted(wa.Shard, hedgeAt)
	go cr.exchange(ctx, attempt{shard: wa.Shard, number: cr.began(now, wa, pk.Server.ID), pk: pk, spent: spent})
}

// choose chooses a backend server, or makes the shard wait in the queue for room at
// one. It looks once more then: for room that came free just before, others were
// woken. A hedge doesn't queue, or those who have no attempt at all would wait for it.
func (cr *carrier) choose(now time.Time, wa scatter.Attempt, as replica.Request) (replica.Pick, bool) {
	re := cr.ca.sv.re
	pk, ok := re.Choose(now, as)
	if ok || wa.Kind == scatter.Hedge || !cr.join(wa.Shard) {
		return pk, ok
	}
	return re.Choose(now, as)
}

// costs reports whether an attempt is an arrival beyond the first. A retry is
// none if no earlier attempt has reached a backend server; a hedge always is,
// since the attempt beside it has been sent by then.
func (cr *carrier) costs(wa scatter.Attempt) bool {
	return wa.Kind == scatter.Hedge || wa.Kind == scatter.Retry && cr.arrived[wa.Shard]
}

// exchange runs one attempt and reports it.
func (cr *carrier) exchange(ctx context.Context, at attempt) {
	sv := cr.ca.sv
	se := at.pk.Server
	rs := sv.up.Do(ctx, sv.target(se), cr.rq)
	now := sv.ts.Now()
	sv.re.Done(now, at.pk, report(ctx, rs))
	if rs.Outcome != upstream.NoConnection { // Two that find none would wake each other for ever.
		sv.qu.wake(se.Service, se.ID)
	}
	if !at.spent.IsZero() && !arrives(rs) {
		sv.bu.Refund(now, at.spent, se.Service)
	}
	sv.mt.ended(ctx, cr.services[at.shard], rs)
	if rs.Outcome == upstream.Answered && !sv.qa.Empty() {
		sv.qa.ServiceAnswered(se.Service)
	}
	select {
	case cr.ends <- ended{at.shard, at.number, rs}:
	case <-ctx.Done():
	}
}

// arrives reports whether a request may have reached its backend server.
func arrives(rs upstream.Result) bool {
	return rs.Outcome != upstream.NotSent && rs.Outcome != upstream.NoConnection
}

// report says what an exchange tells about its backend server.
func report(ctx context.Context, rs upstream.Result) replica.Report {
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
		// Connections that wait for a reply nobody wants, or to be opened, are in the
		// way: the server stands still or is gone.
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

// ended gives the end of an attempt to the query.
func (cr *carrier) ended(en ended) {
	cr.over(cr.ca.sv.ts.Now(), en.number, en.rs)
	if arrives(en.rs) {
		cr.arrived[en.shard] = true
	}
	if !en.rs.Sent {
		cr.uncount(en)
	}
	if en.rs.Outcome == upstream.NoConnection {
		cr.retract(en)
	}
	if !cr.qu.HasPart(en.shard) && en.rs.Outcome == upstream.Answered && !unsigned(en.rs.Reply) {
		cr.replies[en.shard] = en.rs.Reply
	}
	cr.qu.AttemptEnded(cr.ca.sv.ts.Now(), en.shard, cr.ca.reply(en.rs))
	if en.rs.Outcome == upstream.NoConnection && cr.qu.NeedsAttempt(en.shard) {
		cr.join(en.shard)
	}
}

// uncount takes an attempt of which nothing has left out of what the line counts.
func (cr *carrier) uncount(en ended) {
	cr.ca.sent--
	switch cr.notes[en.number].kind {
	case scatter.Hedge:
		cr.ca.hedged--
	case scatter.Retry:
		cr.ca.again--
	}
}

// retract lets a backend server be chosen again that was not asked after all.
func (cr *carrier) retract(en ended) {
	id := cr.notes[en.number].server
	cr.tried[en.shard] = slices.DeleteFunc(cr.tried[en.shard], func(other string) bool { return other == id })
}

// reply says what an exchange means for the query. Only a success is a part of a
// merged answer; an answer of any kind but a server's own fault is one for a
// request to a single backend server, and is passed on as it came.
func (ca *call) reply(rs upstream.Result) scatter.Outcome {
	switch rs.Outcome {
	case upstream.Answered:
		if unsigned(rs.Reply) {
			return scatter.OutcomeLost
		}
		return ca.answered(rs.Reply.Status)
	case upstream.NoConnection:
		return scatter.OutcomeNoConnection
	case upstream.NotRun, upstream.NotSent:
		return scatter.OutcomeNotRun
	default:
		return scatter.OutcomeLost
	}
}

// unsigned reports whether a success bears no stamp. Nothing proves that a backend
// server made it for this request, so it must not be passed on as one.
func unsigned(rp *upstream.Reply) bool {
	return rp.Stamp == "" && success(rp.Status)
}

func success(status int) bool { return status >= 200 && status < 300 }

func (ca *call) answered(status int) scatter.Outcome {
	switch {
	case success(status):
		return scatter.OutcomePart
	case len(ca.ro.Shards) > 0 || status >= 500:
		return scatter.OutcomeFailed
	default:
		return scatter.OutcomePart
	}
}
