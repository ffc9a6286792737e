package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamwinch.example/fanout"
)

// All is the group of a Line that sums the groups of an arm and phase.
const AllGroups = "all"

// Report is what a run of an experiment measured.
type Report struct {
	Experiment string
	Seed       uint64
	Started    time.Time
	Machine    Machine
	Lines      []Line
	Ratios     []Ratio
	Promises   Promises
	Breaches   []Breach `json:",omitempty"` // Breaches are the first few, as examples.
	Losses     []string `json:",omitempty"` // Losses are the first few queries without an answer, as examples.
	Dropped    int      // Dropped counts queries that were due but not sent; above 0 the run is not valid.
	Skipped    []string `json:",omitempty"` // Skipped names the faults that the tier could not bring about.
}

// Machine is where a run was measured.
type Machine struct {
	Processors int
	GoVersion  string
	// LoadBefore is the machine's load average of one minute when the run began;
	// 0 where it is not known.
	LoadBefore float64
}

// Line is what was measured of one group, arm and phase. Times count from the
// intended start of a query.
type Line struct {
	Phase string
	Arm   string
	Group string

	Queries   int     // Queries counts the calls that were due.
	Offered   float64 // Offered is Queries a second under load.
	Capacity  float64 `json:",omitempty"` // Capacity is the queries a second that the slots can carry, worked out.
	Useful    float64 // Useful is the useful answers a second: in time, and complete or a part that is large enough.
	Late      int     // Late counts answers behind deadline and grace.
	Lost      int     // Lost counts queries without any answer.
	Attempts  int     // Attempts counts the sendings of all queries.
	P50Micros int64
	P99Micros int64
	// P999Micros says little if Queries is below some thousands.
	P999Micros int64
	MaxMicros  int64
	// P99LowMicros and P99HighMicros are the lowest and highest p99 of a turn.
	P99LowMicros  int64
	P99HighMicros int64
	LagP99Micros  int64 // LagP99Micros is how late queries were sent.

	Coverage         float64               // Coverage is the share of the shards asked for that were covered, refusals left out.
	Missing          map[fanout.Reason]int `json:",omitempty"` // Missing counts the shards missing by reason.
	Codes            map[string]int        // Codes counts the queries by result code.
	Refused          int
	RefusalP99Micros int64

	LeafRequests int // LeafRequests is the sum of what the answers state.
	Hedges       int
	Retries      int
	Restarts     int
	ExtraLoad    float64 // ExtraLoad is the extra leaf requests by the answers, as a share of the shards asked.

	LeafSeen      int     // LeafSeen is how many leaf requests the backend servers counted.
	LeafExtraLoad float64 // LeafExtraLoad is the extra load from their count; leaf requests of lost answers are in it.
	Sheds         int     // Sheds counts the leaf requests that were shed.
	ShedShare     float64
	OverLimit     int // OverLimit counts the connections that backend servers refused as beyond their limit.

	Breaches map[BreachKind]int `json:",omitempty"`
}

// Promises sums what must never happen over the whole run.
type Promises struct {
	MixedAnswers  int
	WrongAnswers  int
	FalseCoverage int
	Keys          int // Keys counts the not-repeatable queries.
	Ran           int // Ran counts the keys that some backend server began.
	RanTwice      int // RanTwice counts the keys that one shard ran more than once.
	NotRunRan     int // NotRunRan counts the keys whose last word was "not run" and that ran.
	OverLimit     int
}

// Kept reports whether nothing happened that must never happen.
func (pr Promises) Kept() bool {
	return pr.MixedAnswers+pr.WrongAnswers+pr.FalseCoverage+pr.RanTwice+pr.NotRunRan+pr.OverLimit == 0
}

// Ratio compares two lines.
type Ratio struct {
	Phase string
	Group string
	// Of and To name the arms that are compared, or the phases if Arm is set.
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

// line returns the line of a cell. The counts are what the backend servers
// counted while it was loaded.
func (ce *cell) line(phase, arm, group string, ba bill) Line {
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
		Coverage:         share(ce.covered, ce.asked),
		Missing:          ce.reasons,
		Codes:            make(map[string]int),
		Refused:          int(ce.refused.TotalCount()),
		RefusalP99Micros: ce.refused.ValueAtQuantile(99),
		LeafRequests:     ce.cost.LeafRequests,
		Hedges:           ce.cost.Hedges,
		Retries:          ce.cost.Retries,
		Restarts:         ce.cost.Restarts,
		ExtraLoad:        share(ce.cost.Extra, asked),
		LeafSeen:         ba.requests,
		LeafExtraLoad:    share(ba.requests-asked, asked),
		Sheds:            ba.sheds,
		ShedShare:        share(ba.sheds, ba.requests),
		OverLimit:        ba.overLimit,
		Breaches:         ce.breaches,
	}
	for code, nu := range ce.codes {
		li.Codes[code.String()] = nu
	}
	if se := ce.loaded.Seconds(); se > 0 {
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

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// ratio returns of divided by to; 0 if to is 0.
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

// ratios compares the first arm with each other arm, and each arm with itself
// in the reference phase.
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
		if re := ex.reference(); re != "" && li.Phase != re {
			if to, ok := find(re, li.Arm, li.Group); ok {
				ra := compare(li, to)
				ra.Arm, ra.Of, ra.To = li.Arm, li.Phase, re
				ras = append(ras, ra)
			}
		}
	}
	return ras
}

func (ex Experiment) reference() string {
	for _, ph := range ex.Phases {
		if ph.Reference {
			return ph.Name
		}
	}
	return ""
}
