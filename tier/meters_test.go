package tier

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/feed"
	"balsamwinch.example/fleet"
	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

// nonZeroLines returns the lines with the prefix that the writer writes and whose value
// isn't 0.
func nonZeroLines(mw MetricsWriter, prefix string) []string {
	var bu bytes.Buffer
	mw(&bu)
	var out []string
	for _, li := range strings.Split(bu.String(), "\n") {
		if strings.HasPrefix(li, prefix) && !strings.HasSuffix(li, " 0") {
			out = append(out, li)
		}
	}
	return out
}

func TestMetricsHandler(t *testing.T) {
	ha := metricsHandler([]MetricsWriter{
		func(wr io.Writer) { _, _ = io.WriteString(wr, "one 1\n") },
		func(wr io.Writer) { _, _ = io.WriteString(wr, "two 2\n") },
	})
	tests := []struct {
		method, path string
		status       int
		body         string
	}{
		{"GET", MetricsPath, 200, "one 1\ntwo 2\n"},
		{"POST", MetricsPath, 405, "Method Not Allowed\n"},
		{"GET", "/", 404, "404 page not found\n"},
	}
	for _, tt := range tests {
		wr := httptest.NewRecorder()
		ha.ServeHTTP(wr, httptest.NewRequest(tt.method, tt.path, nil))
		qt.Check(t, wr.Code, qt.Equals, tt.status)
		qt.Check(t, wr.Body.String(), qt.Equals, tt.body)
	}
}

// Guards against an instance that doesn't start because another process has the port for
// metrics: it must serve callers, and log that its metrics aren't served.
func TestMetricsAddressTaken(t *testing.T) {
	li, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer li.Close()
	co, ob := observer.New(zapcore.InfoLevel)
	lg := zap.New(co)
	serveMetrics(newSupervisor("test", lg), li.Addr().String(), lg)
	qt.Assert(t, ob.FilterMessage("metrics-not-served").Len(), qt.Equals, 1)
	serveMetrics(newSupervisor("test", lg), "", lg)
	qt.Assert(t, ob.Len(), qt.Equals, 1)
}

func TestWriteProcessMetrics(t *testing.T) {
	start := time.Unix(1000, 0)
	mw := writeProcessMetrics(start, func() time.Time { return start.Add(90 * time.Second) })
	qt.Assert(t, nonZeroLines(mw, "balsamwinch_running_seconds"), qt.DeepEquals, []string{"balsamwinch_running_seconds 90"})
	for _, rm := range runtimeMetrics[:3] {
		qt.Check(t, nonZeroLines(mw, rm.exposed+" "), qt.HasLen, 1, qt.Commentf("%s", rm.exposed))
	}
}

// The metrics of a control instance before its group is formed.
func TestWriteGroupMetrics(t *testing.T) {
	ts, lg := timer.New(), zap.NewNop()
	nd := fleet.New(fleet.Config{Name: "control-1", Dir: t.TempDir()}, ts, lg, nil)
	pu := feed.NewPublisher(feed.PublisherConfig{Name: "control-1"}, ts, lg)
	qt.Assert(t, nonZeroLines(writeGroupMetrics(nd, pu), ""), qt.DeepEquals, []string{`balsamwinch_control_role{role="Starting"} 1`, ""})
}

// fakeAPI responds after a fixed time.
type fakeAPI struct {
	err   error
	addrs []string
}

func (fa fakeAPI) Accept(context.Context, uint64, []byte) error {
	time.Sleep(20 * time.Millisecond)
	return fa.err
}

func (fa fakeAPI) Newest(context.Context) (uint64, []byte, error) {
	time.Sleep(200 * time.Millisecond)
	return 7, []byte("x"), fa.err
}
func (fa fakeAPI) Evacuate(context.Context, string, bool, string) error    { return fa.err }
func (fakeAPI) Evacuated() evacuation.Set                                  { return evacuation.Set{Revision: 3} }
func (fa fakeAPI) Announce(context.Context, registry.Server, string) error { return fa.err }
func (fa fakeAPI) Leave(context.Context, string, string) error             { return fa.err }
func (fakeAPI) Ignore(string, string, string)                              {}
func (fakeAPI) BodyLimit() int64                                           { return 9 }
func (fa fakeAPI) Addresses(string, string, string) ([]string, time.Duration) {
	return fa.addrs, time.Second
}

func TestInstrumentedAPI(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ia := newInstrumentedAPI(fakeAPI{addrs: []string{"10.0.0.1:80"}}, timer.New())
		qt.Assert(t, ia.Accept(t.Context(), 7, nil), qt.IsNil)
		version, data, err := ia.Newest(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, version, qt.Equals, uint64(7))
		qt.Assert(t, string(data), qt.Equals, "x")
		qt.Assert(t, ia.BodyLimit(), qt.Equals, int64(9))
		qt.Assert(t, ia.Announce(t.Context(), registry.Server{}, ""), qt.IsNil)
		qt.Assert(t, ia.Leave(t.Context(), "i-1", ""), qt.IsNil)
		ia.Ignore("i-1", "", "no state")
		addrs, keep := ia.Addresses("", "", "")
		qt.Assert(t, addrs, qt.DeepEquals, []string{"10.0.0.1:80"})
		qt.Assert(t, keep, qt.Equals, time.Second)
		ia.next = fakeAPI{err: errors.New("no leader")}
		qt.Assert(t, ia.Accept(t.Context(), 8, nil), qt.ErrorMatches, "no leader")
		ia.Addresses("", "", "")
		qt.Assert(t, nonZeroLines(ia.set.WritePrometheus, "balsamwinch_control_call_seconds_"), qt.DeepEquals, []string{
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="0.03"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="0.1"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="0.3"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="1"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="3"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="+Inf"} 2`,
			`balsamwinch_control_call_seconds_sum{call="Accept"} 0.04`,
			`balsamwinch_control_call_seconds_count{call="Accept"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Depart",le="0.001"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Depart",le="0.003"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Depart",le="0.01"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Depart",le="0.03"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Depart",le="0.1"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Depart",le="0.3"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Depart",le="1"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Depart",le="3"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Depart",le="+Inf"} 1`,
			`balsamwinch_control_call_seconds_count{call="Depart"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Read",le="0.3"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Read",le="1"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Read",le="3"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Read",le="+Inf"} 1`,
			`balsamwinch_control_call_seconds_sum{call="Read"} 0.2`,
			`balsamwinch_control_call_seconds_count{call="Read"} 1`,
		})
		qt.Assert(t, nonZeroLines(ia.set.WritePrometheus, "balsamwinch_control_calls_failed"), qt.DeepEquals, []string{`balsamwinch_control_calls_failed_total{call="Accept"} 1`})
		qt.Assert(t, nonZeroLines(ia.set.WritePrometheus, "balsamwinch_ignored"), qt.DeepEquals, []string{"balsamwinch_ignored_announcements_total 1"})
		qt.Assert(t, nonZeroLines(ia.set.WritePrometheus, "balsamwinch_a"), qt.DeepEquals, []string{
			"balsamwinch_address_look_ups_empty_total 1", "balsamwinch_address_look_ups_total 2", "balsamwinch_announcements_total 1",
		})
		qt.Assert(t, nonZeroLines(ia.set.WritePrometheus, "balsamwinch_leaves"), qt.DeepEquals, []string{"balsamwinch_leaves_total 1"})
	})
}
