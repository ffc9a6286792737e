package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/customer"
)

// Guards, for each failure that the design page lists, against more requests in a window
// than the users' bound, and against losses of a customer that uses 60 % of its quota. The
// other customer always sends three times its quota. The failure starts after 5 s; least is
// the fraction of the first customer's requests that is admitted from then on, and fewest
// that of the second customer's quota.
func TestFailures(t *testing.T) {
	const voters, entries, span = 5, 30, 12 * time.Second
	steady, greedy := customer.Quota{Rate: 60, Burst: 60}, customer.Quota{Rate: 80, Burst: 40}
	for _, tt := range []struct {
		name           string
		least, fewest  float64
		fail           func(mo *model)
		onlyThoseAlive bool // callers leave entry instances that were killed
	}{
		{name: "none", least: 0.99, fewest: 0.97, fail: func(*model) {}},
		{name: "owner killed", least: 0.98, fewest: 0.77, fail: func(mo *model) { mo.owners[0].dead = true }},
		{name: "owner killed and back", least: 0.98, fewest: 0.9, fail: func(mo *model) {
			mo.owners[0].dead = true
			mo.after(2*time.Second, func() { mo.restart(0) })
		}},
		{name: "owner suspended", least: 0.98, fewest: 0.9, fail: func(mo *model) { mo.freeze(0, 2*time.Second) }},
		{name: "owner hears, is not heard", least: 0.98, fewest: 0.77, fail: func(mo *model) {
			mo.lost = func(_, owner int, toOwner bool) bool { return owner == 0 && !toOwner }
		}},
		{name: "owner is heard, hears nothing", least: 0.98, fewest: 0.77, fail: func(mo *model) {
			mo.lost = func(_, owner int, toOwner bool) bool { return owner == 0 && toOwner }
		}},
		{name: "owner replaced, keeps running", least: 0.98, fewest: 0.8, fail: func(mo *model) {
			mo.lose(0)
			mo.after(2500*time.Millisecond, func() { mo.replace(0) })
		}},
		{name: "late grants", least: 0.9, fewest: 0.85, fail: func(mo *model) {
			mo.latency = func() time.Duration { return time.Duration(mo.random.IntN(12)) * time.Millisecond }
		}},
		{name: "duplicate grants", least: 0.99, fewest: 0.97, fail: func(mo *model) { mo.duplicate = true }},
		{name: "all owners restart", least: 0.97, fewest: 0.9, fail: func(mo *model) {
			for ix := range mo.owners {
				mo.restart(ix)
			}
		}},
		{name: "40 % of the entry instances killed", least: 0.98, fewest: 0.96, onlyThoseAlive: true, fail: func(mo *model) {
			for ix := range entries * 2 / 5 {
				mo.entries[ix].dead = true
			}
		}},
		{name: "thirty entry instances added", least: 0.98, fewest: 0.96, fail: func(mo *model) {
			for range 30 {
				mo.entries = append(mo.entries, &modelEntry{le: NewLedger(testLimits, mo.random.Uint64()), calls: make(map[uint64]*modelCall)})
			}
		}},
		{name: "owners learn a version late", least: 0.98, fewest: 0.95, fail: func(mo *model) {
			quotas := mo.quotas
			mo.version++
			mo.after(80*time.Millisecond, func() {
				for _, ow := range mo.owners {
					ow.ow.SetQuotas(mo.now, mo.version, quotas)
				}
			})
		}},
		{name: "customer renamed", least: 0.99, fewest: 0.97, fail: func(mo *model) {
			mo.setQuotas(map[string]customer.Quota{"steady": steady, "greedy": greedy, "renamed": greedy})
		}},
		{name: "removed and restored", least: 0.99, fewest: 0.97, fail: func(mo *model) {
			quotas := mo.quotas
			mo.setQuotas(map[string]customer.Quota{})
			mo.setQuotas(quotas)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			mo := newModel(5, voters, entries, map[string]customer.Quota{"steady": steady, "greedy": greedy})
			until := mo.now.Add(span)
			entry := func() int {
				for {
					if ix := mo.random.IntN(len(mo.entries)); !tt.onlyThoseAlive || !mo.entries[ix].dead {
						return ix
					}
				}
			}
			mo.caller("steady", 0.6*steady.Rate, until, entry)
			mo.caller("greedy", 3*greedy.Rate, until, entry)
			mo.run(5 * time.Second)
			st, gr := mo.results["steady"], mo.results["greedy"]
			sent, admitted, others := st.sent, len(st.admitted), len(gr.admitted)
			tt.fail(mo)
			mo.run(span - 5*time.Second)
			part := float64(len(st.admitted)-admitted) / float64(st.sent-sent)
			qt.Check(t, part >= tt.least, qt.IsTrue, qt.Commentf("steady %.3f", part))
			rate := float64(len(gr.admitted)-others) / greedy.Rate / (span - 5*time.Second).Seconds()
			qt.Check(t, rate >= tt.fewest, qt.IsTrue, qt.Commentf("greedy %.3f", rate))
			qt.Check(t, excess(steady, st.admitted) <= 0, qt.IsTrue)
			qt.Check(t, excess(greedy, gr.admitted) <= 0, qt.IsTrue)
		})
	}
}

