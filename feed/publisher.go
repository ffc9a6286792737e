package feed

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/link"
	"balsamwinch.example/outlier"
	"balsamwinch.example/overload"
	"balsamwinch.example/peer"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

// Intervals of a publisher.
const (
	// batchDelay is how long a change after a quiet period waits for others.
	batchDelay = 2 * time.Millisecond
	// minFlushInterval is the minimum time between two updates. When all backend servers
	// announce themselves at once, each update would otherwise contain one of them, and
	// each costs a write per entry instance.
	minFlushInterval = 20 * time.Millisecond
	// expiryChecksPerTimeout is how often within SilenceTimeout silent servers are looked
	// for. The catalog takes a gap of half that timeout between two checks for a
	// suspension of the process.
	expiryChecksPerTimeout = 8
	// minExpiryInterval and maxExpiryInterval bound the time between two checks.
	minExpiryInterval = 100 * time.Millisecond
	maxExpiryInterval = 500 * time.Millisecond
)

// PublisherConfig configures a publisher.
type PublisherConfig struct {
	Name           string        // name of this control instance
	DataCentre     string        // data centre of this control instance; entry instances there prefer it for fetches
	SilenceTimeout time.Duration // how long a backend server may go without an announcement
	// Members returns the control instances until SetMembers is called; nil means none.
	Members func() []Member
	// Quarantine holds the requests suspected of crashing servers; nil means a new, empty
	// one.
	Quarantine *quarantine.Tracker
	// GrantQuotas answers an entry instance's request for tokens. It is called concurrently
	// and must not block. If it is nil, this instance owns no quotas.
	GrantQuotas func(entry string, rq QuotaRequest) QuotaGrant
	// NeededCopies returns on how many control instances the departure of a backend server
	// must be stored before it is acknowledged, given the number of members of the group; nil
	// means that departures are not stored. It must not block.
	NeededCopies func(members int) int
	// SharedStalls is set if stalls of backend servers are evaluated and published.
	SharedStalls bool
	// Overload enables admission levels for all entry instances together.
	Overload bool
}

// Publisher sends changes to the entry instances that have a link to this control
// instance. All methods are safe for concurrent use and none but Handle and Serve blocks:
// a slow link delays no other one.
type Publisher struct {
	cf PublisherConfig
	ts *timer.Service
	lg *zap.Logger

	readyEntries atomic.Pointer[[]Entry]

	mu             sync.Mutex
	ll             *limitedLogger
	ignored        *limitedLogger // for what others than backend servers say, which may be any number of lines
	catalog        *registry.Catalog
	members        []Member
	version        uint64
	subscribers    map[*subscriber]struct{}
	numJoined      uint64             // subscribers so far
	liveEntries    map[string]Entry   // state that the newest link of each entry instance reported, by name
	loads          map[string]float64 // reported loads of entry instances by name
	sharers        int
	pending        pendingUpdate
	lastSnapshot   *encodedSnapshot // last snapshot sent, until the next update
	flushScheduled bool             // a flush is due
	lastFlush      time.Time        // time of the last update
	serversVersion uint64           // changes of the catalog
	evacuations    *evacuation.Set  // newest ones; nil before the first evacuation command

	departures departures

	configurations configurationStore
	detector       lockedDetector
	overload       lockedController
	qa             *quarantine.Tracker
	stalls         *stallShare // nil if stalls are not shared
}

// subscriber is one link of an entry instance or of another control instance.
type subscriber struct {
	co          *link.Conn
	en          Entry
	joinNumber  uint64
	fromControl bool // the subscriber is a control instance
	features    Features
	stored      uint64 // number up to which a control instance has stored departures
}

// pendingUpdate collects the changes for the next Update.
type pendingUpdate struct {
	members bool
	version bool
	sharers bool
	// evacuations means that they have changed.
	evacuations bool
	departures  bool // changes has departures
	entries     map[string]struct{}
	changes     []registry.Change // one change for each id, in the order of the first
	indexes     map[string]int    // indexes in changes by id
	// suspects are the suspected requests with new information.
	suspects map[quarantine.Key]quarantine.Record
}

