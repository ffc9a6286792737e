package budget

// service holds the counts of one service. The window of numBuckets whole buckets ends with
// the newest one. An extra attempt counts while any moment of its bucket may be in the
// window, a request only while all moments of its bucket are, so that both err towards
// fewer extra attempts.
type service struct {
	newest   int64 // newest is the index of the newest bucket.
	requests int   // requests counts those of the newest numBuckets buckets.
	extras   int   // extras counts the extra attempts of all buckets in the ring.
	ring     [ringLength]counts
}

// counts holds the counts of one bucket.
type counts struct {
	requests, extras int32
}

func (se *service) at(bucket int64) *counts {
	return &se.ring[bucket%ringLength]
}

// advance makes a bucket the newest one.
func (se *service) advance(bucket int64) {
	if bucket-se.newest >= ringLength {
		*se = service{newest: bucket}
		return
	}
	for se.newest < bucket {
		se.newest++
		oldest := se.at(se.newest)
		se.extras -= int(oldest.extras)
		*oldest = counts{}
		se.requests -= int(se.at(se.newest - numBuckets + ringLength).requests)
	}
}

func (se *service) countRequest() {
	se.at(se.newest).requests++
	se.requests++
}

func (se *service) spend() {
	se.at(se.newest).extras++
	se.extras++
}

// refund removes an extra attempt that was spent in the given bucket.
func (se *service) refund(bucket int64) {
	if bucket > se.newest || se.newest-bucket >= ringLength {
		return
	}
	if co := se.at(bucket); co.extras > 0 {
		co.extras--
		se.extras--
	}
}

const (
	// spanBuckets is the number of buckets per span for which a maximum is kept.
	spanBuckets = numBuckets / 4
	// numSpans covers two windows and the span that is partly in them.
	numSpans = 2*numBuckets/spanBuckets + 1
)

// entryCounts keeps the highest count of entry instances in each span of the last two
// windows.
type entryCounts struct {
	count   int   // count is the latest one.
	newest  int64 // newest is the index of the newest span.
	maxima  [numSpans]int
	started bool
}

func (en *entryCounts) set(bucket int64, count int) {
	en.advance(bucket / spanBuckets)
	en.count = max(0, count)
	high := &en.maxima[en.newest%numSpans]
	*high = max(*high, en.count)
}

// highest returns the highest count of the last two windows; zero if none was ever set.
func (en *entryCounts) highest(bucket int64) int {
	en.advance(bucket / spanBuckets)
	high := 0
	for _, count := range en.maxima {
		high = max(high, count)
	}
	return high
}

// advance makes a span the newest one. The count in force at its start belongs to it.
func (en *entryCounts) advance(span int64) {
	if !en.started {
		en.started, en.newest = true, span
		return
	}
	for steps := 0; en.newest < span && steps < numSpans; steps++ {
		en.newest++
		en.maxima[en.newest%numSpans] = en.count
	}
	en.newest = max(en.newest, span)
}
