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

// Guards against an entry instance that misses state from before it connected.
func TestSnapshotOnConnect(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		cos[0].pu.Announce(server("a1", 1, registry.Ready), "")
		cos[0].pu.Announce(server("a2", 1, registry.Draining), "")
		cos[0].pu.Announce(server("a3", 1, registry.Ready), "")
		cos[0].pu.Leave("a3", "")
		cos[1].pu.Announce(server("b1", 1, registry.Ready), "")
		cos[1].pu.SetConfiguration(7, []byte("seven"))
		cl.advance(time.Second)
		first := cl.entry("entry-1", "one:1")
		cl.advance(maxPropagation)
		second := cl.entry("entry-2", "two:1")
		cl.advance(maxPropagation)
		for _, en := range []*entry{first, second} {
			c.Check(en.su.NumConnected(), qt.Equals, 2)
			c.Check(en.serverStates(), qt.DeepEquals, []string{"a1 Ready", "a2 Draining", "b1 Ready"})
			c.Check(en.entryStates(), qt.DeepEquals, []string{"entry-1 Ready", "entry-2 Ready"})
			c.Check(en.versionsInForce(), qt.DeepEquals, []uint64{7})
			c.Check(string(en.data), qt.Equals, "seven")
		}
	})
}

// Guards against requests to a server that has ended. A backend server announces its
// drain to one control instance and ends a drain period after the acknowledgement. An
// entry instance that hasn't learned of it by then sends requests that are lost. So each
// change must be known everywhere within maxPropagation, also among many others.
func TestServerChangesReachAllEntries(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(cos []*control)
		want   []string
	}{
		{"new", func(cos []*control) { cos[1].pu.Announce(server("a9", 1, registry.Ready), "") }, []string{"a1 Ready", "a2 Ready", "a9 Ready"}},
		{"draining", func(cos []*control) { cos[0].pu.Announce(server("a1", 2, registry.Draining), "") }, []string{"a1 Draining", "a2 Ready"}},
		{"draining, announced elsewhere", func(cos []*control) { cos[2].pu.Announce(server("a1", 2, registry.Draining), "") }, []string{"a1 Draining", "a2 Ready"}},
		{"draining, then a late announcement", func(cos []*control) {
			cos[0].pu.Announce(server("a1", 3, registry.Draining), "")
			cos[0].pu.Announce(server("a1", 2, registry.Ready), "")
		}, []string{"a1 Draining", "a2 Ready"}},
		{"draining, then another announcement", func(cos []*control) {
			cos[0].pu.Announce(server("a1", 3, registry.Draining), "")
			warm := server("a1", 4, registry.Ready)
			warm.WarmMillis = 100
			cos[0].pu.Announce(warm, "")
		}, []string{"a1 Draining", "a2 Ready"}},
		{"gone", func(cos []*control) { cos[0].pu.Leave("a1", "") }, []string{"a2 Ready"}},
		{"gone, announced elsewhere", func(cos []*control) { cos[2].pu.Leave("a1", "") }, []string{"a2 Ready"}},
		{"gone, then a late announcement elsewhere", func(cos []*control) {
			cos[0].pu.Leave("a1", "")
			cos[2].pu.Announce(server("a1", 1, registry.Ready), "")
		}, []string{"a2 Ready"}},
		{"another incarnation at the address", func(cos []*control) {
			// The ids are not in the order of the incarnations.
			for _, id := range []string{"a9", "a0"} {
				se := server(id, 1, registry.Ready)
				se.Address = "a1:8080"
				cos[0].pu.Announce(se, "")
			}
		}, []string{"a0 Ready", "a2 Ready"}},
		{"many at once", func(cos []*control) {
			for ii := range 300 {
				cos[ii%3].pu.Announce(server(fmt.Sprintf("b%d", ii), 1, registry.Ready), "")
				cos[ii%3].pu.Leave(fmt.Sprintf("b%d", ii), "")
			}
			cos[0].pu.Leave("a1", "")
		}, []string{"a2 Ready"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C, cl *cluster) {
				cos := cl.group("one", "two", "three")
				ens := cl.entries(8, cos[0])
				cos[0].pu.Announce(server("a1", 1, registry.Ready), "")
				cos[1].pu.Announce(server("a2", 1, registry.Ready), "")
				cl.advance(time.Second)
				// Just after an update, the next one is furthest away.
				cos[0].pu.Announce(server("c1", 1, registry.Ready), "")
				cos[0].pu.Leave("c1", "")
				cl.advance(batchDelay)
				tc.change(cos)
				cl.advance(maxPropagation)
				for _, en := range ens {
					c.Check(en.serverStates(), qt.DeepEquals, tc.want, qt.Commentf(en.name))
				}
			})
		})
	}
}

