package feed

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/link"
	"balsamwinch.example/outlier"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

// Times and bounds of a subscriber.
const (
	// tickLeast and tickMost bound the time between two looks at servers that
	// nobody hears, and holdShare is the part of SubscriberConfig.Hold that it is.
	// The union takes a gap of half of that for a stop of the process.
	tickLeast = 100 * time.Millisecond
	tickMost  = 500 * time.Millisecond
	holdShare = 6
	// seedPeriod is the time between two looks at the seeds.
	seedPeriod = time.Second
	// noticeSpacing is the least time between two calls of ServersChanged, each of
	// which rebuilds tables of all backend servers.
	noticeSpacing = 10 * time.Millisecond
	// eventBound is the number of messages that wait for the observer. A link whose
	// message finds no room isn't read until there is some.
	eventBound = 64
	// goneBound is the number of MarkGone that wait; more are dropped, and the next
	// request to that server tells it again.
	goneBound = 1024
)

// Observer is told what changed. It is called from one goroutine, in the order
// of the changes, and should return soon.
type Observer interface {
	// ConfigurationChanged gives a configuration with a higher version than all
	// before. After an error the same version may come again a second later.
	ConfigurationChanged(version uint64, data []byte) error
	// ServersChanged gives the backend servers by service. The map and its slices
	// are never changed later.
	ServersChanged(servers map[string][]registry.Server)
	// EntriesChanged gives the entry instances that are Ready or Draining, by name,
	// as the control instances together see them.
	EntriesChanged(live []Entry)
	// EvacuationsChanged gives which data centres are evacuated; revisions only rise.
	EvacuationsChanged(st evacuation.Set)
	// SharersChanged gives how many entry instances callers are led to who share backend
	// servers.
	SharersChanged(count int)
	// OutliersFound gives what all entry instances together saw of backend servers.
	OutliersFound(fis []outlier.Finding)
	// SuspectsHeard gives what a control instance knows of requests under which servers
	// ended. It returns what of it was new.
	SuspectsHeard(control string, rcs []quarantine.Record) []quarantine.Record
}

// SubscriberConfig is what a subscriber needs to know.
type SubscriberConfig struct {
	Self             Entry           // Self is this entry instance, with the state that it starts in.
	Seeds            func() []string // Seeds gives addresses of control instances as IP:port; asked once a second.
	Link             link.Config     // Link says how links are made.
	RetentionTimeout time.Duration   // Hold is how long a backend server stays that no control instance hears any more.
	// Own is the address of the control instance that the subscriber belongs to, which
	// needs no link to itself; empty for an entry instance.
	OwnAddress string
	// Suspects gives what the own instance knows of requests under which servers ended,
	// for a control instance whose link has come up; nil for nothing.
	Suspects func() []quarantine.Record
}

// Subscriber keeps an entry instance's links to all control instances. Its
// methods are safe for concurrent use and none but Serve blocks.
type Subscriber struct {
	cf   SubscriberConfig
	ts   *timer.Service
	lg   *zap.Logger
	ob   Observer
	up   atomic.Int64
	kick chan struct{}

	mu       sync.Mutex
	state    EntryState
	reported LoadReport // reported is the load as it was told last, nothing at the start.
	held     uint64     // held is the version of the configuration in force.
	conns    map[*source]*link.Conn
	gone     map[string]struct{}
	// invites holds the addresses of control instances that invited this one, with the
	// time, until Serve takes them.
	invites map[string]time.Time

	// What follows belongs to the goroutine of Serve.
	lo       *bounded
	events   chan event
	sources  map[string]*source
	invited  map[string]time.Time // invited holds the invitations of the last forgetAfter.
	seeds    []string
	un       *registry.Union
	servers  map[string][]registry.Server // servers is what the observer was told last.
	told     uint64                       // told is the version of the union then.
	toldAt   time.Time
	entries  []Entry // entries is what the observer was told last.
	sharers  int     // sharers is likewise.
	revision uint64  // revision is that of the evacuations that the observer was told last.
	dirty    bool    // dirty says that the entry instances may have changed.
	fetch    fetch
	heard    map[string]heard // heard holds the findings of the last outlier.Lifetime by id.
	data     []byte           // data is the configuration of version held, which the next one is told against.
	seededAt time.Time
	alarm    *timer.Timeout
	alarmAt  time.Time
}

// NewSubscriber returns the subscriber of an entry instance. It does nothing
// before Serve.
func NewSubscriber(cf SubscriberConfig, ts *timer.Service, lg *zap.Logger, ob Observer) *Subscriber {
	return &Subscriber{
		cf: cf, ts: ts, lg: lg, ob: ob, lo: newBounded(lg),
		kick:    make(chan struct{}, 1),
		state:   cf.Self.State,
		conns:   make(map[*source]*link.Conn),
		gone:    make(map[string]struct{}),
		invites: make(map[string]time.Time),
		un:      registry.NewUnion(cf.RetentionTimeout),
	}
}

// Connected returns the number of control instances that have told this one all
// they know and whose link stands.
func (su *Subscriber) NumConnected() int { return int(su.up.Load()) }

// SetState tells all control instances the new state of this entry instance.
func (su *Subscriber) SetState(es EntryState) {
	su.mu.Lock()
	defer su.mu.Unlock()
	if su.state == es {
		return
	}
	su.state = es
	for _, co := range su.conns {
		_ = co.Send(StateReport{State: es}) // A link that has ended is opened again with the new state.
	}
}

// NameServices takes over which services the configuration in force uses. It is called
// by the observer as that changes.
func (su *Subscriber) SetServices(services map[string]bool) { su.un.SetServices(services) }

