package leaf

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"balsamwinch.example/timer"
)

// listener accepts connections up to the limit and closes those beyond it.
type listener struct {
	net.Listener
	ts    *timer.Service
	tl    *tally
	limit int
	delay time.Duration

	mu    sync.Mutex
	conns map[*served]struct{}
}

func newListener(ln net.Listener, ts *timer.Service, tl *tally, limit int, delay time.Duration) *listener {
	return &listener{Listener: ln, ts: ts, tl: tl, limit: limit, delay: delay, conns: make(map[*served]struct{})}
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
		ln.tl.change(func(co *Counts) { co.OverLimit++ })
		_ = nc.Close()
	}
}

func (ln *listener) admit(nc net.Conn) *served {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if len(ln.conns) >= ln.limit {
		return nil
	}
	sc := &served{Conn: nc, ln: ln, ready: ln.ts.Now().Add(ln.delay), done: make(chan struct{}), poke: make(chan struct{}, 1)}
	ln.conns[sc] = struct{}{}
	ln.tl.change((*Counts).accept)
	return sc
}

func (ln *listener) forget(sc *served) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	delete(ln.conns, sc)
	ln.tl.change(func(co *Counts) {
		co.Connections--
		if sc.quiet() {
			co.SilentConnections--
		}
	})
}

// silence makes the connections of this moment go silent. With keep, their end
// at the other side goes unnoticed as well.
func (ln *listener) silence(keep bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	for sc := range ln.conns {
		if sc.silence(keep) {
			ln.tl.change(func(co *Counts) { co.SilentConnections++ })
		}
	}
}

// closeAll ends all connections, without regard to what they carry.
func (ln *listener) closeAll(silentOnly bool) {
	ln.mu.Lock()
	var scs []*served
	for sc := range ln.conns {
		if !silentOnly || sc.quiet() {
			scs = append(scs, sc)
		}
	}
	ln.mu.Unlock()
	for _, sc := range scs {
		_ = sc.Close()
	}
}

// served is an accepted connection that can go silent: what it is given to
// write vanishes, and what it would read never comes, while it stays open.
type served struct {
	net.Conn
	ln    *listener
	ready time.Time // ready is when the connection begins to work.
	once  sync.Once
	done  chan struct{} // done is closed with the connection.
	poke  chan struct{} // poke wakes a silent read whose deadline was moved.

	mu     sync.Mutex
	silent bool
	keep   bool
	echo   []byte // echo is what has been written since double.
	double bool
}

func (sc *served) silence(keep bool) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	was := sc.silent
	sc.silent = true
	sc.keep = keep
	return !was
}

func (sc *served) quiet() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.silent
}

func (sc *served) kept() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.silent && sc.keep
}

// Read reads what comes once the connection works.
func (sc *served) Read(bs []byte) (int, error) {
	if err := sc.warmUp(); err != nil {
		return 0, err
	}
	for {
		nu, err := sc.Conn.Read(bs)
		if err == nil && sc.quiet() {
			continue
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && sc.kept() {
			return 0, sc.hold(err)
		}
		return nu, err
	}
}

// warmUp waits until the connection begins to work.
func (sc *served) warmUp() error {
	left := sc.ready.Sub(sc.ln.ts.Now())
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

// hold waits until the connection is closed at this side or a read deadline in
// the past is set, which is how net/http ends a read.
func (sc *served) hold(err error) error {
	select {
	case <-sc.done:
		return err
	case <-sc.poke:
		return os.ErrDeadlineExceeded
	}
}

// SetReadDeadline sets the deadline of reads.
func (sc *served) SetReadDeadline(at time.Time) error {
	select {
	case <-sc.poke:
	default:
	}
	if !at.IsZero() && !at.After(sc.ln.ts.Now()) {
		sc.poke <- struct{}{}
	}
	return sc.Conn.SetReadDeadline(at)
}

// Write writes, or loses what it is given if the connection is silent.
func (sc *served) Write(bs []byte) (int, error) {
	sc.mu.Lock()
	silent := sc.silent
	if sc.double {
		sc.echo = append(sc.echo, bs...)
	}
	sc.mu.Unlock()
	if silent {
		return len(bs), nil
	}
	return sc.Conn.Write(bs)
}

// Close ends the connection.
func (sc *served) Close() error {
	sc.once.Do(func() {
		close(sc.done)
		sc.ln.forget(sc)
	})
	return sc.Conn.Close()
}

// startDouble makes repeat write again what is written from now on.
func (sc *served) startDouble() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.double = true
}

func (sc *served) repeat() {
	sc.mu.Lock()
	echo := sc.echo
	sc.double, sc.echo = false, nil
	sc.mu.Unlock()
	if len(echo) > 0 {
		_, _ = sc.Write(echo)
	}
}
