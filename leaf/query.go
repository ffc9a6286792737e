package leaf

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"balsamwinch.example/backend"
)

const (
	maxRequestBytes  = 1 << 20
	shedRetryMillis  = 20 // shedRetryMillis is when a shed request may come back.
	drainRetryMillis = 1000
)

// Row is one row of an answer. It depends on nothing but the shard, the snapshot
// and the query, so that replicas give the same rows and a mix shows.
type Row struct {
	Shard    string
	Snapshot string
	Number   int
	Query    json.RawMessage
}

type servedKey struct{}

func withServed(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, servedKey{}, nc)
}

// repeatDoubled sends a reply again that is to come twice.
func repeatDoubled(nc net.Conn, cs http.ConnState) {
	if sc, ok := nc.(*served); ok && cs == http.StateIdle {
		sc.repeat()
	}
}

func (le *Leaf) queryHandler() http.Handler {
	mx := http.NewServeMux()
	mx.HandleFunc("POST "+backend.QueryPath, le.serveQuery)
	mx.HandleFunc("POST "+backend.CancelPath, le.serveCancel)
	mx.HandleFunc("GET "+backend.HealthPath, le.serveHealth)
	mx.HandleFunc("GET "+backend.LoadPath, le.serveLoad)
	return mx
}

func (le *Leaf) serveQuery(rw http.ResponseWriter, hr *http.Request) {
	var rq backend.Request
	err := readJSON(rw, hr, &rq)
	le.tl.change(func(co *Counts) { co.Requests++ })
	fs := le.faults.Load()
	lo := le.di.draw(le.cf.Latency, fs.fa, le.coldFactor())
	if lo.cut {
		panic(http.ErrAbortHandler)
	}
	re := backend.Reply{
		RequestID: rq.RequestID, Server: le.cf.Server, Incarnation: le.cf.Incarnation,
		Shard: rq.Shard, Snapshot: rq.Snapshot, Code: backend.ReplyBad,
	}
	if err == nil {
		re.Code = le.answer(hr.Context(), rq, fs, lo)
	}
	if lo.gone {
		panic(http.ErrAbortHandler)
	}
	le.writeReply(rw, hr, rq, re, lo)
}

func (le *Leaf) writeReply(rw http.ResponseWriter, hr *http.Request, rq backend.Request, re backend.Reply, lo lot) {
	switch re.Code {
	case backend.ReplyOK:
		re.Rows = le.rows(rq)
	case backend.ReplyShed:
		re.RetryAfterMillis = shedRetryMillis
	case backend.ReplyDraining:
		re.RetryAfterMillis = drainRetryMillis
	}
	re.Running = le.wo.running()
	if before := le.last.Swap(&rq.RequestID); lo.crossed {
		re.RequestID = "none"
		if before != nil {
			re.RequestID = *before
		}
	}
	if sc, ok := hr.Context().Value(servedKey{}).(*served); ok && lo.doubled {
		sc.startDouble()
	}
	le.tl.change(func(co *Counts) { co.Replies[re.Code]++ })
	writeJSON(rw, re)
}

func (le *Leaf) rows(rq backend.Request) []json.RawMessage {
	rows := make([]json.RawMessage, le.cf.RowsPerReply)
	for i := range rows {
		row, err := json.Marshal(Row{Shard: rq.Shard, Snapshot: rq.Snapshot.String(), Number: i, Query: rq.Query})
		if err != nil {
			panic(fmt.Sprintf("leaf: a row of a decoded query: %v", err))
		}
		rows[i] = row
	}
	return rows
}

// answer runs a request and returns what became of it.
func (le *Leaf) answer(ctx context.Context, rq backend.Request, fs *setFaults, lo lot) backend.ReplyCode {
	le.mu.Lock()
	ix := le.ix
	le.mu.Unlock()
	if rc := ix.check(rq.Shard, rq.Snapshot); rc != backend.ReplyOK {
		return rc
	}
	if lo.shed {
		return backend.ReplyShed
	}
	jb, wait, ve := le.wo.begin(rq.RequestID)
	switch ve {
	case refusedFull:
		return backend.ReplyShed
	case refusedEarly:
		return backend.ReplyCancelled
	case refusedClosed:
		le.tl.change(func(co *Counts) { co.RefusedAfterNotice++ })
		return backend.ReplyDraining
	}
	var until <-chan time.Time
	if rq.TimeoutMillis > 0 {
		tm := time.NewTimer(time.Duration(rq.TimeoutMillis) * time.Millisecond)
		defer tm.Stop()
		until = tm.C
	}
	if wait && !le.awaitSlot(ctx, jb, until) {
		le.wo.end(jb, false)
		return backend.ReplyShed
	}
	return le.run(ctx, rq, jb, fs, lo, until)
}

