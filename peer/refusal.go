package peer

import (
	"context"
	"net"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
)

// watchRefusal logs an incoming connection if it ends because its key was rejected. The context
// is that of the connection and ends with it.
//
// quic-go drops a connection that has ended before its goroutine could queue it for Accept, so
// on a loaded machine serveConn doesn't see each one.
func (pe *Peer) watchRefusal(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	context.AfterFunc(ctx, func() { pe.logRefusal(info.RemoteAddr, context.Cause(ctx)) })
	return ctx, nil
}

// logRefusal logs a rejected connection. The rate is limited, so that a peer that retries does
// not flood the log.
func (pe *Peer) logRefusal(address net.Addr, cause error) {
	er := transportError(context.Background(), cause, Lost)
	if er.Kind != BadKey {
		return
	}
	pe.refusalLimiter.Do(func() {
		pe.lg.Warn("connection rejected: missing or invalid key",
			zap.String("address", address.String()), zap.Error(er.Err))
	})
}
