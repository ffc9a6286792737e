package replica

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/outlier"
	"balsamwinch.example/registry"
)

// A backend server of the own data centre turned slow, and the other entry
// instances have seen it. This one has asked it nothing since, and being near it
// may take three times as long and be chosen all the same. What was found counts at
// once, as does that it is over.
func TestFoundSlowServerIsLeft(t *testing.T) {
	c := qt.New(t)
	near := ready("a")
	near.DataCentre = "here"
	be := newBench(c, near, ready("b"))
	be.tb.cf.DataCentre = "here"
	be.settle("a", "b")
	c.Assert(be.share("a") > 0.9, qt.IsTrue)
	be.tb.ApplyFindings(be.now, []outlier.Finding{{ID: "a", Slowness: float32(math.Log(2.5))}})
	c.Assert(be.share("a") < 0.1, qt.IsTrue)
	be.tb.ApplyFindings(be.now, []outlier.Finding{{ID: "a"}})
	c.Assert(be.share("a") > 0.9, qt.IsTrue)
}

// The control instance that told a finding is lost. The finding must not last.
func TestFindingRunsOut(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"), ready("b"))
	be.settle("a", "b")
	be.tb.ApplyFindings(be.now, []outlier.Finding{{ID: "a", Failures: 0.5}})
	c.Assert(be.share("a") < 0.1, qt.IsTrue)
	be.pass(outlier.FindingTTL)
	c.Assert(be.share("a") > 0.3, qt.IsTrue)
}

// share returns the part of choices that fall to a server.
func (be *bench) share(id string) float64 {
	return float64(be.shares(200)[id]) / 200
}

// News tell each server once, of no more servers than there is room for, and go
// round: if the slow ones went first, the others would never be told as quick.
func TestNewsGoRound(t *testing.T) {
	c := qt.New(t)
	var ses []registry.Server
	for ix := range 5 {
		ses = append(ses, ready(fmt.Sprint(ix)))
	}
	be := newBench(c, ses...)
	for ix := range 5 {
		be.tb.Done(be.now, be.only(fmt.Sprint(ix)), Report{Outcome: Shed})
	}
	var told []string
	for range 3 {
		for _, sa := range be.tb.TakeSamples(be.now, 2) {
			c.Assert(sa, qt.Equals, outlier.Sample{ID: sa.ID, Failed: 1})
			told = append(told, sa.ID)
		}
	}
	c.Assert(told, qt.DeepEquals, []string{"0", "1", "2", "3", "4"})
	c.Assert(be.tb.TakeSamples(be.now, 2), qt.HasLen, 0)
}

// A refusal for want of a connection of its own tells the others nothing.
func TestOwnLackIsNoNews(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"))
	be.tb.Done(be.now, be.only("a"), Report{Outcome: Shed, LocalCause: true})
	c.Assert(be.tb.TakeSamples(be.now, 10), qt.HasLen, 0)
}

// Latencies are told against the median of their work; that of a request that was
// given up early only if it shows the server slow.
func TestNewsOfLatencies(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"))
	be.settle("a")
	be.tb.TakeSamples(be.now, 10)
	for _, ca := range []struct {
		took time.Duration
		kind Outcome
		want uint32
	}{{15 * ms, Abandoned, 0}, {100 * ms, Abandoned, 1}, {10 * ms, Served, 1}} {
		pk := be.only("a")
		be.pass(ca.took)
		be.tb.Done(be.now, pk, Report{Outcome: ca.kind})
		count := uint32(0)
		for _, sa := range be.tb.TakeSamples(be.now, 10) {
			count += sa.Count
		}
		c.Assert(count, qt.Equals, ca.want, qt.Commentf("%v", ca))
	}
}

// A request is sent to a server that doesn't answer, and no hedge can be afforded. The
// others learn that it is slow while it still waits, and not a second time when it ends.
// Both the oldest and the newest request are told: how far apart they were sent tells a
// slow server from one that stood still for a moment.
func TestNewsOfWaitingRequests(t *testing.T) {
	c := qt.New(t)
	be := newBench(c, ready("a"))
	be.settle("a")
	be.tb.TakeSamples(be.now, 10)
	first := be.only("a")
	be.pass(300 * ms)
	second := be.only("a")
	be.pass(40 * ms)
	third := be.only("a")
	be.pass(5 * ms)
	sas := be.tb.TakeSamples(be.now, 10)
	c.Assert(sas, qt.HasLen, 1)
	c.Assert(sas[0].Slow, qt.Equals, uint32(2))
	c.Assert(sas[0].OldestSlow, qt.Equals, uint32(345))
	c.Assert(sas[0].NewestSlow, qt.Equals, uint32(45))
	be.tb.Done(be.now, first, Report{Outcome: Abandoned})
	be.tb.Done(be.now, second, Report{Outcome: Served})
	be.tb.Done(be.now, third, Report{Outcome: Served})
	sas = be.tb.TakeSamples(be.now, 10)
	c.Assert(sas, qt.HasLen, 1)
	c.Assert([]uint32{sas[0].Count, sas[0].Slow}, qt.DeepEquals, []uint32{1, 0})
}

// The machine of an entry instance stands still for four seconds, and wakes with requests
// under way. They seem to have waited for all that time; told to the others, they would
// set aside backend servers that answered long ago, whether or not the instance has
// noticed already that it stood still.
func TestNewsAfterStandingStill(t *testing.T) {
	for _, noticed := range []bool{false, true} {
		t.Run(fmt.Sprint(noticed), func(t *testing.T) {
			c := qt.New(t)
			be := newBench(c, ready("a"))
			be.settle("a")
			be.tb.TakeSamples(be.now, 10)
			be.only("a")
			be.pass(4 * time.Second)
			if noticed {
				be.tb.Resumed(be.now)
			}
			c.Assert(be.tb.TakeSamples(be.now, 10), qt.HasLen, 0)
			be.tb.Resumed(be.now)
			be.pass(300 * ms)
			c.Assert(be.tb.TakeSamples(be.now, 10), qt.HasLen, 0)
			be.only("a")
			be.pass(300 * ms)
			sas := be.tb.TakeSamples(be.now, 10)
			c.Assert(sas, qt.HasLen, 1)
			c.Assert(sas[0].Slow, qt.Equals, uint32(1))
		})
	}
}

// News of a fault press, and others don't: those of sound servers can wait for more.
func TestFaultsPress(t *testing.T) {
	for _, tc := range []struct {
		name    string
		took    time.Duration
		re      Report
		presses bool
	}{
		{"quick", 10 * ms, Report{Outcome: Served}, false},
		{"slow", 60 * ms, Report{Outcome: Served}, true},
		{"given up and slow", 60 * ms, Report{Outcome: Abandoned}, true},
		{"refused", ms, Report{Outcome: Shed}, true},
		{"a lack of its own", ms, Report{Outcome: Shed, LocalCause: true}, false},
		{"the caller left", 60 * ms, Report{Outcome: Canceled}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			be := newBench(c, ready("a"))
			be.settle("a")
			be.tb.TakeSamples(be.now, 10)
			for len(be.tb.Urgent()) > 0 {
				<-be.tb.Urgent()
			}
			pk := be.only("a")
			be.pass(tc.took)
			be.tb.Done(be.now, pk, tc.re)
			c.Assert(len(be.tb.Urgent()) == 1, qt.Equals, tc.presses)
		})
	}
}
