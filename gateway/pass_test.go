package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/route"
)

// takeGatewayHeaders removes the headers that the gateway sets itself, and returns them.
func takeGatewayHeaders(he http.Header) http.Header {
	out := http.Header{}
	for name := range he {
		switch name {
		case names.RequestID, names.Deadline, names.ExpectServer:
			out[name] = he[name]
			delete(he, name)
		}
	}
	return out
}

// Guards against requests that the gateway alters: a cleaned path, a body without its end
// or its length, a dropped or joined header. The backend server must get the caller's
// bytes.
func TestRequestForwardedUnchanged(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", limits.BodyBytes/16)
	tests := []struct {
		name  string
		rq    request
		lines []string // arriving header lines; the sent ones if nil
	}{
		{name: "plain", rq: request{uri: "/"}},
		{name: "query", rq: request{uri: "/a?b=c&&d=%20?e;f"}},
		{name: "escapes", rq: request{uri: "/a%2Fb/%41/%C3%BC/;x=y"}},
		{name: "dots and slashes", rq: request{uri: "//a/../b/./c//"}},
		{name: "empty query", rq: request{uri: "/a?"}},
		{name: "host with a port", rq: request{uri: "/", host: "A.Example:8080"}},
		{name: "HEAD", rq: request{uri: "/a", method: http.MethodHead}},
		{name: "DELETE", rq: request{uri: "/a", method: http.MethodDelete}},
		{name: "OPTIONS", rq: request{uri: "/a", method: http.MethodOptions}},
		{name: "unknown method", rq: request{uri: "/a", method: "PURGE"}},
		{name: "POST", rq: request{uri: "/a", body: "a\r\n\x00\xff"}},
		{name: "POST without a body", rq: request{uri: "/a", method: http.MethodPost, lines: []string{"Content-Length: 0"}}},
		{name: "POST in chunks", rq: request{uri: "/a", body: long[:5000], chunked: true}, lines: []string{"Content-Length: 5000"}},
		{name: "zero chunks", rq: request{uri: "/a", method: http.MethodPut, chunked: true}, lines: []string{"Content-Length: 0"}},
		{name: "GET with a body", rq: request{uri: "/a", method: http.MethodGet, body: "abc"}},
		{name: "longest body", rq: request{uri: "/a", body: long}},
		{name: "longest body in chunks", rq: request{uri: "/a", body: long, chunked: true}, lines: []string{"Content-Length: " + strconv.Itoa(len(long))}},
		{name: "headers", rq: request{uri: "/a", lines: []string{
			"X-One: b", "X-One: a", "Cookie: a=b; c=d", "Accept-Encoding: gzip", "User-Agent: x/1 (y)", "Empty:", "Authorization: Basic YTpi", "If-None-Match: \"x\"",
		}}},
		{name: "hop-by-hop headers", rq: request{uri: "/a", lines: []string{
			"Connection: keep-alive, X-Hop", "Keep-Alive: timeout=3", "X-Hop: 1", "Te: trailers", "Proxy-Authorization: x", "Upgrade: h2c", "X-End: 1",
		}}, lines: []string{"X-End: 1"}},
		{name: "headers that the gateway sets", rq: request{uri: "/a", lines: []string{names.ExpectServer + ": somebody-else"}}, lines: []string{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				be := rg.startServers("s", 1)[0]
				rg.setTable(route.Route{Prefix: "/", Targets: singleTarget("s")})
				an := rg.send(tt.rq)
				rg.checkStatus(an, http.StatusOK)
				ars := rg.hist.arrivalsOf(an.id)
				qt.Assert(t, ars, qt.HasLen, 1)
				ours := takeGatewayHeaders(ars[0].header)
				qt.Assert(t, ours[names.RequestID], qt.DeepEquals, []string{an.id})
				qt.Assert(t, ours[names.ExpectServer], qt.DeepEquals, []string{be.id})
				lines := tt.lines
				if lines == nil {
					lines = tt.rq.lines
				}
				if tt.rq.body != "" && !tt.rq.chunked {
					lines = append(lines, "Content-Length: "+strconv.Itoa(len(tt.rq.body)))
				}
				qt.Assert(t, ars[0].header, qt.DeepEquals, parseHeader(lines))
				qt.Assert(t, ars[0].body == tt.rq.body, qt.IsTrue)
			})
		})
	}
}

