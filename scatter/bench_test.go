package scatter

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkMergeTopK measures the merge of 36 parts of 63 records of 16 bytes.
func BenchmarkMergeTopK(be *testing.B) {
	rn := rand.New(rand.NewPCG(1, 2))
	parts := make([][]byte, 36)
	for ix := range parts {
		for range 63 * 16 {
			parts[ix] = append(parts[ix], byte(rn.Uint32()))
		}
	}
	for _, k := range []int{10, 100, 5000} {
		be.Run(fmt.Sprintf("k=%d", k), func(be *testing.B) {
			be.ReportAllocs()
			for be.Loop() {
				MergeTopK(parts, 16, k)
			}
		})
	}
}
