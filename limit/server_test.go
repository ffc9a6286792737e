package limit

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamwinch.example/backend"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var t0 = time.Unix(1_000_000, 0)

const ms = time.Millisecond

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed for the property tests makes runs reproducible.
	if fl := flag.Lookup("rapid.seed"); fl.Value.String() == fl.DefValue {
		_ = fl.Value.Set("1")
	}
	os.Exit(m.Run())
}

// warmServer returns a serving server whose replies take 5 ms.
func warmServer(slots, entries int) Server {
	se := Server{}.Step(Announced{
		Now: t0, Record: backend.Record{Incarnation: 1, Sequence: 1, Slots: slots}, MaxConnections: 16, NumSharers: entries,
	})
	for range warmupReplies {
		se = se.Step(Sent{Now: t0, Oldest: t0}).Step(Ended{Now: t0, Outcome: Outcome{Kind: OK, Latency: 5 * ms}})
	}
	return se.Step(Compared{Now: t0, MedianLatency: 5 * ms})
}

func reply(now time.Time, ki OutcomeKind, la time.Duration, probe bool) Ended {
	return Ended{Now: now, Outcome: Outcome{Kind: ki, Latency: la}, Probe: probe, Random: 0.5}
}

// TestServerStates steps a server through its states. The golden file has one
// line for each event, with the state, the limit and the availability.
func TestServerStates(t *testing.T) {
	c := qt.New(t)
	var sb strings.Builder
	se, now := Server{}, t0
	availabilities := []string{"unavailable", "full", "lastResort", "degraded", "available", "probeDue"}
	step := func(name string, after time.Duration, evs ...Event) {
		now = now.Add(after)
		for _, ev := range evs {
			se = se.Step(ev)
		}
		fmt.Fprintf(&sb, "%-28s %-9s limit %.2f %s\n", name, se.State(), se.Limit(), availabilities[se.availability(now)])
	}
	announced := func(inc, seq uint64, st backend.State) Event {
		return Announced{Now: now, Record: backend.Record{Incarnation: inc, Sequence: seq, State: st, Slots: 2}, MaxConnections: 4, NumSharers: 2}
	}
	ok := func(n int) (evs []Event) {
		for range n {
			evs = append(evs, Sent{Now: now, Oldest: now}, reply(now, OK, 5*ms, false))
		}
		return evs
	}
	step("announced", 0, announced(1, 1, backend.Serving))
	step("20 replies", 0, ok(20)...)
	step("compared", 0, Compared{Now: now, MedianLatency: 5 * ms})
	step("shed", 0, Sent{Now: now, Oldest: now}, reply(now, Shed, 0, false))
	step("20 ms later", 20*ms)
	step("ejected", 0, Compared{Now: now, MedianLatency: 5 * ms, Verdict: Eject, Reason: Slow, Random: 0.5})
	step("250 ms later", 250*ms)
	step("slow probe", 0, Sent{Now: now, Oldest: now, Probe: true}, reply(now, OK, 50*ms, true))
	step("250 ms later", 250*ms)
	step("500 ms later", 250*ms)
	for range minGoodProbes {
		step("good probe", 20*ms, Sent{Now: now, Oldest: now, Probe: true}, reply(now, OK, 5*ms, true))
	}
	step("reply: draining", 0, Sent{Now: now, Oldest: now}, reply(now, Draining, 0, false))
	step("the old record again", 0, announced(1, 1, backend.Serving))
	step("a newer record", 0, announced(1, 2, backend.Serving))
	step("record: draining", 0, announced(1, 3, backend.Draining))
	step("new incarnation", 0, announced(2, 1, backend.Cold))
	step("delayed old record", 0, announced(1, 9, backend.Draining))
	step("20 replies", 0, ok(20)...)
	step("compared, still cold", 0, Compared{Now: now, MedianLatency: 5 * ms})
	step("removed from the view", 0, Removed{Now: now})
	checkGolden(c, "states.golden", sb.String())
}

