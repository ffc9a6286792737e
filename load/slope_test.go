package load

import (
	"bytes"
	"context"
	"errors"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSlopeFit(t *testing.T) {
	for _, tt := range []struct {
		name          string
		sizes, values []float64
		base, per, r2 float64
		spread        float64
	}{
		{"line", []float64{1, 2, 3}, []float64{12, 14, 16}, 10, 2, 1, 0},
		{"flat", []float64{10, 20, 30}, []float64{5, 5, 5}, 5, 0, 1, 0},
		{"two runs", []float64{1, 2, 1, 2}, []float64{9, 18, 11, 22}, 0, 10, 100.0 / 110, 0.1},
		{"one size", []float64{4, 4}, []float64{6, 10}, 8, 0, 1, 0.25},
		{"nothing", nil, nil, 0, 0, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fi := Slope{Sizes: tt.sizes, Values: tt.values}.Fit()
			for _, pa := range [][2]float64{{fi.Base, tt.base}, {fi.PerItem, tt.per}, {fi.R2, tt.r2}, {fi.Spread, tt.spread}} {
				qt.Assert(t, math.Abs(pa[0]-pa[1]) < 1e-9, qt.IsTrue, qt.Commentf("%+v", fi))
			}
		})
	}
}

func TestMeasureRunsAllSizesAndFits(t *testing.T) {
	c := qt.New(t)
	me := Measure{
		Role: "voter", Kind: "intents", Unit: "bytes", Sizes: []float64{10, 100, 1000}, Target: 5000,
		Take: func(_ context.Context, size float64) (float64, error) { return 64 + 8*size, nil },
	}
	sl, err := me.Run(t.Context(), 2, "balsamload capacity voter/intents")
	c.Assert(err, qt.IsNil)
	c.Assert(sl.Sizes, qt.DeepEquals, []float64{10, 100, 1000, 10, 100, 1000})
	var out bytes.Buffer
	c.Assert(WriteMarkdown(&out, []Row{NewRow(sl, me.Target)}), qt.IsNil)
	checkGolden(c, "slope.md", out.Bytes())

	me.Take = func(context.Context, float64) (float64, error) { return 0, errors.New("measurement failed") }
	_, err = me.Run(t.Context(), 1, "")
	c.Assert(err, qt.ErrorMatches, "voter/intents at size 10: measurement failed")
}
