package overload

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Callers rejected together must not come back together, and none may wait for more than a
// third of its time: it would not wait at all. The more urgent come back earlier.
func TestRejectedCallersAreSpread(t *testing.T) {
	const count, remaining = 300, 600 * time.Millisecond
	mean := func(class Class) time.Duration {
		rt, sum := NewReturns(0.3), time.Duration(0)
		var slots [10]int
		for nth := range count {
			wait := rt.Reject(base, Key{byte(nth), byte(nth >> 8)}, class, 0.3, remaining)
			qt.Assert(t, wait >= minWait && wait <= remaining/3, qt.IsTrue)
			sum += wait
			slots[min(9, int(10*wait/(remaining/3)))]++
		}
		for _, slot := range slots {
			qt.Assert(t, slot <= count/2, qt.IsTrue, qt.Commentf("%v", slots))
		}
		return sum / count
	}
	qt.Assert(t, mean(0) < mean(3) && mean(3) < mean(15), qt.IsTrue)
	qt.Assert(t, NewReturns(0).Reject(base, Key{}, 3, 0, time.Millisecond), qt.Equals, minWait)
}

// A caller that comes back as told must not be rejected again. One that comes early must get
// no preference, or callers would ignore the time that they were told.
func TestReturnedCallerIsRecognised(t *testing.T) {
	rt, key := NewReturns(0), Key{1}
	due := base.Add(rt.Reject(base, key, 0, 0.5, 900*time.Millisecond))
	qt.Assert(t, rt.Returned(due.Add(-early-1), key), qt.IsFalse)
	qt.Assert(t, rt.Returned(due, Key{2}), qt.IsFalse)
	qt.Assert(t, rt.Returned(due, key), qt.IsTrue)
	qt.Assert(t, rt.Returned(due, key), qt.IsFalse, qt.Commentf("once"))
	rt.Reject(due, key, 0, 0.5, 900*time.Millisecond)
	qt.Assert(t, rt.Returned(due.Add(time.Second), key), qt.IsFalse, qt.Commentf("too late"))
}

// Callers that never come back must not fill the memory.
func TestReturnsAreBounded(t *testing.T) {
	rt := NewReturns(0)
	for nth := range 3 * maxTickets {
		rt.Reject(base, Key{byte(nth), byte(nth >> 8), byte(nth >> 16)}, 0, 0, time.Second)
	}
	qt.Assert(t, len(rt.due) <= maxTickets && len(rt.order) <= maxTickets, qt.IsTrue)
	rt.Reject(base.Add(time.Minute), Key{9, 9, 9}, 0, 0, time.Second)
	qt.Assert(t, rt.due, qt.HasLen, 1)
}
