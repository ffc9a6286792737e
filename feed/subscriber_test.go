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

// A version that is committed is in force at every entry instance within a small
// part of a second, and each of them fetches it from one control instance.
func TestConfigurationOnce(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		wo.delay = 3 * time.Millisecond
		cos := wo.group("one", "two", "three")
		ens := wo.entries(6, cos[0])
		for version := uint64(10); version <= 30; version += 10 {
			before := make(map[string]int)
			for _, en := range ens {
				before[en.name] = size(wo, en)
			}
			data := noise(version, 1000) // It has nothing in common with the version before.
			for _, co := range cos {
				co.pu.SetConfiguration(version, data)
				wo.after(time.Millisecond)
			}
			wo.after(soon - 3*time.Millisecond)
			for _, en := range ens {
				c.Check(en.held()[len(en.held())-1], qt.Equals, version)
				c.Check(string(en.data), qt.Equals, string(data))
			}
			wo.after(10 * time.Second)
			for _, en := range ens {
				got := size(wo, en) - before[en.name]
				c.Check(got > len(data) && got < 2*len(data), qt.IsTrue, qt.Commentf("%s got %d bytes", en.name, got))
			}
		}
		c.Check(ens[0].held(), qt.DeepEquals, []uint64{10, 20, 30})
	})
}

// noise returns bytes that can't be told in fewer.
func noise(seed uint64, size int) []byte {
	data := make([]byte, size)
	cc := rand.NewChaCha8([32]byte(binary.BigEndian.AppendUint64(make([]byte, 24), seed)))
	_, _ = cc.Read(data)
	return data
}

// size returns how many bytes have gone to an entry instance.
func size(wo *world, en *entry) int {
	bytes := 0
	for _, li := range wo.all(en.name, "") {
		li.mu.Lock()
		bytes += li.bytes
		li.mu.Unlock()
	}
	return bytes
}

// The control instance that announced a version first is lost before it answers.
// Another one that holds the version is asked, at once if the loss shows and
// after a quarter of a second if it doesn't.
func TestFetchFromAnother(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(wo *world, co *control)
		late time.Duration
	}{
		{"killed", func(_ *world, co *control) { co.kill() }, 0},
		{"cut off", func(_ *world, co *control) { co.lose() }, fetchWait},
		{"frozen", func(wo *world, co *control) {
			for _, li := range wo.all("", co.member.Address) {
				li.cut.Store(true)
			}
		}, fetchWait},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, func(c *qt.C, wo *world) {
				wo.delay = 3 * time.Millisecond
				cos := wo.group("one", "two", "three")
				ens := wo.entries(3, cos[2])
				for _, co := range cos {
					co.pu.SetConfiguration(1, []byte("one"))
					wo.after(time.Millisecond)
				}
				wo.after(batchDelay + wo.delay - time.Millisecond)
				tc.do(wo, cos[0]) // All have announced it, and the Fetch is on its way.
				if tc.late > 0 {
					wo.after(tc.late - 2*wo.delay)
					for _, en := range ens {
						c.Check(len(en.held()), qt.Equals, 0, qt.Commentf(en.name))
					}
				}
				wo.after(soon)
				for _, en := range ens {
					c.Check(en.held(), qt.DeepEquals, []uint64{1}, qt.Commentf(en.name))
				}
			})
		})
	}
}

// A control instance holds a newer version than the others and doesn't give it:
// what the others hold is better than nothing.
func TestFetchOlderMeanwhile(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		wo.delay = 3 * time.Millisecond
		cos := wo.group("one", "two")
		en := wo.entry("entry-1", "one:1")
		wo.after(time.Second)
		cos[0].pu.SetConfiguration(9, []byte("nine"))
		cos[1].pu.SetConfiguration(8, []byte("eight"))
		wo.after(batchDelay + wo.delay + wo.delay/2)
		wo.all("", "one:1")[0].cut.Store(true) // The Fetch is on its way.
		wo.after(fetchWait + soon)
		c.Check(en.held(), qt.DeepEquals, []uint64{8})
		wo.after(3 * time.Second)
		c.Check(en.held(), qt.DeepEquals, []uint64{8, 9})
	})
}

