package tier_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fatal is in the path of a request that crashes every server that runs it.
const fatal = "fatal"

// crashServers are backend servers that crash when they run a fatal request. The test
// restarts crashed ones, under another id and address.
type crashServers struct {
	cl       *cluster
	services []string

	mu             sync.Mutex
	running        map[string]*backend // servers that have not crashed, by id
	numStarts      int
	records        map[string]*crashRecord // by path of the fatal request
	serversReached map[string]int          // number of servers that each attempt reached
}

// crashRecord tells what a fatal request did to servers.
type crashRecord struct {
	crashes      int                 // servers that crashed so far
	thirdCrash   time.Time           // time of the third crash
	lateAttempts map[string]struct{} // attempts that reached a server after mustBeKnown
}

// mustBeKnown reports whether the third crash is so long ago that all instances must know
// of it.
func (cr *crashRecord) mustBeKnown() bool {
	return cr.crashes >= 3 && time.Since(cr.thirdCrash) > propagationTimeout
}

const (
	// crashReplicas is the number of servers of each service.
	crashReplicas = 3
	// propagationTimeout is how long after a crash an instance may not know of it.
	propagationTimeout = 4 * time.Second
)

func newCrashServers(cl *cluster, services ...string) *crashServers {
	cs := &crashServers{
		cl: cl, services: services, running: make(map[string]*backend),
		records: make(map[string]*crashRecord), serversReached: make(map[string]int),
	}
	cs.restartCrashed()
	return cs
}

// restartCrashed starts a replacement for each crashed server.
func (cs *crashServers) restartCrashed() {
	missing := make(map[string]int)
	cs.mu.Lock()
	for _, service := range cs.services {
		missing[service] = crashReplicas
	}
	for _, be := range cs.running {
		missing[be.service]--
	}
	cs.mu.Unlock()
	for _, service := range cs.services {
		for range missing[service] {
			cs.start(service)
		}
	}
}

func (cs *crashServers) start(service string) {
	cs.mu.Lock()
	cs.numStarts++
	id := fmt.Sprintf("i-%s-%d", service, cs.numStarts)
	cs.mu.Unlock()
	be := cs.cl.startServer(service, id, func(be *backend) http.Handler {
		return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			if strings.Contains(rq.URL.Path, fatal) && rq.Header.Get("Balsamwinch-Expect-Instance") == be.id {
				cs.crash(be, rq)
			}
			be.ServeHTTP(wr, rq)
		})
	})
	cs.mu.Lock()
	cs.running[id] = be
	cs.mu.Unlock()
}

// crash ends a server like the end of its process: it closes all connections at once and
// doesn't tell control.
func (cs *crashServers) crash(be *backend, rq *http.Request) {
	request := rq.Header.Get("Balsamwinch-Request-Id")
	cs.mu.Lock()
	cr := cs.record(rq.URL.Path)
	if _, ok := cs.running[be.id]; ok {
		if cr.mustBeKnown() && cs.serversReached[request] == 0 {
			cr.lateAttempts[request] = struct{}{}
		}
		cs.serversReached[request]++
		if cr.crashes++; cr.crashes == 3 {
			cr.thirdCrash = time.Now()
		}
		delete(cs.running, be.id)
	}
	cs.mu.Unlock()
	be.stopAnnouncing()
	_ = be.hs.Listener.Close()
	be.hs.CloseClientConnections()
	panic(http.ErrAbortHandler)
}

// record returns the record of a fatal request. The lock must be held.
func (cs *crashServers) record(path string) *crashRecord {
	if cs.records[path] == nil {
		cs.records[path] = &crashRecord{lateAttempts: make(map[string]struct{})}
	}
	return cs.records[path]
}

// mustBeKnown reports whether all instances must know of a fatal request.
func (cs *crashServers) mustBeKnown(path string) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.record(path).mustBeKnown()
}

// reached returns the number of servers that a request reached.
func (cs *crashServers) reached(re *response) int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.serversReached[re.id]
}

// check fails the test if more than three attempts reached servers after three had
// crashed and all instances must have known.
func (cs *crashServers) check(path string) {
	cs.cl.t.Helper()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cr := cs.record(path)
	qt.Check(cs.cl.t, len(cr.lateAttempts) <= 3, qt.IsTrue, qt.Commentf("%s: %d attempts reached servers after three had crashed, %d crashed in all", path, len(cr.lateAttempts), cr.crashes))
}

// newCrashCluster starts a tier whose shards and plain service crash under fatal
// requests.
func newCrashCluster(t *testing.T, controls, entries int, prepare ...func(in *instance)) (*cluster, *crashServers) {
	cl := newCluster(t, controls, entries, prepare...)
	cs := newCrashServers(cl, "s1", "p1", "p2", "p3")
	cl.configure(config(3, "s1", "/extra/"), cl.controls...)
	cl.awaitAllRoutes()
	return cl, cs
}

