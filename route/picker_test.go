package route

import (
	"fmt"
	"math"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// newPicker returns a picker whose splits begin at the given step.
func newPicker(phase int) *Picker {
	pk := NewPicker()
	pk.phase = func(n int) int { return phase % n }
	return pk
}

func pickString(pk *Picker, ro *Route, count int) string {
	st := ""
	for range count {
		st += pk.Pick(ro)
	}
	return st
}

func TestPick(t *testing.T) {
	for _, tc := range []struct {
		name string
		ts   []Target
		want string
	}{
		{"one", []Target{{"a", 1}}, "aaaa"},
		{"one without weight", []Target{{"a", 0}}, "aa"},
		{"halves", []Target{{"a", 1}, {"b", 1}}, "abababab"},
		{"halves, greater", []Target{{"a", 50}, {"b", 50}}, "abababab"},
		{"thirds", []Target{{"a", 2}, {"b", 1}}, "abaabaaba"},
		{"spread", []Target{{"a", 5}, {"b", 1}, {"c", 1}}, "aabacaaaabacaa"},
		{"none to the first", []Target{{"a", 0}, {"b", 1}, {"c", 1}}, "bcbcbc"},
		{"none to the last", []Target{{"a", 1}, {"b", 1}, {"c", 0}}, "ababab"},
		{"all to one", []Target{{"a", 0}, {"b", 9}}, "bbbb"},
		{"below 0", []Target{{"a", -5}, {"b", 1}}, "bbbb"},
		{"below 0, two more", []Target{{"a", -5}, {"b", 2}, {"c", 1}}, "bcbbcb"},
		{"no weight", []Target{{"a", 0}, {"b", 0}}, "aaaa"},
		{"greatest", []Target{{"a", mostWeight / 2}, {"b", mostWeight / 2}}, "abab"},
		{"same service twice", []Target{{"a", 1}, {"a", 1}, {"b", 1}}, "aabaab"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ro := splitRoute("r", tc.ts...)
			qt.Assert(t, pickString(newPicker(0), &ro, len(tc.want)), qt.Equals, tc.want)
		})
	}
}

func TestPickNone(t *testing.T) {
	ro := sharded("r", "a", "b")
	qt.Assert(t, newPicker(0).Pick(&ro), qt.Equals, "")
}

func drawTargets(t *rapid.T, mostWeight int) ([]Target, int) {
	var ts []Target
	sum := 0
	for ix, we := range rapid.SliceOfN(rapid.IntRange(0, mostWeight), 2, 6).Draw(t, "weights") {
		ts = append(ts, Target{Service: fmt.Sprint(ix), Weight: we})
		sum += we
	}
	if sum == 0 {
		ts[0].Weight, sum = 1, 1
	}
	return ts, sum
}

// TestPickExact counts in every run of requests as long as the sum of the
// weights, from any step of the sequence on.
func TestPickExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ts, sum := drawTargets(t, 12)
		ro := splitRoute("r", ts...)
		pk := newPicker(rapid.IntRange(0, 100).Draw(t, "phase"))
		counts := map[string]int{}
		var picked []string
		for step := range 3 * sum {
			picked = append(picked, pk.Pick(&ro))
			counts[picked[step]]++
			if step >= sum {
				counts[picked[step-sum]]--
			}
			for _, ta := range ts {
				if step >= sum-1 && counts[ta.Service] != ta.Weight {
					t.Fatalf("%s was picked %d times in %d to step %d, want %d", ta.Service, counts[ta.Service], sum, step, ta.Weight)
				}
			}
		}
	})
}

// TestPickEven bounds how far a service may be from its share after any number
// of requests: behind by less than the number of other services, ahead by less
// than one request.
func TestPickEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ts, sum := drawTargets(t, 1000)
		ro := splitRoute("r", ts...)
		pk := newPicker(0)
		counts := map[string]int{}
		for step := 1; step <= 300; step++ {
			counts[pk.Pick(&ro)]++
			for _, ta := range ts {
				due := float64(step) * float64(ta.Weight) / float64(sum)
				if ahead := float64(counts[ta.Service]) - due; ahead >= 1 || -ahead >= float64(len(ts)-1) {
					t.Fatalf("%s is %.2f ahead after %d requests", ta.Service, ahead, step)
				}
			}
		}
	})
}

// Many entry instances start, or the weights change, and each gets only a few
// requests of the route. If each sent its first ones to the service with the
// greatest weight, that would get far more than its share of all. Each begins
// at another step, so over all steps the first requests have the exact shares.
func TestPickFirst(t *testing.T) {
	for _, tc := range []struct {
		name   string
		ts     []Target
		period int
	}{
		{"tenth", []Target{{"a", 9}, {"b", 1}}, 10},
		{"percent", []Target{{"a", 90}, {"b", 10}}, 10},
		{"three", []Target{{"a", 50}, {"b", 30}, {"c", 20}}, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			ro := splitRoute("r", tc.ts...)
			first, second := map[string]int{}, map[string]int{}
			for step := range tc.period {
				pk := NewPicker()
				pk.phase = func(n int) int {
					c.Assert(n, qt.Equals, tc.period)
					return step
				}
				first[pk.Pick(&ro)]++
				second[pk.Pick(&ro)]++
			}
			want, sum := map[string]int{}, 0
			for _, ta := range tc.ts {
				sum += ta.Weight
			}
			for _, ta := range tc.ts {
				want[ta.Service] = ta.Weight * tc.period / sum
			}
			c.Assert(first, qt.DeepEquals, want)
			c.Assert(second, qt.DeepEquals, want)
		})
	}
}

