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

// Events of the lines about requests. A request that was answered whole and in
// time by the backend servers asked first has no line.
const (
	eventAnswered = "request-answered" // An answer that was hedged, retried, partial or late.
	eventFailed   = "request-failed"   // A refusal or a failure.
	eventLeft     = "request-left"     // The caller left before the answer.
)

const (
	// mostListed bounds the attempts that one line lists.
	mostListed = 12
	// mostBrokeOff bounds the backend servers that one line names for having broken off.
	mostBrokeOff = 16
	// mostErrorBytes bounds the text of an attempt's error.
	mostErrorBytes = 120
	// detailLate stands in the line of a whole answer that came late.
	detailLate = "later than the route aims for"
)

// note is what is kept of one attempt until its request has ended. It is made
// for every attempt, so it holds no more than a line needs.
type note struct {
	server  string
	err     error
	at      time.Duration // at is when it began, since the request's start.
	took    time.Duration
	shard   uint16
	status  uint16 // status is the HTTP status of the reply; 0 for none.
	kind    scatter.AttemptKind
	outcome upstream.Outcome
	ended   bool
	moved   bool
}

// unsent reports whether the attempt found no connection. Nothing was tried at the
// server then, and a line that is full of such attempts hides those that were.
func (no *note) unsent() bool { return no.ended && no.outcome == upstream.NoConnection }

// brokeOff reports whether the server got the request and its connection ended without a
// whole answer. So does a server that ends.
func (no *note) brokeOff() bool { return no.ended && no.outcome == upstream.Lost }

// brokeOff returns the backend servers that broke off while the request was with them.
func (ca *call) brokeOff() []string {
	if ca.cr == nil {
		return nil
	}
	var out []string
	for number := range ca.cr.notes {
		if no := &ca.cr.notes[number]; no.brokeOff() {
			out = append(out, no.server)
		}
	}
	return out
}

// began notes and counts an attempt and returns its number.
func (cr *carrier) began(now time.Time, wa scatter.Attempt, server string) int {
	if cr.notes == nil {
		cr.notes = make([]note, 0, len(cr.services)+2)
	}
	cr.ca.sv.mt.began(cr.services[wa.Shard], wa.Kind)
	cr.notes = append(cr.notes, note{server: server, at: now.Sub(cr.ca.start), shard: uint16(wa.Shard), kind: wa.Kind})
	return len(cr.notes) - 1
}

// denied counts an attempt that the retry budget did not allow.
func (cr *carrier) denied(service string) {
	cr.ca.denied++
	cr.ca.sv.mt.denied(service)
}

// over notes how an attempt ended.
func (cr *carrier) over(now time.Time, number int, rs upstream.Result) {
	no := &cr.notes[number]
	no.ended, no.outcome, no.moved, no.err = true, rs.Outcome, rs.Misdirected, rs.Err
	no.took = now.Sub(cr.ca.start) - no.at
	if rs.Reply != nil {
		no.status = uint16(rs.Reply.Status)
	}
}

// over counts a request that has ended and writes its line, if it has one.
func (ca *call) over() {
	took := ca.sv.ts.Now().Sub(ca.start)
	late := ca.late(took)
	ca.sv.mt.request(ca, took, late)
	event, level := eventAnswered, zapcore.InfoLevel
	switch {
	case ca.status == statusLeft:
		event = eventLeft
	case ca.status >= http.StatusInternalServerError:
		event, level = eventFailed, zapcore.WarnLevel
	case ca.code != result.Complete && ca.code != result.Partial:
		event = eventFailed
	case ca.missed > 0 || late:
		level = zapcore.WarnLevel
	case ca.hedged+ca.again+ca.denied == 0:
		return
	}
	if ce := ca.sv.lg.Check(level, event); ce != nil {
		ce.Write(zap.Inline(story{ca: ca, took: took, late: late}))
	}
}

// late reports whether the answer reaches the caller later than the route aims for.
func (ca *call) late(took time.Duration) bool {
	return ca.ro != nil && ca.ro.Aim > 0 && took > ca.ro.Aim-2*ca.sv.cf.CallerDelay
}

// story is the line of a request.
type story struct {
	ca   *call
	took time.Duration
	late bool
}

