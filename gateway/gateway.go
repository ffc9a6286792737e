// Package gateway serves callers at an entry instance: it finds the route of a request,
// forwards it to one backend server or to one of each shard, and returns the answer
// unchanged or merged. Packages scatter, replica and budget decide what is sent, hedged,
// retried and given up. This package transfers the bytes, bounds connections per backend
// server, and reports truthfully whether a request has run.
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
	"balsamwinch.example/overload"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/replica"
	"balsamwinch.example/route"
	"balsamwinch.example/timer"
	"balsamwinch.example/upstream"
	"balsamwinch.example/warmup"
)

// HeaderNames holds the names of the headers exchanged with callers and backend servers.
type HeaderNames struct {
	RequestID    string // ID of one attempt of a caller
	Deadline     string // milliseconds that the caller waits
	ExpectServer string // ID of the backend server that a request is meant for
	Stamp        string // proof of which backend server ran a request
	NotRun       string // set by a backend server that did not run a request
	ServerLoad   string // load that a backend server reports
	ServerID     string // ID of a backend server
	PartStamps   string // stamps of the parts in a merged answer
	MissingParts string // number of parts that a merged answer lacks
	Customer     string // name of the customer that a request to a backend server is for
}

// Upstream returns the names that requests to backend servers use.
func (na HeaderNames) Upstream() upstream.Names {
	return upstream.Names{
		RequestID: na.RequestID, Deadline: na.Deadline, Expect: na.ExpectServer,
		Stamp: na.Stamp, NotRun: na.NotRun, Load: na.ServerLoad, Customer: na.Customer,
	}
}

// Config configures a Server.
type Config struct {
	Names         HeaderNames
	Name          string        // name of this instance, unique among entry instances
	DataCentre    string        // data centre of this instance
	CallerDelay   time.Duration // one-way network delay to a caller
	PartialMargin time.Duration // time reserved between the end of waiting for missing parts and the route's target latency
	MaxInFlight   int           // limit of requests in flight
	// Warmup sets the burst factor and slack of requests to cold backend servers. Rate and
	// duration come from the configuration of each service.
	Warmup warmup.Limit
	// Quotas admits the requests of customers with a quota; nil means that quotas are not
	// enforced.
	Quotas Quotas
	// SharedStalls is set if entry instances tell each other of stalled backend servers,
	// where the configuration has a route over many shards and there are many of them.
	SharedStalls bool
	// Levels admits requests by the levels of all entry instances; nil means that each
	// instance decides alone.
	Levels *overload.Client
}

// Server answers the requests of callers. It is safe for concurrent use.
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

	tb               atomic.Pointer[route.Table]
	connections      atomic.Pointer[map[string]int] // connections that this instance may open to each server, by service
	scarceServers    atomic.Pointer[scarceServers]
	rejecting        atomic.Bool
	closing          atomic.Bool
	ranked           atomic.Bool // levels are used, and the table in force ranks requests
	view             atomic.Pointer[serverView]
	inFlight         atomic.Int64
	mergedTime       atomic.Int64 // sum of the time that merged requests were in flight, in nanoseconds
	metrics          serverMetrics
	customers        customerMetrics
	stalls           stallWatch
	stop             stopState
	serversChangedAt atomic.Int64 // when the set of backend servers last changed, in nanoseconds since started

	mu            sync.Mutex // guards the fields below
	servers       map[string][]registry.Server
	limits        map[string]int // connections that a backend server accepts, by service
	entries       entryCount
	sharers       entryCount           // entry instances that share the backend servers; zero if unknown
	tableServices map[string]bool      // services of the table in force
	expectedUntil map[string]time.Time // until when a service may still get its first ready backend server
}

