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

// reader is the reader of a log. Each write is noted; while it is held, writes
// wait.
type reader struct {
	mu     sync.Mutex
	writes [][]byte
	hold   chan struct{} // hold makes writes wait until it is closed; nil for none.
	err    error
}

func (re *reader) Write(data []byte) (int, error) {
	re.mu.Lock()
	hold := re.hold
	re.mu.Unlock()
	if hold != nil {
		<-hold
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	re.writes = append(re.writes, bytes.Clone(data))
	return len(data), re.err
}

func (re *reader) stall() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.hold = make(chan struct{})
}

func (re *reader) resume() {
	re.mu.Lock()
	defer re.mu.Unlock()
	close(re.hold)
	re.hold = nil
}

func (re *reader) count() int {
	re.mu.Lock()
	defer re.mu.Unlock()
	return len(re.writes)
}

// lines returns what was written as events with the fields that are asked for.
func (re *reader) lines(t *testing.T, fields ...string) []string {
	re.mu.Lock()
	defer re.mu.Unlock()
	var out []string
	for _, li := range strings.Split(strings.TrimSuffix(string(bytes.Join(re.writes, nil)), "\n"), "\n") {
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

func TestLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		re := &reader{}
		lg, wr := New(re, Config{Instance: "entry-1"}, timer.New())
		lg.With(zap.Int("Part", 3)).Info("configuration-in-force", zap.Uint64("Version", 7), zap.Duration("Took", 1500*time.Millisecond))
		lg.Debug("not-written")
		qt.Assert(t, wr.Close(), qt.IsNil)
		qt.Assert(t, string(re.writes[0]), qt.Equals,
			`{"Level":"info","Time":"2000-01-01T00:00:00Z","Event":"configuration-in-force","Instance":"entry-1","Part":3,"Version":7,"Took":1.5}`+"\n")
		qt.Assert(t, re.count(), qt.Equals, 1)
	})
}

// Lines of a short span go out together, since each write costs the process as
// much as many lines. A batch that is large goes at once.
func TestBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		re := &reader{}
		lg, wr := New(re, Config{BatchBytes: 1000}, timer.New())
		for range 3 {
			lg.Info("small")
			time.Sleep(15 * time.Millisecond)
		}
		synctest.Wait()
		qt.Assert(t, re.count(), qt.Equals, 0)
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
		qt.Assert(t, re.count(), qt.Equals, 1)
		lg.Info("large", zap.String("Text", strings.Repeat("x", 1000)))
		synctest.Wait()
		qt.Assert(t, re.count(), qt.Equals, 2)
		lg.Info("last")
		qt.Assert(t, wr.Close(), qt.IsNil)
		qt.Assert(t, re.count(), qt.Equals, 3)
		qt.Assert(t, re.lines(t), qt.DeepEquals, []string{"small", "small", "small", "large", "last"})
		lg.Info("after the end")
		time.Sleep(time.Minute)
		qt.Assert(t, re.count(), qt.Equals, 3)
	})
}

// The log goes to a pipe that others write to as well. A line that is cut in two
// by theirs is lost; a pipe takes pieces of 4096 bytes whole.
func TestWritesAreWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		re := &reader{}
		lg, wr := New(re, Config{Rate: Rate{PerSecond: 1e6, Burst: 1e6}}, timer.New())
		for size := range 300 {
			lg.Info("line", zap.String("Text", strings.Repeat("x", size)))
		}
		lg.Info("long", zap.String("Text", strings.Repeat("x", 2*wholeBytes)))
		lg.Info("last")
		qt.Assert(t, wr.Close(), qt.IsNil)
		long := 0
		for _, data := range re.writes {
			qt.Check(t, bytes.HasSuffix(data, []byte("}\n")), qt.IsTrue)
			if len(data) > wholeBytes {
				long++
				qt.Check(t, bytes.Count(data, []byte("\n")), qt.Equals, 1)
			}
		}
		qt.Assert(t, long, qt.Equals, 1)
		qt.Assert(t, re.lines(t), qt.HasLen, 302)
	})
}

// A thousand requests fail in one second. Each line costs processor time that
// the requests need, and none tells more than the first ones; how many there
// were must be told all the same.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		re := &reader{}
		lg, wr := New(re, Config{Rate: Rate{PerSecond: 2, Burst: 3}, WarnRate: Rate{PerSecond: 2, Burst: 5}}, timer.New())
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
		qt.Assert(t, re.lines(t, "Of", "Count"), qt.DeepEquals, []string{
			"answered", "failed", "answered", "failed", "answered", "failed", "failed", "failed", "other",
			`lines-left-out "answered" 7`, `lines-left-out "failed" 5`,
			"answered", "answered", `lines-left-out "answered" 1`,
		})
		qt.Assert(t, wr.Stats(), qt.Equals, Stats{Written: 14, LeftOut: 13})
		time.Sleep(time.Minute)
		qt.Assert(t, re.lines(t), qt.HasLen, 14)
	})
}