// MarshalLogObject adds what happened, what it was decided by, and what became
// of the shards that explain it.
func (st story) MarshalLogObject(oe zapcore.ObjectEncoder) error {
	ca := st.ca
	oe.AddString("RequestID", ca.id)
	oe.AddString("Route", ca.routeName())
	oe.AddUint64("Version", ca.version())
	oe.AddInt("Status", ca.status)
	oe.AddInt("Code", int(st.code()))
	oe.AddString("Detail", st.detail())
	oe.AddInt64("Millis", st.took.Milliseconds())
	oe.AddInt64("SaidMillis", ca.said().Milliseconds())
	oe.AddInt64("AimMillis", ca.aim().Milliseconds())
	oe.AddInt("Sent", ca.sent)
	oe.AddInt("Hedged", ca.hedged)
	oe.AddInt("Retried", ca.again)
	oe.AddInt("Denied", ca.denied)
	oe.AddInt("Missing", ca.missed)
	if broke := ca.brokeOff(); len(broke) > 0 {
		// The id is new in each attempt of a caller: the content shows which attempts
		// are the same request, and so whether servers end under one of them.
		oe.AddString("Content", ca.content().String())
		oe.AddInt("BrokeOff", len(broke))
		zap.Strings("Under", broke[:min(len(broke), mostBrokeOff)]).AddTo(oe)
	}
	if ca.code == result.NotRunQuarantined {
		oe.AddString("Content", ca.content().String())
	}
	if ca.status >= http.StatusInternalServerError {
		oe.AddInt("Active", ca.sv.InFlight())
		oe.AddInt64("NewsMillis", ca.sv.newsAge(ca.start).Milliseconds())
	}
	if ca.cr == nil {
		return nil
	}
	li := st.list()
	if len(li.notes) == 0 && len(li.unasked) == 0 {
		return nil
	}
	if li.leftOut > 0 {
		oe.AddInt("AttemptsLeftOut", li.leftOut)
	}
	return oe.AddArray("Attempts", li)
}

// code returns the result code. A backend server's failure is passed on as it
// came, without a code of this instance.
func (st story) code() result.Code {
	if st.ca.status >= http.StatusInternalServerError && st.ca.code == result.Complete {
		return result.Failed
	}
	return st.ca.code
}

// detail returns the cause in a few words.
func (st story) detail() string {
	ca := st.ca
	switch {
	case ca.detail != "":
		return ca.detail
	case ca.cr != nil && (ca.missed > 0 || ca.status >= http.StatusInternalServerError):
		if cause := ca.cause(ca.cr); cause != scatter.CauseNone.String() {
			return cause
		}
		return scatter.CauseTimeout.String() // What is missing was under way when the answer was due.
	case st.late:
		return detailLate
	}
	return ""
}

func (ca *call) aim() time.Duration {
	if ca.ro == nil {
		return 0
	}
	return ca.ro.Aim
}

// list chooses the attempts that the line shows: those for shards without a part,
// and, if the answer is late, those for shards whose part was late.
func (st story) list() listing {
	cr := st.ca.cr
	li := listing{cr: cr, took: st.took}
	for sh := range cr.services {
		if cr.qu.HasPart(sh) && !st.lateShard(sh) {
			continue
		}
		asked := false
		for number := range cr.notes {
			if no := &cr.notes[number]; int(no.shard) == sh && !no.unsent() {
				asked = true
				li.add(number)
			}
		}
		if !asked {
			li.unasked = append(li.unasked, sh)
		}
	}
	if over := len(li.notes) + len(li.unasked) - mostListed; over > 0 {
		li.unasked = li.unasked[:max(0, len(li.unasked)-over)]
		li.leftOut += over
	}
	return li
}

// lateShard reports whether the part of a shard came later than the answer was due.
func (st story) lateShard(sh int) bool {
	if !st.late || st.ca.status >= http.StatusInternalServerError {
		return false
	}
	due := st.ca.ro.Aim - 2*st.ca.sv.cf.CallerDelay
	for _, no := range st.ca.cr.notes {
		if int(no.shard) == sh && no.ended && no.outcome == upstream.Answered && no.at+no.took <= due {
			return false
		}
	}
	return true
}

// listing is the attempts that a line shows.
type listing struct {
	cr      *carrier
	took    time.Duration
	notes   []int // notes are numbers of attempts.
	unasked []int // unasked are shards for which nobody could be asked.
	leftOut int
}

