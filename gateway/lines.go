package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwinch.example/registry"
	"balsamwinch.example/result"
	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

// Events of the log lines about requests. A request without a line was answered completely
// and in time by the backend servers asked first.
const (
	eventAnswered   = "request-answered" // answered, but hedged, retried, partial or late
	eventFailed     = "request-failed"   // rejected or failed
	eventCallerLeft = "request-left"     // the caller disconnected before the answer
)

const (
	// maxListedAttempts bounds the attempts listed in one line.
	maxListedAttempts = 12
	// maxListedServers bounds the backend servers listed in one line for losing the
	// connection.
	maxListedServers = 16
	// maxErrorBytes bounds the text of an attempt's error.
	maxErrorBytes = 120
	// detailLate is the detail of a complete answer that was late.
	detailLate = "later than the route aims for"
)

// attemptRecord records one attempt until its request has ended. One is allocated for every
// attempt, so it holds only what a log line needs.
type attemptRecord struct {
	server      string
	err         error
	startedAt   time.Duration // since the start of the request
	duration    time.Duration
	shard       uint16
	status      uint16 // HTTP status of the reply; 0 if there is none
	kind        scatter.AttemptKind
	outcome     upstream.Outcome
	ended       bool
	misdirected bool
}

// noConnection reports whether the attempt ended for lack of a free connection. Nothing was
// sent to the server, and a line full of such attempts would hide those that were sent.
func (ar *attemptRecord) noConnection() bool { return ar.ended && ar.outcome == upstream.NoConnection }

// connectionLost reports whether the server received the request and the connection ended
// without a complete answer, as happens when a server crashes.
func (ar *attemptRecord) connectionLost() bool { return ar.ended && ar.outcome == upstream.Lost }

// lostServers returns the backend servers whose connections were lost while they had the
// request.
func (ca *call) lostServers() []string {
	if ca.ex == nil {
		return nil
	}
	var out []string
	for index := range ca.ex.attempts {
		if ar := &ca.ex.attempts[index]; ar.connectionLost() {
			out = append(out, ar.server)
		}
	}
	return out
}

// recordStart records and counts a new attempt and returns its index.
func (ex *executor) recordStart(now time.Time, sa scatter.Attempt, server string) int {
	if ex.attempts == nil {
		ex.attempts = make([]attemptRecord, 0, len(ex.services)+2)
	}
	ex.ca.sv.metrics.countAttempt(ex.services[sa.Shard], sa.Kind)
	ex.attempts = append(ex.attempts, attemptRecord{server: server, startedAt: now.Sub(ex.ca.start), shard: uint16(sa.Shard), kind: sa.Kind})
	return len(ex.attempts) - 1
}

// recordDenied counts an attempt that the retry budget did not allow.
func (ex *executor) recordDenied(service string) {
	ex.ca.numDenied++
	ex.ca.sv.metrics.countDenied(service)
}

// recordEnd records how an attempt ended.
func (ex *executor) recordEnd(now time.Time, index int, rs upstream.Result) {
	ar := &ex.attempts[index]
	ar.ended, ar.outcome, ar.misdirected, ar.err = true, rs.Outcome, rs.Misdirected, rs.Err
	ar.duration = now.Sub(ex.ca.start) - ar.startedAt
	if rs.Reply != nil {
		ar.status = uint16(rs.Reply.Status)
	}
}

// finish counts a request that has ended and writes its log line, if it has one.
func (ca *call) finish() {
	took := ca.sv.ts.Now().Sub(ca.start)
	late := ca.isLate(took)
	ca.sv.metrics.countRequest(ca, took, late)
	event, level := eventAnswered, zapcore.InfoLevel
	switch {
	case ca.status == statusCallerLeft:
		event = eventCallerLeft
	case ca.code == result.NotRunUnauthorized:
		ca.logUnauthorized(took)
		return
	case ca.status >= http.StatusInternalServerError:
		event, level = eventFailed, zapcore.WarnLevel
	case ca.code != result.Complete && ca.code != result.Partial:
		event = eventFailed
	case ca.numMissing > 0 || late:
		level = zapcore.WarnLevel
	case ca.numHedges+ca.numRetries+ca.numDenied == 0:
		return
	}
	if ce := ca.sv.lg.Check(level, event); ce != nil {
		ce.Write(zap.Inline(requestLine{ca: ca, took: took, late: late}))
	}
}

// isLate reports whether the answer reaches the caller later than the route's target
// latency.
func (ca *call) isLate(took time.Duration) bool {
	return ca.ro != nil && ca.ro.TargetLatency > 0 && took > ca.ro.TargetLatency-2*ca.sv.cf.CallerDelay
}

// requestLine marshals the log line of a request.
type requestLine struct {
	ca   *call
	took time.Duration
	late bool
}

