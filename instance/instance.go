// Package instance runs one instance of balsamwinch: the control thread that
// performs what the pure packages decide, the listeners for callers, backend
// servers, operators and other instances, and the graceful stop.
package instance

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/caller"
	"balsamwinch.example/control"
	"balsamwinch.example/fanout"
	"balsamwinch.example/journal"
	"balsamwinch.example/limit"
	"balsamwinch.example/member"
	"balsamwinch.example/operator"
	"balsamwinch.example/peer"
	"balsamwinch.example/quorum"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
)

// Times of the HTTP servers.
const (
	headerTimeout = 10 * time.Second
	// handOver is how long a stopping instance gives its last words to leave.
	handOver   = 200 * time.Millisecond
	maxHeaders = 16 << 10
	// sweepPeriod is how often, at least, idle connections to backend servers that
	// are past their time are closed.
	sweepPeriod = 10 * time.Second
)

// Instance is one running instance.
type Instance struct {
	cf   settings.Instance
	ts   *timer.Service
	lg   *zap.Logger
	ce   *view.Cell
	set  *metrics.Set
	pe   *peer.Peer
	th   *thread
	jo   *journal.Journal
	rn   *renewer
	fo   *former
	la   *leaderAsker
	cl   *backend.Client
	ta   *limit.Table
	en   *fanout.Engine
	open []listening

	last      *view.View // last is the view that the control thread last passed on.
	sweepAt   time.Time  // sweepAt is when idle connections are looked at again.
	connected bool       // connected says whether the last view allowed connections.

	stop chan struct{}
	once sync.Once
	kill chan struct{}
}

// listening is one HTTP server and what it listens on.
type listening struct {
	name string
	ln   net.Listener
	sv   *http.Server
}

// New opens the data folder and listens, and serves nothing before Serve. The
// TLS settings come from package keys.
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
	in.la = &leaderAsker{cf: cf, as: in, th: in.th, ts: ts}
	in.rn = &renewer{cf: cf, ce: in.ce, th: in.th, as: in, ts: ts, lg: lg, leaving: make(chan chan<- struct{})}
	if err := in.openControl(); err != nil {
		return nil, errors.Join(err, in.close())
	}
	in.serveHTTP()
	in.export()
	return in, nil
}

func (in *Instance) openControl() error {
	if !in.cf.Has(settings.Control) {
		return nil
	}
	jo, rc, err := journal.Open(in.cf.DataFolder, in.lg)
	if err != nil {
		return err
	}
	in.jo = jo
	vo, err := newVoter(in.th, jo, rc)
	if err != nil {
		return err
	}
	in.th.vo = vo
	in.fo = &former{cf: in.cf, id: vo.id, as: in, th: in.th, ts: in.ts, lg: in.lg}
	return nil
}

// listen opens the TCP listeners, so that addresses chosen by the kernel are
// known before anything is told to others.
func (in *Instance) listen() error {
	for _, li := range []struct{ name, address string }{
		{"Caller", in.cf.Addresses.Caller},
		{"Backend", in.cf.Addresses.Backend},
		{"Operator", in.cf.Addresses.Operator},
	} {
		if li.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", li.address)
		if err != nil {
			return err
		}
		in.open = append(in.open, listening{name: li.name, ln: ln})
	}
	return nil
}

// Address returns where the named listener (Caller, Backend, Operator or Peer)
// listens, or "" if there is none.
func (in *Instance) Address(name string) string {
	if name == "Peer" {
		return in.pe.Address()
	}
	for _, li := range in.open {
		if li.name == name {
			return li.ln.Addr().String()
		}
	}
	return ""
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

// serveHTTP makes the handlers and the servers of all listeners.
func (in *Instance) serveHTTP() {
	in.cl = backend.NewClient(in.ts, in.lg, backend.ClientConfig{
		SilentAfter: in.cf.Timing.SilentAfter,
		Settled:     func(sm backend.Settlement) { in.en.Settled(sm) },
	})
	in.ta = limit.NewTable(in.ts, limit.TableConfig{Seed: uint64(in.ts.Now().UnixNano())})
	ad := limit.NewAdmission(in.ts, limit.AdmissionConfig{Capacity: in.cf.Limits.LeafRequests, Room: in.ta.Room})
	nb := func(percent float64, burst int) fanout.Budget { return limit.NewBudget(percent, burst) }
	re := &recorder{name: in.cf.Name, la: in.la}
	in.en = fanout.New(in.cf.Name, in.ce, in.cl, in.ta, ad, nb, re, in.ts, in.lg, fanout.NewMetrics(in.set))
	handlers := map[string]http.Handler{
		"Caller":   caller.New(in.ce, in.en, in.ts, in.lg),
		"Backend":  in.announceHandler(),
		"Operator": in.operatorHandler(),
	}
	for ix := range in.open {
		li := &in.open[ix]
		li.sv = &http.Server{
			Handler:           handlers[li.name],
			ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes:    maxHeaders,
			ErrorLog:          zap.NewStdLog(in.lg),
		}
	}
}

func (in *Instance) announceHandler() http.Handler {
	mu := http.NewServeMux()
	mu.Handle(backend.AnnouncePath, backend.NewAnnounceHandler(in.announced, in.lg))
	return mu
}

func (in *Instance) announced(re backend.Record) backend.AnnounceReply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := make(chan backend.AnnounceReply, 1)
	if err := in.th.post(ctx, announced{re: re, reply: reply}); err != nil {
		return backend.AnnounceReply{Instance: in.cf.Name, RepeatMillis: renounce.Milliseconds()}
	}
	select {
	case ar := <-reply:
		return ar
	case <-ctx.Done():
		return backend.AnnounceReply{Instance: in.cf.Name, RepeatMillis: renounce.Milliseconds()}
	}
}

