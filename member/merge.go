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
	// suspicion is how long an instance that was doubted has to refute it.
	suspicion = 2 * time.Second
	// retention is how long what has left or gone is remembered. It is longer
	// than regions lose each other, so that nothing comes back with them.
	retention = 2 * time.Hour
)

// The events of the chart.
const (
	eventServes   chart.Event = "Serves"
	eventDrains   chart.Event = "Drains"
	eventAccused  chart.Event = "Accused"
	eventTimedOut chart.Event = "TimedOut"
	eventLeaves   chart.Event = "Leaves"
)

//go:embed instance.yaml
var instanceFile []byte

var instanceChart = chart.MustLoad(instanceFile, eventServes, eventDrains, eventAccused, eventTimedOut, eventLeaves)

// merge takes over an entry that arrived if it is newer than what is held, and
// reports whether it was. age is how long the sender has held it for doubted,
// left or orphaned: the time goes on here, or instances would teach each other
// forever what each of them forgets.
func (sp *step) merge(en *entry, age time.Duration) bool {
	old, known := sp.table.get(en.hash)
	if known && (old.key != en.key || en.version.compare(old.version) <= 0) {
		return false
	}
	it := item{entry: en}
	same := known && old.version.incarnation == en.version.incarnation
	if same {
		it.heard, it.phase = old.heard, old.phase
	}
	if en.version.status != statusVouched || age > 0 {
		it.mark = sp.now - min(age, startOffset-1)
	}
	if en.instance != nil {
		sp.mergeInstance(&it, same && old.shown)
	}
	sp.settle(it)
	return true
}

// mergeInstance brings the chart of an instance up to its new entry.
//
// A doubt that is old where it comes from may be news here: after two regions
// lost each other, each comes back with its doubts about all instances of the
// other. An instance that was shown here until now keeps its time to refute, so
// that nobody drops every instance at once.
func (sp *step) mergeInstance(it *item, shown bool) {
	if it.version.status == statusDoubted && shown {
		it.mark = sp.now
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
	case en.version.status == statusDoubted:
		return eventAccused
	case en.instance.Draining:
		return eventDrains
	default:
		return eventServes
	}
}

// settle stores an item after working out whether it is shown and whether this
// instance must speak up for it.
func (sp *step) settle(it item) {
	old, _ := sp.table.get(it.hash)
	sp.resolve(&it)
	sp.store(&old, &it)
}

func (sp *step) resolve(it *item) {
	if it.instance != nil {
		sp.settleInstance(it)
	} else {
		sp.settleServer(it)
		it.ours = sp.owned(it) && it.version.status == statusVouched
	}
}

// store puts an item in the place of an old one.
func (sp *step) store(old, it *item) {
	if *it == *old {
		return
	}
	sp.table = sp.table.with(*it)
	if it.shown == old.shown && (!it.shown || it.entry == old.entry) {
		return
	}
	if it.instance != nil {
		sp.instances = &instanceList{}
	} else {
		sp.servers = &serverList{}
	}
}

func (sp *step) settleInstance(it *item) {
	if it.instance.Name == sp.self.Name {
		sp.refute(it)
		return
	}
	switch it.version.status {
	case statusVouched:
		it.shown = true
	case statusLeft:
		it.shown = false
	default:
		it.shown = sp.now-it.mark < suspicion || (it.shown && sp.isolated(sp.now))
		if !it.shown {
			it.phase, _ = instanceChart.Next(it.phase, eventTimedOut)
		}
	}
}

// refute answers a doubt about this instance by a higher claim. An entry of a
// later incarnation is of another process under the same name; it is left be.
func (sp *step) refute(it *item) {
	it.shown = it.version.status != statusLeft
	if it.version.status != statusDoubted || it.version.incarnation != sp.self.Incarnation {
		return
	}
	sp.sequence = max(sp.sequence, it.version.sequence)
	it.entry = sp.ownEntry(statusVouched, it.version.claim+1)
	it.mark = 0
	it.phase, _ = instanceChart.Next(it.phase, instanceEvent(it.entry))
	sp.spread(it.hash, true)
}

// settleServer works out whether a server is shown: while its owner vouches for
// it, and for its time to live after that, unless it has left.
func (sp *step) settleServer(it *item) {
	if it.version.status == statusLeft {
		it.shown = false
		return
	}
	if sp.owned(it) && it.version.status == statusVouched && sp.now-it.heard >= it.patience() {
		ve := it.version
		ve.status = statusDoubted
		it.entry, it.mark = it.with(ve), sp.now
		sp.spread(it.hash, true)
	}
	vouched := it.version.status == statusVouched && sp.ownerAlive(it)
	if !vouched && sp.hears(it) {
		sp.claim(it)
		vouched = true
	}
	switch {
	case vouched:
		it.mark, it.shown = 0, true
	case it.version.status == statusVouched:
		if it.mark == 0 {
			it.mark = sp.now
		}
		it.shown = sp.now-it.mark < it.ttl()
	default:
		it.shown = sp.now-it.mark < it.ttl()-it.patience()
	}
}

// owned reports whether this instance vouches for the server.
func (sp *step) owned(it *item) bool {
	return it.version.owner == sp.self.Name && it.version.ownerIncarnation == sp.self.Incarnation
}

// hears reports whether the server announced itself here lately.
func (sp *step) hears(it *item) bool {
	return it.heard != 0 && sp.now-it.heard < it.patience()
}

// claim makes this instance the owner of a server that it hears and that nobody
// vouches for.
func (sp *step) claim(it *item) {
	ve := it.version
	ve.claim++
	ve.status = statusVouched
	ve.owner, ve.ownerIncarnation = sp.self.Name, sp.self.Incarnation
	it.entry = it.with(ve)
	sp.spread(it.hash, false)
}

// announced takes over what a server says of itself. A record that is older than
// what is held changes nothing, and neither does any of an incarnation that has
// left.
func (sp *step) announced(re backend.Record) {
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
		en := newServerEntry(&re, version{claim: 1, owner: sp.self.Name, ownerIncarnation: sp.self.Incarnation})
		it = item{entry: en}
		sp.spread(en.hash, left || re.State == backend.Draining)
	}
	it.heard = sp.now
	if left {
		it.mark = sp.now
	}
	sp.settle(it)
	sp.flushSoon()
}

// staleRecord reports whether a record is older than the version that is held
// or of an incarnation that has left.
func staleRecord(re *backend.Record, held version) bool {
	if re.Incarnation != held.incarnation {
		return re.Incarnation < held.incarnation
	}
	return held.status == statusLeft || (re.State != backend.Left && re.Sequence < held.sequence)
}

// ownEntry returns this instance's own entry.
func (sp *step) ownEntry(st status, claim uint64) *entry {
	self := sp.self
	return newInstanceEntry(&self, version{sequence: sp.sequence, claim: claim, status: st})
}

// declare stores and spreads this instance's own entry.
func (sp *step) declare(st status, claim uint64) {
	it := item{entry: sp.ownEntry(st, claim)}
	if old, ok := sp.table.get(it.hash); ok {
		it.phase = old.phase
	}
	if st == statusLeft {
		it.mark = sp.now
	}
	sp.mergeInstance(&it, false)
	sp.settle(it)
	sp.spread(it.hash, true)
}

func (sp *step) changed(self view.Instance) {
	if self == sp.self {
		return
	}
	sp.self = self
	sp.sequence++
	sp.declare(statusVouched, 1)
	sp.flush()
}

func (sp *step) leave() {
	sp.sequence++
	sp.declare(statusLeft, 1)
	sp.flush()
}
