package tier

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/timer"
	"balsamwinch.example/trail"
)

// watchInterval is how often the settings file is read. It may change without a signal.
const watchInterval = time.Second

// Watch reloads a settings file, at each watchInterval and at once when reload receives,
// and sends changed settings to out. A file that can't be read or is invalid is skipped,
// so that the last valid settings stay in force; an invalid one is logged once.
func Watch(ctx context.Context, ts *timer.Service, file string, reload <-chan os.Signal, out chan<- Settings, lg *zap.Logger) {
	last, _ := os.ReadFile(file)
	su := ts.Subscribe(watchInterval)
	defer su.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			lg.Info("reload-asked")
		case <-su.C:
		}
		data, err := os.ReadFile(file)
		if err != nil || bytes.Equal(data, last) {
			continue
		}
		last = data
		se, err := Parse(file, data)
		if err != nil {
			lg.Warn("settings-refused", zap.Error(err), trail.Synchronous())
			continue
		}
		select {
		case out <- se:
		case <-ctx.Done():
			return
		}
	}
}
