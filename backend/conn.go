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
	readBufferBytes  = 4 << 10
	writeBufferBytes = 2 << 10
	// Largest body buffer that an idle connection keeps.
	maxKeptBufferBytes = 64 << 10
)

var (
	errSilent       = errors.New("connection made no progress")
	errReplyTooLong = errors.New("reply too long")
)

// requestHeader is shared by all requests and never modified.
var requestHeader = http.Header{
	"Content-Type": {"application/json"},
	"User-Agent":   {"balsamwinch"},
}

// conn is one HTTP/1.1 connection. It carries one request at a time. Only one
// goroutine at a time may use it, except for evict and interrupt.
type conn struct {
	nc          net.Conn
	raw         syscall.RawConn // nil if nc has no file descriptor
	ta          Target
	ts          *timer.Service
	maxReply    int64
	opened      time.Time
	rd          *bufio.Reader
	wr          *bufio.Writer
	hr          http.Request
	requestBody bodyBuffer
	replyBody   bytes.Buffer

	used           bool          // whether the connection has carried a request
	reusable       bool          // whether the last exchange left the connection clean
	requestID      string        // id of the request that the connection carries; guarded by the pool's lock
	sentAt         time.Time     // when the last request was started
	lastProgress   time.Time     // when the connection last made progress
	lastReply      time.Time     // when a complete reply last came, or the connection was opened; guarded by the pool's lock
	sent           bool          // whether the whole request was written
	bytesRead      int           // bytes of the reply read
	silenceTimeout time.Duration // how long the connection may make no progress; 0 for no limit
	deadline       time.Time     // of the exchange; zero for none
	bytesWritten   int           // bytes of the request that may have been sent
	ioErr          error         // last error of the connection itself

	mu            sync.Mutex
	interrupted   bool          // whether the context of the exchange ended
	evicted       bool          // whether the pool needs the connection's place
	interruptDone chan struct{} // receives one value when interrupt has run
	interrupt     func()
	probe         func(fd uintptr)
	probeByte     [1]byte
	probeErr      error // result of the last probe
}

// bodyBuffer holds the body of a request, encoded once into memory.
type bodyBuffer struct {
	bytes.Buffer
}

// Close implements io.Closer and does nothing.
func (rb *bodyBuffer) Close() error { return nil }

func newConn(nc net.Conn, ta Target, ts *timer.Service, maxReply int64) *conn {
	cn := &conn{nc: nc, ta: ta, ts: ts, maxReply: maxReply, opened: ts.Now(), interruptDone: make(chan struct{}, 1)}
	cn.lastProgress, cn.lastReply = cn.opened, cn.opened
	cn.rd = bufio.NewReaderSize(connReader{cn}, readBufferBytes)
	cn.wr = bufio.NewWriterSize(connWriter{cn}, writeBufferBytes)
	cn.interrupt = cn.onContextDone
	cn.probe = func(fd uintptr) { _, cn.probeErr = syscall.Read(int(fd), cn.probeByte[:]) }
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
	// Host names are rejected: they would be resolved on every dial and could
	// lead to another server.
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, err
	}
	var di net.Dialer
	return di.DialContext(ctx, "tcp", address)
}

// exchange sends one request and returns the body of the reply, which is valid
// until the next exchange. The error's kind is Cut, Silent, Cancelled, Deadline
// or Malformed.
func (cn *conn) exchange(ctx context.Context, path string, message any, silenceTimeout time.Duration) ([]byte, *Error) {
	cn.begin(ctx, silenceTimeout)
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, cn.interrupt)
		defer cn.end(stop)
	}
	if er := cn.send(ctx, path, message); er != nil {
		return nil, er
	}
	if _, err := cn.rd.Peek(1); err != nil {
		return nil, cn.classifyError(ctx, err)
	}
	return cn.receive(ctx)
}

func (cn *conn) begin(ctx context.Context, silenceTimeout time.Duration) {
	cn.sentAt = cn.ts.Now()
	cn.silenceTimeout = silenceTimeout
	cn.deadline, _ = ctx.Deadline()
	cn.bytesWritten, cn.bytesRead = 0, 0
	cn.sent = false
	cn.ioErr = nil
	cn.reusable = false
	cn.used = true
}

func (cn *conn) end(stop func() bool) {
	if stop() {
		return
	}
	// The interruption has begun. It must finish before the connection carries
	// another request, or it would interrupt that one instead.
	<-cn.interruptDone
	cn.mu.Lock()
	cn.interrupted = false
	cn.mu.Unlock()
}

func (cn *conn) onContextDone() {
	cn.mu.Lock()
	cn.interrupted = true
	_ = cn.nc.SetDeadline(time.Unix(1, 0))
	cn.mu.Unlock()
	cn.interruptDone <- struct{}{}
}

