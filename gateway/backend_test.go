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

// recordBytes is the size of a record in the parts that backend servers give.
const recordBytes = 16

// backend is a fake backend server. Like a real one it serves one request at a
// time on a connection, says its name for the id that it is asked for, and
// refuses what is meant for another server.
type backend struct {
	rg          *rig
	id, service string
	li          net.Listener
	wg          sync.WaitGroup

	mu      sync.Mutex
	state   registry.State
	only    *act // only is what the server does with each request, instead of its service's acts.
	greet   func(nc net.Conn) bool
	conns   map[net.Conn]struct{}
	opened  int // opened counts the connections so far.
	most    int // most is the most connections at one time.
	stopped bool
}

func newBackend(rg *rig, service, id string) *backend {
	be := &backend{rg: rg, id: id, service: service, li: rg.nw.listen(rg.tb), conns: make(map[net.Conn]struct{})}
	be.wg.Go(func() {
		for {
			nc, err := be.li.Accept()
			if err != nil {
				return
			}
			if be.enter(nc) {
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

// set makes the server do the same with each request from now on.
func (be *backend) set(ac act) {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.only = &ac
}

// onAccept has a say about new connections; one it returns false for is closed.
func (be *backend) onAccept(greet func(nc net.Conn) bool) {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.greet = greet
}

// connections returns how many connections there were in all, are now, and were
// at most.
func (be *backend) connections() (opened, open, most int) {
	be.mu.Lock()
	defer be.mu.Unlock()
	return be.opened, len(be.conns), be.most
}

func (be *backend) enter(nc net.Conn) bool {
	be.mu.Lock()
	defer be.mu.Unlock()
	if be.stopped {
		_ = nc.Close()
		return false
	}
	be.conns[nc] = struct{}{}
	be.opened++
	be.most = max(be.most, len(be.conns))
	return true
}

func (be *backend) leave(nc net.Conn) {
	_ = nc.Close()
	be.mu.Lock()
	delete(be.conns, nc)
	be.mu.Unlock()
	be.rg.le.note(func() {})
}

// refuse closes the listener: from now on connections are refused.
func (be *backend) refuse() { _ = be.li.Close() }

// hangUp closes all connections, as a server does that has had them idle for
// long.
func (be *backend) hangUp() {
	be.mu.Lock()
	defer be.mu.Unlock()
	for nc := range be.conns {
		_ = nc.Close()
	}
}

// stop ends the server.
func (be *backend) stop() {
	be.refuse()
	be.mu.Lock()
	be.stopped = true
	be.mu.Unlock()
	be.hangUp()
	be.wg.Wait()
}

func (be *backend) handle(nc net.Conn) {
	defer be.leave(nc)
	be.mu.Lock()
	greet := be.greet
	be.mu.Unlock()
	if greet != nil && !greet(nc) {
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
	// nth counts the arrivals of the request at the service, from 0.
	nth int
}

// next serves one request and reports whether the connection stays.
func (wo *work) next() bool {
	rq, err := http.ReadRequest(wo.rd)
	if err != nil {
		return false
	}
	wo.rq = rq
	be, le := wo.be, wo.be.rg.le
	wo.ar = &arrival{
		id: rq.Header.Get(names.RequestID), service: be.service, server: be.id, at: be.rg.ts.Now(),
		method: rq.Method, uri: rq.RequestURI, host: rq.Host, header: rq.Header,
	}
	le.note(func() {
		wo.nth = 0
		for _, ar := range le.arrivals {
			if ar.id == wo.ar.id && ar.service == be.service {
				wo.nth++
			}
		}
		le.arrivals = append(le.arrivals, wo.ar)
	})
	ac := wo.choose()
	if ac.early {
		le.note(func() { wo.ar.early = true })
		return ac.do(wo)
	}
	return wo.readBody() && ac.do(wo)
}

// choose returns what is done with the request. What is meant for another
// server, or has no id, is refused.
func (wo *work) choose() act {
	if wo.rq.Header.Get(names.ExpectServer) != wo.be.id {
		return moved
	}
	if wo.ar.id == "" {
		return shed(http.StatusBadRequest)
	}
	wo.be.mu.Lock()
	only := wo.be.only
	wo.be.mu.Unlock()
	if only != nil {
		return *only
	}
	return wo.be.rg.act(wo)
}

func (wo *work) readBody() bool {
	body, err := io.ReadAll(wo.rq.Body)
	wo.be.rg.le.note(func() { wo.ar.body, wo.ar.broken = string(body), err != nil })
	return err == nil
}

// run notes that the server has begun to work on the request.
func (wo *work) run() {
	wo.be.rg.le.note(func() { wo.ar.ran = true })
}

// write sends bytes and reports whether they could be sent.
func (wo *work) write(text string) bool {
	_, err := io.WriteString(wo.nc, text)
	return err == nil
}

// during waits for a channel while it looks whether the connection ends, and
// reports whether it still stands. A nil channel waits for the end alone.
func (wo *work) during(wait <-chan struct{}) bool {
	ended, looked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(looked)
		_, err := wo.rd.Peek(1)
		switch {
		case err == nil:
			wo.be.rg.tb.Errorf("%s got bytes while it was at work on %s", wo.be.id, wo.ar.id)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			close(ended)
		}
	}()
	select {
	case <-wait:
		_ = wo.nc.SetReadDeadline(time.Unix(1, 0))
	case <-ended:
	}
	<-looked
	select {
	case <-ended:
		wo.be.rg.le.note(func() { wo.be.rg.le.ended = append(wo.be.rg.le.ended, wo.ar.id) })
		return false
	default:
		_ = wo.nc.SetReadDeadline(time.Time{})
		return true
	}
}

// pause waits for a time like during.
func (wo *work) pause(span time.Duration) bool {
	over := make(chan struct{})
	tm := time.AfterFunc(span, func() { close(over) })
	defer tm.Stop()
	return wo.during(over)
}

// body returns the server's own bytes for the request: a number of records and
// a remainder, of any bytes.
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

// reply is what a server answers.
type reply struct {
	status int
	body   string
	id     string   // id is the echoed id; none if empty.
	lines  []string // lines are further lines of the head.
	// stamped says that the server signs it.
	stamped bool
	// framed says that the head tells the length of the body.
	framed bool
	// chunked says that the body goes out in chunks.
	chunked bool
}

// good is the usual answer.
func (wo *work) good() reply {
	return reply{status: http.StatusOK, body: wo.body(), id: wo.ar.id, stamped: true, framed: true}
}

// text returns the bytes of a reply, with a new stamp.
func (wo *work) text(re reply) string {
	lines := []string{fmt.Sprintf("HTTP/1.1 %d It Is So", re.status)}
	if re.id != "" {
		lines = append(lines, names.RequestID+": "+re.id)
	}
	body := re.body
	if wo.rq.Method == http.MethodHead || re.status == http.StatusNoContent || re.status == http.StatusNotModified {
		body = ""
	}
	if re.stamped {
		stamp := wo.be.rg.le.issue(issue{id: re.id, service: wo.be.service, server: wo.be.id, status: re.status, body: body})
		lines = append(lines, names.Stamp+": "+stamp)
	}
	if re.framed && re.status != http.StatusNoContent {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(re.body)))
	}
	lines = append(lines, re.lines...)
	if re.chunked {
		lines = append(lines, "Transfer-Encoding: chunked")
		body = inChunks(body) + "0\r\nX-Trailer: 1\r\n\r\n"
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func inChunks(body string) string {
	var sb strings.Builder
	for rest := body; rest != ""; {
		part := rest[:min(len(rest), 1000)]
		rest = rest[len(part):]
		fmt.Fprintf(&sb, "%x\r\n%s\r\n", len(part), part)
	}
	return sb.String()
}

// reset ends the connection so that the other end gets a reset, where there is
// such a thing.
func reset(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}

// act is what a backend server does with a request; it reports whether the
// connection stays.
type act struct {
	// early says that the body of the request has not been read yet.
	early bool
	do    func(wo *work) bool
}

// says runs the request and answers with what is made of the usual answer.
func says(change func(re *reply)) act {
	return act{do: func(wo *work) bool {
		wo.run()
		re := wo.good()
		change(&re)
		return wo.write(wo.text(re))
	}}
}

// ends does as says does and then closes the connection.
func ends(change func(re *reply)) act {
	return act{do: func(wo *work) bool {
		says(change).do(wo)
		return false
	}}
}

// refuses answers without running the request.
func refuses(status int, lines ...string) act {
	return act{do: func(wo *work) bool {
		return wo.write(wo.text(reply{status: status, body: "refused", id: wo.ar.id, lines: lines, framed: true}))
	}}
}

// sends runs the request, sends bytes made of the usual answer's, and closes the
// connection.
func sends(change func(text string) string) act {
	return act{do: func(wo *work) bool {
		wo.run()
		wo.write(change(wo.text(wo.good())))
		return false
	}}
}

// after does something else first, as long as the connection stands.
func after(wait func(wo *work) bool, ac act) act {
	return act{do: func(wo *work) bool { return wait(wo) && ac.do(wo) }}
}

var (
	fine    = says(func(*reply) {})
	chunked = says(func(re *reply) { re.framed, re.chunked = false, true })
	closing = ends(func(re *reply) { re.lines = append(re.lines, "Connection: close") })
	moved   = refuses(http.StatusMisdirectedRequest)
	// cutBody, cutHead and cutChunk end within the answer.
	cutBody = sends(func(text string) string { return text[:len(text)-1] })
	cutHead = sends(func(text string) string { return text[:20] })
	// halfLength tells more bytes than come.
	halfLength = ends(func(re *reply) {
		re.framed = false
		re.lines = append(re.lines, fmt.Sprintf("Content-Length: %d", 2*len(re.body)+9))
	})
	cutChunk = act{do: func(wo *work) bool {
		wo.run()
		re := wo.good()
		re.framed, re.chunked = false, true
		text := wo.text(re)
		wo.write(text[:strings.LastIndex(text, "0\r\nX-Trailer")])
		return false
	}}
	noise      = sends(func(string) string { return "\x16\x03\x01 what?" })
	almostHTTP = sends(func(text string) string { return "HTTP/1.1 2x0 OK\r\n" + text })
	stranger   = says(func(re *reply) { re.id = "somebody-else" })
	nameless   = says(func(re *reply) { re.id = "" })
	// dropped and resets end the connection in place of an answer.
	dropped = act{do: func(wo *work) bool {
		wo.run()
		return false
	}}
	resets = act{do: func(wo *work) bool {
		wo.run()
		reset(wo.nc)
		return false
	}}
	// silent works until the connection ends.
	silent = act{do: func(wo *work) bool {
		wo.run()
		return wo.during(nil)
	}}
	// chatty sends more than the answer, double a second answer to the same
	// request.
	chatty = act{do: func(wo *work) bool {
		wo.run()
		re := wo.good()
		re.id = "somebody-else"
		return wo.write(wo.text(wo.good()) + wo.text(re))
	}}
	double = act{do: func(wo *work) bool {
		wo.run()
		return wo.write(wo.text(wo.good()) + wo.text(wo.good()))
	}}
)

// shed refuses a request with the server's word that it doesn't run it.
func shed(status int) act { return refuses(status, names.NotRun+": 1") }

// fails runs the request and answers with a failure.
func fails(status int) act { return says(func(re *reply) { re.status = status }) }

// paused stands still for a time before it works.
func paused(span time.Duration, ac act) act {
	return after(func(wo *work) bool { return wo.pause(span) }, ac)
}

// held works until the channel is closed and then answers.
func held(gate <-chan struct{}, ac act) act {
	return after(func(wo *work) bool {
		wo.run()
		return wo.during(gate)
	}, ac)
}
