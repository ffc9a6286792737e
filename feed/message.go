// Package feed distributes the configuration in force, the backend servers, the control
// instances and the entry instances from control instances to entry instances, and
// reports of entry instances back.
//
// An entry instance keeps one link to every control instance. The first message on a link
// is the entry instance's Subscribe; the control instance answers with a full Snapshot
// and then sends an Update for each change. Control instances announce a new
// configuration by its version only. Each entry instance then fetches it from one control
// instance, in the same data centre if that one keeps up, as a delta against the version
// that it holds. The package decides neither which configuration is the newest (the
// control instances agree on that elsewhere) nor which backend server gets a request.
//
// Entry instances send their observations of backend servers to two control instances.
// Package outlier evaluates them there, and the findings are broadcast to all entry
// instances (Observations, Findings).
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
	kindStateReport
	kindFetch
	kindConfiguration
	kindSnapshot
	kindUpdate
	kindObservations
	kindFindings
	kindInvite
	kindLoadReport
	kindQuotaRequest
	kindQuotaGrant
	kindOverloadReport
	kindAdmissionLevels
	kindStallReport
	kindStalls
	kindDeparturesStored
)

// Features are the messages that an instance understands beyond those of the first release.
// An instance that gets a message of an unknown kind closes the link, so these messages are
// sent only to instances that have announced the feature.
type Features uint32

// The features, as bits.
const (
	FeatureQuotas     Features = 1 << iota // QuotaRequest, QuotaGrant
	FeatureOverload                        // OverloadReport, AdmissionLevels
	FeatureStalls                          // StallReport, Stalls
	FeatureDepartures                      // DeparturesStored
)

// supportedFeatures are the features of this release that no setting turns off.
const supportedFeatures = FeatureQuotas | FeatureDepartures

// Has reports whether all of the given features are included.
func (fe Features) Has(other Features) bool { return fe&other == other }

// EntryState says whether an entry instance accepts callers.
type EntryState uint8

const (
	// Starting means that the instance can't serve callers yet.
	Starting EntryState = iota
	// Ready means that callers may connect.
	Ready
	// Draining means that the instance finishes its requests and accepts no new callers.
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

// Entry describes an entry instance.
type Entry struct {
	Name       string     `cbor:"1,keyasint"`
	DataCentre string     `cbor:"2,keyasint,omitempty"`
	Address    string     `cbor:"3,keyasint,omitempty"` // where callers connect, as IP:port
	State      EntryState `cbor:"4,keyasint,omitempty"`
}

// overrides reports whether en is used rather than other, an entry of the same name from
// another control instance.
func (en Entry) overrides(other Entry) bool {
	if en.State != other.State {
		return en.State > other.State
	}
	return en.Address > other.Address
}

// Member describes a control instance.
type Member struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // where instances connect, as IP:port
}

// Subscribe is the first message on a link. An entry instance sends it, or another
// control instance that needs to know the backend servers.
type Subscribe struct {
	Name        string     `cbor:"1,keyasint"`
	DataCentre  string     `cbor:"2,keyasint,omitempty"`
	Address     string     `cbor:"3,keyasint,omitempty"`
	State       EntryState `cbor:"4,keyasint,omitempty"`
	Version     uint64     `cbor:"5,keyasint,omitempty"` // version of the configuration in force; 0 for none
	FromControl bool       `cbor:"6,keyasint,omitempty"` // the subscriber is a control instance, to which no caller is sent
	Features    Features   `cbor:"7,keyasint,omitempty"` // what the subscriber understands
}

// Kind returns the kind of the message.
func (Subscribe) Kind() peer.Kind { return kindSubscribe }

// StateReport informs a control instance of the entry instance's new state.
type StateReport struct {
	State EntryState `cbor:"1,keyasint"`
}

// Kind returns the kind of the message.
func (StateReport) Kind() peer.Kind { return kindStateReport }

// Fetch asks a control instance for the configuration of a version or a newer one.
type Fetch struct {
	Version     uint64 `cbor:"1,keyasint"`
	Base        uint64 `cbor:"2,keyasint,omitempty"` // version to encode a delta against; 0 requests the full configuration
	AcceptDelta bool   `cbor:"3,keyasint,omitempty"` // the answer may be a frame of package delta
}

// Kind returns the kind of the message.
func (Fetch) Kind() peer.Kind { return kindFetch }

// Configuration answers a Fetch.
type Configuration struct {
	Version uint64 `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint,omitempty"` // the configuration, or its frame if there is a Digest
	Base    uint64 `cbor:"3,keyasint,omitempty"` // version that the frame was encoded against; 0 for none
	Digest  []byte `cbor:"4,keyasint,omitempty"` // digest of the configuration, as in delta.Frame
}

