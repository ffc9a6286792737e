package limit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

// The values that hold for what an AdmissionConfig leaves out.
const (
	DefaultMaxLeafRequests = 16384
	DefaultTarget          = 20 * time.Millisecond
	DefaultInterval        = 30 * time.Millisecond
)

// AdmissionConfig is what an Admission is made with. The zero AdmissionConfig
// is usable.
type AdmissionConfig struct {
	// Capacity is how many leaf requests all queries together may have; zero is
	// the default. It bounds the instance's memory and is what services share by
	// their weights.
	MaxLeafRequests int
	// Room says what the backend servers of a service can take; Table.Room is
	// one. Without it only Capacity bounds what runs.
	ServiceCapacity func(service string) ServiceCapacity
	// Target is the longest wait in a queue that has been long for Interval. Zero
	// is the default; a negative Target lets queries wait as their deadlines allow.
	Target   time.Duration
	Interval time.Duration
	// Order is OldestFirst unless the orders are compared: newest first answers as
	// many, but whoever it leaves for last hears of it only at the deadline.
	Order Order
}

// Admission queues queries at the entry and refuses those that can't be served
// in time, while not one of their leaf requests has been sent. It is safe for
// many goroutines.
type Admission struct {
	ts *timer.Service

	mu    sync.Mutex
	qu    *queue
	wake  *timer.Timeout // wake is set while queries wait behind running ones.
	stats map[string]AdmissionStats
}

// AdmissionStats counts the queries of one service.
type AdmissionStats struct {
	Waiting  int
	Running  int    // Running counts those that take room at the backend servers.
	Admitted uint64 // Admitted counts those that have started.
	Refused  uint64 // Refused counts those refused on arrival.
	Expired  uint64 // Expired counts those that did not start in time after all.
	Unserved uint64 // Unserved counts those that started and gave no useful answer.
}

// NewAdmission returns an admission without queries.
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

// Admit waits until a query may start and returns what must be called when it
// has ended, with whether its answer was useful. Cost is how many leaf requests
// it makes, weight its service's share of the instance. The error is
// NotRunOverloaded: at once if the query can't start in time by what is known,
// later if that turns out while it waits or the context ends.
func (ad *Admission) Admit(ctx context.Context, service string, weight, cost int, deadline time.Time) (release func(served bool), err *result.Error) {
	wa, told, retryAfter := ad.arrive(service, weight, cost, deadline)
	if wa == nil {
		return nil, overloaded(service, "the queue is longer than the deadline allows", retryAfter, nil)
	}
	if told != nil {
		if err := ad.await(ctx, wa, told); err != nil {
			return nil, err
		}
	}
	var once sync.Once
	return func(served bool) {
		once.Do(func() { ad.end(wa, served) })
	}, nil
}

// Stats returns the counts of a service.
func (ad *Admission) Stats(service string) AdmissionStats {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	st := ad.stats[service]
	if li := ad.qu.lines[service]; li != nil {
		st.Waiting, st.Running = len(li.waiting), len(li.running)
	}
	return st
}

// arrive returns the query, and a channel that is closed when it starts or
// expires unless it has started already; or when to come back.
func (ad *Admission) arrive(service string, weight, cost int, deadline time.Time) (*waiting, <-chan struct{}, time.Duration) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	wa, retryAfter := ad.qu.arrive(ad.ts.Now(), service, weight, cost, deadline)
	ad.rewake()
	switch {
	case wa == nil:
		ad.count(service, func(st *AdmissionStats) { st.Refused++ })
		return nil, nil, retryAfter
	case wa.state == running:
		ad.count(service, func(st *AdmissionStats) { st.Admitted++ })
		return wa, nil, 0
	}
	told := make(chan struct{})
	wa.told = func() { close(told) }
	return wa, told, 0
}

// await waits until the query starts.
func (ad *Admission) await(ctx context.Context, wa *waiting, told <-chan struct{}) *result.Error {
	late := ad.ts.Timeout(wa.latest.Sub(ad.ts.Now())+time.Nanosecond, ad.advance)
	defer late.Stop()
	select {
	case <-told:
	case <-ctx.Done():
	}
	ad.mu.Lock()
	defer ad.mu.Unlock()
	service := wa.li.name
	switch {
	case wa.state == running && ctx.Err() == nil:
		ad.count(service, func(st *AdmissionStats) { st.Admitted++ })
		return nil
	case wa.state == expired:
		ad.count(service, func(st *AdmissionStats) { st.Expired++ })
		return overloaded(service, "the query could not start in time", leastRetryAfter, nil)
	default:
		ad.qu.end(ad.ts.Now(), wa)
		ad.rewake()
		return overloaded(service, "given up while it waited", leastRetryAfter, ctx.Err())
	}
}

func (ad *Admission) end(wa *waiting, served bool) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if !served {
		ad.count(wa.li.name, func(st *AdmissionStats) { st.Unserved++ })
	}
	ad.qu.end(ad.ts.Now(), wa)
	ad.rewake()
}

func (ad *Admission) advance() {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.qu.advance(ad.ts.Now())
	ad.rewake()
}

// rewake sets the timeout for when a running query stops counting, which may
// let a waiting one start though nothing ended.
func (ad *Admission) rewake() {
	at, ok := ad.qu.nextAged()
	if !ok {
		if ad.wake != nil {
			ad.wake.Stop()
		}
		return
	}
	delay := max(0, at.Sub(ad.ts.Now())) + time.Nanosecond
	if ad.wake == nil {
		ad.wake = ad.ts.Timeout(delay, ad.advance)
		return
	}
	ad.wake.Reset(delay)
}

func (ad *Admission) count(service string, change func(st *AdmissionStats)) {
	st := ad.stats[service]
	change(&st)
	ad.stats[service] = st
}

func overloaded(service, detail string, retryAfter time.Duration, cause error) *result.Error {
	return &result.Error{
		Code: result.NotRunOverloaded, Op: fmt.Sprintf("admit %s", service), Detail: detail, RetryAfter: retryAfter, Err: cause,
	}
}
