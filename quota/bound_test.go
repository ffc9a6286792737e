package quota

import (
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"balsamwinch.example/customer"
)

// Guards against any order of failures in which more requests of a customer are admitted
// within a window than the users' bound, with spare tokens: owners that are killed, suspended, cut off from the
// leader, or replaced while they keep running, entry instances that are killed, suspended or added,
// customers that are removed and restored, and messages that are lost, late or repeated.
// All customers send up to seven times their quota.
func TestBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		voters := rapid.SampledFrom([]int{1, 3, 5, 7}).Draw(rt, "voters")
		quotas := make(map[string]customer.Quota)
		for ix := range rapid.IntRange(1, 3).Draw(rt, "customers") {
			quotas[fmt.Sprint("k", ix)] = customer.Quota{
				Rate:  rapid.Float64Range(0.5, 150).Draw(rt, "rate"),
				Burst: rapid.Float64Range(0, 200).Draw(rt, "burst"),
			}
		}
		mo := newModel(rapid.Uint64().Draw(rt, "seed"), voters, 6, quotas)
		mo.duplicate = rapid.Bool().Draw(rt, "duplicate")
		slow := time.Duration(rapid.IntRange(1, 600).Draw(rt, "slow ms")) * time.Millisecond
		mo.latency = func() time.Duration {
			if mo.random.IntN(10) == 0 {
				return time.Duration(mo.random.Int64N(int64(slow)))
			}
			return time.Millisecond
		}
		cutLinks := make(map[[2]int]bool)
		mo.lost = func(entry, owner int, _ bool) bool { return cutLinks[[2]int{entry, owner}] || mo.random.IntN(50) == 0 }
		const span = 14 * time.Second
		until := mo.now.Add(span)
		restarts := 0
		for name, qu := range quotas {
			load, anywhere := rapid.Float64Range(0.5, 7).Draw(rt, "load"), func() int { return mo.random.IntN(len(mo.entries)) }
			// A part of the load comes first and stops for a while, so that the buckets are full and
			// entry instances hold spare tokens when the rest comes.
			surge := time.Duration(rapid.IntRange(0, 8000).Draw(rt, "surge ms")) * time.Millisecond
			quiet := time.Duration(rapid.IntRange(0, 2500).Draw(rt, "quiet ms")) * time.Millisecond
			mo.caller(name, rapid.Float64Range(0.1, 1).Draw(rt, "part")*qu.Rate, mo.now.Add(surge-quiet), anywhere)
			mo.after(surge, func() { mo.caller(name, load*qu.Rate, until, anywhere) })
		}
		for range rapid.IntRange(0, 8).Draw(rt, "faults") {
			at := time.Duration(rapid.IntRange(0, 12000).Draw(rt, "at")) * time.Millisecond
			owner, entry := rapid.IntRange(0, voters-1).Draw(rt, "owner"), rapid.IntRange(0, 5).Draw(rt, "entry")
			switch rapid.SampledFrom([]string{"kill", "restart", "freeze", "cut", "replace", "entry killed", "entry added", "link cut", "customer removed", "power lost", "entry frozen", "replaced voter restarts"}).Draw(rt, "fault") {
			case "power lost":
				if restarts += voters; restarts <= 9 {
					mo.after(at, func() {
						for ix := range mo.owners {
							mo.restartAlone(ix, time.Duration(mo.random.IntN(2500))*time.Millisecond)
						}
					})
				}
			case "replaced voter restarts":
				if restarts++; restarts <= 5 {
					mo.after(at, func() {
						mo.owners[owner].dead = true
						mo.lose(owner)
						mo.after(2500*time.Millisecond, func() { mo.replace(owner) })
						mo.after(time.Duration(2500+mo.random.IntN(7000))*time.Millisecond, func() { mo.restartAlone(owner, 0) })
					})
				}
			case "kill":
				mo.after(at, func() { mo.owners[owner].dead = true })
			case "restart":
				if restarts++; restarts <= 5 { // Each restart may cost a token of the slack.
					mo.after(at, func() { mo.restart(owner) })
				}
			case "freeze":
				mo.after(at, func() { mo.freeze(owner, time.Duration(mo.random.IntN(3000))*time.Millisecond) })
			case "cut":
				mo.after(at, func() { mo.lose(owner) })
			case "replace":
				mo.after(at, func() {
					if ow := mo.owners[owner]; !ow.lost {
						mo.lose(owner)
						mo.after(2500*time.Millisecond, func() { mo.replace(owner) })
					}
				})
			case "entry frozen":
				mo.after(at, func() { mo.entries[entry].frozen = mo.now.Add(time.Duration(mo.random.IntN(4000)) * time.Millisecond) })
			case "entry killed":
				mo.after(at, func() { mo.entries[entry].dead = true })
			case "entry added":
				mo.after(at, func() {
					mo.entries = append(mo.entries, &modelEntry{le: NewLedger(testLimits, mo.random.Uint64()), calls: make(map[uint64]*modelCall)})
				})
			case "link cut":
				mo.after(at, func() { cutLinks[[2]int{entry, owner}] = true })
			case "customer removed":
				mo.after(at, func() { mo.setQuotas(map[string]customer.Quota{}) })
				mo.after(at+50*time.Millisecond, func() { mo.setQuotas(maps.Clone(quotas)) })
			}
		}
		mo.run(span)
		for name, qu := range quotas {
			if over := excess(qu, mo.tally(name).admitted); over > 0 {
				rt.Fatalf("%s %+v: %.1f too many", name, qu, over)
			}
		}
	})
}

