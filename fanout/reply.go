package fanout

import (
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
)

// failure describes an attempt that ended without rows.
type failure struct {
	reason       Reason
	possiblySent bool // whether bytes of the request may have been sent
	possiblyRun  bool // whether the backend server may have begun it
	permanent    bool // whether retrying on another server is pointless
}

func (tr *transition) attemptFailed(ev AttemptFailed) {
	fa := failure{possiblySent: ev.Sent, possiblyRun: ev.Sent}
	switch ev.Kind {
	case backend.NoConnection:
		fa.reason = Busy
	case backend.DialFailed:
		fa.reason = Unreachable
	case backend.Silent:
		fa.reason = Silent
	case backend.Crossed:
		fa.reason = Crossed
	case backend.Malformed:
		fa.reason = Malformed
	case backend.Deadline:
		fa.reason = Deadline
	case backend.Cut, backend.Cancelled:
		fa.reason = Cut
	default:
		fa.reason = Cut
	}
	tr.handleFailure(ev.Attempt, fa)
}

func (tr *transition) replied(ev Replied) {
	rp := ev.Reply
	// If two replies were swapped on their way or one request was answered twice,
	// one query's rows could enter another's answer, and another's "not run"
	// could let a request run twice. So a reply counts only if it states the
	// attempt's own request id, server and shard.
	if !tr.matchesAttempt(ev) {
		tr.handleFailure(ev.Attempt, failure{reason: Crossed, possiblySent: true, possiblyRun: true})
		return
	}
	tr.st.retryAfter = max(tr.st.retryAfter, time.Duration(rp.RetryAfterMillis)*time.Millisecond)
	switch rp.Code {
	case backend.ReplyOK:
		tr.coverShard(ev)
	case backend.ReplyShed:
		tr.handleFailure(ev.Attempt, failure{reason: Shed, possiblySent: true})
	case backend.ReplyDraining:
		tr.handleFailure(ev.Attempt, failure{reason: Draining, possiblySent: true})
	case backend.ReplyVersionGone:
		tr.handleFailure(ev.Attempt, failure{reason: VersionGone, possiblySent: true})
	case backend.ReplyWrongShard:
		tr.handleFailure(ev.Attempt, failure{reason: WrongShard, possiblySent: true})
	case backend.ReplyBad:
		tr.handleFailure(ev.Attempt, failure{reason: BadRequest, possiblySent: true, permanent: true})
	case backend.ReplyDeadlinePassed:
		tr.handleFailure(ev.Attempt, failure{reason: Deadline, possiblySent: true, possiblyRun: true})
	case backend.ReplyFailed:
		tr.handleFailure(ev.Attempt, failure{reason: Failed, possiblySent: true, possiblyRun: true})
	case backend.ReplyCancelled:
		tr.handleFailure(ev.Attempt, failure{reason: Cut, possiblySent: true, possiblyRun: true})
	default:
		tr.handleFailure(ev.Attempt, failure{reason: Malformed, possiblySent: true, possiblyRun: true})
	}
}

// matchesAttempt reports whether a reply belongs to its attempt. Rows count
// only if they come from the pinned snapshot; a refusal may state another one.
func (tr *transition) matchesAttempt(ev Replied) bool {
	ix := ev.Attempt.Shard
	if ix < 0 || ix >= len(tr.st.plan.Shards) {
		return false
	}
	rp := &ev.Reply
	if rp.Code == backend.ReplyOK && rp.Snapshot != tr.st.plan.Snapshot {
		return false
	}
	return rp.RequestID == tr.st.RequestID(ev.Attempt) && rp.Server == ev.Server && rp.Shard == tr.st.plan.Shards[ix]
}

