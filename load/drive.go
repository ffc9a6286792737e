package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"balsamwinch.example/timer"
)

// maxInFlight bounds the queries that wait for an answer, so that a tier that never answers
// can't exhaust the memory of the machine.
const maxInFlight = 50_000

// Drive sends each arrival at its intended time, start plus At, and returns once all have
// completed. It never waits for an answer before the next arrival: the latency of a query that
// is due while the tier stalls counts from its intended time. A loop that waits for answers
// sends fewer queries exactly while the tier is slow, which hides the stall (coordinated
// omission).
//
// Drive returns the number of arrivals that were dropped because too many were in flight or
// the context had ended.
func Drive(ctx context.Context, ts *timer.Service, start time.Time, ars []Arrival, send func(ar Arrival, intended time.Time)) int {
	var wg sync.WaitGroup
	var inFlight atomic.Int64
	dropped := 0
	for _, ar := range ars {
		intended := start.Add(ar.At)
		_ = ts.Sleep(ctx, intended.Sub(ts.Now()))
		if ctx.Err() != nil || inFlight.Load() >= maxInFlight {
			dropped++
			continue
		}
		inFlight.Add(1)
		wg.Go(func() {
			defer inFlight.Add(-1)
			send(ar, intended)
		})
	}
	wg.Wait()
	return dropped
}
