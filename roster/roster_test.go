package roster

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// newInstances returns the given number of instances for each data centre, named after it.
func newInstances(centres map[string]int, load float64) []Instance {
	var out []Instance
	for centre, count := range centres {
		for ix := range count {
			name := fmt.Sprintf("%s-%d", centre, ix)
			out = append(out, Instance{Name: name, DataCentre: centre, Address: name + ":80", Load: load})
		}
	}
	return out
}

func TestBounds(t *testing.T) {
	for _, tc := range []struct {
		name           string
		limit, centres int
		want           Bounds
	}{
		{"fewer connections than instances", 123, 5, Bounds{9, 19}},
		{"few connections", 62, 4, Bounds{6, 12}},
		{"minimum", 12, 3, Bounds{3, 3}},
		{"many", 1200, 5, Bounds{96, 192}},
		{"no limit", 0, 5, Bounds{math.MaxInt32, math.MaxInt32}},
		{"no instances", 123, 0, Bounds{math.MaxInt32, math.MaxInt32}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, NewBounds(tc.limit, tc.centres), qt.Equals, tc.want)
		})
	}
}

// At first no load is known, then there is little, and then a burst comes and goes. The
// size must grow at once, because callers come at once, and shrink slowly, because they
// move late.
func TestSizeGrowsAtOnceAndShrinksSlowly(t *testing.T) {
	c := qt.New(t)
	bo := Bounds{Min: 9, Max: 19}
	now := start
	var si Size
	update := func(after time.Duration, load float64) int {
		now = now.Add(after)
		si = si.Next(now, bo, load)
		return si.Members()
	}
	c.Assert(update(0, 0), qt.Equals, 19)
	c.Assert(update(time.Hour, 0), qt.Equals, 19)
	c.Assert(update(time.Millisecond, 2), qt.Equals, 16)
	c.Assert(update(shrinkInterval/2, 2), qt.Equals, 16)
	c.Assert(update(shrinkInterval/2, 2), qt.Equals, 14)
	for range 20 {
		update(shrinkInterval, 2)
	}
	c.Assert(si.Members(), qt.Equals, 10) // An excess of one is not reduced.
	c.Assert(update(time.Millisecond, 12.2), qt.Equals, 13)
	c.Assert(update(time.Millisecond, 100), qt.Equals, 19)
	c.Assert(update(time.Millisecond, 3), qt.Equals, 19)
	bo = Bounds{Min: 3, Max: 6} // A new configuration lowers the connection limit of the servers.
	c.Assert(update(time.Millisecond, 100), qt.Equals, 6)
}

// If one instance leaves, only its callers move; a new one replaces at most one. Otherwise
// all callers would have to reconnect, and their instances to all backend servers.
func TestChoiceIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "instances")
		members := rapid.IntRange(1, 20).Draw(t, "members")
		ins := newInstances(map[string]int{"a": count}, 0)
		was := names(Choose("key", ins, members))
		rand.Shuffle(len(ins), func(ix, iy int) { ins[ix], ins[iy] = ins[iy], ins[ix] })
		if now := names(Choose("key", ins, members)); !slices.Equal(now, was) {
			t.Fatalf("%v, in another order %v", was, now)
		}
		if len(was) != min(count, members) {
			t.Fatalf("%d of %d chosen, want %d", len(was), count, members)
		}
		gone := ins[rapid.IntRange(0, count-1).Draw(t, "gone")].Name
		remaining := slices.DeleteFunc(slices.Clone(ins), func(in Instance) bool { return in.Name == gone })
		now := names(Choose("key", remaining, members))
		for _, name := range was {
			if name != gone && !slices.Contains(now, name) {
				t.Fatalf("after %s left, %s is no longer chosen", gone, name)
			}
		}
	})
}

func names(ins []Instance) []string {
	var out []string
	for _, in := range ins {
		out = append(out, in.Name)
	}
	slices.Sort(out)
	return out
}

// Each instance of a data centre must be chosen by about as many groups as any other.
func TestGroupsSpreadOverInstances(t *testing.T) {
	c := qt.New(t)
	ins := newInstances(map[string]int{"a": 40}, 0)
	times := make(map[string]int)
	for ix := range 400 {
		for _, in := range Choose(fmt.Sprint(ix), ins, 10) {
			times[in.Name]++
		}
	}
	for name, count := range times {
		c.Check(count > 60 && count < 140, qt.IsTrue, qt.Commentf("%s %d", name, count))
	}
}

