// Package upstream exchanges HTTP/1.1 requests with backend servers over its own
// connection pools. It sends a request at most once, on one connection, reports whether
// any byte of it may have been sent, and never sends it again after that. The caller
// chooses the server and decides about retries.
//
// A connection carries one request at a time. It is closed and never reused after any
// error on it.
package upstream

import (
	"context"
	"net"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/memory"
	"balsamwinch.example/timer"
)

// defaults of Config
const (
	defaultDialTimeout   = 300 * time.Millisecond
	defaultIdleTimeout   = 30 * time.Second
	defaultMaxReplyBytes = 8 << 20
	defaultBodyMemory    = 64 << 20
)

// Names holds the names of the headers that the client itself reads or writes. A header
// with an empty name is neither read nor written.
type Names struct {
	RequestID string // request ID, in requests and replies
	Deadline  string // time left, in whole milliseconds, sent to the server
	Expect    string // ID of the server that a request is meant for
	Stamp     string // server's signature of its reply
	NotRun    string // sent by a server that didn't run the request
	Load      string // load of the server
	Customer  string // name of the customer that a request is for, sent to the server
}

// Config configures a Client. Zero fields take their defaults.
type Config struct {
	Names Names
	// DialTimeout bounds the opening of a connection; default 300 ms.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed, unless the server
	// states a shorter one; default 30 s.
	IdleTimeout time.Duration
	// WaitTimeout is how long a request may wait for a free connection while the server's
	// limit is reached; by default it doesn't wait.
	WaitTimeout time.Duration
	// MaxReplyBytes bounds the body of a reply; default 8 MiB.
	MaxReplyBytes int
	// BodyMemory bounds the bytes of all bodies of over 64 KiB that are being received or not
	// yet recycled; default 64 MiB. A body that finds no room ends its exchange.
	BodyMemory int
	// Connect opens a connection to an IP address and port; default is TCP without
	// keep-alive probes.
	Connect func(ctx context.Context, address string) (net.Conn, error)
}

func (cf Config) withDefaults() Config {
	if cf.DialTimeout <= 0 {
		cf.DialTimeout = defaultDialTimeout
	}
	if cf.IdleTimeout <= 0 {
		cf.IdleTimeout = defaultIdleTimeout
	}
	if cf.MaxReplyBytes <= 0 {
		cf.MaxReplyBytes = defaultMaxReplyBytes
	}
	if cf.BodyMemory <= 0 {
		cf.BodyMemory = defaultBodyMemory
	}
	if cf.Connect == nil {
		cf.Connect = connectTCP
	}
	na := &cf.Names
	for _, st := range []*string{&na.RequestID, &na.Deadline, &na.Expect, &na.Stamp, &na.NotRun, &na.Load, &na.Customer} {
		*st = textproto.CanonicalMIMEHeaderKey(*st)
	}
	return cf
}

// Target is the backend server that a request goes to. MaxConnections bounds this
// process's connections to it, including those being opened.
type Target struct {
	ID             string
	Address        string // IP address and port
	Incarnation    int64  // higher for a later start of the server under the same ID and address
	MaxConnections int
	IdleTimeout    time.Duration // time after which an idle connection is closed; 0 for Config.IdleTimeout
}

// Request is a request to a backend server. The client doesn't modify it, and keeps no
// reference to it after Do has returned.
type Request struct {
	Method string
	URI    string // path and query, sent unchanged
	Host   string
	// Header holds the end-to-end headers, including the request ID. Hop-by-hop headers,
	// the framing of the body, and headers that the client sets itself (Names.Deadline,
	// Names.Expect) are left out.
	Header       http.Header
	Body         []byte
	RequestID    string    // the reply must carry this ID; empty disables the check
	Deadline     time.Time // the exchange ends by then; zero for none
	SendTargetID bool      // whether to send the target's ID
	// HasCustomers means that callers are identified by keys: Authorization and
	// Names.Customer of Header are left out, and Names.Customer is sent with the value of
	// Customer unless that is empty.
	HasCustomers bool
	Customer     string

	prepared []byte // head written by Prepare
}

// Reply is a complete reply. The caller owns it.
type Reply struct {
	Status int
	// Header holds the end-to-end headers. It contains Content-Length only if Body
	// doesn't show the length: in a reply to HEAD and with status 304.
	Header  http.Header
	Body    []byte
	Stamp   string
	NotRun  bool // whether the server states that it didn't run the request
	Load    Load
	HasLoad bool

	charge *charge // nil if Body is small
}

// Load is the load that a server reports.
type Load struct {
	Running, Waiting, Slots int
	ServiceTimePercent      int // current service time in percent of the usual one; 0 if unknown
}

// Outcome is the result of an exchange.
type Outcome uint8

// outcomes of an exchange
const (
	// Answered means a complete reply to this request, with any status.
	Answered Outcome = iota
	// NotSent means that no byte of the request can have reached the server. It may be
	// sent to another server even if it isn't idempotent.
	NotSent
	// NotRun means that the server stated that it didn't run the request, by a header or
	// by status 421.
	NotRun
	// Lost means that bytes were sent and no complete reply was received.
	Lost
	// Wrong means that bytes were sent and the reply was to another request or violated
	// the protocol.
	Wrong
	// TimedOut means that the deadline passed. Result.Sent tells whether bytes were sent.
	TimedOut
	// Canceled means that the context was cancelled. Result.Sent tells whether bytes were
	// sent.
	Canceled
	// NoConnection means that no connection was available: all that the target allows are
	// in use, the client is closed, or this process ran out of resources. Nothing was
	// sent.
	NoConnection
)

