package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// mostRecords bounds a book. A record takes some 200 bytes.
	mostRecords = 1024
	// sweepPeriod is the time between two looks for records that have run out.
	sweepPeriod = 10 * time.Second
)

// firstLoss stands for all attempts that began before a suspicion was known where they
// came. However many there were, they may have met the same end of the same servers: a
// popular request is at many servers when a rack is lost.
const firstLoss = 0

// Book remembers requests under which servers ended. It is safe for concurrent use.
//
// What speaks against a request is that nobody ever answers it. Whoever does, any
// server at any instance, clears it at once: so a request that was only there when others
// ended, and a popular one that a lost rack took along, run again after one probe.
type Tracker struct {
	size     atomic.Int64
	pressing chan struct{}

	mu       sync.Mutex
	entries  map[Key]*entry
	news     map[Key]struct{} // news are the keys of which there is something to tell.
	services map[string]outage
	swept    time.Time
}

// New returns an empty book.
func New() *Tracker {
	return &Tracker{
		pressing: make(chan struct{}, 1),
		entries:  make(map[Key]*entry), news: make(map[Key]struct{}), services: make(map[string]outage),
	}
}

// Empty reports whether nothing is held against any request. It takes no lock.
func (bo *Tracker) Empty() bool { return bo.size.Load() == 0 }

// Pressing gets a value when something has changed.
func (bo *Tracker) Changed() <-chan struct{} { return bo.pressing }

// Judge says how a request may run, and if it is refused, for how long.
func (bo *Tracker) Check(now time.Time, key Key) (Verdict, time.Duration) {
	if bo.Empty() {
		return Pass, 0
	}
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.sweep(now)
	en, ok := bo.entries[key]
	if !ok || en.outlived(now) {
		return Pass, 0
	}
	ve := en.Verdict()
	if ve != Refuse {
		return ve, 0
	}
	if left := en.at.Add(holdFor).Sub(now); left > 0 {
		return Refuse, left
	}
	return Probe, 0
}

// Lose takes in an attempt that no server answered, and returns what is known of the
// request then. A probe doesn't speak against its request if its service had lost another
// one before and has answered nobody since: then servers end, or cut off their callers,
// whatever they run.
func (bo *Tracker) RecordLoss(now time.Time, lo Loss) Record {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	en := bo.open(now, lo.Key)
	ou := bo.services[lo.Service]
	excused := lo.Probe && ou.before(lo.Start, lo.Key)
	if lo.Service != "" {
		ou.add(now, lo.Key)
		bo.services[lo.Service] = ou
	}
	if excused {
		return en.told(now)
	}
	loss := uint64(firstLoss)
	if lo.Probe {
		loss = xxhash.Sum64String(lo.Attempt) | 1
	}
	if en.lost(now, []uint64{loss}, lo.Servers) {
		bo.tell(lo.Key)
	}
	return en.told(now)
}

// Served takes in that a service has answered some request. It need not be told while the
// book is empty.
func (bo *Tracker) ServiceAnswered(service string) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	delete(bo.services, service)
}

// Answered takes in that a server has answered the request, and reports whether that
// clears it.
func (bo *Tracker) RequestAnswered(now time.Time, key Key) bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	en, ok := bo.entries[key]
	if !ok || en.Cleared {
		return false
	}
	en.clear(now)
	bo.tell(key)
	return true
}

// Hear takes in what another instance knows, and returns what of it was new. That is not
// in News: the control instances tell it to all.
func (bo *Tracker) Merge(now time.Time, rcs []Record) []Record {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	var out []Record
	for _, rc := range rcs {
		if bo.hear(now, rc) {
			bo.changed()
			out = append(out, bo.entries[rc.Key].told(now))
		}
	}
	return out
}

// hear takes in one record and reports whether it was new. Between losses and an answer
// the later one holds.
func (bo *Tracker) hear(now time.Time, rc Record) bool {
	at := now.Add(-time.Duration(rc.AgeMillis) * time.Millisecond)
	if now.Sub(at) >= rc.lifetime() || !rc.Cleared && len(rc.Losses) == 0 {
		return false
	}
	en, known := bo.entries[rc.Key]
	switch {
	case rc.Cleared && known && (en.Cleared || en.at.After(at)):
		return false
	case rc.Cleared:
		bo.open(now, rc.Key).clear(at)
		return true
	case known && en.Cleared && !at.After(en.at):
		return false
	}
	en = bo.open(now, rc.Key)
	if len(en.Losses) == 0 {
		en.at = at
	}
	return en.lost(at, rc.Losses, rc.Servers)
}

// open returns the entry of a request, a new one if there is none that still holds.
func (bo *Tracker) open(now time.Time, key Key) *entry {
	bo.sweep(now)
	en, ok := bo.entries[key]
	if ok && !en.Cleared && !en.outlived(now) {
		return en
	}
	if !ok && len(bo.entries) >= mostRecords {
		bo.evict()
	}
	en = &entry{Record: Record{Key: key}, at: now}
	bo.entries[key] = en
	bo.size.Store(int64(len(bo.entries)))
	return en
}

// tell notes that there is something to tell of a request.
func (bo *Tracker) tell(key Key) {
	bo.news[key] = struct{}{}
	bo.changed()
}

// changed notes that something has changed.
func (bo *Tracker) changed() {
	select {
	case bo.pressing <- struct{}{}:
	default:
	}
}

// sweep drops what has run out, now and then.
func (bo *Tracker) sweep(now time.Time) {
	if now.Sub(bo.swept) < sweepPeriod {
		return
	}
	bo.swept = now
	for key, en := range bo.entries {
		if en.outlived(now) {
			bo.drop(key)
		}
	}
	if len(bo.entries) == 0 {
		clear(bo.services)
	}
}

// evict drops the entry that matters least: of those with the fewest losses, the oldest.
// Nobody can push out a refused request, or one that is nearly, by making many others
// suspect.
func (bo *Tracker) evict() {
	var least *entry
	for _, en := range bo.entries {
		if least == nil || cmp.Or(cmp.Compare(len(en.Losses), len(least.Losses)), en.at.Compare(least.at)) < 0 {
			least = en
		}
	}
	bo.drop(least.Key)
}

func (bo *Tracker) drop(key Key) {
	delete(bo.entries, key)
	delete(bo.news, key)
	bo.size.Store(int64(len(bo.entries)))
}

// News returns what has changed since the last call.
func (bo *Tracker) TakeUpdates(now time.Time) []Record {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	var out []Record
	for key := range bo.news {
		out = append(out, bo.entries[key].told(now))
	}
	clear(bo.news)
	return sorted(out)
}

// Records returns all that has not run out, for whoever knows nothing yet.
func (bo *Tracker) Records(now time.Time) []Record {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	var out []Record
	for _, en := range bo.entries {
		if !en.outlived(now) {
			out = append(out, en.told(now))
		}
	}
	return sorted(out)
}

// sorted brings records in the order of their keys.
func sorted(rcs []Record) []Record {
	slices.SortFunc(rcs, func(a, b Record) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return rcs
}

// Count returns how many requests have a verdict.
func (bo *Tracker) Count(ve Verdict) int {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	count := 0
	for _, en := range bo.entries {
		if en.Verdict() == ve {
			count++
		}
	}
	return count
}
