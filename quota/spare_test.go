package quota

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/customer"
)

// Guards against requests that wait for an owner although their caller sends one each second
// to the same entry instance, and against more messages than requests. The sizes are those of
// a calm day.
func TestSteadyCallersFindSpareTokens(t *testing.T) {
	const customers, callers, entries, span = 86, 117, 83, 20 * time.Second
	quotas := make(map[string]customer.Quota)
	for ix := range customers {
		quotas[fmt.Sprint("k", ix)] = customer.Quota{Rate: 3, Burst: 6}
	}
	mo := newModel(1, 5, entries, quotas)
	until := mo.now.Add(span)
	for ix := range callers {
		name, entry := fmt.Sprint("k", ix%customers), mo.random.IntN(entries)
		var next func()
		next = func() {
			if mo.now.Before(until) {
				mo.request(name, entry)
				mo.after(900*time.Millisecond+time.Duration(mo.random.IntN(200))*time.Millisecond, next)
			}
		}
		mo.after(time.Duration(mo.random.IntN(1000))*time.Millisecond, next)
	}
	sum := func() (sent, waited, refused int) {
		for _, ta := range mo.results {
			sent, waited, refused = sent+ta.sent, waited+ta.waited, refused+ta.refused
		}
		return sent, waited, refused
	}
	mo.run(5 * time.Second)
	sent, waited, _ := sum()
	asks := mo.asks
	mo.run(span - 5*time.Second)
	allSent, allWaited, refused := sum()
	sent, waited = allSent-sent, allWaited-waited
	t.Logf("%d of %d waited, %d messages", waited, sent, mo.asks-asks)
	qt.Check(t, float64(waited) <= 0.05*float64(sent), qt.IsTrue, qt.Commentf("%d of %d waited", waited, sent))
	qt.Check(t, float64(mo.asks-asks) <= 1.05*float64(sent), qt.IsTrue, qt.Commentf("%d messages", mo.asks-asks))
	qt.Check(t, refused, qt.Equals, 0)
}

// Guards against a customer far below its quota that is refused because tokens of its small
// shares are at entry instances that its caller has left, or at owners that are asked late.
func TestFarBelowQuotaIsNeverRefused(t *testing.T) {
	for _, change := range []int{1, 5, 1000} { // requests after which the caller changes the entry instance
		mo := newModel(2, 5, 83, map[string]customer.Quota{"k": {Rate: 1, Burst: 1}})
		entry := 0
		for ix := range 150 {
			mo.after(time.Duration(ix)*2*time.Second, func() {
				if ix%change == 0 {
					entry = mo.random.IntN(83)
				}
				mo.request("k", entry)
			})
		}
		mo.run(5 * time.Minute)
		qt.Check(t, mo.results["k"].refused, qt.Equals, 0, qt.Commentf("changes after %d", change))
	}
}

// Guards against more spare tokens than the bound leaves over.
func TestSparesPerOwner(t *testing.T) {
	for _, tt := range []struct {
		qu     customer.Quota
		voters int
		want   int
	}{
		{customer.Quota{Rate: 1, Burst: 1}, 5, 2},
		{customer.Quota{Rate: 1000}, 5, 2},
		{customer.Quota{Rate: 10, Burst: 100}, 5, 4},
		{customer.Quota{Rate: 1, Burst: 1}, 1, 18},
		{customer.Quota{Rate: 1, Burst: 1}, 6, 1},
		{customer.Quota{Rate: 1, Burst: 1}, 7, 0},
		{customer.Quota{Rate: 1, Burst: 70}, 9, 1},
	} {
		got := testLimits.sparesPerOwner(tt.qu, tt.voters)
		qt.Check(t, got, qt.Equals, tt.want, qt.Commentf("%+v", tt))
		window := testLimits.Window.Seconds()
		bound := (tt.qu.Rate*window+tt.qu.Burst)*(1+testLimits.Overage) + testLimits.Slack
		used := tt.qu.Rate*(window+0.4+0.05+0.05) + tt.qu.Burst + float64(2*tt.voters)
		qt.Check(t, got == 0 || used+float64(got*tt.voters) <= bound+1e-6, qt.IsTrue, qt.Commentf("%+v", tt))
	}
}

