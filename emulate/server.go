// Package emulate plays what stands around the routed tier, so that the tier can
// be tried and measured on one machine: backend servers with slots, queues,
// pauses and faults, and a dialect of the product's own in which they, operators
// and callers speak with the instances. It also runs a whole tier on loopback
// addresses. It decides nothing that the tier decides.
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

// Config describes an emulated backend server. A zero field switches off what it
// describes, where no default is named.
type Config struct {
	ID         string // ID is new at each start.
	Service    string
	DataCentre string
	Version    string // Version is that of the server's software.
	Born       int64  // Born is when this start began, in Unix milliseconds; 0 says nothing of it.
	Address    string // Address is the IP:port to listen on; default any port at 127.0.0.1.
	Slots      int    // Slots is how many requests are worked on at once; at least 1.
	Queue      int    // Queue is how many requests wait for a slot before further ones are refused.
	// Connections is how many connections are accepted from all callers together;
	// those beyond are reset. Default: no limit.
	Connections int
	// ConnectionCost is how much longer the first request of a connection holds its
	// slot.
	ConnectionCost    time.Duration
	ServiceTime       ServiceTime
	Pause             Pause
	ServiceTimeFactor float64           // Pace multiplies all work; default 1.
	Warmup            time.Duration     // Warm is for how long after its start the server is slow.
	WarmupFactor      float64           // WarmFactor is how slow it is then; default 1.
	Records           int               // Records is how many records an answer has.
	ReportLoad        bool              // ReportLoad adds the load to each answer.
	AnnounceInterval  time.Duration     // Announcement is the time between two announcements; default 1 s.
	DrainDelay        time.Duration     // DrainFor is how long a draining server goes on serving.
	IdleTimeout       time.Duration     // IdleTimeout is when an idle connection is closed; default 30 s.
	Seed              uint64            // Seed makes work, pauses and faults repeatable.
	OnEvent           func(ServerEvent) // Note is told what the server sees, by many goroutines at once; may be nil.
	// Ended is called once the server has ended under a request with FatalText in its
	// path; nil: it doesn't end under any.
	OnCrash func(se *Server)
}

const (
	anyAddress          = "127.0.0.1:0"
	defaultAnnouncement = time.Second
	defaultIdleTimeout  = 30 * time.Second
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
		cf.AnnounceInterval = defaultAnnouncement
	}
	if cf.IdleTimeout <= 0 {
		cf.IdleTimeout = defaultIdleTimeout
	}
	return cf
}

// Counts are what a server counted of the requests with one first path segment.
type Counts struct {
	Arrived int // Arrived counts the requests read, whatever became of them.
	Ran     int // Ran counts those that were begun.
	NotRun  int // NotRun counts those that were refused.
}

// Plus returns the sum of two counts.
func (co Counts) Plus(other Counts) Counts {
	return Counts{co.Arrived + other.Arrived, co.Ran + other.Ran, co.NotRun + other.NotRun}
}

// Server is an emulated backend server. It is safe for concurrent use.
type Server struct {
	cf      Config
	an      Announcer
	ts      *timer.Service
	lg      *zap.Logger
	li      *listener
	hs      *http.Server
	ps      *pauses
	started time.Time
	slots   chan struct{}
	waiting atomic.Int64
	state   atomic.Int64 // state is a registry.State.
	tr      atomic.Pointer[Faults]
	seq     atomic.Uint64
	heard   atomic.Bool
	ended   atomic.Bool // ended says that a request has ended the server.

	mu     sync.Mutex // mu guards what follows.
	rd     *rand.Rand
	counts map[string]Counts
}

