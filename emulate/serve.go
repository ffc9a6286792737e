package emulate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"balsamwinch.example/registry"
)

// HealthPath is the path of a server's health check.
const HealthPath = "/health"

// connection is the state of a connection to a server.
type connection struct {
	used atomic.Bool
}

type connectionKey struct{}

// ServeHTTP handles one request as a backend server does: it may reject it, queue it for
// a slot, and takes some time to run it.
func (se *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	ctx := rq.Context()
	if rq.URL.Path != HealthPath {
		se.emit(EventRequestReceived, rq)
	}
	if se.sleep(ctx, 0) != nil { // A paused server handles no request, not even a health check.
		return
	}
	if rq.URL.Path == HealthPath {
		se.serveHealth(wr)
		return
	}
	se.addCounts(rq, Counts{Arrived: 1})
	id := rq.Header.Get(headerRequestID)
	if id != "" {
		wr.Header().Set(headerRequestID, id)
	}
	fa := *se.faults.Load()
	expected := rq.Header.Get(headerExpectServer)
	switch {
	case id == "":
		se.reject(wr, rq, http.StatusBadRequest)
		return
	case expected != "" && expected != se.cf.ID:
		se.reject(wr, rq, http.StatusMisdirectedRequest)
		return
	case se.chance(fa.Shed):
		se.reject(wr, rq, http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := withDeadline(ctx, rq)
	defer cancel()
	if !se.acquireSlot(ctx) {
		if rq.Context().Err() == nil {
			se.reject(wr, rq, http.StatusServiceUnavailable)
		}
		return
	}
	defer func() { <-se.slots }()
	se.addCounts(rq, Counts{Ran: 1})
	se.emit(EventRequestStarted, rq)
	if se.chance(fa.Silent) {
		<-rq.Context().Done()
		return
	}
	err := se.sleep(ctx, se.drawServiceTime(fa)+se.connectionCost(rq))
	if rq.Context().Err() == nil {
		se.crashOn(rq)
	}
	switch {
	case rq.Context().Err() != nil: // The caller has closed the connection.
	case err != nil:
		se.respondError(wr, id, http.StatusGatewayTimeout)
	default:
		se.respond(wr, rq, id, fa)
	}
}

func (se *Server) serveHealth(wr http.ResponseWriter) {
	wr.Header().Set(headerServerID, se.cf.ID)
	if registry.State(se.state.Load()) != registry.Ready {
		wr.WriteHeader(http.StatusServiceUnavailable)
	}
}

// withDeadline returns a context that ends when the caller stops waiting.
func withDeadline(ctx context.Context, rq *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(rq.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// acquireSlot waits for a slot. It returns false if the queue is full or the context ends
// first.
func (se *Server) acquireSlot(ctx context.Context) bool {
	select {
	case se.slots <- struct{}{}:
		return true
	default:
	}
	if se.waiting.Add(1) > int64(se.cf.Queue) {
		se.waiting.Add(-1)
		return false
	}
	defer se.waiting.Add(-1)
	select {
	case se.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleep waits as long as the work takes, including the pauses in between.
func (se *Server) sleep(ctx context.Context, work time.Duration) error {
	now := se.ts.Now()
	if remaining := se.ps.end(now, work).Sub(now); remaining > 0 {
		return se.ts.Sleep(ctx, remaining)
	}
	return ctx.Err()
}

// drawServiceTime draws how long one request runs.
func (se *Server) drawServiceTime(fa Faults) time.Duration {
	se.mu.Lock()
	base := se.cf.ServiceTime.draw(se.rd)
	se.mu.Unlock()
	factor := se.cf.ServiceTimeFactor
	if fa.SlowFactor > 0 {
		factor *= fa.SlowFactor
	}
	if se.ts.Now().Sub(se.started) < se.cf.Warmup {
		factor *= se.cf.WarmupFactor
	}
	return time.Duration(factor * float64(base))
}

func (se *Server) connectionCost(rq *http.Request) time.Duration {
	cn, ok := rq.Context().Value(connectionKey{}).(*connection)
	if !ok || cn.used.Swap(true) {
		return 0
	}
	return se.cf.ConnectionCost
}

func (se *Server) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.rd.Float64() < probability
}

// reject responds that the request has not run and will not run.
func (se *Server) reject(wr http.ResponseWriter, rq *http.Request, status int) {
	se.addCounts(rq, Counts{NotRun: 1})
	se.emit(EventRequestRejected, rq)
	wr.Header().Set(headerNotRun, "1")
	se.reportLoad(wr)
	wr.WriteHeader(status)
}

func (se *Server) respondError(wr http.ResponseWriter, id string, status int) {
	wr.Header().Set(headerStamp, Stamp(se.cf.ID, id))
	se.reportLoad(wr)
	wr.WriteHeader(status)
}

// respond sends the records, or a faulty response as the faults demand.
func (se *Server) respond(wr http.ResponseWriter, rq *http.Request, id string, fa Faults) {
	if se.chance(fa.Fail) {
		se.respondError(wr, id, http.StatusInternalServerError)
		return
	}
	if se.chance(fa.Cut) {
		se.writeRaw(wr, "")
		return
	}
	if se.chance(fa.Garble) {
		se.writeRaw(wr, "\x00\x01 these bytes are no answer\r\n\r\n")
		return
	}
	if se.chance(fa.Late) && se.ts.Sleep(rq.Context(), se.drawResponseDelay()) != nil {
		return
	}
	path := rq.URL.Path
	if se.chance(fa.WrongRequest) {
		id, path = id+wrongRequestSuffix, path+wrongRequestSuffix
		wr.Header().Set(headerRequestID, id)
	}
	body := Records(se.cf.Service, path, se.cf.Records)
	if se.chance(fa.Duplicate) {
		se.sendTwice(wr, id, body)
		return
	}
	hd := wr.Header()
	hd.Set(headerStamp, Stamp(se.cf.ID, id))
	hd.Set("Content-Type", "application/octet-stream")
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	if registry.State(se.state.Load()) != registry.Ready {
		hd.Set("Connection", "close")
	}
	se.reportLoad(wr)
	if se.chance(fa.Truncate) {
		_, _ = wr.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler) // makes net/http close the connection in the middle of the response
	}
	_, _ = wr.Write(body)
}

// writeRaw writes some bytes instead of a response and closes the connection.
func (se *Server) writeRaw(wr http.ResponseWriter, bytes string) {
	nc, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	_, _ = nc.Write([]byte(bytes))
	_ = nc.Close()
}

// wrongRequestSuffix turns the ID and path of a request into those of another one.
const wrongRequestSuffix = "-other"

const (
	minResponseDelay = 50 * time.Millisecond
	maxResponseDelay = 400 * time.Millisecond
	// duplicateCloseDelay is how long a connection stays open after a response was sent
	// twice.
	duplicateCloseDelay = time.Second
)

// drawResponseDelay draws the delay of a late response.
func (se *Server) drawResponseDelay() time.Duration {
	se.mu.Lock()
	defer se.mu.Unlock()
	return minResponseDelay + time.Duration(se.rd.Float64()*float64(maxResponseDelay-minResponseDelay))
}

// sendTwice writes a response twice and closes the connection only later, so that a
// caller that reuses the connection after the first copy reads the second one.
func (se *Server) sendTwice(wr http.ResponseWriter, id string, body []byte) {
	nc, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headerRequestID, id, headerStamp, Stamp(se.cf.ID, id), len(body), body)
	_, _ = io.WriteString(nc, response+response)
	se.ts.Timeout(duplicateCloseDelay, func() { _ = nc.Close() })
}

// reportLoad adds a header with the running requests, the queued requests and the slots.
func (se *Server) reportLoad(wr http.ResponseWriter) {
	if !se.cf.ReportLoad {
		return
	}
	values := []string{strconv.Itoa(len(se.slots)), strconv.FormatInt(se.waiting.Load(), 10), strconv.Itoa(se.cf.Slots)}
	wr.Header().Set(headerServerLoad, strings.Join(values, ","))
}