// NewPublisher returns the publisher of a control instance. It accepts subscribers and
// announcements at once; Serve removes silent backend servers.
func NewPublisher(cf PublisherConfig, ts *timer.Service, lg *zap.Logger) *Publisher {
	pu := &Publisher{
		cf: cf, ts: ts, lg: lg, ll: newLimitedLogger(lg), ignored: newLimitedLogger(lg),
		catalog:     registry.NewCatalog(cf.SilenceTimeout),
		detector:    lockedDetector{de: outlier.New()},
		qa:          cf.Quarantine,
		subscribers: make(map[*subscriber]struct{}),
		liveEntries: make(map[string]Entry),
		loads:       make(map[string]float64),
		pending:     newPendingUpdate(),
		departures:  newDepartures(),
	}
	if pu.qa == nil {
		pu.qa = quarantine.New()
	}
	if cf.SharedStalls {
		pu.stalls = newStallShare(ts.Now(), lg)
	}
	pu.readyEntries.Store(&[]Entry{})
	return pu
}

func newPendingUpdate() pendingUpdate {
	return pendingUpdate{
		entries: make(map[string]struct{}), indexes: make(map[string]int),
		suspects: make(map[quarantine.Key]quarantine.Record),
	}
}

// Serve removes backend servers that stopped announcing themselves and publishes outliers
// until the context ends. It returns the context's error.
func (pu *Publisher) Serve(ctx context.Context) error {
	period := min(max(pu.cf.SilenceTimeout/expiryChecksPerTimeout, minExpiryInterval), maxExpiryInterval)
	tick := pu.ts.Subscribe(period)
	defer tick.Stop()
	outlierTick := pu.ts.Subscribe(outlierInterval)
	defer outlierTick.Stop()
	levelsTick := pu.ts.Subscribe(overload.ReportInterval)
	defer levelsTick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			pu.expireServers(pu.ts.Now())
		case <-outlierTick.C:
			pu.publishFindings(pu.ts.Now())
			pu.updateStalls(pu.ts.Now())
		case <-levelsTick.C:
			pu.publishLevels(pu.ts.Now())
		}
	}
}

// SetConfiguration publishes a committed configuration. It ignores a version that is not
// higher than the current one. The data must not be changed later.
func (pu *Publisher) SetConfiguration(version uint64, data []byte) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if version <= pu.version {
		return
	}
	pu.version = version
	pu.configurations.add(version, data)
	pu.pending.version = true
	pu.lg.Info("configuration-published", zap.Uint64("Version", version), zap.Int("Bytes", len(data)))
	pu.scheduleFlush(now)
}

// SetMembers publishes the control instances of the group.
func (pu *Publisher) SetMembers(ms []Member) {
	now := pu.ts.Now()
	ms = sortedMembers(ms)
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if pu.members != nil && slices.Equal(pu.members, ms) {
		return
	}
	pu.members = ms
	pu.pending.members = true
	pu.updateAcknowledged()
	pu.lg.Info("members-published", zap.Int("Members", len(ms)))
	pu.scheduleFlush(now)
}

// sortedMembers returns a copy sorted by name. It is never nil.
func sortedMembers(ms []Member) []Member {
	ms = append([]Member{}, ms...)
	slices.SortFunc(ms, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return ms
}

// Handle serves the link of an entry instance until it or the context ends. The first
// message has been received already.
func (pu *Publisher) Handle(ctx context.Context, co *link.Conn, first Subscribe) {
	stop := context.AfterFunc(ctx, co.Close)
	defer stop()
	defer co.Close()
	sb := pu.addSubscriber(co, first)
	for {
		ms, err := co.Receive()
		if err != nil {
			pu.removeSubscriber(sb, err)
			return
		}
		switch me := ms.(type) {
		case StateReport:
			pu.setEntryState(sb, me.State)
		case Fetch:
			pu.answerFetch(sb, me)
		case LoadReport:
			pu.setEntryLoad(sb, float64(me.Load))
		case Observations:
			pu.detector.add(pu.ts.Now(), sb.en.Name, me.Samples)
			pu.AddSuspects(sb.en.Name, me.Suspects)
		case QuotaRequest:
			pu.answerQuotas(sb, me)
		case StallReport:
			pu.addStalls(sb, me)
		case OverloadReport:
			pu.overload.add(pu.ts.Now(), me.Reports)
		case DeparturesStored:
			pu.setStoredBy(sb, me.Departures)
		default:
			pu.lg.Warn("message-not-expected", zap.String("Entry", sb.en.Name), zap.Uint16("Kind", uint16(me.Kind())))
		}
	}
}

// addSubscriber adds a subscriber and sends it the snapshot. Both happen under one lock,
// so that no change is lost between the snapshot and the first update.
func (pu *Publisher) addSubscriber(co *link.Conn, first Subscribe) *subscriber {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.numJoined++
	sb := &subscriber{co: co, joinNumber: pu.numJoined, fromControl: first.FromControl, features: first.Features, en: Entry{
		Name: first.Name, DataCentre: first.DataCentre, Address: first.Address, State: first.State,
	}}
	pu.subscribers[sb] = struct{}{}
	pu.refreshEntry(now, first.Name)
	if sb.fromControl {
		pu.updateAcknowledged()
	}
	pu.ll.info(now, "entry-link-up", zap.String("Entry", first.Name), zap.String("Address", first.Address),
		zap.Stringer("State", first.State), zap.Uint64("Version", first.Version))
	if err := pu.sendSnapshot(now, co); err != nil {
		pu.lg.Warn("picture-not-sent", zap.String("Entry", first.Name), zap.Error(err))
	}
	return sb
}

// removeSubscriber removes a subscriber whose link has ended.
func (pu *Publisher) removeSubscriber(sb *subscriber, err error) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	delete(pu.subscribers, sb)
	pu.refreshEntry(now, sb.en.Name)
	pu.ll.info(now, "entry-link-down", zap.String("Entry", sb.en.Name), zap.Stringer("State", sb.en.State), zap.Error(err))
}

