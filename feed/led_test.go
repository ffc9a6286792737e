package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// ledTo returns what an entry instance was told last of the groups whose callers are led
// to it; nil if nothing.
func (en *entry) ledTo() map[string]int {
	en.wo.after(soon)
	en.mu.Lock()
	defer en.mu.Unlock()
	if len(en.led) == 0 {
		return nil
	}
	return en.led[len(en.led)-1]
}

// Callers are led to two of three entry instances. Each is told what concerns itself, one
// that isn't led to that it has no group, and one whose link was lost is told anew. Until
// something was decided nobody is told anything: taken for "no group", it would cost an
// instance its slack in the retry budget at each start of a control instance.
func TestEachIsToldWhoIsLedToIt(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		co := wo.group("one")[0]
		ens := wo.entries(3, co)
		c.Assert(ens[0].ledTo(), qt.IsNil)
		co.pu.SetLed(map[string]map[string]int{"entry-00": {"wide": 2}, "entry-01": {"wide": 2, "deep": 1}})
		c.Assert(ens[0].ledTo(), qt.DeepEquals, map[string]int{"wide": 2})
		c.Assert(ens[1].ledTo(), qt.DeepEquals, map[string]int{"wide": 2, "deep": 1})
		c.Assert(ens[2].ledTo(), qt.DeepEquals, map[string]int{})
		co.pu.SetLed(map[string]map[string]int{"entry-02": {"wide": 1}})
		c.Assert(ens[0].ledTo(), qt.DeepEquals, map[string]int{})
		c.Assert(ens[2].ledTo(), qt.DeepEquals, map[string]int{"wide": 1})
		late := wo.entry("entry-00", co.member.Address)
		ens[0].stop()
		c.Assert(late.ledTo(), qt.DeepEquals, map[string]int{})
	})
}

// Two control instances choose differently for a while. An instance takes part in a group
// only while both lead callers to it, and shares with the higher number of them: taken
// otherwise, all together could spend more than the slack. One that starts anew and has
// not decided yet, or is lost, doesn't count.
func TestLedByAll(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		en := wo.entries(1, cos[0])[0]
		here := func(count int) map[string]map[string]int {
			return map[string]map[string]int{"entry-00": {"wide": count}}
		}
		cos[0].pu.SetLed(here(20))
		c.Assert(en.ledTo(), qt.DeepEquals, map[string]int{"wide": 20})
		cos[1].pu.SetLed(here(24))
		c.Assert(en.ledTo(), qt.DeepEquals, map[string]int{"wide": 24})
		cos[1].pu.SetLed(map[string]map[string]int{})
		c.Assert(en.ledTo(), qt.DeepEquals, map[string]int{})
		cos[1].kill()
		wo.after(time.Second)
		c.Assert(en.ledTo(), qt.DeepEquals, map[string]int{"wide": 20})
		cos[1].start()
		cos[1].pu.SetMembers(members(cos...))
		wo.after(3 * time.Second)
		c.Assert(en.ledTo(), qt.DeepEquals, map[string]int{"wide": 20})
		cos[1].pu.SetLed(here(19))
		c.Assert(en.ledTo(), qt.DeepEquals, map[string]int{"wide": 20})
	})
}
