package fanout

import (
	"reflect"
	"slices"
	"sync"
	"sync/atomic"

	"balsamwinch.example/backend"
	"balsamwinch.example/limit"
	"balsamwinch.example/operator"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/view"
)

// Selects reports whether the service sends new work to the backend server.
func Selects(se operator.Service, re *backend.Record) bool {
	if re.State == backend.Draining || re.State == backend.Left {
		return false
	}
	return limit.Selects(se, re)
}

// PlanInputs returns the holders and partitions of a service as snapshot.Choose
// needs them.
func PlanInputs(se operator.Service, servers []backend.Record) ([]snapshot.Holder, []snapshot.Partition) {
	var hos []snapshot.Holder
	for ix := range servers {
		re := &servers[ix]
		if !Selects(se, re) {
			continue
		}
		for _, ho := range re.Holdings {
			hos = append(hos, snapshot.Holder{Server: re.Server, Shard: ho.Shard, Snapshot: ho.Snapshot})
		}
	}
	return hos, partitions(se)
}

func partitions(se operator.Service) []snapshot.Partition {
	pas := make([]snapshot.Partition, 0, len(se.Partitions))
	for _, pa := range se.Partitions {
		pas = append(pas, snapshot.Partition(pa))
	}
	return pas
}

// routeTable holds the routes to the services' backend servers in one view. The
// first query that needs a service builds its route.
type routeTable struct {
	vi         *view.View
	previous   *routeTable // routes of the previous view; nil once the groups are built
	once       sync.Once
	byService  map[string][]int // indexes into vi.Servers by announced service
	allServers []int
	entries    sync.Map // service name to *routeEntry
}

type routeEntry struct {
	once     sync.Once
	ro       atomic.Pointer[route]
	previous *route // route of an earlier view, if any
}

// latest returns the route, or the previous one if it is not built yet.
func (en *routeEntry) latest() *route {
	if ro := en.ro.Load(); ro != nil {
		return ro
	}
	return en.previous
}

// route holds what is known about one service's backend servers. It is
// immutable.
type route struct {
	se             operator.Service
	recordVersions []recordVersion
	holders        []snapshot.Holder
	servers        map[snapshot.ID]map[string][]backend.Record
	plan           snapshot.Coverage // plan of a query for all shards
	planned        bool              // whether such a plan exists
}

// recordVersion identifies the version of a record that a route was built from.
type recordVersion struct {
	server      string
	incarnation uint64
	sequence    uint64
}

// newRoutes returns the routes of a view. It reuses previous routes of services
// whose backend servers did not change.
func newRoutes(vi *view.View, previous *routeTable) *routeTable {
	return &routeTable{vi: vi, previous: previous}
}

// routeFor returns the route of a service named in the view's configuration.
func (rt *routeTable) routeFor(name string, se operator.Service) *route {
	rt.once.Do(rt.groupServers)
	va, ok := rt.entries.Load(name)
	if !ok {
		va, _ = rt.entries.LoadOrStore(name, &routeEntry{})
	}
	entry := va.(*routeEntry)
	entry.once.Do(func() {
		entry.ro.Store(rt.build(se, entry.previous))
	})
	return entry.ro.Load()
}

// groupServers groups the servers by announced service, so that a service
// examines only its own among many thousands, and keeps the previous routes for
// comparison.
func (rt *routeTable) groupServers() {
	rt.byService = make(map[string][]int)
	rt.allServers = make([]int, len(rt.vi.Servers))
	for ix := range rt.vi.Servers {
		rt.allServers[ix] = ix
		name := rt.vi.Servers[ix].Service
		rt.byService[name] = append(rt.byService[name], ix)
	}
	if rt.previous == nil {
		return
	}
	rt.previous.entries.Range(func(name, entry any) bool {
		if _, ok := rt.vi.Configuration.Services[name.(string)]; ok {
			rt.entries.Store(name, &routeEntry{previous: entry.(*routeEntry).latest()})
		}
		return true
	})
	rt.previous = nil
}

// build returns the route of a service, or the previous one if nothing changed.
func (rt *routeTable) build(se operator.Service, previous *route) *route {
	indexes := rt.allServers
	if se.Selector.Service != "" {
		indexes = rt.byService[se.Selector.Service]
	}
	var chosen []int
	var versions []recordVersion
	for _, ix := range indexes {
		re := &rt.vi.Servers[ix]
		if Selects(se, re) {
			chosen = append(chosen, ix)
			versions = append(versions, recordVersion{server: re.Server, incarnation: re.Incarnation, sequence: re.Sequence})
		}
	}
	if previous != nil && slices.Equal(previous.recordVersions, versions) && reflect.DeepEqual(previous.se, se) {
		return previous
	}
	ro := &route{se: se, recordVersions: versions, servers: make(map[snapshot.ID]map[string][]backend.Record)}
	for _, ix := range chosen {
		ro.add(rt.vi.Servers[ix])
	}
	ro.plan, ro.planned = snapshot.Choose(partitions(se), ro.holders, nil)
	return ro
}

func (ro *route) add(re backend.Record) {
	for _, ho := range re.Holdings {
		ro.holders = append(ro.holders, snapshot.Holder{Server: re.Server, Shard: ho.Shard, Snapshot: ho.Snapshot})
		shs := ro.servers[ho.Snapshot]
		if shs == nil {
			shs = make(map[string][]backend.Record)
			ro.servers[ho.Snapshot] = shs
		}
		shs[ho.Shard] = append(shs[ho.Shard], re)
	}
}

// serversFor returns the servers that hold a shard of a snapshot.
func (ro *route) serversFor(id snapshot.ID, sh string) []backend.Record {
	return ro.servers[id][sh]
}

// planFor returns the plan of a query for the wanted shards, or for all if none
// are given.
func (ro *route) planFor(wanted []string) (snapshot.Coverage, bool) {
	if len(wanted) == 0 {
		return ro.plan, ro.planned
	}
	return snapshot.Choose(partitions(ro.se), ro.holders, wanted)
}

// planNewer returns the plan of a query on a snapshot newer than the given one.
func (ro *route) planNewer(id snapshot.ID, wanted []string) (snapshot.Coverage, bool) {
	newer := slices.DeleteFunc(slices.Clone(ro.holders), func(ho snapshot.Holder) bool {
		return ho.Snapshot.Compare(id) <= 0
	})
	return snapshot.Choose(partitions(ro.se), newer, wanted)
}

// unknownShard returns the first wanted shard that is in no partition map.
func unknownShard(se operator.Service, wanted []string) (string, bool) {
	for _, sh := range wanted {
		has := func(pa operator.Partition) bool { return slices.Contains(pa.Shards, sh) }
		if !slices.ContainsFunc(se.Partitions, has) {
			return sh, true
		}
	}
	return "", false
}
