// Package capacity measures the cost of a tier's state and traffic at a few sizes, with small
// substitutes in one process, so that docs/CAPACITY.md can extrapolate to the size expected in
// two years. It uses the real decisions, codecs and connections; it does not emulate a tier of
// that size.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"balsamwinch.example/load"
)

// Target sizes, expected in two years, as the users state them.
const (
	TargetInstances    = 890
	TargetServers      = 6900
	TargetQueryLeaves  = 180
	TargetControlFiles = 270 // estimate: ten times the files of the larger current folder
)

// Model is the method by which a value is extrapolated to the target size.
type Model uint8

// Models of a column.
const (
	Linear Model = iota // extends the least squares line
	// Constant takes the value at the largest size, because the design bounds the value or
	// because it does not follow a line.
	Constant
)

// Column describes one value that a measurement yields at each size.
type Column struct {
	Role  string // what bears the cost: entry, leader, voter, caller, instance or backend server
	Kind  string // state or traffic that is measured
	Unit  string
	Model Model
}

// Trial describes one run of a measurement at one size.
type Trial struct {
	Size   int
	Run    int           // number of the repetition at this size, from 0
	Window time.Duration // how long background activity is observed
}

// Measurement yields the values of its columns at several sizes.
type Measurement struct {
	Name     string // selects the measurement on the command line
	SizeUnit string // what the sizes count
	Sizes    []int  // at least three
	Quick    []int  // sizes of a quick run
	Target   int    // size expected in two years
	Columns  []Column
	Take     func(ctx context.Context, tr Trial) ([]float64, error)
}

// Measurements returns all measurements.
func Measurements() []Measurement {
	return []Measurement{
		addresses(), grants(), files(), states(), publishing(), connections(), tailLatency(),
		fanouts(), exchanges(), tiers(), records(),
	}
}

// Roles returns the distinct roles of the columns.
func (me Measurement) Roles() []string {
	var ros []string
	for _, co := range me.Columns {
		if !slices.Contains(ros, co.Role) {
			ros = append(ros, co.Role)
		}
	}
	return ros
}

// Options controls how measurements are run.
type Options struct {
	Runs   int
	Quick  bool  // use the quick sizes
	Sizes  []int // used instead of the measurement's own sizes if not empty
	Window time.Duration
}

// Row holds the values of one column at all sizes.
type Row struct {
	load.Row
	Of    string
	Model Model
	Means []float64 // mean values, by ascending size
}

// Run takes op.Runs trials at each size and returns a row for each column.
func (me Measurement) Run(ctx context.Context, op Options) ([]Row, error) {
	sls := make([]load.Slope, len(me.Columns))
	for ix, co := range me.Columns {
		sls[ix] = load.Slope{Role: co.Role, Kind: co.Kind, Unit: co.Unit, Command: command(me.Name, op)}
	}
	for run := range op.Runs {
		for _, size := range me.sizes(op) {
			vas, err := me.Take(ctx, Trial{Size: size, Run: run, Window: op.Window})
			if err != nil {
				return nil, fmt.Errorf("%s at size %d: %w", me.Name, size, err)
			}
			for ix, va := range vas {
				sls[ix].Sizes = append(sls[ix].Sizes, float64(size))
				sls[ix].Values = append(sls[ix].Values, va)
			}
		}
	}
	var rows []Row
	for ix, sl := range sls {
		rows = append(rows, newRow(sl, me.Columns[ix], me))
	}
	return rows, nil
}

func (me Measurement) sizes(op Options) []int {
	switch {
	case len(op.Sizes) > 0:
		return op.Sizes
	case op.Quick:
		return me.Quick
	default:
		return me.Sizes
	}
}

func command(name string, op Options) string {
	flags := ""
	if op.Quick {
		flags = " -quick"
	}
	if len(op.Sizes) > 0 {
		flags += " -sizes " + strings.Trim(strings.ReplaceAll(fmt.Sprint(op.Sizes), " ", ","), "[]")
	}
	return fmt.Sprintf("go run ./cmd/balsamload capacity%s -runs %d %s", flags, op.Runs, name)
}

