package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// queue holds the shards of requests that wait for capacity at the backend servers of a
// service, the oldest request first.
//
// Without it, each request would poll for capacity. A free connection would stay idle until
// some request polls, and would go to whichever polls first: in a burst, the requests that
// have waited longest would get none in time, although the connections would have sufficed
// for all.
type queue struct {
	numWaiting atomic.Int64 // waiters of all services

	mu      sync.Mutex
	waiters map[string][]*waiter
}

// waiter is a shard of a request that waits for capacity.
type waiter struct {
	service string
	shard   int
	since   time.Time // when the request arrived
	tried   []string  // backend servers that must not be chosen for it
	wakeups chan<- int
}

func newQueue() *queue { return &queue{waiters: make(map[string][]*waiter)} }

// add adds a waiter to the queue of its service, and reports whether it was not queued
// already.
func (qu *queue) add(wt *waiter) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	wts := qu.waiters[wt.service]
	if slices.Contains(wts, wt) {
		return false
	}
	ix, _ := slices.BinarySearchFunc(wts, wt.since, func(other *waiter, since time.Time) int {
		if other.since.After(since) {
			return 1
		}
		return -1 // Behind those with the same arrival time.
	})
	qu.waiters[wt.service] = slices.Insert(wts, ix, wt)
	qu.numWaiting.Add(1)
	return true
}

// cancel removes a waiter and reports whether it was still queued.
func (qu *queue) cancel(wt *waiter) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	ix := slices.Index(qu.waiters[wt.service], wt)
	if ix < 0 {
		return false
	}
	qu.removeAt(wt.service, ix)
	return true
}

func (qu *queue) removeAt(service string, ix int) {
	wts := slices.Delete(qu.waiters[service], ix, ix+1)
	qu.waiters[service] = wts
	if len(wts) == 0 {
		delete(qu.waiters, service)
	}
	qu.numWaiting.Add(-1)
}

// wake wakes the oldest waiter of a service that may use the backend server, which has
// capacity.
func (qu *queue) wake(service, server string) {
	if qu.numWaiting.Load() == 0 {
		return
	}
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for ix, wt := range qu.waiters[service] {
		if !slices.Contains(wt.tried, server) {
			qu.removeAt(service, ix)
			wt.wake()
			return
		}
	}
}

// wakeAll wakes all waiters, since there may be capacity.
func (qu *queue) wakeAll() {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, wts := range qu.waiters {
		for _, wt := range wts {
			wt.wake()
		}
		qu.numWaiting.Add(-int64(len(wts)))
	}
	clear(qu.waiters)
}

// wake notifies the request without blocking. If the channel is full, one wakeup for each
// shard is pending already, or the request has ended.
func (wt *waiter) wake() {
	select {
	case wt.wakeups <- wt.shard:
	default:
	}
}

// waitState holds the waiters of one executor.
type waitState struct {
	waiters []*waiter // by shard; nil if the shard does not wait
	wakeups chan int  // receives shards for which there may be capacity
}

// enqueue makes a shard wait in the queue, and reports whether it did not wait before.
func (ex *executor) enqueue(sh int) bool {
	ws := &ex.waiting
	if ws.waiters == nil {
		ws.waiters = make([]*waiter, len(ex.services))
		ws.wakeups = make(chan int, len(ex.services))
	}
	if ws.waiters[sh] == nil {
		// The executor continues to modify its own slice.
		tried := slices.Clone(ex.tried[sh])
		ws.waiters[sh] = &waiter{service: ex.services[sh], shard: sh, since: ex.ca.start, tried: tried, wakeups: ws.wakeups}
	}
	return ex.ca.sv.qu.add(ws.waiters[sh])
}

// dequeue removes a shard from the queue when it is asked or given up.
func (ex *executor) dequeue(sh int) {
	if ws := &ex.waiting; ws.waiters != nil && ws.waiters[sh] != nil {
		ex.ca.sv.qu.cancel(ws.waiters[sh])
		ws.waiters[sh] = nil
	}
}

// capacityFreed lets a shard try again, or passes the wakeup on if the shard no longer
// needs an attempt.
func (ex *executor) capacityFreed(sh int) {
	if ex.qu.NeedsAttempt(sh) {
		ex.qu.RetryNow(ex.ca.sv.ts.Now(), sh)
		return
	}
	ex.dequeue(sh)
	ex.ca.sv.qu.wake(ex.services[sh], "")
}

// leaveQueue removes all shards from the queue when the request has ended. A wakeup that
// was not used goes to the next waiter; otherwise the capacity would stay idle until some
// request polls.
func (ex *executor) leaveQueue() {
	for _, wt := range ex.waiting.waiters {
		if wt != nil && !ex.ca.sv.qu.cancel(wt) {
			ex.ca.sv.qu.wake(wt.service, "")
		}
	}
}
