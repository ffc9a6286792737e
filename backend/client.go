package backend

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/timer"
)

// Target identifies the backend server that a request is sent to, and sets the
// limits for the connections to it.
type Target struct {
	Server         string
	Address        string // IP address and port
	Incarnation    uint64
	MaxConnections int // this instance's share of the server's connection limit
	// How long a connection may make no progress during a request before it is
	// abandoned; 0 uses the client's setting. It should be well above the slowest
	// healthy reply, because a false alarm costs the idle connections.
	SilenceTimeout time.Duration
	// Idle connections that have received no reply since then are closed instead
	// of used; zero allows all.
	ReplySince time.Time
	// Time after which a reply is late; 0 disables the check. The Cancel of a
	// late request uses a connection that has received a reply within that time,
	// unless the backend server has replied within it over another connection of
	// the same age.
	LateThreshold time.Duration
}

// ClientConfig holds the settings of a Client. A zero field takes its default.
type ClientConfig struct {
	SilenceTimeout time.Duration // default of Target.SilenceTimeout; 0 waits until the deadline
	DialTimeout    time.Duration // limit for opening a connection; default 1 s
	// Time after which an idle connection is closed; default 60 s. It should be
	// below the idle timeout of the backend servers.
	IdleTimeout time.Duration
	// How long the connection of an abandoned request waits for the late reply,
	// so that it can be reused afterwards; default 1 s.
	LingerTimeout time.Duration
	// How long a closed connection still counts as open at most, until the
	// backend server confirms the close; default 1 s. A server that stands still
	// confirms late and would refuse a connection in place of the closed one;
	// regular pauses last up to 200 ms.
	CloseTimeout time.Duration
	// How long to wait for the reply to a Cancel before it is sent again on a new
	// connection; default 100 ms.
	CancelTimeout time.Duration
	MaxReplyBytes int64 // limit for the body of a reply; default 16 MiB
	// Opens a connection to an IP address and port; default TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// If not nil, called once, on a goroutine of its own, for each request whose
	// Do returned an Error with Sent.
	OnAbandoned func(AbandonedRequest)
}

// AbandonedRequest is what is known about a request that was abandoned after
// some of its bytes may have been sent.
type AbandonedRequest struct {
	Server    string
	RequestID string
	// Whether the backend server confirmed that it no longer runs the request, by
	// a late reply to it or by its reply to a Cancel.
	Stopped bool
}

func (cf ClientConfig) withDefaults() ClientConfig {
	if cf.DialTimeout == 0 {
		cf.DialTimeout = time.Second
	}
	if cf.IdleTimeout == 0 {
		cf.IdleTimeout = time.Minute
	}
	if cf.LingerTimeout == 0 {
		cf.LingerTimeout = time.Second
	}
	if cf.CloseTimeout == 0 {
		cf.CloseTimeout = time.Second
	}
	if cf.CancelTimeout == 0 {
		cf.CancelTimeout = 100 * time.Millisecond
	}
	if cf.MaxReplyBytes == 0 {
		cf.MaxReplyBytes = 16 << 20
	}
	if cf.Dial == nil {
		cf.Dial = dialTCP
	}
	return cf
}

// ConnStats counts the connections to one backend server.
type ConnStats struct {
	Open        int    // being dialed, open or being closed
	Idle        int    // carrying no request
	Lingering   int    // waiting for the late reply to an abandoned request
	Closing     int    // closed, but not yet confirmed by the server
	Opened      uint64 // opened in total
	Silent      uint64 // closed because they went silent
	Mismatched  uint64 // closed after a reply to another request
	Unconfirmed uint64 // closed without confirmation, so the server may still count them as open
	Lost        uint64 // closed because a request was lost on them
}

// Client sends requests to backend servers over HTTP/1.1. It manages the
// connections itself, using the request writer and reply reader of net/http, so
// that none is opened, shared or retried without the caller's knowledge.
//
// If all connections of the share are in use, a request fails at once with
// NoConnection: queueing happens at the entry, where another replica can be
// chosen. A request waits only for connections that are about to become free,
// such as those being closed.
type Client struct {
	cf ClientConfig
	ts *timer.Service
	lg *zap.Logger

	mu     sync.RWMutex
	pools  map[string]*pool
	closed bool
}

// NewClient returns a client without connections.
func NewClient(ts *timer.Service, lg *zap.Logger, cf ClientConfig) *Client {
	return &Client{cf: cf.withDefaults(), ts: ts, lg: lg, pools: make(map[string]*pool)}
}

