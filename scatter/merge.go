package scatter

import (
	"bytes"
	"slices"
)

// MergeTopK returns the k greatest records of the parts in descending byte order. Equal
// records all count, and a remainder shorter than recordSize is ignored. The parts are not
// changed.
func MergeTopK(parts [][]byte, recordSize, k int) []byte {
	if k <= 0 || recordSize <= 0 {
		return nil
	}
	count := 0
	for _, pa := range parts {
		count += len(pa) / recordSize
	}
	k = min(k, count)
	// Capacity for twice as many records makes sorting rare: it happens only once another k
	// records have exceeded the threshold.
	recs := make([][]byte, 0, min(count, 2*k))
	var threshold []byte // threshold is the smallest of the records kept by the last sort; nil before.
	for _, pa := range parts {
		for ; len(pa) >= recordSize; pa = pa[recordSize:] {
			re := pa[:recordSize]
			if threshold != nil && bytes.Compare(re, threshold) <= 0 {
				continue
			}
			if len(recs) == cap(recs) {
				recs = topK(recs, k)
				threshold = recs[k-1]
			}
			recs = append(recs, re)
		}
	}
	recs = topK(recs, k)
	out := make([]byte, 0, len(recs)*recordSize)
	for _, re := range recs {
		out = append(out, re...)
	}
	return out
}

// topK sorts records in descending order and returns the first k.
func topK(recs [][]byte, k int) [][]byte {
	slices.SortFunc(recs, func(aa, bb []byte) int { return bytes.Compare(bb, aa) })
	return recs[:min(len(recs), k)]
}

// MinParts returns how many of the shards an answer needs for the given ratio.
func MinParts(shards int, ratio float64) int {
	// The tolerance keeps 0.9 of 10 shards at 9 although 0.9*10 may come out a little above
	// it.
	const tolerance = 1e-9
	count := int(ratio*float64(shards) - tolerance)
	if float64(count) < ratio*float64(shards)-tolerance {
		count++
	}
	return min(max(1, count), shards)
}
