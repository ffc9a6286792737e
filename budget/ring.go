package budget

// service counts what happened to one service. The window of bucketCount whole
// buckets ends in the newest one. An extra arrival counts while any moment of
// its bucket is in a window that ends in the newest bucket, a request only while
// all moments of its bucket are, so both err to the side of fewer extras.
type service struct {
	newest   int64 // newest is the index of the newest bucket.
	requests int   // requests are those of the newest bucketCount buckets.
	extras   int   // extras are those of all buckets of the ring.
	ring     [ringLength]counts
}

// counts are those of one bucket.
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
		se.requests -= int(se.at(se.newest - bucketCount + ringLength).requests)
	}
}

func (se *service) request() {
	se.at(se.newest).requests++
	se.requests++
}

func (se *service) spend() {
	se.at(se.newest).extras++
	se.extras++
}

// unspend takes back an extra arrival that was spent in the given bucket.
func (se *service) unspend(bucket int64) {
	if bucket > se.newest || se.newest-bucket >= ringLength {
		return
	}
	if co := se.at(bucket); co.extras > 0 {
		co.extras--
		se.extras--
	}
}

const (
	// spanBuckets is how many buckets one remembered span of entry counts has.
	spanBuckets = bucketCount / 4
	// spanCount covers two windows and the span that is partly in them.
	spanCount = 2*bucketCount/spanBuckets + 1
)

// entries remembers the highest count of entry instances in each of the spans
// that may lie in the last two windows.
type entries struct {
	count   int   // count is the newest one.
	newest  int64 // newest is the index of the newest span.
	highs   [spanCount]int
	started bool
}

func (en *entries) set(bucket int64, count int) {
	en.advance(bucket / spanBuckets)
	en.count = max(0, count)
	high := &en.highs[en.newest%spanCount]
	*high = max(*high, en.count)
}

// highest returns the highest count of the last two windows; zero if none was
// ever set.
func (en *entries) highest(bucket int64) int {
	en.advance(bucket / spanBuckets)
	high := 0
	for _, count := range en.highs {
		high = max(high, count)
	}
	return high
}

// advance makes a span the newest one. The count in force at its beginning
// belongs to it.
func (en *entries) advance(span int64) {
	if !en.started {
		en.started, en.newest = true, span
		return
	}
	for steps := 0; en.newest < span && steps < spanCount; steps++ {
		en.newest++
		en.highs[en.newest%spanCount] = en.count
	}
	en.newest = max(en.newest, span)
}
