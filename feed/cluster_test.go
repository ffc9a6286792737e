package feed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/link"
	"balsamwinch.example/outlier"
	"balsamwinch.example/peer"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/timer"
)

// Settings of the tests; the product uses the same values.
const (
	testPingInterval   = 300 * time.Millisecond
	testLinkTimeout    = time.Second           // silence timeout of links
	testRetention      = 4 * time.Second       // how long backend servers that no control instance hears are kept
	testSilenceTimeout = 3 * time.Second       // silence timeout of backend servers
	maxPropagation     = 50 * time.Millisecond // within this time a change must be known
)

// cluster holds control instances and entry instances that are connected by pipes, with
// the clock of a synctest bubble.
type cluster struct {
	withoutOverload bool // control instances started from now on are of the first release
	c               *qt.C
	ts              *timer.Service
	lg              *zap.Logger
	logs            *observer.ObservedLogs
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup

	latency     time.Duration     // delay of each message
	dataCentres map[string]string // data centres of control instances by name

	sharedStalls bool // control instances that start share stalls
	neededCopies int  // of a departure, at control instances that start

	mu       sync.Mutex
	controls map[string]*control // by address
	links    []*pipeLink
	dials    []dial
}

// control is a control instance. Its address lasts as long as the cluster; its publisher
// exists only while it runs.
type control struct {
	cl          *cluster
	member      Member
	pu          *Publisher
	stop        context.CancelFunc
	unreachable bool // dials hang instead of being refused
	stalled     bool // the instance accepts links and does nothing with them
}

// dial is an attempt of an entry instance to open a link.
type dial struct {
	entry, address string
	at             time.Time
}

// pipeLink is a link between an entry instance and a control instance.
type pipeLink struct {
	entry, address       string
	blackholed           atomic.Bool // all bytes are lost
	paused               atomic.Bool // the entry instance doesn't read
	controlEnd, entryEnd net.Conn

	mu           sync.Mutex
	sentMessages int // messages to the entry instance, without pings
	sentBytes    int // bytes of these messages
}

// linkEnd is one end of a pipeLink.
type linkEnd struct {
	net.Conn
	li          *pipeLink
	fromControl bool
	latency     time.Duration
}

func (en linkEnd) Write(buf []byte) (int, error) {
	if en.fromControl && len(buf) > 4 {
		en.li.mu.Lock()
		en.li.sentMessages++
		en.li.sentBytes += len(buf)
		en.li.mu.Unlock()
	}
	time.Sleep(en.latency)
	if en.li.blackholed.Load() {
		return len(buf), nil
	}
	return en.Conn.Write(buf)
}

// Close closes the end. On a blackholed link the other end isn't notified.
func (en linkEnd) Close() error {
	if en.li.blackholed.Load() {
		return en.SetDeadline(time.Unix(1, 0))
	}
	return en.Conn.Close()
}

func (en linkEnd) Read(buf []byte) (int, error) {
	en.waitWhilePaused()
	defer en.waitWhilePaused()
	return en.Conn.Read(buf)
}

// waitWhilePaused blocks the entry instance's end while the link is paused.
func (en linkEnd) waitWhilePaused() {
	for !en.fromControl && en.li.paused.Load() {
		time.Sleep(time.Millisecond)
	}
}

func (li *pipeLink) messages() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.sentMessages
}

// runInBubble runs a test in a synctest bubble.
func runInBubble(t *testing.T, fn func(c *qt.C, cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		core, logs := observer.New(zap.DebugLevel)
		ctx, cancel := context.WithCancel(context.Background())
		cl := &cluster{
			c: c, ts: timer.New(), lg: zap.New(core), logs: logs,
			ctx: ctx, cancel: cancel, controls: make(map[string]*control),
		}
		defer func() {
			cl.cancel()
			for _, li := range cl.linksBetween("", "") {
				li.paused.Store(false)
				_, _ = li.controlEnd.Close(), li.entryEnd.Close()
			}
			cl.wg.Wait()
			time.Sleep(time.Minute) // Let pending timeouts end.
			synctest.Wait()
			c.Assert(cl.ts.Subscriptions(), qt.Equals, 0)
		}()
		fn(c, cl)
	})
}

func (cl *cluster) config() link.Config {
	return link.Config{
		Codec: peer.NewCodec(link.Messages(), Messages()), Timers: cl.ts,
		DialTimeout: 500 * time.Millisecond, PingInterval: testPingInterval, SilenceTimeout: testLinkTimeout,
	}
}

// advance lets time pass and everything that happens in it settle.
func (cl *cluster) advance(span time.Duration) {
	time.Sleep(span)
	synctest.Wait()
}

// control creates and starts a control instance.
func (cl *cluster) control(name string) *control {
	co := &control{cl: cl, member: Member{Name: name, Address: name + ":1"}}
	cl.mu.Lock()
	cl.controls[co.member.Address] = co
	cl.mu.Unlock()
	co.start()
	return co
}

