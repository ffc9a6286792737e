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

// maxSendLag is the p99 of the delay between due time and sending above which the latencies of
// a line reflect the load of the machine more than the tier.
const maxSendLag = 10 * time.Millisecond

// WriteTable writes the report as text.
func (re Report) WriteTable(wr io.Writer) error {
	pr := printer{wr: wr}
	pr.printf("experiment %s, seed %d, %s\n", re.Experiment, re.Seed, re.Started.UTC().Format(time.RFC3339))
	pr.printf("machine: %d processors, %s, load average %.2f before\n", re.Machine.Processors, re.Machine.GoVersion, re.Machine.LoadBefore)
	pr.printf("times in milliseconds from the intended start; p99 low and high are those of single turns\n")
	re.writeLines(&pr)
	re.writeComparison(&pr)
	re.writePromises(&pr)
	return pr.err
}

// writeColumns writes rows with aligned columns.
func writeColumns(pr *printer, header string, rows func(add func(cols ...string))) {
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
	writeColumns(pr, "phase\tgroup\tarm\tqueries\toffered/s\tuseful/s\tp50\tp99\tlow\thigh\tp99.9\tmax\tcoverage\tlate\tlost\trefused\tp99", func(add func(cols ...string)) {
		for _, li := range re.Lines {
			add(li.Phase, li.Group, li.Arm, formatInt(li.Queries), formatRate(li.Offered), formatRate(li.Useful),
				formatMillis(li.P50Micros), formatMillis(li.P99Micros), formatMillis(li.P99LowMicros), formatMillis(li.P99HighMicros),
				formatMillis(li.P999Micros), formatMillis(li.MaxMicros), formatPercent(li.Coverage), formatInt(li.Late), formatInt(li.Lost),
				formatInt(li.Refused), formatMillis(li.RefusalP99Micros))
		}
	})
	writeColumns(pr, "phase\tgroup\tarm\tleaf requests\thedges\tretries\trestarts\textra load\tseen by leafs\textra load\tshed\tover limit\tsent late p99\tcodes, missing", func(add func(cols ...string)) {
		for _, li := range re.Lines {
			add(li.Phase, li.Group, li.Arm, formatInt(li.LeafRequests), formatInt(li.Hedges), formatInt(li.Retries), formatInt(li.Restarts),
				formatPercent(li.ExtraLoad), formatInt(li.LeafSeen), formatPercent(li.LeafExtraLoad), formatPercent(li.ShedShare),
				formatInt(li.OverLimit), formatMillis(li.LagP99Micros), formatCounts(li.Codes)+formatCounts(li.Missing))
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

// writeComparison writes a row for each phase and group that shows the arms side by side.
func (re Report) writeComparison(pr *printer) {
	arms := re.arms()
	header := "phase\tgroup"
	for _, what := range []string{"p99 %s", "%s to quiet", "coverage %s", "useful/s %s", "extra load %s"} {
		for _, ar := range arms {
			header += "\t" + fmt.Sprintf(what, ar)
		}
	}
	for _, ar := range arms[min(1, len(arms)):] {
		header += fmt.Sprintf("\tp99 %s/%s", arms[0], ar)
	}
	writeColumns(pr, header, func(add func(cols ...string)) {
		for _, li := range re.Lines {
			if li.Arm == arms[0] {
				add(re.comparisonRow(li.Phase, li.Group, arms)...)
			}
		}
	})
}

// arms returns the names of the arms in their order.
func (re Report) arms() []string {
	var arms []string
	for _, li := range re.Lines {
		if !slices.Contains(arms, li.Arm) {
			arms = append(arms, li.Arm)
		}
	}
	return arms
}

func (re Report) comparisonRow(phase, group string, arms []string) []string {
	var p99, toReference, coverage, useful, extra, ratios []string
	for _, ar := range arms {
		li := re.line(phase, ar, group)
		p99 = append(p99, formatMillis(li.P99Micros))
		toReference = append(toReference, re.ratio(func(ra Ratio) bool { return ra.Arm == ar && ra.Phase == phase && ra.Group == group }))
		coverage = append(coverage, formatPercent(li.Coverage))
		useful = append(useful, formatRate(li.Useful))
		extra = append(extra, formatPercent(li.ExtraLoad))
		if ar != arms[0] {
			ratios = append(ratios, re.ratio(func(ra Ratio) bool {
				return ra.Arm == "" && ra.To == ar && ra.Phase == phase && ra.Group == group
			}))
		}
	}
	return slices.Concat([]string{phase, group}, p99, toReference, coverage, useful, extra, ratios)
}

func (re Report) line(phase, arm, group string) Line {
	for _, li := range re.Lines {
		if li.Phase == phase && li.Arm == arm && li.Group == group {
			return li
		}
	}
	return Line{}
}

// ratio returns the p99 of the first ratio that satisfies the condition, or "-".
func (re Report) ratio(cond func(ra Ratio) bool) string {
	if ix := slices.IndexFunc(re.Ratios, cond); ix >= 0 {
		return formatRatio(re.Ratios[ix].P99)
	}
	return "-"
}

func (re Report) writePromises(pr *printer) {
	po := re.Promises
	pr.printf("\nmixed answers %d, wrong answers %d, false coverage %d, connections over a limit %d\n",
		po.MixedAnswers, po.WrongAnswers, po.FalseCoverage, po.OverLimit)
	pr.printf("not-repeatable queries %d: ran %d, ran twice %d, \"not run\" that ran %d\n", po.Keys, po.Ran, po.RanTwice, po.NotRunRan)
	re.writeLateSends(pr)
	for _, br := range re.Breaches {
		pr.printf("broken promise: %s, request %s: %s\n", br.Kind, br.RequestID, br.Detail)
	}
	for _, lo := range re.Losses {
		pr.printf("lost: %s\n", lo)
	}
	for _, sk := range re.Skipped {
		pr.printf("fault not injected: %s\n", sk)
	}
	if re.Dropped > 0 {
		pr.printf("%d queries were due and not sent: this run is not valid\n", re.Dropped)
	}
}

// writeLateSends names the phases and arms whose queries were sent late.
func (re Report) writeLateSends(pr *printer) {
	summed := slices.ContainsFunc(re.Lines, func(li Line) bool { return li.Group == AllGroups })
	for _, li := range re.Lines {
		if li.LagP99Micros <= maxSendLag.Microseconds() || summed && li.Group != AllGroups {
			continue
		}
		pr.printf("sent late: %s, %s by %s ms at p99; the machine was too busy for these latencies to be valid\n",
			li.Phase, li.Arm, formatMillis(li.LagP99Micros))
	}
}

func formatInt(nu int) string         { return fmt.Sprint(nu) }
func formatRate(ra float64) string    { return fmt.Sprintf("%.1f", ra) }
func formatRatio(ra float64) string   { return fmt.Sprintf("%.2f", ra) }
func formatMillis(mi int64) string    { return fmt.Sprintf("%.2f", float64(mi)/1000) }
func formatPercent(sh float64) string { return fmt.Sprintf("%.2f%%", 100*sh) }

// formatCounts lists counts in the order of their names, without Complete.
func formatCounts[K ~string](co map[K]int) string {
	st := ""
	for _, ke := range slices.Sorted(maps.Keys(co)) {
		if ke != "Complete" {
			st += fmt.Sprintf(" %s:%d", ke, co[ke])
		}
	}
	return st
}
