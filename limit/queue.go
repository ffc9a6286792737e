package limit

import (
	"slices"
	"time"
)

// Order is the order in which the queries of one service leave the queue.
type Order uint8

// The orders.
const (
	OldestFirst Order = iota
	NewestFirst
)

const (
	// concurrencyFactor is how many queries may run for each one that the shard with
	// the lowest limit can take. The shards of a query finish at different times:
	// with a factor of one, most shards would be idle while the slowest one
	// finishes.
	concurrencyFactor = 3.0
	// agedFactor is the number of median leaf latencies after which a running query
	// no longer counts. Otherwise, a query that waits for a stuck server until its
	// deadline would block capacity of the others.
	agedFactor = 8
	// startGapWeight is the weight of a new sample of the time between starts.
	startGapWeight = 0.05
	// maxStartGap bounds one sample of the time between starts.
	maxStartGap = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay that a rejection asks for.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// query is a query that is queued or running.
type query struct {
	sq         *serviceQueue
	cost       int
	arrived    time.Time
	latest     time.Time // latest time at which it may start
	started    time.Time
	state      queryState
	onDecision func() // if set, called when the query starts or expires after it was queued
}

type queryState uint8

const (
	queued queryState = iota
	running
	expired
	removed // ended, or cancelled by its caller
)

// serviceQueue is the queue of one service.
type serviceQueue struct {
	name        string
	weight      int
	waiting     []*query
	running     []*query // those that count against the capacity, in order of starting
	virtualTime float64  // virtual time of the service, for weighted fair queueing
	startGap    time.Duration
	lastStart   time.Time // when a query last left the queue
	longSince   time.Time // since when queries have waited longer than the target
	// when the query rejected last was asked to retry
	lastRetryAt time.Time
}

// queue holds the queries of one instance. It has no clock and no lock.
type queue struct {
	cf          AdmissionConfig
	byService   map[string]*serviceQueue
	runningCost int     // leaf requests of all running queries
	virtualTime float64 // virtual time of the query that started last
}

func newQueue(cf AdmissionConfig) *queue {
	return &queue{cf: cf, byService: make(map[string]*serviceQueue)}
}

func (qu *queue) serviceQueue(service string, weight int) *serviceQueue {
	sq := qu.byService[service]
	if sq == nil {
		sq = &serviceQueue{name: service}
		qu.byService[service] = sq
	}
	sq.weight = max(1, weight)
	return sq
}

// enqueue adds a query and returns it, started or queued. If the query is
// rejected, enqueue returns nil and when to retry.
func (qu *queue) enqueue(now time.Time, service string, weight, cost int, deadline time.Time) (*query, time.Duration) {
	sq := qu.serviceQueue(service, weight)
	sc := qu.cf.ServiceCapacity(service)
	left := deadline.Sub(now)
	pace := sq.expectedStartGap(sc)
	wait := time.Duration(len(sq.waiting)) * pace
	if left <= 0 || wait > qu.maxWait(now, sq, sc, left) {
		return nil, sq.nextRetryAfter(now, wait, pace)
	}
	qy := &query{sq: sq, cost: cost, arrived: now, latest: now.Add(left - expectedRunTime(sc, left))}
	sq.waiting = append(sq.waiting, qy)
	qu.advance(now)
	return qy, 0
}

// expectedRunTime returns the part of the remaining time that the query needs
// after it has started. It is at most half of it: otherwise, queries that wait
// for a stuck server would make the instance reject all others.
func expectedRunTime(sc ServiceCapacity, left time.Duration) time.Duration {
	return min(left/2, 2*sc.MedianLatency)
}

// maxWait returns how long a query that arrives now may wait. A burst may wait
// as long as the deadline allows. If the queue has been long for Interval, it
// holds more than a burst, and a longer queue would only delay the answers.
func (qu *queue) maxWait(now time.Time, sq *serviceQueue, sc ServiceCapacity, left time.Duration) time.Duration {
	wait := left - expectedRunTime(sc, left)
	if qu.cf.Target > 0 && !sq.longSince.IsZero() && now.Sub(sq.longSince) >= qu.cf.Interval {
		wait = min(wait, qu.cf.Target)
	}
	return wait
}

// expectedStartGap returns the time between starts: the observed one, or an
// estimate from the capacity.
func (sq *serviceQueue) expectedStartGap(sc ServiceCapacity) time.Duration {
	if sq.startGap == 0 && sc.Concurrency > 0 {
		return time.Duration(float64(sc.MedianLatency) / (concurrencyFactor * sc.Concurrency))
	}
	return sq.startGap
}

// nextRetryAfter returns when a rejected query should be retried. The retries
// are spaced at the rate at which the queue drains: if all rejected queries were
// given the current wait, they would come back together and be rejected again.
func (sq *serviceQueue) nextRetryAfter(now time.Time, wait, pace time.Duration) time.Duration {
	sq.lastRetryAt = later(sq.lastRetryAt, now.Add(wait)).Add(pace)
	return min(maxRetryAfter, max(minRetryAfter, sq.lastRetryAt.Sub(now)))
}

// end removes a query that has ended or that its caller has cancelled.
func (qu *queue) end(now time.Time, qy *query) {
	switch qy.state {
	case running:
		qu.runningCost -= qy.cost
		qy.sq.running = remove(qy.sq.running, qy)
	case queued:
		qy.sq.waiting = remove(qy.sq.waiting, qy)
	}
	qy.state = removed
	qu.advance(now)
}

// advance starts the queries for which there is capacity and drops those that
// can no longer start in time. Among services it starts the one with the lowest
// virtual time, which each start advances by cost over weight. So a service in a
// surge competes only with itself.
func (qu *queue) advance(now time.Time) {
	for _, sq := range qu.byService {
		sq.dropExpired(now)
		sq.dropAged(now, qu.cf.ServiceCapacity(sq.name))
	}
	for {
		sq := qu.nextService()
		if sq == nil {
			return
		}
		qu.start(now, sq)
	}
}

func (qu *queue) nextService() *serviceQueue {
	var best *serviceQueue
	for _, sq := range qu.byService {
		if len(sq.waiting) == 0 || !qu.fits(sq) {
			continue
		}
		if best == nil || sq.virtualTime < best.virtualTime || sq.virtualTime == best.virtualTime && sq.name < best.name {
			best = sq
		}
	}
	return best
}

func (qu *queue) fits(sq *serviceQueue) bool {
	if qu.runningCost > 0 && qu.runningCost+sq.nextQuery(qu.cf.Order).cost > qu.cf.MaxLeafRequests {
		return false
	}
	sc := qu.cf.ServiceCapacity(sq.name)
	return sc.Concurrency == 0 || len(sq.running) < max(1, int(concurrencyFactor*sc.Concurrency))
}

func (sq *serviceQueue) nextQuery(or Order) *query {
	if or == NewestFirst {
		return sq.waiting[len(sq.waiting)-1]
	}
	return sq.waiting[0]
}

func (qu *queue) start(now time.Time, sq *serviceQueue) {
	qy := sq.nextQuery(qu.cf.Order)
	sq.waiting = remove(sq.waiting, qy)
	sq.running = append(sq.running, qy)
	qu.runningCost += qy.cost
	qu.virtualTime = max(qu.virtualTime, sq.virtualTime)
	sq.virtualTime = qu.virtualTime + float64(qy.cost)/float64(sq.weight)
	sq.recordStart(now, qy, qu.cf.Target)
	qy.state, qy.started = running, now
	qy.notify()
}

func (qy *query) notify() {
	if qy.onDecision != nil {
		qy.onDecision()
	}
}

// recordStart updates the rate at which the queue drains, and since when it has
// been long.
func (sq *serviceQueue) recordStart(now time.Time, qy *query, target time.Duration) {
	if now.After(qy.arrived) && !sq.lastStart.IsZero() {
		gap := min(maxStartGap, now.Sub(sq.lastStart))
		if sq.startGap == 0 {
			sq.startGap = gap
		}
		sq.startGap += time.Duration(startGapWeight * float64(gap-sq.startGap))
	}
	sq.lastStart = now
	switch wait := now.Sub(qy.arrived); {
	case wait == 0:
		sq.longSince = time.Time{}
	case wait > target && sq.longSince.IsZero():
		sq.longSince = now
	}
}

// dropExpired removes the queries that can no longer start in time.
func (sq *serviceQueue) dropExpired(now time.Time) {
	sq.waiting = slices.DeleteFunc(sq.waiting, func(qy *query) bool {
		late := now.After(qy.latest)
		if late {
			qy.state = expired
			qy.notify()
		}
		return late
	})
}

// dropAged stops counting queries that have run for a long time.
func (sq *serviceQueue) dropAged(now time.Time, sc ServiceCapacity) {
	if sc.MedianLatency == 0 {
		return
	}
	for len(sq.running) > 0 && now.Sub(sq.running[0].started) > agedFactor*sc.MedianLatency {
		sq.running = sq.running[1:]
	}
}

func remove(qys []*query, qy *query) []*query {
	if ix := slices.Index(qys, qy); ix >= 0 {
		return slices.Delete(qys, ix, ix+1)
	}
	return qys
}

// nextAgedAt returns when the next running query stops counting, if a waiting
// one could then start.
func (qu *queue) nextAgedAt() (time.Time, bool) {
	var next time.Time
	for _, sq := range qu.byService {
		median := qu.cf.ServiceCapacity(sq.name).MedianLatency
		if len(sq.waiting) == 0 || len(sq.running) == 0 || median == 0 {
			continue
		}
		if at := sq.running[0].started.Add(agedFactor * median); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}
