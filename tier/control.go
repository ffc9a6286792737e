package tier

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/departure"
	"balsamwinch.example/evacuation"
	"balsamwinch.example/feed"
	"balsamwinch.example/fleet"
	"balsamwinch.example/identifier"
	"balsamwinch.example/link"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
	"balsamwinch.example/trail"
)

// Limits and timeouts of a control instance.
const (
	// maxMissedAnnouncements is the number of missed announcements after which a control
	// instance no longer lists a backend server.
	maxMissedAnnouncements = 4
	// proposeTimeout bounds one attempt to commit a change. Operators retry at another
	// instance.
	proposeTimeout = 900 * time.Millisecond
	// storeTimeout bounds the wait until a departure is stored. Backend servers retry at
	// another instance.
	storeTimeout = 900 * time.Millisecond
	// readTimeout bounds a read of the configuration.
	readTimeout = 900 * time.Millisecond
	// resignTimeout is how long a stopping control instance goes on serving.
	resignTimeout = 300 * time.Millisecond
	// callTimeout is how long a stopping control instance waits for the calls in flight,
	// none of which takes longer than proposeTimeout, storeTimeout or readTimeout once it is
	// read.
	callTimeout = proposeTimeout + 200*time.Millisecond
)

// control is a control instance.
type control struct {
	ls *liveSettings
	nd *fleet.Node
	pu *feed.Publisher
	lu *lookUps
	ro *rosters
	lg *zap.Logger
	ts *timer.Service
}

func runControl(ctx context.Context, se Settings, ls *liveSettings, di Dialect, lc link.Config, ts *timer.Service, lg *zap.Logger, mws []MetricsWriter) error {
	co := &control{ls: ls, lu: newLookUps(ts, lg), lg: lg, ts: ts}
	qa := quarantine.New()
	// The node and the publisher are set before the first link is served.
	qo := newQuotaOwner(se.Quota.limits(), func() fleet.Standing { return co.nd.Standing() }, func() []feed.Entry { return co.pu.ReadyEntries() }, ts, lg)
	co.pu = feed.NewPublisher(feed.PublisherConfig{
		Name: se.Name, DataCentre: se.DataCentre, SilenceTimeout: maxMissedAnnouncements * se.Timing.Announcement, Quarantine: qa,
		NeededCopies: func(members int) int {
			return departure.Needed(se.Losses, max(members, len(ls.se.Load().Seeds)))
		},
		GrantQuotas:  qo.grant,
		SharedStalls: se.Stalls.Shared,
		Overload:     se.Overload.Shared,
	}, ts, lg)
	co.ro = newRosters(di.NewParser(), co.pu, ts, lg)
	co.ro.tableParsed = qo.setTable
	ss := stateStore{dir: se.DataFolder, pu: co.pu, ps: &peerServers{mergeSuspects: co.pu.AddSuspects}, ro: co.ro, qa: qa, ts: ts, lg: lg}
	ss.restore(se.Timing.Announcement)
	co.nd = fleet.New(fleet.Config{
		Name: se.Name, Address: se.LinkAddress(), Seeds: ls.linkSeeds, FirstStart: se.FirstStart, MaxFailures: se.Losses,
		Dir: se.DataFolder, ElectionTimeout: se.Timing.Election, HeartbeatInterval: se.Timing.Heartbeat, Link: lc,
	}, ts, lg, co)
	li, err := listen(se.LinkAddress())
	if err != nil {
		return err
	}
	sp := newSupervisor("control", lg)
	ia := newInstrumentedAPI(co, ts)
	operators, err := serveHTTP(sp, "operators", se.Listen.Control, limitBodies(di.ControlHandler(ia), se.bodyMemory()))
	if err != nil {
		return err
	}
	lookUps, err := serveHTTP(sp, "addresses", se.Listen.Addresses, di.AddressHandler(ia))
	if err != nil {
		return err
	}
	serveMetrics(sp, se.Metrics, lg, append(mws, writeGroupMetrics(co.nd, co.pu), writeStallShareMetrics(co.pu), ia.set.WritePrometheus, qo.mt.set.WritePrometheus)...)
	sp.Add(service{"links", func(ctx context.Context) error { return link.Serve(ctx, li, lc, co.handle) }})
	sp.Add(service{"fleet", co.nd.Serve})
	sp.Add(service{"feed", co.pu.Serve})
	sp.Add(service{"roster", co.ro.serve})
	addStateStore(sp, ss, se, ls, lc)
	sp.Add(service{"look-ups", func(ctx context.Context) error { return co.lu.serve(ctx, co.pu.ReadyEntries) }})
	serveUntil(ctx, sp, func() { co.stop(operators, lookUps) })
	return nil
}

