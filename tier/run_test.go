package tier

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/timer"
	"balsamwinch.example/trail"
)

// Guards against a log line about a failed service with two fields named Event, of which
// JSON readers see only one. The failure must be in a field of its own.
func TestServiceFailureLogLineHasOneEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		lg, wr := trail.New(&out, trail.Config{}, timer.New())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		sp := newSupervisor("test", lg)
		failed := false
		sp.Add(service{"frail", func(ctx context.Context) error {
			if !failed {
				failed = true
				panic("no")
			}
			<-ctx.Done()
			return ctx.Err()
		}})
		stopped := false
		serveUntil(ctx, sp, func() { stopped = true })
		qt.Assert(t, stopped, qt.IsTrue)
		qt.Assert(t, wr.Close(), qt.IsNil)
		qt.Assert(t, strings.Count(out.String(), `"Event":`), qt.Equals, 1)
		qt.Assert(t, out.String(), qt.Matches, `(?s).*"Event":"service-event","Detail":".*frail.*`)
	})
}

// Guards against links whose silence is detected too late in a deployment with shorter
// deadlines for updates. Deployments with the usual deadlines must keep their timeouts.
func TestLinkSilence(t *testing.T) {
	tests := []struct{ drain, apply, want time.Duration }{
		{Defaults().Timing.Drain, Defaults().Timing.Apply, 1200 * time.Millisecond},
		{4 * time.Second, 4 * time.Second, 1200 * time.Millisecond},
		{3 * time.Second, 2 * time.Second, 800 * time.Millisecond},
		{2 * time.Second, time.Hour, 800 * time.Millisecond},
		{3 * time.Second, 2500500 * time.Microsecond, 1000200 * time.Microsecond},
		{time.Second, 3 * time.Second, 600 * time.Millisecond},
		{0, 3 * time.Second, 600 * time.Millisecond},
	}
	for _, tt := range tests {
		lc := linkConfig(Timing{Drain: tt.drain, Apply: tt.apply}, timer.New())
		qt.Check(t, lc.SilenceTimeout, qt.Equals, tt.want, qt.Commentf("%v %v", tt.drain, tt.apply))
		qt.Check(t, lc.PingInterval, qt.Equals, tt.want/4)
	}
}
