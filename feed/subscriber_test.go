package feed

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
)

// Guards against slow or repeated fetches: a committed version is in force at every entry
// instance within maxPropagation, and each of them fetches it from one control instance.
func TestConfigurationFetchedOnce(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.latency = 3 * time.Millisecond
		cos := cl.group("one", "two", "three")
		ens := cl.entries(6, cos[0])
		for version := uint64(10); version <= 30; version += 10 {
			before := make(map[string]int)
			for _, en := range ens {
				before[en.name] = bytesReceived(cl, en)
			}
			data := randomBytes(version, 1000) // It has nothing in common with the version before.
			for _, co := range cos {
				co.pu.SetConfiguration(version, data)
				cl.advance(time.Millisecond)
			}
			cl.advance(maxPropagation - 3*time.Millisecond)
			for _, en := range ens {
				c.Check(en.versionsInForce()[len(en.versionsInForce())-1], qt.Equals, version)
				c.Check(string(en.data), qt.Equals, string(data))
			}
			cl.advance(10 * time.Second)
			for _, en := range ens {
				got := bytesReceived(cl, en) - before[en.name]
				c.Check(got > len(data) && got < 2*len(data), qt.IsTrue, qt.Commentf("%s got %d bytes", en.name, got))
			}
		}
		c.Check(ens[0].versionsInForce(), qt.DeepEquals, []uint64{10, 20, 30})
	})
}

// randomBytes returns incompressible bytes.
func randomBytes(seed uint64, size int) []byte {
	data := make([]byte, size)
	cc := rand.NewChaCha8([32]byte(binary.BigEndian.AppendUint64(make([]byte, 24), seed)))
	_, _ = cc.Read(data)
	return data
}

// bytesReceived returns the number of bytes sent to an entry instance.
func bytesReceived(cl *cluster, en *entry) int {
	bytes := 0
	for _, li := range cl.linksBetween(en.name, "") {
		li.mu.Lock()
		bytes += li.sentBytes
		li.mu.Unlock()
	}
	return bytes
}

// Guards against a fetch that is lost with its control instance, the first one to
// announce the version. Another one that holds the version is asked: at once if the loss
// is detected, and after fetchTimeout otherwise.
func TestFetchRetriedAtAnotherControl(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(cl *cluster, co *control)
		late time.Duration
	}{
		{"killed", func(_ *cluster, co *control) { co.kill() }, 0},
		{"isolated", func(_ *cluster, co *control) { co.isolate() }, fetchTimeout},
		{"frozen", func(cl *cluster, co *control) {
			for _, li := range cl.linksBetween("", co.member.Address) {
				li.blackholed.Store(true)
			}
		}, fetchTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C, cl *cluster) {
				cl.latency = 3 * time.Millisecond
				cos := cl.group("one", "two", "three")
				ens := cl.entries(3, cos[2])
				for _, co := range cos {
					co.pu.SetConfiguration(1, []byte("one"))
					cl.advance(time.Millisecond)
				}
				cl.advance(batchDelay + cl.latency - time.Millisecond)
				tc.do(cl, cos[0]) // All have announced it, and the Fetch is in flight.
				if tc.late > 0 {
					cl.advance(tc.late - 2*cl.latency)
					for _, en := range ens {
						c.Check(len(en.versionsInForce()), qt.Equals, 0, qt.Commentf(en.name))
					}
				}
				cl.advance(maxPropagation)
				for _, en := range ens {
					c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{1}, qt.Commentf(en.name))
				}
			})
		})
	}
}

// Guards against waiting for a control instance that announces a newer version than the
// others but doesn't send it: the others' version must be in force meanwhile.
func TestFetchFallsBackToOlderVersion(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.latency = 3 * time.Millisecond
		cos := cl.group("one", "two")
		en := cl.entry("entry-1", "one:1")
		cl.advance(time.Second)
		cos[0].pu.SetConfiguration(9, []byte("nine"))
		cos[1].pu.SetConfiguration(8, []byte("eight"))
		cl.advance(batchDelay + cl.latency + cl.latency/2)
		cl.linksBetween("", "one:1")[0].blackholed.Store(true) // The Fetch is in flight.
		cl.advance(fetchTimeout + maxPropagation)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{8})
		cl.advance(3 * time.Second)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{8, 9})
	})
}

