package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a control instance that doesn't know a load because it started after the
// load last changed. An entry instance that has just started reports no load; one that
// reports nothing counts as fully loaded.
func TestLoadReachesRestartedControl(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		ens := cl.entries(2, cos[0])
		c.Assert(cos[1].pu.EntryLoad("entry-00"), qt.Equals, 0.0)
		c.Assert(cos[1].pu.EntryLoad("entry-of-an-earlier-release"), qt.Equals, 1.0)
		ens[0].su.SetLoad(0.25)
		cl.advance(maxPropagation)
		for _, co := range cos {
			c.Assert(co.pu.EntryLoad("entry-00"), qt.Equals, 0.25)
			c.Assert(co.pu.EntryLoad("entry-01"), qt.Equals, 0.0)
		}
		cos[1].kill()
		cl.advance(time.Second)
		cos[1].start()
		cos[1].pu.SetMembers(members(cos...))
		cl.advance(3 * time.Second)
		c.Assert(cos[1].pu.EntryLoad("entry-00"), qt.Equals, 0.25)
		ens[0].stop()
		cl.advance(time.Second)
		c.Assert(cos[0].pu.EntryLoad("entry-00"), qt.Equals, 1.0)
	})
}

// Guards against too many connections while two control instances publish different
// numbers of sharers: the entry instance uses the higher one, so that all together never
// hold more connections than exist. A lost control instance doesn't count.
func TestSubscriberUsesHighestSharers(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		cos[0].pu.SetSharers(20)
		en := cl.entries(1, cos[0])[0]
		lastSharers := func() int {
			cl.advance(maxPropagation)
			en.mu.Lock()
			defer en.mu.Unlock()
			return en.sharers[len(en.sharers)-1]
		}
		c.Assert(lastSharers(), qt.Equals, 20)
		cos[1].pu.SetSharers(24)
		c.Assert(lastSharers(), qt.Equals, 24)
		cos[0].pu.SetSharers(18)
		c.Assert(lastSharers(), qt.Equals, 24)
		cos[1].kill()
		c.Assert(lastSharers(), qt.Equals, 18)
	})
}
