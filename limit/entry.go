package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamwinch.example/operator"
)

// entry guards one Server and remembers its requests in flight.
type entry struct {
	mu      sync.Mutex
	se      Server
	flights []flight // flights are in the order of sending.
	ticket  uint64
	rn      *rand.Rand
	groups  []*group // groups are those of the services that select the server.
	waiters []*Waiter
}

// flight is one request that runs or may still run.
type flight struct {
	ticket uint64
	sent   time.Time
	until  time.Time // until is when a held flight is let go without proof; zero unless held.
	probe  bool
}

// offer says how a server takes one more request.
type offer uint8

const (
	closed  offer = iota // closed takes none: it leaves, or has no connections for us.
	full                 // full has no room now.
	spare                // spare fails or is stuck and takes one only if no other ever will.
	poor                 // poor is set aside as slow and takes one at a time if the others are full.
	open                 // open has room.
	overdue              // overdue is set aside and due for a probe.
)

// offer returns how the server takes one more request at the given time.
func (se Server) offer(now time.Time) offer {
	if se.connections == 0 || se.inFlight >= se.connections {
		return se.closedOrFull()
	}
	switch se.state {
	case StateCold, StateServing:
		return se.openOrFull(now)
	case StateEjected, StateProbing:
		if !se.probing && !now.Before(se.probeAt) {
			return overdue
		}
		switch {
		case se.inFlight > 0:
			return full
		case se.reason == Slow:
			return poor
		default:
			return spare
		}
	default:
		return closed
	}
}

// offerFor returns how the server takes one more request by the given tactics.
// The baseline takes any server that has room in its equal static share of the
// slots, whatever was learned of it.
func (se Server) offerFor(now time.Time, tactics operator.Tactics) offer {
	if tactics != operator.Baseline {
		return se.offer(now)
	}
	if of := se.closedOrFull(); of == closed || se.inFlight >= se.static() {
		return of
	}
	return open
}

func (se Server) closedOrFull() offer {
	if se.connections == 0 || se.state == StateDraining || se.state == StateGone {
		return closed
	}
	return full
}

func (se Server) openOrFull(now time.Time) offer {
	switch {
	case se.inFlight+se.held >= se.whole() || se.rest(now) > 0:
		return full
	case se.stuck(now):
		return spare
	default:
		return open
	}
}

// look returns the server after letting go what was held too long.
func (en *entry) look(now time.Time) Server {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.expire(now)
	return en.se
}

// rate returns how the server takes one more request and how good it is.
func (en *entry) rate(now time.Time, tactics operator.Tactics) (offer, float64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.expire(now)
	of := en.se.offerFor(now, tactics)
	if of < spare || tactics == operator.Baseline {
		return of, 0
	}
	return of, en.se.score(now)
}

// take sends one request to the server if it is still on offer as it was. It
// returns the request's ticket and this instance's share of the connections.
func (en *entry) take(now time.Time, tactics operator.Tactics, of offer) (ticket uint64, connections int, ok bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.se.offerFor(now, tactics) != of {
		return 0, 0, false
	}
	en.add(now, of == overdue)
	return en.ticket, en.se.connections, true
}

func (en *entry) add(now time.Time, probe bool) {
	en.ticket++
	en.flights = append(en.flights, flight{ticket: en.ticket, sent: now, probe: probe})
	en.se = en.se.Step(Sent{Now: now, Oldest: en.flights[0].sent, Probe: probe})
}

// done ends a request. Until is how long its slot stays taken without proof;
// zero frees it. It returns the server, and false if the request is not known.
func (en *entry) done(now time.Time, ticket uint64, oc Outcome, until time.Time) (Server, bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	ix := en.find(ticket)
	if ix < 0 || !en.flights[ix].until.IsZero() {
		return en.se, false
	}
	defer en.tell()
	fl := en.flights[ix]
	held := !until.IsZero()
	if held {
		en.flights[ix].until = until
	} else {
		en.remove(ix)
	}
	en.se = en.se.Step(Ended{
		Now: now, Outcome: oc, Oldest: en.oldest(), Probe: fl.probe, Held: held, Random: en.rn.Float64(),
	})
	return en.se, true
}

// stopped lets a held request go.
func (en *entry) stopped(ticket uint64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if ix := en.find(ticket); ix >= 0 && !en.flights[ix].until.IsZero() {
		en.release(ix)
	}
}

func (en *entry) expire(now time.Time) {
	if en.se.held == 0 {
		return
	}
	for ix := len(en.flights) - 1; ix >= 0; ix-- {
		if un := en.flights[ix].until; !un.IsZero() && !now.Before(un) {
			en.release(ix)
		}
	}
}

func (en *entry) release(ix int) {
	en.remove(ix)
	defer en.tell()
	en.se = en.se.Step(SlotReleased{Oldest: en.oldest()})
}

func (en *entry) find(ticket uint64) int {
	for ix := range en.flights {
		if en.flights[ix].ticket == ticket {
			return ix
		}
	}
	return -1
}

func (en *entry) remove(ix int) {
	en.flights = append(en.flights[:ix], en.flights[ix+1:]...)
}

func (en *entry) oldest() time.Time {
	if len(en.flights) == 0 {
		return time.Time{}
	}
	return en.flights[0].sent
}

// step steps the server with an event from outside the traffic.
func (en *entry) step(ev Event) {
	en.mu.Lock()
	defer en.mu.Unlock()
	before := en.se.incarnation
	en.se = en.se.Step(ev)
	if en.se.incarnation != before {
		en.flights = en.flights[:0]
	}
}

// judge steps the server with the result of a comparison.
func (en *entry) judge(ev Compared) {
	en.mu.Lock()
	defer en.mu.Unlock()
	ev.Random = en.rn.Float64()
	en.se = en.se.Step(ev)
}

// join replaces the groups that the server belongs to.
func (en *entry) join(groups []*group) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.groups = groups
}

// memberOf returns the groups that the server belongs to.
func (en *entry) memberOf() []*group {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.groups
}
