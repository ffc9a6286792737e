package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/backend"
	"balsamwinch.example/chart"
	"balsamwinch.example/view"
)

// Instances that know each other only from a grant must exchange their entries, and
// a new instance must receive the whole table.
func TestInstancesDiscoverEachOther(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(9, 1)
	cl.announce("a0", record("s", 1, 1, backend.Serving))
	cl.ticks(2)
	c.Assert(cl.converged(), qt.IsTrue)
	c.Assert(cl.instanceNames("c0"), qt.HasLen, 9)
	cl.start("z0", 1)
	c.Assert(cl.instanceNames("z0"), qt.DeepEquals, []string{"z0"})
	cl.drop = func(pk packet) bool { return isPush(pk.ms) }
	cl.step("z0", InstancesGranted{Now: cl.now, Instances: cl.states["a0"].Instances()})
	c.Assert(cl.states["z0"].Members()[0].Phase, qt.Equals, instanceChart.Initial())
	cl.ticks(4)
	c.Assert(cl.converged(), qt.IsTrue)
	c.Assert(cl.listedState("z0", "s"), qt.Equals, backend.Serving)
	c.Assert(cl.instanceNames("a0"), qt.HasLen, 10)
}

// A backend server starts to drain while a fifth of all messages is lost and one
// instance receives no pushed changes. That instance would send requests to the
// server until it learns of the draining.
func TestDrainingReachesAllWithin3Seconds(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(100) {
		cl := newCluster(9, seed)
		cl.announce("a0", record("s", 1, 1, backend.Serving))
		cl.ticks(4)
		c.Assert(cl.listedStates("s"), qt.DeepEquals, []backend.State{backend.Serving})
		cl.drop = func(pk packet) bool {
			return cl.random.IntN(5) == 0 || (isPush(pk.ms) && pk.to == "d0")
		}
		cl.announce("b0", record("s", 1, 2, backend.Draining))
		cl.ticks(5) // 2.5 s, because a server may start draining between two ticks.
		c.Assert(cl.listedStates("s"), qt.DeepEquals, []backend.State{backend.Draining}, qt.Commentf("seed %d", seed))
	}
}

// A backend server leaves. Later, an old announcement arrives at an instance, which
// may know of the leaving or not, and a partitioned instance returns with the old
// record. No instance may list the server again before it restarts.
func TestLeftServerIsNotListedAgain(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(5, 1)
	cl.announce("a0", record("s", 1, 1, backend.Serving))
	cl.ticks(2)
	cl.drop = func(pk packet) bool { return pk.from == "e0" || pk.to == "e0" }
	cl.announce("b0", record("s", 1, 3, backend.Left))
	cl.ticks(2)
	cl.announce("c0", record("s", 1, 2, backend.Serving))
	cl.announce("c0", record("s", 1, 4, backend.Serving))
	c.Assert(cl.listedState("c0", "s"), qt.Equals, backend.State(""))
	cl.announce("e0", record("s", 1, 5, backend.Serving))
	cl.drop = nil
	cl.ticks(4)
	c.Assert(cl.listedStates("s"), qt.DeepEquals, []backend.State{""})
	ex, ok := cl.states["e0"].Explain("s")
	c.Assert(ok, qt.IsTrue)
	c.Assert(ex.Status, qt.Equals, Departed)

	cl.announce("d0", record("s", 2, 1, backend.Cold))
	cl.announce("a0", record("s", 1, 9, backend.Left))
	cl.ticks(2)
	c.Assert(cl.listedStates("s"), qt.DeepEquals, []backend.State{backend.Cold})
}

// A backend server is killed. Only its owner can detect that, because no other
// instance receives its announcements. Unless the owner reports it, the others
// would list the server forever.
func TestSilentServerExpires(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(5, 1)
	cl.announce("a0", record("s", 1, 1, backend.Serving))
	for range 6 {
		cl.announce("a0", record("s", 1, 1, backend.Serving))
		cl.ticks(4)
		c.Assert(cl.listedStates("s"), qt.DeepEquals, []backend.State{backend.Serving})
	}
	cl.ticks(7)
	c.Assert(cl.listedStates("s"), qt.DeepEquals, []backend.State{backend.Serving})
	ex, _ := cl.states["c0"].Explain("s")
	c.Assert(ex.Status, qt.Equals, Silent)
	cl.ticks(4)
	c.Assert(cl.listedStates("s"), qt.DeepEquals, []backend.State{""})
	ex, _ = cl.states["c0"].Explain("s")
	c.Assert(ex.Status, qt.Equals, Expired)
	cl.announce("b0", record("s", 1, 1, backend.Serving))
	cl.ticks(1)
	c.Assert(cl.listedStates("s"), qt.DeepEquals, []backend.State{backend.Serving})
}

