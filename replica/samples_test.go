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

// A local backend server turned slow, and the other entry instances have seen it while this
// one has sent it nothing. As a local server it may be three times slower and still be
// chosen. The finding must take effect at once, and so must its end.
func TestFindingOfSlowServerTakesEffectAtOnce(t *testing.T) {
	c := qt.New(t)
	near := ready("a")
	near.DataCentre = "here"
	fx := newFixture(c, near, ready("b"))
	fx.ba.cf.DataCentre = "here"
	fx.train("a", "b")
	c.Assert(fx.choiceFraction("a") > 0.9, qt.IsTrue)
	fx.ba.ApplyFindings(fx.now, []outlier.Finding{{ID: "a", Slowness: float32(math.Log(2.5))}})
	c.Assert(fx.choiceFraction("a") < 0.1, qt.IsTrue)
	fx.ba.ApplyFindings(fx.now, []outlier.Finding{{ID: "a"}})
	c.Assert(fx.choiceFraction("a") > 0.9, qt.IsTrue)
}

// The control instance that sent a finding is lost. The finding must expire.
func TestFindingExpires(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"), ready("b"))
	fx.train("a", "b")
	fx.ba.ApplyFindings(fx.now, []outlier.Finding{{ID: "a", Failures: 0.5}})
	c.Assert(fx.choiceFraction("a") < 0.1, qt.IsTrue)
	fx.advance(outlier.FindingTTL)
	c.Assert(fx.choiceFraction("a") > 0.3, qt.IsTrue)
}

// choiceFraction returns the fraction of choices that fall to a server.
func (fx *fixture) choiceFraction(id string) float64 {
	return float64(fx.countChoices(200)[id]) / 200
}

// TakeSamples returns each server once, at most as many as requested, and rotates: if slow
// servers always went first, quick answers of the others would never be sent.
func TestTakeSamplesRotatesOverServers(t *testing.T) {
	c := qt.New(t)
	var ses []registry.Server
	for ix := range 5 {
		ses = append(ses, ready(fmt.Sprint(ix)))
	}
	fx := newFixture(c, ses...)
	for ix := range 5 {
		fx.ba.Done(fx.now, fx.chooseServer(fmt.Sprint(ix)), Report{Outcome: Shed})
	}
	var sampled []string
	for range 3 {
		for _, sa := range fx.ba.TakeSamples(fx.now, 2) {
			c.Assert(sa, qt.Equals, outlier.Sample{ID: sa.ID, Failed: 1})
			sampled = append(sampled, sa.ID)
		}
	}
	c.Assert(sampled, qt.DeepEquals, []string{"0", "1", "2", "3", "4"})
	c.Assert(fx.ba.TakeSamples(fx.now, 2), qt.HasLen, 0)
}

// A refusal caused by this instance's own lack of a connection is not sampled for the
// others.
func TestLocalCauseIsNotSampled(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"))
	fx.ba.Done(fx.now, fx.chooseServer("a"), Report{Outcome: Shed, LocalCause: true})
	c.Assert(fx.ba.TakeSamples(fx.now, 10), qt.HasLen, 0)
}

// Latencies are sampled relative to the median of their class. The latency of a request
// abandoned early counts only if it shows that the server is slow.
func TestSamplesOfLatencies(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"))
	fx.train("a")
	fx.ba.TakeSamples(fx.now, 10)
	for _, ca := range []struct {
		took    time.Duration
		outcome Outcome
		want    uint32
	}{{15 * ms, Abandoned, 0}, {100 * ms, Abandoned, 1}, {10 * ms, Served, 1}} {
		pk := fx.chooseServer("a")
		fx.advance(ca.took)
		fx.ba.Done(fx.now, pk, Report{Outcome: ca.outcome})
		count := uint32(0)
		for _, sa := range fx.ba.TakeSamples(fx.now, 10) {
			count += sa.Count
		}
		c.Assert(count, qt.Equals, ca.want, qt.Commentf("%v", ca))
	}
}

