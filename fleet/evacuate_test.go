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

// mustEvacuate fails the test unless an order is acknowledged.
func (in *instance) mustEvacuate(dataCentre string, evacuate bool) evacuation.Set {
	in.gr.c.Helper()
	st, err := in.nd.Evacuate(in.gr.ctx, dataCentre, evacuate)
	in.gr.c.Assert(err, qt.IsNil)
	in.gr.c.Assert(st.Has(dataCentre), qt.Equals, evacuate)
	return st
}

// awaitEvacuations waits until all running instances know the given evacuations.
func (gr *group) awaitEvacuations(want evacuation.Set) {
	gr.c.Helper()
	gr.await(fmt.Sprint(want), func() bool {
		for _, in := range gr.all {
			if in.running && fmt.Sprint(in.ob.lastEvacuations()) != fmt.Sprint(want) {
				return false
			}
		}
		return true
	})
}

// Guards against an order that only some instances apply, or that is rejected when it is
// repeated at another instance.
func TestEvacuateIsIdempotent(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 2)
	for nth, in := range gr.all {
		name := fmt.Sprint("dc-", nth)
		st := in.mustEvacuate(name, true)
		for _, ot := range gr.all {
			gr.c.Assert(ot.mustEvacuate(name, true), qt.DeepEquals, st)
		}
		gr.awaitEvacuations(st)
	}
	for nth, in := range gr.all {
		in.mustEvacuate(fmt.Sprint("dc-", nth), false)
		in.mustEvacuate("unheard-of", false)
	}
	gr.awaitEvacuations(evacuation.Set{Revision: 10, DataCentres: []string{}})
}

// Guards against the loss of an acknowledged order: all instances stop, one of them loses
// its disk, and the first instance to return serves from its persisted copy.
func TestEvacuationSurvivesRestart(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 1)
	gr.all[0].mustEvacuate("south", true)
	st := gr.leader().mustEvacuate("north", true)
	gr.awaitEvacuations(st)
	lost := gr.leader()
	for _, in := range gr.all {
		in.stop()
	}
	gr.c.Assert(os.RemoveAll(lost.dir), qt.IsNil)
	for _, in := range gr.all {
		if in != lost {
			in.run(false)
			gr.await("the persisted evacuations", func() bool { return in.ob.lastEvacuations().Has("north") })
			in.stop()
		}
	}
	for _, in := range gr.all {
		in.run(false)
	}
	gr.awaitEvacuations(st)
	gr.c.Assert(gr.all[1].mustEvacuate("south", false).DataCentres, qt.DeepEquals, []string{"north"})
}

// Guards against evacuations that are lost with the log entries that a snapshot replaces.
func TestEvacuationSurvivesSnapshot(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 0)
	st := gr.all[0].mustEvacuate("north", true)
	gone := gr.follower()
	gone.stop()
	for version := range uint64(4) {
		gr.leader().mustPropose(version+1, string(make([]byte, minSnapshotBytes/2)))
	}
	gr.c.Assert(os.RemoveAll(gone.dir), qt.IsNil)
	gone.run(false)
	gr.awaitEvacuations(st)
	gr.c.Assert(gone.mustEvacuate("north", true), qt.DeepEquals, st)
}

// Guards against an instance that acknowledges an order from its own stale view, after
// another instance has committed the opposite order.
func TestEvacuateWithStaleView(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 0)
	gr.awaitEvacuations(gr.all[0].mustEvacuate("north", true))
	for round := range 20 {
		on := round%2 == 1
		gr.all[round%3].mustEvacuate("north", on)
		gr.c.Assert(gr.all[(round+1)%3].mustEvacuate("north", !on).Has("north"), qt.Equals, !on)
		gr.c.Assert(gr.all[(round+2)%3].mustEvacuate("north", on).Has("north"), qt.Equals, on)
	}
}

// Guards against the loss of one of several concurrent orders.
func TestConcurrentEvacuations(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 1)
	var wg sync.WaitGroup
	for nth := range 8 {
		wg.Go(func() {
			if _, err := gr.all[nth%4].nd.Evacuate(gr.ctx, fmt.Sprint("dc-", nth), true); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	gr.awaitEvacuations(evacuation.Set{Revision: 8, DataCentres: []string{"dc-0", "dc-1", "dc-2", "dc-3", "dc-4", "dc-5", "dc-6", "dc-7"}})
}

// Guards against an order that is acknowledged although its leader is gone.
func TestEvacuateAfterLeaderStops(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 1)
	gr.all[3].mustEvacuate("north", true)
	gr.leader().stop()
	st := gr.named("d").mustEvacuate("south", true)
	gr.c.Assert(st.DataCentres, qt.DeepEquals, []string{"north", "south"})
	gr.awaitEvacuations(st)
}

// Guards against an order that is reported as in force without a majority.
func TestEvacuateFailsWithoutMajority(t *testing.T) {
	gr := newFormedGroup(t, 1, 3, 0)
	gr.all[0].stop()
	gr.all[1].stop()
	ctx, cancel := context.WithTimeout(gr.ctx, testElectionTimeout)
	defer cancel()
	_, err := gr.all[2].nd.Evacuate(ctx, "north", true)
	var re *result.Error
	gr.c.Assert(errors.As(err, &re), qt.IsTrue)
	gr.c.Assert(re.Code, qt.Equals, result.ControlUnavailable)
}
