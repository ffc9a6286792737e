package fanout

import (
	"fmt"
	"time"

	"balsamwinch.example/operator"
	"balsamwinch.example/result"
)

// Retry-after times of refusals and incomplete answers, used when no backend
// server stated one.
const (
	retryAfterBusy    = 100 * time.Millisecond
	retryAfterMissing = time.Second
)

// finishOrSchedule ends the query if it is over, and otherwise sets the timer
// for the next decision.
func (tr *transition) finishOrSchedule() {
	if tr.st.plan.Shards == nil || tr.finishIfOver() {
		return
	}
	next := min(tr.st.answerDeadline(), tr.st.wakeAt, tr.cutoff())
	if next != tr.st.timerAt {
		tr.st.timerAt = next
		tr.emit(SetTimer{At: tr.st.params.Start.Add(next)})
	}
}

// finishIfOver ends the query if its answer cannot improve or the time is up,
// and reports whether the query has ended.
func (tr *transition) finishIfOver() bool {
	if tr.unsent {
		tr.st.latestSent = tr.st.latestAcrossShards()
	}
	switch {
	case tr.st.done:
	case tr.st.numOpen == 0 || tr.now >= tr.st.answerDeadline():
		tr.finish(Deadline)
	case tr.now >= tr.cutoff():
		tr.finish(Late)
	default:
		return false
	}
	return true
}

// cutoff returns when the query is answered without the shards that are still
// open.
//
// With policy Complete the query waits for open shards until the deadline as
// long as it can still become complete. With policy Best, or with Complete once
// a shard is certainly missing, it first gives the latest attempt its grace
// period, so that a hedge has time to win. Of the time left after that it waits
// a fraction equal to the fraction of shards still open: one shard of 100 is
// worth a hundredth of the time, and a query with most of its shards open waits
// nearly until the deadline. An answer without any shard is worthless, so it is
// never cut short. Neither is a request that must not be repeated, because its
// caller needs the outcome.
func (tr *transition) cutoff() time.Duration {
	st := &tr.st
	if st.params.Tactics == operator.Baseline || !st.params.Repeatable || st.covered() == 0 {
		return never
	}
	if st.params.Policy != operator.Best && st.numMissing == 0 {
		return never
	}
	graceEnd := st.latestSent + attemptHedgeDelays*st.params.HedgeDelay
	if tr.now < graceEnd {
		return graceEnd
	}
	left := max(0, st.answerDeadline()-graceEnd)
	return graceEnd + left*time.Duration(st.numOpen)/time.Duration(len(st.plan.Shards))
}

// finish ends the query. Shards with attempts in flight are missing for the
// given reason.
func (tr *transition) finish(re Reason) {
	st := &tr.st
	st.possiblyRun = st.mayHaveRun()
	an := Answer{Snapshot: st.plan.Snapshot, Covered: make([]string, 0, st.covered())}
	an.Rows = make([]ShardRows, 0, st.covered())
	asked := 0
	var ou outcomes
	for ix, name := range st.plan.Shards {
		sh := st.shards.get(ix)
		asked += min(1, int(sh.sent))
		if sh.status == shardCovered {
			an.Covered = append(an.Covered, name)
			an.Rows = append(an.Rows, *sh.rows)
			continue
		}
		why := sh.missingReason(re)
		ou.add(why, sh.possiblyRun || sh.numRunning() > 0)
		an.Missing = append(an.Missing, MissingShard{Shard: name, Reason: why})
	}
	an.Code = st.code(&ou)
	an.Cost = st.cost
	an.Cost.Extra = st.cost.LeafRequests - asked
	if len(an.Missing) > 0 {
		an.RetryAfterMillis = st.retryDelay(&ou).Milliseconds()
		an.Detail = missingDetail(len(st.plan.Shards), an.Missing)
	}
	st.done = true
	tr.emit(Finish{Answer: an})
}

// missingReason returns why a shard without rows is missing. The given reason
// applies if attempts for the shard are in flight.
func (sh *shard) missingReason(re Reason) Reason {
	switch {
	case sh.status == shardMissing:
		return sh.reason
	case sh.numRunning() > 0:
		return re
	case sh.reason != "":
		return sh.reason
	default:
		return NotAsked
	}
}

// outcomes counts the shards without rows by outcome.
type outcomes struct {
	missing   int
	unknown   int // may have run
	failed    int // ran and failed
	refused   int // refused as malformed
	busy      int // found no free slot or connection
	cancelled int
}

func (ou *outcomes) add(re Reason, possiblyRun bool) {
	ou.missing++
	if possiblyRun && re != Failed {
		ou.unknown++
	}
	switch re {
	case Failed:
		ou.failed++
	case BadRequest:
		ou.refused++
	case Busy, Shed:
		ou.busy++
	case Cancelled, NotAsked:
		ou.cancelled++
	default:
	}
}

// code returns the result code of the answer. It is a "not run" code only if no
// shard is covered and backend servers confirmed, for each attempt that was
// sent, that it did not begin. A single shard that may have run rules it out
// for the whole query.
func (st *State) code(ou *outcomes) result.Code {
	switch {
	case ou.missing == 0:
		return result.Complete
	case !st.possiblyRun:
		return ou.notRunCode()
	case !st.params.Repeatable && ou.unknown > 0:
		return result.OutcomeUnknown
	case !st.params.Repeatable && ou.failed > 0, ou.failed == len(st.plan.Shards):
		return result.Failed
	case st.params.Policy == operator.Best && st.covered() > 0:
		return result.Partial
	default:
		return result.Incomplete
	}
}

// notRunCode returns the code of a query that no backend server began.
func (ou *outcomes) notRunCode() result.Code {
	switch {
	case ou.refused > 0:
		return result.NotRunBadRequest
	case ou.busy > 0:
		return result.NotRunOverloaded
	case ou.cancelled > 0:
		return result.NotRunDeadline
	default:
		return result.NotRunNoServer
	}
}

// retryDelay returns when the caller may try again, or zero if that is
// pointless.
func (st *State) retryDelay(ou *outcomes) time.Duration {
	switch {
	case ou.refused > 0, ou.failed == ou.missing:
		return 0
	case st.retryAfter > 0:
		return st.retryAfter
	case ou.busy > 0:
		return retryAfterBusy
	default:
		return retryAfterMissing
	}
}

func missingDetail(shards int, missing []MissingShard) string {
	st := fmt.Sprintf("%d of %d shards missing: %s (%s)", len(missing), shards, missing[0].Shard, missing[0].Reason)
	if len(missing) > 1 {
		st += " and others"
	}
	return st
}
