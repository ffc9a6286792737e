package registry

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testRetention = 2 * time.Second

// unionTest is a union with its current time.
type unionTest struct {
	un  *Union
	now time.Time
}

func newUnionTest() *unionTest {
	return &unionTest{un: NewUnion(testRetention), now: t0}
}

// step is one operation on a unionTest.
type step func(ut *unionTest)

func replace(source string, ses ...Server) step {
	return func(ut *unionTest) { ut.un.Replace(ut.now, source, ses) }
}

// announce sends each server in a change of its own.
func announce(source string, ses ...Server) step {
	return func(ut *unionTest) {
		for _, se := range ses {
			ut.un.Apply(ut.now, source, []Change{{Server: se}})
		}
	}
}

func drop(source, id string) step {
	return func(ut *unionTest) {
		ut.un.Apply(ut.now, source, []Change{{Server: Server{ID: id}, Dropped: true}})
	}
}

func disconnect(source string) step {
	return func(ut *unionTest) { ut.un.Disconnect(ut.now, source) }
}

func removeSource(source string) step {
	return func(ut *unionTest) { ut.un.RemoveSource(source) }
}

func markGone(id string) step {
	return func(ut *unionTest) { ut.un.MarkGone(id) }
}

// wait lets time pass in ticks.
func wait(du time.Duration) step {
	return func(ut *unionTest) {
		for end := ut.now.Add(du); ut.now.Before(end); {
			ut.now = ut.now.Add(tick)
			ut.un.Expire(ut.now)
		}
	}
}

// skip lets time pass without a call; the union sees it at the next step.
func skip(du time.Duration) step {
	return func(ut *unionTest) { ut.now = ut.now.Add(du) }
}

// suspend lets time pass in one gap.
func suspend(du time.Duration) step {
	return func(ut *unionTest) {
		ut.now = ut.now.Add(du)
		ut.un.Expire(ut.now)
	}
}

