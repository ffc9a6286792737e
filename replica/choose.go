package replica

import (
	"slices"
	"time"
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
	// probeShare is the share of requests that probe a server believed slow.
	probeShare = 0.02
	// returnShare is that share after such a server has answered quickly.
	returnShare = 0.2
	// slowFactor is the slowness beyond which a server is only probed, and its
	// requests are hedged sooner.
	slowFactor = 2.0
)

// Choose returns the ready server that is expected to answer soonest, at random
// among near equals, and counts a request to it as in flight. Suspect servers
// come after all others, those set aside last; a server that was set aside or
// is believed slow gets a single request now and then that shows how it does.
// Choose returns false only when no ready server is left that isn't avoided and
// has fewer requests in flight than the limit.
func (tb *Table) Choose(now time.Time, as Ask) (Pick, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at := tb.at(now)
	wo := tb.work(at, as.Work)
	typical := wo.typical()
	se := tb.probe(at, as)
	if se == nil {
		se = tb.best(at, as, typical)
	}
	if se == nil {
		return Pick{}, false
	}
	doubtful := se.standing(at) != sound
	expected := time.Duration(se.factor(at) * float64(typical))
	return Pick{Server: se.record, Doubtful: doubtful, se: se, number: se.take(at, wo, expected)}, true
}

// usable reports whether the server may be chosen at all.
//
// One that all connections lead to already may not: a request would find none
// free, and while a server stands still its queue here would grow although the
// other replicas have room.
func (tb *Table) usable(se *server, as Ask) bool {
	if most, ok := tb.limits[as.Service]; ok && len(se.flights) >= most {
		return false
	}
	return !se.moved && !slices.Contains(as.Avoid, se.record.ID)
}

// probe returns a server that is due for a probe; nil if there is none, or if
// the request is not fit for one.
func (tb *Table) probe(at time.Duration, as Ask) *server {
	if as.Sure || len(as.Avoid) > 0 {
		return nil
	}
	servers := tb.services[as.Service]
	sure := 0
	for _, se := range servers {
		if tb.usable(se, as) && se.standing(at) == sound {
			sure++
		}
	}
	if sure == 0 {
		return nil
	}
	for _, se := range servers {
		if !tb.usable(se, as) || len(se.flights) > 0 {
			continue
		}
		switch se.standing(at) {
		case due:
			return se
		case sound:
			if sure > 1 && tb.curious(at, se) {
				return se
			}
		}
	}
	return nil
}

// curious reports, at random, whether a server that is believed slow should be
// asked to show how it does.
func (tb *Table) curious(at time.Duration, se *server) bool {
	if se.factor(at) < slowFactor {
		return false
	}
	share := probeShare
	if se.quick {
		share = returnShare
	}
	return tb.rn.Float64() < share
}

// best returns the server with the best standing that is expected to answer
// soonest; nil if there is none.
func (tb *Table) best(at time.Duration, as Ask, typical time.Duration) *server {
	var best *server
	var least float64
	class := due
	for _, se := range tb.services[as.Service] {
		if !tb.usable(se, as) {
			continue
		}
		time, sd := se.expected(at, typical)
		time *= se.stale(at, len(as.Avoid) > 0)
		sd = min(sd, shunned)
		if best == nil || sd < class || sd == class && time < least {
			best, least, class = se, time, sd
		}
	}
	if best == nil {
		return nil
	}
	return tb.among(at, as, typical, least*nearTie, class)
}

// among returns one of the servers of a standing that are expected to answer
// within the given time, at random, and one of the own data centre if any is.
func (tb *Table) among(at time.Duration, as Ask, typical time.Duration, most float64, class standing) *server {
	var chosen *server
	count, near := 0, false
	for _, se := range tb.services[as.Service] {
		if !tb.usable(se, as) {
			continue
		}
		time, sd := se.expected(at, typical)
		time *= se.stale(at, len(as.Avoid) > 0)
		own := tb.cf.DataCentre != "" && se.record.DataCentre == tb.cf.DataCentre
		if own && se.reliable(at) {
			time /= ownFactor
		}
		if min(sd, shunned) != class || time > most {
			continue
		}
		switch {
		case own && !near:
			chosen, count, near = se, 1, true
		case own == near:
			count++
			if tb.rn.IntN(count) == 0 {
				chosen = se
			}
		}
	}
	return chosen
}

// reliable reports whether the server hardly fails or refuses at the moment. One
// that does costs retries, which are scarcer than bytes between data centres.
func (se *server) reliable(at time.Duration) bool {
	return se.failures*se.fade(at) < fewFailures
}

// HedgeAfter returns the time from a request's start after which another server
// should be asked too: the latency that a HedgeShare of the requests of its
// work exceed, and the median if the server is believed to be slow, suspect or
// set aside at this moment while another one is sound.
func (tb *Table) HedgeAfter(now time.Time, as Ask, pk Pick) time.Duration {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at := tb.at(now)
	wo := tb.work(at, as.Work)
	delay, typical := wo.delay(at), wo.typical()
	if pk.se == nil || !tb.better(at, as, pk.se) {
		return delay
	}
	return min(delay, typical)
}

// better reports whether the server is poor and another one is sound.
func (tb *Table) better(at time.Duration, as Ask, poor *server) bool {
	factor := poor.factor(at)
	if factor < slowFactor && poor.standing(at) == sound {
		return false
	}
	for _, se := range tb.services[as.Service] {
		if se != poor && tb.usable(se, as) && se.standing(at) == sound && slowFactor*se.factor(at) < max(factor, slowFactor+1) {
			return true
		}
	}
	return false
}
