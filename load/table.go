package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteTable writes the report for people.
func (re Report) WriteTable(wr io.Writer) error {
	pr := printer{wr: wr}
	pr.printf("experiment %s, seed %d, %s\n", re.Experiment, re.Seed, re.Started.UTC().Format(time.RFC3339))
	pr.printf("machine: %d processors, %s, load average %.2f before\n", re.Machine.Processors, re.Machine.GoVersion, re.Machine.LoadBefore)
	pr.printf("times in milliseconds from the intended start; p99 low and high are those of single turns\n")
	re.writeLines(&pr)
	re.writeRatios(&pr)
	re.writePromises(&pr)
	return pr.err
}

// table writes rows with aligned columns.
func table(pr *printer, header string, rows func(add func(cols ...string))) {
	if pr.err != nil {
		return
	}
	pr.printf("\n")
	tw := tabwriter.NewWriter(pr.wr, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, header+"\t")
	rows(func(cols ...string) {
		fmt.Fprintln(tw, strings.Join(cols, "\t")+"\t")
	})
	if err := tw.Flush(); pr.err == nil {
		pr.err = err
	}
}

func (re Report) writeLines(pr *printer) {
	table(pr, "phase\tgroup\tarm\tqueries\toffered/s\tuseful/s\tp50\tp99\tlow\thigh\tp99.9\tmax\tcoverage\tlate\tlost\trefused\tp99", func(add func(cols ...string)) {
		for _, li := range re.Lines {
			add(li.Phase, li.Group, li.Arm, whole(li.Queries), rate(li.Offered), rate(li.Useful),
				millis(li.P50Micros), millis(li.P99Micros), millis(li.P99LowMicros), millis(li.P99HighMicros),
				millis(li.P999Micros), millis(li.MaxMicros), percent(li.Coverage), whole(li.Late), whole(li.Lost),
				whole(li.Refused), millis(li.RefusalP99Micros))
		}
	})
	table(pr, "phase\tgroup\tarm\tleaf requests\thedges\tretries\trestarts\textra load\tseen by leafs\textra load\tshed\tover limit\tsent late p99\tcodes, missing", func(add func(cols ...string)) {
		for _, li := range re.Lines {
			add(li.Phase, li.Group, li.Arm, whole(li.LeafRequests), whole(li.Hedges), whole(li.Retries), whole(li.Restarts),
				percent(li.ExtraLoad), whole(li.LeafSeen), percent(li.LeafExtraLoad), percent(li.ShedShare),
				whole(li.OverLimit), millis(li.LagP99Micros), counted(li.Codes)+counted(li.Missing))
		}
	})
	re.writeCapacity(pr)
}

func (re Report) writeCapacity(pr *printer) {
	for _, li := range re.Lines {
		if li.Capacity > 0 {
			pr.printf("\n%s, %s, %s: offered %.2f times and useful %.2f times the %.0f queries a second that its slots can carry\n",
				li.Phase, li.Group, li.Arm, li.Offered/li.Capacity, li.Useful/li.Capacity, li.Capacity)
		}
	}
}

func (re Report) writeRatios(pr *printer) {
	table(pr, "phase\tgroup\tratio\tp50\tp99\tp99.9\tcoverage\tuseful/s", func(add func(cols ...string)) {
		for _, ra := range re.Ratios {
			add(ra.Phase, ra.Group, ra.name(), times(ra.P50), times(ra.P99), times(ra.P999),
				fmt.Sprintf("%+.2f%%", 100*ra.Coverage), fmt.Sprintf("%+.1f", ra.Useful))
		}
	})
}

func (ra Ratio) name() string {
	if ra.Arm != "" {
		return fmt.Sprintf("%s: %s/%s", ra.Arm, ra.Of, ra.To)
	}
	return ra.Of + "/" + ra.To
}

func (re Report) writePromises(pr *printer) {
	po := re.Promises
	pr.printf("\nmixed answers %d, wrong answers %d, false coverage %d, connections over a limit %d\n",
		po.MixedAnswers, po.WrongAnswers, po.FalseCoverage, po.OverLimit)
	pr.printf("not-repeatable queries %d: ran twice %d, \"not run\" that ran %d\n", po.Keys, po.RanTwice, po.NotRunRan)
	for _, br := range re.Breaches {
		pr.printf("broken promise: %s, request %s: %s\n", br.Kind, br.RequestID, br.Detail)
	}
	for _, sk := range re.Skipped {
		pr.printf("fault not brought about: %s\n", sk)
	}
	if re.Dropped > 0 {
		pr.printf("%d queries were due and not sent: this run is not valid\n", re.Dropped)
	}
}

func whole(nu int) string       { return fmt.Sprint(nu) }
func rate(ra float64) string    { return fmt.Sprintf("%.1f", ra) }
func times(ra float64) string   { return fmt.Sprintf("%.2f", ra) }
func millis(mi int64) string    { return fmt.Sprintf("%.2f", float64(mi)/1000) }
func percent(sh float64) string { return fmt.Sprintf("%.2f%%", 100*sh) }

// counted lists counts in the order of their names, without the complete ones.
func counted[K ~string](co map[K]int) string {
	st := ""
	for _, ke := range slices.Sorted(maps.Keys(co)) {
		if ke != "Complete" {
			st += fmt.Sprintf(" %s:%d", ke, co[ke])
		}
	}
	return st
}