// Guards against needless messages: servers announce themselves all the time, and only
// changes go to entry instances. Traffic between data centres is expensive, and so is
// each wake-up.
func TestRepeatedAnnouncementsSendNothing(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two", "three")
		ens := cl.entries(4, cos[0])
		repeat := func(sequence uint64) {
			for ii := range 30 {
				cos[ii%3].pu.Announce(server(fmt.Sprintf("a%02d", ii), sequence, registry.Ready), "")
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
		cl.advance(time.Second)
		before := make(map[string]counts)
		for _, en := range ens {
			before[en.name] = en.counts()
		}
		for sequence := range uint64(20) {
			repeat(sequence + 2)
			cl.advance(time.Second)
		}
		for _, en := range ens {
			want, got := before[en.name], en.counts()
			want.seeds, got.seeds = 0, 0
			c.Check(got, qt.Equals, want)
		}
	})
}

// Guards against notifications after a reconnect that changed nothing.
func TestReconnectNotifiesNothing(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		ens := cl.entries(3, cos[0])
		cos[0].pu.Announce(server("a1", 1, registry.Ready), "")
		cos[0].pu.SetConfiguration(5, []byte("five"))
		cos[1].pu.SetConfiguration(5, []byte("five"))
		cl.advance(time.Second)
		before := ens[0].counts()
		for _, li := range cl.linksBetween("entry-00", "one:1") {
			_ = li.entryEnd.Close()
		}
		cl.advance(time.Second)
		got := ens[0].counts()
		c.Check(got.messages > before.messages, qt.IsTrue)
		got.messages, got.seeds = before.messages, before.seeds
		c.Check(got, qt.Equals, before)
	})
}

// Guards against an update for each change when all backend servers announce themselves
// at once, as after a power loss.
func TestUpdatesAreBatched(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two", "three")
		ens := cl.entries(2, cos[0])
		before := cl.numMessages(ens[0].name)
		for ii := range 500 {
			cos[ii%3].pu.Announce(server(fmt.Sprintf("a%03d", ii), 1, registry.Ready), "")
			cl.advance(2 * time.Millisecond)
		}
		cl.advance(maxPropagation)
		c.Check(len(ens[0].serverStates()), qt.Equals, 500)
		count := cl.numMessages(ens[0].name) - before
		c.Check(count <= len(cos)*(int(time.Second/minFlushInterval)+2), qt.IsTrue, qt.Commentf("%d updates", count))
		ens[0].mu.Lock()
		defer ens[0].mu.Unlock()
		times := ens[0].serversTimes
		for ii := 1; ii < len(times); ii++ {
			c.Check(times[ii].Sub(times[ii-1]) >= minNotifyInterval, qt.IsTrue)
		}
	})
}

// Guards against a crashed server that stays. The control instance that heard it drops it
// after the silence timeout, and entry instances drop it after the retention timeout
// unless another control instance hears it.
func TestSilentServerExpires(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		ens := cl.entries(2, cos[0])
		cos[0].pu.Announce(server("a1", 1, registry.Ready), "") // crashes
		cos[0].pu.Announce(server("a2", 1, registry.Ready), "") // continues at another control instance
		for sequence := range uint64(6) {
			cl.advance(time.Second)
			cos[1].pu.Announce(server("a2", sequence+2, registry.Ready), "")
		}
		for _, en := range ens {
			c.Check(en.serverStates(), qt.DeepEquals, []string{"a1 Ready", "a2 Ready"}, qt.Commentf(en.name))
		}
		for sequence := range uint64(3) {
			cl.advance(time.Second)
			cos[1].pu.Announce(server("a2", sequence+8, registry.Ready), "")
		}
		for _, en := range ens {
			c.Check(en.serverStates(), qt.DeepEquals, []string{"a2 Ready"}, qt.Commentf(en.name))
		}
	})
}

