package feed

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/registry"
)

// expire drops the backend servers that have fallen silent here. They may be
// heard by another control instance, so they are not told as gone.
func (pu *Publisher) expire(now time.Time) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	for _, id := range pu.book.Expire(now) {
		pu.lo.info(now, "backend-server-silent", zap.String("ID", id))
		pu.change(now, registry.Change{Server: registry.Server{ID: id}, Dropped: true})
	}
}

// Announce takes in what a backend server said of itself. An announcement that
// changes nothing is not told to anyone.
func (pu *Publisher) Announce(se registry.Server) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if se.State == registry.Gone {
		pu.left(now, se.ID, pu.book.Announce(now, se))
		return
	}
	if pu.book.Implausible(se) {
		pu.lo.info(now, "announcement-ignored", append(serverFields(se), zap.String("Detail", "not this backend server's own word"))...)
		return
	}
	if !pu.book.Announce(now, se) {
		return
	}
	pu.lo.info(now, "backend-server-announced", serverFields(se)...)
	pu.change(now, registry.Change{Server: se})
}

// Ignore takes that something was announced under an id which no backend server says
// of itself. It changes nothing.
func (pu *Publisher) Ignore(id, detail string) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.lo.info(now, "announcement-ignored", zap.String("ID", id), zap.String("Detail", detail))
}

// Known returns the backend servers that announce themselves here, and a number
// that grows with every change of them.
func (pu *Publisher) Servers() ([]registry.Server, uint64) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	ses := pu.book.Records(pu.ts.Now())
	return slices.DeleteFunc(ses, func(se registry.Server) bool { return se.State == registry.Gone }), pu.changes
}

// Changes returns the number of Known.
func (pu *Publisher) ServersVersion() uint64 {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	return pu.changes
}

// Restore takes in what Known returned before the process ended. What is not
// announced again within keep is dropped. It is called before the first link.
func (pu *Publisher) Restore(ses []registry.Server, keep time.Duration) {
	pu.book.Restore(pu.ts.Now(), ses, keep)
	pu.lg.Info("backend-servers-restored", zap.Int("Servers", len(ses)))
}

// Leave takes in that a backend server has ended for good.
func (pu *Publisher) Leave(id string) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.left(now, id, pu.book.Leave(now, id))
}

// left tells that a backend server has left, if that is news.
func (pu *Publisher) left(now time.Time, id string, news bool) {
	if !news {
		return
	}
	se, _ := pu.book.Left(id)
	pu.lo.info(now, "backend-server-left", zap.String("ID", id), zap.Int64("Born", se.Born))
	pu.change(now, registry.Change{Server: registry.Server{ID: id, State: registry.Gone, Born: se.Born}})
}

// change makes the next update tell a change.
func (pu *Publisher) change(now time.Time, ch registry.Change) {
	pu.changes++
	pu.pending.add(ch)
	pu.arm(now)
}

// add takes in a change. The order of ids stays: which of two ids at one address
// is the newer one follows from it. That an incarnation drains is not overtaken by
// anything that it says later.
func (pe *pending) add(ch registry.Change) {
	place, ok := pe.places[ch.Server.ID]
	if !ok {
		pe.places[ch.Server.ID] = len(pe.servers)
		pe.servers = append(pe.servers, ch)
		return
	}
	if was := pe.servers[place].Server; !ch.Dropped && ch.Server.Born <= was.Born {
		ch.Server.State = max(ch.Server.State, was.State)
	}
	pe.servers[place] = ch
}

func serverFields(se registry.Server) []zap.Field {
	return []zap.Field{
		zap.String("ID", se.ID), zap.String("Service", se.Service),
		zap.String("Address", se.Address), zap.Stringer("State", se.State), zap.Int64("Born", se.Born),
	}
}
