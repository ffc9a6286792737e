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

// entryMemory is how long an entry instance that was seen still counts. One that
// is replaced overlaps with its successor, and its connections end late.
const entryMemory = 20 * time.Second

const (
	// youngShare is the part of a backend server's connections that all entry instances
	// together may open, in place of roster.ConnectionShare, for an instance that has
	// just started, until youngFor has passed. If its predecessor lost power, so did
	// perhaps all others, and the backend servers still count connections whose other
	// ends are gone: until they notice, what is opened beyond their limit is reset, with
	// the request on it.
	youngShare = 0.45
	youngFor   = 6 * time.Second
	// newFor is how long an instance opens one connection to each backend server
	// at most: it does not know yet how many others there are.
	newFor = time.Second
)

// entryCount is how many entry instances there are, and the highest number that
// was seen lately.
type entryCount struct {
	now, top int
	fell     time.Time // fell is until when there were as many as top.
}

// with takes over a count. The highest one counts from when it last held: after a
// long calm, the first fall must not be taken over at once.
func (ec entryCount) with(now time.Time, count int) entryCount {
	switch {
	case count >= ec.highest(now):
		return entryCount{now: count, top: count}
	case ec.now == ec.top:
		ec.fell = now
	}
	ec.now = count
	return ec
}

// highest returns the highest count within entryMemory.
func (ec entryCount) highest(now time.Time) int {
	if ec.now < ec.top && now.Sub(ec.fell) >= entryMemory {
		return ec.now
	}
	return ec.top
}

// counted returns a count with a new one, and has connections divided anew once a higher
// one of before counts no more.
func (sv *Server) counted(ec entryCount, now time.Time, count int) entryCount {
	ec = ec.with(now, count)
	if count < ec.top {
		sv.ts.Timeout(entryMemory, sv.share)
	}
	return ec
}

// share divides each backend server's connections among the entry instances, so
// that together they never open more than it takes: what is over is reset, with
// whatever request was on it.
func (sv *Server) share() {
	tb := sv.tb.Load()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	entries := sv.sharing(sv.ts.Now())
	part := sv.connectionPart()
	shares, warmups := make(map[string]int), make(map[string]replica.Warmup)
	sc := &scarcity{home: make(map[string]bool), away: make(map[string]bool)}
	targets := make(map[string]upstream.Target)
	for name, ses := range sv.servers {
		most := 1
		if limit := sv.limit(tb, name); limit > 0 {
			most = max(1, int(part*float64(limit)/float64(entries)))
			if roster.ConnectionFraction*float64(limit) < float64(entries) {
				sc.add(sv.cf.Name, sv.cf.DataCentre, ses)
			}
		}
		shares[name] = most
		if wa := sv.warmup(tb, name); wa.Bounded() {
			warmups[name] = replica.Warmup{Allowance: wa.PerSender(entries), Duration: wa.Duration}
		}
		for _, se := range ses {
			targets[se.ID] = upstream.Target{ID: se.ID, Address: se.Address, Incarnation: se.Born, MaxConnections: most, IdleTimeout: sc.idle(se.ID)}
		}
	}
	sv.scarce.Store(sc)
	maps.DeleteFunc(sv.limits, func(name string, _ int) bool { return sv.servers[name] == nil })
	sv.shares.Store(&shares)
	sv.re.SetMaxInFlight(shares)
	sv.re.SetWarmups(warmups)
	sv.re.SetPreferred(sc.home)
	sv.up.Retain(targets)
	sv.qu.wakeAll()
}

// sharing returns among how many entry instances connections are divided.
func (sv *Server) sharing(now time.Time) int {
	entries := sv.entries.highest(now)
	if sharers := sv.sharers.highest(now); sharers > 0 {
		entries = min(entries, sharers)
	}
	return max(1, entries)
}

// warmup returns what a cold backend server of a service bears.
func (sv *Server) warmup(tb *route.Table, name string) warmup.Limit {
	if tb == nil {
		return warmup.Limit{}
	}
	se, _ := tb.Service(name)
	wa := sv.cf.Warmup
	wa.Rate, wa.Duration = se.WarmupRate, se.Warmup
	return wa
}

// limit returns how many connections a backend server of a service takes, 0 if
// that is not known. A service that a new version no longer names keeps its
// limit: requests that began under the version before still go there.
func (sv *Server) limit(tb *route.Table, name string) int {
	if tb != nil {
		if se, ok := tb.Service(name); ok {
			sv.limits[name] = se.MaxConnections
		}
	}
	return sv.limits[name]
}

// connectionPart returns the part of a backend server's connections that is
// divided at this age of the process.
func (sv *Server) connectionPart() float64 {
	switch age := sv.ts.Now().Sub(sv.started); {
	case age < newFor:
		return 0
	case age < youngFor:
		return youngShare
	default:
		return roster.ConnectionFraction
	}
}

// target returns how a backend server is reached.
func (sv *Server) target(se registry.Server) upstream.Target {
	return upstream.Target{
		ID: se.ID, Address: se.Address, Incarnation: se.Born,
		MaxConnections: max(1, (*sv.shares.Load())[se.Service]), IdleTimeout: sv.scarce.Load().idle(se.ID),
	}
}
