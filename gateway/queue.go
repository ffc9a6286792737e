package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// queue holds the requests that wait for room at the backend servers of a service,
// the oldest first.
//
// Without it, each would look for room now and then. A connection that came free
// would lie idle until one of them looks, and go to whichever looks first: in a burst,
// requests that have waited longest would get none in time although the connections
// could have served them all.
type queue struct {
	waiting atomic.Int64 // waiting counts all places.

	mu     sync.Mutex
	places map[string][]*place
}

// place is a shard of a request that waits.
type place struct {
	service string
	shard   int
	since   time.Time // since is when the request came.
	tried   []string  // tried are the backend servers that are of no use to it.
	woken   chan<- int
}

func newQueue() *queue { return &queue{places: make(map[string][]*place)} }

// join puts a place among those of its service, and reports whether it wasn't there.
func (qu *queue) join(pl *place) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	pls := qu.places[pl.service]
	if slices.Contains(pls, pl) {
		return false
	}
	ix, _ := slices.BinarySearchFunc(pls, pl.since, func(other *place, since time.Time) int {
		if other.since.After(since) {
			return 1
		}
		return -1 // Behind those that came at the same time.
	})
	qu.places[pl.service] = slices.Insert(pls, ix, pl)
	qu.waiting.Add(1)
	return true
}

// leave takes a place out and reports whether it still waited.
func (qu *queue) leave(pl *place) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	ix := slices.Index(qu.places[pl.service], pl)
	if ix < 0 {
		return false
	}
	qu.remove(pl.service, ix)
	return true
}

func (qu *queue) remove(service string, ix int) {
	pls := slices.Delete(qu.places[service], ix, ix+1)
	qu.places[service] = pls
	if len(pls) == 0 {
		delete(qu.places, service)
	}
	qu.waiting.Add(-1)
}

// wake tells the first that waits for a service, and for which the backend server may
// be asked, that there is room at it.
func (qu *queue) wake(service, server string) {
	if qu.waiting.Load() == 0 {
		return
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for ix, pl := range qu.places[service] {
		if !slices.Contains(pl.tried, server) {
			qu.remove(service, ix)
			pl.wake()
			return
		}
	}
}

// wakeAll tells all who wait that there may be room.
func (qu *queue) wakeAll() {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, pls := range qu.places {
		for _, pl := range pls {
			pl.wake()
		}
		qu.waiting.Add(-int64(len(pls)))
	}
	clear(qu.places)
}

// wake tells the request, unless more is told already than it has shards: it looks at
// all of these then, or is over.
func (pl *place) wake() {
	select {
	case pl.woken <- pl.shard:
	default:
	}
}

// queueing is what a carrier knows of its places in the queue.
type queueing struct {
	places []*place // places holds that of each shard; nil where it doesn't wait.
	woken  chan int // woken tells the shards for which there is room.
}

// join makes a shard wait in the queue, and reports whether it didn't before.
func (cr *carrier) join(sh int) bool {
	qe := &cr.queueing
	if qe.places == nil {
		qe.places = make([]*place, len(cr.services))
		qe.woken = make(chan int, len(cr.services))
	}
	if qe.places[sh] == nil {
		// The carrier goes on to change its own list of those that were tried.
		tried := slices.Clone(cr.tried[sh])
		qe.places[sh] = &place{service: cr.services[sh], shard: sh, since: cr.ca.start, tried: tried, woken: qe.woken}
	}
	return cr.ca.sv.qu.join(qe.places[sh])
}

// unqueue takes a shard out of the queue, as it is asked or given up.
func (cr *carrier) unqueue(sh int) {
	if qe := &cr.queueing; qe.places != nil && qe.places[sh] != nil {
		cr.ca.sv.qu.leave(qe.places[sh])
		qe.places[sh] = nil
	}
}

// roomFor takes that there is room for a shard.
func (cr *carrier) roomFor(sh int) {
	if cr.qu.NeedsAttempt(sh) {
		cr.qu.RetryNow(cr.ca.sv.ts.Now(), sh)
		return
	}
	cr.unqueue(sh)
	cr.ca.sv.qu.wake(cr.services[sh], "")
}

// leaveQueue takes all shards out of the queue when the request is over. Room that
// one of them was told of and has not used goes to the next; lost, it would lie idle
// until somebody looks.
func (cr *carrier) leaveQueue() {
	for _, pl := range cr.queueing.places {
		if pl != nil && !cr.ca.sv.qu.leave(pl) {
			cr.ca.sv.qu.wake(pl.service, "")
		}
	}
}
