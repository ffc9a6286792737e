package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBoundedMap(t *testing.T) {
	c := qt.New(t)
	bm := newBoundedMap[int](3)
	at := func(n int) time.Duration { return time.Duration(n) * time.Second }
	for ix, id := range []string{"a", "b", "c", "a", "d"} { // a is put again, so b is the oldest
		bm.put(at(ix), id, ix)
	}
	_, ok := bm.get("b")
	c.Assert(ok, qt.IsFalse)
	got, ok := bm.get("a")
	c.Assert([]any{got, ok}, qt.DeepEquals, []any{3, true})
	c.Assert(bm.since(at(1)), qt.DeepEquals, []int{2, 3, 4})
	c.Assert(bm.since(at(2)), qt.DeepEquals, []int{3, 4})
	bm.evictUntil(at(1))
	c.Assert(bm.since(at(0)), qt.DeepEquals, []int{2, 3, 4})
	bm.evictUntil(at(2))
	c.Assert(bm.since(at(0)), qt.DeepEquals, []int{3, 4})
	bm.remove("a")
	bm.remove("a")
	c.Assert(bm.since(at(0)), qt.DeepEquals, []int{4})
	bm.evictUntil(at(9))
	c.Assert(bm.since(at(0)), qt.HasLen, 0)
	c.Assert([]int{len(bm.byID), bm.order.Len()}, qt.DeepEquals, []int{0, 0})
}

func TestRunningClock(t *testing.T) {
	start := time.Now()
	for _, tc := range []struct {
		name  string
		steps []time.Duration // since the start
		want  time.Duration
	}{
		{"first", []time.Duration{5}, 0},
		{"small steps", []time.Duration{0, 3, 6, 10}, 10},
		{"gap at the limit", []time.Duration{0, 4}, 4},
		{"greater gap", []time.Duration{0, 5}, 0},
		{"after a gap", []time.Duration{0, 3, 100, 102}, 5},
		{"clock set back", []time.Duration{0, 3, 1}, 3},
		{"clock set back and forward", []time.Duration{0, 3, 1, 4}, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rc := runningClock{maxGap: 4}
			var got time.Duration
			for _, st := range tc.steps {
				got = rc.advance(start.Add(st))
			}
			qt.Assert(t, got, qt.Equals, tc.want)
		})
	}
}
