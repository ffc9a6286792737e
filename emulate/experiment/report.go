package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamwinch.example/emulate"
)

// Report holds the results of a run.
type Report struct {
	Experiment string
	Seed       uint64
	Started    time.Time
	Processors int
	LoadBefore float64 // load average of the machine over one minute at the start of the run; 0 if unknown
	Arms       []ArmCost
	Lines      []Measurement
	Dropped    int      // requests that were due but not sent; if above 0, the run is invalid
	OverLimit  int      // connections beyond a backend server's limit
	Examples   []string `json:",omitempty"` // some of the wrong responses
}

// ArmCost is the load of an arm on the backend servers, as they counted it.
type ArmCost struct {
	Arm       string
	Asked     int     // one per plain request and one per shard of a merged request
	Arrived   int     // requests that reached a backend server
	Ran       int     // requests that started to run
	NotRun    int     // requests that backend servers rejected
	ExtraLoad float64 // arrivals beyond Asked, as a fraction of Asked
}

// Measurement holds the results of one group in one arm. Latencies are those of responses
// with status 200, from the intended start of the request.
type Measurement struct {
	Arm   string
	Group string

	Due     int // requests
	Whole   int // responses that lack no part
	Partial int // responses that lack some parts
	Refused int // responses that report that nothing ran
	Failed  int // responses with any other status
	Silent  int // requests without a response before their timeout
	Wrong   int // responses that don't match what the backend servers sent

	Coverage      float64 // fraction of the requested parts that were received; a failed request has none
	P50Micros     int64
	P99Micros     int64
	P999Micros    int64
	MaxMicros     int64
	P99LowMicros  int64 // lowest p99 of a turn
	P99HighMicros int64 // highest p99 of a turn
	LagP99Micros  int64 // how late requests were sent
}

// The quantiles of a Measurement in percent.
const (
	p50            = 50
	p99            = 99
	p999           = 99.9
	percentScale   = 100
	microsPerMilli = 1000
)

// add adds the results of an arm, given the counts of the backend servers before and
// after the measurement.
func (re *Report) add(ar Arm, recs map[string]*recorder, before, after emulate.Counts) {
	co := ArmCost{Arm: ar.Name, Arrived: after.Arrived - before.Arrived, Ran: after.Ran - before.Ran, NotRun: after.NotRun - before.NotRun}
	for _, gr := range groups {
		rec := recs[gr]
		re.Lines = append(re.Lines, rec.measurement(ar.Name, gr))
		re.Examples = append(re.Examples, rec.examples...)
		co.Asked += rec.due * len(rec.expect.Services)
	}
	co.ExtraLoad = ratio(co.Arrived-co.Asked, co.Asked)
	re.Arms = append(re.Arms, co)
}

func (rec *recorder) measurement(arm, group string) Measurement {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	me := Measurement{
		Arm: arm, Group: group, Due: rec.due, Whole: rec.whole, Partial: rec.partial,
		Refused: rec.refused, Failed: rec.failed, Silent: rec.silent, Wrong: rec.wrong,
		Coverage:     ratio(rec.covered, rec.asked),
		P50Micros:    rec.answered.ValueAtQuantile(p50),
		P99Micros:    rec.answered.ValueAtQuantile(p99),
		P999Micros:   rec.answered.ValueAtQuantile(p999),
		MaxMicros:    rec.answered.Max(),
		LagP99Micros: rec.lag.ValueAtQuantile(p99),
	}
	me.P99LowMicros, me.P99HighMicros = minMaxP99(rec.turns)
	return me
}

// minMaxP99 returns the lowest and the highest p99 of the turns.
func minMaxP99(turns []*hdrhistogram.Histogram) (low, high int64) {
	for _, hi := range turns {
		va := hi.ValueAtQuantile(p99)
		if low == 0 || va < low {
			low = va
		}
		high = max(high, va)
	}
	return low, high
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Wrong returns the number of wrong responses in all measurements.
func (re Report) Wrong() int {
	out := 0
	for _, me := range re.Lines {
		out += me.Wrong
	}
	return out
}

// WriteTable writes the report as text.
func (re Report) WriteTable(wr io.Writer) error {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "experiment %s, seed %d, %s\n", re.Experiment, re.Seed, re.Started.UTC().Format(time.RFC3339))
	fmt.Fprintf(tw, "machine: %d processors, load average %.2f before; the tier, the backend servers and the callers share them\n", re.Processors, re.LoadBefore)
	fmt.Fprintf(tw, "times in milliseconds from the intended start; p99 low and high are those of single turns\n\n")
	fmt.Fprintln(tw, "group\tarm\tdue\twhole\tpartial\trefused\tfailed\tsilent\twrong\tcoverage\tp50\tp99\tlow\thigh\tp99.9\tmax\tsent late p99\t")
	for _, gr := range groups {
		for _, me := range re.Lines {
			if me.Group == gr {
				me.write(tw)
			}
		}
	}
	fmt.Fprintln(tw, "\narm\tasked\tarrived\tran\tnot run\textra load\t")
	for _, co := range re.Arms {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%s\t\n", co.Arm, co.Asked, co.Arrived, co.Ran, co.NotRun, percent(co.ExtraLoad))
	}
	fmt.Fprintf(tw, "\nnot sent: %d; connections beyond a limit: %d\n", re.Dropped, re.OverLimit)
	for _, st := range re.Examples {
		fmt.Fprintf(tw, "wrong: %s\n", st)
	}
	return tw.Flush()
}

func (me Measurement) write(wr io.Writer) {
	fmt.Fprintf(wr, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s", me.Group, me.Arm, me.Due, me.Whole, me.Partial, me.Refused, me.Failed, me.Silent, me.Wrong, percent(me.Coverage))
	for _, mi := range []int64{me.P50Micros, me.P99Micros, me.P99LowMicros, me.P99HighMicros, me.P999Micros, me.MaxMicros, me.LagP99Micros} {
		fmt.Fprintf(wr, "\t%.1f", float64(mi)/microsPerMilli)
	}
	fmt.Fprintln(wr, "\t")
}

func percent(fraction float64) string { return fmt.Sprintf("%.2f %%", fraction*percentScale) }