func newRow(sl load.Slope, co Column, me Measurement) Row {
	ro := Row{Row: load.NewRow(sl, float64(me.Target)), Of: me.SizeUnit, Model: co.Model}
	for _, size := range ro.sizes() {
		sum, count := 0.0, 0.0
		for ix := range sl.Sizes {
			if sl.Sizes[ix] == size {
				sum, count = sum+sl.Values[ix], count+1
			}
		}
		ro.Means = append(ro.Means, sum/count)
	}
	return ro
}

func (ro Row) sizes() []float64 {
	return slices.Compact(slices.Sorted(slices.Values(ro.Slope.Sizes)))
}

// AtTarget returns the value at the target size, and whether it was measured, extrapolated or
// taken from the largest size.
func (ro Row) AtTarget() (value float64, source string) {
	sizes := ro.sizes()
	last := len(sizes) - 1
	ix := slices.Index(sizes, ro.Target)
	switch {
	case ix >= 0:
		return ro.Means[ix], "measured"
	case ro.Model == Constant:
		return ro.Means[last], "as at " + number(sizes[last])
	default:
		return ro.Worked, "worked out"
	}
}

// WriteMarkdown prints the rows as Markdown, one table for each command.
func WriteMarkdown(wr io.Writer, rows []Row) error {
	var sb strings.Builder
	lastCommand := ""
	for _, ro := range rows {
		if ro.Slope.Command != lastCommand {
			lastCommand = ro.Slope.Command
			writeHead(&sb, lastCommand)
		}
		ro.write(&sb)
	}
	_, err := io.WriteString(wr, sb.String())
	return err
}

func writeHead(sb *strings.Builder, command string) {
	if sb.Len() > 0 {
		sb.WriteString("\n")
	}
	fmt.Fprintf(sb, "`%s`\n\n", command)
	sb.WriteString("| Role | Kind | Unit | Sizes | Values | Base + each | R² | Spread | Two years out |\n")
	sb.WriteString("|---|---|---|---|---|---|---:|---:|---|\n")
}

func (ro Row) write(sb *strings.Builder) {
	line, fit := "level", ""
	if ro.Model == Linear {
		line = number(ro.Fit.Base) + " + " + number(ro.Fit.PerItem)
		fit = fmt.Sprintf("%.3f", ro.Fit.R2)
	}
	va, source := ro.AtTarget()
	fmt.Fprintf(sb, "| %s | %s | %s | %s %s | %s | %s | %s | ±%.1f%% | %s at %s, %s |\n",
		ro.Slope.Role, ro.Slope.Kind, ro.Slope.Unit, list(ro.sizes()), ro.Of, list(ro.Means),
		line, fit, 100*ro.Fit.Spread, number(va), number(ro.Target), source)
}

// WriteJSON prints the rows with the values of all runs as JSON.
func WriteJSON(wr io.Writer, rows []Row) error {
	en := json.NewEncoder(wr)
	en.SetIndent("", "  ")
	return en.Encode(rows)
}

func list(vas []float64) string {
	var sts []string
	for _, va := range vas {
		sts = append(sts, number(va))
	}
	return strings.Join(sts, ", ")
}

// number formats a value with three significant digits, or as a whole number from 1000 on.
func number(va float64) string {
	if math.Abs(va) >= 1000 {
		return fmt.Sprintf("%.0f", va)
	}
	return fmt.Sprintf("%.3g", va)
}

// processorTime returns the processor time that this process has used, user and system, or 0
// if it can't be read.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// cpuMicrosPerRun returns the mean processor time of a repetition in µs. It includes
// collections of the garbage that the repetitions produce meanwhile.
func cpuMicrosPerRun(repetitions int, do func(ix int)) float64 {
	runtime.GC()
	before := processorTime()
	for ix := range repetitions {
		do(ix)
	}
	return micros(processorTime()-before) / float64(repetitions)
}

func micros(du time.Duration) float64 {
	return float64(du) / float64(time.Microsecond)
}

// liveBytes returns the bytes of heap and stacks in use after a garbage collection.
func liveBytes() float64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc + ms.StackInuse)
}
