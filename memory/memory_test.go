package memory

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBudget(t *testing.T) {
	c := qt.New(t)
	bu := New(1 << 20)
	first, ok := bu.Reserve(0, FreeBytes)
	c.Assert([]any{first, ok}, qt.DeepEquals, []any{0, true})
	first, ok = bu.Reserve(0, 1<<20)
	c.Assert([]any{first, ok}, qt.DeepEquals, []any{1 << 20, true})
	_, ok = bu.Reserve(first, 1<<20+1)
	c.Assert(ok, qt.IsFalse)
	second, ok := bu.Reserve(0, 1<<19) // its share, though nothing is free
	c.Assert([]any{second, ok}, qt.DeepEquals, []any{1 << 19, true})
	_, ok = bu.Reserve(second, 1<<19+1)
	c.Assert(ok, qt.IsFalse)
	bu.Release(first)
	_, ok = bu.Reserve(second, 1<<20)
	c.Assert(ok, qt.IsTrue)
	bu.Release(1 << 20)
	c.Assert([]int{bu.used, bu.holders}, qt.DeepEquals, []int{0, 0})
}
