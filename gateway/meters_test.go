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

// series returns the lines of the metrics that begin with a prefix and aren't 0.
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

func TestMetersOfRequests(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.ask(t.Context())
		lo.configure(route.Route{Shards: []string{"s-1", "s-2"}, Aim: 60 * time.Millisecond, Merge: route.Merge{TopK: 5, RecordBytes: 16, LeastShare: 0.5}})
		lo.serve("s-1", "i-1", good)
		lo.ask(t.Context())
		qt.Assert(t, series(lo.sv, "balsamwinch_requests_", "balsamwinch_attempts_total", "balsamwinch_parts", "balsamwinch_configuration", "balsamwinch_backend", "balsamwinch_entry"),
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
		qt.Assert(t, series(lo.sv, `balsamwinch_request_seconds_count{route="quotes"}`), qt.HasLen, 1)
	})
}

// The end of an attempt is counted where it ends, which for one that was given up
// is after the answer.
func TestMetersOfAttempts(t *testing.T) {
	onLogged(t, func(t *testing.T, lo *logged) {
		lo.configure(route.Route{Targets: plain(), Kind: route.NotRepeatable})
		lo.serve("desk", "i-1", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(500) })
		lo.ask(t.Context())
		qt.Assert(t, series(lo.sv, "balsamwinch_attempts_ended"), qt.DeepEquals, []string{`balsamwinch_attempts_ended_total{service="desk",end="Failed"} 1`})
	})
}

func TestEndLabel(t *testing.T) {
	free := context.Background()
	over, cancel := context.WithCancelCause(free)
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
		{over, upstream.Result{Outcome: upstream.Canceled}, "Superseded"},
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

// Operators name routes. A name with a quote or a line break would make the page
// unreadable, and the library ends the process for it.
func TestLabelOf(t *testing.T) {
	tests := []struct{ name, want string }{
		{"", noLabel},
		{"quotes", "quotes"},
		{"quotes of today/1", "quotes of today/1"},
		{`a"} 1`, "a__ 1"},
		{"a\nb\\c{d}", "a_b_c_d_"},
		{"größe", "gr__e"},
		{strings.Repeat("x", 200), strings.Repeat("x", mostLabelBytes)},
	}
	lo := newLogged(t)
	for _, tt := range tests {
		qt.Check(t, labelOf(tt.name), qt.Equals, tt.want)
		lo.sv.mt.route(tt.name).count(0)
		lo.sv.mt.service(tt.name).end(0)
	}
	qt.Assert(t, series(lo.sv, "balsamwinch_requests_total"), qt.HasLen, len(tests))
}

// A configuration with hundreds of routes comes again and again with other names.
// The page and the memory must not grow with every one.
func TestMetersAreBounded(t *testing.T) {
	lo := newLogged(t)
	for number := range 3 * mostLabels {
		lo.sv.mt.route(fmt.Sprint("r-", number)).count(0)
		lo.sv.mt.service(fmt.Sprint("s-", number)).end(0)
	}
	qt.Assert(t, *lo.sv.mt.routes.Load(), qt.HasLen, mostLabels+1)
	qt.Assert(t, *lo.sv.mt.services.Load(), qt.HasLen, mostLabels+1)
	qt.Assert(t, series(lo.sv, `balsamwinch_requests_total{route="other"`), qt.DeepEquals,
		[]string{fmt.Sprintf(`balsamwinch_requests_total{route="other",status="2xx"} %d`, 2*mostLabels)})
	qt.Assert(t, series(lo.sv, `balsamwinch_attempts_ended_total{service="other"`), qt.DeepEquals,
		[]string{fmt.Sprintf(`balsamwinch_attempts_ended_total{service="other",end="Answered"} %d`, 2*mostLabels)})
}

// Each request is counted some thirty times; that must cost it nothing to speak of.
func TestMetersAllocateNothing(t *testing.T) {
	lo := newLogged(t)
	ca := &call{sv: lo.sv, ro: &route.Route{Name: "quotes"}, status: 200, code: result.Complete}
	rs := upstream.Result{Outcome: upstream.Answered, Reply: &upstream.Reply{Status: 200}}
	ctx := t.Context()
	qt.Assert(t, testing.AllocsPerRun(100, func() {
		lo.sv.mt.request(ca, time.Millisecond, false)
		lo.sv.mt.began("desk", scatter.First)
		lo.sv.mt.ended(ctx, "desk", rs)
	}), qt.Equals, 0.0)
}
