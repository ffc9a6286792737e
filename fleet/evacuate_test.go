package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/result"
)

// evacuate demands that an order is acknowledged.
func (in *instance) evacuate(dataCentre string, evacuate bool) evacuation.Set {
	in.gr.c.Helper()
	st, err := in.nd.Evacuate(in.gr.ctx, dataCentre, evacuate)
	in.gr.c.Assert(err, qt.IsNil)
	in.gr.c.Assert(st.Has(dataCentre), qt.Equals, evacuate)
	return st
}

// awaitEvacuated waits until all running instances know of evacuations.
func (gr *group) awaitEvacuated(want evacuation.Set) {
	gr.c.Helper()
	gr.await(fmt.Sprint(want), func() bool {
		for _, in := range gr.all {
			if in.running && fmt.Sprint(in.ob.evacuated()) != fmt.Sprint(want) {
				return false
			}
		}
		return true
	})
}

// Guards against an order that only some instances take, or that is refused when it is
// sent again to another one.
func TestEvacuate(t *testing.T) {
	gr := form(t, 1, 3, 2)
	for nth, in := range gr.all {
		name := fmt.Sprint("dc-", nth)
		st := in.evacuate(name, true)
		for _, ot := range gr.all {
			gr.c.Assert(ot.evacuate(name, true), qt.DeepEquals, st)
		}
		gr.awaitEvacuated(st)
	}
	for nth, in := range gr.all {
		in.evacuate(fmt.Sprint("dc-", nth), false)
		in.evacuate("unheard-of", false)
	}
	gr.awaitEvacuated(evacuation.Set{Revision: 10, DataCentres: []string{}})
}

// Guards against the loss of an acknowledged order: all instances stop, one of them with
// its disk, and the first one back serves by its note.
func TestEvacuationOutlivesStop(t *testing.T) {
	gr := form(t, 1, 3, 1)
	gr.all[0].evacuate("south", true)
	st := gr.leader().evacuate("north", true)
	gr.awaitEvacuated(st)
	lost := gr.leader()
	for _, in := range gr.all {
		in.stop()
	}
	gr.c.Assert(os.RemoveAll(lost.dir), qt.IsNil)
	for _, in := range gr.all {
		if in != lost {
			in.run(false)
			gr.await("the noted evacuations", func() bool { return in.ob.evacuated().Has("north") })
			in.stop()
		}
	}
	for _, in := range gr.all {
		in.run(false)
	}
	gr.awaitEvacuated(st)
	gr.c.Assert(gr.all[1].evacuate("south", false).DataCentres, qt.DeepEquals, []string{"north"})
}

// Guards against evacuations that are lost with the log that a snapshot replaces.
func TestEvacuationInSnapshot(t *testing.T) {
	gr := form(t, 1, 3, 0)
	st := gr.all[0].evacuate("north", true)
	gone := gr.follower()
	gone.stop()
	for version := range uint64(4) {
		gr.leader().propose(version+1, string(make([]byte, snapshotBytes/2)))
	}
	gr.c.Assert(os.RemoveAll(gone.dir), qt.IsNil)
	gone.run(false)
	gr.awaitEvacuated(st)
	gr.c.Assert(gone.evacuate("north", true), qt.DeepEquals, st)
}

// Guards against an instance that acknowledges an order by what it knew before another
// instance took the opposite one.
func TestEvacuateOnOldKnowledge(t *testing.T) {
	gr := form(t, 1, 3, 0)
	gr.awaitEvacuated(gr.all[0].evacuate("north", true))
	for round := range 20 {
		on := round%2 == 1
		gr.all[round%3].evacuate("north", on)
		gr.c.Assert(gr.all[(round+1)%3].evacuate("north", !on).Has("north"), qt.Equals, !on)
		gr.c.Assert(gr.all[(round+2)%3].evacuate("north", on).Has("north"), qt.Equals, on)
	}
}

// Guards against orders of several operators at once of which one gets lost.
func TestEvacuateTogether(t *testing.T) {
	gr := form(t, 1, 3, 1)
	var wg sync.WaitGroup
	for nth := range 8 {
		wg.Go(func() {
			if _, err := gr.all[nth%4].nd.Evacuate(gr.ctx, fmt.Sprint("dc-", nth), true); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	gr.awaitEvacuated(evacuation.Set{Revision: 8, DataCentres: []string{"dc-0", "dc-1", "dc-2", "dc-3", "dc-4", "dc-5", "dc-6", "dc-7"}})
}

// Guards against an order whose leader is gone and which is acknowledged all the same.
func TestEvacuateLeaderStops(t *testing.T) {
	gr := form(t, 1, 3, 1)
	gr.all[3].evacuate("north", true)
	gr.leader().stop()
	st := gr.named("d").evacuate("south", true)
	gr.c.Assert(st.DataCentres, qt.DeepEquals, []string{"north", "south"})
	gr.awaitEvacuated(st)
}

// Guards against an order without a majority that is said to be in force.
func TestEvacuateWithoutMajority(t *testing.T) {
	gr := form(t, 1, 3, 0)
	gr.all[0].stop()
	gr.all[1].stop()
	ctx, cancel := context.WithTimeout(gr.ctx, testElection)
	defer cancel()
	_, err := gr.all[2].nd.Evacuate(ctx, "north", true)
	var re *result.Error
	gr.c.Assert(errors.As(err, &re), qt.IsTrue)
	gr.c.Assert(re.Code, qt.Equals, result.ControlUnavailable)
}
