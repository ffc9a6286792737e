package member

import (
	"cmp"
	"fmt"
	"time"

	"balsamwinch.example/backend"
	"balsamwinch.example/peer"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/view"
)

// The kinds of this package's messages.
const (
	kindDigest   = peer.KindMember + 1
	kindCompare  = peer.KindMember + 2
	kindTransfer = peer.KindMember + 3
)

// Digest starts a comparison of tables and is also a probe of the receiver. Its
// size is independent of the size of the table.
type Digest struct {
	Sum uint64 `cbor:"1,keyasint"`
	// Self is the sender's own entry, for a receiver that may not know it.
	Self *Entry `cbor:"2,keyasint,omitempty"`
}

// Compare continues a comparison where tables differ. An empty one answers a Digest
// and means that the tables are equal.
type Compare struct {
	Branches []Branch `cbor:"1,keyasint,omitempty"`
	Leaves   []Leaf   `cbor:"2,keyasint,omitempty"`
}

// Branch gives the checksums and entry counts of the sender's table under the
// children of a path.
type Branch struct {
	Path   path     `cbor:"1,keyasint"`
	Sums   []uint64 `cbor:"2,keyasint"`
	Counts []int    `cbor:"3,keyasint"`
}

// Leaf gives the versions of the sender's entries under a path.
type Leaf struct {
	Path     path             `cbor:"1,keyasint"`
	Versions []VersionSummary `cbor:"2,keyasint"`
}

// VersionSummary is the version of an entry in compact form.
type VersionSummary struct {
	_           struct{} `cbor:",toarray"`
	Hash        uint64
	Check       uint32 // checksum that distinguishes versions with equal numbers
	Incarnation uint64
	Left        int
	Sequence    uint64
	Epoch       uint64
}

// Transfer sends entries and requests others by their hashes.
type Transfer struct {
	Entries   []Entry  `cbor:"1,keyasint,omitempty"`
	Requested []uint64 `cbor:"2,keyasint,omitempty"`
	Forward   bool     `cbor:"3,keyasint,omitempty"` // whether the receiver pushes new entries on to others
}

// Entry is the wire form of an entry. Exactly one of Record and Instance is set.
type Entry struct {
	Record           *Record        `cbor:"1,keyasint,omitempty"`
	Instance         *view.Instance `cbor:"2,keyasint,omitempty"`
	Incarnation      uint64         `cbor:"3,keyasint"`
	Sequence         uint64         `cbor:"4,keyasint,omitempty"`
	Epoch            uint64         `cbor:"5,keyasint,omitempty"`
	Status           uint8          `cbor:"6,keyasint,omitempty"`
	Owner            string         `cbor:"7,keyasint,omitempty"`
	OwnerIncarnation uint64         `cbor:"8,keyasint,omitempty"`
	// AgeMillis is for how long the entry has been suspected or left, or its
	// owner gone, in the sender's view.
	AgeMillis int64 `cbor:"9,keyasint,omitempty"`
}

// Record is the wire form of a backend.Record, without the fields that are in
// Entry.
type Record struct {
	Server          string            `cbor:"1,keyasint"`
	Service         string            `cbor:"2,keyasint,omitempty"`
	Address         string            `cbor:"3,keyasint,omitempty"`
	DataCentre      string            `cbor:"4,keyasint,omitempty"`
	Labels          map[string]string `cbor:"5,keyasint,omitempty"`
	State           backend.State     `cbor:"6,keyasint,omitempty"`
	Slots           int               `cbor:"7,keyasint,omitempty"`
	ConnectionLimit int               `cbor:"8,keyasint,omitempty"`
	Holdings        []Holding         `cbor:"9,keyasint,omitempty"`
	TTLMillis       int64             `cbor:"10,keyasint,omitempty"`
}

// Holding is the wire form of a backend.Holding.
type Holding struct {
	_         struct{} `cbor:",toarray"`
	Shard     string
	Partition uint64
	Version   uint64
}

// Kind implements peer.Message.
func (Digest) Kind() peer.Kind { return kindDigest }

