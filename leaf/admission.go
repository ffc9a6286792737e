package leaf

import (
	"sync"
)

// maxEarlyCancels bounds the remembered Cancels of unknown requests.
const maxEarlyCancels = 1024

// admission holds the accepted requests of a Leaf: those in its slots and those that wait for
// one.
type admission struct {
	slots     chan struct{}
	maxQueued int

	mu           sync.Mutex
	draining     bool // no more requests are accepted
	queued       int
	jobs         map[string]*job
	earlyCancels map[string]bool // IDs of Cancels that arrived before their request
	earlyOrder   []string        // keys of earlyCancels, oldest first
	drained      chan struct{}   // closed when no job is left; nil if nothing waits for that
}

// job is an accepted request.
type job struct {
	id      string
	stop    chan struct{} // closed when the request is cancelled
	stopped bool
}

// admitResult tells whether a request is accepted, or why not.
type admitResult string

const (
	admitted          admitResult = "Taken"
	rejectedFull      admitResult = "Full"
	rejectedDraining  admitResult = "Closed"
	rejectedCancelled admitResult = "Early" // its Cancel arrived first
)

func newAdmission(slots, maxQueued int) *admission {
	return &admission{
		slots: make(chan struct{}, slots), maxQueued: maxQueued,
		jobs: make(map[string]*job), earlyCancels: make(map[string]bool),
	}
}

// admit accepts a request into a slot or the queue. If queued is true, the request is accepted
// but has no slot yet; the caller then waits on slots.
func (ad *admission) admit(id string) (jb *job, queued bool, ar admitResult) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if ad.draining {
		return nil, false, rejectedDraining
	}
	if ad.earlyCancels[id] {
		return nil, false, rejectedCancelled
	}
	jb = &job{id: id, stop: make(chan struct{})}
	select {
	case ad.slots <- struct{}{}:
	default:
		if ad.queued >= ad.maxQueued {
			return nil, false, rejectedFull
		}
		ad.queued++
		queued = true
	}
	ad.jobs[id] = jb
	return jb, queued, admitted
}

// dequeue ends the wait of a job for a slot.
func (ad *admission) dequeue() {
	ad.mu.Lock()
	ad.queued--
	ad.mu.Unlock()
}

// finish removes a job and frees its slot if it had one.
func (ad *admission) finish(jb *job, hasSlot bool) {
	if hasSlot {
		<-ad.slots
	}
	ad.mu.Lock()
	defer ad.mu.Unlock()
	if ad.jobs[jb.id] == jb {
		delete(ad.jobs, jb.id)
	}
	if len(ad.jobs) == 0 && ad.drained != nil {
		close(ad.drained)
		ad.drained = nil
	}
}

// cancel stops a request and reports whether it has no slot and never will have one. An
// unknown request may still be in flight behind its Cancel; it is rejected when it arrives.
func (ad *admission) cancel(id string) bool {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	jb, ok := ad.jobs[id]
	if !ok {
		ad.rememberCancel(id)
		return true
	}
	if !jb.stopped {
		jb.stopped = true
		close(jb.stop)
	}
	return false
}

func (ad *admission) rememberCancel(id string) {
	if ad.earlyCancels[id] {
		return
	}
	if len(ad.earlyOrder) == maxEarlyCancels {
		delete(ad.earlyCancels, ad.earlyOrder[0])
		ad.earlyOrder = ad.earlyOrder[1:]
	}
	ad.earlyCancels[id] = true
	ad.earlyOrder = append(ad.earlyOrder, id)
}

// drain rejects further requests, and returns a channel that is closed once the accepted ones
// have ended.
func (ad *admission) drain() <-chan struct{} {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ad.draining = true
	done := make(chan struct{})
	if len(ad.jobs) == 0 {
		close(done)
		return done
	}
	if ad.drained == nil {
		ad.drained = done
	}
	return ad.drained
}

func (ad *admission) numRunning() int {
	return len(ad.slots)
}

func (ad *admission) numQueued() int {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.queued
}
