package leaf

import (
	"sync"
)

// rememberedCancels is how many Cancels of unknown requests are remembered.
const rememberedCancels = 1024

// work is the requests that a Leaf has taken on: those in its slots and those
// that wait for one.
type work struct {
	slots chan struct{}
	queue int

	mu      sync.Mutex
	closed  bool // closed says that no more requests are taken on.
	queued  int
	jobs    map[string]*job
	early   map[string]bool // early holds the ids of Cancels that came before their request.
	order   []string        // order is that of early, oldest first.
	emptied chan struct{}   // emptied is closed when no job is left; nil if nobody waits.
}

// job is one request that was taken on.
type job struct {
	id      string
	stop    chan struct{} // stop is closed when the request is cancelled.
	stopped bool
}

// verdict says whether a request is taken on.
type verdict string

const (
	taken         verdict = "Taken"
	refusedFull   verdict = "Full"
	refusedClosed verdict = "Closed"
	refusedEarly  verdict = "Early" // Its Cancel came first.
)

func newWork(slots, queue int) *work {
	return &work{
		slots: make(chan struct{}, slots), queue: queue,
		jobs: make(map[string]*job), early: make(map[string]bool),
	}
}

// begin takes a request on, into a slot or the queue. If it waits for a slot,
// the job is taken on and wait is true; the caller then waits on slots.
func (wo *work) begin(id string) (jb *job, wait bool, ve verdict) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if wo.closed {
		return nil, false, refusedClosed
	}
	if wo.early[id] {
		return nil, false, refusedEarly
	}
	jb = &job{id: id, stop: make(chan struct{})}
	select {
	case wo.slots <- struct{}{}:
	default:
		if wo.queued >= wo.queue {
			return nil, false, refusedFull
		}
		wo.queued++
		wait = true
	}
	wo.jobs[id] = jb
	return jb, wait, taken
}

// dequeue ends the wait of a job for a slot.
func (wo *work) dequeue() {
	wo.mu.Lock()
	wo.queued--
	wo.mu.Unlock()
}

// end forgets a job, and frees its slot if it had one.
func (wo *work) end(jb *job, slot bool) {
	if slot {
		<-wo.slots
	}
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if wo.jobs[jb.id] == jb {
		delete(wo.jobs, jb.id)
	}
	if len(wo.jobs) == 0 && wo.emptied != nil {
		close(wo.emptied)
		wo.emptied = nil
	}
}

// cancel stops a request and reports whether it holds no slot and never will. A
// request that is not known may still be under way behind its Cancel; it is
// refused when it comes.
func (wo *work) cancel(id string) bool {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	jb, ok := wo.jobs[id]
	if !ok {
		wo.remember(id)
		return true
	}
	if !jb.stopped {
		jb.stopped = true
		close(jb.stop)
	}
	return false
}

func (wo *work) remember(id string) {
	if wo.early[id] {
		return
	}
	if len(wo.order) == rememberedCancels {
		delete(wo.early, wo.order[0])
		wo.order = wo.order[1:]
	}
	wo.early[id] = true
	wo.order = append(wo.order, id)
}

// drain refuses further requests, and returns a channel that is closed once
// those taken on have ended.
func (wo *work) drain() <-chan struct{} {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.closed = true
	done := make(chan struct{})
	if len(wo.jobs) == 0 {
		close(done)
		return done
	}
	if wo.emptied == nil {
		wo.emptied = done
	}
	return wo.emptied
}

func (wo *work) running() int {
	return len(wo.slots)
}

func (wo *work) waiting() int {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.queued
}
