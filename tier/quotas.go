package tier

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"balsamwinch.example/customer"
	"balsamwinch.example/feed"
	"balsamwinch.example/fleet"
	"balsamwinch.example/quota"
	"balsamwinch.example/route"
	"balsamwinch.example/timer"
)

// limits returns the bound of the settings.
func (qu Quota) limits() quota.Limits {
	return quota.Limits{Window: qu.Window, Overage: qu.Overage, Slack: qu.Slack}
}

// grantingLogInterval bounds the log lines of an owner that stops and starts granting.
const grantingLogInterval = time.Second

// quotaOwner grants tokens to entry instances from the shares of customers' quotas that this
// control instance owns.
type quotaOwner struct {
	standing func() fleet.Standing
	entries  func() []feed.Entry
	ts       *timer.Service
	lg       *zap.Logger
	mt       *ownerMetrics

	mu      sync.Mutex
	ow      *quota.Owner
	refusal quota.Refusal // why it grants nothing, as last logged
	logged  bool          // refusal has been logged
	li      *rate.Limiter
}

func newQuotaOwner(li quota.Limits, standing func() fleet.Standing, entries func() []feed.Entry, ts *timer.Service, lg *zap.Logger) *quotaOwner {
	return &quotaOwner{
		standing: standing, entries: entries, ts: ts, lg: lg, mt: newOwnerMetrics(),
		ow: quota.NewOwner(ts.Now(), li), li: rate.NewLimiter(rate.Every(grantingLogInterval), 4),
	}
}

// setTable puts the quotas of a committed configuration in force.
func (qo *quotaOwner) setTable(tb *route.Table) {
	quotas := make(map[string]customer.Quota)
	for cu := range tb.Customers().All() {
		quotas[cu.Name] = cu.Quota
	}
	qo.mu.Lock()
	defer qo.mu.Unlock()
	qo.ow.SetQuotas(qo.ts.Now(), tb.Version(), quotas)
}

// grant answers an entry instance's request for tokens.
func (qo *quotaOwner) grant(_ string, rq feed.QuotaRequest) feed.QuotaGrant {
	now, fs := qo.ts.Now(), qo.standing()
	st := quota.Standing{
		Voting: fs.Voting, Since: fs.Since, LastContact: fs.LastContact,
		Voters: fs.MaxVoters(now, quota.JoinDelay), SpareVoters: fs.MaxVoters(now, quota.SpareVoterWindow),
	}
	qo.mu.Lock()
	defer qo.mu.Unlock()
	qo.ow.SetEntries(len(qo.entries()))
	grants, re := qo.ow.Grant(now, st, rq.Version, rq.Wants)
	qo.logRefusal(now, st, re)
	qo.mt.count(rq, grants)
	return feed.QuotaGrant{ID: rq.ID, Refusal: re, Grants: grants}
}

// logRefusal writes a line if this instance starts or stops granting. That its configuration
// is older than an entry instance's passes within milliseconds and is not logged.
func (qo *quotaOwner) logRefusal(now time.Time, st quota.Standing, re quota.Refusal) {
	if re == quota.Behind || re == qo.refusal && qo.logged || !qo.li.AllowN(now, 1) {
		return
	}
	qo.refusal, qo.logged = re, true
	if re == quota.None {
		qo.lg.Info("quotas-granted", zap.Int("Voters", st.Voters))
		return
	}
	fields := []zap.Field{zap.Stringer("Reason", re), zap.Bool("Voting", st.Voting), zap.Int("Voters", st.Voters)}
	if !st.LastContact.IsZero() {
		fields = append(fields, zap.Int64("ContactMillis", now.Sub(st.LastContact).Milliseconds()))
	}
	qo.lg.Warn("quotas-not-granted", fields...)
}

// quotaSender is the part of a feed.Subscriber that asks owners for tokens.
type quotaSender interface {
	QuotaOwners() []quota.OwnerRef
	SendQuotaRequest(address string, rq feed.QuotaRequest) bool
}

// quotaClient spends the tokens of an entry instance. It implements gateway.Quotas.
type quotaClient struct {
	ts *timer.Service
	lg *zap.Logger
	mt *clientMetrics

	mu       sync.Mutex
	su       quotaSender
	le       *quota.Ledger
	waiting  map[uint64]chan quota.Verdict // by ticket
	episodes *quota.Episodes
	wake     *timer.Timeout
	wakeAt   time.Time // when wake fires; zero if it does not
}

func newQuotaClient(li quota.Limits, seed uint64, ts *timer.Service, lg *zap.Logger) *quotaClient {
	return &quotaClient{
		ts: ts, lg: lg, mt: newClientMetrics(), le: quota.NewLedger(li, seed),
		waiting: make(map[uint64]chan quota.Verdict), episodes: quota.NewEpisodes(),
	}
}

// Take decides about a request of a customer.
func (qc *quotaClient) Take(ctx context.Context, version uint64, customer string) quota.Verdict {
	vd, ticket, ch := qc.begin(version, customer)
	if vd.Outcome == quota.Waiting {
		select {
		case vd = <-ch:
		case <-ctx.Done():
			return qc.cancel(customer, ticket, ch)
		}
	}
	qc.note(customer, vd)
	return vd
}