// Guards against a late answer that returns to an older version: the control instance
// answers a Fetch after another one has sent a newer version.
func TestLateConfigurationIsIgnored(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.latency = 3 * time.Millisecond
		cos := cl.group("one", "two")
		en := cl.entry("entry-1", "one:1")
		cl.advance(time.Second)
		cos[0].pu.SetConfiguration(8, []byte("eight"))
		cl.advance(batchDelay + cl.latency + cl.latency/2)
		cl.linksBetween("", "one:1")[0].paused.Store(true)
		cos[1].pu.SetConfiguration(9, []byte("nine"))
		cl.advance(fetchTimeout + maxPropagation)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{9})
		cl.linksBetween("", "one:1")[0].paused.Store(false)
		cl.advance(time.Second)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{9})
		c.Check(en.counts().versions, qt.Equals, 1)
		c.Check(en.su.NumConnected(), qt.Equals, 2)
	})
}

// Guards against a return to an older version when a control instance comes back with
// one. A version that was superseded may be skipped.
func TestVersionsOnlyRise(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two", "three")
		ens := cl.entries(4, cos[0])
		for ii := range uint64(200) { // in quick succession and out of order
			cos[ii%3].pu.SetConfiguration(1000-(ii*37)%200, fmt.Append(nil, ii))
			if ii%7 == 0 {
				cl.advance(time.Duration(ii) * time.Millisecond / 10)
			}
		}
		cl.advance(maxPropagation)
		for _, en := range ens {
			versions := en.versionsInForce()
			c.Check(slices.IsSorted(versions), qt.IsTrue)
			c.Check(len(slices.Compact(versions)), qt.Equals, len(versions))
			c.Check(versions[len(versions)-1], qt.Equals, uint64(1000))
		}
		for _, co := range cos {
			co.kill()
			co.start()
			co.pu.SetConfiguration(900, []byte("older"))
		}
		cl.advance(5 * time.Second)
		for _, en := range ens {
			c.Check(en.su.NumConnected(), qt.Equals, 3) // None of them lists the others.
			c.Check(en.versionsInForce()[len(en.versionsInForce())-1], qt.Equals, uint64(1000))
		}
	})
}

// Guards against a configuration that the entry instance refuses: it must not be fetched
// without a pause, and must not block a newer one.
func TestRefusedVersionIsRetriedWithBackoff(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		en := cl.entry("entry-1", "one:1")
		cl.advance(time.Second)
		en.refuseVersion(5)
		cos[0].pu.SetConfiguration(5, []byte("five"))
		cos[1].pu.SetConfiguration(5, []byte("five"))
		cl.advance(10*refusedBackoff + maxPropagation)
		times := en.attemptTimes()
		c.Check(len(times), qt.Equals, 11)
		for ii := 1; ii < len(times); ii++ {
			c.Check(times[ii].Sub(times[ii-1]) >= refusedBackoff, qt.IsTrue)
		}
		c.Check(len(en.versionsInForce()), qt.Equals, 0)
		cos[0].pu.SetConfiguration(6, []byte("six"))
		cl.advance(maxPropagation)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{6})
		c.Check(cl.logs.FilterMessage("configuration-refused").Len(), qt.Equals, 11)
	})
}

