package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Room comes free at one backend server. It goes to the request that has waited
// longest of those for which that server may be asked; told to another one, it would
// lie idle.
func TestQueueOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	woken := make(chan int, 10)
	at := func(shard, millis int, tried ...string) *place {
		return &place{service: "s", shard: shard, since: start.Add(time.Duration(millis) * time.Millisecond), tried: tried, woken: woken}
	}
	qu := newQueue()
	first, second, third := at(1, 10, "i-1"), at(2, 20), at(3, 20)
	other := &place{service: "other", shard: 9, since: start, woken: woken}
	for _, pl := range []*place{second, other, third, first} {
		qt.Assert(t, qu.join(pl), qt.IsTrue)
	}
	qt.Assert(t, qu.join(second), qt.IsFalse, qt.Commentf("it waits already"))
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
	qt.Assert(t, qu.leave(first), qt.IsFalse, qt.Commentf("it was woken"))
	qt.Assert(t, qu.join(first), qt.IsTrue)
	qt.Assert(t, qu.leave(first), qt.IsTrue)
	qu.wake("s", "i-2")
	qt.Assert(t, next(), qt.Equals, 0)
	qu.wakeAll()
	qt.Assert(t, next(), qt.Equals, 9)
	qt.Assert(t, qu.waiting.Load(), qt.Equals, int64(0))
	qt.Assert(t, qu.places, qt.HasLen, 0)
}

// A request that was told of room is over before it uses it, and more is told than it
// has shards. Nobody who tells waits for it.
func TestQueueToldTooMuch(t *testing.T) {
	qu := newQueue()
	pl := &place{service: "s", shard: 1, woken: make(chan int, 1)}
	for range 3 {
		qu.join(pl)
		qu.wake("s", "i-1")
	}
	qt.Assert(t, qu.waiting.Load(), qt.Equals, int64(0))
}
