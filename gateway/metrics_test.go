package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/result"
	"balsamwinch.example/route"
	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

// series returns the lines of the metrics that start with one of the prefixes and are not
// 0.
func series(sv *Server, prefixes ...string) []string {
	var bu bytes.Buffer
	sv.WriteMetrics(&bu)
	var out []string
	for _, li := range strings.Split(bu.String(), "\n") {
		if slices.ContainsFunc(prefixes, func(pr string) bool { return strings.HasPrefix(li, pr) }) && !strings.HasSuffix(li, " 0") {
			out = append(out, li)
		}
	}
	return out
}

func TestRequestMetrics(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.send(t.Context())
		lr.setRoute(route.Route{Shards: []string{"s-1", "s-2"}, TargetLatency: 60 * time.Millisecond, Merge: route.Merge{TopK: 5, RecordBytes: 16, LeastShare: 0.5}})
		lr.serve("s-1", "i-1", respondRecord)
		lr.send(t.Context())
		qt.Assert(t, series(lr.sv, "balsamwinch_requests_", "balsamwinch_attempts_total", "balsamwinch_parts", "balsamwinch_configuration", "balsamwinch_backend", "balsamwinch_entry"),
			qt.DeepEquals, []string{
				`balsamwinch_attempts_total{service="s-1",kind="First"} 1`,
				`balsamwinch_backend_servers 1`,
				`balsamwinch_configuration_version 7`,
				`balsamwinch_entry_instances 1`,
				`balsamwinch_parts_missing_total{service="s-2"} 1`,
				`balsamwinch_requests_partial_total{route="quotes"} 1`,
				`balsamwinch_requests_total{route="none",status="503"} 1`,
				`balsamwinch_requests_total{route="quotes",status="2xx"} 1`,
			})
		qt.Assert(t, series(lr.sv, `balsamwinch_request_seconds_count{route="quotes"}`), qt.HasLen, 1)
	})
}

// The end of an attempt is counted when the attempt ends; for an abandoned one, that is
// after the answer.
func TestAttemptMetrics(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget(), Kind: route.NotRepeatable})
		lr.serve("desk", "i-1", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(500) })
		lr.send(t.Context())
		qt.Assert(t, series(lr.sv, "balsamwinch_attempts_ended"), qt.DeepEquals, []string{`balsamwinch_attempts_ended_total{service="desk",end="Failed"} 1`})
	})
}

func TestEndLabel(t *testing.T) {
	free := context.Background()
	superseded, cancel := context.WithCancelCause(free)
	cancel(upstream.ErrSuperseded)
	left, leave := context.WithCancel(free)
	leave()
	tests := []struct {
		ctx  context.Context
		rs   upstream.Result
		want string
	}{
		{free, upstream.Result{Outcome: upstream.Answered, Reply: &upstream.Reply{Status: 200}}, "Answered"},
		{free, upstream.Result{Outcome: upstream.Answered, Reply: &upstream.Reply{Status: 503}}, "Failed"},
		{free, upstream.Result{Outcome: upstream.NotRun}, "NotRun"},
		{free, upstream.Result{Outcome: upstream.NotRun, Misdirected: true}, "Moved"},
		{free, upstream.Result{Outcome: upstream.NotSent}, "NotSent"},
		{free, upstream.Result{Outcome: upstream.Lost}, "Lost"},
		{free, upstream.Result{Outcome: upstream.Wrong}, "Wrong"},
		{free, upstream.Result{Outcome: upstream.TimedOut}, "TimedOut"},
		{superseded, upstream.Result{Outcome: upstream.Canceled}, "Superseded"},
		{left, upstream.Result{Outcome: upstream.Canceled}, "Canceled"},
		{free, upstream.Result{Outcome: upstream.NoConnection}, "NoConnection"},
	}
	for _, tt := range tests {
		qt.Check(t, endLabel(endIndex(tt.ctx, tt.rs)), qt.Equals, tt.want)
	}
}

func TestStatusClass(t *testing.T) {
	tests := map[int]string{
		200: "2xx", 204: "2xx", 304: "3xx", 404: "4xx", 499: "499", 500: "5xx", 501: "5xx", 502: "502", 503: "503", 504: "504", 505: "5xx",
	}
	for status, want := range tests {
		qt.Check(t, statusClasses[statusClass(status)], qt.Equals, want, qt.Commentf("%d", status))
	}
}

// Operators choose the names of routes. A name with a quote or a line break would make the
// metrics page unreadable, and the metrics library ends the process for it.
func TestSanitizeLabel(t *testing.T) {
	tests := []struct{ name, want string }{
		{"", noLabel},
		{"quotes", "quotes"},
		{"quotes of today/1", "quotes of today/1"},
		{`a"} 1`, "a__ 1"},
		{"a\nb\\c{d}", "a_b_c_d_"},
		{"größe", "gr__e"},
		{strings.Repeat("x", 200), strings.Repeat("x", maxLabelBytes)},
	}
	lr := newLogRig(t)
	for _, tt := range tests {
		qt.Check(t, sanitizeLabel(tt.name), qt.Equals, tt.want)
		lr.sv.metrics.route(tt.name).countStatus(0)
		lr.sv.metrics.service(tt.name).countEnd(0)
	}
	qt.Assert(t, series(lr.sv, "balsamwinch_requests_total"), qt.HasLen, len(tests))
}

// Configurations with hundreds of routes, each time with other names, must not make the
// metrics page and the memory grow without bound.
func TestMetricLabelsAreBounded(t *testing.T) {
	lr := newLogRig(t)
	for number := range 3 * maxLabels {
		lr.sv.metrics.route(fmt.Sprint("r-", number)).countStatus(0)
		lr.sv.metrics.service(fmt.Sprint("s-", number)).countEnd(0)
	}
	qt.Assert(t, *lr.sv.metrics.routes.Load(), qt.HasLen, maxLabels+1)
	qt.Assert(t, *lr.sv.metrics.services.Load(), qt.HasLen, maxLabels+1)
	qt.Assert(t, series(lr.sv, `balsamwinch_requests_total{route="other"`), qt.DeepEquals,
		[]string{fmt.Sprintf(`balsamwinch_requests_total{route="other",status="2xx"} %d`, 2*maxLabels)})
	qt.Assert(t, series(lr.sv, `balsamwinch_attempts_ended_total{service="other"`), qt.DeepEquals,
		[]string{fmt.Sprintf(`balsamwinch_attempts_ended_total{service="other",end="Answered"} %d`, 2*maxLabels)})
}

// Each request updates about thirty counters, which must not allocate.
func TestMetricsDoNotAllocate(t *testing.T) {
	lr := newLogRig(t)
	ca := &call{sv: lr.sv, ro: &route.Route{Name: "quotes"}, status: 200, code: result.Complete}
	rs := upstream.Result{Outcome: upstream.Answered, Reply: &upstream.Reply{Status: 200}}
	ctx := t.Context()
	qt.Assert(t, testing.AllocsPerRun(100, func() {
		lr.sv.metrics.countRequest(ca, time.Millisecond, false)
		lr.sv.metrics.countAttempt("desk", scatter.First)
		lr.sv.metrics.countAttemptEnd(ctx, "desk", rs)
	}), qt.Equals, 0.0)
}