// group creates control instances that know each other.
func (cl *cluster) group(names ...string) []*control {
	var cos []*control
	for _, name := range names {
		cos = append(cos, cl.control(name))
	}
	for _, co := range cos {
		co.pu.SetMembers(members(cos...))
	}
	cl.advance(maxPropagation)
	return cos
}

func members(cos ...*control) []Member {
	var ms []Member
	for _, co := range cos {
		ms = append(ms, co.member)
	}
	return ms
}

// start starts the control instance with empty state.
func (co *control) start() {
	cl := co.cl
	ctx, cancel := context.WithCancel(cl.ctx)
	pu := NewPublisher(PublisherConfig{
		Name: co.member.Name, DataCentre: cl.dataCentres[co.member.Name], SilenceTimeout: testSilenceTimeout,
		SharedStalls: cl.sharedStalls, Overload: !cl.withoutOverload,
		NeededCopies: func(int) int { return cl.neededCopies },
	}, cl.ts, cl.lg)
	cl.mu.Lock()
	co.pu, co.stop, co.unreachable, co.stalled = pu, cancel, false, false
	cl.mu.Unlock()
	cl.wg.Go(func() { _ = pu.Serve(ctx) })
}

// kill ends the process of the control instance: its links are reset.
func (co *control) kill() {
	co.cl.mu.Lock()
	stop := co.stop
	co.pu, co.stop = nil, nil
	co.cl.mu.Unlock()
	stop()
	for _, li := range co.cl.linksBetween("", co.member.Address) {
		_ = li.controlEnd.Close()
	}
}

// isolate partitions the control instance's machine from the network.
func (co *control) isolate() {
	co.cl.mu.Lock()
	co.unreachable = true
	co.cl.mu.Unlock()
	for _, li := range co.cl.linksBetween("", co.member.Address) {
		li.blackholed.Store(true)
	}
}

// stall makes the control instance accept links and do nothing with them.
func (co *control) stall() {
	co.kill()
	co.start()
	co.cl.mu.Lock()
	defer co.cl.mu.Unlock()
	co.stalled = true
}

func (cl *cluster) connect(ctx context.Context, entry, address string) (net.Conn, error) {
	cl.mu.Lock()
	cl.dials = append(cl.dials, dial{entry: entry, address: address, at: time.Now()})
	co := cl.controls[address]
	if co == nil || co.unreachable {
		cl.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	pu, stalled := co.pu, co.stalled
	if pu == nil {
		cl.mu.Unlock()
		return nil, errors.New("connection refused")
	}
	controlEnd, entryEnd := net.Pipe()
	li := &pipeLink{entry: entry, address: address, controlEnd: controlEnd, entryEnd: entryEnd}
	cl.links = append(cl.links, li)
	cl.mu.Unlock()
	if stalled {
		return linkEnd{Conn: entryEnd, li: li, latency: cl.latency}, nil
	}
	cn := link.New(linkEnd{Conn: controlEnd, li: li, fromControl: true, latency: cl.latency}, cl.config())
	cl.wg.Go(func() {
		defer cn.Close()
		if ms, err := cn.Receive(); err == nil {
			pu.Handle(cl.ctx, cn, ms.(Subscribe))
		}
	})
	return linkEnd{Conn: entryEnd, li: li, latency: cl.latency}, nil
}

// linksBetween returns all links so far of an entry instance and a control instance; an
// empty name matches all.
func (cl *cluster) linksBetween(entry, address string) []*pipeLink {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var found []*pipeLink
	for _, li := range cl.links {
		if (entry == "" || li.entry == entry) && (address == "" || li.address == address) {
			found = append(found, li)
		}
	}
	return found
}

// numMessages returns the number of messages sent to an entry instance.
func (cl *cluster) numMessages(entry string) int {
	count := 0
	for _, li := range cl.linksBetween(entry, "") {
		count += li.messages()
	}
	return count
}

// dialsTo returns the dials to an address, or all of them if it is empty.
func (cl *cluster) dialsTo(address string) []dial {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(cl.dials), func(di dial) bool { return address != "" && di.address != address })
}

// entry is an entry instance. It is its own observer and records its notifications.
type entry struct {
	cl   *cluster
	name string
	su   *Subscriber
	stop context.CancelFunc
	done chan struct{}
	qa   *quarantine.Tracker

	mu                 sync.Mutex
	seeds              []string
	seedCalls          int // calls of Seeds
	refuse             func(version uint64) error
	versions           []uint64
	data               []byte
	configurationTimes []time.Time // times of ConfigurationChanged calls
	servers            map[string][]registry.Server
	serversTimes       []time.Time // times of ServersChanged calls
	entries            []Entry
	entriesHistory     [][]Entry
	findings           []outlier.Finding
	sharers            []int

	evacuations []evacuation.Set
}

// entry creates and starts an entry instance.
func (cl *cluster) entry(name string, seeds ...string) *entry {
	return cl.subscribe(SubscriberConfig{Self: Entry{Name: name, DataCentre: "lima", Address: name + ":80", State: Ready}}, seeds)
}

