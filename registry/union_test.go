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

const hold = 2 * time.Second

// world is a union with its time.
type world struct {
	un  *Union
	now time.Time
}

func newWorld() *world {
	return &world{un: NewUnion(hold), now: t0}
}

// step changes a world.
type step func(wo *world)

func replace(source string, ses ...Server) step {
	return func(wo *world) { wo.un.Replace(wo.now, source, ses) }
}

// announce tells each server in a change of its own.
func announce(source string, ses ...Server) step {
	return func(wo *world) {
		for _, se := range ses {
			wo.un.Apply(wo.now, source, []Change{{Server: se}})
		}
	}
}

func drop(source, id string) step {
	return func(wo *world) {
		wo.un.Apply(wo.now, source, []Change{{Server: Server{ID: id}, Dropped: true}})
	}
}

func disconnect(source string) step {
	return func(wo *world) { wo.un.Disconnect(wo.now, source) }
}

func forget(source string) step {
	return func(wo *world) { wo.un.RemoveSource(source) }
}

func markGone(id string) step {
	return func(wo *world) { wo.un.MarkGone(id) }
}

// wait lets the time pass in ticks.
func wait(du time.Duration) step {
	return func(wo *world) {
		for end := wo.now.Add(du); wo.now.Before(end); {
			wo.now = wo.now.Add(tick)
			wo.un.Expire(wo.now)
		}
	}
}

// pass lets the time pass, of which the union hears at the next step.
func pass(du time.Duration) step {
	return func(wo *world) { wo.now = wo.now.Add(du) }
}

// suspend lets the time pass unseen.
func suspend(du time.Duration) step {
	return func(wo *world) {
		wo.now = wo.now.Add(du)
		wo.un.Expire(wo.now)
	}
}

