package registry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	testSilenceTimeout = 3 * time.Second
	tick               = 100 * time.Millisecond
)

var t0 = time.Date(2025, 1, 2, 3, 4, 5, 0, time.UTC)

// ready returns a server with its own address.
func ready(id string, sequence uint64) Server {
	return Server{ID: id, Service: "s", Address: id + ":1", Slots: 2, Sequence: sequence}
}

func draining(id string, sequence uint64) Server {
	return Server{ID: id, Service: "s", Address: id + ":1", Slots: 2, Sequence: sequence, State: Draining}
}

// expireUntil expires a catalog every tick between two times and returns the dropped
// servers with the time since the start.
func expireUntil(ct *Catalog, from, to time.Time) []string {
	var dropped []string
	for now := from; !now.After(to); now = now.Add(tick) {
		for _, id := range ct.Expire(now) {
			dropped = append(dropped, fmt.Sprint(id, " ", now.Sub(from)))
		}
	}
	return dropped
}

func TestCatalogAnnounce(t *testing.T) {
	gone := func(se Server) Server {
		se.State = Gone
		return se
	}
	warm := func(se Server, millis int64) Server {
		se.WarmMillis = millis
		return se
	}
	moved := ready("a", 2)
	moved.Address = "a:2"
	type step struct {
		server  Server // announced; with the state Gone and no sequence, its id leaves
		changed bool
	}
	for _, tc := range []struct {
		name  string
		steps []step
		want  []Server
	}{
		{"nothing", nil, nil},
		{"new", []step{{ready("a", 4), true}}, []Server{ready("a", 4)}},
		{"new without sequence", []step{{ready("a", 0), true}, {ready("a", 0), false}}, []Server{ready("a", 0)}},
		{"no id", []step{{ready("", 4), false}}, nil},
		{"same again", []step{{ready("a", 1), true}, {ready("a", 2), false}}, []Server{ready("a", 2)}},
		{"in order of first announcement", []step{{ready("b", 1), true}, {ready("a", 1), true}, {ready("b", 2), false}}, []Server{ready("b", 2), ready("a", 1)}},
		{"lower sequence", []step{{ready("a", 3), true}, {draining("a", 2), false}}, []Server{ready("a", 3)}},
		{"equal sequence", []step{{ready("a", 3), true}, {draining("a", 3), false}}, []Server{ready("a", 3)}},
		{"moved", []step{{ready("a", 1), true}, {moved, true}}, []Server{moved}},
		{"draining", []step{{ready("a", 1), true}, {draining("a", 2), true}, {draining("a", 3), false}}, []Server{draining("a", 3)}},
		{"draining is permanent", []step{{draining("a", 1), true}, {ready("a", 2), false}}, []Server{draining("a", 2)}},
		{"shorter warm-up", []step{{warm(ready("a", 1), 3000), true}, {warm(ready("a", 2), 1000), false}}, []Server{warm(ready("a", 2), 1000)}},
		{"warm-up ended", []step{{warm(ready("a", 1), 3000), true}, {ready("a", 2), true}}, []Server{ready("a", 2)}},
		{"gone", []step{{ready("a", 1), true}, {gone(Server{ID: "a"}), true}}, []Server{gone(ready("a", 1))}},
		{"gone twice", []step{{ready("a", 1), true}, {gone(Server{ID: "a"}), true}, {gone(Server{ID: "a"}), false}}, []Server{gone(ready("a", 1))}},
		{"gone never returns", []step{{ready("a", 1), true}, {gone(Server{ID: "a"}), true}, {ready("a", 9), false}}, []Server{gone(ready("a", 1))}},
		{"gone without being heard", []step{{gone(Server{ID: "a"}), true}, {ready("a", 9), false}}, []Server{gone(Server{ID: "a"})}},
		{"gone announced", []step{{ready("a", 1), true}, {gone(ready("a", 2)), true}}, []Server{gone(ready("a", 1))}},
		{"gone without id", []step{{gone(Server{}), false}}, nil},
		{"gone first", []step{{ready("b", 1), true}, {ready("a", 1), true}, {gone(Server{ID: "a"}), true}}, []Server{gone(ready("a", 1)), ready("b", 1)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			ct := NewCatalog(testSilenceTimeout)
			for ix, st := range tc.steps {
				changed := false
				if st.server.State == Gone && st.server.Sequence == 0 {
					changed = ct.Leave(t0, st.server.ID)
				} else {
					changed = ct.Announce(t0, st.server)
				}
				c.Assert(changed, qt.Equals, st.changed, qt.Commentf("step %d", ix))
			}
			c.Assert(ct.Records(t0), qt.DeepEquals, tc.want)
		})
	}
}

