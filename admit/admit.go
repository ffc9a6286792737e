// Package admit limits how many requests an entry instance has in flight for each set of
// services. The capacity of the backend servers is unknown and changes, so the limit is
// learned: it grows while requests succeed and falls when backend servers refuse requests
// or no connection is free.
package admit

import (
	"sync"
	"time"
)

// These constants bound a limit and its steps.
const (
	// minLimit is the lowest limit. Below it too few requests would end to adjust it.
	minLimit = 4
	// decreaseFactor scales the number of requests in flight to the new limit on overload.
	decreaseFactor = 0.85
	// decreaseInterval is the minimum time between two decreases: requests that were
	// admitted together fail together and show a single overload.
	decreaseInterval = 150 * time.Millisecond
	// growthThreshold is the fraction of the limit in use from which the limit grows.
	// Success at lower usage says nothing about the capacity.
	growthThreshold = 0.75
	// growth is how much the limit grows when as many requests as it allows have succeeded.
	growth = 2
	// maxGroups bounds the groups that are kept.
	maxGroups = 1024
)

// Limiter holds the limits of one entry instance. It is safe for concurrent use.
type Limiter struct {
	maxLimit int

	mu     sync.Mutex
	groups map[string]*group
}

// group is the set of services that a request uses.
type group struct {
	limit       float64
	inFlight    int
	decreasedAt time.Time
}

// New returns a Limiter whose limits start at maxLimit and never exceed it.
func New(maxLimit int) *Limiter {
	return &Limiter{maxLimit: maxLimit, groups: make(map[string]*group)}
}

// Acquire reports whether a request is admitted. If so, Release must be called when it
// ends.
//
// A request rejected at once, before any work was done, costs little and can be retried. If
// it were admitted beyond the capacity of the backend servers, it would queue with all
// others until all are late, and hardly any answer would come in time although the servers
// are always busy.
func (li *Limiter) Acquire(name string) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	gr := li.group(name)
	if gr.inFlight >= li.maxLimit || float64(gr.inFlight) >= gr.limit {
		return false
	}
	gr.inFlight++
	return true
}

// Release records that a request has ended and whether the backend servers were overloaded.
func (li *Limiter) Release(now time.Time, name string, overloaded bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	gr := li.group(name)
	inFlight := float64(gr.inFlight)
	gr.inFlight = max(0, gr.inFlight-1)
	switch {
	case !overloaded:
		if inFlight >= growthThreshold*gr.limit {
			gr.limit = min(gr.limit+growth/gr.limit, float64(li.maxLimit))
		}
	case gr.decreasedAt.IsZero() || now.Sub(gr.decreasedAt) >= decreaseInterval:
		gr.limit = max(minLimit, decreaseFactor*min(inFlight, gr.limit))
		gr.decreasedAt = now
	}
}

// Limit returns how many requests of a group may be in flight.
func (li *Limiter) Limit(name string) int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return int(li.group(name).limit)
}

func (li *Limiter) group(name string) *group {
	gr := li.groups[name]
	if gr == nil {
		li.evictIdle()
		gr = &group{limit: float64(li.maxLimit)}
		li.groups[name] = gr
	}
	return gr
}

// evictIdle removes the idle groups if the number of groups has reached its bound.
func (li *Limiter) evictIdle() {
	if len(li.groups) < maxGroups {
		return
	}
	for name, gr := range li.groups {
		if gr.inFlight == 0 {
			delete(li.groups, name)
		}
	}
}
