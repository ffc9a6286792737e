package tier

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/budget"
	"balsamwinch.example/evacuation"
	"balsamwinch.example/feed"
	"balsamwinch.example/gateway"
	"balsamwinch.example/link"
	"balsamwinch.example/outlier"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/registry"
	"balsamwinch.example/replica"
	"balsamwinch.example/result"
	"balsamwinch.example/route"
	"balsamwinch.example/timer"
	"balsamwinch.example/trail"
	"balsamwinch.example/upstream"
	"balsamwinch.example/warmup"
)

// Bounds of an entry instance.
const (
	holdMargin  = 6 * time.Millisecond
	mostActive  = 400
	budgetShare = 0.95
	// serverHold is how long a backend server that no control instance hears any
	// more is still used: control instances restart, and the announcements that
	// they missed come only by and by.
	serverHold = 6 * time.Second
	// answerWithin is how much of a stop is kept for requests under way after the
	// last one was taken.
	answerWithin = 1500 * time.Millisecond
	// exitBefore is how long before the end of the time for a stop the process ends.
	exitBefore = 300 * time.Millisecond
)

// entry is an entry instance.
type entry struct {
	tbs  ConfigurationParser
	gw   *gateway.Server
	su   *feed.Subscriber
	door *door
	re   *replica.Balancer
	qa   *quarantine.Tracker
	ts   *timer.Service
	lg   *zap.Logger
	st   *standing

	// servers and evacuations are as the subscriber told them last, by its goroutine.
	servers     map[string][]registry.Server
	evacuations evacuation.Set
}

func runEntry(ctx context.Context, se Settings, sh *shared, di Dialect, lc link.Config, ts *timer.Service, lg *zap.Logger, mws []MetricsWriter) error {
	up := upstream.New(upstream.Config{Names: di.Names().Upstream()}, ts, lg)
	en := newEntry(se, sh, di, lc, up, ts, lg)
	li, err := listen(se.Listen.Callers)
	if err != nil {
		return err
	}
	en.door = newDoor(li, en.gw, ts, lg)
	sp := supervise("entry", lg)
	if err := serveHTTP(sp, "ready", se.Listen.Ready, di.ReadyHandler(en.ready)); err != nil {
		return err
	}
	serveMetrics(sp, se.Metrics, lg, append(mws, writeLinks(en.su), en.gw.WriteMetrics)...)
	sp.Add(service{"feed", en.su.Serve})
	en.addInvitations(sp, se.LinkAddress(), lc)
	sp.Add(service{"callers", en.door.Serve})
	sp.Add(service{"news", en.tellNews})
	sp.Add(service{"load", en.tellLoad})
	sp.Add(service{"suspects", en.tellSuspects})
	sp.Add(service{"house", func(ctx context.Context) error { return keepHouse(ctx, up, en.re, ts, lg) }})
	serveUntil(ctx, sp, func() { en.leave(se.Timing.StopWithin, ts) })
	return nil
}

// addInvitations adds what takes invitations of control instances. Without it the
// instance still finds them by its seeds: the port may be a control instance's that runs
// on the same machine.
func (en *entry) addInvitations(sp *suture.Supervisor, address string, lc link.Config) {
	li, err := listen(address)
	if err != nil {
		en.lg.Warn("invitations-not-taken", zap.Error(err))
		return
	}
	sp.Add(service{"invitations", func(ctx context.Context) error { return link.Serve(ctx, li, lc, en.su.HandleInvite) }})
}

// newEntry returns an entry instance that has no listener yet.
func newEntry(se Settings, sh *shared, di Dialect, lc link.Config, up *upstream.Client, ts *timer.Service, lg *zap.Logger) *entry {
	now := ts.Now()
	re := replica.New(replica.Config{DataCentre: se.DataCentre, Seed: uint64(now.UnixNano())})
	bu := budget.New(budget.Config{Ratio: se.Budget.Ratio, Slack: int(se.Budget.Slack), Window: se.Budget.Window, Fraction: budgetShare}, now)
	qa := quarantine.New()
	en := &entry{tbs: di.Tables(), re: re, qa: qa, ts: ts, lg: lg}
	en.gw = gateway.New(gateway.Config{
		Names: di.Names(), Name: se.Name, DataCentre: se.DataCentre,
		CallerDelay: se.Timing.CallerDistance, HoldMargin: holdMargin, MaxInFlight: mostActive,
		Warmup: warmup.Limit{BurstFactor: se.Warmup.Overage, Slack: se.Warmup.Slack},
	}, ts, lg, up, re, bu, qa)
	en.su = feed.NewSubscriber(feed.SubscriberConfig{
		Self:  feed.Entry{Name: se.Name, DataCentre: se.DataCentre, Address: se.Listen.Callers, State: feed.Starting},
		Seeds: sh.linkSeeds, Link: lc, RetentionTimeout: serverHold,
		Suspects: func() []quarantine.Record { return qa.Records(ts.Now()) },
	}, ts, lg, en)
	en.st = &standing{tell: en.su.SetState}
	return en
}

// ready reports whether callers may be sent here.
func (en *entry) ready() bool { return !en.st.left() && en.gw.Table() != nil }

