// Package budget implements the retry budget of one instance. It bounds the extra attempts,
// which are the attempts at backend servers beyond the first one of each request, caused by
// hedges and retries. It counts per service over a sliding window. The sum over all entry
// instances stays bounded although they don't communicate for each request: every instance
// uses its own requests and an equal part of the slack. The package only decides; it sends
// nothing and reads no clock.
package budget

import (
	"sync"
	"time"
)

const (
	// numBuckets is the number of buckets of a window.
	numBuckets = 40
	// ringLength is one bucket more than a window, because the oldest bucket is partly
	// inside the window.
	ringLength = numBuckets + 1
	// defaultWindow is used if the Config sets none.
	defaultWindow = 10 * time.Second
	// expiryWindows is the number of windows without use after which a service is evicted.
	expiryWindows = 2
)

// Config configures a Budget.
type Config struct {
	// Ratio is the number of extra attempts allowed per request in the whole system.
	Ratio float64
	// Slack is the number of additional extra attempts allowed per service and window in
	// the whole system.
	Slack int
	// Window is the length of the sliding window; zero or less means 10 s. It is rounded up
	// to a multiple of 40 ns.
	Window time.Duration
	// Fraction is the part of Ratio and Slack that is used; zero or less means all of it.
	Fraction float64
}

// Budget counts requests and extra attempts. In any window that ends with an extra attempt,
// the extra attempts are at most Fraction x (Ratio x requests of this instance + Slack /
// entry instances). It is safe for concurrent use and allocates only for the first request
// of a service.
type Budget struct {
	cf          Config
	bucketWidth time.Duration // bucketWidth is the length of a bucket.
	start       time.Time

	mu       sync.Mutex
	latest   time.Duration // latest is the time of the latest call, since start.
	sweptAt  time.Duration // sweptAt is when unused services were last looked for, since start.
	services map[string]*service
	entries  entryCounts
}

// New returns the budget of a process that starts now. Its slack grows linearly from zero
// over the first window, because attempts from before a restart are forgotten but may still
// lie in the window. The slack is zero until the first SetNumEntries.
func New(cf Config, now time.Time) *Budget {
	if cf.Window <= 0 {
		cf.Window = defaultWindow
	}
	if cf.Fraction <= 0 {
		cf.Fraction = 1
	}
	bucketWidth := (cf.Window + numBuckets - 1) / numBuckets
	return &Budget{cf: cf, bucketWidth: bucketWidth, start: now, services: make(map[string]*service)}
}

// SetNumEntries sets how many entry instances share the slack. The slack is divided by the
// highest count of the last two windows, because an instance that is out of contact may
// still spend its part.
func (bu *Budget) SetNumEntries(now time.Time, count int) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.entries.set(bu.bucket(now), count)
}

// CountRequest counts a request for the service. Its first attempt costs nothing.
func (bu *Budget) CountRequest(now time.Time, service string) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.service(now, service).countRequest()
}

// Spend takes one extra attempt from the budget. It reports false, and takes nothing, if
// the window that ends now would exceed its bound.
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

// Refund returns an extra attempt that was spent at the given time but never sent. It has
// no effect for a time that has left the window.
func (bu *Budget) Refund(now, spent time.Time, service string) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	se := bu.service(now, service)
	se.refund(int64(max(0, spent.Sub(bu.start)) / bu.bucketWidth))
}

// RemainingFraction returns the unused part of the service's bound, from 0 to 1. It is zero
// if the bound doesn't allow a single extra attempt.
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

// bound returns how many extra attempts the window that ends now may contain.
func (bu *Budget) bound(se *service) float64 {
	slack := 0.0
	if count := bu.entries.highest(se.newest); count > 0 {
		ramp := min(1, float64(bu.latest)/float64(bu.cf.Window))
		slack = ramp * float64(bu.cf.Slack) / float64(count)
	}
	return bu.cf.Fraction * (bu.cf.Ratio*float64(se.requests) + slack)
}

// bucket returns the index of the bucket of now. The time never goes back, although callers
// read the clock before they take the lock.
func (bu *Budget) bucket(now time.Time) int64 {
	bu.latest = max(bu.latest, now.Sub(bu.start))
	return int64(bu.latest / bu.bucketWidth)
}

// service returns the counts of a service, with the window ending now.
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

// sweep evicts the services that have not been used for two windows. It runs at most once
// per window, and only when a service is added, as the map doesn't grow otherwise.
func (bu *Budget) sweep(bucket int64) {
	if bu.latest-bu.sweptAt < bu.cf.Window {
		return
	}
	bu.sweptAt = bu.latest
	for name, se := range bu.services {
		if bucket-se.newest > expiryWindows*numBuckets {
			delete(bu.services, name)
		}
	}
}
