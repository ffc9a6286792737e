package warmup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestDivide(t *testing.T) {
	li := Limit{Rate: 12, BurstFactor: 1.5, Slack: 5}
	qt.Assert(t, li.MaxPerSecond(), qt.Equals, 23)
	tests := []struct {
		senders int
		want    Allowance
	}{
		{1, Allowance{Probability: 1, MinInterval: 2 * time.Second / 12}},
		{9, Allowance{Probability: 1, MinInterval: 11 * time.Second / 12}},
		{18, Allowance{Probability: 1, MinInterval: 22 * time.Second / 12}},
	}
	for _, tt := range tests {
		qt.Assert(t, li.PerSender(tt.senders), qt.Equals, tt.want)
	}
	many := li.PerSender(67)
	qt.Assert(t, many.MinInterval >= leastSpacing, qt.IsTrue)
	qt.Assert(t, many.Probability > 0.05 && many.Probability < 0.2, qt.IsTrue, qt.Commentf("%v", many))
	qt.Assert(t, Limit{}.Bounded(), qt.IsFalse)
}

// Guards against parts that add up to more than a cold server bears, or to nothing.
func TestDivideHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		li := Limit{
			Rate:        rapid.Float64Range(0.1, 200).Draw(rt, "rate"),
			BurstFactor: rapid.Float64Range(0, 3).Draw(rt, "overage"),
			Slack:       rapid.Float64Range(0, 50).Draw(rt, "slack"),
		}
		senders := rapid.IntRange(0, 2000).Draw(rt, "senders")
		pa := li.PerSender(senders)
		if pa.Probability <= 0 || pa.Probability > 1 || pa.MinInterval <= 0 {
			rt.Fatalf("no part: %v", pa)
		}
		taking := float64(max(1, senders)) * pa.Probability
		if sum := taking / pa.MinInterval.Seconds(); sum > li.Rate*1.001 {
			rt.Fatalf("%v a second together", sum)
		}
		most := float64(li.MaxPerSecond())
		if pa.MinInterval > time.Second && taking > most || pa.MinInterval <= time.Second && taking+li.Rate > most {
			rt.Fatalf("%v take part with a spacing of %v, allowed %v", taking, pa.MinInterval, most)
		}
	})
}
