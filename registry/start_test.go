package registry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// withStart returns a server with a start time.
func withStart(se Server, at int64) Server {
	se.Born = at
	return se
}

// Guards against a restarted server that gets no requests. A backend server that crashed
// or drained restarts under its id, with a new state and a new sequence. If only the id
// counted, it would get no request for as long as the control instance runs although it
// announces itself, and a late message of the earlier incarnation could end it.
func TestCatalogRestartUnderSameID(t *testing.T) {
	gone := func(se Server) Server {
		se.State = Gone
		return se
	}
	type step struct {
		server  Server // announced; with the state Gone, no sequence and no start time, its id leaves
		changed bool
	}
	for _, tc := range []struct {
		name  string
		steps []step
		want  []Server
	}{
		{"while it drains", []step{{withStart(draining("a", 7), 10), true}, {withStart(ready("a", 1), 20), true}}, []Server{withStart(ready("a", 1), 20)}},
		{"after it left", []step{{withStart(ready("a", 7), 10), true}, {gone(Server{ID: "a"}), true}, {withStart(ready("a", 1), 20), true}}, []Server{withStart(ready("a", 1), 20)}},
		{"after leaving without being heard", []step{{gone(Server{ID: "a"}), true}, {withStart(ready("a", 1), 20), true}}, []Server{withStart(ready("a", 1), 20)}},
		{"after a crash", []step{{withStart(ready("a", 7), 10), true}, {withStart(ready("a", 1), 20), true}}, []Server{withStart(ready("a", 1), 20)}},
		{"moves to the end of the order", []step{{withStart(ready("a", 7), 10), true}, {withStart(ready("b", 1), 10), true}, {withStart(ready("a", 1), 20), true}}, []Server{withStart(ready("b", 1), 10), withStart(ready("a", 1), 20)}},
		{"first announcement with a start time", []step{{ready("a", 7), true}, {withStart(ready("a", 1), 20), true}}, []Server{withStart(ready("a", 1), 20)}},
		{"late announcement", []step{{withStart(ready("a", 1), 20), true}, {withStart(draining("a", 9), 10), false}}, []Server{withStart(ready("a", 1), 20)}},
		{"late announcement without a start time", []step{{withStart(ready("a", 1), 20), true}, {draining("a", 9), false}}, []Server{withStart(ready("a", 1), 20)}},
		{"late message that it leaves", []step{{withStart(ready("a", 1), 20), true}, {gone(withStart(Server{ID: "a"}, 10)), false}}, []Server{withStart(ready("a", 1), 20)}},
		{"message that it leaves", []step{{withStart(ready("a", 1), 20), true}, {gone(withStart(Server{ID: "a"}, 20)), true}}, []Server{gone(withStart(ready("a", 1), 20))}},
		{"late after it left", []step{{withStart(ready("a", 1), 20), true}, {gone(Server{ID: "a"}), true}, {withStart(ready("a", 2), 20), false}, {withStart(ready("a", 9), 10), false}}, []Server{gone(withStart(ready("a", 1), 20))}},
		{"message that an unheard incarnation leaves", []step{{withStart(ready("a", 1), 20), true}, {gone(withStart(Server{ID: "a"}, 30)), true}, {withStart(ready("a", 2), 20), false}, {withStart(ready("a", 1), 30), false}}, []Server{gone(withStart(ready("a", 1), 30))}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			ct := NewCatalog(testSilenceTimeout)
			for ix, st := range tc.steps {
				changed := false
				if st.server.State == Gone && st.server.Sequence == 0 && st.server.Born == 0 {
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

// Guards against announcements that come from something else, under the id of a backend
// server or of one that doesn't exist. Accepted, they would take the server out of its
// service or send requests to a process that doesn't exist.
func TestCatalogRejectsImplausibleAnnouncement(t *testing.T) {
	c := qt.New(t)
	other := withStart(ready("a", 99), 10)
	other.Service = "t"
	ct := NewCatalog(testSilenceTimeout)
	c.Assert(ct.Announce(t0, withStart(ready("a", 1), 10)), qt.IsTrue)
	c.Assert(ct.Implausible(other), qt.IsTrue, qt.Commentf("another service in the same incarnation"))
	c.Assert(ct.Announce(t0, other), qt.IsFalse)
	c.Assert(ct.Implausible(ready("x", 1)), qt.IsTrue, qt.Commentf("no start time where all others have one"))
	c.Assert(ct.Announce(t0, ready("x", 1)), qt.IsFalse)
	c.Assert(ct.Records(t0), qt.DeepEquals, []Server{withStart(ready("a", 1), 10)})
	c.Assert(ct.Announce(t0, withStart(other, 20)), qt.IsTrue, qt.Commentf("another service after a restart"))

	// Where servers don't announce a start time, one that does is no reason to reject
	// them.
	ct = NewCatalog(testSilenceTimeout)
	for _, se := range []Server{ready("a", 1), ready("b", 1), withStart(ready("x", 1), 10), ready("c", 1)} {
		c.Assert(ct.Implausible(se), qt.IsFalse)
		c.Assert(ct.Announce(t0, se), qt.IsTrue)
	}
	c.Assert(ct.Announce(t0, ready("a", 2)), qt.IsFalse)
	c.Assert(ct.Records(t0)[0], qt.Equals, ready("a", 2))
	// Expired servers no longer count.
	expireUntil(ct, t0, t0.Add(2*testSilenceTimeout))
	c.Assert(ct.Implausible(ready("d", 1)), qt.IsFalse)
}

// Guards against a restarted server that gets no requests because two control instances
// report its restart in a different order, or one of them not at all, and the entry
// instance takes a record of the earlier incarnation for newer.
func TestUnionRestartUnderSameID(t *testing.T) {
	first, again := withStart(ready("a", 9), 10), withStart(ready("a", 1), 20)
	drains := withStart(draining("a", 10), 10)
	leaves := withStart(goneServer("a"), 10)
	moved := withStart(withAddress("a", "z:1", 1), 20)
	for _, tc := range []struct {
		name  string
		steps []step
		want  string
	}{
		{"after Draining", []step{announce("1", first, drains, again)}, "a"},
		{"after Gone", []step{announce("1", first, leaves, again)}, "a"},
		{"late Draining elsewhere", []step{announce("1", first, again), announce("2", drains)}, "a"},
		{"late Gone elsewhere", []step{announce("1", first, again), announce("2", leaves)}, "a"},
		{"late Gone of an expired id", []step{announce("1", again), drop("1", "a"), wait(2 * testRetention), announce("2", leaves), announce("1", again)}, "a"},
		{"announcement without a start time", []step{announce("1", again), announce("2", draining("a", 9))}, "a"},
		{"catalog with the earlier incarnation", []step{announce("1", again), replace("2", first)}, "a"},
		{"catalog that drops the earlier incarnation", []step{announce("2", first), announce("1", again), drop("2", "a"), wait(2 * testRetention)}, "a"},
		{"only the earlier incarnation is held", []step{announce("2", first), announce("1", again), drop("1", "a"), wait(2 * testRetention)}, ""},
		{"control instance was down", []step{replace("1", drains), disconnect("1"), replace("1", again)}, "a"},
		{"at another address", []step{announce("1", first, moved)}, "a"},
		{"last incarnation left", []step{announce("1", first, again, withStart(goneServer("a"), 20)), announce("2", again)}, ""},
		{"any incarnation left", []step{announce("1", first, again, goneServer("a")), announce("2", again)}, ""},
		{"Draining of the later incarnation is permanent", []step{announce("1", first, withStart(draining("a", 2), 20)), announce("2", again)}, "a*"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ut := newUnionTest()
			for _, st := range tc.steps {
				st(ut)
			}
			qt.Assert(t, listedIDs(ut.un), qt.Equals, tc.want)
			for _, ses := range ut.un.Servers() {
				for _, se := range ses {
					qt.Assert(t, se.Born, qt.Equals, int64(20))
				}
			}
		})
	}
}

// Guards against a healthy server that is hidden by an announcement of an unused service
// at its address. Once the service is in use, the newer announcement has the address, as
// after a crash.
func TestUnionUnknownServiceDoesNotSupersede(t *testing.T) {
	c := qt.New(t)
	strange := withAddress("x", "a:1", 1)
	strange.Service = "t"
	ut := newUnionTest()
	ut.un.SetServices(map[string]bool{"s": true})
	announce("1", ready("a", 1), strange)(ut)
	c.Assert(listedIDs(ut.un), qt.Equals, "a")
	drop("1", "x")(ut)
	wait(2 * testRetention)(ut)
	c.Assert(listedIDs(ut.un), qt.Equals, "a")
	announce("1", strange)(ut)
	ut.un.SetServices(map[string]bool{"s": true, "t": true})
	c.Assert(listedIDs(ut.un), qt.Equals, "a", qt.Commentf("it was superseded when it fell silent"))

	ut = newUnionTest()
	ut.un.SetServices(map[string]bool{"s": true})
	announce("1", ready("a", 1), strange)(ut)
	ut.un.SetServices(map[string]bool{"s": true, "t": true})
	c.Assert(listedIDs(ut.un), qt.Equals, "x")
	ut.un.SetServices(map[string]bool{"t": true})
	c.Assert(listedIDs(ut.un), qt.Equals, "x")
	ut.un.SetServices(map[string]bool{"u": true})
	c.Assert(listedIDs(ut.un), qt.Equals, "x", qt.Commentf("neither is in use"))
}

// Sends the announcements of several incarnations of one server through several sources
// in random order. Only those of the last incarnation may count.
func TestUnionLastIncarnationCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last := rapid.Int64Range(1, 4).Draw(t, "starts")
		var said []Server
		var want State
		for start := int64(1); start <= last; start++ {
			for range rapid.IntRange(1, 3).Draw(t, "announcements") {
				se := withStart(ready("a", rapid.Uint64Range(1, 9).Draw(t, "sequence")), start)
				se.State = rapid.SampledFrom([]State{Ready, Ready, Draining, Gone}).Draw(t, "state")
				said = append(said, se)
				if start == last {
					want = max(want, se.State)
				}
			}
		}
		ut := newUnionTest()
		for _, se := range rapid.Permutation(said).Draw(t, "order") {
			announce(fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "source")), se)(ut)
		}
		for _, se := range ut.un.Servers()["s"] {
			if se.Born != last || se.State != want {
				t.Fatalf("listed %v, want start %d, %v", se, last, want)
			}
		}
		if listed := len(ut.un.Servers()["s"]) == 1; listed != (want != Gone) {
			t.Fatalf("listed %v, the last start is %v", listed, want)
		}
	})
}
