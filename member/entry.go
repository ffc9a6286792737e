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

// status is the status of a subject within one epoch.
type status uint8

const (
	// statusAlive means that the owner receives the server's announcements, or
	// that the instance itself reports that it is running.
	statusAlive status = iota
	// statusSuspected means that the owner no longer receives the server's
	// announcements, or that another instance could not reach the instance. A
	// higher epoch may refute it in time.
	statusSuspected
	// statusLeft is the final status of an incarnation that announced that it
	// left.
	statusLeft
)

// version orders the entries of one subject. All instances keep the entry with the
// highest version.
type version struct {
	incarnation      uint64
	sequence         uint64
	epoch            uint64 // increases when another owner takes over or a suspicion is refuted
	status           status
	owner            string // instance that vouches for the subject
	ownerIncarnation uint64
}

// compare orders versions from older to newer.
//
// An incarnation that has left stays left, whatever other entries say. Otherwise a
// server that has left would get requests again when an old announcement arrives
// late or comes from an instance that was partitioned.
func (ve version) compare(ot version) int {
	return cmp.Or(
		cmp.Compare(ve.incarnation, ot.incarnation),
		cmp.Compare(ve.left(), ot.left()),
		cmp.Compare(ve.sequence, ot.sequence),
		cmp.Compare(ve.epoch, ot.epoch),
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

// Key prefixes, because a backend server and an instance may have the same name.
const (
	serverPrefix   = "s/"
	instancePrefix = "i/"
)

// entry is the replicated state of a subject: a backend server's record or an
// instance. It is immutable.
type entry struct {
	key      string
	hash     uint64 // hash of key, by which the table is ordered
	sum      uint64 // checksum of key and version
	version  version
	record   *backend.Record // nil for an instance
	instance *view.Instance  // nil for a backend server
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
	data = binary.AppendUvarint(data, ve.epoch)
	data = append(data, byte(ve.status))
	data = binary.AppendUvarint(data, ve.ownerIncarnation)
	data = append(data, ve.owner...)
	en.sum = xxhash.Sum64(data)
	return en
}

// withVersion returns the entry with another version.
func (en *entry) withVersion(ve version) *entry {
	return newEntry(&entry{key: en.key, version: ve, record: en.record, instance: en.instance})
}

// The TTL of records without one, and the bounds of the others.
const (
	defaultTTL = 10 * time.Second
	minTTL     = time.Second
	maxTTL     = 10 * time.Minute
)

// ttl returns for how long the server stays listed after its last announcement.
func (en *entry) ttl() time.Duration {
	ttl := en.record.TTL()
	if ttl <= 0 {
		ttl = defaultTTL
	}
	return min(max(ttl, minTTL), maxTTL)
}

// silenceTimeout returns for how long the owner vouches for the server without an
// announcement. The rest of the TTL is left for another instance to take ownership.
func (en *entry) silenceTimeout() time.Duration {
	return en.ttl() * 2 / 3
}

// item is an entry with the local state of one instance about it. Times are as in
// step.now; zero means unset.
type item struct {
	*entry
	// lastHeard is when the server last announced itself to this instance, or
	// when the instance last sent a message.
	lastHeard time.Duration
	// unavailableSince is since when the entry is suspected or left, or its
	// owner gone.
	unavailableSince time.Duration
	listed           bool
	ownedHere        bool        // whether this instance vouches for the server
	phase            chart.State // state in the chart; set only for instances
}

// timed reports whether the item may change by the passing of time alone.
func (it *item) timed() bool {
	return it.ownedHere || it.unavailableSince != 0
}
