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

// lookedUp is a lookUps in synctest's time, and what it is told of.
type lookedUp struct {
	t     *testing.T
	lu    *lookUps
	ob    *observer.ObservedLogs
	ready atomic.Pointer[[]feed.Entry]
}

func newLookedUp(t *testing.T) *lookedUp {
	co, ob := observer.New(zapcore.InfoLevel)
	ld := &lookedUp{t: t, lu: newLookUps(timer.New(), zap.New(co)), ob: ob}
	ld.set()
	go func() { _ = ld.lu.serve(t.Context(), func() []feed.Entry { return *ld.ready.Load() }) }()
	synctest.Wait()
	return ld
}

// set makes these the instances that are ready, in a new list as a publisher does.
func (ld *lookedUp) set(names ...string) {
	ready := make([]feed.Entry, 0, len(names))
	for _, na := range names {
		ready = append(ready, feed.Entry{Name: na, State: feed.Ready})
	}
	ld.ready.Store(&ready)
}

// look lets callers look up.
func (ld *lookedUp) look(times int) {
	for range times {
		ld.lu.note(*ld.ready.Load())
	}
}

// pass lets the rest of the second pass and returns the lines that came in it.
func (ld *lookedUp) pass() []string {
	time.Sleep(lookUpsPeriod)
	synctest.Wait()
	var out []string
	for _, li := range ld.ob.TakeAll() {
		text := li.Message
		for _, fi := range li.Context {
			text += fmt.Sprint(" ", fi.Key, "=", fi.Integer)
		}
		out = append(out, text)
	}
	return out
}

// After all instances have lost power, callers ask where to connect and there is no
// answer yet. They send no request, and the day's logs held nothing of them. Each
// second of it must have a line, and one only, however many ask, that says why:
// nobody is known, those known have just started, or they all stop.
func TestLookUpsWithoutAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ld := newLookedUp(t)
		qt.Assert(t, ld.pass(), qt.HasLen, 0)
		ld.look(3)
		qt.Assert(t, ld.pass(), qt.DeepEquals, []string{"look-ups-without-address Count=3 LookUps=3 Entries=0 Starting=0 Draining=0"})
		qt.Assert(t, ld.pass(), qt.HasLen, 0)

		for _, na := range []string{"a", "b", "c"} {
			ld.lu.opened(na, feed.Starting)
		}
		ld.look(100_000)
		qt.Assert(t, ld.pass(), qt.DeepEquals, []string{"look-ups-without-address Count=100000 LookUps=100000 Entries=3 Starting=3 Draining=0"})

		// The list comes within a second in which others got nothing.
		ld.look(2)
		ld.lu.closed("c")
		ld.set("a")
		ld.look(5)
		qt.Assert(t, ld.pass(), qt.DeepEquals, []string{"look-ups-without-address Count=2 LookUps=7 Entries=3 Starting=3 Draining=0"})
		ld.look(1000)
		qt.Assert(t, ld.pass(), qt.HasLen, 0)

		// The one that served stops; nobody has looked up since it became ready.
		ld.set("a", "b")
		qt.Assert(t, ld.pass(), qt.HasLen, 0)
		ld.set()
		ld.lu.opened("d", feed.Starting)
		ld.look(1)
		qt.Assert(t, ld.pass(), qt.DeepEquals, []string{"look-ups-without-address Count=1 LookUps=1 Entries=3 Starting=1 Draining=2"})
	})
}

// Instances come and go and open their links anew. One that ran before its link is
// not taken for one that starts, one that was started again is, and nothing is kept
// of those that have gone.
func TestLookUpsLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ld := newLookedUp(t)
		ld.lu.opened("a", feed.Ready)
		ld.lu.opened("b", feed.Draining)
		ld.lu.opened("c", feed.Starting)
		ld.set("a", "c")
		ld.look(1)
		ld.lu.opened("c", feed.Starting) // Its process was started again before the old link ended.
		ld.set()
		ld.look(1)
		qt.Assert(t, ld.pass(), qt.DeepEquals, []string{"look-ups-without-address Count=1 LookUps=2 Entries=3 Starting=1 Draining=2"})
		ld.lu.closed("c")
		qt.Assert(t, ld.lu.linked, qt.HasLen, 3)
		for range 1000 {
			for _, na := range []string{"x", "y"} {
				ld.lu.opened(na, feed.Starting)
				ld.lu.closed(na)
			}
		}
		for _, na := range []string{"a", "b", "c"} {
			ld.lu.closed(na)
		}
		qt.Assert(t, ld.lu.linked, qt.HasLen, 0)
	})
}
