package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
	"balsamwinch.example/route"
)

// Nine entry instances run for a minute, then three are cut off from control. They still
// hold their connections, so the other six must not divide the backend servers' connections
// among six: together all would exceed the servers' limit, and the servers would reset the
// excess connections with their requests.
func TestEntryCountRemembersPeak(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	ec := entryCount{}.update(at(0), 3).update(at(1), 9)
	c.Assert(ec.recentPeak(at(60)), qt.Equals, 9)
	ec = ec.update(at(61), 6)
	c.Assert(ec.recentPeak(at(61)), qt.Equals, 9)
	ec = ec.update(at(70), 5)
	c.Assert(ec.recentPeak(at(80)), qt.Equals, 9)
	c.Assert(ec.recentPeak(at(81)), qt.Equals, 5)
	ec = ec.update(at(90), 7)
	c.Assert(ec.recentPeak(at(90)), qt.Equals, 7)
	ec = ec.update(at(91), 6)
	c.Assert(ec.recentPeak(at(110)), qt.Equals, 7)
	c.Assert(ec.recentPeak(at(111)), qt.Equals, 6)
}

// Three of nine entry instances are cut off for a while, and their callers connect to the
// others. Nothing would move the callers back while their new connections work, so each
// connection is closed with an answer after a bounded random time.
func TestConnectionLifetime(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	c.Assert(lifetimeExpired(t.Context(), now), qt.IsFalse)
	for range 100 {
		ctx := WithLifetime(t.Context(), now)
		c.Assert(lifetimeExpired(ctx, now.Add(minLifetime)), qt.IsFalse)
		c.Assert(lifetimeExpired(ctx, now.Add(maxLifetime)), qt.IsTrue)
	}
}

// Callers are sent to 49 of 191 entry instances, and backend servers accept 123
// connections. Divided among all instances, each would have a single connection to each
// server, and a second request would wait or go elsewhere; divided among the instances with
// callers, each has two. While their number is unknown, or was higher recently, fewer
// connections are opened.
func TestConnectionsAreDividedAmongSharers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rg := newRig(t, newMemNetwork(), setup{entries: 191})
		rg.setLimitedTable(limits, 123, route.Route{Prefix: "/", Timeout: time.Second, Targets: singleTarget("s")})
		rg.gw.SetServers(map[string][]registry.Server{"s": {{ID: "i", Service: "s", Address: "a"}}})
		connections := func() int { return rg.gw.target(registry.Server{ID: "i", Service: "s"}).MaxConnections }
		c.Assert(connections(), qt.Equals, 1)
		rg.gw.SetSharers(49)
		c.Assert(connections(), qt.Equals, 2)
		rg.gw.SetSharers(95)
		c.Assert(connections(), qt.Equals, 1)
		rg.gw.SetSharers(49)
		c.Assert(connections(), qt.Equals, 1)
		time.Sleep(entryCountTTL)
		synctest.Wait()
		c.Assert(connections(), qt.Equals, 2)
	})
}