func (cn *conn) send(ctx context.Context, path string, message any) *Error {
	cn.requestBody.Reset()
	en := json.NewEncoder(&cn.requestBody)
	en.SetEscapeHTML(false)
	if err := en.Encode(message); err != nil {
		cn.reusable = true
		return &Error{Kind: Malformed, Server: cn.ta.Server, Err: err}
	}
	cn.hr.URL.Path = path
	cn.hr.Body = &cn.requestBody
	cn.hr.ContentLength = int64(cn.requestBody.Len())
	err := cn.hr.Write(cn.wr)
	if err == nil {
		err = cn.wr.Flush()
	}
	if err != nil {
		return cn.classifyError(ctx, err)
	}
	cn.sent = true
	return nil
}

func (cn *conn) receive(ctx context.Context) ([]byte, *Error) {
	rs, err := http.ReadResponse(cn.rd, &cn.hr)
	if err != nil {
		return nil, cn.classifyError(ctx, err)
	}
	cn.replyBody.Reset()
	_, err = cn.replyBody.ReadFrom(io.LimitReader(rs.Body, cn.maxReply+1))
	if err != nil {
		return nil, cn.classifyError(ctx, err)
	}
	if int64(cn.replyBody.Len()) > cn.maxReply {
		return nil, cn.malformed(errReplyTooLong)
	}
	if rs.StatusCode != http.StatusOK {
		return nil, cn.malformed(fmt.Errorf("status %d", rs.StatusCode))
	}
	// Bytes after the reply are a second reply to this request. The next request
	// would take them for its own, so the connection is not reused.
	cn.reusable = !rs.Close && cn.rd.Buffered() == 0
	return cn.replyBody.Bytes(), nil
}

// classifyError converts an error of the exchange into an Error of the matching
// kind.
func (cn *conn) classifyError(ctx context.Context, err error) *Error {
	er := &Error{Kind: Cut, Server: cn.ta.Server, Sent: cn.bytesWritten > 0, Err: err}
	switch {
	case cn.ioErr == nil:
		er.Kind = Malformed
	case ctx.Err() != nil:
		return contextError(ctx, cn.ta.Server, er.Sent)
	case !errors.Is(cn.ioErr, os.ErrDeadlineExceeded):
	case cn.isEvicted():
		er.Kind = Cancelled
	case !cn.deadline.IsZero() && !cn.ts.Now().Before(cn.deadline):
		er.Kind, er.Err = Deadline, context.DeadlineExceeded
	default:
		er.Kind, er.Err = Silent, errSilent
	}
	return er
}

func (cn *conn) malformed(err error) *Error {
	return &Error{Kind: Malformed, Server: cn.ta.Server, Sent: true, Err: err}
}

// resumable reports whether the reply of a failed exchange may still arrive
// completely: the whole request was sent, and nothing of the reply has been
// read.
func (cn *conn) resumable() bool {
	return cn.sent && cn.bytesRead == 0 && errors.Is(cn.ioErr, os.ErrDeadlineExceeded)
}

// resume waits for the reply of an exchange that its caller abandoned.
func (cn *conn) resume(wait time.Duration) ([]byte, *Error) {
	cn.deadline = cn.ts.Now().Add(wait)
	cn.silenceTimeout = 0
	cn.ioErr = nil
	ctx := context.Background()
	if _, err := cn.rd.Peek(1); err != nil {
		return nil, cn.classifyError(ctx, err)
	}
	return cn.receive(ctx)
}

// evict ends the wait of a lingering connection and reports whether this call
// ended it.
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

// usable reports whether an idle connection is still open and nothing has
// arrived on it. It checks with a non-blocking read. A close by the server
// while the connection was idle, and a late or duplicate reply, give a result
// other than "would block", and neither may reach the next request.
func (cn *conn) usable() bool {
	if cn.raw == nil {
		return true
	}
	cn.probeErr = nil
	err := cn.raw.Control(cn.probe)
	return err == nil && cn.probeErr == syscall.EAGAIN
}

// close closes the connection and reports whether the backend server confirmed
// the close within the wait.
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

// setDeadline sets the deadline of the next read or write: the exchange's, or
// the end of the silence timeout if that is sooner.
func (cn *conn) setDeadline() {
	at := cn.deadline
	if cn.silenceTimeout > 0 {
		if by := cn.ts.Now().Add(cn.silenceTimeout); at.IsZero() || by.Before(at) {
			at = by
		}
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.interrupted && !cn.evicted {
		_ = cn.nc.SetDeadline(at)
	}
}

// connReader and connWriter let the buffers of a conn read and write with its
// deadlines and counters.
type (
	connReader struct{ cn *conn }
	connWriter struct{ cn *conn }
)

// Read reads from the connection.
func (cr connReader) Read(bs []byte) (int, error) {
	cn := cr.cn
	cn.setDeadline()
	nu, err := cn.nc.Read(bs)
	if nu > 0 {
		cn.bytesRead += nu
		cn.lastProgress = cn.ts.Now()
	}
	if err != nil {
		cn.ioErr = err
	}
	return nu, err
}

// Write writes to the connection. Bytes accepted by the operating system may
// have been sent.
func (cw connWriter) Write(bs []byte) (int, error) {
	cn := cw.cn
	cn.setDeadline()
	nu, err := cn.nc.Write(bs)
	cn.bytesWritten += nu
	if err != nil {
		cn.ioErr = err
	}
	return nu, err
}
