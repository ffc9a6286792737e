package soak

import (
	"fmt"
	"time"

	"balsamwinch.example/emulate"
)

// arrivals are the times of what reached the servers of one service.
type arrivals struct {
	firsts, extras []time.Time
}

// Saw tells what a backend server saw.
func (ju *Checker) RecordServerEvent(sn emulate.ServerEvent) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	switch sn.Kind {
	case emulate.EventDrainAcknowledged:
		ju.left(sn)
	case emulate.EventConnectionAccepted, emulate.EventConnectionReset:
		ju.connected(sn)
	case emulate.EventRequestReceived:
		ju.arrived(sn)
	case emulate.EventRequestStarted:
		ju.ran(sn)
	case emulate.EventServerCrashed:
		ju.ended(sn)
	}
}

// left notes when a server's leaving was acknowledged first. It counts as a look:
// from now on each arrival there is judged, and at best none comes.
func (ju *Checker) left(sn emulate.ServerEvent) {
	if _, ok := ju.leaving[sn.Server]; !ok {
		ju.leaving[sn.Server] = sn.At
		ju.look(CheckDrain, true, Violation{}, sn.At, nil)
	}
}

// connected checks that a server's connections stay within its limit.
func (ju *Checker) connected(sn emulate.ServerEvent) {
	if sn.Kind == emulate.EventConnectionReset {
		ju.resets[sn.Server]++
	}
	held := sn.Kind == emulate.EventConnectionAccepted || ju.resets[sn.Server] <= ju.cf.Checks.OverLimit
	ju.look(CheckConnections, held, Violation{Instance: sn.Server}, sn.At, func() string {
		return fmt.Sprintf("%d connections were reset as beyond the limit of %d", ju.resets[sn.Server], ju.cf.Servers.Connections)
	})
}

// arrived checks that a request came to a server that may still get some, and
// within the budget.
func (ju *Checker) arrived(sn emulate.ServerEvent) {
	ju.fatal(sn)
	if left, ok := ju.leaving[sn.Server]; ok {
		after := sn.At.Sub(left)
		ju.look(CheckDrain, after <= ju.cf.Checks.Drain+ju.cf.Checks.DrainSlack, Violation{Request: sn.Request, Instance: sn.Server}, sn.At, func() string {
			return fmt.Sprintf("a request came %v after the server's leaving was acknowledged", after)
		})
	}
	ju.evacuation(sn)
	rq, ok := ju.requests[sn.Request]
	if !ok {
		return
	}
	service := sn.Service
	if meant, ok := ju.servers[sn.Expected]; ok {
		service = meant
	}
	ar := ju.budgets[service]
	if ar == nil {
		ar = &arrivals{}
		ju.budgets[service] = ar
	}
	if !rq.at[service] {
		rq.at[service] = true
		ju.firsts++
		ar.firsts = append(ar.firsts, sn.At)
		return
	}
	ju.extras++
	ar.extras = append(ar.extras, sn.At)
	ju.budget(sn, service, ar)
}

// evacuation checks that a request came to a server of a data centre that may get some.
func (ju *Checker) evacuation(sn emulate.ServerEvent) {
	since, ok := ju.evacuated[ju.centres[sn.Server]]
	if !ok {
		return
	}
	after := sn.At.Sub(since)
	ju.look(CheckEvacuated, after <= ju.cf.Checks.Drain+ju.cf.Checks.DrainSlack, Violation{Request: sn.Request, Instance: sn.Server}, sn.At, func() string {
		return fmt.Sprintf("a request came %v after the evacuation of %s was acknowledged", after, ju.centres[sn.Server])
	})
}

// budget checks the window that ends with an arrival beyond the first. The first
// arrivals are counted for a moment longer: an entry instance counts a request when
// it takes it, which may be a whole timeout before the first arrival of another.
func (ju *Checker) budget(sn emulate.ServerEvent, service string, ar *arrivals) {
	bu := ju.cf.Checks.Budget
	from := sn.At.Add(-bu.Window)
	ar.extras = since(ar.extras, from)
	ar.firsts = since(ar.firsts, from.Add(-ju.cf.Merged.Timeout))
	bound := bu.Ratio*float64(len(ar.firsts)) + bu.Slack
	ju.look(CheckBudget, float64(len(ar.extras)) <= bound, Violation{Request: sn.Request, Instance: sn.Server}, sn.At, func() string {
		return fmt.Sprintf("%d arrivals beyond the first of %d requests of %s in %v, at most %.1f", len(ar.extras), len(ar.firsts), service, bu.Window, bound)
	})
}

// since drops the times at the front up to one.
func since(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(from) {
		times = times[1:]
	}
	return times
}

// ran checks that a request that was begun may run.
func (ju *Checker) ran(sn emulate.ServerEvent) {
	rq, ok := ju.requests[sn.Request]
	if !ok {
		return
	}
	rq.ran++
	if rq.notRun != 0 {
		ju.notRun(sn.At, rq, sn.Server)
	}
	if rq.Group == groupOnce {
		ju.look(CheckOnce, rq.ran <= 1, Violation{Request: rq.ID, Instance: sn.Server}, sn.At, func() string {
			return fmt.Sprintf("begun %d times", rq.ran)
		})
	}
}

// Load returns the first arrivals of requests at services and those beyond.
func (ju *Checker) ArrivalCounts() (firsts, extras int) {
	ju.mu.Lock()
	defer ju.mu.Unlock()
	return ju.firsts, ju.extras
}
