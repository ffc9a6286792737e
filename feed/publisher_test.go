package feed

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/link"
	"balsamwinch.example/registry"
)

// What is known already reaches an entry instance when it connects.
func TestPicture(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		cos[0].pu.Announce(server("a1", 1, registry.Ready))
		cos[0].pu.Announce(server("a2", 1, registry.Draining))
		cos[0].pu.Announce(server("a3", 1, registry.Ready))
		cos[0].pu.Leave("a3")
		cos[1].pu.Announce(server("b1", 1, registry.Ready))
		cos[1].pu.SetConfiguration(7, []byte("seven"))
		wo.after(time.Second)
		first := wo.entry("entry-1", "one:1")
		wo.after(soon)
		second := wo.entry("entry-2", "two:1")
		wo.after(soon)
		for _, en := range []*entry{first, second} {
			c.Check(en.su.NumConnected(), qt.Equals, 2)
			c.Check(en.states(), qt.DeepEquals, []string{"a1 Ready", "a2 Draining", "b1 Ready"})
			c.Check(en.names(), qt.DeepEquals, []string{"entry-1 Ready", "entry-2 Ready"})
			c.Check(en.held(), qt.DeepEquals, []uint64{7})
			c.Check(string(en.data), qt.Equals, "seven")
		}
	})
}

// A backend server tells one control instance that it drains, and ends a drain
// period after the acknowledgement. Any entry instance that has not heard of it
// by then sends it requests that are lost. So whatever is announced anywhere is
// known everywhere within a small part of a second, also when much else is
// announced at the same time.
func TestChangesReachAll(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(cos []*control)
		want   []string
	}{
		{"new", func(cos []*control) { cos[1].pu.Announce(server("a9", 1, registry.Ready)) }, []string{"a1 Ready", "a2 Ready", "a9 Ready"}},
		{"draining", func(cos []*control) { cos[0].pu.Announce(server("a1", 2, registry.Draining)) }, []string{"a1 Draining", "a2 Ready"}},
		{"draining, told elsewhere", func(cos []*control) { cos[2].pu.Announce(server("a1", 2, registry.Draining)) }, []string{"a1 Draining", "a2 Ready"}},
		{"draining, then a late word", func(cos []*control) {
			cos[0].pu.Announce(server("a1", 3, registry.Draining))
			cos[0].pu.Announce(server("a1", 2, registry.Ready))
		}, []string{"a1 Draining", "a2 Ready"}},
		{"draining, then another word", func(cos []*control) {
			cos[0].pu.Announce(server("a1", 3, registry.Draining))
			warm := server("a1", 4, registry.Ready)
			warm.WarmMillis = 100
			cos[0].pu.Announce(warm)
		}, []string{"a1 Draining", "a2 Ready"}},
		{"gone", func(cos []*control) { cos[0].pu.Leave("a1") }, []string{"a2 Ready"}},
		{"gone, told elsewhere", func(cos []*control) { cos[2].pu.Leave("a1") }, []string{"a2 Ready"}},
		{"gone, then a late word elsewhere", func(cos []*control) {
			cos[0].pu.Leave("a1")
			cos[2].pu.Announce(server("a1", 1, registry.Ready))
		}, []string{"a2 Ready"}},
		{"another incarnation at the address", func(cos []*control) {
			// The ids are not in the order of the incarnations.
			for _, id := range []string{"a9", "a0"} {
				se := server(id, 1, registry.Ready)
				se.Address = "a1:8080"
				cos[0].pu.Announce(se)
			}
		}, []string{"a0 Ready", "a2 Ready"}},
		{"many at once", func(cos []*control) {
			for ii := range 300 {
				cos[ii%3].pu.Announce(server(fmt.Sprintf("b%d", ii), 1, registry.Ready))
				cos[ii%3].pu.Leave(fmt.Sprintf("b%d", ii))
			}
			cos[0].pu.Leave("a1")
		}, []string{"a2 Ready"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, func(c *qt.C, wo *world) {
				cos := wo.group("one", "two", "three")
				ens := wo.entries(8, cos[0])
				cos[0].pu.Announce(server("a1", 1, registry.Ready))
				cos[1].pu.Announce(server("a2", 1, registry.Ready))
				wo.after(time.Second)
				// The change comes just after an update, when the next one waits longest.
				cos[0].pu.Announce(server("c1", 1, registry.Ready))
				cos[0].pu.Leave("c1")
				wo.after(batchDelay)
				tc.change(cos)
				wo.after(soon)
				for _, en := range ens {
					c.Check(en.states(), qt.DeepEquals, tc.want, qt.Commentf(en.name))
				}
			})
		})
	}
}

