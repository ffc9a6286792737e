package feed

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Limits for log lines about single backend servers and entry instances.
const (
	logRate  = 5  // lines per second in the long run
	logBurst = 40 // lines at once
)

// limitedLogger writes log lines up to a rate and counts the others. Hundreds of backend
// servers may change at once, and writing a line costs as much as serving part of a
// request.
type limitedLogger struct {
	lg      *zap.Logger
	li      *rate.Limiter
	skipped int
}

func newLimitedLogger(lg *zap.Logger) *limitedLogger {
	return &limitedLogger{lg: lg, li: rate.NewLimiter(logRate, logBurst)}
}

// info writes a line, or counts it as skipped. The next line that is written gives the
// number of skipped ones.
func (ll *limitedLogger) info(now time.Time, event string, fields ...zap.Field) {
	if !ll.li.AllowN(now, 1) {
		ll.skipped++
		return
	}
	if ll.skipped > 0 {
		fields = append(fields, zap.Int("SkippedLines", ll.skipped))
		ll.skipped = 0
	}
	ll.lg.Info(event, fields...)
}
