// Package link carries messages between instances over TCP as frames of CBOR:
// a connection keeps their order, and one that falls silent is found within the
// time that its settings name. It knows nothing of what the messages mean, and
// neither authenticates nor encrypts; docs/design/platform.md says where that
// is good enough.
//
// A connection that nothing is sent on costs one goroutine, which reads, and one
// write each Config.Ping. The ping is a frame without content.
package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"balsamwinch.example/peer"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
)

// Bounds of a connection.
const (
	// prefixBytes is the length of a frame's length prefix.
	prefixBytes = 4
	// queueBytes bounds what waits to be written. A reader that stalls must not
	// make the sender's memory grow, so the connection is closed instead.
	queueBytes = 4 << 20
	// bufferBytes is the size of the read buffer.
	bufferBytes = 8 << 10
	// pieceBytes is the most that is written under one deadline.
	pieceBytes = 64 << 10
)

// pingFrame is the frame without content that keeps a connection without
// messages from looking silent.
var pingFrame = make([]byte, prefixBytes)

// Messages returns one zero value of each message of this package, for the
// codec. There are none: a ping is a frame without a message.
func Messages() []peer.Message { return nil }

// Config is what connections need.
type Config struct {
	Codec          *peer.Codec    // Codec knows Messages and all messages that are sent.
	Timers         *timer.Service // TS gives the time.
	DialTimeout    time.Duration  // Dial bounds a dial.
	PingInterval   time.Duration  // Ping is the longest time without a frame sent.
	SilenceTimeout time.Duration  // Silence without a byte received, or without progress in sending, ends the connection.
	// Connect opens the connection of a Dial to an address; nil means TCP.
	Connect func(ctx context.Context, address string) (net.Conn, error)
}

// Packed is a message that is encoded once, to be sent on many connections.
type PreparedMessage struct{ frame []byte }

// Size returns the number of bytes that the message takes on a connection.
func (pa PreparedMessage) Size() int { return len(pa.frame) }

// Conn is one connection. Send may be called from several goroutines, Receive
// from one.
type Conn struct {
	cf Config
	nc net.Conn
	rd *bufio.Reader

	heard atomic.Int64 // heard is when a byte came last, in nanoseconds after made.
	made  time.Time

	mu      sync.Mutex
	queue   net.Buffers
	queued  int       // queued counts the bytes in queue and those being written.
	writing bool      // writing says that a goroutine takes what is in queue.
	sent    time.Time // sent is when a write began or ended last.
	beat    *timer.Timeout
	err     error
	done    chan struct{}
}

// New takes over an established connection. It must be ended with Close, or by
// an error of Receive.
func New(nc net.Conn, cf Config) *Conn {
	now := cf.Timers.Now()
	co := &Conn{cf: cf, nc: nc, made: now, sent: now, done: make(chan struct{})}
	co.rd = bufio.NewReaderSize(silentReader{co}, bufferBytes)
	co.mu.Lock()
	defer co.mu.Unlock()
	co.beat = cf.Timers.Timeout(cf.PingInterval, co.ping)
	return co
}

