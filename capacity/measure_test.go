package capacity

import (
	"context"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRowsExtrapolateToTarget(t *testing.T) {
	c := qt.New(t)
	me := Measurement{
		Name: "x/y", SizeUnit: "things", Sizes: []int{1, 2, 4}, Quick: []int{1, 2, 4}, Target: 10,
		Columns: []Column{{"x", "grows", "bytes", Linear}, {"x", "stays", "bytes", Constant}},
		Take: func(_ context.Context, tr Trial) ([]float64, error) {
			return []float64{3 + 2*float64(tr.Size), 7}, nil
		},
	}
	for _, tc := range []struct {
		target int
		want   [2]float64
		how    [2]string
	}{
		{10, [2]float64{23, 7}, [2]string{"worked out", "as at 4"}},
		{2, [2]float64{7, 7}, [2]string{"measured", "measured"}},
	} {
		me.Target = tc.target
		rows, err := me.Run(context.Background(), Options{Runs: 2})
		c.Assert(err, qt.IsNil)
		for ix, ro := range rows {
			va, how := ro.AtTarget()
			c.Check(math.Round(va), qt.Equals, tc.want[ix])
			c.Check(how, qt.Equals, tc.how[ix])
		}
		var sb strings.Builder
		c.Assert(WriteMarkdown(&sb, rows), qt.IsNil)
		c.Check(sb.String(), qt.Contains, "| x | grows | bytes | 1, 2, 4 things | 5, 7, 11 | 3 + 2 | 1.000 | ±0.0% |")
	}
}

func TestMaxLateRatio(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct {
		leaves int
		want   float64
	}{{1, 0.01}, {13, 0.0007728040}, {180, 0.000055833640}} {
		c.Check(math.Abs(MaxLateRatio(0.99, tc.leaves)-tc.want) < 1e-9, qt.IsTrue, qt.Commentf("%d leaves", tc.leaves))
	}
}

// Measurements without timing must return the same values in every run.
func TestUntimedMeasurementsAreDeterministic(t *testing.T) {
	c := qt.New(t)
	vas, err := connections().Take(context.Background(), Trial{Size: 25})
	c.Assert(err, qt.IsNil)
	c.Check(vas[4:], qt.DeepEquals, []float64{1, 4, 0})
	c.Check(vas[0] <= TargetInstances && vas[1] >= 1, qt.IsTrue)
	for range 2 {
		vas, err = tailLatency().Take(context.Background(), Trial{Size: 13})
		c.Assert(err, qt.IsNil)
		c.Check(vas[5] < vas[4], qt.IsTrue, qt.Commentf("p99 with a hedge and without"))
		again, _ := tailLatency().Take(context.Background(), Trial{Size: 13})
		c.Check(again, qt.DeepEquals, vas)
	}
}