// awaitSlot waits in the queue and reports whether a slot came free in time.
func (le *Leaf) awaitSlot(ctx context.Context, jb *job, until <-chan time.Time) bool {
	defer le.wo.dequeue()
	select {
	case le.wo.slots <- struct{}{}:
		return true
	case <-until:
	case <-jb.stop:
	case <-ctx.Done():
	}
	return false
}

// run holds a slot for the service time of a request, or until it is to stop.
func (le *Leaf) run(ctx context.Context, rq backend.Request, jb *job, fs *setFaults, lo lot, until <-chan time.Time) backend.ReplyCode {
	key := rq.Key
	if rq.Repeatable {
		key = ""
	}
	le.tl.change(func(co *Counts) { co.begin(key) })
	defer func() {
		le.tl.change(func(co *Counts) { co.Running-- })
		le.wo.end(jb, true)
	}()
	if fs.fa.Stuck {
		select {
		case <-fs.lifted:
		case <-le.ended:
		}
		return backend.ReplyFailed
	}
	rc := le.serve(ctx, jb, lo.service, until)
	if rc != backend.ReplyOK {
		le.stopLate()
	}
	return rc
}

func (le *Leaf) serve(ctx context.Context, jb *job, service time.Duration, until <-chan time.Time) backend.ReplyCode {
	if service <= 0 {
		return backend.ReplyOK
	}
	tm := time.NewTimer(service)
	defer tm.Stop()
	select {
	case <-tm.C:
		return backend.ReplyOK
	case <-until:
		return backend.ReplyDeadlinePassed
	case <-jb.stop:
	case <-ctx.Done():
	}
	return backend.ReplyCancelled
}

// stopLate goes on holding the slot of a request that was told to stop.
func (le *Leaf) stopLate() {
	le.tl.change(func(co *Counts) {
		co.Stopped++
		co.RunningAfterStop++
	})
	if le.cf.StopLag > 0 {
		_ = le.ts.Sleep(context.Background(), le.cf.StopLag)
	}
	le.tl.change(func(co *Counts) { co.RunningAfterStop-- })
}

func (le *Leaf) serveCancel(rw http.ResponseWriter, hr *http.Request) {
	var ca backend.Cancel
	if err := readJSON(rw, hr, &ca); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	le.tl.change(func(co *Counts) { co.Cancels++ })
	writeJSON(rw, backend.CancelReply{RequestID: ca.RequestID, Stopped: le.wo.cancel(ca.RequestID)})
}

func (le *Leaf) serveHealth(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, le.reported().health)
}

func (le *Leaf) serveLoad(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, le.reported().load)
}

// report is what a Leaf says of its health and load.
type report struct {
	health backend.Health
	load   backend.Load
}

func (le *Leaf) currentReport() report {
	return report{
		health: backend.Health{Server: le.cf.Server, State: le.Record().State},
		load: backend.Load{
			Server: le.cf.Server, Running: le.wo.running(), Slots: le.cf.Slots, Connections: le.Counts().Connections,
		},
	}
}

// reported returns a report of the past with LoadLag, and one that was never
// true with Lie.
func (le *Leaf) reported() report {
	re := le.currentReport()
	if sa := le.sampled.Load(); sa != nil {
		re = *sa
	}
	if le.Faults().Lie {
		re.health.State = backend.Serving
		re.load.Running, re.load.Connections = 0, 0
	}
	return re
}

// sampleReports takes the report that is given out for the time of LoadLag.
func (le *Leaf) sampleReports(ctx context.Context) {
	if le.cf.LoadLag <= 0 {
		return
	}
	su := le.ts.Subscribe(le.cf.LoadLag)
	defer su.Stop()
	for {
		re := le.currentReport()
		le.sampled.Store(&re)
		select {
		case <-su.C:
		case <-ctx.Done():
			return
		}
	}
}

func readJSON(rw http.ResponseWriter, hr *http.Request, out any) error {
	bs, err := io.ReadAll(http.MaxBytesReader(rw, hr.Body, maxRequestBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(bs, out)
}

func writeJSON(rw http.ResponseWriter, va any) {
	rw.Header().Set("Content-Type", "application/json")
	bs, err := json.Marshal(va)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = rw.Write(bs)
}