// Guards against spare tokens that break the bound when callers that each send a request a
// second to an entry instance of their own send all they can after a quiet time.
func TestSparesStayWithinBound(t *testing.T) {
	const entries = 160
	for _, voters := range []int{1, 3, 5} {
		qu := customer.Quota{Rate: 200, Burst: 200}
		mo := newModel(1, voters, entries, map[string]customer.Quota{"k": qu})
		for ix := range entries {
			for se := range 5 {
				mo.after(time.Duration(se)*time.Second+time.Duration(ix)*time.Second/entries, func() { mo.request("k", ix) })
			}
		}
		mo.after(6500*time.Millisecond, func() {
			mo.caller("k", 7*qu.Rate, mo.now.Add(6*time.Second), func() int { return mo.random.IntN(entries) })
		})
		mo.run(13 * time.Second)
		over := excess(qu, mo.results["k"].admitted)
		qt.Check(t, over <= 0, qt.IsTrue, qt.Commentf("%d voters: %.1f too many", voters, over))
	}
}

// Guards against spare tokens that an owner grants without the right to: beyond its part,
// from a bucket that is less than half full, or while those of before its start, or of the
// voter that it replaced, may be valid.
func TestOwnerLimitsSpares(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name  string
		since time.Duration // time of the start; 0 for a voter of the first start
		at    time.Duration
		level float64
		want  uint32
	}{
		{"full", 0, time.Minute, 100, 2},
		{"less than half full", 0, time.Minute, 5, 0},
		{"just started", 0, spareTTL - 1, 100, 0},
		{"started", 0, spareTTL, 100, 2},
		{"added", time.Minute, time.Minute + SpareVoterWindow - 1, 100, 0},
		{"added before", time.Minute, time.Minute + SpareVoterWindow, 100, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ow := NewOwner(start, testLimits)
			ow.SetQuotas(start, 1, map[string]customer.Quota{"k": {Rate: 0.01, Burst: 60}})
			st := Standing{Voting: true, Voters: 6}
			if tt.since > 0 {
				st.Since = start.Add(tt.since)
			}
			grant := func(after time.Duration) uint32 {
				now := start.Add(tt.at + after)
				st.LastContact = now
				grants, re := ow.Grant(now, st, 1, []Want{{Customer: "k", Spare: 9}})
				qt.Assert(t, re, qt.Equals, None)
				return grants[0].Spare
			}
			ow.since = st.Since
			bu := ow.buckets["k"]
			bu.level, bu.at = tt.level, start.Add(tt.at)
			qt.Assert(t, grant(0), qt.Equals, tt.want)
			if tt.want > 0 {
				qt.Assert(t, grant(spareTTL-1), qt.Equals, uint32(0))
				qt.Assert(t, grant(spareTTL), qt.Equals, tt.want)
			}
		})
	}
}

// Guards against a Retry-After that still counts callers that were refused before the demand
// fell: after a token was granted again, a caller is told when the owner has the next one.
func TestRetryAfterFollowsFallingDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	le := NewLedger(testLimits, 1)
	le.SetOwners([]OwnerRef{{Address: "a", Name: "a"}})
	answer := func(gr Grant) []Settled {
		le.Take(now, "k")
		asks, _ := le.Step(now)
		qt.Assert(t, asks, qt.HasLen, 1)
		le.Granted(now, asks[0].ID, None, []Grant{gr})
		_, settled := le.Step(now)
		qt.Assert(t, settled, qt.HasLen, 1)
		return settled
	}
	answer(Grant{RetryMillis: 500})
	for range 45 {
		vd, _ := le.Take(now, "k")
		qt.Assert(t, vd.Outcome, qt.Equals, OverQuota)
	}
	now = now.Add(510 * time.Millisecond)
	qt.Assert(t, answer(Grant{Count: 1})[0].Verdict.Outcome, qt.Equals, Admitted)
	now = now.Add(10 * time.Millisecond)
	vd := answer(Grant{RetryMillis: 100})[0].Verdict
	qt.Assert(t, vd.Outcome, qt.Equals, OverQuota)
	qt.Assert(t, vd.RetryAfter, qt.Equals, 100*time.Millisecond)
}
