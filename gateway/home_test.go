package gateway

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/registry"
)

// replicas returns a backend server in each of some data centres.
func replicas(dataCentres ...string) []registry.Server {
	var ses []registry.Server
	for ix, dc := range dataCentres {
		ses = append(ses, registry.Server{ID: fmt.Sprint("r", ix), DataCentre: dc})
	}
	return ses
}

func TestHomes(t *testing.T) {
	drained := replicas("x", "y")
	drained[0].State = registry.Draining
	for _, tc := range []struct {
		name string
		ses  []registry.Server
		want []string
	}{
		{"own data centre", replicas("y", "x", "x"), []string{"r1", "r2"}},
		{"none own, one left", drained, []string{"r1"}},
		{"nobody", nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(homes("e1", "x", tc.ses), qt.DeepEquals, tc.want)
		})
	}
}

// Entry instances of a data centre without backend servers must not all pick the same
// home server.
func TestHomesAreSpread(t *testing.T) {
	c := qt.New(t)
	counts := make(map[string]int)
	for ix := range 300 {
		ids := homes(fmt.Sprint("entry-", ix), "elsewhere", replicas("a", "b", "c"))
		c.Assert(ids, qt.HasLen, 1)
		counts[ids[0]]++
	}
	for id, count := range counts {
		c.Assert(count > 70, qt.IsTrue, qt.Commentf("%s: %d", id, count))
	}
}

// 78 entry instances share backend servers that take 71 connections each. Were idle
// connections to servers that were only hedged to kept, all would be taken, and after
// a loss of power the servers would count them on for seconds and reset the new ones.
func TestAwayConnectionsAreNotKept(t *testing.T) {
	c := qt.New(t)
	sc := &scarcity{home: make(map[string]bool), away: make(map[string]bool)}
	sc.add("e1", "x", replicas("x", "y", "z"))
	c.Assert(sc.idle("r0"), qt.Equals, 0*awayIdle)
	c.Assert(sc.idle("r1"), qt.Equals, awayIdle)
	c.Assert(sc.idle("of another service"), qt.Equals, 0*awayIdle)
}
