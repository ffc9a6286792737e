// Package trail writes the log of a process as lines of JSON, one for each decision that
// affects a request or changes what the process knows. It never blocks the process. Lines that
// the reader of the log does not take in time, and lines of an event beyond its rate, are left
// out; the log itself reports how many. The package also parses such lines (Scan) and reports
// what they say about one request (Explain).
package trail

import (
	"io"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwinch.example/timer"
)

// Config bounds the log. A zero field takes its default.
type Config struct {
	// Instance is the instance name in each line; none if empty.
	Instance string
	// Level is the lowest level that is written. The zero value is info.
	Level zapcore.Level
	// QueueBytes bounds the lines waiting to be written; default 1 MiB.
	QueueBytes int
	// BatchBytes is the batch size in bytes at which lines are written without waiting for
	// more; default 32 KiB.
	BatchBytes int
	// BatchDelay is how long a line waits for others; default 50 ms.
	BatchDelay time.Duration
	// CloseTimeout bounds how long Close waits for the reader; default 500 ms.
	CloseTimeout time.Duration
	// SyncTimeout bounds how long a line with the field Synchronous waits for the reader;
	// default 20 ms.
	SyncTimeout time.Duration
	// Rate bounds the lines of each event up to the level info.
	Rate Rate
	// WarnRate bounds the lines of each event from the level warn on.
	WarnRate Rate
}

// Rate bounds lines by a token bucket. A zero field takes its default.
type Rate struct {
	PerSecond int // sustained lines per second; default 30, from the level warn on 100
	Burst     int // lines at once; default 60, from the level warn on 300
}

// Defaults of Config.
const (
	defaultQueueBytes   = 1 << 20
	defaultBatchBytes   = 32 << 10
	defaultBatchDelay   = 50 * time.Millisecond
	defaultCloseTimeout = 500 * time.Millisecond
	defaultSyncTimeout  = 20 * time.Millisecond
)

var (
	defaultRate     = Rate{PerSecond: 30, Burst: 60}
	defaultWarnRate = Rate{PerSecond: 100, Burst: 300}
)

func (cf Config) withDefaults() Config {
	if cf.QueueBytes <= 0 {
		cf.QueueBytes = defaultQueueBytes
	}
	if cf.BatchBytes <= 0 {
		cf.BatchBytes = defaultBatchBytes
	}
	if cf.BatchDelay <= 0 {
		cf.BatchDelay = defaultBatchDelay
	}
	if cf.CloseTimeout <= 0 {
		cf.CloseTimeout = defaultCloseTimeout
	}
	if cf.SyncTimeout <= 0 {
		cf.SyncTimeout = defaultSyncTimeout
	}
	cf.Rate = cf.Rate.withDefaults(defaultRate)
	cf.WarnRate = cf.WarnRate.withDefaults(defaultWarnRate)
	return cf
}

func (ra Rate) withDefaults(defaults Rate) Rate {
	if ra.PerSecond <= 0 {
		ra.PerSecond = defaults.PerSecond
	}
	if ra.Burst <= 0 {
		ra.Burst = defaults.Burst
	}
	return ra
}

// Keys of the fields that every line has.
const (
	keyTime     = "Time"
	keyLevel    = "Level"
	keyEvent    = "Event"
	keyInstance = "Instance"
	keyStack    = "Stack"
)

// Synchronous returns a field that makes the logger write the line before the call returns, so
// that the line survives if the process is killed right after. The field does not appear in
// the line. The call waits for a slow reader for at most Config.SyncTimeout, and not again for
// one that has stalled. It is meant for lines about what the process has acknowledged and
// about its own state, not for lines about requests.
func Synchronous() zap.Field { return synchronous }

var synchronous = zap.Field{Key: "AtOnce", Type: zapcore.SkipType}

// Events about the log itself.
const (
	eventLeftOut = "lines-left-out" // Of is the event, Count the number of lines.
	eventDropped = "lines-dropped"  // Count and Bytes are the lines that the reader did not take in time.
)

// New returns a logger that writes to out, and its writer, which must be closed before the
// process ends.
func New(out io.Writer, cf Config, ts *timer.Service) (*zap.Logger, *Writer) {
	cf = cf.withDefaults()
	en := newEncoder()
	if cf.Instance != "" {
		zap.String(keyInstance, cf.Instance).AddTo(en)
	}
	wr := newWriter(out, cf, ts, en)
	co := &core{LevelEnabler: cf.Level, en: en, wr: wr}
	return zap.New(co, zap.WithClock(clock{ts})), wr
}

func newEncoder() zapcore.Encoder {
	ec := zap.NewProductionEncoderConfig()
	ec.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	ec.EncodeDuration = zapcore.SecondsDurationEncoder
	ec.TimeKey = keyTime
	ec.LevelKey = keyLevel
	ec.MessageKey = keyEvent
	ec.StacktraceKey = keyStack
	return zapcore.NewJSONEncoder(ec)
}

// core encodes lines that are within their rate.
type core struct {
	zapcore.LevelEnabler
	en zapcore.Encoder
	wr *Writer
}

// With returns a core whose lines include the fields.
func (co *core) With(fs []zapcore.Field) zapcore.Core {
	en := co.en.Clone()
	for _, fi := range fs {
		fi.AddTo(en)
	}
	return &core{LevelEnabler: co.LevelEnabler, en: en, wr: co.wr}
}

// Check adds the core to an entry that is within its rate. It runs before the fields are
// encoded, so that a line that is left out costs little.
func (co *core) Check(ent zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !co.Enabled(ent.Level) || !co.wr.admit(ent) {
		return ce
	}
	return ce.AddCore(ent, co)
}

// Write encodes and queues a line.
func (co *core) Write(ent zapcore.Entry, fs []zapcore.Field) error {
	bu, err := co.en.EncodeEntry(ent, boundFields(fs))
	if err != nil {
		return err
	}
	written := co.wr.append(bu.Bytes(), slices.ContainsFunc(fs, synchronous.Equals))
	bu.Free()
	if ent.Level > zapcore.ErrorLevel {
		return co.Sync() // The process ends after this line.
	}
	if written != nil {
		co.wr.awaitWrite(written)
	}
	return nil
}

// Sync waits until all queued lines are written, for at most Config.CloseTimeout.
func (co *core) Sync() error { return co.wr.Flush() }

// clock adapts the timer service to zap.
type clock struct{ ts *timer.Service }

// Now returns the current time.
func (cl clock) Now() time.Time { return cl.ts.Now() }

// NewTicker returns a ticker; the logger does not use it.
func (clock) NewTicker(du time.Duration) *time.Ticker { return time.NewTicker(du) }