// Do sends a request and returns the backend server's reply, with any reply
// code. The time left until the context's deadline is sent in the request. The
// error is an *Error. Once bytes may have been sent, the request is never sent
// again.
func (cl *Client) Do(ctx context.Context, ta Target, rq Request) (Reply, error) {
	for {
		po, cn, er := cl.acquire(ctx, ta, forQuery)
		if er != nil {
			return Reply{}, er
		}
		reused := cn.used
		re, er := po.query(ctx, cn, ta, rq)
		if er == nil {
			return re, nil
		}
		// The server may have closed the connection while it was idle. No byte was
		// sent on it, so another connection can take the request.
		if er.Kind == Cut && !er.Sent && reused {
			continue
		}
		return Reply{}, er
	}
}

// Cancel asks the backend server to stop a request, over an idle or a new
// connection within the share. The error is an *Error.
func (cl *Client) Cancel(ctx context.Context, ta Target, requestID string) (CancelReply, error) {
	po, cn, er := cl.acquire(ctx, ta, forCancel)
	if er != nil {
		return CancelReply{}, er
	}
	defer po.cancelDone()
	cr, er := po.cancel(ctx, cn, ta, requestID)
	if er != nil {
		return CancelReply{}, er
	}
	return cr, nil
}

// SetTargets closes the connections to servers that are not among the given
// ones, idle ones at once and others after their request. For the other servers
// it updates addresses and shares.
func (cl *Client) SetTargets(servers map[string]Target) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for na, po := range cl.pools {
		ta, ok := servers[na]
		if ok {
			po.updateTarget(ta)
			continue
		}
		// A pool is removed only when none of its connections counts as open.
		// Otherwise a server that comes back would get new connections in addition
		// to the old ones.
		if po.retire() {
			delete(cl.pools, na)
		}
	}
}

// Close closes all connections, like SetTargets with an empty set. Later
// requests fail with NoConnection.
func (cl *Client) Close() {
	cl.mu.Lock()
	cl.closed = true
	cl.mu.Unlock()
	cl.SetTargets(nil)
}

// Stats returns the connection counts for a backend server.
func (cl *Client) Stats(server string) ConnStats {
	cl.mu.RLock()
	po := cl.pools[server]
	cl.mu.RUnlock()
	if po == nil {
		return ConnStats{}
	}
	return po.stats()
}

// LastReply returns when a complete reply last came from a backend server over
// a connection that was already open when the connection carrying the request
// last worked; zero if none did. Connections opened since then do not count:
// they may work while all older ones have gone silent.
func (cl *Client) LastReply(server, requestID string) time.Time {
	cl.mu.RLock()
	po := cl.pools[server]
	cl.mu.RUnlock()
	if po == nil {
		return time.Time{}
	}
	return po.lastReply(requestID)
}

// Servers returns the sorted names of the servers that have a connection pool.
func (cl *Client) Servers() []string {
	cl.mu.RLock()
	defer cl.mu.RUnlock()
	nas := make([]string, 0, len(cl.pools))
	for na := range cl.pools {
		nas = append(nas, na)
	}
	slices.Sort(nas)
	return nas
}

func (cl *Client) acquire(ctx context.Context, ta Target, pu purpose) (*pool, *conn, *Error) {
	for {
		if ctx.Err() != nil {
			return nil, nil, contextError(ctx, ta.Server, false)
		}
		po := cl.pool(ta)
		if po == nil {
			return nil, nil, &Error{Kind: NoConnection, Server: ta.Server, Err: errClientClosed}
		}
		cn, er := po.acquire(ctx, ta, pu)
		if er == nil || !errors.Is(er, errPoolRemoved) {
			return po, cn, er
		}
	}
}

// pool returns the pool of a server, or nil if the client is closed.
func (cl *Client) pool(ta Target) *pool {
	cl.mu.RLock()
	po, closed := cl.pools[ta.Server], cl.closed
	cl.mu.RUnlock()
	if closed {
		return nil
	}
	if po != nil {
		return po
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.closed {
		return nil
	}
	po = cl.pools[ta.Server]
	if po == nil {
		po = newPool(cl, ta)
		cl.pools[ta.Server] = po
	}
	return po
}

// contextError returns the error for a request whose context ended.
func contextError(ctx context.Context, server string, sent bool) *Error {
	kind := Cancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = Deadline
	}
	return &Error{Kind: kind, Server: server, Sent: sent, Err: context.Cause(ctx)}
}