// begin takes a token, or registers a request that waits for one.
func (qc *quotaClient) begin(version uint64, customer string) (quota.Verdict, uint64, chan quota.Verdict) {
	qc.mu.Lock()
	defer qc.mu.Unlock()
	qc.le.SetOwners(qc.su.QuotaOwners())
	qc.le.SetVersion(version)
	vd, ticket := qc.le.Take(qc.ts.Now(), customer)
	var ch chan quota.Verdict
	if vd.Outcome == quota.Waiting {
		ch = make(chan quota.Verdict, 1)
		qc.waiting[ticket] = ch
	}
	qc.step()
	return vd, ticket, ch
}

// cancel ends the wait of a request whose caller has left. A token that came at the same
// moment is returned.
func (qc *quotaClient) cancel(customer string, ticket uint64, ch chan quota.Verdict) quota.Verdict {
	qc.mu.Lock()
	defer qc.mu.Unlock()
	qc.le.Cancel(ticket)
	delete(qc.waiting, ticket)
	select {
	case vd := <-ch:
		if vd.Outcome == quota.Admitted {
			qc.le.Return(qc.ts.Now(), customer, vd.Expires)
			qc.step()
		}
	default:
	}
	return quota.Verdict{}
}

// Return gives back the token of a request that was not run.
func (qc *quotaClient) Return(customer string, expires time.Time) {
	qc.mu.Lock()
	defer qc.mu.Unlock()
	qc.le.Return(qc.ts.Now(), customer, expires)
	qc.step()
}

// granted handles the answer of an owner.
func (qc *quotaClient) granted(_ string, gr feed.QuotaGrant) {
	qc.mu.Lock()
	defer qc.mu.Unlock()
	qc.mt.grants.Inc()
	qc.le.Granted(qc.ts.Now(), gr.ID, gr.Refusal, gr.Grants)
	qc.step()
}

// wakeUp runs the ledger when its timer fires.
func (qc *quotaClient) wakeUp() {
	qc.mu.Lock()
	defer qc.mu.Unlock()
	qc.wakeAt = time.Time{}
	qc.step()
}

// step sends what the ledger wants to send and settles requests that waited. The caller
// holds the lock; sending does not block.
func (qc *quotaClient) step() {
	now := qc.ts.Now()
	// An owner to which nothing can be sent is skipped, and the next one is asked at once.
	for qc.exchange(now) {
	}
	at := qc.le.WakeAt(now)
	if at.IsZero() || !qc.wakeAt.IsZero() && !at.Before(qc.wakeAt) {
		return
	}
	qc.wakeAt = at
	if qc.wake == nil {
		qc.wake = qc.ts.Timeout(max(0, at.Sub(now)), qc.wakeUp)
	} else {
		qc.wake.Reset(max(0, at.Sub(now)))
	}
}

// exchange runs the ledger once. It reports whether a request could not be sent.
func (qc *quotaClient) exchange(now time.Time) (failed bool) {
	asks, settled := qc.le.Step(now)
	for _, as := range asks {
		qc.mt.requests.Inc()
		if !qc.su.SendQuotaRequest(as.Owner.Address, feed.QuotaRequest{ID: as.ID, Version: as.Version, Wants: as.Wants}) {
			qc.le.SendFailed(now, as.ID)
			failed = true
		}
	}
	for _, se := range settled {
		if ch, ok := qc.waiting[se.Ticket]; ok {
			delete(qc.waiting, se.Ticket)
			ch <- se.Verdict
		}
	}
	return failed
}

// note counts a verdict and writes a line if a customer starts being refused.
func (qc *quotaClient) note(customer string, vd quota.Verdict) {
	qc.mt.count(customer, vd)
	qc.mu.Lock()
	defer qc.mu.Unlock()
	if vd.Outcome == quota.Admitted {
		qc.episodes.Admitted(customer)
		return
	}
	if qc.episodes.Refused(qc.ts.Now(), customer) {
		said := make([]string, len(vd.Owners))
		for ix, st := range vd.Owners {
			said[ix] = st.String()
		}
		qc.lg.Info("customer-refused", zap.String("Customer", customer), zap.Stringer("Outcome", vd.Outcome), zap.Strings("QuotaOwners", said))
	}
}

// episodeInterval is how often customers that are no longer refused are looked for.
const episodeInterval = time.Second

// serve writes a line for each customer that is no longer refused, until the context ends.
func (qc *quotaClient) serve(ctx context.Context) error {
	su := qc.ts.Subscribe(episodeInterval)
	defer su.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-su.C:
		}
		qc.mu.Lock()
		ended := qc.episodes.Ended(qc.ts.Now())
		qc.mu.Unlock()
		for _, ep := range ended {
			qc.lg.Info("customer-not-refused", zap.String("Customer", ep.Customer), zap.Int("Refused", ep.Refused),
				zap.Int("Admitted", ep.Admitted), zap.Int64("Millis", ep.Last.Sub(ep.Since).Milliseconds()))
		}
	}
}