// listing returns the ids that are listed, the Draining ones with a star.
func listing(un *Union) string {
	var ids []string
	for _, ses := range un.Servers() {
		for _, se := range ses {
			ids = append(ids, se.ID+strings.Repeat("*", int(se.State)))
		}
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// at returns a server with an address that others may have as well.
func at(id, address string, sequence uint64) Server {
	se := ready(id, sequence)
	se.Address = address
	return se
}

func left(id string) Server {
	return Server{ID: id, State: Gone}
}

func TestUnion(t *testing.T) {
	type check struct {
		step step
		want string
	}
	for _, tc := range []struct {
		name   string
		checks []check
	}{
		{"books add up", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2", ready("b", 1), ready("a", 1)), "a b"},
			{announce("1", ready("c", 1)), "a b c"},
			{replace("3"), "a b c"},
		}},
		{"change before the book", []check{{announce("1", ready("a", 1)), "a"}}},
		{"held by one is enough", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2", ready("a", 1)), "a"},
			{drop("1", "a"), "a"},
			{wait(2 * hold), "a"},
			{drop("2", "a"), "a"},
			{wait(hold - tick), "a"},
			{wait(tick), ""},
			{announce("2", ready("a", 9)), "a"},
		}},
		{"held again in time", []check{
			{replace("1", ready("a", 1)), "a"},
			{drop("1", "a"), "a"},
			{wait(hold - tick), "a"},
			{announce("2", ready("a", 2)), "a"},
			{wait(2 * hold), "a"},
		}},
		{"dropped unheard", []check{{replace("1"), ""}, {drop("1", "a"), ""}, {drop("2", "a"), ""}}},
		{"new book", []check{
			{replace("1", ready("a", 1), ready("b", 1)), "a b"},
			{replace("1", ready("b", 1)), "a b"},
			{wait(hold), "b"},
		}},
		{"all control instances start anew", []check{
			{replace("1", ready("a", 1), ready("b", 1)), "a b"},
			{replace("1"), "a b"},
			{wait(hold / 2), "a b"},
			{announce("1", ready("b", 2)), "a b"},
			{wait(hold / 2), "b"},
		}},
		{"draining sticks", []check{
			{replace("1", ready("a", 1)), "a"},
			{announce("1", draining("a", 2)), "a*"},
			{announce("1", ready("a", 3)), "a*"},
			{replace("2", ready("a", 9)), "a*"},
		}},
		{"draining, told late", []check{{replace("1", ready("a", 3)), "a"}, {replace("2", draining("a", 2)), "a*"}}},
		{"draining sticks after it left", []check{
			{replace("1", draining("a", 1)), "a*"},
			{drop("1", "a"), "a*"},
			{wait(hold), ""},
			{announce("1", ready("a", 2)), "a*"},
		}},
		{"gone is final", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2", ready("a", 1)), "a"},
			{announce("1", left("a")), ""},
			{announce("2", ready("a", 9)), ""},
			{replace("3", ready("a", 9)), ""},
			{wait(2 * hold), ""},
			{announce("1", ready("a", 10)), ""},
		}},
		{"gone before it was heard", []check{{replace("1", left("a"), ready("b", 1)), "b"}, {replace("2", ready("a", 9)), "b"}}},
		{"gone after it left", []check{
			{replace("1", ready("a", 1)), "a"},
			{drop("1", "a"), "a"},
			{wait(hold), ""},
			{announce("1", left("a")), ""},
			{announce("1", ready("a", 2)), ""},
		}},
		{"gone in a book that has it too", []check{{replace("1", left("a"), ready("a", 1)), ""}, {replace("1", ready("a", 1), left("a")), ""}}},
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
			{wait(10 * hold), "a"},
			{replace("1"), "a"},
			{wait(hold - tick), "a"},
			{wait(tick), ""},
		}},
		{"disconnected, another connected", []check{
			{replace("1", ready("a", 1), ready("b", 1)), "a b"},
			{replace("2", ready("b", 1)), "a b"},
			{wait(hold), "a b"},
			{disconnect("1"), "a b"},
			{disconnect("1"), "a b"},
			{wait(hold - tick), "a b"},
			{wait(tick), "b"},
			{replace("1", ready("a", 1), ready("b", 1)), "a b"},
		}},
		{"connected again", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2"), "a"},
			{disconnect("1"), "a"},
			{wait(hold - tick), "a"},
			{announce("1"), "a"},
			{replace("1", ready("a", 1)), "a"},
			{wait(10 * hold), "a"},
		}},
		{"unknown source", []check{{disconnect("1"), ""}, {forget("1"), ""}, {markGone("a"), ""}}},
		{"forgotten", []check{
			{replace("1", ready("a", 1), ready("b", 1)), "a b"},
			{replace("2", ready("b", 1)), "a b"},
			{forget("1"), "a b"},
			{wait(hold - tick), "a b"},
			{wait(tick), "b"},
		}},
		{"connected until between two looks", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2"), "a"},
			{pass(hold / 2), "a"},
			{disconnect("1"), "a"},
			{wait(hold - tick), "a"},
			{wait(tick), ""},
		}},
		{"forgotten while disconnected", []check{
			{replace("1", ready("a", 1)), "a"},
			{replace("2"), "a"},
			{disconnect("1"), "a"},
			{wait(hold / 2), "a"},
			{forget("1"), "a"},
			{wait(hold/2 - tick), "a"},
			{wait(tick), ""},
		}},
		{"the last forgotten", []check{{replace("1", ready("a", 1)), "a"}, {forget("1"), "a"}, {wait(10 * hold), "a"}}},
		{"one address", []check{
			{replace("1", at("a", "x", 5)), "a"},
			{announce("1", at("b", "x", 1)), "b"},
			{announce("1", at("a", "x", 6)), "b"},
			{replace("2", at("a", "x", 7)), "b"},
		}},
		{"one address in a book", []check{{replace("1", at("b", "x", 5), at("a", "x", 1)), "a"}, {replace("2", at("a", "x", 1), at("b", "x", 6)), "a"}}},
		{"one address, other services", []check{
			{replace("1", at("a", "x", 5)), "a"},
			{announce("1", Server{ID: "b", Service: "t", Address: "x", Sequence: 1}), "b"},
		}},
		{"one address, older gone", []check{
			{replace("1", at("a", "x", 5)), "a"},
			{announce("1", at("b", "x", 1)), "b"},
			{announce("1", left("a")), "b"},
			{announce("1", left("b")), ""},
		}},
		{"one address, three ids", []check{
			{replace("1", at("a", "x", 1)), "a"},
			{announce("1", at("b", "x", 1)), "b"},
			{announce("1", at("c", "x", 1)), "c"},
			{announce("1", left("b")), "c"},
			{drop("1", "a"), "c"},
			{announce("1", left("c")), ""},
		}},
		{"no address", []check{
			{replace("1", at("a", "", 1), at("b", "", 1)), "a b"},
			{drop("1", "a"), "a b"},
			{announce("1", left("b")), "a"},
			{wait(hold), ""},
			{announce("1", at("a", "", 2)), "a"},
		}},
		{"held until between two looks", []check{
			{replace("1", ready("a", 1)), "a"},
			{pass(hold / 2), "a"},
			{drop("1", "a"), "a"},
			{wait(hold - tick), "a"},
			{wait(tick), ""},
		}},
		{"moved", []check{
			{replace("1", at("a", "x", 1)), "a"},
			{announce("1", at("a", "y", 2)), "a"},
			{announce("1", at("b", "x", 1)), "a b"},
			{announce("1", at("a", "x", 1)), "a b"},
			{announce("1", at("a", "x", 3)), "b"},
			{announce("1", at("a", "z", 4)), "a b"},
			{announce("1", at("b", "z", 2)), "b"},
			{announce("1", at("b", "", 3)), "a b"},
		}},
		{"older for good, newer left by its word", []check{
			{replace("1", at("a", "x", 1)), "a"},
			{announce("1", at("b", "x", 1)), "b"},
			{drop("1", "a"), "b"},
			{announce("1", left("b")), ""},
			{announce("1", at("a", "x", 2)), ""},
		}},
		{"older for good, newer fell silent", []check{
			{replace("1", at("a", "x", 1)), "a"},
			{announce("1", at("b", "x", 1)), "b"},
			{drop("1", "a"), "b"},
			{drop("1", "b"), "b"},
			{wait(hold), ""},
			{announce("1", at("a", "x", 2)), ""},
			{announce("1", at("b", "x", 2)), "b"},
		}},
		{"older for good after the time", []check{
			{replace("1", at("a", "x", 1)), "a"},
			{announce("1", at("b", "x", 1)), "b"},
			{drop("1", "a"), "b"},
			{wait(hold), "b"},
			{markGone("b"), ""},
			{announce("1", at("a", "x", 2)), ""},
		}},
		{"older for good, newer is another", []check{
			{replace("1", at("a", "x", 1)), "a"},
			{announce("1", at("b", "x", 1)), "b"},
			{drop("1", "a"), "b"},
			{markGone("b"), ""},
			{announce("1", at("a", "x", 2)), ""},
		}},
		{"marked gone while nothing is connected", []check{
			{replace("1", at("a", "x", 1), at("b", "x", 1)), "b"},
			{disconnect("1"), "b"},
			{markGone("b"), "a"},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wo := newWorld()
			for ix, ch := range tc.checks {
				ch.step(wo)
				qt.Assert(t, listing(wo.un), qt.Equals, ch.want, qt.Commentf("step %d", ix))
			}
		})
	}
}

