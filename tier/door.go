package tier

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/gateway"
	"balsamwinch.example/route"
	"balsamwinch.example/timer"
)

// Limits until a configuration names some.
const (
	firstHeaderBytes   = 16 << 10
	firstHeaderTimeout = 5 * time.Second
	firstIdleTimeout   = 60 * time.Second
	// idleSlack is how much longer than the limit a connection may be idle: its
	// caller may use it up to the limit, and what it sends travels a while.
	idleSlack = 500 * time.Millisecond
)

// door is the listener for callers. net/http fixes a server's limits when it
// begins, so a change of limits begins a new server on the same listener, and
// connections that were accepted before keep the limits that they came with.
type door struct {
	li net.Listener
	ha http.Handler
	ts *timer.Service
	lg *zap.Logger

	mu   sync.Mutex
	lm   route.Limits
	sv   *http.Server
	in   *inlet
	past []*http.Server
}

func newDoor(li net.Listener, ha http.Handler, ts *timer.Service, lg *zap.Logger) *door {
	do := &door{li: li, ha: ha, ts: ts, lg: lg}
	do.begin(route.Limits{HeaderBytes: firstHeaderBytes, HeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout})
	return do
}

// begin starts a server with the limits for connections accepted from now on.
func (do *door) begin(lm route.Limits) {
	if do.sv != nil {
		do.past = append(do.past, do.sv)
		_ = do.in.Close()
	}
	do.lm = lm
	do.in = newInlet(do.li.Addr())
	do.sv = &http.Server{
		Handler:           do.ha,
		ReadHeaderTimeout: lm.HeaderTimeout,
		IdleTimeout:       lm.IdleTimeout + idleSlack,
		MaxHeaderBytes:    lm.HeaderBytes,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return gateway.WithLifetime(ctx, do.ts.Now())
		},
	}
	go func(sv *http.Server, in *inlet) { _ = sv.Serve(in) }(do.sv, do.in)
}

// complete returns the limits with those of the start for what a configuration
// doesn't name. A time of 0 would end connections at once, or never.
func complete(lm route.Limits) route.Limits {
	if lm.HeaderBytes <= 0 {
		lm.HeaderBytes = firstHeaderBytes
	}
	if lm.HeaderTimeout <= 0 {
		lm.HeaderTimeout = firstHeaderTimeout
	}
	if lm.IdleTimeout <= 0 {
		lm.IdleTimeout = firstIdleTimeout
	}
	return lm
}

// SetLimits takes over the limits of a configuration.
func (do *door) SetLimits(lm route.Limits) {
	do.mu.Lock()
	defer do.mu.Unlock()
	lm = complete(lm)
	if lm == do.lm {
		return
	}
	do.lg.Info("limits-changed", zap.Any("Limits", lm))
	do.begin(lm)
}

// Serve accepts connections until the context ends.
func (do *door) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = do.li.Close() })
	defer stop()
	for {
		nc, err := do.li.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			if err := do.ts.Sleep(ctx, acceptPause); err != nil {
				return err
			}
			continue
		}
		do.give(nc)
	}
}

// give hands a connection to the server of the limits in force. If these change
// at that moment, the next server takes it: the connection was accepted, so
// closing it would cost its caller a request.
func (do *door) give(nc net.Conn) {
	for {
		do.mu.Lock()
		in := do.in
		do.mu.Unlock()
		if in.give(nc) {
			return
		}
		do.mu.Lock()
		same := in == do.in
		do.mu.Unlock()
		if same {
			_ = nc.Close() // The door is closed.
			return
		}
	}
}

// acceptPause is the pause after a failed accept, as when descriptors run out.
const acceptPause = 20 * time.Millisecond

// Close ends all connections once they are idle, at the end of the context in
// any case.
func (do *door) Close(ctx context.Context) {
	_ = do.li.Close()
	do.mu.Lock()
	svs := append(do.past, do.sv)
	do.mu.Unlock()
	for _, sv := range svs {
		if sv.Shutdown(ctx) != nil {
			_ = sv.Close()
		}
	}
}

// inlet is a listener that is given its connections.
type inlet struct {
	ad   net.Addr
	ch   chan net.Conn
	done chan struct{}
	once sync.Once
}

func newInlet(ad net.Addr) *inlet {
	return &inlet{ad: ad, ch: make(chan net.Conn), done: make(chan struct{})}
}

func (in *inlet) give(nc net.Conn) bool {
	select {
	case in.ch <- nc:
		return true
	case <-in.done:
		return false
	}
}

// Accept returns the next connection.
func (in *inlet) Accept() (net.Conn, error) {
	select {
	case nc := <-in.ch:
		return nc, nil
	case <-in.done:
		return nil, net.ErrClosed
	}
}

// Close ends the inlet.
func (in *inlet) Close() error {
	in.once.Do(func() { close(in.done) })
	return nil
}

// Addr returns the address of the listener behind.
func (in *inlet) Addr() net.Addr { return in.ad }
