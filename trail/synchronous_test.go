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

// killEnv makes the test binary write some lines and kill itself.
const killEnv = "TRAIL_TEST_KILLED"

// A control instance acknowledges a change and is killed right after. The line about it, and
// all lines before it, must already have reached the reader of the log. A line without the
// field is lost with the process.
func TestSynchronousLineSurvivesKill(t *testing.T) {
	if os.Getenv(killEnv) != "" {
		writeAndKillSelf()
	}
	co := exec.Command(os.Args[0], "-test.run=^TestSynchronousLineSurvivesKill$")
	co.Env = append(os.Environ(), killEnv+"=1")
	out, err := co.Output()
	qt.Assert(t, err, qt.ErrorMatches, "signal: killed")
	fo := &fakeOutput{writes: [][]byte{out}}
	qt.Assert(t, fo.lines(t), qt.DeepEquals, []string{"before", "acknowledged"})
}

func writeAndKillSelf() {
	lg, _ := New(os.Stdout, Config{BatchDelay: time.Hour, SyncTimeout: time.Minute}, timer.New())
	lg.Info("before")
	lg.Info("acknowledged", Synchronous())
	lg.Info("after")
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// The field does not appear in the line. A synchronous line is written before the call
// returns, even while another batch is being written.
func TestSynchronousLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fo := &fakeOutput{}
		lg, wr := New(fo, Config{}, timer.New())
		start := time.Now()
		lg.Info("before")
		lg.Info("acknowledged", zap.Int("Version", 7), Synchronous())
		qt.Assert(t, string(bytes.Join(fo.writes, nil)), qt.Equals,
			`{"Level":"info","Time":"2000-01-01T00:00:00Z","Event":"before"}`+"\n"+
				`{"Level":"info","Time":"2000-01-01T00:00:00Z","Event":"acknowledged","Version":7}`+"\n")
		lg.Info("plain")
		qt.Assert(t, fo.lines(t), qt.HasLen, 2)
		lg.Info("again", Synchronous())
		qt.Assert(t, fo.lines(t), qt.DeepEquals, []string{"before", "acknowledged", "plain", "again"})
		qt.Assert(t, time.Since(start), qt.Equals, time.Duration(0))

		// A slow write of an earlier line finishes before the timeout.
		fo.stall()
		lg.Info("slow", zap.String("Text", strings.Repeat("x", defaultBatchBytes)))
		time.AfterFunc(defaultSyncTimeout/2, fo.resume)
		lg.Info("behind", Synchronous())
		qt.Assert(t, fo.lines(t)[4:], qt.DeepEquals, []string{"slow", "behind"})
		qt.Assert(t, time.Since(start), qt.Equals, defaultSyncTimeout/2)
		qt.Assert(t, wr.Close(), qt.IsNil)
	})
}

// The reader of the log stops. Synchronous lines must not block the process: the first one
// waits until its timeout and the others not at all, the queue stays bounded, and dropped
// lines are counted. Once the log is read again, the next such line is written before the call
// returns.
func TestSynchronousLineWithStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fo := &fakeOutput{}
		fo.stall()
		cf := Config{QueueBytes: 2000, Rate: Rate{PerSecond: 1e6, Burst: 1e6}}
		lg, wr := New(fo, cf, timer.New())
		start := time.Now()
		lg.Info("first", Synchronous())
		qt.Assert(t, time.Since(start), qt.Equals, defaultSyncTimeout)
		for range 1000 {
			lg.Info("line", zap.String("Text", strings.Repeat("x", 100)), Synchronous())
		}
		qt.Assert(t, time.Since(start), qt.Equals, defaultSyncTimeout)
		qt.Assert(t, fo.count(), qt.Equals, 0)
		qt.Assert(t, len(wr.queue)+wr.inFlightBytes <= cf.QueueBytes, qt.IsTrue)
		dropped := wr.Stats().Dropped
		qt.Assert(t, dropped > 980 && dropped < 1000, qt.IsTrue, qt.Commentf("%d", dropped))

		fo.resume()
		synctest.Wait()
		lg.Info("last", Synchronous())
		lines := fo.lines(t, "Count")
		qt.Assert(t, lines[len(lines)-2:], qt.DeepEquals, []string{"lines-dropped " + formatNumber(dropped), "last"})
		qt.Assert(t, time.Since(start), qt.Equals, defaultSyncTimeout)

		// A second stall is waited for once more.
		fo.stall()
		for range 3 {
			lg.Info("line", Synchronous())
		}
		qt.Assert(t, time.Since(start), qt.Equals, 2*defaultSyncTimeout)
		fo.resume()
		qt.Assert(t, wr.Close(), qt.IsNil)
	})
}

// If the reader has closed its end, or the log is closed, no call waits.
func TestSynchronousLineAfterFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fo := &fakeOutput{err: os.ErrClosed}
		lg, wr := New(fo, Config{Rate: Rate{PerSecond: 1, Burst: 2}}, timer.New())
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

func BenchmarkSynchronousLine(b *testing.B) {
	fi, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	qt.Assert(b, err, qt.IsNil)
	lg, wr := New(fi, Config{Rate: Rate{PerSecond: 1e9, Burst: 1e9}}, timer.New())
	b.ReportAllocs()
	for b.Loop() {
		lg.Info("configuration-asked", zap.Int("Version", 7), Synchronous())
	}
	_ = wr.Close()
}
