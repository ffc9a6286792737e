package feed

import (
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/stall"
)

// stallEntry is an entry instance that shares stalls.
type stallEntry struct {
	*entry
	mu    sync.Mutex
	heard []stall.Stall
	late  []time.Duration
	fcs   map[string]stall.Forecast // by server
}

func (se *stallEntry) forecasts() map[string]stall.Forecast {
	se.mu.Lock()
	defer se.mu.Unlock()
	return maps.Clone(se.fcs)
}

func (cl *cluster) stallEntry(name, seed string) *stallEntry {
	se := &stallEntry{fcs: make(map[string]stall.Forecast)}
	se.entry = cl.subscribe(SubscriberConfig{
		Self: Entry{Name: name, Address: name + ":80", State: Ready},
		StallsHeard: func(late time.Duration, st Stalls) {
			se.mu.Lock()
			defer se.mu.Unlock()
			se.heard, se.late = append(se.heard, st.Stalls...), append(se.late, late)
			for _, fc := range st.Forecasts {
				se.fcs[fc.ID] = fc
			}
		},
	}, []string{seed})
	return se
}

func (se *stallEntry) received() []stall.Stall {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.heard
}

var stuck = []stall.Observation{{ID: "a1", AgeMillis: 30}}

// Guards against news of a stall that arrive too late to be of use: with links of 1 ms they
// must be at all entry instances within 10 ms. Only the first of two collectors sends them,
// and the second one takes over when it is lost.
func TestStallReachesAllEntriesWithinMilliseconds(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.sharedStalls, cl.latency = true, time.Millisecond
		cos := cl.group("a-one", "b-two", "c-three")
		one, two := cl.stallEntry("entry-1", cos[0].member.Address), cl.stallEntry("entry-2", cos[0].member.Address)
		cl.advance(time.Second)
		c.Assert(one.su.SendStalls(stuck), qt.Equals, 2)
		cl.advance(10 * time.Millisecond)
		for _, se := range []*stallEntry{one, two} {
			c.Assert(se.received(), qt.HasLen, 1)
			c.Assert(se.received()[0].ID, qt.Equals, "a1")
			c.Assert(se.received()[0].AgeMillis < 40, qt.IsTrue)
			c.Assert(se.late[0] < 5*time.Millisecond, qt.IsTrue)
		}
		c.Assert(cos[0].pu.StallCounts(), qt.Equals, StallCounts{Heard: 1, Published: 1})
		c.Assert(cos[1].pu.StallCounts(), qt.Equals, StallCounts{Heard: 1})
		cos[0].kill()
		cl.advance(testLinkTimeout)
		one.su.SendStalls([]stall.Observation{{ID: "a2", AgeMillis: 30}})
		cl.advance(10 * time.Millisecond)
		c.Assert(two.received(), qt.HasLen, 2)
	})
}

// Guards against a link that ends because an instance of the earlier release gets a message
// of an unknown kind, in either direction.
func TestStallsAreNotSentToEarlierRelease(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		old := cl.group("a-old")
		se := cl.stallEntry("entry-1", old[0].member.Address)
		cl.advance(time.Second)
		c.Assert(se.su.SendStalls(stuck), qt.Equals, 0)
		cl.sharedStalls = true
		now := cl.group("b-new")
		oldEntry, newEntry := cl.entry("entry-2", now[0].member.Address), cl.stallEntry("entry-3", now[0].member.Address)
		cl.advance(time.Second)
		before := cl.numMessages("entry-2")
		c.Assert(newEntry.su.SendStalls(stuck), qt.Equals, 1)
		cl.advance(100 * time.Millisecond)
		c.Assert(newEntry.received(), qt.HasLen, 1)
		c.Assert(cl.numMessages("entry-2"), qt.Equals, before)
		c.Assert(oldEntry.su.NumConnected(), qt.Equals, 1)
	})
}

// Guards against blocking, or news from before, while there is no control instance.
func TestStallsWithoutControl(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.sharedStalls = true
		cos := cl.group("a-one")
		se := cl.stallEntry("entry-1", cos[0].member.Address)
		cl.advance(time.Second)
		cos[0].kill()
		cl.advance(testLinkTimeout)
		c.Assert(se.su.SendStalls(stuck), qt.Equals, 0)
		c.Assert(se.received(), qt.HasLen, 0)
	})
}

// Guards against news that waited on a link, while this process was stopped, being passed on
// as current ones.
func TestDelayedNewsAreLate(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.sharedStalls = true
		cos := cl.group("a-one")
		one, two := cl.stallEntry("entry-1", cos[0].member.Address), cl.stallEntry("entry-2", cos[0].member.Address)
		cl.advance(time.Second)
		one.su.SendStalls(stuck)
		cl.advance(200 * time.Millisecond)
		li := cl.linksBetween("entry-2", "")[0]
		li.paused.Store(true)
		one.su.SendStalls([]stall.Observation{{ID: "a2", AgeMillis: 30}})
		cl.advance(150 * time.Millisecond)
		li.paused.Store(false)
		cl.advance(20 * time.Millisecond)
		c.Assert(one.late[1] < 5*time.Millisecond, qt.IsTrue)
		c.Assert(two.late[len(two.late)-1] > 100*time.Millisecond, qt.IsTrue)
	})
}

// Guards against forecasts that don't reach an entry instance, in particular one that links
// after they were made, and against forecasts kept by a control instance that stood still.
func TestForecastsReachAllEntries(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.sharedStalls = true
		cos := cl.group("a-one")
		one := cl.stallEntry("entry-1", cos[0].member.Address)
		cl.advance(time.Second)
		const servers, period = 20, 3 * time.Second
		for range 3 {
			for ix := range servers {
				one.su.SendStalls([]stall.Observation{{ID: fmt.Sprint("a", ix), Kind: stall.Answered, AgeMillis: 120, EndMillis: 1}})
				cl.advance(period / servers)
			}
		}
		cl.advance(time.Second)
		c.Assert(len(one.forecasts()), qt.Equals, servers)
		c.Assert(cos[0].pu.StallCounts().Forecasts.Made, qt.Equals, uint64(servers))
		c.Assert(cl.logs.FilterMessage("stall-forecast-made").Len() > 0, qt.IsTrue)
		two := cl.stallEntry("entry-2", cos[0].member.Address)
		cl.advance(7 * time.Second)
		c.Assert(len(two.forecasts()), qt.Equals, servers)
		for id, fc := range two.forecasts() {
			c.Assert(fc.PeriodMicros > 2990000 && fc.PeriodMicros < 3010000, qt.IsTrue, qt.Commentf("%s %+v", id, fc))
		}
		// After a short pause what has waited is dropped, after a long one everything.
		pu := cos[0].pu
		pu.updateStalls(cl.ts.Now().Add(stallTickGap + outlierInterval))
		before := pu.StallCounts().Published
		one.su.SendStalls(stuck)
		cl.advance(10 * time.Millisecond)
		c.Assert(pu.StallCounts().Published, qt.Equals, before)
		pu.updateStalls(cl.ts.Now().Add(2 * stallGap))
		c.Assert(pu.stalls.tr.TakeForecasts(time.Hour), qt.HasLen, 0)
	})
}
