package trail

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwinch.example/timer"
)

// fakeOutput is the output of a log. It records each write and blocks writes while it is
// stalled.
type fakeOutput struct {
	mu      sync.Mutex
	writes  [][]byte
	blocked chan struct{} // if not nil, writes wait until it is closed
	err     error
}

func (fo *fakeOutput) Write(data []byte) (int, error) {
	fo.mu.Lock()
	blocked := fo.blocked
	fo.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.writes = append(fo.writes, bytes.Clone(data))
	return len(data), fo.err
}

func (fo *fakeOutput) stall() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fo.blocked = make(chan struct{})
}

func (fo *fakeOutput) resume() {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	close(fo.blocked)
	fo.blocked = nil
}

func (fo *fakeOutput) count() int {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return len(fo.writes)
}

// lines returns the event of each line written, with the values of the given fields.
func (fo *fakeOutput) lines(t *testing.T, fields ...string) []string {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	var out []string
	for _, li := range strings.Split(strings.TrimSuffix(string(bytes.Join(fo.writes, nil)), "\n"), "\n") {
		if li == "" {
			continue
		}
		var va map[string]any
		qt.Assert(t, json.Unmarshal([]byte(li), &va), qt.IsNil, qt.Commentf("%q", li))
		text := va["Event"].(string)
		for _, na := range fields {
			if fi, ok := va[na]; ok {
				data, _ := json.Marshal(fi)
				text += " " + string(data)
			}
		}
		out = append(out, text)
	}
	return out
}

func TestLineFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fo := &fakeOutput{}
		lg, wr := New(fo, Config{Instance: "entry-1"}, timer.New())
		lg.With(zap.Int("Part", 3)).Info("configuration-in-force", zap.Uint64("Version", 7), zap.Duration("Took", 1500*time.Millisecond))
		lg.Debug("not-written")
		qt.Assert(t, wr.Close(), qt.IsNil)
		qt.Assert(t, string(fo.writes[0]), qt.Equals,
			`{"Level":"info","Time":"2000-01-01T00:00:00Z","Event":"configuration-in-force","Instance":"entry-1","Part":3,"Version":7,"Took":1.5}`+"\n")
		qt.Assert(t, fo.count(), qt.Equals, 1)
	})
}

// Lines within a short time are written together, because a write costs as much processor time
// as many lines. A large batch is written at once.
func TestLinesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fo := &fakeOutput{}
		lg, wr := New(fo, Config{BatchBytes: 1000}, timer.New())
		for range 3 {
			lg.Info("small")
			time.Sleep(15 * time.Millisecond)
		}
		synctest.Wait()
		qt.Assert(t, fo.count(), qt.Equals, 0)
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
		qt.Assert(t, fo.count(), qt.Equals, 1)
		lg.Info("large", zap.String("Text", strings.Repeat("x", 1000)))
		synctest.Wait()
		qt.Assert(t, fo.count(), qt.Equals, 2)
		lg.Info("last")
		qt.Assert(t, wr.Close(), qt.IsNil)
		qt.Assert(t, fo.count(), qt.Equals, 3)
		qt.Assert(t, fo.lines(t), qt.DeepEquals, []string{"small", "small", "small", "large", "last"})
		lg.Info("after the end")
		time.Sleep(time.Minute)
		qt.Assert(t, fo.count(), qt.Equals, 3)
	})
}

// Other processes write to the same pipe. A line that is interrupted by another is lost; a
// pipe accepts up to 4096 bytes without interruption.
func TestWritesAreWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fo := &fakeOutput{}
		lg, wr := New(fo, Config{Rate: Rate{PerSecond: 1e6, Burst: 1e6}}, timer.New())
		for size := range 300 {
			lg.Info("line", zap.String("Text", strings.Repeat("x", size)))
		}
		texts := make([]string, 20)
		for ix := range texts {
			texts[ix] = strings.Repeat("x", maxAtomicWrite/10)
		}
		lg.Info("long", zap.Strings("Texts", texts))
		lg.Info("last")
		qt.Assert(t, wr.Close(), qt.IsNil)
		long := 0
		for _, data := range fo.writes {
			qt.Check(t, bytes.HasSuffix(data, []byte("}\n")), qt.IsTrue)
			if len(data) > maxAtomicWrite {
				long++
				qt.Check(t, bytes.Count(data, []byte("\n")), qt.Equals, 1)
			}
		}
		qt.Assert(t, long, qt.Equals, 1)
		qt.Assert(t, fo.lines(t), qt.HasLen, 302)
	})
}

