package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamwinch.example/fanout"
)

// AllGroups is the group of a Line that sums the groups of an arm and phase.
const AllGroups = "all"

// Report is the result of an experiment.
type Report struct {
	Experiment string
	Seed       uint64
	Started    time.Time
	Machine    Machine
	Lines      []Line
	Ratios     []Ratio
	Promises   Promises
	Breaches   []Breach `json:",omitempty"` // the first few, as examples
	Losses     []string `json:",omitempty"` // the first few queries without an answer, as examples
	Dropped    int      // queries that were due but not sent; above 0 the run is not valid
	Skipped    []string `json:",omitempty"` // faults that could not be injected
}

// Machine describes the machine of a run.
type Machine struct {
	Processors int
	GoVersion  string
	// Load average of the machine over one minute when the run began; 0 if unknown.
	LoadBefore float64
}

// Line is the result of one group, arm and phase. Latencies count from the intended time of a
// query.
type Line struct {
	Phase string
	Arm   string
	Group string

	Queries   int     // calls that were due
	Offered   float64 // queries per second under load
	Capacity  float64 `json:",omitempty"` // queries per second that the slots can process, computed from the mean service time
	Useful    float64 // useful answers per second: in time, and complete or covering enough shards
	Late      int     // answers after deadline and grace
	Lost      int     // queries without any answer
	Attempts  int     // attempts of all queries
	P50Micros int64
	P99Micros int64
	// Not meaningful if Queries is below some thousands.
	P999Micros int64
	MaxMicros  int64
	// Lowest and highest p99 of a block.
	P99LowMicros  int64
	P99HighMicros int64
	LagP99Micros  int64 // p99 of the delay between due time and sending

	Coverage         float64               // fraction of the requested shards that were covered, without refused queries
	Missing          map[fanout.Reason]int `json:",omitempty"` // missing shards by reason
	Codes            map[string]int        // queries by result code
	Refused          int
	RefusalP99Micros int64

	LeafRequests int // leaf requests stated by the answers
	Hedges       int
	Retries      int
	Restarts     int
	ExtraLoad    float64 // extra leaf requests stated by the answers, as a fraction of the shards requested

	LeafSeen      int     // leaf requests counted by the backend servers
	LeafExtraLoad float64 // extra load by the backend servers' count, which includes leaf requests of lost answers
	Sheds         int     // leaf requests that were shed
	ShedShare     float64
	OverLimit     int // connections that backend servers refused because of their limit

	Breaches map[BreachKind]int `json:",omitempty"`
}

// Promises counts, over the whole run, events that must never happen.
type Promises struct {
	MixedAnswers  int
	WrongAnswers  int
	FalseCoverage int
	Keys          int // non-repeatable queries
	Ran           int // keys that a backend server began to run
	RanTwice      int // keys that one shard ran more than once
	NotRunRan     int // keys that ran although the caller's final result was "not run"
	OverLimit     int
}

// Kept reports whether no promise was broken.
func (pr Promises) Kept() bool {
	return pr.MixedAnswers+pr.WrongAnswers+pr.FalseCoverage+pr.RanTwice+pr.NotRunRan+pr.OverLimit == 0
}

// Ratio compares two lines.
type Ratio struct {
	Phase string
	Group string
	// Of and To are the compared arms, or the compared phases if Arm is set.
	Arm  string `json:",omitempty"`
	Of   string
	To   string
	P50  float64
	P99  float64
	P999 float64
	// Coverage and Useful are differences in their own unit.
	Coverage float64
	Useful   float64
}

// line returns the line of a cell. The counts are those of the backend servers while the cell
// was loaded.
func (ce *cell) line(phase, arm, group string, sc serverCounts) Line {
	ce.mu.Lock()
	defer ce.mu.Unlock()
	asked := ce.cost.LeafRequests - ce.cost.Extra
	li := Line{
		Phase: phase, Arm: arm, Group: group,
		Queries: ce.calls, Late: ce.late, Lost: ce.lost, Attempts: ce.attempts,
		P50Micros:        ce.answered.ValueAtQuantile(50),
		P99Micros:        ce.answered.ValueAtQuantile(99),
		P999Micros:       ce.answered.ValueAtQuantile(99.9),
		MaxMicros:        ce.answered.Max(),
		LagP99Micros:     ce.lag.ValueAtQuantile(99),
		Coverage:         fraction(ce.shardsCovered, ce.shardsAsked),
		Missing:          ce.reasons,
		Codes:            make(map[string]int),
		Refused:          int(ce.refused.TotalCount()),
		RefusalP99Micros: ce.refused.ValueAtQuantile(99),
		LeafRequests:     ce.cost.LeafRequests,
		Hedges:           ce.cost.Hedges,
		Retries:          ce.cost.Retries,
		Restarts:         ce.cost.Restarts,
		ExtraLoad:        fraction(ce.cost.Extra, asked),
		LeafSeen:         sc.requests,
		LeafExtraLoad:    fraction(sc.requests-asked, asked),
		Sheds:            sc.sheds,
		ShedShare:        fraction(sc.sheds, sc.requests),
		OverLimit:        sc.overLimit,
		Breaches:         ce.breaches,
	}
	for code, nu := range ce.codes {
		li.Codes[code.String()] = nu
	}
	if se := ce.loadTime.Seconds(); se > 0 {
		li.Offered = float64(ce.calls) / se
		li.Useful = float64(ce.useful) / se
	}
	li.P99LowMicros, li.P99HighMicros = p99Range(ce.blocks)
	return li
}

func p99Range(blocks map[int]*hdrhistogram.Histogram) (low, high int64) {
	for _, hi := range blocks {
		va := hi.ValueAtQuantile(99)
		if low == 0 || va < low {
			low = va
		}
		high = max(high, va)
	}
	return low, high
}

func fraction(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// ratio returns of divided by to, or 0 if to is 0.
func ratio(of, to int64) float64 {
	if to == 0 {
		return 0
	}
	return float64(of) / float64(to)
}

func compare(of, to Line) Ratio {
	return Ratio{
		Phase:    of.Phase,
		Group:    of.Group,
		P50:      ratio(of.P50Micros, to.P50Micros),
		P99:      ratio(of.P99Micros, to.P99Micros),
		P999:     ratio(of.P999Micros, to.P999Micros),
		Coverage: of.Coverage - to.Coverage,
		Useful:   of.Useful - to.Useful,
	}
}

// ratios compares the first arm with each other arm, and each arm with itself in the reference
// phase.
func (ex Experiment) ratios(lines []Line) []Ratio {
	find := func(phase, arm, group string) (Line, bool) {
		for _, li := range lines {
			if li.Phase == phase && li.Arm == arm && li.Group == group {
				return li, true
			}
		}
		return Line{}, false
	}
	var ras []Ratio
	for _, li := range lines {
		if first := ex.Arms[0].Name; li.Arm != first {
			if of, ok := find(li.Phase, first, li.Group); ok {
				ra := compare(of, li)
				ra.Of, ra.To = first, li.Arm
				ras = append(ras, ra)
			}
		}
		if re := ex.referencePhase(); re != "" && li.Phase != re {
			if to, ok := find(re, li.Arm, li.Group); ok {
				ra := compare(li, to)
				ra.Arm, ra.Of, ra.To = li.Arm, li.Phase, re
				ras = append(ras, ra)
			}
		}
	}
	return ras
}

func (ex Experiment) referencePhase() string {
	for _, ph := range ex.Phases {
		if ph.Reference {
			return ph.Name
		}
	}
	return ""
}
