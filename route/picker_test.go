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
	pk.randomPhase = func(n int) int { return phase % n }
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
		{"single", []Target{{"a", 1}}, "aaaa"},
		{"single without weight", []Target{{"a", 0}}, "aa"},
		{"halves", []Target{{"a", 1}, {"b", 1}}, "abababab"},
		{"halves, greater", []Target{{"a", 50}, {"b", 50}}, "abababab"},
		{"thirds", []Target{{"a", 2}, {"b", 1}}, "abaabaaba"},
		{"spread", []Target{{"a", 5}, {"b", 1}, {"c", 1}}, "aabacaaaabacaa"},
		{"first without weight", []Target{{"a", 0}, {"b", 1}, {"c", 1}}, "bcbcbc"},
		{"last without weight", []Target{{"a", 1}, {"b", 1}, {"c", 0}}, "ababab"},
		{"all to one", []Target{{"a", 0}, {"b", 9}}, "bbbb"},
		{"negative", []Target{{"a", -5}, {"b", 1}}, "bbbb"},
		{"negative, two others", []Target{{"a", -5}, {"b", 2}, {"c", 1}}, "bcbbcb"},
		{"all without weight", []Target{{"a", 0}, {"b", 0}}, "aaaa"},
		{"greatest weights", []Target{{"a", maxWeightSum / 2}, {"b", maxWeightSum / 2}}, "abab"},
		{"same service twice", []Target{{"a", 1}, {"a", 1}, {"b", 1}}, "aabaab"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ro := splitRoute("r", tc.ts...)
			qt.Assert(t, pickString(newPicker(0), &ro, len(tc.want)), qt.Equals, tc.want)
		})
	}
}

func TestPickWithoutTargets(t *testing.T) {
	ro := shardedRoute("r", "a", "b")
	qt.Assert(t, newPicker(0).Pick(&ro), qt.Equals, "")
}

func drawTargets(t *rapid.T, maxWeight int) ([]Target, int) {
	var ts []Target
	sum := 0
	for ix, we := range rapid.SliceOfN(rapid.IntRange(0, maxWeight), 2, 6).Draw(t, "weights") {
		ts = append(ts, Target{Service: fmt.Sprint(ix), Weight: we})
		sum += we
	}
	if sum == 0 {
		ts[0].Weight, sum = 1, 1
	}
	return ts, sum
}

// Every run of requests as long as the sum of the weights has the exact shares,
// from any step of the sequence on.
func TestPickSharesAreExactInEveryPeriod(t *testing.T) {
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

// After any number of requests, a service is behind its share by less than the
// number of other services, and ahead by less than one request.
func TestPickStaysCloseToShares(t *testing.T) {
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
// requests of the route. If all sent their first requests to the service with
// the greatest weight, it would get far more than its share. The starting steps
// differ, so over all of them the first requests have the exact shares.
func TestPickFirstRequestsOverAllPhases(t *testing.T) {
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
				pk.randomPhase = func(n int) int {
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

// The sequence of these weights is too long to step through.
func TestPhaseIsBounded(t *testing.T) {
	pk := NewPicker()
	pk.randomPhase = func(n int) int {
		qt.Assert(t, n, qt.Equals, maxPhase)
		return n - 1
	}
	ro := splitRoute("r", Target{"a", maxWeightSum - 1}, Target{"b", 1})
	qt.Assert(t, pk.Pick(&ro), qt.Equals, "a")
}

// Uses the random phase of NewPicker. The probability that 200 pickers all begin
// with the same half is 2^-199.
func TestPhaseIsRandom(t *testing.T) {
	ro := splitRoute("r", Target{"a", 1}, Target{"b", 1})
	counts := map[string]int{}
	for range 200 {
		counts[NewPicker().Pick(&ro)]++
	}
	qt.Assert(t, counts, qt.HasLen, 2)
}

// Routes are divided independently, a new configuration with the same targets
// continues the sequence, and requests of two configurations may alternate.
func TestPickKeepsStatePerNameAndTargets(t *testing.T) {
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

// The targets of a route change more often than variants are remembered.
func TestPickVariantsAreBounded(t *testing.T) {
	c := qt.New(t)
	pk := newPicker(0)
	for ix := range 3 * maxVariants {
		ro := splitRoute("r", Target{"a", 1}, Target{fmt.Sprint(ix), 1})
		c.Assert(pickString(pk, &ro, 3), qt.Equals, fmt.Sprintf("a%da", ix))
	}
	c.Assert(pk.splits["r"], qt.HasLen, maxVariants)
	last := splitRoute("r", Target{"a", 1}, Target{fmt.Sprint(3*maxVariants - maxVariants), 1})
	c.Assert(pk.Pick(&last), qt.Equals, "8", qt.Commentf("the last variants are remembered"))
}

// Over a long time, many routes come and go. The memory for them must stay
// bounded, and those in use must continue their sequence.
func TestPickForgetsUnusedNames(t *testing.T) {
	c := qt.New(t)
	pk := newPicker(0)
	kept := splitRoute("kept", Target{"a", 1}, Target{"b", 1})
	want := "a"
	for ix := range 3 * maxNames {
		ro := splitRoute(fmt.Sprint(ix), Target{"a", 1}, Target{"b", 1})
		pk.Pick(&ro)
		if ix%1000 == 0 {
			c.Assert(pk.Pick(&kept), qt.Equals, want)
			want = map[string]string{"a": "b", "b": "a"}[want]
		}
	}
	c.Assert(len(pk.splits) <= maxNames, qt.IsTrue)
	c.Assert(len(pk.previous) <= maxNames, qt.IsTrue)
}

// Many goroutines share a picker; the counts must be exact.
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
