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

// door returns what connects to an entry instance for invitations, once it is open.
func (wo *world) door(en *entry, open func() bool) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		if !open() {
			return nil, errors.New("connection refused")
		}
		far, near := net.Pipe()
		wo.wg.Go(func() {
			co := link.New(near, wo.config())
			defer co.Close()
			en.su.HandleInvite(wo.ctx, co)
		})
		return far, nil
	}
}

// unlinked says that no entry instance has a link by itself.
func unlinked(string) bool { return false }

// All machines lose power, and the control instance that is back first is no seed. The
// seeds are dark for seconds yet. Callers would be refused until a seed is back, though
// a control instance and all entry instances run.
func TestInvited(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		seed, other := wo.control("seed"), wo.control("other")
		seed.lose()
		other.pu.SetConfiguration(3, []byte("three"))
		en := wo.entry("entry", seed.member.Address)
		wo.after(2 * time.Second)
		c.Assert(en.su.NumConnected(), qt.Equals, 0)

		lc := wo.config()
		lc.Connect = wo.door(en, func() bool { return true })
		InviteAll(wo.ctx, lc, wo.lg, Invite{Name: "other", Address: other.member.Address}, []Invitee{{"entry", "entry:7740"}}, unlinked)
		wo.after(soon)
		c.Assert(en.su.NumConnected(), qt.Equals, 1)
		c.Assert(en.versions, qt.DeepEquals, []uint64{3})

		// What ends is not dialled for ever: nobody else knows of it.
		other.lose()
		wo.after(2*forgetAfter + 2*time.Second)
		before := len(wo.dialed(other.member.Address))
		wo.after(forgetAfter)
		c.Assert(wo.dialed(other.member.Address), qt.HasLen, before)
	})
}

// An entry instance has dialled a control instance that was down a moment ago, and waits
// before it does so again. Invited, it doesn't wait.
func TestInvitedWhileItWaits(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		first, second := wo.control("first"), wo.control("second")
		en := wo.entry("entry", first.member.Address, second.member.Address)
		wo.after(soon)
		second.kill()
		wo.after(10 * time.Second) // The wait has grown to its most.
		second.start()
		lc := wo.config()
		lc.Connect = wo.door(en, func() bool { return true })
		InviteAll(wo.ctx, lc, wo.lg, Invite{Name: "second", Address: second.member.Address}, []Invitee{{"entry", "entry:7740"}}, unlinked)
		wo.after(2 * time.Millisecond)
		c.Assert(en.su.NumConnected(), qt.Equals, 2)
	})
}

// A control instance is back before the machines of entry instances are. It invites
// each until it has heard, and not for ever.
func TestInviteAll(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		en := wo.entry("entry")
		back := time.Now().Add(time.Second)
		var tries atomic.Int64
		lc := wo.config()
		lc.Connect = wo.door(en, func() bool {
			tries.Add(1)
			return !time.Now().Before(back)
		})
		InviteAll(wo.ctx, lc, wo.lg, Invite{Name: "one", Address: "one:1"}, []Invitee{{"entry", "entry:7740"}}, unlinked)
		c.Assert(time.Since(back) <= inviteMost, qt.IsTrue)
		c.Assert(tries.Load() < 12, qt.IsTrue, qt.Commentf("%d tries", tries.Load()))

		start := time.Now()
		lc.Connect = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		InviteAll(wo.ctx, lc, wo.lg, Invite{Name: "one", Address: "one:1"}, []Invitee{{"dark", "dark:7740"}, {"gone", "gone:7740"}}, unlinked)
		c.Assert(time.Since(start) < inviteFor+inviteDial, qt.IsTrue)
	})
}

// Hundreds of entry instances are to be invited after a loss of power, each at the cost
// of some milliseconds of a small control instance. Those that callers are led to come
// first in the list, and one that has a link by itself costs nothing: without that, callers
// wait for the last of them while those that nobody comes to are served.
func TestInvitedInOrder(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		const count = 3 * invitesAtOnce
		var invitees []Invitee
		for ix := range count {
			invitees = append(invitees, Invitee{Name: fmt.Sprint(ix), Address: fmt.Sprint(ix)})
		}
		var mu sync.Mutex
		var dialed []string
		lc := wo.config()
		lc.Connect = func(_ context.Context, address string) (net.Conn, error) {
			mu.Lock()
			dialed = append(dialed, address)
			mu.Unlock()
			return nil, errors.New("connection refused")
		}
		ctx, cancel := context.WithTimeout(wo.ctx, inviteFirst/2)
		defer cancel()
		InviteAll(ctx, lc, wo.lg, Invite{Name: "one", Address: "one:1"}, invitees, func(name string) bool { return name == "5" })
		c.Assert(dialed, qt.HasLen, count-1)
		for place, address := range dialed {
			number, err := strconv.Atoi(address)
			c.Assert(err, qt.IsNil)
			c.Assert(number <= place+1+invitesAtOnce, qt.IsTrue, qt.Commentf("%s was dialled at place %d", address, place))
		}
	})
}

// Each backend server announces itself to one control instance. The others must hear of
// it, so that any of them can tell all at its next start; and callers must not be sent
// to a control instance for that.
func TestListener(t *testing.T) {
	play(t, func(c *qt.C, wo *world) {
		cos := wo.group("one", "two")
		cos[0].pu.Announce(server("a1", 1, registry.Ready))
		cos[0].pu.SetConfiguration(3, []byte("three"))
		li := wo.listener("two", cos[0].member.Address, cos[1].member.Address)
		wo.after(soon)
		c.Assert(li.states(), qt.DeepEquals, []string{"a1 Ready"})
		c.Assert(li.versions, qt.HasLen, 0)
		c.Assert(cos[0].pu.ReadyEntries(), qt.HasLen, 0)
		c.Assert(cos[0].pu.LinkedEntries(), qt.HasLen, 0)
		c.Assert(wo.dialed(cos[1].member.Address), qt.HasLen, 0, qt.Commentf("it is the listener itself"))
		cos[0].pu.Leave("a1")
		wo.after(soon)
		c.Assert(li.states(), qt.HasLen, 0)
	})
}
