package fanout

import (
	"fmt"
	"time"

	"balsamwinch.example/operator"
	"balsamwinch.example/result"
)

// When to come back after a refusal or an answer that misses shards, if no
// backend server said so itself.
const (
	retryBusy    = 100 * time.Millisecond
	retryMissing = time.Second
)

// settle ends the query if it is over, and otherwise arms the moment of the next
// decision.
func (tu *turn) settle() {
	if tu.st.plan.Shards == nil || tu.over() {
		return
	}
	next := min(tu.st.finish(), tu.st.wake, tu.cut())
	if next != tu.st.armed {
		tu.st.armed = next
		tu.do(SetTimer{At: tu.st.ru.Start.Add(next)})
	}
}

// over ends the query if its answer can get no better or not in time.
func (tu *turn) over() bool {
	if tu.unsent {
		tu.st.latest = tu.st.lastSent()
	}
	switch {
	case tu.st.done:
	case tu.st.open == 0 || tu.now >= tu.st.finish():
		tu.answer(Deadline)
	case tu.now >= tu.cut():
		tu.answer(Late)
	default:
		return false
	}
	return true
}

// cut returns when the query is answered without the shards that are open.
//
// Policy Complete waits for them until the deadline, as long as it can still
// become complete. Policy Best, and Complete once a shard is surely missing,
// first give the latest attempt its time, so that a hedge has had its chance.
// Of the time that is then left they wait the share that is still open: one
// shard of 100 is worth a hundredth of it, and a query with most of its shards
// open waits nearly to the end. An answer without any shard is worth nothing,
// so it is never cut. A request that must not be repeated is never cut either:
// its outcome is what the caller needs.
func (tu *turn) cut() time.Duration {
	st := &tu.st
	if st.ru.Tactics == operator.Baseline || !st.ru.Repeatable || st.covered() == 0 {
		return never
	}
	if st.ru.Policy != operator.Best && st.missing == 0 {
		return never
	}
	chance := st.latest + chanceDelays*st.ru.HedgeDelay
	if tu.now < chance {
		return chance
	}
	left := max(0, st.finish()-chance)
	return chance + left*time.Duration(st.open)/time.Duration(len(st.plan.Shards))
}

// answer ends the query. The reason is that of the shards whose attempts run.
func (tu *turn) answer(re Reason) {
	st := &tu.st
	st.begun = st.mayHaveBegun()
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
		why := sh.why(re)
		ou.add(why, sh.begun || sh.runs() > 0)
		an.Missing = append(an.Missing, MissingShard{Shard: name, Reason: why})
	}
	an.Code = st.code(&ou)
	an.Cost = st.cost
	an.Cost.Extra = st.cost.LeafRequests - asked
	if len(an.Missing) > 0 {
		an.RetryAfterMillis = st.comeBack(&ou).Milliseconds()
		an.Detail = detail(len(st.plan.Shards), an.Missing)
	}
	st.done = true
	tu.do(Finish{Answer: an})
}

// why returns the reason for which a shard without rows is missing when the
// query ends for the given one.
func (sh *shard) why(re Reason) Reason {
	switch {
	case sh.status == shardMissing:
		return sh.reason
	case sh.runs() > 0:
		return re
	case sh.reason != "":
		return sh.reason
	default:
		return NotAsked
	}
}

// outcomes counts what became of the shards without rows.
type outcomes struct {
	missing   int
	unknown   int // unknown counts those that may have run.
	failed    int // failed counts those that ran and failed.
	refused   int // refused counts those refused as malformed.
	busy      int // busy counts those that found no room.
	cancelled int
}

func (ou *outcomes) add(re Reason, begun bool) {
	ou.missing++
	if begun && re != Failed {
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

// code returns the result code of the answer. It says "not run" only if no
// shard is covered and no attempt that left is without a backend server's word
// that it did not begin; one shard that may have run forbids it for all.
func (st *State) code(ou *outcomes) result.Code {
	switch {
	case ou.missing == 0:
		return result.Complete
	case !st.begun:
		return ou.notRun()
	case !st.ru.Repeatable && ou.unknown > 0:
		return result.OutcomeUnknown
	case !st.ru.Repeatable && ou.failed > 0, ou.failed == len(st.plan.Shards):
		return result.Failed
	case st.ru.Policy == operator.Best && st.covered() > 0:
		return result.Partial
	default:
		return result.Incomplete
	}
}

// notRun returns the code of a query that no backend server began.
func (ou *outcomes) notRun() result.Code {
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

// comeBack returns when a caller may ask again, or zero if that is no use.
func (st *State) comeBack(ou *outcomes) time.Duration {
	switch {
	case ou.refused > 0, ou.failed == ou.missing:
		return 0
	case st.retryAfter > 0:
		return st.retryAfter
	case ou.busy > 0:
		return retryBusy
	default:
		return retryMissing
	}
}

func detail(shards int, missing []MissingShard) string {
	st := fmt.Sprintf("%d of %d shards missing: %s (%s)", len(missing), shards, missing[0].Shard, missing[0].Reason)
	if len(missing) > 1 {
		st += " and others"
	}
	return st
}
