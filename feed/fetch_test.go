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

// routes returns a configuration with count routes. Only the first and last lines differ
// between versions.
func routes(version uint64, count int) []byte {
	data := fmt.Appendf(nil, "%d\n", version)
	for ix := range count {
		data = fmt.Appendf(data, "route %x to service %d\n", randomBytes(uint64(ix), 6), ix)
	}
	return fmt.Appendf(data, "route of %d\n", version)
}

// publish sets a version at control instances one by one, a few milliseconds apart.
func (cl *cluster) publish(version uint64, data []byte, cos ...*control) {
	for _, co := range cos {
		co.pu.SetConfiguration(version, data)
		cl.advance(4 * time.Millisecond)
	}
}

// bytesFrom returns the number of bytes that a control instance sent to an entry
// instance.
func (cl *cluster) bytesFrom(en *entry, co *control) int {
	bytes := 0
	for _, li := range cl.linksBetween(en.name, co.member.Address) {
		li.mu.Lock()
		bytes += li.sentBytes
		li.mu.Unlock()
	}
	return bytes
}

// remoteAndLocalControls creates two control instances, one in another data centre and
// one in the entry instances' data centre. Tests let the latter announce each version
// last.
func (cl *cluster) remoteAndLocalControls() (remote, local *control) {
	cl.dataCentres = map[string]string{"far": "cusco", "near": "lima"}
	cos := cl.group("far", "near")
	return cos[0], cos[1]
}

// Guards against fetches across data centres when a control instance of another data
// centre announces each version first. With hundreds of entry instances they would fill
// that control instance's links and make callers wait. The local one announces a moment
// later and must be asked.
func TestFetchPrefersSameDataCentre(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		remote, local := cl.remoteAndLocalControls()
		ens := cl.entries(4, remote)
		for version := uint64(1); version <= 20; version++ {
			cl.publish(version, randomBytes(version, 5000), remote, local)
			cl.advance(maxPropagation)
		}
		for _, en := range ens {
			c.Check(en.versionsInForce()[len(en.versionsInForce())-1], qt.Equals, uint64(20))
			c.Check(cl.bytesFrom(en, remote) < 5000, qt.IsTrue, qt.Commentf("%d bytes", cl.bytesFrom(en, remote)))
			c.Check(cl.bytesFrom(en, local) > 100_000, qt.IsTrue)
		}
	})
}

// Guards against waiting for a local control instance that hangs with open links. The
// first version from the remote one is a little late, the following ones are not. Once
// the local one has caught up it is asked again.
func TestFetchWhileSameDataCentreControlHangs(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		remote, local := cl.remoteAndLocalControls()
		en := cl.entries(1, remote)[0]
		cl.publish(1, routes(1, 10), remote, local)
		cl.advance(maxPropagation)
		cl.publish(2, routes(2, 10), remote)
		cl.advance(maxPropagation)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{1})
		cl.advance(sameDataCentreTimeout)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{1, 2})
		cl.publish(3, routes(3, 10), remote)
		cl.advance(maxPropagation)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{1, 2, 3})
		cl.publish(3, routes(3, 10), local)
		before := cl.bytesFrom(en, remote)
		cl.publish(4, randomBytes(4, 5000), remote, local)
		cl.advance(maxPropagation)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{1, 2, 3, 4})
		c.Check(cl.bytesFrom(en, remote)-before < 5000, qt.IsTrue)
	})
}

// Guards against a local control instance that is asked and doesn't answer: another one
// must be asked, as after any late answer.
func TestFetchRetriedWhenSameDataCentreControlIsSilent(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.latency = 3 * time.Millisecond
		remote, local := cl.remoteAndLocalControls()
		en := cl.entries(1, remote)[0]
		local.pu.SetConfiguration(1, routes(1, 10))
		remote.pu.SetConfiguration(1, routes(1, 10))
		cl.advance(batchDelay + cl.latency + cl.latency/2)
		cl.linksBetween("", local.member.Address)[0].blackholed.Store(true) // The Fetch is in flight.
		cl.advance(fetchTimeout + maxPropagation)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{1})
	})
}

