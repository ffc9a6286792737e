package upstream

import (
	"context"
	"sync"
	"time"
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// group is a context and the exchanges that are interrupted when it ends.
type group struct {
	context.Context

	mu    sync.Mutex
	ended bool
	exs   []*exchange
}

// WithCancel returns a context as context.WithCancelCause does. Requests that are
// ended together are given the same one: watching it costs Do next to nothing.
func WithCancel(parent context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	gr := &group{Context: ctx}
	context.AfterFunc(ctx, gr.end)
	return gr, cancel
}

// groupOf returns the group that a context is, or one of its own, and a function
// that ends its use.
func groupOf(ctx context.Context) (*group, func() bool) {
	if gr, ok := ctx.(*group); ok {
		return gr, func() bool { return true }
	}
	gr := &group{Context: ctx}
	return gr, context.AfterFunc(ctx, gr.end)
}

// end interrupts the exchanges.
func (gr *group) end() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.ended = true
	for _, ex := range gr.exs {
		ex.setDeadline(past)
	}
}

// enter has an exchange interrupted when the context ends, at once if it has.
func (gr *group) enter(ex *exchange) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	ex.place = len(gr.exs)
	gr.exs = append(gr.exs, ex)
	if gr.ended {
		ex.setDeadline(past)
	}
}

// leave makes sure that an exchange is not interrupted any more: an interruption
// that comes once the connection went to another request would hit that one. It
// waits for one under way, which the lock tells.
func (gr *group) leave(ex *exchange) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	last := len(gr.exs) - 1
	gr.exs[ex.place] = gr.exs[last]
	gr.exs[ex.place].place = ex.place
	gr.exs[last] = nil
	gr.exs = gr.exs[:last]
}