func TestCatalogExpire(t *testing.T) {
	c := qt.New(t)
	ct := NewCatalog(testSilenceTimeout)
	ct.Announce(t0, ready("b", 1))
	ct.Announce(t0, ready("a", 1))
	ct.Announce(t0, ready("c", 1))
	c.Assert(expireUntil(ct, t0, t0.Add(testSilenceTimeout/2)), qt.HasLen, 0)
	now := t0.Add(testSilenceTimeout / 2)
	ct.Announce(now, ready("c", 2))
	ct.Announce(now, ready("a", 1)) // a repeated announcement is no sign of life
	c.Assert(expireUntil(ct, now, t0.Add(3*testSilenceTimeout)), qt.DeepEquals, []string{"a 1.5s", "b 1.5s", "c 3s"})
	c.Assert(ct.Records(t0.Add(3*testSilenceTimeout)), qt.HasLen, 0)
	c.Assert(ct.Announce(t0.Add(3*testSilenceTimeout), ready("a", 2)), qt.IsTrue, qt.Commentf("it wasn't Gone"))
	c.Assert(ct.Announce(t0.Add(3*testSilenceTimeout), ready("b", 1)), qt.IsTrue, qt.Commentf("its sequence was forgotten"))
}

// Guards against dropping all servers after a suspension. The machine of a control
// instance is suspended for ten seconds while announcements wait in the sockets. Expiring
// all servers at the first check would tell every entry instance that this control
// instance knows none. The gap must not count; a server that was silent for two seconds
// before it has one more.
func TestCatalogExpireAfterSuspension(t *testing.T) {
	for _, tc := range []struct {
		name string
		wake func(ct *Catalog, now time.Time) // first call after the gap
	}{
		{"expire", func(ct *Catalog, now time.Time) { ct.Expire(now) }},
		{"announce", func(ct *Catalog, now time.Time) { ct.Announce(now, ready("c", 1)) }},
		{"leave", func(ct *Catalog, now time.Time) { ct.Leave(now, "c") }},
		{"records", func(ct *Catalog, now time.Time) { ct.Records(now) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			ct := NewCatalog(testSilenceTimeout)
			ct.Announce(t0, ready("a", 1))
			c.Assert(expireUntil(ct, t0, t0.Add(2*time.Second)), qt.HasLen, 0)
			ct.Announce(t0.Add(2*time.Second), ready("b", 1))
			now := t0.Add(12 * time.Second)
			tc.wake(ct, now)
			c.Assert(expireUntil(ct, now, now.Add(2*time.Second)), qt.DeepEquals, []string{"a 1s"})
		})
	}
}

// Guards against a server that returns after it left: an announcement that it sent before
// arrives minutes later by another path. It must change nothing while the id is
// remembered, and what is remembered must stay bounded.
func TestCatalogIgnoresLateAnnouncementAfterLeave(t *testing.T) {
	c := qt.New(t)
	ct := NewCatalog(testSilenceTimeout)
	ct.Announce(t0, ready("a", 1))
	c.Assert(ct.Leave(t0, "a"), qt.IsTrue)
	now := t0
	wait := func(until time.Duration) {
		expireUntil(ct, now, t0.Add(until))
		now = t0.Add(until)
	}
	wait(leftRecordsTTL - tick)
	c.Assert(ct.Records(now), qt.HasLen, 1)
	wait(leftRecordsTTL)
	c.Assert(ct.Records(now), qt.HasLen, 0)
	wait(leftTTL - tick)
	c.Assert(ct.Announce(now, ready("a", 2)), qt.IsFalse)
	wait(leftTTL)
	c.Assert(ct.Announce(now, ready("a", 3)), qt.IsTrue)
}

func TestCatalogSizeIsBounded(t *testing.T) {
	c := qt.New(t)
	ct := NewCatalog(testSilenceTimeout)
	for ix := range maxLeft + 1 {
		c.Assert(ct.Leave(t0, fmt.Sprint(ix)), qt.IsTrue)
	}
	c.Assert(ct.Records(t0), qt.HasLen, maxLeft)
	c.Assert(ct.Announce(t0, ready("1", 1)), qt.IsFalse)
	c.Assert(ct.Announce(t0, ready("0", 1)), qt.IsTrue, qt.Commentf("the oldest is forgotten"))

	ct = NewCatalog(testSilenceTimeout)
	for ix := range maxServers {
		c.Assert(ct.Announce(t0, ready(fmt.Sprint(ix), 1)), qt.IsTrue)
	}
	c.Assert(ct.Announce(t0, ready("a", 1)), qt.IsFalse)
	c.Assert(ct.Announce(t0, draining("0", 2)), qt.IsTrue)
	ct.Leave(t0, "1")
	c.Assert(ct.Announce(t0, ready("a", 2)), qt.IsTrue)
}

