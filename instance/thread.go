package instance

import (
	"context"
	"math"
	"slices"
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

func (th *thread) announce(ev announced) {
	th.member(member.Announced{Now: th.ts.Now(), Record: ev.re})
	rp := backend.AnnounceReply{Instance: th.self.Name, RepeatMillis: renounce.Milliseconds()}
	for _, in := range th.nearest() {
		if !in.Draining && in.BackendAddress != "" {
			rp.Instances = append(rp.Instances, in.BackendAddress)
		}
	}
	ev.reply <- rp
}

// nearest returns the instances with those of the same data centre first.
func (th *thread) nearest() []view.Instance {
	ins := slices.Clone(th.instances)
	slices.SortStableFunc(ins, func(aa, bb view.Instance) int {
		return distance(th.self, aa) - distance(th.self, bb)
	})
	return ins
}

func distance(from, to view.Instance) int {
	switch {
	case from.DataCentre == to.DataCentre:
		return 0
	case from.Region == to.Region:
		return 1
	default:
		return 2
	}
}

// member gives an event to the spread of records and sends what it asks for.
func (th *thread) member(ev member.Event) {
	me, acs := member.Step(th.me, ev)
	th.me = me
	th.look()
	for _, ac := range acs {
		switch ac := ac.(type) {
		case member.Send:
			th.send(ac.To, ac.Address, ac.Message)
		}
	}
}

// look takes over what is known of instances and backend servers, and asks for a
// new view only if that changed. Most events of the spread change nothing, and a
// view costs in proportion to all backend servers.
func (th *thread) look() {
	servers, instances := th.me.Servers(), th.me.Instances()
	if same(servers, th.servers) && same(instances, th.instances) {
		return
	}
	th.servers, th.instances = servers, instances
	th.dirty = true
}

// same reports whether two lists are one, as the spread gives them while nothing
// changed.
func same[T any](aa, bb []T) bool {
	if len(aa) != len(bb) {
		return false
	}
	return len(aa) == 0 || &aa[0] == &bb[0]
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
	th.member(member.Changed{Now: th.ts.Now(), Self: th.self})
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

// grant takes over control's answer to a renewal. A configuration is taken only
// upwards: a grant that was overtaken by a newer one must not revert it, and its
// lease is still good, because the leader that gave it knew no newer revision.
func (th *thread) grant(ev granted) {
	if ev.gr.Leader != "" {
		th.leader = ev.gr.Leader
	}
	if ev.gr.Revision > th.cfg.Revision && th.follows(ev) && !th.adopt(ev.gr) {
		return
	}
	if !ev.gr.Granted {
		return
	}
	until := ev.sentAt.Add(time.Duration(ev.gr.LeaseMillis) * time.Millisecond)
	if until.After(th.lease) {
		th.lease = until
	}
	th.entries = ev.gr.Entries
	if ev.gr.Roster != th.roster.Load() {
		th.holders = ev.gr.Instances
		th.roster.Store(ev.gr.Roster)
	}
	// The same list again says that control still hears them.
	th.member(member.Instances{Now: th.ts.Now(), Instances: th.holders})
	th.dirty = true
}

// follows reports whether the grant's files build on those in force here. One
// that was asked for from an older revision lists files as unchanged that did
// change since; the next renewal brings the right ones.
func (th *thread) follows(ev granted) bool {
	return ev.inForce == th.cfg.Revision && len(ev.gr.Names)+len(ev.gr.Files) > 0
}

// adopt puts the files of a grant in force and reports whether it could. An
// instance that can't read them must not use the lease that came with them.
func (th *thread) adopt(gr control.Grant) bool {
	files := make(map[string]control.File, len(gr.Names))
	for _, name := range gr.Names {
		files[name] = th.files[name]
	}
	for _, fi := range gr.Files {
		files[fi.Name] = fi
	}
	fis := make([]operator.File, 0, len(files))
	for _, name := range gr.Names {
		fis = append(fis, operator.File{Name: name, Content: files[name].Content})
	}
	cfg, fs := operator.Merge(fis)
	if len(fs) > 0 {
		th.lg.Error("configuration-unreadable", zap.Uint64("Revision", gr.Revision), zap.Error(fs))
		return false
	}
	cfg.Revision = gr.Revision
	th.cfg = cfg
	th.files = files
	th.lg.Info("configuration-in-force", zap.Uint64("Revision", gr.Revision))
	th.dirty = true
	th.publish() // The renewal that is woken must name this revision.
	th.wake()
	return true
}

// publish makes the newest view if something in it changed.
func (th *thread) publish() {
	if !th.dirty {
		return
	}
	th.dirty = false
	th.sequence++
	vi := &view.View{
		Self:          th.self,
		Configuration: th.cfg,
		Instances:     th.instances,
		Servers:       th.servers,
		LeaseUntil:    th.lease,
		Entries:       th.entries,
		Draining:      th.draining,
		Sequence:      th.sequence,
	}
	th.ce.Store(vi)
	if th.applied != nil {
		th.applied(vi)
	}
}

// maxEntries returns how many entry instances may hold a lease. Without a
// configuration there are no services, so nothing is bounded yet.
func maxEntries(cfg operator.Configuration) int {
	if cfg.Limits.MaxEntries == 0 {
		return math.MaxInt32
	}
	return cfg.Limits.MaxEntries
}
