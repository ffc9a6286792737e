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
	// maxRecords bounds the records of a Tracker. A record takes about 200 bytes.
	maxRecords = 1024
	// sweepInterval is the time between two removals of expired records.
	sweepInterval = 10 * time.Second
)

// unwarnedLoss stands for all attempts that began before their instance knew of a
// suspicion. However many there were, they may all be due to the same failure of the same
// servers: a popular request is running on many servers when a rack is lost.
const unwarnedLoss = 0

// Tracker tracks requests under which servers failed. It is safe for concurrent use.
//
// A request is suspect as long as no server answers it. An answer from any server at any
// instance clears it at once. So a request that merely was running when servers failed,
// such as a popular one on a lost rack, runs normally again after one probe.
type Tracker struct {
	size    atomic.Int64
	changes chan struct{}

	mu       sync.Mutex
	entries  map[Key]*entry
	updated  map[Key]struct{} // updated holds the keys of records that changed since the last TakeUpdates.
	services map[string]outage
	sweptAt  time.Time
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		changes: make(chan struct{}, 1),
		entries: make(map[Key]*entry), updated: make(map[Key]struct{}), services: make(map[string]outage),
	}
}

// Empty reports whether there are no records. It takes no lock.
func (tr *Tracker) Empty() bool { return tr.size.Load() == 0 }

// Changed receives a value when a record has changed.
func (tr *Tracker) Changed() <-chan struct{} { return tr.changes }

// Check returns how a request may run and, if it is refused, for how long.
func (tr *Tracker) Check(now time.Time, key Key) (Verdict, time.Duration) {
	if tr.Empty() {
		return Pass, 0
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.sweep(now)
	en, ok := tr.entries[key]
	if !ok || en.expired(now) {
		return Pass, 0
	}
	ve := en.Verdict()
	if ve != Refuse {
		return ve, 0
	}
	if left := en.at.Add(suspicionTTL).Sub(now); left > 0 {
		return Refuse, left
	}
	return Probe, 0
}

// RecordLoss records an attempt that no server answered and returns the resulting record.
// The loss of a probe doesn't count against its request if the service had lost another
// request before the probe began and has answered none since: then its servers fail, or cut
// off their callers, whatever they run.
func (tr *Tracker) RecordLoss(now time.Time, lo Loss) Record {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	en := tr.open(now, lo.Key)
	ou := tr.services[lo.Service]
	excused := lo.Probe && ou.lostOtherBefore(lo.Start, lo.Key)
	if lo.Service != "" {
		ou.add(now, lo.Key)
		tr.services[lo.Service] = ou
	}
	if excused {
		return en.snapshot(now)
	}
	loss := uint64(unwarnedLoss)
	if lo.Probe {
		loss = xxhash.Sum64String(lo.Attempt) | 1
	}
	if en.addLosses(now, []uint64{loss}, lo.Servers) {
		tr.markUpdated(lo.Key)
	}
	return en.snapshot(now)
}

// ServiceAnswered records that a service has answered some request. The call may be omitted
// while the tracker is empty.
func (tr *Tracker) ServiceAnswered(service string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.services, service)
}

// RequestAnswered records that a server has answered the request, and reports whether that
// clears it.
func (tr *Tracker) RequestAnswered(now time.Time, key Key) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	en, ok := tr.entries[key]
	if !ok || en.Cleared {
		return false
	}
	en.clear(now)
	tr.markUpdated(key)
	return true
}

// Merge adds records of another instance and returns those that brought something new. They
// are not part of TakeUpdates, because the control instances send them to all.
func (tr *Tracker) Merge(now time.Time, rcs []Record) []Record {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var out []Record
	for _, rc := range rcs {
		if tr.merge(now, rc) {
			tr.signalChanged()
			out = append(out, tr.entries[rc.Key].snapshot(now))
		}
	}
	return out
}

// merge adds one record and reports whether it brought something new. Of losses and an
// answer, the later one wins.
func (tr *Tracker) merge(now time.Time, rc Record) bool {
	at := now.Add(-time.Duration(rc.AgeMillis) * time.Millisecond)
	if now.Sub(at) >= rc.lifetime() || !rc.Cleared && len(rc.Losses) == 0 {
		return false
	}
	en, known := tr.entries[rc.Key]
	switch {
	case rc.Cleared && known && (en.Cleared || en.at.After(at)):
		return false
	case rc.Cleared:
		tr.open(now, rc.Key).clear(at)
		return true
	case known && en.Cleared && !at.After(en.at):
		return false
	}
	en = tr.open(now, rc.Key)
	if len(en.Losses) == 0 {
		en.at = at
	}
	return en.addLosses(at, rc.Losses, rc.Servers)
}

// open returns the entry of a request, or a new one if there is none or it is cleared or
// expired.
func (tr *Tracker) open(now time.Time, key Key) *entry {
	tr.sweep(now)
	en, ok := tr.entries[key]
	if ok && !en.Cleared && !en.expired(now) {
		return en
	}
	if !ok && len(tr.entries) >= maxRecords {
		tr.evict()
	}
	en = &entry{Record: Record{Key: key}, at: now}
	tr.entries[key] = en
	tr.size.Store(int64(len(tr.entries)))
	return en
}

// markUpdated marks the record of a request for the next TakeUpdates.
func (tr *Tracker) markUpdated(key Key) {
	tr.updated[key] = struct{}{}
	tr.signalChanged()
}

// signalChanged signals Changed.
func (tr *Tracker) signalChanged() {
	select {
	case tr.changes <- struct{}{}:
	default:
	}
}

// sweep removes expired entries, at most once per sweepInterval.
func (tr *Tracker) sweep(now time.Time) {
	if now.Sub(tr.sweptAt) < sweepInterval {
		return
	}
	tr.sweptAt = now
	for key, en := range tr.entries {
		if en.expired(now) {
			tr.drop(key)
		}
	}
	if len(tr.entries) == 0 {
		clear(tr.services)
	}
}

// evict removes the least important entry: the oldest of those with the fewest losses. So
// nobody can displace a request that is refused, or close to it, by making many others
// suspect.
func (tr *Tracker) evict() {
	var least *entry
	for _, en := range tr.entries {
		if least == nil || cmp.Or(cmp.Compare(len(en.Losses), len(least.Losses)), en.at.Compare(least.at)) < 0 {
			least = en
		}
	}
	tr.drop(least.Key)
}

func (tr *Tracker) drop(key Key) {
	delete(tr.entries, key)
	delete(tr.updated, key)
	tr.size.Store(int64(len(tr.entries)))
}

// TakeUpdates returns the records that this instance changed since the last call.
func (tr *Tracker) TakeUpdates(now time.Time) []Record {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var out []Record
	for key := range tr.updated {
		out = append(out, tr.entries[key].snapshot(now))
	}
	clear(tr.updated)
	return sortByKey(out)
}

// Records returns all records that have not expired, for an instance that knows none yet.
func (tr *Tracker) Records(now time.Time) []Record {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var out []Record
	for _, en := range tr.entries {
		if !en.expired(now) {
			out = append(out, en.snapshot(now))
		}
	}
	return sortByKey(out)
}

// sortByKey sorts records by their keys.
func sortByKey(rcs []Record) []Record {
	slices.SortFunc(rcs, func(a, b Record) int { return slices.Compare(a.Key[:], b.Key[:]) })
	return rcs
}

// Count returns how many requests have the given verdict.
func (tr *Tracker) Count(ve Verdict) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	count := 0
	for _, en := range tr.entries {
		if en.Verdict() == ve {
			count++
		}
	}
	return count
}
