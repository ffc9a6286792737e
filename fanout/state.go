package fanout

import (
	"math"
	"slices"
	"strconv"
	"time"

	"balsamwinch.example/snapshot"
)

// never is later than any deadline. Times within a query are relative to its
// start.
const never = time.Duration(math.MaxInt64)

// State is the state of one query. It is immutable: Step returns a new one that
// shares the unchanged parts.
type State struct {
	params      Params
	plan        snapshot.Coverage
	shards      shardList
	numOpen     int // shards neither covered nor missing
	numMissing  int
	lastAttempt int // number of the latest attempt
	cost        Cost
	possiblyRun bool          // whether a backend server may have begun the request
	wakeAt      time.Duration // not later than the earliest wakeAt of an open shard
	latestSent  time.Duration // when the latest attempt was sent
	timerAt     time.Duration
	retryAfter  time.Duration // longest delay that a backend server asked for
	done        bool
}

// NewState returns the state of a query that has no plan yet.
func NewState(pa Params) State {
	return State{params: pa, wakeAt: never, timerAt: never}
}

// RequestID returns the request id of an attempt.
func (st State) RequestID(at Attempt) string {
	return st.params.RequestIDPrefix + "." + strconv.Itoa(at.Number)
}

// answerDeadline returns when the answer is given at the latest.
func (st State) answerDeadline() time.Duration {
	return st.params.AnswerDeadline.Sub(st.params.Start)
}

func (st State) covered() int {
	return len(st.plan.Shards) - st.numOpen - st.numMissing
}

// latestAcrossShards returns when the latest attempt of any shard was sent. For
// a shard whose attempt was cancelled to be replaced, the time of the
// cancellation counts, so that the replacement gets time to reply, unless only
// the same server is left to take it.
func (st State) latestAcrossShards() time.Duration {
	var latest time.Duration
	for ix := range st.plan.Shards {
		sh := st.shards.get(ix)
		latest = max(latest, sh.latestSent)
		if !sh.noOtherReplica {
			latest = max(latest, sh.replacedAt)
		}
	}
	return latest
}

// mayHaveRun reports whether a backend server may have begun the request.
func (st State) mayHaveRun() bool {
	if st.possiblyRun || st.covered() > 0 {
		return true
	}
	for ix := range st.plan.Shards {
		if st.shards.get(ix).numRunning() > 0 {
			return true
		}
	}
	return false
}

type shardStatus uint8

const (
	shardOpen shardStatus = iota
	shardCovered
	shardMissing
)

// shard is the state of one shard of a query.
type shard struct {
	status         shardStatus
	possiblyRun    bool  // whether an attempt that ended may have run
	overBudgetUsed bool  // whether the one attempt beyond the budget is used
	noOtherReplica bool  // whether no other replica could take the hedge
	sent           uint8 // attempts that were sent or are in flight
	sheds          uint8 // attempts among them that found no free slot
	fails          uint8
	waits          uint8
	noServerWaits  uint8     // waits for a server that is not known yet
	budgetUse      BudgetUse // of the next attempt while the shard waits
	reason         Reason    // of the latest failure
	running        [2]runningAttempt
	oldestSent     time.Duration // when the oldest attempt in flight was sent
	latestSent     time.Duration // when the latest attempt was sent
	replacedAt     time.Duration // when an attempt was cancelled to be replaced; zero if none was
	wakeAt         time.Duration // when the shard needs a decision
	rows           *ShardRows
}

// runningAttempt is an attempt in flight; number 0 means none.
type runningAttempt struct {
	number    int32
	kind      AttemptKind
	budgetUse BudgetUse
}

// numRunning returns the number of attempts in flight.
func (sh *shard) numRunning() int {
	count := 0
	for _, ru := range sh.running {
		if ru.number != 0 {
			count++
		}
	}
	return count
}

// add adds an attempt in flight; there is room for two.
func (sh *shard) add(ru runningAttempt) {
	ix := slices.IndexFunc(sh.running[:], func(ot runningAttempt) bool { return ot.number == 0 })
	sh.running[ix] = ru
}

// setReason sets the reason why nothing was sent, unless an earlier failure
// gave a more specific one.
func (sh *shard) setReason(re Reason) {
	if sh.reason == "" || sh.reason == Busy {
		sh.reason = re
	}
}

// remove removes an attempt in flight and reports whether it was found.
func (sh *shard) remove(number int) (runningAttempt, bool) {
	for ix, ru := range sh.running {
		if number > 0 && int(ru.number) == number {
			sh.running[ix] = runningAttempt{}
			return ru, true
		}
	}
	return runningAttempt{}, false
}

// chunkSize is the number of shards copied when one of them changes.
const chunkSize = 8

// shardList is an immutable list of shards. A change copies one chunk and the
// list of chunks, so that a query of 180 shards does not copy 180 for each
// reply.
type shardList []*[chunkSize]shard

func newShardList(count int) shardList {
	sl := make(shardList, (count+chunkSize-1)/chunkSize)
	chunks := make([][chunkSize]shard, len(sl))
	for ix := range sl {
		sl[ix] = &chunks[ix]
	}
	return sl
}

// get returns a shard, which must not be modified.
func (sl shardList) get(ix int) *shard {
	return &sl[ix/chunkSize][ix%chunkSize]
}

// with returns a list with one shard replaced.
func (sl shardList) with(ix int, sh shard) shardList {
	nl := slices.Clone(sl)
	chunk := *sl[ix/chunkSize]
	chunk[ix%chunkSize] = sh
	nl[ix/chunkSize] = &chunk
	return nl
}
