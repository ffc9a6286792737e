package registry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// born returns a server of a start.
func born(se Server, at int64) Server {
	se.Born = at
	return se
}

// A backend server crashes, or has drained, and starts again under its id. Its state
// is new and its sequence begins anew. If the id alone counted, it would get no
// request for as long as the tier runs, though it announces itself all the time; and
// what its earlier start said could end it when it arrives late.
func TestBookStartsAgain(t *testing.T) {
	gone := func(se Server) Server {
		se.State = Gone
		return se
	}
	type step struct {
		server  Server // server is announced; with the state Gone and no sequence and no start, its id leaves.
		changed bool
	}
	for _, tc := range []struct {
		name  string
		steps []step
		want  []Server
	}{
		{"while it drains", []step{{born(draining("a", 7), 10), true}, {born(ready("a", 1), 20), true}}, []Server{born(ready("a", 1), 20)}},
		{"after it left", []step{{born(ready("a", 7), 10), true}, {gone(Server{ID: "a"}), true}, {born(ready("a", 1), 20), true}}, []Server{born(ready("a", 1), 20)}},
		{"after it left unheard", []step{{gone(Server{ID: "a"}), true}, {born(ready("a", 1), 20), true}}, []Server{born(ready("a", 1), 20)}},
		{"after a crash", []step{{born(ready("a", 7), 10), true}, {born(ready("a", 1), 20), true}}, []Server{born(ready("a", 1), 20)}},
		{"as the newest of all", []step{{born(ready("a", 7), 10), true}, {born(ready("b", 1), 10), true}, {born(ready("a", 1), 20), true}}, []Server{born(ready("b", 1), 10), born(ready("a", 1), 20)}},
		{"first time with a start", []step{{ready("a", 7), true}, {born(ready("a", 1), 20), true}}, []Server{born(ready("a", 1), 20)}},
		{"late announcement", []step{{born(ready("a", 1), 20), true}, {born(draining("a", 9), 10), false}}, []Server{born(ready("a", 1), 20)}},
		{"late announcement without a start", []step{{born(ready("a", 1), 20), true}, {draining("a", 9), false}}, []Server{born(ready("a", 1), 20)}},
		{"late word that it leaves", []step{{born(ready("a", 1), 20), true}, {gone(born(Server{ID: "a"}, 10)), false}}, []Server{born(ready("a", 1), 20)}},
		{"word that it leaves", []step{{born(ready("a", 1), 20), true}, {gone(born(Server{ID: "a"}, 20)), true}}, []Server{gone(born(ready("a", 1), 20))}},
		{"late after it left", []step{{born(ready("a", 1), 20), true}, {gone(Server{ID: "a"}), true}, {born(ready("a", 2), 20), false}, {born(ready("a", 9), 10), false}}, []Server{gone(born(ready("a", 1), 20))}},
		{"word of a start that wasn't heard", []step{{born(ready("a", 1), 20), true}, {gone(born(Server{ID: "a"}, 30)), true}, {born(ready("a", 2), 20), false}, {born(ready("a", 1), 30), false}}, []Server{gone(born(ready("a", 1), 30))}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			bk := NewCatalog(silence)
			for ix, st := range tc.steps {
				changed := false
				if st.server.State == Gone && st.server.Sequence == 0 && st.server.Born == 0 {
					changed = bk.Leave(t0, st.server.ID)
				} else {
					changed = bk.Announce(t0, st.server)
				}
				c.Assert(changed, qt.Equals, st.changed, qt.Commentf("step %d", ix))
			}
			c.Assert(bk.Records(t0), qt.DeepEquals, tc.want)
		})
	}
}

// Somebody else announces something under the id of a backend server, or a server
// that isn't there. Taken for the server's own word, it takes the server out of its
// service, or callers' requests go where nobody is.
func TestBookForeign(t *testing.T) {
	c := qt.New(t)
	other := born(ready("a", 99), 10)
	other.Service = "t"
	bk := NewCatalog(silence)
	c.Assert(bk.Announce(t0, born(ready("a", 1), 10)), qt.IsTrue)
	c.Assert(bk.Implausible(other), qt.IsTrue, qt.Commentf("another service in one start"))
	c.Assert(bk.Announce(t0, other), qt.IsFalse)
	c.Assert(bk.Implausible(ready("x", 1)), qt.IsTrue, qt.Commentf("no start where all others say theirs"))
	c.Assert(bk.Announce(t0, ready("x", 1)), qt.IsFalse)
	c.Assert(bk.Records(t0), qt.DeepEquals, []Server{born(ready("a", 1), 10)})
	c.Assert(bk.Announce(t0, born(other, 20)), qt.IsTrue, qt.Commentf("another service after a start"))

	// Where servers don't say when they started, one that does is no reason to doubt them.
	bk = NewCatalog(silence)
	for _, se := range []Server{ready("a", 1), ready("b", 1), born(ready("x", 1), 10), ready("c", 1)} {
		c.Assert(bk.Implausible(se), qt.IsFalse)
		c.Assert(bk.Announce(t0, se), qt.IsTrue)
	}
	c.Assert(bk.Announce(t0, ready("a", 2)), qt.IsFalse)
	c.Assert(bk.Records(t0)[0], qt.Equals, ready("a", 2))
	// As they fall silent, what was counted of them goes, too.
	run(bk, t0, t0.Add(2*silence))
	c.Assert(bk.Implausible(ready("d", 1)), qt.IsFalse)
}