// Compares a catalog with a simple model of the announcements.
func TestCatalogMatchesModel(t *testing.T) {
	ids := rapid.SampledFrom([]string{"a", "b", "c"})
	rapid.Check(t, func(t *rapid.T) {
		ct, now := NewCatalog(testSilenceTimeout), t0
		sequence, state, at := map[string]uint64{}, map[string]State{}, map[string]time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				se := ready(ids.Draw(t, "id"), rapid.Uint64Range(1, 20).Draw(t, "sequence"))
				se.State = rapid.SampledFrom([]State{Ready, Draining}).Draw(t, "state")
				before, known := state[se.ID]
				if !known {
					before = Ready
				}
				taken := before != Gone && se.Sequence > sequence[se.ID]
				changed := taken && (!known || se.State > before)
				if taken {
					sequence[se.ID], state[se.ID], at[se.ID] = se.Sequence, max(before, se.State), now
				}
				if got := ct.Announce(now, se); got != changed {
					t.Fatalf("announce %+v: got %v, want %v", se, got, changed)
				}
			},
			"leave": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				if got, want := ct.Leave(now, id), state[id] != Gone; got != want {
					t.Fatalf("leave %s: got %v, want %v", id, got, want)
				}
				state[id] = Gone
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, int(testSilenceTimeout/2/tick)).Draw(t, "ticks")) * tick)
				want := map[string]bool{}
				for id, st := range state {
					if st != Gone && now.Sub(at[id]) >= testSilenceTimeout {
						want[id] = true
						delete(state, id)
						delete(sequence, id)
					}
				}
				got := ct.Expire(now)
				if len(got) != len(want) {
					t.Fatalf("dropped %v, want %v", got, want)
				}
				for _, id := range got {
					if !want[id] {
						t.Fatalf("dropped %v, want %v", got, want)
					}
				}
			},
			"": func(t *rapid.T) {
				got := map[string]State{}
				for _, se := range ct.Records(now) {
					got[se.ID] = se.State
				}
				for id, st := range state {
					if gs, ok := got[id]; st != Gone && (!ok || gs != st) {
						t.Fatalf("%s is %v (%v), want %v", id, gs, ok, st)
					}
				}
			},
		})
	})
}

// Exercises all methods concurrently for the race detector.
func TestCatalogConcurrent(t *testing.T) {
	ct := NewCatalog(testSilenceTimeout)
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for step := range 300 {
				now := t0.Add(time.Duration(step) * 10 * time.Millisecond)
				id := fmt.Sprint(worker, "-", step%10)
				ct.Announce(now, ready(id, uint64(step)))
				ct.Records(now)
				ct.Expire(now)
				if step%100 == 99 {
					ct.Leave(now, id)
				}
			}
		})
	}
	wg.Wait()
	for worker := range 4 {
		qt.Assert(t, ct.Announce(t0.Add(testSilenceTimeout), ready(fmt.Sprint(worker, "-9"), 1000)), qt.IsFalse, qt.Commentf("it has left"))
	}
}

// Guards against servers that stay for too long after a restart of a control instance.
// Until the backend servers announce themselves again, it uses its persisted records; one
// that has ended meanwhile must expire sooner than one that has just announced itself.
func TestCatalogRestore(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	ct := NewCatalog(4 * time.Second)
	ct.Leave(now, "left")
	ct.Announce(now, Server{ID: "new", Address: "a", Sequence: 9, State: Draining})
	ct.Restore(now, []Server{
		{ID: "new", Address: "a", Sequence: 3},
		{ID: "left", Sequence: 3},
		{ID: "", Sequence: 1},
		{ID: "gone", Sequence: 1, State: Gone},
		{ID: "back", Sequence: 3},
		{ID: "ended", Sequence: 3},
	}, 2*time.Second)
	ids := func() (out []string) {
		for _, se := range ct.Records(now) {
			if se.State != Gone {
				out = append(out, se.ID)
			}
		}
		return out
	}
	c.Assert(ids(), qt.DeepEquals, []string{"new", "back", "ended"})
	now = now.Add(time.Second)
	c.Assert(ct.Announce(now, Server{ID: "back", Sequence: 4}), qt.IsFalse)
	c.Assert(ct.Expire(now), qt.HasLen, 0)
	now = now.Add(time.Second)
	c.Assert(ct.Expire(now), qt.DeepEquals, []string{"ended"})
	c.Assert(ids(), qt.DeepEquals, []string{"new", "back"})
}
