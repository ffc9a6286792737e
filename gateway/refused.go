package gateway

import (
	"slices"
	"time"

	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

const (
	// maxPartRefusals is how many refusals of a part of a merged answer may be followed by
	// another try. With a first delay of rejectionDelay they take 150 ms. If each server of
	// a shard refuses 60 % of its requests, one part in 700 is still missing after them.
	maxPartRefusals = 12
	// optionalRetryReserve is the fraction of the retry budget that is kept for retries
	// without which an answer can't reach its minimum of parts.
	optionalRetryReserve = 0.5
	// optionalRetryDelay is when a retry that was deferred for the reserve is considered
	// again. The other parts may have failed by then, so that the retry is needed.
	optionalRetryDelay = 10 * time.Millisecond
)

// recordRefusal remembers a backend server that refused a part, so that it can be asked
// again once all servers of the shard were tried. Most refusals are for a moment: the
// server's slots were taken, or it sheds a part of its load. A request to a single server
// isn't repeated like this; its caller is told at once and may retry.
func (ex *executor) recordRefusal(res attemptResult) {
	if len(ex.services) == 1 || res.rs.Outcome != upstream.NotRun || res.rs.Misdirected {
		return
	}
	if ex.refusers == nil {
		ex.refusers = make([][]string, len(ex.services))
	}
	ex.refusers[res.shard] = append(ex.refusers[res.shard], ex.attempts[res.index].server)
}

// allowRefusersAgain lets the backend servers that refused a part be asked again if no
// other ready one is left.
func (ex *executor) allowRefusersAgain(sh int) {
	if ex.refusers == nil || len(ex.refusers[sh]) == 0 || ex.ca.sv.view.Load().hasUntried(ex.services[sh], ex.tried[sh]) {
		return
	}
	refusers := ex.refusers[sh]
	ex.tried[sh] = slices.DeleteFunc(ex.tried[sh], func(id string) bool { return slices.Contains(refusers, id) })
	ex.refusers[sh] = nil
	if ex.reasked == nil {
		ex.reasked = make([]bool, len(ex.services))
	}
	ex.reasked[sh] = true
}

// deferOptionalRetry defers a retry at servers that refused the part before, if the retry
// isn't needed for the minimum of parts and the retry budget is low. It reports whether it
// did. A first retry at another server isn't deferred: it mostly makes the answer complete.
func (ex *executor) deferOptionalRetry(now time.Time, sa scatter.Attempt) bool {
	if sa.Kind != scatter.Retry || ex.reasked == nil || !ex.reasked[sa.Shard] || !ex.needsBudget(sa) || ex.qu.NeedsRetries() {
		return false
	}
	service := ex.services[sa.Shard]
	if ex.ca.sv.bu.RemainingFraction(now, service) >= optionalRetryReserve {
		return false
	}
	if ws := ex.waiting.waiters; ws != nil && ws[sa.Shard] != nil {
		ex.dequeue(sa.Shard)
		ex.ca.sv.qu.wake(service, "") // The shard may have been woken for capacity that it doesn't use now.
	}
	ex.qu.AttemptDeferred(now, sa.Shard, scatter.CauseBudget, now.Add(optionalRetryDelay))
	return true
}

// awaitRefusals waits up to rejectionDelay for the attempts in flight of a query that has
// failed before any backend server is known to have run it. When all servers refuse, the
// last refusals of the shards come within moments, and with all of them the caller can be
// told that nothing has run.
func (ex *executor) awaitRefusals(timer *time.Timer) {
	if ex.qu.State() != scatter.Failed || !ex.qu.OnlyInFlight() {
		return
	}
	timer.Reset(rejectionDelay)
	for ex.qu.OnlyInFlight() {
		select {
		case res := <-ex.results:
			ex.handleResult(res)
		case <-timer.C:
			return
		}
	}
}
