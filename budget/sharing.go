package budget

// sharing is how the slack of some services is divided.
//
// The members change: as load grows others are led to more entry instances, and one that
// leaves is replaced. Were the slack divided among those of now alone, one who was a
// member may have spent its part of the window, and its successor would spend it once
// more. So a new member has no slack for a whole window, and the slack is divided by the
// highest count of the last two. All that spend within a window were then members at its
// beginning, together, and each divided by the number of then or more.
type sharing struct {
	entries entries
	member  bool
	since   int64 // since is the bucket in which this instance became a member.
}

// join makes this instance one of count members.
func (sh *sharing) join(bucket int64, count int) {
	if !sh.member {
		sh.member, sh.since = true, bucket
	}
	sh.entries.set(bucket, count)
}

// part returns this instance's part of the slack in the window that ends with a bucket,
// from 0 to 1.
func (sh *sharing) part(bucket int64) float64 {
	count := sh.entries.highest(bucket)
	if !sh.member || count == 0 {
		return 0
	}
	return sh.grown(bucket) / float64(count)
}

// grown returns how much of its part this instance has. That of a process that has just
// started grows evenly, whoever it shares with: what the process spent before a restart
// is forgotten, and may still lie in the window.
func (sh *sharing) grown(bucket int64) float64 {
	if sh.since < bucketCount {
		return min(1, float64(bucket)/bucketCount)
	}
	if bucket-sh.since <= bucketCount {
		return 0
	}
	return 1
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
