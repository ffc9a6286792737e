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

// HealthPath is where a server says whether it is well.
const HealthPath = "/health"

// connection is what a server remembers of a connection.
type connection struct {
	used atomic.Bool
}

type connectionKey struct{}

// ServeHTTP answers one request as a backend server does: it may refuse it, make
// it wait for a slot, and works on it for a while.
func (se *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	ctx := rq.Context()
	if rq.URL.Path != HealthPath {
		se.note(EventRequestReceived, rq)
	}
	if se.rest(ctx, 0) != nil { // A paused server stands still, whatever it is asked.
		return
	}
	if rq.URL.Path == HealthPath {
		se.serveHealth(wr)
		return
	}
	se.count(rq, Counts{Arrived: 1})
	id := rq.Header.Get(headerRequestID)
	if id != "" {
		wr.Header().Set(headerRequestID, id)
	}
	tr := *se.tr.Load()
	expected := rq.Header.Get(headerExpect)
	switch {
	case id == "":
		se.refuse(wr, rq, http.StatusBadRequest)
		return
	case expected != "" && expected != se.cf.ID:
		se.refuse(wr, rq, http.StatusMisdirectedRequest)
		return
	case se.chance(tr.Shed):
		se.refuse(wr, rq, http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := deadline(ctx, rq)
	defer cancel()
	if !se.take(ctx) {
		if rq.Context().Err() == nil {
			se.refuse(wr, rq, http.StatusServiceUnavailable)
		}
		return
	}
	defer func() { <-se.slots }()
	se.count(rq, Counts{Ran: 1})
	se.note(EventRequestStarted, rq)
	if se.chance(tr.Silent) {
		<-rq.Context().Done()
		return
	}
	err := se.rest(ctx, se.work(tr)+se.connectionCost(rq))
	if rq.Context().Err() == nil {
		se.endsUnder(rq)
	}
	switch {
	case rq.Context().Err() != nil: // The caller has closed the connection.
	case err != nil:
		se.fail(wr, id, http.StatusGatewayTimeout)
	default:
		se.answer(wr, rq, id, tr)
	}
}

func (se *Server) serveHealth(wr http.ResponseWriter) {
	wr.Header().Set(headerServer, se.cf.ID)
	if registry.State(se.state.Load()) != registry.Ready {
		wr.WriteHeader(http.StatusServiceUnavailable)
	}
}

// deadline ends the context when the caller stops waiting.
func deadline(ctx context.Context, rq *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(rq.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
}

// take waits for a slot. It returns false if the queue is full or the context
// ends first.
func (se *Server) take(ctx context.Context) bool {
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

// rest sleeps for as long as some work takes, pauses on the way included.
func (se *Server) rest(ctx context.Context, work time.Duration) error {
	now := se.ts.Now()
	if left := se.ps.end(now, work).Sub(now); left > 0 {
		return se.ts.Sleep(ctx, left)
	}
	return ctx.Err()
}

// work draws how long the work for one request takes.
func (se *Server) work(tr Faults) time.Duration {
	se.mu.Lock()
	took := se.cf.ServiceTime.draw(se.rd)
	se.mu.Unlock()
	factor := se.cf.ServiceTimeFactor
	if tr.SlowFactor > 0 {
		factor *= tr.SlowFactor
	}
	if se.ts.Now().Sub(se.started) < se.cf.Warmup {
		factor *= se.cf.WarmupFactor
	}
	return time.Duration(factor * float64(took))
}

func (se *Server) connectionCost(rq *http.Request) time.Duration {
	cn, ok := rq.Context().Value(connectionKey{}).(*connection)
	if !ok || cn.used.Swap(true) {
		return 0
	}
	return se.cf.ConnectionCost
}

func (se *Server) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.rd.Float64() < share
}

// refuse says that the request has not run and won't.
func (se *Server) refuse(wr http.ResponseWriter, rq *http.Request, status int) {
	se.count(rq, Counts{NotRun: 1})
	se.note(EventRequestRejected, rq)
	wr.Header().Set(headerNotRun, "1")
	se.reportLoad(wr)
	wr.WriteHeader(status)
}

func (se *Server) fail(wr http.ResponseWriter, id string, status int) {
	wr.Header().Set(headerStamp, Stamp(se.cf.ID, id))
	se.reportLoad(wr)
	wr.WriteHeader(status)
}

// answer gives the records, or spoils the answer as the trouble wants.
func (se *Server) answer(wr http.ResponseWriter, rq *http.Request, id string, tr Faults) {
	if se.chance(tr.Fail) {
		se.fail(wr, id, http.StatusInternalServerError)
		return
	}
	if se.chance(tr.Cut) {
		se.spoil(wr, "")
		return
	}
	if se.chance(tr.Garble) {
		se.spoil(wr, "\x00\x01 these bytes are no answer\r\n\r\n")
		return
	}
	if se.chance(tr.Late) && se.ts.Sleep(rq.Context(), se.lateness()) != nil {
		return
	}
	path := rq.URL.Path
	if se.chance(tr.WrongRequest) {
		id, path = id+otherSuffix, path+otherSuffix
		wr.Header().Set(headerRequestID, id)
	}
	body := Records(se.cf.Service, path, se.cf.Records)
	if se.chance(tr.Duplicate) {
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
	if se.chance(tr.Truncate) {
		_, _ = wr.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler) // This is how net/http is told to cut an answer short.
	}
	_, _ = wr.Write(body)
}

// spoil writes some bytes in place of an answer and closes the connection.
func (se *Server) spoil(wr http.ResponseWriter, bytes string) {
	nc, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	_, _ = nc.Write([]byte(bytes))
	_ = nc.Close()
}

// otherSuffix makes a request's id and path those of another one.
const otherSuffix = "-other"

const (
	lateLeast = 50 * time.Millisecond
	lateMost  = 400 * time.Millisecond
	// keptOpen is how long a connection stays open on which an answer was sent twice.
	keptOpen = time.Second
)

// lateness draws how much later an answer comes.
func (se *Server) lateness() time.Duration {
	se.mu.Lock()
	defer se.mu.Unlock()
	return lateLeast + time.Duration(se.rd.Float64()*float64(lateMost-lateLeast))
}

// sendTwice writes an answer twice, and closes the connection only later: who has
// taken the first answer and uses the connection again gets the second one.
func (se *Server) sendTwice(wr http.ResponseWriter, id string, body []byte) {
	nc, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headerRequestID, id, headerStamp, Stamp(se.cf.ID, id), len(body), body)
	_, _ = io.WriteString(nc, one+one)
	se.ts.Timeout(keptOpen, func() { _ = nc.Close() })
}

// reportLoad states the requests that run and wait, and the slots.
func (se *Server) reportLoad(wr http.ResponseWriter) {
	if !se.cf.ReportLoad {
		return
	}
	figures := []string{strconv.Itoa(len(se.slots)), strconv.FormatInt(se.waiting.Load(), 10), strconv.Itoa(se.cf.Slots)}
	wr.Header().Set(headerLoad, strings.Join(figures, ","))
}
