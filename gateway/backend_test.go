package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"balsamwinch.example/registry"
)

// recordBytes is the size of a record in the parts of merged answers.
const recordBytes = 16

// backend is a fake backend server. Like a real one it serves one request at a time on each
// connection, echoes the request ID, stamps its answers, and rejects requests meant for
// another server.
type backend struct {
	rg          *rig
	id, service string
	li          net.Listener
	wg          sync.WaitGroup

	mu         sync.Mutex
	state      registry.State
	override   *behavior // replaces the behaviors of the service if set
	acceptFunc func(nc net.Conn) bool
	conns      map[net.Conn]struct{}
	opened     int // connections accepted so far
	peak       int // most connections at one time
	stopped    bool
}

func newBackend(rg *rig, service, id string) *backend {
	be := &backend{rg: rg, id: id, service: service, li: rg.nw.listen(rg.tb), conns: make(map[net.Conn]struct{})}
	be.wg.Go(func() {
		for {
			nc, err := be.li.Accept()
			if err != nil {
				return
			}
			if be.addConn(nc) {
				be.wg.Go(func() { be.handle(nc) })
			}
		}
	})
	return be
}

func (be *backend) record() registry.Server {
	be.mu.Lock()
	defer be.mu.Unlock()
	return registry.Server{ID: be.id, Service: be.service, Address: be.li.Addr().String(), Slots: 4, State: be.state}
}

// setBehavior makes the server treat every further request the same way.
func (be *backend) setBehavior(bh behavior) {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.override = &bh
}

// onAccept sets a function that inspects new connections; if it returns false, the
// connection is closed.
func (be *backend) onAccept(accept func(nc net.Conn) bool) {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.acceptFunc = accept
}

// connections returns the number of connections in total, the number open now, and the
// peak.
func (be *backend) connections() (opened, open, peak int) {
	be.mu.Lock()
	defer be.mu.Unlock()
	return be.opened, len(be.conns), be.peak
}

func (be *backend) addConn(nc net.Conn) bool {
	be.mu.Lock()
	defer be.mu.Unlock()
	if be.stopped {
		_ = nc.Close()
		return false
	}
	be.conns[nc] = struct{}{}
	be.opened++
	be.peak = max(be.peak, len(be.conns))
	return true
}

func (be *backend) removeConn(nc net.Conn) {
	_ = nc.Close()
	be.mu.Lock()
	delete(be.conns, nc)
	be.mu.Unlock()
	be.rg.hist.update(func() {})
}

// closeListener makes the server refuse further connections.
func (be *backend) closeListener() { _ = be.li.Close() }

// closeConns closes all connections, as a server does with connections that were idle for
// long.
func (be *backend) closeConns() {
	be.mu.Lock()
	defer be.mu.Unlock()
	for nc := range be.conns {
		_ = nc.Close()
	}
}

// stop closes the listener and all connections.
func (be *backend) stop() {
	be.closeListener()
	be.mu.Lock()
	be.stopped = true
	be.mu.Unlock()
	be.closeConns()
	be.wg.Wait()
}

func (be *backend) handle(nc net.Conn) {
	defer be.removeConn(nc)
	be.mu.Lock()
	accept := be.acceptFunc
	be.mu.Unlock()
	if accept != nil && !accept(nc) {
		return
	}
	wo := &work{be: be, nc: nc, rd: bufio.NewReader(nc)}
	for wo.next() {
	}
}

// work is one request at a backend server.
type work struct {
	be *backend
	nc net.Conn
	rd *bufio.Reader
	rq *http.Request
	ar *arrival
	// number of earlier arrivals of the request at the service
	nth int
}

// next serves one request and reports whether the connection stays open.
func (wo *work) next() bool {
	rq, err := http.ReadRequest(wo.rd)
	if err != nil {
		return false
	}
	wo.rq = rq
	be, hi := wo.be, wo.be.rg.hist
	wo.ar = &arrival{
		id: rq.Header.Get(names.RequestID), service: be.service, server: be.id, at: be.rg.ts.Now(),
		method: rq.Method, uri: rq.RequestURI, host: rq.Host, header: rq.Header,
	}
	hi.update(func() {
		wo.nth = 0
		for _, ar := range hi.arrivals {
			if ar.id == wo.ar.id && ar.service == be.service {
				wo.nth++
			}
		}
		hi.arrivals = append(hi.arrivals, wo.ar)
	})
	bh := wo.chooseBehavior()
	if bh.beforeBody {
		hi.update(func() { wo.ar.answeredEarly = true })
		return bh.do(wo)
	}
	return wo.readBody() && bh.do(wo)
}