// listedIDs returns the listed ids, Draining ones with a star.
func listedIDs(un *Union) string {
	var ids []string
	for _, ses := range un.Servers() {
		for _, se := range ses {
			ids = append(ids, se.ID+strings.Repeat("*", int(se.State)))
		}
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// withAddress returns a server with an address that others may have as well.
func withAddress(id, address string, sequence uint64) Server {
	se := ready(id, sequence)
	se.Address = address
	return se
}

func goneServer(id string) Server {
	return Server{ID: id, State: Gone}
}

func TestUnionListsServers(t *testing.T) {
	type check struct {
		step step
		want string
	}
	for _, tc := range []struct {
		name   string
		checks []check
	}{
		{"catalogs are merged", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2", ready("b", 1), ready("a", 1)), "a b"},
			{announce("1", ready("c", 1)), "a b c"},
			{replace("3"), "a b c"},
		}},
		{"change before the catalog", []check{{announce("1", ready("a", 1)), "a"}}},
		{"held by one is enough", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2", ready("a", 1)), "a"},
			{drop("1", "a"), "a"},
			{wait(2 * testRetention), "a"},
			{drop("2", "a"), "a"},
			{wait(testRetention - tick), "a"},
			{wait(tick), ""},
			{announce("2", ready("a", 9)), "a"},
		}},
		{"held again before expiry", []check{
			{replace("1", ready("a", 1)), "a"},
			{drop("1", "a"), "a"},
			{wait(testRetention - tick), "a"},
			{announce("2", ready("a", 2)), "a"},
			{wait(2 * testRetention), "a"},
		}},
		{"dropped without being held", []check{{replace("1"), ""}, {drop("1", "a"), ""}, {drop("2", "a"), ""}}},
		{"new catalog", []check{
			{replace("1", ready("a", 1), ready("b", 1)), "a b"},
			{replace("1", ready("b", 1)), "a b"},
			{wait(testRetention), "b"},
		}},
		{"all control instances restart", []check{
			{replace("1", ready("a", 1), ready("b", 1)), "a b"},
			{replace("1"), "a b"},
			{wait(testRetention / 2), "a b"},
			{announce("1", ready("b", 2)), "a b"},
			{wait(testRetention / 2), "b"},
		}},
		{"draining is permanent", []check{
			{replace("1", ready("a", 1)), "a"},
			{announce("1", draining("a", 2)), "a*"},
			{announce("1", ready("a", 3)), "a*"},
			{replace("2", ready("a", 9)), "a*"},
		}},
		{"draining in a late record", []check{{replace("1", ready("a", 3)), "a"}, {replace("2", draining("a", 2)), "a*"}}},
		{"draining is permanent after expiry", []check{
			{replace("1", draining("a", 1)), "a*"},
			{drop("1", "a"), "a*"},
			{wait(testRetention), ""},
			{announce("1", ready("a", 2)), "a*"},
		}},
		{"gone is final", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2", ready("a", 1)), "a"},
			{announce("1", goneServer("a")), ""},
			{announce("2", ready("a", 9)), ""},
			{replace("3", ready("a", 9)), ""},
			{wait(2 * testRetention), ""},
			{announce("1", ready("a", 10)), ""},
		}},
		{"gone before it was seen", []check{{replace("1", goneServer("a"), ready("b", 1)), "b"}, {replace("2", ready("a", 9)), "b"}}},
		{"gone after expiry", []check{
			{replace("1", ready("a", 1)), "a"},
			{drop("1", "a"), "a"},
			{wait(testRetention), ""},
			{announce("1", goneServer("a")), ""},
			{announce("1", ready("a", 2)), ""},
		}},
		{"gone and ready in one catalog", []check{{replace("1", goneServer("a"), ready("a", 1)), ""}, {replace("1", ready("a", 1), goneServer("a")), ""}}},
		{"marked gone", []check{
			{replace("1", ready("a", 1), ready("b", 1)), "a b"},
			{markGone("a"), "b"},
			{announce("1", ready("a", 9)), "b"},
			{markGone("c"), "b"},
			{announce("1", ready("c", 1)), "b"},
		}},
		{"disconnected alone", []check{
			{replace("1", ready("a", 1)), "a"},
			{disconnect("1"), "a"},
			{wait(10 * testRetention), "a"},
			{replace("1"), "a"},
			{wait(testRetention - tick), "a"},
			{wait(tick), ""},
		}},
		{"disconnected, another connected", []check{
			{replace("1", ready("a", 1), ready("b", 1)), "a b"},
			{replace("2", ready("b", 1)), "a b"},
			{wait(testRetention), "a b"},
			{disconnect("1"), "a b"},
			{disconnect("1"), "a b"},
			{wait(testRetention - tick), "a b"},
			{wait(tick), "b"},
			{replace("1", ready("a", 1), ready("b", 1)), "a b"},
		}},
		{"connected again", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2"), "a"},
			{disconnect("1"), "a"},
			{wait(testRetention - tick), "a"},
			{announce("1"), "a"},
			{replace("1", ready("a", 1)), "a"},
			{wait(10 * testRetention), "a"},
		}},
		{"unknown source", []check{{disconnect("1"), ""}, {removeSource("1"), ""}, {markGone("a"), ""}}},
		{"source removed", []check{
			{replace("1", ready("a", 1), ready("b", 1)), "a b"},
			{replace("2", ready("b", 1)), "a b"},
			{removeSource("1"), "a b"},
			{wait(testRetention - tick), "a b"},
			{wait(tick), "b"},
		}},
		{"disconnected between two checks", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2"), "a"},
			{skip(testRetention / 2), "a"},
			{disconnect("1"), "a"},
			{wait(testRetention - tick), "a"},
			{wait(tick), ""},
		}},
		{"source removed while disconnected", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2"), "a"},
			{disconnect("1"), "a"},
			{wait(testRetention / 2), "a"},
			{removeSource("1"), "a"},
			{wait(testRetention/2 - tick), "a"},
			{wait(tick), ""},
		}},
		{"last source removed", []check{{replace("1", ready("a", 1)), "a"}, {removeSource("1"), "a"}, {wait(10 * testRetention), "a"}}},
		{"one address", []check{
			{replace("1", withAddress("a", "x", 5)), "a"},
			{announce("1", withAddress("b", "x", 1)), "b"},
			{announce("1", withAddress("a", "x", 6)), "b"},
			{replace("2", withAddress("a", "x", 7)), "b"},
		}},
		{"one address in a catalog", []check{{replace("1", withAddress("b", "x", 5), withAddress("a", "x", 1)), "a"}, {replace("2", withAddress("a", "x", 1), withAddress("b", "x", 6)), "a"}}},
		{"one address, other services", []check{
			{replace("1", withAddress("a", "x", 5)), "a"},
			{announce("1", Server{ID: "b", Service: "t", Address: "x", Sequence: 1}), "b"},
		}},
		{"one address, older gone", []check{
			{replace("1", withAddress("a", "x", 5)), "a"},
			{announce("1", withAddress("b", "x", 1)), "b"},
			{announce("1", goneServer("a")), "b"},
			{announce("1", goneServer("b")), ""},
		}},
		{"one address, three ids", []check{
			{replace("1", withAddress("a", "x", 1)), "a"},
			{announce("1", withAddress("b", "x", 1)), "b"},
			{announce("1", withAddress("c", "x", 1)), "c"},
			{announce("1", goneServer("b")), "c"},
			{drop("1", "a"), "c"},
			{announce("1", goneServer("c")), ""},
		}},
		{"no address", []check{
			{replace("1", withAddress("a", "", 1), withAddress("b", "", 1)), "a b"},
			{drop("1", "a"), "a b"},
			{announce("1", goneServer("b")), "a"},
			{wait(testRetention), ""},
			{announce("1", withAddress("a", "", 2)), "a"},
		}},
		{"dropped between two checks", []check{
			{replace("1", ready("a", 1)), "a"},
			{skip(testRetention / 2), "a"},
			{drop("1", "a"), "a"},
			{wait(testRetention - tick), "a"},
			{wait(tick), ""},
		}},
		{"moved", []check{
			{replace("1", withAddress("a", "x", 1)), "a"},
			{announce("1", withAddress("a", "y", 2)), "a"},
			{announce("1", withAddress("b", "x", 1)), "a b"},
			{announce("1", withAddress("a", "x", 1)), "a b"},
			{announce("1", withAddress("a", "x", 3)), "b"},
			{announce("1", withAddress("a", "z", 4)), "a b"},
			{announce("1", withAddress("b", "z", 2)), "b"},
			{announce("1", withAddress("b", "", 3)), "a b"},
		}},
		{"older gone, newer left", []check{
			{replace("1", withAddress("a", "x", 1)), "a"},
			{announce("1", withAddress("b", "x", 1)), "b"},
			{drop("1", "a"), "b"},
			{announce("1", goneServer("b")), ""},
			{announce("1", withAddress("a", "x", 2)), ""},
		}},
		{"older gone, newer expired", []check{
			{replace("1", withAddress("a", "x", 1)), "a"},
			{announce("1", withAddress("b", "x", 1)), "b"},
			{drop("1", "a"), "b"},
			{drop("1", "b"), "b"},
			{wait(testRetention), ""},
			{announce("1", withAddress("a", "x", 2)), ""},
			{announce("1", withAddress("b", "x", 2)), "b"},
		}},
		{"older gone after the retention time", []check{
			{replace("1", withAddress("a", "x", 1)), "a"},
			{announce("1", withAddress("b", "x", 1)), "b"},
			{drop("1", "a"), "b"},
			{wait(testRetention), "b"},
			{markGone("b"), ""},
			{announce("1", withAddress("a", "x", 2)), ""},
		}},
		{"older gone, newer marked gone", []check{
			{replace("1", withAddress("a", "x", 1)), "a"},
			{announce("1", withAddress("b", "x", 1)), "b"},
			{drop("1", "a"), "b"},
			{markGone("b"), ""},
			{announce("1", withAddress("a", "x", 2)), ""},
		}},
		{"marked gone while nothing is connected", []check{
			{replace("1", withAddress("a", "x", 1), withAddress("b", "x", 1)), "b"},
			{disconnect("1"), "b"},
			{markGone("b"), "a"},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ut := newUnionTest()
			for ix, ch := range tc.checks {
				ch.step(ut)
				qt.Assert(t, listedIDs(ut.un), qt.Equals, ch.want, qt.Commentf("step %d", ix))
			}
		})
	}
}

