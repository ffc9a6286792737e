package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"balsamwinch.example/timer"
)

// maxOutstanding bounds the queries that wait for an answer, so that a tier
// that never answers can't fill the memory of the machine.
const maxOutstanding = 50_000

// Drive fires each arrival at its intended time, start plus At, and returns
// once every one has come back. It never waits for an answer before the next
// arrival: a query that is due while the tier stalls is late from its intended
// start on, and counts so. A loop that waits sends fewer queries exactly while
// the tier is slow and hides the stall (coordinated omission).
//
// It returns how many arrivals were dropped because too many were outstanding
// or the context had ended.
func Drive(ctx context.Context, ts *timer.Service, start time.Time, ars []Arrival, fire func(ar Arrival, intended time.Time)) int {
	var wg sync.WaitGroup
	var outstanding atomic.Int64
	dropped := 0
	for _, ar := range ars {
		intended := start.Add(ar.At)
		_ = ts.Sleep(ctx, intended.Sub(ts.Now()))
		if ctx.Err() != nil || outstanding.Load() >= maxOutstanding {
			dropped++
			continue
		}
		outstanding.Add(1)
		wg.Go(func() {
			defer outstanding.Add(-1)
			fire(ar, intended)
		})
	}
	wg.Wait()
	return dropped
}