// controlSubscriber creates and starts the subscriber of a control instance, through
// which it learns what the others hear.
func (cl *cluster) controlSubscriber(name string, seeds ...string) *entry {
	return cl.subscribe(SubscriberConfig{Self: Entry{Name: name}, OwnAddress: name + ":1"}, seeds)
}

func (cl *cluster) subscribe(sc SubscriberConfig, seeds []string) *entry {
	name := sc.Self.Name
	en := &entry{cl: cl, name: name, seeds: seeds, done: make(chan struct{}), qa: quarantine.New()}
	cf := cl.config()
	cf.Connect = func(ctx context.Context, address string) (net.Conn, error) { return cl.connect(ctx, name, address) }
	sc.Seeds, sc.Link, sc.RetentionTimeout = en.currentSeeds, cf, testRetention
	if sc.OwnAddress == "" {
		sc.Suspects = func() []quarantine.Record { return en.qa.Records(cl.ts.Now()) }
	}
	en.su = NewSubscriber(sc, cl.ts, cl.lg, en)
	ctx, cancel := context.WithCancel(cl.ctx)
	en.stop = cancel
	cl.wg.Go(func() {
		defer close(en.done)
		_ = en.su.Serve(ctx)
	})
	return en
}

// entries creates entry instances with one seed and waits until they are connected.
func (cl *cluster) entries(count int, seed *control) []*entry {
	var ens []*entry
	for ii := range count {
		ens = append(ens, cl.entry(fmt.Sprintf("entry-%02d", ii), seed.member.Address))
	}
	cl.advance(time.Second)
	return ens
}

func (en *entry) currentSeeds() []string {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.seedCalls++
	return en.seeds
}

func (en *entry) setSeeds(seeds ...string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.seeds = seeds
}

func (en *entry) ConfigurationChanged(version uint64, data []byte) error {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.configurationTimes = append(en.configurationTimes, time.Now())
	if en.refuse != nil {
		if err := en.refuse(version); err != nil {
			return err
		}
	}
	en.versions, en.data = append(en.versions, version), data
	return nil
}

// refuseVersion makes the entry instance refuse a version.
func (en *entry) refuseVersion(refused uint64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.refuse = func(version uint64) error {
		if version == refused {
			return errors.New("a route names an unknown service")
		}
		return nil
	}
}

// attemptTimes returns the times of ConfigurationChanged calls.
func (en *entry) attemptTimes() []time.Time {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.configurationTimes)
}

func (en *entry) ServersChanged(servers map[string][]registry.Server) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.servers = servers
	en.serversTimes = append(en.serversTimes, time.Now())
}

func (en *entry) EntriesChanged(live []Entry) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.entries = live
	en.entriesHistory = append(en.entriesHistory, live)
}

func (en *entry) EvacuationsChanged(st evacuation.Set) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.evacuations = append(en.evacuations, st)
}

func (en *entry) SharersChanged(count int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.sharers = append(en.sharers, count)
}

func (en *entry) OutliersFound(fis []outlier.Finding) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.findings = append(en.findings, fis...)
}

func (en *entry) SuspectsReceived(_ string, rcs []quarantine.Record) []quarantine.Record {
	return en.qa.Merge(time.Now(), rcs)
}

// receivedFindings returns the outlier findings passed to the entry instance.
func (en *entry) receivedFindings() []outlier.Finding {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.findings)
}

// serverStates returns the entry instance's view of backend servers, as "id State".
func (en *entry) serverStates() []string {
	en.mu.Lock()
	defer en.mu.Unlock()
	states := []string{}
	for _, ses := range en.servers {
		for _, se := range ses {
			states = append(states, se.ID+" "+se.State.String())
		}
	}
	slices.Sort(states)
	return states
}

// entryStates returns the entry instance's view of entry instances, as "name State".
func (en *entry) entryStates() []string {
	en.mu.Lock()
	defer en.mu.Unlock()
	return describeEntries(en.entries)
}

func describeEntries(ens []Entry) []string {
	names := []string{}
	for _, en := range ens {
		names = append(names, en.Name+" "+en.State.String())
	}
	return names
}

// counts are the numbers of notifications, messages and calls of Seeds.
type counts struct{ seeds, messages, servers, entries, versions int }

func (en *entry) counts() counts {
	en.mu.Lock()
	defer en.mu.Unlock()
	return counts{
		seeds: en.seedCalls, messages: en.cl.numMessages(en.name), servers: len(en.serversTimes),
		entries: len(en.entriesHistory), versions: len(en.configurationTimes),
	}
}

func (en *entry) versionsInForce() []uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.versions)
}

// server returns a backend server's announcement.
func server(id string, sequence uint64, st registry.State) registry.Server {
	return registry.Server{
		ID: id, Service: "svc-" + id[:1], Address: id + ":8080", DataCentre: "lima",
		Version: "v1", Slots: 4, State: st, Sequence: sequence,
	}
}
