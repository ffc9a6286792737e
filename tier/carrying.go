package tier

import (
	"context"
	"math"
	"time"
)

const (
	// rightlyMerging is how many merged requests an entry instance should have under way
	// in the mean. Their parts share its link and its processor: at 0.2 one request in six
	// meets another (M/M/1), and 63 parts of 1,400 bytes hold a link of 20 Mbit/s for
	// 35 ms each time.
	rightlyMerging = 0.2
	// carryingPeriod is how often an instance looks at what it carries.
	carryingPeriod = 500 * time.Millisecond
	// carryingGain is the weight of a new look. Queries come seldom and at random, so that
	// a single look says little.
	carryingGain = 0.25
	// carryingStep and carryingAgain are by how much what it carries must change to be
	// told, and after how long a smaller change is.
	carryingStep  = 0.15
	carryingAgain = 5 * time.Second
)

// carrying is what an entry instance carries, as a part of what it should, and what it
// told of it.
type carrying struct {
	load, told float64
	toldAt     time.Time
	merging    time.Duration // merging is the sum at the last look.
	at         time.Time
}

// look takes in the sum of the time that merged requests were under way, and reports
// whether the load is to be told.
func (ca *carrying) look(now time.Time, merging time.Duration) bool {
	span := now.Sub(ca.at)
	if span <= 0 {
		return false
	}
	seen := float64(merging-ca.merging) / float64(span) / rightlyMerging
	ca.at, ca.merging = now, merging
	ca.load += carryingGain * (seen - ca.load)
	moved := math.Abs(ca.load - ca.told)
	if moved < carryingStep && (now.Sub(ca.toldAt) < carryingAgain || moved == 0 && !ca.toldAt.IsZero()) {
		return false
	}
	ca.told, ca.toldAt = ca.load, now
	return true
}

// tellCarrying tells the control instances what this instance carries until the context
// ends.
func (en *entry) tellCarrying(ctx context.Context) error {
	su := en.ts.Subscribe(carryingPeriod)
	defer su.Stop()
	ca := carrying{at: en.ts.Now()}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-su.C:
			if ca.look(en.ts.Now(), en.gw.Merging()) {
				en.su.SetLoad(ca.load)
			}
		}
	}
}
