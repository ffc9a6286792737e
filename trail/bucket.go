package trail

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// maxEvents bounds the events with a bucket of their own; all further ones share a bucket.
// Events are constants of the code, so this is only reached if an event is made up from data.
const maxEvents = 512

// otherEvents is the name of the events that share a bucket.
const otherEvents = "others"

// bucket is a token bucket for the lines of one event.
type bucket struct {
	tokens  float64
	at      time.Time
	leftOut uint64 // rate-limited lines since the last report
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

// buckets holds a bucket for each event.
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
	if len(bs.byEvent) >= maxEvents {
		name = otherEvents
	}
	bu, ok := bs.byEvent[name]
	if !ok {
		bu = &bucket{tokens: float64(bs.ra.Burst), at: ent.Time}
		bs.byEvent[name] = bu
	}
	return bu
}
