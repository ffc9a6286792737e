package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
	"balsamwinch.example/route"
)

// Nine entry instances run in calm for a minute, then three are cut off from
// control. They still hold their connections, so the six others must not divide the
// backend servers' connections among six: together they would open more than the
// backend servers take, and these reset what is over, with the requests on it.
func TestEntryCount(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	ec := entryCount{}.with(at(0), 3).with(at(1), 9)
	c.Assert(ec.highest(at(60)), qt.Equals, 9)
	ec = ec.with(at(61), 6)
	c.Assert(ec.highest(at(61)), qt.Equals, 9)
	ec = ec.with(at(70), 5)
	c.Assert(ec.highest(at(80)), qt.Equals, 9)
	c.Assert(ec.highest(at(81)), qt.Equals, 5)
	ec = ec.with(at(90), 7)
	c.Assert(ec.highest(at(90)), qt.Equals, 7)
	ec = ec.with(at(91), 6)
	c.Assert(ec.highest(at(110)), qt.Equals, 7)
	c.Assert(ec.highest(at(111)), qt.Equals, 6)
}

// Three of nine entry instances are cut off for a while, and their callers connect to
// the others. Nothing would bring them back while their new connections serve them;
// so each connection is used for a bounded time, at random, and then ended with an
// answer.
func TestLifetime(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	c.Assert(outlived(t.Context(), now), qt.IsFalse)
	for range 100 {
		ctx := WithLifetime(t.Context(), now)
		c.Assert(outlived(ctx, now.Add(leastLifetime)), qt.IsFalse)
		c.Assert(outlived(ctx, now.Add(mostLifetime)), qt.IsTrue)
	}
}

// Callers are led to 49 of 191 entry instances, and backend servers take 123 connections.
// Divided among all, each instance would have a single one to each server and a second
// request would wait or go elsewhere; divided among those with callers, it has two. While
// their number isn't known, or was higher lately, fewer connections are opened.
func TestSharers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rg := newRig(t, newPipes(), setup{entries: 191})
		rg.limited(limits, 123, route.Route{Prefix: "/", Timeout: time.Second, Targets: to("s")})
		rg.gw.SetServers(map[string][]registry.Server{"s": {{ID: "i", Service: "s", Address: "a"}}})
		share := func() int { return rg.gw.target(registry.Server{ID: "i", Service: "s"}).MaxConnections }
		c.Assert(share(), qt.Equals, 1)
		rg.gw.SetSharers(49)
		c.Assert(share(), qt.Equals, 2)
		rg.gw.SetSharers(95)
		c.Assert(share(), qt.Equals, 1)
		rg.gw.SetSharers(49)
		c.Assert(share(), qt.Equals, 1)
		time.Sleep(entryMemory)
		synctest.Wait()
		c.Assert(share(), qt.Equals, 2)
	})
}
