package stall

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a divisor of the true period, which agrees with the same stalls, and
// against a multiple of it, with which half of the stalls agree.
func TestLargestAgreeingPeriodIsFound(t *testing.T) {
	for _, period := range []time.Duration{2 * time.Second, 2990 * ms, 4500 * ms, 6 * time.Second, 9 * time.Second} {
		for _, seen := range []float64{1, 0.7, 0.4} {
			t.Run(fmt.Sprint(period, seen), func(t *testing.T) {
				c := qt.New(t)
				rn := rand.New(rand.NewPCG(1, 2))
				var gaps []time.Duration
				for range 60 {
					var stalls []interval
					for _, in := range regular(period, 120*ms, 30*ms)(rn, 0)[:6] {
						if rn.Float64() < seen {
							stalls = append(stalls, in)
						}
					}
					gaps = gapsOf(gaps, stalls)
				}
				got, ok := findPeriod(gaps)
				c.Assert(ok, qt.IsTrue)
				c.Assert(got > period-15*ms && got < period+15*ms, qt.IsTrue, qt.Commentf("%v", got))
			})
		}
	}
}

// Guards against no forecast at all where work that takes long by itself looks like a stall
// more often than a stall does: each server has as many false stalls at random times as
// true ones, and a third of the true ones is not seen.
func TestPeriodIsFoundAmongFalseStalls(t *testing.T) {
	c := qt.New(t)
	const period, span = 4500 * ms, 23 * time.Second
	rn := rand.New(rand.NewPCG(3, 4))
	var gaps []time.Duration
	servers := make([][]interval, 108)
	phases := make([]time.Duration, len(servers))
	for ix := range servers {
		phases[ix] = time.Duration(rn.Float64() * float64(period))
		for at := phases[ix]; at < span; at += period {
			if rn.Float64() < 0.67 {
				start := at + time.Duration(rn.Float64()*float64(50*ms))
				servers[ix] = append(servers[ix], interval{start: start, end: start + 150*ms})
			}
			start := time.Duration(rn.Float64() * float64(span))
			servers[ix] = append(servers[ix], interval{start: start, end: start + 80*ms})
		}
		slices.SortFunc(servers[ix], func(a, b interval) int { return cmp.Compare(a.start, b.start) })
		gaps = gapsOf(gaps, servers[ix])
	}
	got, ok := findPeriod(gaps)
	c.Assert(ok, qt.IsTrue)
	c.Assert(got > period-15*ms && got < period+15*ms, qt.IsTrue, qt.Commentf("%v", got))
	count, right := 0, 0
	for ix, stalls := range servers {
		fc := newForecast(span, got, 150*ms, stalls)
		if fc == nil {
			continue
		}
		count++
		if _, off := multipleOf(fc.next-phases[ix], period); off > -100*ms && off < 100*ms {
			right++
		}
	}
	c.Assert(count >= len(servers)/2, qt.IsTrue, qt.Commentf("%d", count))
	c.Assert(right*10 >= count*9, qt.IsTrue, qt.Commentf("%d of %d", right, count))
}

// Guards against one period for servers of two kinds that stall at different intervals. The
// names of the services of a kind differ by numbers.
func TestKindsOfServersHaveTheirOwnPeriods(t *testing.T) {
	c := qt.New(t)
	c.Assert(GroupOf("shard-07"), qt.Equals, GroupOf("shard-31"))
	c.Assert(GroupOf("shard-07"), qt.Not(qt.Equals), GroupOf("index-07"))
	short, long := regular(3*time.Second, 120*ms, 20*ms), regular(4500*ms, 200*ms, 20*ms)
	mo := newModel(1, func(rn *rand.Rand, ix int) []interval {
		if ix%2 == 0 {
			return short(rn, ix)
		}
		return long(rn, ix)
	})
	for ix, se := range mo.servers {
		se.se.Group = uint32(1 + ix%2)
	}
	mo.run(25 * time.Second)
	count, right := mo.numForecasts()
	c.Assert(right >= 100, qt.IsTrue, qt.Commentf("%d of %d", right, count))
	for number, want := range map[uint32]time.Duration{1: 3 * time.Second, 2: 4500 * ms} {
		got := mo.tr.groups[number].period
		c.Assert(got > want-20*ms && got < want+20*ms, qt.IsTrue, qt.Commentf("%v", got))
	}
}

