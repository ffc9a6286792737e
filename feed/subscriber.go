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
	"balsamwinch.example/overload"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/quota"
	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

// Intervals and limits of a subscriber.
const (
	// minTickInterval and maxTickInterval bound the time between two checks for servers
	// that no control instance hears; ticksPerRetention is the number of checks within
	// SubscriberConfig.RetentionTimeout. The union takes a gap of half that timeout for a
	// suspension of the process.
	minTickInterval   = 100 * time.Millisecond
	maxTickInterval   = 500 * time.Millisecond
	ticksPerRetention = 6
	// seedInterval is the time between two reads of the seeds.
	seedInterval = time.Second
	// minNotifyInterval is the minimum time between two calls of ServersChanged, each of
	// which rebuilds tables of all backend servers.
	minNotifyInterval = 10 * time.Millisecond
	// maxQueuedEvents bounds the queue of Serve. A link isn't read while its message
	// waits for room in the queue.
	maxQueuedEvents = 64
	// maxQueuedGone bounds the queued MarkGone calls. More are dropped; the next request
	// to such a server reports it again.
	maxQueuedGone = 1024
)

// Observer is notified of changes. It is called from one goroutine, in the order of the
// changes, and should return soon.
type Observer interface {
	// ConfigurationChanged passes a configuration with a higher version than all before.
	// If it returns an error, the same version may be passed again a second later.
	ConfigurationChanged(version uint64, data []byte) error
	// ServersChanged passes the backend servers by service. The map and its slices are
	// never modified afterwards.
	ServersChanged(servers map[string][]registry.Server)
	// EntriesChanged passes the entry instances that are Ready or Draining, sorted by
	// name, as seen by all control instances together.
	EntriesChanged(live []Entry)
	// EvacuationsChanged passes the evacuated data centres; revisions only rise.
	EvacuationsChanged(st evacuation.Set)
	// SharersChanged passes the number of entry instances that callers are sent to and
	// that share the backend servers.
	SharersChanged(count int)
	// OutliersFound passes findings about backend servers from the samples of all entry
	// instances.
	OutliersFound(fis []outlier.Finding)
	// SuspectsReceived passes requests that a control instance suspects of crashing servers.
	// It returns those with new information.
	SuspectsReceived(control string, rcs []quarantine.Record) []quarantine.Record
}

// SubscriberConfig configures a subscriber.
type SubscriberConfig struct {
	Self             Entry           // this entry instance, with its initial state
	Seeds            func() []string // returns addresses of control instances as IP:port; called once a second
	Link             link.Config     // settings of the links
	RetentionTimeout time.Duration   // how long a backend server is kept after the last control instance stopped hearing it
	// OwnAddress is the address of the control instance that the subscriber belongs to,
	// which needs no link to itself; empty for an entry instance.
	OwnAddress string
	// Departed is called with the backend servers that a control instance reports as Draining
	// or Gone, by the goroutine of Serve; nil if they aren't needed. If stored isn't nil, it is
	// to be called once they are on disk. It doesn't block.
	Departed func(ses []registry.Server, stored func())
	// Suspects returns this instance's records of requests suspected of crashing servers,
	// which are sent to a control instance whose link comes up; nil for none.
	Suspects func() []quarantine.Record
	// QuotaGranted handles the answers to SendQuotaRequest. It is called concurrently; nil
	// ignores them.
	QuotaGranted func(control string, gr QuotaGrant)
	// StallsHeard is called by the goroutine of Serve with news of stalls; nil if stalls are
	// not shared. See Subscriber.receiveStalls.
	StallsHeard func(late time.Duration, sts Stalls)
	// LevelsReceived is called with the admission levels that the control instance with the
	// given address sent, from the goroutine of Serve; nil if the instance uses none.
	LevelsReceived func(control string, lss []overload.Levels)
}

