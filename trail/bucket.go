package trail

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// mostEvents bounds the events that have a bucket of their own. Events are
// constants of the code, so that this is never reached unless one is made up from
// data; all further ones share a bucket.
const mostEvents = 512

// otherEvents names the events that share a bucket.
const otherEvents = "others"

// bucket is a token bucket for the lines of one event.
type bucket struct {
	tokens  float64
	at      time.Time
	leftOut uint64 // leftOut counts lines since the last note of them.
}

// take reports whether one more line is within the rate.
func (bu *bucket) take(now time.Time, ra Rate) bool {
	passed := max(0, now.Sub(bu.at)) // A time without a monotonic reading may go back.
	bu.tokens = min(float64(ra.Burst), bu.tokens+passed.Seconds()*float64(ra.PerSecond))
	bu.at = now
	if bu.tokens < 1 {
		bu.leftOut++
		return false
	}
	bu.tokens--
	return true
}

// buckets holds the buckets by event.
type buckets struct {
	ra      Rate
	byEvent map[string]*bucket
}

func newBuckets(ra Rate) buckets {
	return buckets{ra: ra, byEvent: make(map[string]*bucket)}
}

func (bs *buckets) take(ent zapcore.Entry) bool {
	bu, ok := bs.byEvent[ent.Message]
	if !ok {
		bu = bs.add(ent)
	}
	return bu.take(ent.Time, bs.ra)
}

func (bs *buckets) add(ent zapcore.Entry) *bucket {
	name := ent.Message
	if len(bs.byEvent) >= mostEvents {
		name = otherEvents
	}
	bu, ok := bs.byEvent[name]
	if !ok {
		bu = &bucket{tokens: float64(bs.ra.Burst), at: ent.Time}
		bs.byEvent[name] = bu
	}
	return bu
}
