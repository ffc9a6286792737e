package snapshot

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random tests, so that every run gives the same result. For a
// longer search pass other values: -rapid.seed=7 -rapid.checks=10000.
func TestMain(m *testing.M) {
	flag.Parse()
	if fl := flag.Lookup("rapid.seed"); fl.Value.String() == fl.DefValue {
		_ = fl.Value.Set("20260101")
	}
	os.Exit(m.Run())
}

func TestChoose(t *testing.T) {
	four := Partition{Number: 1, Shards: []string{"a", "b", "c", "d"}}
	eight := Partition{Number: 2, Shards: []string{"a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"}}
	of := func(part, ver uint64, shs ...string) []Holder {
		var hos []Holder
		for _, sh := range shs {
			hos = append(hos, Holder{Server: "s-" + sh, Shard: sh, Snapshot: ID{Partition: part, Version: ver}})
		}
		return hos
	}
	tests := []struct {
		name    string
		holders []Holder
		wanted  []string
		want    string
	}{
		{"nobody", nil, nil, "none"},
		{"newest full", append(of(1, 6, four.Shards...), of(1, 7, four.Shards...)...), nil, "1.7 [a b c d] missing []"},
		{"older full before newer half", append(of(1, 6, four.Shards...), of(1, 7, "a", "b")...), nil, "1.6 [a b c d] missing []"},
		{"share before count", append(of(1, 6, "a", "b", "c"), of(2, 7, "a1", "a2", "b1", "b2")...), nil, "1.6 [a b c d] missing [d]"},
		{"equal shares, newest", append(of(1, 6, "a", "b"), of(2, 7, "a1", "a2", "b1", "b2")...), nil, "2.7 [a1 a2 b1 b2 c1 c2 d1 d2] missing [c1 c2 d1 d2]"},
		{"map not configured", append(of(3, 9, "x"), of(1, 6, "a")...), nil, "1.6 [a b c d] missing [b c d]"},
		{"subset", append(of(1, 6, four.Shards...), of(1, 7, "b", "a")...), []string{"b", "a", "b"}, "1.7 [a b] missing []"},
		{"subset of the old map", append(of(1, 6, four.Shards...), of(2, 7, eight.Shards...)...), []string{"c"}, "1.6 [c] missing []"},
		{"unknown shard", of(1, 6, four.Shards...), []string{"z"}, "none"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			co, ok := Choose([]Partition{four, eight}, tc.holders, tc.wanted)
			got := "none"
			if ok {
				got = fmt.Sprintf("%s %s missing %s", co.Snapshot, co.Shards, co.Missing)
			}
			qt.Assert(t, got, qt.Equals, tc.want)
		})
	}
}

// TestChooseMatchesDefinition compares Choose with its definition for random holders and two
// partition maps of different sizes.
func TestChooseMatchesDefinition(t *testing.T) {
	pas := []Partition{{Number: 1, Shards: []string{"a", "b", "c"}}, {Number: 2, Shards: []string{"a", "b", "c1", "c2", "c3"}}}
	rapid.Check(t, func(rt *rapid.T) {
		holder := rapid.Custom(func(rt *rapid.T) Holder {
			return Holder{
				Server:   rapid.SampledFrom([]string{"s", "t"}).Draw(rt, "server"),
				Shard:    rapid.SampledFrom([]string{"a", "b", "c", "c1", "c2", "c3"}).Draw(rt, "shard"),
				Snapshot: ID{Partition: rapid.Uint64Range(1, 3).Draw(rt, "partition"), Version: rapid.Uint64Range(1, 3).Draw(rt, "version")},
			}
		})
		hos := rapid.SliceOfN(holder, 0, 30).Draw(rt, "holders")
		held := func(id ID, sh string) bool {
			return slices.ContainsFunc(hos, func(ho Holder) bool { return ho.Shard == sh && ho.Snapshot == id })
		}
		co, ok := Choose(pas, hos, nil)
		for _, pa := range pas {
			for ver := uint64(1); ver <= 3; ver++ {
				id := ID{Partition: pa.Number, Version: ver}
				have := 0
				for _, sh := range pa.Shards {
					if held(id, sh) {
						have++
					}
				}
				share, best := float64(have)/float64(len(pa.Shards)), 0.0
				if ok {
					best = float64(len(co.Shards)-len(co.Missing)) / float64(len(co.Shards))
				}
				if share > best || share == best && have > 0 && id.Compare(co.Snapshot) > 0 {
					rt.Fatalf("chose %v (%v) with share %v, although %s has %v", co, ok, best, id, share)
				}
			}
		}
		for _, sh := range co.Shards {
			if held(co.Snapshot, sh) == slices.Contains(co.Missing, sh) {
				rt.Fatalf("shard %s of %s is wrongly reported as missing or held", sh, co.Snapshot)
			}
		}
	})
}
