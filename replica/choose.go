package replica

import (
	"slices"
	"time"

	"balsamwinch.example/registry"
)

const (
	// tieFactor bounds the expected latency of a server, as a multiple of the lowest one,
	// up to which the server counts as equally good.
	tieFactor = 1.1
	// localFactor is the additional factor by which a server of the local data centre may
	// be slower than the best one and still be chosen. Traffic between data centres is
	// expensive, and a hedge usually makes up for more than the difference in latency
	// (docs/design/near-servers.md).
	localFactor = 3.0
	// maxLocalFailures is the failure fraction up to which a server is preferred because it
	// is local.
	maxLocalFailures = 0.1
	// slowFactor is the slowness from which a server counts as slow; requests to slow
	// servers are hedged sooner.
	slowFactor = 2.0
	// probeFraction is the fraction of requests that probe a slow server.
	// recoveryProbeFraction applies instead once the server's last answer was quick.
	probeFraction         = 0.04
	recoveryProbeFraction = 0.2
)

// Request describes the request for which a server is chosen.
type Request struct {
	Service string
	// Class names a set of requests with similar cost, across services.
	Class string
	// Avoid lists the ids of servers already tried for this request. If it is not empty,
	// the request is a hedge or a retry.
	Avoid []string
	// HedgeFraction is the fraction of requests of the class that should reach their hedge
	// delay; zero means the value of the Config.
	HedgeFraction float64
	// NoProbe forbids using the request to probe a server that failed or was slow, for
	// instance because the request can't be retried.
	NoProbe bool
}

// Pick is a chosen server. The request counts as in flight to it until Done.
type Pick struct {
	Server registry.Server
	// Unhealthy is set if the server is suspect or ejected: the request probes it, or no
	// better server is available. Hedging to such a server is hardly worth its cost.
	Unhealthy bool

	se     *server
	number uint64
}

// candidate is a server that may be chosen now.
type candidate struct {
	se       *server
	health   health
	expected float64
	local    bool    // local is set for servers of the local data centre and for preferred servers.
	stalled  bool    // stalled is set if a request would meet a stall of the server.
	discount float64 // discount divides the expected latency when it is compared with the lowest one.
}

// Choose returns the ready server with the lowest expected latency and counts the request
// as in flight to it. Among servers that are nearly equal it prefers those in the local
// data centre and then chooses at random. Suspect servers are used only if no healthy one
// is left, ejected servers last. After its ejection a server gets a single probe request,
// and a slow server gets an occasional one. Choose returns false only if every ready server
// is in Avoid, was replaced, has reached its limit of requests in flight, or is cold and may
// not receive a request now.
func (ba *Balancer) Choose(now time.Time, rq Request) (Pick, bool) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at := ba.at(now)
	ls := ba.class(at, rq)
	cas := ba.eligible(at, rq, ls)
	if len(cas) == 0 {
		return Pick{}, false
	}
	cas = ba.withoutStalled(at, rq, cas, ls.medianOrDefault())
	ca, ok := ba.pickProbe(at, rq, cas)
	if !ok {
		ca = ba.best(cas)
	}
	ca.se.permit = ca.se.permit.used(at)
	ba.watchStalls(ca.se)
	return Pick{
		Server: ca.se.record, Unhealthy: ca.health != healthy, se: ca.se, number: ca.se.send(at, ls),
	}, true
}

// eligible returns the servers that may be chosen. The next call overwrites the returned
// slice.
func (ba *Balancer) eligible(at time.Duration, rq Request, ls *latencyStats) []candidate {
	cas := ba.candidates[:0]
	hedge := len(rq.Avoid) > 0
	for _, se := range ba.services[rq.Service] {
		if !ba.usable(se, rq) || !ba.mayReceive(at, se) {
			continue
		}
		ca := candidate{se: se, health: se.health(at), expected: se.expectedLatency(at, ls.medianOrDefault(), hedge), discount: 1}
		ca.local = ba.cf.DataCentre != "" && se.record.DataCentre == ba.cf.DataCentre || ba.preferred[se.record.ID]
		if ca.local && se.reliable(at) {
			ca.discount = localFactor
		}
		cas = append(cas, ca)
	}
	ba.candidates = cas
	return cas
}

