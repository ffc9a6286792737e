package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func TestEnterAndLeave(t *testing.T) {
	c := qt.New(t)
	li := New(3)
	for range 3 {
		c.Assert(li.Acquire("a"), qt.IsTrue)
	}
	c.Assert(li.Acquire("a"), qt.IsFalse)
	c.Assert(li.Acquire("b"), qt.IsTrue)
	li.Release(start, "a", false)
	c.Assert(li.Acquire("a"), qt.IsTrue)
}

// Requests that were admitted together are refused together by the backend
// servers. That is one overload, and must not bring the limit down once for each.
func TestOneCutForManyFailures(t *testing.T) {
	c := qt.New(t)
	li := New(100)
	for range 40 {
		li.Acquire("a")
	}
	for range 10 {
		li.Release(start, "a", true)
	}
	c.Assert(li.Limit("a"), qt.Equals, 34)
	li.Release(start.Add(cutPause), "a", true)
	c.Assert(li.Limit("a"), qt.Equals, 25)
	for range 100 {
		start := start.Add(time.Hour)
		li.Release(start, "a", true)
	}
	c.Assert(li.Limit("a") >= least, qt.IsTrue)
}

// Many callers come at once, four times what the backend servers can take. Without a
// limit all requests wait and all are late; with it, nearly as many are answered in
// time as without the burst, and the limit comes back when the burst is over.
func TestBurst(t *testing.T) {
	c := qt.New(t)
	limited, late := simulate(New(400), 4)
	unlimited, _ := simulate(nil, 4)
	c.Logf("answered in time of 4000 possible: %d with the limit (%d late), %d without", limited, late, unlimited)
	c.Assert(limited > 2*unlimited, qt.IsTrue)
	c.Assert(limited > 2800, qt.IsTrue)
}

// simulate plays 10 s of requests at times the rate that servers with 20 slots of
// 50 ms can take, with a queue of 40 behind them, and counts those answered within
// 100 ms and those answered later.
func simulate(li *Limiter, times int) (inTime, late int) {
	const slots, queue, work, aim = 20, 40, 50, 100
	rn := rand.New(rand.NewPCG(1, 2))
	var done [slots]int
	type end struct {
		at         int
		overloaded bool
	}
	var ends []end
	for ms := range 10_000 {
		rest := ends[:0]
		for _, en := range ends {
			if en.at > ms {
				rest = append(rest, en)
				continue
			}
			if li != nil {
				li.Release(start.Add(time.Duration(ms)*time.Millisecond), "a", en.overloaded)
			}
		}
		ends = rest
		for range times {
			if rn.Float64() >= float64(slots)/work {
				continue
			}
			if li != nil && !li.Acquire("a") {
				continue
			}
			first := 0
			for nth := range done {
				if done[nth] < done[first] {
					first = nth
				}
			}
			begin := max(ms, done[first])
			if begin-ms > queue*work/slots {
				ends = append(ends, end{ms + 1, true})
				continue
			}
			done[first] = begin + work
			if begin+work-ms <= aim {
				inTime++
			} else {
				late++
			}
			ends = append(ends, end{begin + work, begin-ms > work})
		}
	}
	return inTime, late
}

func TestForget(t *testing.T) {
	li := New(10)
	qt.Assert(t, li.Acquire("busy"), qt.IsTrue)
	for nth := range 3 * mostGroups {
		li.Release(start, fmt.Sprint(nth), true)
	}
	qt.Assert(t, len(li.groups) <= mostGroups, qt.IsTrue)
	qt.Assert(t, li.groups["busy"].active, qt.Equals, 1)
}
