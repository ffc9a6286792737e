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
	"balsamwinch.example/overload"
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

// Limits and timeouts of an entry instance.
const (
	partialMargin  = 6 * time.Millisecond
	maxInFlight    = 400
	budgetFraction = 0.95
	// serverRetentionTimeout is how long a backend server that no control instance
	// receives announcements from stays in use. After a restart, a control instance
	// learns the servers only gradually, as their announcements arrive.
	serverRetentionTimeout = 6 * time.Second
	// inFlightTimeout is the part of a stop in which the process ends as soon as no request
	// is in flight.
	inFlightTimeout = 1500 * time.Millisecond
	// exitMargin is how long before the end of the stop timeout the process exits.
	exitMargin = 300 * time.Millisecond
	// answerMargin is how long before its exit the process has answered all requests, so
	// that the answers are sent by then.
	answerMargin = 150 * time.Millisecond
)

// entry is an entry instance.
type entry struct {
	parser  ConfigurationParser
	gw      *gateway.Server
	su      *feed.Subscriber
	callers *callerServer
	re      *replica.Balancer
	qa      *quarantine.Tracker
	ts      *timer.Service
	lg      *zap.Logger
	sr      *stateReporter
	qc      *quotaClient
	levels  *overload.Client // nil if disabled

	// servers and evacuations are the latest state from the subscriber. Only the
	// subscriber's goroutine accesses them.
	servers     map[string][]registry.Server
	evacuations evacuation.Set
}

func runEntry(ctx context.Context, se Settings, ls *liveSettings, di Dialect, lc link.Config, ts *timer.Service, lg *zap.Logger, mws []MetricsWriter) error {
	up := upstream.New(upstream.Config{Names: di.HeaderNames().Upstream(), BodyMemory: se.bodyMemory()}, ts, lg)
	en := newEntry(se, ls, di, lc, up, ts, lg)
	li, err := listen(se.Listen.Callers)
	if err != nil {
		return err
	}
	en.callers = newCallerServer(li, en.gw, ts, lg)
	sp := newSupervisor("entry", lg)
	if _, err := serveHTTP(sp, "ready", se.Listen.Ready, di.ReadyHandler(en.ready)); err != nil {
		return err
	}
	serveMetrics(sp, se.Metrics, lg, append(mws, writeLinkMetrics(en.su), writeStallMetrics(en.re), en.gw.WriteMetrics, en.qc.mt.set.WritePrometheus)...)
	sp.Add(service{"feed", en.su.Serve})
	en.addInvitations(sp, se.LinkAddress(), lc)
	sp.Add(service{"callers", en.callers.Serve})
	sp.Add(service{"news", en.sendObservations})
	sp.Add(service{"load", en.sendLoad})
	sp.Add(service{"stalls", en.reportStalls})
	sp.Add(service{"overload", en.sendOverload})
	sp.Add(service{"suspects", en.sendSuspects})
	sp.Add(service{"quotas", en.qc.serve})
	sp.Add(service{"house", func(ctx context.Context) error { return runHousekeeping(ctx, up, en.re, ts, lg) }})
	serveUntil(ctx, sp, func() { en.stop(se.Timing.StopWithin, ts) })
	return nil
}

// addInvitations adds a listener for invitations from control instances. If the port is
// taken, as by a control instance on the same machine, the entry instance still finds
// control instances through its seeds.
func (en *entry) addInvitations(sp *suture.Supervisor, address string, lc link.Config) {
	li, err := listen(address)
	if err != nil {
		en.lg.Warn("invitations-not-taken", zap.Error(err))
		return
	}
	sp.Add(service{"invitations", func(ctx context.Context) error { return link.Serve(ctx, li, lc, en.su.HandleInvite) }})
}

// newEntry returns an entry instance that has no listener yet.
func newEntry(se Settings, ls *liveSettings, di Dialect, lc link.Config, up *upstream.Client, ts *timer.Service, lg *zap.Logger) *entry {
	now := ts.Now()
	re := replica.New(replica.Config{DataCentre: se.DataCentre, Seed: uint64(now.UnixNano())})
	bu := budget.New(budget.Config{Ratio: se.Budget.Ratio, Slack: int(se.Budget.Slack), Window: se.Budget.Window, Fraction: budgetFraction}, now)
	qa := quarantine.New()
	en := &entry{
		parser: di.NewParser(), re: re, qa: qa, ts: ts, lg: lg, levels: newLevels(se),
		qc: newQuotaClient(se.Quota.limits(), uint64(now.UnixNano()), ts, lg),
	}
	en.gw = gateway.New(gateway.Config{
		Names: di.HeaderNames(), Name: se.Name, DataCentre: se.DataCentre,
		CallerDelay: se.Timing.CallerDistance, PartialMargin: partialMargin, MaxInFlight: maxInFlight,
		Warmup:       warmup.Limit{BurstFactor: se.Warmup.Overage, Slack: se.Warmup.Slack},
		Quotas:       en.qc,
		SharedStalls: se.Stalls.Shared,
		Levels:       en.levels,
	}, ts, lg, up, re, bu, qa)
	en.su = feed.NewSubscriber(feed.SubscriberConfig{
		Self:  feed.Entry{Name: se.Name, DataCentre: se.DataCentre, Address: se.Listen.Callers, State: feed.Starting},
		Seeds: ls.linkSeeds, Link: lc, RetentionTimeout: serverRetentionTimeout,
		Suspects:       func() []quarantine.Record { return qa.Records(ts.Now()) },
		QuotaGranted:   en.qc.granted,
		StallsHeard:    en.stallsHeard(se),
		LevelsReceived: en.levelsReceived(),
	}, ts, lg, en)
	en.qc.su = en.su
	en.sr = &stateReporter{report: en.su.SetState}
	return en
}

