package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
)

// Slope is how a cost of one role grows with a size, as measured. Sizes and
// Values belong together by index; a size that was measured in several runs
// stands there several times.
type Slope struct {
	Role    string // Role is what carries the cost: entry, control voter, learner, caller.
	Kind    string // Kind is the state or traffic that costs: backend servers, intents, leases.
	Unit    string // Unit is the unit of a value, for example "bytes" or "bytes a second".
	Sizes   []float64
	Values  []float64
	Command string // Command prints the slope again.
}

// Fit is the least squares line through a slope.
type Fit struct {
	Base    float64 // Base is the value at size zero.
	PerItem float64 // PerItem is the growth for each unit of size.
	// R2 is the share of the variance that the line explains; 1 is a perfect line.
	R2 float64
	// Spread is the largest distance of a run from the mean of its size, as a
	// share of that mean. It is zero when each size was run once.
	Spread float64
}

// At returns the value that the line gives for a size.
func (fi Fit) At(size float64) float64 {
	return fi.Base + fi.PerItem*size
}

// Fit returns the least squares line. With fewer than two different sizes the
// line is flat at the mean.
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
	most := 0.0
	for _, vas := range runs {
		me := mean(vas)
		if me == 0 {
			continue
		}
		most = max(most, math.Abs((slices.Max(vas)-me)/me), math.Abs((slices.Min(vas)-me)/me))
	}
	return most
}

func mean(vas []float64) float64 {
	sum := 0.0
	for _, va := range vas {
		sum += va
	}
	return sum / float64(len(vas))
}

// Measure measures one slope: Take gives the value at one size.
type Measure struct {
	Role, Kind, Unit string
	Sizes            []float64 // Sizes are at least three.
	Target           float64   // Target is the size two years out that the line is extended to.
	Take             func(ctx context.Context, size float64) (float64, error)
}

// Name returns the name by which the command line selects the measure.
func (me Measure) Name() string {
	return me.Role + "/" + me.Kind
}

// Run takes every size the given number of times and returns the slope.
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

// Row is one line of the capacity table.
type Row struct {
	Slope  Slope
	Fit    Fit
	Target float64
	Worked float64 // Worked is the value that the line gives for Target.
}

// NewRow fits a slope and extends it to a size.
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
			ro.Slope.Role, ro.Slope.Kind, sizes(ro.Slope.Sizes), number(ro.Fit.Base), number(ro.Fit.PerItem),
			ro.Fit.R2, 100*ro.Fit.Spread, number(ro.Target), number(ro.Worked), ro.Slope.Unit, ro.Slope.Command)
	}
	return pr.err
}

func sizes(sis []float64) string {
	sorted := slices.Compact(slices.Sorted(slices.Values(sis)))
	st := ""
	for ix, si := range sorted {
		if ix > 0 {
			st += ", "
		}
		st += number(si)
	}
	return st
}

// number prints four significant digits without an exponent for common sizes.
func number(va float64) string {
	if math.Abs(va) >= 1000 {
		return fmt.Sprintf("%.0f", va)
	}
	return fmt.Sprintf("%.4g", va)
}

// printer keeps the first error of a series of writes.
type printer struct {
	wr  io.Writer
	err error
}

func (pr *printer) printf(format string, args ...any) {
	if pr.err == nil {
		_, pr.err = fmt.Fprintf(pr.wr, format, args...)
	}
}
