package replica

import (
	"slices"
	"time"

	"balsamwinch.example/registry"
)

const (
	// nearTie is how much longer than the best a server may be expected to take
	// to count as good as it.
	nearTie = 1.1
	// ownFactor is how much longer than the best a server of the own data centre
	// may be expected to take, beyond nearTie, and be chosen all the same. Bytes
	// between data centres are dear, and what a server is slower by is mostly less
	// than a hedge makes good (docs/design/near-servers.md).
	ownFactor = 3.0
	// fewFailures is the share of failures up to which a server is preferred for
	// being near.
	fewFailures = 0.1
	// slowFactor is the slowness from which a server counts as slow: its requests
	// are hedged sooner.
	slowFactor = 2.0
	// probeShare is the share of requests that probe a slow server, and
	// returnShare the one after it has answered quickly.
	probeShare  = 0.04
	returnShare = 0.2
)

// Ask is what a server is wanted for.
type Request struct {
	Service string
	// Work names requests that cost alike, of whatever service.
	Class string
	// Avoid are the ids that were asked for this request before. A request with
	// one or more of them is a hedge, or sent once more.
	Avoid []string
	// HedgeShare is the share of the requests of its work that should reach their
	// hedge time; zero counts as that of the Config.
	HedgeFraction float64
	// Sure says that the request must not probe a server that failed or was slow,
	// for instance because it can't be sent again.
	NoProbe bool
}

// Pick is a chosen server and a request in flight to it, until Done.
type Pick struct {
	Server registry.Server
	// Doubtful says that the server is suspect or set aside: it is probed, or no
	// better one is left. A hedge there is hardly worth its cost.
	Unhealthy bool

	se     *server
	number uint64
}

// candidate is a server that may be chosen now.
type candidate struct {
	se       *server
	standing standing
	expected float64
	own      bool    // own says that it is of the own data centre, or a home server.
	handicap float64 // handicap divides the expected time against the best one.
}

// Choose returns the ready server that is expected to answer soonest, at random
// among near equals, of which those in the own data centre go first, and counts
// a request to it as in flight. Suspect servers come after all others, those
// set aside last. A server that was set aside gets a single request at the end
// of that time, and a slow one a request now and then, to show how it does.
// Choose returns false only when no ready server is left that isn't avoided and
// has fewer requests in flight than the limit.
func (tb *Balancer) Choose(now time.Time, as Request) (Pick, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at := tb.at(now)
	wo := tb.work(at, as)
	cas := tb.rate(at, as, wo)
	if len(cas) == 0 {
		return Pick{}, false
	}
	ca, ok := tb.probe(at, as, cas)
	if !ok {
		ca = tb.best(cas)
	}
	ca.se.permit = ca.se.permit.used(at)
	return Pick{
		Server: ca.se.record, Unhealthy: ca.standing != sound, se: ca.se, number: ca.se.take(at, wo),
	}, true
}

// rate returns the servers that may be chosen. They are overwritten by the
// next call.
func (tb *Balancer) rate(at time.Duration, as Request, wo *work) []candidate {
	cas := tb.candidates[:0]
	hedge := len(as.Avoid) > 0
	for _, se := range tb.services[as.Service] {
		if !tb.usable(se, as) || !tb.permits(at, se) {
			continue
		}
		ca := candidate{se: se, standing: se.standing(at), expected: se.expected(at, wo.typical(), hedge), handicap: 1}
		ca.own = tb.cf.DataCentre != "" && se.record.DataCentre == tb.cf.DataCentre || tb.home[se.record.ID]
		if ca.own && se.reliable(at) {
			ca.handicap = ownFactor
		}
		cas = append(cas, ca)
	}
	tb.candidates = cas
	return cas
}

// usable reports whether the server may be chosen at all.
//
// One that all connections lead to already may not: a request would find none
// free, and while a server stands still its queue here would grow although the
// other replicas have room.
func (tb *Balancer) usable(se *server, as Request) bool {
	if most, ok := tb.limits[as.Service]; ok && len(se.flights) >= most {
		return false
	}
	return !se.moved && !slices.Contains(as.Avoid, se.record.ID)
}

// reliable reports whether the server hardly fails or refuses at the moment, and
// wasn't found slow by all together. One that does costs retries or hedges, which
// are scarcer than bytes between data centres.
func (se *server) reliable(at time.Duration) bool {
	return se.failing(at) < fewFailures && (at >= se.until || se.found.Slowness == 0)
}

// probe returns a server that should be probed by the request, if there is one
// and the request is fit for it: the first of its kind, while another server is
// there to be asked in its place.
func (tb *Balancer) probe(at time.Duration, as Request, cas []candidate) (candidate, bool) {
	if as.NoProbe || len(as.Avoid) > 0 {
		return candidate{}, false
	}
	good := 0
	for _, ca := range cas {
		if ca.standing == sound {
			good++
		}
	}
	for _, ca := range cas {
		switch {
		case ca.standing == due && good > 0:
			return ca, true
		case ca.standing == sound && good > 1 && len(ca.se.flights) == 0 && tb.curious(at, ca.se):
			return ca, true
		}
	}
	return candidate{}, false
}

// curious reports, at random, whether a slow server should show how it does.
func (tb *Balancer) curious(at time.Duration, se *server) bool {
	if se.factor(at) < slowFactor {
		return false
	}
	if se.quick {
		return tb.rn.Float64() < returnShare
	}
	return tb.rn.Float64() < probeShare
}

// best returns one of the candidates that have the best standing and are
// expected to answer soonest.
func (tb *Balancer) best(cas []candidate) candidate {
	first := cas[0]
	for _, ca := range cas[1:] {
		if ca.rank() < first.rank() || ca.rank() == first.rank() && ca.expected < first.expected {
			first = ca
		}
	}
	chosen, count, near := first, 0, false
	for _, ca := range cas {
		if ca.rank() != first.rank() || ca.expected/ca.handicap > nearTie*first.expected {
			continue
		}
		if ca.own && !near {
			count, near = 0, true
		}
		if ca.own != near {
			continue
		}
		count++
		if tb.rn.IntN(count) == 0 {
			chosen = ca
		}
	}
	return chosen
}

// rank returns the standing with which a candidate is compared: one that is due
// for a probe is no better than others that were set aside.
func (ca candidate) rank() standing { return min(ca.standing, shunned) }

// HedgeAfter returns the time from a request's start after which another server
// should be asked too: the latency that HedgeShare of the requests of its work
// exceed. It is at most the median while the server of the pick is slow or
// doubtful and another one isn't. While little is known it is three times the
// median, or 50 ms.
func (tb *Balancer) HedgeDelay(now time.Time, as Request, pk Pick) time.Duration {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at := tb.at(now)
	wo := tb.work(at, as)
	delay := wo.delay(at)
	if pk.se != nil && tb.outdone(at, as, pk) {
		return min(delay, wo.typical())
	}
	return delay
}

// outdone reports whether the server of the pick is slow or doubtful and another
// one is neither, or twice as quick.
func (tb *Balancer) outdone(at time.Duration, as Request, pk Pick) bool {
	factor := pk.se.factor(at)
	if !pk.Unhealthy && factor < slowFactor && pk.se.standing(at) == sound {
		return false
	}
	for _, se := range tb.services[as.Service] {
		if se == pk.se || !tb.usable(se, as) || se.standing(at) != sound {
			continue
		}
		if ot := se.factor(at); ot < slowFactor || slowFactor*ot < factor {
			return true
		}
	}
	return false
}
