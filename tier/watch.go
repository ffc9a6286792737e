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

// watchPeriod is how often the settings file is looked at: it may change
// without a signal.
const watchPeriod = time.Second

// Watch reads a settings file again whenever it has changed, every watchPeriod
// and at once when again receives, and sends what is sound to out. A file that
// can't be used is logged once, and the last good one stays in force.
func Watch(ctx context.Context, ts *timer.Service, file string, again <-chan os.Signal, out chan<- Settings, lg *zap.Logger) {
	last, _ := os.ReadFile(file)
	su := ts.Subscribe(watchPeriod)
	defer su.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
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
			lg.Warn("settings-refused", zap.Error(err), trail.AtOnce())
			continue
		}
		select {
		case out <- se:
		case <-ctx.Done():
			return
		}
	}
}
