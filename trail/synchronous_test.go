package trail

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/timer"
)

// killedVariable makes the test's program write two lines and kill itself.
const killedVariable = "TRAIL_TEST_KILLED"

// A control instance acknowledges a change and is killed right after. The line
// that says so must be in the hands of whoever reads the log, and the lines before
// it as well; one that isn't marked is lost with the process.
func TestKilledAfterLine(t *testing.T) {
	if os.Getenv(killedVariable) != "" {
		writeAndDie()
	}
	co := exec.Command(os.Args[0], "-test.run=^TestKilledAfterLine$")
	co.Env = append(os.Environ(), killedVariable+"=1")
	out, err := co.Output()
	qt.Assert(t, err, qt.ErrorMatches, "signal: killed")
	re := &reader{writes: [][]byte{out}}
	qt.Assert(t, re.lines(t), qt.DeepEquals, []string{"before", "acknowledged"})
}

func writeAndDie() {
	lg, _ := New(os.Stdout, Config{BatchDelay: time.Hour, SyncTimeout: time.Minute}, timer.New())
	lg.Info("before")
	lg.Info("acknowledged", Synchronous())
	lg.Info("after")
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// The mark doesn't show, and of a line that is marked no time passes until it is
// written, whatever else is being written or waits.
func TestAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		re := &reader{}
		lg, wr := New(re, Config{}, timer.New())
		start := time.Now()
		lg.Info("before")
		lg.Info("acknowledged", zap.Int("Version", 7), Synchronous())
		qt.Assert(t, string(bytes.Join(re.writes, nil)), qt.Equals,
			`{"Level":"info","Time":"2000-01-01T00:00:00Z","Event":"before"}`+"\n"+
				`{"Level":"info","Time":"2000-01-01T00:00:00Z","Event":"acknowledged","Version":7}`+"\n")
		lg.Info("plain")
		qt.Assert(t, re.lines(t), qt.HasLen, 2)
		lg.Info("again", Synchronous())
		qt.Assert(t, re.lines(t), qt.DeepEquals, []string{"before", "acknowledged", "plain", "again"})
		qt.Assert(t, time.Since(start), qt.Equals, time.Duration(0))

		// A write that another line began is slow, and ends in time.
		re.stall()
		lg.Info("slow", zap.String("Text", strings.Repeat("x", defaultBatchBytes)))
		time.AfterFunc(defaultAtOnceWithin/2, re.resume)
		lg.Info("behind", Synchronous())
		qt.Assert(t, re.lines(t)[4:], qt.DeepEquals, []string{"slow", "behind"})
		qt.Assert(t, time.Since(start), qt.Equals, defaultAtOnceWithin/2)
		qt.Assert(t, wr.Close(), qt.IsNil)
	})
}

// Whoever reads the log stops. The lines that are written at once must not hold up
// the process: the first one waits a moment, the others not at all, the queue
// stays bounded, and what found it full is counted. Once the log is read again the
// next such line is out before the call returns.
func TestAtOnceStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		re := &reader{}
		re.stall()
		cf := Config{QueueBytes: 2000, Rate: Rate{PerSecond: 1e6, Burst: 1e6}}
		lg, wr := New(re, cf, timer.New())
		start := time.Now()
		lg.Info("first", Synchronous())
		qt.Assert(t, time.Since(start), qt.Equals, defaultAtOnceWithin)
		for range 1000 {
			lg.Info("line", zap.String("Text", strings.Repeat("x", 100)), Synchronous())
		}
		qt.Assert(t, time.Since(start), qt.Equals, defaultAtOnceWithin)
		qt.Assert(t, re.count(), qt.Equals, 0)
		qt.Assert(t, len(wr.queue)+wr.writing <= cf.QueueBytes, qt.IsTrue)
		dropped := wr.Stats().Dropped
		qt.Assert(t, dropped > 980 && dropped < 1000, qt.IsTrue, qt.Commentf("%d", dropped))

		re.resume()
		synctest.Wait()
		lg.Info("last", Synchronous())
		lines := re.lines(t, "Count")
		qt.Assert(t, lines[len(lines)-2:], qt.DeepEquals, []string{"lines-dropped " + number(dropped), "last"})
		qt.Assert(t, time.Since(start), qt.Equals, defaultAtOnceWithin)

		// A second stall is waited for anew, once.
		re.stall()
		for range 3 {
			lg.Info("line", Synchronous())
		}
		qt.Assert(t, time.Since(start), qt.Equals, 2*defaultAtOnceWithin)
		re.resume()
		qt.Assert(t, wr.Close(), qt.IsNil)
	})
}

// The reader's end is closed, or the log is at its end: nothing is waited for.
func TestAtOnceNobodyReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		re := &reader{err: os.ErrClosed}
		lg, wr := New(re, Config{Rate: Rate{PerSecond: 1, Burst: 2}}, timer.New())
		start := time.Now()
		for range 4 {
			lg.Info("line", Synchronous())
		}
		qt.Assert(t, wr.Stats(), qt.Equals, Stats{Written: 2, LeftOut: 2, Failed: 2})
		qt.Assert(t, wr.Close(), qt.IsNil)
		lg.Warn("after the end", Synchronous())
		qt.Assert(t, time.Since(start), qt.Equals, time.Duration(0))
	})
}

func BenchmarkLineAtOnce(b *testing.B) {
	fi, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	qt.Assert(b, err, qt.IsNil)
	lg, wr := New(fi, Config{Rate: Rate{PerSecond: 1e9, Burst: 1e9}}, timer.New())
	b.ReportAllocs()
	for b.Loop() {
		lg.Info("configuration-asked", zap.Int("Version", 7), Synchronous())
	}
	_ = wr.Close()
}
