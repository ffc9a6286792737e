package quarantine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

func at(after time.Duration) time.Time { return start.Add(after) }

// key returns the key of the nth request.
func key(nth int) Key { return Content{URI: fmt.Sprint(nth)}.Key() }

// attempts counts the attempts of the tests, each of which has its own id.
var attempts int

// unwarned returns the loss of an attempt that began without a known suspicion.
func unwarned(ke Key, servers ...string) Loss {
	attempts++
	return Loss{Key: ke, Attempt: fmt.Sprint(attempts), Servers: servers}
}

// probe returns the loss of a probe that began at a time.
func probe(ke Key, start time.Time, server string) Loss {
	attempts++
	return Loss{Key: ke, Attempt: fmt.Sprint(attempts), Start: start, Probe: true, Service: "s", Servers: []string{server}}
}

func verdict(tr *Tracker, now time.Time, ke Key) Verdict {
	ve, _ := tr.Check(now, ke)
	return ve
}

// refuse makes a tracker refuse a request.
func refuse(tr *Tracker, now time.Time, ke Key) {
	tr.RecordLoss(now, unwarned(ke, "a"))
	tr.RecordLoss(now, probe(ke, now, "b"))
	tr.RecordLoss(now, probe(ke, now, "c"))
}

// A query of death is sent again and again. The first attempt may reach many servers, the
// following ones one each, and the fourth none.
func TestThirdLossRefuses(t *testing.T) {
	c := qt.New(t)
	tr := New()
	ke := key(1)
	c.Assert(verdict(tr, start, ke), qt.Equals, Pass)
	tr.RecordLoss(at(0), unwarned(ke, "a", "b", "c", "d"))
	c.Assert(verdict(tr, at(time.Second), ke), qt.Equals, Probe)
	tr.RecordLoss(at(time.Second), probe(ke, at(time.Second), "e"))
	c.Assert(verdict(tr, at(2*time.Second), ke), qt.Equals, Probe)
	tr.RecordLoss(at(2*time.Second), probe(ke, at(2*time.Second), "f"))
	ve, left := tr.Check(at(3*time.Second), ke)
	c.Assert(ve, qt.Equals, Refuse)
	c.Assert(left, qt.Equals, suspicionTTL-time.Second)
	c.Assert(verdict(tr, at(3*time.Second), key(2)), qt.Equals, Pass)
}

// A rack is lost, and with it all servers that were running a popular request for many
// callers at many instances. The request must not be refused: all these attempts count as
// one, and the first answered probe clears it.
func TestPopularRequestOnLostRackIsNotRefused(t *testing.T) {
	c := qt.New(t)
	tr := New()
	ke := key(1)
	for nth := range 50 {
		tr.RecordLoss(at(time.Duration(nth)*time.Millisecond), unwarned(ke, fmt.Sprint("a", nth), fmt.Sprint("b", nth)))
	}
	c.Assert(verdict(tr, at(time.Second), ke), qt.Equals, Probe)
	c.Assert(tr.RequestAnswered(at(time.Second), ke), qt.IsTrue)
	c.Assert(tr.RequestAnswered(at(time.Second), ke), qt.IsFalse)
	c.Assert(verdict(tr, at(time.Second), ke), qt.Equals, Pass)
}

// All servers of a service crash within seconds of their start, whatever they run, because
// of a bad release. Frequent requests must not be refused, which would last long after the
// rollback. While the service answers no request, no probe counts.
func TestFailuresOfWholeServiceRefuseNoRequest(t *testing.T) {
	c := qt.New(t)
	tr := New()
	for round := range 20 {
		now := at(time.Duration(round) * time.Second)
		for nth := range 5 {
			lo := probe(key(nth), now, fmt.Sprint("s", round, nth))
			if verdict(tr, now, key(nth)) == Pass {
				lo = unwarned(key(nth), fmt.Sprint("s", round, nth))
				lo.Service = "s"
			}
			tr.RecordLoss(now.Add(time.Duration(nth)*time.Millisecond), lo)
		}
	}
	for nth := range 5 {
		c.Check(verdict(tr, at(time.Minute), key(nth)), qt.Equals, Probe, qt.Commentf("%d", nth))
	}
}

// A server that crashes under a query of death takes other requests down with it. Their
// losses must not excuse the query of death, because its service answers other requests all
// the time.
func TestLossesOfOtherRequestsDoNotExcuse(t *testing.T) {
	c := qt.New(t)
	tr := New()
	tr.RecordLoss(at(0), unwarned(key(1), "a", "b", "c"))
	for round := 1; round <= 2; round++ {
		now := at(time.Duration(round) * time.Second)
		beside := unwarned(key(10+round), "x")
		beside.Service = "s"
		tr.RecordLoss(now.Add(time.Millisecond), beside)
		tr.RecordLoss(now.Add(2*time.Millisecond), probe(key(1), now, fmt.Sprint("d", round)))
		tr.ServiceAnswered("s")
	}
	c.Assert(verdict(tr, at(time.Minute), key(1)), qt.Equals, Refuse)
	c.Assert(verdict(tr, at(time.Minute), key(11)), qt.Equals, Probe)
}

// One server keeps cutting off its callers and continues to run. However often it does,
// that is no evidence against a request.
func TestLossesOfOneServerDoNotRefuse(t *testing.T) {
	c := qt.New(t)
	tr := New()
	for nth := range 10 {
		now := at(time.Duration(nth) * time.Second)
		tr.RecordLoss(now, probe(key(1), now, "a"))
	}
	c.Assert(verdict(tr, at(time.Minute), key(1)), qt.Equals, Probe)
}

