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

// callerServerTest runs a callerServer in synctest's time, with pipes as connections that
// are delivered through a chanListener.
type callerServerTest struct {
	t    *testing.T
	cl   *chanListener
	cs   *callerServer
	gate chan struct{} // blocks requests for /held until it is closed
}

type address string

func (address) Network() string   { return "tcp" }
func (ad address) String() string { return string(ad) }

// newCallerServerTest returns a callerServer that serves until the test ends.
func newCallerServerTest(t *testing.T) *callerServerTest {
	ct := &callerServerTest{t: t, cl: newChanListener(address("10.0.0.1:80")), gate: make(chan struct{})}
	ct.cs = newCallerServer(ct.cl, ct, timer.New(), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = ct.cs.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		ct.cs.Close(ctx)
		synctest.Wait()
	})
	return ct
}

// ServeHTTP responds with the path, for /held only once the gate is open.
func (ct *callerServerTest) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path == "/held" {
		<-ct.gate
	}
	_, _ = io.WriteString(wr, rq.URL.Path)
}

// caller is a connection of a caller.
type caller struct {
	t  *testing.T
	nc net.Conn
	rd *bufio.Reader
}

func (ct *callerServerTest) connect() *caller {
	ct.t.Helper()
	ours, theirs := net.Pipe()
	qt.Assert(ct.t, ct.cl.deliver(theirs), qt.IsTrue)
	ct.t.Cleanup(func() { _ = ours.Close() })
	return &caller{t: ct.t, nc: ours, rd: bufio.NewReader(ours)}
}

// send sends a request with a header value of the given length in bytes.
func (ca *caller) send(path string, header int) {
	go func() {
		_, _ = io.WriteString(ca.nc, "GET "+path+" HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", header)+"\r\n\r\n")
	}()
}

// receive returns the status of the response, or 0 if the connection ended.
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

// closed reports whether the server has closed the connection.
func (ca *caller) closed() bool {
	synctest.Wait()
	_ = ca.nc.SetReadDeadline(time.Now().Add(time.Microsecond))
	_, err := ca.rd.Peek(1)
	_ = ca.nc.SetReadDeadline(time.Time{})
	ne, ok := err.(net.Error)
	return err != nil && !(ok && ne.Timeout())
}

var (
	wideLimits   = route.Limits{HeaderBytes: 64 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	narrowLimits = route.Limits{HeaderBytes: 4 << 10, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
)

// Guards against lost requests when a new configuration changes the limits while callers
// are connected: new connections must get the new limits, and earlier ones must keep
// theirs and lose neither a request in flight nor the next one.
func TestLimitsChangeKeepsOldConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ct := newCallerServerTest(t)
		ct.cs.SetLimits(wideLimits)
		old, busy := ct.connect(), ct.connect()
		qt.Assert(t, old.get("/", 40<<10), qt.Equals, http.StatusOK)
		busy.send("/held", 0)
		synctest.Wait()
		ct.cs.SetLimits(narrowLimits)
		synctest.Wait()
		qt.Assert(t, ct.connect().get("/", 40<<10), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		qt.Assert(t, ct.connect().get("/", 3<<10), qt.Equals, http.StatusOK)
		qt.Assert(t, old.get("/", 40<<10), qt.Equals, http.StatusOK)
		close(ct.gate)
		qt.Assert(t, busy.receive(), qt.Equals, http.StatusOK)
		qt.Assert(t, busy.get("/", 40<<10), qt.Equals, http.StatusOK)
		ct.cs.SetLimits(wideLimits)
		synctest.Wait()
		qt.Assert(t, ct.connect().get("/", 40<<10), qt.Equals, http.StatusOK)
	})
}

// Setting the same limits must start no further server.
func TestSameLimitsStartNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ct := newCallerServerTest(t)
		ct.cs.SetLimits(narrowLimits)
		sv := ct.cs.sv
		for range 100 {
			ct.cs.SetLimits(narrowLimits)
		}
		qt.Assert(t, ct.cs.sv, qt.Equals, sv)
	})
}

