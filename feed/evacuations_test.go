package feed

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/evacuation"
)

// evacuationRevisions returns the revisions of the evacuations passed to the entry
// instance, in their order.
func (en *entry) evacuationRevisions() []uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	revisions := []uint64{}
	for _, st := range en.evacuations {
		revisions = append(revisions, st.Revision)
	}
	return revisions
}

// Guards against an entry instance that keeps outdated evacuations, or returns to those
// of a control instance that was disconnected.
func TestEvacuationRevisionsOnlyRise(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		ens := cl.entries(2, cos[0])
		cl.advance(maxPropagation)
		c.Assert(ens[0].evacuationRevisions(), qt.HasLen, 0)
		first := evacuation.Set{Revision: 1, DataCentres: []string{"north"}}
		second := evacuation.Set{Revision: 2}
		cos[0].pu.SetEvacuations(first)
		cl.advance(maxPropagation)
		cos[1].pu.SetEvacuations(second)
		cl.advance(maxPropagation)
		cos[1].pu.SetEvacuations(first)
		cl.advance(maxPropagation)
		for _, en := range ens {
			c.Assert(en.evacuationRevisions(), qt.DeepEquals, []uint64{1, 2})
		}
		late := cl.entries(3, cos[0])[2]
		cl.advance(maxPropagation)
		revisions := late.evacuationRevisions()
		c.Assert(revisions[len(revisions)-1], qt.Equals, uint64(2))
	})
}
