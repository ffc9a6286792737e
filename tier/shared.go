package tier

import (
	"context"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"balsamwinch.example/trail"
)

// shared holds the settings in force, of which the seeds may change while the
// instance runs.
type shared struct {
	se atomic.Pointer[Settings]
}

func newShared(se Settings) *shared {
	sh := &shared{}
	sh.se.Store(&se)
	return sh
}

// linkSeeds returns the link addresses of the seeds in force.
func (sh *shared) linkSeeds() []string { return sh.se.Load().LinkSeeds() }

// follow takes over settings that were read again. Of these, the seeds and the
// time to live of address lists take effect; all else is fixed from the start.
func (sh *shared) follow(ctx context.Context, changes <-chan Settings, lg *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case se := <-changes:
			was := sh.se.Swap(&se)
			lg.Info("settings-reloaded", zap.Bool("SeedsChanged", !slices.Equal(was.Seeds, se.Seeds)), zap.Strings("Seeds", se.Seeds), trail.AtOnce())
		}
	}
}
