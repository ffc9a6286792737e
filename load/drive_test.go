package load

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/timer"
)

// answerWithStall stands for a tier that answers in 1 ms, but not at all during the second
// second after start.
func answerWithStall(ts *timer.Service, start time.Time) {
	if since := ts.Now().Sub(start); since >= time.Second && since < 2*time.Second {
		_ = ts.Sleep(context.Background(), 2*time.Second-since)
	}
	_ = ts.Sleep(context.Background(), time.Millisecond)
}

// A tier stalls for one of ten seconds. A tenth of the callers wait up to a second, so p99
// must be near a second. A closed loop sends a single query into the stall, and its p99 shows
// nothing (coordinated omission).
func TestDriveMeasuresStallFromIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ts := timer.New()
		var mu sync.Mutex
		openLoop, closedLoop := newHistogram(fineDigits), newHistogram(fineDigits)

		start := ts.Now()
		ars := Arrivals(1, 10*time.Second, []float64{200})
		dropped := Drive(t.Context(), ts, start, ars, func(_ Arrival, intended time.Time) {
			answerWithStall(ts, start)
			mu.Lock()
			defer mu.Unlock()
			recordDuration(openLoop, ts.Now().Sub(intended))
		})
		c.Assert(dropped, qt.Equals, 0)
		c.Assert(openLoop.TotalCount(), qt.Equals, int64(len(ars)))
		c.Assert(openLoop.ValueAtQuantile(50) <= 1100, qt.IsTrue)
		c.Assert(openLoop.ValueAtQuantile(99) > 800_000, qt.IsTrue, qt.Commentf("%d", openLoop.ValueAtQuantile(99)))

		start = ts.Now()
		for ts.Now().Sub(start) < 10*time.Second {
			sent := ts.Now()
			answerWithStall(ts, start)
			recordDuration(closedLoop, ts.Now().Sub(sent))
			_ = ts.Sleep(t.Context(), 4*time.Millisecond)
		}
		c.Assert(closedLoop.ValueAtQuantile(99) <= 1100, qt.IsTrue)
	})
}

func TestDriveDropsArrivalsAfterContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		ars := []Arrival{{At: 0}, {At: 500 * time.Millisecond}, {At: 2 * time.Second}, {At: 3 * time.Second}}
		ts := timer.New()
		dropped := Drive(ctx, ts, ts.Now(), ars, func(Arrival, time.Time) {})
		qt.Assert(t, dropped, qt.Equals, 2)
	})
}

func TestArrivalsArePoissonAndRepeatable(t *testing.T) {
	c := qt.New(t)
	rates := []float64{100, 0, 300}
	ars := Arrivals(7, 100*time.Second, rates)
	c.Assert(slices.Equal(ars, Arrivals(7, 100*time.Second, rates)), qt.IsTrue)
	c.Assert(slices.Equal(ars, Arrivals(8, 100*time.Second, rates)), qt.IsFalse)
	c.Assert(Arrivals(7, time.Second, []float64{0}), qt.HasLen, 0)

	var seen [3]int
	c.Assert(slices.IsSortedFunc(ars, func(aa, bb Arrival) int { return cmp.Compare(aa.At, bb.At) }), qt.IsTrue)
	c.Assert(ars[len(ars)-1].At < 100*time.Second, qt.IsTrue)
	for _, ar := range ars {
		seen[ar.Stream]++
	}
	// Four standard deviations of a Poisson count.
	c.Assert(seen[0] > 9600 && seen[0] < 10400, qt.IsTrue, qt.Commentf("%v", seen))
	c.Assert(seen[1], qt.Equals, 0)
	c.Assert(seen[2] > 29300 && seen[2] < 30700, qt.IsTrue, qt.Commentf("%v", seen))
}

func TestPickStreamSkipsStreamsWithoutRate(t *testing.T) {
	rates := []float64{0, 1, 2, 0}
	rd := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		ix := pickStream(rd.Float64()*3, rates)
		qt.Assert(t, ix == 1 || ix == 2, qt.IsTrue)
	}
	qt.Assert(t, pickStream(3, rates), qt.Equals, 2)
}
