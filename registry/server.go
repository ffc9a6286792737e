// Package registry keeps which backend servers exist. A Book is what was
// announced to one control instance; a Union is what an entry instance makes of
// the books of all control instances. Both are told the time and do no work of
// their own. Whether a server is quick, full or out of reach is not known here.
package registry

import "fmt"

// State says whether a backend server takes requests.
type State uint8

// The states of a backend server.
const (
	Ready    State = iota // Ready servers take requests.
	Draining              // Draining servers end what they have and should get nothing new.
	Gone                  // Gone servers have left; their id returns only with a later start.
)

// String returns the name of the state, or its number when it is not known.
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

// Server is what one incarnation of a backend server announced last. A server that
// starts again under its id is another incarnation, with a higher Born; it holds
// nothing of the one before, and its Sequence begins anew.
type Server struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint,omitempty"`
	Address    string `cbor:"3,keyasint,omitempty"` // Address is its IP:port.
	DataCentre string `cbor:"4,keyasint,omitempty"`
	Version    string `cbor:"5,keyasint,omitempty"` // Version is that of its software.
	Slots      int    `cbor:"6,keyasint,omitempty"` // Slots is how many requests it works on at once.
	State      State  `cbor:"7,keyasint,omitempty"`
	Sequence   uint64 `cbor:"8,keyasint,omitempty"`  // Sequence grows with each announcement of the incarnation.
	WarmMillis int64  `cbor:"9,keyasint,omitempty"`  // WarmMillis is for how many more milliseconds it is slow after its start.
	Born       int64  `cbor:"10,keyasint,omitempty"` // Born is when the incarnation started, in Unix milliseconds by its own clock; 0 if it doesn't say.
}

// alike reports whether the two say the same but for the sequence and for how
// long the server stays slow. Those differ in each announcement and nobody needs
// to hear of it; that a server is slow no more is news.
func (se Server) alike(other Server) bool {
	if (se.WarmMillis > 0) != (other.WarmMillis > 0) {
		return false
	}
	se.Sequence, se.WarmMillis = other.Sequence, other.WarmMillis
	return se == other
}

// Change is news of one server in the book of a control instance.
type Change struct {
	Server  Server `cbor:"1,keyasint"`
	Dropped bool   `cbor:"2,keyasint,omitempty"` // Dropped says that this book no longer hears the server, of which only the id counts; others may.
}
