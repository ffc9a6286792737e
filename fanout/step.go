package fanout

import (
	"slices"
	"time"

	"balsamwinch.example/snapshot"
)

// Limits for the decisions of one query.
const (
	// Failures after which a shard is marked missing.
	maxFailures = 4
	// Replies without a free slot that do not count as failures, under the policy
	// that waits for all shards.
	maxSheds = 100
	// maxFailures for Baseline tactics, which retry once, and for backend servers
	// that report that the request fails.
	maxFailuresSingleRetry = 2
	// How often a shard waits for a server or a snapshot that is not known here
	// yet.
	maxNoServerWaits = 10
	// Waits after which the backoff stops growing.
	maxBackoffSteps = 8
	// Restarts of a query on a newer snapshot.
	maxRestarts = 2
	// Bounds of the wait for a slot, a connection or a plan.
	minRetryDelay       = time.Millisecond
	maxRetryDelay       = 10 * time.Millisecond
	maxServerRetryDelay = 50 * time.Millisecond
	// Hedge delays that an attempt gets before its shard is left out.
	attemptHedgeDelays = 2
	// Hedge delays after which a server gets the hedge itself, on another
	// connection, if no other replica can take it.
	sameServerHedgeDelays = 4
	// An attempt without a reply is hedged even beyond the budget after
	// 1/overBudgetDivisor of its time.
	overBudgetDivisor = 3
)

// Step returns the new state of a query after an event, and the actions to
// perform, in order. It has no side effects.
func Step(st State, ev Event) (State, []Action) {
	if st.done {
		return st, nil
	}
	tr := transition{st: st, now: ev.when().Sub(st.params.Start)}
	switch ev := ev.(type) {
	case PlanReady:
		tr.planReady(ev.Plan)
	case Replied:
		tr.replied(ev)
	case AttemptFailed:
		tr.attemptFailed(ev)
	case NoServerAvailable:
		tr.noServerAvailable(ev)
	case CapacityAvailable:
		tr.capacityAvailable(ev.Shard)
	case BudgetExhausted:
		tr.budgetExhausted(ev)
	case TimerFired:
		tr.timerFired()
	case CallerGone:
		tr.callerGone()
	}
	tr.finishOrSchedule()
	return tr.st, tr.actions
}

// transition is one Step in progress.
type transition struct {
	st        State
	now       time.Duration
	actions   []Action
	newShards bool // whether the list of shards was created in this transition
	// Whether an attempt turned out not to have been sent.
	unsent bool
}

func (tr *transition) emit(ac Action) {
	tr.actions = append(tr.actions, ac)
}

// setShard replaces a shard in the state.
func (tr *transition) setShard(ix int, sh shard) {
	if sh.status == shardOpen {
		tr.st.wakeAt = min(tr.st.wakeAt, sh.wakeAt)
	}
	if tr.newShards {
		*tr.st.shards.get(ix) = sh
		return
	}
	tr.st.shards = tr.st.shards.with(ix, sh)
}

// planReady pins the plan and sends an attempt for each of its shards.
func (tr *transition) planReady(plan snapshot.Coverage) {
	if tr.st.plan.Shards != nil {
		if !tr.gainsCoverage(plan) {
			return
		}
		tr.abandonSnapshot()
		tr.st.cost.Restarts++
	}
	tr.st.plan = plan
	tr.st.shards = newShardList(len(plan.Shards))
	tr.st.numOpen, tr.st.numMissing = len(plan.Shards), 0
	tr.st.wakeAt, tr.st.latestSent = never, 0
	tr.newShards = true
	tr.actions = slices.Grow(tr.actions, len(plan.Shards)+1)
	missing := plan.Missing
	for ix, name := range plan.Shards {
		if len(missing) > 0 && missing[0] == name {
			missing = missing[1:]
			tr.markMissing(ix, shard{}, NoServer)
			continue
		}
		tr.sendAttempt(ix, shard{}, First, BudgetExempt, false)
	}
}

// gainsCoverage reports whether restarting on the plan may cover more than
// continuing. Shards that wait for another snapshot are lost if the query
// continues.
func (tr *transition) gainsCoverage(plan snapshot.Coverage) bool {
	if plan.Snapshot.Compare(tr.st.plan.Snapshot) <= 0 || !tr.mayRestart() {
		return false
	}
	reachable := len(tr.st.plan.Shards) - tr.st.numMissing
	for ix := range tr.st.plan.Shards {
		if sh := tr.st.shards.get(ix); sh.status == shardOpen && sh.noServerWaits > 0 && sh.numRunning() == 0 {
			reachable--
		}
	}
	held := len(plan.Shards) - len(plan.Missing)
	return held*len(tr.st.plan.Shards) > reachable*len(plan.Shards)
}