// New returns a Server that rejects all requests until SetTable is called.
func New(cf Config, ts *timer.Service, lg *zap.Logger, up *upstream.Client, re *replica.Balancer, bu *budget.Budget, qa *quarantine.Tracker) *Server {
	sv := &Server{
		cf: cf, ts: ts, lg: lg, up: up, re: re, bu: bu, qa: qa,
		pk: route.NewPicker(), ad: admit.New(max(1, cf.MaxInFlight)), qu: newQueue(), stop: newStopState(),
		limits: make(map[string]int), expectedUntil: make(map[string]time.Time),
	}
	sv.connections.Store(&map[string]int{})
	sv.scarceServers.Store(&scarceServers{})
	sv.view.Store(&serverView{})
	sv.started = ts.Now()
	sv.metrics.register(sv)
	sv.customers.register(sv.metrics.set)
	ts.Timeout(singleConnectionDuration, sv.divideConnections)
	ts.Timeout(startupDuration, sv.divideConnections)
	return sv
}

// Table returns the table in force, or nil.
func (sv *Server) Table() *route.Table { return sv.tb.Load() }

// SetTable puts a table in force. Requests in flight continue under the table they started
// with.
func (sv *Server) SetTable(tb *route.Table) {
	sv.mu.Lock()
	sv.updateExpected(tb)
	sv.mu.Unlock()
	sv.ranked.Store(sv.cf.Levels != nil && ranksRequests(tb))
	sv.tb.Store(tb)
	sv.customers.retain(tb.Customers())
	sv.divideConnections()
}

// SetServers replaces the set of known backend servers, by service.
func (sv *Server) SetServers(ses map[string][]registry.Server) {
	sv.noteServersChanged()
	sv.re.Update(sv.ts.Now(), ses)
	sv.mu.Lock()
	sv.servers = ses
	sv.updateView()
	sv.mu.Unlock()
	sv.divideConnections()
}

// SetEntries sets the number of entry instances that share the backend servers.
func (sv *Server) SetEntries(count int) {
	now := sv.ts.Now()
	sv.bu.SetNumEntries(now, count)
	sv.mu.Lock()
	sv.logEntryCount(sv.entries.current, count)
	sv.entries = sv.updateCount(sv.entries, now, count)
	sv.mu.Unlock()
	sv.divideConnections()
}

// SetSharers sets the number of entry instances that callers are sent to.
func (sv *Server) SetSharers(count int) {
	now := sv.ts.Now()
	sv.mu.Lock()
	sv.sharers = sv.updateCount(sv.sharers, now, count)
	sv.mu.Unlock()
	sv.divideConnections()
}

// RejectAll makes the gateway reject every further request at once as not run.
func (sv *Server) RejectAll() { sv.rejecting.Store(true) }

// CloseAfterResponse makes the gateway close each caller's connection after its next
// response.
func (sv *Server) CloseAfterResponse() { sv.closing.Store(true) }

// MergedRequestTime returns the total time that merged requests have been in flight so far.
// Concurrent requests count separately.
func (sv *Server) MergedRequestTime() time.Duration { return time.Duration(sv.mergedTime.Load()) }

// InFlight returns the number of requests in flight.
func (sv *Server) InFlight() int { return int(sv.inFlight.Load()) }

// ServeHTTP answers one request of a caller.
func (sv *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	start := sv.ts.Now()
	inFlight := sv.inFlight.Add(1)
	defer sv.inFlight.Add(-1)
	if sv.closing.Load() || lifetimeExpired(rq.Context(), start) {
		wr.Header().Set("Connection", "close")
	}
	ca := &call{sv: sv, wr: wr, rq: rq, start: start, id: rq.Header.Get(sv.cf.Names.RequestID)}
	switch tb := sv.tb.Load(); {
	case tb == nil:
		ca.reject(reasonNoTable, retryAfterNoTable)
	case sv.rejecting.Load():
		ca.reject(reasonStopping, retryAfterStopping)
	case inFlight > int64(sv.cf.MaxInFlight):
		ca.reject(reasonBusy, retryAfterBusy)
	default:
		ca.tb = tb
		ca.serve()
	}
	ca.finish()
}

// WaitIdle waits until no request is in flight. It returns an error if the context ends
// first.
func (sv *Server) WaitIdle(ctx context.Context) error {
	for sv.InFlight() > 0 {
		if err := sv.ts.Sleep(ctx, idlePollInterval); err != nil {
			return err
		}
	}
	return nil
}

// idlePollInterval is how often WaitIdle checks for requests in flight.
const idlePollInterval = 20 * time.Millisecond