// usable reports whether the server may be chosen at all.
//
// A server at its limit of requests in flight may not: the request would find no free
// connection, and while the server is stalled, requests would queue for it here although
// other replicas have capacity.
func (ba *Balancer) usable(se *server, rq Request) bool {
	if limit, ok := ba.maxInFlight[rq.Service]; ok && len(se.inFlight) >= limit {
		return false
	}
	return !se.replaced && !slices.Contains(rq.Avoid, se.record.ID)
}

// reliable reports whether the server currently has few failures and no finding of all
// entry instances marks it as slow. An unreliable server costs retries and hedges, which
// are scarcer than bandwidth between data centres.
func (se *server) reliable(at time.Duration) bool {
	return se.failures(at) < maxLocalFailures && (at >= se.findingUntil || se.finding.Slowness == 0)
}

// pickProbe returns the first candidate that the request should probe. It returns none if
// the request may not probe or no other healthy server could take the request instead.
func (ba *Balancer) pickProbe(at time.Duration, rq Request, cas []candidate) (candidate, bool) {
	if rq.NoProbe || len(rq.Avoid) > 0 {
		return candidate{}, false
	}
	numHealthy := 0
	for _, ca := range cas {
		if ca.health == healthy {
			numHealthy++
		}
	}
	for _, ca := range cas {
		switch {
		case ca.health == probeDue && numHealthy > 0:
			return ca, true
		case ca.health == healthy && numHealthy > 1 && len(ca.se.inFlight) == 0 && ba.shouldProbeSlow(at, ca.se):
			return ca, true
		}
	}
	return candidate{}, false
}

// shouldProbeSlow reports, at random, whether a slow server should be probed now.
func (ba *Balancer) shouldProbeSlow(at time.Duration, se *server) bool {
	if se.slowness(at) < slowFactor {
		return false
	}
	if se.lastWasQuick {
		return ba.rn.Float64() < recoveryProbeFraction
	}
	return ba.rn.Float64() < probeFraction
}

// best returns one of the candidates with the best health and the lowest expected latency.
func (ba *Balancer) best(cas []candidate) candidate {
	first := cas[0]
	for _, ca := range cas[1:] {
		if ca.rank() < first.rank() || ca.rank() == first.rank() && ca.expected < first.expected {
			first = ca
		}
	}
	chosen, count, localOnly := first, 0, false
	for _, ca := range cas {
		if ca.rank() != first.rank() || ca.expected/ca.discount > tieFactor*first.expected {
			continue
		}
		if ca.local && !localOnly {
			count, localOnly = 0, true
		}
		if ca.local != localOnly {
			continue
		}
		count++
		if ba.rn.IntN(count) == 0 {
			chosen = ca
		}
	}
	return chosen
}

// rank returns the health used to compare candidates: a server that is due for a probe
// ranks with the ejected ones.
func (ca candidate) rank() health { return min(ca.health, ejected) }

// HedgeDelay returns the time from a request's start after which the request should be
// hedged: the latency that HedgeFraction of the requests of its class exceed. If the picked
// server is slow or unhealthy and a better one exists, the delay is at most the median.
// With few samples it is three times the median, with none 50 ms.
func (ba *Balancer) HedgeDelay(now time.Time, rq Request, pk Pick) time.Duration {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	at := ba.at(now)
	ls := ba.class(at, rq)
	delay := ls.hedgeDelay(at)
	if pk.se != nil && (ba.hasBetter(at, rq, pk) || ba.stalledWithFree(at, rq, pk.se, ls.medianOrDefault())) {
		return min(delay, ls.medianOrDefault())
	}
	return delay
}

// hasBetter reports whether the picked server is slow or unhealthy while another one is
// healthy and either not slow or at least twice as fast.
func (ba *Balancer) hasBetter(at time.Duration, rq Request, pk Pick) bool {
	factor := pk.se.slowness(at)
	if !pk.Unhealthy && factor < slowFactor && pk.se.health(at) == healthy {
		return false
	}
	for _, se := range ba.services[rq.Service] {
		if se == pk.se || !ba.usable(se, rq) || se.health(at) != healthy {
			continue
		}
		if ot := se.slowness(at); ot < slowFactor || slowFactor*ot < factor {
			return true
		}
	}
	return false
}