func parseHeader(lines []string) http.Header {
	he := http.Header{}
	for _, li := range lines {
		name, value, _ := strings.Cut(li, ":")
		he.Add(name, strings.TrimSpace(value))
	}
	return he
}

// Guards against answers that the gateway alters: a guessed content type, a date, an added
// length, a body after HEAD. Status, headers and body come back unchanged, except for
// hop-by-hop headers.
func TestAnswerForwardedUnchanged(t *testing.T) {
	tests := []struct {
		name   string
		method string
		status int
		lines  []string
		body   string
		header []string // expected header lines besides ID, stamp and length; lines if nil
		length int64    // expected Content-Length; -1 for none
	}{
		{name: "text", status: 200, body: "<html>", length: 6},
		{name: "no body", status: 200, length: 0},
		{name: "long", status: 200, body: strings.Repeat("x", 1<<20), length: 1 << 20},
		{name: "created", status: 201, body: "a", lines: []string{"Location: /b", "Content-Type: x/y", "Date: Thu, 01 Jan 1970 00:00:00 GMT"}, length: 1},
		{name: "no content", status: 204, length: -1},
		{name: "part", status: 206, body: "bc", lines: []string{"Content-Range: bytes 1-2/3"}, length: 2},
		{name: "redirect", status: 302, lines: []string{"Location: http://b.example/?c"}, length: 0},
		// net/http omits the length of a 304 response, as HTTP allows.
		{name: "not modified", status: 304, body: "1234567", lines: []string{`Etag: "x"`}, length: -1},
		{name: "bad request", status: 400, body: "no", length: 2},
		{name: "not found", status: 404, body: "no", length: 2},
		{name: "conflict", status: 409, body: "no", length: 2},
		{name: "teapot", status: 418, body: "no", length: 2},
		{name: "failure", status: 500, body: "no", length: 2},
		{name: "unassigned failure", status: 599, body: "no", length: 2},
		{name: "HEAD", method: http.MethodHead, status: 200, body: "12345", lines: []string{"X-One: a"}, length: 5},
		{name: "headers", status: 200, body: "a", lines: []string{"Set-Cookie: a=b", "Set-Cookie: c=d", "Load: 1,0,4", "Cache-Control: no-store", "X-Empty:"}, length: 1},
		{name: "hop-by-hop headers", status: 200, body: "a", lines: []string{"Connection: X-Hop", "X-Hop: 1", "Keep-Alive: timeout=4", "X-End: 1"}, header: []string{"X-End: 1"}, length: 1},
		{name: "connection close", status: 200, body: "a", lines: []string{"Connection: close"}, header: []string{}, length: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				be := rg.startServers("s", 1)[0]
				rg.setTable(route.Route{Prefix: "/", MaxAttempts: 1, Targets: singleTarget("s")})
				be.setBehavior(respondWith(func(re *reply) { re.status, re.body, re.lines = tt.status, tt.body, tt.lines }))
				an := rg.send(request{method: tt.method, uri: "/a"})
				rg.checkStatus(an, tt.status)
				header := tt.header
				if header == nil {
					header = tt.lines
				}
				want := parseHeader(header)
				want.Set(names.RequestID, an.id)
				want.Set(names.Stamp, an.header.Get(names.Stamp))
				if tt.length >= 0 {
					want.Set("Content-Length", strconv.FormatInt(tt.length, 10))
				}
				qt.Assert(t, an.header, qt.DeepEquals, want)
				body := tt.body
				if tt.method == http.MethodHead || tt.status == 204 || tt.status == 304 {
					body = ""
				}
				qt.Assert(t, string(an.body) == body, qt.IsTrue)
			})
		})
	}
}

