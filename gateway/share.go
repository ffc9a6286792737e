package gateway

import (
	"maps"
	"time"

	"balsamwinch.example/registry"
	"balsamwinch.example/replica"
	"balsamwinch.example/roster"
	"balsamwinch.example/route"
	"balsamwinch.example/upstream"
	"balsamwinch.example/warmup"
)

// entryCountTTL is how long an entry instance still counts after it was last seen. A
// replaced instance overlaps with its successor, and its connections end late.
const entryCountTTL = 20 * time.Second

const (
	// startupFraction replaces roster.ConnectionFraction, the fraction of a backend
	// server's connections that all entry instances together may open, until
	// startupDuration after the start of this instance. If its predecessor lost power,
	// perhaps all others did, and the backend servers still count connections whose other
	// ends are gone. Until they notice, connections opened beyond their limit are reset
	// together with the requests on them.
	startupFraction = 0.45
	startupDuration = 6 * time.Second
	// singleConnectionDuration is how long after its start an instance opens at most one
	// connection to each backend server, since it does not know yet how many other
	// instances there are.
	singleConnectionDuration = time.Second
)

// entryCount is the number of entry instances and its recent peak.
type entryCount struct {
	current, peak int
	peakUntil     time.Time // when the count was last at its peak
}

// update returns the entryCount with a new current count. The TTL of a peak starts when the
// count last equalled it; otherwise, after a long stable phase, the first decrease would
// take effect at once.
func (ec entryCount) update(now time.Time, count int) entryCount {
	switch {
	case count >= ec.recentPeak(now):
		return entryCount{current: count, peak: count}
	case ec.current == ec.peak:
		ec.peakUntil = now
	}
	ec.current = count
	return ec
}

// recentPeak returns the highest count within entryCountTTL.
func (ec entryCount) recentPeak(now time.Time) int {
	if ec.current < ec.peak && now.Sub(ec.peakUntil) >= entryCountTTL {
		return ec.current
	}
	return ec.peak
}

// updateCount returns the updated count. It schedules a new division of connections for
// when an earlier, higher count expires.
func (sv *Server) updateCount(ec entryCount, now time.Time, count int) entryCount {
	ec = ec.update(now, count)
	if count < ec.peak {
		sv.ts.Timeout(entryCountTTL, sv.divideConnections)
	}
	return ec
}

// divideConnections divides each backend server's connections among the entry instances, so
// that together they never open more than the server accepts. A server resets the excess
// connections together with their requests.
func (sv *Server) divideConnections() {
	tb := sv.tb.Load()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	entries := sv.sharingEntries(sv.ts.Now())
	fraction := sv.connectionFraction()
	shares, warmups := make(map[string]int), make(map[string]replica.Warmup)
	sc := &scarceServers{home: make(map[string]bool), others: make(map[string]bool)}
	targets := make(map[string]upstream.Target)
	for name, ses := range sv.servers {
		maxConns := 1
		if limit := sv.limit(tb, name); limit > 0 {
			maxConns = max(1, int(fraction*float64(limit)/float64(entries)))
			if roster.ConnectionFraction*float64(limit) < float64(entries) {
				sc.add(sv.cf.Name, sv.cf.DataCentre, ses)
			}
		}
		shares[name] = maxConns
		if wa := sv.warmup(tb, name); wa.Bounded() {
			warmups[name] = replica.Warmup{Allowance: wa.PerSender(entries), Duration: wa.Duration}
		}
		for _, se := range ses {
			targets[se.ID] = upstream.Target{ID: se.ID, Address: se.Address, Incarnation: se.Born, MaxConnections: maxConns, IdleTimeout: sc.idleTimeout(se.ID)}
		}
	}
	sv.scarceServers.Store(sc)
	maps.DeleteFunc(sv.limits, func(name string, _ int) bool { return sv.servers[name] == nil })
	sv.connections.Store(&shares)
	sv.re.SetMaxInFlight(shares)
	sv.re.SetWarmups(warmups)
	sv.re.SetPreferred(sc.home)
	sv.up.Retain(targets)
	sv.updateStalls(tb, entries)
	sv.qu.wakeAll()
}

// sharingEntries returns the number of entry instances that connections are divided among,
// at least 1.
func (sv *Server) sharingEntries(now time.Time) int {
	entries := sv.entries.recentPeak(now)
	if sharers := sv.sharers.recentPeak(now); sharers > 0 {
		entries = min(entries, sharers)
	}
	return max(1, entries)
}

// warmup returns the limit of requests to a cold backend server of a service.
func (sv *Server) warmup(tb *route.Table, name string) warmup.Limit {
	if tb == nil {
		return warmup.Limit{}
	}
	se, _ := tb.Service(name)
	wa := sv.cf.Warmup
	wa.Rate, wa.Duration = se.WarmupRate, se.Warmup
	return wa
}

// limit returns how many connections a backend server of a service accepts, 0 if unknown. A
// service that a new version no longer names keeps its limit, because requests that started
// under the previous version may still use it.
func (sv *Server) limit(tb *route.Table, name string) int {
	if tb != nil {
		if se, ok := tb.Service(name); ok {
			sv.limits[name] = se.MaxConnections
		}
	}
	return sv.limits[name]
}

// connectionFraction returns the fraction of a backend server's connections that is divided
// at the current age of the process.
func (sv *Server) connectionFraction() float64 {
	switch age := sv.ts.Now().Sub(sv.started); {
	case age < singleConnectionDuration:
		return 0
	case age < startupDuration:
		return startupFraction
	default:
		return roster.ConnectionFraction
	}
}

// target returns how to reach a backend server.
func (sv *Server) target(se registry.Server) upstream.Target {
	return upstream.Target{
		ID: se.ID, Address: se.Address, Incarnation: se.Born,
		MaxConnections: max(1, (*sv.connections.Load())[se.Service]), IdleTimeout: sv.scarceServers.Load().idleTimeout(se.ID),
	}
}
