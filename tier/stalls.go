package tier

import (
	"context"
	"io"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"balsamwinch.example/feed"
	"balsamwinch.example/replica"
)

// Stalls configures what instances tell each other of backend servers that pause for a
// moment.
type Stalls struct {
	// Shared is set if entry instances report stalls and avoid servers by the reports of
	// others and by forecasts, where a route has many shards and there are many entry
	// instances.
	Shared bool
}

// stallsHeard returns the function that applies news of stalls, or nil if they are not
// shared. Then control instances send none.
func (en *entry) stallsHeard(se Settings) func(late time.Duration, st feed.Stalls) {
	if !se.Stalls.Shared {
		return nil
	}
	return func(late time.Duration, st feed.Stalls) { en.gw.HearStalls(en.ts.Now(), late, st.Stalls, st.Forecasts) }
}

// reportStalls reports stalled backend servers to the control instances until the context
// ends. It wakes only while requests are in flight.
func (en *entry) reportStalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-en.re.StallWork():
		}
		for busy := true; busy; {
			obs, delay, again := en.re.CheckStalls(en.ts.Now())
			en.su.SendStalls(obs)
			if busy = again; !busy {
				break
			}
			if err := en.ts.Sleep(ctx, delay); err != nil {
				return err
			}
		}
	}
}

// writeStallMetrics writes what became of stalls at an entry instance.
func writeStallMetrics(re *replica.Balancer) MetricsWriter {
	return func(wr io.Writer) {
		co := re.StallCounts()
		vm.WriteCounterUint64(wr, "balsamwinch_stalls_reported_total", co.Reported)
		vm.WriteCounterUint64(wr, "balsamwinch_stalls_heard_total", co.Heard)
		vm.WriteCounterUint64(wr, "balsamwinch_stalls_avoided_total", co.Avoided)
		vm.WriteCounterUint64(wr, "balsamwinch_stall_forecasts_contradicted_total", co.Quick)
		vm.WriteCounterUint64(wr, "balsamwinch_stall_checks_ignored_total", co.Ignored)
	}
}

// writeStallShareMetrics writes what a control instance received and published.
func writeStallShareMetrics(pu *feed.Publisher) MetricsWriter {
	return func(wr io.Writer) {
		co := pu.StallCounts()
		vm.WriteCounterUint64(wr, "balsamwinch_stall_observations_total", co.Heard)
		vm.WriteCounterUint64(wr, "balsamwinch_stalls_published_total", co.Published)
		vm.WriteCounterUint64(wr, "balsamwinch_stall_forecasts_made_total", co.Forecasts.Made)
		vm.WriteCounterUint64(wr, `balsamwinch_stall_forecasts_judged_total{result="right"}`, co.Forecasts.Right)
		vm.WriteCounterUint64(wr, `balsamwinch_stall_forecasts_judged_total{result="wrong"}`, co.Forecasts.Wrong)
	}
}
