package feed

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/link"
)

// routes returns a configuration of so many routes, of which the last ones belong to the
// version alone.
func routes(version uint64, count int) []byte {
	data := fmt.Appendf(nil, "%d\n", version)
	for ix := range count {
		data = fmt.Appendf(data, "route %x to service %d\n", noise(uint64(ix), 6), ix)
	}
	return fmt.Appendf(data, "route of %d\n", version)
}

// publish gives a version to control instances one after the other, a few milliseconds
// apart.
func (wo *world) publish(version uint64, data []byte, cos ...*control) {
	for _, co := range cos {
		co.pu.SetConfiguration(version, data)
		wo.after(4 * time.Millisecond)
	}
}

// from returns how many bytes have gone to an entry instance from a control instance.
func (wo *world) from(en *entry, co *control) int {
	bytes := 0
	for _, li := range wo.all(en.name, co.member.Address) {
		li.mu.Lock()
		bytes += li.bytes
		li.mu.Unlock()
	}
	return bytes
}

// far and near make a group of which one control instance is in the data centre of the
// entry instances and announces each version last.
func (wo *world) farAndNear() (far, near *control) {
	wo.places = map[string]string{"far": "cusco", "near": "lima"}
	cos := wo.group("far", "near")
	return cos[0], cos[1]
}

// Versions come in quick succession, and the control instance of another data centre
// announces each first. Were it asked, every version would cross data centres once for
// each entry instance: with hundreds of them the links of that control instance fill and
// callers wait. The one of the own data centre announces a moment later and is asked.
func TestNearControlIsAsked(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		far, near := wo.farAndNear()
		ens := wo.entries(4, far)
		for version := uint64(1); version <= 20; version++ {
			wo.publish(version, noise(version, 5000), far, near)
			wo.after(soon)
		}
		for _, en := range ens {
			c.Check(en.held()[len(en.held())-1], qt.Equals, uint64(20))
			c.Check(wo.from(en, far) < 5000, qt.IsTrue, qt.Commentf("%d bytes", wo.from(en, far)))
			c.Check(wo.from(en, near) > 100_000, qt.IsTrue)
		}
	})
}

// The control instance of the own data centre hangs with its links open. The others'
// version is in force a little later than usual, and the versions after it as soon as
// ever: it is not waited for each time. Once it has caught up it is asked again.
func TestNearControlHangs(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		far, near := wo.farAndNear()
		en := wo.entries(1, far)[0]
		wo.publish(1, routes(1, 10), far, near)
		wo.after(soon)
		wo.publish(2, routes(2, 10), far)
		wo.after(soon)
		c.Check(en.held(), qt.DeepEquals, []uint64{1})
		wo.after(nearWait)
		c.Check(en.held(), qt.DeepEquals, []uint64{1, 2})
		wo.publish(3, routes(3, 10), far)
		wo.after(soon)
		c.Check(en.held(), qt.DeepEquals, []uint64{1, 2, 3})
		wo.publish(3, routes(3, 10), near)
		before := wo.from(en, far)
		wo.publish(4, noise(4, 5000), far, near)
		wo.after(soon)
		c.Check(en.held(), qt.DeepEquals, []uint64{1, 2, 3, 4})
		c.Check(wo.from(en, far)-before < 5000, qt.IsTrue)
	})
}

// The control instance of the own data centre is asked and doesn't answer: another one
// is, as for any that is late.
func TestNearControlIsSilent(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		wo.delay = 3 * time.Millisecond
		far, near := wo.farAndNear()
		en := wo.entries(1, far)[0]
		near.pu.SetConfiguration(1, routes(1, 10))
		far.pu.SetConfiguration(1, routes(1, 10))
		wo.after(batchDelay + wo.delay + wo.delay/2)
		wo.all("", near.member.Address)[0].cut.Store(true) // The Fetch is on its way.
		wo.after(fetchWait + soon)
		c.Check(en.held(), qt.DeepEquals, []uint64{1})
	})
}

// 1,800 routes are held and a version changes one. What is sent is a small part of them,
// also to an entry instance that missed several versions in a cut; one that missed more
// than are kept, and one that has just started, are sent the whole.
func TestDifferenceIsSent(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		co := wo.control("one")
		co.pu.SetMembers(members(co))
		en := wo.entries(1, co)[0]
		whole := len(routes(1, 1800)) / 5 // What compression alone leaves is more.
		put := func(version uint64) int {
			before := size(wo, en)
			wo.publish(version, routes(version, 1800), co)
			wo.after(soon)
			return size(wo, en) - before
		}
		c.Check(put(1) > whole, qt.IsTrue)
		c.Check(put(2) < 400, qt.IsTrue)
		next := uint64(3)
		for _, missed := range []uint64{keptVersions - 2, keptVersions + 2} {
			for _, li := range wo.all("", "") {
				li.cut.Store(true)
			}
			for range missed {
				co.pu.SetConfiguration(next, routes(next, 1800))
				next++
			}
			before := size(wo, en)
			wo.after(3 * time.Second)
			c.Check(en.held()[len(en.held())-1], qt.Equals, next-1)
			c.Check(bytes.Equal(en.data, routes(next-1, 1800)), qt.IsTrue)
			c.Check(size(wo, en)-before > whole, qt.Equals, missed > keptVersions, qt.Commentf("%d bytes", size(wo, en)-before))
		}
		late := wo.entry("late", co.member.Address)
		wo.after(soon)
		c.Check(bytes.Equal(late.data, routes(next-1, 1800)), qt.IsTrue)
	})
}

