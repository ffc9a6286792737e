package feed

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
)

// Entries returns the entry instances that callers may be sent to: those with a
// link to this control instance whose state is Ready, by name. The slice is
// shared and must not be changed.
func (pu *Publisher) ReadyEntries() []Entry { return *pu.ready.Load() }

// Linked returns the entry instances with a link to this control instance, by name.
func (pu *Publisher) LinkedEntries() []Entry {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	return pu.entries(func(Entry) bool { return true })
}

// HasLink reports whether an entry instance has a link to this control instance.
func (pu *Publisher) HasLink(name string) bool {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	_, ok := pu.live[name]
	return ok
}

// stand takes in the new state of an entry instance.
func (pu *Publisher) stand(sb *subscriber, es EntryState) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	sb.en.State = es
	pu.refresh(now, sb.en.Name)
	pu.lo.info(now, "entry-state", zap.String("Entry", sb.en.Name), zap.Stringer("State", es))
}

// refresh brings the list of entry instances up to date after a change of one.
// An instance that was started anew, or lost track of its link, may have two
// links for a while: the newest one tells its state.
func (pu *Publisher) refresh(now time.Time, name string) {
	var newest *subscriber
	for sb := range pu.subscribers {
		if sb.listener {
			continue
		}
		if sb.en.Name == name && (newest == nil || sb.number > newest.number) {
			newest = sb
		}
	}
	old, known := pu.live[name]
	switch {
	case newest == nil && !known, newest != nil && known && newest.en == old:
		return
	case newest == nil:
		delete(pu.live, name)
		delete(pu.loads, name)
	default:
		pu.live[name] = newest.en
	}
	ready := pu.entries(func(en Entry) bool { return en.State == Ready })
	pu.ready.Store(&ready)
	pu.pending.entries[name] = struct{}{}
	pu.arm(now)
}

// entries returns the live entry instances that pass, by name.
func (pu *Publisher) entries(pass func(Entry) bool) []Entry {
	list := make([]Entry, 0, len(pu.live))
	for _, en := range pu.live {
		if pass(en) {
			list = append(list, en)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list
}

func compareEntries(a, b Entry) int { return strings.Compare(a.Name, b.Name) }