// Subscriber keeps an entry instance's links to all control instances. Its methods are
// safe for concurrent use and none but Serve blocks.
type Subscriber struct {
	cf           SubscriberConfig
	ts           *timer.Service
	lg           *zap.Logger
	ob           Observer
	numConnected atomic.Int64
	quotaOwners  atomic.Pointer[[]quota.OwnerRef]
	wake         chan struct{}

	mu      sync.Mutex
	state   EntryState
	load    LoadReport // last load reported, zero at the start
	version uint64     // version of the configuration in force
	conns   map[*source]*link.Conn
	gone    map[string]struct{}
	// newInvites holds the addresses of control instances that sent an invitation, with
	// the time, until Serve processes them.
	newInvites map[string]time.Time

	// The following fields belong to the goroutine of Serve.
	ll                  *limitedLogger
	invalid             *limitedLogger // for records of backend servers that can't be used
	events              chan event
	sources             map[string]*source
	invited             map[string]time.Time // invitations of the last unlistedTTL
	seeds               []string
	un                  *registry.Union
	lastServers         map[string][]registry.Server // servers passed to the observer last
	lastServersVersion  uint64                       // version of the union at that time
	lastServersAt       time.Time
	lastEntries         []Entry // entry instances passed to the observer last
	lastSharers         int     // number of sharers passed to the observer last
	evacuationsRevision uint64  // revision of the evacuations passed to the observer last
	entriesDirty        bool    // the entry instances or the sharers may have changed
	fetch               fetch
	findings            map[string]receivedFinding // findings of the last outlier.FindingTTL by id
	configuration       []byte                     // configuration in force, the base for the next delta
	startedAt           time.Time                  // when the subscriber was created
	stallLog            *limitedLogger
	seedsReadAt         time.Time
	wakeTimer           *timer.Timeout
	wakeAtTime          time.Time
}

// NewSubscriber returns the subscriber of an entry instance. It does nothing before
// Serve.
func NewSubscriber(cf SubscriberConfig, ts *timer.Service, lg *zap.Logger, ob Observer) *Subscriber {
	return &Subscriber{
		cf: cf, ts: ts, lg: lg, ob: ob, ll: newLimitedLogger(lg), invalid: newLimitedLogger(lg),
		wake:       make(chan struct{}, 1),
		state:      cf.Self.State,
		conns:      make(map[*source]*link.Conn),
		gone:       make(map[string]struct{}),
		newInvites: make(map[string]time.Time),
		un:         registry.NewUnion(cf.RetentionTimeout),
		startedAt:  ts.Now(),
		stallLog:   newStallLogger(lg),
	}
}

// NumConnected returns the number of control instances whose link is up and whose
// snapshot has arrived.
func (su *Subscriber) NumConnected() int { return int(su.numConnected.Load()) }

// SetState reports the new state of this entry instance to all control instances.
func (su *Subscriber) SetState(es EntryState) {
	su.mu.Lock()
	defer su.mu.Unlock()
	if su.state == es {
		return
	}
	su.state = es
	for _, co := range su.conns {
		_ = co.Send(StateReport{State: es}) // A link that has ended is reopened with the new state.
	}
}

// SetServices sets the services that the configuration in force uses. The observer calls
// it when they change.
func (su *Subscriber) SetServices(services map[string]bool) { su.un.SetServices(services) }

// MarkGone records that the process at a backend server's address said that it is not
// that server. The server never returns.
func (su *Subscriber) MarkGone(id string) {
	su.mu.Lock()
	if len(su.gone) < maxQueuedGone {
		su.gone[id] = struct{}{}
	}
	su.mu.Unlock()
	su.wakeServe()
}

// wakeServe wakes the goroutine of Serve.
func (su *Subscriber) wakeServe() {
	select {
	case su.wake <- struct{}{}:
	default:
	}
}

// Serve keeps the links until the context ends, and returns the context's error.
func (su *Subscriber) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	su.events = make(chan event, maxQueuedEvents)
	su.sources = make(map[string]*source)
	su.invited = make(map[string]time.Time)
	su.findings = make(map[string]receivedFinding)
	su.fetch = fetch{}
	su.wakeTimer, su.wakeAtTime = su.ts.Timeout(seedInterval, su.wakeServe), time.Time{}
	defer su.wakeTimer.Stop()
	su.numConnected.Store(0)
	tick := su.ts.Subscribe(min(max(su.cf.RetentionTimeout/ticksPerRetention, minTickInterval), maxTickInterval))
	defer tick.Stop()
	start := func(so *source) {
		linkCtx, cancel := context.WithCancel(ctx)
		so.cancel = cancel
		wg.Go(func() { su.maintainLink(linkCtx, so) })
	}
	su.seeds, su.seedsReadAt = su.cf.Seeds(), su.ts.Now()
	su.reconcile(su.seedsReadAt, start)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-su.events:
			su.handleEvent(ev)
			su.handleQueuedEvents()
		case <-su.wake:
			su.processGone()
			su.processInvites()
		case <-tick.C:
			su.tick(su.ts.Now())
		}
		now := su.ts.Now()
		su.reconcile(now, start)
		su.fetchNewest(now)
		su.notify(now)
	}
}