// answerFetch answers a Fetch. It delays only other fetches.
func (pu *Publisher) answerFetch(sb *subscriber, fe Fetch) {
	pa, version, err := pu.configurations.pack(sb.co, fe)
	switch {
	case err != nil:
		pu.lg.Error("message-not-encoded", zap.Error(err))
	case version < fe.Version || version == 0:
		pu.lg.Warn("configuration-not-held", zap.String("Entry", sb.en.Name),
			zap.Uint64("Version", fe.Version), zap.Uint64("Held", version))
	default:
		_ = sb.co.SendPrepared(pa) // Reading from the link reports its end.
	}
}

// scheduleFlush schedules the next update.
func (pu *Publisher) scheduleFlush(now time.Time) {
	if pu.flushScheduled {
		return
	}
	pu.flushScheduled = true
	pu.ts.Timeout(max(batchDelay, pu.lastFlush.Add(minFlushInterval).Sub(now)), pu.flush)
}

// flush sends the pending changes to all subscribers.
func (pu *Publisher) flush() {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.flushScheduled, pu.lastFlush = false, pu.ts.Now()
	up := pu.buildUpdate()
	pu.pending, pu.lastSnapshot = newPendingUpdate(), nil
	pu.broadcast(up)
}

// broadcast sends a message to all subscribers. It is encoded once.
func (pu *Publisher) broadcast(ms peer.Message) {
	pu.broadcastTo(ms, func(*subscriber) bool { return true })
}

// broadcastTo sends a message to the subscribers for which wanted returns true.
func (pu *Publisher) broadcastTo(ms peer.Message, wanted func(*subscriber) bool) {
	var pa *link.PreparedMessage
	for sb := range pu.subscribers {
		if !wanted(sb) {
			continue
		}
		if pa == nil {
			packed, err := sb.co.Prepare(ms)
			if err != nil {
				pu.lg.Error("message-not-encoded", zap.Error(err))
				return
			}
			pa = &packed
		}
		_ = sb.co.SendPrepared(*pa) // Reading from the link reports its end.
	}
}

func (pu *Publisher) buildUpdate() Update {
	var up Update
	if pu.pending.members {
		up.Members = &pu.members
	}
	if pu.pending.version {
		up.Version = pu.version
	}
	if pu.pending.sharers {
		up.Sharers = pu.sharers
	}
	if pu.pending.evacuations {
		up.Evacuations = pu.evacuations
	}
	if pu.pending.departures {
		up.Departures = pu.departures.last
	}
	for _, name := range slices.Sorted(maps.Keys(pu.pending.entries)) {
		if en, ok := pu.liveEntries[name]; ok {
			up.Entries = append(up.Entries, en)
		} else {
			up.RemovedEntries = append(up.RemovedEntries, name)
		}
	}
	up.Changes = pu.pending.changes
	for _, rc := range pu.pending.suspects {
		up.Suspects = append(up.Suspects, rc)
	}
	return up
}