// chooseBehavior returns how the request is treated. A request that is meant for another
// server or has no ID is rejected.
func (wo *work) chooseBehavior() behavior {
	if wo.rq.Header.Get(names.ExpectServer) != wo.be.id {
		return rejectMisdirected
	}
	if wo.ar.id == "" {
		return rejectNotRun(http.StatusBadRequest)
	}
	wo.be.mu.Lock()
	override := wo.be.override
	wo.be.mu.Unlock()
	if override != nil {
		return *override
	}
	return wo.be.rg.behavior(wo)
}

func (wo *work) readBody() bool {
	body, err := io.ReadAll(wo.rq.Body)
	wo.be.rg.hist.update(func() { wo.ar.body, wo.ar.broken = string(body), err != nil })
	return err == nil
}

// markRan records that the server has started to run the request.
func (wo *work) markRan() {
	wo.be.rg.hist.update(func() { wo.ar.ran = true })
}

// write sends bytes and reports whether that succeeded.
func (wo *work) write(text string) bool {
	_, err := io.WriteString(wo.nc, text)
	return err == nil
}

// waitWhileOpen waits for a channel while it watches the connection, and reports whether
// the connection is still open. With a nil channel it waits until the connection closes.
func (wo *work) waitWhileOpen(wait <-chan struct{}) bool {
	ended, peeked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(peeked)
		_, err := wo.rd.Peek(1)
		switch {
		case err == nil:
			wo.be.rg.tb.Errorf("%s received bytes while it served %s", wo.be.id, wo.ar.id)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			close(ended)
		}
	}()
	select {
	case <-wait:
		_ = wo.nc.SetReadDeadline(time.Unix(1, 0))
	case <-ended:
	}
	<-peeked
	select {
	case <-ended:
		wo.be.rg.hist.update(func() { wo.be.rg.hist.aborted = append(wo.be.rg.hist.aborted, wo.ar.id) })
		return false
	default:
		_ = wo.nc.SetReadDeadline(time.Time{})
		return true
	}
}

// waitFor is waitWhileOpen with a duration.
func (wo *work) waitFor(span time.Duration) bool {
	over := make(chan struct{})
	tm := time.AfterFunc(span, func() { close(over) })
	defer tm.Stop()
	return wo.waitWhileOpen(over)
}

// body returns a body unique to the server and the request: a random number of records and
// a partial record, of arbitrary bytes.
func (wo *work) body() string {
	ha := fnv.New64a()
	_, _ = fmt.Fprint(ha, wo.be.id, wo.ar.id, wo.nth)
	rn := rand.New(rand.NewPCG(ha.Sum64(), 0))
	bs := make([]byte, rn.IntN(6)*recordBytes+rn.IntN(recordBytes))
	for ix := range bs {
		bs[ix] = byte(rn.Uint32())
	}
	return string(bs)
}

// reply is the answer of a server.
type reply struct {
	status int
	body   string
	id     string   // echoed request ID; none if empty
	lines  []string // additional header lines
	// whether the reply has a stamp
	stamped bool
	// text added to the stamp
	stampSuffix string
	// whether the reply has a Content-Length
	framed bool
	// whether the body is chunked
	chunked bool
}

// okReply returns the usual answer.
func (wo *work) okReply() reply {
	return reply{status: http.StatusOK, body: wo.body(), id: wo.ar.id, stamped: true, framed: true}
}

