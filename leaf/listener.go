package leaf

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"balsamwinch.example/timer"
)

// listener accepts connections up to the limit and closes further ones.
type listener struct {
	net.Listener
	ts    *timer.Service
	tl    *tally
	limit int
	delay time.Duration

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

func newListener(ln net.Listener, ts *timer.Service, tl *tally, limit int, delay time.Duration) *listener {
	return &listener{Listener: ln, ts: ts, tl: tl, limit: limit, delay: delay, conns: make(map[*serverConn]struct{})}
}

// Accept returns the next connection within the limit.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		nc, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if sc := ln.admit(nc); sc != nil {
			return sc, nil
		}
		ln.tl.update(func(co *Counts) { co.OverLimit++ })
		_ = nc.Close()
	}
}

func (ln *listener) admit(nc net.Conn) *serverConn {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if len(ln.conns) >= ln.limit {
		return nil
	}
	sc := &serverConn{Conn: nc, ln: ln, readyAt: ln.ts.Now().Add(ln.delay), done: make(chan struct{}), deadlinePassed: make(chan struct{}, 1)}
	ln.conns[sc] = struct{}{}
	ln.tl.update((*Counts).countAccept)
	return sc
}

func (ln *listener) remove(sc *serverConn) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	delete(ln.conns, sc)
	ln.tl.update(func(co *Counts) {
		co.Connections--
		if sc.isSilent() {
			co.SilentConnections--
		}
	})
}

// silence makes the currently open connections go silent. With held, it also goes unnoticed
// when the other end closes them.
func (ln *listener) silence(held bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.tl.update(func(co *Counts) { co.LastSilenced = 0 })
	for sc := range ln.conns {
		if sc.silence(held) {
			ln.tl.update(func(co *Counts) {
				co.SilentConnections++
				co.LastSilenced++
			})
		}
	}
}

// closeAll closes all connections, or only the silent ones, even if requests on them are in
// flight.
func (ln *listener) closeAll(silentOnly bool) {
	ln.mu.Lock()
	var scs []*serverConn
	for sc := range ln.conns {
		if !silentOnly || sc.isSilent() {
			scs = append(scs, sc)
		}
	}
	ln.mu.Unlock()
	for _, sc := range scs {
		_ = sc.Close()
	}
}

// serverConn is an accepted connection that can go silent: it stays open, but data written to
// it is lost and data that arrives is discarded.
type serverConn struct {
	net.Conn
	ln             *listener
	readyAt        time.Time // when the connection begins to work
	once           sync.Once
	done           chan struct{} // closed when the connection is closed
	deadlinePassed chan struct{} // wakes a held read when a deadline in the past is set

	mu        sync.Mutex
	silent    bool
	held      bool
	recorded  []byte // data written since startRecording
	recording bool
}

func (sc *serverConn) silence(held bool) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	wasSilent := sc.silent
	sc.silent = true
	sc.held = held
	return !wasSilent
}

func (sc *serverConn) isSilent() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.silent
}

func (sc *serverConn) isHeld() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.silent && sc.held
}

// Read waits until the connection works and reads from it.
func (sc *serverConn) Read(bs []byte) (int, error) {
	if err := sc.awaitReady(); err != nil {
		return 0, err
	}
	for {
		nu, err := sc.Conn.Read(bs)
		if err == nil && sc.isSilent() {
			continue
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && sc.isHeld() {
			return 0, sc.awaitClose(err)
		}
		return nu, err
	}
}

// awaitReady waits until the connection works.
func (sc *serverConn) awaitReady() error {
	left := sc.readyAt.Sub(sc.ln.ts.Now())
	if left <= 0 {
		return nil
	}
	ready := make(chan struct{})
	ti := sc.ln.ts.Timeout(left, func() { close(ready) })
	defer ti.Stop()
	select {
	case <-ready:
		return nil
	case <-sc.done:
		return net.ErrClosed
	}
}

// awaitClose waits until the connection is closed at this end or a read deadline in the past
// is set, which is how net/http aborts a read.
func (sc *serverConn) awaitClose(err error) error {
	select {
	case <-sc.done:
		return err
	case <-sc.deadlinePassed:
		return os.ErrDeadlineExceeded
	}
}

// SetReadDeadline sets the deadline of reads.
func (sc *serverConn) SetReadDeadline(at time.Time) error {
	select {
	case <-sc.deadlinePassed:
	default:
	}
	if !at.IsZero() && !at.After(sc.ln.ts.Now()) {
		sc.deadlinePassed <- struct{}{}
	}
	return sc.Conn.SetReadDeadline(at)
}

// Write writes the data, or discards it if the connection is silent.
func (sc *serverConn) Write(bs []byte) (int, error) {
	sc.mu.Lock()
	silent := sc.silent
	if sc.recording {
		sc.recorded = append(sc.recorded, bs...)
	}
	sc.mu.Unlock()
	if silent {
		return len(bs), nil
	}
	return sc.Conn.Write(bs)
}

// Close closes the connection.
func (sc *serverConn) Close() error {
	sc.once.Do(func() {
		close(sc.done)
		sc.ln.remove(sc)
	})
	return sc.Conn.Close()
}

// startRecording records the data written from now on, which replay writes a second time.
func (sc *serverConn) startRecording() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.recording = true
}

func (sc *serverConn) replay() {
	sc.mu.Lock()
	recorded := sc.recorded
	sc.recording, sc.recorded = false, nil
	sc.mu.Unlock()
	if len(recorded) > 0 {
		_, _ = sc.Write(recorded)
	}
}