// ready reports whether callers may be sent to this instance.
func (en *entry) ready() bool { return !en.sr.isDraining() && en.gw.Table() != nil }

// stop shuts down gracefully, so that no request is cut off. The instance at once asks to
// be taken off the address lists, and serves callers that hold an older list until that
// list must have expired. It accepts only what it can answer before it exits.
func (en *entry) stop(timeout time.Duration, ts *timer.Service) {
	start := ts.Now()
	en.sr.drain()
	en.gw.CloseAfterResponse()
	en.gw.AnswerBy(start.Add(timeout - exitMargin - answerMargin))
	en.lg.Info("instance-stopping", zap.Int("Active", en.gw.InFlight()), zap.Duration("Within", timeout), trail.Synchronous())
	ctx := context.Background()
	_ = ts.Sleep(ctx, timeout-inFlightTimeout-exitMargin)
	ctx, cancel := context.WithDeadline(ctx, start.Add(timeout-exitMargin))
	defer cancel()
	err := en.gw.WaitIdle(ctx)
	en.gw.RejectAll()
	en.callers.Close(ctx)
	en.lg.Info("callers-served", zap.Int("Active", en.gw.InFlight()), zap.Error(err), trail.Synchronous())
}

// ConfigurationChanged parses a configuration and puts it in force.
func (en *entry) ConfigurationChanged(version uint64, data []byte) error {
	tb, err := en.parser.Parse(data)
	if err != nil {
		return &result.Error{Code: result.Invalid, Op: "read configuration", Err: err}
	}
	en.su.SetServices(serviceNames(tb))
	en.gw.SetTable(tb)
	en.callers.SetLimits(tb.Limits())
	en.sr.setReady()
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

// ServersChanged updates the backend servers.
func (en *entry) ServersChanged(ses map[string][]registry.Server) {
	en.servers = ses
	en.gw.SetServers(drainEvacuated(ses, en.evacuations))
}

// EvacuationsChanged updates the evacuated data centres.
func (en *entry) EvacuationsChanged(st evacuation.Set) {
	en.evacuations = st
	en.gw.SetServers(drainEvacuated(en.servers, st))
	en.lg.Info("evacuations-in-force", zap.Uint64("Revision", st.Revision), zap.Strings("Evacuated", st.DataCentres), trail.Synchronous())
}

// EntriesChanged updates the entry instances that share the backend servers.
func (en *entry) EntriesChanged(live []feed.Entry) { en.gw.SetEntries(len(live)) }

// SharersChanged updates the number of entry instances that callers of merged routes are
// sent to.
func (en *entry) SharersChanged(count int) {
	en.lg.Info("sharers-changed", zap.Int("Sharers", count))
	en.gw.SetSharers(count)
}

// OutliersFound applies findings about backend servers that combine the samples of all
// entry instances.
func (en *entry) OutliersFound(fis []outlier.Finding) { en.re.ApplyFindings(en.ts.Now(), fis) }

// SuspectsReceived merges what other instances know of requests under which servers crashed.
func (en *entry) SuspectsReceived(_ string, rcs []quarantine.Record) []quarantine.Record {
	return en.qa.Merge(en.ts.Now(), rcs)
}

// sendSuspects sends new records of requests under which servers crashed here, without
// delay, until the context ends.
func (en *entry) sendSuspects(ctx context.Context) error {
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
	// observationInterval is how often an entry instance sends its samples of backend
	// servers, and maxObservations is the maximum number of servers in one message. A
	// sample takes about 25 bytes.
	observationInterval = 300 * time.Millisecond
	maxObservations     = 48
	// urgentObservationDelay is how long samples of slow or failing servers are held back
	// to collect more of them. A query that meets one such server usually meets several.
	urgentObservationDelay = 30 * time.Millisecond
)

// sendObservations sends this instance's samples of backend servers until the context
// ends: at each interval, and after a short delay if a server is slow or fails.
func (en *entry) sendObservations(ctx context.Context) error {
	su := en.ts.Subscribe(observationInterval)
	defer su.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-en.re.Urgent():
			if err := en.ts.Sleep(ctx, urgentObservationDelay); err != nil {
				return err
			}
		case <-su.C:
		}
		en.su.SendSamples(en.re.TakeSamples(en.ts.Now(), maxObservations))
	}
}

const (
	// stallCheckInterval is how often the process checks whether it was stalled.
	stallCheckInterval = 250 * time.Millisecond
	// stallThreshold is the time between two checks from which the process counts as
	// stalled.
	stallThreshold = time.Second
	// idleCheckInterval is how often idle connections are checked for expiry.
	idleCheckInterval = time.Second
)

// runHousekeeping closes expired idle connections to backend servers and notifies the
// balancer after a stall of the process. Latencies measured across a stall say nothing
// about the servers; recorded as real ones, they would get all servers ejected.
func runHousekeeping(ctx context.Context, up *upstream.Client, re *replica.Balancer, ts *timer.Service, lg *zap.Logger) error {
	su := ts.Subscribe(stallCheckInterval)
	defer su.Stop()
	last, closed := ts.Now(), ts.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-su.C:
		}
		now := ts.Now()
		if gap := now.Sub(last); gap >= stallThreshold {
			re.Resumed(now)
			lg.Warn("process-stood-still", zap.Duration("For", gap))
		}
		if now.Sub(closed) >= idleCheckInterval {
			up.CloseIdle(now)
			closed = now
		}
		last = now
	}
}