// A backend server crashes and is started again at its address, with another
// id. An announcement of the first was held up by a cut; it comes after all
// control instances and this instance have dropped the first, and heard the
// second. If the first were listed, requests would go to a process that isn't.
func TestUnionHeldUp(t *testing.T) {
	c := qt.New(t)
	wo := newWorld()
	for _, st := range []step{
		replace("1", at("old", "x", 7)), replace("2"),
		wait(silence), drop("1", "old"), wait(hold),
	} {
		st(wo)
	}
	c.Assert(listing(wo.un), qt.Equals, "")
	announce("1", at("new", "x", 1))(wo)
	announce("2", at("old", "x", 8))(wo)
	c.Assert(listing(wo.un), qt.Equals, "new")
	wait(silence)(wo)
	drop("2", "old")(wo)
	wait(10 * hold)(wo)
	c.Assert(listing(wo.un), qt.Equals, "new")
}

// As before, but this process has started after the crash and has never known
// the first. Its announcement looks like that of a new server then. Requests to
// it are refused by the second, which goes on to announce itself; if that one
// stayed away, this process would do without it for as long as it runs.
func TestUnionHeldUpUnknown(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ended step // ended is how the first is found out.
		waits time.Duration
		again string // again is what is listed if the first is announced again.
	}{
		{"refused", markGone("old"), 0, "new"},
		{"left", announce("2", left("old")), 0, "new"},
		{"silent", drop("2", "old"), hold, "old"}, // it could as well be the right one, which a cut had kept silent
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			wo := newWorld()
			replace("1", at("new", "x", 4))(wo)
			replace("2")(wo)
			announce("2", at("old", "x", 8))(wo)
			c.Assert(listing(wo.un), qt.Equals, "old")
			wait(2 * hold)(wo)
			c.Assert(listing(wo.un), qt.Equals, "old")
			tc.ended(wo)
			wait(tc.waits)(wo)
			c.Assert(listing(wo.un), qt.Equals, "new")
			announce("2", at("old", "x", 9))(wo)
			c.Assert(listing(wo.un), qt.Equals, tc.again)
		})
	}
}

// The machine of an entry instance is suspended for ten seconds, just after a
// server has moved from one control instance to another. That the other holds
// it waits in the socket. If the gap counted, the server would be taken away at
// the first look and come back at the next.
func TestUnionSuspended(t *testing.T) {
	c := qt.New(t)
	wo := newWorld()
	replace("1", ready("a", 1), ready("b", 1))(wo)
	replace("2")(wo)
	drop("1", "a")(wo)
	wait(tick)(wo)
	suspend(10 * time.Second)(wo)
	c.Assert(listing(wo.un), qt.Equals, "a b")
	announce("2", ready("a", 2))(wo)
	wait(2 * hold)(wo)
	c.Assert(listing(wo.un), qt.Equals, "a b")
}

