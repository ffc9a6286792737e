// Package trail writes the log of a process: lines of JSON, one for each
// decision that touches a request or changes what the process believes. It never
// makes the process wait. What the reader of the log doesn't take in time, and
// what of one event is more than its rate, is left out, counted, and said in the
// log itself. The package also reads such lines back (Scan) and puts together
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

// Config says how much may be written. A zero field takes its default.
type Config struct {
	// Instance is the name that each line carries; none if empty.
	Instance string
	// Level is the least level that is written. The zero value is info.
	Level zapcore.Level
	// QueueBytes bounds what waits to be written; default 1 MiB.
	QueueBytes int
	// BatchBytes is how much is written at once without waiting for more;
	// default 32 KiB.
	BatchBytes int
	// BatchDelay is how long a line waits for others; default 50 ms.
	BatchDelay time.Duration
	// CloseWithin bounds how long Close waits for the reader; default 500 ms.
	CloseTimeout time.Duration
	// AtOnceWithin bounds how long a line with the field AtOnce waits for the
	// reader; default 20 ms.
	SyncTimeout time.Duration
	// Rate bounds the lines of each event up to the level info.
	Rate Rate
	// LoudRate bounds the lines of each event from the level warn on.
	WarnRate Rate
}

// Rate bounds lines. A zero field takes its default.
type Rate struct {
	PerSecond int // PerSecond is how many a second in the long run; default 30, loud 100.
	Burst     int // Burst is how many at once; default 60, loud 300.
}

// Defaults of Config.
const (
	defaultQueueBytes   = 1 << 20
	defaultBatchBytes   = 32 << 10
	defaultBatchDelay   = 50 * time.Millisecond
	defaultCloseWithin  = 500 * time.Millisecond
	defaultAtOnceWithin = 20 * time.Millisecond
)

var (
	defaultRate     = Rate{PerSecond: 30, Burst: 60}
	defaultLoudRate = Rate{PerSecond: 100, Burst: 300}
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
		cf.CloseTimeout = defaultCloseWithin
	}
	if cf.SyncTimeout <= 0 {
		cf.SyncTimeout = defaultAtOnceWithin
	}
	cf.Rate = cf.Rate.or(defaultRate)
	cf.WarnRate = cf.WarnRate.or(defaultLoudRate)
	return cf
}

func (ra Rate) or(other Rate) Rate {
	if ra.PerSecond <= 0 {
		ra.PerSecond = other.PerSecond
	}
	if ra.Burst <= 0 {
		ra.Burst = other.Burst
	}
	return ra
}

// The keys that every line has, in this spelling.
const (
	keyTime     = "Time"
	keyLevel    = "Level"
	keyEvent    = "Event"
	keyInstance = "Instance"
	keyStack    = "Stack"
)

// AtOnce returns a field that doesn't show in the line and makes it be written
// before the call returns, so that it outlives a process that is killed right
// after. The call waits for a reader that is slow, for Config.AtOnceWithin at most
// and not again for one that has stalled. It is for lines that say what the process
// has acknowledged and how it lives, not for lines of requests.
func Synchronous() zap.Field { return atOnce }

var atOnce = zap.Field{Key: "AtOnce", Type: zapcore.SkipType}

// The events of the log itself.
const (
	eventLeftOut = "lines-left-out" // Of names the event, Count says how many lines.
	eventDropped = "lines-dropped"  // Count and Bytes say what the reader didn't take in time.
)

// New returns a logger whose lines go to out, and the writer behind it, which is
// to be closed at the end of the process.
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

// With returns a core whose lines carry the fields.
func (co *core) With(fs []zapcore.Field) zapcore.Core {
	en := co.en.Clone()
	for _, fi := range fs {
		fi.AddTo(en)
	}
	return &core{LevelEnabler: co.LevelEnabler, en: en, wr: co.wr}
}

// Check adds the core to an entry that is within its rate. It runs before the
// fields are encoded, so that a line that is left out costs little.
func (co *core) Check(ent zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !co.Enabled(ent.Level) || !co.wr.admit(ent) {
		return ce
	}
	return ce.AddCore(ent, co)
}

// Write encodes a line and queues it.
func (co *core) Write(ent zapcore.Entry, fs []zapcore.Field) error {
	bu, err := co.en.EncodeEntry(ent, fs)
	if err != nil {
		return err
	}
	written := co.wr.append(bu.Bytes(), slices.ContainsFunc(fs, atOnce.Equals))
	bu.Free()
	if ent.Level > zapcore.ErrorLevel {
		return co.Sync() // The process ends after this line.
	}
	if written != nil {
		co.wr.await(written)
	}
	return nil
}

// Sync waits until what is queued is written, for Config.CloseWithin at most.
func (co *core) Sync() error { return co.wr.Flush() }

// clock is the timer service as zap wants it.
type clock struct{ ts *timer.Service }

// Now returns the time of a line.
func (cl clock) Now() time.Time { return cl.ts.Now() }

// NewTicker returns a ticker; the logger itself uses none.
func (clock) NewTicker(du time.Duration) *time.Ticker { return time.NewTicker(du) }
