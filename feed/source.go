package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/link"
	"balsamwinch.example/peer"
)

// Times between two attempts to open a link.
const (
	// redialLeast and redialMost bound the time, of which a random part is up to
	// one half: when a control instance ends, all entry instances lose their link
	// at the same moment and must not come back at the same moment.
	redialLeast = 100 * time.Millisecond
	redialMost  = time.Second
	// steady is how long a link must stand to make the next redial an early one.
	steady = time.Second
	// forgetAfter is how long a control instance must be wanted by nobody. When all
	// of them restart, the first one back may list nobody but itself for a while;
	// forgetting the others at once would leave their links to the seeds alone.
	forgetAfter = 10 * time.Second
)

// source is a control instance as the subscriber knows it, by its address. But
// for address, cancel and hurry it belongs to the goroutine of Serve.
type source struct {
	address string
	cancel  context.CancelFunc
	hurry   chan struct{} // hurry ends the wait before the next dial.
	name    string
	near    bool        // near says that it is of the own data centre.
	up      atomic.Bool // up says that the link stands and the picture has come; any goroutine may ask.
	failed  bool        // failed says that the loss or absence of the link is logged.
	lostAt  time.Time
	members []Member
	entries map[string]Entry
	sharers int    // sharers is how many entry instances it says share backend servers.
	version uint64 // version is the newest configuration that it announced.
	order   uint64 // order is lower the earlier it announced that version.
	// unwanted is since when neither seeds nor members name it; zero if they do.
	unwanted time.Time
}

// event is what a link tells the goroutine of Serve: a message, or the error for
// which there is no link.
type event struct {
	so  *source
	ms  peer.Message
	err error
}

// reconcile starts links to the control instances that are wanted, and forgets
// those that have not been wanted for long and whose link has ended.
func (su *Subscriber) reconcile(now time.Time, start func(*source)) {
	wanted := su.wanted(now)
	for address := range wanted {
		if _, ok := su.sources[address]; !ok {
			so := &source{address: address, hurry: make(chan struct{}, 1)}
			su.sources[address] = so
			start(so)
		}
	}
	for address, so := range su.sources {
		if _, ok := wanted[address]; ok {
			so.unwanted = time.Time{}
			continue
		}
		if so.unwanted.IsZero() {
			so.unwanted = now
		}
		if so.up.Load() || now.Sub(so.unwanted) < forgetAfter {
			continue
		}
		so.cancel()
		delete(su.sources, address)
		su.un.RemoveSource(address)
		su.dirty = true
		su.lg.Info("control-forgotten", zap.String("Address", address), zap.String("Control", so.name))
	}
}

// wanted returns the addresses of the seeds, of those who invited this instance lately,
// and of all members that a connected control instance lists, or, if none is connected,
// that any has listed.
func (su *Subscriber) wanted(now time.Time) map[string]struct{} {
	wanted := make(map[string]struct{}, len(su.sources))
	for _, address := range slices.Concat(su.seeds, su.stillInvited(now)) {
		wanted[address] = struct{}{}
	}
	for _, so := range su.sources {
		if !so.up.Load() && su.NumConnected() > 0 {
			continue
		}
		for _, me := range so.members {
			if me.Address != "" {
				wanted[me.Address] = struct{}{}
			}
		}
	}
	delete(wanted, su.cf.OwnAddress)
	return wanted
}

// keep holds the link to a control instance until the context ends.
func (su *Subscriber) keep(ctx context.Context, so *source) {
	failures := 0
	for ctx.Err() == nil {
		began := su.ts.Now()
		co, err := link.Dial(ctx, so.address, su.cf.Link)
		if err == nil {
			err = su.listen(ctx, so, co)
		}
		if su.ts.Now().Sub(began) >= steady && co != nil {
			failures = 0
		}
		// Only the first failure is news; the others would wake Serve for nothing.
		if co != nil || failures == 0 {
			su.post(ctx, event{so: so, err: err})
		}
		if !so.wait(ctx, redialDelay(failures)) {
			return
		}
		failures++
	}
}

// redialDelay returns the time before the next attempt.
func redialDelay(failures int) time.Duration {
	delay := redialLeast << min(failures, 4)
	return min(delay, redialMost/2) + rand.N(min(delay, redialMost/2))
}

// listen reads a link until it ends and returns why.
func (su *Subscriber) listen(ctx context.Context, so *source, co *link.Conn) error {
	stop := context.AfterFunc(ctx, co.Close)
	defer stop()
	defer co.Close()
	if err := su.greet(so, co); err != nil {
		return err
	}
	defer su.ungreet(so)
	for {
		ms, err := co.Receive()
		if err != nil {
			return err
		}
		if !su.post(ctx, event{so: so, ms: ms}) {
			return ctx.Err()
		}
	}
}

