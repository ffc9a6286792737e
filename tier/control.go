package tier

import (
	"context"
	"fmt"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/evacuation"
	"balsamwinch.example/feed"
	"balsamwinch.example/fleet"
	"balsamwinch.example/link"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
	"balsamwinch.example/trail"
)

// Times of a control instance.
const (
	// silentAnnouncements is after how many missed announcements a control
	// instance no longer says that it hears a backend server.
	silentAnnouncements = 4
	// proposeWithin bounds one try to have a configuration accepted; operators
	// send it again to another instance.
	proposeWithin = 900 * time.Millisecond
	// readWithin bounds a read of the configuration.
	readWithin = 900 * time.Millisecond
	// lastWords is how long a stopping control instance goes on answering.
	lastWords = 300 * time.Millisecond
)

// control is a control instance.
type control struct {
	sh *shared
	nd *fleet.Node
	pu *feed.Publisher
	lu *lookUps
	ro *rosters
	lg *zap.Logger
	ts *timer.Service
}

func runControl(ctx context.Context, se Settings, sh *shared, di Dialect, lc link.Config, ts *timer.Service, lg *zap.Logger, mws []MetricsWriter) error {
	co := &control{sh: sh, lu: newLookUps(ts, lg), lg: lg, ts: ts}
	qa := quarantine.New()
	co.pu = feed.NewPublisher(feed.PublisherConfig{
		Name: se.Name, DataCentre: se.DataCentre, SilenceTimeout: silentAnnouncements * se.Timing.Announcement, Quarantine: qa,
	}, ts, lg)
	co.ro = newRosters(di.Tables(), co.pu, ts, lg)
	me := memory{dir: se.DataFolder, pu: co.pu, ot: &others{suspect: co.pu.AddSuspects}, ro: co.ro, qa: qa, ts: ts, lg: lg}
	me.restore(se.Timing.Announcement)
	co.nd = fleet.New(fleet.Config{
		Name: se.Name, Address: se.LinkAddress(), Seeds: sh.linkSeeds, FirstStart: se.FirstStart, MaxFailures: se.Losses,
		Dir: se.DataFolder, ElectionTimeout: se.Timing.Election, HeartbeatInterval: se.Timing.Heartbeat, Link: lc,
	}, ts, lg, co)
	li, err := listen(se.LinkAddress())
	if err != nil {
		return err
	}
	sp := supervise("control", lg)
	cu := newCounted(co, ts)
	if err := serveHTTP(sp, "operators", se.Listen.Control, di.ControlHandler(cu)); err != nil {
		return err
	}
	if err := serveHTTP(sp, "addresses", se.Listen.Addresses, di.AddressHandler(cu)); err != nil {
		return err
	}
	serveMetrics(sp, se.Metrics, lg, append(mws, writeGroup(co.nd, co.pu), cu.set.WritePrometheus)...)
	sp.Add(service{"links", func(ctx context.Context) error { return link.Serve(ctx, li, lc, co.handle) }})
	sp.Add(service{"fleet", co.nd.Serve})
	sp.Add(service{"feed", co.pu.Serve})
	sp.Add(service{"roster", co.ro.serve})
	addMemory(sp, me, se, sh, lc)
	sp.Add(service{"look-ups", func(ctx context.Context) error { return co.lu.serve(ctx, co.pu.ReadyEntries) }})
	serveUntil(ctx, sp, co.leave)
	return nil
}

// addMemory adds what keeps the notes of a control instance, and invites the entry
// instances that were noted before this start.
func addMemory(sp *suture.Supervisor, me memory, se Settings, sh *shared, lc link.Config) {
	su := feed.NewSubscriber(feed.SubscriberConfig{
		Self: feed.Entry{Name: se.Name, DataCentre: se.DataCentre}, Seeds: sh.linkSeeds, Link: lc, RetentionTimeout: serverHold, OwnAddress: se.LinkAddress(),
	}, me.ts, me.lg, me.ot)
	invitees := me.invitees(se.DataCentre)
	sp.Add(service{"others", su.Serve})
	sp.Add(service{"memory", func(ctx context.Context) error { return me.serve(ctx, se.LinkPort) }})
	sp.Add(service{"invite", func(ctx context.Context) error {
		feed.InviteAll(ctx, lc, me.lg, feed.Invite{Name: se.Name, Address: se.LinkAddress()}, invitees, me.pu.HasLink)
		return suture.ErrDoNotRestart
	}})
}

// leave hands the lead over and goes on answering for a moment.
func (co *control) leave() {
	co.lg.Info("instance-stopping", trail.AtOnce())
	last, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	co.nd.Resign(last)
	<-last.Done()
}