// Guards against an entry instance that loses its view when all control instances become
// unreachable. Its first configuration may come from any of them.
func TestViewSurvivesLossOfAllControls(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two", "three")
		en := cl.entry("entry-1", "one:1")
		cos[0].pu.SetConfiguration(4, []byte("four"))
		for ii, co := range cos {
			co.pu.Announce(server(fmt.Sprintf("a%d", ii), 1, registry.Ready), "")
		}
		cl.advance(time.Second)
		for _, co := range cos {
			co.isolate()
		}
		cl.advance(time.Minute)
		c.Check(en.su.NumConnected(), qt.Equals, 0)
		c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{4})
		c.Check(en.serverStates(), qt.DeepEquals, []string{"a0 Ready", "a1 Ready", "a2 Ready"})
		c.Check(en.entryStates(), qt.DeepEquals, []string{"entry-1 Ready"})
		// They were killed meanwhile and have lost their state.
		for _, co := range cos {
			co.kill()
			co.start()
		}
		cl.advance(2 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 3)
		cos[1].pu.Announce(server("a1", 2, registry.Draining), "")
		cl.advance(testRetention)
		c.Check(en.serverStates(), qt.DeepEquals, []string{"a1 Draining"})
	})
}

// Guards against a stale view after a suspension. While an entry instance is frozen for
// seconds, servers come, drain and leave, and its links break. Then it must soon have the
// new state, and must not expire servers that it couldn't hear.
func TestEntryRecoversAfterFreeze(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two", "three")
		ens := cl.entries(2, cos[0])
		for ii := range 9 {
			cos[ii%3].pu.Announce(server(fmt.Sprintf("a%d", ii), 1, registry.Ready), "")
		}
		cl.advance(time.Second)
		for _, li := range cl.linksBetween(ens[0].name, "") {
			li.blackholed.Store(true)
		}
		cos[0].pu.Announce(server("a0", 2, registry.Draining), "")
		cos[1].pu.Leave("a1", "")
		cos[2].pu.Announce(server("b0", 1, registry.Ready), "")
		cos[1].pu.SetConfiguration(3, []byte("three"))
		for sequence := range uint64(4) {
			cl.advance(time.Second)
			for ii := 2; ii < 9; ii++ {
				cos[ii%3].pu.Announce(server(fmt.Sprintf("a%d", ii), sequence+2, registry.Ready), "")
			}
		}
		for _, en := range ens {
			c.Check(en.su.NumConnected(), qt.Equals, 3)
			c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{3})
			c.Check(en.serverStates(), qt.DeepEquals, []string{
				"a0 Draining", "a2 Ready", "a3 Ready", "a4 Ready", "a5 Ready", "a6 Ready", "a7 Ready", "a8 Ready", "b0 Ready",
			})
		}
	})
}

// Guards against stale or missing servers after the permanent loss of a control instance:
// servers that announce themselves to another one stay, and the others expire.
func TestServersExpireAfterControlLoss(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(co *control)
	}{
		{"killed", func(co *control) { co.kill() }},
		{"isolated", func(co *control) { co.isolate() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C, cl *cluster) {
				cos := cl.group("one", "two", "three")
				ens := cl.entries(2, cos[0])
				cos[2].pu.Announce(server("a1", 1, registry.Ready), "") // still running
				cos[2].pu.Announce(server("a2", 1, registry.Ready), "") // crashes together with it
				cl.advance(time.Second)
				tc.do(cos[2])
				var seen [][]string
				for sequence := range uint64(8) {
					cl.advance(time.Second)
					if sequence > 0 {
						cos[1].pu.Announce(server("a1", sequence+1, registry.Ready), "")
					}
					seen = append(seen, ens[1].serverStates())
				}
				seen = slices.CompactFunc(seen, slices.Equal)
				c.Check(seen, qt.DeepEquals, [][]string{{"a1 Ready", "a2 Ready"}, {"a1 Ready"}})
			})
		})
	}
}

// Guards against a missed drain: a server announces it to a single control instance while
// the link to that one is down. The entry instance must learn of it soon after the
// redial.
func TestChangeWhileLinkIsLost(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		ens := cl.entries(3, cos[1])
		cos[0].pu.Announce(server("a1", 1, registry.Ready), "")
		cos[0].pu.Announce(server("a2", 1, registry.Ready), "")
		cl.advance(time.Second)
		_ = cl.linksBetween(ens[0].name, "one:1")[0].entryEnd.Close()
		cos[0].pu.Announce(server("a1", 2, registry.Draining), "")
		cos[0].pu.Leave("a2", "")
		cl.advance(2*minRedialBackoff + maxPropagation)
		for _, en := range ens {
			c.Check(en.serverStates(), qt.DeepEquals, []string{"a1 Draining"}, qt.Commentf(en.name))
		}
	})
}

