package fanout

import (
	"slices"
	"time"

	"balsamwinch.example/snapshot"
)

// Bounds of the decisions of one query.
const (
	// maxFails is after how many failures a shard is given up.
	maxFails = 4
	// maxSheds is how many replies without a free slot don't count as failures,
	// under the policy that waits for all shards.
	maxSheds = 100
	// fewFails is the same for the Baseline tactics, which retry once, and for
	// backend servers that say that the request fails.
	fewFails = 2
	// maxBlind is how often a shard waits for a server or a snapshot that is not
	// known here yet.
	maxBlind = 10
	// maxWaits is after how many waits they get no longer.
	maxWaits = 8
	// maxRestarts is how often a query begins again on a newer snapshot.
	maxRestarts = 2
	// minWait and maxWait bound the wait for a slot, a connection or a plan.
	minWait  = time.Millisecond
	maxWait  = 10 * time.Millisecond
	maxPause = 50 * time.Millisecond
	// chanceDelays is how many hedge delays an attempt has before it is left out.
	chanceDelays = 2
	// sameServerDelays is after how many hedge delays a server is asked again on
	// another connection if no other replica can be.
	sameServerDelays = 4
	// owedShare is the part of its time after which an attempt without a reply
	// is hedged even if the budget is spent.
	owedShare = 3
)

// Step decides what one event means for a query and returns the new state and
// what is to be done, in order. It is pure.
func Step(st State, ev Event) (State, []Action) {
	if st.done {
		return st, nil
	}
	tu := turn{st: st, now: ev.when().Sub(st.ru.Start)}
	switch ev := ev.(type) {
	case PlanReady:
		tu.started(ev.Plan)
	case Replied:
		tu.replied(ev)
	case AttemptFailed:
		tu.attemptFailed(ev)
	case NoServerAvailable:
		tu.notSent(ev)
	case CapacityAvailable:
		tu.room(ev.Shard)
	case BudgetExhausted:
		tu.noBudget(ev)
	case TimerFired:
		tu.due()
	case CallerGone:
		tu.callerGone()
	}
	tu.settle()
	return tu.st, tu.acts
}

// turn is one step while it is worked out.
type turn struct {
	st    State
	now   time.Duration
	acts  []Action
	fresh bool // fresh says that the list of shards was made in this turn.
	// unsent says that an attempt turned out not to have left.
	unsent bool
}

func (tu *turn) do(ac Action) {
	tu.acts = append(tu.acts, ac)
}

// put replaces a shard in the state.
func (tu *turn) put(ix int, sh shard) {
	if sh.status == shardOpen {
		tu.st.wake = min(tu.st.wake, sh.wake)
	}
	if tu.fresh {
		*tu.st.shards.get(ix) = sh
		return
	}
	tu.st.shards = tu.st.shards.with(ix, sh)
}

// started pins the plan and asks each of its shards.
func (tu *turn) started(plan snapshot.Coverage) {
	if tu.st.plan.Shards != nil {
		if !tu.gains(plan) {
			return
		}
		tu.abandon()
		tu.st.cost.Restarts++
	}
	tu.st.plan = plan
	tu.st.shards = newShardList(len(plan.Shards))
	tu.st.open, tu.st.missing = len(plan.Shards), 0
	tu.st.wake, tu.st.latest = never, 0
	tu.fresh = true
	tu.acts = slices.Grow(tu.acts, len(plan.Shards)+1)
	unheld := plan.Missing
	for ix, name := range plan.Shards {
		if len(unheld) > 0 && unheld[0] == name {
			unheld = unheld[1:]
			tu.lose(ix, shard{}, NoServer)
			continue
		}
		tu.ask(ix, shard{}, First, BudgetExempt, false)
	}
}

