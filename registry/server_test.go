package registry

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"balsamwinch.example/codec"
	"balsamwinch.example/identifier"
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

func TestServerCheck(t *testing.T) {
	good := Server{ID: "i-1", Service: "s", Address: "10.0.0.1:80", DataCentre: "north", Version: "v1", Slots: 2, Sequence: 1<<64 - 1, Born: 1764720000000}
	qt.Assert(t, good.Check(), qt.IsNil)
	qt.Assert(t, Server{ID: "i-1", State: Gone}.Check(), qt.IsNil)
	for _, tc := range []struct {
		change func(se *Server)
		want   string
	}{
		{func(se *Server) { se.ID = "" }, "ID: want a name, got none"},
		{func(se *Server) { se.ID = "i-\xff" }, "ID: want UTF-8"},
		{func(se *Server) { se.Service = "a\r\nb" }, "Service: want no control characters"},
		{func(se *Server) { se.Address = "[fe80::1%\r\n]:80" }, "Address: want no control characters"},
		{func(se *Server) { se.DataCentre = "\xfe" }, "DataCentre: want UTF-8"},
		{func(se *Server) { se.Version = strings.Repeat("v", 250<<10) }, "Version: want at most 256 bytes, got 256000"},
		{func(se *Server) { se.Slots = math.MaxInt64 }, "Slots: want 0 to 1048576, got 9223372036854775807"},
		{func(se *Server) { se.WarmMillis = math.MaxInt64 }, "WarmMillis: want 0 to .*"},
		{func(se *Server) { se.Born = -1 }, "Born: want 0 to .*"},
		{func(se *Server) { se.State = 9 }, "State: want 0 to 2, got 9"},
	} {
		se := good
		tc.change(&se)
		qt.Check(t, se.Check(), qt.ErrorMatches, tc.want)
	}
}

// Guards against a record that can't be used but counts: it must not enter a catalog or a
// union on any way, and the others must.
func TestInvalidRecordsAreLeftOut(t *testing.T) {
	c := qt.New(t)
	bad, good := ready("i-\xff", 9), ready("b", 1)
	gone := bad
	gone.State = Gone
	leaving := bad
	leaving.State = Draining
	ct := NewCatalog(testSilenceTimeout)
	ct.Restore(t0, []Server{bad, good}, testSilenceTimeout)
	for _, se := range []Server{bad, gone, leaving} {
		c.Check(ct.Announce(t0, se), qt.IsFalse)
		c.Check(ct.Depart(t0, se), qt.IsFalse)
		c.Check(ct.Leave(t0, se.ID), qt.IsFalse)
	}
	c.Assert(ct.Records(t0), qt.DeepEquals, []Server{good})

	un := NewUnion(time.Minute)
	un.Replace(t0, "one", []Server{bad, gone, good})
	un.Apply(t0, "one", []Change{{Server: bad}, {Server: leaving}, {Server: Server{ID: bad.ID}, Dropped: true}})
	c.Assert(un.Servers(), qt.DeepEquals, map[string][]Server{good.Service: {good}})
}

// Guards against a snapshot that is too large to be sent: a writer that invents names must not
// make a catalog outgrow a message, and a server that was heard before must stay.
func TestCatalogBoundsItsBytes(t *testing.T) {
	c := qt.New(t)
	ct := NewCatalog(testSilenceTimeout)
	c.Assert(ct.Announce(t0, ready("first", 1)), qt.IsTrue)
	for ix := range 2 * maxServers {
		se := ready(fmt.Sprintf("%0250d", ix), 1)
		se.Version, se.DataCentre = strings.Repeat("v", identifier.MaxBytes), strings.Repeat("d", identifier.MaxBytes)
		ct.Announce(t0, se)
		ct.Leave(t0, fmt.Sprintf("left-%0200d", ix))
	}
	data, err := codec.Marshal(ct.Records(t0))
	c.Assert(err, qt.IsNil)
	c.Assert(len(data) < 4<<20, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	c.Assert(ct.Announce(t0, draining("first", 2)), qt.IsTrue)
	growing := ready("first", 3)
	growing.Version = strings.Repeat("v", identifier.MaxBytes)
	ct.Announce(t0.Add(testSilenceTimeout/4), growing)
	c.Assert(ct.servers["first"].server.Version, qt.Equals, "")
	ct.Expire(t0.Add(testSilenceTimeout / 2))
	ct.Expire(t0.Add(testSilenceTimeout))
	c.Assert(ct.servers, qt.HasLen, 1)
	ct.Expire(t0.Add(5 * testSilenceTimeout / 4))
	c.Assert([]int{len(ct.servers), ct.bytes}, qt.DeepEquals, []int{0, 0})
}
