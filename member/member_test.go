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

// TestInstancesMeet lets instances that know only control's word find each
// other, and a newcomer learn everything.
func TestInstancesMeet(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(9, 1)
	cl.announce("a0", record("s", 1, 1, backend.Serving))
	cl.ticks(2)
	c.Assert(cl.alike(), qt.IsTrue)
	c.Assert(cl.sees("c0"), qt.HasLen, 9)
	cl.start("z0", 1)
	c.Assert(cl.sees("z0"), qt.DeepEquals, []string{"z0"})
	cl.lose = func(pk packet) bool { return isRumour(pk.ms) }
	cl.step("z0", InstancesGranted{Now: cl.now, Instances: cl.states["a0"].Instances()})
	c.Assert(cl.states["z0"].Members()[0].Phase, qt.Equals, instanceChart.Initial())
	cl.ticks(4)
	c.Assert(cl.alike(), qt.IsTrue)
	c.Assert(cl.listed("z0", "s"), qt.Equals, backend.Serving)
	c.Assert(cl.sees("a0"), qt.HasLen, 10)
}

// A backend server begins to drain. A fifth of all messages is lost, and one
// instance gets none of those that push changes; it would send the server work
// for as long as it hears nothing.
func TestDrainingReachesAllIn3Seconds(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(100) {
		cl := newCluster(9, seed)
		cl.announce("a0", record("s", 1, 1, backend.Serving))
		cl.ticks(4)
		c.Assert(cl.everywhere("s"), qt.DeepEquals, []backend.State{backend.Serving})
		cl.lose = func(pk packet) bool {
			return cl.random.IntN(5) == 0 || (isRumour(pk.ms) && pk.to == "d0")
		}
		cl.announce("b0", record("s", 1, 2, backend.Draining))
		cl.ticks(5) // 2.5 s, since a server may begin between two ticks.
		c.Assert(cl.everywhere("s"), qt.DeepEquals, []backend.State{backend.Draining}, qt.Commentf("seed %d", seed))
	}
}

// A backend server leaves. Then an announcement that it made before arrives
// late, at an instance that has heard of the leaving or not, and an instance
// that was cut off comes back with its old record. Nobody may list it again
// before it has started anew.
func TestLeftStaysLeft(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(5, 1)
	cl.announce("a0", record("s", 1, 1, backend.Serving))
	cl.ticks(2)
	cl.lose = func(pk packet) bool { return pk.from == "e0" || pk.to == "e0" }
	cl.announce("b0", record("s", 1, 3, backend.Left))
	cl.ticks(2)
	cl.announce("c0", record("s", 1, 2, backend.Serving))
	cl.announce("c0", record("s", 1, 4, backend.Serving))
	c.Assert(cl.listed("c0", "s"), qt.Equals, backend.State(""))
	cl.announce("e0", record("s", 1, 5, backend.Serving))
	cl.lose = nil
	cl.ticks(4)
	c.Assert(cl.everywhere("s"), qt.DeepEquals, []backend.State{""})
	ex, ok := cl.states["e0"].Explain("s")
	c.Assert(ok, qt.IsTrue)
	c.Assert(ex.Status, qt.Equals, Departed)

	cl.announce("d0", record("s", 2, 1, backend.Cold))
	cl.announce("a0", record("s", 1, 9, backend.Left))
	cl.ticks(2)
	c.Assert(cl.everywhere("s"), qt.DeepEquals, []backend.State{backend.Cold})
}

// A backend server is killed. Its owner alone can notice, since nobody else
// hears it; without its word the others would list the server for good.
func TestSilentServerIsDropped(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(5, 1)
	cl.announce("a0", record("s", 1, 1, backend.Serving))
	for range 6 {
		cl.announce("a0", record("s", 1, 1, backend.Serving))
		cl.ticks(4)
		c.Assert(cl.everywhere("s"), qt.DeepEquals, []backend.State{backend.Serving})
	}
	cl.ticks(7)
	c.Assert(cl.everywhere("s"), qt.DeepEquals, []backend.State{backend.Serving})
	ex, _ := cl.states["c0"].Explain("s")
	c.Assert(ex.Status, qt.Equals, Silent)
	cl.ticks(4)
	c.Assert(cl.everywhere("s"), qt.DeepEquals, []backend.State{""})
	ex, _ = cl.states["c0"].Explain("s")
	c.Assert(ex.Status, qt.Equals, Expired)
	cl.announce("b0", record("s", 1, 1, backend.Serving))
	cl.ticks(1)
	c.Assert(cl.everywhere("s"), qt.DeepEquals, []backend.State{backend.Serving})
}

