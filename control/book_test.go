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

// later gives a time on the leader's clock.
func later(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// settledBook is the book of a leader whose predecessor's leases have run out.
func settledBook() LeaseTable {
	return NewLeaseTable(start.Add(-lease), lease)
}

func entryNamed(name string) view.Instance {
	return view.Instance{Name: name, Entry: true, Incarnation: 1}
}

// renew asserts the verdict on a renewal.
func renew(tb testing.TB, bo LeaseTable, at float64, rn Renewal, maxEntries int, reason string) LeaseTable {
	tb.Helper()
	ne, ok, got := bo.WithRenewal(later(at), rn, maxEntries)
	qt.Assert(tb, got, qt.Matches, reason)
	qt.Assert(tb, ok, qt.Equals, reason == "")
	return ne
}

// A leader dies. Its successor has heard of no instance yet, but some hold a
// lease that the old leader granted a moment ago and serve an older revision,
// cut off from the new leader. If the new leader said "accepted" at once, or
// granted leases to others, a stale instance would serve beside them.
func TestNewLeaderWaitsOutLeases(t *testing.T) {
	c := qt.New(t)
	bo := NewLeaseTable(start, lease)
	bo = renew(t, bo, 1, Renewal{Instance: entryNamed("held"), InForce: 5, Leased: true}, 2, "")
	bo = renew(t, bo, 1, Renewal{Instance: entryNamed("new"), InForce: 5}, 2, reasonQuiet)
	all, waiting := bo.InForce(later(3.9), 5)
	c.Check(all, qt.IsFalse)
	c.Check(waiting, qt.DeepEquals, []string{reasonEarlier})
	all, _ = bo.InForce(later(4), 5)
	c.Check(all, qt.IsTrue)
	renew(t, bo, 4, Renewal{Instance: entryNamed("new"), InForce: 5}, 2, "")
}

// A change is committed. One instance follows, one is cut off, one renews its
// lease and never follows. The change is in force once each of them uses it or
// has lost its lease, which takes two leases at most.
func TestInForceEverywhere(t *testing.T) {
	c := qt.New(t)
	bo := settledBook().WithRevision(start, 1)
	for _, na := range []string{"cut", "follows", "stuck"} {
		bo = renew(t, bo, 0, Renewal{Instance: entryNamed(na), InForce: 1}, 9, "")
	}
	bo = bo.WithRevision(later(1), 2)
	for _, at := range []float64{1.5, 3, 4.5} {
		bo = renew(t, bo, at, Renewal{Instance: entryNamed("follows"), InForce: 2}, 9, "")
		bo = renew(t, bo, at, Renewal{Instance: entryNamed("stuck"), InForce: 1}, 9, "")
	}
	_, waiting := bo.InForce(later(3.9), 2)
	c.Check(waiting, qt.DeepEquals, []string{"cut", "stuck"})
	bo = renew(t, bo, 5, Renewal{Instance: entryNamed("stuck"), InForce: 1}, 9, reasonBehind)
	bo = renew(t, bo, 5, Renewal{Instance: entryNamed("back"), InForce: 1}, 9, reasonBehind)
	_, waiting = bo.InForce(later(8.4), 2)
	c.Check(waiting, qt.DeepEquals, []string{"stuck"})
	all, _ := bo.InForce(later(8.5), 2)
	c.Check(all, qt.IsTrue)
	c.Check(len(bo.Instances(later(8.4))), qt.Equals, 2)
}

// An instance is replaced while its lease still runs. If its successor were let
// in beside it, the two and the others would together open more connections
// than a backend server accepts, and it would refuse some of them.
func TestReplacementWaitsForRoom(t *testing.T) {
	c := qt.New(t)
	bo := settledBook()
	bo = renew(t, bo, 0, Renewal{Instance: entryNamed("a")}, 2, "")
	bo = renew(t, bo, 0, Renewal{Instance: entryNamed("b")}, 2, "")
	restarted := entryNamed("b")
	restarted.Incarnation = 2
	bo = renew(t, bo, 1, Renewal{Instance: entryNamed("c")}, 2, "no room: 2 entry.*")
	bo = renew(t, bo, 1, Renewal{Instance: restarted}, 2, "no room: 2 entry.*")
	bo = renew(t, bo, 1, Renewal{Instance: view.Instance{Name: "control"}}, 2, "")
	bo = renew(t, bo, 2, Renewal{Instance: entryNamed("a")}, 2, "")
	bo = renew(t, bo, 4, Renewal{Instance: restarted}, 2, "")
	bo = renew(t, bo, 4, Renewal{Instance: entryNamed("b")}, 2, reasonSuperseded)
	bo = renew(t, bo, 4, Renewal{Instance: entryNamed("a"), Releasing: true}, 2, reasonReleased)
	bo = renew(t, bo, 4, Renewal{Instance: entryNamed("c")}, 2, "")
	var names []string
	for _, in := range bo.Instances(later(4.5)) {
		names = append(names, fmt.Sprint(in.Name, in.Incarnation))
	}
	c.Check(names, qt.DeepEquals, []string{"b2", "c1", "control0"})
}

// Operators change MaxEntries while instances come, go, lag behind and change
// leaders. Whatever the order, the shares that they use never add up to more
// than the limit.
func TestSharesStayWithinLimit(t *testing.T) {
	type process struct {
		entries int // entries is the divisor that it uses; 0 while it holds no lease.
		until   time.Time
	}
	rapid.Check(t, func(rt *rapid.T) {
		now := start
		bo := settledBook()
		var ps [6]process
		for range rapid.IntRange(1, 60).Draw(rt, "renewals") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, lease / 4, lease / 2}).Draw(rt, "pause"))
			if rapid.IntRange(0, 15).Draw(rt, "leader") == 0 {
				bo = NewLeaseTable(now, lease)
			}
			at := rapid.IntRange(0, len(ps)-1).Draw(rt, "instance")
			pr := &ps[at]
			leased := now.Before(pr.until)
			in := entryNamed(fmt.Sprint(at))
			rn := Renewal{Instance: in, Leased: leased, Entries: pr.entries}
			var ok bool
			bo, ok, _ = bo.WithRenewal(now, rn, rapid.IntRange(1, 6).Draw(rt, "max"))
			if ok && rapid.IntRange(0, 3).Draw(rt, "lost") > 0 {
				pr.entries, pr.until = bo.Divisor(in), now.Add(lease)
			}
			var shares float64
			for i := range ps {
				if !now.Before(ps[i].until) {
					ps[i].entries = 0
					continue
				}
				shares += 1 / float64(ps[i].entries)
			}
			if shares > 1+shareSlack || math.IsInf(shares, 0) {
				rt.Fatalf("the shares add up to %v: %v", shares, ps)
			}
		}
	})
}
