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

// own are the headers of a request that the gateway sets itself.
func own(he http.Header) http.Header {
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

// A service answers a caller otherwise through the gateway than when it is asked
// directly: a path was cleaned, a body lost its end or its length, a header was
// dropped or joined with another. Whatever the request is, the backend server
// gets the caller's bytes.
func TestRequestUnchanged(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", limits.BodyBytes/16)
	tests := []struct {
		name  string
		as    ask
		lines []string // lines are those that arrive; those that were sent if nil.
	}{
		{name: "plain", as: ask{uri: "/"}},
		{name: "query", as: ask{uri: "/a?b=c&&d=%20?e;f"}},
		{name: "escapes", as: ask{uri: "/a%2Fb/%41/%C3%BC/;x=y"}},
		{name: "dots and slashes", as: ask{uri: "//a/../b/./c//"}},
		{name: "empty query", as: ask{uri: "/a?"}},
		{name: "host with a port", as: ask{uri: "/", host: "A.Example:8080"}},
		{name: "HEAD", as: ask{uri: "/a", method: http.MethodHead}},
		{name: "DELETE", as: ask{uri: "/a", method: http.MethodDelete}},
		{name: "OPTIONS", as: ask{uri: "/a", method: http.MethodOptions}},
		{name: "unknown method", as: ask{uri: "/a", method: "PURGE"}},
		{name: "POST", as: ask{uri: "/a", body: "a\r\n\x00\xff"}},
		{name: "POST without a body", as: ask{uri: "/a", method: http.MethodPost, lines: []string{"Content-Length: 0"}}},
		{name: "POST in chunks", as: ask{uri: "/a", body: long[:5000], chunked: true}, lines: []string{"Content-Length: 5000"}},
		{name: "no chunks", as: ask{uri: "/a", method: http.MethodPut, chunked: true}, lines: []string{"Content-Length: 0"}},
		{name: "GET with a body", as: ask{uri: "/a", method: http.MethodGet, body: "abc"}},
		{name: "longest body", as: ask{uri: "/a", body: long}},
		{name: "longest body in chunks", as: ask{uri: "/a", body: long, chunked: true}, lines: []string{"Content-Length: " + strconv.Itoa(len(long))}},
		{name: "headers", as: ask{uri: "/a", lines: []string{
			"X-One: b", "X-One: a", "Cookie: a=b; c=d", "Accept-Encoding: gzip", "User-Agent: x/1 (y)", "Empty:", "Authorization: Basic YTpi", "If-None-Match: \"x\"",
		}}},
		{name: "headers of the connection", as: ask{uri: "/a", lines: []string{
			"Connection: keep-alive, X-Hop", "Keep-Alive: timeout=3", "X-Hop: 1", "Te: trailers", "Proxy-Authorization: x", "Upgrade: h2c", "X-End: 1",
		}}, lines: []string{"X-End: 1"}},
		{name: "headers of the gateway", as: ask{uri: "/a", lines: []string{names.ExpectServer + ": somebody-else"}}, lines: []string{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBoth(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				be := rg.serve("s", 1)[0]
				rg.table(route.Route{Prefix: "/", Targets: to("s")})
				an := rg.ask(tt.as)
				rg.checkStatus(an, http.StatusOK)
				ars := rg.le.of(an.id)
				qt.Assert(t, ars, qt.HasLen, 1)
				ours := own(ars[0].header)
				qt.Assert(t, ours[names.RequestID], qt.DeepEquals, []string{an.id})
				qt.Assert(t, ours[names.ExpectServer], qt.DeepEquals, []string{be.id})
				lines := tt.lines
				if lines == nil {
					lines = tt.as.lines
				}
				if tt.as.body != "" && !tt.as.chunked {
					lines = append(lines, "Content-Length: "+strconv.Itoa(len(tt.as.body)))
				}
				qt.Assert(t, ars[0].header, qt.DeepEquals, headerOf(lines))
				qt.Assert(t, ars[0].body == tt.as.body, qt.IsTrue)
			})
		})
	}
}

func headerOf(lines []string) http.Header {
	he := http.Header{}
	for _, li := range lines {
		name, value, _ := strings.Cut(li, ":")
		he.Add(name, strings.TrimSpace(value))
	}
	return he
}