// A backend server starts to announce itself to another instance while its owner
// keeps running, stops, is killed or restarts. It must stay listed throughout.
// Servers that announce themselves to no instance must be dropped once their TTL
// has expired.
func TestServerStaysListedWhenOwnerChanges(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct {
		name  string
		leave func(cl *cluster)
	}{
		{"KeepsRunning", func(*cluster) {}},
		{"Stops", func(cl *cluster) { cl.step("a0", Leave{Now: cl.now}); cl.deliver(); cl.kill("a0") }},
		{"Killed", func(cl *cluster) { cl.kill("a0") }},
		{"Restarted", func(cl *cluster) { cl.start("a0", 2); cl.grantAll() }},
	} {
		c.Run(tt.name, func(c *qt.C) {
			cl := newCluster(5, 1)
			cl.announce("a0", record("s", 1, 1, backend.Serving))
			for ix := range 100 {
				cl.announce("a0", record(fmt.Sprint("t", ix), 1, 1, backend.Serving))
			}
			cl.ticks(2)
			c.Assert(cl.states["c0"].Servers(), qt.HasLen, 101)
			tt.leave(cl)
			for ix := range 30 {
				if ix%10 == 0 {
					cl.announce("b0", record("s", 1, 1, backend.Serving))
				}
				cl.ticks(1)
				c.Assert(cl.listedStates("s"), qt.DeepEquals, []backend.State{backend.Serving})
			}
			ex, _ := cl.states["c0"].Explain("s")
			c.Assert(ex.Owner, qt.Equals, "b0")
			cl.announce("b0", record("s", 1, 1, backend.Serving))
			cl.start("z0", 1)
			cl.grantAll()
			cl.ticks(4)
			for _, name := range cl.names {
				c.Assert(cl.states[name].Servers(), qt.DeepEquals, []backend.Record{record("s", 1, 1, backend.Serving)})
			}
		})
	}
}

// A new server starts at the address of a killed one whose record has not expired.
// If both were listed, the new server would answer requests for the other.
func TestAddressConflictListsLaterServer(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(3, 1)
	newer := record("a", 2, 1, backend.Serving)
	newer.Address = "s:2"
	cl.announce("a0", newer)
	cl.announce("b0", record("s", 1, 7, backend.Serving))
	cl.ticks(2)
	for _, name := range cl.names {
		c.Assert(cl.listedState(name, "a"), qt.Equals, backend.Serving)
		c.Assert(cl.listedState(name, "s"), qt.Equals, backend.State(""))
		c.Assert(cl.states[name].AddressConflicts(), qt.DeepEquals, []AddressConflict{{Address: "s:2", Winner: "a", Loser: "s"}})
		ex, _ := cl.states[name].Explain("s")
		c.Assert(ex.Status, qt.Equals, AddressTaken)
		c.Assert(ex.Winner, qt.Equals, "a")
	}
	newer.Sequence, newer.State = 2, backend.Left
	cl.announce("c0", newer)
	cl.ticks(1)
	c.Assert(cl.listedStates("s"), qt.DeepEquals, []backend.State{backend.Serving})
}

// An instance is killed. Callers would be directed to it until the others detect
// that.
func TestKilledInstanceIsDropped(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		cl := newCluster(9, seed)
		cl.now = cl.now.Add(grantTTL)
		cl.ticks(1)
		cl.kill("d0")
		cl.ticks(12)
		for _, name := range cl.names {
			c.Assert(cl.instanceNames(name), qt.DeepEquals, []string{"a0", "b0", "c0", "e0", "f0", "g0", "h0", "i0"})
		}
		cl.start("d0", 2)
		cl.grantAll()
		cl.ticks(4)
		c.Assert(cl.instanceNames("a0"), qt.HasLen, 9)
		c.Assert(cl.states["a0"].Members()[3], qt.Equals, Member{instance("d0", 2), "Serving"})
	}
}

// Two instances can't reach each other, but all others reach both. Without
// refutation, each would repeatedly report the other as gone to callers and to the
// other instances.
func TestLinkFailureBetweenTwoInstances(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(6, 1)
	cl.now = cl.now.Add(grantTTL)
	cl.drop = func(pk packet) bool { return pk.from+pk.to == "a0b0" || pk.from+pk.to == "b0a0" }
	for range 200 {
		cl.ticks(1)
		for _, name := range cl.names {
			c.Assert(cl.instanceNames(name), qt.HasLen, 6)
		}
	}
	st := cl.states["c0"]
	it, _ := st.instanceItem("b0")
	c.Assert(it.version.epoch <= 4, qt.IsTrue, qt.Commentf("suspected %d times in 100 s", it.version.epoch-1))
}

