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

// Redial backoff and related times.
const (
	// minRedialBackoff and maxRedialBackoff bound the backoff, up to half of which is
	// jitter: when a control instance ends, all entry instances lose their links at the
	// same moment and must not redial at the same moment.
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = time.Second
	// minStableTime is how long a link must last to reset the redial backoff.
	minStableTime = time.Second
	// unlistedTTL is how long a control instance is kept after neither seeds nor members
	// list it. When all control instances restart, the first one may list only itself for
	// a while; removing the others at once would leave only the links to the seeds.
	unlistedTTL = 10 * time.Second
)

// source is a control instance as the subscriber sees it, identified by its address. Only
// the goroutine of Serve may use it, except for address, cancel, redial and connected.
type source struct {
	address        string
	cancel         context.CancelFunc
	redial         chan struct{} // ends the wait for the redial backoff
	name           string
	sameDataCentre bool          // the control instance is in the same data centre
	connected      atomic.Bool   // the link is up and the snapshot has arrived
	features       atomic.Uint32 // Features that the control instance announced
	lossLogged     bool          // the loss or absence of the link has been logged
	lostAt         time.Time
	members        []Member
	entries        map[string]Entry
	sharers        int    // number of entry instances that it says share backend servers
	version        uint64 // newest configuration that it announced
	announceOrder  uint64 // lower the earlier it announced that version
	stalls         stallSource
	// unlistedSince is when seeds and members stopped listing it; zero if they list it.
	unlistedSince time.Time
}

// event is a message of a link, or the error for which there is no link.
type event struct {
	so  *source
	co  *link.Conn // link that the message came on
	ms  peer.Message
	err error
}

// reconcile starts links to all wanted control instances, and removes those that have
// been unlisted for unlistedTTL and whose link has ended.
func (su *Subscriber) reconcile(now time.Time, start func(*source)) {
	wanted := su.wantedAddresses(now)
	for address := range wanted {
		if _, ok := su.sources[address]; !ok {
			so := &source{address: address, redial: make(chan struct{}, 1)}
			su.sources[address] = so
			start(so)
		}
	}
	for address, so := range su.sources {
		if _, ok := wanted[address]; ok {
			so.unlistedSince = time.Time{}
			continue
		}
		if so.unlistedSince.IsZero() {
			so.unlistedSince = now
		}
		if so.connected.Load() || now.Sub(so.unlistedSince) < unlistedTTL {
			continue
		}
		so.cancel()
		delete(su.sources, address)
		su.un.RemoveSource(address)
		su.entriesDirty = true
		su.lg.Info("control-forgotten", zap.String("Address", address), zap.String("Control", so.name))
	}
}

