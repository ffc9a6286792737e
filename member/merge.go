package member

import (
	_ "embed"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamwinch.example/backend"
	"balsamwinch.example/chart"
	"balsamwinch.example/view"
)

const (
	// suspicionTimeout is how long a suspected instance has to refute the
	// suspicion.
	suspicionTimeout = 2 * time.Second
	// tombstoneTTL is for how long entries of servers and instances that have
	// left or gone are kept. It is longer than partitions between regions last,
	// so that no such entry comes back after one.
	tombstoneTTL = 2 * time.Hour
)

// The events of the chart.
const (
	eventServes    chart.Event = "Serves"
	eventDrains    chart.Event = "Drains"
	eventSuspected chart.Event = "Accused"
	eventTimedOut  chart.Event = "TimedOut"
	eventLeaves    chart.Event = "Leaves"
)

//go:embed instance.yaml
var instanceChartYAML []byte

var instanceChart = chart.MustLoad(instanceChartYAML, eventServes, eventDrains, eventSuspected, eventTimedOut, eventLeaves)

// merge stores a received entry if it is newer than the present one and reports
// whether it was. age is for how long the entry has been suspected, left or
// orphaned in the sender's view. The time continues to count from there; otherwise
// instances would reintroduce to each other forever what each of them has dropped.
func (sp *step) merge(en *entry, age time.Duration) bool {
	old, known := sp.table.get(en.hash)
	if known && (old.key != en.key || en.version.compare(old.version) <= 0) {
		return false
	}
	it := item{entry: en}
	sameIncarnation := known && old.version.incarnation == en.version.incarnation
	if sameIncarnation {
		it.lastHeard, it.phase = old.lastHeard, old.phase
	}
	if en.version.status != statusAlive || age > 0 {
		it.unavailableSince = sp.now - min(age, startOffset-1)
	}
	if en.instance != nil {
		sp.mergeInstance(&it, sameIncarnation && old.listed)
	}
	sp.resolveAndStore(it)
	return true
}

// mergeInstance applies the new entry of an instance to its state chart.
//
// A suspicion that is old at the sender may be new here: after a partition between
// two regions, each region sends its suspicions about all instances of the other.
// An instance that was listed here until now gets the full suspicionTimeout, so
// that not all instances are dropped at once.
func (sp *step) mergeInstance(it *item, wasListed bool) {
	if it.version.status == statusSuspected && wasListed {
		it.unavailableSince = sp.now
	}
	if it.phase == "" {
		it.phase = instanceChart.Initial()
	}
	it.phase, _ = instanceChart.Next(it.phase, instanceEvent(it.entry))
}

func instanceEvent(en *entry) chart.Event {
	switch {
	case en.version.status == statusLeft:
		return eventLeaves
	case en.version.status == statusSuspected:
		return eventSuspected
	case en.instance.Draining:
		return eventDrains
	default:
		return eventServes
	}
}

// resolveAndStore brings an item up to date and replaces the stored one.
func (sp *step) resolveAndStore(it item) {
	old, _ := sp.table.get(it.hash)
	sp.resolve(&it)
	sp.store(&old, &it)
}

// resolve decides whether an item is listed, and changes its entry if this instance
// must refute a suspicion, suspect the server or take ownership of it.
func (sp *step) resolve(it *item) {
	if it.instance != nil {
		sp.resolveInstance(it)
	} else {
		sp.resolveServer(it)
		it.ownedHere = sp.isOwner(it) && it.version.status == statusAlive
	}
}

// store replaces an item and invalidates the lists that it is in.
func (sp *step) store(old, it *item) {
	if *it == *old {
		return
	}
	sp.table = sp.table.with(*it)
	if it.listed == old.listed && (!it.listed || it.entry == old.entry) {
		return
	}
	if it.instance != nil {
		sp.instances = &instanceList{}
	} else {
		sp.servers = &serverList{}
	}
}

func (sp *step) resolveInstance(it *item) {
	if it.instance.Name == sp.self.Name {
		sp.refute(it)
		return
	}
	switch it.version.status {
	case statusAlive:
		it.listed = true
	case statusLeft:
		it.listed = false
	default:
		it.listed = sp.now-it.unavailableSince < suspicionTimeout || (it.listed && sp.isolated(sp.now))
		if !it.listed {
			it.phase, _ = instanceChart.Next(it.phase, eventTimedOut)
		}
	}
}

// refute answers a suspicion of this instance by a higher epoch. An entry with a
// later incarnation belongs to another process with the same name and is left
// unchanged.
func (sp *step) refute(it *item) {
	it.listed = it.version.status != statusLeft
	if it.version.status != statusSuspected || it.version.incarnation != sp.self.Incarnation {
		return
	}
	sp.sequence = max(sp.sequence, it.version.sequence)
	it.entry = sp.ownEntry(statusAlive, it.version.epoch+1)
	it.unavailableSince = 0
	it.phase, _ = instanceChart.Next(it.phase, instanceEvent(it.entry))
	sp.queuePush(it.hash, true)
}

