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

// fleet returns so many instances in each data centre, named after it.
func fleet(centres map[string]int, load float64) []Instance {
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
		{"hardly any", 12, 3, Bounds{3, 3}},
		{"many", 1200, 5, Bounds{96, 192}},
		{"no limit", 0, 5, Bounds{math.MaxInt32, math.MaxInt32}},
		{"no instances", 123, 0, Bounds{math.MaxInt32, math.MaxInt32}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, NewBounds(tc.limit, tc.centres), qt.Equals, tc.want)
		})
	}
}

// What comes in a day: nothing is known at first, then little is carried, a burst comes,
// and goes. Growth is at once, for callers come at once; steps down are slow, for they
// come late.
func TestSize(t *testing.T) {
	c := qt.New(t)
	bo := Bounds{Min: 9, Max: 19}
	now := start
	var si Size
	look := func(after time.Duration, load float64) int {
		now = now.Add(after)
		si = si.Next(now, bo, load)
		return si.Members()
	}
	c.Assert(look(0, 0), qt.Equals, 19)
	c.Assert(look(time.Hour, 0), qt.Equals, 19)
	c.Assert(look(time.Millisecond, 2), qt.Equals, 16)
	c.Assert(look(shrinkPause/2, 2), qt.Equals, 16)
	c.Assert(look(shrinkPause/2, 2), qt.Equals, 14)
	for range 20 {
		look(shrinkPause, 2)
	}
	c.Assert(si.Members(), qt.Equals, 10) // One too many is none to take away.
	c.Assert(look(time.Millisecond, 12.2), qt.Equals, 13)
	c.Assert(look(time.Millisecond, 100), qt.Equals, 19)
	c.Assert(look(time.Millisecond, 3), qt.Equals, 19)
	bo = Bounds{Min: 3, Max: 6} // A new version says that servers take fewer connections.
	c.Assert(look(time.Millisecond, 100), qt.Equals, 6)
}

