package feed

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/evacuation"
)

// evacuated returns the evacuations that the entry instance was told, in their order.
func (en *entry) evacuated() []uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	revisions := []uint64{}
	for _, st := range en.evacuations {
		revisions = append(revisions, st.Revision)
	}
	return revisions
}

// Guards against an entry instance that goes on with older evacuations, or goes back to
// those of a control instance that was away.
func TestEvacuationsAreTold(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		ens := wo.entries(2, cos[0])
		wo.after(soon)
		c.Assert(ens[0].evacuated(), qt.HasLen, 0)
		first := evacuation.Set{Revision: 1, DataCentres: []string{"north"}}
		second := evacuation.Set{Revision: 2}
		cos[0].pu.SetEvacuations(first)
		wo.after(soon)
		cos[1].pu.SetEvacuations(second)
		wo.after(soon)
		cos[1].pu.SetEvacuations(first)
		wo.after(soon)
		for _, en := range ens {
			c.Assert(en.evacuated(), qt.DeepEquals, []uint64{1, 2})
		}
		late := wo.entries(3, cos[0])[2]
		wo.after(soon)
		revisions := late.evacuated()
		c.Assert(revisions[len(revisions)-1], qt.Equals, uint64(2))
	})
}