// Guards against requests to a process that has ended. A backend server crashes and
// restarts at its address with another id. An announcement of the first one, delayed by a
// partition, arrives after all instances have dropped it and heard the second.
func TestUnionIgnoresDelayedAnnouncement(t *testing.T) {
	c := qt.New(t)
	ut := newUnionTest()
	for _, st := range []step{
		replace("1", withAddress("old", "x", 7)), replace("2"),
		wait(testSilenceTimeout), drop("1", "old"), wait(testRetention),
	} {
		st(ut)
	}
	c.Assert(listedIDs(ut.un), qt.Equals, "")
	announce("1", withAddress("new", "x", 1))(ut)
	announce("2", withAddress("old", "x", 8))(ut)
	c.Assert(listedIDs(ut.un), qt.Equals, "new")
	wait(testSilenceTimeout)(ut)
	drop("2", "old")(ut)
	wait(10 * testRetention)(ut)
	c.Assert(listedIDs(ut.un), qt.Equals, "new")
}

// Guards against the same with an entry instance that started after the crash, to which
// the delayed announcement looks like that of a new server. The second server refuses
// requests for the first and goes on announcing itself; it must be listed again.
func TestUnionDelayedAnnouncementOfUnknownServer(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ended step // how the first server is found to have ended
		waits time.Duration
		again string // what is listed if the first server is announced again
	}{
		{"refused", markGone("old"), 0, "new"},
		{"left", announce("2", goneServer("old")), 0, "new"},
		{"silent", drop("2", "old"), testRetention, "old"}, // it could be the right one, silenced by a partition
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			ut := newUnionTest()
			replace("1", withAddress("new", "x", 4))(ut)
			replace("2")(ut)
			announce("2", withAddress("old", "x", 8))(ut)
			c.Assert(listedIDs(ut.un), qt.Equals, "old")
			wait(2 * testRetention)(ut)
			c.Assert(listedIDs(ut.un), qt.Equals, "old")
			tc.ended(ut)
			wait(tc.waits)(ut)
			c.Assert(listedIDs(ut.un), qt.Equals, "new")
			announce("2", withAddress("old", "x", 9))(ut)
			c.Assert(listedIDs(ut.un), qt.Equals, tc.again)
		})
	}
}