// Backend servers announce themselves all the time. Only news goes to the entry
// instances: the bytes between data centres are dear, and so is each wake-up.
func TestNoNewsIsNotTold(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two", "three")
		ens := wo.entries(4, cos[0])
		repeat := func(sequence uint64) {
			for ii := range 30 {
				cos[ii%3].pu.Announce(server(fmt.Sprintf("a%02d", ii), sequence, registry.Ready))
			}
			cos[0].pu.SetMembers(members(cos[2], cos[0], cos[1]))
			cos[0].pu.SetConfiguration(5, []byte("five"))
			cos[1].pu.SetConfiguration(5, []byte("five"))
			cos[1].pu.SetConfiguration(3, []byte("three"))
			for _, en := range ens {
				en.su.SetState(Ready)
			}
		}
		repeat(1)
		wo.after(time.Second)
		before := make(map[string]counts)
		for _, en := range ens {
			before[en.name] = en.counts()
		}
		for sequence := range uint64(20) {
			repeat(sequence + 2)
			wo.after(time.Second)
		}
		for _, en := range ens {
			want, got := before[en.name], en.counts()
			want.seeds, got.seeds = 0, 0
			c.Check(got, qt.Equals, want)
		}
	})
}

// A link that is lost and back, with the same picture on it, is no news either.
func TestReconnectIsNoNews(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		ens := wo.entries(3, cos[0])
		cos[0].pu.Announce(server("a1", 1, registry.Ready))
		cos[0].pu.SetConfiguration(5, []byte("five"))
		cos[1].pu.SetConfiguration(5, []byte("five"))
		wo.after(time.Second)
		before := ens[0].counts()
		for _, li := range wo.all("entry-00", "one:1") {
			_ = li.near.Close()
		}
		wo.after(time.Second)
		got := ens[0].counts()
		c.Check(got.down > before.down, qt.IsTrue)
		got.down, got.seeds = before.down, before.seeds
		c.Check(got, qt.Equals, before)
	})
}

// When all backend servers announce themselves at once, as after a loss of
// power, the news travels in few updates.
func TestBatches(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two", "three")
		ens := wo.entries(2, cos[0])
		before := wo.down(ens[0].name)
		for ii := range 500 {
			cos[ii%3].pu.Announce(server(fmt.Sprintf("a%03d", ii), 1, registry.Ready))
			wo.after(2 * time.Millisecond)
		}
		wo.after(soon)
		c.Check(len(ens[0].states()), qt.Equals, 500)
		count := wo.down(ens[0].name) - before
		c.Check(count <= len(cos)*(int(time.Second/batchSpacing)+2), qt.IsTrue, qt.Commentf("%d updates", count))
		ens[0].mu.Lock()
		defer ens[0].mu.Unlock()
		told := ens[0].told
		for ii := 1; ii < len(told); ii++ {
			c.Check(told[ii].Sub(told[ii-1]) >= noticeSpacing, qt.IsTrue)
		}
	})
}

// A backend server crashes without a word. The control instance that heard it
// drops it after the silence, and it leaves the entry instances after the hold
// unless another control instance hears it.
func TestSilentServer(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		ens := wo.entries(2, cos[0])
		cos[0].pu.Announce(server("a1", 1, registry.Ready)) // crashes
		cos[0].pu.Announce(server("a2", 1, registry.Ready)) // goes on at another control instance
		for sequence := range uint64(6) {
			wo.after(time.Second)
			cos[1].pu.Announce(server("a2", sequence+2, registry.Ready))
		}
		for _, en := range ens {
			c.Check(en.states(), qt.DeepEquals, []string{"a1 Ready", "a2 Ready"}, qt.Commentf(en.name))
		}
		for sequence := range uint64(3) {
			wo.after(time.Second)
			cos[1].pu.Announce(server("a2", sequence+8, registry.Ready))
		}
		for _, en := range ens {
			c.Check(en.states(), qt.DeepEquals, []string{"a2 Ready"}, qt.Commentf(en.name))
		}
	})
}