func (li *listing) add(number int) {
	if len(li.notes) >= mostListed {
		li.leftOut++
		return
	}
	li.notes = append(li.notes, number)
}

// MarshalLogArray adds the attempts.
func (li listing) MarshalLogArray(ae zapcore.ArrayEncoder) error {
	var err error
	for _, number := range li.notes {
		no := &li.cr.notes[number]
		err = errors.Join(err, ae.AppendObject(listed{service: li.cr.services[no.shard], no: no, took: li.took}))
	}
	for _, sh := range li.unasked {
		err = errors.Join(err, ae.AppendObject(unasked{cr: li.cr, shard: sh}))
	}
	return err
}

// listed is one attempt in a line.
type listed struct {
	service string
	no      *note
	took    time.Duration
}

// MarshalLogObject adds whom the attempt asked, when, and how it ended.
func (li listed) MarshalLogObject(oe zapcore.ObjectEncoder) error {
	no := li.no
	oe.AddString("Service", li.service)
	oe.AddString("Server", no.server)
	oe.AddString("Kind", kindName(no.kind))
	oe.AddInt64("At", no.at.Milliseconds())
	if !no.ended {
		oe.AddInt64("Millis", (li.took - no.at).Milliseconds())
		oe.AddString("End", endUnderWay)
		return nil
	}
	oe.AddInt64("Millis", no.took.Milliseconds())
	oe.AddString("End", endName(no.outcome, no.moved))
	if no.status > 0 {
		oe.AddUint16("Status", no.status)
	}
	if no.err != nil {
		oe.AddString("Error", errorText(no.err))
	}
	return nil
}

// errorText returns what went wrong, without the server, which the line names.
func errorText(err error) string {
	var ue *upstream.Error
	if errors.As(err, &ue) && ue.Err != nil {
		err = ue.Err
	}
	text := err.Error()
	return text[:min(len(text), mostErrorBytes)]
}

// unasked is a shard for which no backend server was asked.
type unasked struct {
	cr    *carrier
	shard int
}

// MarshalLogObject adds why nobody was asked, how many backend servers of the
// service the instance knows, and how many of them take requests.
func (un unasked) MarshalLogObject(oe zapcore.ObjectEncoder) error {
	service := un.cr.services[un.shard]
	oe.AddString("Service", service)
	oe.AddString("End", endUnasked)
	oe.AddString("Cause", un.cr.qu.Cause(un.shard).String())
	known, ready := un.cr.ca.sv.known(service)
	oe.AddInt("Known", known)
	oe.AddInt("Ready", ready)
	return nil
}

// Ends of attempts beyond those of package upstream.
const (
	endUnderWay = "UnderWay" // It had not ended when the request had.
	endUnasked  = "NotAsked" // No backend server was asked.
	endMoved    = "Moved"    // The process at the address said that it is another server.
)

func endName(ou upstream.Outcome, moved bool) string {
	if moved {
		return endMoved
	}
	return ou.String()
}

func kindName(wk scatter.AttemptKind) string {
	switch wk {
	case scatter.Hedge:
		return "Hedge"
	case scatter.Retry:
		return "Retry"
	default:
		return "First"
	}
}

// known returns how many backend servers of a service the instance knows, and
// how many of them are ready.
func (sv *Server) known(service string) (known, ready int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, se := range sv.servers[service] {
		if se.State == registry.Ready {
			ready++
		}
	}
	return len(sv.servers[service]), ready
}

// newsAge returns how long before a time the instance was last told of a change
// of the backend servers.
func (sv *Server) newsAge(now time.Time) time.Duration {
	return max(0, now.Sub(sv.started)-time.Duration(sv.newsAt.Load()))
}

// told notes that the instance was told of a change of the backend servers.
func (sv *Server) told() { sv.newsAt.Store(int64(sv.ts.Now().Sub(sv.started))) }

// entriesKnown writes a line when the number of entry instances changes, which
// divides connections and the retry budget.
func (sv *Server) entriesKnown(was, count int) {
	if was != count {
		sv.lg.Info("entries-known", zap.Int("Entries", count), zap.Int("Before", was))
	}
}

// superseded reports whether an attempt was ended because its request was over.
func superseded(ctx context.Context) bool { return context.Cause(ctx) == upstream.ErrSuperseded }