// Guards against removing a server after a suspension. The machine of an entry instance
// is suspended for ten seconds just after a server moved from one control instance to
// another, whose message waits in the socket. If the gap counted, the server would be
// removed at the first check and return at the next.
func TestUnionExpireAfterSuspension(t *testing.T) {
	c := qt.New(t)
	ut := newUnionTest()
	replace("1", ready("a", 1), ready("b", 1))(ut)
	replace("2")(ut)
	drop("1", "a")(ut)
	wait(tick)(ut)
	suspend(10 * time.Second)(ut)
	c.Assert(listedIDs(ut.un), qt.Equals, "a b")
	announce("2", ready("a", 2))(ut)
	wait(2 * testRetention)(ut)
	c.Assert(listedIDs(ut.un), qt.Equals, "a b")
}

func TestUnionServersAndVersion(t *testing.T) {
	c := qt.New(t)
	ut := newUnionTest()
	un := ut.un
	c.Assert(un.Servers(), qt.DeepEquals, map[string][]Server{})
	c.Assert(un.Version(), qt.Equals, uint64(0))

	replace("1", ready("", 1), Server{Service: "s", Address: "x", State: Gone})(ut)
	c.Assert(un.Servers(), qt.DeepEquals, map[string][]Server{}, qt.Commentf("no id"))
	c.Assert(un.past.byID, qt.HasLen, 0)
	c.Assert(un.Version(), qt.Equals, uint64(0))

	other := Server{ID: "t1", Service: "t", Address: "t1:1", Slots: 4, State: Draining, Sequence: 3, WarmMillis: 10}
	replace("1", ready("b", 1), other, ready("a", 1))(ut)
	first := un.Servers()
	want := map[string][]Server{"s": {ready("a", 1), ready("b", 1)}, "t": {other}}
	c.Assert(first, qt.DeepEquals, want)
	c.Assert(un.Version(), qt.Equals, uint64(1))

	announce("1", ready("b", 2))(ut)
	replace("2", ready("a", 2), goneServer("c"))(ut)
	replace("1", ready("b", 2), other, ready("a", 1))(ut)
	c.Assert(un.Expire(ut.now), qt.IsFalse)
	c.Assert(un.Version(), qt.Equals, uint64(1), qt.Commentf("nothing to publish"))
	c.Assert(un.Servers(), qt.DeepEquals, want)

	announce("1", draining("b", 3))(ut)
	c.Assert(un.Version(), qt.Equals, uint64(2))
	c.Assert(un.Servers(), qt.DeepEquals, map[string][]Server{"s": {ready("a", 1), draining("b", 3)}, "t": {other}})

	announce("1", goneServer("t1"))(ut)
	c.Assert(un.Servers(), qt.DeepEquals, map[string][]Server{"s": {ready("a", 1), draining("b", 3)}})
	c.Assert(un.byService, qt.HasLen, 1)
	drop("1", "b")(ut)
	c.Assert(un.Version(), qt.Equals, uint64(3))
	for ut.now.Before(t0.Add(testRetention)) {
		ut.now = ut.now.Add(tick)
		c.Assert(un.Expire(ut.now), qt.Equals, ut.now.Equal(t0.Add(testRetention)))
	}
	c.Assert(un.Version(), qt.Equals, uint64(4))
	c.Assert(un.Servers(), qt.DeepEquals, map[string][]Server{"s": {ready("a", 1)}})
	c.Assert(first, qt.DeepEquals, want, qt.Commentf("what was returned before"))
}

