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

// Settings of the tests, those of the product.
const (
	testPing    = 300 * time.Millisecond
	testSilence = time.Second           // testSilence is that of links.
	testHold    = 4 * time.Second       // testHold is that of backend servers nobody hears.
	testQuiet   = 3 * time.Second       // testQuiet is the silence of backend servers.
	soon        = 50 * time.Millisecond // soon is within what a change must be known.
)

// world holds control instances and entry instances that are joined by pipes,
// under the clock of a synctest bubble.
type world struct {
	c      *qt.C
	ts     *timer.Service
	lg     *zap.Logger
	logs   *observer.ObservedLogs
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	delay  time.Duration     // delay is what a message takes on its way.
	places map[string]string // places are the data centres of control instances by name.

	mu       sync.Mutex
	controls map[string]*control // by address
	lines    []*line
	dials    []dial
}

// control is a control instance. It has an address for as long as the world
// does, and a publisher while it runs.
type control struct {
	wo      *world
	member  Member
	pu      *Publisher
	stop    context.CancelFunc
	dark    bool // dark makes dials hang instead of being refused.
	stalled bool // stalled makes the instance accept links and do nothing with them.
}

// dial is an attempt of an entry instance to open a link.
type dial struct {
	entry, address string
	at             time.Time
}

// line is a link between an entry instance and a control instance.
type line struct {
	entry, address string
	cut            atomic.Bool // cut makes all bytes vanish.
	slow           atomic.Bool // slow keeps the entry instance from reading.
	far, near      net.Conn

	mu    sync.Mutex
	down  int // down counts the messages towards the entry instance, without pings.
	bytes int // bytes counts their bytes.
}

// end is one end of a line.
type end struct {
	net.Conn
	li    *line
	down  bool
	delay time.Duration
}

func (en end) Write(buf []byte) (int, error) {
	if en.down && len(buf) > 4 {
		en.li.mu.Lock()
		en.li.down++
		en.li.bytes += len(buf)
		en.li.mu.Unlock()
	}
	time.Sleep(en.delay)
	if en.li.cut.Load() {
		return len(buf), nil
	}
	return en.Conn.Write(buf)
}

// Close closes the end. On a cut line the other end doesn't hear of it.
func (en end) Close() error {
	if en.li.cut.Load() {
		return en.SetDeadline(time.Unix(1, 0))
	}
	return en.Conn.Close()
}

func (en end) Read(buf []byte) (int, error) {
	en.wait()
	defer en.wait()
	return en.Conn.Read(buf)
}

// wait keeps the entry instance's end from reading while the line is slow.
func (en end) wait() {
	for !en.down && en.li.slow.Load() {
		time.Sleep(time.Millisecond)
	}
}

func (li *line) messages() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.down
}

// play runs a test in a bubble.
func play(t *testing.T, fn func(c *qt.C, wo *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		core, logs := observer.New(zap.DebugLevel)
		ctx, cancel := context.WithCancel(context.Background())
		wo := &world{
			c: c, ts: timer.New(), lg: zap.New(core), logs: logs,
			ctx: ctx, cancel: cancel, controls: make(map[string]*control),
		}
		defer func() {
			wo.cancel()
			for _, li := range wo.all("", "") {
				li.slow.Store(false)
				_, _ = li.far.Close(), li.near.Close()
			}
			wo.wg.Wait()
			time.Sleep(time.Minute) // Timeouts that are under way end.
			synctest.Wait()
			c.Assert(wo.ts.Subscriptions(), qt.Equals, 0)
		}()
		fn(c, wo)
	})
}

func (wo *world) config() link.Config {
	return link.Config{
		Codec: peer.NewCodec(link.Messages(), Messages()), TS: wo.ts,
		Dial: 500 * time.Millisecond, Ping: testPing, Silence: testSilence,
	}
}

// after lets a time pass and everything settle that is to happen until then.
func (wo *world) after(delay time.Duration) {
	time.Sleep(delay)
	synctest.Wait()
}

