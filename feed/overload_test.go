package feed

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/overload"
)

// levelLog records the levels that an entry instance received.
type levelLog struct {
	mu      sync.Mutex
	limited map[string]int // by control instance
	total   int
}

func (ll *levelLog) received(control string, lss []overload.Levels) {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	ll.total++
	for _, ls := range lss {
		if ls.Limited {
			ll.limited[control]++
		}
	}
}

// overloadEntry starts an entry instance that announces FeatureOverload.
func (cl *cluster) overloadEntry(name, seed string) (*entry, *levelLog) {
	ll := &levelLog{limited: make(map[string]int)}
	return cl.subscribe(SubscriberConfig{Self: Entry{Name: name, State: Ready}, LevelsReceived: ll.received}, []string{seed}), ll
}

// report makes entry instances report overload of a group for a time.
func (cl *cluster) report(ens []*entry, span time.Duration) {
	for range span / overload.ReportInterval {
		for _, en := range ens {
			en.su.SendOverload([]overload.Report{{
				Group: "g", Arrived: []overload.Arrivals{{Source: overload.Source{Class: 1, Customer: "a"}, Count: 10}},
				Admitted: 10, Ended: 10, Overloaded: 8,
			}})
		}
		cl.advance(overload.ReportInterval)
	}
}

// Reports of overload must become levels at all entry instances, from two control instances
// out of three. An instance of the first release would close the link on such a message, so
// it must get none.
func TestLevelsReachEntriesThatUnderstandThem(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two", "three")
		var ens []*entry
		var lls []*levelLog
		for _, name := range []string{"e1", "e2", "e3"} {
			en, ll := cl.overloadEntry(name, cos[0].member.Address)
			ens, lls = append(ens, en), append(lls, ll)
		}
		cl.entry("old", cos[0].member.Address)
		cl.entry("old-idle", cos[1].member.Address)
		cl.advance(time.Second)
		cl.report(ens, 2*time.Second)
		for _, ll := range lls {
			c.Assert(ll.limited, qt.HasLen, 2)
		}
		before := cl.numMessages("old")
		cl.report(ens, time.Second)
		c.Assert(cl.logs.FilterMessage("message-not-expected").Len(), qt.Equals, 0)
		c.Assert(cl.numMessages("old")-before < 20, qt.IsTrue, qt.Commentf("pings alone"))
	})
}

// A control instance of the first release must get no reports, or it would close its links.
func TestNoReportsToControlOfFirstRelease(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.withoutOverload = true
		cos := cl.group("one", "two")
		en, ll := cl.overloadEntry("e1", cos[0].member.Address)
		cl.advance(time.Second)
		cl.report([]*entry{en}, 2*time.Second)
		c.Assert(ll.total, qt.Equals, 0)
	})
}

// Without overload no message may be sent, whatever the number of instances.
func TestNoLevelsWithoutReports(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		_, ll := cl.overloadEntry("e1", cos[0].member.Address)
		cl.advance(5 * time.Second)
		c.Assert(ll.total, qt.Equals, 0)
	})
}