// Shows which of several records of a server counts.
func TestUnionHighestSequenceWins(t *testing.T) {
	slots := func(sequence uint64, slots int) Server {
		se := ready("a", sequence)
		se.Slots = slots
		return se
	}
	moved := slots(3, 5)
	moved.Service = "t"
	for _, tc := range []struct {
		name  string
		steps []step
		want  Server
	}{
		{"higher", []step{replace("1", slots(1, 3)), replace("2", slots(2, 4))}, slots(2, 4)},
		{"lower", []step{replace("1", slots(2, 4)), replace("2", slots(1, 3))}, slots(2, 4)},
		{"lower, same source", []step{replace("1", slots(2, 4)), replace("1", slots(1, 3))}, slots(2, 4)},
		{"kept when its source drops it", []step{replace("1", slots(2, 4)), replace("2", slots(1, 3)), drop("1", "a")}, slots(2, 4)},
		{"after a sequence that was not published", []step{replace("1", slots(1, 4)), replace("1", slots(5, 4)), replace("2", slots(3, 3))}, slots(1, 4)},
		{"without sequences", []step{replace("1", slots(0, 3)), replace("1", slots(0, 4))}, slots(0, 4)},
		{"other service", []step{replace("1", slots(1, 4)), announce("1", moved)}, moved},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ut := newUnionTest()
			for _, st := range tc.steps {
				st(ut)
			}
			qt.Assert(t, ut.un.Servers(), qt.DeepEquals, map[string][]Server{tc.want.Service: {tc.want}})
		})
	}
}

// Guards against memory that grows as ids come and go over a long time.
func TestUnionSizeIsBounded(t *testing.T) {
	c := qt.New(t)
	ut := newUnionTest()
	replace("1")(ut)
	for ix := range maxPast + 10 {
		id := fmt.Sprint(ix)
		announce("1", ready(id, 1), goneServer(id))(ut)
	}
	un := ut.un
	c.Assert(un.past.byID, qt.HasLen, maxPast)
	c.Assert(un.Servers(), qt.HasLen, 0)
	sizes := []int{len(un.items), len(un.byAddress), len(un.byService), len(un.dirtyServices), len(un.sources["1"].held)}
	c.Assert(sizes, qt.DeepEquals, []int{0, 0, 0, 0, 0})
	announce("1", ready("10", 2))(ut)
	c.Assert(listedIDs(un), qt.Equals, "")
}

// Exercises all methods and readers of the published maps concurrently for the race
// detector.
func TestUnionConcurrent(t *testing.T) {
	un := NewUnion(testRetention)
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			source := fmt.Sprint(worker)
			for step := range 300 {
				now := t0.Add(time.Duration(step) * 10 * time.Millisecond)
				id := fmt.Sprint(worker, "-", step)
				un.Apply(now, source, []Change{{Server: ready(id, 1)}})
				for service, ses := range un.Servers() {
					if service != "s" || !slices.IsSortedFunc(ses, func(a, b Server) int { return strings.Compare(a.ID, b.ID) }) {
						t.Errorf("%s: %v", service, ses)
					}
				}
				switch step % 50 {
				case 10:
					un.Replace(now, source, nil)
				case 20:
					un.MarkGone(id)
				case 30:
					un.Disconnect(now, source)
				case 40:
					un.RemoveSource(source)
				}
				un.Expire(now)
				un.Version()
			}
		})
	}
	wg.Wait()
}

// copyOf returns a copy that shares neither the map nor its slices.
func copyOf(listed map[string][]Server) map[string][]Server {
	co := maps.Clone(listed)
	for service, ses := range co {
		co[service] = slices.Clone(ses)
	}
	return co
}
