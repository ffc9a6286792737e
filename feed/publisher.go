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
	"balsamwinch.example/peer"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

// Times of a publisher.
const (
	// batchDelay is the time that a change after a quiet span waits for others.
	batchDelay = 2 * time.Millisecond
	// batchSpacing is the least time between two updates. When all backend servers
	// announce themselves at once, each update would otherwise hold one of them,
	// and each costs a write for each entry instance.
	batchSpacing = 20 * time.Millisecond
	// expiryShare is the part of the silence after which silence is looked for. The
	// book takes a gap of half of it between two looks for a stop of the process.
	expiryShare = 8
	// expiryLeast and expiryMost bound the time between two looks.
	expiryLeast = 100 * time.Millisecond
	expiryMost  = 500 * time.Millisecond
)

// PublisherConfig is what a publisher needs to know.
type PublisherConfig struct {
	Name           string        // Name of this control instance.
	DataCentre     string        // DataCentre is where it runs; entry instances there ask it first.
	SilenceTimeout time.Duration // Silence is how long a backend server may go without an announcement.
	// Members gives the control instances until SetMembers is called; nil means none.
	Members func() []Member
	// Quarantine holds the requests under which servers ended; nil means a new book.
	Quarantine *quarantine.Tracker
}

// Publisher tells the entry instances that have a link to this control instance
// what changes. All methods are safe for concurrent use and none but Handle and
// Serve blocks: a slow link holds up nobody else.
type Publisher struct {
	cf PublisherConfig
	ts *timer.Service
	lg *zap.Logger

	ready atomic.Pointer[[]Entry]

	mu          sync.Mutex
	lo          *bounded
	book        *registry.Catalog
	members     []Member
	version     uint64
	subscribers map[*subscriber]struct{}
	joined      uint64             // joined counts the subscribers so far.
	live        map[string]Entry   // live holds what the newest link of each entry instance said.
	loads       map[string]float64 // loads holds what entry instances say that they carry, by name.
	sharers     int
	pending     pending
	encoded     *encodedPicture // encoded is the last picture sent, until the next update.
	armed       bool            // armed says that a flush is due.
	flushed     time.Time       // flushed is the time of the last update.
	changes     uint64          // changes counts the changes of the book.
	evacuations *evacuation.Set // evacuations are the newest ones; nil before the first order.

	documents documents
	outliers  outliers
	qa        *quarantine.Tracker
}

// subscriber is one link of an entry instance.
type subscriber struct {
	co       *link.Conn
	en       Entry
	number   uint64
	listener bool // listener says that it is a control instance.
}

// encodedPicture is a picture as it was sent, and when it was made.
type encodedPicture struct {
	pa link.Packed
	at time.Time
}

// pending is what the next Update will tell.
type pending struct {
	members bool
	version bool
	sharers bool
	// evacuations says that these have changed.
	evacuations bool
	entries     map[string]struct{}
	servers     []registry.Change // servers holds one change for each id, in the order of the first.
	places      map[string]int    // places are the places in servers by id.
	// suspects are the requests under which servers ended of which something is new.
	suspects map[quarantine.Key]quarantine.Record
}

// NewPublisher returns the publisher of a control instance. It accepts
// subscribers and announcements at once; Serve finds backend servers that have
// fallen silent.
func NewPublisher(cf PublisherConfig, ts *timer.Service, lg *zap.Logger) *Publisher {
	pu := &Publisher{
		cf: cf, ts: ts, lg: lg, lo: newBounded(lg),
		book:        registry.NewCatalog(cf.SilenceTimeout),
		outliers:    outliers{de: outlier.New()},
		qa:          cf.Quarantine,
		subscribers: make(map[*subscriber]struct{}),
		live:        make(map[string]Entry),
		loads:       make(map[string]float64),
		pending:     newPending(),
	}
	if pu.qa == nil {
		pu.qa = quarantine.New()
	}
	pu.ready.Store(&[]Entry{})
	return pu
}

func newPending() pending {
	return pending{
		entries: make(map[string]struct{}), places: make(map[string]int),
		suspects: make(map[quarantine.Key]quarantine.Record),
	}
}

// Serve removes backend servers that have fallen silent until the context ends,
// and returns the context's error.
func (pu *Publisher) Serve(ctx context.Context) error {
	period := min(max(pu.cf.SilenceTimeout/expiryShare, expiryLeast), expiryMost)
	tick := pu.ts.Subscribe(period)
	defer tick.Stop()
	judge := pu.ts.Subscribe(judgePeriod)
	defer judge.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			pu.expire(pu.ts.Now())
		case <-judge.C:
			pu.judge(pu.ts.Now())
		}
	}
}

// SetDocument takes in a configuration that is committed. A version that is not
// higher than the one held changes nothing. The data must not be changed later.
func (pu *Publisher) SetConfiguration(version uint64, data []byte) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if version <= pu.version {
		return
	}
	pu.version = version
	pu.documents.add(version, data)
	pu.pending.version = true
	pu.lg.Info("configuration-published", zap.Uint64("Version", version), zap.Int("Bytes", len(data)))
	pu.arm(now)
}

// SetMembers takes in the control instances of the group.
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
	pu.lg.Info("members-published", zap.Int("Members", len(ms)))
	pu.arm(now)
}

