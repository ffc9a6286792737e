package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamwinch.example/customer"
	"balsamwinch.example/overload"
	"balsamwinch.example/quarantine"
	"balsamwinch.example/quota"
	"balsamwinch.example/result"
	"balsamwinch.example/route"
	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

// Values of Retry-After for rejected requests.
const (
	retryAfterNoTable  = 300 * time.Millisecond
	retryAfterStopping = 10 * time.Millisecond
	retryAfterBusy     = 100 * time.Millisecond
	retryAfterNoServer = 100 * time.Millisecond
)

// Reasons of rejections, as they appear in answers, logs and metrics.
const (
	reasonNoTable  = "no configuration"
	reasonStopping = "stopping"
	// reasonStopped is for a request that was still in flight at the end of a stop.
	reasonStopped = "the instance stopped before an answer came"
	reasonBusy    = "too many requests"
	// reasonQuarantined rejects a request during which backend servers crashed before.
	reasonQuarantined = "backend servers end under this request"
)

// call is the state of one caller's request.
type call struct {
	sv       *Server
	wr       http.ResponseWriter
	rq       *http.Request
	tb       *route.Table
	ro       *route.Route
	customer *customer.Customer // holder of the key; nil without one
	id       string
	start    time.Time
	body     []byte

	acceptUntil time.Time // until when it is accepted during a stop; zero before

	code       result.Code
	status     int
	detail     string
	numMissing int
	numSent    int
	numHedges  int
	numRetries int
	numDenied  int
	contentKey quarantine.Key    // zero until quarantineKey computes it
	token      time.Time         // expiry of the token of a customer with a quota; zero if there is none
	owners     []quota.Statement // what the owners of the quota said to a refused request
	probe      bool              // backend servers ended during the same request before
	levelUsed  bool              // the admission levels of all instances apply
	decision   overload.Decision
	ex         *executor // nil if no backend server was asked
}

// serve answers a request under the table that was in force when it arrived, or when its body
// was complete if the table changed meanwhile.
func (ca *call) serve() {
	if !ca.resolve() {
		return
	}
	if ca.id == "" {
		ca.respondError(http.StatusBadRequest, result.NotRunBadRequest, "no request id")
		return
	}
	if !ca.acceptStopping() || !ca.readBody() || !ca.resolveAgain() || !ca.acceptStopping() {
		return
	}
	ro := ca.ro
	if !ca.checkQuarantine() {
		return
	}
	services := ro.Shards
	if len(services) == 0 {
		services = []string{ca.sv.pk.Pick(ro)}
	}
	if !ca.admit(services[0]) {
		return
	}
	defer func() {
		ca.release(services[0])
		ca.returnToken()
		ca.recycleReplies()
	}()
	if !ca.takeToken() {
		return
	}
	if len(ro.Shards) > 0 {
		ca.serveShards()
		return
	}
	ca.serveOne(services)
}

// resolve finds the route of the request and the customer that holds its API key. It reports
// whether the request may go on, and answers it if not.
func (ca *call) resolve() bool {
	ro, ok := ca.tb.Match(ca.rq.Host, ca.rq.URL.EscapedPath())
	if !ok {
		ca.respondError(http.StatusNotFound, result.NotRunUnknownService, "no route for host and path")
		return false
	}
	ca.ro = ro
	return ca.authenticate()
}

// resolveAgain resolves the request under the table in force, if that has changed while the
// body was read. A caller may send its body slowly, and its key may have been removed
// meanwhile.
func (ca *call) resolveAgain() bool {
	tb := ca.sv.tb.Load()
	if tb == ca.tb || len(ca.body) == 0 {
		return true
	}
	ca.tb = tb
	return ca.resolve()
}

// readBody reads the whole body, so that it can be sent again unchanged. It reports whether
// that succeeded, and answers the request if not.
func (ca *call) readBody() bool {
	if ca.rq.Body == nil || ca.rq.Body == http.NoBody {
		return true
	}
	limit := int64(ca.tb.Limits().BodyBytes)
	if limit > 0 && ca.rq.ContentLength > limit {
		ca.respondError(http.StatusRequestEntityTooLarge, result.NotRunBadRequest, bodyTooLarge)
		return false
	}
	done := ca.limitBodyRead()
	body, status, detail := ReadBody(ca.wr, ca.rq, limit)
	done()
	if status != 0 {
		if !ca.acceptStopping() {
			return false
		}
		ca.respondError(status, result.NotRunBadRequest, detail)
		return false
	}
	ca.body = body
	return true
}