// resolveServer decides whether a server is listed: while its owner vouches for it,
// and for its TTL after that, unless it has left. It also suspects an owned server
// that is silent, and takes ownership of a server that announces itself here while
// no other instance vouches for it.
func (sp *step) resolveServer(it *item) {
	if it.version.status == statusLeft {
		it.listed = false
		return
	}
	if sp.isOwner(it) && it.version.status == statusAlive && sp.now-it.lastHeard >= it.silenceTimeout() {
		ve := it.version
		ve.status = statusSuspected
		it.entry, it.unavailableSince = it.withVersion(ve), sp.now
		sp.queuePush(it.hash, true)
	}
	alive := it.version.status == statusAlive && sp.ownerAlive(it)
	if !alive && sp.heardRecently(it) {
		sp.takeOwnership(it)
		alive = true
	}
	switch {
	case alive:
		it.unavailableSince, it.listed = 0, true
	case it.version.status == statusAlive:
		if it.unavailableSince == 0 {
			it.unavailableSince = sp.now
		}
		it.listed = sp.now-it.unavailableSince < it.ttl()
	default:
		it.listed = sp.now-it.unavailableSince < it.ttl()-it.silenceTimeout()
	}
}

// isOwner reports whether this instance is the owner of the server.
func (sp *step) isOwner(it *item) bool {
	return it.version.owner == sp.self.Name && it.version.ownerIncarnation == sp.self.Incarnation
}

// heardRecently reports whether the server announced itself to this instance within
// its silenceTimeout.
func (sp *step) heardRecently(it *item) bool {
	return it.lastHeard != 0 && sp.now-it.lastHeard < it.silenceTimeout()
}

// takeOwnership makes this instance the owner of a server.
func (sp *step) takeOwnership(it *item) {
	ve := it.version
	ve.epoch++
	ve.status = statusAlive
	ve.owner, ve.ownerIncarnation = sp.self.Name, sp.self.Incarnation
	it.entry = it.withVersion(ve)
	sp.queuePush(it.hash, false)
}

// handleAnnouncement stores the record that a server announced. It ignores a record
// that is older than the present one or of an incarnation that has left.
func (sp *step) handleAnnouncement(re backend.Record) {
	if re.Server == "" {
		return
	}
	key := serverPrefix + re.Server
	it, known := sp.table.get(xxhash.Sum64String(key))
	left := re.State == backend.Left
	switch {
	case known && (it.key != key || staleRecord(&re, it.version)):
		return
	case known && it.version.incarnation == re.Incarnation && it.version.sequence == re.Sequence && !left:
	default:
		en := newServerEntry(&re, version{epoch: 1, owner: sp.self.Name, ownerIncarnation: sp.self.Incarnation})
		it = item{entry: en}
		sp.queuePush(en.hash, left || re.State == backend.Draining)
	}
	it.lastHeard = sp.now
	if left {
		it.unavailableSince = sp.now
	}
	sp.resolveAndStore(it)
	sp.flushRateLimited()
}

// staleRecord reports whether a record is older than the present version or of an
// incarnation that has left.
func staleRecord(re *backend.Record, present version) bool {
	if re.Incarnation != present.incarnation {
		return re.Incarnation < present.incarnation
	}
	return present.status == statusLeft || (re.State != backend.Left && re.Sequence < present.sequence)
}

// ownEntry returns this instance's own entry.
func (sp *step) ownEntry(st status, epoch uint64) *entry {
	self := sp.self
	return newInstanceEntry(&self, version{sequence: sp.sequence, epoch: epoch, status: st})
}

// publishSelf stores this instance's own entry and queues it for pushing.
func (sp *step) publishSelf(st status, epoch uint64) {
	it := item{entry: sp.ownEntry(st, epoch)}
	if old, ok := sp.table.get(it.hash); ok {
		it.phase = old.phase
	}
	if st == statusLeft {
		it.unavailableSince = sp.now
	}
	sp.mergeInstance(&it, false)
	sp.resolveAndStore(it)
	sp.queuePush(it.hash, true)
}

func (sp *step) handleSelfChanged(self view.Instance) {
	if self == sp.self {
		return
	}
	sp.self = self
	sp.sequence++
	sp.publishSelf(statusAlive, 1)
	sp.flush()
}

func (sp *step) leave() {
	sp.sequence++
	sp.publishSelf(statusLeft, 1)
	sp.flush()
}
