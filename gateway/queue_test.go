package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A backend server has capacity again. It must go to the oldest waiter that may use that
// server; if another one were woken, the capacity would stay unused.
func TestQueueWakesLongestWaiting(t *testing.T) {
	start := time.Unix(1000, 0)
	woken := make(chan int, 10)
	at := func(shard, millis int, tried ...string) *waiter {
		return &waiter{service: "s", shard: shard, since: start.Add(time.Duration(millis) * time.Millisecond), tried: tried, wakeups: woken}
	}
	qu := newQueue()
	first, second, third := at(1, 10, "i-1"), at(2, 20), at(3, 20)
	other := &waiter{service: "other", shard: 9, since: start, wakeups: woken}
	for _, wt := range []*waiter{second, other, third, first} {
		qt.Assert(t, qu.add(wt), qt.IsTrue)
	}
	qt.Assert(t, qu.add(second), qt.IsFalse, qt.Commentf("it is queued already"))
	next := func() int {
		select {
		case sh := <-woken:
			return sh
		default:
			return 0
		}
	}
	tests := []struct {
		server string
		want   int
	}{{"i-1", 2}, {"i-2", 1}, {"i-1", 3}, {"i-1", 0}}
	for _, tt := range tests {
		qu.wake("s", tt.server)
		qt.Assert(t, next(), qt.Equals, tt.want)
	}
	qt.Assert(t, qu.cancel(first), qt.IsFalse, qt.Commentf("it was woken"))
	qt.Assert(t, qu.add(first), qt.IsTrue)
	qt.Assert(t, qu.cancel(first), qt.IsTrue)
	qu.wake("s", "i-2")
	qt.Assert(t, next(), qt.Equals, 0)
	qu.wakeAll()
	qt.Assert(t, next(), qt.Equals, 9)
	qt.Assert(t, qu.numWaiting.Load(), qt.Equals, int64(0))
	qt.Assert(t, qu.waiters, qt.HasLen, 0)
}

// A request ends before it uses a wakeup, or gets more wakeups than it has shards. The
// sender must not block.
func TestQueueWakeDoesNotBlock(t *testing.T) {
	qu := newQueue()
	wt := &waiter{service: "s", shard: 1, wakeups: make(chan int, 1)}
	for range 3 {
		qu.add(wt)
		qu.wake("s", "i-1")
	}
	qt.Assert(t, qu.numWaiting.Load(), qt.Equals, int64(0))
}