// One instance leaves: its callers alone are led elsewhere. One comes: it takes the place
// of one at most. Were the choice made anew, all callers would connect anew, and their
// instances to all backend servers.
func TestChoiceIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "instances")
		members := rapid.IntRange(1, 20).Draw(t, "members")
		ins := fleet(map[string]int{"a": count}, 0)
		was := names(Choose("key", ins, members))
		rand.Shuffle(len(ins), func(ix, iy int) { ins[ix], ins[iy] = ins[iy], ins[ix] })
		if now := names(Choose("key", ins, members)); !slices.Equal(now, was) {
			t.Fatalf("%v, in another order %v", was, now)
		}
		if len(was) != min(count, members) {
			t.Fatalf("%d of %d chosen, want %d", len(was), count, members)
		}
		gone := ins[rapid.IntRange(0, count-1).Draw(t, "gone")].Name
		left := slices.DeleteFunc(slices.Clone(ins), func(in Instance) bool { return in.Name == gone })
		now := names(Choose("key", left, members))
		for _, name := range was {
			if name != gone && !slices.Contains(now, name) {
				t.Fatalf("%s left, and %s is chosen no more", gone, name)
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

// Groups spread: each instance of a data centre is chosen by about as many groups as any
// other.
func TestGroupsSpread(t *testing.T) {
	c := qt.New(t)
	ins := fleet(map[string]int{"a": 40}, 0)
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

// Hundreds of instances share servers of 123 connections. Callers of the merged group are
// led to those of their data centre that were chosen, all others to all; as the chosen
// ones carry more, more are. A data centre without any has its callers led to all.
func TestGroups(t *testing.T) {
	c := qt.New(t)
	centres := map[string]int{"a": 37, "b": 41, "c": 2}
	groups := []Group{{Key: "wide", MaxConnections: 123}, {Key: "plain", MaxConnections: 1200}}
	now := start
	var gs Groups
	look := func(load float64) {
		now = now.Add(shrinkPause)
		gs = gs.Update(now, groups, fleet(centres, load))
	}
	count := func(key, centre string) int {
		return len(gs.Addresses(key, centre))
	}
	look(1)
	c.Assert(count("wide", "a"), qt.Equals, 32)
	for range 10 {
		look(0.1)
	}
	c.Assert([]int{count("wide", "a"), count("wide", "b"), count("wide", "c"), count("wide", "d")}, qt.DeepEquals, []int{17, 17, 0, 0})
	c.Assert(count("plain", "a"), qt.Equals, 0)
	c.Assert(count("unknown", "a"), qt.Equals, 0)
	c.Assert(gs.Sharers(), qt.Equals, 17+17+2)
	look(0.6)
	c.Assert([]int{count("wide", "a"), count("wide", "b")}, qt.DeepEquals, []int{23, 25})
}

// All control instances lose power with their machines, while callers were led to 17
// instances of a data centre. Once they are back, as many are chosen again, though none
// carries anything yet, and not twice as many.
func TestSizesAreNoted(t *testing.T) {
	c := qt.New(t)
	groups := []Group{{Key: "wide", MaxConnections: 123}}
	centres := map[string]int{"a": 37, "b": 41, "c": 2}
	var gs Groups
	for ix := range 12 {
		gs = gs.Update(start.Add(time.Duration(ix)*shrinkPause), groups, fleet(centres, 0.1))
	}
	back := Restore(start.Add(time.Minute), gs.SavedSizes())
	// The instances come back by and by; those of one data centre are there first.
	for _, here := range []map[string]int{{}, {"b": 5}, {"b": 41}, centres} {
		back = back.Update(start.Add(time.Minute), groups, fleet(here, 0))
	}
	c.Assert(back.Addresses("wide", "a"), qt.HasLen, 17)
	c.Assert(back.SavedSizes(), qt.DeepEquals, gs.SavedSizes())
	c.Assert(Restore(start, []SavedSize{{Key: "wide", DataCentre: "a"}}).SavedSizes(), qt.HasLen, 0)
}

// A data centre is cut off. The others don't take over its part of the connections, which
// its instances go on using; once it has been away for long they do.
func TestDataCentreAway(t *testing.T) {
	c := qt.New(t)
	groups := []Group{{Key: "wide", MaxConnections: 123}}
	look := func(gs Groups, at time.Time, centres map[string]int) (Groups, int) {
		gs = gs.Update(at, groups, fleet(centres, 2)) // They carry more than they should.
		return gs, len(gs.Addresses("wide", "a"))
	}
	gs, count := look(Groups{}, start, map[string]int{"a": 80, "b": 80})
	c.Assert(count, qt.Equals, 49)
	gs, count = look(gs, start.Add(time.Minute), map[string]int{"a": 80})
	c.Assert(count, qt.Equals, 49)
	_, count = look(gs, start.Add(awayFor+time.Minute), map[string]int{"a": 80})
	c.Assert(count, qt.Equals, 0) // All of 80, as there are connections for 98.
}

// Few instances and connections enough for all: nobody is left out.
func TestSmallFleetIsWhole(t *testing.T) {
	c := qt.New(t)
	var gs Groups
	for ix := range 30 {
		gs = gs.Update(start.Add(time.Duration(ix)*shrinkPause), []Group{{Key: "wide", MaxConnections: 41}}, fleet(map[string]int{"a": 3, "b": 3, "c": 3}, 0))
	}
	c.Assert(gs.Addresses("wide", "a"), qt.HasLen, 0)
	c.Assert(gs.Sharers(), qt.Equals, 9)
}

// BenchmarkWith is the cost of a look of a control instance at 890 entry instances in 12
// data centres.
func BenchmarkWith(b *testing.B) {
	centres := make(map[string]int)
	for ix := range 12 {
		centres[fmt.Sprint(ix)] = 74
	}
	ins := fleet(centres, 0.5)
	var gs Groups
	for ix := 0; b.Loop(); ix++ {
		gs = gs.Update(start.Add(time.Duration(ix)*time.Second), []Group{{Key: "wide", MaxConnections: 400}}, ins)
	}
}
