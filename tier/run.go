package tier

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/feed"
	"balsamwinch.example/fleet"
	"balsamwinch.example/link"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
	"balsamwinch.example/trail"
)

// Parameters of the links between instances.
const (
	linkDialTimeout = 250 * time.Millisecond
	// maxLinkSilence and minLinkSilence bound the time after which a silent link is
	// closed. Below the minimum, a machine that is slow for a moment would lose its
	// links, and all snapshots would be sent again.
	maxLinkSilence = 1200 * time.Millisecond
	minLinkSilence = 600 * time.Millisecond
	// linkSilenceFraction is the part of an update's deadline that detecting a silent
	// link may take. The rest is for opening a new link, which takes half a second with
	// the backoff and the dial.
	linkSilenceFraction = 0.4
	// pingsPerSilence is the number of pings that a link sends within the silence
	// timeout.
	pingsPerSilence = 4
)

// memoryLimitFraction is the part of the configured memory that becomes the soft limit of
// the Go runtime. The rest is for stacks, kernel buffers and what the runtime can't
// account for.
const memoryLimitFraction = 0.6

// gcPercent is the heap growth in percent that triggers a garbage collection. The live
// heap of an idle instance is one to two megabytes, and with the runtime's default of 100
// the heap grows to four before the first collection. With 40, the peak of an entry
// instance that serves 22 merged requests a second fell from 8.8 to 7.4 MB, and that of a
// control instance from 8.6 to 6.9 MB; processor time rose by 3 % (one run each). 20
// saved no more.
const gcPercent = 40

// Run runs one instance until the context ends and the graceful stop is over. changes
// delivers reloaded settings. The metrics that mws write are exposed along with the
// instance's own.
func Run(ctx context.Context, se Settings, changes <-chan Settings, di Dialect, lg *zap.Logger, mws ...MetricsWriter) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(se.Limits.MemoryMegabytes<<20) * memoryLimitFraction))
	ts := timer.New()
	ls := newLiveSettings(se)
	go ls.applyChanges(ctx, changes, lg)
	lg.Info("instance-starting", zap.String("Name", se.Name), zap.String("DataCentre", se.DataCentre),
		zap.Bool("Entry", se.Entry()), zap.Bool("Control", se.Control()), zap.Int("ProcessID", os.Getpid()), zap.Bool("FirstStart", se.FirstStart), trail.Synchronous())
	defer lg.Info("instance-stopped", zap.String("Name", se.Name), trail.Synchronous())
	lc := linkConfig(se.Timing, ts)
	mws = append(mws, writeProcessMetrics(ts.Now(), ts.Now))
	if se.Control() {
		return runControl(ctx, se, ls, di, lc, ts, lg, mws)
	}
	return runEntry(ctx, se, ls, di, lc, ts, lg, mws)
}

func linkConfig(ti Timing, ts *timer.Service) link.Config {
	silence := ti.linkSilence()
	return link.Config{
		Codec:          peer.NewCodec(link.Messages(), quorum.Messages(), fleet.Messages(), feed.Messages()),
		Timers:         ts,
		DialTimeout:    linkDialTimeout,
		PingInterval:   silence / pingsPerSilence,
		SilenceTimeout: silence,
	}
}

// linkSilence returns the time after which a silent link is closed.
//
// If one link of an entry instance is cut without a reset, the instance goes on serving
// with stale state: until it detects the silent link and opens a new one, it sends
// requests to a backend server that has left and routes by an older configuration.
// Timing.Drain and Timing.Apply bound that time, so the silence timeout is a fraction of
// the shorter one.
func (ti Timing) linkSilence() time.Duration {
	silence := time.Duration(linkSilenceFraction * float64(min(ti.Drain, ti.Apply)))
	return min(max(silence, minLinkSilence), maxLinkSilence)
}

// openListener opens a listener. Tests replace it to hand out listeners that they already
// hold, since a port that was free a moment ago may be taken.
var openListener = net.Listen

// listen opens a TCP listener. The error is a *result.Error.
func listen(address string) (net.Listener, error) {
	li, err := openListener("tcp4", address)
	if err != nil {
		return nil, &result.Error{Code: result.BadSettings, Op: "listen", Detail: address, Err: err}
	}
	return li, nil
}

// service adapts a function to suture.Service.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve runs the function.
func (se service) Serve(ctx context.Context) error { return se.run(ctx) }

// String returns the name that suture's events show.
func (se service) String() string { return se.name }

// newSupervisor returns a supervisor that logs failures of its services.
func newSupervisor(name string, lg *zap.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(ev suture.Event) { lg.Warn("service-event", zap.String("Detail", ev.String())) },
	})
}

// serveUntil runs the supervisor's services until the context has ended. It then calls
// shutdown, and stops the services when shutdown has returned.
func serveUntil(ctx context.Context, sp *suture.Supervisor, shutdown func()) {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := sp.ServeBackground(run)
	<-ctx.Done()
	shutdown()
	stop()
	<-done
}

// serveHTTP adds an HTTP server on the address to the supervisor and returns it; an empty
// address adds none.
func serveHTTP(sp *suture.Supervisor, name, address string, ha http.Handler) (*http.Server, error) {
	if address == "" {
		return &http.Server{}, nil
	}
	li, err := listen(address)
	if err != nil {
		return nil, err
	}
	sv := &http.Server{Addr: address, Handler: ha, ReadHeaderTimeout: apiHeaderTimeout, ReadTimeout: apiReadTimeout, IdleTimeout: apiIdleTimeout, MaxHeaderBytes: maxAPIHeaderBytes}
	sp.Add(service{name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = sv.Close() })
		defer stop()
		if err := sv.Serve(li); ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ctx.Done() // After Shutdown, calls may still be in flight.
		return ctx.Err()
	}})
	return sv, nil
}

// Limits of the HTTP servers for operators, backend servers and address look-ups.
const (
	apiHeaderTimeout  = 5 * time.Second
	apiReadTimeout    = 30 * time.Second // with the body
	apiIdleTimeout    = 30 * time.Second
	maxAPIHeaderBytes = 16 << 10
	maxAPIBodyBytes   = 8 << 20
)
