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

// Periods of the control thread.
const (
	tickPeriod   = 20 * time.Millisecond
	memberPeriod = 500 * time.Millisecond
	// renounce is how often a backend server should announce itself again.
	renounce = time.Second
	// eventRoom is how many events may wait for the thread.
	eventRoom = 4096
)

// sender sends one-way messages; *peer.Peer is the one in use.
type sender interface {
	Send(name, address string, ms peer.Message)
}

// thread is the one control thread of an instance: it alone changes control
// state, and publishes what traffic threads need as a view.
type thread struct {
	cf      settings.Instance
	ce      *view.Cell
	pe      sender
	co      *peer.Codec
	ts      *timer.Service
	lg      *zap.Logger
	events  chan event
	nudge   chan struct{} // nudge wakes the renewals.
	applied func(*view.View)

	self       view.Instance
	vo         *voter // vo is nil without the control role.
	me         member.State
	memberTick time.Time
	cfg        operator.Configuration
	lease      time.Time
	leased     bool                    // leased says whether the lease held at the last tick.
	files      map[string]control.File // files are those in force.
	roster     atomic.Uint64           // roster is the digest of holders; renewals read it.
	holders    []view.Instance         // holders are the instances that control last listed.
	entries    int
	draining   bool
	sequence   uint64
	dirty      bool
	servers    []backend.Record
	instances  []view.Instance
	leader     string
}

// newThread returns a thread that does not run yet.
func newThread(cf settings.Instance, self view.Instance, ce *view.Cell, co *peer.Codec, ts *timer.Service, lg *zap.Logger, applied func(*view.View)) *thread {
	now := ts.Now()
	th := &thread{
		cf:      cf,
		ce:      ce,
		co:      co,
		ts:      ts,
		lg:      lg,
		events:  make(chan event, eventRoom),
		nudge:   make(chan struct{}, 1),
		applied: applied,
		self:    self,
		me:      member.New(self, uint64(now.UnixNano()), now),
		dirty:   true,
	}
	th.look()
	th.publish()
	return th
}

// Serve runs the thread until the context ends. A journal that failed ends the
// whole process, since nothing may be acknowledged after it.
func (th *thread) Serve(ctx context.Context) error {
	su := th.ts.Subscribe(tickPeriod)
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
		if err := th.failed(); err != nil {
			th.lg.Error("storage-failed", zap.Error(err))
			return suture.ErrTerminateSupervisorTree
		}
		th.publish()
	}
}

func (th *thread) failed() error {
	if th.vo == nil {
		return nil
	}
	return th.vo.failed
}

// post hands an event to the thread, unless the context ends first.
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
	case messaged:
		th.message(ev)
	case announced:
		th.announce(ev)
	case granted:
		th.grant(ev)
	case formed:
		th.vo.form(ev.vs)
	case drained:
		th.drain()
	case leaving:
		th.leave(ev)
	case statusAsked:
		ev.reply <- th.status()
	}
}

func (th *thread) tick() {
	now := th.ts.Now()
	if th.vo != nil {
		th.vo.tick(now)
	}
	if now.Before(th.lease) != th.leased {
		th.leased = !th.leased
		th.dirty = true
	}
	if now.Sub(th.memberTick) < memberPeriod {
		return
	}
	th.memberTick = now
	th.member(member.Tick{Now: now})
}

// message tells the part that a message belongs to.
func (th *thread) message(ev messaged) {
	switch ms := ev.ms.(type) {
	case notice:
		if ms.Revision > th.cfg.Revision {
			th.wake()
		}
	case routed, formationRequest, control.Renewal, control.Proposal, control.StatusRequest,
		control.AuditRequest, filesRequest, votersRequest:
		if th.vo == nil {
			refuseWithoutControl(ev)
			return
		}
		th.vo.message(ev)
	default:
		th.member(member.Received{Now: th.ts.Now(), From: ev.from, Message: ev.ms})
	}
}

// refuseWithoutControl answers a call for control at an instance without that
// role, so that the asker turns to another one at once.
func refuseWithoutControl(ev messaged) {
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

// send sends a one-way message to an instance. Where control instances are found
// is the settings' word; others are found where they say.
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
	th.member(member.SelfChanged{Now: th.ts.Now(), Self: th.self})
	th.wake()
}

func (th *thread) leave(ev leaving) {
	th.member(member.Leave{Now: th.ts.Now()})
	if th.vo != nil {
		th.vo.resign()
	}
	close(ev.reply)
}

// wake makes the instance renew its lease at once.
func (th *thread) wake() {
	select {
	case th.nudge <- struct{}{}:
	default:
	}
}

// publish makes the newest view if something in it changed.
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
		LeaseUntil:     th.lease,
		GrantedDivisor: th.entries,
		Draining:       th.draining,
		Sequence:       th.sequence,
	}
	th.ce.Store(vi)
	if th.applied != nil {
		th.applied(vi)
	}
}
