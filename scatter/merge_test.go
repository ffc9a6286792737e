package scatter

import (
	"bytes"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestMergeTopK(t *testing.T) {
	tests := []struct {
		name       string
		parts      []string
		recordSize int
		k          int
		want       string
	}{
		{"none", nil, 2, 3, ""},
		{"descending over parts", []string{"aacc", "bb"}, 2, 3, "ccbbaa"},
		{"only the greatest", []string{"aacc", "bbdd"}, 2, 2, "ddcc"},
		{"equal records all count", []string{"aaaa", "aa"}, 2, 5, "aaaaaa"},
		{"a remainder is ignored", []string{"aab", "cc"}, 2, 5, "ccaa"},
		{"k is zero", []string{"aa"}, 2, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var parts [][]byte
			for _, pa := range tt.parts {
				parts = append(parts, []byte(pa))
			}
			qt.Assert(t, string(MergeTopK(parts, tt.recordSize, tt.k)), qt.Equals, tt.want)
		})
	}
}

func TestMergeTopKIsSortedPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 40), 0, 6).Draw(rt, "parts")
		k := rapid.IntRange(0, 12).Draw(rt, "k")
		var all [][]byte
		for _, pa := range parts {
			all = slices.AppendSeq(all, slices.Chunk(pa[:len(pa)/4*4], 4))
		}
		slices.SortFunc(all, func(aa, bb []byte) int { return bytes.Compare(bb, aa) })
		want := bytes.Join(all[:min(k, len(all))], nil)
		if got := MergeTopK(parts, 4, k); !bytes.Equal(got, want) {
			rt.Fatalf("want %x, got %x", want, got)
		}
	})
}

func TestMinParts(t *testing.T) {
	tests := []struct {
		shards int
		ratio  float64
		want   int
	}{
		{10, 0.89, 9},
		{10, 0.9, 9},
		{10, 0.75, 8},
		{15, 0.89, 14},
		{15, 0.75, 12},
		{10, 0, 1},
		{10, 1, 10},
		{1, 0.5, 1},
		{36, 0.95, 35},
		{54, 0.85, 46},
		{100, 0.29, 29},
	}
	for _, tt := range tests {
		qt.Check(t, MinParts(tt.shards, tt.ratio), qt.Equals, tt.want, qt.Commentf("%d shards, %v", tt.shards, tt.ratio))
	}
}
