package fanout

import (
	"math"
	"slices"
	"strconv"
	"time"

	"balsamwinch.example/snapshot"
)

// never is later than any deadline. Times within a query count from its start.
const never = time.Duration(math.MaxInt64)

// State is where one query stands. It is immutable: Step returns a new one that
// shares what did not change.
type State struct {
	ru         Params
	plan       snapshot.Coverage
	shards     shardList
	open       int // open counts the shards neither covered nor missing.
	missing    int
	last       int // last is the number of the latest attempt.
	cost       Cost
	begun      bool          // begun says that some backend server may have begun the request.
	wake       time.Duration // wake is not later than the earliest wake of an open shard.
	latest     time.Duration // latest is when the latest attempt was sent.
	armed      time.Duration
	retryAfter time.Duration // retryAfter is the longest that a backend server asked for.
	done       bool
}

// NewState returns the state of a query that has no plan yet.
func NewState(ru Params) State {
	return State{ru: ru, wake: never, armed: never}
}

// RequestID returns the request id of an attempt.
func (st State) RequestID(at Attempt) string {
	return st.ru.RequestIDPrefix + "." + strconv.Itoa(at.Number)
}

// finish returns when the answer is given at the latest.
func (st State) finish() time.Duration {
	return st.ru.AnswerDeadline.Sub(st.ru.Start)
}

func (st State) covered() int {
	return len(st.plan.Shards) - st.open - st.missing
}

// lastSent returns when the latest attempt of all shards was sent. One that was
// given up counts from then, so that the one in its place has its chance, unless
// only the same server is left for it.
func (st State) lastSent() time.Duration {
	var latest time.Duration
	for ix := range st.plan.Shards {
		sh := st.shards.get(ix)
		latest = max(latest, sh.latest)
		if !sh.alone {
			latest = max(latest, sh.moved)
		}
	}
	return latest
}

// mayHaveBegun reports whether a backend server may have begun the request.
func (st State) mayHaveBegun() bool {
	if st.begun || st.covered() > 0 {
		return true
	}
	for ix := range st.plan.Shards {
		if st.shards.get(ix).runs() > 0 {
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

// shard is where one shard of a query stands.
type shard struct {
	status  shardStatus
	begun   bool  // begun says that an attempt that ended may have run.
	forced  bool  // forced says that its one attempt beyond the budget is used.
	alone   bool  // alone says that no other replica could take the hedge.
	sent    uint8 // sent counts the attempts that left or still run.
	sheds   uint8 // sheds counts those of them that found no slot free.
	fails   uint8
	waits   uint8
	blind   uint8     // blind counts the waits for a server that is not known yet.
	gate    BudgetUse // gate is that of the next attempt when the shard waits.
	reason  Reason    // reason is that of the latest failure.
	running [2]running
	asked   time.Duration // asked is when the oldest running attempt was sent.
	latest  time.Duration // latest is when the latest attempt was sent.
	moved   time.Duration // moved is when an attempt was given up for one in its place.
	wake    time.Duration // wake is when the shard needs a decision.
	rows    *ShardRows
}

// running is an attempt without an end yet; number 0 is none.
type running struct {
	number int32
	kind   AttemptKind
	gate   BudgetUse
}

// runs returns how many attempts run.
func (sh *shard) runs() int {
	count := 0
	for _, ru := range sh.running {
		if ru.number != 0 {
			count++
		}
	}
	return count
}

// add puts an attempt among the running ones; there is room for two.
func (sh *shard) add(ru running) {
	ix := slices.IndexFunc(sh.running[:], func(ot running) bool { return ot.number == 0 })
	sh.running[ix] = ru
}

// because gives the reason why nothing was sent, unless an earlier failure gave
// a better one.
func (sh *shard) because(re Reason) {
	if sh.reason == "" || sh.reason == Busy {
		sh.reason = re
	}
}

// remove takes an attempt out of the running ones and reports whether it was
// among them.
func (sh *shard) remove(number int) (running, bool) {
	for ix, ru := range sh.running {
		if number > 0 && int(ru.number) == number {
			sh.running[ix] = running{}
			return ru, true
		}
	}
	return running{}, false
}

// chunkSize is how many shards are copied when one of them changes.
const chunkSize = 8

// shardList is an immutable list of shards. A change copies one chunk and the
// list of chunks, so that a query of 180 shards does not copy 180 for each reply.
type shardList []*[chunkSize]shard

func newShardList(count int) shardList {
	sl := make(shardList, (count+chunkSize-1)/chunkSize)
	chunks := make([][chunkSize]shard, len(sl))
	for ix := range sl {
		sl[ix] = &chunks[ix]
	}
	return sl
}

// get returns a shard, which must not be changed.
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
