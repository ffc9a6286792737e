package tier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/route"
	"balsamwinch.example/timer"
)

// doorway is a door that callers come through over pipes, in synctest's time. Its
// listener is an inlet as well.
type doorway struct {
	t    *testing.T
	in   *inlet
	do   *door
	gate chan struct{} // gate holds requests for /held until it is closed.
}

type address string

func (address) Network() string   { return "tcp" }
func (ad address) String() string { return string(ad) }

// openDoor returns a door that serves until the test ends.
func openDoor(t *testing.T) *doorway {
	dw := &doorway{t: t, in: newInlet(address("10.0.0.1:80")), gate: make(chan struct{})}
	dw.do = newDoor(dw.in, dw, timer.New(), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = dw.do.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		dw.do.Close(ctx)
		synctest.Wait()
	})
	return dw
}

// ServeHTTP answers with the path, for /held only once the gate is open.
func (dw *doorway) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path == "/held" {
		<-dw.gate
	}
	_, _ = io.WriteString(wr, rq.URL.Path)
}

// caller is a caller's connection.
type caller struct {
	t  *testing.T
	nc net.Conn
	rd *bufio.Reader
}

func (dw *doorway) connect() *caller {
	dw.t.Helper()
	ours, theirs := net.Pipe()
	qt.Assert(dw.t, dw.in.give(theirs), qt.IsTrue)
	dw.t.Cleanup(func() { _ = ours.Close() })
	return &caller{t: dw.t, nc: ours, rd: bufio.NewReader(ours)}
}

// send sends a request with a header of so many bytes.
func (ca *caller) send(path string, header int) {
	go func() {
		_, _ = io.WriteString(ca.nc, "GET "+path+" HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", header)+"\r\n\r\n")
	}()
}

// receive returns the status of the answer, 0 if the connection ended.
func (ca *caller) receive() int {
	rs, err := http.ReadResponse(ca.rd, nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, rs.Body)
	qt.Assert(ca.t, err, qt.IsNil)
	return rs.StatusCode
}

func (ca *caller) get(path string, header int) int {
	ca.send(path, header)
	return ca.receive()
}

// ended reports whether the connection has ended.
func (ca *caller) ended() bool {
	synctest.Wait()
	_ = ca.nc.SetReadDeadline(time.Now().Add(time.Microsecond))
	_, err := ca.rd.Peek(1)
	_ = ca.nc.SetReadDeadline(time.Time{})
	ne, ok := err.(net.Error)
	return err != nil && !(ok && ne.Timeout())
}

var (
	wide   = route.Limits{HeaderBytes: 64 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	narrow = route.Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
)

// A new configuration changes the limits while callers are connected. New
// connections get the new limits. Those from before keep theirs and lose no
// request: neither one that is under way nor the next one.
func TestDoorLimitsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dw := openDoor(t)
		dw.do.SetLimits(wide)
		old, busy := dw.connect(), dw.connect()
		qt.Assert(t, old.get("/", 40<<10), qt.Equals, http.StatusOK)
		busy.send("/held", 0)
		synctest.Wait()
		dw.do.SetLimits(narrow)
		synctest.Wait()
		qt.Assert(t, dw.connect().get("/", 40<<10), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		qt.Assert(t, dw.connect().get("/", 3<<10), qt.Equals, http.StatusOK)
		qt.Assert(t, old.get("/", 40<<10), qt.Equals, http.StatusOK)
		close(dw.gate)
		qt.Assert(t, busy.receive(), qt.Equals, http.StatusOK)
		qt.Assert(t, busy.get("/", 40<<10), qt.Equals, http.StatusOK)
		dw.do.SetLimits(wide)
		synctest.Wait()
		qt.Assert(t, dw.connect().get("/", 40<<10), qt.Equals, http.StatusOK)
	})
}

// Limits that don't change start no further server.
func TestDoorSameLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dw := openDoor(t)
		dw.do.SetLimits(narrow)
		sv := dw.do.sv
		for range 100 {
			dw.do.SetLimits(narrow)
		}
		qt.Assert(t, dw.do.sv, qt.Equals, sv)
	})
}

