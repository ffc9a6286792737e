package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func requestHead(rq *Request, expect bool, left time.Duration) (string, bool) {
	now := time.Now()
	rq.SendTargetID = expect
	if left != 0 {
		rq.Deadline = now.Add(left)
	}
	bs, ok := appendHead(nil, rq, &testNames)
	if !ok {
		return "", false
	}
	ls := strings.Split(string(appendTail(bs, &testNames, Target{ID: "i-7"}, rq, now)), "\r\n")
	// Headers with different names may come in any order.
	sort.Strings(ls[1 : len(ls)-2])
	return strings.Join(ls, "|"), true
}

func TestRequestHead(t *testing.T) {
	for _, tc := range []struct {
		name   string
		method string
		header http.Header
		body   string
		expect bool
		left   time.Duration
		want   string
	}{
		{"plain", "GET", nil, "", false, 0, "GET /x?y HTTP/1.1|Host: h||"},
		{"headers", "GET", http.Header{"A": {"1", "2"}, "B": {""}}, "", false, 0, "GET /x?y HTTP/1.1|A: 1|A: 2|B: |Host: h||"},
		{"deadline", "GET", nil, "", false, 1999999 * time.Microsecond, "GET /x?y HTTP/1.1|Deadline-Ms: 1999|Host: h||"},
		{"minimum deadline", "GET", nil, "", false, time.Microsecond, "GET /x?y HTTP/1.1|Deadline-Ms: 1|Host: h||"},
		{"deadline passed", "GET", nil, "", false, -time.Second, "GET /x?y HTTP/1.1|Deadline-Ms: 1|Host: h||"},
		{"expect", "GET", nil, "", true, 0, "GET /x?y HTTP/1.1|Expect-Server: i-7|Host: h||"},
		{"caller's deadline replaced", "GET", http.Header{"Deadline-Ms": {"9"}}, "", false, time.Second, "GET /x?y HTTP/1.1|Deadline-Ms: 1000|Host: h||"},
		{"caller's expect left out", "GET", http.Header{"Expect-Server": {"i-9"}}, "", false, 0, "GET /x?y HTTP/1.1|Host: h||"},
		{"body", "GET", nil, "abc", false, 0, "GET /x?y HTTP/1.1|Content-Length: 3|Host: h||"},
		{"empty POST", "POST", nil, "", false, 0, "POST /x?y HTTP/1.1|Content-Length: 0|Host: h||"},
		{"empty PUT", "PUT", nil, "", false, 0, "PUT /x?y HTTP/1.1|Content-Length: 0|Host: h||"},
		{"empty DELETE", "DELETE", nil, "", false, 0, "DELETE /x?y HTTP/1.1|Host: h||"},
		{"caller's framing left out", "POST", http.Header{"Content-Length": {"9"}, "Transfer-Encoding": {"chunked"}, "Host": {"z"}}, "a", false, 0, "POST /x?y HTTP/1.1|Content-Length: 1|Host: h||"},
		{"framing in any case", "POST", http.Header{"content-length": {"9"}, "transfer-encoding": {"chunked"}}, "a", false, 0, "POST /x?y HTTP/1.1|Content-Length: 1|Host: h||"},
		{"hop by hop", "GET", http.Header{
			"Connection": {"x-a, X-B", "close"}, "X-A": {"1"}, "X-B": {"1"}, "X-C": {"1"}, "Keep-Alive": {"timeout=1"}, "Proxy-Authorization": {"p"},
			"Proxy-Connection": {"close"}, "Te": {"trailers"}, "Trailer": {"X"}, "Upgrade": {"h2c"},
		}, "", false, 0, "GET /x?y HTTP/1.1|Host: h|X-C: 1||"},
		{"other bytes in a value", "GET", http.Header{"A": {"caf\xc3\xa9\t1"}}, "", false, 0, "GET /x?y HTTP/1.1|A: caf\xc3\xa9\t1|Host: h||"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rq := &Request{Method: tc.method, URI: "/x?y", Host: "h", Header: tc.header, Body: []byte(tc.body)}
			got, ok := requestHead(rq, tc.expect, tc.left)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, got, qt.Equals, tc.want)
		})
	}
}