// handleQueuedEvents handles the events that are queued already, so that the observer is
// notified once for all of them.
func (su *Subscriber) handleQueuedEvents() {
	for range maxQueuedEvents {
		select {
		case ev := <-su.events:
			su.handleEvent(ev)
		default:
			return
		}
	}
}

func (su *Subscriber) processGone() {
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

// tick reads the seeds again when due and expires servers that no control instance hears.
func (su *Subscriber) tick(now time.Time) {
	if now.Sub(su.seedsReadAt) >= seedInterval {
		su.seeds, su.seedsReadAt = su.cf.Seeds(), now
	}
	su.un.Expire(now)
}

// notify notifies the observer of changed backend servers and entry instances.
func (su *Subscriber) notify(now time.Time) {
	if su.un.Version() != su.lastServersVersion {
		if next := su.lastServersAt.Add(minNotifyInterval); now.Before(next) {
			su.wakeAt(now, next)
		} else {
			su.notifyServers(now)
		}
	}
	if !su.entriesDirty || su.NumConnected() == 0 {
		return // Without any control instance, the last known state is the best available.
	}
	su.entriesDirty = false
	if live := su.liveEntries(); !slices.Equal(live, su.lastEntries) {
		su.lastEntries = live
		su.ob.EntriesChanged(live)
	}
	if count := su.maxSharers(); count > 0 && count != su.lastSharers {
		su.lastSharers = count
		su.ob.SharersChanged(count)
	}
}

// notifyServers notifies the observer of the backend servers if they changed.
func (su *Subscriber) notifyServers(now time.Time) {
	version := su.un.Version()
	if version == su.lastServersVersion {
		return
	}
	su.lastServersAt, su.lastServersVersion = now, version
	servers := su.un.Servers()
	su.logServerChanges(now, su.lastServers, servers)
	su.lastServers = servers
	su.ob.ServersChanged(servers)
}

// wakeAt wakes Serve at the given time, unless it wakes earlier.
func (su *Subscriber) wakeAt(now, at time.Time) {
	if su.wakeAtTime.After(now) && !at.Before(su.wakeAtTime) {
		return
	}
	su.wakeAtTime = at
	su.wakeTimer.Reset(at.Sub(now))
}

// liveEntries returns the entry instances that any connected control instance lists. A
// disconnected one can't tell which of its entries have ended since.
func (su *Subscriber) liveEntries() []Entry {
	live := make(map[string]Entry)
	for _, so := range su.sources {
		if !so.connected.Load() {
			continue
		}
		for name, en := range so.entries {
			if other, ok := live[name]; en.State != Starting && (!ok || en.overrides(other)) {
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

// logServerChanges writes a line for each backend server that was added, removed or
// changed. Services without a change keep their slices.
func (su *Subscriber) logServerChanges(now time.Time, old, servers map[string][]registry.Server) {
	before := make(map[string]registry.Server)
	for service, ses := range old {
		if sameSlice(ses, servers[service]) {
			continue
		}
		for _, se := range ses {
			before[se.ID] = se
		}
	}
	for service, ses := range servers {
		if sameSlice(ses, old[service]) {
			continue
		}
		for _, se := range ses {
			was, known := before[se.ID]
			delete(before, se.ID)
			if !known || was.State != se.State || was.Address != se.Address || was.Born != se.Born {
				su.ll.info(now, "backend-server-changed", serverFields(se)...)
			}
		}
	}
	for _, se := range before {
		su.ll.info(now, "backend-server-dropped", serverFields(se)...)
	}
}

// sameSlice reports whether two slices share their elements.
func sameSlice(a, b []registry.Server) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
