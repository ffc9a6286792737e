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

// callTimeout bounds one call to a control instance, so that a silent one is
// given up on well before the lease runs out.
const callTimeout = 700 * time.Millisecond

// silentFor is how long a control instance that did not answer is passed over while
// there are others. With it the lease is renewed within 0.74 s of a renewal to a leader
// that was killed; asked in turn, that one was waited for twice, 1.4 s of a lease of
// 1.8 s, and one of 48 instances lost its lease. It is no longer than a call, so that a
// leader that was late once is soon asked again.
const silentFor = callTimeout

// asker sends a message to an instance and waits for the reply.
type asker interface {
	ask(ctx context.Context, name string, ms peer.Message) (peer.Message, error)
}

// renewer renews the lease of an instance with the leader of control.
type renewer struct {
	cf    settings.Instance
	ce    *view.Cell
	th    *thread
	as    asker
	ts    *timer.Service
	lg    *zap.Logger
	guess string // guess is whom to ask first.
	next  int
	lost  bool

	silent   string    // silent is the control instance that did not answer last.
	silentAt time.Time // silentAt is when that one was given up on.

	leaving chan chan<- struct{}
}

// Serve renews until the context ends or the instance leaves.
func (rn *renewer) Serve(ctx context.Context) error {
	su := rn.ts.Subscribe(rn.cf.Timing.Renewal)
	defer su.Stop()
	for {
		retry := make(chan struct{})
		if again := rn.renew(ctx); again > 0 {
			rn.ts.Timeout(again, func() { close(retry) })
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
		case <-rn.th.nudge:
		}
	}
}

// leave gives the lease back and ends the renewals, so that none that is under
// way takes the lease again.
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

// renew asks for a lease once and returns after how long to ask again out of
// turn; zero means in turn. Asking again soon shortens the time without a lease.
func (rn *renewer) renew(ctx context.Context) time.Duration {
	sentAt := rn.ts.Now()
	rq := rn.renewal(sentAt, false)
	gr, ok := rn.request(ctx, rq)
	if !ok {
		return tickPeriod
	}
	if gr.Granted == rn.lost {
		rn.lost = !gr.Granted
		rn.lg.Info("lease", zap.Bool("Granted", gr.Granted), zap.String("Reason", gr.Reason))
	}
	_ = rn.th.post(ctx, granted{gr: gr, sentAt: sentAt, inForce: rq.InForce})
	if !gr.Granted {
		return rn.cf.Timing.Renewal / 4
	}
	return 0
}

// release gives the lease back, so that control need not wait for its end. Without
// a leader it gives up, and the lease runs out.
func (rn *renewer) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, ok := rn.request(ctx, rn.renewal(rn.ts.Now(), true)); ok {
			return
		}
		_ = rn.ts.Sleep(ctx, tickPeriod)
	}
}

func (rn *renewer) renewal(now time.Time, releasing bool) control.Renewal {
	vi := rn.ce.Load()
	return control.Renewal{
		Instance:  vi.Self,
		InForce:   vi.Configuration.Revision,
		Releasing: releasing,
		Leased:    vi.Leased(now),
		Entries:   vi.GrantedDivisor,
		Roster:    rn.th.roster.Load(),
	}
}

// request asks the guessed leader, or the next control instance. It reports
// false when that one does not lead.
func (rn *renewer) request(ctx context.Context, rq control.Renewal) (control.Grant, bool) {
	name := rn.whom()
	rn.guess = ""
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ms, err := rn.as.ask(ctx, name, rq)
	if err != nil {
		rn.silent, rn.silentAt = name, rn.ts.Now()
		return control.Grant{}, false
	}
	gr, ok := ms.(control.Grant)
	if !ok {
		return control.Grant{}, false
	}
	if gr.LeaseMillis == 0 {
		rn.guess = gr.Leader
		if rn.guess == name {
			rn.guess = ""
		}
		return gr, false
	}
	rn.guess = name
	return gr, true
}

// whom returns the control instance to ask next: the guessed leader, or else the next
// in turn. One that was just silent is passed over, also if another one that has not
// noticed names it as the leader.
func (rn *renewer) whom() string {
	passed := ""
	if rn.ts.Now().Sub(rn.silentAt) < silentFor {
		passed = rn.silent
	}
	if rn.guess != "" && rn.guess != passed {
		return rn.guess
	}
	vrs := rn.cf.Control.Voters
	for range vrs {
		name := vrs[rn.next%len(vrs)].Name
		rn.next++
		if name != passed {
			return name
		}
	}
	return passed
}
