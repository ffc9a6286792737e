package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"sync"
	"syscall"
	"time"

	"balsamwinch.example/timer"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 2 << 10
	// keptBytes is the largest body buffer that an idle connection keeps.
	keptBytes = 64 << 10
)

var (
	errSilent  = errors.New("no progress")
	errTooLong = errors.New("reply too long")
)

// requestHeader is shared by all requests and never changed.
var requestHeader = http.Header{
	"Content-Type": {"application/json"},
	"User-Agent":   {"balsamwinch"},
}

// conn is one HTTP/1.1 connection. It carries one request at a time and is used
// by one goroutine at a time, but for evict and interrupt.
type conn struct {
	nc       net.Conn
	raw      syscall.RawConn // raw is nil if nc has no descriptor.
	ta       Target
	ts       *timer.Service
	maxReply int64
	opened   time.Time
	rd       *bufio.Reader
	wr       *bufio.Writer
	hr       http.Request
	out      requestBody
	in       bytes.Buffer

	used     bool          // used says that the connection has carried a request.
	reusable bool          // reusable says that the last exchange left it clean.
	carries  string        // carries is the id of the request that it carries; the pool's lock guards it.
	sentAt   time.Time     // sentAt is when the last request was begun.
	proof    time.Time     // proof is when the connection last made progress.
	proved   time.Time     // proved is when a whole reply last came, or the opening; the pool's lock guards it.
	sent     bool          // sent says that the whole request was written.
	got      int           // got counts the bytes of the reply.
	silent   time.Duration // silent is how long it may make none; 0 for ever.
	until    time.Time     // until is the deadline of the exchange; zero for none.
	wrote    int           // wrote counts the bytes of the request that may have left.
	ioErr    error         // ioErr is the last error of the connection itself.

	mu          sync.Mutex
	interrupted bool          // interrupted says that the context of the exchange ended.
	evicted     bool          // evicted says that the pool wants the connection's place.
	fired       chan struct{} // fired gets one value when interrupt has run.
	interrupt   func()
	probe       func(fd uintptr)
	probeByte   [1]byte
	probed      error // probed is the result of the last probe.
}

// requestBody is the body of a request, encoded once into memory.
type requestBody struct {
	bytes.Buffer
}

// Close does nothing.
func (rb *requestBody) Close() error { return nil }

func newConn(nc net.Conn, ta Target, ts *timer.Service, maxReply int64) *conn {
	cn := &conn{nc: nc, ta: ta, ts: ts, maxReply: maxReply, opened: ts.Now(), fired: make(chan struct{}, 1)}
	cn.proof, cn.proved = cn.opened, cn.opened
	cn.rd = bufio.NewReaderSize(readSide{cn}, readBuffer)
	cn.wr = bufio.NewWriterSize(writeSide{cn}, writeBuffer)
	cn.interrupt = cn.onContextEnd
	cn.probe = func(fd uintptr) { _, cn.probed = syscall.Read(int(fd), cn.probeByte[:]) }
	cn.hr = http.Request{
		Method: http.MethodPost, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Host: ta.Address, URL: &url.URL{Scheme: "http", Host: ta.Address}, Header: requestHeader,
	}
	if sc, ok := nc.(syscall.Conn); ok {
		cn.raw, _ = sc.SyscallConn()
	}
	return cn
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	// A name would be looked up on every dial, and could lead elsewhere.
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, err
	}
	var di net.Dialer
	return di.DialContext(ctx, "tcp", address)
}

// exchange sends one request and returns the body of the reply, which is valid
// until the next exchange. The error's kind is Cut, Silent, Cancelled, Deadline
// or Malformed.
func (cn *conn) exchange(ctx context.Context, path string, message any, silent time.Duration) ([]byte, *Error) {
	cn.begin(ctx, silent)
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, cn.interrupt)
		defer cn.end(stop)
	}
	if er := cn.send(ctx, path, message); er != nil {
		return nil, er
	}
	if _, err := cn.rd.Peek(1); err != nil {
		return nil, cn.failure(ctx, err)
	}
	return cn.receive(ctx)
}

func (cn *conn) begin(ctx context.Context, silent time.Duration) {
	cn.sentAt = cn.ts.Now()
	cn.silent = silent
	cn.until, _ = ctx.Deadline()
	cn.wrote, cn.got = 0, 0
	cn.sent = false
	cn.ioErr = nil
	cn.reusable = false
	cn.used = true
}

func (cn *conn) end(stop func() bool) {
	if stop() {
		return
	}
	// The interruption has begun. It must be over before the connection goes to
	// another request, which it would hit instead.
	<-cn.fired
	cn.mu.Lock()
	cn.interrupted = false
	cn.mu.Unlock()
}

func (cn *conn) onContextEnd() {
	cn.mu.Lock()
	cn.interrupted = true
	_ = cn.nc.SetDeadline(time.Unix(1, 0))
	cn.mu.Unlock()
	cn.fired <- struct{}{}
}

func (cn *conn) send(ctx context.Context, path string, message any) *Error {
	cn.out.Reset()
	en := json.NewEncoder(&cn.out)
	en.SetEscapeHTML(false)
	if err := en.Encode(message); err != nil {
		cn.reusable = true
		return &Error{Kind: Malformed, Server: cn.ta.Server, Err: err}
	}
	cn.hr.URL.Path = path
	cn.hr.Body = &cn.out
	cn.hr.ContentLength = int64(cn.out.Len())
	err := cn.hr.Write(cn.wr)
	if err == nil {
		err = cn.wr.Flush()
	}
	if err != nil {
		return cn.failure(ctx, err)
	}
	cn.sent = true
	return nil
}