// Kind returns the kind of the message.
func (Configuration) Kind() peer.Kind { return kindConfiguration }

// Snapshot is the full state of a control instance. It answers Subscribe.
type Snapshot struct {
	Name    string            `cbor:"1,keyasint"` // name of the control instance
	Members []Member          `cbor:"2,keyasint,omitempty"`
	Version uint64            `cbor:"3,keyasint,omitempty"` // version of the newest configuration; 0 for none
	Entries []Entry           `cbor:"4,keyasint,omitempty"` // entry instances with a link to this control instance
	Servers []registry.Server `cbor:"5,keyasint,omitempty"` // servers that announced themselves here

	DataCentre string `cbor:"6,keyasint,omitempty"` // data centre of the control instance
	Sharers    int    `cbor:"7,keyasint,omitempty"` // as in Update

	Suspects []quarantine.Record `cbor:"8,keyasint,omitempty"` // all requests suspected of crashing servers

	Evacuations *evacuation.Set `cbor:"9,keyasint,omitempty"` // nil before the first evacuation command

	Features Features `cbor:"10,keyasint,omitempty"` // what the control instance understands

	Departures uint64 `cbor:"11,keyasint,omitempty"` // number of the last departure in Servers; 0 for none
}

// Kind returns the kind of the message.
func (Snapshot) Kind() peer.Kind { return kindSnapshot }

// Update contains the changes since the Snapshot or the last Update.
type Update struct {
	Members        *[]Member         `cbor:"1,keyasint,omitempty"` // the full new list; nil if unchanged
	Version        uint64            `cbor:"2,keyasint,omitempty"` // version of a newer configuration; 0 if unchanged
	Entries        []Entry           `cbor:"3,keyasint,omitempty"` // new entry instances and those whose state changed
	RemovedEntries []string          `cbor:"4,keyasint,omitempty"` // names of entry instances whose link has ended
	Changes        []registry.Change `cbor:"5,keyasint,omitempty"`
	// Sharers is the number of entry instances that callers are sent to and that share
	// the backend servers; 0 if unchanged or unknown.
	Sharers int `cbor:"6,keyasint,omitempty"`
	// Suspects are requests suspected of crashing servers, or cleared of that suspicion.
	Suspects []quarantine.Record `cbor:"7,keyasint,omitempty"`
	// Evacuations are the newest ones; nil if unchanged.
	Evacuations *evacuation.Set `cbor:"8,keyasint,omitempty"`
	// Departures is the number of the last departure in Changes; 0 if there is none.
	Departures uint64 `cbor:"9,keyasint,omitempty"`
}

// Kind returns the kind of the message.
func (Update) Kind() peer.Kind { return kindUpdate }

// DeparturesStored informs a control instance that another one has stored its departures.
type DeparturesStored struct {
	Departures uint64 `cbor:"1,keyasint"` // of the Snapshot or Update with the last of them
}

// Kind returns the kind of the message.
func (DeparturesStored) Kind() peer.Kind { return kindDeparturesStored }

// LoadReport informs a control instance of the entry instance's load, as a fraction of
// its share.
type LoadReport struct {
	Load float32 `cbor:"1,keyasint"`
}

// Kind returns the kind of the message.
func (LoadReport) Kind() peer.Kind { return kindLoadReport }

// Observations are what an entry instance observed of backend servers, and of requests
// that may have crashed them.
type Observations struct {
	Samples  []outlier.Sample    `cbor:"1,keyasint"`
	Suspects []quarantine.Record `cbor:"2,keyasint,omitempty"`
}

// Kind returns the kind of the message.
func (Observations) Kind() peer.Kind { return kindObservations }

// Findings informs the entry instances of what their observations add up to.
type Findings struct {
	Findings []outlier.Finding `cbor:"1,keyasint"`
}

// Kind returns the kind of the message.
func (Findings) Kind() peer.Kind { return kindFindings }

// Messages returns one zero value of each message of this package, for the codec.
func Messages() []peer.Message {
	return []peer.Message{
		Subscribe{},
		StateReport{},
		Fetch{},
		Configuration{},
		Snapshot{},
		Update{},
		Observations{},
		Findings{},
		Invite{},
		LoadReport{},
		QuotaRequest{},
		QuotaGrant{},
		OverloadReport{},
		AdmissionLevels{},
		StallReport{},
		Stalls{},
		DeparturesStored{},
	}
}
