package limit

import "sync/atomic"

// request is one leaf request in the budget's unit, a millionth of one.
const request = 1_000_000

// Budget bounds the extra leaf requests of hedges and retries to a percentage
// of the leaf requests. Over any span of time at most that percentage of the
// requests of the span and one burst are spent. It is safe for many goroutines.
type Budget struct {
	saved atomic.Int64
	share int64
	most  int64
}

// NewBudget returns a budget of the given percentage that can save up, and
// starts with, burst extra requests.
func NewBudget(percent float64, burst int) *Budget {
	bu := &Budget{share: int64(percent * request / 100), most: int64(burst) * request}
	bu.saved.Store(bu.most)
	return bu
}

// Earn adds the share that n leaf requests bring.
func (bu *Budget) Earn(n int) {
	for {
		old := bu.saved.Load()
		sum := min(bu.most, old+bu.share*int64(n))
		if sum == old || bu.saved.CompareAndSwap(old, sum) {
			return
		}
	}
}

// Spend takes one extra leaf request and reports whether the budget had it.
func (bu *Budget) Spend() bool {
	for {
		old := bu.saved.Load()
		if old < request {
			return false
		}
		if bu.saved.CompareAndSwap(old, old-request) {
			return true
		}
	}
}