// One entry instance stops reading, because its link is full or it is frozen.
// The others must hear of a draining server as soon as ever; and the one, when
// it reads again, must end up with the same picture.
func TestSlowLink(t *testing.T) {
	for _, bytes := range []int{10, 1 << 20} {
		t.Run(fmt.Sprint(bytes), func(t *testing.T) {
			play(t, func(c *qt.C, wo *world) {
				cos := wo.group("one", "two")
				ens := wo.entries(5, cos[0])
				cos[0].pu.Announce(server("a1", 1, registry.Ready))
				wo.after(time.Second)
				slow := wo.all(ens[0].name, "")
				for _, li := range slow {
					li.slow.Store(true)
				}
				for ii := range uint64(12) {
					cos[0].pu.SetConfiguration(ii+1, make([]byte, bytes))
					cos[1].pu.SetConfiguration(ii+1, make([]byte, bytes))
					start := time.Now()
					cos[0].pu.Announce(server(fmt.Sprintf("b%d", ii), 1, registry.Draining))
					c.Check(time.Since(start), qt.Equals, time.Duration(0))
					wo.after(soon)
					for _, en := range ens[1:] {
						c.Check(slices.Contains(en.states(), fmt.Sprintf("b%d Draining", ii)), qt.IsTrue, qt.Commentf(en.name))
						c.Check(slices.Contains(en.held(), ii+1), qt.IsTrue, qt.Commentf(en.name))
					}
				}
				for _, li := range slow {
					li.slow.Store(false)
				}
				wo.after(4 * time.Second)
				for _, en := range ens {
					c.Check(len(en.states()), qt.Equals, 13)
					c.Check(en.held()[len(en.held())-1], qt.Equals, uint64(12))
				}
			})
		})
	}
}

// The list for callers holds the entry instances that take callers, and no other
// for longer than it takes to hear of it.
func TestEntries(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(wo *world, en *entry)
		wait time.Duration
		want []string
	}{
		{"nothing", func(*world, *entry) {}, 0, []string{"entry-00 Ready", "entry-01 Ready", "entry-02 Ready"}},
		{"draining", func(_ *world, en *entry) { en.su.SetState(Draining) }, 0, []string{"entry-01 Ready", "entry-02 Ready"}},
		{"not ready", func(_ *world, en *entry) { en.su.SetState(Starting) }, 0, []string{"entry-01 Ready", "entry-02 Ready"}},
		{"ready again", func(_ *world, en *entry) {
			en.su.SetState(Draining)
			en.su.SetState(Ready)
		}, 0, []string{"entry-00 Ready", "entry-01 Ready", "entry-02 Ready"}},
		{"ended", func(_ *world, en *entry) { en.stop() }, 0, []string{"entry-01 Ready", "entry-02 Ready"}},
		{"drained and ended", func(_ *world, en *entry) {
			en.su.SetState(Draining)
			en.stop()
		}, 0, []string{"entry-01 Ready", "entry-02 Ready"}},
		{"cut off", func(wo *world, en *entry) {
			for _, li := range wo.all(en.name, "") {
				li.cut.Store(true)
			}
		}, testSilence, []string{"entry-01 Ready", "entry-02 Ready"}},
		{"links lost", func(wo *world, en *entry) {
			for _, li := range wo.all(en.name, "") {
				_ = li.near.Close()
			}
		}, time.Second, []string{"entry-00 Ready", "entry-01 Ready", "entry-02 Ready"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			play(t, func(c *qt.C, wo *world) {
				cos := wo.group("one", "two", "three")
				ens := wo.entries(3, cos[0])
				for _, co := range cos {
					c.Assert(described(co.pu.ReadyEntries()), qt.DeepEquals, []string{"entry-00 Ready", "entry-01 Ready", "entry-02 Ready"})
				}
				tc.do(wo, ens[0])
				wo.after(tc.wait)
				for _, co := range cos {
					c.Check(described(co.pu.ReadyEntries()), qt.DeepEquals, tc.want, qt.Commentf(co.member.Name))
				}
			})
		})
	}
}

// Entry instances divide connections and budgets among the live ones, drained or
// not. All of them come to the same list.
func TestEntriesAmongThemselves(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two", "three")
		ens := wo.entries(4, cos[0])
		check := func(want ...string) {
			c.Helper()
			wo.after(soon)
			for _, en := range ens[1:3] {
				c.Check(en.names(), qt.DeepEquals, want, qt.Commentf(en.name))
			}
		}
		check("entry-00 Ready", "entry-01 Ready", "entry-02 Ready", "entry-03 Ready")
		ens[0].su.SetState(Draining)
		check("entry-00 Draining", "entry-01 Ready", "entry-02 Ready", "entry-03 Ready")
		// One that only some control instances see counts.
		_ = wo.all("entry-00", "one:1")[0].near.Close()
		check("entry-00 Draining", "entry-01 Ready", "entry-02 Ready", "entry-03 Ready")
		ens[0].stop()
		check("entry-01 Ready", "entry-02 Ready", "entry-03 Ready")
		ens[1].su.SetState(Starting)
		check("entry-02 Ready", "entry-03 Ready")
		// A control instance that is lost takes nothing with it.
		cos[1].kill()
		ens[1].su.SetState(Ready)
		check("entry-01 Ready", "entry-02 Ready", "entry-03 Ready")
		// What it said last is no reason to count one that has ended since.
		ens[3].stop()
		check("entry-01 Ready", "entry-02 Ready")
		// Without any, the last word stands.
		cos[0].kill()
		cos[2].kill()
		wo.after(5 * time.Second)
		check("entry-01 Ready", "entry-02 Ready")
	})
}

