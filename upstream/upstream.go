// Package upstream exchanges HTTP/1.1 requests with backend servers over
// connections that it holds itself. It sends a request at most once, on one
// connection, and says for each whether bytes of it left; it never sends one
// again after that. Which server is asked, and what follows a failure, is the
// caller's decision.
//
// A connection carries one request at a time. One on which anything was wrong
// is closed and never used again.
package upstream

import (
	"context"
	"net"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/timer"
)

// Defaults of Config.
const (
	defaultDial       = 300 * time.Millisecond
	defaultIdle       = 30 * time.Second
	defaultReplyBytes = 8 << 20
)

// Names are the names of the headers that the exchange itself reads or writes.
// A header without a name is neither read nor written.
type Names struct {
	RequestID string // RequestID names a request, and in a reply the request that is answered.
	Deadline  string // Deadline tells the server the time left, in whole milliseconds.
	Expect    string // Expect tells the server which one is meant.
	Stamp     string // Stamp is a server's signature of its reply.
	NotRun    string // NotRun is a server's word that it didn't run the request.
	Load      string // Load is how busy the server is.
}

// Config holds the settings of a Client. A zero field takes its default.
type Config struct {
	Names Names
	// Dial bounds the opening of a connection; default 300 ms.
	DialTimeout time.Duration
	// Idle is when an idle connection is closed, unless the server's stated
	// timeout is sooner; default 30 s.
	IdleTimeout time.Duration
	// Wait is how long a request may wait for a connection to come free while all
	// that the server allows are in use; by default it doesn't.
	WaitTimeout time.Duration
	// ReplyBytes bounds the body of a reply; default 8 MiB.
	MaxReplyBytes int
	// Connect opens a connection to an IP address and port; default TCP without
	// keep-alive probes.
	Connect func(ctx context.Context, address string) (net.Conn, error)
}

func (cf Config) withDefaults() Config {
	if cf.DialTimeout <= 0 {
		cf.DialTimeout = defaultDial
	}
	if cf.IdleTimeout <= 0 {
		cf.IdleTimeout = defaultIdle
	}
	if cf.MaxReplyBytes <= 0 {
		cf.MaxReplyBytes = defaultReplyBytes
	}
	if cf.Connect == nil {
		cf.Connect = connectTCP
	}
	na := &cf.Names
	for _, st := range []*string{&na.RequestID, &na.Deadline, &na.Expect, &na.Stamp, &na.NotRun, &na.Load} {
		*st = textproto.CanonicalMIMEHeaderKey(*st)
	}
	return cf
}

// Target says which backend server a request goes to. Connections bounds the
// connections of this process to it, those being opened included.
type Target struct {
	ID             string
	Address        string // Address is an IP address and port.
	Incarnation    int64  // Born tells a later start under the same ID and address from an earlier one; it is higher.
	MaxConnections int
	IdleTimeout    time.Duration // Idle is when an idle connection is closed; 0 for Config.Idle.
}

// Request is one request to a backend server. The exchange doesn't change it,
// and keeps nothing of it after Do returned.
type Request struct {
	Method string
	URI    string // URI is the path and query as they go out.
	Host   string
	// Header holds the end-to-end headers, the request id included. Headers that
	// concern one connection, the body's framing, and those that the exchange
	// sets itself (Names.Deadline, Names.Expect) are left out.
	Header       http.Header
	Body         []byte
	RequestID    string    // RequestID is what the reply must echo; empty checks nothing.
	Deadline     time.Time // Deadline is when the exchange ends at the latest; zero for none.
	SendTargetID bool      // Expect tells the server the id of the target.

	head []byte // head is what Prepare has written.
}

// Reply is a whole reply. The caller owns it.
type Reply struct {
	Status int
	// Header holds the end-to-end headers. Content-Length is in it only if Body
	// doesn't show it: in a reply to HEAD and in status 304.
	Header  http.Header
	Body    []byte
	Stamp   string
	NotRun  bool // NotRun says that the server says that it didn't run the request.
	Load    Load
	HasLoad bool
}

// Load is how busy a server says it is.
type Load struct {
	Running, Waiting, Slots int
	ServiceTimePercent      int // Pace is how long work takes there, 100 as usual; 0 if unknown.
}

// Outcome is how an exchange ended.
type Outcome uint8