// leave stops without cutting a request off. Callers are told at once not to
// come; those who hold an older list are served until it must have run out.
func (en *entry) leave(within time.Duration, ts *timer.Service) {
	start := ts.Now()
	en.st.leave()
	en.gw.CloseAfterResponse()
	en.lg.Info("instance-stopping", zap.Int("Active", en.gw.InFlight()), zap.Duration("Within", within), trail.AtOnce())
	ctx := context.Background()
	_ = ts.Sleep(ctx, within-answerWithin-exitBefore)
	en.gw.RejectAll()
	ctx, cancel := context.WithDeadline(ctx, start.Add(within-exitBefore))
	defer cancel()
	err := en.gw.WaitIdle(ctx)
	en.door.Close(ctx)
	en.lg.Info("callers-served", zap.Int("Active", en.gw.InFlight()), zap.Error(err), trail.AtOnce())
}

// ConfigurationChanged puts a configuration in force.
func (en *entry) ConfigurationChanged(version uint64, data []byte) error {
	tb, err := en.tbs.Table(data)
	if err != nil {
		return &result.Error{Code: result.Invalid, Op: "read configuration", Err: err}
	}
	en.su.SetServices(serviceNames(tb))
	en.gw.SetTable(tb)
	en.door.SetLimits(tb.Limits())
	en.st.ready()
	en.lg.Info("configuration-in-force", zap.Uint64("Version", version), zap.Int("Routes", len(tb.Routes())), zap.Int("Services", len(tb.Services())))
	return nil
}

func serviceNames(tb *route.Table) map[string]bool {
	names := make(map[string]bool)
	for _, se := range tb.Services() {
		names[se.Name] = true
	}
	return names
}

// ServersChanged takes over which backend servers exist.
func (en *entry) ServersChanged(ses map[string][]registry.Server) {
	en.servers = ses
	en.gw.SetServers(evacuated(ses, en.evacuations))
}

// EvacuationsChanged takes over which data centres are evacuated.
func (en *entry) EvacuationsChanged(st evacuation.Set) {
	en.evacuations = st
	en.gw.SetServers(evacuated(en.servers, st))
	en.lg.Info("evacuations-in-force", zap.Uint64("Revision", st.Revision), zap.Strings("Evacuated", st.DataCentres), trail.AtOnce())
}

// EntriesChanged takes over which entry instances share the backend servers.
func (en *entry) EntriesChanged(live []feed.Entry) { en.gw.SetEntries(len(live)) }

// SharersChanged takes over how many of the entry instances callers are led to.
func (en *entry) SharersChanged(count int) {
	en.lg.Info("sharers-changed", zap.Int("Sharers", count))
	en.gw.SetSharers(count)
}

// OutliersFound takes over what all entry instances together saw of backend servers.
func (en *entry) OutliersFound(fis []outlier.Finding) { en.re.ApplyFindings(en.ts.Now(), fis) }

// SuspectsHeard takes over what all instances know of requests under which servers ended.
func (en *entry) SuspectsHeard(_ string, rcs []quarantine.Record) []quarantine.Record {
	return en.qa.Merge(en.ts.Now(), rcs)
}

// tellSuspects tells at once of requests under which servers ended here, until the context
// ends.
func (en *entry) tellSuspects(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-en.qa.Changed():
			en.su.SendSuspects(en.qa.TakeUpdates(en.ts.Now()))
		}
	}
}

const (
	// newsPeriod is how often an entry instance tells what it saw of backend servers,
	// and mostNews of how many at most. A sample takes some 25 bytes.
	newsPeriod = 300 * time.Millisecond
	mostNews   = 48
	// newsDelay is how long news of slow and failing servers wait for others like them.
	// A query that meets such a server most often meets several.
	newsDelay = 30 * time.Millisecond
)

// tellNews tells what this instance saw of backend servers until the context ends: all
// of it now and then, and soon if any of them is slow or fails.
func (en *entry) tellNews(ctx context.Context) error {
	su := en.ts.Subscribe(newsPeriod)
	defer su.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-en.re.Urgent():
			if err := en.ts.Sleep(ctx, newsDelay); err != nil {
				return err
			}
		case <-su.C:
		}
		en.su.SendSamples(en.re.TakeSamples(en.ts.Now(), mostNews))
	}
}

const (
	// watchedPeriod is how often the process looks whether it stood still.
	watchedPeriod = 250 * time.Millisecond
	// stoodStill is the time between two looks from which it did.
	stoodStill = time.Second
	// idlePeriod is how often connections that nobody uses are looked at.
	idlePeriod = time.Second
)

// keepHouse closes connections to backend servers that were idle for too long,
// and tells the choice of replicas when the process stood still: what requests
// seem to have taken then says nothing of their servers, and learned as real
// latencies it would set them all aside.
func keepHouse(ctx context.Context, up *upstream.Client, re *replica.Balancer, ts *timer.Service, lg *zap.Logger) error {
	su := ts.Subscribe(watchedPeriod)
	defer su.Stop()
	last, closed := ts.Now(), ts.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-su.C:
		}
		now := ts.Now()
		if gap := now.Sub(last); gap >= stoodStill {
			re.Resumed(now)
			lg.Warn("process-stood-still", zap.Duration("For", gap))
		}
		if now.Sub(closed) >= idlePeriod {
			up.CloseIdle(now)
			closed = now
		}
		last = now
	}
}
