// Package emulate simulates the environment of the routed tier, so that the tier can be
// tested and measured on one machine: backend servers with slots, queues, pauses and
// faults, and an HTTP dialect for the communication of backend servers, operators and
// callers with the instances. It also runs a whole tier on loopback addresses. It
// contains none of the tier's own logic.
package emulate

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

// Config describes an emulated backend server. A zero field disables what it describes,
// unless a default is given.
type Config struct {
	ID         string // new for each start
	Service    string
	DataCentre string
	Version    string // software version of the server
	Born       int64  // start time in Unix milliseconds; 0 if not announced
	Address    string // IP:port to listen on; default any port at 127.0.0.1
	Slots      int    // maximum concurrent requests; at least 1
	Queue      int    // maximum requests that wait for a slot; further ones are rejected
	// Connections is the maximum number of connections, from all callers together; those
	// beyond are reset. Default: no limit.
	Connections int
	// ConnectionCost is the additional time for which the first request on a connection
	// holds its slot.
	ConnectionCost    time.Duration
	ServiceTime       ServiceTime
	Pause             Pause
	ServiceTimeFactor float64           // multiplies all service times; default 1
	Warmup            time.Duration     // time after the start during which the server is slow
	WarmupFactor      float64           // multiplies service times during Warmup; default 1
	Records           int               // records in each response
	ReportLoad        bool              // adds the load to each response
	AnnounceInterval  time.Duration     // default 1 s
	DrainDelay        time.Duration     // how long a draining server continues to serve
	IdleTimeout       time.Duration     // when an idle connection is closed; default 30 s
	Seed              uint64            // makes service times, pauses and faults reproducible
	OnEvent           func(ServerEvent) // called for each event, concurrently; may be nil
	// OnCrash is called once the server has crashed on a request with CrashPathMarker in
	// its path; if nil, no request crashes the server.
	OnCrash func(se *Server)
}

const (
	anyAddress              = "127.0.0.1:0"
	defaultAnnounceInterval = time.Second
	defaultIdleTimeout      = 30 * time.Second
)

func (cf Config) withDefaults() Config {
	if cf.Address == "" {
		cf.Address = anyAddress
	}
	cf.Slots = max(1, cf.Slots)
	if cf.ServiceTimeFactor <= 0 {
		cf.ServiceTimeFactor = 1
	}
	if cf.WarmupFactor <= 0 {
		cf.WarmupFactor = 1
	}
	if cf.AnnounceInterval <= 0 {
		cf.AnnounceInterval = defaultAnnounceInterval
	}
	if cf.IdleTimeout <= 0 {
		cf.IdleTimeout = defaultIdleTimeout
	}
	return cf
}

// Counts are a server's counts of the requests with the same first path segment.
type Counts struct {
	Arrived int // requests read, whatever their outcome
	Ran     int // requests that started to run
	NotRun  int // requests that were rejected
}

// Plus returns the sum of two counts.
func (co Counts) Plus(other Counts) Counts {
	return Counts{co.Arrived + other.Arrived, co.Ran + other.Ran, co.NotRun + other.NotRun}
}

// Server is an emulated backend server. It is safe for concurrent use.
type Server struct {
	cf        Config
	an        Announcer
	ts        *timer.Service
	lg        *zap.Logger
	li        *listener
	hs        *http.Server
	ps        *pauses
	started   time.Time
	slots     chan struct{}
	waiting   atomic.Int64
	state     atomic.Int64 // a registry.State
	faults    atomic.Pointer[Faults]
	sequence  atomic.Uint64
	announced atomic.Bool
	crashed   atomic.Bool // whether a request has crashed the server

	mu     sync.Mutex // guards the fields below
	rd     *rand.Rand
	counts map[string]Counts
}

// New returns a server that listens, but responds to requests and announces itself only
// while Serve runs. It announces itself to an.
func New(cf Config, an Announcer, ts *timer.Service, lg *zap.Logger) (*Server, error) {
	cf = cf.withDefaults()
	li, err := net.Listen("tcp4", cf.Address)
	if err != nil {
		return nil, err
	}
	se := &Server{
		cf: cf, an: an, ts: ts, lg: lg, li: newListener(li, cf.Connections), started: ts.Now(),
		slots: make(chan struct{}, cf.Slots), counts: make(map[string]Counts),
		ps: newPauses(cf.Pause, cf.Seed, ts.Now()), rd: rand.New(rand.NewPCG(cf.Seed, serviceTimeStream)),
	}
	se.li.onConnection = func(kind ServerEventKind) { se.emit(kind, nil) }
	se.faults.Store(&Faults{})
	se.hs = &http.Server{
		Handler: se, IdleTimeout: cf.IdleTimeout,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, &connection{})
		},
	}
	return se, nil
}

// CrashPathMarker is in the path of requests that crash the servers which run them.
const CrashPathMarker = "fatal"