// A caller gets another answer than the backend server gave: a guessed content
// type, a date, a length where there was none, a body after HEAD. Status, headers
// and body come back as they were, but for headers that concern one connection.
func TestAnswerUnchanged(t *testing.T) {
	tests := []struct {
		name   string
		method string
		status int
		lines  []string
		body   string
		header []string // header are the lines that come back, besides id, stamp and length; lines if nil.
		length int64    // length is the Content-Length that comes back; -1 for none.
	}{
		{name: "text", status: 200, body: "<html>", length: 6},
		{name: "no body", status: 200, length: 0},
		{name: "long", status: 200, body: strings.Repeat("x", 1<<20), length: 1 << 20},
		{name: "created", status: 201, body: "a", lines: []string{"Location: /b", "Content-Type: x/y", "Date: Thu, 01 Jan 1970 00:00:00 GMT"}, length: 1},
		{name: "no content", status: 204, length: -1},
		{name: "part", status: 206, body: "bc", lines: []string{"Content-Range: bytes 1-2/3"}, length: 2},
		{name: "elsewhere", status: 302, lines: []string{"Location: http://b.example/?c"}, length: 0},
		// The standard library's server leaves the length of a 304 out, as HTTP allows.
		{name: "not modified", status: 304, body: "1234567", lines: []string{`Etag: "x"`}, length: -1},
		{name: "bad", status: 400, body: "no", length: 2},
		{name: "not found", status: 404, body: "no", length: 2},
		{name: "conflict", status: 409, body: "no", length: 2},
		{name: "teapot", status: 418, body: "no", length: 2},
		{name: "failure", status: 500, body: "no", length: 2},
		{name: "failure beyond", status: 599, body: "no", length: 2},
		{name: "HEAD", method: http.MethodHead, status: 200, body: "12345", lines: []string{"X-One: a"}, length: 5},
		{name: "headers", status: 200, body: "a", lines: []string{"Set-Cookie: a=b", "Set-Cookie: c=d", "Load: 1,0,4", "Cache-Control: no-store", "X-Empty:"}, length: 1},
		{name: "headers of the connection", status: 200, body: "a", lines: []string{"Connection: X-Hop", "X-Hop: 1", "Keep-Alive: timeout=4", "X-End: 1"}, header: []string{"X-End: 1"}, length: 1},
		{name: "the connection's end", status: 200, body: "a", lines: []string{"Connection: close"}, header: []string{}, length: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBoth(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				be := rg.serve("s", 1)[0]
				rg.table(route.Route{Prefix: "/", MaxAttempts: 1, Targets: to("s")})
				be.set(says(func(re *reply) { re.status, re.body, re.lines = tt.status, tt.body, tt.lines }))
				an := rg.ask(ask{method: tt.method, uri: "/a"})
				rg.checkStatus(an, tt.status)
				header := tt.header
				if header == nil {
					header = tt.lines
				}
				want := headerOf(header)
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

// A backend server frames its answer in chunks, or by the end of the connection,
// or sends interim answers first. The caller gets the whole body, and only that.
func TestAnswerFramings(t *testing.T) {
	tests := []struct {
		name string
		ac   act
	}{
		{"chunks", chunked},
		{"end of the connection", ends(func(re *reply) {
			re.framed, re.body = false, "until the end"
		})},
		{"interim answers", act{do: func(wo *work) bool {
			return wo.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n") && fine.do(wo)
		}}},
		{"more than the answer", chatty},
		{"two answers", double},
		{"the end with the answer", closing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBoth(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				rg.serve("s", 1, tt.ac)
				rg.table(route.Route{Prefix: "/", Kind: route.NotRepeatable, Targets: to("s")})
				for range 3 {
					an := rg.get("/a", http.StatusOK)
					qt.Assert(t, rg.le.runs(an.id), qt.Equals, 1)
				}
			})
		})
	}
}

// An instance that can't serve a request says why in a way that callers act on:
// 404, 400 and 413 end the request for good, 503 promises that it has not run and
// says when to come back. A proper request that got one of the first three would
// never be served.
func TestOwnAnswers(t *testing.T) {
	long := strings.Repeat("x", limits.BodyBytes+1)
	tests := []struct {
		name   string
		as     ask
		status int
	}{
		{"host", ask{host: "b.example", uri: "/a/"}, http.StatusNotFound},
		{"path", ask{uri: "/b/"}, http.StatusNotFound},
		{"path that ends before the prefix", ask{uri: "/a"}, http.StatusNotFound},
		{"path in other case", ask{uri: "/A/"}, http.StatusNotFound},
		{"no host", ask{host: " ", uri: "/a/"}, http.StatusNotFound},
		{"no id", ask{uri: "/a/", noID: true}, http.StatusBadRequest},
		{"long body", ask{uri: "/a/", body: long}, http.StatusRequestEntityTooLarge},
		{"long body in chunks", ask{uri: "/a/", body: long, chunked: true}, http.StatusRequestEntityTooLarge},
		{"nobody known", ask{uri: "/a/none/"}, http.StatusServiceUnavailable},
		{"proper", ask{uri: "/a/"}, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			onBoth(t, func(t *testing.T, nw network) {
				rg := newRig(t, nw, setup{})
				rg.serve("s", 1)
				rg.table(
					route.Route{Prefix: "/a/", Targets: to("s")},
					route.Route{Prefix: "/a/none/", Aim: 50 * time.Millisecond, Targets: to("none")},
				)
				an := rg.ask(tt.as)
				rg.checkStatus(an, tt.status)
				if tt.status != http.StatusOK {
					qt.Assert(t, an.header.Values(names.Stamp), qt.HasLen, 0)
					qt.Assert(t, rg.le.of(an.id), qt.HasLen, 0)
				}
			})
		})
	}
}

// An instance has just started, or lost sight of all control instances before it
// knew a configuration. 404 would end proper requests; with 503 callers ask
// another instance.
func TestNoTable(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		rg.serve("s", 1)
		rg.get("/a/", http.StatusServiceUnavailable)
		rg.table(route.Route{Prefix: "/a/", Targets: to("s")})
		rg.get("/a/", http.StatusOK)
	})
}

