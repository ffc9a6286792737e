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
	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

// newMemory returns the memory of a control instance that has just started in a
// folder.
func newMemory(dir string) memory {
	ts := timer.New()
	pu := feed.NewPublisher(feed.PublisherConfig{Name: "one", Silence: 4 * time.Second}, ts, zap.NewNop())
	return memory{dir: dir, pu: pu, ts: ts, lg: zap.NewNop()}
}

func known(me memory) (out []string) {
	ses, _ := me.pu.Known()
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
		go func() { _ = me.serve(t.Context()) }()
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

// The note can't be read. The instance starts all the same, and hears the backend
// servers as they announce themselves.
func TestMemoryDamaged(t *testing.T) {
	dir := t.TempDir()
	qt.Assert(t, os.WriteFile(filepath.Join(dir, memoryName), []byte{0xff, 1}, 0o600), qt.IsNil)
	me := newMemory(dir)
	me.restore(time.Second)
	qt.Assert(t, known(me), qt.HasLen, 0)
}
