// Package admit decides how many requests an entry instance has under way at a
// time for the services that they share. What the backend servers can take is not
// known and changes, so it is learned: while requests end well the limit grows, and
// when backend servers refuse or no connection is free it falls.
package admit

import (
	"sync"
	"time"
)

// Bounds of a limit and its steps.
const (
	// least is the lowest limit. Below it nothing would be learned any more.
	least = 4
	// cutPart is what is left of the requests under way when too many were.
	cutPart = 0.85
	// cutPause is the least time between two cuts: requests that were admitted
	// together fail together, and tell of one overload.
	cutPause = 150 * time.Millisecond
	// growFrom is the part of the limit in use from which on it grows. A limit that
	// isn't reached would grow without telling anything.
	growFrom = 0.75
	// growth is by how much the limit grows when as many requests as it allows have
	// ended well.
	growth = 2
	// mostGroups bounds the groups that are remembered.
	mostGroups = 1024
)

// Limiter holds the limits of one entry instance. It is safe for many goroutines.
type Limiter struct {
	most int

	mu     sync.Mutex
	groups map[string]*group
}

// group is a set of services that requests share.
type group struct {
	limit  float64
	active int
	cutAt  time.Time
}

// New returns a limiter whose limits begin at most, and never pass it.
func New(most int) *Limiter {
	return &Limiter{most: most, groups: make(map[string]*group)}
}

// Enter reports whether a request may begin. If so, Leave must be called when it
// is over.
//
// A request that is refused at once, while nobody has worked on it, costs little
// and can come back. Admitted beyond what the backend servers can take, it waits
// with all others until all are late: callers then see hardly any answer in time
// although the servers are busy all along.
func (li *Limiter) Acquire(name string) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	gr := li.group(name)
	if gr.active >= li.most || float64(gr.active) >= gr.limit {
		return false
	}
	gr.active++
	return true
}

// Leave says that a request is over, and whether it met backend servers that had
// no room.
func (li *Limiter) Release(now time.Time, name string, overloaded bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	gr := li.group(name)
	active := float64(gr.active)
	gr.active = max(0, gr.active-1)
	switch {
	case !overloaded:
		if active >= growFrom*gr.limit {
			gr.limit = min(gr.limit+growth/gr.limit, float64(li.most))
		}
	case gr.cutAt.IsZero() || now.Sub(gr.cutAt) >= cutPause:
		gr.limit = max(least, cutPart*min(active, gr.limit))
		gr.cutAt = now
	}
}

// Limit returns how many requests of a group may be under way.
func (li *Limiter) Limit(name string) int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return int(li.group(name).limit)
}

func (li *Limiter) group(name string) *group {
	gr := li.groups[name]
	if gr == nil {
		li.forget()
		gr = &group{limit: float64(li.most)}
		li.groups[name] = gr
	}
	return gr
}

// forget makes room for a group, if there are too many, by dropping idle ones.
func (li *Limiter) forget() {
	if len(li.groups) < mostGroups {
		return
	}
	for name, gr := range li.groups {
		if gr.active == 0 {
			delete(li.groups, name)
		}
	}
}
