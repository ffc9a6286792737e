package tier

import (
	"context"
	"math"
	"time"
)

const (
	// targetMergedInFlight is the mean number of merged requests in flight that an entry
	// instance should have. The parts of a request share its link and its processor: at
	// 0.2, one request in six overlaps another (M/M/1), and 63 parts of 1,400 bytes
	// occupy a link of 20 Mbit/s for 35 ms each time.
	targetMergedInFlight = 0.2
	// loadInterval is how often an instance measures its load.
	loadInterval = 500 * time.Millisecond
	// loadWeight is the EWMA weight of a new measurement. Queries are rare and arrive at
	// random, so a single measurement says little.
	loadWeight = 0.25
	// A change of the load by minLoadChange is reported at once, a smaller one after
	// loadRefreshInterval.
	minLoadChange       = 0.15
	loadRefreshInterval = 5 * time.Second
)

// loadMeter measures the load of an entry instance relative to targetMergedInFlight, and
// decides when to report it.
type loadMeter struct {
	load, reported float64
	reportedAt     time.Time
	lastMergedTime time.Duration // total at the last update
	lastAt         time.Time
}

// update records the total time for which merged requests were in flight so far, and
// reports whether the load should be sent.
func (lm *loadMeter) update(now time.Time, mergedTime time.Duration) bool {
	span := now.Sub(lm.lastAt)
	if span <= 0 {
		return false
	}
	seen := float64(mergedTime-lm.lastMergedTime) / float64(span) / targetMergedInFlight
	lm.lastAt, lm.lastMergedTime = now, mergedTime
	lm.load += loadWeight * (seen - lm.load)
	moved := math.Abs(lm.load - lm.reported)
	if moved < minLoadChange && (now.Sub(lm.reportedAt) < loadRefreshInterval || moved == 0 && !lm.reportedAt.IsZero()) {
		return false
	}
	lm.reported, lm.reportedAt = lm.load, now
	return true
}

// sendLoad sends this instance's load to the control instances until the context ends.
func (en *entry) sendLoad(ctx context.Context) error {
	su := en.ts.Subscribe(loadInterval)
	defer su.Stop()
	lm := loadMeter{lastAt: en.ts.Now()}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-su.C:
			if lm.update(en.ts.Now(), en.gw.MergedRequestTime()) {
				en.su.SetLoad(lm.load)
			}
		}
	}
}
