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

// first is a loss that nobody was warned of.
func first(ke Key, servers ...string) Loss {
	attempts++
	return Loss{Key: ke, Attempt: fmt.Sprint(attempts), Servers: servers}
}

// probe is the loss of a probe that began at a time.
func probe(ke Key, began time.Time, server string) Loss {
	attempts++
	return Loss{Key: ke, Attempt: fmt.Sprint(attempts), Start: began, Probe: true, Service: "s", Servers: []string{server}}
}

func verdict(bo *Tracker, now time.Time, ke Key) Verdict {
	ve, _ := bo.Check(now, ke)
	return ve
}

// refused makes a book refuse a request.
func refused(bo *Tracker, now time.Time, ke Key) {
	bo.RecordLoss(now, first(ke, "a"))
	bo.RecordLoss(now, probe(ke, now, "b"))
	bo.RecordLoss(now, probe(ke, now, "c"))
}

// A request ends the servers that run it and comes again and again. The first attempt may
// meet many servers, those after it one each, and the fourth none.
func TestThirdLossRefuses(t *testing.T) {
	c := qt.New(t)
	bo := New()
	ke := key(1)
	c.Assert(verdict(bo, start, ke), qt.Equals, Pass)
	bo.RecordLoss(at(0), first(ke, "a", "b", "c", "d"))
	c.Assert(verdict(bo, at(time.Second), ke), qt.Equals, Probe)
	bo.RecordLoss(at(time.Second), probe(ke, at(time.Second), "e"))
	c.Assert(verdict(bo, at(2*time.Second), ke), qt.Equals, Probe)
	bo.RecordLoss(at(2*time.Second), probe(ke, at(2*time.Second), "f"))
	ve, left := bo.Check(at(3*time.Second), ke)
	c.Assert(ve, qt.Equals, Refuse)
	c.Assert(left, qt.Equals, holdFor-time.Second)
	c.Assert(verdict(bo, at(3*time.Second), key(2)), qt.Equals, Pass)
}

// A rack is lost, and with it all servers at which a popular request was at that moment,
// asked by many callers at many instances. It is as if it had ended them. It must not be
// refused: all these attempts count as one, and the first probe that is answered clears it.
func TestPopularRequestInALostRackIsNotRefused(t *testing.T) {
	c := qt.New(t)
	bo := New()
	ke := key(1)
	for nth := range 50 {
		bo.RecordLoss(at(time.Duration(nth)*time.Millisecond), first(ke, fmt.Sprint("a", nth), fmt.Sprint("b", nth)))
	}
	c.Assert(verdict(bo, at(time.Second), ke), qt.Equals, Probe)
	c.Assert(bo.RequestAnswered(at(time.Second), ke), qt.IsTrue)
	c.Assert(bo.RequestAnswered(at(time.Second), ke), qt.IsFalse)
	c.Assert(verdict(bo, at(time.Second), ke), qt.Equals, Pass)
}

// All servers of a service end within seconds of their start, whatever they run: a bad
// release. Requests that callers send often would be held for guilty, and refused long
// after the release was taken back. While the service answers nobody, no probe counts.
func TestBrokenServiceRefusesNobody(t *testing.T) {
	c := qt.New(t)
	bo := New()
	for round := range 20 {
		now := at(time.Duration(round) * time.Second)
		for nth := range 5 {
			lo := probe(key(nth), now, fmt.Sprint("s", round, nth))
			if verdict(bo, now, key(nth)) == Pass {
				lo = first(key(nth), fmt.Sprint("s", round, nth))
				lo.Service = "s"
			}
			bo.RecordLoss(now.Add(time.Duration(nth)*time.Millisecond), lo)
		}
	}
	for nth := range 5 {
		c.Check(verdict(bo, at(time.Minute), key(nth)), qt.Equals, Probe, qt.Commentf("%d", nth))
	}
}

// One server that is lost under the guilty request takes others along that ran there. Their
// losses say nothing for the guilty one, as its service answers all others again and again.
func TestLossesOfOthersDoNotExcuse(t *testing.T) {
	c := qt.New(t)
	bo := New()
	bo.RecordLoss(at(0), first(key(1), "a", "b", "c"))
	for round := 1; round <= 2; round++ {
		now := at(time.Duration(round) * time.Second)
		beside := first(key(10+round), "x")
		beside.Service = "s"
		bo.RecordLoss(now.Add(time.Millisecond), beside)
		bo.RecordLoss(now.Add(2*time.Millisecond), probe(key(1), now, fmt.Sprint("d", round)))
		bo.ServiceAnswered("s")
	}
	c.Assert(verdict(bo, at(time.Minute), key(1)), qt.Equals, Refuse)
	c.Assert(verdict(bo, at(time.Minute), key(11)), qt.Equals, Probe)
}

