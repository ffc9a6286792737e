package instance

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"balsamwinch.example/control"
	"balsamwinch.example/peer"
	"balsamwinch.example/settings"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
)

// callTimeout bounds one call to a control instance, so that an unresponsive one is given up
// on well before the lease expires.
const callTimeout = 700 * time.Millisecond

// unresponsiveTimeout is how long a control instance that did not reply is skipped while there
// are others. With it the lease is renewed within 0.74 s of a renewal to a leader that was
// killed. Without it that leader was waited for twice, 1.4 s of a lease of 1.8 s, and one of
// 48 instances lost its lease. It is no longer than a call, so that a leader that replied late
// once is soon tried again.
const unresponsiveTimeout = callTimeout

// peerClient sends a message to an instance and waits for the reply.
type peerClient interface {
	call(ctx context.Context, name string, ms peer.Message) (peer.Message, error)
}

// renewer renews the lease of an instance with the leader of control.
type renewer struct {
	cf         settings.Instance
	ce         *view.Cell
	th         *thread
	pc         peerClient
	ts         *timer.Service
	lg         *zap.Logger
	leaderHint string // the instance to call first; may be empty
	nextVoter  int
	leaseLost  bool

	unresponsive      string    // the control instance that failed to reply last
	unresponsiveSince time.Time // when the call to it was given up

	leaving chan chan<- struct{}
}

// Serve renews the lease until the context ends or leave is called.
func (rn *renewer) Serve(ctx context.Context) error {
	su := rn.ts.Subscribe(rn.cf.Timing.Renewal)
	defer su.Stop()
	for {
		retry := make(chan struct{})
		if delay := rn.renew(ctx); delay > 0 {
			rn.ts.Timeout(delay, func() { close(retry) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case done := <-rn.leaving:
			rn.release(ctx)
			close(done)
			return suture.ErrDoNotRestart
		case <-retry:
		case <-su.C:
		case <-rn.th.renewNow:
		}
	}
}

// leave releases the lease and stops the renewals, so that no renewal in flight acquires the
// lease again.
func (rn *renewer) leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case rn.leaving <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// renew requests a lease once. It returns the delay until an early retry, or zero if the next
// regular renewal is soon enough. Early retries shorten the time without a lease.
func (rn *renewer) renew(ctx context.Context) time.Duration {
	sentAt := rn.ts.Now()
	rq := rn.newRenewal(sentAt, false)
	gr, ok := rn.request(ctx, rq)
	if !ok {
		return tickInterval
	}
	if gr.Granted == rn.leaseLost {
		rn.leaseLost = !gr.Granted
		rn.lg.Info("lease", zap.Bool("Granted", gr.Granted), zap.String("Reason", gr.Reason))
	}
	_ = rn.th.post(ctx, grantReceived{gr: gr, sentAt: sentAt, baseRevision: rq.InForce})
	if !gr.Granted {
		return rn.cf.Timing.Renewal / 4
	}
	return 0
}

// release gives the lease back, so that control need not wait until it expires. If there is no
// leader, it gives up and the lease expires.
func (rn *renewer) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, ok := rn.request(ctx, rn.newRenewal(rn.ts.Now(), true)); ok {
			return
		}
		_ = rn.ts.Sleep(ctx, tickInterval)
	}
}

func (rn *renewer) newRenewal(now time.Time, releasing bool) control.Renewal {
	vi := rn.ce.Load()
	return control.Renewal{
		Instance:  vi.Self,
		InForce:   vi.Configuration.Revision,
		Releasing: releasing,
		Leased:    vi.Leased(now),
		Entries:   vi.GrantedDivisor,
		Roster:    rn.th.rosterDigest.Load(),
	}
}

// request calls the hinted leader, or the next control instance. It returns false if that
// instance did not reply or does not lead.
func (rn *renewer) request(ctx context.Context, rq control.Renewal) (control.Grant, bool) {
	name := rn.selectVoter()
	rn.leaderHint = ""
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ms, err := rn.pc.call(ctx, name, rq)
	if err != nil {
		rn.unresponsive, rn.unresponsiveSince = name, rn.ts.Now()
		return control.Grant{}, false
	}
	gr, ok := ms.(control.Grant)
	if !ok {
		return control.Grant{}, false
	}
	if gr.LeaseMillis == 0 {
		rn.leaderHint = gr.Leader
		if rn.leaderHint == name {
			rn.leaderHint = ""
		}
		return gr, false
	}
	rn.leaderHint = name
	return gr, true
}

// selectVoter returns the control instance to call next: the hinted leader, or else the next
// in turn. One that was unresponsive recently is skipped, even if another instance that has
// not noticed the failure still names it as the leader.
func (rn *renewer) selectVoter() string {
	skipped := ""
	if rn.ts.Now().Sub(rn.unresponsiveSince) < unresponsiveTimeout {
		skipped = rn.unresponsive
	}
	if rn.leaderHint != "" && rn.leaderHint != skipped {
		return rn.leaderHint
	}
	vrs := rn.cf.Control.Voters
	for range vrs {
		name := vrs[rn.nextVoter%len(vrs)].Name
		rn.nextVoter++
		if name != skipped {
			return name
		}
	}
	return skipped
}
