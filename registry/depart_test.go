package registry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a departure that a control instance ignores, or one that takes a later
// incarnation out of service.
func TestCatalogDepart(t *testing.T) {
	with := func(se Server, st State, born int64) Server {
		se.State, se.Born = st, born
		return se
	}
	left := func(born int64) Server { return Server{ID: "a", State: Gone, Born: born} }
	for _, tc := range []struct {
		name      string
		announced []Server
		departed  Server
		changed   bool
		want      []State // of "a"; empty if it isn't in the records
	}{
		{"draining, unknown", nil, draining("a", 3), true, []State{Draining}},
		{"draining, ready before", []Server{ready("a", 2)}, draining("a", 3), true, []State{Draining}},
		{"draining, ready with a later sequence", []Server{ready("a", 4)}, draining("a", 3), true, []State{Draining}},
		{"draining, draining before", []Server{draining("a", 2)}, draining("a", 3), false, []State{Draining}},
		{"draining, left before", []Server{left(0)}, draining("a", 3), false, []State{Gone}},
		{"draining, a later incarnation is ready", []Server{with(ready("a", 1), Ready, 20)}, with(draining("a", 3), Draining, 10), false, []State{Ready}},
		{"draining, an earlier incarnation has left", []Server{left(10)}, with(draining("a", 3), Draining, 20), true, []State{Draining}},
		{"gone, unknown", nil, left(0), true, []State{Gone}},
		{"gone, ready before", []Server{ready("a", 4)}, left(0), true, []State{Gone}},
		{"gone, gone before", []Server{left(0)}, left(0), false, []State{Gone}},
		{"gone, a later incarnation is ready", []Server{with(ready("a", 1), Ready, 20)}, left(10), false, []State{Ready}},
		{"ready", nil, ready("a", 3), false, nil},
		{"no id", nil, Server{State: Draining}, false, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ct := NewCatalog(testSilenceTimeout)
			for _, se := range tc.announced {
				ct.Announce(t0, se)
			}
			qt.Assert(t, ct.Depart(t0, tc.departed), qt.Equals, tc.changed)
			var states []State
			for _, se := range ct.Records(t0) {
				states = append(states, se.State)
			}
			qt.Assert(t, states, qt.DeepEquals, tc.want)
			for _, se := range ct.Departing(t0) {
				qt.Assert(t, se.State, qt.Not(qt.Equals), Ready)
			}
		})
	}
}