// Guards against shares that are used twice after starts: voters that were replaced while
// they were away come back with their disks and grant without contact, as many as a minority,
// while all others grant their full shares to callers that use whatever is granted.
func TestReplacedVotersComeBack(t *testing.T) {
	for _, voters := range []int{1, 3, 5, 7, 9} {
		qu := customer.Quota{Rate: 1000}
		mo := newModel(1, voters, 10, map[string]customer.Quota{"k": qu})
		mo.caller("k", 3*qu.Rate, mo.now.Add(16*time.Second), func() int { return mo.random.IntN(10) })
		away := max(1, voters/2)
		for ix := range away {
			mo.after(time.Duration(ix+1)*time.Millisecond, func() {
				mo.owners[ix].dead = true
				mo.lose(ix)
				mo.replace(ix)
			})
			mo.after(11*time.Second, func() { mo.restartAlone(ix, 0) })
		}
		mo.run(16 * time.Second)
		over := excess(qu, mo.tally("k").admitted)
		qt.Check(t, over <= 0, qt.IsTrue, qt.Commentf("%d voters: %.1f too many", voters, over))
		li, st := testLimits, Standing{Voting: true, Voters: voters}
		alone := 0.0
		for range away {
			ow := NewOwner(mo.now, li)
			ow.SetQuotas(mo.now, 1, mo.quotas)
			for at := time.Duration(0); at < 2*startGrace; at += time.Millisecond {
				if grants, _ := ow.Grant(mo.now.Add(at), st, 1, []Want{{Customer: "k", Count: 1000}}); len(grants) > 0 {
					alone += float64(grants[0].Count)
				}
			}
		}
		qt.Check(t, alone <= float64(away)+graceUse*li.Overage*li.Window.Seconds()*qu.Rate+1e-6, qt.IsTrue, qt.Commentf("%d voters: %v without contact", voters, alone))
	}
}

// Guards against a customer whose requests are refused after a loss of power of all instances
// until there is a leader again.
func TestGrantsBeforeLeaderIsElected(t *testing.T) {
	qu := customer.Quota{Rate: 8, Burst: 8}
	mo := newModel(1, 5, 83, map[string]customer.Quota{"k": qu})
	for ix := range mo.owners {
		mo.restartAlone(ix, 800*time.Millisecond)
	}
	mo.caller("k", 5, mo.now.Add(3*time.Second), func() int { return mo.random.IntN(83) })
	mo.run(4 * time.Second)
	ta := mo.tally("k")
	qt.Assert(t, ta.sent > 0 && ta.refused == 0, qt.IsTrue, qt.Commentf("%d of %d refused", ta.refused, ta.sent))
}

