package tier

import (
	"context"
	"math"
	"time"
)

const (
	// rightMerging is how many merged requests an entry instance should have under way
	// in the mean. Their parts share its link and its processor: at 0.2 one request in six
	// meets another (M/M/1), and 63 parts of 1,400 bytes hold a link of 20 Mbit/s for
	// 35 ms each time.
	rightMerging = 0.2
	// loadPeriod is how often an instance looks at what it carries.
	loadPeriod = 500 * time.Millisecond
	// loadGain is the weight of a new look. Queries come seldom and at random, so that
	// a single look says little.
	loadGain = 0.25
	// loadStep and loadAgain are by how much what it carries must change to be
	// told, and after how long a smaller change is.
	loadStep  = 0.15
	loadAgain = 5 * time.Second
)

// loadMeter measures what an entry instance carries, as a part of what it should, and what it
// told of it.
type loadMeter struct {
	load, told float64
	toldAt     time.Time
	merging    time.Duration // merging is the sum at the last look.
	at         time.Time
}

// look takes in the sum of the time that merged requests were under way, and reports
// whether the load is to be told.
func (lm *loadMeter) look(now time.Time, merging time.Duration) bool {
	span := now.Sub(lm.at)
	if span <= 0 {
		return false
	}
	seen := float64(merging-lm.merging) / float64(span) / rightMerging
	lm.at, lm.merging = now, merging
	lm.load += loadGain * (seen - lm.load)
	moved := math.Abs(lm.load - lm.told)
	if moved < loadStep && (now.Sub(lm.toldAt) < loadAgain || moved == 0 && !lm.toldAt.IsZero()) {
		return false
	}
	lm.told, lm.toldAt = lm.load, now
	return true
}

// tellLoad tells the control instances what this instance carries until the context
// ends.
func (en *entry) tellLoad(ctx context.Context) error {
	su := en.ts.Subscribe(loadPeriod)
	defer su.Stop()
	lm := loadMeter{at: en.ts.Now()}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-su.C:
			if lm.look(en.ts.Now(), en.gw.MergedRequestTime()) {
				en.su.SetLoad(lm.load)
			}
		}
	}
}