// Dozens of instances per data centre share servers with 123 connections. Callers of the
// merged group are directed to the chosen instances of their data centre, all other callers
// to all instances. With more load more instances are chosen. Callers in a data centre
// without any instance are directed to all.
func TestAddressesFollowLoad(t *testing.T) {
	c := qt.New(t)
	centres := map[string]int{"a": 37, "b": 41, "c": 2}
	groups := []Group{{Key: "wide", MaxConnections: 123}, {Key: "plain", MaxConnections: 1200}}
	now := start
	var gs Groups
	update := func(load float64) {
		now = now.Add(shrinkInterval)
		gs = gs.Update(now, groups, newInstances(centres, load))
	}
	count := func(key, centre string) int {
		return len(gs.Addresses(key, centre))
	}
	update(1)
	c.Assert(count("wide", "a"), qt.Equals, 32)
	for range 10 {
		update(0.1)
	}
	c.Assert([]int{count("wide", "a"), count("wide", "b"), count("wide", "c"), count("wide", "d")}, qt.DeepEquals, []int{17, 17, 0, 0})
	c.Assert(count("plain", "a"), qt.Equals, 0)
	c.Assert(count("unknown", "a"), qt.Equals, 0)
	c.Assert(gs.Sharers(), qt.Equals, 17+17+2)
	update(0.6)
	c.Assert([]int{count("wide", "a"), count("wide", "b")}, qt.DeepEquals, []int{23, 25})
}

// All control instances lose power while callers are directed to 17 instances of a data
// centre. After the restart the same number must be chosen, although there is no load yet,
// and not twice as many.
func TestSavedSizesAreRestored(t *testing.T) {
	c := qt.New(t)
	groups := []Group{{Key: "wide", MaxConnections: 123}}
	centres := map[string]int{"a": 37, "b": 41, "c": 2}
	var gs Groups
	for ix := range 12 {
		gs = gs.Update(start.Add(time.Duration(ix)*shrinkInterval), groups, newInstances(centres, 0.1))
	}
	restored := Restore(start.Add(time.Minute), gs.SavedSizes())
	// The instances return gradually, those of one data centre first.
	for _, here := range []map[string]int{{}, {"b": 5}, {"b": 41}, centres} {
		restored = restored.Update(start.Add(time.Minute), groups, newInstances(here, 0))
	}
	c.Assert(restored.Addresses("wide", "a"), qt.HasLen, 17)
	c.Assert(restored.SavedSizes(), qt.DeepEquals, gs.SavedSizes())
	c.Assert(Restore(start, []SavedSize{{Key: "wide", DataCentre: "a"}}).SavedSizes(), qt.HasLen, 0)
}

// A data centre is cut off. Its instances go on using their part of the connections, so the
// others must not take it over until the data centre has been absent for long.
func TestAbsentDataCentreKeepsItsConnections(t *testing.T) {
	c := qt.New(t)
	groups := []Group{{Key: "wide", MaxConnections: 123}}
	update := func(gs Groups, at time.Time, centres map[string]int) (Groups, int) {
		gs = gs.Update(at, groups, newInstances(centres, 2)) // Their load is above the target.
		return gs, len(gs.Addresses("wide", "a"))
	}
	gs, count := update(Groups{}, start, map[string]int{"a": 80, "b": 80})
	c.Assert(count, qt.Equals, 49)
	gs, count = update(gs, start.Add(time.Minute), map[string]int{"a": 80})
	c.Assert(count, qt.Equals, 49)
	_, count = update(gs, start.Add(absenceTTL+time.Minute), map[string]int{"a": 80})
	c.Assert(count, qt.Equals, 0) // All 80 are chosen, as there are connections for 98.
}

// With few instances and connections enough for all, every instance is used.
func TestAllInstancesAreUsedWithEnoughConnections(t *testing.T) {
	c := qt.New(t)
	var gs Groups
	for ix := range 30 {
		gs = gs.Update(start.Add(time.Duration(ix)*shrinkInterval), []Group{{Key: "wide", MaxConnections: 41}}, newInstances(map[string]int{"a": 3, "b": 3, "c": 3}, 0))
	}
	c.Assert(gs.Addresses("wide", "a"), qt.HasLen, 0)
	c.Assert(gs.Sharers(), qt.Equals, 9)
}

// BenchmarkUpdate measures one update of a control instance with 890 entry instances in 12
// data centres.
func BenchmarkUpdate(b *testing.B) {
	centres := make(map[string]int)
	for ix := range 12 {
		centres[fmt.Sprint(ix)] = 74
	}
	ins := newInstances(centres, 0.5)
	var gs Groups
	for ix := 0; b.Loop(); ix++ {
		gs = gs.Update(start.Add(time.Duration(ix)*time.Second), []Group{{Key: "wide", MaxConnections: 400}}, ins)
	}
}
