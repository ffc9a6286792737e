package budget

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func defaultConfig() Config {
	return Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Fraction: 1}
}

// spendAll spends all that the budget allows and returns how much that was.
func spendAll(bu *Budget, now time.Time) int {
	count := 0
	for bu.Spend(now, "s") {
		count++
	}
	return count
}

func countRequests(bu *Budget, now time.Time, count int) {
	for range count {
		bu.CountRequest(now, "s")
	}
}

func TestSpendWithinBound(t *testing.T) {
	tests := []struct {
		name              string
		cf                Config
		entries, requests int
		arrived, at       float64 // These are in seconds since the start.
		want              int
	}{
		{"no requests, entries unknown", defaultConfig(), 0, 0, 20, 20, 0},
		{"ratio alone while entries are unknown", defaultConfig(), 0, 100, 20, 20, 20},
		{"slack of one entry", defaultConfig(), 1, 0, 20, 20, 50},
		{"slack of five entries", defaultConfig(), 5, 0, 20, 20, 10},
		{"less than one extra", defaultConfig(), 60, 0, 20, 20, 0},
		{"ratio and slack", defaultConfig(), 5, 100, 20, 20, 30},
		{"fraction of both", Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Fraction: 0.5}, 5, 100, 20, 20, 15},
		{"no fraction is all", Config{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, 5, 100, 20, 20, 30},
		{"no window is 10 s", Config{Ratio: 0.2, Fraction: 1}, 1, 100, 20, 29.5, 20},
		{"requests inside the window", defaultConfig(), 0, 100, 20, 29.7, 20},
		{"requests out of the window", defaultConfig(), 0, 100, 20, 30.3, 0},
		{"no slack at the start", defaultConfig(), 1, 0, 0, 0, 0},
		{"slack after half a window", defaultConfig(), 1, 0, 0, 5, 25},
		{"slack after a window", defaultConfig(), 1, 0, 0, 10, 50},
		{"ratio counts from the start", defaultConfig(), 1, 50, 0, 0, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bu := New(tt.cf, start)
			if tt.entries > 0 {
				bu.SetNumEntries(start, tt.entries)
			}
			countRequests(bu, after(tt.arrived), tt.requests)
			qt.Assert(t, spendAll(bu, after(tt.at)), qt.Equals, tt.want)
		})
	}
}

func TestRemainingFraction(t *testing.T) {
	c := qt.New(t)
	bu := New(defaultConfig(), start)
	c.Assert(bu.RemainingFraction(after(20), "s"), qt.Equals, 0.0)
	bu.SetNumEntries(start, 5)
	c.Assert(bu.RemainingFraction(after(20), "s"), qt.Equals, 1.0)
	for range 5 {
		c.Assert(bu.Spend(after(20), "s"), qt.IsTrue)
	}
	c.Assert(bu.RemainingFraction(after(20), "s"), qt.Equals, 0.5)
	c.Assert(bu.RemainingFraction(after(20), "other"), qt.Equals, 1.0)
	spendAll(bu, after(20))
	c.Assert(bu.RemainingFraction(after(20), "s"), qt.Equals, 0.0)
	c.Assert(bu.RemainingFraction(after(31), "s"), qt.Equals, 1.0)
}

// Spent extra attempts count until their window has passed, and not a moment less.
func TestSpentExtrasCountForOneWindow(t *testing.T) {
	c := qt.New(t)
	bu := New(defaultConfig(), start)
	bu.SetNumEntries(start, 1)
	c.Assert(spendAll(bu, after(20)), qt.Equals, 50)
	for _, at := range []float64{20.1, 25, 29.9, 30} {
		c.Assert(spendAll(bu, after(at)), qt.Equals, 0, qt.Commentf("at %v s", at))
	}
	c.Assert(spendAll(bu, after(30.5)), qt.Equals, 50)
}

// An instance is out of contact with control for some seconds and still uses the part of
// the slack that it knew. If the others took over its part at once, the service would
// exceed the bound in that window.
func TestSlackUsesHighestCountOfTwoWindows(t *testing.T) {
	c := qt.New(t)
	bu := New(defaultConfig(), start)
	bu.SetNumEntries(after(0), 10)
	bu.SetNumEntries(after(20), 5)
	c.Assert(bu.Spend(after(39), "a"), qt.IsTrue)
	c.Assert(spendAll(bu, after(39.9)), qt.Equals, 5)
	c.Assert(spendAll(bu, after(55)), qt.Equals, 10)
	bu.SetNumEntries(after(70), 50)
	c.Assert(spendAll(bu, after(70)), qt.Equals, 1)
}

func TestEntryCountHoldsWithoutUpdates(t *testing.T) {
	c := qt.New(t)
	bu := New(defaultConfig(), start)
	bu.SetNumEntries(after(0), 10)
	c.Assert(spendAll(bu, after(1000)), qt.Equals, 5)
	bu.SetNumEntries(after(1000), 0)
	c.Assert(spendAll(bu, after(1015)), qt.Equals, 5)
}

func TestRefund(t *testing.T) {
	c := qt.New(t)
	bu := New(defaultConfig(), start)
	bu.SetNumEntries(start, 50)
	c.Assert(bu.Spend(after(20), "s"), qt.IsTrue)
	c.Assert(bu.Spend(after(21), "s"), qt.IsFalse)
	bu.Refund(after(21), after(20), "s")
	c.Assert(bu.Spend(after(21), "s"), qt.IsTrue)
	bu.Refund(after(21), after(20), "s")
	c.Assert(bu.Spend(after(21), "s"), qt.IsFalse)
	bu.Refund(after(40), after(21), "s")
	bu.Refund(after(40), after(50), "s")
	bu.Refund(after(40), start.Add(-time.Hour), "s")
	c.Assert(spendAll(bu, after(40)), qt.Equals, 1)
}