// A crowd of callers comes at once. The instance takes as many requests as it
// has room for and tells the others at once to come back.
func TestMostActive(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{mostActive: 2})
		gate := make(chan struct{})
		rg.serve("s", 1, held(gate, fine))
		rg.table(route.Route{Prefix: "/", Kind: route.NotRepeatable, Targets: to("s")})
		one, two := rg.begin(ask{uri: "/1"}), rg.begin(ask{uri: "/2"})
		rg.le.awaitArrivals(2)
		rg.get("/3", http.StatusServiceUnavailable)
		close(gate)
		rg.checkStatus(<-one, http.StatusOK)
		rg.checkStatus(<-two, http.StatusOK)
		rg.get("/4", http.StatusOK)
	})
}

// A caller breaks off within the body of its request. What the gateway has of it
// is no request: a backend server that got it would run half an order.
func TestHalfBody(t *testing.T) {
	onBoth(t, func(t *testing.T, nw network) {
		rg := newRig(t, nw, setup{})
		rg.serve("s", 1)
		rg.table(route.Route{Prefix: "/", Kind: route.NotRepeatable, Targets: to("s")})
		for _, as := range []ask{{uri: "/1", body: "half"}, {uri: "/2", body: "half", chunked: true}} {
			as := rg.fill(as)
			ca := rg.connect()
			text := as.head() + as.payload()
			_, err := io.WriteString(ca.nc, text[:len(text)-2])
			qt.Assert(t, err, qt.IsNil)
			ca.leave()
		}
		awaitIdle(rg)
		qt.Assert(t, rg.le.of(""), qt.HasLen, 0)
	})
}

// A backend server works for a caller that has long given up, because it was
// told more time than was left. What it is told is what is left of the caller's
// time, or of the route's if that is less, at the moment at which it is asked.
func TestTimeLeft(t *testing.T) {
	tests := []struct {
		name  string
		lines []string
		want  []string
	}{
		{"none", nil, []string{"2000", "1900"}},
		{"sooner", []string{"Deadline-Ms: 300"}, []string{"300", "200"}},
		{"with spaces", []string{"Deadline-Ms:  300 "}, []string{"300", "200"}},
		{"later", []string{"Deadline-Ms: 2001"}, []string{"2000", "1900"}},
		{"almost none", []string{"Deadline-Ms: 101"}, []string{"101", "1"}},
		{"none at all", []string{"Deadline-Ms: 0"}, []string{"2000", "1900"}},
		{"below", []string{"Deadline-Ms: -5"}, []string{"2000", "1900"}},
		{"no number", []string{"Deadline-Ms: soon"}, []string{"2000", "1900"}},
		{"no 64 bits", []string{"Deadline-Ms: 99999999999999999999"}, []string{"2000", "1900"}},
		{"overflow", []string{"Deadline-Ms: 9223372036854775807"}, []string{"2000", "1900"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, newPipes(), setup{})
				rg.serve("s", 2, paused(100*time.Millisecond, shed(http.StatusServiceUnavailable)), fine)
				rg.table(route.Route{Prefix: "/", Kind: route.NotRepeatable, Timeout: 2 * time.Second, Targets: to("s")})
				an := rg.ask(ask{uri: "/a", lines: tt.lines})
				rg.checkStatus(an, http.StatusOK)
				var got []string
				for _, ar := range rg.le.of(an.id) {
					got = append(got, ar.header.Values(names.Deadline)...)
				}
				qt.Assert(t, got, qt.DeepEquals, tt.want)
			})
		})
	}
}

// A caller says how long it waits and the backend server stands still. The
// caller gets the answer that nothing is promised at the end of that time, or of
// the route's if that is less, and not later.
func TestTimeOut(t *testing.T) {
	tests := []struct {
		kind  route.Kind
		waits int
		want  time.Duration
	}{
		{route.Repeatable, 0, 2 * time.Second},
		{route.Repeatable, 300, 300 * time.Millisecond},
		{route.NotRepeatable, 300, 300 * time.Millisecond},
		{route.NotRepeatable, 5000, 2 * time.Second},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			rg := newRig(t, newPipes(), setup{})
			rg.serve("s", 2, silent)
			rg.table(route.Route{Prefix: "/", Kind: tt.kind, Timeout: 2 * time.Second, Aim: 100 * time.Millisecond, MaxAttempts: 2, Targets: to("s")})
			an := rg.ask(ask{uri: "/a", waits: tt.waits})
			rg.checkUnknown(an)
			qt.Assert(t, an.took, qt.Equals, tt.want)
			rg.le.awaitEnded(len(rg.le.of(an.id)))
		})
	}
}

// awaitIdle waits until no request is under way.
func awaitIdle(rg *rig) {
	rg.tb.Helper()
	ctx, cancel := contextOf()
	defer cancel()
	qt.Assert(rg.tb, rg.gw.WaitIdle(ctx), qt.IsNil)
}