// Whoever reads the log stops for some seconds, as when a disk is full. The
// process must go on at its pace and within its memory, and once the log is read
// again it must say how much is missing, and where.
func TestStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		re := &reader{}
		re.stall()
		cf := Config{QueueBytes: 2000, Rate: Rate{PerSecond: 1e6, Burst: 1e6}}
		lg, wr := New(re, cf, timer.New())
		lg.Info("first")
		time.Sleep(time.Second)
		for range 10_000 {
			lg.Info("line", zap.String("Text", strings.Repeat("x", 100)))
		}
		synctest.Wait()
		qt.Assert(t, re.count(), qt.Equals, 0)
		qt.Assert(t, len(wr.queue) <= cf.QueueBytes, qt.IsTrue)
		dropped := wr.Stats().Dropped
		qt.Assert(t, dropped > 9_980 && dropped < 10_000, qt.IsTrue, qt.Commentf("%d", dropped))
		re.resume()
		synctest.Wait()
		lg.Info("last")
		qt.Assert(t, wr.Close(), qt.IsNil)
		lines := re.lines(t, "Count", "Bytes")
		qt.Assert(t, lines[0], qt.Equals, "first")
		qt.Assert(t, lines[1], qt.Equals, "line")
		said := lines[len(lines)-2]
		qt.Assert(t, said, qt.Matches, `lines-dropped \d+ \d+`)
		qt.Assert(t, lines[len(lines)-1], qt.Equals, "last")
		qt.Assert(t, len(lines)-3+int(dropped), qt.Equals, 10_000)
		qt.Assert(t, strings.Fields(said)[1], qt.Equals, number(dropped))
	})
}

func number(va uint64) string {
	data, _ := json.Marshal(va)
	return string(data)
}

// Whoever reads the log stops for good while lines are left out every second.
// The notes of them must not pile up, and a stop of the process must not hang.
func TestStalledForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		re := &reader{}
		re.stall()
		cf := Config{QueueBytes: 500, Rate: Rate{PerSecond: 1, Burst: 1}}
		lg, wr := New(re, cf, timer.New())
		for range 1000 {
			lg.Info("line", zap.String("Text", strings.Repeat("x", 100)))
			lg.Info("line")
			time.Sleep(time.Second)
		}
		qt.Assert(t, len(wr.queue)+wr.writing < 1000, qt.IsTrue)
		start := time.Now()
		qt.Assert(t, wr.Close(), qt.Equals, ErrStalled)
		qt.Assert(t, time.Since(start), qt.Equals, defaultCloseWithin)
		qt.Assert(t, wr.Close(), qt.Equals, ErrStalled)
		re.resume()
		synctest.Wait()
		qt.Assert(t, strings.Join(re.lines(t, "Count"), "\n"), qt.Contains, "lines-left-out ")
	})
}

// The reader's end is closed. The process goes on without a log and counts what
// it lost.
func TestFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		re := &reader{err: errors.New("closed")}
		lg, wr := New(re, Config{}, timer.New())
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

// An event that is made up from data would have a bucket for each value.
func TestEventsAreBounded(t *testing.T) {
	bs := newBuckets(Rate{PerSecond: 1, Burst: 1})
	now := time.Unix(1000, 0)
	taken := 0
	for number := range 2 * mostEvents {
		if bs.take(zapcore.Entry{Message: "event " + strings.Repeat("x", number), Time: now}) {
			taken++
		}
	}
	qt.Assert(t, taken, qt.Equals, mostEvents+1)
	qt.Assert(t, len(bs.byEvent), qt.Equals, mostEvents+1)
	qt.Assert(t, bs.byEvent[otherEvents].leftOut, qt.Equals, uint64(mostEvents-1))
}

// The time of day is set back while the process runs. The rate must not stop for
// as long.
func TestTakeAfterTimeWentBack(t *testing.T) {
	bu := &bucket{tokens: 1, at: time.Unix(1000, 0)}
	ra := Rate{PerSecond: 1, Burst: 1}
	qt.Assert(t, bu.take(time.Unix(1000, 0), ra), qt.IsTrue)
	qt.Assert(t, bu.take(time.Unix(500, 0), ra), qt.IsFalse)
	qt.Assert(t, bu.take(time.Unix(501, 0), ra), qt.IsTrue)
}

func BenchmarkLine(b *testing.B) {
	lg, wr := New(&nowhere{}, Config{Rate: Rate{PerSecond: 1e9, Burst: 1e9}}, timer.New())
	b.ReportAllocs()
	for b.Loop() {
		if ce := lg.Check(zap.InfoLevel, "request-answered"); ce != nil {
			ce.Write(zap.String("RequestID", "6263dad916613ad5"), zap.Int("Status", 200), zap.Int("Millis", 87))
		}
	}
	_ = wr.Close()
}

func BenchmarkLineLeftOut(b *testing.B) {
	lg, wr := New(&nowhere{}, Config{Rate: Rate{PerSecond: 1, Burst: 1}}, timer.New())
	b.ReportAllocs()
	for b.Loop() {
		if ce := lg.Check(zap.InfoLevel, "request-answered"); ce != nil {
			ce.Write(zap.String("RequestID", "6263dad916613ad5"))
		}
	}
	_ = wr.Close()
}

type nowhere struct{}

func (*nowhere) Write(data []byte) (int, error) { return len(data), nil }
