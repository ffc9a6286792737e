package limit

import (
	"slices"
	"time"

	"balsamwinch.example/backend"
)

// Waiter waits for room at one of several servers. It must be closed.
type Waiter struct {
	room chan struct{}
	ens  []*entry
}

// Await returns a Waiter for the candidates that are not excluded. Requests
// that wait for the same server are told in the order in which they came.
func (ta *Table) NewWaiter(now time.Time, candidates []backend.Record, exclude []string) *Waiter {
	wa := &Waiter{room: make(chan struct{}, 1)}
	for ix := range candidates {
		if slices.Contains(exclude, candidates[ix].Server) {
			continue
		}
		en := ta.entry(now, &candidates[ix])
		wa.ens = append(wa.ens, en)
		en.mu.Lock()
		en.waiters = append(en.waiters, wa)
		en.mu.Unlock()
	}
	return wa
}

// Room returns a channel that receives once when a server may have room.
func (wa *Waiter) Available() <-chan struct{} {
	return wa.room
}

// Close ends the wait. Word of room that was not taken goes to the next waiter.
func (wa *Waiter) Close() {
	for _, en := range wa.ens {
		en.mu.Lock()
		if ix := slices.Index(en.waiters, wa); ix >= 0 {
			en.waiters = slices.Delete(en.waiters, ix, ix+1)
		}
		en.mu.Unlock()
	}
	select {
	case <-wa.room:
		for _, en := range wa.ens {
			en.mu.Lock()
			en.tell()
			en.mu.Unlock()
		}
	default:
	}
}

// tell tells the first waiter that the server may have room.
func (en *entry) tell() {
	for len(en.waiters) > 0 {
		wa := en.waiters[0]
		en.waiters = en.waiters[1:]
		select {
		case wa.room <- struct{}{}:
			return
		default: // told by another server already
		}
	}
}
