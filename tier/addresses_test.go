package tier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against callers that use an address list for its whole TTL while an entry
// instance on it begins to stop right after the look-up: it must serve until the list has
// expired.
func TestAddressTTLEndsBeforeStop(t *testing.T) {
	for _, tc := range []struct {
		name            string
		ttl, stop, want time.Duration
	}{
		{"time enough", 4 * time.Second, 6 * time.Second, 4 * time.Second},
		{"short stop", 4 * time.Second, 3 * time.Second, 1200 * time.Millisecond},
		{"hardly any time", 4 * time.Second, time.Second, minAddressTTL},
		{"set shorter", time.Second, 6 * time.Second, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			ti := Timing{AddressTTL: tc.ttl, StopWithin: tc.stop}
			c.Assert(ti.addressTTL(), qt.Equals, tc.want)
		})
	}
}
