package feed

import (
	"context"
	"fmt"
	"math"
	"slices"

	"balsamwinch.example/departure"
	"balsamwinch.example/link"
	"balsamwinch.example/registry"
	"balsamwinch.example/result"
)

// maxQueuedConfirmations bounds the confirmations to other control instances that wait for
// the own disk. Those dropped are covered by later ones on the same link.
const maxQueuedConfirmations = 1024

// departures numbers the departures that a control instance learns of, and tracks on which
// control instances they are stored. The mutex of the publisher guards it.
type departures struct {
	last         uint64 // number of the last departure
	stored       uint64 // up to which number they are on the own disk
	acknowledged uint64 // up to which number they are stored on enough control instances
	// advanced is closed and replaced when acknowledged rises.
	advanced chan struct{}
	// confirmations are called, in their order, once the own disk has stored their number.
	confirmations []confirmation
	changed       chan struct{} // receives when the departures to store change
}

type confirmation struct {
	number uint64
	send   func()
}

func newDepartures() departures {
	return departures{advanced: make(chan struct{}), changed: make(chan struct{}, 1)}
}

// recordDeparture numbers a departure that is in the catalog.
func (pu *Publisher) recordDeparture() {
	pu.departures.last++
	pu.pending.departures = true
	pu.updateAcknowledged()
	select {
	case pu.departures.changed <- struct{}{}:
	default:
	}
}

// Depart records backend servers that are Draining or Gone, as another control instance or
// this one before a restart knew them. Records in the state Ready are ignored. It calls
// stored, if that isn't nil, once the departures are on the disk of this instance.
//
// Otherwise only the control instance that a server told would know of its departure. If that
// one ended, the others would go on listing the server by its last announcement to them, and
// an entry instance that starts then would send requests to it.
func (pu *Publisher) Depart(ses []registry.Server, stored func()) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for _, se := range ses {
		if !pu.catalog.Depart(now, se) {
			continue
		}
		if se.State == registry.Gone {
			pu.publishLeft(now, se.ID, "", true)
			continue
		}
		pu.ll.info(now, "backend-server-draining", serverFields(se)...)
		pu.queueChange(now, registry.Change{Server: se})
	}
	de := &pu.departures
	switch {
	case stored == nil:
	case de.stored >= de.last:
		stored()
	default:
		de.confirmations = append(de.confirmations, confirmation{de.last, stored})
		if excess := len(de.confirmations) - maxQueuedConfirmations; excess > 0 {
			de.confirmations = slices.Delete(de.confirmations, 0, excess)
		}
	}
}

// Departing returns the backend servers that are Draining or left in the last 60 seconds, and
// the number of the last departure.
func (pu *Publisher) Departing() ([]registry.Server, uint64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	return pu.catalog.Departing(pu.ts.Now()), pu.departures.last
}

// DeparturesChanged returns a channel that receives when Departing may return others than
// before. It has a single reader.
func (pu *Publisher) DeparturesChanged() <-chan struct{} { return pu.departures.changed }

// SetStored records that the departures up to a number that Departing returned are on the
// disk of this instance.
func (pu *Publisher) SetStored(number uint64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	de := &pu.departures
	de.stored = max(de.stored, number)
	for len(de.confirmations) > 0 && de.confirmations[0].number <= de.stored {
		de.confirmations[0].send()
		de.confirmations = de.confirmations[1:]
	}
	pu.updateAcknowledged()
}

// setStoredBy records that another control instance has stored the departures up to a number.
func (pu *Publisher) setStoredBy(sb *subscriber, number uint64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	sb.stored = max(sb.stored, number)
	pu.updateAcknowledged()
}

// updateAcknowledged updates up to which number departures are acknowledged. What was stored
// by an instance whose link has ended doesn't count, since its disk may be lost.
func (pu *Publisher) updateAcknowledged() {
	de := &pu.departures
	number := min(departure.Acknowledged(pu.neededCopies(), pu.storedCopies()), de.last)
	if number > de.acknowledged {
		de.acknowledged = number
		close(de.advanced)
		de.advanced = make(chan struct{})
	}
}

// neededCopies returns on how many control instances a departure must be stored.
func (pu *Publisher) neededCopies() int {
	if pu.cf.NeededCopies == nil {
		return 0
	}
	return pu.cf.NeededCopies(len(pu.members))
}

// storedCopies returns what this and each linked control instance have stored. One of an
// earlier release doesn't say it and counts as if it had stored everything, since departures
// could not be acknowledged during an upgrade otherwise.
func (pu *Publisher) storedCopies() []uint64 {
	byName := make(map[string]uint64)
	for sb := range pu.subscribers {
		switch {
		case !sb.fromControl:
		case sb.features.Has(FeatureDepartures):
			byName[sb.en.Name] = max(byName[sb.en.Name], sb.stored)
		default:
			byName[sb.en.Name] = math.MaxUint64
		}
	}
	copies := []uint64{pu.departures.stored}
	for _, number := range byName {
		copies = append(copies, number)
	}
	return copies
}

// AwaitStored waits until the departures up to a number are stored on enough control
// instances to outlive the failures that PublisherConfig.NeededCopies allows for. If the
// context ends first, the error is a *result.Error with the code ControlUnavailable.
func (pu *Publisher) AwaitStored(ctx context.Context, number uint64) error {
	for {
		pu.mu.Lock()
		acknowledged, advanced := pu.departures.acknowledged, pu.departures.advanced
		pu.mu.Unlock()
		if acknowledged >= number {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return pu.notStored(number, ctx.Err())
		}
	}
}

func (pu *Publisher) notStored(number uint64, err error) error {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	copies := slices.DeleteFunc(pu.storedCopies(), func(stored uint64) bool { return stored < number })
	return &result.Error{
		Code: result.ControlUnavailable, Op: "store departure", Err: err,
		Detail: fmt.Sprintf("stored on %d control instances, want %d", len(copies), pu.neededCopies()),
	}
}

// receiveDepartures passes on the servers of a message that are Draining or Gone. number is
// that of the last departure in it, which is confirmed on the link of the message.
func (su *Subscriber) receiveDepartures(co *link.Conn, number uint64, ses []registry.Server) {
	if su.cf.Departed == nil {
		return
	}
	departed := slices.DeleteFunc(slices.Clone(ses), func(se registry.Server) bool { return se.State == registry.Ready })
	if number == 0 {
		if len(departed) > 0 {
			su.cf.Departed(departed, nil)
		}
		return
	}
	su.cf.Departed(departed, func() { _ = co.Send(DeparturesStored{Departures: number}) })
}

// changedServers returns the servers of changes that aren't drops.
func changedServers(chs []registry.Change) []registry.Server {
	var ses []registry.Server
	for _, ch := range chs {
		if !ch.Dropped {
			ses = append(ses, ch.Server)
		}
	}
	return ses
}