// coverShard stores a shard's rows and cancels its other attempts.
func (tr *transition) coverShard(ev Replied) {
	sh, _, ok := tr.endAttempt(ev.Attempt, true)
	if !ok {
		return
	}
	ix := ev.Attempt.Shard
	tr.cancelRunning(ix, &sh)
	sh.status = shardCovered
	sh.rows = &ShardRows{Shard: ev.Reply.Shard, Server: ev.Server, Rows: ev.Reply.Rows}
	tr.st.numOpen--
	tr.setShard(ix, sh)
}

// markMissing marks a shard as missing for good. Attempts still in flight stay
// recorded in the shard: a backend server may have begun them, which rules out
// a "not run" answer.
func (tr *transition) markMissing(ix int, sh shard, re Reason) {
	tr.cancelRunning(ix, &sh)
	sh.status = shardMissing
	sh.reason = re
	tr.st.numOpen--
	tr.st.numMissing++
	tr.setShard(ix, sh)
}

// handleFailure decides whether a shard is retried after an attempt failed.
func (tr *transition) handleFailure(at Attempt, fa failure) {
	sh, ru, ok := tr.endAttempt(at, fa.possiblySent)
	if !ok {
		return
	}
	ix := at.Shard
	sh.reason = fa.reason
	if !fa.possiblySent && ru.budgetUse >= BudgetRequiredIfResponsive || !fa.possiblyRun && ru.budgetUse == BudgetRequiredIfResponsive {
		sh.overBudgetUsed = false
	}
	if fa.reason == Shed && tr.st.params.Policy == operator.Complete && tr.st.params.Tactics != operator.Baseline && sh.sheds < maxSheds {
		// A server that sheds has begun nothing and may have a free slot soon, and
		// the policy is to wait. So this does not count as a failure of the shard.
		sh.sheds++
		sh.overBudgetUsed = sh.overBudgetUsed && ru.budgetUse != BudgetOptional
	} else if fa.reason != Busy {
		sh.fails++
	}
	sh.possiblyRun = sh.possiblyRun || fa.possiblyRun
	tr.st.possiblyRun = tr.st.possiblyRun || fa.possiblyRun
	switch {
	case fa.permanent:
		tr.markMissing(ix, sh, fa.reason)
	case sh.numRunning() > 0:
		sh.wakeAt = tr.now + tr.st.params.HedgeDelay
		tr.setShard(ix, sh)
	case !tr.mayRetry(&sh):
		tr.markMissing(ix, sh, fa.reason)
	case fa.reason == Busy:
		sh.budgetUse = BudgetExempt
		tr.scheduleRetry(ix, sh, 0)
	default:
		budgetUse := tr.retryBudgetUse(&sh, fa)
		sh.overBudgetUsed = sh.overBudgetUsed || budgetUse == BudgetOptional
		tr.sendAttempt(ix, sh, Retry, budgetUse, true)
	}
}

// mayRetry reports whether another attempt may be sent for a shard. A request
// that must not be repeated may be retried only if no attempt for the shard can
// have begun.
func (tr *transition) mayRetry(sh *shard) bool {
	if !tr.st.params.Repeatable && sh.possiblyRun {
		return false
	}
	if sh.reason == Deadline && tr.now+tr.st.params.HedgeDelay >= tr.st.answerDeadline() {
		return false
	}
	if tr.st.params.Tactics == operator.Baseline || sh.reason == Failed {
		return sh.fails < maxFailuresSingleRetry
	}
	return sh.fails < maxFailures
}

// retryBudgetUse returns how a retry is charged. A retry that replaces an
// attempt that was never sent is no extra load. A server that sheds, fails or
// is too slow may be overloaded, so a retry must not exceed the budget. Other
// failures concern one connection or server, and the request gets one attempt
// beyond the budget.
func (tr *transition) retryBudgetUse(sh *shard, fa failure) BudgetUse {
	if !fa.possiblySent || tr.st.params.Tactics == operator.Baseline {
		return BudgetExempt
	}
	switch fa.reason {
	case Shed, Failed, Deadline:
		return BudgetRequired
	default:
	}
	if sh.overBudgetUsed {
		return BudgetRequired
	}
	return BudgetOptional
}
