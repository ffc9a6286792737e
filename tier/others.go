package tier

import (
	"maps"
	"slices"
	"sync"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/feed"
	"balsamwinch.example/outlier"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
)

// others is what a control instance hears of backend servers from the other ones. It
// decides nothing by it and only notes it, for the next start.
type others struct {
	// suspect takes in what another control instance knows of requests under which servers
	// ended.
	suspect func(control string, rcs []quarantine.Record) []quarantine.Record

	mu      sync.Mutex
	servers map[string][]registry.Server
	changes uint64 // changes grows with every change.
}

var _ feed.Observer = (*others)(nil)

// ServersChanged takes over the backend servers by service.
func (ot *others) ServersChanged(ses map[string][]registry.Server) {
	ot.mu.Lock()
	defer ot.mu.Unlock()
	ot.servers = ses
	ot.changes++
}

// list returns the backend servers and the number of their changes.
func (ot *others) list() ([]registry.Server, uint64) {
	ot.mu.Lock()
	defer ot.mu.Unlock()
	var out []registry.Server
	for _, service := range slices.Sorted(maps.Keys(ot.servers)) {
		out = append(out, ot.servers[service]...)
	}
	return out, ot.changes
}

// ConfigurationChanged is not called: the group keeps the configuration.
func (*others) ConfigurationChanged(uint64, []byte) error { return nil }

// EntriesChanged ignores what other control instances say of entry instances: each
// entry instance has a link to this one, too.
func (*others) EntriesChanged([]feed.Entry) {}

// EvacuationsChanged is not of use: the group keeps the evacuations.
func (*others) EvacuationsChanged(evacuation.Set) {}

// SharersChanged ignores what entry instances are told.
func (*others) SharersChanged(int) {}

// SuspectsHeard takes over what another control instance knows of requests under which
// servers ended: an entry instance may have a link to one of the two alone.
func (ot *others) SuspectsHeard(control string, rcs []quarantine.Record) []quarantine.Record {
	return ot.suspect(control, rcs)
}

// OutliersFound ignores what entry instances are told.
func (*others) OutliersFound([]outlier.Finding) {}
