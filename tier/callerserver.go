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

// Limits until a configuration sets some.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// idleTimeoutMargin is added to the idle timeout: a caller may reuse a connection
	// until the timeout, and its request then takes some time to arrive.
	idleTimeoutMargin = 500 * time.Millisecond
)

// callerServer serves callers. net/http fixes a server's limits when it starts, so a
// change of the limits starts a new http.Server on the same listener, and connections
// accepted before keep the limits that they were accepted with.
type callerServer struct {
	li net.Listener
	ha http.Handler
	ts *timer.Service
	lg *zap.Logger

	mu         sync.Mutex
	lm         route.Limits
	sv         *http.Server
	cl         *chanListener
	oldServers []*http.Server
}

func newCallerServer(li net.Listener, ha http.Handler, ts *timer.Service, lg *zap.Logger) *callerServer {
	cs := &callerServer{li: li, ha: ha, ts: ts, lg: lg}
	cs.startServer(route.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout})
	return cs
}

// startServer starts a server with the limits for connections accepted from now on.
func (cs *callerServer) startServer(lm route.Limits) {
	if cs.sv != nil {
		cs.oldServers = append(cs.oldServers, cs.sv)
		_ = cs.cl.Close()
	}
	cs.lm = lm
	cs.cl = newChanListener(cs.li.Addr())
	cs.sv = &http.Server{
		Handler:           cs.ha,
		ReadHeaderTimeout: lm.HeaderTimeout,
		IdleTimeout:       lm.IdleTimeout + idleTimeoutMargin,
		MaxHeaderBytes:    lm.HeaderBytes,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return gateway.WithLifetime(ctx, cs.ts.Now())
		},
	}
	go func(sv *http.Server, cl *chanListener) { _ = sv.Serve(cl) }(cs.sv, cs.cl)
}

// withDefaultLimits returns the limits with defaults for those that a configuration
// doesn't set. A timeout of 0 would end connections at once, or never.
func withDefaultLimits(lm route.Limits) route.Limits {
	if lm.HeaderBytes <= 0 {
		lm.HeaderBytes = defaultHeaderBytes
	}
	if lm.HeaderTimeout <= 0 {
		lm.HeaderTimeout = defaultHeaderTimeout
	}
	if lm.IdleTimeout <= 0 {
		lm.IdleTimeout = defaultIdleTimeout
	}
	return lm
}

// SetLimits applies the limits of a configuration to new connections.
func (cs *callerServer) SetLimits(lm route.Limits) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	lm = withDefaultLimits(lm)
	if lm == cs.lm {
		return
	}
	cs.lg.Info("limits-changed", zap.Any("Limits", lm))
	cs.startServer(lm)
}

// Serve accepts connections until the context ends.
func (cs *callerServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = cs.li.Close() })
	defer stop()
	for {
		nc, err := cs.li.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			if err := cs.ts.Sleep(ctx, acceptBackoff); err != nil {
				return err
			}
			continue
		}
		cs.dispatch(nc)
	}
}

// dispatch passes a connection to the server with the limits in force. If these change at
// that moment, it passes it to the next server: the connection was already accepted, so
// closing it would cost its caller a request.
func (cs *callerServer) dispatch(nc net.Conn) {
	for {
		cs.mu.Lock()
		cl := cs.cl
		cs.mu.Unlock()
		if cl.deliver(nc) {
			return
		}
		cs.mu.Lock()
		same := cl == cs.cl
		cs.mu.Unlock()
		if same {
			_ = nc.Close() // the callerServer is closed
			return
		}
	}
}

// acceptBackoff is the delay after a failed accept, as when descriptors run out.
const acceptBackoff = 20 * time.Millisecond

// Close ends all connections once they are idle, and the remaining ones when the context
// ends.
func (cs *callerServer) Close(ctx context.Context) {
	_ = cs.li.Close()
	cs.mu.Lock()
	svs := append(cs.oldServers, cs.sv)
	cs.mu.Unlock()
	for _, sv := range svs {
		if sv.Shutdown(ctx) != nil {
			_ = sv.Close()
		}
	}
}

// chanListener is a net.Listener whose connections are delivered through a channel.
type chanListener struct {
	ad   net.Addr
	ch   chan net.Conn
	done chan struct{}
	once sync.Once
}

func newChanListener(ad net.Addr) *chanListener {
	return &chanListener{ad: ad, ch: make(chan net.Conn), done: make(chan struct{})}
}

func (cl *chanListener) deliver(nc net.Conn) bool {
	select {
	case cl.ch <- nc:
		return true
	case <-cl.done:
		return false
	}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (cl *chanListener) Accept() (net.Conn, error) {
	select {
	case nc := <-cl.ch:
		return nc, nil
	case <-cl.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and deliver.
func (cl *chanListener) Close() error {
	cl.once.Do(func() { close(cl.done) })
	return nil
}

// Addr returns the address of the underlying listener.
func (cl *chanListener) Addr() net.Addr { return cl.ad }
