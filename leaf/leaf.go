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
	headerTimeout = 30 * time.Second // limit for receiving the header of a request
	closeTimeout  = 2 * time.Second  // limit for closing the connections and sending the last announcement
)

// Leaf is an emulated backend server.
type Leaf struct {
	cf         Config
	ts         *timer.Service
	lg         *zap.Logger
	ln         *listener
	control    net.Listener // nil without a control endpoint
	started    time.Time
	tl         *tally
	ad         *admission
	sm         *sampler
	an         *announcer
	faults     atomic.Pointer[activeFaults]
	previousID atomic.Pointer[string] // ID of the previous request, for Crossed
	sampled    atomic.Pointer[report] // nil without LoadLag
	closed     chan struct{}          // closed by Close
	closeOnce  sync.Once

	mu       sync.Mutex
	state    chart.State
	ix       index
	sequence uint64
}

// activeFaults are the faults in effect.
type activeFaults struct {
	fa       Faults
	replaced chan struct{} // closed when other faults replace these
}

// New returns a Leaf that is already listening; Serve answers its requests.
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
		ad: newAdmission(cf.Slots, cf.Queue), sm: newSampler(cf.Seed), closed: make(chan struct{}),
		state:    lifecycle.Initial(),
		ix:       newIndex(cf.KeepVersions, snapshot.ID{Partition: cf.Partition, Version: cf.versionAt(now)}, cf.Shards),
		sequence: 1,
	}
	if cf.ColdFor <= 0 {
		le.state, _ = lifecycle.Next(le.state, eventWarm)
	}
	le.an = newAnnouncer(cf, ts, le.lg, tl, le.Record)
	le.faults.Store(&activeFaults{fa: cf.Faults, replaced: make(chan struct{})})
	return le
}

// Address returns the IP address and port of the query endpoint.
func (le *Leaf) Address() string {
	return le.ln.Addr().String()
}

// ControlAddress returns the IP address and port of the control endpoint, or "" if there is
// none.
func (le *Leaf) ControlAddress() string {
	if le.control == nil {
		return ""
	}
	return le.control.Addr().String()
}

// Counts returns the counters since the start of the Leaf.
func (le *Leaf) Counts() Counts {
	co := le.tl.counts()
	co.Queued = le.ad.numQueued()
	return co
}

// Faults returns the faults in effect.
func (le *Leaf) Faults() Faults {
	return le.faults.Load().fa
}

// SetFaults replaces the faults in effect. Requests that are stuck end as failed, and silent
// connections are closed unless the new faults include Silent.
func (le *Leaf) SetFaults(fa Faults) {
	old := le.faults.Swap(&activeFaults{fa: fa, replaced: make(chan struct{})})
	switch {
	case fa.Silent:
		le.ln.silence(fa.SilentHeld)
	case old.fa.Silent:
		le.ln.closeAll(true)
	}
	close(old.replaced)
	le.lg.Info("leaf.faults", zap.Any("Faults", fa))
}

// Record returns the record that the Leaf currently announces.
func (le *Leaf) Record() backend.Record {
	le.mu.Lock()
	defer le.mu.Unlock()
	return backend.Record{
		Server: le.cf.Server, Service: le.cf.Service, Address: le.Address(), DataCentre: le.cf.DataCentre,
		Labels: le.cf.Labels, Incarnation: le.cf.Incarnation, Sequence: le.sequence, State: backend.State(le.state),
		Slots: le.cf.Slots, ConnectionLimit: le.cf.ConnectionLimit, Holdings: le.ix.holdings(), TTLMillis: le.cf.TTL.Milliseconds(),
	}
}

// Publish makes another index version of the newest partition map available; 0 means the next
// one.
func (le *Leaf) Publish(version uint64) {
	le.change(func() {
		if version == 0 {
			version = le.ix.newest().id.Version + 1
		}
		le.ix = le.ix.withVersion(version)
	})
}