// addStateStore adds the service that persists the state of a control instance, and
// invites the entry instances that were saved before this start.
func addStateStore(sp *suture.Supervisor, ss stateStore, se Settings, ls *liveSettings, lc link.Config) {
	su := feed.NewSubscriber(feed.SubscriberConfig{
		Self: feed.Entry{Name: se.Name, DataCentre: se.DataCentre}, Seeds: ls.linkSeeds, Link: lc, RetentionTimeout: serverRetentionTimeout, OwnAddress: se.LinkAddress(),
		Departed: ss.pu.Depart,
	}, ss.ts, ss.lg, ss.ps)
	invitees := ss.invitees(se.DataCentre)
	sp.Add(service{"others", su.Serve})
	sp.Add(service{"memory", func(ctx context.Context) error { return ss.serve(ctx, se.LinkPort) }})
	sp.Add(service{"departures", ss.serveDepartures})
	sp.Add(service{"invite", func(ctx context.Context) error {
		feed.InviteAll(ctx, lc, ss.lg, feed.Invite{Name: se.Name, Address: se.LinkAddress()}, invitees, ss.pu.HasLink)
		return suture.ErrDoNotRestart
	}})
}

// stop hands over the leadership and goes on serving until resignTimeout has passed. Then
// the servers accept no further calls, and those in flight are answered.
func (co *control) stop(svs ...*http.Server) {
	co.lg.Info("instance-stopping", trail.Synchronous())
	last, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	co.nd.Resign(last)
	<-last.Done()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, sv := range svs {
		wg.Go(func() {
			if err := sv.Shutdown(ctx); err != nil {
				co.lg.Warn("calls-cut-off", zap.String("Address", sv.Addr), zap.Error(err), trail.Synchronous())
			}
		})
	}
	wg.Wait()
}

// handle serves a link that another instance opened. The first message tells which kind
// of instance it is.
func (co *control) handle(ctx context.Context, cn *link.Conn) {
	first, err := cn.Receive()
	if err != nil {
		return
	}
	if su, ok := first.(feed.Subscribe); ok {
		if !su.FromControl {
			co.lu.linkOpened(su.Name, su.State)
			defer co.lu.linkClosed(su.Name)
		}
		co.pu.Handle(ctx, cn, su)
		return
	}
	co.nd.Handle(ctx, cn, first)
}

// DocumentCommitted publishes a committed configuration to the entry instances.
func (co *control) DocumentCommitted(version uint64, data []byte) {
	co.pu.SetConfiguration(version, data)
	co.ro.setDocument(version, data)
}

// EvacuationsCommitted publishes the evacuated data centres to the entry instances.
func (co *control) EvacuationsCommitted(st evacuation.Set) { co.pu.SetEvacuations(st) }

// MembersChanged publishes the control instances to the entry instances.
func (co *control) MembersChanged(ms []fleet.Member) {
	out := make([]feed.Member, 0, len(ms))
	for _, me := range ms {
		out = append(out, feed.Member{Name: me.Name, Address: me.Address})
	}
	co.pu.SetMembers(out)
}

// Accept commits a configuration unless a higher version is in force.
func (co *control) Accept(ctx context.Context, version uint64, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	start := co.ts.Now()
	err := co.nd.Propose(ctx, version, data)
	co.lg.Info("configuration-asked", zap.Uint64("Version", version), zap.Int("Bytes", len(data)), zap.Bool("Accepted", err == nil),
		zap.Int64("Millis", co.ts.Now().Sub(start).Milliseconds()), zap.Error(err), trail.Synchronous())
	return err
}