// With customers, the caller's key and customer name must not reach the server under any
// spelling of their names, and the name that is set must. Without customers both headers
// are the caller's own.
func TestHeadOfCustomerRequest(t *testing.T) {
	sent := http.Header{
		"Authorization": {"k1", "k2"}, "authorization": {"k3"}, "Customer-Name": {"n1"}, "customer_name": {"n2"}, "CUSTOMER-NAME": {"n3"},
		"Customer-Names": {"kept"}, "X-Authorization": {"kept"},
	}
	const kept = "|Customer-Names: kept|Host: h|X-Authorization: kept||"
	na := testNames
	na.Customer = "Customer-Name"
	for _, tc := range []struct {
		name string
		rq   Request
		want string
	}{
		{"customer", Request{HasCustomers: true, Customer: "linda"}, "GET / HTTP/1.1|Customer-Name: linda" + kept},
		{"no customer", Request{HasCustomers: true}, "GET / HTTP/1.1" + kept},
		{"listed as hop-by-hop", Request{HasCustomers: true, Customer: "linda", Header: http.Header{"Connection": {"Customer-Name"}}}, "GET / HTTP/1.1|Customer-Name: linda|Host: h||"},
		{"without customers", Request{Customer: "linda", Header: http.Header{"Authorization": {"k1"}, "Customer-Name": {"n1"}}}, "GET / HTTP/1.1|Authorization: k1|Customer-Name: n1|Host: h||"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rq := tc.rq
			rq.Method, rq.URI, rq.Host = "GET", "/", "h"
			if rq.Header == nil {
				rq.Header = sent
			}
			bs, ok := appendHead(nil, &rq, &na)
			qt.Assert(t, ok, qt.IsTrue)
			ls := strings.Split(string(bs)+"\r\n", "\r\n")
			sort.Strings(ls[1 : len(ls)-2])
			qt.Assert(t, strings.Join(ls, "|"), qt.Equals, tc.want)
		})
	}
	_, ok := appendHead(nil, &Request{Method: "GET", URI: "/", Host: "h", HasCustomers: true, Customer: "a\r\nb: c"}, &na)
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against request smuggling: a line break in any part of a request would let a
// caller hide a second request in it. The server would run that one, though it was never
// checked here, and its reply would go to another caller.
func TestHeadRefusesLineBreaks(t *testing.T) {
	qc := qt.New(t)
	for _, rq := range []Request{
		{Method: "GET\r\n", URI: "/", Host: "h"},
		{Method: "", URI: "/", Host: "h"},
		{Method: "CONNECT", URI: "h:1", Host: "h"},
		{Method: "GET", URI: "/ HTTP/1.1\r\nA: b", Host: "h"},
		{Method: "GET", URI: "/a b", Host: "h"},
		{Method: "GET", URI: "", Host: "h"},
		{Method: "GET", URI: "/", Host: "h\r\nA: b"},
		{Method: "GET", URI: "/", Host: ""},
		{Method: "GET", URI: "/", Host: "h", Header: http.Header{"A": {"b\r\nC: d"}}},
		{Method: "GET", URI: "/", Host: "h", Header: http.Header{"A": {"b\nC: d"}}},
		{Method: "GET", URI: "/", Host: "h", Header: http.Header{"A": {"b\x00"}}},
		{Method: "GET", URI: "/", Host: "h", Header: http.Header{"A: b\r\nC": {"d"}}},
		{Method: "GET", URI: "/", Host: "h", Header: http.Header{"A ": {"d"}}},
		{Method: "GET", URI: "/", Host: "h", Header: http.Header{"": {"d"}}},
	} {
		_, ok := requestHead(&rq, false, 0)
		qc.Check(ok, qt.IsFalse, qt.Commentf("%q", rq))
	}
	cl := newClient(qc, Config{Connect: unreachable})
	rq := newGet()
	rq.URI = "/a b"
	re := cl.Do(testContext(t), Target{ID: "i-1", MaxConnections: 1}, rq)
	qc.Assert(re.Outcome, qt.Equals, NotSent)
	qc.Assert(re.Err, qt.ErrorIs, ErrInvalidRequest)
}

// Guards against request smuggling by the ID that a server was announced under: a line break
// in it would end the head early, and the rest would run as a request that no caller sent.
func TestTargetIDEndsNoLine(t *testing.T) {
	qc := qt.New(t)
	for _, id := range []string{"i-1\r\n\r\nGET /other HTTP/1.1\r\nHost: h", "i-1\nA: b", "i-1\r", "i-1\x00"} {
		dialed := false
		cl := newClient(qc, Config{Connect: func(context.Context, string) (net.Conn, error) {
			dialed = true
			return nil, errors.New("not reached")
		}})
		for _, prepared := range []bool{false, true} {
			rq := newGet()
			rq.SendTargetID = true
			if prepared {
				cl.Prepare(rq)
			}
			re := cl.Do(testContext(t), Target{ID: id, Address: "127.0.0.1:1", MaxConnections: 1}, rq)
			qc.Check(re.Outcome, qt.Equals, NotSent)
			qc.Check(re.Err, qt.ErrorIs, ErrInvalidTarget)
		}
		qc.Check(dialed, qt.IsFalse)
	}
}

func TestStripHopByHop(t *testing.T) {
	he := http.Header{
		"Connection": {"Keep-Alive, x-a"}, "X-A": {"1"}, "X-B": {"1"}, "Keep-Alive": {"timeout=1"}, "Proxy-Authenticate": {"p"},
		"Te": {"t"}, "Trailer": {"X"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"u"}, "Content-Type": {"c"},
		"Content-Length ": {"1"}, "transfer-encoding ": {"chunked"},
	}
	stripHopByHop(he)
	qt.Assert(t, he, qt.DeepEquals, http.Header{"X-B": {"1"}, "Content-Type": {"c"}})
}