// MarshalLogObject adds the result, the inputs of the decisions, and the attempts of the
// shards that explain the result.
func (rl requestLine) MarshalLogObject(oe zapcore.ObjectEncoder) error {
	ca := rl.ca
	oe.AddString("RequestID", ca.id)
	oe.AddString("Route", ca.routeName())
	if ca.customer != nil {
		oe.AddString("Customer", ca.customer.Name)
	}
	oe.AddUint64("Version", ca.version())
	oe.AddInt("Status", ca.status)
	oe.AddInt("Code", int(rl.code()))
	oe.AddString("Detail", rl.detail())
	oe.AddInt64("Millis", rl.took.Milliseconds())
	oe.AddInt64("SaidMillis", ca.callerTimeout().Milliseconds())
	oe.AddInt64("AimMillis", ca.targetLatency().Milliseconds())
	oe.AddInt("Sent", ca.numSent)
	oe.AddInt("Hedged", ca.numHedges)
	oe.AddInt("Retried", ca.numRetries)
	oe.AddInt("Denied", ca.numDenied)
	oe.AddInt("Missing", ca.numMissing)
	if lost := ca.lostServers(); len(lost) > 0 {
		// The request ID differs in each attempt of a caller. The content key shows which
		// attempts are the same request, and so whether backend servers end during one of
		// them.
		oe.AddString("Content", ca.quarantineKey().String())
		oe.AddInt("BrokeOff", len(lost))
		zap.Strings("Under", lost[:min(len(lost), maxListedServers)]).AddTo(oe)
	}
	ca.addQuotaFields(oe)
	if ca.code == result.NotRunQuarantined {
		oe.AddString("Content", ca.quarantineKey().String())
	}
	ca.addDecision(oe)
	if ca.status >= http.StatusInternalServerError {
		oe.AddInt("Active", ca.sv.InFlight())
		oe.AddInt64("NewsMillis", ca.sv.sinceServersChanged(ca.start).Milliseconds())
	}
	if ca.ex == nil {
		return nil
	}
	al := rl.attemptList()
	if len(al.indexes) == 0 && len(al.unaskedShards) == 0 {
		return nil
	}
	if al.numOmitted > 0 {
		oe.AddInt("AttemptsLeftOut", al.numOmitted)
	}
	return oe.AddArray("Attempts", al)
}

// code returns the result code to log. A backend server's failure is forwarded unchanged,
// without a code of this instance.
func (rl requestLine) code() result.Code {
	if rl.ca.status >= http.StatusInternalServerError && rl.ca.code == result.Complete {
		return result.Failed
	}
	return rl.ca.code
}

// detail returns a short text for the cause.
func (rl requestLine) detail() string {
	ca := rl.ca
	switch {
	case ca.detail != "":
		return ca.detail
	case ca.ex != nil && (ca.numMissing > 0 || ca.status >= http.StatusInternalServerError):
		if cause := ca.worstCause(ca.ex); cause != scatter.CauseNone.String() {
			return cause
		}
		return scatter.CauseTimeout.String() // The missing parts were in flight when the answer was due.
	case rl.late:
		return detailLate
	}
	return ""
}

func (ca *call) targetLatency() time.Duration {
	if ca.ro == nil {
		return 0
	}
	return ca.ro.TargetLatency
}

// attemptList selects the attempts to log: those of shards without a part and, if the
// answer is late, those of shards whose part was late.
func (rl requestLine) attemptList() attemptList {
	ex := rl.ca.ex
	al := attemptList{ex: ex, took: rl.took}
	for sh := range ex.services {
		if ex.qu.HasPart(sh) && !rl.lateShard(sh) {
			continue
		}
		asked := false
		for index := range ex.attempts {
			if ar := &ex.attempts[index]; int(ar.shard) == sh && !ar.noConnection() {
				asked = true
				al.add(index)
			}
		}
		if !asked {
			al.unaskedShards = append(al.unaskedShards, sh)
		}
	}
	if over := len(al.indexes) + len(al.unaskedShards) - maxListedAttempts; over > 0 {
		al.unaskedShards = al.unaskedShards[:max(0, len(al.unaskedShards)-over)]
		al.numOmitted += over
	}
	return al
}

// lateShard reports whether the part of a shard arrived after the answer was due.
func (rl requestLine) lateShard(sh int) bool {
	if !rl.late || rl.ca.status >= http.StatusInternalServerError {
		return false
	}
	due := rl.ca.ro.TargetLatency - 2*rl.ca.sv.cf.CallerDelay
	for _, ar := range rl.ca.ex.attempts {
		if int(ar.shard) == sh && ar.ended && ar.outcome == upstream.Answered && ar.startedAt+ar.duration <= due {
			return false
		}
	}
	return true
}