// An entry instance is killed and back before its old link is found to be dead.
// When the old link ends, the new incarnation must stay in the list for callers.
func TestTwoLinksOfOneEntry(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		co := wo.control("one")
		old := wo.entry("entry-1", "one:1")
		wo.after(soon)
		old.su.SetState(Draining)
		wo.after(soon)
		for _, li := range wo.all("entry-1", "") {
			li.cut.Store(true) // Nobody tells the control instance of the end.
		}
		old.stop()
		<-old.done
		fresh := wo.entry("entry-1", "one:1")
		var seen []string
		for range 100 {
			wo.after(soon)
			seen = append(seen, fmt.Sprint(described(co.pu.ReadyEntries())))
		}
		c.Check(slices.Compact(seen), qt.DeepEquals, []string{"[entry-1 Ready]"})
		c.Check(fresh.names(), qt.DeepEquals, []string{"entry-1 Ready"})
	})
}

// The state changes while a link is opened: the control instance must not keep
// the old one, or callers would be sent to an instance that drains.
func TestStateWhileConnecting(t *testing.T) {
	for delay := range 40 {
		play(t, func(c *qt.C, wo *world) {
			co := wo.control("one")
			en := wo.entry("entry-1", "one:1")
			wo.after(soon)
			co.kill()
			co.start()
			time.Sleep(redialLeast + time.Duration(delay)*redialLeast/40)
			en.su.SetState(Draining) // Without waiting for what is under way.
			wo.after(time.Second)
			c.Check(en.su.NumConnected(), qt.Equals, 1)
			c.Check(described(co.pu.ReadyEntries()), qt.DeepEquals, []string{})
			c.Check(en.names(), qt.DeepEquals, []string{"entry-1 Draining"})
		})
	}
}

// A link on which something unexpected comes, or that ends with the process.
func TestHandleEnds(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		pu := NewPublisher(PublisherConfig{
			Name: "one", SilenceTimeout: testQuiet,
			Members: func() []Member { return []Member{{Name: "b", Address: "b:1"}, {Name: "a", Address: "a:1"}} },
		}, wo.ts, wo.lg)
		far, near := net.Pipe()
		cn, me := link.New(far, wo.config()), link.New(near, wo.config())
		defer me.Close()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			pu.Handle(ctx, cn, Subscribe{Name: "entry-1", State: Ready})
			close(done)
		}()
		ms, err := me.Receive()
		c.Assert(err, qt.IsNil)
		c.Check(ms.(Snapshot).Members, qt.DeepEquals, []Member{{Name: "a", Address: "a:1"}, {Name: "b", Address: "b:1"}})
		c.Assert(me.Send(Snapshot{}), qt.IsNil)
		c.Assert(me.Send(Fetch{Version: 3}), qt.IsNil)
		synctest.Wait()
		c.Check(wo.logs.FilterMessage("message-not-expected").Len(), qt.Equals, 1)
		c.Check(wo.logs.FilterMessage("configuration-not-held").Len(), qt.Equals, 1)
		c.Check(len(pu.ReadyEntries()), qt.Equals, 1)
		cancel()
		<-done
		<-cn.Done()
		c.Check(len(pu.ReadyEntries()), qt.Equals, 0)
	})
}

// A backend server drains, ends and starts again between two updates. Were its states
// joined by id alone, entry instances would hear that the new start drains, or is gone.
func TestPendingStartsAgain(t *testing.T) {
	first := registry.Server{ID: "a", Service: "s", Address: "a:1", State: registry.Draining, Sequence: 9, Born: 10}
	gone := registry.Server{ID: "a", State: registry.Gone, Born: 10}
	again := registry.Server{ID: "a", Service: "s", Address: "a:1", Sequence: 1, Born: 20}
	pe := newPending()
	for _, se := range []registry.Server{first, gone, again} {
		pe.add(registry.Change{Server: se})
	}
	qt.Assert(t, pe.servers, qt.DeepEquals, []registry.Change{{Server: again}})
	again.State, again.Sequence = registry.Draining, 2
	pe.add(registry.Change{Server: again})
	again.State, again.Sequence = registry.Ready, 3
	pe.add(registry.Change{Server: again})
	qt.Assert(t, pe.servers[0].Server.State, qt.Equals, registry.Draining)
}
