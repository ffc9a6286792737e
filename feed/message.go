// Package feed is what control instances tell entry instances, and the other way
// round: the configuration in force, the backend servers, the control instances
// and the entry instances.
//
// An entry instance keeps one link to every control instance. The first message
// on a link is the entry instance's Subscribe; the control instance answers with
// the whole Picture and then sends an Update for each change. A configuration is
// announced by its version to all and fetched by each entry instance from one
// control instance, of its own data centre if that one keeps up, as what differs from
// the version that it holds. The package decides neither which configuration is newest
// (the control instances agree on it elsewhere) nor which backend server is asked.
//
// What entry instances see of backend servers goes to two control instances, and
// what package outlier makes of it comes back to all (Seen, Found).
package feed

import (
	"balsamwinch.example/evacuation"
	"balsamwinch.example/outlier"
	"balsamwinch.example/peer"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
)

// The kinds of the messages of this package.
const (
	kindSubscribe = peer.KindFeed + iota
	kindStanding
	kindFetch
	kindDocument
	kindPicture
	kindUpdate
	kindSeen
	kindFound
	kindInvite
	kindLoadReport
)

// EntryState says what an entry instance does with callers.
type EntryState uint8

const (
	// Starting says that the instance cannot serve callers yet.
	Starting EntryState = iota
	// Ready says that callers may connect.
	Ready
	// Draining says that the instance finishes what it has and takes no new callers.
	Draining
)

// String returns the state's name.
func (es EntryState) String() string {
	switch es {
	case Starting:
		return "Starting"
	case Ready:
		return "Ready"
	case Draining:
		return "Draining"
	default:
		return "Unknown"
	}
}

// Entry is an entry instance.
type Entry struct {
	Name       string     `cbor:"1,keyasint"`
	DataCentre string     `cbor:"2,keyasint,omitempty"`
	Address    string     `cbor:"3,keyasint,omitempty"` // Address is where callers connect, as IP:port.
	State      EntryState `cbor:"4,keyasint,omitempty"`
}

// later returns whether this is told of an instance rather than another entry of
// the same name, which comes from another control instance.
func (en Entry) later(other Entry) bool {
	if en.State != other.State {
		return en.State > other.State
	}
	return en.Address > other.Address
}

// Member is a control instance.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // Address is where instances connect, as IP:port.
}

// Subscribe is the first message on a link, from the entry instance that opened
// it, or from another control instance that wants to know the backend servers.
type Subscribe struct {
	Name        string     `cbor:"1,keyasint"`
	DataCentre  string     `cbor:"2,keyasint,omitempty"`
	Address     string     `cbor:"3,keyasint,omitempty"`
	State       EntryState `cbor:"4,keyasint,omitempty"`
	Version     uint64     `cbor:"5,keyasint,omitempty"` // Version of the configuration held; 0 for none.
	FromControl bool       `cbor:"6,keyasint,omitempty"` // Listener says that it is a control instance, which no caller is sent to.
}

// Kind returns the kind of the message.
func (Subscribe) Kind() peer.Kind { return kindSubscribe }

// Standing tells a control instance the new state of the entry instance.
type StateReport struct {
	State EntryState `cbor:"1,keyasint"`
}

// Kind returns the kind of the message.
func (StateReport) Kind() peer.Kind { return kindStanding }

// Fetch asks a control instance for the configuration of a version or a newer one.
type Fetch struct {
	Version     uint64 `cbor:"1,keyasint"`
	Base        uint64 `cbor:"2,keyasint,omitempty"` // Base is the version that is held, to be told the difference; 0 asks for the whole.
	AcceptDelta bool   `cbor:"3,keyasint,omitempty"` // Framed says that the answer may be a frame of package delta.
}

// Kind returns the kind of the message.
func (Fetch) Kind() peer.Kind { return kindFetch }