// attemptList holds the attempts that a line lists.
type attemptList struct {
	ex            *executor
	took          time.Duration
	indexes       []int // of executor.attempts
	unaskedShards []int // shards for which no backend server could be asked
	numOmitted    int
}

func (al *attemptList) add(index int) {
	if len(al.indexes) >= maxListedAttempts {
		al.numOmitted++
		return
	}
	al.indexes = append(al.indexes, index)
}

// MarshalLogArray adds the listed attempts and unasked shards.
func (al attemptList) MarshalLogArray(ae zapcore.ArrayEncoder) error {
	var err error
	for _, index := range al.indexes {
		ar := &al.ex.attempts[index]
		err = errors.Join(err, ae.AppendObject(attemptLine{service: al.ex.services[ar.shard], ar: ar, took: al.took}))
	}
	for _, sh := range al.unaskedShards {
		err = errors.Join(err, ae.AppendObject(unaskedLine{ex: al.ex, shard: sh}))
	}
	return err
}

// attemptLine marshals one attempt in a line.
type attemptLine struct {
	service string
	ar      *attemptRecord
	took    time.Duration
}

// MarshalLogObject adds the server of the attempt, its times and how it ended.
func (al attemptLine) MarshalLogObject(oe zapcore.ObjectEncoder) error {
	ar := al.ar
	oe.AddString("Service", al.service)
	oe.AddString("Server", ar.server)
	oe.AddString("Kind", kindName(ar.kind))
	oe.AddInt64("At", ar.startedAt.Milliseconds())
	if !ar.ended {
		oe.AddInt64("Millis", (al.took - ar.startedAt).Milliseconds())
		oe.AddString("End", endInFlight)
		return nil
	}
	oe.AddInt64("Millis", ar.duration.Milliseconds())
	oe.AddString("End", endName(ar.outcome, ar.misdirected))
	if ar.status > 0 {
		oe.AddUint16("Status", ar.status)
	}
	if ar.err != nil {
		oe.AddString("Error", errorText(ar.err))
	}
	return nil
}

// errorText returns the error's text without the server, which has a field of its own.
func errorText(err error) string {
	var ue *upstream.Error
	if errors.As(err, &ue) && ue.Err != nil {
		err = ue.Err
	}
	text := err.Error()
	return text[:min(len(text), maxErrorBytes)]
}

// unaskedLine marshals a shard for which no backend server was asked.
type unaskedLine struct {
	ex    *executor
	shard int
}

// MarshalLogObject adds the cause, and how many backend servers of the service are known
// and how many are ready.
func (ul unaskedLine) MarshalLogObject(oe zapcore.ObjectEncoder) error {
	service := ul.ex.services[ul.shard]
	oe.AddString("Service", service)
	oe.AddString("End", endNotAsked)
	oe.AddString("Cause", ul.ex.qu.Cause(ul.shard).String())
	known, ready := ul.ex.ca.sv.countServers(service)
	oe.AddInt("Known", known)
	oe.AddInt("Ready", ready)
	return nil
}

// How attempts end, besides the outcomes of package upstream.
const (
	endInFlight    = "UnderWay" // still in flight when the request ended
	endNotAsked    = "NotAsked" // no backend server was asked
	endMisdirected = "Moved"    // the process at the address reported that it is another server
)

func endName(ou upstream.Outcome, misdirected bool) string {
	if misdirected {
		return endMisdirected
	}
	return ou.String()
}

func kindName(ak scatter.AttemptKind) string {
	switch ak {
	case scatter.Hedge:
		return "Hedge"
	case scatter.Retry:
		return "Retry"
	default:
		return "First"
	}
}

// countServers returns the number of known backend servers of a service, and how many of
// them are ready.
func (sv *Server) countServers(service string) (known, ready int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, se := range sv.servers[service] {
		if se.State == registry.Ready {
			ready++
		}
	}
	return len(sv.servers[service]), ready
}

// sinceServersChanged returns the time between the last change of the backend servers and
// now.
func (sv *Server) sinceServersChanged(now time.Time) time.Duration {
	return max(0, now.Sub(sv.started)-time.Duration(sv.serversChangedAt.Load()))
}

// noteServersChanged records that the set of backend servers has changed.
func (sv *Server) noteServersChanged() { sv.serversChangedAt.Store(int64(sv.ts.Now().Sub(sv.started))) }

// logEntryCount logs a change of the number of entry instances, since connections and the
// retry budget are divided by it.
func (sv *Server) logEntryCount(was, count int) {
	if was != count {
		sv.lg.Info("entries-known", zap.Int("Entries", count), zap.Int("Before", was))
	}
}

// superseded reports whether an attempt was canceled because its request had ended.
func superseded(ctx context.Context) bool { return context.Cause(ctx) == upstream.ErrSuperseded }
