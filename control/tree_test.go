package control

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestTreeMatchesMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var tr, old tree[int, int]
		want, oldWant := map[int]int{}, map[int]int{}
		for _, key := range rapid.SliceOfN(rapid.IntRange(0, 30), 0, 80).Draw(rt, "keys") {
			if rapid.Bool().Draw(rt, "keep") {
				old, oldWant = tr, maps.Clone(want)
			}
			if _, ok := want[key]; ok && rapid.Bool().Draw(rt, "remove") {
				tr = tr.without(key)
				delete(want, key)
				continue
			}
			tr = tr.with(key, len(want))
			want[key] = len(want)
		}
		from := rapid.IntRange(0, 30).Draw(rt, "from")
		if got := maps.Collect(tr.all()); !maps.Equal(got, want) || tr.len() != len(want) {
			rt.Fatalf("want %v, got %v of size %d", want, got, tr.len())
		}
		if got := maps.Collect(old.all()); !maps.Equal(got, oldWant) {
			rt.Fatalf("an older tree changed: want %v, got %v", oldWant, got)
		}
		var keys []int
		for key := range tr.from(from) {
			keys = append(keys, key)
		}
		ordered := slices.DeleteFunc(slices.Sorted(maps.Keys(want)), func(key int) bool { return key < from })
		if !slices.Equal(keys, ordered) {
			rt.Fatalf("from %d: want %v, got %v", from, ordered, keys)
		}
	})
}
