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

// settleFor is how long after a version first names a service its first ready backend
// server may still become known. After a start of this instance or of all control
// instances, and when a service is new, that takes up to a second.
const settleFor = 2 * time.Second

// picture is what requests see of the backend servers. It is never changed, so that
// they don't wait for the control side.
type picture struct {
	servers map[string][]registry.Server
	// lacking holds the services of the table in force that have no ready backend
	// server, with the time until which one is expected; the zero time if none is.
	lacking map[string]time.Time
}

// expect takes over the services of a table. Those that are new and have no ready
// backend server yet are expected to get one until settleFor has passed. The caller
// holds mu.
func (sv *Server) expect(tb *route.Table) {
	until := sv.ts.Now().Add(settleFor)
	named := make(map[string]bool)
	for _, se := range tb.Services() {
		named[se.Name] = true
		if !sv.named[se.Name] {
			sv.expected[se.Name] = until
		}
	}
	sv.named = named
	maps.DeleteFunc(sv.expected, func(name string, _ time.Time) bool { return !named[name] })
	sv.draw()
}

// draw makes the picture that requests see from now on. The caller holds mu.
//
// No server is expected once a ready one was known. One that isn't listed as ready any
// more has said so itself, or another one has registered at its address, or no
// connected control instance has heard it for seconds; while none is connected nothing
// leaves the list. Nor is one expected after settleFor. Before that it isn't known what
// control has still to tell, and a server that is known to drain may be the
// predecessor of one that isn't known yet.
func (sv *Server) draw() {
	lacking := make(map[string]time.Time)
	for name := range sv.named {
		if hasReady(sv.servers[name]) {
			delete(sv.expected, name)
			continue
		}
		lacking[name] = sv.expected[name]
	}
	sv.seen.Store(&picture{servers: sv.servers, lacking: lacking})
}

func hasReady(ses []registry.Server) bool {
	return slices.ContainsFunc(ses, func(se registry.Server) bool { return se.State == registry.Ready })
}

// vacant reports whether a service has no ready backend server and none is expected,
// so that waiting for one only holds the caller up.
func (pi *picture) vacant(now time.Time, service string) bool {
	until, lacks := pi.lacking[service]
	return lacks && !now.Before(until)
}

// untried reports whether any ready backend server of a service is not among those
// that were tried.
func (pi *picture) untried(service string, tried []string) bool {
	return slices.ContainsFunc(pi.servers[service], func(se registry.Server) bool {
		return se.State == registry.Ready && !slices.Contains(tried, se.ID)
	})
}

// begin gives the shards up that have no backend server and expect none. If too few
// are left for an answer, nothing is sent at all; so only what is left counts as an
// arrival, or requests that are refused would add to the retry budget.
func (cr *carrier) begin(now time.Time) {
	sv := cr.ca.sv
	pi := sv.seen.Load()
	for sh, service := range cr.services {
		if pi.vacant(now, service) {
			cr.qu.NoServerLeft(now, sh, scatter.CauseNoServer, now)
		}
	}
	for sh, service := range cr.services {
		if cr.qu.NeedsAttempt(sh) {
			sv.bu.CountRequest(cr.ca.start, service)
		}
	}
}

// nobody tells the query that no backend server could be chosen, and why.
func (cr *carrier) nobody(now time.Time, wa scatter.Attempt) {
	service, pi, pause := cr.services[wa.Shard], cr.ca.sv.seen.Load(), busyPause
	if wa.Kind == scatter.Hedge {
		pause = hedgePause
	}
	defer func() {
		if !cr.qu.NeedsAttempt(wa.Shard) {
			cr.unqueue(wa.Shard)
		}
	}()
	switch ready := cr.ca.sv.re.NumReady(service); {
	case ready == 0 && pi.vacant(now, service):
		cr.qu.NoServerLeft(now, wa.Shard, scatter.CauseNoServer, now.Add(noServerPause))
	case ready == 0:
		cr.qu.AttemptDeferred(now, wa.Shard, scatter.CauseNoServer, now.Add(noServerPause))
	case !pi.untried(service, cr.tried[wa.Shard]):
		// Each was tried and is not tried again. What they did is the cause.
		cr.qu.NoServerLeft(now, wa.Shard, scatter.CauseNone, now.Add(noServerPause))
	case cr.ca.sv.re.AllWarmingUp(now, replica.Request{Service: service, Avoid: cr.tried[wa.Shard]}):
		cr.qu.NoServerLeft(now, wa.Shard, scatter.CauseCold, now.Add(noServerPause))
	default:
		cr.qu.AttemptDeferred(now, wa.Shard, scatter.CauseNoConnection, now.Add(pause))
	}
}
