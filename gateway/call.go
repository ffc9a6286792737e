package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamwinch.example/quarantine"
	"balsamwinch.example/result"
	"balsamwinch.example/route"
	"balsamwinch.example/scatter"
	"balsamwinch.example/upstream"
)

// Times that a refused caller is asked to stay away.
const (
	retryNoTable  = 300 * time.Millisecond
	retryStopping = 10 * time.Millisecond
	retryBusy     = 100 * time.Millisecond
	retryNoServer = 100 * time.Millisecond
)

// Reasons of refusals, as logs and metrics name them.
const (
	refusalNoTable  = "no configuration"
	refusalStopping = "stopping"
	refusalBusy     = "too many requests"
	// refusalQuarantined is the refusal of a request under which servers ended before.
	refusalQuarantined = "backend servers end under this request"
)

// call is one request of a caller.
type call struct {
	sv    *Server
	wr    http.ResponseWriter
	rq    *http.Request
	tb    *route.Table
	ro    *route.Route
	id    string
	start time.Time
	body  []byte

	code   result.Code
	status int
	detail string
	missed int
	sent   int
	hedged int
	again  int
	denied int
	key    quarantine.Key // key is zero until content is asked for.
	probe  bool           // probe says that servers ended under the request before.
	cr     *carrier       // cr carried the request out; nil if nobody was asked.
}

// serve answers a request under the table that was in force when it came.
func (ca *call) serve() {
	ro, ok := ca.tb.Match(ca.rq.Host, ca.rq.URL.EscapedPath())
	if !ok {
		ca.fail(http.StatusNotFound, result.NotRunUnknownService, "no route for host and path")
		return
	}
	ca.ro = ro
	if ca.id == "" {
		ca.fail(http.StatusBadRequest, result.NotRunBadRequest, "no request id")
		return
	}
	if !ca.readBody() {
		return
	}
	if !ca.allowed() {
		return
	}
	services := ro.Shards
	if len(services) == 0 {
		services = []string{ca.sv.pk.Pick(ro)}
	}
	if !ca.sv.ad.Acquire(services[0]) {
		ca.refuse(refusalBusy, ca.comeBack())
		return
	}
	defer func() {
		ca.sv.ad.Release(ca.sv.ts.Now(), services[0], ca.overloaded())
		ca.recycle()
	}()
	if len(ro.Shards) > 0 {
		ca.serveShards()
		return
	}
	ca.serveOne(services)
}

// readBody reads the whole body, so that it can be sent again unchanged.
func (ca *call) readBody() bool {
	if ca.rq.Body == nil || ca.rq.Body == http.NoBody {
		return true
	}
	limit := int64(ca.tb.Limits().BodyBytes)
	if limit > 0 && ca.rq.ContentLength > limit {
		ca.fail(http.StatusRequestEntityTooLarge, result.NotRunBadRequest, bodyTooLarge)
		return false
	}
	body, status, detail := ReadBody(ca.wr, ca.rq, limit)
	if status != 0 {
		ca.fail(status, result.NotRunBadRequest, detail)
		return false
	}
	ca.body = body
	return true
}

// timeout returns how long the request may take here. A checked table names a
// timeout for every route.
func (ca *call) timeout() time.Duration {
	if said := ca.said(); said > 0 {
		return min(said, ca.ro.Timeout)
	}
	return ca.ro.Timeout
}

// said returns how long the caller says it waits, or 0.
func (ca *call) said() time.Duration {
	ms, err := strconv.ParseInt(strings.TrimSpace(ca.rq.Header.Get(ca.sv.cf.Names.Deadline)), 10, 64)
	if err != nil || ms <= 0 || ms > int64(time.Hour/time.Millisecond) {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// plan returns how the request is carried out over a number of shards.
func (ca *call) plan(shards, least int) scatter.Plan {
	pl := scatter.Plan{
		Shards:      shards,
		MinParts:    least,
		MaxAttempts: ca.ro.MaxAttempts,
		Repeatable:  ca.ro.Kind == route.Repeatable,
		Deadline:    ca.start.Add(ca.timeout()),
		RetryDelay:  refusalPause,
	}
	pl.PartialDeadline, pl.NoServerDeadline = pl.Deadline, pl.Deadline
	if ca.ro.Aim > 0 {
		aim := ca.start.Add(ca.ro.Aim - 2*ca.sv.cf.CallerDelay)
		pl.PartialDeadline = aim.Add(-ca.sv.cf.HoldMargin)
		pl.NoServerDeadline = ca.start.Add(ca.ro.Aim / offerPart)
	}
	if shards > 1 {
		pl.NoServerDeadline = pl.PartialDeadline // Other shards are at work by then, so refusing early saves nothing.
		pl.NoConnectionDeadline = pl.Deadline
	}
	return ca.asProbe(pl)
}

const (
	// refusalPause is the time before a third backend server is asked after two
	// have refused.
	refusalPause = 5 * time.Millisecond
	// offerPart is the part of the aim within which a backend server must be found.
	offerPart = 5
)

// request returns what is sent to backend servers.
func (ca *call) request() *upstream.Request {
	return &upstream.Request{
		Method:       ca.rq.Method,
		URI:          ca.rq.RequestURI,
		Host:         ca.rq.Host,
		Header:       ca.rq.Header,
		Body:         ca.body,
		RequestID:    ca.id,
		SendTargetID: true,
	}
}

// refuse answers that the request has not run and never will, and when to come
// back.
func (ca *call) refuse(reason string, after time.Duration) {
	ca.setRetryAfter(after)
	ca.fail(http.StatusServiceUnavailable, result.NotRunOverloaded, reason)
}

// setRetryAfter says when the caller may come back, in seconds with a fraction.
func (ca *call) setRetryAfter(after time.Duration) {
	ca.wr.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
}

// fail gives an answer of this instance's own.
func (ca *call) fail(status int, code result.Code, detail string) {
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
