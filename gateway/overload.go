package gateway

import (
	"time"

	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

// retryAfter returns when a caller that is rejected for lack of capacity should retry: soon
// enough for the target latency, but not immediately together with all others.
func (ca *call) retryAfter() time.Duration {
	if ca.ro.TargetLatency <= 0 {
		return retryAfterBusy
	}
	return max(minRetryAfter, ca.ro.TargetLatency/retryAfterDivisor)
}

const (
	// minRetryAfter and retryAfterDivisor set Retry-After: the target latency divided by
	// retryAfterDivisor, but at least minRetryAfter.
	minRetryAfter     = 20 * time.Millisecond
	retryAfterDivisor = 4
	// overloadFraction is the fraction of shards that must lack capacity or time before a
	// merged request counts as overloaded. If fewer do, those shards are at fault, and
	// rejecting callers would not help.
	overloadFraction = 0.3
)

// serverOverloaded reports whether a backend server has requests waiting, at least half as
// many as it has slots. A request sent now would wait, too.
func serverOverloaded(rp *upstream.Reply) bool {
	return rp != nil && rp.HasLoad && rp.Load.Waiting > 0 && 2*rp.Load.Waiting >= rp.Load.Slots
}

// metOverload reports whether the request met backend servers without capacity.
func (ca *call) metOverload() bool {
	if ca.ex == nil {
		return false
	}
	numOverloaded := 0
	for sh := range ca.ex.services {
		if ca.ex.qu.HasPart(sh) {
			if serverOverloaded(ca.ex.replies[sh]) {
				numOverloaded++
			}
			continue
		}
		switch ca.ex.qu.Cause(sh) {
		case scatter.CauseNoConnection, scatter.CauseCold, scatter.CauseNotRun:
			numOverloaded++
		case scatter.CauseTimeout:
			if len(ca.ex.services) > 1 {
				numOverloaded++
			}
		}
	}
	if len(ca.ex.services) == 1 {
		return numOverloaded > 0
	}
	return numOverloaded >= 2 && float64(numOverloaded) >= overloadFraction*float64(len(ca.ex.services))
}