// Guards against a thundering herd. When a control instance restarts, all entry instances
// redial. In step, they would make a small machine send all of them the snapshot within
// the same few milliseconds.
func TestRedialIsSpread(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		ens := cl.entries(60, cos[0])
		first := len(cl.dialsTo("one:1"))
		lost := time.Now()
		cos[0].kill()
		cl.advance(5 * time.Second)
		cos[0].start()
		cos[0].pu.SetMembers(members(cos...))
		cl.advance(2 * time.Second)
		for _, en := range ens {
			c.Check(en.su.NumConnected(), qt.Equals, 2)
		}
		dials := cl.dialsTo("one:1")[first:]
		buckets := make(map[int64]int) // dials per 10 ms
		for _, di := range dials {
			after := di.at.Sub(lost)
			c.Check(after >= minRedialBackoff, qt.IsTrue)
			buckets[int64(after/(10*time.Millisecond))]++
		}
		for bucket, count := range buckets {
			c.Check(count < len(ens)/2, qt.IsTrue, qt.Commentf("%d dials in span %d", count, bucket))
		}
		c.Check(len(buckets) > 60, qt.IsTrue, qt.Commentf("%d spans", len(buckets)))
	})
}

// Guards against links that stay with outdated seeds: the control instances in the
// settings are replaced one by one, and the links must follow the member lists.
func TestMembersReplaceSeeds(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two", "three")
		en := cl.entry("entry-1", "one:1", "two:1")
		cl.advance(time.Second)
		c.Assert(en.su.NumConnected(), qt.Equals, 3)
		for _, co := range cos[:2] {
			co.isolate()
		}
		four, five := cl.control("four"), cl.control("five")
		for _, co := range []*control{cos[2], four, five} {
			co.pu.SetMembers(members(cos[2], four, five))
		}
		cl.advance(2 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 3)
		// All links are lost at once, and no seed answers any more.
		for _, li := range cl.linksBetween("entry-1", "") {
			_ = li.entryEnd.Close()
		}
		cl.advance(2 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 3)
		// The settings change last; the dead seeds are no longer dialled.
		en.setSeeds("four:1")
		cl.advance(unlistedTTL + 2*time.Second)
		before := len(cl.dialsTo("one:1"))
		cl.advance(10 * time.Second)
		c.Check(len(cl.dialsTo("one:1")), qt.Equals, before)
		c.Check(en.su.NumConnected(), qt.Equals, 3)
	})
}

// Guards against dropping a removed member that still runs: it keeps its link until that
// ends, and is then forgotten with the servers that only it knew.
func TestRemovedMemberIsForgotten(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two", "three")
		en := cl.entry("entry-1", "one:1")
		sequence := uint64(0)
		pass := func(span time.Duration, last *control) {
			for range span / time.Second {
				sequence++
				cos[0].pu.Announce(server("a1", sequence, registry.Ready), "")
				if last.pu != nil {
					last.pu.Announce(server("a2", sequence, registry.Ready), "")
				}
				cl.advance(time.Second)
			}
		}
		pass(time.Second, cos[2])
		for _, co := range cos[:2] {
			co.pu.SetMembers(members(cos[:2]...))
		}
		pass(2*unlistedTTL, cos[2])
		c.Check(en.su.NumConnected(), qt.Equals, 3) // It still lists itself.
		cos[2].pu.SetMembers(members(cos[:2]...))
		pass(2*unlistedTTL, cos[2])
		c.Check(en.su.NumConnected(), qt.Equals, 3)
		c.Check(en.serverStates(), qt.DeepEquals, []string{"a1 Ready", "a2 Ready"})
		cos[2].kill()
		pass(testRetention+time.Second, cos[2])
		c.Check(en.su.NumConnected(), qt.Equals, 2)
		c.Check(en.serverStates(), qt.DeepEquals, []string{"a1 Ready"})
		before := len(cl.dialsTo("three:1"))
		pass(2*unlistedTTL, cos[2])
		c.Check(len(cl.dialsTo("three:1"))-before <= 1, qt.IsTrue)
	})
}

