package replica

import (
	"math"
	"time"
)

const (
	// shortest and the growth of the steps define what latencies are told apart:
	// stepsPerDouble steps double a latency, the last one is about a minute.
	shortest       = 100 * time.Microsecond
	stepsPerDouble = 8
	stepCount      = 20 * stepsPerDouble
	// forgetHalf is the time in which a latency loses half of its weight.
	forgetHalf = 10 * time.Second
	// heaviest is the weight of a new latency at which all weights are scaled
	// down, long before a float64 loses small ones.
	heaviest = 1e9
	// enoughSamples is the weight of latencies that makes a high quantile known.
	enoughSamples = 30
	// unknownDelay is the hedge delay, and unknownMedian the median, of work of
	// which nothing is known.
	unknownDelay  = 50 * time.Millisecond
	unknownMedian = 15 * time.Millisecond
	// fewDelay is how many medians the hedge delay is while few samples are known.
	fewDelay = 3
)

// work is what is known of the latencies of one kind of work, over all servers:
// a histogram that forgets exponentially. Instead of shrinking all old weights
// with time, new ones grow.
type work struct {
	used   time.Duration // used is when it was last asked for.
	since  time.Duration // since is when a new latency weighed one.
	total  float64
	counts [stepCount]float64

	share  float64 // share is that of the requests that should reach their hedge time.
	fresh  bool    // fresh says that median and late are those of the counts.
	median time.Duration
	late   time.Duration // late is the quantile after which a request is hedged.
}

// add takes in one latency.
func (wo *work) add(at, latency time.Duration) {
	weight := math.Exp2(float64(at-wo.since) / float64(forgetHalf))
	if weight > heaviest {
		for ix := range wo.counts {
			wo.counts[ix] /= weight
		}
		wo.total /= weight
		wo.since, weight = at, 1
	}
	wo.counts[step(latency)] += weight
	wo.total += weight
	wo.fresh = false
}

// step returns the index of the count that a latency belongs to.
func step(latency time.Duration) int {
	if latency <= shortest {
		return 0
	}
	return min(stepCount-1, int(stepsPerDouble*math.Log2(float64(latency)/float64(shortest))))
}

// refresh computes the median and the high quantile.
func (wo *work) refresh() {
	if wo.fresh {
		return
	}
	wo.fresh = true
	wo.median, wo.late = wo.quantile(0.5), wo.quantile(1-wo.share)
}

// quantile returns a quantile, between the bounds of its step in proportion to
// the weights; zero if there is no latency.
func (wo *work) quantile(qu float64) time.Duration {
	if !wo.known() {
		return 0
	}
	rest := qu * wo.total
	for ix, count := range wo.counts {
		if rest <= count && count > 0 {
			return bound(float64(ix) + rest/count)
		}
		rest -= count
	}
	return bound(stepCount)
}

// bound returns the latency at which a step, or a part of it, begins.
func bound(step float64) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(step/stepsPerDouble))
}

// known reports whether any latency was taken in.
func (wo *work) known() bool { return wo.total > 0 }

// typical returns the median, or a guess if nothing is known.
func (wo *work) typical() time.Duration {
	if !wo.known() {
		return unknownMedian
	}
	return wo.median
}

// delay returns the time after which a request is late.
func (wo *work) delay(at time.Duration) time.Duration {
	switch {
	case !wo.known():
		return unknownDelay
	case wo.total*math.Exp2(-float64(at-wo.since)/float64(forgetHalf)) < enoughSamples:
		return fewDelay * wo.median
	}
	return wo.late
}
