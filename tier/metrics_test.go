package tier_test

import (
	"flag"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/tier"
	"balsamwinch.example/timer"
	"balsamwinch.example/trail"
)

const (
	// page is the operations manual.
	page = "../docs/OPERATIONS.md"
	// metricsHeading is the heading of its list of metrics.
	metricsHeading = "### Read the metrics\n"
)

var (
	sample         = regexp.MustCompile(`^(balsamwinch_\w+)(?:\{(.*)\})? `)
	label          = regexp.MustCompile(`(\w+)="[^"]*"`)
	documentedName = regexp.MustCompile("`(balsamwinch_[^`]+)`")
	tableKinds     = map[string]string{"| Metric of an entry instance ": "entry", "| Metric of a control instance ": "control", "| Metric of both ": "both"}
)

// metricNames returns the names of the metrics in the text format, with the names of
// their labels. A histogram counts as one metric.
func metricNames(text string) []string {
	names, histograms := map[string]bool{}, []string{}
	for li := range strings.Lines(text) {
		parts := sample.FindStringSubmatch(li)
		if parts == nil {
			continue
		}
		var labels []string
		for _, la := range label.FindAllStringSubmatch(parts[2], -1) {
			if la[1] == "le" {
				parts[1] = strings.TrimSuffix(parts[1], "_bucket")
				histograms = append(histograms, parts[1])
				continue
			}
			labels = append(labels, la[1])
		}
		names[withLabels(parts[1], labels)] = true
	}
	var out []string
	for na := range names {
		base, _, _ := strings.Cut(na, "{")
		count, isCount := strings.CutSuffix(base, "_count")
		sum, isSum := strings.CutSuffix(base, "_sum")
		if isCount && slices.Contains(histograms, count) || isSum && slices.Contains(histograms, sum) {
			continue
		}
		out = append(out, na)
	}
	slices.Sort(out)
	return out
}

func withLabels(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	return name + "{" + strings.Join(labels, ",") + "}"
}

// exposedMetrics returns the names of the metrics that running instances expose.
func exposedMetrics(t *testing.T) (entry, control []string) {
	cl := newCluster(t, 1, 1, func(in *instance) {
		in.se.Losses = 0
		lg, wr := trail.New(io.Discard, trail.Config{}, timer.New())
		in.lg, in.mws = lg, []tier.MetricsWriter{wr.WriteMetrics}
	})
	for _, service := range []string{"s1", "p1", "p2", "p3"} {
		cl.startServers(service, 1)
	}
	cl.configure(config(3, "s1", "/first/"), cl.controls...)
	cl.awaitInForce(cl.entries[0], "s1", "/first/a", "")
	names := func(in *instance) []string {
		status, text := cl.call(http.MethodGet, in.se.Metrics, tier.MetricsPath, nil)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		return metricNames(string(text))
	}
	return names(cl.entries[0]), names(cl.controls[0])
}

// documentedMetrics returns the metrics that the page lists, and its whole text about the
// routed tier.
func documentedMetrics(t *testing.T) (listed map[string][]string, text string) {
	data, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	_, text, _ = strings.Cut(string(data), "## The routed tier on the users' machines\n")
	text, _, _ = strings.Cut(text, "\n## Metrics\n")
	_, list, ok := strings.Cut(text, metricsHeading)
	qt.Assert(t, ok, qt.IsTrue)
	list, _, _ = strings.Cut(list, "\n### ")
	listed = make(map[string][]string)
	kind := ""
	for li := range strings.Lines(list) {
		if !strings.HasPrefix(li, "|") {
			kind = ""
			continue
		}
		for heading, ki := range tableKinds {
			if strings.HasPrefix(li, heading) {
				kind = ki
			}
		}
		first := strings.SplitN(li, "|", 3)[1]
		for _, na := range documentedName.FindAllStringSubmatch(first, -1) {
			listed[kind] = append(listed[kind], na[1])
		}
	}
	return listed, text
}

// Guards against a page that names a metric which no instance exposes, or lacks one that
// would have helped. The golden files hold all metrics that instances expose; the page
// must list exactly these and name no others.
func TestMetricNamesMatchOperationsPage(t *testing.T) {
	entry, control := exposedMetrics(t)
	goldenNames(t, "entry", entry)
	goldenNames(t, "control", control)
	listed, text := documentedMetrics(t)
	qt.Assert(t, slices.Sorted(slices.Values(slices.Concat(listed["entry"], listed["both"]))), qt.DeepEquals, entry)
	qt.Assert(t, slices.Sorted(slices.Values(slices.Concat(listed["control"], listed["both"]))), qt.DeepEquals, control)
	all := strings.Join(slices.Concat(entry, control), " ") + " "
	for _, na := range documentedName.FindAllStringSubmatch(text, -1) {
		qt.Check(t, strings.Contains(all, na[1]+" ") || strings.Contains(all, na[1]+"{"), qt.IsTrue, qt.Commentf("%s", na[1]))
	}
}

// goldenNames compares names with a golden file, and rewrites the file if the flag
// -update is set.
func goldenNames(t *testing.T, name string, names []string) {
	t.Helper()
	path, got := "testdata/metrics/"+name+".golden", strings.Join(names, "\n")+"\n"
	if flag.Lookup("update").Value.String() == "true" {
		qt.Assert(t, os.MkdirAll("testdata/metrics", 0o755), qt.IsNil)
		qt.Assert(t, os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}
