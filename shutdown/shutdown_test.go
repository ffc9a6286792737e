package shutdown

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestAcceptUntil(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name                      string
		timeout, target, expected time.Duration
		needed                    time.Duration
	}{
		{"target latency", 5000 * ms, 800 * ms, 0, 800 * ms},
		{"slower than the target latency", 5000 * ms, 800 * ms, 2080 * ms, 2080 * ms},
		{"faster than the target latency", 5000 * ms, 800 * ms, 40 * ms, 800 * ms},
		{"short target latency", 5000 * ms, 60 * ms, 40 * ms, minTimeLeft},
		{"no target latency", 5000 * ms, 0, 2080 * ms, 2080 * ms},
		{"nothing known", 5000 * ms, 0, 0, 5000 * ms},
		{"short timeout", 90 * ms, 60 * ms, 40 * ms, 90 * ms},
		{"timeout shorter than the expected duration", 1000 * ms, 800 * ms, 2080 * ms, 1000 * ms},
	}
	answerBy := time.Unix(1000, 0)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			until := AcceptUntil(answerBy, Request{Timeout: tt.timeout, TargetLatency: tt.target, Expected: tt.expected})
			qt.Assert(t, answerBy.Sub(until), qt.Equals, tt.needed)
		})
	}
}

func TestHistory(t *testing.T) {
	hi := NewHistory()
	qt.Assert(t, hi.Expected("r"), qt.Equals, time.Duration(0))
	hi.Record("r", 3*time.Second)
	qt.Assert(t, hi.Expected("r"), qt.Equals, 3*time.Second)
	for ix := range 10 * maxSamples {
		hi.Record("r", time.Duration(ix%100)*time.Millisecond)
	}
	qt.Assert(t, hi.Expected("r") < time.Second, qt.IsTrue, qt.Commentf("old durations are forgotten"))
	qt.Assert(t, hi.Expected("other"), qt.Equals, time.Duration(0))
	for ix := range maxRoutes {
		hi.Record(fmt.Sprint("route ", ix), time.Second)
	}
	qt.Assert(t, hi.Expected("r"), qt.Equals, time.Duration(0))
	qt.Assert(t, len(hi.routes) <= maxRoutes, qt.IsTrue)
}
