package feed

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
)

// ReadyEntries returns the entry instances that callers may be sent to: those with a link
// to this control instance whose state is Ready, sorted by name. The slice is shared and
// must not be changed.
func (pu *Publisher) ReadyEntries() []Entry { return *pu.readyEntries.Load() }

// LinkedEntries returns the entry instances with a link to this control instance, sorted
// by name.
func (pu *Publisher) LinkedEntries() []Entry {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	return pu.filterEntries(func(Entry) bool { return true })
}

// HasLink reports whether an entry instance has a link to this control instance.
func (pu *Publisher) HasLink(name string) bool {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	_, ok := pu.liveEntries[name]
	return ok
}

// setEntryState records the new state of an entry instance.
func (pu *Publisher) setEntryState(sb *subscriber, es EntryState) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	sb.en.State = es
	pu.refreshEntry(now, sb.en.Name)
	pu.ll.info(now, "entry-state", zap.String("Entry", sb.en.Name), zap.Stringer("State", es))
}

// refreshEntry updates the list of entry instances after a change of one. An instance
// that has restarted, or whose link broke unnoticed, may have two links for a while; the
// newest one determines its state.
func (pu *Publisher) refreshEntry(now time.Time, name string) {
	var newest *subscriber
	for sb := range pu.subscribers {
		if sb.fromControl {
			continue
		}
		if sb.en.Name == name && (newest == nil || sb.joinNumber > newest.joinNumber) {
			newest = sb
		}
	}
	old, listed := pu.liveEntries[name]
	switch {
	case newest == nil && !listed, newest != nil && listed && newest.en == old:
		return
	case newest == nil:
		delete(pu.liveEntries, name)
		delete(pu.loads, name)
	default:
		pu.liveEntries[name] = newest.en
	}
	ready := pu.filterEntries(func(en Entry) bool { return en.State == Ready })
	pu.readyEntries.Store(&ready)
	pu.pending.entries[name] = struct{}{}
	pu.scheduleFlush(now)
}

// filterEntries returns the live entry instances for which keep returns true, sorted by
// name.
func (pu *Publisher) filterEntries(keep func(Entry) bool) []Entry {
	list := make([]Entry, 0, len(pu.liveEntries))
	for _, en := range pu.liveEntries {
		if keep(en) {
			list = append(list, en)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list
}

func compareEntries(a, b Entry) int { return strings.Compare(a.Name, b.Name) }