// Kind implements peer.Message.
func (Compare) Kind() peer.Kind { return kindCompare }

// Kind implements peer.Message.
func (Transfer) Kind() peer.Kind { return kindTransfer }

// Messages returns one zero value of each message type, for the codec.
func Messages() []peer.Message {
	return []peer.Message{Digest{}, Compare{}, Transfer{}}
}

// versionSummary returns the version of an item in compact form.
func (it *item) versionSummary() VersionSummary {
	ve := it.version
	return VersionSummary{
		Hash: it.hash, Check: uint32(it.sum), Incarnation: ve.incarnation,
		Left: ve.left(), Sequence: ve.sequence, Epoch: ve.epoch,
	}
}

// compare orders versions of one subject by their numbers. Versions that differ
// only in Check compare equal.
func (vs VersionSummary) compare(ot VersionSummary) int {
	return cmp.Or(
		cmp.Compare(vs.Incarnation, ot.Incarnation),
		cmp.Compare(vs.Left, ot.Left),
		cmp.Compare(vs.Sequence, ot.Sequence),
		cmp.Compare(vs.Epoch, ot.Epoch),
	)
}

// pack returns the wire form of an item.
func (sp *step) pack(it item) Entry {
	ve := it.version
	we := Entry{
		Instance: it.instance, Incarnation: ve.incarnation, Sequence: ve.sequence,
		Epoch: ve.epoch, Status: uint8(ve.status),
	}
	if it.unavailableSince != 0 {
		we.AgeMillis = max(sp.now-it.unavailableSince, 0).Milliseconds()
	}
	if it.record != nil {
		we.Record = packRecord(it.record)
		we.Owner, we.OwnerIncarnation = ve.owner, ve.ownerIncarnation
	}
	return we
}

// unpack returns the entry of its wire form, or an error if it has no subject or an
// unknown status.
func (we Entry) unpack() (*entry, error) {
	ve := version{
		incarnation: we.Incarnation, sequence: we.Sequence, epoch: we.Epoch,
		status: status(we.Status), owner: we.Owner, ownerIncarnation: we.OwnerIncarnation,
	}
	switch {
	case ve.status > statusLeft:
		return nil, fmt.Errorf("member: unknown entry status %d", we.Status)
	case we.Record != nil && we.Record.Server != "":
		re := we.Record.unpack()
		re.Incarnation, re.Sequence = we.Incarnation, we.Sequence
		return newServerEntry(&re, ve), nil
	case we.Instance != nil && we.Instance.Name != "" && we.Instance.Incarnation == we.Incarnation:
		return newInstanceEntry(we.Instance, ve), nil
	default:
		return nil, fmt.Errorf("member: entry has neither a valid record nor a valid instance")
	}
}

func (we Entry) age() time.Duration {
	return time.Duration(max(we.AgeMillis, 0)) * time.Millisecond
}

func packRecord(re *backend.Record) *Record {
	wr := &Record{
		Server: re.Server, Service: re.Service, Address: re.Address, DataCentre: re.DataCentre,
		Labels: re.Labels, State: re.State, Slots: re.Slots, ConnectionLimit: re.ConnectionLimit,
		TTLMillis: re.TTLMillis,
	}
	for _, ho := range re.Holdings {
		wr.Holdings = append(wr.Holdings, Holding{Shard: ho.Shard, Partition: ho.Snapshot.Partition, Version: ho.Snapshot.Version})
	}
	return wr
}

func (wr *Record) unpack() backend.Record {
	re := backend.Record{
		Server: wr.Server, Service: wr.Service, Address: wr.Address, DataCentre: wr.DataCentre,
		Labels: wr.Labels, State: wr.State, Slots: wr.Slots, ConnectionLimit: wr.ConnectionLimit,
		TTLMillis: wr.TTLMillis,
	}
	for _, wh := range wr.Holdings {
		id := snapshot.ID{Partition: wh.Partition, Version: wh.Version}
		re.Holdings = append(re.Holdings, backend.Holding{Shard: wh.Shard, Snapshot: id})
	}
	return re
}
