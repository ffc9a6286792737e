package gateway

import (
	"time"

	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

// comeBack returns when a caller that is refused for lack of room should try again:
// soon enough for its aim, and not at once with all others.
func (ca *call) comeBack() time.Duration {
	if ca.ro.Aim <= 0 {
		return retryBusy
	}
	return max(leastRetry, ca.ro.Aim/retryPart)
}

const (
	// leastRetry and retryPart bound how soon a refused caller is asked to come back.
	leastRetry = 20 * time.Millisecond
	retryPart  = 4
	// overloadPart is the part of the shards that must lack room or time before a
	// merged request counts as overloaded. Fewer are a fault of these shards, and
	// refusing callers would not mend it.
	overloadPart = 0.3
)

// queued reports whether a backend server said that requests wait there, more than
// it works on at half of its slots: what is sent now will wait, too.
func queued(rp *upstream.Reply) bool {
	return rp != nil && rp.HasLoad && rp.Load.Waiting > 0 && 2*rp.Load.Waiting >= rp.Load.Slots
}

// overloaded reports whether the request met backend servers without room.
func (ca *call) overloaded() bool {
	if ca.cr == nil {
		return false
	}
	short := 0
	for sh := range ca.cr.services {
		if ca.cr.qu.HasPart(sh) {
			if queued(ca.cr.replies[sh]) {
				short++
			}
			continue
		}
		switch ca.cr.qu.Cause(sh) {
		case scatter.CauseNoConnection, scatter.CauseCold, scatter.CauseNotRun:
			short++
		case scatter.CauseTimeout:
			if len(ca.cr.services) > 1 {
				short++
			}
		}
	}
	if len(ca.cr.services) == 1 {
		return short > 0
	}
	return short >= 2 && float64(short) >= overloadPart*float64(len(ca.cr.services))
}
