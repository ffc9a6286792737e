package upstream

import (
	"runtime"
	"sync"

	"balsamwinch.example/memory"
)

// charge is what a complete reply holds of Client.memory.
type charge struct {
	bu   *memory.Budget
	held int
	once sync.Once
}

func (ch *charge) release() { ch.once.Do(func() { ch.bu.Release(ch.held) }) }

// keep moves what the exchange holds to its reply. Replies that callers drop without Recycle
// are released with their memory.
func (ex *exchange) keep(ry *Reply) {
	if ex.reserved == 0 {
		return
	}
	ry.charge = &charge{bu: ex.cl.memory, held: ex.reserved}
	ex.reserved = 0
	runtime.AddCleanup(ry, (*charge).release, ry.charge)
}