// Callers read the clock before they take the lock, so a call may carry an earlier time
// than the one before it.
func TestCallsWithEarlierTime(t *testing.T) {
	c := qt.New(t)
	bu := New(defaultConfig(), start)
	bu.SetNumEntries(start, 1)
	c.Assert(spendAll(bu, after(20)), qt.Equals, 50)
	c.Assert(spendAll(bu, after(19)), qt.Equals, 0)
	c.Assert(spendAll(bu, after(9)), qt.Equals, 0)
	countRequests(bu, after(9), 10)
	c.Assert(spendAll(bu, after(20)), qt.Equals, 2)
}

func TestUnusedServicesAreEvicted(t *testing.T) {
	c := qt.New(t)
	bu := New(defaultConfig(), start)
	for ix := range 1000 {
		bu.CountRequest(after(0), fmt.Sprint(ix))
	}
	bu.CountRequest(after(15), "kept")
	c.Assert(bu.services, qt.HasLen, 1001)
	bu.CountRequest(after(26), "new") // A sweep at 15 s found nothing; the next is due 10 s later.
	c.Assert(bu.services, qt.HasLen, 2)
	c.Assert(bu.services["kept"], qt.IsNotNil)
}

func TestNoAllocations(t *testing.T) {
	bu := New(defaultConfig(), start)
	bu.SetNumEntries(start, 3)
	now := after(20)
	bu.CountRequest(now, "s")
	got := testing.AllocsPerRun(1000, func() {
		now = now.Add(7 * time.Millisecond)
		bu.CountRequest(now, "s")
		bu.Spend(now, "s")
		bu.RemainingFraction(now, "s")
		bu.SetNumEntries(now, 4)
	})
	qt.Assert(t, got, qt.Equals, 0.0)
}

// TestExtrasStayWithinBound checks the bound against the exact times of all requests and
// extra attempts, for the window that ends at each extra attempt.
func TestExtrasStayWithinBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cf := Config{
			Ratio:    rapid.Float64Range(0, 1).Draw(rt, "ratio"),
			Slack:    rapid.IntRange(0, 100).Draw(rt, "slack"),
			Window:   time.Duration(rapid.IntRange(1, 20).Draw(rt, "window")) * time.Second,
			Fraction: rapid.Float64Range(0.1, 1).Draw(rt, "fraction"),
		}
		bu := New(cf, start)
		entries := rapid.IntRange(1, 20).Draw(rt, "entries")
		bu.SetNumEntries(start, entries)
		var requests, extras []time.Time
		now := start
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(cf.Window/8)).Draw(rt, "gap")))
			for range rapid.IntRange(0, 20).Draw(rt, "requests") {
				bu.CountRequest(now, "s")
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 5).Draw(rt, "extras") {
				if !bu.Spend(now, "s") {
					break
				}
				extras = append(extras, now)
				ramp := min(1, float64(now.Sub(start))/float64(cf.Window))
				bound := cf.Fraction * (cf.Ratio*float64(countWithin(requests, now, cf.Window)) + ramp*float64(cf.Slack)/float64(entries))
				if spent := countWithin(extras, now, cf.Window); float64(spent) > bound+1e-9 {
					rt.Fatalf("%d extra attempts in the window, the bound is %v", spent, bound)
				}
			}
		}
	})
}

// countWithin returns how many of the times lie in the window that ends now.
func countWithin(tis []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, ti := range tis {
		if now.Sub(ti) <= window {
			count++
		}
	}
	return count
}

// TestSumOverInstancesStaysWithinBound checks that instances that don't communicate
// together stay within the bound of the whole system, even if one restarts and loses its
// counts.
func TestSumOverInstancesStaysWithinBound(t *testing.T) {
	const count = 9
	c := qt.New(t)
	cf := Config{Ratio: 0.2, Slack: 58, Window: 10 * time.Second, Fraction: 0.85}
	var bus []*Budget
	for range count {
		bu := New(cf, start)
		bu.SetNumEntries(start, count)
		bus = append(bus, bu)
	}
	var requests, extras []time.Time
	for ms := 0; ms < 40_000; ms += 25 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms == 20_000 {
			bus[0] = New(cf, now)
			bus[0].SetNumEntries(now, count)
		}
		for ix, bu := range bus {
			if (ms/25+ix)%3 == 0 {
				bu.CountRequest(now, "s")
				requests = append(requests, now)
			}
			for bu.Spend(now, "s") {
				extras = append(extras, now)
			}
		}
		bound := cf.Ratio*float64(countWithin(requests, now, cf.Window)) + float64(cf.Slack)
		c.Assert(float64(countWithin(extras, now, cf.Window)) <= bound, qt.IsTrue, qt.Commentf("at %d ms", ms))
	}
	c.Assert(len(extras) > 400, qt.IsTrue, qt.Commentf("%d extra attempts", len(extras)))
}

func TestConcurrentUse(t *testing.T) {
	bu := New(defaultConfig(), start)
	bu.SetNumEntries(start, 1)
	var wg sync.WaitGroup
	var mu sync.Mutex
	total := 0
	for range 8 {
		wg.Go(func() {
			spent := 0
			for ix := range 200 {
				now := after(20 + float64(ix)/100)
				bu.RemainingFraction(now, "s")
				if bu.Spend(now, "s") {
					spent++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			total += spent
		})
	}
	wg.Wait()
	qt.Assert(t, total, qt.Equals, 50)
}

func BenchmarkSpend(b *testing.B) {
	bu := New(defaultConfig(), start)
	bu.SetNumEntries(start, 9)
	now := after(20)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		bu.CountRequest(now, "s")
		bu.Spend(now, "s")
	}
}
