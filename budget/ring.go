package budget

// service counts what happened to one service. The window of bucketCount whole
// buckets ends in the newest one. An extra arrival counts while any moment of
// its bucket is in a window that ends in the newest bucket, a request only while
// all moments of its bucket are, so both err to the side of fewer extras.
type service struct {
	newest   int64 // newest is the index of the newest bucket.
	requests int   // requests are those of the newest bucketCount buckets.
	extras   int   // extras are those of all buckets of the ring.
	group    string
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
		*se = service{newest: bucket, group: se.group}
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