// Repartition makes a snapshot of another partition map available, of which the Leaf holds the
// given shards. A zero version means the newest one.
func (le *Leaf) Repartition(id snapshot.ID, shards []string) {
	le.change(func() {
		if id.Version == 0 {
			id.Version = le.ix.newest().id.Version
		}
		le.ix = le.ix.withPartition(id, shards)
	})
}

// Drain makes the Leaf announce that it is draining and reject new requests. Accepted requests
// are finished.
func (le *Leaf) Drain() {
	le.ad.drain()
	le.transition(eventDrain)
}

// Close stops the Leaf at once, as a kill would: connections are closed and no instance is
// notified.
func (le *Leaf) Close() error {
	le.closeOnce.Do(func() { close(le.closed) })
	err := le.ln.Close()
	le.ln.closeAll(false)
	if le.control != nil {
		err = errors.Join(err, le.control.Close())
	}
	return err
}

// Serve answers requests and sends announcements until the context ends. Then it drains: it
// announces this, rejects new requests for DrainFor, waits up to DrainLimit for accepted ones,
// and announces that the Leaf has left.
func (le *Leaf) Serve(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer le.Close()
	for _, loop := range []func(context.Context){le.an.run, le.publishPeriodically, le.warmUp, le.sampleReports} {
		wg.Go(func() { loop(run) })
	}
	serveErr := make(chan error, 2)
	query := &http.Server{Handler: le.queryHandler(), ReadHeaderTimeout: headerTimeout, ConnContext: withConn, ConnState: replayDoubled}
	wg.Go(func() { serveErr <- query.Serve(le.ln) })
	if le.control != nil {
		control := &http.Server{Handler: le.controlHandler(), ReadHeaderTimeout: headerTimeout}
		wg.Go(func() { serveErr <- control.Serve(le.control) })
		defer control.Close()
	}
	select {
	case err := <-serveErr:
		return err
	case <-le.closed:
		return http.ErrServerClosed
	case <-ctx.Done():
		return le.leave(run, query)
	}
}

// leave drains the Leaf and announces that it has left.
func (le *Leaf) leave(ctx context.Context, query *http.Server) error {
	le.Drain()
	if err := le.ts.Sleep(ctx, le.cf.DrainFor); err != nil {
		return err
	}
	timedOut := make(chan struct{})
	ti := le.ts.Timeout(le.cf.DrainLimit, func() { close(timedOut) })
	defer ti.Stop()
	select {
	case <-le.ad.drain():
	case <-timedOut:
		le.lg.Warn("leaf.drain.late", zap.Int("Running", le.ad.numRunning()))
	}
	le.transition(eventStop)
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	le.an.awaitLeftAccepted(ctx)
	return query.Shutdown(ctx)
}

// transition applies an event to the state of the Leaf.
func (le *Leaf) transition(ev chart.Event) {
	le.change(func() {
		le.state, _ = lifecycle.Next(le.state, ev)
	})
}

// change applies a change to what the Leaf announces, and announces it.
func (le *Leaf) change(fn func()) {
	le.mu.Lock()
	fn()
	le.sequence++
	le.lg.Info("leaf.changed", zap.String("State", string(le.state)), zap.Stringer("Snapshot", le.ix.newest().id))
	le.mu.Unlock()
	le.an.announceNow()
}

func (le *Leaf) publishPeriodically(ctx context.Context) {
	if le.cf.PublishEvery <= 0 {
		return
	}
	for le.ts.Sleep(ctx, le.cf.untilNextVersion(le.ts.Now())) == nil {
		le.Publish(le.cf.versionAt(le.ts.Now()))
	}
}

func (le *Leaf) warmUp(ctx context.Context) {
	if le.cf.ColdFor > 0 && le.ts.Sleep(ctx, le.cf.ColdFor) == nil {
		le.transition(eventWarm)
	}
}

// coldFactor returns the factor by which the cold start currently multiplies service times.
func (le *Leaf) coldFactor() float64 {
	age := le.ts.Now().Sub(le.started)
	if age >= le.cf.ColdFor {
		return 1
	}
	left := 1 - float64(age)/float64(le.cf.ColdFor)
	return 1 + (le.cf.ColdFactor-1)*left
}
