// Package memory bounds the memory of bodies from outside: of replies that are received, and of
// calls. Each body is bounded by itself elsewhere; a Budget bounds all of them together.
package memory

import "sync"

// FreeBytes is the size up to which a body isn't charged, so that small ones always find room.
const FreeBytes = 64 << 10

// Budget bounds the bytes of all bodies that are held at the same time. A body may grow while
// there is room, and after that up to an equal share, so that bodies without end don't keep
// others out. It is safe for concurrent use.
type Budget struct {
	limit int

	mu      sync.Mutex
	used    int
	holders int // bodies that are charged
}

// New returns a budget of a number of bytes.
func New(limit int) *Budget { return &Budget{limit: limit} }

// Reserve charges a body that holds some bytes for a new total. It returns the bytes that the
// body holds then, for Release, and false if there is no room.
func (bu *Budget) Reserve(held, total int) (int, bool) {
	if total <= max(held, FreeBytes) {
		return held, true
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	holders := bu.holders
	if held == 0 {
		holders++
	}
	if bu.used+total-held > bu.limit && total > bu.limit/holders {
		return held, false
	}
	bu.used += total - held
	bu.holders = holders
	return total, true
}

// Release returns what a body holds.
func (bu *Budget) Release(held int) {
	if held == 0 {
		return
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.used -= held
	bu.holders--
}

// Used returns the bytes that are charged.
func (bu *Budget) Used() int {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.used
}
