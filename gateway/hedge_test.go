package gateway

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/budget"
	"balsamwinch.example/scatter"
)

func TestHedgeFraction(t *testing.T) {
	for _, tc := range []struct {
		shards int
		want   float64
	}{{1, 0.08}, {10, 0.08}, {23, 0.115}, {36, 0.15}, {180, 0.15}} {
		c := qt.New(t)
		c.Assert(math.Abs(hedgeFraction(tc.shards)-tc.want) < 1e-9, qt.IsTrue, qt.Commentf("%d", tc.shards))
	}
}

// Guards against a retry budget that is spent on parts which an answer may lack, so that
// nothing is left for a query that fails without its hedge.
func TestLastHalfOfBudgetIsForNeededParts(t *testing.T) {
	tests := []struct {
		name         string
		parts, spent int
		shared       bool
		kind         scatter.AttemptKind
		want         bool
	}{
		{"needed, half spent", 1, 6, true, scatter.Hedge, true},
		{"needed, all spent", 1, 10, true, scatter.Hedge, false},
		{"optional, plenty left", 2, 4, true, scatter.Hedge, true},
		{"optional, half spent", 2, 6, true, scatter.Hedge, false},
		{"optional retry", 2, 6, true, scatter.Retry, true},
		{"stalls are not shared", 2, 6, false, scatter.Hedge, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			bu := budget.New(budget.Config{Ratio: 0.1, Window: 10 * time.Second}, start)
			now := start.Add(20 * time.Second)
			for range 100 {
				bu.CountRequest(now, "s")
			}
			for range tt.spent {
				qt.Assert(t, bu.Spend(now, "s"), qt.IsTrue)
			}
			qu := scatter.New(scatter.Plan{Shards: 3, MinParts: 2, MaxAttempts: 2, Repeatable: true, PartialDeadline: now.Add(time.Second), Deadline: now.Add(time.Second)})
			for _, sa := range qu.Next(now, nil) {
				qu.AttemptStarted(sa.Shard, now)
			}
			for sh := range tt.parts {
				qu.AttemptEnded(now, sh, scatter.OutcomePart)
			}
			ex := &executor{ca: &call{sv: &Server{bu: bu}}, qu: qu}
			if tt.shared {
				ex.stallNews = make(chan struct{})
			}
			qt.Assert(t, ex.spend(now, scatter.Attempt{Shard: 2, Kind: tt.kind}, "s"), qt.Equals, tt.want)
		})
	}
}
