package upstream

import (
	"runtime"
	"sync"
)

// freeBodyBytes is the part of each body that isn't charged to the memory of all.
const freeBodyBytes = maxPreallocation

// bodyMemory bounds the bytes of all bodies that are being received or held by callers of the
// client. A body may grow while there is room, and after that up to an equal share, so that
// bodies without end don't keep others from being received. It is safe for concurrent use.
type bodyMemory struct {
	limit int

	mu      sync.Mutex
	used    int
	holders int // bodies that are charged
}

// reserve charges a body that holds some bytes for a new total. It returns the bytes that the
// body holds then, and false if there is no room.
func (bm *bodyMemory) reserve(held, total int) (int, bool) {
	if total <= max(held, freeBodyBytes) {
		return held, true
	}
	bm.mu.Lock()
	defer bm.mu.Unlock()
	holders := bm.holders
	if held == 0 {
		holders++
	}
	if bm.used+total-held > bm.limit && total > bm.limit/holders {
		return held, false
	}
	bm.used += total - held
	bm.holders = holders
	return total, true
}

// release returns what a body holds.
func (bm *bodyMemory) release(held int) {
	if held == 0 {
		return
	}
	bm.mu.Lock()
	defer bm.mu.Unlock()
	bm.used -= held
	bm.holders--
}

// charge is what a complete reply holds of the memory.
type charge struct {
	bm   *bodyMemory
	held int
	once sync.Once
}

func (ch *charge) release() { ch.once.Do(func() { ch.bm.release(ch.held) }) }

// keep moves what the exchange holds to its reply. Replies that callers drop without Recycle
// are released with their memory.
func (ex *exchange) keep(ry *Reply) {
	if ex.reserved == 0 {
		return
	}
	ry.charge = &charge{bm: &ex.cl.memory, held: ex.reserved}
	ex.reserved = 0
	runtime.AddCleanup(ry, (*charge).release, ry.charge)
}
