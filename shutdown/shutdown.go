// Package shutdown decides which requests an instance that is being stopped still accepts:
// those that it can answer before its process ends. How long a request takes is estimated
// from the recent ones of its route.
package shutdown

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples is the number of durations that are kept for each route.
	maxSamples = 64
	// maxRoutes bounds the routes that are kept.
	maxRoutes = 1024
	// expectedQuantile is the quantile of the durations that counts as the expected one.
	expectedQuantile = 0.95
	// minTimeLeft is the least time that an accepted request has. Backend servers that pause
	// for a moment, or a retry, take a request of any route that long.
	minTimeLeft = 500 * time.Millisecond
)

// Request describes a request that arrived during a stop.
type Request struct {
	Timeout       time.Duration // when the request is answered at the latest, from its start
	TargetLatency time.Duration // target latency of its route; 0 if there is none
	Expected      time.Duration // expected duration by History; 0 if unknown
}

// AcceptUntil returns until when a request is accepted by an instance that answers every
// request by the given time. If neither the target latency of the route nor the expected
// duration is known, only the timeout bounds how long it takes.
func AcceptUntil(answerBy time.Time, rq Request) time.Time {
	needed := max(rq.TargetLatency, rq.Expected)
	if needed == 0 {
		needed = rq.Timeout
	}
	return answerBy.Add(-min(max(needed, minTimeLeft), rq.Timeout))
}

// History holds how long the last requests of each route took. It is safe for concurrent
// use.
type History struct {
	mu     sync.Mutex
	routes map[string]*ring
}

// ring holds the last durations of a route in any order.
type ring struct {
	samples []time.Duration
	next    int
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{routes: make(map[string]*ring)} }

// Record adds the duration of a request of a route.
func (hi *History) Record(route string, took time.Duration) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	ri := hi.routes[route]
	if ri == nil {
		if len(hi.routes) >= maxRoutes {
			clear(hi.routes) // Most are of earlier configurations.
		}
		ri = &ring{}
		hi.routes[route] = ri
	}
	if len(ri.samples) < maxSamples {
		ri.samples = append(ri.samples, took)
		return
	}
	ri.samples[ri.next] = took
	ri.next = (ri.next + 1) % maxSamples
}

// Expected returns how long a request of a route takes at most in 95 of 100 cases, by the
// last ones; 0 if none is known.
func (hi *History) Expected(route string) time.Duration {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	ri := hi.routes[route]
	if ri == nil {
		return 0
	}
	sorted := slices.Sorted(slices.Values(ri.samples))
	return sorted[int(expectedQuantile*float64(len(sorted)))]
}
