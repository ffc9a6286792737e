// Package gateway serves callers at an entry instance: it finds the route of a
// request, passes it to one backend server or to one of each shard, and gives
// the answer back unchanged or merged. What is asked, hedged, retried and given
// up is decided by the packages scatter, replica and budget; this package moves
// the bytes and keeps the promises about them.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/admit"
	"balsamwinch.example/budget"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/replica"
	"balsamwinch.example/route"
	"balsamwinch.example/timer"
	"balsamwinch.example/upstream"
	"balsamwinch.example/warmup"
)

// Names are the header names that callers and backend servers use.
type HeaderNames struct {
	RequestID    string // RequestID names one attempt of a caller.
	Deadline     string // Deadline is the time the caller waits, in milliseconds.
	ExpectServer string // Expect names the backend server that a request is meant for.
	Stamp        string // Stamp proves which backend server ran a request.
	NotRun       string // NotRun says that a backend server did not run a request.
	ServerLoad   string // Load is what a backend server says of its load.
	ServerID     string // Instance is a backend server's name.
	PartStamps   string // Parts lists the stamps of a merged answer.
	MissingParts string // Missing counts the parts that a merged answer lacks.
}

// Upstream returns the names that exchanges with backend servers use.
func (na HeaderNames) Upstream() upstream.Names {
	return upstream.Names{
		RequestID: na.RequestID, Deadline: na.Deadline, Expect: na.ExpectServer,
		Stamp: na.Stamp, NotRun: na.NotRun, Load: na.ServerLoad,
	}
}

// Config is what a gateway is told once.
type Config struct {
	Names       HeaderNames
	Name        string        // Name is this instance's, and differs from the others'.
	DataCentre  string        // DataCentre is where this instance runs.
	CallerDelay time.Duration // CallerDistance is the one-way time to a caller.
	HoldMargin  time.Duration // HoldMargin is kept between the end of a hold and a route's aim.
	MaxInFlight int           // MostActive bounds the requests under way.
	// Warmup holds the Overage and Slack of requests to cold backend servers; the rest of
	// it each service names.
	Warmup warmup.Limit
}

// Server serves callers.
type Server struct {
	cf Config
	ts *timer.Service
	lg *zap.Logger
	up *upstream.Client
	re *replica.Balancer
	bu *budget.Budget
	pk *route.Picker
	ad *admit.Limiter
	qa *quarantine.Tracker
	qu *queue

	started time.Time

	tb      atomic.Pointer[route.Table]
	shares  atomic.Pointer[map[string]int]
	scarce  atomic.Pointer[scarcity]
	refuse  atomic.Bool
	closing atomic.Bool
	seen    atomic.Pointer[picture]
	active  atomic.Int64
	merging atomic.Int64 // merging sums the time that merged requests were under way, in nanoseconds.
	mt      meters
	newsAt  atomic.Int64 // newsAt is when the backend servers last changed, since started.

	mu       sync.Mutex // mu guards what the shares are made from.
	servers  map[string][]registry.Server
	limits   map[string]int // limits are how many connections a backend server takes, by service.
	entries  entryCount
	sharers  entryCount           // sharers are those of them that share backend servers; none if not known.
	named    map[string]bool      // named are the services of the table in force.
	expected map[string]time.Time // expected is until when a service may still get its first ready backend server.
}

// New returns a gateway that refuses all requests until it has a table.
func New(cf Config, ts *timer.Service, lg *zap.Logger, up *upstream.Client, re *replica.Balancer, bu *budget.Budget, qa *quarantine.Tracker) *Server {
	sv := &Server{
		cf: cf, ts: ts, lg: lg, up: up, re: re, bu: bu, qa: qa,
		pk: route.NewPicker(), ad: admit.New(max(1, cf.MaxInFlight)), qu: newQueue(),
		limits: make(map[string]int), expected: make(map[string]time.Time),
	}
	sv.shares.Store(&map[string]int{})
	sv.scarce.Store(&scarcity{})
	sv.seen.Store(&picture{})
	sv.started = ts.Now()
	sv.mt.begin(sv)
	ts.Timeout(newFor, sv.share)
	ts.Timeout(youngFor, sv.share)
	return sv
}

// Table returns the table in force, or nil.
func (sv *Server) Table() *route.Table { return sv.tb.Load() }

// SetTable puts a table in force. Requests under way end on theirs.
func (sv *Server) SetTable(tb *route.Table) {
	sv.mu.Lock()
	sv.expect(tb)
	sv.mu.Unlock()
	sv.tb.Store(tb)
	sv.share()
}

// SetServers takes over which backend servers exist.
func (sv *Server) SetServers(ses map[string][]registry.Server) {
	sv.told()
	sv.re.Update(sv.ts.Now(), ses)
	sv.mu.Lock()
	sv.servers = ses
	sv.draw()
	sv.mu.Unlock()
	sv.share()
}

// SetEntries takes over how many entry instances share the backend servers.
func (sv *Server) SetEntries(count int) {
	now := sv.ts.Now()
	sv.bu.SetNumEntries(now, count)
	sv.mu.Lock()
	sv.entriesKnown(sv.entries.now, count)
	sv.entries = sv.counted(sv.entries, now, count)
	sv.mu.Unlock()
	sv.share()
}

// SetSharers takes over how many of the entry instances callers are led to.
func (sv *Server) SetSharers(count int) {
	now := sv.ts.Now()
	sv.mu.Lock()
	sv.sharers = sv.counted(sv.sharers, now, count)
	sv.mu.Unlock()
	sv.share()
}

// Refuse makes the gateway answer every further request at once with "not run".
func (sv *Server) RejectAll() { sv.refuse.Store(true) }

// CloseAfterAnswer makes the gateway ask callers to leave after their answer.
func (sv *Server) CloseAfterResponse() { sv.closing.Store(true) }

// Merging returns for how long merged requests have been under way so far, those at one
// time counting each.
func (sv *Server) MergedRequestTime() time.Duration { return time.Duration(sv.merging.Load()) }

// Active returns how many requests are under way.
func (sv *Server) InFlight() int { return int(sv.active.Load()) }

// ServeHTTP answers one request of a caller.
func (sv *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	start := sv.ts.Now()
	active := sv.active.Add(1)
	defer sv.active.Add(-1)
	if sv.closing.Load() || outlived(rq.Context(), start) {
		wr.Header().Set("Connection", "close")
	}
	ca := &call{sv: sv, wr: wr, rq: rq, start: start, id: rq.Header.Get(sv.cf.Names.RequestID)}
	switch tb := sv.tb.Load(); {
	case tb == nil:
		ca.refuse(refusalNoTable, retryNoTable)
	case sv.refuse.Load():
		ca.refuse(refusalStopping, retryStopping)
	case active > int64(sv.cf.MaxInFlight):
		ca.refuse(refusalBusy, retryBusy)
	default:
		ca.tb = tb
		ca.serve()
	}
	ca.over()
}

// WaitIdle waits until no request is under way or the context ends.
func (sv *Server) WaitIdle(ctx context.Context) error {
	for sv.InFlight() > 0 {
		if err := sv.ts.Sleep(ctx, idlePoll); err != nil {
			return err
		}
	}
	return nil
}

// idlePoll is how often a stop looks whether the last request is over.
const idlePoll = 20 * time.Millisecond
