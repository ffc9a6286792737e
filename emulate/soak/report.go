package soak

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamwinch.example/emulate"
)

// Report holds the results of a run.
type Report struct {
	Soak       string
	Seed       uint64
	Started    time.Time
	Length     time.Duration
	Processors int
	Groups     []Group
	Arrived    int     // first arrivals of requests at services
	Extra      int     // arrivals beyond the first
	ExtraLoad  float64 // Extra as a fraction of Arrived
	Faults     []FaultCounts
	Problems   []string `json:",omitempty"` // faults that could not be injected completely
	Checks     []Tally
	Breaches   []Violation `json:",omitempty"`
	Dropped    int         // requests that were due but not sent
	// SentLateP99Micros is how late requests were sent. Far above a millisecond, the
	// machine was too busy for its latencies to say anything about the tier.
	SentLateP99Micros int64
}

// FaultCounts counts how often a kind of fault was drawn and injected.
type FaultCounts struct {
	Kind   Kind
	Drawn  int
	Played int
}

// Group holds the outcomes of the requests of one group. Latencies are those of responses
// with status 200, from the intended start of the request.
type Group struct {
	Group     string
	Requests  int
	Whole     int // responses that lack no part
	Partial   int // responses that lack some parts
	Refused   int // responses that report that nothing ran
	Failed    int // responses with any other status
	Silent    int // requests without a response before their timeout
	Late      int // responses in Whole and Partial that exceeded the target latency
	P50Micros int64
	P99Micros int64
}

// NumViolations returns the number of violations of all checks.
func (re Report) NumViolations() int {
	out := 0
	for _, ta := range re.Checks {
		out += ta.Broken
	}
	return out
}

// requestStats counts the outcomes of requests.
type requestStats struct {
	mu     sync.Mutex
	groups map[string]*Group
	times  map[string]*hdrhistogram.Histogram
	lag    *hdrhistogram.Histogram
}

const (
	maxMicros         = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

func newRequestStats() *requestStats {
	st := &requestStats{groups: make(map[string]*Group), times: make(map[string]*hdrhistogram.Histogram), lag: hdrhistogram.New(1, maxMicros, significantDigits)}
	for _, gr := range groups {
		st.groups[gr], st.times[gr] = &Group{Group: gr}, hdrhistogram.New(1, maxMicros, significantDigits)
	}
	return st
}

// recordLag records how late a request was sent.
func (st *requestStats) recordLag(lag time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	recordDuration(st.lag, lag)
}

func recordDuration(hi *hdrhistogram.Histogram, took time.Duration) {
	_ = hi.RecordValue(min(maxMicros, max(1, took.Microseconds()))) // A value in range is not an error.
}

// record records the outcome of a request.
func (st *requestStats) record(group string, res emulate.Response, err error, took, targetLatency time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	gr := st.groups[group]
	gr.Requests++
	switch {
	case err != nil:
		gr.Silent++
		return
	case isNotRunStatus(res.Status):
		gr.Refused++
		return
	case res.Status != http.StatusOK:
		gr.Failed++
		return
	case res.Missing > 0:
		gr.Partial++
	default:
		gr.Whole++
	}
	if took > targetLatency {
		gr.Late++
	}
	recordDuration(st.times[group], took)
}

// fillReport adds the results to the report.
func (ru *runner) fillReport(re *Report) {
	ru.st.mu.Lock()
	defer ru.st.mu.Unlock()
	for _, name := range groups {
		gr := *ru.st.groups[name]
		gr.P50Micros = ru.st.times[name].ValueAtQuantile(50)
		gr.P99Micros = ru.st.times[name].ValueAtQuantile(99)
		re.Groups = append(re.Groups, gr)
	}
	re.SentLateP99Micros = ru.st.lag.ValueAtQuantile(99)
	re.Arrived, re.Extra = ru.ch.ArrivalCounts()
	if re.Arrived > 0 {
		re.ExtraLoad = float64(re.Extra) / float64(re.Arrived)
	}
	drawn := countKinds(DrawSchedule(ru.cf.Seed, ru.cf))
	for _, ki := range Kinds() {
		if drawn[ki] > 0 {
			re.Faults = append(re.Faults, FaultCounts{ki, drawn[ki], ru.ij.injected[ki]})
		}
	}
	re.Problems, re.Checks, re.Breaches = ru.ij.problems, ru.ch.Tallies(), ru.ch.Violations()
}

// WriteTable writes the report as text.
func (re Report) WriteTable(wr io.Writer) error {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "soak %s, seed %d, %v, %s, GOMAXPROCS %d\n\n", re.Soak, re.Seed, re.Length, re.Started.UTC().Format(time.RFC3339), re.Processors)
	fmt.Fprintln(tw, "group\trequests\twhole\tpartial\trefused\tfailed\tsilent\tlate\tp50 ms\tp99 ms\t")
	for _, gr := range re.Groups {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", gr.Group, gr.Requests, gr.Whole, gr.Partial, gr.Refused, gr.Failed, gr.Silent, gr.Late, millis(gr.P50Micros), millis(gr.P99Micros))
	}
	fmt.Fprintf(tw, "\narrived %d, beyond the first %d, extra load %.2f %%; not sent %d, sent late p99 %.1f ms\n\n", re.Arrived, re.Extra, 100*re.ExtraLoad, re.Dropped, millis(re.SentLateP99Micros))
	fmt.Fprintln(tw, "fault\tdrawn\tplayed\t")
	for _, fc := range re.Faults {
		fmt.Fprintf(tw, "%s\t%d\t%d\t\n", fc.Kind, fc.Drawn, fc.Played)
	}
	fmt.Fprintln(tw, "\ncheck\tlooked at\tbroken\t")
	for _, ta := range re.Checks {
		fmt.Fprintf(tw, "%s\t%d\t%d\t\n", ta.Check, ta.Looked, ta.Broken)
	}
	for _, st := range re.Problems {
		fmt.Fprintf(tw, "not injected completely: %s\n", st)
	}
	for _, vi := range re.Breaches {
		fmt.Fprintf(tw, "violation, seed %d: %v\n", re.Seed, vi)
	}
	return tw.Flush()
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
