package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamwinch.example/emulate"
)

// Report is what a run measured.
type Report struct {
	Experiment string
	Seed       uint64
	Started    time.Time
	Processors int
	LoadBefore float64 // LoadBefore is the machine's load average of one minute when the run began; 0 if unknown.
	Arms       []ArmCost
	Lines      []Measurement
	Dropped    int      // Dropped counts requests that were due but not sent; above 0 the run is not valid.
	OverLimit  int      // OverLimit counts connections beyond a backend server's limit.
	Examples   []string `json:",omitempty"` // Examples are some of the wrong answers.
}

// ArmCost is what an arm cost the backend servers, by their own count.
type ArmCost struct {
	Arm       string
	Asked     int     // Asked is one for each plain request and for each shard of a merged one.
	Arrived   int     // Arrived counts the requests that reached a backend server.
	Ran       int     // Ran counts those that were begun.
	NotRun    int     // NotRun counts those that backend servers refused.
	ExtraLoad float64 // ExtraLoad is the arrivals beyond Asked, as a share of Asked.
}

// Line is what was measured of one group in one arm. Times are those of answers
// with status 200, counted from the intended start of the request.
type Measurement struct {
	Arm   string
	Group string

	Due     int // Due counts the requests.
	Whole   int // Whole counts the answers that lack no part.
	Partial int // Partial counts those that lack some.
	Refused int // Refused counts the answers that say that nothing ran.
	Failed  int // Failed counts the answers with any other status.
	Silent  int // Silent counts the requests without an answer within their time.
	Wrong   int // Wrong counts the answers that are not made of what the backend servers gave.

	Coverage      float64 // Coverage is the share of the parts asked for that came; a request that failed has none.
	P50Micros     int64
	P99Micros     int64
	P999Micros    int64
	MaxMicros     int64
	P99LowMicros  int64 // P99LowMicros is the lowest p99 of a turn.
	P99HighMicros int64 // P99HighMicros is the highest p99 of a turn.
	LagP99Micros  int64 // LagP99Micros is how late requests were sent.
}

// The quantiles of a Line in percent.
const (
	median        = 50
	ninetyNine    = 99
	threeNinths   = 99.9
	hundredTimes  = 100
	microsToMilli = 1000
)

// add takes an arm over. The counts are those of the backend servers before and
// after.
func (re *Report) add(ar Arm, ces map[string]*cell, before, after emulate.Counts) {
	co := ArmCost{Arm: ar.Name, Arrived: after.Arrived - before.Arrived, Ran: after.Ran - before.Ran, NotRun: after.NotRun - before.NotRun}
	for _, gr := range groups {
		ce := ces[gr]
		re.Lines = append(re.Lines, ce.line(ar.Name, gr))
		re.Examples = append(re.Examples, ce.examples...)
		co.Asked += ce.due * len(ce.expect.Services)
	}
	co.ExtraLoad = share(co.Arrived-co.Asked, co.Asked)
	re.Arms = append(re.Arms, co)
}

func (ce *cell) line(arm, group string) Measurement {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	li := Measurement{
		Arm: arm, Group: group, Due: ce.due, Whole: ce.whole, Partial: ce.partial,
		Refused: ce.refused, Failed: ce.failed, Silent: ce.silent, Wrong: ce.wrong,
		Coverage:     share(ce.covered, ce.asked),
		P50Micros:    ce.answered.ValueAtQuantile(median),
		P99Micros:    ce.answered.ValueAtQuantile(ninetyNine),
		P999Micros:   ce.answered.ValueAtQuantile(threeNinths),
		MaxMicros:    ce.answered.Max(),
		LagP99Micros: ce.lag.ValueAtQuantile(ninetyNine),
	}
	li.P99LowMicros, li.P99HighMicros = spread(ce.turns)
	return li
}

// spread returns the lowest and the highest p99 of the turns.
func spread(turns []*hdrhistogram.Histogram) (low, high int64) {
	for _, hi := range turns {
		va := hi.ValueAtQuantile(ninetyNine)
		if low == 0 || va < low {
			low = va
		}
		high = max(high, va)
	}
	return low, high
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Wrong counts the wrong answers of all lines.
func (re Report) Wrong() int {
	out := 0
	for _, li := range re.Lines {
		out += li.Wrong
	}
	return out
}

// WriteTable writes the report for people.
func (re Report) WriteTable(wr io.Writer) error {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "experiment %s, seed %d, %s\n", re.Experiment, re.Seed, re.Started.UTC().Format(time.RFC3339))
	fmt.Fprintf(tw, "machine: %d processors, load average %.2f before; the tier, the backend servers and the callers share them\n", re.Processors, re.LoadBefore)
	fmt.Fprintf(tw, "times in milliseconds from the intended start; p99 low and high are those of single turns\n\n")
	fmt.Fprintln(tw, "group\tarm\tdue\twhole\tpartial\trefused\tfailed\tsilent\twrong\tcoverage\tp50\tp99\tlow\thigh\tp99.9\tmax\tsent late p99\t")
	for _, gr := range groups {
		for _, li := range re.Lines {
			if li.Group == gr {
				li.write(tw)
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

func (li Measurement) write(wr io.Writer) {
	fmt.Fprintf(wr, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s", li.Group, li.Arm, li.Due, li.Whole, li.Partial, li.Refused, li.Failed, li.Silent, li.Wrong, percent(li.Coverage))
	for _, mi := range []int64{li.P50Micros, li.P99Micros, li.P99LowMicros, li.P99HighMicros, li.P999Micros, li.MaxMicros, li.LagP99Micros} {
		fmt.Fprintf(wr, "\t%.1f", float64(mi)/microsToMilli)
	}
	fmt.Fprintln(wr, "\t")
}

func percent(part float64) string { return fmt.Sprintf("%.2f %%", part*hundredTimes) }