// Document answers a Fetch.
type Configuration struct {
	Version uint64 `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint,omitempty"` // Data is the configuration, or its frame if there is a Digest.
	Base    uint64 `cbor:"3,keyasint,omitempty"` // Base is the version that the frame was made against; 0 for none.
	Digest  []byte `cbor:"4,keyasint,omitempty"` // Digest is that of the configuration, as delta.Frame has it.
}

// Kind returns the kind of the message.
func (Configuration) Kind() peer.Kind { return kindDocument }

// Picture is all that a control instance knows. It answers Subscribe.
type Snapshot struct {
	Name    string            `cbor:"1,keyasint"` // Name of the control instance.
	Members []Member          `cbor:"2,keyasint,omitempty"`
	Version uint64            `cbor:"3,keyasint,omitempty"` // Version of the newest configuration; 0 for none.
	Entries []Entry           `cbor:"4,keyasint,omitempty"` // Entries that have a link to this control instance.
	Servers []registry.Server `cbor:"5,keyasint,omitempty"` // Servers that announced themselves here.

	DataCentre string `cbor:"6,keyasint,omitempty"` // DataCentre is that of the control instance.
	Sharers    int    `cbor:"7,keyasint,omitempty"` // Sharers is as in Update.

	Suspects []quarantine.Record `cbor:"8,keyasint,omitempty"` // Suspects are all requests under which servers ended.

	Evacuations *evacuation.Set `cbor:"9,keyasint,omitempty"` // Evacuations are nil before the first order.
}

// Kind returns the kind of the message.
func (Snapshot) Kind() peer.Kind { return kindPicture }

// Update is what has changed since the Picture or the last Update.
type Update struct {
	Members        *[]Member         `cbor:"1,keyasint,omitempty"` // Members is the whole new list; nil if unchanged.
	Version        uint64            `cbor:"2,keyasint,omitempty"` // Version of a newer configuration; 0 if unchanged.
	Entries        []Entry           `cbor:"3,keyasint,omitempty"` // Entries are those that are new or in another state.
	RemovedEntries []string          `cbor:"4,keyasint,omitempty"` // Left names the entry instances whose link has ended.
	Changes        []registry.Change `cbor:"5,keyasint,omitempty"`
	// Sharers is how many entry instances callers are led to who share backend servers; 0
	// if unchanged, or unknown.
	Sharers int `cbor:"6,keyasint,omitempty"`
	// Suspects are requests under which servers ended, or that are cleared of that.
	Suspects []quarantine.Record `cbor:"7,keyasint,omitempty"`
	// Evacuations are newer ones; nil if unchanged.
	Evacuations *evacuation.Set `cbor:"8,keyasint,omitempty"`
}

// Kind returns the kind of the message.
func (Update) Kind() peer.Kind { return kindUpdate }

// LoadReport tells a control instance how much the entry instance carries, as a part of
// what it should.
type LoadReport struct {
	Load float32 `cbor:"1,keyasint"`
}

// Kind returns the kind of the message.
func (LoadReport) Kind() peer.Kind { return kindLoadReport }

// Seen tells a control instance what the entry instance saw of backend servers, and of
// requests under which they ended.
type Observations struct {
	Samples  []outlier.Sample    `cbor:"1,keyasint"`
	Suspects []quarantine.Record `cbor:"2,keyasint,omitempty"`
}

// Kind returns the kind of the message.
func (Observations) Kind() peer.Kind { return kindSeen }

// Found tells the entry instances what all of them together saw.
type Findings struct {
	Findings []outlier.Finding `cbor:"1,keyasint"`
}

// Kind returns the kind of the message.
func (Findings) Kind() peer.Kind { return kindFound }

// Messages returns one zero value of each message of this package, for the codec.
func Messages() []peer.Message {
	return []peer.Message{Subscribe{}, StateReport{}, Fetch{}, Configuration{}, Snapshot{}, Update{}, Observations{}, Findings{}, Invite{}, LoadReport{}}
}