// The answer of a control instance that was given up on comes after all, with a
// version that has been overtaken meanwhile.
func TestLateDocument(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		wo.delay = 3 * time.Millisecond
		cos := wo.group("one", "two")
		en := wo.entry("entry-1", "one:1")
		wo.after(time.Second)
		cos[0].pu.SetConfiguration(8, []byte("eight"))
		wo.after(batchDelay + wo.delay + wo.delay/2)
		wo.all("", "one:1")[0].slow.Store(true)
		cos[1].pu.SetConfiguration(9, []byte("nine"))
		wo.after(fetchWait + soon)
		c.Check(en.held(), qt.DeepEquals, []uint64{9})
		wo.all("", "one:1")[0].slow.Store(false)
		wo.after(time.Second)
		c.Check(en.held(), qt.DeepEquals, []uint64{9})
		c.Check(en.counts().versions, qt.Equals, 1)
		c.Check(en.su.NumConnected(), qt.Equals, 2)
	})
}

// Versions only go up, whatever a control instance that comes back with an older
// one says, and a configuration that was overtaken need not be in force at all.
func TestOnlyUpwards(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two", "three")
		ens := wo.entries(4, cos[0])
		for ii := range uint64(200) { // in quick succession, and not in order
			cos[ii%3].pu.SetConfiguration(1000-(ii*37)%200, fmt.Append(nil, ii))
			if ii%7 == 0 {
				wo.after(time.Duration(ii) * time.Millisecond / 10)
			}
		}
		wo.after(soon)
		for _, en := range ens {
			held := en.held()
			c.Check(slices.IsSorted(held), qt.IsTrue)
			c.Check(len(slices.Compact(held)), qt.Equals, len(held))
			c.Check(held[len(held)-1], qt.Equals, uint64(1000))
		}
		for _, co := range cos {
			co.kill()
			co.start()
			co.pu.SetConfiguration(900, []byte("older"))
		}
		wo.after(5 * time.Second)
		for _, en := range ens {
			c.Check(en.su.NumConnected(), qt.Equals, 3) // Though none of them names the others.
			c.Check(en.held()[len(en.held())-1], qt.Equals, uint64(1000))
		}
	})
}

// A configuration that the entry instance can't use is not fetched over and
// over, and doesn't keep a newer one out.
func TestRefused(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		en := wo.entry("entry-1", "one:1")
		wo.after(time.Second)
		en.refuseVersion(5)
		cos[0].pu.SetConfiguration(5, []byte("five"))
		cos[1].pu.SetConfiguration(5, []byte("five"))
		wo.after(10*refusalPause + soon)
		tries := en.came()
		c.Check(len(tries), qt.Equals, 11)
		for ii := 1; ii < len(tries); ii++ {
			c.Check(tries[ii].Sub(tries[ii-1]) >= refusalPause, qt.IsTrue)
		}
		c.Check(len(en.held()), qt.Equals, 0)
		cos[0].pu.SetConfiguration(6, []byte("six"))
		wo.after(soon)
		c.Check(en.held(), qt.DeepEquals, []uint64{6})
		c.Check(wo.logs.FilterMessage("configuration-refused").Len(), qt.Equals, 11)
	})
}

// The configuration that an entry instance starts with comes from whichever
// control instance it reaches; one that is cut off goes on with what it has.
func TestCutOff(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two", "three")
		en := wo.entry("entry-1", "one:1")
		cos[0].pu.SetConfiguration(4, []byte("four"))
		for ii, co := range cos {
			co.pu.Announce(server(fmt.Sprintf("a%d", ii), 1, registry.Ready))
		}
		wo.after(time.Second)
		for _, co := range cos {
			co.lose()
		}
		wo.after(time.Minute)
		c.Check(en.su.NumConnected(), qt.Equals, 0)
		c.Check(en.held(), qt.DeepEquals, []uint64{4})
		c.Check(en.states(), qt.DeepEquals, []string{"a0 Ready", "a1 Ready", "a2 Ready"})
		c.Check(en.names(), qt.DeepEquals, []string{"entry-1 Ready"})
		// Meanwhile they have been killed and know nothing.
		for _, co := range cos {
			co.kill()
			co.start()
		}
		wo.after(2 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 3)
		cos[1].pu.Announce(server("a1", 2, registry.Draining))
		wo.after(testHold)
		c.Check(en.states(), qt.DeepEquals, []string{"a1 Draining"})
	})
}