// TestPhaseBound has weights whose sequence is too long to go through.
func TestPhaseBound(t *testing.T) {
	pk := NewPicker()
	pk.phase = func(n int) int {
		qt.Assert(t, n, qt.Equals, mostPhase)
		return n - 1
	}
	ro := splitRoute("r", Target{"a", mostWeight - 1}, Target{"b", 1})
	qt.Assert(t, pk.Pick(&ro), qt.Equals, "a")
}

// TestPhaseRandom starts many pickers as the program does. The probability that
// 200 of them begin with the same half is 2^-199.
func TestPhaseRandom(t *testing.T) {
	ro := splitRoute("r", Target{"a", 1}, Target{"b", 1})
	counts := map[string]int{}
	for range 200 {
		counts[NewPicker().Pick(&ro)]++
	}
	qt.Assert(t, counts, qt.HasLen, 2)
}

// TestPickKeyed shows that routes are divided on their own, that a new version
// of the configuration with the same targets goes on where the old one was, and
// that requests of two versions may alternate.
func TestPickKeyed(t *testing.T) {
	c := qt.New(t)
	one, two := splitRoute("one", Target{"a", 2}, Target{"b", 1}), splitRoute("two", Target{"a", 2}, Target{"b", 1})
	pk := newPicker(0)
	c.Assert(pickString(pk, &one, 2), qt.Equals, "ab")
	c.Assert(pickString(pk, &two, 1), qt.Equals, "a")
	again := splitRoute("one", Target{"a", 2}, Target{"b", 1})
	again.Timeout *= 2
	c.Assert(pickString(pk, &again, 2), qt.Equals, "aa")
	c.Assert(pickString(pk, &two, 2), qt.Equals, "ba")

	newer := splitRoute("one", Target{"b", 2}, Target{"c", 1})
	all := ""
	for range 6 {
		all += pk.Pick(&newer) + pk.Pick(&one)
	}
	c.Assert(all, qt.Equals, "bb"+"ca"+"ba"+"bb"+"ca"+"ba")
}

// TestPickVariants changes a route's targets more often than is remembered.
func TestPickVariants(t *testing.T) {
	c := qt.New(t)
	pk := newPicker(0)
	for ix := range 3 * mostVariants {
		ro := splitRoute("r", Target{"a", 1}, Target{fmt.Sprint(ix), 1})
		c.Assert(pickString(pk, &ro, 3), qt.Equals, fmt.Sprintf("a%da", ix))
	}
	c.Assert(pk.splits["r"], qt.HasLen, mostVariants)
	last := splitRoute("r", Target{"a", 1}, Target{fmt.Sprint(3*mostVariants - mostVariants), 1})
	c.Assert(pk.Pick(&last), qt.Equals, "8", qt.Commentf("the last variants are remembered"))
}

// Over a long time many routes come and go. What is remembered of them stays
// bounded, and those in use go on where they were.
func TestPickForgets(t *testing.T) {
	c := qt.New(t)
	pk := newPicker(0)
	kept := splitRoute("kept", Target{"a", 1}, Target{"b", 1})
	want := "a"
	for ix := range 3 * mostNames {
		ro := splitRoute(fmt.Sprint(ix), Target{"a", 1}, Target{"b", 1})
		pk.Pick(&ro)
		if ix%1000 == 0 {
			c.Assert(pk.Pick(&kept), qt.Equals, want)
			want = map[string]string{"a": "b", "b": "a"}[want]
		}
	}
	c.Assert(len(pk.splits) <= mostNames, qt.IsTrue)
	c.Assert(len(pk.earlier) <= mostNames, qt.IsTrue)
}

// TestPickConcurrent has many goroutines share a picker: the counts are exact.
func TestPickConcurrent(t *testing.T) {
	const goroutines, rounds = 8, 500
	ro := splitRoute("r", Target{"a", 7}, Target{"b", 2}, Target{"c", 1})
	pk := NewPicker()
	var mu sync.Mutex
	counts := map[string]int{}
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
			mine := map[string]int{}
			for range 10 * rounds {
				mine[pk.Pick(&ro)]++
			}
			mu.Lock()
			defer mu.Unlock()
			for service, count := range mine {
				counts[service] += count
			}
		})
	}
	wg.Wait()
	qt.Assert(t, counts, qt.DeepEquals, map[string]int{
		"a": 7 * goroutines * rounds, "b": 2 * goroutines * rounds, "c": goroutines * rounds,
	})
}

func TestGCD(t *testing.T) {
	for _, tc := range []struct{ a, b, want int }{
		{0, 0, 0},
		{0, 6, 6},
		{6, 0, 6},
		{6, 4, 2},
		{90, 10, 10},
		{7, 5, 1},
		{math.MaxInt, math.MaxInt, math.MaxInt},
	} {
		qt.Assert(t, gcd(tc.a, tc.b), qt.Equals, tc.want)
	}
}

func BenchmarkPick(b *testing.B) {
	ro := splitRoute("r", Target{"a", 90}, Target{"b", 10})
	pk := NewPicker()
	b.ReportAllocs()
	for b.Loop() {
		pk.Pick(&ro)
	}
}