// A thousand requests fail in one second. Each line costs processor time that the requests
// need, and the later ones say nothing new, but the number of lines left out must be reported.
func TestRateLimitPerEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fo := &fakeOutput{}
		lg, wr := New(fo, Config{Rate: Rate{PerSecond: 2, Burst: 3}, WarnRate: Rate{PerSecond: 2, Burst: 5}}, timer.New())
		for range 10 {
			lg.Info("answered")
			lg.Warn("failed")
		}
		lg.Info("other")
		time.Sleep(time.Second)
		synctest.Wait()
		lg.Info("answered")
		lg.Info("answered")
		lg.Info("answered")
		qt.Assert(t, wr.Close(), qt.IsNil)
		qt.Assert(t, fo.lines(t, "Of", "Count"), qt.DeepEquals, []string{
			"answered", "failed", "answered", "failed", "answered", "failed", "failed", "failed", "other",
			`lines-left-out "answered" 7`, `lines-left-out "failed" 5`,
			"answered", "answered", `lines-left-out "answered" 1`,
		})
		qt.Assert(t, wr.Stats(), qt.Equals, Stats{Written: 14, LeftOut: 13})
		time.Sleep(time.Minute)
		qt.Assert(t, fo.lines(t), qt.HasLen, 14)
	})
}

// The reader of the log stops for some seconds, for example because a disk is full. The
// process must not slow down or exceed its memory bounds. Once the log is read again, it must
// say where and how many lines are missing.
func TestStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fo := &fakeOutput{}
		fo.stall()
		cf := Config{QueueBytes: 2000, Rate: Rate{PerSecond: 1e6, Burst: 1e6}}
		lg, wr := New(fo, cf, timer.New())
		lg.Info("first")
		time.Sleep(time.Second)
		for range 10_000 {
			lg.Info("line", zap.String("Text", strings.Repeat("x", 100)))
		}
		synctest.Wait()
		qt.Assert(t, fo.count(), qt.Equals, 0)
		qt.Assert(t, len(wr.queue) <= cf.QueueBytes, qt.IsTrue)
		dropped := wr.Stats().Dropped
		qt.Assert(t, dropped > 9_980 && dropped < 10_000, qt.IsTrue, qt.Commentf("%d", dropped))
		fo.resume()
		synctest.Wait()
		lg.Info("last")
		qt.Assert(t, wr.Close(), qt.IsNil)
		lines := fo.lines(t, "Count", "Bytes")
		qt.Assert(t, lines[0], qt.Equals, "first")
		qt.Assert(t, lines[1], qt.Equals, "line")
		report := lines[len(lines)-2]
		qt.Assert(t, report, qt.Matches, `lines-dropped \d+ \d+`)
		qt.Assert(t, lines[len(lines)-1], qt.Equals, "last")
		qt.Assert(t, len(lines)-3+int(dropped), qt.Equals, 10_000)
		qt.Assert(t, strings.Fields(report)[1], qt.Equals, formatNumber(dropped))
	})
}

func formatNumber(va uint64) string {
	data, _ := json.Marshal(va)
	return string(data)
}

