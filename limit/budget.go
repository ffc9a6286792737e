package limit

import "sync/atomic"

// unitsPerRequest is what one leaf request costs in the unit of the budget, a
// millionth of a request.
const unitsPerRequest = 1_000_000

// Budget limits the extra leaf requests of hedges and retries to a percentage of
// the leaf requests. In any period, at most that percentage of the period's
// requests plus one burst is spent. It is safe for concurrent use.
type Budget struct {
	balance    atomic.Int64
	perRequest int64
	maxBalance int64
}

// NewBudget returns a budget of the given percentage. It holds at most burst
// extra requests and starts with that many.
func NewBudget(percent float64, burst int) *Budget {
	bu := &Budget{perRequest: int64(percent * unitsPerRequest / 100), maxBalance: int64(burst) * unitsPerRequest}
	bu.balance.Store(bu.maxBalance)
	return bu
}

// Earn adds the percentage of n leaf requests to the balance.
func (bu *Budget) Earn(n int) {
	for {
		old := bu.balance.Load()
		sum := min(bu.maxBalance, old+bu.perRequest*int64(n))
		if sum == old || bu.balance.CompareAndSwap(old, sum) {
			return
		}
	}
}

// Spend takes one extra leaf request from the budget and reports whether the
// balance allowed it.
func (bu *Budget) Spend() bool {
	for {
		old := bu.balance.Load()
		if old < unitsPerRequest {
			return false
		}
		if bu.balance.CompareAndSwap(old, old-unitsPerRequest) {
			return true
		}
	}
}
