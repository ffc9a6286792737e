package soak

import (
	"fmt"
	"time"

	"balsamwinch.example/emulate"
)

// serviceArrivals are the arrival times of requests at the servers of one service.
type serviceArrivals struct {
	firsts, extras []time.Time
}

// RecordServerEvent checks an event at a backend server.
func (ch *Checker) RecordServerEvent(ev emulate.ServerEvent) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	switch ev.Kind {
	case emulate.EventDrainAcknowledged:
		ch.drainAcknowledged(ev)
	case emulate.EventConnectionAccepted, emulate.EventConnectionReset:
		ch.checkConnection(ev)
	case emulate.EventRequestReceived:
		ch.checkArrival(ev)
	case emulate.EventRequestStarted:
		ch.checkStart(ev)
	case emulate.EventServerCrashed:
		ch.serverCrashed(ev)
	}
}

// drainAcknowledged records when control first acknowledged that a server is draining. It
// counts as an evaluation of CheckDrain: from now on each arrival at the server is
// checked, and at best there is none.
func (ch *Checker) drainAcknowledged(ev emulate.ServerEvent) {
	if _, ok := ch.drainAckedAt[ev.Server]; !ok {
		ch.drainAckedAt[ev.Server] = ev.At
		ch.check(CheckDrain, true, Violation{}, ev.At, nil)
	}
}

// checkConnection checks that the connections of a server stay within its limit.
func (ch *Checker) checkConnection(ev emulate.ServerEvent) {
	if ev.Kind == emulate.EventConnectionReset {
		ch.resets[ev.Server]++
	}
	held := ev.Kind == emulate.EventConnectionAccepted || ch.resets[ev.Server] <= ch.cf.Checks.OverLimit
	ch.check(CheckConnections, held, Violation{Instance: ev.Server}, ev.At, func() string {
		return fmt.Sprintf("%d connections were reset as beyond the limit of %d", ch.resets[ev.Server], ch.cf.Servers.Connections)
	})
}

// checkArrival checks that a request arrived at a server that may still receive requests,
// and within the retry budget.
func (ch *Checker) checkArrival(ev emulate.ServerEvent) {
	ch.checkQuarantine(ev)
	if acknowledged, ok := ch.drainAckedAt[ev.Server]; ok {
		after := ev.At.Sub(acknowledged)
		ch.check(CheckDrain, after <= ch.cf.Checks.Drain+ch.cf.Checks.DrainSlack, Violation{Request: ev.Request, Instance: ev.Server}, ev.At, func() string {
			return fmt.Sprintf("a request arrived %v after the server's draining was acknowledged", after)
		})
	}
	ch.checkEvacuation(ev)
	rq, ok := ch.requests[ev.Request]
	if !ok {
		return
	}
	service := ev.Service
	if expected, ok := ch.servers[ev.Expected]; ok {
		service = expected
	}
	ar := ch.arrivals[service]
	if ar == nil {
		ar = &serviceArrivals{}
		ch.arrivals[service] = ar
	}
	if !rq.arrivedAt[service] {
		rq.arrivedAt[service] = true
		ch.firsts++
		ar.firsts = append(ar.firsts, ev.At)
		return
	}
	ch.extras++
	ar.extras = append(ar.extras, ev.At)
	ch.checkBudget(ev, service, ar)
}

// checkEvacuation checks that a request arrived at a server whose data centre may still
// receive requests.
func (ch *Checker) checkEvacuation(ev emulate.ServerEvent) {
	since, ok := ch.evacuatedSince[ch.dataCentres[ev.Server]]
	if !ok {
		return
	}
	after := ev.At.Sub(since)
	ch.check(CheckEvacuated, after <= ch.cf.Checks.Drain+ch.cf.Checks.DrainSlack, Violation{Request: ev.Request, Instance: ev.Server}, ev.At, func() string {
		return fmt.Sprintf("a request arrived %v after the evacuation of %s was acknowledged", after, ch.dataCentres[ev.Server])
	})
}

// checkBudget checks the window that ends with an arrival beyond the first. First
// arrivals are counted for one timeout longer: an entry instance counts a request when it
// accepts it, which may be a whole timeout before the first arrival of another request.
func (ch *Checker) checkBudget(ev emulate.ServerEvent, service string, ar *serviceArrivals) {
	budget := ch.cf.Checks.Budget
	from := ev.At.Add(-budget.Window)
	ar.extras = dropBefore(ar.extras, from)
	ar.firsts = dropBefore(ar.firsts, from.Add(-ch.cf.Merged.Timeout))
	bound := budget.Ratio*float64(len(ar.firsts)) + budget.Slack
	ch.check(CheckBudget, float64(len(ar.extras)) <= bound, Violation{Request: ev.Request, Instance: ev.Server}, ev.At, func() string {
		return fmt.Sprintf("%d arrivals beyond the first of %d requests of %s in %v, at most %.1f", len(ar.extras), len(ar.firsts), service, budget.Window, bound)
	})
}

// dropBefore drops the times up to and including from at the front of an ordered list.
func dropBefore(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(from) {
		times = times[1:]
	}
	return times
}

// checkStart checks that a request that started to run may run.
func (ch *Checker) checkStart(ev emulate.ServerEvent) {
	rq, ok := ch.requests[ev.Request]
	if !ok {
		return
	}
	rq.starts++
	if rq.notRunStatus != 0 {
		ch.checkNotRun(ev.At, rq, ev.Server)
	}
	if rq.Group == groupOnce {
		ch.check(CheckOnce, rq.starts <= 1, Violation{Request: rq.ID, Instance: ev.Server}, ev.At, func() string {
			return fmt.Sprintf("started %d times", rq.starts)
		})
	}
}

// ArrivalCounts returns how many requests arrived at services, and how many further
// arrivals they had there.
func (ch *Checker) ArrivalCounts() (firsts, extras int) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.firsts, ch.extras
}
