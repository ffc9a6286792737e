package fanout

import (
	"time"

	"balsamwinch.example/operator"
)

// timerFired handles each shard whose wake-up time has come.
func (tr *transition) timerFired() {
	if tr.finishIfOver() {
		return
	}
	tr.st.timerAt = never
	tr.st.wakeAt = never
	for ix := range tr.st.plan.Shards {
		sh := tr.st.shards.get(ix)
		switch {
		case sh.status != shardOpen:
		case sh.wakeAt > tr.now:
			tr.st.wakeAt = min(tr.st.wakeAt, sh.wakeAt)
		case sh.numRunning() == 0:
			tr.sendAgain(ix, *sh)
		default:
			tr.hedge(ix, *sh)
		}
	}
}

// sendAgain sends an attempt for a shard that waited.
func (tr *transition) sendAgain(ix int, sh shard) {
	if sh.fails+sh.sheds == 0 {
		tr.sendAttempt(ix, sh, First, sh.budgetUse, false)
		return
	}
	// The budget grows with new requests. If all callers wait for it, it does not
	// grow, and each would wait until its deadline. So a shard without attempts
	// in flight gets one attempt beyond the budget after a third of the time.
	if sh.budgetUse == BudgetRequired && !sh.overBudgetUsed && tr.now >= tr.st.answerDeadline()/overBudgetDivisor {
		sh.budgetUse = BudgetOptional
		sh.overBudgetUsed = true
	}
	// A server that dropped the snapshot does not get it back, so it is excluded.
	tr.sendAttempt(ix, sh, Retry, sh.budgetUse, sh.reason == VersionGone)
}

// scheduleRetry retries a shard after a short backoff, or after the given delay
// if that is longer.
func (tr *transition) scheduleRetry(ix int, sh shard, delay time.Duration) {
	sh.wakeAt = tr.now + max(min(minRetryDelay<<sh.waits, maxRetryDelay), min(delay, maxServerRetryDelay))
	sh.waits = min(sh.waits+1, maxBackoffSteps)
	tr.setShard(ix, sh)
}

// hedge sends a second attempt to another replica of a shard whose attempt is
// late. A request that must not be repeated is never hedged.
func (tr *transition) hedge(ix int, sh shard) {
	if !tr.st.params.Repeatable || tr.st.params.Tactics == operator.Baseline || sh.numRunning() > 1 || sh.sent-sh.sheds > maxFailures {
		sh.wakeAt = never
		tr.setShard(ix, sh)
		return
	}
	budgetUse := BudgetRequiredIfResponsive
	// A silent connection shows only as a missing reply. If many connections go
	// silent at once, the budget is soon exhausted, and the hedges that would
	// save the requests are refused although there is time for them. So each
	// shard may have one hedge beyond the budget: at once if its server sends no
	// replies at all, otherwise late enough not to double the load of servers
	// that are merely slow.
	switch {
	case sh.overBudgetUsed:
		budgetUse = BudgetRequired
	case tr.now >= tr.overBudgetAt(&sh):
		budgetUse = BudgetOptional
	}
	sh.overBudgetUsed = sh.overBudgetUsed || budgetUse != BudgetRequired
	tr.sendAttempt(ix, sh, Hedge, budgetUse, !sh.noOtherReplica)
}

// overBudgetAt returns when a shard's attempt is hedged even beyond the budget.
func (tr *transition) overBudgetAt(sh *shard) time.Duration {
	left := tr.st.answerDeadline() - sh.oldestSent
	return sh.oldestSent + max(attemptHedgeDelays*tr.st.params.HedgeDelay, left/overBudgetDivisor)
}

// deferHedge postpones a hedge that could not be sent.
func (tr *transition) deferHedge(ix int, sh shard, ru runningAttempt, at time.Duration) {
	if ru.budgetUse >= BudgetRequiredIfResponsive {
		sh.overBudgetUsed = false
	}
	sh.wakeAt = max(at, tr.now+minRetryDelay)
	if overBudgetAt := tr.overBudgetAt(&sh); !sh.overBudgetUsed && overBudgetAt > tr.now {
		sh.wakeAt = min(sh.wakeAt, overBudgetAt)
	}
	tr.setShard(ix, sh)
}