// Dial opens a connection to an address of the form IP:port. The error is a
// *result.Error with the code ControlUnavailable.
func Dial(ctx context.Context, address string, cf Config) (*Conn, error) {
	connect := cf.Connect
	if connect == nil {
		connect = func(ctx context.Context, address string) (net.Conn, error) {
			di := net.Dialer{KeepAlive: -1}
			return di.DialContext(ctx, "tcp4", address)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, cf.DialTimeout)
	defer cancel()
	nc, err := connect(ctx, address)
	if err != nil {
		return nil, &result.Error{Code: result.ControlUnavailable, Op: "dial", Detail: address, Err: err}
	}
	return New(nc, cf), nil
}

// Remote returns the other end's address.
func (co *Conn) RemoteAddress() string { return co.nc.RemoteAddr().String() }

// Heard returns when a byte came last, or when the connection was made if none has.
func (co *Conn) LastReceived() time.Time { return co.made.Add(time.Duration(co.heard.Load())) }

// Done is closed when the connection has ended.
func (co *Conn) Done() <-chan struct{} { return co.done }

// Pack encodes a message for SendPacked on any connection with the same codec.
// The error is a *peer.Error.
func (co *Conn) Prepare(ms peer.Message) (PreparedMessage, error) {
	body, err := co.cf.Codec.Encode(ms)
	if err != nil {
		return PreparedMessage{}, err
	}
	frame := make([]byte, prefixBytes, prefixBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return PreparedMessage{frame: append(frame, body...)}, nil
}

// Send queues a message. It never waits for the other end: a connection whose
// queue is full is closed. The error is a *peer.Error if the message cannot be
// encoded, and otherwise the *result.Error that ended the connection.
func (co *Conn) Send(ms peer.Message) error {
	pa, err := co.Prepare(ms)
	if err != nil {
		return err
	}
	return co.SendPrepared(pa)
}

// SendPacked queues a message that is already encoded, as Send does.
func (co *Conn) SendPrepared(pa PreparedMessage) error {
	co.mu.Lock()
	if co.err != nil {
		defer co.mu.Unlock()
		return co.err
	}
	if co.queued > 0 && co.queued+len(pa.frame) > queueBytes {
		co.mu.Unlock()
		return co.end(errors.New("the other end does not read"))
	}
	co.queue = append(co.queue, pa.frame)
	co.queued += len(pa.frame)
	start := !co.writing
	co.writing = true
	co.mu.Unlock()
	if start {
		go co.write()
	}
	return nil
}

// ping sends a frame without content if nothing was sent for the time of
// Config.Ping, and comes back when that may be the case next.
func (co *Conn) ping() {
	co.mu.Lock()
	if co.err != nil {
		co.mu.Unlock()
		return
	}
	if idle := co.cf.Timers.Now().Sub(co.sent); !co.writing && idle < co.cf.PingInterval {
		co.beat.Reset(co.cf.PingInterval - idle)
		co.mu.Unlock()
		return
	}
	co.beat.Reset(co.cf.PingInterval)
	if co.writing {
		co.mu.Unlock()
		return
	}
	co.queue = append(co.queue, pingFrame)
	co.queued += len(pingFrame)
	co.writing = true
	co.mu.Unlock()
	co.write()
}

// write sends what is queued until nothing is left or the connection has ended.
// One goroutine at a time runs it, which is what the field writing is for.
func (co *Conn) write() {
	written := 0
	for {
		co.mu.Lock()
		co.queued -= written
		co.sent = co.cf.Timers.Now()
		queue := co.queue
		co.queue = nil
		if len(queue) == 0 || co.err != nil {
			co.writing = false
			co.mu.Unlock()
			return
		}
		co.mu.Unlock()
		written = 0
		for _, frame := range queue {
			written += len(frame)
		}
		if err := co.writeAll(queue); err != nil {
			co.end(err)
			return
		}
	}
}

// writeAll writes the frames in pieces, each under a deadline of its own: a slow
// link with a large document on it is not a silent one, and neither may a reader
// that has stopped hold the writer for longer than the silence.
func (co *Conn) writeAll(queue net.Buffers) error {
	for len(queue) > 0 {
		var piece net.Buffers
		for room := pieceBytes; room > 0 && len(queue) > 0; {
			size := min(room, len(queue[0]))
			piece = append(piece, queue[0][:size])
			room -= size
			if queue[0] = queue[0][size:]; len(queue[0]) == 0 {
				queue = queue[1:]
			}
		}
		if err := co.nc.SetWriteDeadline(co.cf.Timers.Now().Add(co.cf.SilenceTimeout)); err != nil {
			return err
		}
		if err := co.writePiece(piece); err != nil {
			return err
		}
	}
	return nil
}

func (co *Conn) writePiece(piece net.Buffers) error {
	if len(piece) == 1 {
		_, err := co.nc.Write(piece[0])
		return err
	}
	_, err := piece.WriteTo(co.nc)
	return err
}

// Receive returns the next message. The error says why the connection ended.
func (co *Conn) Receive() (peer.Message, error) {
	for {
		ms, err := co.receive()
		if err != nil {
			return nil, co.end(err)
		}
		if ms != nil {
			return ms, nil
		}
	}
}

// receive reads one frame. It returns no message for a ping.
func (co *Conn) receive() (peer.Message, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(co.rd, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size == 0 {
		return nil, nil
	}
	if size > peer.MaxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes, want at most %d", size, peer.MaxFrameBytes)
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(co.rd, frame); err != nil {
		return nil, err
	}
	return co.cf.Codec.Decode(frame)
}

// silentReader reads from the connection and fails once nothing came for the
// time of Config.Silence. The deadline is set anew for each read: an end that was
// cut off without a reset sends nothing more, and only the silence shows it. A
// process that was frozen finds its deadline passed when it wakes, though the
// other end may have sent all the while; that costs a new connection and nothing
// else, since the other end has most often given this one up as well.
type silentReader struct{ co *Conn }

// Read reads what has come.
func (sr silentReader) Read(buf []byte) (int, error) {
	co := sr.co
	if err := co.nc.SetReadDeadline(co.cf.Timers.Now().Add(co.cf.SilenceTimeout)); err != nil {
		return 0, err
	}
	count, err := co.nc.Read(buf)
	if count > 0 {
		co.heard.Store(int64(co.cf.Timers.Now().Sub(co.made)))
	}
	return count, err
}

// Close ends the connection; what is queued may be lost.
func (co *Conn) Close() { co.end(net.ErrClosed) }

// end closes the connection once and returns why it ended.
func (co *Conn) end(err error) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.err != nil {
		return co.err
	}
	co.err = &result.Error{Code: result.ControlUnavailable, Op: "link", Detail: co.RemoteAddress(), Err: err}
	co.beat.Stop()
	co.queue = nil
	close(co.done)
	_ = co.nc.Close()
	return co.err
}

// Serve accepts connections until the context ends and gives each to the
// handler on a goroutine of its own, which closes it when the handler returns.
// A handler that waits in Receive does not see the context end; it must close
// the connection for that.
func Serve(ctx context.Context, li net.Listener, cf Config, handle func(context.Context, *Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = li.Close() })
	defer stop()
	for {
		nc, err := li.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = nc.Close()
			}
			return ctx.Err()
		}
		if err != nil {
			if err := cf.Timers.Sleep(ctx, cf.PingInterval); err != nil {
				return err
			}
			continue
		}
		co := New(nc, cf)
		go func() {
			defer co.Close()
			handle(ctx, co)
		}()
	}
}
