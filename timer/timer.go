// Package timer provides the timer service of a process. Components use it instead of timers
// of their own, so that tests control time in one place (testing/synctest replaces the clock
// underneath).
package timer

import (
	"context"
	"sync"
	"time"
)

// Service provides the current time, timeouts and periodic ticks.
type Service struct {
	mu   sync.Mutex
	subs map[*Subscription]struct{}
}

// New returns a timer service.
func New() *Service {
	return &Service{subs: make(map[*Subscription]struct{})}
}

// Now returns the current time with its monotonic reading.
func (se *Service) Now() time.Time {
	return time.Now()
}

// Subscription is a periodic tick. A tick that is not received before the next one is dropped.
type Subscription struct {
	C  <-chan time.Time
	tk *time.Ticker
	se *Service
}

// Subscribe starts a periodic tick. The period must be positive.
func (se *Service) Subscribe(period time.Duration) *Subscription {
	tk := time.NewTicker(period)
	su := &Subscription{C: tk.C, tk: tk, se: se}
	se.mu.Lock()
	se.subs[su] = struct{}{}
	se.mu.Unlock()
	return su
}

// Stop ends the subscription. C is not closed.
func (su *Subscription) Stop() {
	su.tk.Stop()
	su.se.mu.Lock()
	delete(su.se.subs, su)
	su.se.mu.Unlock()
}

// Subscriptions returns the number of active subscriptions.
func (se *Service) Subscriptions() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	return len(se.subs)
}

// Timeout is a one-shot timer that can be reset.
type Timeout struct {
	tm *time.Timer
}

// Timeout calls fn once after the delay, in its own goroutine.
func (se *Service) Timeout(delay time.Duration, fn func()) *Timeout {
	return &Timeout{tm: time.AfterFunc(delay, fn)}
}

// Reset changes the timeout to expire after the given delay.
func (ti *Timeout) Reset(delay time.Duration) {
	ti.tm.Reset(delay)
}

// Stop cancels the timeout and reports whether it had not fired yet.
func (ti *Timeout) Stop() bool {
	return ti.tm.Stop()
}

// Sleep waits for the delay, or until the context ends and returns the context's error.
func (se *Service) Sleep(ctx context.Context, delay time.Duration) error {
	tm := time.NewTimer(delay)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
