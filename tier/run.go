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

// Times of links between instances.
const (
	linkDial = 250 * time.Millisecond
	// linkSilenceMost and linkSilenceLeast bound the time after which a silent link
	// is given up. Below the least, a machine that is slow for a moment would lose
	// its links, and all pictures would be sent again.
	linkSilenceMost  = 1200 * time.Millisecond
	linkSilenceLeast = 600 * time.Millisecond
	// linkSilenceShare is the part of the time in which news must have arrived that
	// finding a silent link may take; the rest is for a new one, which takes half a
	// second with its pause and the dial.
	linkSilenceShare = 0.4
	// linkPings is how many pings a link sends within the silence.
	linkPings = 4
)

// memoryShare is the part of the memory limit that the Go runtime aims at; the
// rest is for stacks, buffers of the kernel and what the runtime can't count.
const memoryShare = 0.6

// garbagePercent is by how much the heap may grow between two collections. What an
// instance holds at rest is one or two megabytes, and the runtime's usual 100 lets the
// heap grow to four before the first collection. With 40 the peak of an entry instance
// that serves 22 merged requests a second fell from 8.8 to 7.4 MB and that of a control
// instance from 8.6 to 6.9 MB; processor time rose by 3 % (one run each; 20 gained no
// more).
const garbagePercent = 40

// Run runs one instance until the context ends and the graceful stop is over.
// changes gives settings that were read again. What mws write is shown with the
// instance's own metrics.
func Run(ctx context.Context, se Settings, changes <-chan Settings, di Dialect, lg *zap.Logger, mws ...MetricsWriter) error {
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(float64(se.Limits.MemoryMegabytes<<20) * memoryShare))
	ts := timer.New()
	sh := newShared(se)
	go sh.follow(ctx, changes, lg)
	lg.Info("instance-starting", zap.String("Name", se.Name), zap.String("DataCentre", se.DataCentre),
		zap.Bool("Entry", se.Entry()), zap.Bool("Control", se.Control()), zap.Int("ProcessID", os.Getpid()), zap.Bool("FirstStart", se.FirstStart), trail.AtOnce())
	defer lg.Info("instance-stopped", zap.String("Name", se.Name), trail.AtOnce())
	lc := linkConfig(se.Timing, ts)
	mws = append(mws, writeProcess(ts.Now(), ts.Now))
	if se.Control() {
		return runControl(ctx, se, sh, di, lc, ts, lg, mws)
	}
	return runEntry(ctx, se, sh, di, lc, ts, lg, mws)
}

func linkConfig(ti Timing, ts *timer.Service) link.Config {
	silence := ti.linkSilence()
	return link.Config{
		Codec:   peer.NewCodec(link.Messages(), quorum.Messages(), fleet.Messages(), feed.Messages()),
		TS:      ts,
		Dial:    linkDial,
		Ping:    silence / linkPings,
		Silence: silence,
	}
}

// linkSilence returns the time after which a silent link is given up.
//
// One link of an entry instance is cut without a reset, and the instance goes on
// serving: it sends requests to a backend server that has left, and handles them as
// an older configuration says, until it finds that the link is silent and opens
// another one. Drain and Apply bound that time, so the silence is a part of the
// shorter one.
func (ti Timing) linkSilence() time.Duration {
	share := time.Duration(linkSilenceShare * float64(min(ti.Drain, ti.Apply)))
	return min(max(share, linkSilenceLeast), linkSilenceMost)
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
