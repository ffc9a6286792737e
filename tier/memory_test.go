package tier

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/feed"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/roster"
	"balsamwinch.example/timer"
)

// newMemory returns the memory of a control instance that has just started in a
// folder.
func newMemory(dir string) memory {
	ts := timer.New()
	pu := feed.NewPublisher(feed.PublisherConfig{Name: "one", SilenceTimeout: 4 * time.Second}, ts, zap.NewNop())
	return memory{dir: dir, pu: pu, ot: &others{}, ro: newRosters(nil, pu, ts, zap.NewNop()), qa: quarantine.New(), ts: ts, lg: zap.NewNop()}
}

func known(me memory) (out []string) {
	ses, _ := me.pu.Servers()
	for _, se := range ses {
		out = append(out, se.ID)
	}
	return out
}

// A control instance loses power and comes back. Callers would be refused until
// each backend server has announced itself again, so the instance starts from what
// it had noted; one that has left before is not in the note.
func TestMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := filepath.Join(t.TempDir(), "data")
		me := newMemory(dir)
		me.restore(time.Second)
		qt.Assert(t, known(me), qt.HasLen, 0)
		go func() { _ = me.serve(t.Context(), 7740) }()
		for _, id := range []string{"a", "b", "c"} {
			me.pu.Announce(registry.Server{ID: id, Service: "s", Address: id, Sequence: 1})
		}
		time.Sleep(2 * memoryPeriod)
		me.pu.Leave("b")
		time.Sleep(2 * memoryPeriod)
		synctest.Wait()

		me = newMemory(dir)
		me.restore(time.Second)
		qt.Assert(t, known(me), qt.DeepEquals, []string{"a", "c"})
	})
}

// Callers were led to few entry instances when the power was lost. A control instance
// that comes back leads them to as many, before any of these has said what it carries.
func TestMemoryOfChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dir := filepath.Join(t.TempDir(), "data")
		me := newMemory(dir)
		me.restore(time.Second)
		go func() { _ = me.serve(t.Context(), 7740) }()
		nos := []roster.SavedSize{{Key: "wide.example", DataCentre: "lima", Members: 9}}
		time.Sleep(2 * memoryPeriod)
		me.ro.restore(nos) // As a look decides.
		time.Sleep(2 * memoryPeriod)
		synctest.Wait()

		me = newMemory(dir)
		c.Assert(me.ro.note(), qt.HasLen, 0)
		me.restore(time.Second)
		c.Assert(me.ro.note(), qt.DeepEquals, nos)
	})
}

// All instances lose power a moment after a request has ended its third server. It comes
// again to instances that have just started: what was known of it is noted at once, and
// the time without power counts.
func TestMemoryOfSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dir := filepath.Join(t.TempDir(), "data")
		me := newMemory(dir)
		me.restore(time.Second)
		go func() { _ = me.serve(t.Context(), 7740) }()
		time.Sleep(memoryPeriod + memoryPeriod/2)
		key := quarantine.Content{URI: "/a"}.Key()
		for nth, server := range []string{"a", "b", "c"} {
			now := me.ts.Now()
			me.qa.RecordLoss(now, quarantine.Loss{Key: key, Attempt: server, Start: now, Probe: nth > 0, Servers: []string{server}})
		}
		synctest.Wait() // No time passes.

		for _, tt := range []struct {
			after time.Duration
			want  quarantine.Verdict
		}{{time.Second, quarantine.Refuse}, {9 * time.Minute, quarantine.Refuse}, {2 * time.Minute, quarantine.Probe}, {10 * time.Minute, quarantine.Pass}} {
			time.Sleep(tt.after)
			me = newMemory(dir)
			me.restore(time.Second)
			ve, _ := me.qa.Check(me.ts.Now(), key)
			c.Check(ve, qt.Equals, tt.want, qt.Commentf("%v", tt.after))
		}
	})
}

// The note can't be read. The instance starts all the same, and hears the backend
// servers as they announce themselves.
func TestMemoryDamaged(t *testing.T) {
	dir := t.TempDir()
	qt.Assert(t, os.WriteFile(filepath.Join(dir, serversName), []byte{0xff, 1}, 0o600), qt.IsNil)
	me := newMemory(dir)
	me.restore(time.Second)
	qt.Assert(t, known(me), qt.HasLen, 0)
}

// All machines lose power. The control instance that is back first has heard only a
// third of the backend servers itself; with its own note alone most shards would lack
// one until the others are back, and callers would get partial answers or none.
func TestMemoryOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := filepath.Join(t.TempDir(), "data")
		me := newMemory(dir)
		go func() { _ = me.serve(t.Context(), 7740) }()
		me.pu.Announce(registry.Server{ID: "a", Service: "s", Address: "a", Sequence: 1, Born: 10})
		me.pu.Announce(registry.Server{ID: "b", Service: "s", Address: "b", Sequence: 1, Born: 10})
		me.ot.ServersChanged(map[string][]registry.Server{"s": {
			{ID: "b", Service: "s", Address: "b", Sequence: 1, Born: 20},
			{ID: "c", Service: "s", Address: "c", Sequence: 1},
		}, "t": {{ID: "d", Service: "t", Address: "d", Sequence: 1}}})
		time.Sleep(2 * memoryPeriod)
		synctest.Wait()

		me = newMemory(dir)
		me.restore(time.Second)
		qt.Assert(t, known(me), qt.DeepEquals, []string{"a", "b", "c", "d"})
		ses, _ := me.pu.Servers()
		qt.Assert(t, ses[1].Born, qt.Equals, int64(20), qt.Commentf("the later start"))
	})
}
