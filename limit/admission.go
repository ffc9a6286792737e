package limit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

// Defaults for the fields of AdmissionConfig.
const (
	DefaultMaxLeafRequests = 16384
	DefaultTarget          = 20 * time.Millisecond
	DefaultInterval        = 30 * time.Millisecond
)

// AdmissionConfig configures an Admission. The zero value is usable.
type AdmissionConfig struct {
	// MaxLeafRequests bounds the leaf requests of all running queries together; zero
	// means the default. It bounds the instance's memory, and services divide it by
	// their weights.
	MaxLeafRequests int
	// ServiceCapacity returns what the backend servers of a service can take;
	// Table.ServiceCapacity is one implementation. If it is nil, only
	// MaxLeafRequests bounds the running queries.
	ServiceCapacity func(service string) ServiceCapacity
	// Target is the longest wait in a queue that has been long for Interval. Zero
	// means the default. With a negative Target, queries wait as long as their
	// deadlines allow.
	Target   time.Duration
	Interval time.Duration // zero means the default
	// Order is OldestFirst except in benchmarks that compare the orders. Newest
	// first answers as many queries, but those left for last are rejected only at
	// their deadlines.
	Order Order
}

// Admission queues queries at the entry instance and rejects those that can't be
// answered in time, before any of their leaf requests is sent. It is safe for
// concurrent use.
type Admission struct {
	ts *timer.Service

	mu         sync.Mutex
	qu         *queue
	agingTimer *timer.Timeout // set while queries wait behind running ones
	stats      map[string]AdmissionStats
}

// AdmissionStats counts the queries of one service.
type AdmissionStats struct {
	Waiting  int
	Running  int    // running queries that still count against the capacity
	Admitted uint64 // queries that have started
	Refused  uint64 // queries rejected on arrival
	Expired  uint64 // queries that were queued but didn't start in time
	Unserved uint64 // queries that started and gave no useful answer
}

// NewAdmission returns an Admission without queries.
func NewAdmission(ts *timer.Service, cf AdmissionConfig) *Admission {
	return &Admission{ts: ts, qu: newQueue(cf.withDefaults()), stats: make(map[string]AdmissionStats)}
}

func (cf AdmissionConfig) withDefaults() AdmissionConfig {
	if cf.MaxLeafRequests <= 0 {
		cf.MaxLeafRequests = DefaultMaxLeafRequests
	}
	if cf.ServiceCapacity == nil {
		cf.ServiceCapacity = func(string) ServiceCapacity { return ServiceCapacity{} }
	}
	if cf.Target == 0 {
		cf.Target = DefaultTarget
	}
	if cf.Interval <= 0 {
		cf.Interval = DefaultInterval
	}
	return cf
}

// Admit waits until a query may start. It returns a function that the caller
// must call when the query has ended; served says whether its answer was useful.
// Cost is the number of leaf requests of the query, and weight is its service's
// share of the instance. The error is NotRunOverloaded: at once if the query is
// not expected to start in time, later if it does not start in time after all or
// the context ends.
func (ad *Admission) Admit(ctx context.Context, service string, weight, cost int, deadline time.Time) (release func(served bool), err *result.Error) {
	qy, decided, retryAfter := ad.enqueue(service, weight, cost, deadline)
	if qy == nil {
		return nil, overloaded(service, "the queue is longer than the deadline allows", retryAfter, nil)
	}
	if decided != nil {
		if err := ad.waitForStart(ctx, qy, decided); err != nil {
			return nil, err
		}
	}
	var once sync.Once
	return func(served bool) {
		once.Do(func() { ad.end(qy, served) })
	}, nil
}

// Stats returns the counts of a service.
func (ad *Admission) Stats(service string) AdmissionStats {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	st := ad.stats[service]
	if sq := ad.qu.byService[service]; sq != nil {
		st.Waiting, st.Running = len(sq.waiting), len(sq.running)
	}
	return st
}

// enqueue adds a query. It returns the query and, unless it has already started,
// a channel that is closed when it starts or expires. If the query is rejected,
// enqueue returns nil and when to retry.
func (ad *Admission) enqueue(service string, weight, cost int, deadline time.Time) (*query, <-chan struct{}, time.Duration) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	qy, retryAfter := ad.qu.enqueue(ad.ts.Now(), service, weight, cost, deadline)
	ad.resetAgingTimer()
	switch {
	case qy == nil:
		ad.updateStats(service, func(st *AdmissionStats) { st.Refused++ })
		return nil, nil, retryAfter
	case qy.state == running:
		ad.updateStats(service, func(st *AdmissionStats) { st.Admitted++ })
		return qy, nil, 0
	}
	decided := make(chan struct{})
	qy.onDecision = func() { close(decided) }
	return qy, decided, 0
}

// waitForStart waits until the query starts, expires or the context ends.
func (ad *Admission) waitForStart(ctx context.Context, qy *query, decided <-chan struct{}) *result.Error {
	late := ad.ts.Timeout(qy.latest.Sub(ad.ts.Now())+time.Nanosecond, ad.advance)
	defer late.Stop()
	select {
	case <-decided:
	case <-ctx.Done():
	}
	ad.mu.Lock()
	defer ad.mu.Unlock()
	service := qy.sq.name
	switch {
	case qy.state == running && ctx.Err() == nil:
		ad.updateStats(service, func(st *AdmissionStats) { st.Admitted++ })
		return nil
	case qy.state == expired:
		ad.updateStats(service, func(st *AdmissionStats) { st.Expired++ })
		return overloaded(service, "the query could not start in time", minRetryAfter, nil)
	default:
		ad.qu.end(ad.ts.Now(), qy)
		ad.resetAgingTimer()
		return overloaded(service, "given up while it waited", minRetryAfter, ctx.Err())
	}
}

func (ad *Admission) end(qy *query, served bool) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if !served {
		ad.updateStats(qy.sq.name, func(st *AdmissionStats) { st.Unserved++ })
	}
	ad.qu.end(ad.ts.Now(), qy)
	ad.resetAgingTimer()
}

func (ad *Admission) advance() {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.qu.advance(ad.ts.Now())
	ad.resetAgingTimer()
}

// resetAgingTimer sets the timer for when a running query stops counting, since
// a waiting one may then start although no query has ended.
func (ad *Admission) resetAgingTimer() {
	at, ok := ad.qu.nextAgedAt()
	if !ok {
		if ad.agingTimer != nil {
			ad.agingTimer.Stop()
		}
		return
	}
	delay := max(0, at.Sub(ad.ts.Now())) + time.Nanosecond
	if ad.agingTimer == nil {
		ad.agingTimer = ad.ts.Timeout(delay, ad.advance)
		return
	}
	ad.agingTimer.Reset(delay)
}

func (ad *Admission) updateStats(service string, change func(st *AdmissionStats)) {
	st := ad.stats[service]
	change(&st)
	ad.stats[service] = st
}

func overloaded(service, detail string, retryAfter time.Duration, cause error) *result.Error {
	return &result.Error{
		Code: result.NotRunOverloaded, Op: fmt.Sprintf("admit %s", service), Detail: detail, RetryAfter: retryAfter, Err: cause,
	}
}