// crashOn crashes the server if the request is one that does: it closes all connections
// at once, without announcing it to control.
func (se *Server) crashOn(rq *http.Request) {
	if se.cf.OnCrash == nil || !strings.Contains(rq.URL.Path, CrashPathMarker) {
		return
	}
	if !se.crashed.Swap(true) {
		se.emit(EventServerCrashed, rq)
		_ = se.hs.Close()
		se.cf.OnCrash(se)
	}
	panic(http.ErrAbortHandler)
}

// ID returns the server's ID.
func (se *Server) ID() string { return se.cf.ID }

// Service returns the service that the server belongs to.
func (se *Server) Service() string { return se.cf.Service }

// Address returns the IP:port that the server listens on.
func (se *Server) Address() string { return se.li.Addr().String() }

// SetFaults replaces the faults of the server.
func (se *Server) SetFaults(fa Faults) { se.faults.Store(&fa) }

// Halt pauses the server for a time from now on, health checks included. Requests that
// already run continue.
func (se *Server) Halt(length time.Duration) { se.ps.halt(se.ts.Now().Add(length)) }

// Announced reports whether control has received an announcement of the server.
func (se *Server) Announced() bool { return se.announced.Load() }

// Counts returns the counts of the requests whose path begins with the segment, such as
// "a" in /a/b.
func (se *Server) Counts(segment string) Counts {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.counts[segment]
}

// RejectedConnections returns how many connections were reset because of the limit.
func (se *Server) RejectedConnections() int { return int(se.li.rejected.Load()) }

// Serve handles requests and announces the server until the context ends; then all
// connections are closed at once, as in a crash. It returns suture.ErrDoNotRestart once
// the server has drained.
func (se *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = se.hs.Close() })
	defer stop()
	announceCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { se.announceLoop(announceCtx) })
	err := se.hs.Serve(se.li)
	cancel()
	wg.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}

// announceLoop announces the server at intervals until it has left.
func (se *Server) announceLoop(ctx context.Context) {
	for ctx.Err() == nil && registry.State(se.state.Load()) != registry.Gone {
		if err := se.announce(ctx); err != nil && ctx.Err() == nil {
			se.lg.Warn("announcement-failed", zap.String("Server", se.cf.ID), zap.Error(err))
		}
		_ = se.ts.Sleep(ctx, se.cf.AnnounceInterval)
	}
}

func (se *Server) announce(ctx context.Context) error {
	warm := max(0, se.cf.Warmup-se.ts.Now().Sub(se.started))
	state := registry.State(se.state.Load())
	err := se.an.Announce(ctx, registry.Server{
		ID: se.cf.ID, Service: se.cf.Service, Address: se.Address(), DataCentre: se.cf.DataCentre, Version: se.cf.Version,
		Slots: se.cf.Slots, State: state, Sequence: se.sequence.Add(1), WarmMillis: warm.Milliseconds(), Born: se.cf.Born,
	})
	if err == nil {
		se.announced.Store(true)
		if state == registry.Draining {
			se.emit(EventDrainAcknowledged, nil)
		}
	}
	return err
}

// Drain makes the server leave as planned: it announces that it drains, continues to
// serve for DrainDelay, announces that it has left, and shuts down once its requests have
// finished. If control doesn't receive an announcement, the server shuts down all the
// same and the error reports it.
func (se *Server) Drain(ctx context.Context) error {
	se.state.Store(int64(registry.Draining))
	announceErr := se.announce(ctx)
	_ = se.ts.Sleep(ctx, se.cf.DrainDelay)
	se.state.Store(int64(registry.Gone))
	announceErr = errors.Join(announceErr, se.an.Leave(ctx, se.cf.ID))
	return errors.Join(announceErr, se.hs.Shutdown(ctx))
}

// Leave announces to an that the server leaves, which goes on serving. ShutDownAfterDelay
// must follow.
func (se *Server) Leave(ctx context.Context, an Announcer) error {
	se.state.Store(int64(registry.Gone))
	if err := an.Leave(ctx, se.cf.ID); err != nil {
		return err
	}
	se.emit(EventDrainAcknowledged, nil)
	return nil
}

// ShutDownAfterDelay continues to serve for DrainDelay, and shuts down once the requests have
// finished.
func (se *Server) ShutDownAfterDelay(ctx context.Context) error {
	_ = se.ts.Sleep(ctx, se.cf.DrainDelay)
	return se.hs.Shutdown(ctx)
}

func (se *Server) addCounts(rq *http.Request, add Counts) {
	segment, _, _ := strings.Cut(strings.TrimPrefix(rq.URL.Path, "/"), "/")
	se.mu.Lock()
	defer se.mu.Unlock()
	if _, ok := se.counts[segment]; !ok && len(se.counts) >= maxSegments {
		segment = ""
	}
	se.counts[segment] = se.counts[segment].Plus(add)
}

// maxSegments bounds the first path segments with separate counts; requests with further
// ones are counted together under the empty segment.
const maxSegments = 64