// Guards against requests of a customer that run without a token or wait for their whole
// time when no owner is in reach: they are refused as not run, within maxWait.
func TestNoOwnerInReach(t *testing.T) {
	mo := newModel(6, 5, 3, map[string]customer.Quota{"k": {Rate: 50, Burst: 50}})
	mo.lost = func(int, int, bool) bool { return true }
	mo.caller("k", 50, mo.now.Add(3*time.Second), func() int { return mo.random.IntN(3) })
	mo.run(4 * time.Second)
	ta := mo.results["k"]
	qt.Assert(t, len(ta.admitted), qt.Equals, 0)
	qt.Assert(t, ta.noOwner, qt.Equals, ta.sent)
	qt.Assert(t, ta.maxWait <= maxWait, qt.IsTrue, qt.Commentf("%v", ta.maxWait))
}

// Guards against tokens that count twice or after their time: a grant that comes twice, one
// that comes after its tokens have expired, and tokens of an instance that was suspended.
func TestLateAndDuplicateGrants(t *testing.T) {
	now := time.Unix(1000, 0)
	ask := func(le *Ledger) Ask {
		le.SetOwners([]OwnerRef{{Address: "a", Name: "a"}})
		vd, _ := le.Take(now, "k")
		qt.Assert(t, vd.Outcome, qt.Equals, Waiting)
		asks, _ := le.Step(now)
		qt.Assert(t, asks, qt.HasLen, 1)
		return asks[0]
	}
	ttl := testLimits.TokenTTL()
	for _, tt := range []struct {
		name     string
		at       []time.Duration // when the grant of two tokens comes
		takeAt   time.Duration
		admitted bool
	}{
		{"in time", []time.Duration{5 * time.Millisecond}, 6 * time.Millisecond, true},
		{"after the timeout", []time.Duration{60 * time.Millisecond}, 61 * time.Millisecond, true},
		{"after the validity", []time.Duration{ttl}, ttl, false},
		{"spent after a suspension", []time.Duration{5 * time.Millisecond}, ttl, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			le := NewLedger(testLimits, 1)
			as := ask(le)
			for _, at := range append(tt.at, tt.at...) { // Each grant comes twice.
				le.Step(now.Add(at))
				le.Granted(now.Add(at), as.ID, None, []Grant{{Count: 2}})
			}
			le.Step(now.Add(tt.takeAt))
			vd, _ := le.Take(now.Add(tt.takeAt), "k")
			qt.Assert(t, vd.Outcome == Admitted, qt.Equals, tt.admitted)
			if tt.admitted {
				vd, _ = le.Take(now.Add(tt.takeAt), "k")
				qt.Assert(t, vd.Outcome == Admitted, qt.Equals, tt.name == "after the timeout")
			}
		})
	}
}

// Guards against a request that ends without being sent and whose token is lost.
func TestReturnedTokenIsSpentAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	le := NewLedger(testLimits, 1)
	le.Return(now, "k", now.Add(time.Second))
	vd, _ := le.Take(now, "k")
	qt.Assert(t, vd.Outcome, qt.Equals, Admitted)
	le.Return(now, "k", now)
	vd, _ = le.Take(now, "k")
	qt.Assert(t, vd.Outcome, qt.Equals, NoOwner)
}

// Guards against a burst that is granted twice: by an owner whose process starts again, and
// by a voter that takes over the share of another one.
func TestNewOwnerStartsWithOneToken(t *testing.T) {
	now := time.Unix(1000, 0)
	quotas := map[string]customer.Quota{"k": {Rate: 1, Burst: 100}}
	ow := NewOwner(now, testLimits)
	ow.SetQuotas(now, 1, quotas)
	grants, _ := ow.Grant(now, Standing{Voting: true, Voters: 1, LastContact: now}, 1, []Want{{Customer: "k", Count: 9}})
	qt.Assert(t, grants[0].Count, qt.Equals, uint32(1))

	standby := NewOwner(now, testLimits)
	standby.SetQuotas(now, 1, quotas)
	later := now.Add(time.Hour)
	st := Standing{Voting: true, Voters: 1, Since: later.Add(-JoinDelay), LastContact: later}
	grants, _ = standby.Grant(later, st, 1, []Want{{Customer: "k", Count: 9}})
	qt.Assert(t, grants[0].Count, qt.Equals, uint32(1))
}