func (tr *transition) noServerAvailable(ev NoServerAvailable) {
	sh, ru, ok := tr.endAttempt(ev.Attempt, false)
	if !ok {
		return
	}
	ix := ev.Attempt.Shard
	sh.budgetUse = ru.budgetUse
	switch {
	case sh.numRunning() > 0 && ev.AvailableLater && ev.Unresponsive && sh.replacedAt == 0:
		tr.replaceAttempt(ix, sh, ru)
	case sh.numRunning() > 0 && ev.AvailableLater:
		tr.deferHedge(ix, sh, ru, tr.now+max(maxRetryDelay, ev.RetryDelay))
	case sh.numRunning() > 0:
		sh.noOtherReplica = true
		if ev.Unresponsive {
			tr.deferHedge(ix, sh, ru, tr.now+maxRetryDelay)
			return
		}
		tr.deferHedge(ix, sh, ru, max(tr.now+maxRetryDelay, sh.oldestSent+sameServerHedgeDelays*tr.st.params.HedgeDelay))
	case ev.AvailableLater && sh.reason != VersionGone:
		sh.setReason(Busy)
		tr.scheduleRetry(ix, sh, ev.RetryDelay)
	default:
		sh.setReason(NoServer)
		tr.replan(ix, sh)
	}
}

// replaceAttempt cancels an attempt on an unresponsive backend server so that
// another can take its place.
//
// If all connections to the replicas of a shard go silent under load, the lost
// attempts soon occupy the slots, and the hedges that would save the requests
// find none. Shards then wait for a slot until the deadline. Cancelling an
// attempt frees its slot once the backend server confirms that it is not
// running the request. This is done once per shard, because a shard that is
// slow everywhere must not be cancelled again.
func (tr *transition) replaceAttempt(ix int, sh shard, ru runningAttempt) {
	if ru.budgetUse >= BudgetRequiredIfResponsive {
		sh.overBudgetUsed = false
	}
	sh.wakeAt = never
	sh.replacedAt = tr.now
	tr.setShard(ix, sh)
	tr.cancelRunning(ix, &sh)
}

// capacityAvailable sends an attempt for a shard that waits for a server with
// capacity.
func (tr *transition) capacityAvailable(ix int) {
	if ix < 0 || ix >= len(tr.st.plan.Shards) {
		return
	}
	sh := *tr.st.shards.get(ix)
	if sh.status == shardOpen && sh.numRunning() == 0 && sh.noServerWaits == 0 {
		tr.sendAgain(ix, sh)
	}
}

func (tr *transition) budgetExhausted(ev BudgetExhausted) {
	sh, ru, ok := tr.endAttempt(ev.Attempt, false)
	if !ok {
		return
	}
	if sh.numRunning() > 0 {
		tr.deferHedge(ev.Attempt.Shard, sh, ru, tr.now+tr.st.params.HedgeDelay)
		return
	}
	sh.budgetUse = ru.budgetUse
	tr.scheduleRetry(ev.Attempt.Shard, sh, 0)
}

// replan requests a newer snapshot for a shard that no server can serve. The
// plan had a holder, so that server is draining or has dropped the snapshot,
// and the announcement of its replacement may not have arrived yet. So the
// shard waits a few times before it is marked missing.
func (tr *transition) replan(ix int, sh shard) {
	if sh.noServerWaits >= maxNoServerWaits {
		tr.markMissing(ix, sh, sh.reason)
		return
	}
	sh.noServerWaits++
	tr.scheduleRetry(ix, sh, 0)
	if tr.mayRestart() {
		tr.emit(Replan{Newer: tr.st.plan.Snapshot})
	}
}
