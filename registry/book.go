package registry

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// mostHeard bounds the servers in a book.
	mostHeard = 10000
	// mostLeft bounds the ids that a book remembers to have left.
	mostLeft = 10000
	// leftKept is for how long a book remembers that an id has left.
	leftKept = 10 * time.Minute
	// leftTold is for how long Records names an id that has left.
	leftTold = time.Minute
)

// Book is what backend servers announced to one control instance. It is safe
// for concurrent use.
//
// Its times are those in which the process was running: a gap of more than half
// the silence between two calls counts as nothing, because the process was
// suspended then and could not hear. So Expire must be called more often.
type Catalog struct {
	silence time.Duration

	mu     sync.Mutex
	wa     watch
	heard  map[string]*heard
	left   *memory[Server]
	count  uint64 // count is how many incarnations were heard for the first time.
	births int    // births counts those in heard that say when they started.
}

// heard is a server that announces itself.
type heard struct {
	server Server
	order  uint64
	at     time.Duration
}

// NewBook returns an empty book. A server that hasn't announced itself for the
// silence is dropped.
func NewCatalog(silence time.Duration) *Catalog {
	return &Catalog{
		silence: silence,
		wa:      watch{gap: silence / 2},
		heard:   make(map[string]*heard),
		left:    newMemory[Server](mostLeft),
	}
}

// Announce takes what a server says of itself and reports whether it is news
// for others; a new sequence alone isn't, nor is a shorter rest of WarmMillis.
// It ignores a server without an id, an incarnation that has left, a sequence that
// isn't higher than the one before, one that is Foreign, and, in a full book, ids
// that aren't in it. A Draining incarnation stays so, whatever it says later. Gone is
// taken as Leave of that incarnation and those before.
//
// A later incarnation replaces the earlier one whole. Were the id enough, a server
// that starts again would stay Draining, or away for good, until all instances have
// started again, too. What is said late by an earlier incarnation is ignored.
func (bk *Catalog) Announce(now time.Time, se Server) (changed bool) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	at := bk.wa.look(now)
	if se.State == Gone {
		return bk.leave(at, se.ID, se.Born)
	}
	if was, ok := bk.left.get(se.ID); ok && se.Born <= was.Born || se.ID == "" || bk.foreign(se) {
		return false
	}
	he, ok := bk.heard[se.ID]
	switch {
	case !ok || se.Born > he.server.Born:
		return bk.begin(at, se)
	case se.Born < he.server.Born || se.Sequence <= he.server.Sequence:
		return false
	}
	he.at = at
	se.State = max(se.State, he.server.State)
	changed = !se.alike(he.server)
	he.server = se
	return changed
}

// begin puts an incarnation that wasn't heard before in the place of its id.
func (bk *Catalog) begin(at time.Duration, se Server) bool {
	bk.drop(se.ID)
	if !bk.add(at, se) {
		return false
	}
	bk.left.remove(se.ID)
	return true
}

// Foreign reports whether an announcement can't be a backend server's own: it names
// another service than the same incarnation did, or says no start while most servers
// in the book do. Such a one would take a server out of its service, or show one that
// isn't there; callers would get fewer parts.
func (bk *Catalog) Implausible(se Server) bool {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	return bk.foreign(se)
}

func (bk *Catalog) foreign(se Server) bool {
	if he, ok := bk.heard[se.ID]; ok && he.server.Born == se.Born && he.server.Service != se.Service {
		return true
	}
	return se.Born == 0 && 2*bk.births > len(bk.heard)
}

func (bk *Catalog) add(at time.Duration, se Server) bool {
	if len(bk.heard) >= mostHeard {
		return false
	}
	bk.count++
	bk.heard[se.ID] = &heard{server: se, order: bk.count, at: at}
	if se.Born != 0 {
		bk.births++
	}
	return true
}

// drop takes a server out of the book.
func (bk *Catalog) drop(id string) {
	if he, ok := bk.heard[id]; ok {
		if he.server.Born != 0 {
			bk.births--
		}
		delete(bk.heard, id)
	}
}

// Restore takes in what a book held before its process ended. What isn't
// announced again within keep is dropped; nothing is overwritten that was
// announced since.
func (bk *Catalog) Restore(now time.Time, ses []Server, keep time.Duration) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	at := bk.wa.look(now)
	for _, se := range ses {
		_, left := bk.left.get(se.ID)
		_, known := bk.heard[se.ID]
		if left || known || se.ID == "" || se.State == Gone {
			continue
		}
		bk.add(at-max(0, bk.silence-keep), se)
	}
}

// Leave takes that a server has left, whichever incarnation of it is known, and
// reports whether it is news. The id is remembered as Gone for 10 minutes, also one
// never heard before, so that an announcement which arrives after it changes nothing;
// of more than 10000 such ids the oldest are forgotten.
func (bk *Catalog) Leave(now time.Time, id string) (changed bool) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	return bk.leave(bk.wa.look(now), id, 0)
}

// leave takes that an incarnation has left; 0 stands for the one that is known.
func (bk *Catalog) leave(at time.Duration, id string, born int64) bool {
	if was, ok := bk.left.get(id); ok && born <= was.Born || id == "" {
		return false
	}
	se := Server{ID: id}
	if he, ok := bk.heard[id]; ok {
		if born != 0 && born < he.server.Born {
			return false // An earlier incarnation says so late.
		}
		se = he.server
		bk.drop(id)
	}
	se.State, se.Born = Gone, max(se.Born, born)
	bk.left.put(at, id, se)
	return true
}

// Left returns the record of a server that has left.
func (bk *Catalog) Left(id string) (Server, bool) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	return bk.left.get(id)
}

// Expire drops the servers that have been silent for too long and returns their
// ids, sorted. They aren't Gone: another control instance may hear them.
func (bk *Catalog) Expire(now time.Time) []string {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	at := bk.wa.look(now)
	bk.left.forget(at - leftKept)
	var ids []string
	for id, he := range bk.heard {
		if at-he.at >= bk.silence {
			ids = append(ids, id)
			bk.drop(id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Records returns the servers that left in the last 60 seconds and then those
// in the book, in the order in which they were first heard.
func (bk *Catalog) Records(now time.Time) []Server {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	at := bk.wa.look(now)
	hes := make([]*heard, 0, len(bk.heard))
	for _, he := range bk.heard {
		hes = append(hes, he)
	}
	slices.SortFunc(hes, func(a, b *heard) int { return cmp.Compare(a.order, b.order) })
	ses := bk.left.since(at - leftTold)
	for _, he := range hes {
		ses = append(ses, he.server)
	}
	return ses
}
