package gateway

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
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