// handle serves a link that another instance opened; its first message says
// which kind of instance it is.
func (co *control) handle(ctx context.Context, cn *link.Conn) {
	first, err := cn.Receive()
	if err != nil {
		return
	}
	if su, ok := first.(feed.Subscribe); ok {
		if !su.FromControl {
			co.lu.opened(su.Name, su.State)
			defer co.lu.closed(su.Name)
		}
		co.pu.Handle(ctx, cn, su)
		return
	}
	co.nd.Handle(ctx, cn, first)
}

// DocumentCommitted tells the entry instances of a configuration.
func (co *control) DocumentCommitted(version uint64, data []byte) {
	co.pu.SetConfiguration(version, data)
	co.ro.setDocument(version, data)
}

// EvacuationsCommitted tells the entry instances which data centres are evacuated.
func (co *control) EvacuationsCommitted(st evacuation.Set) { co.pu.SetEvacuations(st) }

// MembersChanged tells the entry instances which control instances there are.
func (co *control) MembersChanged(ms []fleet.Member) {
	out := make([]feed.Member, 0, len(ms))
	for _, me := range ms {
		out = append(out, feed.Member{Name: me.Name, Address: me.Address})
	}
	co.pu.SetMembers(out)
}

// Accept makes a configuration the one in force unless a higher version is held.
func (co *control) Accept(ctx context.Context, version uint64, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, proposeWithin)
	defer cancel()
	start := co.ts.Now()
	err := co.nd.Propose(ctx, version, data)
	co.lg.Info("configuration-asked", zap.Uint64("Version", version), zap.Int("Bytes", len(data)), zap.Bool("Accepted", err == nil),
		zap.Int64("Millis", co.ts.Now().Sub(start).Milliseconds()), zap.Error(err), trail.AtOnce())
	return err
}

// Newest returns the newest accepted configuration.
func (co *control) Newest(ctx context.Context) (uint64, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readWithin)
	defer cancel()
	version, data, err := co.nd.Read(ctx)
	if err == nil && version == 0 {
		err = &result.Error{Code: result.ControlUnavailable, Op: "read configuration", Detail: "none was accepted yet"}
	}
	co.lg.Info("configuration-read", zap.Uint64("Version", version), zap.Error(err), trail.AtOnce())
	return version, data, err
}

// Evacuate evacuates a data centre or withdraws that.
func (co *control) Evacuate(ctx context.Context, dataCentre string, evacuate bool, from string) error {
	ctx, cancel := context.WithTimeout(ctx, proposeWithin)
	defer cancel()
	start := co.ts.Now()
	st, err := evacuation.Set{}, co.known(dataCentre)
	if err == nil {
		st, err = co.nd.Evacuate(ctx, dataCentre, evacuate)
	}
	co.lg.Info("evacuation-asked", zap.String("DataCentre", dataCentre), zap.Bool("Evacuate", evacuate), zap.String("From", from),
		zap.Bool("Accepted", err == nil), zap.Uint64("Revision", st.Revision), zap.Strings("Evacuated", st.DataCentres),
		zap.Int64("Millis", co.ts.Now().Sub(start).Milliseconds()), zap.Error(err), trail.AtOnce())
	return err
}

// known returns an error if the settings list the data centres and lack one.
func (co *control) known(dataCentre string) error {
	all := co.sh.se.Load().DataCentres
	if err := evacuation.CheckName(dataCentre); err != nil || len(all) == 0 {
		return err
	}
	if _, ok := all[dataCentre]; ok {
		return nil
	}
	return &result.Error{Code: result.Invalid, Op: "order evacuation", Detail: fmt.Sprintf("the settings name no data centre %q", dataCentre)}
}

// Evacuated returns which data centres are evacuated as far as this instance knows.
func (co *control) Evacuated() evacuation.Set { return co.nd.Evacuations() }

// Announce takes a backend server's announcement.
func (co *control) Announce(se registry.Server) { co.pu.Announce(se) }

// Leave takes a backend server's word that it leaves.
func (co *control) Leave(id string) { co.pu.Leave(id) }

// Ignore takes that what was announced is no backend server's word.
func (co *control) Ignore(id, detail string) { co.pu.Ignore(id, detail) }

// BodyLimit bounds a body of these calls in bytes.
func (co *control) BodyLimit() int64 { return apiBodyBytes }

// Addresses returns the entry instances to use: those that callers of the host are led to
// in their data centre, or all, those of the data centre first.
func (co *control) Addresses(host, dataCentre, _ string) ([]string, time.Duration) {
	ready := co.pu.ReadyEntries()
	co.lu.note(ready)
	list := co.ro.addresses(host, dataCentre, ready)
	if len(list) == 0 {
		list = addresses(ready, dataCentre)
	}
	return list, co.sh.se.Load().Timing.addressTTL()
}
