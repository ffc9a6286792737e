// Package instance runs one instance of balsamwinch: the control thread, which performs the
// actions that the packages without I/O decide on; the listeners for callers, backend servers,
// operators and other instances; and the graceful stop.
package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/control"
	"balsamwinch.example/fanout"
	"balsamwinch.example/limit"
	"balsamwinch.example/member"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
	"balsamwinch.example/wal"
)

// Limits and delays of the listeners.
const (
	headerTimeout = 10 * time.Second
	// flushDelay is how long a stopping instance waits for its last messages to be sent.
	flushDelay     = 200 * time.Millisecond
	maxHeaderBytes = 16 << 10
	// sweepInterval is the longest time between two checks for idle connections to backend
	// servers that have expired.
	sweepInterval = 10 * time.Second
)

// Instance is one running instance.
type Instance struct {
	cf        settings.Instance
	ts        *timer.Service
	lg        *zap.Logger
	ce        *view.Cell
	set       *metrics.Set
	pe        *peer.Peer
	th        *thread
	jo        *wal.Journal
	rn        *renewer
	bs        *bootstrapper
	lc        *leaderClient
	cl        *backend.Client
	ta        *limit.Table
	en        *fanout.Engine
	listeners []listener

	lastView  *view.View // the view that was passed on last
	nextSweep time.Time  // when idle connections are checked again
	connected bool       // whether lastView allowed connections to backend servers

	stop     chan struct{}
	stopOnce sync.Once
	kill     chan struct{}
}

// New opens the data folder and the listeners; requests are served once Serve runs. The TLS
// configuration comes from package keys.
func New(cf settings.Instance, tl *tls.Config, ts *timer.Service, lg *zap.Logger) (*Instance, error) {
	lg = lg.With(zap.String("Instance", cf.Name), zap.String("DataCentre", cf.DataCentre))
	in := &Instance{
		cf:   cf,
		ts:   ts,
		lg:   lg,
		ce:   &view.Cell{},
		set:  metrics.NewSet(),
		stop: make(chan struct{}),
		kill: make(chan struct{}),
	}
	co := peer.NewCodec(quorum.Messages(), control.Messages(), member.Messages(), messages())
	pe, err := peer.New(peer.Config{Self: cf.Name, Address: cf.Addresses.Peer, TLS: tl}, co, in.receive, ts, lg)
	if err != nil {
		return nil, err
	}
	in.pe = pe
	if err := in.listen(); err != nil {
		return nil, errors.Join(err, in.close())
	}
	in.th = newThread(cf, in.self(), in.ce, co, ts, lg, in.viewChanged)
	in.th.pe = pe
	in.lc = &leaderClient{cf: cf, pc: in, th: in.th, ts: ts}
	in.rn = &renewer{cf: cf, ce: in.ce, th: in.th, pc: in, ts: ts, lg: lg, leaving: make(chan chan<- struct{})}
	if err := in.openControl(); err != nil {
		return nil, errors.Join(err, in.close())
	}
	in.serveHTTP()
	in.registerMetrics()
	return in, nil
}

func (in *Instance) openControl() error {
	if !in.cf.Has(settings.Control) {
		return nil
	}
	jo, rc, err := wal.Open(in.cf.DataFolder, in.lg)
	if err != nil {
		return err
	}
	in.jo = jo
	vo, err := newVoter(in.th, jo, rc)
	if err != nil {
		return err
	}
	in.th.vo = vo
	in.bs = &bootstrapper{cf: in.cf, id: vo.id, pc: in, th: in.th, ts: in.ts, lg: in.lg}
	return nil
}

func (in *Instance) self() view.Instance {
	return view.Instance{
		Name:            in.cf.Name,
		Region:          in.cf.Region,
		DataCentre:      in.cf.DataCentre,
		Entry:           in.cf.Has(settings.Entry),
		CallerAddress:   in.Address("Caller"),
		BackendAddress:  in.Address("Backend"),
		OperatorAddress: in.Address("Operator"),
		PeerAddress:     in.Address("Peer"),
		Incarnation:     uint64(in.ts.Now().UnixNano()),
	}
}

