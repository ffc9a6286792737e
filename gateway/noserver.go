package gateway

import (
	"maps"
	"slices"
	"time"

	"balsamwinch.example/registry"
	"balsamwinch.example/replica"
	"balsamwinch.example/route"
	"balsamwinch.example/scatter"
)

// discoveryTimeout is how long after a version first names a service its first ready
// backend server may still become known. After a start of this instance or of all control
// instances, and for a new service, that takes up to a second.
const discoveryTimeout = 2 * time.Second

// serverView is what requests see of the backend servers. It is immutable, so that requests
// never wait for updates from control instances.
type serverView struct {
	servers map[string][]registry.Server
	// withoutReady maps the services of the table in force that have no ready backend
	// server to the time until which one is expected; the zero time if none is.
	withoutReady map[string]time.Time
}

// updateExpected applies the services of a table. New services without a ready backend
// server are expected to get one within discoveryTimeout. The caller must hold mu.
func (sv *Server) updateExpected(tb *route.Table) {
	until := sv.ts.Now().Add(discoveryTimeout)
	named := make(map[string]bool)
	for _, se := range tb.Services() {
		named[se.Name] = true
		if !sv.tableServices[se.Name] {
			sv.expectedUntil[se.Name] = until
		}
	}
	sv.tableServices = named
	maps.DeleteFunc(sv.expectedUntil, func(name string, _ time.Time) bool { return !named[name] })
	sv.updateView()
}

// updateView replaces the view that requests see. The caller must hold mu.
//
// Once a ready server was known, no other one is expected. A server is no longer listed as
// ready if it reported so itself, if another one registered at its address, or if no
// connected control instance has heard from it for seconds; while no control instance is
// connected, no server is removed. Nor is a server expected after discoveryTimeout. Before
// that, updates from control may still be missing, and a known draining server may be the
// predecessor of one that is not known yet.
func (sv *Server) updateView() {
	withoutReady := make(map[string]time.Time)
	for name := range sv.tableServices {
		if hasReady(sv.servers[name]) {
			delete(sv.expectedUntil, name)
			continue
		}
		withoutReady[name] = sv.expectedUntil[name]
	}
	sv.view.Store(&serverView{servers: sv.servers, withoutReady: withoutReady})
}

func hasReady(ses []registry.Server) bool {
	return slices.ContainsFunc(ses, func(se registry.Server) bool { return se.State == registry.Ready })
}

// noneExpected reports whether a service has no ready backend server and none is expected,
// so that waiting for one would only delay the answer.
func (vw *serverView) noneExpected(now time.Time, service string) bool {
	until, lacks := vw.withoutReady[service]
	return lacks && !now.Before(until)
}

// hasUntried reports whether a service has a ready backend server that is not among the
// tried ones.
func (vw *serverView) hasUntried(service string, tried []string) bool {
	return slices.ContainsFunc(vw.servers[service], func(se registry.Server) bool {
		return se.State == registry.Ready && !slices.Contains(tried, se.ID)
	})
}

// start gives up the shards without a ready backend server, present or expected, and those
// whose servers are all down. If too few
// shards are left for an answer, nothing is sent. So only shards that are still wanted
// count for the retry budget; otherwise rejected requests would add to it.
func (ex *executor) start(now time.Time) {
	sv := ex.ca.sv
	vw := sv.view.Load()
	for sh, service := range ex.services {
		if vw.noneExpected(now, service) {
			ex.qu.NoServerLeft(now, sh, scatter.CauseNoServer, now)
		} else if ex.allDown(now, sh) {
			ex.qu.NoServerLeft(now, sh, scatter.CauseDown, now)
		}
	}
	for sh, service := range ex.services {
		if ex.qu.NeedsAttempt(sh) {
			sv.bu.CountRequest(ex.ca.start, service)
		}
	}
}

// noServerChosen tells the query that no backend server could be chosen, and why.
func (ex *executor) noServerChosen(now time.Time, sa scatter.Attempt) {
	service, vw, delay := ex.services[sa.Shard], ex.ca.sv.view.Load(), busyRetryDelay
	if sa.Kind == scatter.Hedge {
		delay = hedgeRetryDelay
	}
	defer func() {
		if !ex.qu.NeedsAttempt(sa.Shard) {
			ex.dequeue(sa.Shard)
		}
	}()
	switch ready := ex.ca.sv.re.NumReady(service); {
	case ready == 0 && vw.noneExpected(now, service):
		ex.qu.NoServerLeft(now, sa.Shard, scatter.CauseNoServer, now.Add(noServerRetryDelay))
	case ready == 0:
		ex.qu.AttemptDeferred(now, sa.Shard, scatter.CauseNoServer, now.Add(noServerRetryDelay))
	case !vw.hasUntried(service, ex.tried[sa.Shard]):
		// Each server was tried and is not tried again; their outcomes are the cause.
		ex.qu.NoServerLeft(now, sa.Shard, scatter.CauseNone, now.Add(noServerRetryDelay))
	case ex.ca.sv.re.AllWarmingUp(now, replica.Request{Service: service, Avoid: ex.tried[sa.Shard]}):
		ex.qu.NoServerLeft(now, sa.Shard, scatter.CauseCold, now.Add(noServerRetryDelay))
	case ex.allDown(now, sa.Shard):
		ex.qu.NoServerLeft(now, sa.Shard, scatter.CauseDown, now.Add(noServerRetryDelay))
	default:
		ex.qu.AttemptDeferred(now, sa.Shard, scatter.CauseNoConnection, now.Add(delay))
	}
}