// encode returns the bytes of a reply, with a new stamp.
func (wo *work) encode(re reply) string {
	lines := []string{fmt.Sprintf("HTTP/1.1 %d Any Reason", re.status)}
	if re.id != "" {
		lines = append(lines, names.RequestID+": "+re.id)
	}
	body := re.body
	if wo.rq.Method == http.MethodHead || re.status == http.StatusNoContent || re.status == http.StatusNotModified {
		body = ""
	}
	if re.stamped {
		stamp := wo.be.rg.hist.issueStamp(stampedReply{id: re.id, service: wo.be.service, server: wo.be.id, status: re.status, body: body})
		lines = append(lines, names.Stamp+": "+stamp+re.stampSuffix)
	}
	if re.framed && re.status != http.StatusNoContent {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(re.body)))
	}
	lines = append(lines, re.lines...)
	if re.chunked {
		lines = append(lines, "Transfer-Encoding: chunked")
		body = encodeChunks(body) + "0\r\nX-Trailer: 1\r\n\r\n"
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func encodeChunks(body string) string {
	var sb strings.Builder
	for rest := body; rest != ""; {
		part := rest[:min(len(rest), 1000)]
		rest = rest[len(part):]
		fmt.Fprintf(&sb, "%x\r\n%s\r\n", len(part), part)
	}
	return sb.String()
}

// reset closes the connection with a TCP reset, if it is a TCP connection.
func reset(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}

// behavior is how a backend server treats a request. Function do reports whether the
// connection stays open.
type behavior struct {
	// whether do is called before the request body has been read
	beforeBody bool
	do         func(wo *work) bool
}

// respondWith runs the request and answers with a modified usual answer.
func respondWith(change func(re *reply)) behavior {
	return behavior{do: func(wo *work) bool {
		wo.markRan()
		re := wo.okReply()
		change(&re)
		return wo.write(wo.encode(re))
	}}
}

// respondAndClose is respondWith, and then closes the connection.
func respondAndClose(change func(re *reply)) behavior {
	return behavior{do: func(wo *work) bool {
		respondWith(change).do(wo)
		return false
	}}
}

// rejectWith answers without running the request.
func rejectWith(status int, lines ...string) behavior {
	return behavior{do: func(wo *work) bool {
		return wo.write(wo.encode(reply{status: status, body: "refused", id: wo.ar.id, lines: lines, framed: true}))
	}}
}

// sendRaw runs the request, sends the modified bytes of the usual answer, and closes the
// connection.
func sendRaw(change func(text string) string) behavior {
	return behavior{do: func(wo *work) bool {
		wo.markRan()
		wo.write(change(wo.encode(wo.okReply())))
		return false
	}}
}

// waitThen calls wait first, and continues if the connection is still open.
func waitThen(wait func(wo *work) bool, bh behavior) behavior {
	return behavior{do: func(wo *work) bool { return wait(wo) && bh.do(wo) }}
}

var (
	respondOK              = respondWith(func(*reply) {})
	respondChunked         = respondWith(func(re *reply) { re.framed, re.chunked = false, true })
	respondConnectionClose = respondAndClose(func(re *reply) { re.lines = append(re.lines, "Connection: close") })
	rejectMisdirected      = rejectWith(http.StatusMisdirectedRequest)
	// truncateBody, truncateHead and truncateChunks close the connection within the answer.
	truncateBody = sendRaw(func(text string) string { return text[:len(text)-1] })
	truncateHead = sendRaw(func(text string) string { return text[:20] })
	// overstateLength announces a longer body than it sends.
	overstateLength = respondAndClose(func(re *reply) {
		re.framed = false
		re.lines = append(re.lines, fmt.Sprintf("Content-Length: %d", 2*len(re.body)+9))
	})
	truncateChunks = behavior{do: func(wo *work) bool {
		wo.markRan()
		re := wo.okReply()
		re.framed, re.chunked = false, true
		text := wo.encode(re)
		wo.write(text[:strings.LastIndex(text, "0\r\nX-Trailer")])
		return false
	}}
	sendGarbage         = sendRaw(func(string) string { return "\x16\x03\x01 what?" })
	sendMalformedStatus = sendRaw(func(text string) string { return "HTTP/1.1 2x0 OK\r\n" + text })
	respondOtherID      = respondWith(func(re *reply) { re.id = "somebody-else" })
	respondNoID         = respondWith(func(re *reply) { re.id = "" })
	// closeUnanswered and resetUnanswered end the connection instead of answering.
	closeUnanswered = behavior{do: func(wo *work) bool {
		wo.markRan()
		return false
	}}
	resetUnanswered = behavior{do: func(wo *work) bool {
		wo.markRan()
		reset(wo.nc)
		return false
	}}
	// neverAnswer runs the request until the connection closes.
	neverAnswer = behavior{do: func(wo *work) bool {
		wo.markRan()
		return wo.waitWhileOpen(nil)
	}}
	// respondTwiceOtherID sends a second answer with another request ID; respondTwice sends
	// a second answer to the same request.
	respondTwiceOtherID = behavior{do: func(wo *work) bool {
		wo.markRan()
		re := wo.okReply()
		re.id = "somebody-else"
		return wo.write(wo.encode(wo.okReply()) + wo.encode(re))
	}}
	respondTwice = behavior{do: func(wo *work) bool {
		wo.markRan()
		return wo.write(wo.encode(wo.okReply()) + wo.encode(wo.okReply()))
	}}
)

// rejectNotRun rejects a request with the header that says it has not run.
func rejectNotRun(status int) behavior { return rejectWith(status, names.NotRun+": 1") }

// respondFailure runs the request and answers with a failure status.
func respondFailure(status int) behavior { return respondWith(func(re *reply) { re.status = status }) }

// delayed waits before it serves the request.
func delayed(span time.Duration, bh behavior) behavior {
	return waitThen(func(wo *work) bool { return wo.waitFor(span) }, bh)
}

// heldUntil runs the request until the channel is closed, and then answers.
func heldUntil(gate <-chan struct{}, bh behavior) behavior {
	return waitThen(func(wo *work) bool {
		wo.markRan()
		return wo.waitWhileOpen(gate)
	}, bh)
}