// Guards against a connection that is closed just when its idle timeout ends, or sooner,
// and takes a caller's request with it. One that is idle for much longer must be closed.
func TestIdleTimeout(t *testing.T) {
	for _, lm := range []route.Limits{wideLimits, narrowLimits} {
		synctest.Test(t, func(t *testing.T) {
			ct := newCallerServerTest(t)
			ct.cs.SetLimits(lm)
			ca := ct.connect()
			for range 3 {
				qt.Assert(t, ca.get("/", 0), qt.Equals, http.StatusOK)
				time.Sleep(lm.IdleTimeout)
			}
			qt.Assert(t, ca.get("/", 0), qt.Equals, http.StatusOK)
			time.Sleep(2 * lm.IdleTimeout)
			qt.Assert(t, ca.closed(), qt.IsTrue)
		})
	}
}

// Guards against callers that send half a head and no more: they must hold a connection
// and its memory only for the configured time.
func TestHeaderTimeout(t *testing.T) {
	for _, lm := range []route.Limits{wideLimits, narrowLimits} {
		synctest.Test(t, func(t *testing.T) {
			ct := newCallerServerTest(t)
			ct.cs.SetLimits(lm)
			ca := ct.connect()
			_, err := io.WriteString(ca.nc, "GET / HTTP/1.1\r\nHost: a\r\n")
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(lm.HeaderTimeout - time.Millisecond)
			qt.Assert(t, ca.closed(), qt.IsFalse)
			time.Sleep(time.Second)
			qt.Assert(t, ca.closed(), qt.IsTrue)
		})
	}
}

// Guards against closing a connection that was accepted while the limits change: the old
// server hasn't taken it yet when its listener closes, so it must be served with the new
// limits.
func TestConnectionAcceptedDuringLimitsChangeIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ct := newCallerServerTest(t)
		// The server for these limits isn't in Accept yet.
		ct.cs.mu.Lock()
		ct.cs.cl = newChanListener(ct.cl.Addr())
		ct.cs.mu.Unlock()
		ca := ct.connect()
		synctest.Wait()
		ct.cs.SetLimits(narrowLimits)
		qt.Assert(t, ca.get("/", 0), qt.Equals, http.StatusOK)
	})
}

// When an instance stops, requests in flight must be answered before their connections
// are closed, on the servers of all limits that were ever in force; idle connections must
// be closed at once.
func TestCloseAnswersRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ct := newCallerServerTest(t)
		var busy, idle []*caller
		for _, lm := range []route.Limits{wideLimits, narrowLimits, wideLimits} {
			ct.cs.SetLimits(lm)
			synctest.Wait()
			one, two := ct.connect(), ct.connect()
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
			ct.cs.Close(ctx)
		}()
		time.Sleep(time.Second)
		for _, ca := range busy {
			qt.Assert(t, ca.closed(), qt.IsFalse)
		}
		close(ct.gate)
		for _, ca := range busy {
			qt.Assert(t, ca.receive(), qt.Equals, http.StatusOK)
		}
		<-closed
		for _, ca := range append(busy, idle...) {
			qt.Assert(t, ca.closed(), qt.IsTrue)
		}
	})
}

// Guards against a process that is killed because a request outlasts the stop: Close must
// return at its deadline.
func TestCloseReturnsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ct := newCallerServerTest(t)
		ca := ct.connect()
		ca.send("/held", 0)
		synctest.Wait()
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		ct.cs.Close(ctx)
		qt.Assert(t, time.Since(start), qt.Equals, 3*time.Second)
		qt.Assert(t, ca.closed(), qt.IsTrue)
		close(ct.gate)
	})
}

// failingListener fails some accepts, as when descriptors run out.
type failingListener struct {
	net.Listener
	failures int
}

func (fl *failingListener) Accept() (net.Conn, error) {
	if fl.failures > 0 {
		fl.failures--
		return nil, io.ErrUnexpectedEOF
	}
	return fl.Listener.Accept()
}

// Guards against a server that stops accepting after descriptors ran out: once there are
// some again, it must serve callers.
func TestAcceptErrorsAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newChanListener(address("10.0.0.1:80"))
		cs := newCallerServer(&failingListener{cl, 50}, http.NotFoundHandler(), timer.New(), zap.NewNop())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- cs.Serve(ctx) }()
		ct := &callerServerTest{t: t, cl: cl}
		qt.Assert(t, ct.connect().get("/", 0), qt.Equals, http.StatusNotFound)
		cancel()
		qt.Assert(t, <-ended, qt.ErrorIs, context.Canceled)
		cs.Close(ctx)
	})
}