// Guards against a bucket that is lowered late or refilled when its quota changes: after the
// change, an owner must grant at most the new share; a raised quota must be granted without
// a restart.
func TestQuotaChanges(t *testing.T) {
	st := Standing{Voting: true, Voters: 5}
	start := time.Unix(1000, 0)
	wants := []Want{{Customer: "k", Count: 1000}}
	for _, tt := range []struct {
		name          string
		before, after customer.Quota
		low, high     uint32 // granted right after the change
		later         uint32 // granted at least in the 2 s after it
	}{
		{"lowered", customer.Quota{Rate: 100, Burst: 100}, customer.Quota{Rate: 10, Burst: 5}, 2, 2, 2},
		{"raised", customer.Quota{Rate: 10, Burst: 5}, customer.Quota{Rate: 100, Burst: 100}, 2, 2, 22},
		{"removed", customer.Quota{Rate: 10, Burst: 5}, customer.Quota{}, 1000, 1000, 1000},
		{"unchanged", customer.Quota{Rate: 10, Burst: 50}, customer.Quota{Rate: 10, Burst: 50}, 11, 11, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ow := NewOwner(start, testLimits)
			ow.SetQuotas(start, 1, map[string]customer.Quota{"k": tt.before})
			now := start.Add(time.Minute)
			st.LastContact = now
			_, re := ow.Grant(now, st, 1, nil)
			qt.Assert(t, re, qt.Equals, None)
			_, _ = ow.Grant(now, st, 1, []Want{{Customer: "k"}})
			ow.SetQuotas(now, 2, map[string]customer.Quota{"k": tt.after})
			grants, _ := ow.Grant(now, st, 2, wants)
			qt.Assert(t, grants[0].Count >= tt.low && grants[0].Count <= tt.high, qt.IsTrue, qt.Commentf("%d", grants[0].Count))
			st.LastContact = now.Add(2 * time.Second)
			grants, _ = ow.Grant(st.LastContact, st, 2, wants)
			qt.Assert(t, grants[0].Count >= tt.later, qt.IsTrue, qt.Commentf("%d", grants[0].Count))
		})
	}
}

// Guards against a customer that gets its burst again by being removed and restored.
func TestRestoredCustomerHasNoSecondBurst(t *testing.T) {
	start := time.Unix(1000, 0)
	qu := map[string]customer.Quota{"k": {Rate: 1, Burst: 50}}
	ow := NewOwner(start, testLimits)
	ow.SetQuotas(start, 1, qu)
	now := start.Add(time.Minute)
	st := Standing{Voting: true, Voters: 1, LastContact: now}
	grants, _ := ow.Grant(now, st, 1, []Want{{Customer: "k", Count: 100}})
	qt.Assert(t, grants[0].Count, qt.Equals, uint32(51))
	ow.SetQuotas(now, 2, map[string]customer.Quota{})
	ow.SetQuotas(now, 3, qu)
	grants, _ = ow.Grant(now, st, 3, []Want{{Customer: "k", Count: 100}})
	qt.Assert(t, grants[0].Count, qt.Equals, uint32(0))
}

// Guards against an owner that grants without the right to: too soon after it became a
// voter, without contact, or with an older configuration than the entry instance.
func TestRefusals(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(time.Minute)
	good := Standing{Voting: true, Voters: 5, LastContact: now}
	for _, tt := range []struct {
		name    string
		change  func(st *Standing, now *time.Time)
		version uint64
		want    Refusal
	}{
		{"voter", func(*Standing, *time.Time) {}, 1, None},
		{"no voter", func(st *Standing, _ *time.Time) { st.Voting = false }, 1, NotVoting},
		{"new voter", func(st *Standing, now *time.Time) { st.Since = (*now).Add(-JoinDelay + 1) }, 1, NotVoting},
		{"voter for long enough", func(st *Standing, now *time.Time) { st.Since = (*now).Add(-JoinDelay) }, 1, None},
		{"never in contact", func(st *Standing, _ *time.Time) { st.LastContact = time.Time{} }, 1, NoContact},
		{"just started", func(st *Standing, now *time.Time) { st.LastContact, *now = time.Time{}, start.Add(startGrace-1) }, 1, None},
		{"grace over", func(st *Standing, now *time.Time) { st.LastContact, *now = time.Time{}, start.Add(startGrace) }, 1, NoContact},
		{"just started, suspended", func(st *Standing, now *time.Time) {
			st.Since, st.LastContact, *now = start.Add(-JoinDelay), time.Time{}, start.Add(startGrace-1)
		}, 1, NoContact},
		{"contact lost", func(st *Standing, now *time.Time) { st.LastContact = (*now).Add(-ContactTimeout) }, 1, NoContact},
		{"older configuration", func(*Standing, *time.Time) {}, 2, Behind},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ow := NewOwner(start, testLimits)
			ow.SetQuotas(start, 1, map[string]customer.Quota{"k": {Rate: 10}})
			now := now
			st := good
			tt.change(&st, &now)
			_, re := ow.Grant(now, st, tt.version, []Want{{Customer: "k", Count: 1}})
			qt.Assert(t, re, qt.Equals, tt.want)
		})
	}
}
