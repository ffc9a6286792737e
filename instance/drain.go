package instance

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// farewellTime bounds the last words of an instance: a renewal that is under way
// and the one that gives the lease back.
const farewellTime = 2 * callTimeout

// drain stops the instance without cutting a request off. It leaves the address
// list at once, and goes on serving until the lists that callers hold have run
// out: a caller that connects with a list which is still valid must be served,
// and only the list's time to live tells when there is none left. Then requests
// in flight finish, the lease is given back and leadership is handed over.
func (in *Instance) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), in.drainWithin())
	defer cancel()
	if err := in.th.post(ctx, drained{}); err != nil {
		return
	}
	if in.self().Entry {
		_ = in.ts.Sleep(ctx, in.addressTTL())
	}
	in.shutDown(ctx, "Caller")
	in.shutDown(ctx, "Backend")
	in.farewell(ctx)
	in.shutDown(ctx, "Operator")
	in.lg.Info("stopped")
}

// addressTTL returns how long a caller may still hold a list that names this
// instance. One that was asked just before the instance left the lists elsewhere
// gets the time of one renewal on top.
func (in *Instance) addressTTL() time.Duration {
	ttl := in.ce.Load().Configuration.Limits.AddressTTL()
	if ttl == 0 {
		return 0
	}
	return ttl + in.cf.Timing.Renewal
}

// drainWithin returns how long a graceful stop takes at most.
func (in *Instance) drainWithin() time.Duration {
	return in.addressTTL() + in.cf.Timing.DrainGrace
}

func (in *Instance) shutDown(ctx context.Context, name string) {
	for _, li := range in.open {
		if li.name != name {
			continue
		}
		if err := li.sv.Shutdown(ctx); err != nil {
			in.lg.Warn("requests-cut-off", zap.String("Listener", name), zap.Error(err))
			_ = li.sv.Close()
		}
	}
}

// farewell closes the connections to backend servers, gives the lease back,
// hands leadership over and tells the others.
func (in *Instance) farewell(ctx context.Context) {
	if err := in.en.Wait(ctx); err != nil {
		in.lg.Warn("requests-cut-off", zap.Int64("Active", int64(in.en.InFlight())), zap.Error(err))
	}
	in.cl.Close()
	ctx, cancel := context.WithTimeout(ctx, farewellTime)
	defer cancel()
	in.rn.leave(ctx)
	reply := make(chan struct{})
	if err := in.th.post(ctx, leaving{reply: reply}); err != nil {
		return
	}
	select {
	case <-reply:
	case <-ctx.Done():
	}
	_ = in.ts.Sleep(ctx, handOver)
}
