package overload

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// One of 12 customers of a class sends seven times its usual load. It used to take the
// capacity of the others. Now they are served as before, and it gets the rest, and a quarter
// of the average at least.
func TestCustomerWithSevenTimesItsLoad(t *testing.T) {
	for _, instances := range fleets {
		rate := make(map[Source]func(time.Duration) float64)
		for ix := range 12 {
			rate[Source{0, string(rune('a' + ix))}] = constant(60)
		}
		greedy := Source{0, "a"}
		rate[greedy] = during(60, 7)
		mo := model{instances: instances, capacity: 800, shared: true, rate: rate, lost: noneLost, reaches: always, patient: true}
		out, _ := mo.run(14*time.Second, 7*time.Second, 12*time.Second, 14*time.Second)
		overall, _, _, _ := summary(out)
		lowest := 1.0
		for so, ta := range out {
			if so != greedy {
				lowest = min(lowest, float64(ta.inTime)/float64(ta.sent))
			}
		}
		own := float64(out[greedy].inTime) / float64(out[greedy].sent)
		co := qt.Commentf("%d instances: in time overall %.2f, lowest of the others %.2f, the customer %.2f", instances, overall, lowest, own)
		t.Log(co)
		qt.Check(t, lowest >= 0.85, qt.IsTrue, co)
		qt.Check(t, own >= overall/4 && own < lowest, qt.IsTrue, co)
	}
}

// Without overload nothing may be refused and nothing sent, whatever the load.
func TestNothingHappensWithoutOverload(t *testing.T) {
	me, co, ga := NewMeter(), NewController(), NewGate(0)
	for nth := range 100 {
		now := base.Add(time.Duration(nth) * ReportInterval)
		for range nth {
			qt.Assert(t, ga.Admit(now, "g", Source{}), qt.IsTrue)
			me.Arrived("g", Source{}, true)
			me.Ended("g", false)
		}
		res := me.Take(func(group string) bool { return ga.Watched(now, group) })
		qt.Assert(t, res, qt.HasLen, 0)
		qt.Assert(t, co.Evaluate(now), qt.HasLen, 0)
	}
}

// No control instance is reached, or half of the fleet is cut off from one of them or from
// both. Each instance decides by what it gets: with one control instance as with two, and
// without any as without this package. Six seconds after the
// overload nothing is refused: the queue left by the half that reaches none takes two to
// drain.
func TestControlInstancesOutOfReach(t *testing.T) {
	tests := []struct {
		name      string
		reaches   func(at time.Duration, instance, control int) bool
		from, to  float64
		unchanged bool
	}{
		{"none", func(time.Duration, int, int) bool { return false }, 0, 1, true},
		{"one", func(_ time.Duration, _, control int) bool { return control == 0 }, 0.3, 1, false},
		{"each half reaches another one", func(_ time.Duration, instance, control int) bool { return instance%2 == control }, 0.3, 1, false},
		{"half reaches none", func(_ time.Duration, instance, _ int) bool { return instance%2 == 0 }, 0, 1, false},
		{"none since 6 s", func(at time.Duration, _, _ int) bool { return at < 6*time.Second }, 0, 1, false},
	}
	for _, tt := range tests {
		mo := model{instances: 83, capacity: 1000, shared: true, rate: threeClasses(3), lost: noneLost, reaches: tt.reaches, patient: true}
		out, late := mo.run(19*time.Second, 5*time.Second, 12*time.Second, 18*time.Second)
		overall, _, lowest, _ := summary(out)
		refused := 0
		for _, ta := range out {
			refused += ta.refused
		}
		co := qt.Commentf("%s: in time %.2f, lowest customer %.2f, refused %d, refused at the end %d", tt.name, overall, lowest, refused, late)
		t.Log(co)
		qt.Check(t, overall >= tt.from && overall <= tt.to, qt.IsTrue, co)
		qt.Check(t, tt.unchanged, qt.Equals, refused == 0, co)
		qt.Check(t, late, qt.Equals, 0, co)
	}
}

// Control instances that disagree must not let through what one of them forbids, and old
// levels must not refuse requests for which there may be capacity.
func TestGateUsesStricterLevelUntilItIsOld(t *testing.T) {
	ga, so := NewGate(0), Source{Class: 2, Customer: "a"}
	limited := func(fraction float32) Levels {
		return Levels{Group: "g", Watched: true, Limited: true, Fraction: fraction}
	}
	level := func(millis int) float64 {
		fraction, _ := ga.Level(base.Add(time.Duration(millis)*time.Millisecond), "g", so)
		return fraction
	}
	ga.Update(base, "c1", limited(0.25))
	ga.Update(base.Add(200*time.Millisecond), "c2", limited(0.5))
	qt.Assert(t, level(499), qt.Equals, 0.25)
	qt.Assert(t, level(500), qt.Equals, 0.5)
	qt.Assert(t, level(700), qt.Equals, 1.0)
	ga.Update(base.Add(time.Second), "c1", limited(0.25))
	ga.Update(base.Add(time.Second), "c1", Levels{Group: "g"})
	qt.Assert(t, level(1001), qt.Equals, 1.0)
}

// The admitted requests of a source are evenly spaced. Random runs of refusals would refuse
// a caller's retry, too.
func TestAdmissionIsEvenlySpaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction, phase := rapid.Float32Range(0.05, 1).Draw(t, "fraction"), rapid.Float64Range(0, 0.99).Draw(t, "phase")
		ga := NewGate(phase)
		ga.Update(base, "c", Levels{Group: "g", Watched: true, Limited: true, Fraction: fraction})
		admitted := 0
		for nth := 1; nth <= 200; nth++ {
			if ga.Admit(base, "g", Source{}) {
				admitted++
			}
			want := float64(fraction) * float64(nth)
			if diff := float64(admitted) - want; diff < -1.001 || diff > 1.001 {
				t.Fatalf("%d of %d admitted, want %.2f", admitted, nth, want)
			}
		}
	})
}

// No division may leave a customer or class below its minimum, give it more than it demands,
// or give all of them together more than there is.
func TestSharesKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 16).Draw(t, "demands")
		rate, total := rapid.Float64Range(1, 5000).Draw(t, "rate"), 0.0
		for _, de := range demands {
			total += de
		}
		fraction := min(1, rate/max(total, 1e-9))
		for name, out := range map[string][]float64{"customers": allocate(demands, rate, minShare*fraction), "classes": byClass(demands, rate)} {
			sum := 0.0
			for ix, got := range out {
				sum += got
				if got > demands[ix]+1e-6 || got < minShare*fraction*demands[ix]-1e-6 {
					t.Fatalf("%s: %v of %v at %.3f", name, out, demands, fraction)
				}
			}
			if want := min(rate, total); sum > want+1e-3 || sum < want-1e-3*want-1e-3 {
				t.Fatalf("%s: %v divided, want %v", name, sum, want)
			}
		}
	})
}
