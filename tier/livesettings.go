package tier

import (
	"context"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"balsamwinch.example/trail"
)

// liveSettings holds the settings in force. Some of them may change while the instance
// runs.
type liveSettings struct {
	se atomic.Pointer[Settings]
}

func newLiveSettings(se Settings) *liveSettings {
	ls := &liveSettings{}
	ls.se.Store(&se)
	return ls
}

// linkSeeds returns the link addresses of the current seeds.
func (ls *liveSettings) linkSeeds() []string { return ls.se.Load().LinkSeeds() }

// applyChanges applies reloaded settings until the context ends. Only the seeds and the
// TTL of address lists take effect; all other settings are fixed at the start.
func (ls *liveSettings) applyChanges(ctx context.Context, changes <-chan Settings, lg *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case se := <-changes:
			was := ls.se.Swap(&se)
			lg.Info("settings-reloaded", zap.Bool("SeedsChanged", !slices.Equal(was.Seeds, se.Seeds)), zap.Strings("Seeds", se.Seeds), trail.Synchronous())
		}
	}
}
