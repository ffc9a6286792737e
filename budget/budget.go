// Package budget bounds how many arrivals at backend servers beyond the first
// of each request one instance causes, by hedges and by asking again. It counts
// for each service over a sliding window, so that the sum over all entry
// instances stays within a bound though they don't talk for each request: every
// instance keeps to its own requests and to an equal part of the slack. The
// package decides; it sends nothing and reads no clock.
package budget

import (
	"sync"
	"time"
)

const (
	// bucketCount is how many buckets a window is counted in.
	bucketCount = 40
	// ringLength holds one bucket more than a window: the oldest is partly in it.
	ringLength = bucketCount + 1
	// defaultWindow is used if the configuration names none.
	defaultWindow = 10 * time.Second
	// forgetWindows is after how many unused windows a service is forgotten.
	forgetWindows = 2
)

// Config says how much is allowed.
type Config struct {
	// Ratio is how many extra arrivals the whole system may cause for each request.
	Ratio float64
	// Slack is how many more the whole system may cause for a service in a window.
	Slack int
	// Window is the span over which is counted; zero or less counts as 10 s. It
	// is rounded up to a multiple of 40 ns.
	Window time.Duration
	// Share is the part of both that is used; zero or less counts as all of it.
	Fraction float64
}

// Budget counts requests and extra arrivals. In any span of one window that
// ends with an extra arrival, the extra arrivals are at most Share x (Ratio x
// requests of this instance + Slack / entry instances). It is safe for many
// goroutines, and allocates only at the first request for a service.
type Budget struct {
	cf    Config
	width time.Duration // width is the length of a bucket.
	start time.Time

	mu       sync.Mutex
	latest   time.Duration // latest is the time of the newest call, since start.
	swept    time.Duration // swept is when unused services were last looked for.
	services map[string]*service
	entries  entries
}

// New returns a budget of a process that starts now. Its slack grows evenly
// from nothing over the first window: what the process spent before a restart
// is forgotten, and may still lie in the window. The slack also counts as
// nothing until SetEntries has told how many share it.
func New(cf Config, now time.Time) *Budget {
	if cf.Window <= 0 {
		cf.Window = defaultWindow
	}
	if cf.Fraction <= 0 {
		cf.Fraction = 1
	}
	width := (cf.Window + bucketCount - 1) / bucketCount
	return &Budget{cf: cf, width: width, start: now, services: make(map[string]*service)}
}

// SetEntries says how many entry instances share the slack. It is divided by
// the highest count of the last two windows: an instance that is out of sight
// may still spend its part.
func (bu *Budget) SetNumEntries(now time.Time, count int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.entries.set(bu.bucket(now), count)
}

// Arrival counts a request for the service. Its first arrival at a backend
// server is free.
func (bu *Budget) CountRequest(now time.Time, service string) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.service(now, service).request()
}

// Spend takes one extra arrival and reports whether the budget had it. It is
// refused if the window that ends now would pass its bound.
func (bu *Budget) Spend(now time.Time, service string) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	se := bu.service(now, service)
	if float64(se.extras+1) > bu.bound(se) {
		return false
	}
	se.spend()
	return true
}

// Return gives back what was spent at the given time for an arrival that did
// not happen, because nothing was sent. Nothing is given back for a time that
// has left the window.
func (bu *Budget) Refund(now, spent time.Time, service string) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	se := bu.service(now, service)
	se.unspend(int64(max(0, spent.Sub(bu.start)) / bu.width))
}

// Left returns the part of the service's bound that is left, from 0 to 1; zero
// if the bound doesn't allow a single extra arrival.
func (bu *Budget) RemainingFraction(now time.Time, service string) float64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	se := bu.service(now, service)
	bound := bu.bound(se)
	if bound < 1 {
		return 0
	}
	return max(0, 1-float64(se.extras)/bound)
}

// bound returns how many extra arrivals the window that ends now may hold.
func (bu *Budget) bound(se *service) float64 {
	slack := 0.0
	if count := bu.entries.highest(se.newest); count > 0 {
		grown := min(1, float64(bu.latest)/float64(bu.cf.Window))
		slack = grown * float64(bu.cf.Slack) / float64(count)
	}
	return bu.cf.Fraction * (bu.cf.Ratio*float64(se.requests) + slack)
}

// bucket returns the index of the bucket of now. Time never goes back: callers
// read the clock before they take the lock.
func (bu *Budget) bucket(now time.Time) int64 {
	bu.latest = max(bu.latest, now.Sub(bu.start))
	return int64(bu.latest / bu.width)
}

// service returns the counts of a service with its window ending now.
func (bu *Budget) service(now time.Time, name string) *service {
	bucket := bu.bucket(now)
	se := bu.services[name]
	if se == nil {
		bu.sweep(bucket)
		se = &service{newest: bucket}
		bu.services[name] = se
	}
	se.advance(bucket)
	return se
}

// sweep forgets the services that were unused for two windows. It looks at most
// once a window, and only when another service is added: until then the map
// doesn't grow.
func (bu *Budget) sweep(bucket int64) {
	if bu.latest-bu.swept < bu.cf.Window {
		return
	}
	bu.swept = bu.latest
	for name, se := range bu.services {
		if bucket-se.newest > forgetWindows*bucketCount {
			delete(bu.services, name)
		}
	}
}
