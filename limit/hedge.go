package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// DefaultHedgeDelay is used until enough latencies are known.
	DefaultHedgeDelay = 50 * time.Millisecond
	// hedgePercentile is the percentile of leaf latencies after which a request is
	// hedged. It leaves two of the default five percent of extra load for retries.
	hedgePercentile = 97
	// The estimate is based on numHedgeWindows windows of hedgeWindowSize latencies
	// each.
	numHedgeWindows = 4
	hedgeWindowSize = 512
	// minHedgeSamples is how many latencies the first estimate needs.
	minHedgeSamples = 64
	// Longer latencies are recorded as maxLatency.
	maxLatency = time.Minute
)

// delayEstimator estimates the hedge delay of one service. It is safe for
// concurrent use.
type delayEstimator struct {
	mu         sync.Mutex
	wi         *hdrhistogram.WindowedHistogram
	numSamples int
	delay      atomic.Int64
}

func newDelayEstimator() *delayEstimator {
	de := &delayEstimator{wi: hdrhistogram.NewWindowed(numHedgeWindows, int64(time.Microsecond), int64(maxLatency), 2)}
	de.delay.Store(int64(DefaultHedgeDelay))
	return de
}

// observe adds a latency sample. If another goroutine holds the lock, the sample
// is dropped, since it is worth less than waiting for the lock.
func (de *delayEstimator) observe(la time.Duration) {
	if !de.mu.TryLock() {
		return
	}
	defer de.mu.Unlock()
	la = min(max(la, time.Microsecond), maxLatency)
	_ = de.wi.Current.RecordValue(int64(la)) // the sample is within the histogram's range
	de.numSamples++
	if de.numSamples != minHedgeSamples && de.numSamples%hedgeWindowSize != 0 {
		return
	}
	de.delay.Store(de.wi.Merge().ValueAtQuantile(hedgePercentile))
	if de.numSamples%hedgeWindowSize == 0 {
		de.wi.Rotate()
	}
}

// HedgeDelay returns how long a leaf request of the service may take before it
// is hedged: a high percentile of the observed latencies.
func (ta *Table) HedgeDelay(service string) time.Duration {
	if de, ok := ta.estimators.Load(service); ok {
		return time.Duration(de.(*delayEstimator).delay.Load())
	}
	return DefaultHedgeDelay
}

// ObserveLatency adds the latency of a leaf request of the service or, if the
// request was abandoned, how long it was waited for.
func (ta *Table) ObserveLatency(service string, la time.Duration) {
	de, ok := ta.estimators.Load(service)
	if !ok {
		de, _ = ta.estimators.LoadOrStore(service, newDelayEstimator())
	}
	de.(*delayEstimator).observe(la)
}
