package instance

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"balsamwinch.example/operator"
	"balsamwinch.example/peer"
)

// registerMetrics registers the gauges of the control path.
func (in *Instance) registerMetrics() {
	in.set.NewGauge("balsamwinch_revision", func() float64 {
		return float64(in.ce.Load().Configuration.Revision)
	})
	in.set.NewGauge("balsamwinch_lease_seconds", func() float64 {
		return max(0, in.ce.Load().LeaseExpiry.Sub(in.ts.Now()).Seconds())
	})
	in.set.NewGauge("balsamwinch_instances", func() float64 {
		return float64(len(in.ce.Load().Instances))
	})
	in.set.NewGauge("balsamwinch_backend_servers", func() float64 {
		return float64(len(in.ce.Load().Servers))
	})
	in.set.NewGauge("balsamwinch_control_term", func() float64 {
		return float64(in.threadStatus().control.Term)
	})
	in.set.NewGauge("balsamwinch_control_leads", func() float64 {
		if in.threadStatus().leads {
			return 1
		}
		return 0
	})
	in.registerTrafficMetrics("Quorum", func(co peer.Counters) peer.Traffic { return co.Quorum })
	in.registerTrafficMetrics("Control", func(co peer.Counters) peer.Traffic { return co.Control })
	in.registerTrafficMetrics("Member", func(co peer.Counters) peer.Traffic { return co.Member })
}

func (in *Instance) registerTrafficMetrics(name string, selectTraffic func(peer.Counters) peer.Traffic) {
	gauge := func(metric, direction string, value func(peer.Traffic) uint64) {
		in.set.NewGauge(fmt.Sprintf("balsamwinch_peer_%s{range=%q,way=%q}", metric, name, direction), func() float64 {
			return float64(value(selectTraffic(in.pe.Counters())))
		})
	}
	gauge("messages_total", "in", func(tr peer.Traffic) uint64 { return tr.MessagesIn })
	gauge("messages_total", "out", func(tr peer.Traffic) uint64 { return tr.MessagesOut })
	gauge("bytes_total", "in", func(tr peer.Traffic) uint64 { return tr.BytesIn })
	gauge("bytes_total", "out", func(tr peer.Traffic) uint64 { return tr.BytesOut })
}

// threadStatus asks the control thread for its status, and returns an empty one if it does not
// reply in time.
func (in *Instance) threadStatus() threadStatus {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := make(chan threadStatus, 1)
	if err := in.th.post(ctx, statusRequested{reply: reply}); err != nil {
		return threadStatus{}
	}
	select {
	case ss := <-reply:
		return ss
	case <-ctx.Done():
		return threadStatus{}
	}
}

// operatorHandler serves operators, metrics and health.
func (in *Instance) operatorHandler() http.Handler {
	mu := http.NewServeMux()
	mu.Handle("/", operator.NewServer(in, in.lg))
	mu.HandleFunc("GET /metrics", func(rw http.ResponseWriter, _ *http.Request) {
		in.set.WritePrometheus(rw)
	})
	mu.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(rw, "OK")
	})
	mu.HandleFunc("GET /readyz", in.readyz)
	return mu
}

// readyz reports whether callers sent here would be served, and if not, why.
func (in *Instance) readyz(rw http.ResponseWriter, _ *http.Request) {
	vi := in.ce.Load()
	switch {
	case vi.Draining:
		http.Error(rw, "draining", http.StatusServiceUnavailable)
	case !vi.Leased(in.ts.Now()):
		http.Error(rw, "no lease from control", http.StatusServiceUnavailable)
	case vi.Configuration.Revision == 0:
		http.Error(rw, "no configuration", http.StatusServiceUnavailable)
	default:
		fmt.Fprintf(rw, "OK revision %d, lease %s\n", vi.Configuration.Revision, vi.LeaseExpiry.Sub(in.ts.Now()).Round(time.Millisecond))
	}
}
