package tier

import (
	"context"
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

// Times of links between instances. A silent link is found within linkSilence,
// far within the time in which a change must be in force.
const (
	linkDial    = 250 * time.Millisecond
	linkPing    = 300 * time.Millisecond
	linkSilence = 1200 * time.Millisecond
)

// memoryShare is the part of the memory limit that the Go runtime aims at; the
// rest is for stacks, buffers of the kernel and what the runtime can't count.
const memoryShare = 0.6

// Run runs one instance until the context ends and the graceful stop is over.
// changes gives settings that were read again. What mws write is shown with the
// instance's own metrics.
func Run(ctx context.Context, se Settings, changes <-chan Settings, di Dialect, lg *zap.Logger, mws ...MetricsWriter) error {
	debug.SetMemoryLimit(int64(float64(se.Limits.MemoryMegabytes<<20) * memoryShare))
	ts := timer.New()
	sh := newShared(se)
	go sh.follow(ctx, changes, lg)
	lg.Info("instance-starting", zap.String("Name", se.Name), zap.String("DataCentre", se.DataCentre),
		zap.Bool("Entry", se.Entry()), zap.Bool("Control", se.Control()), zap.Int("ProcessID", os.Getpid()), zap.Bool("FirstStart", se.FirstStart), trail.AtOnce())
	defer lg.Info("instance-stopped", zap.String("Name", se.Name), trail.AtOnce())
	lc := linkConfig(ts)
	mws = append(mws, writeProcess(ts.Now(), ts.Now))
	if se.Control() {
		return runControl(ctx, se, sh, di, lc, ts, lg, mws)
	}
	return runEntry(ctx, se, sh, di, lc, ts, lg, mws)
}

func linkConfig(ts *timer.Service) link.Config {
	return link.Config{
		Codec:   peer.NewCodec(link.Messages(), quorum.Messages(), fleet.Messages(), feed.Messages()),
		TS:      ts,
		Dial:    linkDial,
		Ping:    linkPing,
		Silence: linkSilence,
	}
}

// openListener opens a listener. Tests give out listeners that they hold already,
// since a port that was free a moment ago may be taken.
var openListener = net.Listen

// listen opens a TCP address. The error is a *result.Error.
func listen(address string) (net.Listener, error) {
	li, err := openListener("tcp4", address)
	if err != nil {
		return nil, &result.Error{Code: result.BadSettings, Op: "listen", Detail: address, Err: err}
	}
	return li, nil
}

// service adapts a function to suture.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve runs the function.
func (se service) Serve(ctx context.Context) error { return se.run(ctx) }

// String returns the name that suture's events carry.
func (se service) String() string { return se.name }

// supervise returns a supervisor that logs failures of its services.
func supervise(name string, lg *zap.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(ev suture.Event) { lg.Warn("service-event", zap.String("Detail", ev.String())) },
	})
}

// serveUntil runs the supervisor's services until the context has ended and leave,
// which is called then, has returned.
func serveUntil(ctx context.Context, sp *suture.Supervisor, leave func()) {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := sp.ServeBackground(run)
	<-ctx.Done()
	leave()
	stop()
	<-done
}

// serveHTTP adds a listener with a handler to the supervisor.
func serveHTTP(sp *suture.Supervisor, name, address string, ha http.Handler) error {
	if address == "" {
		return nil
	}
	li, err := listen(address)
	if err != nil {
		return err
	}
	sv := &http.Server{Handler: ha, ReadHeaderTimeout: apiHeaderTimeout, IdleTimeout: apiIdleTimeout, MaxHeaderBytes: apiHeaderBytes}
	sp.Add(service{name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = sv.Close() })
		defer stop()
		if err := sv.Serve(li); ctx.Err() == nil {
			return err
		}
		return ctx.Err()
	}})
	return nil
}

// Bounds of the calls of operators, backend servers and callers to an instance.
const (
	apiHeaderTimeout = 5 * time.Second
	apiIdleTimeout   = 30 * time.Second
	apiHeaderBytes   = 16 << 10
	apiBodyBytes     = 8 << 20
)
