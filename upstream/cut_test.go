package upstream

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a reply that ends early and is passed on as whole: whatever part of it arrives
// before the connection ends, on a new or kept connection, while the body of the request is
// still on its way, and after a whole reply to the request before.
func TestCutReplyIsNotAnswered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: cut\r\nStamp: st\r\n"
	for _, fr := range []struct{ name, reply string }{
		{"length", head + "Content-Length: 12\r\n\r\nhello, world"},
		{"length of 0", head + "Content-Length: 0\r\n\r\n"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n"},
		{"chunks with a trailer", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n"},
		{framedByClose, head + "\r\nhello, world"},
		{"after an interim reply", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nhi"},
	} {
		for _, wa := range []struct {
			name  string
			kept  bool // whether the connection has carried a request
			body  int  // bytes of the request's body
			slow  bool // whether each byte is written by itself
			reset bool
		}{
			{name: "new"},
			{name: "slow", slow: true},
			{name: "kept, slow, reset", kept: true, slow: true, reset: true},
			{name: "kept", kept: true},
			{name: "body on its way", body: 2 << 20},
			{name: "kept, body on its way", kept: true, body: 2 << 20},
			{name: "reset", reset: true},
			{name: "kept, reset", kept: true, reset: true},
		} {
			t.Run(fr.name+", "+wa.name, func(t *testing.T) {
				qc := qt.New(t)
				ta := startServer(qc, func(pc *peerConn) {
					if wa.kept {
						pc.answerOne()
					}
					rq, err := http.ReadRequest(pc.rd)
					if err != nil {
						return
					}
					cut, err := strconv.Atoi(rq.Header.Get("Cut"))
					qc.Check(err, qt.IsNil)
					step := len(fr.reply)
					if wa.slow {
						step = 1
					}
					for part := range slices.Chunk([]byte(fr.reply[:cut]), step) {
						_, _ = pc.Write(part)
					}
					pc.end(wa.reset)
				})
				for cut := range len(fr.reply) {
					cl := newClient(qc, Config{DialTimeout: time.Minute})
					if wa.kept {
						checkAnswered(qc, cl.Do(testContext(t), ta, newGet()), true)
					}
					rq := newGet()
					rq.RequestID = "cut"
					rq.Header.Set("Request-Id", "cut")
					rq.Header.Set("Cut", strconv.Itoa(cut))
					if wa.body > 0 {
						rq.Method, rq.Body = http.MethodPost, make([]byte, wa.body)
					}
					re := cl.Do(testContext(t), ta, rq)
					// A reply without a length is whole if its head is and its connection is closed.
					whole := fr.name == framedByClose && cut >= len(head)+2 && !wa.reset
					qc.Assert(re.Outcome == Answered, qt.Equals, whole, qt.Commentf("%d bytes: %v %v", cut, re.Outcome, re.Err))
					cl.Close()
				}
			})
		}
	}
}

const framedByClose = "no length"

// end closes the connection, or resets it.
func (pc *peerConn) end(reset bool) {
	tc := pc.Conn.(*net.TCPConn)
	if reset {
		_ = tc.SetLinger(0)
		return
	}
	_ = tc.CloseWrite()
	pc.awaitClose()
}

// Guards against a second reply that begins in the same segment and is cut: the first is whole,
// and nothing of the second may be taken for the reply to a later request.
func TestCutReplyBesideAWholeOne(t *testing.T) {
	qc := qt.New(t)
	const second = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nhello"
	ta := startServer(qc, func(pc *peerConn) {
		rq, err := http.ReadRequest(pc.rd)
		if err != nil {
			return
		}
		cut, err := strconv.Atoi(rq.Header.Get("Cut"))
		qc.Check(err, qt.IsNil)
		pc.printf("%s", okReply(rq.Header.Get("Request-Id"))+second[:cut])
		pc.end(false)
	})
	for cut := 1; cut < len(second); cut++ {
		cl := newClient(qc, Config{DialTimeout: time.Minute})
		for range 2 {
			rq := newGet()
			rq.Header.Set("Cut", strconv.Itoa(cut))
			re := cl.Do(testContext(t), ta, rq)
			qc.Assert(re.Outcome, qt.Equals, Answered, qt.Commentf("%d bytes", cut))
			qc.Assert(re.NewConnection, qt.IsTrue)
		}
		cl.Close()
	}
}