// awaitAllRoutes waits until each entry instance serves all routes.
func (cl *cluster) awaitAllRoutes() {
	cl.t.Helper()
	for _, en := range cl.entries {
		cl.await("all routes are served", func() bool {
			for _, path := range []string{"/one/a", "/all/a", "/extra/a"} {
				if cl.get(en, path).status != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
}

// Guards against a request that crashes every backend server that runs it. It goes to a
// server of each shard at once, by hedges and retries to the next ones, and its caller
// sends it again, with a new id, to other entry instances. In the incident, all callers
// of the route were refused for seconds, again and again: the log lines of all attempts
// named the same content, no server ever answered one, and no instance remembered what
// had become of servers under an earlier attempt.
//
// Each instance now remembers content under which servers crashed and that none has
// answered, and tells the others. It lets a single server run such a request until one
// answers it, and refuses it after the third crash. At most three attempts may reach
// servers after the third crash, and all other requests must be served, also those that
// callers send continuously while servers crash.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	paths := []string{"/all/" + fatal, "/extra/" + fatal, "/one/" + fatal}
	cl, cs := newCrashCluster(t, 3, 3)
	defer cl.startBackgroundRequests("/all/a", "/extra/a", "/one/a")()
	for nth, late := 0, 0; late < 6; nth++ {
		if !slices.ContainsFunc(paths, func(path string) bool { return !cs.mustBeKnown(path) }) {
			late++
		}
		for _, path := range paths {
			re := cl.get(cl.entries[nth%len(cl.entries)], path)
			qt.Assert(t, re.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%d", re.status))
			cs.restartCrashed()
			cl.awaitAllRoutes()
		}
	}
	for _, path := range paths {
		cs.check(path)
		cs.checkRefused(path)
	}
}

// startBackgroundRequests has callers request the paths at one instance after the other,
// until the returned function is called.
func (cl *cluster) startBackgroundRequests(paths ...string) func() {
	ctx, cancel := context.WithCancel(cl.ctx)
	var wg sync.WaitGroup
	for _, path := range paths {
		wg.Go(func() {
			tk := time.NewTicker(pollInterval)
			defer tk.Stop()
			for nth := 0; ; nth++ {
				select {
				case <-ctx.Done():
					return
				case <-tk.C:
					cl.get(cl.entries[nth%len(cl.entries)], path)
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// awaitRefused sends the fatal request until all entry instances refuse it.
func (cs *crashServers) awaitRefused(path string) {
	cs.cl.t.Helper()
	for _, en := range cs.cl.entries {
		cs.cl.await("the request is refused", func() bool {
			re := cs.cl.get(en, path)
			cs.restartCrashed()
			cs.cl.awaitAllRoutes()
			return re.status == http.StatusServiceUnavailable && cs.reached(re) == 0
		})
	}
}

// checkRefused fails the test unless each entry instance refuses the request.
func (cs *crashServers) checkRefused(path string) {
	cs.cl.t.Helper()
	for _, en := range cs.cl.entries {
		re := cs.cl.get(en, path)
		qt.Check(cs.cl.t, re.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s: %s", en.se.Name, re.body))
		qt.Check(cs.cl.t, re.header.Get("Retry-After") != "", qt.IsTrue)
		qt.Check(cs.cl.t, cs.reached(re), qt.Equals, 0, qt.Commentf("%s", en.se.Name))
	}
}

// Guards against instances that are killed or replaced while a request that crashes
// servers still arrives: one that knew nothing of it would let it crash all servers
// again. An entry instance learns of it with the first message of a control instance, and
// control instances persist it, so that it is known even after all have stopped at once.
// While no control instance runs, each entry instance decides by what it knows.
func TestQuarantineSurvivesRestarts(t *testing.T) {
	const path = "/all/" + fatal
	cl, cs := newCrashCluster(t, 3, 2)
	cs.awaitRefused(path)

	restart := func(ins ...*instance) {
		for _, in := range ins {
			qt.Assert(t, in.shutdown(), qt.IsNil)
		}
		for _, in := range ins {
			in.se.FirstStart = false
			cl.start(in)
		}
		cl.awaitAllRoutes()
	}
	restart(cl.entries...)
	cs.checkRefused(path)
	restart(cl.controls...)
	cs.checkRefused(path)
	restart(append(slices.Clone(cl.controls), cl.entries...)...)
	cs.checkRefused(path)
	for _, co := range cl.controls {
		qt.Assert(t, co.shutdown(), qt.IsNil)
	}
	cs.checkRefused(path)
	cs.check(path)
}
