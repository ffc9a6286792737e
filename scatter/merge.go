package scatter

import (
	"bytes"
	"slices"
)

// Greatest returns the greatest records of the parts in falling order, compared
// byte by byte; equal records all count. A remainder shorter than a record is
// none. The parts are not changed.
func MergeTopK(parts [][]byte, record, most int) []byte {
	if most <= 0 || record <= 0 {
		return nil
	}
	count := 0
	for _, pa := range parts {
		count += len(pa) / record
	}
	most = min(most, count)
	// Room for as many again makes sorting rare: it happens only once that many
	// records have passed the least one that is kept.
	recs := make([][]byte, 0, min(count, 2*most))
	var least []byte // least is the least of the most that were kept last; nil before.
	for _, pa := range parts {
		for ; len(pa) >= record; pa = pa[record:] {
			re := pa[:record]
			if least != nil && bytes.Compare(re, least) <= 0 {
				continue
			}
			if len(recs) == cap(recs) {
				recs = greatest(recs, most)
				least = recs[most-1]
			}
			recs = append(recs, re)
		}
	}
	recs = greatest(recs, most)
	out := make([]byte, 0, len(recs)*record)
	for _, re := range recs {
		out = append(out, re...)
	}
	return out
}

// greatest sorts records in falling order and returns the first ones.
func greatest(recs [][]byte, most int) [][]byte {
	slices.SortFunc(recs, func(aa, bb []byte) int { return bytes.Compare(bb, aa) })
	return recs[:min(len(recs), most)]
}

// Least returns how many of the shards an answer needs for a share of them.
func MinParts(shards int, share float64) int {
	// The tolerance keeps 0.9 of 10 shards at 9 although 0.9*10 may come out a
	// little above it.
	const tolerance = 1e-9
	least := int(share*float64(shards) - tolerance)
	if float64(least) < share*float64(shards)-tolerance {
		least++
	}
	return min(max(1, least), shards)
}
