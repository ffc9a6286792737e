package upstream

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net/http"
	"os"
	"time"
)

const (
	// readBytes is the size of the read buffer.
	readBytes = 4 << 10
	// outBytes is how much of a request goes out in one buffer.
	outBytes = 16 << 10
	// nowBytes is how much of the rest of a body is written before reading begins.
	nowBytes = 64 << 10
	// headBytes bounds the head of a reply and the interim replies before it.
	headBytes = 256 << 10
	// writeGrace is how long the end of a written body is awaited after the reply.
	writeGrace = 2 * time.Millisecond
	// noBudget is the budget of what is bounded elsewhere.
	noBudget = math.MaxInt
	// sampleBytes bounds the bytes that are logged.
	sampleBytes = 64
)

// exchange is one request and its reply on a connection. Its buffers and
// functions serve one exchange after another.
type exchange struct {
	cl *Client
	po *pool
	cn *conn

	// The request.
	id     string
	isHead bool
	out    []byte // out is the head and as much of the body as fits.
	mark   int    // mark is where the tail of the head begins in out.
	rest   []byte // rest is the rest of the body.

	// What went out.
	begun   bool       // begun says that the connection was looked at.
	left    bool       // left says that bytes of the request may have left.
	sent    bool       // sent says that the system took the whole request.
	writing bool       // writing says that a goroutine writes the rest.
	written chan error // written gets one value when that goroutine ends.

	// What came in.
	rd      *bufio.Reader
	dest    []byte // dest is where step reads to.
	read    int    // read is how much step read.
	stepErr error  // stepErr is the error of step.
	heard   bool   // heard says that a byte came.
	budget  int    // budget is how many bytes may still come.
	interim int    // interim counts the interim replies.
	ioErr   error  // ioErr is the last error of the connection itself.
	rs      *http.Response
	body    []byte
	spare   *Reply // spare is a recycled reply that body was begun in; nil for none.

	step  func(fd uintptr) bool
	place int // place is where the exchange is in its group.
}

func (cl *Client) newExchange(rq *Request) *exchange {
	ex, _ := cl.exchanges.Get().(*exchange)
	if ex == nil {
		ex = &exchange{cl: cl, written: make(chan error, 1)}
		ex.rd = bufio.NewReaderSize(ex, readBytes)
		ex.step = ex.onTurn
	}
	ex.id, ex.isHead = rq.RequestID, rq.Method == http.MethodHead
	return ex
}

// freeExchange keeps the buffers of an exchange for the next one.
func (cl *Client) freeExchange(ex *exchange) {
	ex.po, ex.cn, ex.id, ex.rest, ex.spare = nil, nil, "", nil, nil
	ex.rs, ex.body, ex.dest, ex.stepErr, ex.ioErr = nil, nil, nil, nil, nil
	if cap(ex.out) <= 2*outBytes {
		cl.exchanges.Put(ex)
	}
}

// prepare writes what is known of the head before there is a connection.
func (ex *exchange) prepare(rq *Request) error {
	if rq.head != nil {
		ex.out = append(ex.out[:0], rq.head...)
		ex.mark = len(ex.out)
		return nil
	}
	out, ok := appendHead(ex.out[:0], rq, &ex.cl.cf.Names)
	ex.out, ex.mark = out, len(out)
	if !ok {
		return ErrInvalidRequest
	}
	return nil
}

// attach begins an exchange on a connection.
func (ex *exchange) attach(po *pool, cn *conn) {
	ex.po, ex.cn = po, cn
	ex.begun, ex.left, ex.sent, ex.writing = false, false, false, false
	ex.heard, ex.budget, ex.interim = false, headBytes, 0
	ex.ioErr, ex.rs, ex.body, ex.spare = nil, nil, nil, nil
	ex.rd.Reset(ex)
}

// run performs the exchange. It reports true if the connection turned out to be
// of no use before any byte left, so that another one may take the request.
func (ex *exchange) run(ctx context.Context, ta Target, rq *Request) (Result, bool) {
	ex.address(ta, rq)
	ex.setDeadline(rq.Deadline)
	err := ex.receiveWithin(ctx)
	re := Result{NewConnection: !ex.cn.used, Sent: ex.left}
	ex.cn.used = ex.cn.used || ex.left
	switch {
	case err == nil:
		ex.finish(&re)
	case !ex.left:
		return re, ex.unsent(ctx, &re, err)
	default:
		ex.fail(ctx, &re, err)
	}
	return re, false
}

