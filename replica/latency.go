package replica

import (
	"math"
	"time"
)

const (
	// Latencies are counted in logarithmic buckets that start at minLatency.
	// bucketsPerDoubling buckets double a latency; the last bucket starts at about 96 s.
	minLatency         = 100 * time.Microsecond
	bucketsPerDoubling = 8
	numBuckets         = 20 * bucketsPerDoubling
	// halfLife is the time in which a latency loses half of its weight.
	halfLife = 10 * time.Second
	// maxWeight is the weight of a new latency at which all weights are scaled down, long
	// before a float64 loses small ones.
	maxWeight = 1e9
	// minSamples is the total weight from which a high quantile is considered known.
	minSamples = 30
	// defaultHedgeDelay and defaultMedian are used for a class without samples.
	defaultHedgeDelay = 50 * time.Millisecond
	defaultMedian     = 15 * time.Millisecond
	// fewSamplesFactor is the hedge delay as a multiple of the median while there are few
	// samples.
	fewSamplesFactor = 3
)

// latencyStats holds the latencies of one class of requests over all servers, as a
// histogram with exponential decay. Instead of scaling down all old weights over time, new
// ones are weighted higher.
type latencyStats struct {
	usedAt      time.Duration // usedAt is when the class was last used.
	unitAt      time.Duration // unitAt is the time at which a new latency has weight one.
	totalWeight float64
	weights     [numBuckets]float64

	hedgeFraction float64 // hedgeFraction is the fraction of requests that should reach their hedge delay.
	current       bool    // current is set if median and hedgeQuantile match the weights.
	median        time.Duration
	hedgeQuantile time.Duration // hedgeQuantile is the latency after which a request is hedged.
}

// add counts one latency.
func (ls *latencyStats) add(at, latency time.Duration) {
	weight := math.Exp2(float64(at-ls.unitAt) / float64(halfLife))
	if weight > maxWeight {
		for ix := range ls.weights {
			ls.weights[ix] /= weight
		}
		ls.totalWeight /= weight
		ls.unitAt, weight = at, 1
	}
	ls.weights[bucketOf(latency)] += weight
	ls.totalWeight += weight
	ls.current = false
}

// bucketOf returns the index of the bucket that a latency belongs to.
func bucketOf(latency time.Duration) int {
	if latency <= minLatency {
		return 0
	}
	return min(numBuckets-1, int(bucketsPerDoubling*math.Log2(float64(latency)/float64(minLatency))))
}

// refresh computes the median and the hedge quantile.
func (ls *latencyStats) refresh() {
	if ls.current {
		return
	}
	ls.current = true
	ls.median, ls.hedgeQuantile = ls.quantile(0.5), ls.quantile(1-ls.hedgeFraction)
}

// quantile returns a quantile, interpolated within its bucket; zero if there is no latency.
func (ls *latencyStats) quantile(qu float64) time.Duration {
	if !ls.known() {
		return 0
	}
	remaining := qu * ls.totalWeight
	for ix, weight := range ls.weights {
		if remaining <= weight && weight > 0 {
			return bucketStart(float64(ix) + remaining/weight)
		}
		remaining -= weight
	}
	return bucketStart(numBuckets)
}

// bucketStart returns the latency at which a bucket starts; fractions interpolate within
// it.
func bucketStart(bucket float64) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(bucket/bucketsPerDoubling))
}

// known reports whether any latency was counted.
func (ls *latencyStats) known() bool { return ls.totalWeight > 0 }

// medianOrDefault returns the median, or a default if there is no latency.
func (ls *latencyStats) medianOrDefault() time.Duration {
	if !ls.known() {
		return defaultMedian
	}
	return ls.median
}

// hedgeDelay returns the time after which a request is hedged.
func (ls *latencyStats) hedgeDelay(at time.Duration) time.Duration {
	switch {
	case !ls.known():
		return defaultHedgeDelay
	case ls.totalWeight*math.Exp2(-float64(at-ls.unitAt)/float64(halfLife)) < minSamples:
		return fewSamplesFactor * ls.median
	}
	return ls.hedgeQuantile
}