// Two control instances hear of a backend server that starts again, in different
// order or one of them not at all. Callers get no answer from it for as long as an
// entry instance takes what is said of the earlier start for news.
func TestUnionStartsAgain(t *testing.T) {
	first, again := born(ready("a", 9), 10), born(ready("a", 1), 20)
	drains := born(draining("a", 10), 10)
	leaves := born(left("a"), 10)
	moved := born(at("a", "z:1", 1), 20)
	for _, tc := range []struct {
		name  string
		steps []step
		want  string
	}{
		{"after Draining", []step{announce("1", first, drains, again)}, "a"},
		{"after Gone", []step{announce("1", first, leaves, again)}, "a"},
		{"late Draining elsewhere", []step{announce("1", first, again), announce("2", drains)}, "a"},
		{"late Gone elsewhere", []step{announce("1", first, again), announce("2", leaves)}, "a"},
		{"late Gone of an id that is past", []step{announce("1", again), drop("1", "a"), wait(2 * hold), announce("2", leaves), announce("1", again)}, "a"},
		{"announcement without a start", []step{announce("1", again), announce("2", draining("a", 9))}, "a"},
		{"book with the earlier start", []step{announce("1", again), replace("2", first)}, "a"},
		{"book that drops the earlier start", []step{announce("2", first), announce("1", again), drop("2", "a"), wait(2 * hold)}, "a"},
		{"only the earlier start is held", []step{announce("2", first), announce("1", again), drop("1", "a"), wait(2 * hold)}, ""},
		{"control was down meanwhile", []step{replace("1", drains), disconnect("1"), replace("1", again)}, "a"},
		{"at another address", []step{announce("1", first, moved)}, "a"},
		{"start that left", []step{announce("1", first, again, born(left("a"), 20)), announce("2", again)}, ""},
		{"whichever start left", []step{announce("1", first, again, left("a")), announce("2", again)}, ""},
		{"Draining of the later start sticks", []step{announce("1", first, born(draining("a", 2), 20)), announce("2", again)}, "a*"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wo := newWorld()
			for _, st := range tc.steps {
				st(wo)
			}
			qt.Assert(t, listing(wo.un), qt.Equals, tc.want)
			for _, ses := range wo.un.Servers() {
				for _, se := range ses {
					qt.Assert(t, se.Born, qt.Equals, int64(20))
				}
			}
		})
	}
}

// Somebody announces a server of a service that no configuration names, at the address
// of one that callers use. If the newer of the two counted, that one would get no
// request any more though it is well. When the service is named later, the newer one
// has the address, as after a crash.
func TestUnionUnknownService(t *testing.T) {
	c := qt.New(t)
	strange := at("x", "a:1", 1)
	strange.Service = "t"
	wo := newWorld()
	wo.un.SetServices(map[string]bool{"s": true})
	announce("1", ready("a", 1), strange)(wo)
	c.Assert(listing(wo.un), qt.Equals, "a")
	drop("1", "x")(wo)
	wait(2 * hold)(wo)
	c.Assert(listing(wo.un), qt.Equals, "a")
	announce("1", strange)(wo)
	wo.un.SetServices(map[string]bool{"s": true, "t": true})
	c.Assert(listing(wo.un), qt.Equals, "a", qt.Commentf("it was superseded when it fell silent"))

	wo = newWorld()
	wo.un.SetServices(map[string]bool{"s": true})
	announce("1", ready("a", 1), strange)(wo)
	wo.un.SetServices(map[string]bool{"s": true, "t": true})
	c.Assert(listing(wo.un), qt.Equals, "x")
	wo.un.SetServices(map[string]bool{"t": true})
	c.Assert(listing(wo.un), qt.Equals, "x")
	wo.un.SetServices(map[string]bool{"u": true})
	c.Assert(listing(wo.un), qt.Equals, "x", qt.Commentf("none of both is named"))
}

// TestStartsInAnyOrder tells several unions of the starts of one server, by several
// sources and in any order. Only the last start counts, and what is said of it.
func TestStartsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := rapid.Int64Range(1, 4).Draw(t, "starts")
		var said []Server
		var want State
		for start := int64(1); start <= last; start++ {
			for range rapid.IntRange(1, 3).Draw(t, "announcements") {
				se := born(ready("a", rapid.Uint64Range(1, 9).Draw(t, "sequence")), start)
				se.State = rapid.SampledFrom([]State{Ready, Ready, Draining, Gone}).Draw(t, "state")
				said = append(said, se)
				if start == last {
					want = max(want, se.State)
				}
			}
		}
		wo := newWorld()
		for _, se := range rapid.Permutation(said).Draw(t, "order") {
			announce(fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "source")), se)(wo)
		}
		for _, se := range wo.un.Servers()["s"] {
			if se.Born != last || se.State != want {
				t.Fatalf("listed %v, want start %d, %v", se, last, want)
			}
		}
		if listed := len(wo.un.Servers()["s"]) == 1; listed != (want != Gone) {
			t.Fatalf("listed %v, the last start is %v", listed, want)
		}
	})
}
