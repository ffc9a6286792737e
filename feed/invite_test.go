package feed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/link"
	"balsamwinch.example/registry"
)

// inviteConnect returns a Connect function to an entry instance's invitation port, which
// refuses connections until open returns true.
func (cl *cluster) inviteConnect(en *entry, open func() bool) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		if !open() {
			return nil, errors.New("connection refused")
		}
		inviterEnd, entryEnd := net.Pipe()
		cl.wg.Go(func() {
			co := link.New(entryEnd, cl.config())
			defer co.Close()
			en.su.HandleInvite(cl.ctx, co)
		})
		return inviterEnd, nil
	}
}

// notLinked reports that no entry instance has connected by itself.
func notLinked(string) bool { return false }

// Guards against rejected callers after a power loss of all machines. The first control
// instance to return is not a seed, and the seeds stay unreachable for seconds although a
// control instance and all entry instances run.
func TestInviteConnectsEntryWhileSeedsAreDown(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		seed, other := cl.control("seed"), cl.control("other")
		seed.isolate()
		other.pu.SetConfiguration(3, []byte("three"))
		en := cl.entry("entry", seed.member.Address)
		cl.advance(2 * time.Second)
		c.Assert(en.su.NumConnected(), qt.Equals, 0)

		lc := cl.config()
		lc.Connect = cl.inviteConnect(en, func() bool { return true })
		InviteAll(cl.ctx, lc, cl.lg, Invite{Name: "other", Address: other.member.Address}, []Invitee{{"entry", "entry:7740"}}, notLinked)
		cl.advance(maxPropagation)
		c.Assert(en.su.NumConnected(), qt.Equals, 1)
		c.Assert(en.versions, qt.DeepEquals, []uint64{3})

		// A control instance that has ended, which no other one lists, isn't dialled
		// forever.
		other.isolate()
		cl.advance(2*unlistedTTL + 2*time.Second)
		before := len(cl.dialsTo(other.member.Address))
		cl.advance(unlistedTTL)
		c.Assert(cl.dialsTo(other.member.Address), qt.HasLen, before)
	})
}

// Guards against an invited entry instance that waits for its redial backoff, because it
// dialled the control instance while that was down.
func TestInviteCutsRedialBackoffShort(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		first, second := cl.control("first"), cl.control("second")
		en := cl.entry("entry", first.member.Address, second.member.Address)
		cl.advance(maxPropagation)
		second.kill()
		cl.advance(10 * time.Second) // The backoff has reached its maximum.
		second.start()
		lc := cl.config()
		lc.Connect = cl.inviteConnect(en, func() bool { return true })
		InviteAll(cl.ctx, lc, cl.lg, Invite{Name: "second", Address: second.member.Address}, []Invitee{{"entry", "entry:7740"}}, notLinked)
		cl.advance(2 * time.Millisecond)
		c.Assert(en.su.NumConnected(), qt.Equals, 2)
	})
}

// Guards against a single attempt to invite, or endless attempts, when a control instance
// returns before the machines of entry instances do.
func TestInviteAllRetriesUntilTimeout(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		en := cl.entry("entry")
		back := time.Now().Add(time.Second)
		var attempts atomic.Int64
		lc := cl.config()
		lc.Connect = cl.inviteConnect(en, func() bool {
			attempts.Add(1)
			return !time.Now().Before(back)
		})
		InviteAll(cl.ctx, lc, cl.lg, Invite{Name: "one", Address: "one:1"}, []Invitee{{"entry", "entry:7740"}}, notLinked)
		c.Assert(time.Since(back) <= maxInviteBackoff, qt.IsTrue)
		c.Assert(attempts.Load() < 12, qt.IsTrue, qt.Commentf("%d attempts", attempts.Load()))

		start := time.Now()
		lc.Connect = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		InviteAll(cl.ctx, lc, cl.lg, Invite{Name: "one", Address: "one:1"}, []Invitee{{"dark", "dark:7740"}, {"gone", "gone:7740"}}, notLinked)
		c.Assert(time.Since(start) < inviteTimeout+inviteDialTimeout, qt.IsTrue)
	})
}

// Guards against callers that wait for their entry instance to be invited. After a power
// loss, hundreds of entry instances are to be invited, each at the cost of some
// milliseconds of a small control instance. The list starts with those that callers are
// sent to, and its order must hold; an instance that has connected by itself is skipped.
func TestInviteAllKeepsOrder(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		const count = 3 * maxConcurrentInvites
		var invitees []Invitee
		for ix := range count {
			invitees = append(invitees, Invitee{Name: fmt.Sprint(ix), Address: fmt.Sprint(ix)})
		}
		var mu sync.Mutex
		var dialed []string
		lc := cl.config()
		lc.Connect = func(_ context.Context, address string) (net.Conn, error) {
			mu.Lock()
			dialed = append(dialed, address)
			mu.Unlock()
			return nil, errors.New("connection refused")
		}
		ctx, cancel := context.WithTimeout(cl.ctx, minInviteBackoff/2)
		defer cancel()
		InviteAll(ctx, lc, cl.lg, Invite{Name: "one", Address: "one:1"}, invitees, func(name string) bool { return name == "5" })
		c.Assert(dialed, qt.HasLen, count-1)
		for place, address := range dialed {
			number, err := strconv.Atoi(address)
			c.Assert(err, qt.IsNil)
			c.Assert(number <= place+1+maxConcurrentInvites, qt.IsTrue, qt.Commentf("%s was dialled at place %d", address, place))
		}
	})
}

// Guards against control instances that don't know the servers announced to others, which
// they must send to all entry instances after a restart. Callers must not be sent to a
// control instance that subscribes for that.
func TestControlSubscriberLearnsServers(t *testing.T) {
	runInBubble(t, func(c *qt.C, cl *cluster) {
		cos := cl.group("one", "two")
		cos[0].pu.Announce(server("a1", 1, registry.Ready), "")
		cos[0].pu.SetConfiguration(3, []byte("three"))
		li := cl.controlSubscriber("two", cos[0].member.Address, cos[1].member.Address)
		cl.advance(maxPropagation)
		c.Assert(li.serverStates(), qt.DeepEquals, []string{"a1 Ready"})
		c.Assert(li.versions, qt.HasLen, 0)
		c.Assert(cos[0].pu.ReadyEntries(), qt.HasLen, 0)
		c.Assert(cos[0].pu.LinkedEntries(), qt.HasLen, 0)
		c.Assert(cl.dialsTo(cos[1].member.Address), qt.HasLen, 0, qt.Commentf("its own address"))
		cos[0].pu.Leave("a1", "")
		cl.advance(maxPropagation)
		c.Assert(li.serverStates(), qt.HasLen, 0)
	})
}