// An entry instance is frozen for seconds while servers come, drain and leave.
// When it wakes, its links are lost; it must have the whole new picture soon and
// must not take servers for silent that it could not hear itself.
func TestFrozenEntry(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two", "three")
		ens := wo.entries(2, cos[0])
		for ii := range 9 {
			cos[ii%3].pu.Announce(server(fmt.Sprintf("a%d", ii), 1, registry.Ready))
		}
		wo.after(time.Second)
		for _, li := range wo.all(ens[0].name, "") {
			li.cut.Store(true)
		}
		cos[0].pu.Announce(server("a0", 2, registry.Draining))
		cos[1].pu.Leave("a1")
		cos[2].pu.Announce(server("b0", 1, registry.Ready))
		cos[1].pu.SetConfiguration(3, []byte("three"))
		for sequence := range uint64(4) {
			wo.after(time.Second)
			for ii := 2; ii < 9; ii++ {
				cos[ii%3].pu.Announce(server(fmt.Sprintf("a%d", ii), sequence+2, registry.Ready))
			}
		}
		for _, en := range ens {
			c.Check(en.su.NumConnected(), qt.Equals, 3)
			c.Check(en.held(), qt.DeepEquals, []uint64{3})
			c.Check(en.states(), qt.DeepEquals, []string{
				"a0 Draining", "a2 Ready", "a3 Ready", "a4 Ready", "a5 Ready", "a6 Ready", "a7 Ready", "a8 Ready", "b0 Ready",
			})
		}
	})
}

// A control instance is lost for good. Of the servers that announced themselves
// to it, those that go on do so at another one, and the others leave.
func TestControlLost(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(co *control)
	}{
		{"killed", func(co *control) { co.kill() }},
		{"cut off", func(co *control) { co.lose() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, func(c *qt.C, wo *world) {
				cos := wo.group("one", "two", "three")
				ens := wo.entries(2, cos[0])
				cos[2].pu.Announce(server("a1", 1, registry.Ready)) // goes on
				cos[2].pu.Announce(server("a2", 1, registry.Ready)) // crashes with it
				wo.after(time.Second)
				tc.do(cos[2])
				var seen [][]string
				for sequence := range uint64(8) {
					wo.after(time.Second)
					if sequence > 0 {
						cos[1].pu.Announce(server("a1", sequence+1, registry.Ready))
					}
					seen = append(seen, ens[1].states())
				}
				seen = slices.CompactFunc(seen, slices.Equal)
				c.Check(seen, qt.DeepEquals, [][]string{{"a1 Ready", "a2 Ready"}, {"a1 Ready"}})
			})
		})
	}
}

// A link is lost while a server's drain is announced, to nobody else. The entry
// instance hears of it when the link is back, which is soon.
func TestChangeWhileLinkIsLost(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		ens := wo.entries(3, cos[1])
		cos[0].pu.Announce(server("a1", 1, registry.Ready))
		cos[0].pu.Announce(server("a2", 1, registry.Ready))
		wo.after(time.Second)
		_ = wo.all(ens[0].name, "one:1")[0].near.Close()
		cos[0].pu.Announce(server("a1", 2, registry.Draining))
		cos[0].pu.Leave("a2")
		wo.after(2*redialLeast + soon)
		for _, en := range ens {
			c.Check(en.states(), qt.DeepEquals, []string{"a1 Draining"}, qt.Commentf(en.name))
		}
	})
}

// A control instance ends and comes back, and all entry instances open their
// link to it again. If they did so in step, a small machine would have to send
// all of them the whole picture in the same few milliseconds, each time.
func TestHerd(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		ens := wo.entries(60, cos[0])
		first := len(wo.dialed("one:1"))
		lost := time.Now()
		cos[0].kill()
		wo.after(5 * time.Second)
		cos[0].start()
		cos[0].pu.SetMembers(members(cos...))
		wo.after(2 * time.Second)
		for _, en := range ens {
			c.Check(en.su.NumConnected(), qt.Equals, 2)
		}
		dials := wo.dialed("one:1")[first:]
		buckets := make(map[int64]int) // dials in spans of 10 ms
		for _, di := range dials {
			after := di.at.Sub(lost)
			c.Check(after >= redialLeast, qt.IsTrue)
			buckets[int64(after/(10*time.Millisecond))]++
		}
		for bucket, count := range buckets {
			c.Check(count < len(ens)/2, qt.IsTrue, qt.Commentf("%d dials in span %d", count, bucket))
		}
		c.Check(len(buckets) > 60, qt.IsTrue, qt.Commentf("%d spans", len(buckets)))
	})
}

// The control instances named in the settings are replaced one after the other.
// The links go to those that the control instances name.
func TestMembersReplaceSeeds(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two", "three")
		en := wo.entry("entry-1", "one:1", "two:1")
		wo.after(time.Second)
		c.Assert(en.su.NumConnected(), qt.Equals, 3)
		for _, co := range cos[:2] {
			co.lose()
		}
		four, five := wo.control("four"), wo.control("five")
		for _, co := range []*control{cos[2], four, five} {
			co.pu.SetMembers(members(cos[2], four, five))
		}
		wo.after(2 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 3)
		// All links are lost at once; no seed answers any more.
		for _, li := range wo.all("entry-1", "") {
			_ = li.near.Close()
		}
		wo.after(2 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 3)
		// The settings follow in the end: nobody asks for the dead seeds any more.
		en.setSeeds("four:1")
		wo.after(forgetAfter + 2*time.Second)
		before := len(wo.dialed("one:1"))
		wo.after(10 * time.Second)
		c.Check(len(wo.dialed("one:1")), qt.Equals, before)
		c.Check(en.su.NumConnected(), qt.Equals, 3)
	})
}

