package stall

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// stuckAt returns an observation at the given time of a request in flight since sent.
func stuckAt(id string, at, sent time.Duration) Observation {
	return Observation{ID: id, Kind: Stuck, AgeMillis: millis(at - sent)}
}

// Guards against news that reach the entry instances more than once for one stall, which
// would cost a message to each of them for every stuck request.
func TestStallIsAnnouncedOnce(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	tr.Add(1025*ms, []Observation{stuckAt("a", 1025*ms, 1000*ms)})
	tr.Add(1030*ms, []Observation{stuckAt("a", 1030*ms, 1004*ms)})
	c.Assert(tr.TakeNews(1032*ms), qt.DeepEquals, []Stall{{ID: "a", AgeMillis: 32, LeftMillis: 118}})
	tr.Add(1060*ms, []Observation{stuckAt("a", 1060*ms, 1030*ms)})
	c.Assert(tr.HasNews(), qt.IsFalse)
	// It lasts longer than expected: the servers must not be chosen meanwhile.
	tr.Add(1170*ms, []Observation{stuckAt("a", 1170*ms, 1140*ms)})
	c.Assert(tr.TakeNews(1172*ms), qt.DeepEquals, []Stall{{ID: "a", AgeMillis: 172, LeftMillis: 38}})
}

// Guards against stalls announced with a length that has nothing to do with their usual one.
func TestLengthIsLearnedFromEarlierStalls(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	tr.Add(1230*ms, []Observation{{ID: "a", Kind: Answered, AgeMillis: 230, EndMillis: 20}})
	tr.Update(2000 * ms)
	tr.Add(4030*ms, []Observation{stuckAt("a", 4030*ms, 4000*ms)})
	c.Assert(tr.TakeNews(4030*ms), qt.DeepEquals, []Stall{{ID: "a", AgeMillis: 30, LeftMillis: 180}})
}

// Guards against a server that is slow for seconds being taken for one that stalls: it is
// the business of package outlier, and its stalls must not be recorded.
func TestLongTroubleIsNoStall(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	for at := 1000 * ms; at < 4000*ms; at += 40 * ms {
		tr.Add(at, []Observation{{ID: "a", Kind: Answered, AgeMillis: 70, EndMillis: 1}, stuckAt("a", at, at-60*ms)})
		if at >= 1000*ms+troubleLength {
			c.Assert(tr.TakeNews(at), qt.HasLen, 0)
		}
		tr.TakeNews(at)
	}
	tr.Update(4500 * ms)
	c.Assert(tr.servers["a"].stalls, qt.HasLen, 0)
}

// Guards against observations and news that were delayed being taken for current ones, and
// against those of an earlier start of a server.
func TestOutdatedObservations(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	tr.Add(9000*ms, []Observation{stuckAt("a", 9000*ms, 5000*ms)})
	c.Assert(tr.HasNews(), qt.IsFalse)
	tr.Add(9000*ms, []Observation{{ID: "a", Born: 7, AgeMillis: 30}})
	c.Assert(tr.TakeNews(9000*ms+MaxNewsAge), qt.HasLen, 0)
	tr.Add(9200*ms, []Observation{{ID: "a", Born: 8, AgeMillis: 30}})
	tr.Add(9300*ms, []Observation{{ID: "a", Born: 7, AgeMillis: 30}})
	c.Assert(tr.TakeNews(9210*ms), qt.DeepEquals, []Stall{{ID: "a", Born: 8, AgeMillis: 40, LeftMillis: 110}})
	// An end before the begin is impossible.
	tr.Add(9900*ms, []Observation{{ID: "b", Kind: Answered, AgeMillis: 5, EndMillis: 6}})
	c.Assert(tr.servers["b"], qt.IsNil)
}

