package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An entry instance says what it carries, and a control instance that starts later, or
// anew, knows it too, though the load hasn't changed since. One that has just started
// carries nothing; of one that doesn't say, it is taken that it carries as much as it
// should.
func TestLoadIsKnownToAll(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		ens := wo.entries(2, cos[0])
		c.Assert(cos[1].pu.EntryLoad("entry-00"), qt.Equals, 0.0)
		c.Assert(cos[1].pu.EntryLoad("entry-of-an-earlier-release"), qt.Equals, 1.0)
		ens[0].su.SetLoad(0.25)
		wo.after(soon)
		for _, co := range cos {
			c.Assert(co.pu.EntryLoad("entry-00"), qt.Equals, 0.25)
			c.Assert(co.pu.EntryLoad("entry-01"), qt.Equals, 0.0)
		}
		cos[1].kill()
		wo.after(time.Second)
		cos[1].start()
		cos[1].pu.SetMembers(members(cos...))
		wo.after(3 * time.Second)
		c.Assert(cos[1].pu.EntryLoad("entry-00"), qt.Equals, 0.25)
		ens[0].stop()
		wo.after(time.Second)
		c.Assert(cos[0].pu.EntryLoad("entry-00"), qt.Equals, 1.0)
	})
}

// Two control instances choose a different number of entry instances for a while. An
// entry instance goes by the higher one, so that all together never hold more connections
// than there are; a control instance that is lost doesn't count.
func TestSharersAreTold(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		cos[0].pu.SetSharers(20)
		en := wo.entries(1, cos[0])[0]
		told := func() int {
			wo.after(soon)
			en.mu.Lock()
			defer en.mu.Unlock()
			return en.sharers[len(en.sharers)-1]
		}
		c.Assert(told(), qt.Equals, 20)
		cos[1].pu.SetSharers(24)
		c.Assert(told(), qt.Equals, 24)
		cos[0].pu.SetSharers(18)
		c.Assert(told(), qt.Equals, 24)
		cos[1].kill()
		c.Assert(told(), qt.Equals, 18)
	})
}
