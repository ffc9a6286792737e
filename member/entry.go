package member

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamwinch.example/backend"
	"balsamwinch.example/chart"
	"balsamwinch.example/view"
)

// status says what is held of a subject within one claim.
type status uint8

const (
	// statusVouched says that the owner hears the server, or that the instance
	// itself says that it is there.
	statusVouched status = iota
	// statusDoubted says that the owner no longer hears the server, or that
	// somebody could not reach the instance. A new claim may refute it in time.
	statusDoubted
	// statusLeft is the last word of an incarnation.
	statusLeft
)

// version orders the entries of one subject. Of two entries the one with the
// higher version wins everywhere.
type version struct {
	incarnation      uint64
	sequence         uint64
	claim            uint64 // claim rises when another owner takes over or a doubt is refuted.
	status           status
	owner            string // owner is the instance that vouches.
	ownerIncarnation uint64
}

// compare orders versions from older to newer.
//
// It guards against a server that has left and gets work again because an old
// announcement arrives late or comes back from an instance that was cut off: an
// incarnation that has left stays left, whatever else is said of it.
func (ve version) compare(ot version) int {
	return cmp.Or(
		cmp.Compare(ve.incarnation, ot.incarnation),
		cmp.Compare(ve.left(), ot.left()),
		cmp.Compare(ve.sequence, ot.sequence),
		cmp.Compare(ve.claim, ot.claim),
		cmp.Compare(ve.owner, ot.owner),
		cmp.Compare(ve.ownerIncarnation, ot.ownerIncarnation),
		cmp.Compare(ve.status, ot.status),
	)
}

func (ve version) left() int {
	if ve.status == statusLeft {
		return 1
	}
	return 0
}

// Keys of the table: a backend server and an instance may bear the same name.
const (
	serverPrefix   = "s/"
	instancePrefix = "i/"
)

// entry is what all instances hold alike of a subject: a backend server's record
// or an instance. It is immutable.
type entry struct {
	key      string
	hash     uint64 // hash is the place of the key in the table.
	sum      uint64 // sum stands for key and version in sums over the table.
	version  version
	record   *backend.Record // record is nil for an instance.
	instance *view.Instance  // instance is nil for a backend server.
}

func newServerEntry(re *backend.Record, ve version) *entry {
	ve.incarnation, ve.sequence = re.Incarnation, re.Sequence
	if re.State == backend.Left {
		ve.status = statusLeft
	}
	return newEntry(&entry{key: serverPrefix + re.Server, version: ve, record: re})
}

func newInstanceEntry(in *view.Instance, ve version) *entry {
	ve.incarnation = in.Incarnation
	ve.owner, ve.ownerIncarnation = in.Name, in.Incarnation
	return newEntry(&entry{key: instancePrefix + in.Name, version: ve, instance: in})
}

func newEntry(en *entry) *entry {
	en.hash = xxhash.Sum64String(en.key)
	ve := en.version
	data := make([]byte, 0, len(en.key)+len(ve.owner)+5*binary.MaxVarintLen64)
	data = append(data, en.key...)
	data = binary.AppendUvarint(data, ve.incarnation)
	data = binary.AppendUvarint(data, ve.sequence)
	data = binary.AppendUvarint(data, ve.claim)
	data = append(data, byte(ve.status))
	data = binary.AppendUvarint(data, ve.ownerIncarnation)
	data = append(data, ve.owner...)
	en.sum = xxhash.Sum64(data)
	return en
}

// with returns the entry under another version.
func (en *entry) with(ve version) *entry {
	return newEntry(&entry{key: en.key, version: ve, record: en.record, instance: en.instance})
}

// Times to live of records are kept between these bounds.
const (
	defaultTTL = 10 * time.Second
	minTTL     = time.Second
	maxTTL     = 10 * time.Minute
)

// ttl returns how long the server may be silent.
func (en *entry) ttl() time.Duration {
	ttl := en.record.TTL()
	if ttl <= 0 {
		ttl = defaultTTL
	}
	return min(max(ttl, minTTL), maxTTL)
}

// patience returns for how long the owner vouches without hearing the server.
// The rest of the time to live is left for another instance to claim it.
func (en *entry) patience() time.Duration {
	return en.ttl() * 2 / 3
}

// item is what one instance holds of a subject. Times are since the origin of
// the State; zero means that a time is not set.
type item struct {
	*entry
	// heard is when the server last announced itself here, or when the instance
	// last sent a message.
	heard time.Duration
	// mark is since when the entry is doubted or left, or its owner gone.
	mark  time.Duration
	shown bool
	ours  bool        // ours says that this instance vouches for the server.
	phase chart.State // phase is set for instances.
}

// timed reports whether the item may change as time passes.
func (it *item) timed() bool {
	return it.ours || it.mark != 0
}