// gains reports whether restarting on the plan may cover more than going on.
// Shards that wait for another snapshot are lost if it goes on.
func (tu *turn) gains(plan snapshot.Coverage) bool {
	if plan.Snapshot.Compare(tu.st.plan.Snapshot) <= 0 || !tu.mayRestart() {
		return false
	}
	reach := len(tu.st.plan.Shards) - tu.st.missing
	for ix := range tu.st.plan.Shards {
		if sh := tu.st.shards.get(ix); sh.status == shardOpen && sh.blind > 0 && sh.runs() == 0 {
			reach--
		}
	}
	held := len(plan.Shards) - len(plan.Missing)
	return held*len(tu.st.plan.Shards) > reach*len(plan.Shards)
}

// mayRestart reports whether the query may begin again: there is time for it,
// and a request that must not be repeated cannot have begun anywhere.
func (tu *turn) mayRestart() bool {
	if !tu.st.ru.Repeatable && tu.st.mayHaveBegun() {
		return false
	}
	return tu.st.cost.Restarts < maxRestarts && tu.now+tu.st.ru.HedgeDelay < tu.st.finish()
}

// abandon gives up what was asked of the pinned snapshot. What was merged from
// it is dropped, so that no answer mixes snapshots.
func (tu *turn) abandon() {
	tu.st.begun = tu.st.mayHaveBegun()
	for ix := range tu.st.plan.Shards {
		tu.cancelRunning(ix, tu.st.shards.get(ix))
	}
}

func (tu *turn) cancelRunning(ix int, sh *shard) {
	for _, ru := range sh.running {
		if ru.number != 0 {
			tu.do(CancelAttempt{Attempt: Attempt{Number: int(ru.number), Shard: ix}})
		}
	}
}

// ask sends an attempt for a shard.
func (tu *turn) ask(ix int, sh shard, kind AttemptKind, gate BudgetUse, elsewhere bool) {
	if tu.now >= tu.st.finish() {
		tu.put(ix, sh)
		return
	}
	tu.st.last++
	at := Attempt{Number: tu.st.last, Shard: ix}
	tu.do(SendAttempt{
		Attempt:      at,
		RequestID:    tu.st.RequestID(at),
		Snapshot:     tu.st.plan.Snapshot,
		Shard:        tu.st.plan.Shards[ix],
		Kind:         kind,
		BudgetUse:    gate,
		ExcludeTried: elsewhere,
	})
	tu.count(kind, 1)
	sh.sent++
	sh.add(running{number: int32(at.Number), kind: kind, gate: gate})
	sh.wake = never
	if kind != Hedge {
		sh.asked = tu.now
		sh.wake = tu.now + tu.st.ru.HedgeDelay
	}
	// Another connection to the same server gains little if the server is stuck,
	// and the query must not wait the longer for it.
	if kind != Hedge || elsewhere {
		sh.latest = tu.now
		tu.st.latest = max(tu.st.latest, tu.now)
	}
	tu.put(ix, sh)
}

// count adds attempts to the cost, or takes back those that never left.
func (tu *turn) count(kind AttemptKind, number int) {
	tu.st.cost.LeafRequests += number
	switch kind {
	case Hedge:
		tu.st.cost.Hedges += number
	case Retry:
		tu.st.cost.Retries += number
	case First:
	}
}

// ended takes an attempt out of those that run. It returns false for an attempt
// that nothing is expected of: its end is late, doubled, or of a snapshot that
// the query has left.
func (tu *turn) ended(at Attempt, left bool) (shard, running, bool) {
	if at.Shard < 0 || at.Shard >= len(tu.st.plan.Shards) {
		return shard{}, running{}, false
	}
	sh := *tu.st.shards.get(at.Shard)
	ru, ok := sh.remove(at.Number)
	if !ok || sh.status != shardOpen {
		return shard{}, running{}, false
	}
	if !left {
		tu.count(ru.kind, -1)
		sh.sent--
		sh.latest = 0
		if sh.runs() > 0 {
			sh.latest = sh.asked
		}
		tu.unsent = true
	}
	return sh, ru, true
}

// callerGone ends a query whose caller is gone. A request that must not be
// repeated goes on once it may have begun, so that its outcome is recorded for
// the caller's resend.
func (tu *turn) callerGone() {
	if tu.st.ru.Repeatable || !tu.st.mayHaveBegun() {
		tu.answer(Cancelled)
	}
}
