// Package capacity measures what the state and the traffic of a tier cost at a
// few sizes, with small stand-ins in one process, so that docs/CAPACITY.md can
// work out the size two years out. It uses the real decisions, codecs and
// connections; it does not emulate a tier of that size.
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

// Sizes two years out, from the users' letter.
const (
	TargetInstances    = 890
	TargetServers      = 6900
	TargetQueryLeaves  = 180
	TargetControlFiles = 270 // ControlFiles is a guess: ten times the files of today's larger folder.
)

// Model says how a value is carried on to the size two years out.
type Model uint8

// The models of a column.
const (
	Linear Model = iota // Line extends the least squares line.
	// Level takes the largest size: the design bounds the value, or it does not
	// follow a line.
	Constant
)

// Column is one value that a measure gives at each size.
type Column struct {
	Role  string // Role is what carries the cost: entry, leader, voter, caller.
	Kind  string // Kind is the state or the traffic that costs.
	Unit  string
	Model Model
}

// Trial is one taking of a measure.
type Trial struct {
	Size   int
	Run    int           // Run numbers the repetitions of a size from 0.
	Window time.Duration // Window is how long something that goes on by itself is watched.
}

// Measure gives the values of its columns at several sizes.
type Measurement struct {
	Name     string // Name selects the measure on the command line.
	SizeUnit string // Of is what the sizes count.
	Sizes    []int  // Sizes are at least three.
	Quick    []int  // Quick are the sizes of a quick run.
	Target   int    // Target is the size two years out.
	Columns  []Column
	Sample   func(ctx context.Context, tr Trial) ([]float64, error)
}

// Measures returns all measures.
func Measurements() []Measurement {
	return []Measurement{
		addresses(), grants(), files(), states(), publishing(), connections(), tail(),
		fanouts(), exchanges(), tiers(), records(),
	}
}

// Roles returns the roles of the measure's columns.
func (me Measurement) Roles() []string {
	var ros []string
	for _, co := range me.Columns {
		if !slices.Contains(ros, co.Role) {
			ros = append(ros, co.Role)
		}
	}
	return ros
}

// Options say how measures are run.
type Options struct {
	Runs   int
	Quick  bool  // Quick takes the quick sizes.
	Sizes  []int // Sizes, if any, are taken in place of the measure's own.
	Window time.Duration
}

// Row is one column of a measure at all its sizes.
type Row struct {
	load.Row
	Of    string
	Model Model
	Means []float64 // Means are the mean values, by ascending size.
}

// Run takes the measure at each size as often as the options say.
func (me Measurement) Run(ctx context.Context, op Options) ([]Row, error) {
	sls := make([]load.Slope, len(me.Columns))
	for ix, co := range me.Columns {
		sls[ix] = load.Slope{Role: co.Role, Kind: co.Kind, Unit: co.Unit, Command: command(me.Name, op)}
	}
	for run := range op.Runs {
		for _, size := range me.sizes(op) {
			vas, err := me.Sample(ctx, Trial{Size: size, Run: run, Window: op.Window})
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

// AtTarget returns the value at the size two years out, and how it was come by.
func (ro Row) AtTarget() (value float64, how string) {
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

// Write prints the rows as Markdown, a table for each command.
func WriteMarkdown(wr io.Writer, rows []Row) error {
	var sb strings.Builder
	said := ""
	for _, ro := range rows {
		if ro.Slope.Command != said {
			said = ro.Slope.Command
			writeHead(&sb, said)
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
	va, how := ro.AtTarget()
	fmt.Fprintf(sb, "| %s | %s | %s | %s %s | %s | %s | %s | ±%.1f%% | %s at %s, %s |\n",
		ro.Slope.Role, ro.Slope.Kind, ro.Slope.Unit, list(ro.sizes()), ro.Of, list(ro.Means),
		line, fit, 100*ro.Fit.Spread, number(va), number(ro.Target), how)
}

// WriteJSON prints the rows with all values of all runs.
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

// number prints three significant digits, and whole numbers from 1000 up.
func number(va float64) string {
	if math.Abs(va) >= 1000 {
		return fmt.Sprintf("%.0f", va)
	}
	return fmt.Sprintf("%.3g", va)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// spent returns the processor time of each of a number of repetitions in
// microseconds. Garbage that they leave behind is collected within it.
func spent(repetitions int, do func(ix int)) float64 {
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

// held returns the bytes of heap and stacks in use after a collection.
func held() float64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc + ms.StackInuse)
}