// Guards against a slow link that delays others. One entry instance stops reading,
// because its link is full or it is frozen. The others must still learn of a draining
// server in time, and the slow one must reach the same state once it reads again.
func TestSlowLinkDelaysNoOther(t *testing.T) {
	for _, bytes := range []int{10, 1 << 20} {
		t.Run(fmt.Sprint(bytes), func(t *testing.T) {
			runInBubble(t, func(c *qt.C, cl *cluster) {
				cos := cl.group("one", "two")
				ens := cl.entries(5, cos[0])
				cos[0].pu.Announce(server("a1", 1, registry.Ready), "")
				cl.advance(time.Second)
				slow := cl.linksBetween(ens[0].name, "")
				for _, li := range slow {
					li.paused.Store(true)
				}
				for ii := range uint64(12) {
					cos[0].pu.SetConfiguration(ii+1, make([]byte, bytes))
					cos[1].pu.SetConfiguration(ii+1, make([]byte, bytes))
					start := time.Now()
					cos[0].pu.Announce(server(fmt.Sprintf("b%d", ii), 1, registry.Draining), "")
					c.Check(time.Since(start), qt.Equals, time.Duration(0))
					cl.advance(maxPropagation)
					for _, en := range ens[1:] {
						c.Check(slices.Contains(en.serverStates(), fmt.Sprintf("b%d Draining", ii)), qt.IsTrue, qt.Commentf(en.name))
						c.Check(slices.Contains(en.versionsInForce(), ii+1), qt.IsTrue, qt.Commentf(en.name))
					}
				}
				for _, li := range slow {
					li.paused.Store(false)
				}
				cl.advance(4 * time.Second)
				for _, en := range ens {
					c.Check(len(en.serverStates()), qt.Equals, 13)
					c.Check(en.versionsInForce()[len(en.versionsInForce())-1], qt.Equals, uint64(12))
				}
			})
		})
	}
}

// Guards against callers sent to entry instances that don't accept them: the list must
// follow their state and the loss of their links.
func TestReadyEntriesFollowState(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(cl *cluster, en *entry)
		wait time.Duration
		want []string
	}{
		{"nothing", func(*cluster, *entry) {}, 0, []string{"entry-00 Ready", "entry-01 Ready", "entry-02 Ready"}},
		{"draining", func(_ *cluster, en *entry) { en.su.SetState(Draining) }, 0, []string{"entry-01 Ready", "entry-02 Ready"}},
		{"not ready", func(_ *cluster, en *entry) { en.su.SetState(Starting) }, 0, []string{"entry-01 Ready", "entry-02 Ready"}},
		{"ready again", func(_ *cluster, en *entry) {
			en.su.SetState(Draining)
			en.su.SetState(Ready)
		}, 0, []string{"entry-00 Ready", "entry-01 Ready", "entry-02 Ready"}},
		{"ended", func(_ *cluster, en *entry) { en.stop() }, 0, []string{"entry-01 Ready", "entry-02 Ready"}},
		{"drained and ended", func(_ *cluster, en *entry) {
			en.su.SetState(Draining)
			en.stop()
		}, 0, []string{"entry-01 Ready", "entry-02 Ready"}},
		{"isolated", func(cl *cluster, en *entry) {
			for _, li := range cl.linksBetween(en.name, "") {
				li.blackholed.Store(true)
			}
		}, testLinkTimeout, []string{"entry-01 Ready", "entry-02 Ready"}},
		{"links lost", func(cl *cluster, en *entry) {
			for _, li := range cl.linksBetween(en.name, "") {
				_ = li.entryEnd.Close()
			}
		}, time.Second, []string{"entry-00 Ready", "entry-01 Ready", "entry-02 Ready"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(c *qt.C, cl *cluster) {
				cos := cl.group("one", "two", "three")
				ens := cl.entries(3, cos[0])
				for _, co := range cos {
					c.Assert(describeEntries(co.pu.ReadyEntries()), qt.DeepEquals, []string{"entry-00 Ready", "entry-01 Ready", "entry-02 Ready"})
				}
				tc.do(cl, ens[0])
				cl.advance(tc.wait)
				for _, co := range cos {
					c.Check(describeEntries(co.pu.ReadyEntries()), qt.DeepEquals, tc.want, qt.Commentf(co.member.Name))
				}
			})
		})
	}
}

// Guards against different views of the live entry instances, among which connections and
// budgets are divided, whether they drain or not.
func TestLiveEntriesAgree(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two", "three")
		ens := cl.entries(4, cos[0])
		check := func(want ...string) {
			c.Helper()
			cl.advance(maxPropagation)
			for _, en := range ens[1:3] {
				c.Check(en.entryStates(), qt.DeepEquals, want, qt.Commentf(en.name))
			}
		}
		check("entry-00 Ready", "entry-01 Ready", "entry-02 Ready", "entry-03 Ready")
		ens[0].su.SetState(Draining)
		check("entry-00 Draining", "entry-01 Ready", "entry-02 Ready", "entry-03 Ready")
		// One that only some control instances are linked to counts.
		_ = cl.linksBetween("entry-00", "one:1")[0].entryEnd.Close()
		check("entry-00 Draining", "entry-01 Ready", "entry-02 Ready", "entry-03 Ready")
		ens[0].stop()
		check("entry-01 Ready", "entry-02 Ready", "entry-03 Ready")
		ens[1].su.SetState(Starting)
		check("entry-02 Ready", "entry-03 Ready")
		// A lost control instance takes no entry instance with it.
		cos[1].kill()
		ens[1].su.SetState(Ready)
		check("entry-01 Ready", "entry-02 Ready", "entry-03 Ready")
		// Its last state must not count an entry instance that has ended since.
		ens[3].stop()
		check("entry-01 Ready", "entry-02 Ready")
		// Without any control instance, the last state remains.
		cos[0].kill()
		cos[2].kill()
		cl.advance(5 * time.Second)
		check("entry-01 Ready", "entry-02 Ready")
	})
}