func (cn *conn) receive(ctx context.Context) ([]byte, *Error) {
	rs, err := http.ReadResponse(cn.rd, &cn.hr)
	if err != nil {
		return nil, cn.failure(ctx, err)
	}
	cn.in.Reset()
	_, err = cn.in.ReadFrom(io.LimitReader(rs.Body, cn.maxReply+1))
	if err != nil {
		return nil, cn.failure(ctx, err)
	}
	if int64(cn.in.Len()) > cn.maxReply {
		return nil, cn.malformed(errTooLong)
	}
	if rs.StatusCode != http.StatusOK {
		return nil, cn.malformed(fmt.Errorf("status %d", rs.StatusCode))
	}
	// Bytes behind the reply are a second reply to this request. The next request
	// would take them for its own, so the connection has carried its last one.
	cn.reusable = !rs.Close && cn.rd.Buffered() == 0
	return cn.in.Bytes(), nil
}

// failure classifies an error of the exchange.
func (cn *conn) failure(ctx context.Context, err error) *Error {
	er := &Error{Kind: Cut, Server: cn.ta.Server, Sent: cn.wrote > 0, Err: err}
	switch {
	case cn.ioErr == nil:
		er.Kind = Malformed
	case ctx.Err() != nil:
		return contextError(ctx, cn.ta.Server, er.Sent)
	case !errors.Is(cn.ioErr, os.ErrDeadlineExceeded):
	case cn.isEvicted():
		er.Kind = Cancelled
	case !cn.until.IsZero() && !cn.ts.Now().Before(cn.until):
		er.Kind, er.Err = Deadline, context.DeadlineExceeded
	default:
		er.Kind, er.Err = Silent, errSilent
	}
	return er
}

func (cn *conn) malformed(err error) *Error {
	return &Error{Kind: Malformed, Server: cn.ta.Server, Sent: true, Err: err}
}

// resumable reports whether the reply of a failed exchange may still come whole:
// the request left whole, and nothing of the reply has been read.
func (cn *conn) resumable() bool {
	return cn.sent && cn.got == 0 && errors.Is(cn.ioErr, os.ErrDeadlineExceeded)
}

// resume waits for the reply of an exchange whose caller gave up.
func (cn *conn) resume(wait time.Duration) ([]byte, *Error) {
	cn.until = cn.ts.Now().Add(wait)
	cn.silent = 0
	cn.ioErr = nil
	ctx := context.Background()
	if _, err := cn.rd.Peek(1); err != nil {
		return nil, cn.failure(ctx, err)
	}
	return cn.receive(ctx)
}

// evict ends the wait of a lingering connection and reports whether it had not
// been ended before.
func (cn *conn) evict() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.evicted {
		return false
	}
	cn.evicted = true
	_ = cn.nc.SetDeadline(time.Unix(1, 0))
	return true
}

func (cn *conn) isEvicted() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.evicted
}

// quiet reports whether an idle connection still lives and nothing has come in
// on it. A read without waiting tells: the end of the connection, which a server
// may give while it is idle, and a late or doubled reply both show as anything
// but "would block", and neither may meet the next request.
func (cn *conn) quiet() bool {
	if cn.raw == nil {
		return true
	}
	cn.probed = nil
	err := cn.raw.Control(cn.probe)
	return err == nil && cn.probed == syscall.EAGAIN
}

// close ends the connection and reports whether the backend server has confirmed
// the end within the wait.
func (cn *conn) close(wait time.Duration) bool {
	defer cn.nc.Close()
	hc, ok := cn.nc.(interface{ CloseWrite() error })
	if !ok {
		return true
	}
	if err := hc.CloseWrite(); err != nil {
		return true
	}
	_ = cn.nc.SetReadDeadline(cn.ts.Now().Add(wait))
	_, err := io.Copy(io.Discard, cn.nc)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// arm sets the deadline of the next read or write: the exchange's, or sooner if
// the connection may not go without progress that long.
func (cn *conn) arm() {
	at := cn.until
	if cn.silent > 0 {
		if by := cn.ts.Now().Add(cn.silent); at.IsZero() || by.Before(at) {
			at = by
		}
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.interrupted && !cn.evicted {
		_ = cn.nc.SetDeadline(at)
	}
}

// readSide and writeSide let the buffers of a conn read and write under its
// deadlines and counters.
type (
	readSide  struct{ cn *conn }
	writeSide struct{ cn *conn }
)

// Read reads from the connection.
func (rs readSide) Read(bs []byte) (int, error) {
	cn := rs.cn
	cn.arm()
	nu, err := cn.nc.Read(bs)
	if nu > 0 {
		cn.got += nu
		cn.proof = cn.ts.Now()
	}
	if err != nil {
		cn.ioErr = err
	}
	return nu, err
}

// Write writes to the connection. Bytes that the system took may have left.
func (ws writeSide) Write(bs []byte) (int, error) {
	cn := ws.cn
	cn.arm()
	nu, err := cn.nc.Write(bs)
	cn.wrote += nu
	if err != nil {
		cn.ioErr = err
	}
	return nu, err
}