var outcomeNames = [...]string{
	"Answered", "NotSent", "NotRun", "Lost", "Wrong", "TimedOut", "Canceled", "NoConnection",
}

// String returns the name of the outcome.
func (ou Outcome) String() string {
	if int(ou) < len(outcomeNames) {
		return outcomeNames[ou]
	}
	return "Unknown"
}

// Result is the result of an exchange.
type Result struct {
	Outcome       Outcome
	Reply         *Reply // set for Answered and NotRun
	Err           error  // an *Error for all other outcomes
	Misdirected   bool   // whether another server has the address (status 421)
	NewConnection bool   // whether the connection carried no request before
	Sent          bool   // whether bytes of the request may have reached the server
}

// Client exchanges requests with backend servers. It is safe for concurrent use.
type Client struct {
	cf Config
	ts *timer.Service
	lg *zap.Logger

	memory       *memory.Budget
	exchangePool sync.Pool
	replyPool    sync.Pool // recycled replies

	mu     sync.RWMutex
	pools  map[string]*pool
	closed bool
}

// New returns a client without open connections.
func New(cf Config, ts *timer.Service, lg *zap.Logger) *Client {
	cf = cf.withDefaults()
	return &Client{cf: cf, ts: ts, lg: lg, memory: memory.New(cf.BodyMemory), pools: make(map[string]*pool)}
}

// Prepare writes the part of a request that is the same for all servers, for a request
// that is sent to several of them. The request must not be modified afterwards. If it is
// invalid, Do returns the error.
func (cl *Client) Prepare(rq *Request) {
	const usual = 512
	if head, ok := appendHead(make([]byte, 0, usual), rq, &cl.cf.Names); ok {
		rq.prepared = head
	}
}

// Do sends a request to a server and reads the reply. It returns when the reply is
// complete, at the request's deadline, or when the context ends. In the last two cases it
// closes the connection at once, so that the server drops the request, unless the exchange
// on that connection had not started.
func (cl *Client) Do(ctx context.Context, ta Target, rq *Request) Result {
	ex := cl.newExchange(rq)
	if err := ex.prepare(ta, rq); err != nil {
		cl.freeExchange(ex)
		return Result{Outcome: NotSent, Err: &Error{Server: ta.ID, Address: ta.Address, Err: err}}
	}
	for {
		po, gr := cl.acquire(ctx, ta, rq.Deadline)
		if gr.cn == nil {
			cl.freeExchange(ex)
			return Result{Outcome: gr.outcome, Err: &Error{Server: ta.ID, Address: ta.Address, Err: gr.err}}
		}
		ex.attach(po, gr.cn)
		re, again := ex.run(ctx, ta, rq)
		if !again {
			return re
		}
	}
}

// Recycle takes back a reply that is no longer used, so that its body buffer is reused
// for a later reply.
func (cl *Client) Recycle(ry *Reply) {
	if ry.charge != nil {
		ry.charge.release()
	}
	if cap(ry.Body) > 0 && cap(ry.Body) <= maxPreallocation {
		*ry = Reply{Body: ry.Body[:0]}
		cl.replyPool.Put(ry)
	}
}

// Retain sets the servers in use, by ID. It closes the connections to all others; busy
// ones are closed when their request ends.
func (cl *Client) Retain(tas map[string]Target) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for id, po := range cl.pools {
		if ta, ok := tas[id]; ok {
			po.retain(ta)
			continue
		}
		// A pool is deleted only once none of its connections is open. Otherwise a server
		// that comes back could get its full limit of connections on top of the old ones.
		if po.retire() {
			delete(cl.pools, id)
		}
	}
}

// Connections returns the number of connections to a server, including those being
// opened, and the number of idle ones among them.
func (cl *Client) Connections(id string) (open, idle int) {
	cl.mu.RLock()
	po := cl.pools[id]
	cl.mu.RUnlock()
	if po == nil {
		return 0, 0
	}
	return po.count()
}

// CloseIdle closes the connections whose idle timeout has passed at the given time. They
// aren't reused in any case; closing them frees descriptors here and at the server. A
// call every few seconds is enough.
func (cl *Client) CloseIdle(now time.Time) {
	cl.mu.RLock()
	defer cl.mu.RUnlock()
	for _, po := range cl.pools {
		po.closeExpired(now)
	}
}

// Close closes all connections, busy ones when their request ends. Later requests get
// NoConnection.
func (cl *Client) Close() {
	cl.mu.Lock()
	cl.closed = true
	cl.mu.Unlock()
	cl.Retain(nil)
}

func (cl *Client) acquire(ctx context.Context, ta Target, deadline time.Time) (*pool, grant) {
	for {
		if ctx.Err() != nil {
			return nil, contextGrant(ctx)
		}
		po := cl.pool(ta.ID)
		if po == nil {
			return nil, grant{outcome: NoConnection, err: ErrClosed}
		}
		if gr, ok := po.acquire(ctx, ta, deadline); ok {
			return po, gr
		}
	}
}

// pool returns the pool of a server, or nil if the client is closed.
func (cl *Client) pool(id string) *pool {
	cl.mu.RLock()
	po, closed := cl.pools[id], cl.closed
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
	po = cl.pools[id]
	if po == nil {
		po = &pool{cl: cl, id: id}
		cl.pools[id] = po
	}
	return po
}