// New returns a server that listens, but answers and announces itself only while
// Serve runs. Calls that announce it go to an.
func New(cf Config, an Announcer, ts *timer.Service, lg *zap.Logger) (*Server, error) {
	cf = cf.withDefaults()
	li, err := net.Listen("tcp4", cf.Address)
	if err != nil {
		return nil, err
	}
	se := &Server{
		cf: cf, an: an, ts: ts, lg: lg, li: newListener(li, cf.Connections), started: ts.Now(),
		slots: make(chan struct{}, cf.Slots), counts: make(map[string]Counts),
		ps: newPauses(cf.Pause, cf.Seed, ts.Now()), rd: rand.New(rand.NewPCG(cf.Seed, workStream)),
	}
	se.li.note = func(kind ServerEventKind) { se.note(kind, nil) }
	se.tr.Store(&Faults{})
	se.hs = &http.Server{
		Handler: se, IdleTimeout: cf.IdleTimeout,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, &connection{})
		},
	}
	return se, nil
}

// FatalText is in the path of requests under which servers end.
const CrashPathMarker = "fatal"

// endsUnder ends the server if the request is one that does that: all its connections at
// once, and without a word to control.
func (se *Server) endsUnder(rq *http.Request) {
	if se.cf.OnCrash == nil || !strings.Contains(rq.URL.Path, CrashPathMarker) {
		return
	}
	if !se.ended.Swap(true) {
		se.note(EventServerCrashed, rq)
		_ = se.hs.Close()
		se.cf.OnCrash(se)
	}
	panic(http.ErrAbortHandler)
}

// ID returns the server's id.
func (se *Server) ID() string { return se.cf.ID }

// Service returns the service that the server belongs to.
func (se *Server) Service() string { return se.cf.Service }

// Address returns the IP:port that the server listens on.
func (se *Server) Address() string { return se.li.Addr().String() }

// SetTrouble makes the server suffer from a trouble from now on.
func (se *Server) SetFaults(tr Faults) { se.tr.Store(&tr) }

// Halt makes the server stand still for a time from now on, whatever it is asked.
// Work that was begun before goes on.
func (se *Server) Halt(length time.Duration) { se.ps.halt(se.ts.Now().Add(length)) }

// Announced reports whether control has heard of the server.
func (se *Server) Announced() bool { return se.heard.Load() }

// Counts returns what was counted of the requests whose path begins with the
// segment, as "a" in /a/b.
func (se *Server) Counts(segment string) Counts {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.counts[segment]
}

// OverLimit counts the connections that were reset as beyond the limit.
func (se *Server) RejectedConnections() int { return int(se.li.over.Load()) }

// Serve answers requests and announces the server until the context ends; then
// all connections are closed at once, as in a crash. It returns
// suture.ErrDoNotRestart once the server has drained.
func (se *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = se.hs.Close() })
	defer stop()
	beat, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { se.announceAll(beat) })
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

// announceAll announces the server again and again until it has left.
func (se *Server) announceAll(ctx context.Context) {
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
		Slots: se.cf.Slots, State: state, Sequence: se.seq.Add(1), WarmMillis: warm.Milliseconds(), Born: se.cf.Born,
	})
	if err == nil {
		se.heard.Store(true)
		if state == registry.Draining {
			se.note(EventDrainAcknowledged, nil)
		}
	}
	return err
}

// Drain makes the server leave as planned: it says that it drains, goes on
// serving for DrainFor, says that it is gone, and ends once its requests have.
// If control doesn't hear it, it ends all the same and the error says so.
func (se *Server) Drain(ctx context.Context) error {
	se.state.Store(int64(registry.Draining))
	told := se.announce(ctx)
	_ = se.ts.Sleep(ctx, se.cf.DrainDelay)
	se.state.Store(int64(registry.Gone))
	told = errors.Join(told, se.an.Leave(ctx, se.cf.ID))
	return errors.Join(told, se.hs.Shutdown(ctx))
}

func (se *Server) count(rq *http.Request, add Counts) {
	segment, _, _ := strings.Cut(strings.TrimPrefix(rq.URL.Path, "/"), "/")
	se.mu.Lock()
	defer se.mu.Unlock()
	if _, ok := se.counts[segment]; !ok && len(se.counts) >= mostSegments {
		segment = ""
	}
	se.counts[segment] = se.counts[segment].Plus(add)
}

// mostSegments bounds the first path segments that are counted apart; requests
// with further ones are counted together under the empty one.
const mostSegments = 64