// MarkGone takes in that the process at a backend server's address has said that
// it is not that server. The server does not come back.
func (su *Subscriber) MarkGone(id string) {
	su.mu.Lock()
	if len(su.gone) < goneBound {
		su.gone[id] = struct{}{}
	}
	su.mu.Unlock()
	su.nudge()
}

// nudge makes the goroutine of Serve look for work.
func (su *Subscriber) nudge() {
	select {
	case su.kick <- struct{}{}:
	default:
	}
}

// Serve keeps the links until the context ends, and returns the context's error.
func (su *Subscriber) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	su.events = make(chan event, eventBound)
	su.sources = make(map[string]*source)
	su.invited = make(map[string]time.Time)
	su.heard = make(map[string]heard)
	su.fetch = fetch{}
	su.alarm, su.alarmAt = su.ts.Timeout(seedPeriod, su.nudge), time.Time{}
	defer su.alarm.Stop()
	su.up.Store(0)
	tick := su.ts.Subscribe(min(max(su.cf.RetentionTimeout/holdShare, tickLeast), tickMost))
	defer tick.Stop()
	start := func(so *source) {
		kept, cancel := context.WithCancel(ctx)
		so.cancel = cancel
		wg.Go(func() { su.keep(kept, so) })
	}
	su.seeds, su.seededAt = su.cf.Seeds(), su.ts.Now()
	su.reconcile(su.seededAt, start)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-su.events:
			su.take(ev)
			su.takeMore()
		case <-su.kick:
			su.takeGone()
			su.takeInvites()
		case <-tick.C:
			su.tick(su.ts.Now())
		}
		now := su.ts.Now()
		su.reconcile(now, start)
		su.seek(now)
		su.notice(now)
	}
}

// takeMore takes the events that wait already, so that the observer is told once
// of what came together.
func (su *Subscriber) takeMore() {
	for range eventBound {
		select {
		case ev := <-su.events:
			su.take(ev)
		default:
			return
		}
	}
}

func (su *Subscriber) takeGone() {
	su.mu.Lock()
	var gone map[string]struct{}
	if len(su.gone) > 0 {
		gone, su.gone = su.gone, make(map[string]struct{})
	}
	su.mu.Unlock()
	for id := range gone {
		su.un.MarkGone(id)
	}
}

// tick looks for new seeds and for servers that nobody hears.
func (su *Subscriber) tick(now time.Time) {
	if now.Sub(su.seededAt) >= seedPeriod {
		su.seeds, su.seededAt = su.cf.Seeds(), now
	}
	su.un.Expire(now)
}

// notice tells the observer of backend servers and entry instances that changed.
func (su *Subscriber) notice(now time.Time) {
	if su.un.Version() != su.told {
		if next := su.toldAt.Add(noticeSpacing); now.Before(next) {
			su.wakeAt(now, next)
		} else {
			su.tellServers(now)
		}
	}
	if !su.dirty || su.NumConnected() == 0 {
		return // If all control instances are lost, their last word is the best there is.
	}
	su.dirty = false
	if live := su.liveEntries(); !slices.Equal(live, su.entries) {
		su.entries = live
		su.ob.EntriesChanged(live)
	}
	if count := su.mostSharers(); count > 0 && count != su.sharers {
		su.sharers = count
		su.ob.SharersChanged(count)
	}
}

// tellServers tells the observer of the backend servers if they changed.
func (su *Subscriber) tellServers(now time.Time) {
	version := su.un.Version()
	if version == su.told {
		return
	}
	su.toldAt, su.told = now, version
	servers := su.un.Servers()
	su.logServers(now, su.servers, servers)
	su.servers = servers
	su.ob.ServersChanged(servers)
}

// wakeAt makes Serve look for work at a time, unless it does so earlier.
func (su *Subscriber) wakeAt(now, at time.Time) {
	if su.alarmAt.After(now) && !at.Before(su.alarmAt) {
		return
	}
	su.alarmAt = at
	su.alarm.Reset(at.Sub(now))
}

// liveEntries returns the entry instances that any connected control instance
// shows. One that was lost tells nothing of those that ended since.
func (su *Subscriber) liveEntries() []Entry {
	live := make(map[string]Entry)
	for _, so := range su.sources {
		if !so.up.Load() {
			continue
		}
		for name, en := range so.entries {
			if other, ok := live[name]; en.State != Starting && (!ok || en.later(other)) {
				live[name] = en
			}
		}
	}
	list := make([]Entry, 0, len(live))
	for _, en := range live {
		list = append(list, en)
	}
	slices.SortFunc(list, compareEntries)
	return list
}

// logServers writes a line for each backend server that came, left or changed.
// Services of which nothing changed keep their slices.
func (su *Subscriber) logServers(now time.Time, old, servers map[string][]registry.Server) {
	before := make(map[string]registry.Server)
	for service, ses := range old {
		if same(ses, servers[service]) {
			continue
		}
		for _, se := range ses {
			before[se.ID] = se
		}
	}
	for service, ses := range servers {
		if same(ses, old[service]) {
			continue
		}
		for _, se := range ses {
			was, known := before[se.ID]
			delete(before, se.ID)
			if !known || was.State != se.State || was.Address != se.Address || was.Born != se.Born {
				su.lo.info(now, "backend-server-changed", serverFields(se)...)
			}
		}
	}
	for _, se := range before {
		su.lo.info(now, "backend-server-dropped", serverFields(se)...)
	}
}

// same returns whether two slices are one and the same.
func same(a, b []registry.Server) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
