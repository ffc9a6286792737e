package upstream

import (
	"context"
	"sync"
	"time"
)

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// cancelGroup is a context with the exchanges that are interrupted when it ends.
type cancelGroup struct {
	context.Context

	mu       sync.Mutex
	canceled bool
	exs      []*exchange
}

// WithCancel is like context.WithCancelCause. Requests that are cancelled together should
// share the context: Do then watches it at almost no cost.
func WithCancel(parent context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	gr := &cancelGroup{Context: ctx}
	context.AfterFunc(ctx, gr.interruptAll)
	return gr, cancel
}

// groupOf returns the context itself if it is a group, or else a new group for it, and a
// function to call when the group is no longer used.
func groupOf(ctx context.Context) (*cancelGroup, func() bool) {
	if gr, ok := ctx.(*cancelGroup); ok {
		return gr, func() bool { return true }
	}
	gr := &cancelGroup{Context: ctx}
	return gr, context.AfterFunc(ctx, gr.interruptAll)
}

// interruptAll interrupts the exchanges.
func (gr *cancelGroup) interruptAll() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.canceled = true
	for _, ex := range gr.exs {
		ex.setDeadline(pastDeadline)
	}
}

// add adds an exchange, which is interrupted when the context ends, or at once if it has
// ended.
func (gr *cancelGroup) add(ex *exchange) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	ex.groupIndex = len(gr.exs)
	gr.exs = append(gr.exs, ex)
	if gr.canceled {
		ex.setDeadline(pastDeadline)
	}
}

// remove removes an exchange. The lock makes it wait for an interruption in progress, so
// that none can hit another request that uses the connection later.
func (gr *cancelGroup) remove(ex *exchange) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	last := len(gr.exs) - 1
	gr.exs[ex.groupIndex] = gr.exs[last]
	gr.exs[ex.groupIndex].groupIndex = ex.groupIndex
	gr.exs[last] = nil
	gr.exs = gr.exs[:last]
}