// Newest returns the latest committed configuration.
func (co *control) Newest(ctx context.Context) (uint64, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	version, data, err := co.nd.Read(ctx)
	if err == nil && version == 0 {
		err = &result.Error{Code: result.ControlUnavailable, Op: "read configuration", Detail: "none was accepted yet"}
	}
	co.lg.Info("configuration-read", zap.Uint64("Version", version), zap.Error(err), trail.Synchronous())
	return version, data, err
}

// Evacuate evacuates a data centre or ends its evacuation.
func (co *control) Evacuate(ctx context.Context, dataCentre string, evacuate bool, from string) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	start := co.ts.Now()
	st, err := evacuation.Set{}, co.checkDataCentre(dataCentre)
	if err == nil {
		st, err = co.nd.Evacuate(ctx, dataCentre, evacuate)
	}
	co.lg.Info("evacuation-asked", zap.String("DataCentre", dataCentre), zap.Bool("Evacuate", evacuate), zap.String("From", from),
		zap.Bool("Accepted", err == nil), zap.Uint64("Revision", st.Revision), zap.Strings("Evacuated", st.DataCentres),
		zap.Int64("Millis", co.ts.Now().Sub(start).Milliseconds()), zap.Error(err), trail.Synchronous())
	return err
}

// checkDataCentre returns an error if the name is malformed, or if the settings list the
// data centres and lack it.
func (co *control) checkDataCentre(dataCentre string) error {
	all := co.ls.se.Load().DataCentres
	if err := evacuation.CheckName(dataCentre); err != nil || len(all) == 0 {
		return err
	}
	if _, ok := all[dataCentre]; ok {
		return nil
	}
	return &result.Error{Code: result.Invalid, Op: "order evacuation", Detail: fmt.Sprintf("the settings name no data centre %q", dataCentre)}
}

// Evacuated returns the evacuated data centres that this instance knows of.
func (co *control) Evacuated() evacuation.Set { return co.nd.Evacuations() }

// Announce processes a backend server's announcement.
func (co *control) Announce(ctx context.Context, se registry.Server, from string) error {
	if err := se.Check(); err != nil {
		co.pu.Ignore(se.ID, from, err.Error())
		return &result.Error{Code: result.Invalid, Op: "read announcement", Err: err}
	}
	return co.awaitStored(ctx, se.ID, co.pu.Announce(se, from))
}

// Leave removes a backend server that says that it leaves.
func (co *control) Leave(ctx context.Context, id, from string) error {
	if err := identifier.Check("ID", id); err != nil {
		co.pu.Ignore(id, from, err.Error())
		return &result.Error{Code: result.Invalid, Op: "read leave", Err: err}
	}
	return co.awaitStored(ctx, id, co.pu.Leave(id, from))
}

// awaitStored waits until the departure with a number is stored on enough control instances;
// 0 is none.
func (co *control) awaitStored(ctx context.Context, id string, number uint64) error {
	if number == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := co.pu.AwaitStored(ctx, number)
	if err != nil {
		co.lg.Warn("departure-not-stored", zap.String("ID", id), zap.Error(err))
	}
	return err
}

// Ignore records that an announcement was ignored and why.
func (co *control) Ignore(id, from, detail string) { co.pu.Ignore(id, from, detail) }

// BodyLimit returns the maximum size of a request body in bytes.
func (co *control) BodyLimit() int64 { return maxAPIBodyBytes }

// Addresses returns the addresses of entry instances for a caller: the subset that serves
// callers of the host in their data centre, or else all instances, those of the data
// centre first.
func (co *control) Addresses(host, dataCentre, _ string) ([]string, time.Duration) {
	ready := co.pu.ReadyEntries()
	co.lu.record(ready)
	list := co.ro.addresses(host, dataCentre, ready)
	if len(list) == 0 {
		list = addresses(ready, dataCentre)
	}
	return list, co.ls.se.Load().Timing.addressTTL()
}
