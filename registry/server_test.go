package registry

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

var fullServer = Server{
	ID: "i", Service: "s", Address: "10.0.0.1:80", DataCentre: "d", Version: "v1",
	Slots: 2, State: Draining, Sequence: 4, WarmMillis: 3000, Born: 1700000000000,
}

// Guards the numbers of the fields: instances of two releases read each other's messages.
func TestCBORFieldNumbers(t *testing.T) {
	c := qt.New(t)
	fields := map[any]any{
		uint64(1): "i", uint64(2): "s", uint64(3): "10.0.0.1:80", uint64(4): "d", uint64(5): "v1",
		uint64(6): uint64(2), uint64(7): uint64(1), uint64(8): uint64(4), uint64(9): uint64(3000),
		uint64(10): uint64(1700000000000),
	}
	for _, tc := range []struct {
		name        string
		value, want any
	}{
		{"server", fullServer, fields},
		{"only the id", Server{ID: "i"}, map[any]any{uint64(1): "i"}},
		{"change", Change{Server: fullServer}, map[any]any{uint64(1): fields}},
		{"dropped", Change{Server: Server{ID: "i"}, Dropped: true}, map[any]any{uint64(1): map[any]any{uint64(1): "i"}, uint64(2): true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bs, err := cbor.Marshal(tc.value)
			qt.Assert(t, err, qt.IsNil)
			var got any
			qt.Assert(t, cbor.Unmarshal(bs, &got), qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, tc.want)
		})
	}
	var got Change
	bs, err := cbor.Marshal(Change{Server: fullServer, Dropped: true})
	c.Assert(err, qt.IsNil)
	c.Assert(cbor.Unmarshal(bs, &got), qt.IsNil)
	c.Assert(got, qt.Equals, Change{Server: fullServer, Dropped: true})
}

func TestSameContent(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*Server)
		want   bool
	}{
		{"same", func(*Server) {}, true},
		{"sequence", func(se *Server) { se.Sequence++ }, true},
		{"shorter warm-up", func(se *Server) { se.WarmMillis = 1 }, true},
		{"warm-up ended", func(se *Server) { se.WarmMillis = 0 }, false},
		{"negative warm-up", func(se *Server) { se.WarmMillis = -1 }, false},
		{"id", func(se *Server) { se.ID = "j" }, false},
		{"service", func(se *Server) { se.Service = "t" }, false},
		{"address", func(se *Server) { se.Address = "" }, false},
		{"data centre", func(se *Server) { se.DataCentre = "e" }, false},
		{"version", func(se *Server) { se.Version = "v2" }, false},
		{"slots", func(se *Server) { se.Slots++ }, false},
		{"state", func(se *Server) { se.State = Ready }, false},
		{"start time", func(se *Server) { se.Born++ }, false},
	} {
		other := fullServer
		tc.change(&other)
		qt.Assert(t, fullServer.sameContent(other), qt.Equals, tc.want, qt.Commentf(tc.name))
		qt.Assert(t, other.sameContent(fullServer), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

func TestStateString(t *testing.T) {
	for st, want := range map[State]string{Ready: "Ready", Draining: "Draining", Gone: "Gone", 9: "State(9)"} {
		qt.Assert(t, st.String(), qt.Equals, want)
	}
}
