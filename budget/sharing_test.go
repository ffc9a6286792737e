package budget

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Callers of the merged routes are led to two of five entry instances, all others to
// all. Divided by five, three fifths of the slack for the merged services belonged to
// instances without requests, and the two were denied hedges while it lay idle.
func TestMembersShareSlack(t *testing.T) {
	c := qt.New(t)
	bu := New(plain(), start)
	bu.SetEntries(start, 5)
	bu.SetGroups(map[string]string{"s": "merged"})
	bu.SetMembers(start, map[string]int{"merged": 2})
	c.Assert(spendAll(bu, after(20)), qt.Equals, 25)
	for range 10 {
		c.Assert(bu.Spend(after(20), "other"), qt.IsTrue)
	}
	c.Assert(bu.Spend(after(20), "other"), qt.IsFalse)
}

func TestWhoHasSlack(t *testing.T) {
	in, out := map[string]int{"merged": 2}, map[string]int{}
	type word struct {
		at      float64
		members map[string]int
	}
	tests := []struct {
		name  string
		words []word
		at    float64
		want  int
	}{
		{"nobody has said it", nil, 20, 0},
		{"no member", []word{{0, out}}, 20, 0},
		{"a member of another group", []word{{0, map[string]int{"other": 1}}}, 20, 0},
		{"a young process, half a window old", []word{{0.3, in}}, 5, 12},
		{"a new member", []word{{0, out}, {20, in}}, 29.9, 0},
		{"a member for a window", []word{{0, out}, {20, in}}, 30.3, 25},
		{"no member any more", []word{{0, in}, {20, out}}, 20, 0},
		{"left and back", []word{{0, in}, {20, out}, {20.1, in}}, 25, 0},
		{"fewer members", []word{{0, map[string]int{"merged": 5}}, {20, in}}, 30, 10},
		{"fewer for two windows", []word{{0, map[string]int{"merged": 5}}, {20, in}}, 45, 25},
		{"more members", []word{{0, in}, {20, map[string]int{"merged": 5}}}, 20, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bu := New(plain(), start)
			bu.SetEntries(start, 5)
			bu.SetGroups(map[string]string{"s": "merged"})
			for _, wo := range tt.words {
				bu.SetMembers(after(wo.at), wo.members)
			}
			qt.Assert(t, spendAll(bu, after(tt.at)), qt.Equals, tt.want)
		})
	}
}

// Shards are cut anew: a request that began before still hedges at a service that the
// table names no more. Taken for one without a group, all would have slack for it again.
func TestDroppedServiceKeepsGroup(t *testing.T) {
	c := qt.New(t)
	bu := New(plain(), start)
	bu.SetEntries(start, 5)
	bu.SetGroups(map[string]string{"s": "merged"})
	bu.SetMembers(start, map[string]int{})
	arrive(bu, after(20), 5)
	bu.SetGroups(map[string]string{"s2": "merged"})
	c.Assert(spendAll(bu, after(20)), qt.Equals, 1)
	bu.SetGroups(map[string]string{"s": "other"})
	bu.SetMembers(after(30), map[string]int{"other": 1})
	c.Assert(spendAll(bu, after(45)), qt.Equals, 50)
}

// Entry instances are led to and left again in any order, and each spends what it has as
// soon as it has it. However the members change, all together never spend more than the
// slack within a window.
func TestMembersNeverPassSlack(t *testing.T) {
	const instances = 6
	rapid.Check(t, func(t *rapid.T) {
		var bus []*Budget
		for range instances {
			bu := New(plain(), start)
			bu.SetGroups(map[string]string{"s": "merged"})
			bu.SetMembers(start, map[string]int{"merged": instances})
			bus = append(bus, bu)
		}
		now := start.Add(time.Minute)
		var spent []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			member := rapid.SliceOfN(rapid.Bool(), instances, instances).Draw(t, "member")
			count := 0
			for _, in := range member {
				if in {
					count++
				}
			}
			for ix, bu := range bus {
				members := map[string]int{}
				if member[ix] {
					members["merged"] = count
				}
				bu.SetMembers(now, members)
			}
			for _, bu := range bus {
				if rapid.Bool().Draw(t, "spends") {
					for range spendAll(bu, now) {
						spent = append(spent, now)
					}
				}
			}
			within := 0
			for _, at := range spent {
				if now.Sub(at) < plain().Window {
					within++
				}
			}
			if within > plain().Slack {
				t.Fatalf("%d extra arrivals within a window, %d allowed", within, plain().Slack)
			}
		}
	})
}