// receive passes a message from another instance to the control thread. If the message is a
// call, it waits for the reply.
func (in *Instance) receive(ctx context.Context, from string, ms peer.Message) (peer.Message, error) {
	if !isCall(ms) {
		return nil, in.th.post(ctx, messageReceived{from: from, ms: ms})
	}
	reply := make(chan peer.Message, 1)
	if err := in.th.post(ctx, messageReceived{from: from, ms: ms, reply: reply}); err != nil {
		return nil, err
	}
	select {
	case rp := <-reply:
		return rp, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func isCall(ms peer.Message) bool {
	switch ms.(type) {
	case formationRequest, control.Renewal, control.Proposal, control.StatusRequest,
		control.AuditRequest, filesRequest, votersRequest:
		return true
	default:
		return false
	}
}

// call calls another instance, or this one without using the network.
func (in *Instance) call(ctx context.Context, name string, ms peer.Message) (peer.Message, error) {
	if name == in.cf.Name {
		return in.receive(ctx, name, ms)
	}
	return in.pe.Call(ctx, name, in.peerAddress(name), ms)
}

func (in *Instance) peerAddress(name string) string {
	for _, vr := range in.cf.Control.Voters {
		if vr.Name == name {
			return vr.Address
		}
	}
	for _, ot := range in.ce.Load().Instances {
		if ot.Name == name && ot.PeerAddress != "" {
			return ot.PeerAddress
		}
	}
	return ""
}

// Stop starts a graceful stop, as SIGTERM does.
func (in *Instance) Stop() {
	in.stopOnce.Do(func() { close(in.stop) })
}

// Kill ends the instance without notifying anyone, as far as that is possible within a
// process. It is for failure tests.
func (in *Instance) Kill() {
	close(in.kill)
}

// Ready reports whether the instance would serve a caller now.
func (in *Instance) Ready() bool {
	vi := in.ce.Load()
	return !vi.Draining && vi.Configuration.Revision > 0 && vi.Leased(in.ts.Now())
}

// View returns the current view.
func (in *Instance) View() *view.View {
	return in.ce.Load()
}

// Serve runs the instance until the context ends or Stop is called, and then stops gracefully.
// The error is nil after a graceful stop.
func (in *Instance) Serve(ctx context.Context) error {
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := in.supervise(running)
	select {
	case err := <-done:
		return errors.Join(err, in.close())
	case <-in.kill:
	case <-ctx.Done():
		in.drain()
	case <-in.stop:
		in.drain()
	}
	cancel()
	in.closeServers()
	<-done
	return in.close()
}

// supervise starts all services under one supervisor.
func (in *Instance) supervise(ctx context.Context) <-chan error {
	su := suture.New(in.cf.Name, suture.Spec{EventHook: in.logSupervisorEvent})
	su.Add(in.pe)
	su.Add(in.th)
	su.Add(in.rn)
	if in.bs != nil && !in.th.vo.formed {
		su.Add(in.bs)
	}
	for _, li := range in.listeners {
		su.Add(li)
	}
	return su.ServeBackground(ctx)
}

func (in *Instance) logSupervisorEvent(ev suture.Event) {
	if _, ok := ev.(suture.EventServiceTerminate); ok {
		in.lg.Warn("service-ended", zap.Any("Event", ev.Map()))
	}
}

// close releases what New opened.
func (in *Instance) close() error {
	var errs []error
	for _, li := range in.listeners {
		_ = li.ln.Close()
	}
	if in.cl != nil {
		in.cl.Close()
	}
	if in.jo != nil {
		errs = append(errs, in.jo.Close())
	}
	return errors.Join(errs...)
}