// Guards against seeds that aren't reloaded when the settings change.
func TestSeedsReload(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cl.control("one")
		two := cl.control("two")
		en := cl.entry("entry-1")
		cl.advance(3 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 0)
		en.setSeeds("one:1", "two:1", "nowhere:1")
		cl.advance(2 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 2)
		en.setSeeds("one:1")
		cl.advance(3 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 2) // An established link stays in use.
		two.kill()
		cl.advance(unlistedTTL)
		two.start()
		cl.advance(3 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 1)
	})
}

// Guards against needless work of an idle instance, with all control instances up or with
// one permanently lost.
func TestIdleSubscriberWorksLittle(t *testing.T) {
	for _, tc := range []struct {
		name  string
		do    func(co *control)
		dials int // maximum dials in a minute
	}{
		{"all well", func(*control) {}, 0},
		{"one killed", func(co *control) { co.kill() }, 120},
		{"one isolated", func(co *control) { co.isolate() }, 120},
		{"one stalled", func(co *control) { co.stall() }, 60},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C, cl *cluster) {
				cos := cl.group("one", "two", "three")
				en := cl.entry("entry-1", "one:1")
				cl.advance(time.Second)
				tc.do(cos[2])
				cl.advance(5 * time.Second)
				dials, before := len(cl.dialsTo("")), en.counts()
				cl.advance(time.Minute)
				dials = len(cl.dialsTo("")) - dials
				c.Check(dials <= tc.dials, qt.IsTrue, qt.Commentf("%d dials", dials))
				got := en.counts()
				seedReads := got.seeds - before.seeds
				c.Check(seedReads >= 30 && seedReads <= 60, qt.IsTrue, qt.Commentf("%d reads of the seeds", seedReads))
				got.seeds = before.seeds
				c.Check(got, qt.Equals, before)
			})
		})
	}
}

// Guards against a server that returns after another incarnation has replaced it at its
// address, whichever control instance announces it.
func TestMarkGoneIsFinal(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		en := cl.entry("entry-1", "one:1")
		cos[0].pu.Announce(server("a1", 1, registry.Ready), "")
		cos[0].pu.Announce(server("a2", 1, registry.Ready), "")
		cl.advance(time.Second)
		for range 100 {
			en.su.MarkGone("a1")
		}
		cl.advance(maxPropagation)
		c.Check(en.serverStates(), qt.DeepEquals, []string{"a2 Ready"})
		cos[1].pu.Announce(server("a1", 2, registry.Ready), "")
		_ = cl.linksBetween("entry-1", "one:1")[0].entryEnd.Close()
		cl.advance(time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 2)
		c.Check(en.serverStates(), qt.DeepEquals, []string{"a2 Ready"})
		for ii := range 10 * maxQueuedGone { // Serve doesn't process them meanwhile.
			en.su.MarkGone(fmt.Sprint(ii))
		}
		en.su.mu.Lock()
		c.Check(len(en.su.gone) <= maxQueuedGone, qt.IsTrue)
		en.su.mu.Unlock()
	})
}

// Guards against a Serve that ends early, never ends, or can't be started again, also
// without any reachable control instance.
func TestServeStopsAndRestarts(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		co := cl.control("one")
		en := cl.entry("entry-1", "one:1", "nowhere:1")
		cl.advance(time.Second)
		en.stop()
		<-en.done
		cl.advance(0)
		c.Check(describeEntries(co.pu.ReadyEntries()), qt.DeepEquals, []string{})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		err := en.su.Serve(ctx)
		c.Check(err, qt.Equals, context.DeadlineExceeded)
		c.Check(cl.logs.FilterMessage("control-link-up").Len(), qt.Equals, 2)
	})
}