// The reader of the log stops forever while lines are left out every second. The reports about
// them must not accumulate, and closing the log must not hang.
func TestReaderStallsForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fo := &fakeOutput{}
		fo.stall()
		cf := Config{QueueBytes: 500, Rate: Rate{PerSecond: 1, Burst: 1}}
		lg, wr := New(fo, cf, timer.New())
		for range 1000 {
			lg.Info("line", zap.String("Text", strings.Repeat("x", 100)))
			lg.Info("line")
			time.Sleep(time.Second)
		}
		qt.Assert(t, len(wr.queue)+wr.inFlightBytes < 1000, qt.IsTrue)
		start := time.Now()
		qt.Assert(t, wr.Close(), qt.Equals, ErrStalled)
		qt.Assert(t, time.Since(start), qt.Equals, defaultCloseTimeout)
		qt.Assert(t, wr.Close(), qt.Equals, ErrStalled)
		fo.resume()
		synctest.Wait()
		qt.Assert(t, strings.Join(fo.lines(t, "Count"), "\n"), qt.Contains, "lines-left-out ")
	})
}

// The reader has closed its end. The process must continue and count the lost lines.
func TestFailedWritesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fo := &fakeOutput{err: errors.New("closed")}
		lg, wr := New(fo, Config{}, timer.New())
		lg.Info("one")
		time.Sleep(time.Second)
		lg.Info("two")
		qt.Assert(t, wr.Close(), qt.IsNil)
		qt.Assert(t, wr.Stats(), qt.Equals, Stats{Written: 2, Failed: 2})
		var bu bytes.Buffer
		wr.WriteMetrics(&bu)
		qt.Assert(t, bu.String(), qt.Equals, "balsamwinch_log_lines_total 2\nbalsamwinch_log_lines_left_out_total 0\n"+
			"balsamwinch_log_lines_dropped_total 0\nbalsamwinch_log_writes_failed_total 2\n")
	})
}

// An event made up from data would otherwise get a bucket for each value.
func TestEventsAreBounded(t *testing.T) {
	bs := newBuckets(Rate{PerSecond: 1, Burst: 1})
	now := time.Unix(1000, 0)
	taken := 0
	for number := range 2 * maxEvents {
		if bs.take(zapcore.Entry{Message: "event " + strings.Repeat("x", number), Time: now}) {
			taken++
		}
	}
	qt.Assert(t, taken, qt.Equals, maxEvents+1)
	qt.Assert(t, len(bs.byEvent), qt.Equals, maxEvents+1)
	qt.Assert(t, bs.byEvent[otherEvents].leftOut, qt.Equals, uint64(maxEvents-1))
}

// The wall clock is set back while the process runs. Lines must not be held back until the
// clock has caught up.
func TestTakeAfterClockSetBack(t *testing.T) {
	bu := &bucket{tokens: 1, at: time.Unix(1000, 0)}
	ra := Rate{PerSecond: 1, Burst: 1}
	qt.Assert(t, bu.take(time.Unix(1000, 0), ra), qt.IsTrue)
	qt.Assert(t, bu.take(time.Unix(500, 0), ra), qt.IsFalse)
	qt.Assert(t, bu.take(time.Unix(501, 0), ra), qt.IsTrue)
}

func BenchmarkLine(b *testing.B) {
	lg, wr := New(&discard{}, Config{Rate: Rate{PerSecond: 1e9, Burst: 1e9}}, timer.New())
	b.ReportAllocs()
	for b.Loop() {
		if ce := lg.Check(zap.InfoLevel, "request-answered"); ce != nil {
			ce.Write(zap.String("RequestID", "6263dad916613ad5"), zap.Int("Status", 200), zap.Int("Millis", 87))
		}
	}
	_ = wr.Close()
}

func BenchmarkLineLeftOut(b *testing.B) {
	lg, wr := New(&discard{}, Config{Rate: Rate{PerSecond: 1, Burst: 1}}, timer.New())
	b.ReportAllocs()
	for b.Loop() {
		if ce := lg.Check(zap.InfoLevel, "request-answered"); ce != nil {
			ce.Write(zap.String("RequestID", "6263dad916613ad5"))
		}
	}
	_ = wr.Close()
}

type discard struct{}

func (*discard) Write(data []byte) (int, error) { return len(data), nil }
