package limit

import "time"

const (
	// latencyWeight is the weight of a new sample once there are enough.
	latencyWeight = 0.1
	// latencyClip bounds a sample to a multiple of the estimate. One reply in a
	// hundred is ten times slower on healthy servers; unclipped, it would move
	// the estimate as far as a server that has become twice as slow.
	latencyClip = 4
)

// latency is a decaying mean of clipped samples. It is immutable; the zero
// value holds no samples.
type latency struct {
	value time.Duration
	count int
}

// with returns the estimate with one more sample.
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

// withAtLeast returns the estimate with a sample that was not waited for to
// the end: it tells nothing unless it is already above the estimate.
func (la latency) withAtLeast(sample time.Duration) latency {
	if la.count > 0 && sample <= la.value {
		return la
	}
	return la.with(sample)
}
