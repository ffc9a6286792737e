package tier

import (
	"context"
	"math/rand/v2"

	"balsamwinch.example/overload"
)

// newLevels returns what an entry instance needs to use the admission levels of all entry
// instances, or nil if the settings disable them.
func newLevels(se Settings) *overload.Client {
	if !se.Overload.Shared {
		return nil
	}
	return overload.NewClient(rand.Float64())
}

// levelsReceived returns the function that applies the levels of control instances, or nil
// if the settings disable them.
func (en *entry) levelsReceived() func(control string, lss []overload.Levels) {
	if en.levels == nil {
		return nil
	}
	return func(control string, lss []overload.Levels) { en.levels.Update(en.ts.Now(), control, lss) }
}

// sendOverload sends this instance's counts of requests to control instances until the
// context ends. Without overload there is nothing to send.
func (en *entry) sendOverload(ctx context.Context) error {
	if en.levels == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	su := en.ts.Subscribe(overload.ReportInterval)
	defer su.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-su.C:
			en.su.SendOverload(en.levels.Take(en.ts.Now()))
		}
	}
}
