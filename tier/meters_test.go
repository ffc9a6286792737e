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

// shown returns what a writer of metrics writes, without the lines that are 0.
func shown(mw MetricsWriter, prefix string) []string {
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

// Another process has the port for metrics. The instance must serve callers all
// the same, and its log must say that nobody can read its metrics.
func TestMetricsAddressTaken(t *testing.T) {
	li, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer li.Close()
	co, ob := observer.New(zapcore.InfoLevel)
	lg := zap.New(co)
	serveMetrics(supervise("test", lg), li.Addr().String(), lg)
	qt.Assert(t, ob.FilterMessage("metrics-not-served").Len(), qt.Equals, 1)
	serveMetrics(supervise("test", lg), "", lg)
	qt.Assert(t, ob.Len(), qt.Equals, 1)
}

func TestWriteProcess(t *testing.T) {
	start := time.Unix(1000, 0)
	mw := writeProcess(start, func() time.Time { return start.Add(90 * time.Second) })
	qt.Assert(t, shown(mw, "balsamwinch_running_seconds"), qt.DeepEquals, []string{"balsamwinch_running_seconds 90"})
	for _, rm := range runtimeMetrics[:3] {
		qt.Check(t, shown(mw, rm.shown+" "), qt.HasLen, 1, qt.Commentf("%s", rm.shown))
	}
}

// What a control instance shows before its group is formed.
func TestWriteGroup(t *testing.T) {
	ts, lg := timer.New(), zap.NewNop()
	nd := fleet.New(fleet.Config{Name: "control-1", Dir: t.TempDir()}, ts, lg, nil)
	pu := feed.NewPublisher(feed.PublisherConfig{Name: "control-1"}, ts, lg)
	qt.Assert(t, shown(writeGroup(nd, pu), ""), qt.DeepEquals, []string{`balsamwinch_control_role{role="Starting"} 1`, ""})
}

// fakeCalls answers after a fixed time.
type fakeCalls struct {
	err   error
	addrs []string
}

func (fc fakeCalls) Accept(context.Context, uint64, []byte) error {
	time.Sleep(20 * time.Millisecond)
	return fc.err
}

func (fc fakeCalls) Newest(context.Context) (uint64, []byte, error) {
	time.Sleep(200 * time.Millisecond)
	return 7, []byte("x"), fc.err
}
func (fc fakeCalls) Evacuate(context.Context, string, bool, string) error { return fc.err }
func (fakeCalls) Evacuated() evacuation.Set                               { return evacuation.Set{Revision: 3} }
func (fakeCalls) Announce(registry.Server)                                {}
func (fakeCalls) Leave(string)                                            {}
func (fakeCalls) Ignore(string, string)                                   {}
func (fakeCalls) BodyLimit() int64                                        { return 9 }
func (fc fakeCalls) Addresses(string, string, string) ([]string, time.Duration) {
	return fc.addrs, time.Second
}

func TestCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cu := newCounted(fakeCalls{addrs: []string{"10.0.0.1:80"}}, timer.New())
		qt.Assert(t, cu.Accept(t.Context(), 7, nil), qt.IsNil)
		version, data, err := cu.Newest(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, version, qt.Equals, uint64(7))
		qt.Assert(t, string(data), qt.Equals, "x")
		qt.Assert(t, cu.BodyLimit(), qt.Equals, int64(9))
		cu.Announce(registry.Server{})
		cu.Leave("i-1")
		cu.Ignore("i-1", "no state")
		addrs, keep := cu.Addresses("", "", "")
		qt.Assert(t, addrs, qt.DeepEquals, []string{"10.0.0.1:80"})
		qt.Assert(t, keep, qt.Equals, time.Second)
		cu.co = fakeCalls{err: errors.New("no leader")}
		qt.Assert(t, cu.Accept(t.Context(), 8, nil), qt.ErrorMatches, "no leader")
		cu.Addresses("", "", "")
		qt.Assert(t, shown(cu.set.WritePrometheus, "balsamwinch_control_call_seconds_"), qt.DeepEquals, []string{
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="0.03"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="0.1"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="0.3"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="1"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="3"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Accept",le="+Inf"} 2`,
			`balsamwinch_control_call_seconds_sum{call="Accept"} 0.04`,
			`balsamwinch_control_call_seconds_count{call="Accept"} 2`,
			`balsamwinch_control_call_seconds_bucket{call="Read",le="0.3"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Read",le="1"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Read",le="3"} 1`,
			`balsamwinch_control_call_seconds_bucket{call="Read",le="+Inf"} 1`,
			`balsamwinch_control_call_seconds_sum{call="Read"} 0.2`,
			`balsamwinch_control_call_seconds_count{call="Read"} 1`,
		})
		qt.Assert(t, shown(cu.set.WritePrometheus, "balsamwinch_control_calls_failed"), qt.DeepEquals, []string{`balsamwinch_control_calls_failed_total{call="Accept"} 1`})
		qt.Assert(t, shown(cu.set.WritePrometheus, "balsamwinch_ignored"), qt.DeepEquals, []string{"balsamwinch_ignored_announcements_total 1"})
		qt.Assert(t, shown(cu.set.WritePrometheus, "balsamwinch_a"), qt.DeepEquals, []string{
			"balsamwinch_address_look_ups_empty_total 1", "balsamwinch_address_look_ups_total 2", "balsamwinch_announcements_total 1",
		})
		qt.Assert(t, shown(cu.set.WritePrometheus, "balsamwinch_leaves"), qt.DeepEquals, []string{"balsamwinch_leaves_total 1"})
	})
}