// A backend server turns to another instance while the one that vouched for it
// goes on, stops, or is killed. It must stay listed all the while. If it turns
// to nobody, it must go once its time to live has passed.
func TestOwnerIsReplaced(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct {
		name  string
		leave func(cl *cluster)
	}{
		{"GoesOn", func(*cluster) {}},
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
				c.Assert(cl.everywhere("s"), qt.DeepEquals, []backend.State{backend.Serving})
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

// A new server starts at the address of one that was killed and whose record
// still lives. Both would get requests, and the one that listens there would
// answer for the other.
func TestTwoServersClaimOneAddress(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(3, 1)
	newer := record("a", 2, 1, backend.Serving)
	newer.Address = "s:2"
	cl.announce("a0", newer)
	cl.announce("b0", record("s", 1, 7, backend.Serving))
	cl.ticks(2)
	for _, name := range cl.names {
		c.Assert(cl.listed(name, "a"), qt.Equals, backend.Serving)
		c.Assert(cl.listed(name, "s"), qt.Equals, backend.State(""))
		c.Assert(cl.states[name].AddressConflicts(), qt.DeepEquals, []AddressConflict{{Address: "s:2", Winner: "a", Loser: "s"}})
		ex, _ := cl.states[name].Explain("s")
		c.Assert(ex.Status, qt.Equals, AddressTaken)
		c.Assert(ex.Winner, qt.Equals, "a")
	}
	newer.Sequence, newer.State = 2, backend.Left
	cl.announce("c0", newer)
	cl.ticks(1)
	c.Assert(cl.everywhere("s"), qt.DeepEquals, []backend.State{backend.Serving})
}

// An instance is killed. Callers would be sent to it until the others notice.
func TestKilledInstanceIsDropped(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		cl := newCluster(9, seed)
		cl.now = cl.now.Add(grantFresh)
		cl.ticks(1)
		cl.kill("d0")
		cl.ticks(12)
		for _, name := range cl.names {
			c.Assert(cl.sees(name), qt.DeepEquals, []string{"a0", "b0", "c0", "e0", "f0", "g0", "h0", "i0"})
		}
		cl.start("d0", 2)
		cl.grantAll()
		cl.ticks(4)
		c.Assert(cl.sees("a0"), qt.HasLen, 9)
		c.Assert(cl.states["a0"].Members()[3], qt.Equals, Member{instance("d0", 2), "Serving"})
	}
}

// Two instances cannot reach each other, but all others reach both. Each would
// tell callers and the others that the other one is gone, again and again.
func TestCutBetweenTwo(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(6, 1)
	cl.now = cl.now.Add(grantFresh)
	cl.lose = func(pk packet) bool { return pk.from+pk.to == "a0b0" || pk.from+pk.to == "b0a0" }
	for range 200 {
		cl.ticks(1)
		for _, name := range cl.names {
			c.Assert(cl.sees(name), qt.HasLen, 6)
		}
	}
	st := cl.states["c0"]
	it, _ := st.instanceItem("b0")
	c.Assert(it.version.claim <= 4, qt.IsTrue, qt.Commentf("doubted %d times in 100 s", it.version.claim-1))
}

// Control names nobody, or only one, after a restart; or an instance loses its
// own network and finds everybody silent. Callers would be told that there are
// no other instances.
func TestOneWrongViewDropsNobody(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(5, 1)
	for range 60 {
		cl.step("b0", InstancesGranted{Now: cl.now})
		cl.step("c0", InstancesGranted{Now: cl.now, Instances: []view.Instance{instance("c0", 1)}})
		cl.ticks(1)
		c.Assert(cl.sees("b0"), qt.HasLen, 5)
		c.Assert(cl.sees("c0"), qt.HasLen, 5)
	}
	cl.lose = func(pk packet) bool { return pk.from == "d0" || pk.to == "d0" }
	for range 60 {
		cl.ticks(1)
		c.Assert(cl.sees("d0"), qt.HasLen, 5)
	}
	c.Assert(cl.sees("a0"), qt.HasLen, 4)
	cl.lose = nil
	cl.ticks(30)
	c.Assert(cl.sees("a0"), qt.HasLen, 5)
	c.Assert(cl.alike(), qt.IsTrue)
}

// Two regions lose each other for an hour. Each drops the instances and servers
// of the other. When they find together, each brings its doubts about all of
// the other's, and nobody may drop those that it has seen all along.
func TestRegionsFindTogether(t *testing.T) {
	c := qt.New(t)
	for _, tt := range []struct{ instances, seconds int }{{6, 3600}, {40, 120}} {
		c.Run(fmt.Sprint(tt.instances), func(c *qt.C) {
			cl := newCluster(tt.instances, 1)
			sides := [][]string{cl.names[:tt.instances/2], cl.names[tt.instances/2:]}
			side := func(name string) bool { return slices.Contains(sides[0], name) }
			cl.lose = func(pk packet) bool { return side(pk.from) != side(pk.to) }
			for range tt.seconds {
				cl.liveOn(sides)
			}
			for ix, names := range sides {
				c.Assert(cl.sees(names[1]), qt.HasLen, tt.instances/2)
				c.Assert(cl.listed(names[1], fmt.Sprint("s", ix)), qt.Equals, backend.Serving)
				c.Assert(cl.listed(names[1], fmt.Sprint("s", 1-ix)), qt.Equals, backend.State(""))
			}
			cl.lose = nil
			for range 40 {
				cl.liveOn(sides)
				for ix, names := range sides {
					for _, name := range names {
						c.Assert(missing(cl.sees(name), names), qt.HasLen, 0)
						c.Assert(cl.listed(name, fmt.Sprint("s", ix)), qt.Equals, backend.Serving)
					}
				}
			}
			for _, name := range cl.names {
				c.Assert(cl.sees(name), qt.HasLen, tt.instances)
			}
			c.Assert(cl.everywhere("s0"), qt.DeepEquals, []backend.State{backend.Serving})
			c.Assert(cl.everywhere("s1"), qt.DeepEquals, []backend.State{backend.Serving})
			c.Assert(cl.alike(), qt.IsTrue)
		})
	}
}

// liveOn lets a second pass in which a server of each side announces itself.
func (cl *cluster) liveOn(sides [][]string) {
	for ix, names := range sides {
		cl.announce(names[0], record(fmt.Sprint("s", ix), 1, 1, backend.Serving))
	}
	cl.ticks(2)
}

// missing returns the names that a list lacks.
func missing(list, names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(list, name) })
}

// What has left is remembered for a while and then forgotten by all, though
// they do not forget at the same moment; if one taught the others again what
// they have forgotten, the tables would only grow.
func TestLeftIsForgotten(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(3, 1)
	cl.announce("a0", record("s", 1, 1, backend.Left))
	cl.ticks(2)
	cl.ticks(int(retention/tickTime) + 60)
	for _, name := range cl.names {
		c.Assert(cl.states[name].table.count, qt.Equals, 3)
	}
}

// TestDrainAndLeave lets an instance drain and leave by its own word.
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
	c.Assert(cl.sees("d0"), qt.DeepEquals, []string{"a0", "c0", "d0"})
	cl.now = cl.now.Add(time.Second)
	cl.step("d0", InstancesGranted{Now: cl.now, Instances: []view.Instance{self}})
	c.Assert(cl.sees("d0"), qt.DeepEquals, []string{"a0", "c0", "d0"})
	cl.start("b0", 2)
	cl.grantAll()
	cl.ticks(2)
	c.Assert(cl.states["d0"].Members()[1], qt.Equals, Member{instance("b0", 2), "Serving"})
}