func checkGolden(c *qt.C, name, got string) {
	path := filepath.Join("testdata", name)
	if *update {
		c.Assert(os.MkdirAll("testdata", 0o755), qt.IsNil)
		c.Assert(os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
}

// Several instances find no free slot at the same time. If all retried after the
// same delay, they would collide again and again. So the pause has jitter and
// grows with each consecutive shed reply.
func TestShedPauseHasJitterAndBackoff(t *testing.T) {
	c := qt.New(t)
	pause := func(sheds int, random float64) time.Duration {
		se := warmServer(2, 2)
		for range sheds {
			ev := reply(t0, Shed, 0, false)
			ev.Random = random
			se = se.Step(Sent{Now: t0, Oldest: t0}).Step(ev)
		}
		return se.sendDelay(t0)
	}
	c.Assert(pause(1, 0), qt.Equals, 2500*time.Microsecond)
	c.Assert(pause(1, 1), qt.Equals, 7500*time.Microsecond)
	c.Assert(pause(2, 0), qt.Equals, 5*ms)
	c.Assert(pause(9, 0), qt.Equals, 10*ms)
	asked := warmServer(2, 2).Step(Sent{Now: t0, Oldest: t0}).
		Step(Ended{Now: t0, Outcome: Outcome{Kind: Shed, RetryAfter: 40 * ms}})
	c.Assert(asked.sendDelay(t0), qt.Equals, 40*ms)
}

// After any sequence of shed, slow and quick replies, the limit stays between
// the equal share and what slots and connections allow.
func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		se := warmServer(rapid.IntRange(1, 6).Draw(rt, "slots"), rapid.IntRange(1, 30).Draw(rt, "entries"))
		now := t0
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			now = now.Add(5 * ms)
			ki := rapid.SampledFrom([]OutcomeKind{OK, OK, Shed, TimedOut, NotSent}).Draw(rt, "kind")
			la := time.Duration(rapid.IntRange(1, 100).Draw(rt, "ms")) * ms
			se = se.Step(Sent{Now: now, Oldest: now}).Step(reply(now, ki, la, false))
			if se.limit < se.minLimit() || se.limit > se.maxLimit() {
				rt.Fatalf("limit %v outside %v to %v", se.limit, se.minLimit(), se.maxLimit())
			}
		}
	})
}

// With 2 slots and 20 instances, an instance's share is a tenth of a slot. If
// each instance sent whenever it has nothing in flight, twenty would collide at
// two slots. After a burst, an instance keeps to a rate of less than one request
// at a time.
func TestPacingOfLimitBelowOne(t *testing.T) {
	c := qt.New(t)
	se := warmServer(2, 20)
	se.limit = se.minLimit()
	sent, now := 0, t0
	for now.Before(t0.Add(time.Second)) {
		if se.sendDelay(now) == 0 {
			sent++
			se = se.Step(Sent{Now: now, Oldest: now}).Step(reply(now.Add(5*ms), TimedOut, 5*ms, false))
		}
		now = now.Add(5 * ms)
	}
	pace := int(time.Second / (25 * ms)) // a fifth of a slot, because of the overcommit factor
	c.Assert(sent, qt.Equals, pace+maxPaceBurst)
}

// A connection goes silent while the server replies on others. The one old
// request must not make the server count as stuck; if no reply comes at all, the
// server must.
func TestStuckOnlyWithoutReplies(t *testing.T) {
	c := qt.New(t)
	se := warmServer(4, 1).Step(Sent{Now: t0, Oldest: t0}).Step(Sent{Now: t0, Oldest: t0})
	now := t0.Add(99 * ms)
	c.Assert(se.stuck(now), qt.IsFalse)
	c.Assert(se.stuck(now.Add(2*ms)), qt.IsTrue)
	ev := reply(now, OK, 5*ms, false)
	ev.Oldest = t0
	c.Assert(se.Step(ev).stuck(now.Add(2*ms)), qt.IsFalse)
}

// A server is ejected while requests occupy all of this instance's connections
// to it. A probe would exceed this instance's share of the connections.
func TestProbeNeedsConnection(t *testing.T) {
	c := qt.New(t)
	se := warmServer(4, 1)
	se.maxConnections = 1
	se = se.Step(Sent{Now: t0, Oldest: t0}).Step(Compared{Now: t0, Verdict: Eject, Reason: Stuck})
	c.Assert(se.availability(t0.Add(time.Minute)), qt.Equals, full)
	c.Assert(se.Step(reply(t0, TimedOut, 0, false)).availability(t0.Add(time.Minute)), qt.Equals, probeDue)
}

// A backend server that queues requests sheds none until its queue is full, so
// only its latency shows that it is overloaded. The limit must stop growing.
func TestLimitStopsGrowingAtHighLatency(t *testing.T) {
	c := qt.New(t)
	grown := func(la time.Duration) float64 {
		se, now := warmServer(4, 4), t0
		for range 200 {
			now = now.Add(la)
			se = se.Step(Sent{Now: now, Oldest: now}).Step(Sent{Now: now, Oldest: now}).
				Step(reply(now, OK, la, false)).Step(reply(now, OK, la, false))
		}
		return se.Limit()
	}
	c.Assert(grown(5*ms) > 2.9, qt.IsTrue, qt.Commentf("%v", grown(5*ms)))
	c.Assert(grown(14*ms) < 2.5, qt.IsTrue, qt.Commentf("%v", grown(14*ms)))
}

// On every server, one reply in a hundred takes ten times as long. Such replies
// must not make the server look slower.
func TestLatencyClipsOutliers(t *testing.T) {
	c := qt.New(t)
	se := warmServer(4, 1)
	for ix := range 1000 {
		la := 5 * ms
		if ix%100 < 1 {
			la *= 10
		}
		se = se.Step(Sent{Now: t0, Oldest: t0}).Step(reply(t0, OK, la, false))
		c.Assert(se.Latency() < 7*ms, qt.IsTrue, qt.Commentf("%v", se.Latency()))
	}
}