// The outcomes of an exchange.
const (
	// Answered is a whole reply to this request, of whatever status.
	Answered Outcome = iota
	// NotSent means that no byte of the request can have reached the server. It
	// may be sent elsewhere even if it may not be repeated.
	NotSent
	// NotRun means that the server itself said that it didn't run the request, by
	// header or by status 421.
	NotRun
	// Lost means that bytes left and no whole reply came.
	Lost
	// Wrong means that bytes left and the reply was to another request or none in
	// the protocol.
	Wrong
	// TimedOut means that the deadline passed; Result.Sent says if bytes left.
	TimedOut
	// Canceled means that the context was cancelled; Result.Sent says if bytes left.
	Canceled
	// NoConnection means that all connections that the target allows are in use.
	// Nothing was sent.
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

// Result is the end of an exchange.
type Result struct {
	Outcome       Outcome
	Reply         *Reply // Reply is set for Answered and NotRun.
	Err           error  // Err is an *Error for all other outcomes.
	Misdirected   bool   // Moved says that the address is another server's (status 421).
	NewConnection bool   // Fresh says that the connection carried no request before.
	Sent          bool   // Sent says that bytes of the request may have reached the server.
}

// Client exchanges requests with backend servers. It is safe for concurrent use.
type Client struct {
	cf Config
	ts *timer.Service
	lg *zap.Logger

	exchanges sync.Pool
	replies   sync.Pool // replies holds those that were recycled.

	mu     sync.RWMutex
	pools  map[string]*pool
	closed bool
}

// New returns a client without connections.
func New(cf Config, ts *timer.Service, lg *zap.Logger) *Client {
	return &Client{cf: cf.withDefaults(), ts: ts, lg: lg, pools: make(map[string]*pool)}
}

// Prepare writes once what is the same for all servers, for a request that goes to
// several. The request may not be changed any more. Do refuses one that can't be
// written.
func (cl *Client) Prepare(rq *Request) {
	const usual = 512
	if head, ok := appendHead(make([]byte, 0, usual), rq, &cl.cf.Names); ok {
		rq.head = head
	}
}

// Do sends a request to a server and reads the reply. It returns when the reply
// is whole, at the request's deadline, or when the context ends; in the last two
// cases the connection is closed at once, so that the server drops the request.
func (cl *Client) Do(ctx context.Context, ta Target, rq *Request) Result {
	ex := cl.newExchange(rq)
	if err := ex.prepare(rq); err != nil {
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

// Recycle takes back a reply that nobody uses any more, its body included: the next
// one is read into it.
func (cl *Client) Recycle(ry *Reply) {
	if cap(ry.Body) > 0 && cap(ry.Body) <= bodyBytes {
		*ry = Reply{Body: ry.Body[:0]}
		cl.replies.Put(ry)
	}
}

// Retain names the servers that are in use, by id. Connections to others are
// closed, busy ones when their request has ended.
func (cl *Client) Retain(tas map[string]Target) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for id, po := range cl.pools {
		if ta, ok := tas[id]; ok {
			po.retain(ta)
			continue
		}
		// A pool is forgotten only once nothing of it is open, or a server that
		// comes back would get its connections on top of the old ones.
		if po.retire() {
			delete(cl.pools, id)
		}
	}
}

// Open counts the connections to a server: all, those being opened included, and
// the idle ones among them.
func (cl *Client) Connections(id string) (open, idle int) {
	cl.mu.RLock()
	po := cl.pools[id]
	cl.mu.RUnlock()
	if po == nil {
		return 0, 0
	}
	return po.count()
}

// CloseIdle closes the connections that have been idle for too long at the given
// time. They are not used any more anyway; this returns their descriptors and the
// server's. A call every few seconds is enough.
func (cl *Client) CloseIdle(now time.Time) {
	cl.mu.RLock()
	defer cl.mu.RUnlock()
	for _, po := range cl.pools {
		po.closeExpired(now)
	}
}

// Close closes all connections, busy ones when their request has ended. Requests
// from then on get NoConnection.
func (cl *Client) Close() {
	cl.mu.Lock()
	cl.closed = true
	cl.mu.Unlock()
	cl.Retain(nil)
}

func (cl *Client) acquire(ctx context.Context, ta Target, until time.Time) (*pool, grant) {
	for {
		if ctx.Err() != nil {
			return nil, contextGrant(ctx)
		}
		po := cl.pool(ta.ID)
		if po == nil {
			return nil, grant{outcome: NoConnection, err: ErrClosed}
		}
		if gr, ok := po.take(ctx, ta, until); ok {
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
