package fanout

import (
	"time"

	"balsamwinch.example/operator"
)

// due looks at each shard whose time has come.
func (tu *turn) due() {
	if tu.over() {
		return
	}
	tu.st.armed = never
	tu.st.wake = never
	for ix := range tu.st.plan.Shards {
		sh := tu.st.shards.get(ix)
		switch {
		case sh.status != shardOpen:
		case sh.wake > tu.now:
			tu.st.wake = min(tu.st.wake, sh.wake)
		case sh.runs() == 0:
			tu.again(ix, *sh)
		default:
			tu.hedge(ix, *sh)
		}
	}
}

// again asks for a shard that waited.
func (tu *turn) again(ix int, sh shard) {
	if sh.fails+sh.sheds == 0 {
		tu.ask(ix, sh, First, sh.gate, false)
		return
	}
	// The budget grows with new requests. When all callers wait for one, it does
	// not grow, and each would wait until its deadline. So a shard that nobody is
	// asked for is owed one attempt beyond the budget after a third of the time.
	if sh.gate == BudgetRequired && !sh.forced && tu.now >= tu.st.finish()/owedShare {
		sh.gate = BudgetOptional
		sh.forced = true
	}
	// The server that has dropped the snapshot does not get it back.
	tu.ask(ix, sh, Retry, sh.gate, sh.reason == VersionGone)
}

// wait looks at a shard again a little later, or after the pause if that is
// longer.
func (tu *turn) wait(ix int, sh shard, pause time.Duration) {
	sh.wake = tu.now + max(min(minWait<<sh.waits, maxWait), min(pause, maxPause))
	sh.waits = min(sh.waits+1, maxWaits)
	tu.put(ix, sh)
}

// hedge asks another replica for a shard whose attempt is late. A request that
// must not be repeated is never hedged.
func (tu *turn) hedge(ix int, sh shard) {
	if !tu.st.ru.Repeatable || tu.st.ru.Tactics == operator.Baseline || sh.runs() > 1 || sh.sent-sh.sheds > maxFails {
		sh.wake = never
		tu.put(ix, sh)
		return
	}
	gate := BudgetRequiredIfResponsive
	// A connection that has gone silent shows nothing but a reply that does not
	// come. If many do so at once, the budget is soon spent and the hedges that
	// would save the requests are refused, although they have time. So each
	// shard has one hedge beyond the budget: at once if its server isn't heard from
	// at all, and else late enough not to double the load of servers that are
	// merely slow.
	switch {
	case sh.forced:
		gate = BudgetRequired
	case tu.now >= tu.owedAt(&sh):
		gate = BudgetOptional
	}
	sh.forced = sh.forced || gate != BudgetRequired
	tu.ask(ix, sh, Hedge, gate, !sh.alone)
}

// owedAt returns when a shard's attempt is hedged beyond the budget.
func (tu *turn) owedAt(sh *shard) time.Duration {
	left := tu.st.finish() - sh.asked
	return sh.asked + max(chanceDelays*tu.st.ru.HedgeDelay, left/owedShare)
}

// hedgeLater puts a hedge off that could not be sent.
func (tu *turn) hedgeLater(ix int, sh shard, ru running, at time.Duration) {
	if ru.gate >= BudgetRequiredIfResponsive {
		sh.forced = false
	}
	sh.wake = max(at, tu.now+minWait)
	if ow := tu.owedAt(&sh); !sh.forced && ow > tu.now {
		sh.wake = min(sh.wake, ow)
	}
	tu.put(ix, sh)
}

func (tu *turn) notSent(ev NoServerAvailable) {
	sh, ru, ok := tu.ended(ev.Attempt, false)
	if !ok {
		return
	}
	ix := ev.Attempt.Shard
	sh.gate = ru.gate
	switch {
	case sh.runs() > 0 && ev.AvailableLater && ev.Unresponsive && sh.moved == 0:
		tu.move(ix, sh, ru)
	case sh.runs() > 0 && ev.AvailableLater:
		tu.hedgeLater(ix, sh, ru, tu.now+max(maxWait, ev.RetryDelay))
	case sh.runs() > 0:
		sh.alone = true
		if ev.Unresponsive {
			tu.hedgeLater(ix, sh, ru, tu.now+maxWait)
			return
		}
		tu.hedgeLater(ix, sh, ru, max(tu.now+maxWait, sh.asked+sameServerDelays*tu.st.ru.HedgeDelay))
	case ev.AvailableLater && sh.reason != VersionGone:
		sh.because(Busy)
		tu.wait(ix, sh, ev.RetryDelay)
	default:
		sh.because(NoServer)
		tu.replan(ix, sh)
	}
}

// move gives up an attempt on a backend server that isn't heard from, for one in
// its place.
//
// If all connections to the replicas of a shard go silent under load, the lost
// attempts soon fill the slots, and the hedges that would save the requests find
// none. It shows as shards that wait until the deadline for a slot. Cancelling
// an attempt frees the slot once the backend server says that it runs nothing.
// It is done once: a shard that takes long everywhere must not be stopped again.
func (tu *turn) move(ix int, sh shard, ru running) {
	if ru.gate >= BudgetRequiredIfResponsive {
		sh.forced = false
	}
	sh.wake = never
	sh.moved = tu.now
	tu.put(ix, sh)
	tu.cancelRunning(ix, &sh)
}

// room asks for a shard that waits for a server with room.
func (tu *turn) room(ix int) {
	if ix < 0 || ix >= len(tu.st.plan.Shards) {
		return
	}
	sh := *tu.st.shards.get(ix)
	if sh.status == shardOpen && sh.runs() == 0 && sh.blind == 0 {
		tu.again(ix, sh)
	}
}

func (tu *turn) noBudget(ev BudgetExhausted) {
	sh, ru, ok := tu.ended(ev.Attempt, false)
	if !ok {
		return
	}
	if sh.runs() > 0 {
		tu.hedgeLater(ev.Attempt.Shard, sh, ru, tu.now+tu.st.ru.HedgeDelay)
		return
	}
	sh.gate = ru.gate
	tu.wait(ev.Attempt.Shard, sh, 0)
}

// replan asks for a newer snapshot for a shard that no server can be asked for.
// The plan had a holder, so that one is leaving or has dropped the snapshot, and
// what it announced in its place may not have come here yet. So the shard waits
// a few times before it is given up.
func (tu *turn) replan(ix int, sh shard) {
	if sh.blind >= maxBlind {
		tu.lose(ix, sh, sh.reason)
		return
	}
	sh.blind++
	tu.wait(ix, sh, 0)
	if tu.mayRestart() {
		tu.do(Replan{Newer: tu.st.plan.Snapshot})
	}
}
