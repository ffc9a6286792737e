package tier

import (
	"context"
	"net"

	"go.uber.org/zap"

	"balsamwinch.example/gateway"
	"balsamwinch.example/timer"
	"balsamwinch.example/upstream"
)

// SetListen replaces the function that opens listeners of instances, until restore is
// called.
func SetListen(open func(network, address string) (net.Listener, error)) (restore func()) {
	was := openListener
	openListener = open
	return func() { openListener = was }
}

// QuotaClient returns the quotas of an entry instance that keeps links and does not accept
// the callers of its listener. Serve runs it until the context ends.
func QuotaClient(se Settings, di Dialect, li net.Listener) (quotas gateway.Quotas, serve func(context.Context)) {
	ts, lg := timer.New(), zap.NewNop()
	up := upstream.New(upstream.Config{Names: di.HeaderNames().Upstream()}, ts, lg)
	en := newEntry(se, newLiveSettings(se), di, linkConfig(se.Timing, ts), up, ts, lg)
	en.callers = newCallerServer(li, en.gw, ts, lg)
	return en.qc, func(ctx context.Context) { _ = en.su.Serve(ctx) }
}
