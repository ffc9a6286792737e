package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/customer"
)

// Guards against a request that is refused as soon as it arrives because another one of the
// same customer has waited for maxWait, as after a pause of the process.
func TestOnlyOverdueRequestsAreRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	le := NewLedger(testLimits, 1)
	le.SetOwners([]OwnerRef{{Address: "a", Name: "a"}, {Address: "b", Name: "b"}})
	_, old := le.Take(now, "k")
	le.Step(now)
	now = now.Add(maxWait)
	vd, young := le.Take(now, "k")
	qt.Assert(t, vd.Outcome, qt.Equals, Waiting)
	asks, settled := le.Step(now)
	qt.Assert(t, settled, qt.HasLen, 1)
	qt.Assert(t, settled[0].Ticket, qt.Equals, old)
	qt.Assert(t, asks, qt.HasLen, 1)
	le.Granted(now, asks[0].ID, None, []Grant{{Count: 1}})
	_, settled = le.Step(now)
	qt.Assert(t, settled, qt.HasLen, 1)
	qt.Assert(t, settled[0].Ticket, qt.Equals, young)
	qt.Assert(t, settled[0].Verdict.Outcome, qt.Equals, Admitted)
}

// Guards against requests that wait for an owner which said that its configuration is older
// and does not answer any more.
func TestSilentOwnerIsNotWaitedFor(t *testing.T) {
	now := time.Unix(1000, 0)
	le := NewLedger(testLimits, 1)
	le.SetOwners([]OwnerRef{{Address: "a", Name: "a"}})
	le.Take(now, "k")
	asks, _ := le.Step(now)
	le.Granted(now, asks[0].ID, Behind, nil)
	now = now.Add(behindSkip)
	asks, _ = le.Step(now)
	qt.Assert(t, asks, qt.HasLen, 1)
	now = now.Add(answerTimeout)
	_, settled := le.Step(now)
	qt.Assert(t, settled, qt.HasLen, 1)
	vd, _ := le.Take(now, "k")
	qt.Assert(t, vd.Outcome, qt.Equals, NoOwner)
}

// Guards against a second burst within one window: an owner that started less than a window
// ago may have granted the burst of a customer before, whose quota it learns only now.
func TestBurstIsNotGrantedTwiceInWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(testLimits.Window - time.Millisecond)
	ow := NewOwner(start, testLimits)
	ow.SetQuotas(now, 1, map[string]customer.Quota{"k": {Rate: 1, Burst: 200}})
	grants, re := ow.Grant(now, Standing{Voting: true, Voters: 5, LastContact: now}, 1, []Want{{Customer: "k", Count: 40}})
	qt.Assert(t, re, qt.Equals, None)
	qt.Assert(t, grants[0].Count, qt.Equals, uint32(1))
}
