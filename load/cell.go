package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamwinch.example/fanout"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
)

// The range and precision of the latency histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(time.Minute / time.Microsecond)
	fineDigits    = 3
	coarseDigits  = 2
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// sample is one call with everything that is counted of it.
type sample struct {
	call     Call
	service  Service
	intended time.Time // intended is when the query was due; latency counts from here.
	sent     time.Time
	done     time.Time
	outcome  Outcome
	breaches []Breach
}

func (sa sample) latency() time.Duration {
	return sa.done.Sub(sa.intended)
}

// cell gathers the samples of one group in one arm and phase. It is safe for
// many goroutines.
type cell struct {
	mu       sync.Mutex
	answered *hdrhistogram.Histogram         // answered holds all that were not refused, lost ones included.
	refused  *hdrhistogram.Histogram         // refused holds the refusals.
	lag      *hdrhistogram.Histogram         // lag holds how late queries were sent.
	blocks   map[int]*hdrhistogram.Histogram // blocks holds the answered by turn.
	codes    map[result.Code]int
	reasons  map[fanout.Reason]int
	cost     fanout.Cost
	breaches map[BreachKind]int

	calls, lost, late, useful, attempts int
	asked, covered                      int // asked and covered count shards.
	loaded                              time.Duration
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

// add counts a sample of the arm's turn of the given number.
func (ce *cell) add(sa sample, turn int, grace time.Duration) {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	ce.calls++
	ce.attempts += len(sa.outcome.Attempts)
	record(ce.lag, sa.sent.Sub(sa.intended))
	for _, br := range sa.breaches {
		ce.breaches[br.Kind]++
	}
	for _, at := range sa.outcome.Attempts {
		ce.addCost(at)
	}
	word := sa.outcome.Word
	if word.Err == nil {
		ce.codes[word.Answer.Code]++
	}
	if word.Err == nil && word.Answer.Code.NotRun() {
		record(ce.refused, sa.latency())
		return
	}
	ce.addAnswered(sa, word, turn, grace)
}

func (ce *cell) addAnswered(sa sample, word Attempt, turn int, grace time.Duration) {
	record(ce.answered, sa.latency())
	if ce.blocks[turn] == nil {
		ce.blocks[turn] = newHistogram(coarseDigits)
	}
	record(ce.blocks[turn], sa.latency())
	late := sa.latency() > sa.call.Deadline+grace
	if late {
		ce.late++
	}
	if word.Err != nil {
		// Nothing came back: none of the shards that the caller asked for is covered.
		ce.lost++
		ce.asked += sa.service.Leaves
		return
	}
	an := word.Answer
	ce.asked += len(an.Covered) + len(an.Missing)
	ce.covered += len(an.Covered)
	for _, mi := range an.Missing {
		ce.reasons[mi.Reason]++
	}
	if !late && useful(an, sa.service) {
		ce.useful++
	}
}

// useful reports whether the caller can work with an answer: it is complete, or
// the service's policy takes a part and the part is large enough.
func useful(an fanout.Answer, se Service) bool {
	covered := share(len(an.Covered), len(an.Covered)+len(an.Missing))
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

func record(hi *hdrhistogram.Histogram, du time.Duration) {
	_ = hi.RecordValue(min(max(du.Microseconds(), lowestMicros), highestMicros))
}

// merged returns the sum of cells, for a line over all groups.
func merged(ces []*cell) *cell {
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
	for turn, hi := range ot.blocks {
		if ce.blocks[turn] == nil {
			ce.blocks[turn] = newHistogram(coarseDigits)
		}
		ce.blocks[turn].Merge(hi)
	}
	addAll(ce.codes, ot.codes)
	addAll(ce.reasons, ot.reasons)
	addAll(ce.breaches, ot.breaches)
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
	ce.asked += ot.asked
	ce.covered += ot.covered
	ce.loaded = max(ce.loaded, ot.loaded)
}

func addAll[K comparable](to, from map[K]int) {
	for ke, nu := range from {
		to[ke] += nu
	}
}