func TestUnionServers(t *testing.T) {
	c := qt.New(t)
	wo := newWorld()
	un := wo.un
	c.Assert(un.Servers(), qt.DeepEquals, map[string][]Server{})
	c.Assert(un.Version(), qt.Equals, uint64(0))

	replace("1", ready("", 1), Server{Service: "s", Address: "x", State: Gone})(wo)
	c.Assert(un.Servers(), qt.DeepEquals, map[string][]Server{}, qt.Commentf("no id"))
	c.Assert(un.past.byID, qt.HasLen, 0)
	c.Assert(un.Version(), qt.Equals, uint64(0))

	other := Server{ID: "t1", Service: "t", Address: "t1:1", Slots: 4, State: Draining, Sequence: 3, WarmMillis: 10}
	replace("1", ready("b", 1), other, ready("a", 1))(wo)
	first := un.Servers()
	want := map[string][]Server{"s": {ready("a", 1), ready("b", 1)}, "t": {other}}
	c.Assert(first, qt.DeepEquals, want)
	c.Assert(un.Version(), qt.Equals, uint64(1))

	announce("1", ready("b", 2))(wo)
	replace("2", ready("a", 2), left("c"))(wo)
	replace("1", ready("b", 2), other, ready("a", 1))(wo)
	c.Assert(un.Expire(wo.now), qt.IsFalse)
	c.Assert(un.Version(), qt.Equals, uint64(1), qt.Commentf("nothing worth telling"))
	c.Assert(un.Servers(), qt.DeepEquals, want)

	announce("1", draining("b", 3))(wo)
	c.Assert(un.Version(), qt.Equals, uint64(2))
	c.Assert(un.Servers(), qt.DeepEquals, map[string][]Server{"s": {ready("a", 1), draining("b", 3)}, "t": {other}})

	announce("1", left("t1"))(wo)
	c.Assert(un.Servers(), qt.DeepEquals, map[string][]Server{"s": {ready("a", 1), draining("b", 3)}})
	c.Assert(un.groups, qt.HasLen, 1)
	drop("1", "b")(wo)
	c.Assert(un.Version(), qt.Equals, uint64(3))
	for wo.now.Before(t0.Add(hold)) {
		wo.now = wo.now.Add(tick)
		c.Assert(un.Expire(wo.now), qt.Equals, wo.now.Equal(t0.Add(hold)))
	}
	c.Assert(un.Version(), qt.Equals, uint64(4))
	c.Assert(un.Servers(), qt.DeepEquals, map[string][]Server{"s": {ready("a", 1)}})
	c.Assert(first, qt.DeepEquals, want, qt.Commentf("what was returned before"))
}

// TestUnionContent shows whose word about a server counts.
func TestUnionContent(t *testing.T) {
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
		{"stays when its source drops it", []step{replace("1", slots(2, 4)), replace("2", slots(1, 3)), drop("1", "a")}, slots(2, 4)},
		{"after a sequence that was not told", []step{replace("1", slots(1, 4)), replace("1", slots(5, 4)), replace("2", slots(3, 3))}, slots(1, 4)},
		{"without sequences", []step{replace("1", slots(0, 3)), replace("1", slots(0, 4))}, slots(0, 4)},
		{"other service", []step{replace("1", slots(1, 4)), announce("1", moved)}, moved},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wo := newWorld()
			for _, st := range tc.steps {
				st(wo)
			}
			qt.Assert(t, wo.un.Servers(), qt.DeepEquals, map[string][]Server{tc.want.Service: {tc.want}})
		})
	}
}

// Ids come and go over a long time. What is kept of them stays bounded.
func TestUnionBounds(t *testing.T) {
	c := qt.New(t)
	wo := newWorld()
	replace("1")(wo)
	for ix := range mostPast + 10 {
		id := fmt.Sprint(ix)
		announce("1", ready(id, 1), left(id))(wo)
	}
	un := wo.un
	c.Assert(un.past.byID, qt.HasLen, mostPast)
	c.Assert(un.Servers(), qt.HasLen, 0)
	sizes := []int{len(un.items), len(un.spots), len(un.groups), len(un.dirty), len(un.sources["1"].held)}
	c.Assert(sizes, qt.DeepEquals, []int{0, 0, 0, 0, 0})
	announce("1", ready("10", 2))(wo)
	c.Assert(listing(un), qt.Equals, "")
}

// TestUnionConcurrent lets the race detector look at every call, and at readers
// of what was published.
func TestUnionConcurrent(t *testing.T) {
	un := NewUnion(hold)
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

// copyOf returns a map that shares nothing with another.
func copyOf(listed map[string][]Server) map[string][]Server {
	co := maps.Clone(listed)
	for service, ses := range co {
		co[service] = slices.Clone(ses)
	}
	return co
}