// control makes a control instance and starts it.
func (wo *world) control(name string) *control {
	co := &control{wo: wo, member: Member{Name: name, Address: name + ":1"}}
	wo.mu.Lock()
	wo.controls[co.member.Address] = co
	wo.mu.Unlock()
	co.start()
	return co
}

// group makes control instances that know each other.
func (wo *world) group(names ...string) []*control {
	var cos []*control
	for _, name := range names {
		cos = append(cos, wo.control(name))
	}
	for _, co := range cos {
		co.pu.SetMembers(members(cos...))
	}
	wo.after(soon)
	return cos
}

func members(cos ...*control) []Member {
	var ms []Member
	for _, co := range cos {
		ms = append(ms, co.member)
	}
	return ms
}

// start starts the control instance with nothing in its memory.
func (co *control) start() {
	wo := co.wo
	ctx, cancel := context.WithCancel(wo.ctx)
	pu := NewPublisher(PublisherConfig{Name: co.member.Name, DataCentre: wo.places[co.member.Name], SilenceTimeout: testQuiet}, wo.ts, wo.lg)
	wo.mu.Lock()
	co.pu, co.stop, co.dark, co.stalled = pu, cancel, false, false
	wo.mu.Unlock()
	wo.wg.Go(func() { _ = pu.Serve(ctx) })
}

// kill ends the process of the control instance: its links are reset.
func (co *control) kill() {
	co.wo.mu.Lock()
	stop := co.stop
	co.pu, co.stop = nil, nil
	co.wo.mu.Unlock()
	stop()
	for _, li := range co.wo.all("", co.member.Address) {
		_ = li.far.Close()
	}
}

// lose cuts the control instance's machine off.
func (co *control) lose() {
	co.wo.mu.Lock()
	co.dark = true
	co.wo.mu.Unlock()
	for _, li := range co.wo.all("", co.member.Address) {
		li.cut.Store(true)
	}
}

// stall makes the control instance accept links and do nothing with them.
func (co *control) stall() {
	co.kill()
	co.start()
	co.wo.mu.Lock()
	defer co.wo.mu.Unlock()
	co.stalled = true
}

func (wo *world) connect(ctx context.Context, entry, address string) (net.Conn, error) {
	wo.mu.Lock()
	wo.dials = append(wo.dials, dial{entry: entry, address: address, at: time.Now()})
	co := wo.controls[address]
	if co == nil || co.dark {
		wo.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	pu, stalled := co.pu, co.stalled
	if pu == nil {
		wo.mu.Unlock()
		return nil, errors.New("connection refused")
	}
	far, near := net.Pipe()
	li := &line{entry: entry, address: address, far: far, near: near}
	wo.lines = append(wo.lines, li)
	wo.mu.Unlock()
	if stalled {
		return end{Conn: near, li: li, delay: wo.delay}, nil
	}
	cn := link.New(end{Conn: far, li: li, down: true, delay: wo.delay}, wo.config())
	wo.wg.Go(func() {
		defer cn.Close()
		if ms, err := cn.Receive(); err == nil {
			pu.Handle(wo.ctx, cn, ms.(Subscribe))
		}
	})
	return end{Conn: near, li: li, delay: wo.delay}, nil
}

// all returns the lines so far of an entry instance and a control instance; an
// empty name stands for all.
func (wo *world) all(entry, address string) []*line {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	var found []*line
	for _, li := range wo.lines {
		if (entry == "" || li.entry == entry) && (address == "" || li.address == address) {
			found = append(found, li)
		}
	}
	return found
}

// down returns how many messages have gone to an entry instance.
func (wo *world) down(entry string) int {
	count := 0
	for _, li := range wo.all(entry, "") {
		count += li.messages()
	}
	return count
}

// dialed returns the dials to an address, or to all if it is empty.
func (wo *world) dialed(address string) []dial {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(wo.dials), func(di dial) bool { return address != "" && di.address != address })
}

