package feed

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
	"balsamwinch.example/result"
)

const (
	// testStoreTime is how long a test's disk takes to store departures.
	testStoreTime = 5 * time.Millisecond
	// testAckTimeout is how long backend servers of a test wait for an acknowledgement.
	testAckTimeout = 900 * time.Millisecond
)

// storingControl is a control instance with a disk and with links to the others.
type storingControl struct {
	*control
	own       *entry // its subscriber
	diskFails atomic.Bool
	numWrites atomic.Int64
	stopStore context.CancelFunc
}

// storingGroup starts three control instances, of which two must store a departure.
func (cl *cluster) storingGroup() []*storingControl {
	cl.neededCopies = 2
	cos := cl.group("one", "two", "three")
	var scs []*storingControl
	for _, co := range cos {
		sc := &storingControl{control: co}
		sc.join(cos)
		scs = append(scs, sc)
	}
	cl.advance(time.Second)
	return scs
}

// join starts the parts of a control instance beside its publisher.
func (sc *storingControl) join(cos []*control) {
	var seeds []string
	for _, co := range cos {
		seeds = append(seeds, co.member.Address)
	}
	pu := sc.pu
	sc.own = sc.cl.subscribe(SubscriberConfig{Self: Entry{Name: sc.member.Name}, OwnAddress: sc.member.Address, Departed: pu.Depart}, seeds)
	ctx, cancel := context.WithCancel(sc.cl.ctx)
	sc.stopStore = cancel
	sc.cl.wg.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-pu.DeparturesChanged():
			}
			_, number := pu.Departing()
			time.Sleep(testStoreTime)
			sc.numWrites.Add(1)
			if !sc.diskFails.Load() {
				pu.SetStored(number)
			}
		}
	})
}

// end ends the whole process of the control instance.
func (sc *storingControl) end() {
	sc.kill()
	sc.own.stop()
	sc.stopStore()
}

// leave tells the control instance that a server leaves, and returns an error if it doesn't
// acknowledge that in time.
func (sc *storingControl) leave(id string) error {
	ctx, cancel := context.WithTimeout(sc.cl.ctx, testAckTimeout)
	defer cancel()
	return sc.pu.AwaitStored(ctx, sc.pu.Leave(id, ""))
}

// Guards against a departure that is acknowledged before another control instance has
// stored it, and lost if the one that acknowledged it ends with its disk.
func TestDepartureIsStoredWhenAcknowledged(t *testing.T) {
	for _, tc := range []struct {
		name         string
		trouble      func(scs []*storingControl)
		acknowledged bool
	}{
		{"none away", func([]*storingControl) {}, true},
		{"one has ended", func(scs []*storingControl) { scs[1].end() }, true},
		{"one is cut off", func(scs []*storingControl) { scs[1].isolate() }, true},
		{"one can't write", func(scs []*storingControl) { scs[1].diskFails.Store(true) }, true},
		{"own disk can't write", func(scs []*storingControl) { scs[0].diskFails.Store(true) }, true},
		{"both others have ended", func(scs []*storingControl) {
			scs[1].end()
			scs[2].end()
		}, false},
		{"only the own disk can write", func(scs []*storingControl) {
			scs[1].diskFails.Store(true)
			scs[2].diskFails.Store(true)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C, cl *cluster) {
				scs := cl.storingGroup()
				for _, sc := range scs {
					sc.pu.Announce(server("a1", 1, registry.Ready), "")
				}
				cl.advance(time.Second)
				tc.trouble(scs)
				err := scs[0].leave("a1")
				if !tc.acknowledged {
					var re *result.Error
					c.Assert(err, qt.ErrorAs, &re)
					c.Assert(re.Code, qt.Equals, result.ControlUnavailable)
					return
				}
				c.Assert(err, qt.IsNil)
				scs[0].end() // at once
				en := cl.entry("entry", scs[1].member.Address, scs[2].member.Address)
				cl.advance(time.Second)
				c.Assert(en.serverStates(), qt.HasLen, 0)
			})
		})
	}
}

