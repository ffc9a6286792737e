package instance

import (
	"context"
	"time"

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
}

// Serve renews until the context ends.
func (rn *renewer) Serve(ctx context.Context) error {
	su := rn.ts.Subscribe(rn.cf.Timing.Renewal)
	defer su.Stop()
	for {
		wait := su.C
		if !rn.renew(ctx) {
			// No leader answered: asking again soon shortens the time without one.
			_ = rn.ts.Sleep(ctx, tickPeriod)
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wait:
		case <-rn.th.nudge:
		}
	}
}

// renew asks for a lease once and reports whether a leader answered, or the
// context ended.
func (rn *renewer) renew(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	sentAt := rn.ts.Now()
	gr, ok := rn.request(ctx, rn.renewal(sentAt, false))
	if !ok {
		return false
	}
	if gr.Granted == rn.lost {
		rn.lost = !gr.Granted
		rn.lg.Info("lease", zap.Bool("Granted", gr.Granted), zap.String("Reason", gr.Reason))
	}
	_ = rn.th.post(ctx, granted{gr: gr, sentAt: sentAt})
	return true
}

// release gives the lease back, so that control need not wait for its end.
func (rn *renewer) release(ctx context.Context) {
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
		Entries:   vi.Entries,
	}
}

// request asks the guessed leader, or the next control instance. It reports
// false when that one does not lead.
func (rn *renewer) request(ctx context.Context, rq control.Renewal) (control.Grant, bool) {
	name := rn.guess
	if name == "" {
		vrs := rn.cf.Control.Voters
		name = vrs[rn.next%len(vrs)].Name
		rn.next++
	}
	rn.guess = ""
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ms, err := rn.as.ask(ctx, name, rq)
	if err != nil {
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
