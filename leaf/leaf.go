package leaf

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/chart"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/timer"
)

const (
	headerTimeout = 30 * time.Second // headerTimeout bounds the arrival of a request's header.
	closeTimeout  = 2 * time.Second  // closeTimeout bounds the end of the connections and the last announcement.
)

// Leaf is an emulated backend server.
type Leaf struct {
	cf      Config
	ts      *timer.Service
	lg      *zap.Logger
	ln      *listener
	control net.Listener // control is nil if there is no control endpoint.
	started time.Time
	tl      *tally
	wo      *work
	di      *dice
	an      *announcer
	faults  atomic.Pointer[setFaults]
	last    atomic.Pointer[string] // last is the id of the request before, for Crossed.
	sampled atomic.Pointer[report] // sampled is nil without LoadLag.
	ended   chan struct{}          // ended is closed by Close.
	endOnce sync.Once

	mu       sync.Mutex
	state    chart.State
	ix       index
	sequence uint64
}

// setFaults are the faults in force.
type setFaults struct {
	fa     Faults
	lifted chan struct{} // lifted is closed when others take their place.
}

// New returns a Leaf that listens at once and serves once Serve runs.
func New(cf Config, ts *timer.Service, lg *zap.Logger) (*Leaf, error) {
	ln, err := net.Listen("tcp", cf.Address)
	if err != nil {
		return nil, err
	}
	var control net.Listener
	if cf.ControlAddress != "" {
		if control, err = net.Listen("tcp", cf.ControlAddress); err != nil {
			_ = ln.Close()
			return nil, err
		}
	}
	return newLeaf(cf, ts, lg, ln, control), nil
}

func newLeaf(cf Config, ts *timer.Service, lg *zap.Logger, ln, control net.Listener) *Leaf {
	now := ts.Now()
	cf = cf.withDefaults(now)
	tl := newTally()
	le := &Leaf{
		cf: cf, ts: ts, lg: lg.With(zap.String("Server", cf.Server)), control: control, started: now, tl: tl,
		ln: newListener(ln, ts, tl, cf.ConnectionLimit, cf.AcceptDelay),
		wo: newWork(cf.Slots, cf.Queue), di: newDice(cf.Seed), ended: make(chan struct{}),
		state:    lifecycle.Initial(),
		ix:       newIndex(cf.KeepVersions, snapshot.ID{Partition: cf.Partition, Version: cf.versionAt(now)}, cf.Shards),
		sequence: 1,
	}
	if cf.ColdFor <= 0 {
		le.state, _ = lifecycle.Next(le.state, eventWarm)
	}
	le.an = newAnnouncer(cf, ts, le.lg, tl, le.Record)
	le.faults.Store(&setFaults{fa: cf.Faults, lifted: make(chan struct{})})
	return le
}

// Address returns the IP number and port of the query endpoint.
func (le *Leaf) Address() string {
	return le.ln.Addr().String()
}

// ControlAddress returns the IP number and port of the control endpoint; empty
// if there is none.
func (le *Leaf) ControlAddress() string {
	if le.control == nil {
		return ""
	}
	return le.control.Addr().String()
}

// Counts returns what the Leaf has seen since its start.
func (le *Leaf) Counts() Counts {
	co := le.tl.counts()
	co.Queued = le.wo.waiting()
	return co
}

// Faults returns the faults in force.
func (le *Leaf) Faults() Faults {
	return le.faults.Load().fa
}

// SetFaults puts other faults in force. Stuck requests go on, and connections
// that are silent end, once the new faults no longer ask for them.
func (le *Leaf) SetFaults(fa Faults) {
	old := le.faults.Swap(&setFaults{fa: fa, lifted: make(chan struct{})})
	switch {
	case fa.Silent:
		le.ln.silence(fa.SilentHeld)
	case old.fa.Silent:
		le.ln.closeAll(true)
	}
	close(old.lifted)
	le.lg.Info("leaf.faults", zap.Any("Faults", fa))
}

// Record returns what the Leaf announces of itself now.
func (le *Leaf) Record() backend.Record {
	le.mu.Lock()
	defer le.mu.Unlock()
	return backend.Record{
		Server: le.cf.Server, Service: le.cf.Service, Address: le.Address(), DataCentre: le.cf.DataCentre,
		Labels: le.cf.Labels, Incarnation: le.cf.Incarnation, Sequence: le.sequence, State: backend.State(le.state),
		Slots: le.cf.Slots, ConnectionLimit: le.cf.ConnectionLimit, Holdings: le.ix.holdings(), TTLMillis: le.cf.TTL.Milliseconds(),
	}
}

