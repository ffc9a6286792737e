package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// leaf is a backend server. It sends its heartbeats to one control instance for as long as
// that one acknowledges them within a second, and otherwise calls the next one.
type leaf struct {
	wo                *world
	id, service, zone string
	born              int64 // Unix milliseconds of its start
	li                net.Listener

	mu    sync.Mutex
	seq   int
	state string
	node  int // index of the control instance that it calls
	conns map[net.Conn]bool
	done  chan struct{}

	// ran is called when the leaf begins to work on a request.
	ran func(lf *leaf, rq *http.Request)
}

// startLeaf starts a leaf whose first heartbeat goes to the control instance with an index.
func (wo *world) startLeaf(id, service, zone string, node int) (*leaf, error) {
	li, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:0", wo.prefix, 100+len(wo.leafs)))
	if err != nil {
		return nil, err
	}
	lf := &leaf{wo: wo, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), li: li, state: "ready", node: node, conns: make(map[net.Conn]bool), done: make(chan struct{})}
	wo.leafs = append(wo.leafs, lf)
	wo.rec.note("leaf %s of %s starts at %s", id, service, li.Addr())
	go lf.accept()
	return lf, nil
}

// announce sends heartbeats until the leaf ends.
func (lf *leaf) announce() {
	for {
		lf.beat()
		select {
		case <-lf.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// beat sends one heartbeat, to the next control instance if one doesn't acknowledge it. It
// returns the name of the one that did.
func (lf *leaf) beat() string {
	for range lf.wo.controls {
		lf.mu.Lock()
		lf.seq++
		body := lf.announcement(lf.service, lf.state, lf.seq)
		in, state, seq := lf.wo.controls[lf.node%len(lf.wo.controls)], lf.state, lf.seq
		lf.mu.Unlock()
		status, _ := lf.wo.call("PUT", "http://"+in.at(portControl)+"/instances/"+lf.id, body)
		lf.wo.rec.note("leaf %s says %s (seq %d) to %s: %d", lf.id, state, seq, in.name, status)
		if status/100 == 2 {
			return in.name
		}
		lf.mu.Lock()
		lf.node++
		lf.mu.Unlock()
	}
	return ""
}

// announcement returns the body of a heartbeat of the leaf.
func (lf *leaf) announcement(service, state string, seq int) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","max_concurrency":5,"state":%q,"warmup_left_ms":0,"seq":%d,"born":%d}`,
		service, lf.li.Addr().String(), lf.zone, state, seq, lf.born)
}

// otherBeat sends a heartbeat of another writer: it repeats what the leaf says of itself, with
// a service that no configuration names, and numbers of its own.
func (lf *leaf) otherBeat(in *instance, state string, seq int) {
	status, detail := lf.wo.call("PUT", "http://"+in.at(portControl)+"/instances/"+lf.id, lf.announcement("other-service", state, seq))
	lf.wo.rec.note("another writer says %s of %s of other-service (seq %d) to %s: %d %s", state, lf.id, seq, in.name, status, detail)
}

// setState sets the state that the next heartbeats say.
func (lf *leaf) setState(state string) {
	lf.mu.Lock()
	defer lf.mu.Unlock()
	lf.state = state
}

// setNode sets the control instance that the next heartbeat goes to.
func (lf *leaf) setNode(node int) {
	lf.mu.Lock()
	defer lf.mu.Unlock()
	lf.node = node
}

func (lf *leaf) accept() {
	for {
		cn, err := lf.li.Accept()
		if err != nil {
			return
		}
		lf.mu.Lock()
		lf.conns[cn] = true
		lf.mu.Unlock()
		go lf.serve(cn)
	}
}

func (lf *leaf) serve(cn net.Conn) {
	defer func() {
		_ = cn.Close()
		lf.mu.Lock()
		defer lf.mu.Unlock()
		delete(lf.conns, cn)
	}()
	rd := bufio.NewReader(cn)
	for {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
		if expected := rq.Header.Get("Balsamwinch-Expect-Instance"); expected != "" && expected != lf.id {
			if !lf.write(cn, rq, 421, "Balsamwinch-Not-Executed: 1\r\n", "") {
				return
			}
			continue
		}
		if lf.ran != nil {
			lf.ran(lf, rq)
		}
		if !lf.write(cn, rq, 200, "Balsamwinch-Server-Stamp: "+lf.stamp(rq)+"\r\n", "answer of "+lf.id) {
			return
		}
	}
}

func (lf *leaf) stamp(rq *http.Request) string {
	return lf.id + "." + rq.Header.Get("Balsamwinch-Request-Id")
}

// write writes a reply and reports whether that succeeded.
func (lf *leaf) write(cn net.Conn, rq *http.Request, status int, headers, body string) bool {
	_, err := fmt.Fprintf(cn, "HTTP/1.1 %d %s\r\nBalsamwinch-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, strings.ReplaceAll(http.StatusText(status), " ", "-"), rq.Header.Get("Balsamwinch-Request-Id"), headers, len(body), body)
	return err == nil
}

// close ends the leaf.
func (lf *leaf) close() {
	lf.mu.Lock()
	defer lf.mu.Unlock()
	select {
	case <-lf.done:
		return
	default:
	}
	close(lf.done)
	_ = lf.li.Close()
	for cn := range lf.conns {
		_ = cn.Close()
	}
}