// Guards against a restarted entry instance that disappears from the list for callers
// when its old link, not yet known to be dead, ends.
func TestNewestLinkOfEntryCounts(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		co := cl.control("one")
		old := cl.entry("entry-1", "one:1")
		cl.advance(maxPropagation)
		old.su.SetState(Draining)
		cl.advance(maxPropagation)
		for _, li := range cl.linksBetween("entry-1", "") {
			li.blackholed.Store(true) // The control instance isn't notified of the end.
		}
		old.stop()
		<-old.done
		fresh := cl.entry("entry-1", "one:1")
		var seen []string
		for range 100 {
			cl.advance(maxPropagation)
			seen = append(seen, fmt.Sprint(describeEntries(co.pu.ReadyEntries())))
		}
		c.Check(slices.Compact(seen), qt.DeepEquals, []string{"[entry-1 Ready]"})
		c.Check(fresh.entryStates(), qt.DeepEquals, []string{"entry-1 Ready"})
	})
}

// Guards against a lost state change while a link is being opened: callers would be sent
// to an instance that drains.
func TestSetStateWhileConnecting(t *testing.T) {
	for delay := range 40 {
		runInBubble(t, func(c *qt.C, cl *cluster) {
			co := cl.control("one")
			en := cl.entry("entry-1", "one:1")
			cl.advance(maxPropagation)
			co.kill()
			co.start()
			time.Sleep(minRedialBackoff + time.Duration(delay)*minRedialBackoff/40)
			en.su.SetState(Draining) // without waiting for what is in flight
			cl.advance(time.Second)
			c.Check(en.su.NumConnected(), qt.Equals, 1)
			c.Check(describeEntries(co.pu.ReadyEntries()), qt.DeepEquals, []string{})
			c.Check(en.entryStates(), qt.DeepEquals, []string{"entry-1 Draining"})
		})
	}
}

// Guards against a link that fails on an unexpected message, or outlives the context.
func TestHandleUnexpectedMessages(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		pu := NewPublisher(PublisherConfig{
			Name: "one", SilenceTimeout: testSilenceTimeout,
			Members: func() []Member { return []Member{{Name: "b", Address: "b:1"}, {Name: "a", Address: "a:1"}} },
		}, cl.ts, cl.lg)
		controlEnd, entryEnd := net.Pipe()
		cn, me := link.New(controlEnd, cl.config()), link.New(entryEnd, cl.config())
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
		c.Check(cl.logs.FilterMessage("message-not-expected").Len(), qt.Equals, 1)
		c.Check(cl.logs.FilterMessage("configuration-not-held").Len(), qt.Equals, 1)
		c.Check(len(pu.ReadyEntries()), qt.Equals, 1)
		cancel()
		<-done
		<-cn.Done()
		c.Check(len(pu.ReadyEntries()), qt.Equals, 0)
	})
}

// Guards against mixing up incarnations when a backend server drains, ends and restarts
// between two updates. Merged by id alone, its new incarnation would be reported as
// Draining or Gone.
func TestPendingKeepsIncarnationsApart(t *testing.T) {
	first := registry.Server{ID: "a", Service: "s", Address: "a:1", State: registry.Draining, Sequence: 9, Born: 10}
	gone := registry.Server{ID: "a", State: registry.Gone, Born: 10}
	again := registry.Server{ID: "a", Service: "s", Address: "a:1", Sequence: 1, Born: 20}
	pe := newPendingUpdate()
	for _, se := range []registry.Server{first, gone, again} {
		pe.addChange(registry.Change{Server: se})
	}
	qt.Assert(t, pe.changes, qt.DeepEquals, []registry.Change{{Server: again}})
	again.State, again.Sequence = registry.Draining, 2
	pe.addChange(registry.Change{Server: again})
	again.State, again.Sequence = registry.Ready, 3
	pe.addChange(registry.Change{Server: again})
	qt.Assert(t, pe.changes[0].Server.State, qt.Equals, registry.Draining)
}