// greet sends the first message. It does so under the lock of SetState, so that
// either the message holds the new state or a Standing follows it.
func (su *Subscriber) greet(so *source, co *link.Conn) error {
	su.mu.Lock()
	defer su.mu.Unlock()
	en := su.cf.Self
	err := co.Send(Subscribe{
		Name: en.Name, DataCentre: en.DataCentre, Address: en.Address, State: su.state, Version: su.held, FromControl: su.cf.OwnAddress != "",
	})
	if err == nil && su.cf.OwnAddress == "" {
		err = co.Send(su.reported)
	}
	if err == nil && su.cf.Suspects != nil {
		if rcs := su.cf.Suspects(); len(rcs) > 0 {
			err = co.Send(Observations{Suspects: rcs})
		}
	}
	if err == nil {
		su.conns[so] = co
	}
	return err
}

func (su *Subscriber) ungreet(so *source) {
	su.mu.Lock()
	defer su.mu.Unlock()
	delete(su.conns, so)
}

// post gives an event to the goroutine of Serve. It returns false if the context
// ended first.
func (su *Subscriber) post(ctx context.Context, ev event) bool {
	select {
	case su.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// take takes in an event.
func (su *Subscriber) take(ev event) {
	so := ev.so
	if su.sources[so.address] != so {
		return
	}
	switch me := ev.ms.(type) {
	case nil:
		su.lost(so, ev.err)
	case Snapshot:
		su.picture(so, me)
	case Update:
		su.update(so, me)
	case Configuration:
		su.document(so, me)
	case Findings:
		su.found(so, me.Findings)
	default:
		su.lg.Warn("message-not-expected", zap.String("Address", so.address), zap.Uint16("Kind", uint16(me.Kind())))
	}
}

func (su *Subscriber) picture(so *source, pi Snapshot) {
	now := su.ts.Now()
	if !so.up.Load() {
		so.up.Store(true)
		su.up.Add(1)
	}
	fields := []zap.Field{
		zap.String("Address", so.address), zap.String("Control", pi.Name), zap.Int("Members", len(pi.Members)),
		zap.Int("Servers", len(pi.Servers)), zap.Uint64("Version", pi.Version),
	}
	if so.failed {
		fields = append(fields, zap.Duration("LostFor", now.Sub(so.lostAt)))
	}
	su.lg.Info("control-link-up", fields...)
	so.failed = false
	so.name, so.members, so.sharers = pi.Name, pi.Members, pi.Sharers
	so.near = pi.DataCentre != "" && pi.DataCentre == su.cf.Self.DataCentre
	so.entries = make(map[string]Entry, len(pi.Entries))
	for _, en := range pi.Entries {
		so.entries[en.Name] = en
	}
	su.dirty = true
	so.version = 0
	su.evacuate(so, pi.Evacuations)
	su.announced(so, pi.Version)
	su.un.Replace(now, so.address, pi.Servers)
	su.suspects(so, pi.Suspects)
}

func (su *Subscriber) update(so *source, up Update) {
	if !so.up.Load() {
		return
	}
	if up.Members != nil {
		so.members = *up.Members
	}
	for _, en := range up.Entries {
		so.entries[en.Name] = en
		su.dirty = true
	}
	for _, name := range up.RemovedEntries {
		delete(so.entries, name)
		su.dirty = true
	}
	if up.Sharers > 0 {
		so.sharers = up.Sharers
		su.dirty = true
	}
	su.evacuate(so, up.Evacuations)
	su.announced(so, up.Version)
	if len(up.Changes) > 0 {
		su.un.Apply(su.ts.Now(), so.address, up.Changes)
	}
	su.suspects(so, up.Suspects)
}

// lost takes in that there is no link. What the control instance said of backend
// servers stays for the time of SubscriberConfig.Hold, and while no control
// instance is connected.
func (su *Subscriber) lost(so *source, err error) {
	if so.up.Load() {
		so.up.Store(false)
		su.up.Add(-1)
		su.dirty = true
		su.un.Disconnect(su.ts.Now(), so.address)
	}
	if !so.failed {
		so.failed, so.lostAt = true, su.ts.Now()
		su.lg.Warn("control-link-down", zap.String("Address", so.address), zap.String("Control", so.name), zap.Error(err))
	}
}
