package warmup

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestPerSender(t *testing.T) {
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
	qt.Assert(t, many.MinInterval >= minInterval, qt.IsTrue)
	qt.Assert(t, many.Probability > 0.05 && many.Probability < 0.2, qt.IsTrue, qt.Commentf("%v", many))
	qt.Assert(t, Limit{}.Bounded(), qt.IsFalse)
}

// Guards against allowances that add up to more than a cold server can take, or to nothing.
func TestPerSenderStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		li := Limit{
			Rate:        rapid.Float64Range(0.1, 200).Draw(rt, "rate"),
			BurstFactor: rapid.Float64Range(0, 3).Draw(rt, "burst factor"),
			Slack:       rapid.Float64Range(0, 50).Draw(rt, "slack"),
		}
		senders := rapid.IntRange(0, 2000).Draw(rt, "senders")
		al := li.PerSender(senders)
		if al.Probability <= 0 || al.Probability > 1 || al.MinInterval <= 0 {
			rt.Fatalf("no allowance: %v", al)
		}
		takingPart := float64(max(1, senders)) * al.Probability
		if sum := takingPart / al.MinInterval.Seconds(); sum > li.Rate*1.001 {
			rt.Fatalf("%v per second together", sum)
		}
		maxPerSecond := float64(li.MaxPerSecond())
		if al.MinInterval > time.Second && takingPart > maxPerSecond || al.MinInterval <= time.Second && takingPart+li.Rate > maxPerSecond {
			rt.Fatalf("%v take part with an interval of %v, allowed %v", takingPart, al.MinInterval, maxPerSecond)
		}
	})
}