// timeout returns the smaller of the route's timeout and of the caller's, less the time in
// which the request and the answer are under way. A caller that stops waiting at the moment
// of the answer would not learn of a failure. A validated table has a timeout for every
// route.
func (ca *call) timeout() time.Duration {
	callerTimeout := ca.callerTimeout()
	if callerTimeout <= 0 {
		return ca.ro.Timeout
	}
	ahead := min(2*ca.sv.cf.CallerDelay+answerMargin, callerTimeout/maxAheadDivisor)
	return min(callerTimeout-ahead, ca.ro.Timeout)
}

const (
	// answerMargin is how long this instance may take to write an answer and the caller to
	// read it.
	answerMargin = 4 * time.Millisecond
	// maxAheadDivisor bounds how much sooner than the caller this instance gives up: its
	// timeout divided by maxAheadDivisor.
	maxAheadDivisor = 4
)

// callerTimeout returns how long the caller waits according to its header, or 0 if unknown.
func (ca *call) callerTimeout() time.Duration {
	ms, err := strconv.ParseInt(strings.TrimSpace(ca.rq.Header.Get(ca.sv.cf.Names.Deadline)), 10, 64)
	if err != nil || ms <= 0 || ms > int64(time.Hour/time.Millisecond) {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// plan returns the scatter plan of the request over a number of shards, of which minParts
// are needed for an answer.
func (ca *call) plan(shards, minParts int) scatter.Plan {
	pl := scatter.Plan{
		Shards:      shards,
		MinParts:    minParts,
		MaxAttempts: ca.ro.MaxAttempts,
		Repeatable:  ca.ro.Kind == route.Repeatable,
		Deadline:    ca.start.Add(ca.timeout()),
		RetryDelay:  rejectionDelay,
	}
	pl.PartialDeadline, pl.NoServerDeadline = pl.Deadline, pl.Deadline
	if ca.ro.TargetLatency > 0 {
		due := ca.start.Add(ca.ro.TargetLatency - 2*ca.sv.cf.CallerDelay)
		// At the deadline a query expires even if enough parts are in, so a partial answer is
		// due by then.
		pl.PartialDeadline = earlier(due.Add(-ca.sv.cf.PartialMargin), pl.Deadline)
		pl.NoServerDeadline = ca.start.Add(ca.ro.TargetLatency / noServerDivisor)
	}
	if shards > 1 {
		pl.NoServerDeadline = pl.PartialDeadline // The other shards are working by then, so rejecting earlier saves nothing.
		pl.NoConnectionDeadline = pl.Deadline
		pl.MaxRefusals = maxPartRefusals
	}
	return ca.withProbe(pl)
}

func earlier(one, other time.Time) time.Time {
	if one.After(other) {
		return other
	}
	return one
}

const (
	// rejectionDelay is the delay before a third backend server is asked after two have
	// rejected the request.
	rejectionDelay = 5 * time.Millisecond
	// noServerDivisor sets the time limit for finding a backend server: the target latency
	// divided by noServerDivisor.
	noServerDivisor = 5
)

// upstreamRequest returns the request that is sent to backend servers.
func (ca *call) upstreamRequest() *upstream.Request {
	rq := &upstream.Request{
		Method:       ca.rq.Method,
		URI:          ca.rq.RequestURI,
		Host:         ca.rq.Host,
		Header:       ca.rq.Header,
		Body:         ca.body,
		RequestID:    ca.id,
		SendTargetID: true,
	}
	ca.setCustomer(rq)
	return rq
}

// reject answers that the request has not run and never will, and when to retry.
func (ca *call) reject(reason string, after time.Duration) {
	ca.setRetryAfter(after)
	ca.respondError(http.StatusServiceUnavailable, result.NotRunOverloaded, reason)
}

// setRetryAfter sets Retry-After, in seconds with a decimal fraction.
func (ca *call) setRetryAfter(after time.Duration) {
	ca.wr.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
}

// respondError sends an answer that this instance generates itself.
func (ca *call) respondError(status int, code result.Code, detail string) {
	ca.status, ca.code, ca.detail = status, code, detail
	hd := ca.wr.Header()
	hd.Set("Content-Type", "application/json")
	body := `{"Code":` + strconv.Itoa(int(code)) + `,"Detail":"` + detail + `"}`
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	ca.wr.WriteHeader(status)
	_, _ = io.WriteString(ca.wr, body)
}

func (ca *call) routeName() string {
	if ca.ro == nil {
		return ""
	}
	return ca.ro.Name
}

func (ca *call) version() uint64 {
	if ca.tb == nil {
		return 0
	}
	return ca.tb.Version()
}
