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

// Target says which backend server a request goes to and how many connections
// to it this instance may hold.
type Target struct {
	Server         string
	Address        string // Address is an IP number and port.
	Incarnation    uint64
	MaxConnections int // Connections is this instance's share of the connection limit.
	// SilentAfter is how long a connection may make no progress while a request
	// waits before it is abandoned; 0 takes the client's setting. It should be well
	// above the slowest healthy reply: a false alarm costs the idle connections.
	SilenceTimeout time.Duration
	// ProvedSince refuses idle connections on which nothing has come since then.
	ReplySince time.Time
	// LateAfter is after how long a reply is late; 0 says nothing. The Cancel of a
	// late request goes over a connection proved to work, unless the backend server
	// was heard over another of the same age in that time.
	LateThreshold time.Duration
}

// ClientConfig holds the settings of a Client. A zero field takes its default.
type ClientConfig struct {
	SilenceTimeout time.Duration // SilentAfter is the default of Target.SilentAfter; 0 waits until the deadline.
	DialTimeout    time.Duration // DialTimeout bounds the opening of a connection; default 1 s.
	// IdleAfter is when an idle connection is closed; default 60 s. It should be
	// below the idle timeout of the backend servers.
	IdleTimeout time.Duration
	// Linger is how long the connection of a request that was given up waits for
	// the late reply, to be used again after it; default 1 s.
	LingerTimeout time.Duration
	// CloseWait is how long a closed connection counts as open at most, until the
	// backend server confirms the end; default 50 ms.
	CloseTimeout time.Duration
	// CancelWait is how long the reply to a Cancel may take before it is sent
	// again on a new connection; default 100 ms.
	CancelTimeout time.Duration
	MaxReplyBytes int64 // MaxReplyBytes bounds the body of a reply; default 16 MiB.
	// Dial opens a connection to an IP number and port; default TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Settled, if not nil, is told once for each request whose Do returned an
	// Error with Sent, on a goroutine of its own.
	OnAbandoned func(AbandonedRequest)
}

// Settlement says what is known of a request that was given up after bytes of
// it may have left.
type AbandonedRequest struct {
	Server    string
	RequestID string
	// Stopped reports whether the backend server said that it no longer runs the
	// request: by a late reply to it or by its answer to a Cancel.
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
		cf.CloseTimeout = 50 * time.Millisecond
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
	Open        int    // Open counts connections being dialed, open and being closed.
	Idle        int    // Idle counts those that carry no request.
	Lingering   int    // Lingering counts those that wait for a reply nobody else waits for.
	Closing     int    // Closing counts those whose end is not confirmed yet.
	Opened      uint64 // Opened counts those ever opened.
	Silent      uint64 // Abandoned counts those closed because they went silent.
	Mismatched  uint64 // Crossed counts those closed after a reply to another request.
	Unconfirmed uint64 // Unconfirmed counts those that the backend server may still count as open.
	Lost        uint64 // Lost counts those closed because a request was lost on them.
}

// Client sends requests to backend servers over HTTP/1.1. It holds the
// connections itself, with the request writer and reply reader of net/http, so
// that none is opened, shared or tried again behind the caller's back.
//
// A request that finds the share of connections in use fails at once with
// NoConnection: queueing happens at the entry, where another replica can be
// chosen. It waits only for connections that are being closed.
type Client struct {
	cf ClientConfig
	ts *timer.Service
	lg *zap.Logger

	mu     sync.RWMutex
	pools  map[string]*pool
	closed bool
}

// NewClient returns a client that holds no connections yet.
func NewClient(ts *timer.Service, lg *zap.Logger, cf ClientConfig) *Client {
	return &Client{cf: cf.withDefaults(), ts: ts, lg: lg, pools: make(map[string]*pool)}
}

// Do sends a request and returns the backend server's reply to it, of whatever
// reply code. The time left of the context's deadline goes along in the
// request. The error is an *Error. Once bytes may have left, the request is never
// sent again.
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
		// The server may have closed the connection while it was idle. Nothing
		// left on it, so another connection takes the request.
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
	defer po.endBrief()
	cr, er := po.cancel(ctx, cn, ta, requestID)
	if er != nil {
		return CancelReply{}, er
	}
	return cr, nil
}

// Retain closes the connections to servers that are not among the given ones,
// idle ones at once and others after their request, and takes over addresses
// and shares of the rest.
func (cl *Client) SetTargets(servers map[string]Target) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for na, po := range cl.pools {
		ta, ok := servers[na]
		if ok {
			po.retain(ta)
			continue
		}
		// A pool is forgotten only once nothing of it counts as open, or a server
		// that comes back would get its connections on top of the old ones.
		if po.retire() {
			delete(cl.pools, na)
		}
	}
}

// Close closes all connections as Retain does for an empty set. Requests from
// then on get NoConnection.
func (cl *Client) Close() {
	cl.mu.Lock()
	cl.closed = true
	cl.mu.Unlock()
	cl.SetTargets(nil)
}

// Stats counts the connections to a backend server.
func (cl *Client) Stats(server string) ConnStats {
	cl.mu.RLock()
	po := cl.pools[server]
	cl.mu.RUnlock()
	if po == nil {
		return ConnStats{}
	}
	return po.stats()
}

// Heard returns when a whole reply last came from a backend server over a
// connection that was open when the one that carries the request last worked;
// zero if none did. Those opened since don't count: they may work while all
// that were open have gone silent.
func (cl *Client) LastReply(server, requestID string) time.Time {
	cl.mu.RLock()
	po := cl.pools[server]
	cl.mu.RUnlock()
	if po == nil {
		return time.Time{}
	}
	return po.heard(requestID)
}

// Servers returns the names of the servers to which connections are held.
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

func (cl *Client) acquire(ctx context.Context, ta Target, us use) (*pool, *conn, *Error) {
	for {
		if ctx.Err() != nil {
			return nil, nil, contextError(ctx, ta.Server, false)
		}
		po := cl.pool(ta)
		if po == nil {
			return nil, nil, &Error{Kind: NoConnection, Server: ta.Server, Err: errClientClosed}
		}
		cn, er := po.acquire(ctx, ta, us)
		if er == nil || !errors.Is(er, errPoolGone) {
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

// contextError returns the error of a request whose context ended.
func contextError(ctx context.Context, server string, sent bool) *Error {
	kind := Cancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = Deadline
	}
	return &Error{Kind: kind, Server: server, Sent: sent, Err: context.Cause(ctx)}
}
