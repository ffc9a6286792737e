package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap/zapcore"

	"balsamwinch.example/overload"
	"balsamwinch.example/route"
	"balsamwinch.example/scatter"
)

// reasonOverload rejects a request because the backend servers lack capacity for all that
// arrive at all entry instances together.
const reasonOverload = "too many requests at all instances"

// ranksRequests reports whether a table ranks requests: it has customers, or routes of
// different priority. Otherwise the levels of all entry instances aren't used.
func ranksRequests(tb *route.Table) bool {
	if tb.Customers() != nil {
		return true
	}
	ros := tb.Routes()
	for ix := range ros {
		if ros[ix].Priority != ros[0].Priority {
			return true
		}
	}
	return false
}

// source returns the class and the customer of the request.
func (ca *call) source() overload.Source {
	so := overload.Source{Class: overload.ClassOf(ca.ro.Priority, ca.ro.Priority)}
	if cu := ca.customer; cu != nil {
		so.Customer = cu.Name
		if cu.HasPriority {
			so.Class = overload.ClassOf(cu.Priority, ca.ro.Priority)
		}
	}
	return so
}

// admit reports whether the request is admitted by the levels of all entry instances and by
// the limit of this one. If not, it answers the request.
func (ca *call) admit(group string) bool {
	sv := ca.sv
	if !sv.ranked.Load() {
		if !sv.ad.Acquire(group) {
			ca.reject(reasonBusy, ca.retryAfter())
			return false
		}
		return true
	}
	ca.levelUsed = true
	so := ca.source()
	ca.decision = sv.cf.Levels.Decide(sv.ts.Now(), group, so, func() overload.Key { return overload.Key(ca.quarantineKey()) }, ca.timeout())
	admitted := ca.decision.Admitted && sv.ad.Acquire(group)
	sv.cf.Levels.Arrived(group, so, admitted)
	switch {
	case !ca.decision.Admitted:
		sv.metrics.countRefusal(so.Class)
		ca.reject(reasonOverload, ca.decision.Wait.Round(time.Millisecond))
	case !admitted:
		ca.reject(reasonBusy, ca.retryAfter())
	case ca.decision.Returned:
		sv.metrics.returned.Inc()
	}
	return admitted
}

// addDecision adds why the levels refused the request, and what the caller was told.
func (ca *call) addDecision(oe zapcore.ObjectEncoder) {
	if !ca.levelUsed || ca.decision.Admitted {
		return
	}
	oe.AddFloat64("AdmissionLevel", ca.decision.Fraction)
	oe.AddInt64("AdmissionLevelMillis", ca.decision.Age.Milliseconds())
	oe.AddInt64("ToldMillis", ca.decision.Wait.Milliseconds())
}

// release ends an admitted request.
func (ca *call) release(group string) {
	now := ca.sv.ts.Now()
	ca.sv.ad.Release(now, group, ca.metOverload())
	if ca.levelUsed {
		ca.sv.cf.Levels.Ended(group, ca.missedTarget(now) && ca.queuedShards() > ca.spareShards())
	}
}

// missedTarget reports whether the caller got no answer within the route's target latency.
// Without that, queues at backend servers are no reason to refuse anyone.
func (ca *call) missedTarget(now time.Time) bool {
	return ca.status >= http.StatusInternalServerError || ca.isLate(now.Sub(ca.start))
}

// queuedShards returns how many shards have shown that their servers lack capacity: the
// server that answered had requests waiting, or no connection to any was free. Refusals and
// silence don't count, since servers that fail show them at any load.
func (ca *call) queuedShards() int {
	if ca.ex == nil {
		return 0
	}
	count := 0
	for sh := range ca.ex.services {
		if serverOverloaded(ca.ex.replies[sh]) || !ca.ex.qu.HasPart(sh) && ca.ex.qu.Cause(sh) == scatter.CauseNoConnection {
			count++
		}
	}
	return count
}

// spareShards returns how many shards the answer may lack.
func (ca *call) spareShards() int {
	if ca.ex == nil || len(ca.ro.Shards) == 0 {
		return 0
	}
	return len(ca.ro.Shards) - scatter.MinParts(len(ca.ro.Shards), ca.ro.Merge.LeastShare)
}
