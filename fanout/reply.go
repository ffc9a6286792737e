package fanout

import (
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
)

// failure is the end of an attempt without rows.
type failure struct {
	reason Reason
	left   bool // left says that bytes of the request may have left.
	begun  bool // begun says that the backend server may have begun it.
	final  bool // final says that no other server would do better.
}

func (tu *turn) attemptFailed(ev AttemptFailed) {
	fa := failure{left: ev.Sent, begun: ev.Sent}
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
	tu.failed(ev.Attempt, fa)
}

func (tu *turn) replied(ev Replied) {
	rp := ev.Reply
	// Two requests whose replies change places on their way, or one that is
	// answered twice, would put one query's rows into another's answer, and
	// another's "not run" would let a request run twice. Only a reply that
	// states the attempt's own request id, server and shard is one to it.
	if !tu.answers(ev) {
		tu.failed(ev.Attempt, failure{reason: Crossed, left: true, begun: true})
		return
	}
	tu.st.retryAfter = max(tu.st.retryAfter, time.Duration(rp.RetryAfterMillis)*time.Millisecond)
	switch rp.Code {
	case backend.ReplyOK:
		tu.cover(ev)
	case backend.ReplyShed:
		tu.failed(ev.Attempt, failure{reason: Shed, left: true})
	case backend.ReplyDraining:
		tu.failed(ev.Attempt, failure{reason: Draining, left: true})
	case backend.ReplyVersionGone:
		tu.failed(ev.Attempt, failure{reason: VersionGone, left: true})
	case backend.ReplyWrongShard:
		tu.failed(ev.Attempt, failure{reason: WrongShard, left: true})
	case backend.ReplyBad:
		tu.failed(ev.Attempt, failure{reason: BadRequest, left: true, final: true})
	case backend.ReplyDeadlinePassed:
		tu.failed(ev.Attempt, failure{reason: Deadline, left: true, begun: true})
	case backend.ReplyFailed:
		tu.failed(ev.Attempt, failure{reason: Failed, left: true, begun: true})
	case backend.ReplyCancelled:
		tu.failed(ev.Attempt, failure{reason: Cut, left: true, begun: true})
	default:
		tu.failed(ev.Attempt, failure{reason: Malformed, left: true, begun: true})
	}
}

// answers reports whether a reply is one to the attempt it came for. Rows count
// only from the pinned snapshot; a refusal may state another one.
func (tu *turn) answers(ev Replied) bool {
	ix := ev.Attempt.Shard
	if ix < 0 || ix >= len(tu.st.plan.Shards) {
		return false
	}
	rp := &ev.Reply
	if rp.Code == backend.ReplyOK && rp.Snapshot != tu.st.plan.Snapshot {
		return false
	}
	return rp.RequestID == tu.st.RequestID(ev.Attempt) && rp.Server == ev.Server && rp.Shard == tu.st.plan.Shards[ix]
}

// cover takes a shard's rows and stops its other attempts.
func (tu *turn) cover(ev Replied) {
	sh, _, ok := tu.ended(ev.Attempt, true)
	if !ok {
		return
	}
	ix := ev.Attempt.Shard
	tu.cancelRunning(ix, &sh)
	sh.status = shardCovered
	sh.rows = &ShardRows{Shard: ev.Reply.Shard, Server: ev.Server, Rows: ev.Reply.Rows}
	tu.st.open--
	tu.put(ix, sh)
}

// lose settles that a shard will be missing. Attempts that still run stay noted
// in it: a backend server may have begun them, which forbids to say "not run".
func (tu *turn) lose(ix int, sh shard, re Reason) {
	tu.cancelRunning(ix, &sh)
	sh.status = shardMissing
	sh.reason = re
	tu.st.open--
	tu.st.missing++
	tu.put(ix, sh)
}

// failed decides whether a shard is asked again after an attempt failed.
func (tu *turn) failed(at Attempt, fa failure) {
	sh, ru, ok := tu.ended(at, fa.left)
	if !ok {
		return
	}
	ix := at.Shard
	sh.reason = fa.reason
	if !fa.left && ru.gate >= BudgetRequiredIfResponsive || !fa.begun && ru.gate == BudgetRequiredIfResponsive {
		sh.forced = false
	}
	if fa.reason == Shed && tu.st.ru.Policy == operator.Complete && tu.st.ru.Tactics != operator.Baseline && sh.sheds < maxSheds {
		// A server that sheds has begun nothing and may have a slot free soon, and
		// the policy is to wait: that is no failure that gives the shard up.
		sh.sheds++
		sh.forced = sh.forced && ru.gate != BudgetOptional
	} else if fa.reason != Busy {
		sh.fails++
	}
	sh.begun = sh.begun || fa.begun
	tu.st.begun = tu.st.begun || fa.begun
	switch {
	case fa.final:
		tu.lose(ix, sh, fa.reason)
	case sh.runs() > 0:
		sh.wake = tu.now + tu.st.ru.HedgeDelay
		tu.put(ix, sh)
	case !tu.mayRetry(&sh):
		tu.lose(ix, sh, fa.reason)
	case fa.reason == Busy:
		sh.gate = BudgetExempt
		tu.wait(ix, sh, 0)
	default:
		gate := tu.gate(&sh, fa)
		sh.forced = sh.forced || gate == BudgetOptional
		tu.ask(ix, sh, Retry, gate, true)
	}
}

// mayRetry reports whether a shard may be asked once more. A request that must
// not be repeated may only if no attempt for the shard can have begun.
func (tu *turn) mayRetry(sh *shard) bool {
	if !tu.st.ru.Repeatable && sh.begun {
		return false
	}
	if sh.reason == Deadline && tu.now+tu.st.ru.HedgeDelay >= tu.st.finish() {
		return false
	}
	if tu.st.ru.Tactics == operator.Baseline || sh.reason == Failed {
		return sh.fails < fewFails
	}
	return sh.fails < maxFails
}

// gate returns how a retry stands to the budget. One that replaces an attempt
// that never left is no extra load. A server that sheds, fails or is too slow
// may be so from load, so a retry must not add to it beyond the budget. The
// other failures lie with one connection or server, and the request is owed
// one more attempt.
func (tu *turn) gate(sh *shard, fa failure) BudgetUse {
	if !fa.left || tu.st.ru.Tactics == operator.Baseline {
		return BudgetExempt
	}
	switch fa.reason {
	case Shed, Failed, Deadline:
		return BudgetRequired
	default:
	}
	if sh.forced {
		return BudgetRequired
	}
	return BudgetOptional
}