// entry is an entry instance. As its own observer it keeps what it was told.
type entry struct {
	wo   *world
	name string
	su   *Subscriber
	stop context.CancelFunc
	done chan struct{}
	qa   *quarantine.Tracker

	mu       sync.Mutex
	seeds    []string
	asked    int // asked counts the calls of Seeds.
	refuse   func(version uint64) error
	versions []uint64
	data     []byte
	tries    []time.Time // tries are the times at which a configuration came.
	servers  map[string][]registry.Server
	told     []time.Time // told are the times at which servers came.
	live     []Entry
	lives    [][]Entry
	found    []outlier.Finding
	sharers  []int

	evacuations []evacuation.Set
}

// entry makes an entry instance and starts it.
func (wo *world) entry(name string, seeds ...string) *entry {
	return wo.subscribe(SubscriberConfig{Self: Entry{Name: name, DataCentre: "lima", Address: name + ":80", State: Ready}}, seeds)
}

// listener makes what a control instance hears of the others with, and starts it.
func (wo *world) listener(name string, seeds ...string) *entry {
	return wo.subscribe(SubscriberConfig{Self: Entry{Name: name}, OwnAddress: name + ":1"}, seeds)
}

func (wo *world) subscribe(sc SubscriberConfig, seeds []string) *entry {
	name := sc.Self.Name
	en := &entry{wo: wo, name: name, seeds: seeds, done: make(chan struct{}), qa: quarantine.New()}
	cf := wo.config()
	cf.Connect = func(ctx context.Context, address string) (net.Conn, error) { return wo.connect(ctx, name, address) }
	sc.Seeds, sc.Link, sc.RetentionTimeout = en.giveSeeds, cf, testHold
	if sc.OwnAddress == "" {
		sc.Suspects = func() []quarantine.Record { return en.qa.Records(wo.ts.Now()) }
	}
	en.su = NewSubscriber(sc, wo.ts, wo.lg, en)
	ctx, cancel := context.WithCancel(wo.ctx)
	en.stop = cancel
	wo.wg.Go(func() {
		defer close(en.done)
		_ = en.su.Serve(ctx)
	})
	return en
}

// entries makes entry instances with one seed and waits until they are connected.
func (wo *world) entries(count int, seed *control) []*entry {
	var ens []*entry
	for ii := range count {
		ens = append(ens, wo.entry(fmt.Sprintf("entry-%02d", ii), seed.member.Address))
	}
	wo.after(time.Second)
	return ens
}

func (en *entry) giveSeeds() []string {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.asked++
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
	en.tries = append(en.tries, time.Now())
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

// came returns the times at which a configuration came.
func (en *entry) came() []time.Time {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.tries)
}

func (en *entry) ServersChanged(servers map[string][]registry.Server) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.servers = servers
	en.told = append(en.told, time.Now())
}

func (en *entry) EntriesChanged(live []Entry) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.live = live
	en.lives = append(en.lives, live)
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
	en.found = append(en.found, fis...)
}

func (en *entry) SuspectsHeard(_ string, rcs []quarantine.Record) []quarantine.Record {
	return en.qa.Merge(time.Now(), rcs)
}

// findings returns what the entry instance was told of outliers.
func (en *entry) findings() []outlier.Finding {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.found)
}

// states returns what the entry instance knows of backend servers, as "id State".
func (en *entry) states() []string {
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

// names returns what the entry instance knows of entry instances, as "name State".
func (en *entry) names() []string {
	en.mu.Lock()
	defer en.mu.Unlock()
	return described(en.live)
}

func described(ens []Entry) []string {
	names := []string{}
	for _, en := range ens {
		names = append(names, en.Name+" "+en.State.String())
	}
	return names
}

// counts are how often an entry instance was told something, or asked.
type counts struct{ seeds, down, servers, entries, versions int }

func (en *entry) counts() counts {
	en.mu.Lock()
	defer en.mu.Unlock()
	return counts{
		seeds: en.asked, down: en.wo.down(en.name), servers: len(en.told),
		entries: len(en.lives), versions: len(en.tries),
	}
}

func (en *entry) held() []uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.versions)
}

// server returns what a backend server announces.
func server(id string, sequence uint64, st registry.State) registry.Server {
	return registry.Server{
		ID: id, Service: "svc-" + id[:1], Address: id + ":8080", DataCentre: "lima",
		Version: "v1", Slots: 4, State: st, Sequence: sequence,
	}
}
