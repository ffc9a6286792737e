package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestMemory(t *testing.T) {
	c := qt.New(t)
	me := newMemory[int](3)
	at := func(n int) time.Duration { return time.Duration(n) * time.Second }
	for ix, id := range []string{"a", "b", "c", "a", "d"} { // a is put anew, so b is the oldest
		me.put(at(ix), id, ix)
	}
	_, ok := me.get("b")
	c.Assert(ok, qt.IsFalse)
	got, ok := me.get("a")
	c.Assert([]any{got, ok}, qt.DeepEquals, []any{3, true})
	c.Assert(me.since(at(1)), qt.DeepEquals, []int{2, 3, 4})
	c.Assert(me.since(at(2)), qt.DeepEquals, []int{3, 4})
	me.forget(at(1))
	c.Assert(me.since(at(0)), qt.DeepEquals, []int{2, 3, 4})
	me.forget(at(2))
	c.Assert(me.since(at(0)), qt.DeepEquals, []int{3, 4})
	me.remove("a")
	me.remove("a")
	c.Assert(me.since(at(0)), qt.DeepEquals, []int{4})
	me.forget(at(9))
	c.Assert(me.since(at(0)), qt.HasLen, 0)
	c.Assert([]int{len(me.byID), me.order.Len()}, qt.DeepEquals, []int{0, 0})
}

func TestWatch(t *testing.T) {
	start := time.Now()
	for _, tc := range []struct {
		name  string
		looks []time.Duration // looks are since the start.
		want  time.Duration
	}{
		{"first", []time.Duration{5}, 0},
		{"small", []time.Duration{0, 3, 6, 10}, 10},
		{"gap", []time.Duration{0, 4}, 4},
		{"greater gap", []time.Duration{0, 5}, 0},
		{"after a gap", []time.Duration{0, 3, 100, 102}, 5},
		{"back", []time.Duration{0, 3, 1}, 3},
		{"back and on", []time.Duration{0, 3, 1, 4}, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wa := watch{gap: 4}
			var got time.Duration
			for _, lo := range tc.looks {
				got = wa.look(start.Add(lo))
			}
			qt.Assert(t, got, qt.Equals, tc.want)
		})
	}
}
