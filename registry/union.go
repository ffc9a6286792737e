package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxPast bounds the ids that a union remembers after they are no longer listed.
const maxPast = 10000

// Union is an entry instance's view of the backend servers, merged from the catalogs of
// all control instances, its sources. It is safe for concurrent use.
//
// An incarnation that a source reported as Gone never returns, and one that a source
// reported as Draining stays so; a later one under the same id replaces it.
//
// Of two ids at one address, only the newer one, first seen later, is listed. The older
// one is hidden and becomes Gone for good once no connected source has held it for the
// retention time, or if the newer one leaves while no connected source holds the older.
//
// So the older one returns only if the newer one leaves while a connected source still
// holds the older. The newer one was wrong then: an announcement delayed by a partition
// arrived after another incarnation had registered at the address, and this process
// started in between and hadn't seen it before. Without this rule, a healthy server would
// get no requests from this process for as long as it runs. The rule is safe because a
// process that has ended announces nothing more: its id is refused at the address
// (MarkGone) or falls silent, while sources hear the other one.
type Union struct {
	retention time.Duration

	mu        sync.Mutex
	clock     runningClock
	sources   map[string]*source
	items     map[string]*item
	byAddress map[string][]*item // items at an address, ordered by when they were first seen
	past      *boundedMap[pastServer]
	services  map[string]bool // services in use; nil for all
	numSeen   uint64          // number of incarnations first seen

	version        uint64
	dirtyAddresses map[string]struct{}          // addresses to refresh before the call ends
	changed        bool                         // byService has changed since version was set
	byService      map[string]map[string]Server // listed servers by service and id
	dirtyServices  map[string]struct{}          // services whose entry in byService differs from listed
	listed         map[string][]Server          // last result of Servers; never modified
}

// NewUnion returns an empty union. A server that no connected source has held for the
// retention time is removed, but its id may return.
func NewUnion(retention time.Duration) *Union {
	return &Union{
		retention:      retention,
		clock:          runningClock{maxGap: retention / 2},
		sources:        make(map[string]*source),
		items:          make(map[string]*item),
		byAddress:      make(map[string][]*item),
		past:           newBoundedMap[pastServer](maxPast),
		dirtyAddresses: make(map[string]struct{}),
		byService:      make(map[string]map[string]Server),
		dirtyServices:  make(map[string]struct{}),
		listed:         make(map[string][]Server),
	}
}

// Replace sets the whole catalog of a source, which becomes connected. Servers are first
// seen in the order of the catalog.
func (un *Union) Replace(now time.Time, source string, ses []Server) {
	un.mu.Lock()
	defer un.mu.Unlock()
	un.clock.advance(now)
	so := un.connectSource(source)
	before := so.held
	so.held = make(map[string]*item, len(ses))
	for _, se := range ses {
		un.applyServer(so, se)
	}
	for id, it := range before {
		if so.held[id] != it {
			un.release(so, it)
		}
	}
	un.publish()
}

// Apply applies changes in the catalog of a source, in their order. The source becomes
// connected; after Disconnect, Replace must come first.
func (un *Union) Apply(now time.Time, source string, chs []Change) {
	un.mu.Lock()
	defer un.mu.Unlock()
	un.clock.advance(now)
	so := un.connectSource(source)
	for _, ch := range chs {
		if !ch.Dropped {
			un.applyServer(so, ch.Server)
			continue
		}
		if it, ok := so.held[ch.Server.ID]; ok {
			delete(so.held, ch.Server.ID)
			un.release(so, it)
		}
	}
	un.publish()
}

// Disconnect records that a source is unreachable. Its servers stay listed, but once
// another source is connected, those that no connected source holds are removed after the
// retention time.
func (un *Union) Disconnect(now time.Time, source string) {
	un.mu.Lock()
	defer un.mu.Unlock()
	at := un.clock.advance(now)
	so, ok := un.sources[source]
	if !ok || !so.connected {
		return
	}
	for _, it := range so.held {
		it.heldAt = at
	}
	so.connected = false
}

// RemoveSource records that the source is no longer a member. Servers that only it held
// are removed after the retention time.
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

// SetServices sets the services in use. A server of another service stays listed, but
// never in place of a server of a service in use at the same address. The map must not be
// changed later.
func (un *Union) SetServices(services map[string]bool) {
	un.mu.Lock()
	defer un.mu.Unlock()
	un.services = services
	for ad, its := range un.byAddress {
		if len(its) > 1 {
			un.dirtyAddresses[ad] = struct{}{}
		}
	}
	un.publish()
}

// MarkGone records that the process at the id's address said that it is another
// incarnation. The id never returns.
func (un *Union) MarkGone(id string) {
	un.mu.Lock()
	defer un.mu.Unlock()
	un.markGone(id, 0)
	un.publish()
}

// Expire removes the servers that no connected source has held for the retention time,
// and reports whether Servers changed. While no source is connected nothing is removed
// and the time doesn't count. Neither does a suspension of the process, detected as a gap
// of more than half the retention time between two calls; so Expire must be called more
// often.
func (un *Union) Expire(now time.Time) bool {
	un.mu.Lock()
	defer un.mu.Unlock()
	at := un.clock.advance(now)
	allDisconnected := un.allDisconnected()
	for _, it := range un.items {
		switch {
		case allDisconnected || it.held():
			it.heldAt = at
		case at-it.heldAt >= un.retention:
			ps := it.asPast()
			ps.gone = un.superseded(it)
			un.remove(it, ps)
		}
	}
	return un.publish()
}

// Servers returns the existing servers by service, Ready and Draining ones, sorted by id.
// Sequence and WarmMillis are those of the last change in another field. The map and its
// slices are never modified; a change of the union creates a new map.
func (un *Union) Servers() map[string][]Server {
	un.mu.Lock()
	defer un.mu.Unlock()
	if len(un.dirtyServices) == 0 {
		return un.listed
	}
	listed := maps.Clone(un.listed)
	for service := range un.dirtyServices {
		gr := un.byService[service]
		if len(gr) == 0 {
			delete(un.byService, service)
			delete(listed, service)
			continue
		}
		listed[service] = slices.SortedFunc(maps.Values(gr), func(a, b Server) int {
			return strings.Compare(a.ID, b.ID)
		})
	}
	clear(un.dirtyServices)
	un.listed = listed
	return listed
}

// Version returns a number that rises with every change of Servers, and only then.
func (un *Union) Version() uint64 {
	un.mu.Lock()
	defer un.mu.Unlock()
	return un.version
}
