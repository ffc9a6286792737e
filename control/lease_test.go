package control

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamwinch.example/view"
)

const lease = 4 * time.Second

// afterStart returns a time on the leader's clock.
func afterStart(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// tableAfterPriorLeases returns the table of a leader whose predecessor's leases
// have expired.
func tableAfterPriorLeases() LeaseTable {
	return NewLeaseTable(start.Add(-lease), lease)
}

func entryInstance(name string) view.Instance {
	return view.Instance{Name: name, Entry: true, Incarnation: 1}
}

// renew applies a renewal and asserts that it is rejected with a reason matching
// reason, or granted if reason is empty.
func renew(tb testing.TB, lt LeaseTable, at float64, rn Renewal, maxEntries int, reason string) LeaseTable {
	tb.Helper()
	ne, ok, got := lt.WithRenewal(afterStart(at), rn, maxEntries)
	qt.Assert(tb, got, qt.Matches, reason)
	qt.Assert(tb, ok, qt.Equals, reason == "")
	return ne
}

// After a leader fails, instances that can't reach the new leader may still hold
// leases from the old one and serve an older revision. If the new leader reported a
// change as accepted or granted new leases at once, a stale instance would serve
// beside them.
func TestNewLeaderWaitsForPriorLeases(t *testing.T) {
	c := qt.New(t)
	lt := NewLeaseTable(start, lease)
	lt = renew(t, lt, 1, Renewal{Instance: entryInstance("held"), InForce: 5, Leased: true}, 2, "")
	lt = renew(t, lt, 1, Renewal{Instance: entryInstance("new"), InForce: 5}, 2, reasonPriorLeases)
	all, waiting := lt.InForce(afterStart(3.9), 5)
	c.Check(all, qt.IsFalse)
	c.Check(waiting, qt.DeepEquals, []string{waitingForPriorLeases})
	all, _ = lt.InForce(afterStart(4), 5)
	c.Check(all, qt.IsTrue)
	renew(t, lt, 4, Renewal{Instance: entryInstance("new"), InForce: 5}, 2, "")
}

// After a change is committed, one instance applies it, one is unreachable, and one
// renews its lease without applying the change. The change is in force once each of
// them uses it or has lost its lease, which takes at most two lease durations.
func TestInForceWaitsForAllLeaseHolders(t *testing.T) {
	c := qt.New(t)
	lt := tableAfterPriorLeases().WithRevision(start, 1)
	for _, na := range []string{"cut", "follows", "stuck"} {
		lt = renew(t, lt, 0, Renewal{Instance: entryInstance(na), InForce: 1}, 9, "")
	}
	lt = lt.WithRevision(afterStart(1), 2)
	for _, at := range []float64{1.5, 3, 4.5} {
		lt = renew(t, lt, at, Renewal{Instance: entryInstance("follows"), InForce: 2}, 9, "")
		lt = renew(t, lt, at, Renewal{Instance: entryInstance("stuck"), InForce: 1}, 9, "")
	}
	_, waiting := lt.InForce(afterStart(3.9), 2)
	c.Check(waiting, qt.DeepEquals, []string{"cut", "stuck"})
	lt = renew(t, lt, 5, Renewal{Instance: entryInstance("stuck"), InForce: 1}, 9, reasonStaleRevision)
	lt = renew(t, lt, 5, Renewal{Instance: entryInstance("back"), InForce: 1}, 9, reasonStaleRevision)
	_, waiting = lt.InForce(afterStart(8.4), 2)
	c.Check(waiting, qt.DeepEquals, []string{"stuck"})
	all, _ := lt.InForce(afterStart(8.5), 2)
	c.Check(all, qt.IsTrue)
	c.Check(len(lt.Instances(afterStart(8.4))), qt.Equals, 2)
}

// An instance is replaced while its lease is still valid. If its successor got a
// lease at once, all instances together would open more connections than a backend
// server accepts, and the server would refuse some of them.
func TestReplacementWaitsForLeaseExpiry(t *testing.T) {
	c := qt.New(t)
	lt := tableAfterPriorLeases()
	lt = renew(t, lt, 0, Renewal{Instance: entryInstance("a")}, 2, "")
	lt = renew(t, lt, 0, Renewal{Instance: entryInstance("b")}, 2, "")
	restarted := entryInstance("b")
	restarted.Incarnation = 2
	lt = renew(t, lt, 1, Renewal{Instance: entryInstance("c")}, 2, "no room: 2 entry.*")
	lt = renew(t, lt, 1, Renewal{Instance: restarted}, 2, "no room: 2 entry.*")
	lt = renew(t, lt, 1, Renewal{Instance: view.Instance{Name: "control"}}, 2, "")
	lt = renew(t, lt, 2, Renewal{Instance: entryInstance("a")}, 2, "")
	lt = renew(t, lt, 4, Renewal{Instance: restarted}, 2, "")
	lt = renew(t, lt, 4, Renewal{Instance: entryInstance("b")}, 2, reasonSuperseded)
	lt = renew(t, lt, 4, Renewal{Instance: entryInstance("a"), Releasing: true}, 2, reasonReleased)
	lt = renew(t, lt, 4, Renewal{Instance: entryInstance("c")}, 2, "")
	var names []string
	for _, in := range lt.Instances(afterStart(4.5)) {
		names = append(names, fmt.Sprint(in.Name, in.Incarnation))
	}
	c.Check(names, qt.DeepEquals, []string{"b2", "c1", "control0"})
}

// Operators change MaxEntries while instances start, stop and lag behind and the
// leader changes. In any order, the shares of the connection limit in use never add
// up to more than the limit.
func TestConnectionSharesStayWithinLimit(t *testing.T) {
	type process struct {
		entries int // divisor in use; 0 without a lease
		until   time.Time
	}
	rapid.Check(t, func(rt *rapid.T) {
		now := start
		lt := tableAfterPriorLeases()
		var ps [6]process
		for range rapid.IntRange(1, 60).Draw(rt, "renewals") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, lease / 4, lease / 2}).Draw(rt, "pause"))
			if rapid.IntRange(0, 15).Draw(rt, "leader") == 0 {
				lt = NewLeaseTable(now, lease)
			}
			at := rapid.IntRange(0, len(ps)-1).Draw(rt, "instance")
			pr := &ps[at]
			leased := now.Before(pr.until)
			in := entryInstance(fmt.Sprint(at))
			rn := Renewal{Instance: in, Leased: leased, Entries: pr.entries}
			var ok bool
			lt, ok, _ = lt.WithRenewal(now, rn, rapid.IntRange(1, 6).Draw(rt, "max"))
			if ok && rapid.IntRange(0, 3).Draw(rt, "lost") > 0 {
				pr.entries, pr.until = lt.Divisor(in), now.Add(lease)
			}
			var shares float64
			for i := range ps {
				if !now.Before(ps[i].until) {
					ps[i].entries = 0
					continue
				}
				shares += 1 / float64(ps[i].entries)
			}
			if shares > 1+shareTolerance || math.IsInf(shares, 0) {
				rt.Fatalf("the shares add up to %v: %v", shares, ps)
			}
		}
	})
}
