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
	shedRetryMillis  = 20 // time after which a shed request may be retried
	drainRetryMillis = 1000
)

// Row is one row of an answer. It depends only on the shard, the snapshot and the query, so
// that replicas return equal rows and an answer mixed from several snapshots can be detected.
type Row struct {
	Shard    string
	Snapshot string
	Number   int
	Query    json.RawMessage
}

type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// replayDoubled sends the last reply again if it was drawn to be sent twice.
func replayDoubled(nc net.Conn, cs http.ConnState) {
	if sc, ok := nc.(*serverConn); ok && cs == http.StateIdle {
		sc.replay()
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
	le.tl.update(func(co *Counts) { co.Requests++ })
	af := le.faults.Load()
	pl := le.sm.sample(le.cf.Latency, af.fa, le.coldFactor())
	if pl.cut {
		panic(http.ErrAbortHandler)
	}
	re := backend.Reply{
		RequestID: rq.RequestID, Server: le.cf.Server, Incarnation: le.cf.Incarnation,
		Shard: rq.Shard, Snapshot: rq.Snapshot, Code: backend.ReplyBad,
	}
	if err == nil {
		re.Code = le.process(hr.Context(), rq, af, pl)
	}
	if pl.lost {
		panic(http.ErrAbortHandler)
	}
	le.writeReply(rw, hr, rq, re, pl)
}

func (le *Leaf) writeReply(rw http.ResponseWriter, hr *http.Request, rq backend.Request, re backend.Reply, pl requestPlan) {
	switch re.Code {
	case backend.ReplyOK:
		re.Rows = le.rows(rq)
	case backend.ReplyShed:
		re.RetryAfterMillis = shedRetryMillis
	case backend.ReplyDraining:
		re.RetryAfterMillis = drainRetryMillis
	}
	re.Running = le.ad.numRunning()
	if previous := le.previousID.Swap(&rq.RequestID); pl.crossed {
		re.RequestID = "none"
		if previous != nil {
			re.RequestID = *previous
		}
	}
	if sc, ok := hr.Context().Value(connKey{}).(*serverConn); ok && pl.doubled {
		sc.startRecording()
	}
	le.tl.update(func(co *Counts) { co.Replies[re.Code]++ })
	writeJSON(rw, re)
}

func (le *Leaf) rows(rq backend.Request) []json.RawMessage {
	rows := make([]json.RawMessage, le.cf.RowsPerReply)
	for i := range rows {
		row, err := json.Marshal(Row{Shard: rq.Shard, Snapshot: rq.Snapshot.String(), Number: i, Query: rq.Query})
		if err != nil {
			panic(fmt.Sprintf("leaf: encoding a row of a decoded query: %v", err))
		}
		rows[i] = row
	}
	return rows
}

// process runs a request and returns the code of its reply.
func (le *Leaf) process(ctx context.Context, rq backend.Request, af *activeFaults, pl requestPlan) backend.ReplyCode {
	le.mu.Lock()
	ix := le.ix
	le.mu.Unlock()
	if rc := ix.check(rq.Shard, rq.Snapshot); rc != backend.ReplyOK {
		return rc
	}
	if pl.shed {
		return backend.ReplyShed
	}
	jb, queued, ar := le.ad.admit(rq.RequestID)
	switch ar {
	case rejectedFull:
		return backend.ReplyShed
	case rejectedCancelled:
		return backend.ReplyCancelled
	case rejectedDraining:
		le.tl.update(func(co *Counts) { co.RefusedAfterNotice++ })
		return backend.ReplyDraining
	}
	var deadline <-chan time.Time
	if rq.TimeoutMillis > 0 {
		tm := time.NewTimer(time.Duration(rq.TimeoutMillis) * time.Millisecond)
		defer tm.Stop()
		deadline = tm.C
	}
	if queued && !le.awaitSlot(ctx, jb, deadline) {
		le.ad.finish(jb, false)
		return backend.ReplyShed
	}
	return le.runInSlot(ctx, rq, jb, af, pl, deadline)
}

// awaitSlot waits in the queue and reports whether a slot became free in time.
func (le *Leaf) awaitSlot(ctx context.Context, jb *job, deadline <-chan time.Time) bool {
	defer le.ad.dequeue()
	select {
	case le.ad.slots <- struct{}{}:
		return true
	case <-deadline:
	case <-jb.stop:
	case <-ctx.Done():
	}
	return false
}

// runInSlot holds a slot for the service time of a request, or until the request is stopped.
func (le *Leaf) runInSlot(ctx context.Context, rq backend.Request, jb *job, af *activeFaults, pl requestPlan, deadline <-chan time.Time) backend.ReplyCode {
	key := rq.Key
	if rq.Repeatable {
		key = ""
	}
	le.tl.update(func(co *Counts) { co.countStart(key) })
	defer func() {
		le.tl.update(func(co *Counts) { co.Running-- })
		le.ad.finish(jb, true)
	}()
	if af.fa.Stuck {
		select {
		case <-af.replaced:
		case <-le.closed:
		}
		return backend.ReplyFailed
	}
	rc := le.simulateWork(ctx, jb, pl.serviceTime, deadline)
	if rc != backend.ReplyOK {
		le.holdSlotAfterStop()
	}
	return rc
}

func (le *Leaf) simulateWork(ctx context.Context, jb *job, serviceTime time.Duration, deadline <-chan time.Time) backend.ReplyCode {
	if serviceTime <= 0 {
		return backend.ReplyOK
	}
	tm := time.NewTimer(serviceTime)
	defer tm.Stop()
	select {
	case <-tm.C:
		return backend.ReplyOK
	case <-deadline:
		return backend.ReplyDeadlinePassed
	case <-jb.stop:
	case <-ctx.Done():
	}
	return backend.ReplyCancelled
}

// holdSlotAfterStop keeps the slot of a stopped request for StopLag.
func (le *Leaf) holdSlotAfterStop() {
	le.tl.update(func(co *Counts) {
		co.Stopped++
		co.RunningAfterStop++
	})
	if le.cf.StopLag > 0 {
		_ = le.ts.Sleep(context.Background(), le.cf.StopLag)
	}
	le.tl.update(func(co *Counts) { co.RunningAfterStop-- })
}

func (le *Leaf) serveCancel(rw http.ResponseWriter, hr *http.Request) {
	var ca backend.Cancel
	if err := readJSON(rw, hr, &ca); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	le.tl.update(func(co *Counts) { co.Cancels++ })
	writeJSON(rw, backend.CancelReply{RequestID: ca.RequestID, Stopped: le.ad.cancel(ca.RequestID)})
}

func (le *Leaf) serveHealth(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, le.reported().health)
}

func (le *Leaf) serveLoad(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, le.reported().load)
}

// report is the health and load that a Leaf reports.
type report struct {
	health backend.Health
	load   backend.Load
}

func (le *Leaf) currentReport() report {
	return report{
		health: backend.Health{Server: le.cf.Server, State: le.Record().State},
		load: backend.Load{
			Server: le.cf.Server, Running: le.ad.numRunning(), Slots: le.cf.Slots, Connections: le.Counts().Connections,
		},
	}
}

// reported returns the health and load to report: an earlier sample with LoadLag, and an idle,
// serving server with Lie.
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

// sampleReports takes a sample of health and load every LoadLag.
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
