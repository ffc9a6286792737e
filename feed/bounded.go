package feed

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Bounds of the log lines about single backend servers and entry instances.
const (
	logRate  = 5  // logRate is how many lines a second are written in the long run.
	logBurst = 40 // logBurst is how many lines are written at once.
)

// bounded writes log lines up to a rate and counts the others. Hundreds of
// backend servers may come at once, and writing a line costs as much as serving
// part of a request.
type bounded struct {
	lg      *zap.Logger
	li      *rate.Limiter
	skipped int
}

func newBounded(lg *zap.Logger) *bounded {
	return &bounded{lg: lg, li: rate.NewLimiter(logRate, logBurst)}
}

// info writes a line, or counts it as skipped. The next line that is written
// says how many were.
func (bo *bounded) info(now time.Time, event string, fields ...zap.Field) {
	if !bo.li.AllowN(now, 1) {
		bo.skipped++
		return
	}
	if bo.skipped > 0 {
		fields = append(fields, zap.Int("SkippedLines", bo.skipped))
		bo.skipped = 0
	}
	bo.lg.Info(event, fields...)
}