// A backend server frames its answer in chunks, ends it with the connection, or sends
// interim answers first. The caller gets the whole body and nothing else.
func TestAnswerFramings(t *testing.T) {
	tests := []struct {
		name string
		bh   behavior
	}{
		{"chunks", respondChunked},
		{"end of the connection", respondAndClose(func(re *reply) {
			re.framed, re.body = false, "until the end"
		})},
		{"interim answers", behavior{do: func(wo *work) bool {
			return wo.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n") && respondOK.do(wo)
		}}},
		{"answer with another ID after it", respondTwiceOtherID},
		{"two answers", respondTwice},
		{"connection close", respondConnectionClose},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				rg.startServers("s", 1, tt.bh)
				rg.setTable(route.Route{Prefix: "/", Kind: route.NotRepeatable, Targets: singleTarget("s")})
				for range 3 {
					an := rg.get("/a", http.StatusOK)
					qt.Assert(t, rg.hist.runs(an.id), qt.Equals, 1)
				}
			})
		})
	}
}

// Callers act on the status of the gateway's own answers: 404, 400 and 413 are final, and
// 503 promises that the request has not run and says when to retry. A valid request must
// not get one of the first three, since it would never be served.
func TestGatewayErrorStatuses(t *testing.T) {
	long := strings.Repeat("x", limits.BodyBytes+1)
	tests := []struct {
		name   string
		rq     request
		status int
	}{
		{"host", request{host: "b.example", uri: "/a/"}, http.StatusNotFound},
		{"path", request{uri: "/b/"}, http.StatusNotFound},
		{"path shorter than the prefix", request{uri: "/a"}, http.StatusNotFound},
		{"path in other letter case", request{uri: "/A/"}, http.StatusNotFound},
		{"no host", request{host: " ", uri: "/a/"}, http.StatusNotFound},
		{"no id", request{uri: "/a/", noID: true}, http.StatusBadRequest},
		{"long body", request{uri: "/a/", body: long}, http.StatusRequestEntityTooLarge},
		{"long body in chunks", request{uri: "/a/", body: long, chunked: true}, http.StatusRequestEntityTooLarge},
		{"no server known", request{uri: "/a/none/"}, http.StatusServiceUnavailable},
		{"valid", request{uri: "/a/"}, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBothNetworks(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				rg.startServers("s", 1)
				rg.setTable(
					route.Route{Prefix: "/a/", Targets: singleTarget("s")},
					route.Route{Prefix: "/a/none/", TargetLatency: 50 * time.Millisecond, Targets: singleTarget("none")},
				)
				an := rg.send(tt.rq)
				rg.checkStatus(an, tt.status)
				if tt.status != http.StatusOK {
					qt.Assert(t, an.header.Values(names.Stamp), qt.HasLen, 0)
					qt.Assert(t, rg.hist.arrivalsOf(an.id), qt.HasLen, 0)
				}
			})
		})
	}
}

// An instance has just started, or lost all control instances before it had a
// configuration. It must answer 503, so that callers try another instance; 404 would be
// final.
func TestRejectsWithoutTable(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		rg.startServers("s", 1)
		rg.get("/a/", http.StatusServiceUnavailable)
		rg.setTable(route.Route{Prefix: "/a/", Targets: singleTarget("s")})
		rg.get("/a/", http.StatusOK)
	})
}

// A burst of callers arrives. The instance accepts up to MaxInFlight requests and rejects
// the others at once.
func TestMaxInFlight(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{maxInFlight: 2})
		gate := make(chan struct{})
		rg.startServers("s", 1, heldUntil(gate, respondOK))
		rg.setTable(route.Route{Prefix: "/", Kind: route.NotRepeatable, Targets: singleTarget("s")})
		one, two := rg.sendAsync(request{uri: "/1"}), rg.sendAsync(request{uri: "/2"})
		rg.hist.awaitArrivals(2)
		rg.get("/3", http.StatusServiceUnavailable)
		close(gate)
		rg.checkStatus(<-one, http.StatusOK)
		rg.checkStatus(<-two, http.StatusOK)
		rg.get("/4", http.StatusOK)
	})
}

