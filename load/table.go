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

// lateSend is the p99 of the lag behind the intended start from which the
// latencies of a line tell more of the machine than of the tier.
const lateSend = 10 * time.Millisecond

// WriteTable writes the report for people.
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

// writeComparison writes a line for each phase and group with the arms side by
// side.
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
	table(pr, header, func(add func(cols ...string)) {
		for _, li := range re.Lines {
			if li.Arm == arms[0] {
				add(re.compared(li.Phase, li.Group, arms)...)
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

func (re Report) compared(phase, group string, arms []string) []string {
	var p99, quiet, coverage, useful, extra, ratios []string
	for _, ar := range arms {
		li := re.line(phase, ar, group)
		p99 = append(p99, millis(li.P99Micros))
		quiet = append(quiet, re.ratio(func(ra Ratio) bool { return ra.Arm == ar && ra.Phase == phase && ra.Group == group }))
		coverage = append(coverage, percent(li.Coverage))
		useful = append(useful, rate(li.Useful))
		extra = append(extra, percent(li.ExtraLoad))
		if ar != arms[0] {
			ratios = append(ratios, re.ratio(func(ra Ratio) bool {
				return ra.Arm == "" && ra.To == ar && ra.Phase == phase && ra.Group == group
			}))
		}
	}
	return slices.Concat([]string{phase, group}, p99, quiet, coverage, useful, extra, ratios)
}

func (re Report) line(phase, arm, group string) Line {
	for _, li := range re.Lines {
		if li.Phase == phase && li.Arm == arm && li.Group == group {
			return li
		}
	}
	return Line{}
}

// ratio returns the ratio of the p99 that the condition selects.
func (re Report) ratio(cond func(ra Ratio) bool) string {
	if ix := slices.IndexFunc(re.Ratios, cond); ix >= 0 {
		return times(re.Ratios[ix].P99)
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
		pr.printf("fault not brought about: %s\n", sk)
	}
	if re.Dropped > 0 {
		pr.printf("%d queries were due and not sent: this run is not valid\n", re.Dropped)
	}
}

// writeLateSends names the phases and arms whose queries were sent late.
func (re Report) writeLateSends(pr *printer) {
	summed := slices.ContainsFunc(re.Lines, func(li Line) bool { return li.Group == AllGroups })
	for _, li := range re.Lines {
		if li.LagP99Micros <= lateSend.Microseconds() || summed && li.Group != AllGroups {
			continue
		}
		pr.printf("sent late: %s, %s by %s ms at p99; the machine was too busy for its latencies\n",
			li.Phase, li.Arm, millis(li.LagP99Micros))
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
