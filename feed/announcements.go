package feed

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/registry"
)

// expireServers removes the backend servers that stopped announcing themselves here. It
// doesn't report them as gone, since another control instance may still hear them.
func (pu *Publisher) expireServers(now time.Time) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for _, id := range pu.catalog.Expire(now) {
		pu.ll.info(now, "backend-server-silent", zap.String("ID", id))
		pu.queueChange(now, registry.Change{Server: registry.Server{ID: id}, Dropped: true})
	}
}

// Announce records a backend server's announcement of itself, which came from the given
// address. One that changes nothing is not published. If the server says that it departs,
// departure is the number to pass to AwaitStored, which covers this departure and all earlier
// ones; otherwise it is 0.
func (pu *Publisher) Announce(se registry.Server, from string) (departure uint64) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if se.State == registry.Gone {
		pu.publishLeft(now, se.ID, from, pu.catalog.Announce(now, se))
		return pu.departures.last
	}
	if pu.catalog.Implausible(se) {
		pu.ignored.info(now, "announcement-ignored", append(serverFields(se), zap.String("From", from), zap.String("Detail", "implausible service or start time"))...)
		return 0
	}
	if pu.catalog.Announce(now, se) {
		pu.ll.info(now, "backend-server-announced", append(serverFields(se), zap.String("From", from))...)
		pu.queueChange(now, registry.Change{Server: se})
	}
	if se.State == registry.Ready {
		return 0
	}
	return pu.departures.last
}

// Ignore logs an announcement that didn't come from the backend server with this id, and
// the address that it came from. It changes nothing.
func (pu *Publisher) Ignore(id, from, detail string) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.ignored.info(now, "announcement-ignored", zap.String("ID", id), zap.String("From", from), zap.String("Detail", detail))
}

// Servers returns the backend servers that announce themselves here, and a version that
// rises with every change of them.
func (pu *Publisher) Servers() ([]registry.Server, uint64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ses := pu.catalog.Records(pu.ts.Now())
	return slices.DeleteFunc(ses, func(se registry.Server) bool { return se.State == registry.Gone }), pu.serversVersion
}

// ServersVersion returns the version that Servers would return.
func (pu *Publisher) ServersVersion() uint64 {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	return pu.serversVersion
}

// CheckRestored returns the records of backend servers in a saved file that can be used, and
// writes a line for each other one. name is that of the file.
func (pu *Publisher) CheckRestored(name string, ses []registry.Server) []registry.Server {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	return validServers(pu.ts.Now(), pu.ignored, ses, zap.String("File", name))
}

// Restore loads the servers that Servers returned before the process ended. Those that
// don't announce themselves within keep are removed. It must be called before the first
// subscriber connects.
func (pu *Publisher) Restore(ses []registry.Server, keep time.Duration) {
	pu.catalog.Restore(pu.ts.Now(), ses, keep)
	pu.lg.Info("backend-servers-restored", zap.Int("Servers", len(ses)))
}

// Leave records that a backend server has stopped for good, as a call from the given address
// said, and returns the number of its departure for AwaitStored.
func (pu *Publisher) Leave(id, from string) (departure uint64) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.publishLeft(now, id, from, pu.catalog.Leave(now, id))
	return pu.departures.last
}

// publishLeft publishes that a backend server has left, if that is a change. from is empty if
// another instance or the own disk said it.
func (pu *Publisher) publishLeft(now time.Time, id, from string, changed bool) {
	if !changed {
		return
	}
	se, _ := pu.catalog.Left(id)
	pu.ll.info(now, "backend-server-left", zap.String("ID", id), zap.Int64("Born", se.Born), zap.String("From", from))
	pu.queueChange(now, registry.Change{Server: registry.Server{ID: id, State: registry.Gone, Born: se.Born}})
}

// queueChange adds a change to the next update.
func (pu *Publisher) queueChange(now time.Time, ch registry.Change) {
	pu.serversVersion++
	pu.pending.addChange(ch)
	if !ch.Dropped && ch.Server.State != registry.Ready {
		pu.recordDeparture()
	}
	pu.scheduleFlush(now)
}

// addChange merges a change into the pending ones. It keeps the order of ids, from which
// receivers derive which of two ids at one address is newer. An incarnation that is
// Draining stays so, whatever it announces later.
func (pe *pendingUpdate) addChange(ch registry.Change) {
	ix, ok := pe.indexes[ch.Server.ID]
	if !ok {
		pe.indexes[ch.Server.ID] = len(pe.changes)
		pe.changes = append(pe.changes, ch)
		return
	}
	if was := pe.changes[ix].Server; !ch.Dropped && ch.Server.Born <= was.Born {
		ch.Server.State = max(ch.Server.State, was.State)
	}
	pe.changes[ix] = ch
}

func serverFields(se registry.Server) []zap.Field {
	return []zap.Field{
		zap.String("ID", se.ID), zap.String("Service", se.Service),
		zap.String("Address", se.Address), zap.Stringer("State", se.State), zap.Int64("Born", se.Born),
	}
}
