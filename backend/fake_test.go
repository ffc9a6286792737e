package backend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
	"balsamwinch.example/snapshot"
	"balsamwinch.example/timer"
)

var one = snapshot.ID{Partition: 1, Version: 1}

// fakeServer is a scripted backend server behind net.Pipe, for tests with fake
// time.
type fakeServer struct {
	// answer writes the response of connection nc, the nth from 1, to a request,
	// and reports whether the connection stays open.
	answer func(nc net.Conn, nth int, rq backend.Request) bool
	// silent reports whether the nth connection loses all that is sent on it; nil
	// means none does.
	silent func(nth int) bool

	mu       sync.Mutex
	conns    int
	requests map[int]int // number of requests by connection
	arrivals []string    // ids of the requests that arrived completely
	cancels  []string
	timeouts []int64
}

func (fk *fakeServer) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	fk.mu.Lock()
	fk.conns++
	nth := fk.conns
	fk.mu.Unlock()
	go fk.serve(far, nth)
	return near, nil
}

func (fk *fakeServer) serve(nc net.Conn, nth int) {
	defer nc.Close()
	rd := bufio.NewReader(nc)
	for {
		hr, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		var rq backend.Request
		if json.NewDecoder(hr.Body).Decode(&rq) != nil || !fk.handle(nc, nth, hr.URL.Path, rq) {
			return
		}
	}
}

func (fk *fakeServer) handle(nc net.Conn, nth int, path string, rq backend.Request) bool {
	if fk.silent != nil && fk.silent(nth) {
		return true
	}
	fk.mu.Lock()
	if path == backend.CancelPath {
		fk.cancels = append(fk.cancels, rq.RequestID)
		fk.mu.Unlock()
		return write(nc, backend.CancelReply{RequestID: rq.RequestID, Stopped: true})
	}
	if fk.requests == nil {
		fk.requests = make(map[int]int)
	}
	fk.requests[nth]++
	fk.arrivals = append(fk.arrivals, rq.RequestID)
	fk.timeouts = append(fk.timeouts, rq.TimeoutMillis)
	fk.mu.Unlock()
	return fk.answer(nc, nth, rq)
}

func (fk *fakeServer) received() (arrivals, cancels []string, conns int) {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	return slices.Clone(fk.arrivals), slices.Clone(fk.cancels), fk.conns
}

func (fk *fakeServer) numRequests(nth int) int {
	fk.mu.Lock()
	defer fk.mu.Unlock()
	return fk.requests[nth]
}

func encode(va any) []byte {
	bs, err := json.Marshal(va)
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(bs), bs)
}

func write(nc net.Conn, va any) bool {
	_, err := nc.Write(encode(va))
	return err == nil
}

func reply(rq backend.Request) backend.Reply {
	return backend.Reply{RequestID: rq.RequestID, Server: "sv", Shard: rq.Shard, Snapshot: rq.Snapshot, Code: backend.ReplyOK}
}

func request(id string) backend.Request {
	return backend.Request{RequestID: id, Shard: "a", Snapshot: one, Query: json.RawMessage(`{}`)}
}

func kindOf(err error) (backend.ErrorKind, bool) {
	if err == nil {
		return "", false
	}
	er := err.(*backend.Error)
	return er.Kind, er.Sent
}

func newClient(t testing.TB, cf backend.ClientConfig) *backend.Client {
	cl := backend.NewClient(timer.New(), zap.NewNop(), cf)
	t.Cleanup(cl.Close)
	return cl
}

func target(share int) backend.Target {
	return backend.Target{Server: "sv", Address: "127.0.0.1:1", Incarnation: 1, MaxConnections: share}
}

func checkError(c *qt.C, err error, kind backend.ErrorKind, sent bool) {
	c.Helper()
	gotKind, gotSent := kindOf(err)
	c.Check(gotKind, qt.Equals, kind, qt.Commentf("%v", err))
	c.Check(gotSent, qt.Equals, sent, qt.Commentf("%v", err))
}

func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
