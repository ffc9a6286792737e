package tier

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"balsamwinch.example/feed"
	"balsamwinch.example/timer"
)

// lookUpsTest runs a lookUps in synctest's time.
type lookUpsTest struct {
	t     *testing.T
	lu    *lookUps
	ob    *observer.ObservedLogs
	ready atomic.Pointer[[]feed.Entry]
}

func newLookUpsTest(t *testing.T) *lookUpsTest {
	co, ob := observer.New(zapcore.InfoLevel)
	lt := &lookUpsTest{t: t, lu: newLookUps(timer.New(), zap.New(co)), ob: ob}
	lt.setReady()
	go func() { _ = lt.lu.serve(t.Context(), func() []feed.Entry { return *lt.ready.Load() }) }()
	synctest.Wait()
	return lt
}

// setReady sets the ready instances, in a new list as the publisher does.
func (lt *lookUpsTest) setReady(names ...string) {
	ready := make([]feed.Entry, 0, len(names))
	for _, na := range names {
		ready = append(ready, feed.Entry{Name: na, State: feed.Ready})
	}
	lt.ready.Store(&ready)
}

// lookUp performs that many look-ups.
func (lt *lookUpsTest) lookUp(times int) {
	for range times {
		lt.lu.record(*lt.ready.Load())
	}
}

// nextInterval waits until the interval has ended and returns the lines logged in it.
func (lt *lookUpsTest) nextInterval() []string {
	time.Sleep(lookUpLogInterval)
	synctest.Wait()
	var out []string
	for _, li := range lt.ob.TakeAll() {
		text := li.Message
		for _, fi := range li.Context {
			text += fmt.Sprint(" ", fi.Key, "=", fi.Integer)
		}
		out = append(out, text)
	}
	return out
}

// Guards against an outage that leaves no trace in the logs: after all instances have
// lost power, callers look up addresses in vain and send no request. Each second with
// such look-ups must have exactly one line, however many callers look up, and the line
// must tell why: no entry instance is known, those known are starting, or all are
// draining.
func TestOneLinePerIntervalForLookUpsWithoutAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lt := newLookUpsTest(t)
		qt.Assert(t, lt.nextInterval(), qt.HasLen, 0)
		lt.lookUp(3)
		qt.Assert(t, lt.nextInterval(), qt.DeepEquals, []string{"look-ups-without-address Count=3 LookUps=3 Entries=0 Starting=0 Draining=0"})
		qt.Assert(t, lt.nextInterval(), qt.HasLen, 0)

		for _, na := range []string{"a", "b", "c"} {
			lt.lu.linkOpened(na, feed.Starting)
		}
		lt.lookUp(100_000)
		qt.Assert(t, lt.nextInterval(), qt.DeepEquals, []string{"look-ups-without-address Count=100000 LookUps=100000 Entries=3 Starting=3 Draining=0"})

		// An instance becomes ready within a second in which look-ups got no address.
		lt.lookUp(2)
		lt.lu.linkClosed("c")
		lt.setReady("a")
		lt.lookUp(5)
		qt.Assert(t, lt.nextInterval(), qt.DeepEquals, []string{"look-ups-without-address Count=2 LookUps=7 Entries=3 Starting=3 Draining=0"})
		lt.lookUp(1000)
		qt.Assert(t, lt.nextInterval(), qt.HasLen, 0)

		// The ready instances stop; nobody has looked up since "b" became ready.
		lt.setReady("a", "b")
		qt.Assert(t, lt.nextInterval(), qt.HasLen, 0)
		lt.setReady()
		lt.lu.linkOpened("d", feed.Starting)
		lt.lookUp(1)
		qt.Assert(t, lt.nextInterval(), qt.DeepEquals, []string{"look-ups-without-address Count=1 LookUps=1 Entries=3 Starting=1 Draining=2"})
	})
}

// Guards against wrong counts when instances come and go and reopen their links. An
// instance that was running before the link opened must not count as starting, a
// restarted one must, and nothing may be kept of those that have left.
func TestLookUpsTrackEntryLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lt := newLookUpsTest(t)
		lt.lu.linkOpened("a", feed.Ready)
		lt.lu.linkOpened("b", feed.Draining)
		lt.lu.linkOpened("c", feed.Starting)
		lt.setReady("a", "c")
		lt.lookUp(1)
		lt.lu.linkOpened("c", feed.Starting) // The process was restarted before its old link ended.
		lt.setReady()
		lt.lookUp(1)
		qt.Assert(t, lt.nextInterval(), qt.DeepEquals, []string{"look-ups-without-address Count=1 LookUps=2 Entries=3 Starting=1 Draining=2"})
		lt.lu.linkClosed("c")
		qt.Assert(t, lt.lu.linked, qt.HasLen, 3)
		for range 1000 {
			for _, na := range []string{"x", "y"} {
				lt.lu.linkOpened(na, feed.Starting)
				lt.lu.linkClosed(na)
			}
		}
		for _, na := range []string{"a", "b", "c"} {
			lt.lu.linkClosed(na)
		}
		qt.Assert(t, lt.lu.linked, qt.HasLen, 0)
	})
}