// sortedMembers returns a copy in the order of names. It is never nil.
func sortedMembers(ms []Member) []Member {
	ms = append([]Member{}, ms...)
	slices.SortFunc(ms, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return ms
}

// Handle serves the link of an entry instance until it or the context ends. The
// first message on the link is given.
func (pu *Publisher) Handle(ctx context.Context, co *link.Conn, first Subscribe) {
	stop := context.AfterFunc(ctx, co.Close)
	defer stop()
	defer co.Close()
	sb := pu.join(co, first)
	for {
		ms, err := co.Receive()
		if err != nil {
			pu.part(sb, err)
			return
		}
		switch me := ms.(type) {
		case StateReport:
			pu.stand(sb, me.State)
		case Fetch:
			pu.send(sb, me)
		case LoadReport:
			pu.report(sb, float64(me.Load))
		case Observations:
			pu.outliers.add(pu.ts.Now(), sb.en.Name, me.Samples)
			pu.AddSuspects(sb.en.Name, me.Suspects)
		default:
			pu.lg.Warn("message-not-expected", zap.String("Entry", sb.en.Name), zap.Uint16("Kind", uint16(me.Kind())))
		}
	}
}

// join adds a subscriber and sends it the whole picture. Both happen under one
// lock, so that no change falls between the picture and the first update.
func (pu *Publisher) join(co *link.Conn, first Subscribe) *subscriber {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.joined++
	sb := &subscriber{co: co, number: pu.joined, listener: first.FromControl, en: Entry{
		Name: first.Name, DataCentre: first.DataCentre, Address: first.Address, State: first.State,
	}}
	pu.subscribers[sb] = struct{}{}
	pu.refresh(now, first.Name)
	pu.lo.info(now, "entry-link-up", zap.String("Entry", first.Name), zap.String("Address", first.Address),
		zap.Stringer("State", first.State), zap.Uint64("Version", first.Version))
	if err := pu.sendPicture(now, co); err != nil {
		pu.lg.Warn("picture-not-sent", zap.String("Entry", first.Name), zap.Error(err))
	}
	return sb
}

// sendPicture tells a subscriber all that is known. Those that connect between two updates
// get the same picture: what has changed since it was made is told by the next update.
//
// Each costs a control instance the encoding of hundreds of records otherwise, hundreds of
// times in the moment in which callers wait for entry instances that have just started:
// 191 that connect at once to one that hears 126 backend servers, 26 to 35 ms of a core
// then, 2 to 3 ms with the same picture (BenchmarkJoins, beside a busy machine).
func (pu *Publisher) sendPicture(now time.Time, co *link.Conn) error {
	if pu.encoded == nil || now.Sub(pu.encoded.at) >= batchSpacing {
		pa, err := co.Pack(pu.picture(now))
		if err != nil {
			return err
		}
		pu.encoded = &encodedPicture{pa: pa, at: now}
	}
	return co.SendPacked(pu.encoded.pa)
}

func (pu *Publisher) picture(now time.Time) Snapshot {
	members := pu.members
	if members == nil && pu.cf.Members != nil {
		members = sortedMembers(pu.cf.Members())
	}
	return Snapshot{
		Name: pu.cf.Name, DataCentre: pu.cf.DataCentre, Members: members, Version: pu.version, Sharers: pu.sharers,
		Entries: pu.entries(func(Entry) bool { return true }), Servers: pu.book.Records(now),
		Suspects: pu.qa.Records(now), Evacuations: pu.evacuations,
	}
}

// part removes a subscriber whose link has ended.
func (pu *Publisher) part(sb *subscriber, err error) {
	now := pu.ts.Now()
	pu.mu.Lock()
	defer pu.mu.Unlock()
	delete(pu.subscribers, sb)
	pu.refresh(now, sb.en.Name)
	pu.lo.info(now, "entry-link-down", zap.String("Entry", sb.en.Name), zap.Stringer("State", sb.en.State), zap.Error(err))
}

// send answers a Fetch. It holds up no one but those who fetch.
func (pu *Publisher) send(sb *subscriber, fe Fetch) {
	pa, held, err := pu.documents.pack(sb.co, fe)
	switch {
	case err != nil:
		pu.lg.Error("message-not-encoded", zap.Error(err))
	case held < fe.Version || held == 0:
		pu.lg.Warn("configuration-not-held", zap.String("Entry", sb.en.Name),
			zap.Uint64("Version", fe.Version), zap.Uint64("Held", held))
	default:
		_ = sb.co.SendPacked(pa) // The end of the link is seen where it is read.
	}
}

// arm makes an update go out soon.
func (pu *Publisher) arm(now time.Time) {
	if pu.armed {
		return
	}
	pu.armed = true
	pu.ts.Timeout(max(batchDelay, pu.flushed.Add(batchSpacing).Sub(now)), pu.flush)
}

// flush sends what is pending to all subscribers.
func (pu *Publisher) flush() {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	pu.armed, pu.flushed = false, pu.ts.Now()
	up := pu.update()
	pu.pending, pu.encoded = newPending(), nil
	pu.tellAll(up)
}

// tellAll sends a message to all subscribers. It is encoded once.
func (pu *Publisher) tellAll(ms peer.Message) {
	var pa *link.Packed
	for sb := range pu.subscribers {
		if pa == nil {
			packed, err := sb.co.Pack(ms)
			if err != nil {
				pu.lg.Error("message-not-encoded", zap.Error(err))
				return
			}
			pa = &packed
		}
		_ = sb.co.SendPacked(*pa) // The end of the link is seen where it is read.
	}
}

func (pu *Publisher) update() Update {
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
	for _, name := range slices.Sorted(maps.Keys(pu.pending.entries)) {
		if en, ok := pu.live[name]; ok {
			up.Entries = append(up.Entries, en)
		} else {
			up.RemovedEntries = append(up.RemovedEntries, name)
		}
	}
	up.Changes = pu.pending.servers
	for _, rc := range pu.pending.suspects {
		up.Suspects = append(up.Suspects, rc)
	}
	return up
}