// A control instance that is no member any more and still runs keeps its link
// until that ends, and is then forgotten with what only it knew.
func TestMemberRemoved(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two", "three")
		en := wo.entry("entry-1", "one:1")
		sequence := uint64(0)
		pass := func(span time.Duration, last *control) {
			for range span / time.Second {
				sequence++
				cos[0].pu.Announce(server("a1", sequence, registry.Ready))
				if last.pu != nil {
					last.pu.Announce(server("a2", sequence, registry.Ready))
				}
				wo.after(time.Second)
			}
		}
		pass(time.Second, cos[2])
		for _, co := range cos[:2] {
			co.pu.SetMembers(members(cos[:2]...))
		}
		pass(2*forgetAfter, cos[2])
		c.Check(en.su.NumConnected(), qt.Equals, 3) // It lists itself still.
		cos[2].pu.SetMembers(members(cos[:2]...))
		pass(2*forgetAfter, cos[2])
		c.Check(en.su.NumConnected(), qt.Equals, 3)
		c.Check(en.states(), qt.DeepEquals, []string{"a1 Ready", "a2 Ready"})
		cos[2].kill()
		pass(testHold+time.Second, cos[2])
		c.Check(en.su.NumConnected(), qt.Equals, 2)
		c.Check(en.states(), qt.DeepEquals, []string{"a1 Ready"})
		before := len(wo.dialed("three:1"))
		pass(2*forgetAfter, cos[2])
		c.Check(len(wo.dialed("three:1"))-before <= 1, qt.IsTrue)
	})
}

// The settings change while the instance runs.
func TestSeedsChange(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		wo.control("one")
		two := wo.control("two")
		en := wo.entry("entry-1")
		wo.after(3 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 0)
		en.setSeeds("one:1", "two:1", "nowhere:1")
		wo.after(2 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 2)
		en.setSeeds("one:1")
		wo.after(3 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 2) // A link that stands is used.
		two.kill()
		wo.after(forgetAfter)
		two.start()
		wo.after(3 * time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 1)
	})
}

// An instance with nothing to do does next to nothing, whether all is well or a
// control instance is lost for good.
func TestIdle(t *testing.T) {
	for _, tc := range []struct {
		name  string
		do    func(co *control)
		dials int // dials is the most that may be made in a minute.
	}{
		{"all well", func(*control) {}, 0},
		{"one killed", func(co *control) { co.kill() }, 120},
		{"one cut off", func(co *control) { co.lose() }, 120},
		{"one stalled", func(co *control) { co.stall() }, 60},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, func(c *qt.C, wo *world) {
				cos := wo.group("one", "two", "three")
				en := wo.entry("entry-1", "one:1")
				wo.after(time.Second)
				tc.do(cos[2])
				wo.after(5 * time.Second)
				dials, before := len(wo.dialed("")), en.counts()
				wo.after(time.Minute)
				dials = len(wo.dialed("")) - dials
				c.Check(dials <= tc.dials, qt.IsTrue, qt.Commentf("%d dials", dials))
				got := en.counts()
				looks := got.seeds - before.seeds
				c.Check(looks >= 30 && looks <= 60, qt.IsTrue, qt.Commentf("%d looks at the seeds", looks))
				got.seeds = before.seeds
				c.Check(got, qt.Equals, before)
			})
		})
	}
}

// A server that another incarnation has replaced at its address is never listed
// again, whoever still announces it.
func TestMarkGone(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		en := wo.entry("entry-1", "one:1")
		cos[0].pu.Announce(server("a1", 1, registry.Ready))
		cos[0].pu.Announce(server("a2", 1, registry.Ready))
		wo.after(time.Second)
		for range 100 {
			en.su.MarkGone("a1")
		}
		wo.after(soon)
		c.Check(en.states(), qt.DeepEquals, []string{"a2 Ready"})
		cos[1].pu.Announce(server("a1", 2, registry.Ready))
		_ = wo.all("entry-1", "one:1")[0].near.Close()
		wo.after(time.Second)
		c.Check(en.su.NumConnected(), qt.Equals, 2)
		c.Check(en.states(), qt.DeepEquals, []string{"a2 Ready"})
		for ii := range 10 * goneBound { // Nobody takes them while Serve waits.
			en.su.MarkGone(fmt.Sprint(ii))
		}
		en.su.mu.Lock()
		c.Check(len(en.su.gone) <= goneBound, qt.IsTrue)
		en.su.mu.Unlock()
	})
}