// Guards against reports that tell of a request twice, or of one from before a pause of this
// process.
func TestReporterMergesBeginAndEnd(t *testing.T) {
	c := qt.New(t)
	rp := NewReporter()
	rp.Stuck(130*ms, Server{ID: "a", Born: 1}, 100*ms)
	rp.Stuck(130*ms, Server{ID: "b", Born: 1}, 101*ms)
	rp.Ended(140*ms, Server{ID: "a", Born: 1}, 100*ms, Abandoned)
	c.Assert(rp.Take(141*ms), qt.DeepEquals, []Observation{
		{ID: "a", Born: 1, Kind: Abandoned, AgeMillis: 41, EndMillis: 1}, {ID: "b", Born: 1, AgeMillis: 40},
	})
	rp.Stuck(200*ms, Server{ID: "a", Born: 1}, 170*ms)
	c.Assert(rp.Take(200*ms+MaxNewsAge), qt.HasLen, 0)
	for range 2 * maxReported {
		rp.Stuck(300*ms, Server{ID: "a", Born: 1}, 270*ms)
	}
	c.Assert(rp.Len(), qt.Equals, maxReported)
	// No more than some are reported in a second, whatever happens.
	rp.Take(301 * ms)
	for at := 301 * ms; at < 1301*ms; at += ms {
		rp.Stuck(at, Server{ID: "a", Born: 1}, at-30*ms)
	}
	c.Assert(rp.Len() <= reportRate, qt.IsTrue)
	rp.Drop()
	c.Assert(rp.Take(301*ms), qt.HasLen, 0)
}

// Guards against a server that is avoided after its stall, by late news or after an answer
// has shown that it works again.
func TestOutlookEnds(t *testing.T) {
	news := Stall{ID: "a", AgeMillis: 40, LeftMillis: 100}
	tests := []struct {
		name  string
		event func(ou *Outlook)
		want  bool
	}{
		{"news", func(ou *Outlook) { ou.Hear(1000*ms, 2*ms, news) }, true},
		{"news that is late", func(ou *Outlook) { ou.Hear(1000*ms, MaxNewsAge, news) }, false},
		{"answer to an earlier request", func(ou *Outlook) { ou.Hear(1000*ms, 0, news); ou.Answered(950 * ms) }, true},
		{"answer to a later request", func(ou *Outlook) { ou.Hear(1000*ms, 0, news); ou.Answered(970 * ms) }, false},
		{"answer before the news", func(ou *Outlook) { ou.Answered(985 * ms); ou.Hear(1000*ms, 0, news) }, false},
		{"excessive length", func(ou *Outlook) { ou.Hear(500*ms, 0, Stall{ID: "a", LeftMillis: 1 << 31}) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var ou Outlook
			tt.event(&ou)
			_, _, stalled := ou.Until(1020*ms, 5*ms)
			qt.Assert(t, stalled, qt.Equals, tt.want)
		})
	}
}

// Guards against messages that waited on a link, for instance while this process or the
// control instance was stopped, being taken for current ones. The two clocks may drift.
func TestLateness(t *testing.T) {
	c := qt.New(t)
	var la Lateness
	for age := time.Duration(0); age < 10*time.Minute; age += 100 * ms {
		drift := age / 10000
		c.Assert(la.Of(5*time.Second+age+drift, age) < 10*ms, qt.IsTrue)
	}
	c.Assert(la.Of(5*time.Second+10*time.Minute+150*ms+60*ms, 10*time.Minute) > MaxNewsAge, qt.IsTrue)
}

// Guards against servers that are avoided for single requests whose work takes long: where
// these are the rule, two stuck requests are needed.
func TestLongWorkIsNoStall(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker()
	at := time.Second
	for range 40 {
		at += time.Second
		tr.Add(at, []Observation{{ID: "a", Kind: Answered, AgeMillis: 28}})
		tr.Update(at + 500*ms)
	}
	c.Assert(tr.servers["a"].stalls, qt.HasLen, 0)
	tr.Add(at+900*ms, []Observation{stuckAt("a", at+900*ms, at+875*ms)})
	c.Assert(tr.HasNews(), qt.IsFalse)
	tr.Add(at+910*ms, []Observation{stuckAt("a", at+910*ms, at+884*ms)})
	c.Assert(tr.HasNews(), qt.IsTrue)
}
