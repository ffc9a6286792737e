// Package registry keeps track of which backend servers exist. A Catalog holds the
// announcements to one control instance; a Union is an entry instance's view, merged from
// the catalogs of all control instances. Both get the time from their callers and start
// no goroutines. The package doesn't know whether a server is fast, at capacity or
// unreachable.
package registry

import (
	"fmt"

	"balsamwinch.example/identifier"
)

// State says whether a backend server accepts requests.
type State uint8

// The states of a backend server.
const (
	Ready    State = iota // accepts requests
	Draining              // finishes its requests and should get no new ones
	Gone                  // has left; its id returns only with a later incarnation
)

// String returns the name of the state, or its number if it is unknown.
func (st State) String() string {
	switch st {
	case Ready:
		return "Ready"
	case Draining:
		return "Draining"
	case Gone:
		return "Gone"
	default:
		return fmt.Sprintf("State(%d)", uint8(st))
	}
}

// Server is the last announcement of an incarnation of a backend server. A server that
// restarts under its id is a new incarnation with a higher Born. It inherits nothing from
// the one before, and its Sequence starts again.
type Server struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint,omitempty"`
	Address    string `cbor:"3,keyasint,omitempty"` // IP:port
	DataCentre string `cbor:"4,keyasint,omitempty"`
	Version    string `cbor:"5,keyasint,omitempty"` // software version
	Slots      int    `cbor:"6,keyasint,omitempty"` // maximum number of concurrent requests
	State      State  `cbor:"7,keyasint,omitempty"`
	Sequence   uint64 `cbor:"8,keyasint,omitempty"`  // rises with each announcement of the incarnation
	WarmMillis int64  `cbor:"9,keyasint,omitempty"`  // remaining warm-up time in milliseconds
	Born       int64  `cbor:"10,keyasint,omitempty"` // start of the incarnation in Unix milliseconds by its own clock; 0 if not announced
}

// Bounds on the numbers that a server announces. Sums over the servers of a service, and a
// warm-up as a time.Duration, stay exact within them.
const (
	maxSlots      = 1 << 20
	maxWarmMillis = 1 << 31
	maxBorn       = 1 << 53
)

// Check returns an *identifier.Error if a record can't be one of a backend server because of
// its texts or numbers. Such a record may not be stored, sent or used: its texts are written
// into heads of requests and logs, and its size and numbers count for all servers together.
func (se Server) Check() error {
	if err := identifier.Check("ID", se.ID); err != nil {
		return err
	}
	for _, te := range [...]struct{ field, text string }{
		{"Service", se.Service}, {"Address", se.Address}, {"DataCentre", se.DataCentre}, {"Version", se.Version},
	} {
		if err := identifier.CheckOptional(te.field, te.text); err != nil {
			return err
		}
	}
	for _, nu := range [...]struct {
		field        string
		value, limit int64
	}{
		{"Slots", int64(se.Slots), maxSlots}, {"WarmMillis", se.WarmMillis, maxWarmMillis}, {"Born", se.Born, maxBorn}, {"State", int64(se.State), int64(Gone)},
	} {
		if nu.value < 0 || nu.value > nu.limit {
			return &identifier.Error{Field: nu.field, Detail: fmt.Sprintf("want 0 to %d, got %d", nu.limit, nu.value)}
		}
	}
	return nil
}

// textBytes returns the length of the texts.
func (se Server) textBytes() int {
	return len(se.ID) + len(se.Service) + len(se.Address) + len(se.DataCentre) + len(se.Version)
}

// sameContent reports whether two announcements differ at most in the sequence and the
// remaining warm-up. Those change with each announcement and need not be published; only
// the end of the warm-up must be.
func (se Server) sameContent(other Server) bool {
	if (se.WarmMillis > 0) != (other.WarmMillis > 0) {
		return false
	}
	se.Sequence, se.WarmMillis = other.Sequence, other.WarmMillis
	return se == other
}

// Change is a change of one server in the catalog of a control instance.
type Change struct {
	Server  Server `cbor:"1,keyasint"`
	Dropped bool   `cbor:"2,keyasint,omitempty"` // this catalog no longer hears the server, others may; only the id is set
}
