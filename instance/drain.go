package instance

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// leaveTimeout bounds the last calls of a stopping instance: a renewal in flight and the one
// that releases the lease.
const leaveTimeout = 2 * callTimeout

// drain stops the instance gracefully. It removes itself from the address list at once, but
// serves until the lists that callers hold have expired: a caller that connects with a valid
// list must be served, and only the list's TTL tells when no valid list is left. Then requests
// in flight finish, the lease is released and leadership is handed over.
func (in *Instance) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), in.drainTimeout())
	defer cancel()
	if err := in.th.post(ctx, drainStarted{}); err != nil {
		return
	}
	if in.self().Entry {
		_ = in.ts.Sleep(ctx, in.addressTTL())
	}
	in.shutDownListeners(ctx, "Caller")
	in.shutDownListeners(ctx, "Backend")
	in.leave(ctx)
	in.shutDownListeners(ctx, "Operator")
	in.lg.Info("stopped")
}

// addressTTL returns how long a caller may still hold a list that names this instance. Another
// instance may have returned such a list just before it heard of the drain, so one renewal
// interval is added.
func (in *Instance) addressTTL() time.Duration {
	ttl := in.ce.Load().Configuration.Limits.AddressTTL()
	if ttl == 0 {
		return 0
	}
	return ttl + in.cf.Timing.Renewal
}

// drainTimeout returns the longest time that a graceful stop takes.
func (in *Instance) drainTimeout() time.Duration {
	return in.addressTTL() + in.cf.Timing.DrainGrace
}

func (in *Instance) shutDownListeners(ctx context.Context, name string) {
	for _, li := range in.listeners {
		if li.name != name {
			continue
		}
		if err := li.sv.Shutdown(ctx); err != nil {
			in.lg.Warn("requests-cut-off", zap.String("Listener", name), zap.Error(err))
			_ = li.sv.Close()
		}
	}
}

// leave closes the connections to backend servers, releases the lease, hands leadership over
// and notifies the other instances.
func (in *Instance) leave(ctx context.Context) {
	if err := in.en.Wait(ctx); err != nil {
		in.lg.Warn("requests-cut-off", zap.Int64("Active", int64(in.en.InFlight())), zap.Error(err))
	}
	in.cl.Close()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	in.rn.leave(ctx)
	reply := make(chan struct{})
	if err := in.th.post(ctx, leaveRequested{reply: reply}); err != nil {
		return
	}
	select {
	case <-reply:
	case <-ctx.Done():
	}
	_ = in.ts.Sleep(ctx, flushDelay)
}