// Callers use connections that were idle for up to the limit. One that is closed
// sooner, or just then, takes a request with it. One that is idle for much longer
// is closed.
func TestDoorIdle(t *testing.T) {
	for _, lm := range []route.Limits{wide, narrow} {
		synctest.Test(t, func(t *testing.T) {
			dw := openDoor(t)
			dw.do.SetLimits(lm)
			ca := dw.connect()
			for range 3 {
				qt.Assert(t, ca.get("/", 0), qt.Equals, http.StatusOK)
				time.Sleep(lm.IdleTimeout)
			}
			qt.Assert(t, ca.get("/", 0), qt.Equals, http.StatusOK)
			time.Sleep(2 * lm.IdleTimeout)
			qt.Assert(t, ca.ended(), qt.IsTrue)
		})
	}
}

// A caller sends half a head and no more. It holds a connection and its memory
// only for the time that the configuration says.
func TestDoorHeaderTimeout(t *testing.T) {
	for _, lm := range []route.Limits{wide, narrow} {
		synctest.Test(t, func(t *testing.T) {
			dw := openDoor(t)
			dw.do.SetLimits(lm)
			ca := dw.connect()
			_, err := io.WriteString(ca.nc, "GET / HTTP/1.1\r\nHost: a\r\n")
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(lm.HeaderTimeout - time.Millisecond)
			qt.Assert(t, ca.ended(), qt.IsFalse)
			time.Sleep(time.Second)
			qt.Assert(t, ca.ended(), qt.IsTrue)
		})
	}
}

// A caller connects at the moment at which the limits change. Its connection was
// accepted, but the server of the limits that were in force hasn't taken it when
// that server's inlet ends. It is served under the new limits instead of being
// closed.
func TestDoorAcceptDuringChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dw := openDoor(t)
		// The server of these limits isn't at its Accept yet.
		dw.do.mu.Lock()
		dw.do.in = newInlet(dw.in.Addr())
		dw.do.mu.Unlock()
		ca := dw.connect()
		synctest.Wait()
		dw.do.SetLimits(narrow)
		qt.Assert(t, ca.get("/", 0), qt.Equals, http.StatusOK)
	})
}

// An instance stops. A request under way is answered and then the connection
// ends, on servers of all limits that were ever in force; idle connections end at
// once.
func TestDoorClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dw := openDoor(t)
		var busy, idle []*caller
		for _, lm := range []route.Limits{wide, narrow, wide} {
			dw.do.SetLimits(lm)
			synctest.Wait()
			one, two := dw.connect(), dw.connect()
			one.send("/held", 0)
			qt.Assert(t, two.get("/", 0), qt.Equals, http.StatusOK)
			busy, idle = append(busy, one), append(idle, two)
		}
		synctest.Wait()
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			dw.do.Close(ctx)
		}()
		time.Sleep(time.Second)
		for _, ca := range busy {
			qt.Assert(t, ca.ended(), qt.IsFalse)
		}
		close(dw.gate)
		for _, ca := range busy {
			qt.Assert(t, ca.receive(), qt.Equals, http.StatusOK)
		}
		<-closed
		for _, ca := range append(busy, idle...) {
			qt.Assert(t, ca.ended(), qt.IsTrue)
		}
	})
}

// A request doesn't end within the time of the stop. Close returns all the same,
// so that the process ends itself instead of being killed.
func TestDoorCloseInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dw := openDoor(t)
		ca := dw.connect()
		ca.send("/held", 0)
		synctest.Wait()
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		dw.do.Close(ctx)
		qt.Assert(t, time.Since(start), qt.Equals, 3*time.Second)
		qt.Assert(t, ca.ended(), qt.IsTrue)
		close(dw.gate)
	})
}

// failing is a listener that runs out of descriptors now and then.
type failing struct {
	net.Listener
	left int
}

func (fa *failing) Accept() (net.Conn, error) {
	if fa.left > 0 {
		fa.left--
		return nil, io.ErrUnexpectedEOF
	}
	return fa.Listener.Accept()
}

// Descriptors run out and accepts fail. Once there are some again, callers are
// served.
func TestDoorAcceptFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInlet(address("10.0.0.1:80"))
		do := newDoor(&failing{in, 50}, http.NotFoundHandler(), timer.New(), zap.NewNop())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- do.Serve(ctx) }()
		dw := &doorway{t: t, in: in}
		qt.Assert(t, dw.connect().get("/", 0), qt.Equals, http.StatusNotFound)
		cancel()
		qt.Assert(t, <-ended, qt.ErrorIs, context.Canceled)
		do.Close(ctx)
	})
}
