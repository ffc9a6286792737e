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

// Selects reports whether the service gives new work to the backend server.
func Selects(se operator.Service, re *backend.Record) bool {
	if re.State == backend.Draining || re.State == backend.Left {
		return false
	}
	return limit.Selects(se, re)
}

// Holdings returns what snapshot.Choose needs to know of a service.
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

// routes are what one view says of the services' backend servers. A service is
// worked out by the first query that needs it.
type routes struct {
	vi     *view.View
	old    *routes // old are those of the view before, until the groups are made.
	once   sync.Once
	groups map[string][]int // groups are the places in vi.Servers by announced service.
	all    []int
	cells  sync.Map // cells maps a service's name to its *routeCell.
}

type routeCell struct {
	once sync.Once
	ro   atomic.Pointer[route]
	old  *route // old is the route of an earlier view, if any.
}

// latest returns the cell's route, the old one if it is not made yet.
func (ce *routeCell) latest() *route {
	if ro := ce.ro.Load(); ro != nil {
		return ro
	}
	return ce.old
}

// route is what is known of one service's backend servers. It is immutable.
type route struct {
	se      operator.Service
	sources []source
	holders []snapshot.Holder
	servers map[snapshot.ID]map[string][]backend.Record
	plan    snapshot.Coverage // plan is that of a query for all shards.
	planned bool              // planned says that there is such a plan.
}

// source is a record that a route was made from.
type source struct {
	server      string
	incarnation uint64
	sequence    uint64
}

// newRoutes returns the routes of a view. What the old ones hold of a service
// whose backend servers did not change is taken over.
func newRoutes(vi *view.View, old *routes) *routes {
	return &routes{vi: vi, old: old}
}

// of returns the route of a service that the view's configuration names.
func (rs *routes) of(name string, se operator.Service) *route {
	rs.once.Do(rs.group)
	ce, ok := rs.cells.Load(name)
	if !ok {
		ce, _ = rs.cells.LoadOrStore(name, &routeCell{})
	}
	cell := ce.(*routeCell)
	cell.once.Do(func() {
		cell.ro.Store(rs.build(se, cell.old))
	})
	return cell.ro.Load()
}

// group sorts the servers by announced service, so that a service looks only at
// its own of many thousands, and takes over the old routes to compare with.
func (rs *routes) group() {
	rs.groups = make(map[string][]int)
	rs.all = make([]int, len(rs.vi.Servers))
	for ix := range rs.vi.Servers {
		rs.all[ix] = ix
		name := rs.vi.Servers[ix].Service
		rs.groups[name] = append(rs.groups[name], ix)
	}
	if rs.old == nil {
		return
	}
	rs.old.cells.Range(func(name, ce any) bool {
		if _, ok := rs.vi.Configuration.Services[name.(string)]; ok {
			rs.cells.Store(name, &routeCell{old: ce.(*routeCell).latest()})
		}
		return true
	})
	rs.old = nil
}

// build returns the route of a service, the old one if it still holds.
func (rs *routes) build(se operator.Service, old *route) *route {
	places := rs.all
	if se.Selector.Service != "" {
		places = rs.groups[se.Selector.Service]
	}
	var chosen []int
	var sources []source
	for _, ix := range places {
		re := &rs.vi.Servers[ix]
		if Selects(se, re) {
			chosen = append(chosen, ix)
			sources = append(sources, source{server: re.Server, incarnation: re.Incarnation, sequence: re.Sequence})
		}
	}
	if old != nil && slices.Equal(old.sources, sources) && reflect.DeepEqual(old.se, se) {
		return old
	}
	ro := &route{se: se, sources: sources, servers: make(map[snapshot.ID]map[string][]backend.Record)}
	for _, ix := range chosen {
		ro.add(rs.vi.Servers[ix])
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

// holding returns the servers that hold a shard of a snapshot.
func (ro *route) holding(id snapshot.ID, sh string) []backend.Record {
	return ro.servers[id][sh]
}

// planFor returns the plan of a query for the wanted shards, or for all.
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

// unknown returns the first wanted shard that no partition map has.
func unknown(se operator.Service, wanted []string) (string, bool) {
	for _, sh := range wanted {
		has := func(pa operator.Partition) bool { return slices.Contains(pa.Shards, sh) }
		if !slices.ContainsFunc(se.Partitions, has) {
			return sh, true
		}
	}
	return "", false
}
