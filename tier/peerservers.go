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

// peerServers holds the backend servers that the other control instances receive
// announcements from. They are only persisted for the next start, and nothing is decided
// by them.
type peerServers struct {
	// mergeSuspects merges what another control instance knows of requests under which
	// servers crashed.
	mergeSuspects func(control string, rcs []quarantine.Record) []quarantine.Record

	mu      sync.Mutex
	servers map[string][]registry.Server
	changes uint64 // incremented with every change
}

var _ feed.Observer = (*peerServers)(nil)

// ServersChanged sets the backend servers by service.
func (ps *peerServers) ServersChanged(ses map[string][]registry.Server) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.servers = ses
	ps.changes++
}

// list returns the backend servers and the version of the list.
func (ps *peerServers) list() ([]registry.Server, uint64) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []registry.Server
	for _, service := range slices.Sorted(maps.Keys(ps.servers)) {
		out = append(out, ps.servers[service]...)
	}
	return out, ps.changes
}

// ConfigurationChanged does nothing: configurations are committed by the consensus group.
func (*peerServers) ConfigurationChanged(uint64, []byte) error { return nil }

// EntriesChanged does nothing: each entry instance has a link to this control instance,
// too.
func (*peerServers) EntriesChanged([]feed.Entry) {}

// EvacuationsChanged does nothing: evacuations are committed by the consensus group.
func (*peerServers) EvacuationsChanged(evacuation.Set) {}

// SharersChanged does nothing: it concerns entry instances.
func (*peerServers) SharersChanged(int) {}

// SuspectsReceived merges what another control instance knows of requests under which
// servers crashed: an entry instance may have a link to only one of the two.
func (ps *peerServers) SuspectsReceived(control string, rcs []quarantine.Record) []quarantine.Record {
	return ps.mergeSuspects(control, rcs)
}

// OutliersFound does nothing: it concerns entry instances.
func (*peerServers) OutliersFound([]outlier.Finding) {}