// A caller disconnects within the body of its request. The incomplete request must not be
// forwarded, or a backend server would run half of it.
func TestTruncatedBodyIsNotForwarded(t *testing.T) {
	onBothNetworks(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		rg.startServers("s", 1)
		rg.setTable(route.Route{Prefix: "/", Kind: route.NotRepeatable, Targets: singleTarget("s")})
		for _, rq := range []request{{uri: "/1", body: "half"}, {uri: "/2", body: "half", chunked: true}} {
			rq := rg.register(rq)
			ca := rg.connect()
			text := rq.head() + rq.payload()
			_, err := io.WriteString(ca.nc, text[:len(text)-2])
			qt.Assert(t, err, qt.IsNil)
			ca.leave()
		}
		awaitIdle(rg)
		qt.Assert(t, rg.hist.arrivalsOf(""), qt.HasLen, 0)
	})
}

// Guards against backend servers that work for callers whose time is up. The timeout sent
// to a server is the remaining time of the caller or of the route, whichever is less, at
// the time of sending.
func TestRemainingTimeIsForwarded(t *testing.T) {
	tests := []struct {
		name  string
		lines []string
		want  []string
	}{
		{"none", nil, []string{"2000", "1900"}},
		{"sooner", []string{"Deadline-Ms: 300"}, []string{"290", "190"}},
		{"with spaces", []string{"Deadline-Ms:  300 "}, []string{"290", "190"}},
		{"later", []string{"Deadline-Ms: 2011"}, []string{"2000", "1900"}},
		{"one more than the delay", []string{"Deadline-Ms: 111"}, []string{"101", "1"}},
		{"zero", []string{"Deadline-Ms: 0"}, []string{"2000", "1900"}},
		{"negative", []string{"Deadline-Ms: -5"}, []string{"2000", "1900"}},
		{"not a number", []string{"Deadline-Ms: soon"}, []string{"2000", "1900"}},
		{"more than 64 bits", []string{"Deadline-Ms: 99999999999999999999"}, []string{"2000", "1900"}},
		{"overflow", []string{"Deadline-Ms: 9223372036854775807"}, []string{"2000", "1900"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, newMemNetwork(), setup{})
				rg.startServers("s", 2, delayed(100*time.Millisecond, rejectNotRun(http.StatusServiceUnavailable)), respondOK)
				rg.setTable(route.Route{Prefix: "/", Kind: route.NotRepeatable, Timeout: 2 * time.Second, Targets: singleTarget("s")})
				an := rg.send(request{uri: "/a", lines: tt.lines})
				rg.checkStatus(an, http.StatusOK)
				var got []string
				for _, ar := range rg.hist.arrivalsOf(an.id) {
					got = append(got, ar.header.Values(names.Deadline)...)
				}
				qt.Assert(t, got, qt.DeepEquals, tt.want)
			})
		})
	}
}

// The backend server never answers. The caller gets the answer that the outcome is unknown
// when the route's timeout ends or just before its own does, whichever is first. At its own
// timeout it used to have left before the answer came. A short timeout loses a quarter at
// most.
func TestTimeoutOfCallerAndRoute(t *testing.T) {
	tests := []struct {
		kind  route.Kind
		waits int
		want  time.Duration
	}{
		{route.Repeatable, 0, 2 * time.Second},
		{route.Repeatable, 300, 300*time.Millisecond - 2*callerDelay - answerMargin},
		{route.NotRepeatable, 300, 300*time.Millisecond - 2*callerDelay - answerMargin},
		{route.Repeatable, 20, 15 * time.Millisecond},
		{route.NotRepeatable, 5000, 2 * time.Second},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			rg := newRig(t, newMemNetwork(), setup{})
			rg.startServers("s", 2, neverAnswer)
			rg.setTable(route.Route{Prefix: "/", Kind: tt.kind, Timeout: 2 * time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Targets: singleTarget("s")})
			an := rg.send(request{uri: "/a", timeoutMillis: tt.waits})
			rg.checkUnknown(an)
			qt.Assert(t, an.took, qt.Equals, tt.want)
			rg.hist.awaitAborted(len(rg.hist.arrivalsOf(an.id)))
		})
	}
}

// awaitIdle waits until no request is in flight.
func awaitIdle(rg *rig) {
	rg.tb.Helper()
	ctx, cancel := testContext()
	defer cancel()
	qt.Assert(rg.tb, rg.gw.WaitIdle(ctx), qt.IsNil)
}
