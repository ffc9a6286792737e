package scatter

import (
	"bytes"
	"slices"
)

// Greatest returns the greatest records of the parts in falling order, compared
// byte by byte; equal records all count. A remainder shorter than a record is
// none. The parts are not changed.
func Greatest(parts [][]byte, record, most int) []byte {
	if most <= 0 || record <= 0 {
		return nil
	}
	var recs [][]byte
	count := 0
	for _, pa := range parts {
		count += len(pa) / record
	}
	recs = make([][]byte, 0, count)
	for _, pa := range parts {
		for len(pa) >= record {
			recs = append(recs, pa[:record])
			pa = pa[record:]
		}
	}
	slices.SortFunc(recs, func(aa, bb []byte) int { return bytes.Compare(bb, aa) })
	recs = recs[:min(len(recs), most)]
	out := make([]byte, 0, len(recs)*record)
	for _, re := range recs {
		out = append(out, re...)
	}
	return out
}

// Least returns how many of the shards an answer needs for a share of them.
func Least(shards int, share float64) int {
	// The tolerance keeps 0.9 of 10 shards at 9 although 0.9*10 may come out a
	// little above it.
	const tolerance = 1e-9
	least := int(share*float64(shards) - tolerance)
	if float64(least) < share*float64(shards)-tolerance {
		least++
	}
	return min(max(1, least), shards)
}