// The cause of the failures may have been fixed meanwhile. The request is probed after a
// time, refused as long again if a server fails once more, and forgotten if it does not
// come again.
func TestRefusalExpires(t *testing.T) {
	c := qt.New(t)
	tr := New()
	refuse(tr, at(0), key(1))
	tr.RecordLoss(at(0), unwarned(key(2), "x"))
	c.Assert(verdict(tr, at(suspicionTTL-1), key(1)), qt.Equals, Refuse)
	c.Assert(verdict(tr, at(suspicionTTL), key(1)), qt.Equals, Probe)
	c.Assert(verdict(tr, at(suspicionTTL), key(2)), qt.Equals, Pass)
	tr.RecordLoss(at(suspicionTTL), probe(key(1), at(suspicionTTL), "z"))
	c.Assert(verdict(tr, at(2*suspicionTTL-1), key(1)), qt.Equals, Refuse)
	c.Assert(tr.Records(at(3*suspicionTTL)), qt.HasLen, 0)
	c.Assert(verdict(tr, at(3*suspicionTTL), key(1)), qt.Equals, Pass)
	c.Assert(tr.Empty(), qt.IsTrue)
}

// Somebody sends thousands of requests that are cut off. Memory must stay bounded, a
// refused request must stay refused, and the record of one close to it must be kept.
func TestRecordsAreBounded(t *testing.T) {
	c := qt.New(t)
	tr := New()
	refuse(tr, at(0), key(0))
	tr.RecordLoss(at(0), unwarned(key(1), "a"))
	tr.RecordLoss(at(0), probe(key(1), at(0), "b"))
	for nth := range 3 * maxRecords {
		tr.RecordLoss(at(time.Second), unwarned(key(2+nth), "a"))
	}
	c.Assert(tr.Records(at(time.Second)), qt.HasLen, maxRecords)
	c.Assert(len(tr.TakeUpdates(at(time.Second))) <= maxRecords, qt.IsTrue)
	c.Assert(verdict(tr, at(time.Second), key(0)), qt.Equals, Refuse)
	c.Assert(verdict(tr, at(time.Second), key(1)), qt.Equals, Probe)
	c.Assert(tr.Count(Refuse), qt.Equals, 1)
}

// A request reaches each server through another instance. Each instance knows of one loss
// only; together they know of all.
func TestLossesOfInstancesAddUp(t *testing.T) {
	c := qt.New(t)
	control := New()
	trs := []*Tracker{New(), New(), New()}
	share := func(now time.Time) {
		for _, tr := range trs {
			control.Merge(now, tr.TakeUpdates(now))
		}
		for _, tr := range trs {
			c.Assert(tr.Merge(now, control.Records(now)) == nil, qt.IsFalse)
			c.Assert(tr.Merge(now, control.Records(now)), qt.HasLen, 0)
			c.Assert(tr.TakeUpdates(now), qt.HasLen, 0)
		}
	}
	trs[0].RecordLoss(at(0), unwarned(key(1), "a"))
	control.Merge(at(0), trs[0].TakeUpdates(at(0)))
	trs[1].Merge(at(0), control.Records(at(0)))
	trs[2].Merge(at(0), control.Records(at(0)))
	trs[1].RecordLoss(at(time.Second), probe(key(1), at(time.Second), "b"))
	trs[2].RecordLoss(at(time.Second), probe(key(1), at(time.Second), "c"))
	share(at(time.Second))
	for _, tr := range trs {
		c.Assert(verdict(tr, at(2*time.Second), key(1)), qt.Equals, Refuse)
	}
}

// An instance that was cut off returns with losses of a request that was answered elsewhere
// since. The request must stay cleared.
func TestClearedRequestIgnoresOlderLosses(t *testing.T) {
	c := qt.New(t)
	tr, away := New(), New()
	refuse(away, at(0), key(1))
	tr.Merge(at(0), away.TakeUpdates(at(0)))
	tr.RequestAnswered(at(time.Second), key(1))
	c.Assert(tr.Merge(at(2*time.Second), away.Records(at(2*time.Second))), qt.HasLen, 0)
	c.Assert(verdict(tr, at(2*time.Second), key(1)), qt.Equals, Pass)
	away.Merge(at(2*time.Second), tr.Records(at(2*time.Second)))
	c.Assert(verdict(away, at(2*time.Second), key(1)), qt.Equals, Pass)
}

// Records pass over links and are stored on disk, so they may arrive in any order, twice,
// late or damaged. Trackers that received the same losses must agree.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var rcs []Record
		for range rapid.IntRange(1, 12).Draw(rt, "records") {
			rc := Record{Key: key(rapid.IntRange(0, 2).Draw(rt, "key")), AgeMillis: uint32(rapid.IntRange(0, 5).Draw(rt, "ago"))}
			for range rapid.IntRange(0, 2).Draw(rt, "losses") {
				rc.Losses = append(rc.Losses, uint64(rapid.IntRange(0, 2).Draw(rt, "loss")))
				rc.Servers = append(rc.Servers, fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "server")))
			}
			rcs = append(rcs, rc)
		}
		one, two := New(), New()
		for _, rc := range rcs {
			one.Merge(start, []Record{rc})
		}
		for _, ix := range rapid.Permutation(indices(len(rcs))).Draw(rt, "order") {
			two.Merge(start, []Record{rcs[ix], rcs[ix]})
		}
		for nth := range 3 {
			if a, b := verdict(one, start, key(nth)), verdict(two, start, key(nth)); a != b {
				rt.Fatalf("request %d: %v and %v", nth, a, b)
			}
		}
	})
}

func indices(count int) []int {
	out := make([]int, count)
	for ix := range out {
		out[ix] = ix
	}
	return out
}