// One server cuts off its callers and goes on. It is no evidence, however often it does.
func TestOneServerIsNoEvidence(t *testing.T) {
	c := qt.New(t)
	bo := New()
	for nth := range 10 {
		now := at(time.Duration(nth) * time.Second)
		bo.RecordLoss(now, probe(key(1), now, "a"))
	}
	c.Assert(verdict(bo, at(time.Minute), key(1)), qt.Equals, Probe)
}

// What a request met may be mended meanwhile. It is probed after a time, refused as long
// again if a server ends once more, and forgotten if nobody asks.
func TestForgets(t *testing.T) {
	c := qt.New(t)
	bo := New()
	refused(bo, at(0), key(1))
	bo.RecordLoss(at(0), first(key(2), "x"))
	c.Assert(verdict(bo, at(holdFor-1), key(1)), qt.Equals, Refuse)
	c.Assert(verdict(bo, at(holdFor), key(1)), qt.Equals, Probe)
	c.Assert(verdict(bo, at(holdFor), key(2)), qt.Equals, Pass)
	bo.RecordLoss(at(holdFor), probe(key(1), at(holdFor), "z"))
	c.Assert(verdict(bo, at(2*holdFor-1), key(1)), qt.Equals, Refuse)
	c.Assert(bo.Records(at(3*holdFor)), qt.HasLen, 0)
	c.Assert(verdict(bo, at(3*holdFor), key(1)), qt.Equals, Pass)
	c.Assert(bo.Empty(), qt.IsTrue)
}

// Somebody sends requests that are cut off by the thousand. Memory stays bounded, and the
// request that is refused stays refused, as does what is known of one that nearly is.
func TestBounded(t *testing.T) {
	c := qt.New(t)
	bo := New()
	refused(bo, at(0), key(0))
	bo.RecordLoss(at(0), first(key(1), "a"))
	bo.RecordLoss(at(0), probe(key(1), at(0), "b"))
	for nth := range 3 * mostRecords {
		bo.RecordLoss(at(time.Second), first(key(2+nth), "a"))
	}
	c.Assert(bo.Records(at(time.Second)), qt.HasLen, mostRecords)
	c.Assert(len(bo.TakeUpdates(at(time.Second))) <= mostRecords, qt.IsTrue)
	c.Assert(verdict(bo, at(time.Second), key(0)), qt.Equals, Refuse)
	c.Assert(verdict(bo, at(time.Second), key(1)), qt.Equals, Probe)
	c.Assert(bo.Count(Refuse), qt.Equals, 1)
}

// A request meets each server at another instance. Each instance alone knows of one loss;
// together they know of all.
func TestInstancesAddUp(t *testing.T) {
	c := qt.New(t)
	control := New()
	bos := []*Tracker{New(), New(), New()}
	share := func(now time.Time) {
		for _, bo := range bos {
			control.Merge(now, bo.TakeUpdates(now))
		}
		for _, bo := range bos {
			c.Assert(bo.Merge(now, control.Records(now)) == nil, qt.IsFalse)
			c.Assert(bo.Merge(now, control.Records(now)), qt.HasLen, 0)
			c.Assert(bo.TakeUpdates(now), qt.HasLen, 0)
		}
	}
	bos[0].RecordLoss(at(0), first(key(1), "a"))
	control.Merge(at(0), bos[0].TakeUpdates(at(0)))
	bos[1].Merge(at(0), control.Records(at(0)))
	bos[2].Merge(at(0), control.Records(at(0)))
	bos[1].RecordLoss(at(time.Second), probe(key(1), at(time.Second), "b"))
	bos[2].RecordLoss(at(time.Second), probe(key(1), at(time.Second), "c"))
	share(at(time.Second))
	for _, bo := range bos {
		c.Assert(verdict(bo, at(2*time.Second), key(1)), qt.Equals, Refuse)
	}
}

// An instance that was cut off comes back with losses of a request that was answered
// elsewhere since. It stays cleared.
func TestOldLossesDoNotComeBack(t *testing.T) {
	c := qt.New(t)
	bo, away := New(), New()
	refused(away, at(0), key(1))
	bo.Merge(at(0), away.TakeUpdates(at(0)))
	bo.RequestAnswered(at(time.Second), key(1))
	c.Assert(bo.Merge(at(2*time.Second), away.Records(at(2*time.Second))), qt.HasLen, 0)
	c.Assert(verdict(bo, at(2*time.Second), key(1)), qt.Equals, Pass)
	away.Merge(at(2*time.Second), bo.Records(at(2*time.Second)))
	c.Assert(verdict(away, at(2*time.Second), key(1)), qt.Equals, Pass)
}

// Records go by links and lie on disks, so they come in any order, twice, late or spoilt.
// Whatever comes, books that heard the same of losses agree, and stay bounded.
func TestHearInAnyOrder(t *testing.T) {
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
