package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// DefaultHedgeDelay holds until enough latencies are known.
	DefaultHedgeDelay = 50 * time.Millisecond
	// hedgeQuantile is the percentile of leaf latencies after which one is late.
	// It leaves two of the default five percent of extra load to retries.
	hedgeQuantile = 97
	// hedgeWindows windows of hedgeWindow latencies each are what is remembered.
	hedgeWindows = 4
	hedgeWindow  = 512
	// hedgeFirst is how many latencies the first estimate is made from.
	hedgeFirst = 64
	// longestLatency is what a longer one is counted as.
	longestLatency = time.Minute
)

// hedge learns the delay of one service. It is safe for many goroutines.
type hedge struct {
	mu    sync.Mutex
	wi    *hdrhistogram.WindowedHistogram
	count int
	delay atomic.Int64
}

func newHedge() *hedge {
	he := &hedge{wi: hdrhistogram.NewWindowed(hedgeWindows, int64(time.Microsecond), int64(longestLatency), 2)}
	he.delay.Store(int64(DefaultHedgeDelay))
	return he
}

// observe takes in one latency. A sample that meets another goroutine's is
// dropped: a sample is worth less than waiting for the lock.
func (he *hedge) observe(la time.Duration) {
	if !he.mu.TryLock() {
		return
	}
	defer he.mu.Unlock()
	la = min(max(la, time.Microsecond), longestLatency)
	_ = he.wi.Current.RecordValue(int64(la)) // the range is checked above
	he.count++
	if he.count != hedgeFirst && he.count%hedgeWindow != 0 {
		return
	}
	he.delay.Store(he.wi.Merge().ValueAtQuantile(hedgeQuantile))
	if he.count%hedgeWindow == 0 {
		he.wi.Rotate()
	}
}

// HedgeDelay returns how long a leaf request of the service may take before it
// is late: a high percentile of what was observed.
func (ta *Table) HedgeDelay(service string) time.Duration {
	if he, ok := ta.hedges.Load(service); ok {
		return time.Duration(he.(*hedge).delay.Load())
	}
	return DefaultHedgeDelay
}

// Observe takes in how long a leaf request of the service took, or, for one
// that was given up, how long it was waited for.
func (ta *Table) ObserveLatency(service string, la time.Duration) {
	he, ok := ta.hedges.Load(service)
	if !ok {
		he, _ = ta.hedges.LoadOrStore(service, newHedge())
	}
	he.(*hedge).observe(la)
}
