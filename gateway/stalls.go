package gateway

import (
	"sync"
	"time"

	"balsamwinch.example/replica"
	"balsamwinch.example/route"
	"balsamwinch.example/stall"
)

const (
	// minStallShards is the number of shards of a route from which stalls are shared: the
	// more shards a query asks, the more likely it meets a stalled server.
	minStallShards = 20
	// minStallEntries is the number of entry instances from which stalls are shared. With
	// fewer, each one sends a server enough requests to notice its stalls by itself.
	minStallEntries = 16
)

// stallWatch holds the queries that are notified of news of stalls.
type stallWatch struct {
	mu      sync.Mutex
	inForce bool
	running map[*executor]struct{}
}

// updateStalls sets whether stalls are shared, by the table and the number of entry
// instances.
func (sv *Server) updateStalls(tb *route.Table, entries int) {
	on := sv.cf.SharedStalls && entries >= minStallEntries && hasWideRoute(tb)
	sv.stalls.mu.Lock()
	defer sv.stalls.mu.Unlock()
	if on == sv.stalls.inForce {
		return
	}
	sv.stalls.inForce = on
	sv.re.SetSharedStalls(on)
}

func hasWideRoute(tb *route.Table) bool {
	if tb == nil {
		return false
	}
	for _, ro := range tb.Routes() {
		if len(ro.Shards) >= minStallShards {
			return true
		}
	}
	return false
}

// HearStalls applies news of stalled backend servers, and forecasts, that arrived late by the
// given time. Queries with a request in flight to a server that is stalled hedge it at once.
func (sv *Server) HearStalls(now time.Time, late time.Duration, sts []stall.Stall, fcs []stall.Forecast) {
	sv.re.SetForecasts(now, late, fcs)
	if sv.re.HearStalls(now, late, sts) == 0 {
		return
	}
	sv.stalls.mu.Lock()
	defer sv.stalls.mu.Unlock()
	for ex := range sv.stalls.running {
		select {
		case ex.stallNews <- struct{}{}:
		default: // It has not handled the last news yet.
		}
	}
}

// watchStalls has the query notified of news of stalls until the returned function is
// called. A query over one shard, or while stalls are not shared, is not notified.
func (ex *executor) watchStalls() (stop func()) {
	sw := &ex.ca.sv.stalls
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if !sw.inForce || len(ex.services) < 2 {
		return func() {}
	}
	ex.stallNews = make(chan struct{}, 1)
	if sw.running == nil {
		sw.running = make(map[*executor]struct{})
	}
	sw.running[ex] = struct{}{}
	return func() {
		sw.mu.Lock()
		defer sw.mu.Unlock()
		delete(sw.running, ex)
	}
}

// hedgeStalled makes the hedges due whose server is stalled while another one is not.
func (ex *executor) hedgeStalled(now time.Time) {
	if !ex.ca.repeatable() {
		return
	}
	for sh, service := range ex.services {
		if !ex.qu.MayHedge(sh) {
			continue
		}
		rr := replica.Request{Service: service, Class: ex.ca.ro.Name, Avoid: ex.tried[sh]}
		if ex.ca.sv.re.StalledWithFree(now, rr, ex.picks[sh]) {
			ex.qu.HedgeNow(now, sh)
		}
	}
}
