package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
)

// Slope holds measurements of how a cost of one role grows with a size. Sizes and Values
// correspond by index; a size measured in several runs occurs several times.
type Slope struct {
	Role    string // what carries the cost: entry, control voter, learner, caller
	Kind    string // state or traffic that causes the cost: backend servers, intents, leases
	Unit    string // unit of a value, for example "bytes" or "bytes a second"
	Sizes   []float64
	Values  []float64
	Command string // command that repeats the measurement
}

// Fit is the least-squares line through a slope.
type Fit struct {
	Base    float64 // value at size zero
	PerItem float64 // growth per unit of size
	// Fraction of the variance that the line explains; 1 is a perfect line.
	R2 float64
	// Largest distance of a run from the mean of its size, as a fraction of that mean. It is
	// zero if each size was run once.
	Spread float64
}

// At returns the value of the line at a size.
func (fi Fit) At(size float64) float64 {
	return fi.Base + fi.PerItem*size
}

// Fit returns the least-squares line. With fewer than two different sizes the line is flat at
// the mean.
func (sl Slope) Fit() Fit {
	nn := float64(len(sl.Values))
	if nn == 0 {
		return Fit{}
	}
	meanSize, meanValue := mean(sl.Sizes), mean(sl.Values)
	var sxx, sxy, syy float64
	for ix, size := range sl.Sizes {
		dx, dy := size-meanSize, sl.Values[ix]-meanValue
		sxx += dx * dx
		sxy += dx * dy
		syy += dy * dy
	}
	fi := Fit{Base: meanValue, R2: 1, Spread: sl.spread()}
	if sxx > 0 {
		fi.PerItem = sxy / sxx
		fi.Base = meanValue - fi.PerItem*meanSize
	}
	if sxx > 0 && syy > 0 {
		fi.R2 = sxy * sxy / (sxx * syy)
	}
	return fi
}

func (sl Slope) spread() float64 {
	runs := make(map[float64][]float64)
	for ix, size := range sl.Sizes {
		runs[size] = append(runs[size], sl.Values[ix])
	}
	largest := 0.0
	for _, vas := range runs {
		me := mean(vas)
		if me == 0 {
			continue
		}
		largest = max(largest, math.Abs((slices.Max(vas)-me)/me), math.Abs((slices.Min(vas)-me)/me))
	}
	return largest
}

func mean(vas []float64) float64 {
	sum := 0.0
	for _, va := range vas {
		sum += va
	}
	return sum / float64(len(vas))
}

// Measure defines the measurement of one slope; Take returns the value at one size.
type Measure struct {
	Role, Kind, Unit string
	Sizes            []float64 // at least three
	Target           float64   // size expected in two years, to which the line is extrapolated
	Take             func(ctx context.Context, size float64) (float64, error)
}

// Name returns the name that selects the measure on the command line.
func (me Measure) Name() string {
	return me.Role + "/" + me.Kind
}

// Run measures every size the given number of times and returns the slope.
func (me Measure) Run(ctx context.Context, runs int, command string) (Slope, error) {
	sl := Slope{Role: me.Role, Kind: me.Kind, Unit: me.Unit, Command: command}
	for range runs {
		for _, size := range me.Sizes {
			va, err := me.Take(ctx, size)
			if err != nil {
				return sl, fmt.Errorf("%s at size %g: %w", me.Name(), size, err)
			}
			sl.Sizes = append(sl.Sizes, size)
			sl.Values = append(sl.Values, va)
		}
	}
	return sl, nil
}

// Row is one row of the capacity table.
type Row struct {
	Slope  Slope
	Fit    Fit
	Target float64
	Worked float64 // value of the line at Target
}

// NewRow fits a line to a slope and extrapolates it to a size.
func NewRow(sl Slope, target float64) Row {
	fi := sl.Fit()
	return Row{Slope: sl, Fit: fi, Target: target, Worked: fi.At(target)}
}

// WriteMarkdown writes rows as a table for docs/CAPACITY.md.
func WriteMarkdown(wr io.Writer, rows []Row) error {
	pr := printer{wr: wr}
	pr.printf("| Role | Kind | Sizes | Base | Each | R² | Spread | Size two years out | Worked out | Unit | Command |\n")
	pr.printf("|---|---|---|---:|---:|---:|---:|---:|---:|---|---|\n")
	for _, ro := range rows {
		pr.printf("| %s | %s | %s | %s | %s | %.3f | ±%.1f%% | %s | %s | %s | `%s` |\n",
			ro.Slope.Role, ro.Slope.Kind, formatSizes(ro.Slope.Sizes), formatNumber(ro.Fit.Base), formatNumber(ro.Fit.PerItem),
			ro.Fit.R2, 100*ro.Fit.Spread, formatNumber(ro.Target), formatNumber(ro.Worked), ro.Slope.Unit, ro.Slope.Command)
	}
	return pr.err
}

func formatSizes(sis []float64) string {
	sorted := slices.Compact(slices.Sorted(slices.Values(sis)))
	st := ""
	for ix, si := range sorted {
		if ix > 0 {
			st += ", "
		}
		st += formatNumber(si)
	}
	return st
}

// formatNumber prints four significant digits, and values from 1000 as whole numbers.
func formatNumber(va float64) string {
	if math.Abs(va) >= 1000 {
		return fmt.Sprintf("%.0f", va)
	}
	return fmt.Sprintf("%.4g", va)
}

// printer writes formatted text and keeps the first error.
type printer struct {
	wr  io.Writer
	err error
}

func (pr *printer) printf(format string, args ...any) {
	if pr.err == nil {
		_, pr.err = fmt.Fprintf(pr.wr, format, args...)
	}
}