// Guards against sending full configurations. With 1,800 routes, a version that changes
// one is sent as a small delta, also to an entry instance that missed several versions.
// One that missed more than are kept, or has just started, gets the full configuration.
func TestFetchSendsDelta(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		co := cl.control("one")
		co.pu.SetMembers(members(co))
		en := cl.entries(1, co)[0]
		full := len(routes(1, 1800)) / 5 // Compression alone leaves more than that.
		put := func(version uint64) int {
			before := bytesReceived(cl, en)
			cl.publish(version, routes(version, 1800), co)
			cl.advance(maxPropagation)
			return bytesReceived(cl, en) - before
		}
		c.Check(put(1) > full, qt.IsTrue)
		c.Check(put(2) < 400, qt.IsTrue)
		next := uint64(3)
		for _, missed := range []uint64{maxKeptVersions - 2, maxKeptVersions + 2} {
			for _, li := range cl.linksBetween("", "") {
				li.blackholed.Store(true)
			}
			for range missed {
				co.pu.SetConfiguration(next, routes(next, 1800))
				next++
			}
			before := bytesReceived(cl, en)
			cl.advance(3 * time.Second)
			c.Check(en.versionsInForce()[len(en.versionsInForce())-1], qt.Equals, next-1)
			c.Check(bytes.Equal(en.data, routes(next-1, 1800)), qt.IsTrue)
			c.Check(bytesReceived(cl, en)-before > full, qt.Equals, missed > maxKeptVersions, qt.Commentf("%d bytes", bytesReceived(cl, en)-before))
		}
		late := cl.entry("late", co.member.Address)
		cl.advance(maxPropagation)
		c.Check(bytes.Equal(late.data, routes(next-1, 1800)), qt.IsTrue)
	})
}

// Guards against applying a delta to the wrong base. If two control instances hold
// different data under one version, which must not happen, a delta would give a
// configuration that nobody sent. The digest reveals it, it is logged, and the full
// configuration is fetched at once.
func TestFullFetchAfterDeltaDigestMismatch(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		remote, local := cl.remoteAndLocalControls()
		en := cl.entries(1, remote)[0]
		cl.publish(1, routes(1, 50), local)
		cl.advance(maxPropagation)
		remote.pu.SetConfiguration(1, append(routes(1, 50), '#'))
		local.kill()
		cl.advance(maxPropagation)
		cl.publish(2, routes(2, 50), remote)
		cl.advance(sameDataCentreTimeout + maxPropagation)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{1, 2})
		c.Check(bytes.Equal(en.data, routes(2, 50)), qt.IsTrue)
		c.Check(cl.logs.FilterMessage("configuration-difference-wrong").Len(), qt.Equals, 1)
		cl.publish(3, routes(3, 50), remote)
		cl.advance(sameDataCentreTimeout + maxPropagation)
		c.Check(cl.logs.FilterMessage("configuration-difference-wrong").Len(), qt.Equals, 1)
	})
}

// Guards against a late delta whose base is no longer in force: it must be ignored, and
// versions must not go back.
func TestLateDeltaIsIgnored(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		remote, local := cl.remoteAndLocalControls()
		en := cl.entries(1, remote)[0]
		cl.publish(1, routes(1, 50), remote, local)
		cl.advance(maxPropagation)
		for _, li := range cl.linksBetween("", local.member.Address) {
			li.paused.Store(true)
		}
		cl.publish(2, routes(2, 50), remote)
		cl.advance(sameDataCentreTimeout + maxPropagation)
		cl.publish(3, routes(3, 50), local, remote)
		cl.advance(maxPropagation)
		for _, li := range cl.linksBetween("", local.member.Address) {
			li.paused.Store(false)
		}
		cl.advance(time.Second)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{1, 2, 3})
		c.Check(bytes.Equal(en.data, routes(3, 50)), qt.IsTrue)
		c.Check(cl.logs.FilterMessage("configuration-difference-wrong").Len(), qt.Equals, 0)
	})
}

