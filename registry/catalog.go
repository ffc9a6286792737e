package registry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"balsamwinch.example/identifier"
)

const (
	// maxServers bounds the servers in a catalog.
	maxServers = 10000
	// maxServerBytes bounds the texts of all servers in a catalog, so that a snapshot of it fits
	// the send queue of a link with room for the changes after it.
	maxServerBytes = 2 << 20
	// maxLeft bounds the ids that a catalog remembers as having left, and maxLeftBytes their
	// texts.
	maxLeft      = 10000
	maxLeftBytes = 1 << 20
	// leftTTL is how long a catalog remembers that an id has left.
	leftTTL = 10 * time.Minute
	// leftRecordsTTL is how long Records includes an id that has left.
	leftRecordsTTL = time.Minute
)

// Catalog holds the announcements of backend servers to one control instance. It is safe
// for concurrent use.
//
// It measures time while the process is running: a gap of more than half the silence
// timeout between two calls doesn't count, because the process was suspended then and
// couldn't receive announcements. So Expire must be called more often.
type Catalog struct {
	silenceTimeout time.Duration

	mu           sync.Mutex
	clock        runningClock
	servers      map[string]*announcedServer
	left         *boundedMap[Server]
	numSeen      uint64 // number of incarnations first heard
	numWithStart int    // number of servers that announce their start time
	bytes        int    // length of the texts of all servers
}

// announcedServer is a server that announces itself.
type announcedServer struct {
	server      Server
	order       uint64
	announcedAt time.Duration
}

// NewCatalog returns an empty catalog. A server that hasn't announced itself for the
// silence timeout is dropped.
func NewCatalog(silenceTimeout time.Duration) *Catalog {
	return &Catalog{
		silenceTimeout: silenceTimeout,
		clock:          runningClock{maxGap: silenceTimeout / 2},
		servers:        make(map[string]*announcedServer),
		left:           newBoundedMap[Server](maxLeft).withMaxBytes(maxLeftBytes, Server.textBytes),
	}
}

// Announce records a server's announcement of itself and reports whether others must be
// informed; a change of only the sequence or the remaining warm-up doesn't count. It
// ignores a server that Check rejects, an incarnation that has left, a sequence that isn't
// higher than the one before, an Implausible announcement and, if the catalog is full,
// new ids and longer texts. A Draining incarnation stays so, whatever it announces later. Gone acts as
// Leave of that incarnation and earlier ones.
//
// A later incarnation replaces the earlier one completely. If only the id counted, a
// restarted server would stay Draining or Gone until all instances had restarted, too.
// Late announcements of an earlier incarnation are ignored.
func (ct *Catalog) Announce(now time.Time, se Server) (changed bool) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	at := ct.clock.advance(now)
	if se.Check() != nil {
		return false
	}
	if se.State == Gone {
		return ct.leave(at, se.ID, se.Born)
	}
	if ct.hasLeft(se) || ct.implausible(se) {
		return false
	}
	as, ok := ct.servers[se.ID]
	switch {
	case !ok || se.Born > as.server.Born:
		return ct.addIncarnation(at, se)
	case se.Born < as.server.Born || se.Sequence <= as.server.Sequence:
		return false
	}
	if !ct.hasRoom(se, as.server) {
		se.Service, se.Address, se.DataCentre, se.Version = as.server.Service, as.server.Address, as.server.DataCentre, as.server.Version
	}
	ct.bytes += se.textBytes() - as.server.textBytes()
	as.announcedAt = at
	se.State = max(se.State, as.server.State)
	changed = !se.sameContent(as.server)
	as.server = se
	return changed
}

// hasRoom reports whether the texts of a record fit in place of those of another one, which is
// empty for none.
func (ct *Catalog) hasRoom(se, was Server) bool {
	more := se.textBytes() - was.textBytes()
	return more <= 0 || ct.bytes+more <= maxServerBytes
}

// addIncarnation adds an incarnation not heard before, in place of the earlier one of its
// id.
func (ct *Catalog) addIncarnation(at time.Duration, se Server) bool {
	if as, ok := ct.servers[se.ID]; ok && !ct.hasRoom(se, as.server) {
		return false
	}
	ct.remove(se.ID)
	if !ct.add(at, se) {
		return false
	}
	ct.left.remove(se.ID)
	return true
}

// Implausible reports whether an announcement can't come from the backend server itself:
// it names another service than the same incarnation did, or has no start time while most
// servers in the catalog have one. Such an announcement would take a server out of its
// service or list one that doesn't exist, and callers would get fewer parts.
func (ct *Catalog) Implausible(se Server) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.implausible(se)
}

func (ct *Catalog) implausible(se Server) bool {
	if as, ok := ct.servers[se.ID]; ok && as.server.Born == se.Born && as.server.Service != se.Service {
		return true
	}
	return se.Born == 0 && 2*ct.numWithStart > len(ct.servers)
}