// A request is sent to a server that doesn't answer, and no hedge can be afforded. The
// others must learn that the server is slow while the request still waits, and not a second
// time when it ends. The send times of both the oldest and the newest slow request are
// included: their distance distinguishes a slow server from a short pause.
func TestSamplesIncludeInFlightRequests(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, ready("a"))
	fx.train("a")
	fx.ba.TakeSamples(fx.now, 10)
	first := fx.chooseServer("a")
	fx.advance(300 * ms)
	second := fx.chooseServer("a")
	fx.advance(40 * ms)
	third := fx.chooseServer("a")
	fx.advance(5 * ms)
	sas := fx.ba.TakeSamples(fx.now, 10)
	c.Assert(sas, qt.HasLen, 1)
	c.Assert(sas[0].Slow, qt.Equals, uint32(2))
	c.Assert(sas[0].OldestSlow, qt.Equals, uint32(345))
	c.Assert(sas[0].NewestSlow, qt.Equals, uint32(45))
	fx.ba.Done(fx.now, first, Report{Outcome: Abandoned})
	fx.ba.Done(fx.now, second, Report{Outcome: Served})
	fx.ba.Done(fx.now, third, Report{Outcome: Served})
	sas = fx.ba.TakeSamples(fx.now, 10)
	c.Assert(sas, qt.HasLen, 1)
	c.Assert([]uint32{sas[0].Count, sas[0].Slow}, qt.DeepEquals, []uint32{1, 0})
}

// The machine of an entry instance is stalled for four seconds and resumes with requests in
// flight, which seem to have waited all that time. If they were sampled, backend servers
// that answered long ago would be found slow. This must hold whether or not Resumed has
// been called yet.
func TestSamplesIgnoreRequestsBeforeStall(t *testing.T) {
	for _, noticed := range []bool{false, true} {
		t.Run(fmt.Sprint(noticed), func(t *testing.T) {
			c := qt.New(t)
			fx := newFixture(c, ready("a"))
			fx.train("a")
			fx.ba.TakeSamples(fx.now, 10)
			fx.chooseServer("a")
			fx.advance(4 * time.Second)
			if noticed {
				fx.ba.Resumed(fx.now)
			}
			c.Assert(fx.ba.TakeSamples(fx.now, 10), qt.HasLen, 0)
			fx.ba.Resumed(fx.now)
			fx.advance(300 * ms)
			c.Assert(fx.ba.TakeSamples(fx.now, 10), qt.HasLen, 0)
			fx.chooseServer("a")
			fx.advance(300 * ms)
			sas := fx.ba.TakeSamples(fx.now, 10)
			c.Assert(sas, qt.HasLen, 1)
			c.Assert(sas[0].Slow, qt.Equals, uint32(1))
		})
	}
}

// Only samples that show a fault are urgent; those of healthy servers can wait.
func TestUrgentOnFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		took   time.Duration
		re     Report
		urgent bool
	}{
		{"quick", 10 * ms, Report{Outcome: Served}, false},
		{"slow", 60 * ms, Report{Outcome: Served}, true},
		{"abandoned and slow", 60 * ms, Report{Outcome: Abandoned}, true},
		{"refused", ms, Report{Outcome: Shed}, true},
		{"caused locally", ms, Report{Outcome: Shed, LocalCause: true}, false},
		{"the caller left", 60 * ms, Report{Outcome: Canceled}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			fx := newFixture(c, ready("a"))
			fx.train("a")
			fx.ba.TakeSamples(fx.now, 10)
			for len(fx.ba.Urgent()) > 0 {
				<-fx.ba.Urgent()
			}
			pk := fx.chooseServer("a")
			fx.advance(tc.took)
			fx.ba.Done(fx.now, pk, tc.re)
			c.Assert(len(fx.ba.Urgent()) == 1, qt.Equals, tc.urgent)
		})
	}
}
