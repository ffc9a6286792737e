package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// mostPast bounds the ids that a union remembers after they are no longer listed.
const mostPast = 10000

// Union is what an entry instance knows of the backend servers from the books
// of all control instances, its sources. It is safe for concurrent use.
//
// An incarnation that a source calls Gone never returns, and one that a source calls
// Draining stays so; a later one under the same id replaces it.
//
// Of two ids at one address the one first heard of later is
// listed. The older one isn't, and it is Gone for good once it has been held by
// no connected source for the time hold, or the newer one leaves while it isn't.
//
// So the older one returns only if the newer one leaves while a connected source
// still hears the older. Then the newer was the wrong one: an announcement that
// was held up by a cut came after another incarnation had registered at its
// address, and this process started in between and had not known it before. It
// would show as a healthy server that gets no requests from this process for as
// long as it runs. The rule holds because a process that ended announces nothing
// more: its id is refused at the address (MarkGone) or falls silent, and sources
// hear the other one meanwhile.
type Union struct {
	hold time.Duration

	mu      sync.Mutex
	wa      watch
	sources map[string]*source
	items   map[string]*item
	spots   map[string][]*item // spots holds the items of an address, the one first heard of last at the end.
	past    *memory[fate]
	named   map[string]bool // named are the services in use; nil for all.
	count   uint64          // count is how many ids were heard of for the first time.

	version uint64
	touched map[string]struct{}          // touched holds the addresses that must be looked at before the call ends.
	changed bool                         // changed says that groups differ since version was set.
	groups  map[string]map[string]Server // groups holds the listed servers by service and id.
	dirty   map[string]struct{}          // dirty holds the services whose group differs from listed.
	listed  map[string][]Server          // listed is what Servers returned last; it is never changed.
}

// NewUnion returns an empty union. A server that no connected source has held
// for the time hold leaves it, though its id may return.
func NewUnion(hold time.Duration) *Union {
	return &Union{
		hold:    hold,
		wa:      watch{gap: hold / 2},
		sources: make(map[string]*source),
		items:   make(map[string]*item),
		spots:   make(map[string][]*item),
		past:    newMemory[fate](mostPast),
		touched: make(map[string]struct{}),
		groups:  make(map[string]map[string]Server),
		dirty:   make(map[string]struct{}),
		listed:  make(map[string][]Server),
	}
}

// Replace takes the whole book of a source, which is connected from then on.
// Servers in it count as first heard of in the order of the book.
func (un *Union) Replace(now time.Time, source string, ses []Server) {
	un.mu.Lock()
	defer un.mu.Unlock()
	un.wa.look(now)
	so := un.source(source)
	before := so.held
	so.held = make(map[string]*item, len(ses))
	for _, se := range ses {
		un.observe(so, se)
	}
	for id, it := range before {
		if so.held[id] != it {
			un.release(so, it)
		}
	}
	un.publish()
}

// Apply takes changes in the book of a source, in their order. The source
// counts as connected; after Disconnect, Replace must come first.
func (un *Union) Apply(now time.Time, source string, chs []Change) {
	un.mu.Lock()
	defer un.mu.Unlock()
	un.wa.look(now)
	so := un.source(source)
	for _, ch := range chs {
		if !ch.Dropped {
			un.observe(so, ch.Server)
			continue
		}
		if it, ok := so.held[ch.Server.ID]; ok {
			delete(so.held, ch.Server.ID)
			un.release(so, it)
		}
	}
	un.publish()
}

// Disconnect takes that the source can't be heard. What it held stays as it is,
// but once another source is connected it leaves after the time hold, unless a
// connected one holds it.
func (un *Union) Disconnect(now time.Time, source string) {
	un.mu.Lock()
	defer un.mu.Unlock()
	at := un.wa.look(now)
	so, ok := un.sources[source]
	if !ok || !so.connected {
		return
	}
	for _, it := range so.held {
		it.at = at
	}
	so.connected = false
}

// Forget takes that the source is no member any more. What only it held leaves
// after the time hold.
func (un *Union) RemoveSource(source string) {
	un.mu.Lock()
	defer un.mu.Unlock()
	so, ok := un.sources[source]
	if !ok {
		return
	}
	delete(un.sources, source)
	for _, it := range so.held {
		un.release(so, it)
	}
}

// Name takes which services are in use. A server of another service stays listed, but
// never in the place of one of these that has the same address. The map must not be
// changed later.
func (un *Union) SetServices(services map[string]bool) {
	un.mu.Lock()
	defer un.mu.Unlock()
	un.named = services
	for ad, its := range un.spots {
		if len(its) > 1 {
			un.touched[ad] = struct{}{}
		}
	}
	un.publish()
}

// MarkGone takes that the server at the id's address said that it is another
// incarnation, so that the id never returns.
func (un *Union) MarkGone(id string) {
	un.mu.Lock()
	defer un.mu.Unlock()
	un.bury(id, 0)
	un.publish()
}

// Expire lets the servers leave that no connected source has held for the time
// hold, and reports whether that changed Servers. While no source is connected
// nothing leaves and the time doesn't count; nor does a time in which the
// process was suspended, which is taken from a gap of more than half of hold
// between two calls. So Expire must be called more often.
func (un *Union) Expire(now time.Time) bool {
	un.mu.Lock()
	defer un.mu.Unlock()
	at := un.wa.look(now)
	blind := un.blind()
	for _, it := range un.items {
		switch {
		case blind || it.held():
			it.at = at
		case at-it.at >= un.hold:
			fa := it.fate()
			fa.gone = un.superseded(it)
			un.remove(it, fa)
		}
	}
	return un.publish()
}

// Servers returns the servers that exist by service, Ready and Draining ones,
// sorted by id. Sequence and WarmMillis are those of the last other change. The
// map and what it holds are never changed; a change of the union makes a new map.
func (un *Union) Servers() map[string][]Server {
	un.mu.Lock()
	defer un.mu.Unlock()
	if len(un.dirty) == 0 {
		return un.listed
	}
	listed := maps.Clone(un.listed)
	for service := range un.dirty {
		gr := un.groups[service]
		if len(gr) == 0 {
			delete(un.groups, service)
			delete(listed, service)
			continue
		}
		listed[service] = slices.SortedFunc(maps.Values(gr), func(a, b Server) int {
			return strings.Compare(a.ID, b.ID)
		})
	}
	clear(un.dirty)
	un.listed = listed
	return listed
}

// Version returns a number that grows with every change of Servers, and only then.
func (un *Union) Version() uint64 {
	un.mu.Lock()
	defer un.mu.Unlock()
	return un.version
}
