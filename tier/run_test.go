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

// A part of the process fails. The line that says so has the fault in a field of
// its own: a second field Event was hidden from whoever reads the line as JSON.
func TestServiceEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		lg, wr := trail.New(&out, trail.Config{}, timer.New())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		sp := supervise("test", lg)
		failed := false
		sp.Add(service{"frail", func(ctx context.Context) error {
			if !failed {
				failed = true
				panic("no")
			}
			<-ctx.Done()
			return ctx.Err()
		}})
		left := false
		serveUntil(ctx, sp, func() { left = true })
		qt.Assert(t, left, qt.IsTrue)
		qt.Assert(t, wr.Close(), qt.IsNil)
		qt.Assert(t, strings.Count(out.String(), `"Event":`), qt.Equals, 1)
		qt.Assert(t, out.String(), qt.Matches, `(?s).*"Event":"service-event","Detail":".*frail.*`)
	})
}

// A deployment bounds the time in which news must have arrived more tightly than
// others. Its links must be found silent early enough for a new one; the deployments
// with the usual bounds keep their times.
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
		qt.Check(t, lc.Silence, qt.Equals, tt.want, qt.Commentf("%v %v", tt.drain, tt.apply))
		qt.Check(t, lc.Ping, qt.Equals, tt.want/4)
	}
}