func (ct *Catalog) add(at time.Duration, se Server) bool {
	if len(ct.servers) >= maxServers || !ct.hasRoom(se, Server{}) {
		return false
	}
	ct.bytes += se.textBytes()
	ct.numSeen++
	ct.servers[se.ID] = &announcedServer{server: se, order: ct.numSeen, announcedAt: at}
	if se.Born != 0 {
		ct.numWithStart++
	}
	return true
}

// remove removes a server from the catalog.
func (ct *Catalog) remove(id string) {
	if as, ok := ct.servers[id]; ok {
		if as.server.Born != 0 {
			ct.numWithStart--
		}
		ct.bytes -= as.server.textBytes()
		delete(ct.servers, id)
	}
}

// Restore loads the servers that a catalog held before its process ended. Those that
// don't announce themselves within keep are dropped. It overwrites nothing that was
// announced since.
func (ct *Catalog) Restore(now time.Time, ses []Server, keep time.Duration) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	at := ct.clock.advance(now)
	for _, se := range ses {
		_, known := ct.servers[se.ID]
		if known || se.Check() != nil || se.State == Gone || ct.hasLeft(se) {
			continue
		}
		ct.add(at-max(0, ct.silenceTimeout-keep), se)
	}
}

// Leave records that a server has left, whichever incarnation of it is known, and reports
// whether that is a change. The id is remembered as Gone for 10 minutes, even if it was
// never heard, so that a late announcement changes nothing; beyond 10000 such ids or
// 1 MiB of texts the oldest are forgotten.
func (ct *Catalog) Leave(now time.Time, id string) (changed bool) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.leave(ct.clock.advance(now), id, 0)
}

// leave records that an incarnation has left; 0 stands for the one that is known.
func (ct *Catalog) leave(at time.Duration, id string, born int64) bool {
	if was, ok := ct.left.get(id); ok && born <= was.Born || identifier.Check("ID", id) != nil {
		return false
	}
	se := Server{ID: id}
	if as, ok := ct.servers[id]; ok {
		if born != 0 && born < as.server.Born {
			return false // A late message of an earlier incarnation.
		}
		se = as.server
		ct.remove(id)
	}
	se.State, se.Born = Gone, max(se.Born, born)
	ct.left.put(at, id, se)
	return true
}

// hasLeft reports whether the incarnation of a record, or a later one, has left.
func (ct *Catalog) hasLeft(se Server) bool {
	was, ok := ct.left.get(se.ID)
	return ok && se.Born <= was.Born
}

// Left returns the record of a server that has left.
func (ct *Catalog) Left(id string) (Server, bool) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.left.get(id)
}

// Depart records that a server is Draining or Gone, as another control instance or this one
// before a restart knew it, and reports whether that is a change. Unlike an announcement,
// such a record may be older than the last one of the incarnation, which stays Draining all
// the same.
func (ct *Catalog) Depart(now time.Time, se Server) (changed bool) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	at := ct.clock.advance(now)
	if se.Check() != nil {
		return false
	}
	if se.State == Gone {
		return ct.leave(at, se.ID, se.Born)
	}
	if se.State != Draining || ct.hasLeft(se) {
		return false
	}
	as, ok := ct.servers[se.ID]
	switch {
	case !ok || se.Born > as.server.Born:
		return ct.addIncarnation(at, se)
	case se.Born < as.server.Born || as.server.State == Draining:
		return false
	}
	as.server.State = Draining
	return true
}

// Departing returns the servers that left in the last 60 seconds and those in the catalog
// that are Draining.
func (ct *Catalog) Departing(now time.Time) []Server {
	return slices.DeleteFunc(ct.Records(now), func(se Server) bool { return se.State == Ready })
}

// Expire drops the servers that have been silent for the silence timeout and returns
// their ids, sorted. They aren't Gone: another control instance may hear them.
func (ct *Catalog) Expire(now time.Time) []string {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	at := ct.clock.advance(now)
	ct.left.evictUntil(at - leftTTL)
	var ids []string
	for id, as := range ct.servers {
		if at-as.announcedAt >= ct.silenceTimeout {
			ids = append(ids, id)
			ct.remove(id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Records returns the servers that left in the last 60 seconds and then those in the
// catalog, in the order in which they were first heard.
func (ct *Catalog) Records(now time.Time) []Server {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	at := ct.clock.advance(now)
	all := make([]*announcedServer, 0, len(ct.servers))
	for _, as := range ct.servers {
		all = append(all, as)
	}
	slices.SortFunc(all, func(a, b *announcedServer) int { return cmp.Compare(a.order, b.order) })
	ses := ct.left.since(at - leftRecordsTTL)
	for _, as := range all {
		ses = append(ses, as.server)
	}
	return ses
}