// address completes the request for a server.
func (ex *exchange) address(ta Target, rq *Request) {
	ex.out = appendTail(ex.out[:ex.mark], &ex.cl.cf.Names, ta, rq, ex.cl.ts.Now())
	fits := min(len(rq.Body), max(0, outBytes-len(ex.out)))
	ex.out = append(ex.out, rq.Body[:fits]...)
	ex.rest = rq.Body[fits:]
}

// receiveWithin sends the request and reads the reply, until the context ends.
func (ex *exchange) receiveWithin(ctx context.Context) error {
	if ctx.Done() == nil {
		return ex.receive()
	}
	gr, stop := groupOf(ctx)
	defer stop()
	gr.enter(ex)
	defer gr.leave(ex)
	return ex.receive()
}

// setDeadline bounds reading. Writing never waits where the descriptor is used
// directly, and the goroutine that writes a long body ends with the connection.
func (ex *exchange) setDeadline(at time.Time) {
	if ex.cn.raw != nil {
		_ = ex.cn.nc.SetReadDeadline(at)
	} else {
		_ = ex.cn.nc.SetDeadline(at)
	}
}

// finish ends an exchange with a whole reply.
func (ex *exchange) finish(re *Result) {
	clean := ex.noteKeeping()
	if !ex.judge(re) {
		clean = false
	}
	ex.end(clean)
}

// unsent ends an exchange of which no byte left, and reports whether another
// connection may take it.
func (ex *exchange) unsent(ctx context.Context, re *Result, err error) bool {
	switch {
	case ctx.Err() != nil:
		gr := contextGrant(ctx)
		re.Outcome, re.Err = gr.outcome, ex.error(gr.err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		re.Outcome, re.Err = TimedOut, ex.error(ErrDeadline)
	default:
		re.Outcome, re.Err = NotSent, ex.error(err)
	}
	if errors.Is(err, errEarly) {
		ex.po.wrongBytes(errEarly, nil)
	}
	if ex.begun {
		ex.po.discard(ex.cn)
	} else {
		ex.po.release(ex.cn)
	}
	if re.Outcome == NotSent && !re.NewConnection {
		return true
	}
	ex.cl.freeExchange(ex)
	return false
}

// fail ends an exchange of which bytes left and to which no whole reply came.
func (ex *exchange) fail(ctx context.Context, re *Result, err error) {
	switch {
	case ctx.Err() != nil:
		gr := contextGrant(ctx)
		re.Outcome, re.Err = gr.outcome, ex.error(gr.err)
	case errors.Is(ex.ioErr, os.ErrDeadlineExceeded):
		re.Outcome, re.Err = TimedOut, ex.error(ErrDeadline)
	case ex.ioErr == nil && !errors.Is(err, errLongBody):
		re.Outcome, re.Err = Wrong, ex.error(err)
		sample, _ := ex.rd.Peek(min(ex.rd.Buffered(), sampleBytes))
		ex.po.wrongBytes(err, sample)
	default:
		re.Outcome, re.Err = Lost, ex.error(err)
	}
	ex.end(false)
}

func (ex *exchange) error(err error) error {
	return &Error{Server: ex.po.id, Address: ex.cn.address, Err: err}
}

// end gives up the connection, and keeps it for other requests if it is clean.
func (ex *exchange) end(clean bool) {
	if clean = ex.endWriter(clean) && clean; clean {
		ex.po.release(ex.cn)
	} else {
		ex.po.discard(ex.cn)
	}
	ex.cl.freeExchange(ex)
}

// endWriter reports whether the whole request was written. A goroutine that still
// writes ends with the connection; if that could be kept, it gets a moment
// first, as the server may have read the end before the goroutine runs again.
//
// A server may answer before it has read a long body. If the connection were
// used again, the server would get the next request where the rest of that body
// is due. And the body is the caller's again once Do returned.
func (ex *exchange) endWriter(clean bool) bool {
	if !ex.writing {
		return ex.sent
	}
	if !clean {
		_ = ex.cn.nc.Close()
		<-ex.written
		return false
	}
	nc := ex.cn.nc
	ti := ex.cl.ts.Timeout(writeGrace, func() { _ = nc.Close() })
	err := <-ex.written
	return ti.Stop() && err == nil
}
