// Package link carries messages between instances over TCP as CBOR frames. A connection
// preserves their order, and one that falls silent is detected within a configured time. The
// package knows nothing of the messages' meaning, and neither authenticates nor encrypts;
// docs/design/platform.md says where that is sufficient.
//
// An idle connection costs one goroutine, which reads, and one write each Config.PingInterval.
// A ping is an empty frame.
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

// Sizes and limits of a connection, in bytes.
const (
	// prefixBytes is the size of a frame's length prefix.
	prefixBytes = 4
	// maxQueueBytes bounds the data queued for writing. If the other end stops reading, the
	// connection is closed instead of letting the sender's memory grow.
	maxQueueBytes = 4 << 20
	// readBufferBytes is the size of the read buffer.
	readBufferBytes = 8 << 10
	// maxChunkBytes is the most that is written under one deadline.
	maxChunkBytes = 64 << 10
	// maxPreallocation bounds the memory that is allocated for a frame before its bytes arrive.
	maxPreallocation = 64 << 10
)

// pingFrame is an empty frame, which keeps an idle connection from looking silent.
var pingFrame = make([]byte, prefixBytes)

// Messages returns a zero value of each message of this package, for the codec. There are
// none: a ping is a frame without a message.
func Messages() []peer.Message { return nil }

// Config holds the settings of connections.
type Config struct {
	Codec          *peer.Codec    // must include Messages and all messages that are sent
	Timers         *timer.Service // clock and timers
	DialTimeout    time.Duration  // bounds a dial
	PingInterval   time.Duration  // the longest time without sending a frame
	SilenceTimeout time.Duration  // how long to wait for a byte, or for progress in sending, before closing
	// Connect opens the network connection for Dial; nil means TCP.
	Connect func(ctx context.Context, address string) (net.Conn, error)
}

// PreparedMessage is a message that is encoded once and sent on many connections.
type PreparedMessage struct{ frame []byte }

// Size returns the number of bytes that the message takes on a connection.
func (pm PreparedMessage) Size() int { return len(pm.frame) }

// Conn is a connection. Send may be called from several goroutines, Receive from one at a
// time.
type Conn struct {
	cf Config
	nc net.Conn
	rd *bufio.Reader

	lastReceived atomic.Int64 // when the last byte was received, in nanoseconds since createdAt
	createdAt    time.Time

	mu          sync.Mutex
	queue       net.Buffers
	queuedBytes int       // the bytes in queue and those being written
	writing     bool      // whether a goroutine is writing the queue
	lastWrite   time.Time // when a write last began or ended
	pingTimer   *timer.Timeout
	err         error
	done        chan struct{}
}

// New takes over an established connection. It must be ended with Close, or by an error of
// Receive.
func New(nc net.Conn, cf Config) *Conn {
	now := cf.Timers.Now()
	co := &Conn{cf: cf, nc: nc, createdAt: now, lastWrite: now, done: make(chan struct{})}
	co.rd = bufio.NewReaderSize(deadlineReader{co}, readBufferBytes)
	co.mu.Lock()
	defer co.mu.Unlock()
	co.pingTimer = cf.Timers.Timeout(cf.PingInterval, co.ping)
	return co
}

// Dial opens a connection to an address of the form IP:port. The error is a *result.Error with
// the code ControlUnavailable.
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

// RemoteAddress returns the address of the other end.
func (co *Conn) RemoteAddress() string { return co.nc.RemoteAddr().String() }

// LastReceived returns when the last byte was received, or when the connection was created if
// there was none.
func (co *Conn) LastReceived() time.Time {
	return co.createdAt.Add(time.Duration(co.lastReceived.Load()))
}

// Done returns a channel that is closed when the connection has ended.
func (co *Conn) Done() <-chan struct{} { return co.done }