// receive hands a message of another instance to the control thread and waits
// for the reply if the message is a call.
func (in *Instance) receive(ctx context.Context, from string, ms peer.Message) (peer.Message, error) {
	if !isCall(ms) {
		return nil, in.th.post(ctx, messaged{from: from, ms: ms})
	}
	reply := make(chan peer.Message, 1)
	if err := in.th.post(ctx, messaged{from: from, ms: ms, reply: reply}); err != nil {
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

// ask calls another instance, or this one without the network.
func (in *Instance) ask(ctx context.Context, name string, ms peer.Message) (peer.Message, error) {
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

// viewChanged passes a new view on to the parts that keep something for each
// backend server. When the lease has run out, the connections are closed: control
// may give this instance's share of them to another one from then on, and the
// backend servers would see more than they allow.
//
// A view that only makes the lease longer, as one each renewal does, changes
// nothing for them.
func (in *Instance) viewChanged(vi *view.View) {
	if in.cl == nil {
		return
	}
	now := in.ts.Now()
	connected := vi.Leased(now) || servesWithoutControl(vi.Configuration)
	la := in.last
	if la != nil && now.Before(in.sweepAt) && in.connected == connected && same(la.Servers, vi.Servers) && same(la.Instances, vi.Instances) &&
		la.Configuration.Revision == vi.Configuration.Revision && la.Entries == vi.Entries {
		return
	}
	in.last, in.connected, in.sweepAt = vi, connected, now.Add(sweepPeriod)
	in.ta.Update(vi)
	if !connected {
		in.cl.Retain(nil)
		return
	}
	in.cl.Retain(in.targets(vi))
}

func servesWithoutControl(cfg operator.Configuration) bool {
	for _, se := range cfg.Services {
		if se.ServeWithoutControl {
			return true
		}
	}
	return false
}

func (in *Instance) targets(vi *view.View) map[string]backend.Target {
	tas := make(map[string]backend.Target, len(vi.Servers))
	for _, re := range vi.Servers {
		tas[re.Server] = backend.Target{
			Server:      re.Server,
			Address:     re.Address,
			Incarnation: re.Incarnation,
			Connections: limit.ConnectionShare(re.ConnectionLimit, vi.Divisor()),
		}
	}
	return tas
}

// Stop starts a graceful stop, as a SIGTERM does.
func (in *Instance) Stop() {
	in.once.Do(func() { close(in.stop) })
}

// Kill ends the instance without a word to anyone, as far as that can be done
// within a process. It is for trials of failures.
func (in *Instance) Kill() {
	close(in.kill)
}

// Ready reports whether the instance would serve a caller now.
func (in *Instance) Ready() bool {
	vi := in.ce.Load()
	return !vi.Draining && vi.Configuration.Revision > 0 && vi.Leased(in.ts.Now())
}

// View returns the newest view.
func (in *Instance) View() *view.View {
	return in.ce.Load()
}

// Serve runs the instance until the context ends or Stop is called, and then
// stops gracefully. The error is nil after a graceful stop.
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
	in.cutOff()
	<-done
	return in.close()
}

// cutOff ends the HTTP servers at once. After a drain they are down already.
func (in *Instance) cutOff() {
	for _, li := range in.open {
		_ = li.sv.Close()
	}
}

// supervise starts all parts under one supervisor.
func (in *Instance) supervise(ctx context.Context) <-chan error {
	su := suture.New(in.cf.Name, suture.Spec{EventHook: in.supervised})
	su.Add(in.pe)
	su.Add(in.th)
	su.Add(in.rn)
	if in.fo != nil && !in.th.vo.formed {
		su.Add(in.fo)
	}
	for _, li := range in.open {
		su.Add(li)
	}
	return su.ServeBackground(ctx)
}

func (in *Instance) supervised(ev suture.Event) {
	if _, ok := ev.(suture.EventServiceTerminate); ok {
		in.lg.Warn("service-ended", zap.Any("Event", ev.Map()))
	}
}

// Serve serves HTTP until the server is shut down.
func (li listening) Serve(context.Context) error {
	if err := li.sv.Serve(li.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return suture.ErrDoNotRestart
}

// String names the service in the log.
func (li listening) String() string {
	return li.name
}

// close releases what New opened.
func (in *Instance) close() error {
	var errs []error
	for _, li := range in.open {
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