// Serve ends when it is told to and not before, also if there is nobody to
// connect to; and it may be started again.
func TestServeEnds(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		co := wo.control("one")
		en := wo.entry("entry-1", "one:1", "nowhere:1")
		wo.after(time.Second)
		en.stop()
		<-en.done
		wo.after(0)
		c.Check(described(co.pu.ReadyEntries()), qt.DeepEquals, []string{})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		err := en.su.Serve(ctx)
		c.Check(err, qt.Equals, context.DeadlineExceeded)
		c.Check(wo.logs.FilterMessage("control-link-up").Len(), qt.Equals, 2)
	})
}

// What an operator reads when a control instance is lost and back.
func TestLog(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		en := wo.entry("entry-1", "one:1", "nowhere:1")
		wo.after(time.Second)
		cos[1].pu.SetConfiguration(3, []byte("three"))
		wo.after(time.Second)
		cos[1].kill()
		wo.after(10 * time.Second)
		cos[1].start()
		cos[1].pu.SetMembers(members(cos...))
		wo.after(2 * time.Second)
		for event, want := range map[string]int{
			"control-link-up":         3,
			"control-link-down":       2, // nowhere and two, each once
			"configuration-announced": 1,
			"configuration-fetched":   1,
			"configuration-refused":   0,
			"configuration-published": 1,
			"entry-link-up":           3,
			"entry-link-down":         1,
		} {
			c.Check(wo.logs.FilterMessage(event).Len(), qt.Equals, want, qt.Commentf(event))
		}
		up := wo.logs.FilterMessage("control-link-up").All()[2].ContextMap()
		c.Check(up["Control"], qt.Equals, "two")
		c.Check(up["LostFor"].(time.Duration) >= 10*time.Second, qt.IsTrue)
		c.Check(en.su.NumConnected(), qt.Equals, 2)
	})
}

// Hundreds of servers change at once: the log says so in a bounded number of
// lines, and how many are left out.
func TestLogIsBounded(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		co := wo.control("one")
		en := wo.entry("entry-1", "one:1")
		for ii := range 1000 {
			co.pu.Announce(server(fmt.Sprintf("a%03d", ii), 1, registry.Ready))
		}
		wo.after(testQuiet / 2)
		co.pu.Leave("a001")
		wo.after(testQuiet / 4)
		c.Check(len(en.states()), qt.Equals, 999)
		c.Check(wo.logs.FilterMessage("backend-server-announced").Len() <= logBurst, qt.IsTrue)
		c.Check(wo.logs.FilterMessage("backend-server-changed").Len() <= logBurst, qt.IsTrue)
		for _, event := range []string{"backend-server-left", "backend-server-dropped"} {
			lines := wo.logs.FilterMessage(event).All()
			c.Assert(len(lines), qt.Equals, 1, qt.Commentf(event))
			c.Check(lines[0].ContextMap()["SkippedLines"].(int64) >= 1000-logBurst, qt.IsTrue)
		}
	})
}

// All entry instances connect within a moment, as after a loss of power of all, while a
// backend server comes, another one leaves and one entry instance ends. Whoever was sent
// the same picture as those before must know all of that soon, as the next update tells.
func TestPictureOfTheMoment(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		co := wo.group("one")[0]
		co.pu.Announce(server("a1", 1, registry.Ready))
		co.pu.Announce(server("a2", 1, registry.Ready))
		wo.after(time.Second)
		var ens []*entry
		for ix := range 12 {
			ens = append(ens, wo.entry(fmt.Sprintf("entry-%02d", ix), co.member.Address))
			wo.after(time.Millisecond)
			switch ix {
			case 3:
				co.pu.Announce(server("a3", 1, registry.Ready))
			case 6:
				co.pu.Leave("a1")
			case 9:
				ens[0].stop()
			}
		}
		wo.after(time.Second)
		for _, en := range ens[1:] {
			c.Assert(en.states(), qt.DeepEquals, []string{"a2 Ready", "a3 Ready"})
			en.mu.Lock()
			c.Assert(en.live, qt.HasLen, 11)
			en.mu.Unlock()
		}
		// One that comes after a quiet time gets a picture of now.
		late := wo.entry("late", co.member.Address)
		wo.after(time.Second)
		c.Assert(late.states(), qt.DeepEquals, []string{"a2 Ready", "a3 Ready"})
	})
}