// Guards against requests that are sent so shortly before a forecast stall that they meet
// it, against avoiding a server after it, and against forecasts that make no sense.
func TestForecastIsApplied(t *testing.T) {
	c := qt.New(t)
	var ou Outlook
	fc := Forecast{ID: "a", PeriodMicros: 3000000, InMillis: 1000, LengthMillis: 120, SpreadMillis: 20}
	ou.SetForecast(5000*ms, 10*ms, fc) // The stalls begin at 5990, 8990, ... ms.
	for _, tt := range []struct {
		at, want time.Duration
	}{
		{5950 * ms, 0},
		{5961 * ms, 6130 * ms},
		{6100 * ms, 6130 * ms},
		{6127 * ms, 0},
		{8900 * ms, 0},
		{8975 * ms, 9130 * ms},
		{12100 * ms, 12130 * ms},
		{5000*ms + forecastTTL, 0},
	} {
		until, forecast, ok := ou.Until(tt.at, 10*ms)
		c.Check(until, qt.Equals, tt.want, qt.Commentf("%v", tt.at))
		c.Check(ok && forecast, qt.Equals, tt.want > 0)
	}
	// Long work doesn't make a server be avoided all the time.
	_, _, ok := ou.Until(7000*ms, 10*time.Second)
	c.Assert(ok, qt.IsFalse)
	c.Assert(ou.Contradicts(6050*ms, 6030*ms), qt.IsTrue)
	c.Assert(ou.Contradicts(6050*ms, 5995*ms), qt.IsFalse) // The stall may have begun later.
	c.Assert(ou.Contradicts(6100*ms, 6030*ms), qt.IsFalse) // It may have ended sooner.
	for _, bad := range []Forecast{
		{},
		{PeriodMicros: 10, LengthMillis: 120},
		{PeriodMicros: 3000000, LengthMillis: 900},
		{PeriodMicros: 3000000, LengthMillis: 100, InMillis: math.MaxUint32},
		{PeriodMicros: math.MaxUint32, LengthMillis: 100},
		{PeriodMicros: 3000000, LengthMillis: 100, SpreadMillis: 1000},
	} {
		ou.SetForecast(5000*ms, 0, fc)
		ou.SetForecast(5000*ms, 0, bad)
		_, _, ok := ou.Until(6050*ms, 10*ms)
		c.Check(ok, qt.IsFalse, qt.Commentf("%+v", bad))
	}
}

// Guards against a herd: forecast stalls must not shift the load of a server to one other.
func TestForecastsMakeNoHerd(t *testing.T) {
	c := qt.New(t)
	mo := newModel(3, regular(3*time.Second, 120*ms, 20*ms))
	mo.run(20 * time.Second)
	most := 0
	for range 600 {
		counts := make(map[*modelServer]int)
		mo.sent = func(se *modelServer) { counts[se]++ }
		mo.run(mo.now + 100*ms)
		for _, count := range counts {
			most = max(most, count)
		}
	}
	// 3.9 requests of 100 ms; 5.9 while one of three is avoided, 11.7 while two are.
	c.Assert(most < 24, qt.IsTrue, qt.Commentf("%d", most))
}

// Guards against panics, endless loops, unbounded memory, and forecasts or news out of
// bounds, whatever entry instances report.
func TestTrackerTakesAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := func(ok bool) {
			t.Helper()
			if !ok {
				t.Fatal("out of bounds")
			}
		}
		tr, at := NewTracker(), time.Duration(0)
		var ou Outlook
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at += time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "wait"))
			obs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Observation {
				return Observation{
					ID: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "id"), Born: rapid.Int64Range(-1, 2).Draw(t, "born"),
					Kind: Kind(rapid.IntRange(0, 5).Draw(t, "kind")), Group: rapid.Uint32Range(0, 3).Draw(t, "group"),
					AgeMillis: rapid.OneOf(rapid.Uint32Range(0, 500), rapid.Uint32()).Draw(t, "age"),
					EndMillis: rapid.OneOf(rapid.Uint32Range(0, 100), rapid.Uint32()).Draw(t, "end"),
				}
			}), 0, 5).Draw(t, "observations")
			tr.Add(at, obs)
			tr.Update(at)
			for _, st := range tr.TakeNews(at) {
				check(st.LeftMillis > 0 && fromMillis(st.LeftMillis) <= MaxLength+minLeft)
				ou.Hear(at, 0, st)
			}
			for _, fc := range tr.TakeForecasts(at) {
				check(fc.PeriodMicros == 0 || fc.PeriodMicros >= uint32(minPeriod/time.Microsecond)/2)
				check(fromMillis(fc.LengthMillis) <= MaxLength && fromMillis(fc.SpreadMillis) <= maxSpread)
				ou.SetForecast(at, 0, fc)
			}
			if until, _, ok := ou.Until(at, 10*ms); ok {
				check(until > at && until <= at+MaxLength+minLeft+2*maxSpread+20*ms)
			}
			check(len(tr.servers) <= 3 && len(tr.groups) <= 5 && len(tr.news) <= maxNews)
			for _, se := range tr.servers {
				check(len(se.stalls) <= maxStalls)
			}
		}
	})
}

// BenchmarkUpdate measures what a control instance does a few times a second with forecasts
// of 6,900 servers, and BenchmarkFindPeriod one search.
func BenchmarkUpdate(b *testing.B) {
	tr := NewTracker()
	for ix := range 6900 {
		se := &server{id: fmt.Sprint("s", ix), group: 1, period: 3 * time.Second}
		se.forecast = &forecast{next: time.Duration(ix) * ms, length: 120 * ms}
		tr.servers[se.id] = se
	}
	tr.group(allServers).period = 3 * time.Second
	at := time.Duration(0)
	for b.Loop() {
		at += 250 * ms
		for _, se := range tr.servers {
			se.seen = at
			if se.forecast != nil {
				se.forecast.confirmedAt = at
			}
		}
		tr.Update(at)
		tr.TakeForecasts(at)
	}
}

func BenchmarkFindPeriod(b *testing.B) {
	rn := rand.New(rand.NewPCG(1, 2))
	var gaps []time.Duration
	for range maxGaps {
		gaps = append(gaps, time.Duration(rn.Int64N(int64(20*time.Second))))
	}
	for b.Loop() {
		findPeriod(gaps)
	}
}