// After a restart, control names no instance or only one; or an instance loses its
// own network and finds all others silent. Callers would get a list without the
// other instances.
func TestIncompleteGrantOrIsolationDropsNoInstance(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(5, 1)
	for range 60 {
		cl.step("b0", InstancesGranted{Now: cl.now})
		cl.step("c0", InstancesGranted{Now: cl.now, Instances: []view.Instance{instance("c0", 1)}})
		cl.ticks(1)
		c.Assert(cl.instanceNames("b0"), qt.HasLen, 5)
		c.Assert(cl.instanceNames("c0"), qt.HasLen, 5)
	}
	cl.drop = func(pk packet) bool { return pk.from == "d0" || pk.to == "d0" }
	for range 60 {
		cl.ticks(1)
		c.Assert(cl.instanceNames("d0"), qt.HasLen, 5)
	}
	c.Assert(cl.instanceNames("a0"), qt.HasLen, 4)
	cl.drop = nil
	cl.ticks(30)
	c.Assert(cl.instanceNames("a0"), qt.HasLen, 5)
	c.Assert(cl.converged(), qt.IsTrue)
}

// Two regions are partitioned for an hour, and each drops the instances and servers
// of the other. When they reconnect, each sends its suspicions about all instances
// of the other. No instance may drop those that it has seen throughout.
func TestPartitionedRegionsMerge(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct{ instances, seconds int }{{6, 3600}, {40, 120}} {
		c.Run(fmt.Sprint(tt.instances), func(c *qt.C) {
			cl := newCluster(tt.instances, 1)
			sides := [][]string{cl.names[:tt.instances/2], cl.names[tt.instances/2:]}
			side := func(name string) bool { return slices.Contains(sides[0], name) }
			cl.drop = func(pk packet) bool { return side(pk.from) != side(pk.to) }
			for range tt.seconds {
				cl.announceAndTick(sides)
			}
			for ix, names := range sides {
				c.Assert(cl.instanceNames(names[1]), qt.HasLen, tt.instances/2)
				c.Assert(cl.listedState(names[1], fmt.Sprint("s", ix)), qt.Equals, backend.Serving)
				c.Assert(cl.listedState(names[1], fmt.Sprint("s", 1-ix)), qt.Equals, backend.State(""))
			}
			cl.drop = nil
			for range 40 {
				cl.announceAndTick(sides)
				for ix, names := range sides {
					for _, name := range names {
						c.Assert(missingNames(cl.instanceNames(name), names), qt.HasLen, 0)
						c.Assert(cl.listedState(name, fmt.Sprint("s", ix)), qt.Equals, backend.Serving)
					}
				}
			}
			for _, name := range cl.names {
				c.Assert(cl.instanceNames(name), qt.HasLen, tt.instances)
			}
			c.Assert(cl.listedStates("s0"), qt.DeepEquals, []backend.State{backend.Serving})
			c.Assert(cl.listedStates("s1"), qt.DeepEquals, []backend.State{backend.Serving})
			c.Assert(cl.converged(), qt.IsTrue)
		})
	}
}

// announceAndTick advances the time by one second in which a server of each side
// announces itself.
func (cl *cluster) announceAndTick(sides [][]string) {
	for ix, names := range sides {
		cl.announce(names[0], record(fmt.Sprint("s", ix), 1, 1, backend.Serving))
	}
	cl.ticks(2)
}

// missingNames returns the names that are not in list.
func missingNames(list, names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(list, name) })
}

// Entries that have left are dropped by all instances after tombstoneTTL, though
// not at the same time. If an instance reintroduced an entry that others have
// dropped, the tables would grow without bound.
func TestTombstonesExpire(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(3, 1)
	cl.announce("a0", record("s", 1, 1, backend.Left))
	cl.ticks(2)
	cl.ticks(int(tombstoneTTL/tickInterval) + 60)
	for _, name := range cl.names {
		c.Assert(cl.states[name].table.count, qt.Equals, 3)
	}
}

// An instance drains and leaves. A later grant that still names it must not list it
// again before it restarts.
func TestDrainAndLeave(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(4, 1)
	self := cl.states["b0"].self
	self.Draining = true
	cl.step("b0", SelfChanged{Now: cl.now, Self: self})
	cl.deliver()
	c.Assert(cl.states["d0"].Instances()[1].Draining, qt.IsTrue)
	c.Assert(cl.states["d0"].Members()[1].Phase, qt.Equals, chart.State("Draining"))
	cl.step("b0", Leave{Now: cl.now})
	cl.deliver()
	cl.kill("b0")
	c.Assert(cl.instanceNames("d0"), qt.DeepEquals, []string{"a0", "c0", "d0"})
	cl.now = cl.now.Add(time.Second)
	cl.step("d0", InstancesGranted{Now: cl.now, Instances: []view.Instance{self}})
	c.Assert(cl.instanceNames("d0"), qt.DeepEquals, []string{"a0", "c0", "d0"})
	cl.start("b0", 2)
	cl.grantAll()
	cl.ticks(2)
	c.Assert(cl.states["d0"].Members()[1], qt.Equals, Member{instance("b0", 2), "Serving"})
}
