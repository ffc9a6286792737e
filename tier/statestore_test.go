package tier

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"balsamwinch.example/feed"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/roster"
	"balsamwinch.example/timer"
)

// newTestStore returns the state store of a control instance that has just started with a
// data folder.
func newTestStore(dir string) stateStore {
	ts := timer.New()
	pu := feed.NewPublisher(feed.PublisherConfig{Name: "one", SilenceTimeout: 4 * time.Second}, ts, zap.NewNop())
	return stateStore{dir: dir, pu: pu, ps: &peerServers{}, ro: newRosters(nil, pu, ts, zap.NewNop()), qa: quarantine.New(), ts: ts, lg: zap.NewNop()}
}

func knownIDs(ss stateStore) (out []string) {
	ses, _ := ss.pu.Servers()
	for _, se := range ses {
		out = append(out, se.ID)
	}
	return out
}

// Guards against rejected requests after a control instance loses power: until each
// backend server has announced itself again, it must use the saved servers. A server that
// has left must not be among them.
func TestSavedServersAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := filepath.Join(t.TempDir(), "data")
		ss := newTestStore(dir)
		ss.restore(time.Second)
		qt.Assert(t, knownIDs(ss), qt.HasLen, 0)
		go func() { _ = ss.serve(t.Context(), 7740) }()
		for _, id := range []string{"a", "b", "c"} {
			ss.pu.Announce(registry.Server{ID: id, Service: "s", Address: id, Sequence: 1}, "")
		}
		time.Sleep(2 * saveInterval)
		ss.pu.Leave("b", "")
		time.Sleep(2 * saveInterval)
		synctest.Wait()

		ss = newTestStore(dir)
		ss.restore(time.Second)
		qt.Assert(t, knownIDs(ss), qt.DeepEquals, []string{"a", "c"})
	})
}

// Guards against a control instance that forgets the roster sizes at a power loss: it
// must restore them before any entry instance has reported its load.
func TestSavedRosterSizesAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dir := filepath.Join(t.TempDir(), "data")
		ss := newTestStore(dir)
		ss.restore(time.Second)
		go func() { _ = ss.serve(t.Context(), 7740) }()
		sizes := []roster.SavedSize{{Key: "wide.example", DataCentre: "lima", Members: 9}}
		time.Sleep(2 * saveInterval)
		ss.ro.restore(sizes) // as update does
		time.Sleep(2 * saveInterval)
		synctest.Wait()

		ss = newTestStore(dir)
		c.Assert(ss.ro.savedSizes(), qt.HasLen, 0)
		ss.restore(time.Second)
		c.Assert(ss.ro.savedSizes(), qt.DeepEquals, sizes)
	})
}

// Guards against a request that crashed its third server a moment before all instances
// lost power, and is sent again to instances that have just started: the suspects must be
// saved at once, and the time without power must count.
func TestSavedSuspectsAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dir := filepath.Join(t.TempDir(), "data")
		ss := newTestStore(dir)
		ss.restore(time.Second)
		go func() { _ = ss.serve(t.Context(), 7740) }()
		time.Sleep(saveInterval + saveInterval/2)
		key := quarantine.Content{URI: "/a"}.Key()
		for nth, server := range []string{"a", "b", "c"} {
			now := ss.ts.Now()
			ss.qa.RecordLoss(now, quarantine.Loss{Key: key, Attempt: server, Start: now, Probe: nth > 0, Servers: []string{server}})
		}
		synctest.Wait() // no time passes

		for _, tt := range []struct {
			after time.Duration
			want  quarantine.Verdict
		}{{time.Second, quarantine.Refuse}, {9 * time.Minute, quarantine.Refuse}, {2 * time.Minute, quarantine.Probe}, {10 * time.Minute, quarantine.Pass}} {
			time.Sleep(tt.after)
			ss = newTestStore(dir)
			ss.restore(time.Second)
			ve, _ := ss.qa.Check(ss.ts.Now(), key)
			c.Check(ve, qt.Equals, tt.want, qt.Commentf("%v", tt.after))
		}
	})
}

