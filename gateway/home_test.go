package gateway

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
)

// serversIn returns one backend server for each of the data centres.
func serversIn(dataCentres ...string) []registry.Server {
	var ses []registry.Server
	for ix, dc := range dataCentres {
		ses = append(ses, registry.Server{ID: fmt.Sprint("r", ix), DataCentre: dc})
	}
	return ses
}

func TestHomeServers(t *testing.T) {
	drained := serversIn("x", "y")
	drained[0].State = registry.Draining
	for _, tc := range []struct {
		name string
		ses  []registry.Server
		want []string
	}{
		{"own data centre", serversIn("y", "x", "x"), []string{"r1", "r2"}},
		{"none in own data centre, one ready", drained, []string{"r1"}},
		{"no servers", nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(homeServers("e1", "x", tc.ses), qt.DeepEquals, tc.want)
		})
	}
}

// Entry instances of a data centre without backend servers must not all choose the same
// home server.
func TestHomeServersAreSpread(t *testing.T) {
	c := qt.New(t)
	counts := make(map[string]int)
	for ix := range 300 {
		ids := homeServers(fmt.Sprint("entry-", ix), "elsewhere", serversIn("a", "b", "c"))
		c.Assert(ids, qt.HasLen, 1)
		counts[ids[0]]++
	}
	for id, count := range counts {
		c.Assert(count > 70, qt.IsTrue, qt.Commentf("%s: %d", id, count))
	}
}

// 78 entry instances share backend servers that accept 71 connections each. If idle
// connections to servers that were only hedged to were kept, all connections would be
// taken; after a power loss the servers would continue to count them for seconds and reset
// new ones.
func TestConnectionsToOtherServersCloseEarly(t *testing.T) {
	c := qt.New(t)
	sc := &scarceServers{home: make(map[string]bool), others: make(map[string]bool)}
	sc.add("e1", "x", serversIn("x", "y", "z"))
	c.Assert(sc.idleTimeout("r0"), qt.Equals, 0*otherIdleTimeout)
	c.Assert(sc.idleTimeout("r1"), qt.Equals, otherIdleTimeout)
	c.Assert(sc.idleTimeout("of another service"), qt.Equals, 0*otherIdleTimeout)
}
