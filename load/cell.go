package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamwinch.example/fanout"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
)

// Range and precision of the latency histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(time.Minute / time.Microsecond)
	fineDigits    = 3
	coarseDigits  = 2
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// sample is the result of one call.
type sample struct {
	call     Call
	service  Service
	intended time.Time // when the query was due; the start of its latency
	sent     time.Time
	done     time.Time
	outcome  Outcome
	breaches []Breach
}

func (sa sample) latency() time.Duration {
	return sa.done.Sub(sa.intended)
}

// cell accumulates the samples of one group in one arm and phase. It is safe for concurrent
// use.
type cell struct {
	mu       sync.Mutex
	answered *hdrhistogram.Histogram         // latencies of calls that were not refused, including lost ones
	refused  *hdrhistogram.Histogram         // latencies of refused calls
	lag      *hdrhistogram.Histogram         // delays between due time and sending
	blocks   map[int]*hdrhistogram.Histogram // answered, by block number
	codes    map[result.Code]int
	reasons  map[fanout.Reason]int
	cost     fanout.Cost
	breaches map[BreachKind]int

	calls, lost, late, useful, attempts int
	shardsAsked, shardsCovered          int // numbers of shards
	loadTime                            time.Duration
}

func newCell() *cell {
	return &cell{
		answered: newHistogram(fineDigits),
		refused:  newHistogram(coarseDigits),
		lag:      newHistogram(coarseDigits),
		blocks:   make(map[int]*hdrhistogram.Histogram),
		codes:    make(map[result.Code]int),
		reasons:  make(map[fanout.Reason]int),
		breaches: make(map[BreachKind]int),
	}
}

// add counts a sample of the block with the given number.
func (ce *cell) add(sa sample, blockNumber int, grace time.Duration) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	ce.calls++
	ce.attempts += len(sa.outcome.Attempts)
	recordDuration(ce.lag, sa.sent.Sub(sa.intended))
	for _, br := range sa.breaches {
		ce.breaches[br.Kind]++
	}
	for _, at := range sa.outcome.Attempts {
		ce.addCost(at)
	}
	final := sa.outcome.Word
	if final.Err == nil {
		ce.codes[final.Answer.Code]++
	}
	if final.Err == nil && final.Answer.Code.NotRun() {
		recordDuration(ce.refused, sa.latency())
		return
	}
	ce.addAnswered(sa, final, blockNumber, grace)
}

func (ce *cell) addAnswered(sa sample, final Attempt, blockNumber int, grace time.Duration) {
	recordDuration(ce.answered, sa.latency())
	if ce.blocks[blockNumber] == nil {
		ce.blocks[blockNumber] = newHistogram(coarseDigits)
	}
	recordDuration(ce.blocks[blockNumber], sa.latency())
	late := sa.latency() > sa.call.Deadline+grace
	if late {
		ce.late++
	}
	if final.Err != nil {
		// There was no response: none of the shards of the query is covered.
		ce.lost++
		ce.shardsAsked += sa.service.Leaves
		return
	}
	an := final.Answer
	ce.shardsAsked += len(an.Covered) + len(an.Missing)
	ce.shardsCovered += len(an.Covered)
	for _, mi := range an.Missing {
		ce.reasons[mi.Reason]++
	}
	if !late && isUseful(an, sa.service) {
		ce.useful++
	}
}

// isUseful reports whether the caller can use an answer: it is complete, or the service's
// policy accepts partial answers and the covered fraction is large enough.
func isUseful(an fanout.Answer, se Service) bool {
	covered := fraction(len(an.Covered), len(an.Covered)+len(an.Missing))
	return an.Code == result.Complete ||
		an.Code == result.Partial && se.Policy == operator.Best && covered >= se.UsefulCoverage
}

func (ce *cell) addCost(at Attempt) {
	if at.Err != nil {
		return
	}
	co := at.Answer.Cost
	ce.cost.LeafRequests += co.LeafRequests
	ce.cost.Hedges += co.Hedges
	ce.cost.Retries += co.Retries
	ce.cost.Restarts += co.Restarts
	ce.cost.Extra += co.Extra
}

func recordDuration(hi *hdrhistogram.Histogram, du time.Duration) {
	_ = hi.RecordValue(min(max(du.Microseconds(), lowestMicros), highestMicros))
}

// mergeCells returns the sum of cells, for a line over all groups.
func mergeCells(ces []*cell) *cell {
	sum := newCell()
	for _, ce := range ces {
		sum.merge(ce)
	}
	return sum
}

func (ce *cell) merge(ot *cell) {
	ce.answered.Merge(ot.answered)
	ce.refused.Merge(ot.refused)
	ce.lag.Merge(ot.lag)
	for blockNumber, hi := range ot.blocks {
		if ce.blocks[blockNumber] == nil {
			ce.blocks[blockNumber] = newHistogram(coarseDigits)
		}
		ce.blocks[blockNumber].Merge(hi)
	}
	addCounts(ce.codes, ot.codes)
	addCounts(ce.reasons, ot.reasons)
	addCounts(ce.breaches, ot.breaches)
	ce.cost.LeafRequests += ot.cost.LeafRequests
	ce.cost.Hedges += ot.cost.Hedges
	ce.cost.Retries += ot.cost.Retries
	ce.cost.Restarts += ot.cost.Restarts
	ce.cost.Extra += ot.cost.Extra
	ce.calls += ot.calls
	ce.lost += ot.lost
	ce.late += ot.late
	ce.useful += ot.useful
	ce.attempts += ot.attempts
	ce.shardsAsked += ot.shardsAsked
	ce.shardsCovered += ot.shardsCovered
	ce.loadTime = max(ce.loadTime, ot.loadTime)
}

func addCounts[K comparable](to, from map[K]int) {
	for ke, nu := range from {
		to[ke] += nu
	}
}