// A server that drains is a departure, too, and it is acknowledged at once when it says so
// again. An announcement of a ready server waits for nobody.
func TestDrainingIsStoredOnce(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		scs := cl.storingGroup()
		c.Assert(scs[0].pu.Announce(server("a1", 1, registry.Ready), ""), qt.Equals, uint64(0))
		number := scs[0].pu.Announce(server("a1", 2, registry.Draining), "")
		c.Assert(number > 0, qt.IsTrue)
		c.Assert(scs[0].pu.AwaitStored(cl.ctx, number), qt.IsNil)
		scs[1].end()
		scs[2].end()
		ctx, cancel := context.WithCancel(cl.ctx)
		cancel()
		c.Assert(scs[0].pu.AwaitStored(ctx, scs[0].pu.Announce(server("a1", 3, registry.Draining), "")), qt.IsNil)
	})
}

// Guards against hundreds of servers that leave together and take a message and a disk write
// each.
func TestDeparturesAreStoredTogether(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		const count = 300
		scs := cl.storingGroup()
		before := cl.numMessages("two")
		errs := make(chan error, count)
		for ix := range count {
			go func() { errs <- scs[0].leave(fmt.Sprint("a", ix)) }()
		}
		for range count {
			c.Assert(<-errs, qt.IsNil)
		}
		cl.advance(time.Second)
		c.Assert(scs[0].numWrites.Load() <= 4, qt.IsTrue, qt.Commentf("%d writes", scs[0].numWrites.Load()))
		c.Assert(scs[1].numWrites.Load() <= 4, qt.IsTrue, qt.Commentf("%d writes", scs[1].numWrites.Load()))
		messages := cl.numMessages("two") - before
		c.Assert(messages <= 4, qt.IsTrue, qt.Commentf("%d messages", messages))
	})
}

// Guards against a departure that counts as stored by a control instance which has lost its
// disk since: what it confirmed on an earlier link doesn't count.
func TestConfirmationEndsWithLink(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		scs := cl.storingGroup()
		scs[0].diskFails.Store(true)
		scs[2].end()
		c.Assert(scs[0].leave("a1"), qt.IsNotNil)
		c.Assert(scs[1].numWrites.Load() > 0, qt.IsTrue)
		scs[1].end()
		cl.advance(time.Second)
		scs[0].diskFails.Store(false)
		scs[0].pu.Leave("a2", "") // The next write has both departures.
		cl.advance(time.Second)
		c.Assert(scs[0].leave("a1"), qt.IsNotNil)
		scs[1].start()
		scs[1].join([]*control{scs[0].control})
		cl.advance(2 * time.Second)
		c.Assert(scs[0].leave("a1"), qt.IsNil)
	})
}

// Guards against departures that nobody can acknowledge during an upgrade: a control instance
// of an earlier release doesn't confirm them.
func TestDepartureBesideEarlierRelease(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.neededCopies = 2
		co := cl.group("one")[0]
		sc := &storingControl{control: co}
		sc.join([]*control{co})
		c.Assert(sc.leave("a1"), qt.IsNotNil)
		sb := &subscriber{en: Entry{Name: "two"}, fromControl: true}
		co.pu.mu.Lock()
		co.pu.subscribers[sb] = struct{}{}
		co.pu.updateAcknowledged()
		delete(co.pu.subscribers, sb)
		co.pu.mu.Unlock()
		c.Assert(sc.leave("a1"), qt.IsNil)
	})
}

// Guards against a server that has left and hides the one that has its address now, because a
// control instance comes back with a list of servers from before the departure.
func TestLeftServerDoesNotHideItsSuccessor(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		scs := cl.storingGroup()
		left, next := server("a1", 1, registry.Ready), server("a2", 1, registry.Ready)
		next.Address = left.Address
		for _, sc := range scs {
			sc.pu.Announce(left, "")
		}
		scs[0].end()
		c.Assert(scs[1].leave(left.ID), qt.IsNil)
		scs[2].pu.Announce(next, "")
		cl.advance(time.Second)
		scs[0].start()
		scs[0].pu.Restore([]registry.Server{left}, testSilenceTimeout)
		scs[0].join([]*control{scs[1].control, scs[2].control})
		en := cl.entry("entry", scs[0].member.Address, scs[1].member.Address, scs[2].member.Address)
		cl.advance(time.Second)
		c.Assert(en.serverStates(), qt.DeepEquals, []string{"a2 Ready"})
		ses, _ := scs[0].pu.Servers()
		c.Assert(ses, qt.HasLen, 0, qt.Commentf("the others have told it"))
	})
}
