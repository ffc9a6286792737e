package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func TestAcquireAndRelease(t *testing.T) {
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

// Requests that were admitted together are refused together by the backend servers. That is
// one overload and must decrease the limit only once.
func TestOverloadDecreasesLimitOnce(t *testing.T) {
	c := qt.New(t)
	li := New(100)
	for range 40 {
		li.Acquire("a")
	}
	for range 10 {
		li.Release(start, "a", true)
	}
	c.Assert(li.Limit("a"), qt.Equals, 34)
	li.Release(start.Add(decreaseInterval), "a", true)
	c.Assert(li.Limit("a"), qt.Equals, 25)
	for range 100 {
		start := start.Add(time.Hour)
		li.Release(start, "a", true)
	}
	c.Assert(li.Limit("a") >= minLimit, qt.IsTrue)
}

// A burst of four times the capacity of the backend servers arrives. Without a limit all
// requests queue and are late. With it, most of the capacity must still be answered in
// time.
func TestLimitKeepsAnswersInTimeDuringBurst(t *testing.T) {
	c := qt.New(t)
	limited, late := simulate(New(400), 4)
	unlimited, _ := simulate(nil, 4)
	c.Logf("answered in time of 4000 possible: %d with the limit (%d late), %d without", limited, late, unlimited)
	c.Assert(limited > 2*unlimited, qt.IsTrue)
	c.Assert(limited > 2800, qt.IsTrue)
}

// simulate runs 10 s of requests at a multiple of the rate that servers with 20 slots of 50
// ms can take, with a queue of 40. It counts the requests answered within 100 ms and those
// answered later.
func simulate(li *Limiter, factor int) (inTime, late int) {
	const slots, queue, serviceTime, target = 20, 40, 50, 100
	rn := rand.New(rand.NewPCG(1, 2))
	var freeAt [slots]int
	type end struct {
		at         int
		overloaded bool
	}
	var ends []end
	for ms := range 10_000 {
		remaining := ends[:0]
		for _, en := range ends {
			if en.at > ms {
				remaining = append(remaining, en)
				continue
			}
			if li != nil {
				li.Release(start.Add(time.Duration(ms)*time.Millisecond), "a", en.overloaded)
			}
		}
		ends = remaining
		for range factor {
			if rn.Float64() >= float64(slots)/serviceTime {
				continue
			}
			if li != nil && !li.Acquire("a") {
				continue
			}
			first := 0
			for nth := range freeAt {
				if freeAt[nth] < freeAt[first] {
					first = nth
				}
			}
			begin := max(ms, freeAt[first])
			if begin-ms > queue*serviceTime/slots {
				ends = append(ends, end{ms + 1, true})
				continue
			}
			freeAt[first] = begin + serviceTime
			if begin+serviceTime-ms <= target {
				inTime++
			} else {
				late++
			}
			ends = append(ends, end{begin + serviceTime, begin-ms > serviceTime})
		}
	}
	return inTime, late
}

func TestGroupsAreBounded(t *testing.T) {
	li := New(10)
	qt.Assert(t, li.Acquire("busy"), qt.IsTrue)
	for nth := range 3 * maxGroups {
		li.Release(start, fmt.Sprint(nth), true)
	}
	qt.Assert(t, len(li.groups) <= maxGroups, qt.IsTrue)
	qt.Assert(t, li.groups["busy"].inFlight, qt.Equals, 1)
}