// mayRestart reports whether the query may restart: there must be time for it,
// and a request that must not be repeated cannot have begun anywhere.
func (tr *transition) mayRestart() bool {
	if !tr.st.params.Repeatable && tr.st.mayHaveRun() {
		return false
	}
	return tr.st.cost.Restarts < maxRestarts && tr.now+tr.st.params.HedgeDelay < tr.st.answerDeadline()
}

// abandonSnapshot cancels the attempts on the pinned snapshot. Rows merged from
// it are dropped, so that no answer mixes snapshots.
func (tr *transition) abandonSnapshot() {
	tr.st.possiblyRun = tr.st.mayHaveRun()
	for ix := range tr.st.plan.Shards {
		tr.cancelRunning(ix, tr.st.shards.get(ix))
	}
}

func (tr *transition) cancelRunning(ix int, sh *shard) {
	for _, ru := range sh.running {
		if ru.number != 0 {
			tr.emit(CancelAttempt{Attempt: Attempt{Number: int(ru.number), Shard: ix}})
		}
	}
}

// sendAttempt sends an attempt for a shard.
func (tr *transition) sendAttempt(ix int, sh shard, kind AttemptKind, budgetUse BudgetUse, excludeTried bool) {
	if tr.now >= tr.st.answerDeadline() {
		tr.setShard(ix, sh)
		return
	}
	tr.st.lastAttempt++
	at := Attempt{Number: tr.st.lastAttempt, Shard: ix}
	tr.emit(SendAttempt{
		Attempt:      at,
		RequestID:    tr.st.RequestID(at),
		Snapshot:     tr.st.plan.Snapshot,
		Shard:        tr.st.plan.Shards[ix],
		Kind:         kind,
		BudgetUse:    budgetUse,
		ExcludeTried: excludeTried,
	})
	tr.addCost(kind, 1)
	sh.sent++
	sh.add(runningAttempt{number: int32(at.Number), kind: kind, budgetUse: budgetUse})
	sh.wakeAt = never
	if kind != Hedge {
		sh.oldestSent = tr.now
		sh.wakeAt = tr.now + tr.st.params.HedgeDelay
	}
	// Another connection to the same server helps little if the server is stuck,
	// and it must not prolong the wait of the query.
	if kind != Hedge || excludeTried {
		sh.latestSent = tr.now
		tr.st.latestSent = max(tr.st.latestSent, tr.now)
	}
	tr.setShard(ix, sh)
}

// addCost adds attempts to the cost, or subtracts those that were never sent.
func (tr *transition) addCost(kind AttemptKind, number int) {
	tr.st.cost.LeafRequests += number
	switch kind {
	case Hedge:
		tr.st.cost.Hedges += number
	case Retry:
		tr.st.cost.Retries += number
	case First:
	}
}

// endAttempt removes an attempt from those in flight. It returns false if the
// attempt's end is no longer expected: it is late, a duplicate, or from an
// abandoned snapshot.
func (tr *transition) endAttempt(at Attempt, possiblySent bool) (shard, runningAttempt, bool) {
	if at.Shard < 0 || at.Shard >= len(tr.st.plan.Shards) {
		return shard{}, runningAttempt{}, false
	}
	sh := *tr.st.shards.get(at.Shard)
	ru, ok := sh.remove(at.Number)
	if !ok || sh.status != shardOpen {
		return shard{}, runningAttempt{}, false
	}
	if !possiblySent {
		tr.addCost(ru.kind, -1)
		sh.sent--
		sh.latestSent = 0
		if sh.numRunning() > 0 {
			sh.latestSent = sh.oldestSent
		}
		tr.unsent = true
	}
	return sh, ru, true
}

// callerGone ends a query whose caller disconnected. A request that must not be
// repeated continues once it may have begun, so that its outcome is recorded
// for the caller's resend.
func (tr *transition) callerGone() {
	if tr.st.params.Repeatable || !tr.st.mayHaveRun() {
		tr.finish(Cancelled)
	}
}