// Publish makes a newer index version of the newest partition map available; 0
// takes the next one.
func (le *Leaf) Publish(version uint64) {
	le.change(func() {
		if version == 0 {
			version = le.ix.newest().id.Version + 1
		}
		le.ix = le.ix.withVersion(version)
	})
}

// Repartition makes a snapshot of another partition map available, of which the
// Leaf holds the given shards. A zero version takes the newest one.
func (le *Leaf) Repartition(id snapshot.ID, shards []string) {
	le.change(func() {
		if id.Version == 0 {
			id.Version = le.ix.newest().id.Version
		}
		le.ix = le.ix.withPartition(id, shards)
	})
}

// Drain makes the Leaf refuse new requests and announce that. It goes on with
// those that it has taken on.
func (le *Leaf) Drain() {
	le.wo.drain()
	le.step(eventDrain)
}

// Close ends the Leaf at once, as a kill would: connections are cut and no
// instance is told.
func (le *Leaf) Close() error {
	le.endOnce.Do(func() { close(le.ended) })
	err := le.ln.Close()
	le.ln.closeAll(false)
	if le.control != nil {
		err = errors.Join(err, le.control.Close())
	}
	return err
}

// Serve answers requests and announces the Leaf until the context ends. Then it
// drains: it announces that, refuses new requests for DrainFor, ends those that
// it has taken on, and announces that it has left.
func (le *Leaf) Serve(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer le.Close()
	for _, part := range []func(context.Context){le.an.run, le.publishPeriodically, le.warmUp, le.sampleReports} {
		wg.Go(func() { part(run) })
	}
	failed := make(chan error, 2)
	query := &http.Server{Handler: le.queryHandler(), ReadHeaderTimeout: headerTimeout, ConnContext: withServed, ConnState: repeatDoubled}
	wg.Go(func() { failed <- query.Serve(le.ln) })
	if le.control != nil {
		control := &http.Server{Handler: le.controlHandler(), ReadHeaderTimeout: headerTimeout}
		wg.Go(func() { failed <- control.Serve(le.control) })
		defer control.Close()
	}
	select {
	case err := <-failed:
		return err
	case <-le.ended:
		return http.ErrServerClosed
	case <-ctx.Done():
		return le.leave(run, query)
	}
}

// leave drains the Leaf and announces its end.
func (le *Leaf) leave(ctx context.Context, query *http.Server) error {
	le.Drain()
	if err := le.ts.Sleep(ctx, le.cf.DrainFor); err != nil {
		return err
	}
	late := make(chan struct{})
	ti := le.ts.Timeout(le.cf.DrainLimit, func() { close(late) })
	defer ti.Stop()
	select {
	case <-le.wo.drain():
	case <-late:
		le.lg.Warn("leaf.drain.late", zap.Int("Running", le.wo.running()))
	}
	le.step(eventStop)
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	le.an.last(ctx)
	return query.Shutdown(ctx)
}

// step follows an event in the Leaf's life.
func (le *Leaf) step(ev chart.Event) {
	le.change(func() {
		le.state, _ = lifecycle.Next(le.state, ev)
	})
}

// change applies a change of what the Leaf announces.
func (le *Leaf) change(fn func()) {
	le.mu.Lock()
	fn()
	le.sequence++
	le.lg.Info("leaf.changed", zap.String("State", string(le.state)), zap.Stringer("Snapshot", le.ix.newest().id))
	le.mu.Unlock()
	le.an.announceSoon()
}

func (le *Leaf) publishPeriodically(ctx context.Context) {
	if le.cf.PublishEvery <= 0 {
		return
	}
	for le.ts.Sleep(ctx, le.cf.nextVersion(le.ts.Now())) == nil {
		le.Publish(le.cf.versionAt(le.ts.Now()))
	}
}

func (le *Leaf) warmUp(ctx context.Context) {
	if le.cf.ColdFor > 0 && le.ts.Sleep(ctx, le.cf.ColdFor) == nil {
		le.step(eventWarm)
	}
}

// coldFactor is what the cold start multiplies service times with.
func (le *Leaf) coldFactor() float64 {
	age := le.ts.Now().Sub(le.started)
	if age >= le.cf.ColdFor {
		return 1
	}
	left := 1 - float64(age)/float64(le.cf.ColdFor)
	return 1 + (le.cf.ColdFactor-1)*left
}