// Guards against breaking earlier releases: an instance that fetches without delta
// support gets the plain full configuration, also among others that support deltas.
func TestFetchWithoutDeltaSupport(t *testing.T) {
	c := qt.New(t)
	var cs configurationStore
	data := routes(1, 100)
	cs.add(1, data)
	for _, fe := range []Fetch{{Version: 1, AcceptDelta: true}, {Version: 1}} {
		cfg := answerFetchOf(c, &cs, fe)
		c.Check(bytes.Equal(cfg.Data, data), qt.Equals, !fe.AcceptDelta)
		c.Check(len(cfg.Digest) > 0, qt.Equals, fe.AcceptDelta)
	}
	su := &Subscriber{lg: zap.NewNop()}
	got, err := su.decodeConfiguration(Configuration{Version: 1, Data: data})
	c.Assert(err, qt.IsNil)
	c.Check(bytes.Equal(got, data), qt.IsTrue)
}

// answerFetchOf returns the Configuration that answers a Fetch.
func answerFetchOf(c *qt.C, cs *configurationStore, fe Fetch) Configuration {
	var cfg Configuration
	runInBubble(c.TB.(*testing.T), func(c *qt.C, cl *cluster) {
		local, remote := newPipe(cl)
		pa, version, err := cs.pack(local, fe)
		c.Assert(err, qt.IsNil)
		c.Assert(version, qt.Equals, uint64(1))
		c.Assert(local.SendPrepared(pa), qt.IsNil)
		ms, err := remote.Receive()
		c.Assert(err, qt.IsNil)
		cfg = ms.(Configuration)
		local.Close()
		remote.Close()
	})
	return cfg
}

// newPipe returns the two ends of a link.
func newPipe(cl *cluster) (local, remote *link.Conn) {
	one, two := net.Pipe()
	return link.New(one, cl.config()), link.New(two, cl.config())
}

// Guards against traffic across data centres that grows with the number of routes. In a
// burst of 25 small changes, 60 ms apart, each announced first by a remote control
// instance, only announcements cross data centres, and the last change is in force
// everywhere within 200 ms.
func TestConfigurationBurstAtManyInstances(t *testing.T) {
	for _, tc := range []struct{ instances, routes int }{{10, 100}, {10, 1800}, {60, 1800}, {200, 100}, {200, 1800}} {
		t.Run(fmt.Sprintf("%d instances, %d routes", tc.instances, tc.routes), func(t *testing.T) {
			runInBubble(t, func(c *qt.C, cl *cluster) {
				cl.latency = time.Millisecond
				remote, local := cl.remoteAndLocalControls()
				ens := cl.entries(tc.instances, remote)
				cl.publish(1, routes(1, tc.routes), remote, local)
				cl.advance(time.Second)
				across, within := 0, 0
				count := func(sign int) {
					for _, en := range ens {
						across += sign * cl.bytesFrom(en, remote)
						within += sign * cl.bytesFrom(en, local)
					}
				}
				count(-1)
				const last = 26
				for version := uint64(2); version <= last; version++ {
					cl.publish(version, routes(version, tc.routes), remote, local)
					cl.advance(52 * time.Millisecond)
				}
				cl.advance(200 * time.Millisecond)
				count(1)
				for _, en := range ens {
					c.Check(en.versionsInForce()[len(en.versionsInForce())-1], qt.Equals, uint64(last))
				}
				changes := 25 * tc.instances
				t.Logf("%d bytes a change and instance across data centres, %d within", across/changes, within/changes)
				c.Check(across/changes < 50, qt.IsTrue)
				c.Check(within/changes < 250, qt.IsTrue)
			})
		})
	}
}