// Guards the log lines that an operator sees when a control instance is lost and comes
// back.
func TestLogLinesOfLinkLoss(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		en := cl.entry("entry-1", "one:1", "nowhere:1")
		cl.advance(time.Second)
		cos[1].pu.SetConfiguration(3, []byte("three"))
		cl.advance(time.Second)
		cos[1].kill()
		cl.advance(10 * time.Second)
		cos[1].start()
		cos[1].pu.SetMembers(members(cos...))
		cl.advance(2 * time.Second)
		for event, want := range map[string]int{
			"control-link-up":         3,
			"control-link-down":       2, // one each for nowhere and two
			"configuration-announced": 1,
			"configuration-fetched":   1,
			"configuration-refused":   0,
			"configuration-published": 1,
			"entry-link-up":           3,
			"entry-link-down":         1,
		} {
			c.Check(cl.logs.FilterMessage(event).Len(), qt.Equals, want, qt.Commentf(event))
		}
		up := cl.logs.FilterMessage("control-link-up").All()[2].ContextMap()
		c.Check(up["Control"], qt.Equals, "two")
		c.Check(up["LostFor"].(time.Duration) >= 10*time.Second, qt.IsTrue)
		c.Check(en.su.NumConnected(), qt.Equals, 2)
	})
}

// Guards against a flood of log lines when hundreds of servers change at once: the number
// of lines is bounded, and one of them gives the number skipped.
func TestLogIsRateLimited(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		co := cl.control("one")
		en := cl.entry("entry-1", "one:1")
		for ii := range 1000 {
			co.pu.Announce(server(fmt.Sprintf("a%03d", ii), 1, registry.Ready), "")
		}
		cl.advance(testSilenceTimeout / 2)
		co.pu.Leave("a001", "")
		cl.advance(testSilenceTimeout / 4)
		c.Check(len(en.serverStates()), qt.Equals, 999)
		c.Check(cl.logs.FilterMessage("backend-server-announced").Len() <= logBurst, qt.IsTrue)
		c.Check(cl.logs.FilterMessage("backend-server-changed").Len() <= logBurst, qt.IsTrue)
		for _, event := range []string{"backend-server-left", "backend-server-dropped"} {
			lines := cl.logs.FilterMessage(event).All()
			c.Assert(len(lines), qt.Equals, 1, qt.Commentf(event))
			c.Check(lines[0].ContextMap()["SkippedLines"].(int64) >= 1000-logBurst, qt.IsTrue)
		}
	})
}

// Guards against changes that are missed because a snapshot is shared. All entry
// instances connect within a moment, as after a power loss, while a backend server comes,
// another one leaves and an entry instance ends; the next update must tell all of that to
// those that got the earlier snapshot.
func TestSharedSnapshotMissesNoChange(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		co := cl.group("one")[0]
		co.pu.Announce(server("a1", 1, registry.Ready), "")
		co.pu.Announce(server("a2", 1, registry.Ready), "")
		cl.advance(time.Second)
		var ens []*entry
		for ix := range 12 {
			ens = append(ens, cl.entry(fmt.Sprintf("entry-%02d", ix), co.member.Address))
			cl.advance(time.Millisecond)
			switch ix {
			case 3:
				co.pu.Announce(server("a3", 1, registry.Ready), "")
			case 6:
				co.pu.Leave("a1", "")
			case 9:
				ens[0].stop()
			}
		}
		cl.advance(time.Second)
		for _, en := range ens[1:] {
			c.Assert(en.serverStates(), qt.DeepEquals, []string{"a2 Ready", "a3 Ready"})
			en.mu.Lock()
			c.Assert(en.entries, qt.HasLen, 11)
			en.mu.Unlock()
		}
		// One that connects after a quiet period gets a new snapshot.
		late := cl.entry("late", co.member.Address)
		cl.advance(time.Second)
		c.Assert(late.serverStates(), qt.DeepEquals, []string{"a2 Ready", "a3 Ready"})
	})
}
