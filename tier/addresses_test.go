package tier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A caller keeps its address list for as long as it was told. The entry instance that
// it connects to then has begun to stop just after the list was made; it must serve
// until the list has run out.
func TestAddressListRunsOutBeforeStop(t *testing.T) {
	for _, tc := range []struct {
		name             string
		ttl, stop, wants time.Duration
	}{
		{"time enough", 4 * time.Second, 6 * time.Second, 4 * time.Second},
		{"short stop", 4 * time.Second, 3 * time.Second, 1200 * time.Millisecond},
		{"hardly any time", 4 * time.Second, time.Second, leastAddressTTL},
		{"set shorter", time.Second, 6 * time.Second, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			ti := Timing{AddressTTL: tc.ttl, StopWithin: tc.stop}
			c.Assert(ti.addressTTL(), qt.Equals, tc.wants)
		})
	}
}