// wantedAddresses returns the addresses of the seeds, of recent inviters, and of all
// members that a connected control instance lists, or, if none is connected, that any of
// them has listed.
func (su *Subscriber) wantedAddresses(now time.Time) map[string]struct{} {
	wanted := make(map[string]struct{}, len(su.sources))
	for _, address := range slices.Concat(su.seeds, su.recentInviters(now)) {
		wanted[address] = struct{}{}
	}
	for _, so := range su.sources {
		if !so.connected.Load() && su.NumConnected() > 0 {
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

// maintainLink keeps a link to a control instance until the context ends.
func (su *Subscriber) maintainLink(ctx context.Context, so *source) {
	failures := 0
	for ctx.Err() == nil {
		began := su.ts.Now()
		co, err := link.Dial(ctx, so.address, su.cf.Link)
		if err == nil {
			err = su.readLink(ctx, so, co)
		}
		if su.ts.Now().Sub(began) >= minStableTime && co != nil {
			failures = 0
		}
		// Post only the first failure; the others would wake Serve without need.
		if co != nil || failures == 0 {
			su.postEvent(ctx, event{so: so, err: err})
		}
		if !so.waitToRedial(ctx, redialBackoff(failures)) {
			return
		}
		failures++
	}
}

// redialBackoff returns the delay before the next attempt.
func redialBackoff(failures int) time.Duration {
	delay := minRedialBackoff << min(failures, 4)
	return min(delay, maxRedialBackoff/2) + rand.N(min(delay, maxRedialBackoff/2))
}

// readLink reads a link until it ends and returns the cause.
func (su *Subscriber) readLink(ctx context.Context, so *source, co *link.Conn) error {
	stop := context.AfterFunc(ctx, co.Close)
	defer stop()
	defer co.Close()
	if err := su.subscribe(so, co); err != nil {
		return err
	}
	defer su.removeConn(so)
	for {
		ms, err := co.Receive()
		if err != nil {
			return err
		}
		if gr, ok := ms.(QuotaGrant); ok {
			su.receiveQuotaGrant(so, gr)
			continue
		}
		if !su.postEvent(ctx, event{so: so, co: co, ms: ms}) {
			return ctx.Err()
		}
	}
}

// subscribe sends the first message. It holds the lock that SetState takes, so that
// either the message contains the new state or a StateReport follows it.
func (su *Subscriber) subscribe(so *source, co *link.Conn) error {
	su.mu.Lock()
	defer su.mu.Unlock()
	en := su.cf.Self
	err := co.Send(Subscribe{
		Name: en.Name, DataCentre: en.DataCentre, Address: en.Address, State: su.state, Version: su.version, FromControl: su.cf.OwnAddress != "",
		Features: supportedFeatures | su.stallFeature() | overloadFeatures(su.cf.LevelsReceived != nil),
	})
	if err == nil && su.cf.OwnAddress == "" {
		err = co.Send(su.load)
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

func (su *Subscriber) removeConn(so *source) {
	su.mu.Lock()
	defer su.mu.Unlock()
	delete(su.conns, so)
}

// postEvent queues an event for Serve. It returns false if the context ended first.
func (su *Subscriber) postEvent(ctx context.Context, ev event) bool {
	select {
	case su.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleEvent handles an event in the goroutine of Serve.
func (su *Subscriber) handleEvent(ev event) {
	so := ev.so
	if su.sources[so.address] != so {
		return
	}
	switch me := ev.ms.(type) {
	case nil:
		su.linkLost(so, ev.err)
	case Snapshot:
		su.applySnapshot(so, ev.co, me)
	case Update:
		su.applyUpdate(so, ev.co, me)
	case Configuration:
		su.receiveConfiguration(so, me)
	case Findings:
		su.receiveFindings(so, me.Findings)
	case Stalls:
		su.receiveStalls(so, me)
	case AdmissionLevels:
		su.receiveLevels(so, me.Levels)
	default:
		su.lg.Warn("message-not-expected", zap.String("Address", so.address), zap.Uint16("Kind", uint16(me.Kind())))
	}
}

func (su *Subscriber) applySnapshot(so *source, co *link.Conn, sn Snapshot) {
	now := su.ts.Now()
	so.features.Store(uint32(sn.Features))
	if !so.connected.Load() {
		so.connected.Store(true)
		su.numConnected.Add(1)
	}
	fields := []zap.Field{
		zap.String("Address", so.address), zap.String("Control", sn.Name), zap.Int("Members", len(sn.Members)),
		zap.Int("Servers", len(sn.Servers)), zap.Uint64("Version", sn.Version),
	}
	if so.lossLogged {
		fields = append(fields, zap.Duration("LostFor", now.Sub(so.lostAt)))
	}
	su.lg.Info("control-link-up", fields...)
	so.lossLogged = false
	so.name, so.members, so.sharers = sn.Name, sn.Members, sn.Sharers
	so.stalls.reset()
	so.sameDataCentre = sn.DataCentre != "" && sn.DataCentre == su.cf.Self.DataCentre
	so.entries = make(map[string]Entry, len(sn.Entries))
	for _, en := range sn.Entries {
		so.entries[en.Name] = en
	}
	su.entriesDirty = true
	su.updateQuotaOwners()
	so.version = 0
	su.applyEvacuations(so, sn.Evacuations)
	su.versionAnnounced(so, sn.Version)
	servers := validServers(now, su.invalid, sn.Servers, zap.String("Control", so.name))
	su.un.Replace(now, so.address, servers)
	su.receiveDepartures(co, sn.Departures, servers)
	su.receiveSuspects(so, sn.Suspects)
}

func (su *Subscriber) applyUpdate(so *source, co *link.Conn, up Update) {
	if !so.connected.Load() {
		return
	}
	if up.Members != nil {
		so.members = *up.Members
	}
	for _, en := range up.Entries {
		so.entries[en.Name] = en
		su.entriesDirty = true
	}
	for _, name := range up.RemovedEntries {
		delete(so.entries, name)
		su.entriesDirty = true
	}
	if up.Sharers > 0 {
		so.sharers = up.Sharers
		su.entriesDirty = true
	}
	su.applyEvacuations(so, up.Evacuations)
	su.versionAnnounced(so, up.Version)
	if len(up.Changes) > 0 {
		now := su.ts.Now()
		changes := validChanges(now, su.invalid, up.Changes, zap.String("Control", so.name))
		su.un.Apply(now, so.address, changes)
		su.receiveDepartures(co, up.Departures, changedServers(changes))
	}
	su.receiveSuspects(so, up.Suspects)
}

// linkLost handles the loss of a link. The control instance's backend servers stay for
// SubscriberConfig.RetentionTimeout, and for as long as no control instance is connected.
func (su *Subscriber) linkLost(so *source, err error) {
	if so.connected.Load() {
		so.connected.Store(false)
		su.numConnected.Add(-1)
		su.updateQuotaOwners()
		su.entriesDirty = true
		su.un.Disconnect(su.ts.Now(), so.address)
	}
	if !so.lossLogged {
		so.lossLogged, so.lostAt = true, su.ts.Now()
		su.lg.Warn("control-link-down", zap.String("Address", so.address), zap.String("Control", so.name), zap.Error(err))
	}
}
