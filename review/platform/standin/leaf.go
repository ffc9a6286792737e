package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers between the system and leafs.
const (
	headerRequestID = "Balsamwinch-Request-Id"
	headerDeadline  = "Balsamwinch-Deadline-Ms"
	headerExpect    = "Balsamwinch-Expect-Instance"
	headerStamp     = "Balsamwinch-Server-Stamp"
	headerNotRun    = "Balsamwinch-Not-Executed"
	// headerWork is an end-to-end header of these clients: how long the work takes, in
	// milliseconds.
	headerWork = "X-Work-Ms"
)

const maxConcurrency = 6

// run is a request that a leaf began to work on.
type run struct {
	id     string
	at     time.Time
	ended  time.Time // zero while it runs
	answer bool      // whether the leaf answered it
}

// leaf is a server of the service.
type leaf struct {
	wo   *world
	id   string
	zone string
	li   net.Listener
	hs   *http.Server
	slot chan struct{}

	mu     sync.Mutex
	seq    int
	runs   []*run
	exited bool // whether the leaf has exited, and with it broken off what it ran
}

// startLeaf starts a leaf that serves, and doesn't announce itself yet.
func (wo *world) startLeaf(name string, host int) (*leaf, error) {
	li, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", wo.network, host, portLeaf))
	if err != nil {
		return nil, err
	}
	le := &leaf{wo: wo, id: name, zone: zones[0], li: li, slot: make(chan struct{}, maxConcurrency)}
	le.hs = &http.Server{Handler: le, IdleTimeout: 30 * time.Second}
	go func() { _ = le.hs.Serve(li) }()
	wo.mu.Lock()
	wo.leafs = append(wo.leafs, le)
	wo.mu.Unlock()
	return le, nil
}

// ServeHTTP runs one request.
func (le *leaf) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	hd := wr.Header()
	id := rq.Header.Get(headerRequestID)
	hd.Set("Keep-Alive", "timeout=30")
	if rq.URL.Path == "/health" {
		hd.Set("Balsamwinch-Instance-Id", le.id)
		return
	}
	hd.Set(headerRequestID, id)
	if _, err := io.ReadAll(rq.Body); err != nil {
		panic(http.ErrAbortHandler) // the client or the system has left
	}
	if expected := rq.Header.Get(headerExpect); expected != "" && expected != le.id {
		hd.Set(headerNotRun, "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case le.slot <- struct{}{}:
		defer func() { <-le.slot }()
	default:
		hd.Set(headerNotRun, "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	le.work(wr, rq, id)
}

func (le *leaf) work(wr http.ResponseWriter, rq *http.Request, id string) {
	work, _ := strconv.Atoi(rq.Header.Get(headerWork))
	deadline, _ := strconv.Atoi(rq.Header.Get(headerDeadline))
	le.wo.rc.add("%s runs %s (work %d ms, deadline %d ms)", le.id, id, work, deadline)
	ru := &run{id: id, at: time.Now()}
	le.mu.Lock()
	le.runs = append(le.runs, ru)
	le.mu.Unlock()
	status := http.StatusOK
	if work > deadline {
		work, status = deadline, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-rq.Context().Done():
		le.mu.Lock()
		ru.ended = time.Now()
		exited := le.exited
		le.mu.Unlock()
		if !exited {
			le.wo.rc.add("%s: the connection of %s is closed under it", le.id, id)
		}
		panic(http.ErrAbortHandler)
	}
	wr.Header().Set(headerStamp, le.id+"."+id)
	body := []byte("hoja " + id + "\n")
	wr.Header().Set("Content-Length", strconv.Itoa(len(body)))
	wr.WriteHeader(status)
	_, _ = wr.Write(body)
	le.mu.Lock()
	ru.ended, ru.answer = time.Now(), true
	le.mu.Unlock()
	le.wo.rc.add("%s answers %s with %d", le.id, id, status)
}

// findRun returns a copy of the run of a request.
func (le *leaf) findRun(id string) (run, bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	for _, ru := range le.runs {
		if ru.id == id {
			return *ru, true
		}
	}
	return run{}, false
}

// beat announces the leaf as ready to a control node, and reports whether the node
// acknowledged it.
func (le *leaf) beat(no *node) bool {
	le.mu.Lock()
	le.seq++
	seq := le.seq
	le.mu.Unlock()
	status, _, err := call(http.MethodPut, "http://"+no.address(portControl)+"/instances/"+le.id, map[string]any{
		"service": serviceName, "address": le.li.Addr().String(), "zone": le.zone, "version": "v1",
		"max_concurrency": maxConcurrency, "state": "ready", "warmup_left_ms": 0, "seq": seq,
	})
	return err == nil && status == http.StatusOK
}

// leave says that the leaf leaves.
func (le *leaf) leave(no *node) bool {
	status, _, err := call(http.MethodDelete, "http://"+no.address(portControl)+"/instances/"+le.id, nil)
	return err == nil && status/100 == 2
}

// beatAlways announces the leaf at each interval, to the given control nodes in turn, until
// the channel is closed. If a node doesn't acknowledge it, the next one is called. It returns
// the node whose turn is next.
func (le *leaf) beatAlways(nodes []*node, stop <-chan struct{}) *node {
	for nth := 0; ; nth++ {
		for try := range nodes {
			if le.beat(nodes[(nth+try)%len(nodes)]) {
				break
			}
		}
		select {
		case <-time.After(heartbeat):
		case <-stop:
			return nodes[(nth+1)%len(nodes)]
		}
	}
}

// exit ends the leaf: its connections are closed at once.
func (le *leaf) exit() {
	le.mu.Lock()
	was := le.exited
	le.exited = true
	le.mu.Unlock()
	if !was {
		_ = le.hs.Close()
	}
}
