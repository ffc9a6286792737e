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

// Report is what a run found.
type Report struct {
	Soak       string
	Seed       uint64
	Started    time.Time
	Length     time.Duration
	Processors int
	Groups     []Group
	Arrived    int     // Arrived counts the first arrivals of requests at services.
	Extra      int     // Extra counts those beyond the first.
	ExtraLoad  float64 // ExtraLoad is Extra as a share of Arrived.
	Faults     []FaultCounts
	Problems   []string `json:",omitempty"` // Problems are faults that could not be played to their end.
	Checks     []Tally
	Breaches   []Violation `json:",omitempty"`
	Dropped    int         // Dropped counts requests that were due but not sent.
	// SentLateP99Micros is how late requests were sent: far above a millisecond, the
	// machine was too busy for times to say anything of the tier.
	SentLateP99Micros int64
}

// Played is how often a kind of fault was drawn and played.
type FaultCounts struct {
	Kind   Kind
	Drawn  int
	Played int
}

// Group is what became of the requests of one group. Times are those of answers
// with status 200, counted from the intended start of the request.
type Group struct {
	Group     string
	Requests  int
	Whole     int // Whole counts the answers that lack no part.
	Partial   int // Partial counts those that lack some.
	Refused   int // Refused counts the answers that say that nothing ran.
	Failed    int // Failed counts the answers with any other status.
	Silent    int // Silent counts the requests without an answer within their time.
	Late      int // Late counts those of Whole and Partial that came after the aim.
	P50Micros int64
	P99Micros int64
}

// Broken counts the breaches of all checks.
func (re Report) NumViolations() int {
	out := 0
	for _, ta := range re.Checks {
		out += ta.Broken
	}
	return out
}

// figures count what becomes of requests.
type figures struct {
	mu     sync.Mutex
	groups map[string]*Group
	times  map[string]*hdrhistogram.Histogram
	lag    *hdrhistogram.Histogram
}

const (
	mostMicros = int64(time.Minute / time.Microsecond)
	digits     = 3
)

func newFigures() *figures {
	fi := &figures{groups: make(map[string]*Group), times: make(map[string]*hdrhistogram.Histogram), lag: hdrhistogram.New(1, mostMicros, digits)}
	for _, gr := range groups {
		fi.groups[gr], fi.times[gr] = &Group{Group: gr}, hdrhistogram.New(1, mostMicros, digits)
	}
	return fi
}

// sent notes how late a request was sent.
func (fi *figures) sent(lag time.Duration) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	record(fi.lag, lag)
}

func record(hi *hdrhistogram.Histogram, took time.Duration) {
	_ = hi.RecordValue(min(mostMicros, max(1, took.Microseconds()))) // A value in range is no error.
}

// note counts what came of a request.
func (fi *figures) note(group string, an emulate.Response, err error, took, aim time.Duration) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	gr := fi.groups[group]
	gr.Requests++
	switch {
	case err != nil:
		gr.Silent++
		return
	case saysNotRun(an.Status):
		gr.Refused++
		return
	case an.Status != http.StatusOK:
		gr.Failed++
		return
	case an.Missing > 0:
		gr.Partial++
	default:
		gr.Whole++
	}
	if took > aim {
		gr.Late++
	}
	record(fi.times[group], took)
}

// report adds what was counted.
func (ru *runner) report(re *Report) {
	ru.st.mu.Lock()
	defer ru.st.mu.Unlock()
	for _, name := range groups {
		gr := *ru.st.groups[name]
		gr.P50Micros = ru.st.times[name].ValueAtQuantile(50)
		gr.P99Micros = ru.st.times[name].ValueAtQuantile(99)
		re.Groups = append(re.Groups, gr)
	}
	re.SentLateP99Micros = ru.st.lag.ValueAtQuantile(99)
	re.Arrived, re.Extra = ru.ju.ArrivalCounts()
	if re.Arrived > 0 {
		re.ExtraLoad = float64(re.Extra) / float64(re.Arrived)
	}
	drawn := count(DrawSchedule(ru.cf.Seed, ru.cf))
	for _, ki := range Kinds() {
		if drawn[ki] > 0 {
			re.Faults = append(re.Faults, FaultCounts{ki, drawn[ki], ru.pl.played[ki]})
		}
	}
	re.Problems, re.Checks, re.Breaches = ru.pl.problems, ru.ju.Tallies(), ru.ju.Violations()
}

// WriteTable writes the report for people.
func (re Report) WriteTable(wr io.Writer) error {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "soak %s, seed %d, %v, %s, GOMAXPROCS %d\n\n", re.Soak, re.Seed, re.Length, re.Started.UTC().Format(time.RFC3339), re.Processors)
	fmt.Fprintln(tw, "group\trequests\twhole\tpartial\trefused\tfailed\tsilent\tlate\tp50 ms\tp99 ms\t")
	for _, gr := range re.Groups {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", gr.Group, gr.Requests, gr.Whole, gr.Partial, gr.Refused, gr.Failed, gr.Silent, gr.Late, millis(gr.P50Micros), millis(gr.P99Micros))
	}
	fmt.Fprintf(tw, "\narrived %d, beyond the first %d, extra load %.2f %%; not sent %d, sent late p99 %.1f ms\n\n", re.Arrived, re.Extra, 100*re.ExtraLoad, re.Dropped, millis(re.SentLateP99Micros))
	fmt.Fprintln(tw, "fault\tdrawn\tplayed\t")
	for _, pl := range re.Faults {
		fmt.Fprintf(tw, "%s\t%d\t%d\t\n", pl.Kind, pl.Drawn, pl.Played)
	}
	fmt.Fprintln(tw, "\ncheck\tlooked at\tbroken\t")
	for _, ta := range re.Checks {
		fmt.Fprintf(tw, "%s\t%d\t%d\t\n", ta.Check, ta.Looked, ta.Broken)
	}
	for _, st := range re.Problems {
		fmt.Fprintf(tw, "not played to its end: %s\n", st)
	}
	for _, br := range re.Breaches {
		fmt.Fprintf(tw, "broken, seed %d: %v\n", re.Seed, br)
	}
	return tw.Flush()
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