// Two control instances hold different content under one version, which must not happen
// and would go unseen for long: what the second one tells against it gives a
// configuration that nobody sent. The digest shows it, a line says so, and the whole is
// fetched at once.
func TestWrongDifferenceIsFetchedWhole(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		far, near := wo.farAndNear()
		en := wo.entries(1, far)[0]
		wo.publish(1, routes(1, 50), near)
		wo.after(soon)
		far.pu.SetConfiguration(1, append(routes(1, 50), '#'))
		near.kill()
		wo.after(soon)
		wo.publish(2, routes(2, 50), far)
		wo.after(nearWait + soon)
		c.Check(en.held(), qt.DeepEquals, []uint64{1, 2})
		c.Check(bytes.Equal(en.data, routes(2, 50)), qt.IsTrue)
		c.Check(wo.logs.FilterMessage("configuration-difference-wrong").Len(), qt.Equals, 1)
		wo.publish(3, routes(3, 50), far)
		wo.after(nearWait + soon)
		c.Check(wo.logs.FilterMessage("configuration-difference-wrong").Len(), qt.Equals, 1)
	})
}

// An answer comes late, when a newer version is held than the one that it was told
// against. It is passed over, and nothing older is ever shown.
func TestLateDifferenceIsPassedOver(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		far, near := wo.farAndNear()
		en := wo.entries(1, far)[0]
		wo.publish(1, routes(1, 50), far, near)
		wo.after(soon)
		for _, li := range wo.all("", near.member.Address) {
			li.slow.Store(true)
		}
		wo.publish(2, routes(2, 50), far)
		wo.after(nearWait + soon)
		wo.publish(3, routes(3, 50), near, far)
		wo.after(soon)
		for _, li := range wo.all("", near.member.Address) {
			li.slow.Store(false)
		}
		wo.after(time.Second)
		c.Check(en.held(), qt.DeepEquals, []uint64{1, 2, 3})
		c.Check(bytes.Equal(en.data, routes(3, 50)), qt.IsTrue)
		c.Check(wo.logs.FilterMessage("configuration-difference-wrong").Len(), qt.Equals, 0)
	})
}

// An instance of an earlier release asks for the whole without frames, and gets it as it
// always did, also between others that know them.
func TestEarlierReleaseIsServed(t *testing.T) {
	c := qt.New(t)
	var ds documents
	data := routes(1, 100)
	ds.add(1, data)
	for _, fe := range []Fetch{{Version: 1, AcceptDelta: true}, {Version: 1}} {
		do := unpack(c, &ds, fe)
		c.Check(bytes.Equal(do.Data, data), qt.Equals, !fe.AcceptDelta)
		c.Check(len(do.Digest) > 0, qt.Equals, fe.AcceptDelta)
	}
	su := &Subscriber{lg: zap.NewNop()}
	got, err := su.unframed(Configuration{Version: 1, Data: data})
	c.Assert(err, qt.IsNil)
	c.Check(bytes.Equal(got, data), qt.IsTrue)
}

// unpack returns the document that a Fetch is answered with.
func unpack(c *qt.C, ds *documents, fe Fetch) Configuration {
	var do Configuration
	play(c.TB.(*testing.T), func(c *qt.C, wo *world) {
		near, far := newPipe(wo)
		pa, version, err := ds.pack(near, fe)
		c.Assert(err, qt.IsNil)
		c.Assert(version, qt.Equals, uint64(1))
		c.Assert(near.SendPacked(pa), qt.IsNil)
		ms, err := far.Receive()
		c.Assert(err, qt.IsNil)
		do = ms.(Configuration)
		near.Close()
		far.Close()
	})
	return do
}

// newPipe returns the ends of a link.
func newPipe(wo *world) (near, far *link.Conn) {
	one, two := net.Pipe()
	return link.New(one, wo.config()), link.New(two, wo.config())
}

// A storm of 25 small changes, 60 ms apart, of which another data centre's control
// instance announces each first. What crosses data centres grows with the entry instances
// by announcements alone, whatever the number of routes, and the last change is in force
// everywhere within a small part of a second.
func TestStormAtManyInstances(t *testing.T) {
	for _, tc := range []struct{ instances, routes int }{{10, 100}, {10, 1800}, {60, 1800}, {200, 100}, {200, 1800}} {
		t.Run(fmt.Sprintf("%d instances, %d routes", tc.instances, tc.routes), func(t *testing.T) {
			play(t, func(c *qt.C, wo *world) {
				wo.delay = time.Millisecond
				far, near := wo.farAndNear()
				ens := wo.entries(tc.instances, far)
				wo.publish(1, routes(1, tc.routes), far, near)
				wo.after(time.Second)
				across, within := 0, 0
				count := func(sign int) {
					for _, en := range ens {
						across += sign * wo.from(en, far)
						within += sign * wo.from(en, near)
					}
				}
				count(-1)
				const last = 26
				for version := uint64(2); version <= last; version++ {
					wo.publish(version, routes(version, tc.routes), far, near)
					wo.after(52 * time.Millisecond)
				}
				wo.after(200 * time.Millisecond)
				count(1)
				for _, en := range ens {
					c.Check(en.held()[len(en.held())-1], qt.Equals, uint64(last))
				}
				changes := 25 * tc.instances
				t.Logf("%d bytes a change and instance across data centres, %d within", across/changes, within/changes)
				c.Check(across/changes < 50, qt.IsTrue)
				c.Check(within/changes < 250, qt.IsTrue)
			})
		})
	}
}
