package instance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/control"
	"balsamwinch.example/member"
	"balsamwinch.example/operator"
	"balsamwinch.example/peer"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
)

// Intervals and limits of the control thread.
const (
	tickInterval   = 20 * time.Millisecond
	memberInterval = 500 * time.Millisecond
	// announceInterval is how often a backend server should announce itself.
	announceInterval = time.Second
	// maxQueuedEvents is the capacity of the thread's event queue.
	maxQueuedEvents = 4096
)

// sender sends one-way messages; *peer.Peer implements it.
type sender interface {
	Send(name, address string, ms peer.Message)
}

// thread is the control thread of an instance. It alone changes control state, and publishes
// what request handlers need as a view.
type thread struct {
	cf       settings.Instance
	ce       *view.Cell
	pe       sender
	co       *peer.Codec
	ts       *timer.Service
	lg       *zap.Logger
	events   chan event
	renewNow chan struct{} // triggers a renewal of the lease
	onView   func(*view.View)

	self           view.Instance
	vo             *voter // nil without the control role
	me             member.State
	lastMemberTick time.Time
	cfg            operator.Configuration
	leaseUntil     time.Time
	leased         bool                    // whether the lease was valid at the last tick
	files          map[string]control.File // the files in force
	rosterDigest   atomic.Uint64           // the digest of leaseHolders; read by the renewer
	leaseHolders   []view.Instance         // the instances that control listed last
	grantedDivisor int                     // the divisor of connection limits in the last grant; see view.View
	draining       bool
	sequence       uint64
	dirty          bool
	servers        []backend.Record
	instances      []view.Instance
	leader         string
}

// newThread returns a thread; Serve runs it.
func newThread(cf settings.Instance, self view.Instance, ce *view.Cell, co *peer.Codec, ts *timer.Service, lg *zap.Logger, onView func(*view.View)) *thread {
	now := ts.Now()
	th := &thread{
		cf:       cf,
		ce:       ce,
		co:       co,
		ts:       ts,
		lg:       lg,
		events:   make(chan event, maxQueuedEvents),
		renewNow: make(chan struct{}, 1),
		onView:   onView,
		self:     self,
		me:       member.New(self, uint64(now.UnixNano()), now),
		dirty:    true,
	}
	th.refreshMembers()
	th.publish()
	return th
}

// Serve runs the thread until the context ends. A failed journal ends the whole process, since
// nothing may be acknowledged after the failure.
func (th *thread) Serve(ctx context.Context) error {
	su := th.ts.Subscribe(tickInterval)
	defer su.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-th.events:
			th.handle(ev)
		case <-su.C:
			th.tick()
		}
		if err := th.storageError(); err != nil {
			th.lg.Error("storage-failed", zap.Error(err))
			return suture.ErrTerminateSupervisorTree
		}
		th.publish()
	}
}

func (th *thread) storageError() error {
	if th.vo == nil {
		return nil
	}
	return th.vo.storageErr
}

// post queues an event for the thread, unless the context ends first.
func (th *thread) post(ctx context.Context, ev event) error {
	select {
	case th.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (th *thread) handle(ev event) {
	switch ev := ev.(type) {
	case messageReceived:
		th.handleMessage(ev)
	case serverAnnounced:
		th.handleAnnouncement(ev)
	case grantReceived:
		th.handleGrant(ev)
	case tierFormed:
		th.vo.bootstrap(ev.vs)
	case drainStarted:
		th.drain()
	case leaveRequested:
		th.leave(ev)
	case statusRequested:
		ev.reply <- th.status()
	}
}

func (th *thread) tick() {
	now := th.ts.Now()
	if th.vo != nil {
		th.vo.tick(now)
	}
	if now.Before(th.leaseUntil) != th.leased {
		th.leased = !th.leased
		th.dirty = true
	}
	if now.Sub(th.lastMemberTick) < memberInterval {
		return
	}
	th.lastMemberTick = now
	th.stepMember(member.Tick{Now: now})
}

// handleMessage passes a message to the component that handles it.
func (th *thread) handleMessage(ev messageReceived) {
	switch ms := ev.ms.(type) {
	case revisionNotice:
		if ms.Revision > th.cfg.Revision {
			th.triggerRenewal()
		}
	case routedMessage, formationRequest, control.Renewal, control.Proposal, control.StatusRequest,
		control.AuditRequest, filesRequest, votersRequest:
		if th.vo == nil {
			refuseWithoutControl(ev)
			return
		}
		th.vo.handleMessage(ev)
	default:
		th.stepMember(member.Received{Now: th.ts.Now(), From: ev.from, Message: ev.ms})
	}
}

// refuseWithoutControl replies to a call for control at an instance without the control role,
// so that the sender tries another instance at once.
func refuseWithoutControl(ev messageReceived) {
	if ev.reply == nil {
		return
	}
	switch ev.ms.(type) {
	case control.Renewal:
		ev.reply <- control.Grant{Reason: "no control role"}
	default:
		ev.reply <- nil
	}
}

// send sends a one-way message to an instance. For control instances the address in the
// settings takes precedence; other instances are reached at the address that they announced.
func (th *thread) send(name, address string, ms peer.Message) {
	for _, vr := range th.cf.Control.Voters {
		if vr.Name == name {
			address = vr.Address
		}
	}
	if address != "" && name != th.self.Name {
		th.pe.Send(name, address, ms)
	}
}

func (th *thread) drain() {
	if th.draining {
		return
	}
	th.draining = true
	th.self.Draining = true
	th.lg.Info("draining")
	th.stepMember(member.SelfChanged{Now: th.ts.Now(), Self: th.self})
	th.triggerRenewal()
}

func (th *thread) leave(ev leaveRequested) {
	th.stepMember(member.Leave{Now: th.ts.Now()})
	if th.vo != nil {
		th.vo.resign()
	}
	close(ev.reply)
}

// triggerRenewal makes the instance renew its lease at once.
func (th *thread) triggerRenewal() {
	select {
	case th.renewNow <- struct{}{}:
	default:
	}
}

// publish publishes a new view if its content changed.
func (th *thread) publish() {
	if !th.dirty {
		return
	}
	th.dirty = false
	th.sequence++
	vi := &view.View{
		Self:           th.self,
		Configuration:  th.cfg,
		Instances:      th.instances,
		Servers:        th.servers,
		LeaseExpiry:    th.leaseUntil,
		GrantedDivisor: th.grantedDivisor,
		Draining:       th.draining,
		Sequence:       th.sequence,
	}
	th.ce.Store(vi)
	if th.onView != nil {
		th.onView(vi)
	}
}
