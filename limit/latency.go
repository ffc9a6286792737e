package limit

import "time"

const (
	// latencyWeight is the weight of a new sample once there are enough samples.
	latencyWeight = 0.1
	// latencyClip bounds a sample to a multiple of the estimate. On healthy servers,
	// one reply in a hundred is ten times slower. Unclipped, it would move the
	// estimate as far as a server that has become twice as slow.
	latencyClip = 4
)

// latency is an exponentially weighted mean of clipped samples. It is immutable;
// the zero value holds no samples.
type latency struct {
	value time.Duration
	count int
}

// with returns the estimate after one more sample.
func (la latency) with(sample time.Duration) latency {
	la.count++
	if la.count == 1 {
		la.value = sample
		return la
	}
	sample = min(sample, latencyClip*la.value+1)
	weight := max(latencyWeight, 1/float64(la.count))
	la.value += time.Duration(weight * float64(sample-la.value))
	return la
}

// withLowerBound returns the estimate after a sample of which only a lower bound
// is known, because the request was abandoned. The sample counts only if it
// exceeds the estimate.
func (la latency) withLowerBound(sample time.Duration) latency {
	if la.count > 0 && sample <= la.value {
		return la
	}
	return la.with(sample)
}
