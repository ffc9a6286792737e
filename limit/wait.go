package limit

import (
	"slices"
	"time"

	"balsamwinch.example/backend"
)

// Waiter waits until one of several servers has capacity. It must be closed.
type Waiter struct {
	available chan struct{}
	servers   []*serverEntry
}

// NewWaiter returns a Waiter for the candidates that are not excluded. Requests
// that wait for the same server are notified in order of arrival.
func (ta *Table) NewWaiter(now time.Time, candidates []backend.Record, exclude []string) *Waiter {
	wa := &Waiter{available: make(chan struct{}, 1)}
	for ix := range candidates {
		if slices.Contains(exclude, candidates[ix].Server) {
			continue
		}
		en := ta.lookUp(now, &candidates[ix])
		wa.servers = append(wa.servers, en)
		en.mu.Lock()
		en.waiters = append(en.waiters, wa)
		en.mu.Unlock()
	}
	return wa
}

// Available returns a channel that receives once when a server may have
// capacity.
func (wa *Waiter) Available() <-chan struct{} {
	return wa.available
}

// Close ends the wait. A notification that was not received is passed to the
// next waiter.
func (wa *Waiter) Close() {
	for _, en := range wa.servers {
		en.mu.Lock()
		if ix := slices.Index(en.waiters, wa); ix >= 0 {
			en.waiters = slices.Delete(en.waiters, ix, ix+1)
		}
		en.mu.Unlock()
	}
	select {
	case <-wa.available:
		for _, en := range wa.servers {
			en.mu.Lock()
			en.notifyWaiter()
			en.mu.Unlock()
		}
	default:
	}
}

// notifyWaiter notifies the first waiter that the server may have capacity.
func (en *serverEntry) notifyWaiter() {
	for len(en.waiters) > 0 {
		wa := en.waiters[0]
		en.waiters = en.waiters[1:]
		select {
		case wa.available <- struct{}{}:
			return
		default: // already notified by another server
		}
	}
}