// Prepare encodes a message for SendPrepared on any connection with the same codec. The error
// is a *peer.Error.
func (co *Conn) Prepare(ms peer.Message) (PreparedMessage, error) {
	body, err := co.cf.Codec.Encode(ms)
	if err != nil {
		return PreparedMessage{}, err
	}
	frame := make([]byte, prefixBytes, prefixBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return PreparedMessage{frame: append(frame, body...)}, nil
}

// Send queues a message. It never blocks on the other end: a connection whose queue is full is
// closed. The error is a *peer.Error if the message cannot be encoded, and otherwise the
// *result.Error that ended the connection.
func (co *Conn) Send(ms peer.Message) error {
	pm, err := co.Prepare(ms)
	if err != nil {
		return err
	}
	return co.SendPrepared(pm)
}

// SendPrepared queues an encoded message, as Send does.
func (co *Conn) SendPrepared(pm PreparedMessage) error {
	co.mu.Lock()
	if co.err != nil {
		defer co.mu.Unlock()
		return co.err
	}
	if co.queuedBytes > 0 && co.queuedBytes+len(pm.frame) > maxQueueBytes {
		co.mu.Unlock()
		return co.closeWithError(errors.New("send queue full: the other end does not read"))
	}
	co.queue = append(co.queue, pm.frame)
	co.queuedBytes += len(pm.frame)
	start := !co.writing
	co.writing = true
	co.mu.Unlock()
	if start {
		go co.write()
	}
	return nil
}

// ping sends an empty frame if nothing was sent for Config.PingInterval, and schedules the
// next check.
func (co *Conn) ping() {
	co.mu.Lock()
	if co.err != nil {
		co.mu.Unlock()
		return
	}
	if idle := co.cf.Timers.Now().Sub(co.lastWrite); !co.writing && idle < co.cf.PingInterval {
		co.pingTimer.Reset(co.cf.PingInterval - idle)
		co.mu.Unlock()
		return
	}
	co.pingTimer.Reset(co.cf.PingInterval)
	if co.writing {
		co.mu.Unlock()
		return
	}
	co.queue = append(co.queue, pingFrame)
	co.queuedBytes += len(pingFrame)
	co.writing = true
	co.mu.Unlock()
	co.write()
}

// write sends the queue until it is empty or the connection has ended. The field writing
// ensures that only one goroutine at a time runs it.
func (co *Conn) write() {
	written := 0
	for {
		co.mu.Lock()
		co.queuedBytes -= written
		co.lastWrite = co.cf.Timers.Now()
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
			co.closeWithError(err)
			return
		}
	}
}

// writeAll writes the frames in chunks, each under its own deadline. So a slow connection that
// transfers a large document is not taken for a silent one, and a reader that has stopped
// blocks the writer for no longer than the silence timeout.
func (co *Conn) writeAll(queue net.Buffers) error {
	for len(queue) > 0 {
		var chunk net.Buffers
		for remaining := maxChunkBytes; remaining > 0 && len(queue) > 0; {
			size := min(remaining, len(queue[0]))
			chunk = append(chunk, queue[0][:size])
			remaining -= size
			if queue[0] = queue[0][size:]; len(queue[0]) == 0 {
				queue = queue[1:]
			}
		}
		if err := co.nc.SetWriteDeadline(co.cf.Timers.Now().Add(co.cf.SilenceTimeout)); err != nil {
			return err
		}
		if err := co.writeChunk(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (co *Conn) writeChunk(chunk net.Buffers) error {
	if len(chunk) == 1 {
		_, err := co.nc.Write(chunk[0])
		return err
	}
	_, err := chunk.WriteTo(co.nc)
	return err
}

// Receive returns the next message. The error says why the connection ended.
func (co *Conn) Receive() (peer.Message, error) {
	for {
		ms, err := co.receive()
		if err != nil {
			return nil, co.closeWithError(err)
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
	frame, err := co.readFrame(int(size))
	if err != nil {
		return nil, err
	}
	return co.cf.Codec.Decode(frame)
}

// readFrame reads a frame of a given size. Memory is taken as the bytes arrive: whoever reaches
// the port could otherwise claim it all with a few prefixes.
func (co *Conn) readFrame(size int) ([]byte, error) {
	frame := make([]byte, min(size, maxPreallocation))
	for read := 0; ; {
		count, err := io.ReadFull(co.rd, frame[read:])
		if err != nil {
			return nil, err
		}
		if read += count; read == size {
			return frame, nil
		}
		frame = append(frame, make([]byte, min(size-read, read))...)
	}
}

// deadlineReader reads from the connection and fails if nothing is received for
// Config.SilenceTimeout. The deadline is renewed for each read: an end that was cut off
// without a reset sends nothing more, and only the silence shows it. A process that was frozen
// finds the deadline expired when it resumes, even if the other end kept sending. That only
// costs a new connection; usually the other end has given this one up too.
type deadlineReader struct{ co *Conn }

// Read implements io.Reader.
func (dr deadlineReader) Read(buf []byte) (int, error) {
	co := dr.co
	if err := co.nc.SetReadDeadline(co.cf.Timers.Now().Add(co.cf.SilenceTimeout)); err != nil {
		return 0, err
	}
	count, err := co.nc.Read(buf)
	if count > 0 {
		co.lastReceived.Store(int64(co.cf.Timers.Now().Sub(co.createdAt)))
	}
	return count, err
}

// Close ends the connection. Queued messages may be lost.
func (co *Conn) Close() { co.closeWithError(net.ErrClosed) }

// closeWithError closes the connection once and returns the reason for which it ended.
func (co *Conn) closeWithError(err error) error {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.err != nil {
		return co.err
	}
	co.err = &result.Error{Code: result.ControlUnavailable, Op: "link", Detail: co.RemoteAddress(), Err: err}
	co.pingTimer.Stop()
	co.queue = nil
	close(co.done)
	_ = co.nc.Close()
	return co.err
}

// Serve accepts connections until the context ends. It runs the handler of each on its own
// goroutine and closes the connection when the handler returns. A handler blocked in Receive
// does not notice the end of the context; to stop it, close the connection.
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