// Guards against a start that fails because of a damaged file: the instance must start
// and learn the backend servers from their announcements.
func TestDamagedServersFileIsIgnored(t *testing.T) {
	dir := t.TempDir()
	qt.Assert(t, os.WriteFile(filepath.Join(dir, serversFile), []byte{0xff, 1}, 0o600), qt.IsNil)
	ss := newTestStore(dir)
	ss.restore(time.Second)
	qt.Assert(t, knownIDs(ss), qt.HasLen, 0)
}

// Guards against partial or failed requests after all machines lose power. The control
// instance that is back first has received the announcements of only a third of the
// backend servers; it must also restore those of the others, or most shards would lack a
// server until all are back.
func TestServersOfOtherControlInstancesAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := filepath.Join(t.TempDir(), "data")
		ss := newTestStore(dir)
		go func() { _ = ss.serve(t.Context(), 7740) }()
		ss.pu.Announce(registry.Server{ID: "a", Service: "s", Address: "a", Sequence: 1, Born: 10}, "")
		ss.pu.Announce(registry.Server{ID: "b", Service: "s", Address: "b", Sequence: 1, Born: 10}, "")
		ss.ps.ServersChanged(map[string][]registry.Server{"s": {
			{ID: "b", Service: "s", Address: "b", Sequence: 1, Born: 20},
			{ID: "c", Service: "s", Address: "c", Sequence: 1},
		}, "t": {{ID: "d", Service: "t", Address: "d", Sequence: 1}}})
		time.Sleep(2 * saveInterval)
		synctest.Wait()

		ss = newTestStore(dir)
		ss.restore(time.Second)
		qt.Assert(t, knownIDs(ss), qt.DeepEquals, []string{"a", "b", "c", "d"})
		ses, _ := ss.pu.Servers()
		qt.Assert(t, ses[1].Born, qt.Equals, int64(20), qt.Commentf("the later start"))
	})
}

// Guards against a departure that a control instance forgets at a power loss, since the
// saved servers are older and list the server as ready.
func TestSavedDeparturesAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := filepath.Join(t.TempDir(), "data")
		ss := newTestStore(dir)
		go func() { _ = ss.serve(t.Context(), 7740) }()
		go func() { _ = ss.serveDepartures(t.Context()) }()
		for _, id := range []string{"a", "b", "c"} {
			ss.pu.Announce(registry.Server{ID: id, Service: "s", Address: id, Sequence: 1}, "")
		}
		time.Sleep(2*saveInterval + saveInterval/2)
		ss.pu.Leave("b", "")
		ss.pu.Announce(registry.Server{ID: "c", Service: "s", Address: "c", Sequence: 2, State: registry.Draining}, "")
		synctest.Wait() // no time passes

		ss = newTestStore(dir)
		ss.restore(time.Second)
		qt.Assert(t, knownIDs(ss), qt.DeepEquals, []string{"c", "a"})
		ses, _ := ss.pu.Servers()
		qt.Assert(t, ses[0].State, qt.Equals, registry.Draining)
	})
}

// Guards against one record that makes a whole file unreadable: files of earlier releases may
// hold what no backend server can have said.
func TestInvalidSavedRecordCostsItselfAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lines, logs := observer.New(zapcore.InfoLevel)
		ss := newTestStore(t.TempDir())
		ss.lg = zap.New(lines)
		ss.pu = feed.NewPublisher(feed.PublisherConfig{Name: "one", SilenceTimeout: 4 * time.Second}, ss.ts, ss.lg)
		c.Assert(ss.save(serversFile, []registry.Server{{ID: "i-\xff", Service: "s"}, {ID: "a", Service: "s"}, {ID: "b", Service: "\xfe"}}), qt.IsTrue)
		c.Assert(ss.save(departuresFile, []registry.Server{{ID: "c\r\n", State: registry.Gone}, {ID: "d", Service: "s", State: registry.Draining}}), qt.IsTrue)
		c.Assert(ss.save(rosterSizesFile, []roster.SavedSize{{Key: "\xff", DataCentre: "lima", Members: 9}}), qt.IsTrue)
		ss.restore(time.Second)
		c.Assert(knownIDs(ss), qt.DeepEquals, []string{"d", "a"})
		c.Assert(ss.ro.savedSizes(), qt.HasLen, 1)
		c.Assert(logs.FilterMessage("note-not-read").Len(), qt.Equals, 0)
		c.Assert(logs.FilterMessage("backend-server-invalid").Len(), qt.Equals, 3)
	})
}
