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
