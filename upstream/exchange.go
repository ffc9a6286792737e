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
	// readBufferBytes is the size of the read buffer.
	readBufferBytes = 4 << 10
	// writeBufferBytes is the size of the buffer for the head and the start of the body.
	writeBufferBytes = 16 << 10
	// maxBodyBeforeRead bounds the bytes of the rest of a body that are written before
	// reading starts.
	maxBodyBeforeRead = 64 << 10
	// maxHeadBytes bounds the head of a reply with the interim replies before it.
	maxHeadBytes = 64 << 10
	// writerTimeout is how long the writer of a body may still take after the reply.
	writerTimeout = 2 * time.Millisecond
	// unlimited is the read budget for data that is bounded elsewhere.
	unlimited = math.MaxInt
	// maxSampleBytes bounds the received bytes in a log line.
	maxSampleBytes = 64
)

// exchange is a request and its reply on a connection. Its buffers are reused by later
// exchanges.
type exchange struct {
	cl *Client
	po *pool
	cn *conn

	// request
	requestID string
	isHead    bool
	out       []byte // head and as much of the body as fits
	tailStart int    // offset in out where the tail of the head starts
	bodyRest  []byte // rest of the body

	// progress of sending
	started   bool       // whether the connection was checked
	anySent   bool       // whether bytes of the request may have been sent
	allSent   bool       // whether the kernel accepted the whole request
	writing   bool       // whether a goroutine writes the rest
	writeDone chan error // receives one value when that goroutine ends

	// reply
	rd         *bufio.Reader
	readBuf    []byte // buffer that readFunc reads into
	numRead    int    // bytes read by readFunc
	readErr    error  // error of readFunc
	received   bool   // whether any byte was received
	readBudget int    // bytes that may still be received
	numInterim int    // interim replies received
	ioErr      error  // last error of the connection itself
	rs         *http.Response
	body       []byte
	recycled   *Reply // recycled reply whose buffer body uses; nil for none
	reserved   int    // bytes of body that are charged to Client.memory

	readFunc   func(fd uintptr) bool
	groupIndex int // index in its cancelGroup
}

func (cl *Client) newExchange(rq *Request) *exchange {
	ex, _ := cl.exchangePool.Get().(*exchange)
	if ex == nil {
		ex = &exchange{cl: cl, writeDone: make(chan error, 1)}
		ex.rd = bufio.NewReaderSize(ex, readBufferBytes)
		ex.readFunc = ex.onReady
	}
	ex.requestID, ex.isHead = rq.RequestID, rq.Method == http.MethodHead
	return ex
}

// freeExchange keeps the buffers of an exchange for later ones.
func (cl *Client) freeExchange(ex *exchange) {
	cl.memory.Release(ex.reserved)
	ex.reserved = 0
	ex.po, ex.cn, ex.requestID, ex.bodyRest, ex.recycled = nil, nil, "", nil, nil
	ex.rs, ex.body, ex.readBuf, ex.readErr, ex.ioErr = nil, nil, nil, nil, nil
	if cap(ex.out) <= 2*writeBufferBytes {
		cl.exchangePool.Put(ex)
	}
}

// prepare writes the part of the head that doesn't depend on the connection.
func (ex *exchange) prepare(ta Target, rq *Request) error {
	if !isTarget(ta, rq, &ex.cl.cf.Names) {
		return ErrInvalidTarget
	}
	if rq.prepared != nil {
		ex.out = append(ex.out[:0], rq.prepared...)
		ex.tailStart = len(ex.out)
		return nil
	}
	out, ok := appendHead(ex.out[:0], rq, &ex.cl.cf.Names)
	ex.out, ex.tailStart = out, len(out)
	if !ok {
		return ErrInvalidRequest
	}
	return nil
}

// attach starts an exchange on a connection.
func (ex *exchange) attach(po *pool, cn *conn) {
	ex.po, ex.cn = po, cn
	ex.started, ex.anySent, ex.allSent, ex.writing = false, false, false, false
	ex.received, ex.readBudget, ex.numInterim = false, maxHeadBytes, 0
	ex.ioErr, ex.rs, ex.body, ex.recycled = nil, nil, nil, nil
	ex.rd.Reset(ex)
}

// run performs the exchange. It returns true if the connection failed before any byte was
// sent, so that another one may carry the request.
func (ex *exchange) run(ctx context.Context, ta Target, rq *Request) (Result, bool) {
	ex.completeRequest(ta, rq)
	ex.setDeadline(rq.Deadline)
	err := ex.receiveWithin(ctx)
	re := Result{NewConnection: !ex.cn.used, Sent: ex.anySent}
	ex.cn.used = ex.cn.used || ex.anySent
	switch {
	case err == nil:
		ex.complete(&re)
	case !ex.anySent:
		return re, ex.failUnsent(ctx, &re, err)
	default:
		ex.fail(ctx, &re, err)
	}
	return re, false
}

// completeRequest adds the tail of the head and the body.
func (ex *exchange) completeRequest(ta Target, rq *Request) {
	ex.out = appendTail(ex.out[:ex.tailStart], &ex.cl.cf.Names, ta, rq, ex.cl.ts.Now())
	fits := min(len(rq.Body), max(0, writeBufferBytes-len(ex.out)))
	ex.out = append(ex.out, rq.Body[:fits]...)
	ex.bodyRest = rq.Body[fits:]
}

// receiveWithin sends the request and reads the reply, until the context ends.
func (ex *exchange) receiveWithin(ctx context.Context) error {
	if ctx.Done() == nil {
		return ex.receive()
	}
	gr, stop := groupOf(ctx)
	defer stop()
	gr.add(ex)
	defer gr.remove(ex)
	return ex.receive()
}

// setDeadline sets the deadline for reading. Writing directly to the descriptor never
// blocks, and the goroutine that writes a long body ends when the connection is closed.
func (ex *exchange) setDeadline(at time.Time) {
	if ex.cn.raw != nil {
		_ = ex.cn.nc.SetReadDeadline(at)
	} else {
		_ = ex.cn.nc.SetDeadline(at)
	}
}

// complete ends an exchange that got a complete reply.
func (ex *exchange) complete(re *Result) {
	clean := ex.updateKeepAlive()
	if !ex.classify(re) {
		clean = false
	}
	ex.releaseConn(clean)
}

// failUnsent ends an exchange of which no byte was sent, and reports whether another
// connection may carry the request.
func (ex *exchange) failUnsent(ctx context.Context, re *Result, err error) bool {
	switch {
	case ctx.Err() != nil:
		gr := contextGrant(ctx)
		re.Outcome, re.Err = gr.outcome, ex.error(gr.err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		re.Outcome, re.Err = TimedOut, ex.error(ErrDeadline)
	default:
		re.Outcome, re.Err = NotSent, ex.error(err)
	}
	if errors.Is(err, errBytesBeforeRequest) {
		ex.po.logWrongBytes(errBytesBeforeRequest, nil)
	}
	if ex.started {
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

// fail ends an exchange of which bytes were sent and that got no complete reply.
func (ex *exchange) fail(ctx context.Context, re *Result, err error) {
	switch {
	case ctx.Err() != nil:
		gr := contextGrant(ctx)
		re.Outcome, re.Err = gr.outcome, ex.error(gr.err)
	case errors.Is(ex.ioErr, os.ErrDeadlineExceeded):
		re.Outcome, re.Err = TimedOut, ex.error(ErrDeadline)
	case errors.Is(err, errBodyTooLong) || errors.Is(err, errBodyMemory):
		re.Outcome, re.Err = Lost, ex.error(err)
		ex.po.logWrongBytes(err, nil)
	case ex.ioErr == nil:
		re.Outcome, re.Err = Wrong, ex.error(err)
		sample, _ := ex.rd.Peek(min(ex.rd.Buffered(), maxSampleBytes))
		ex.po.logWrongBytes(err, sample)
	default:
		re.Outcome, re.Err = Lost, ex.error(err)
	}
	ex.releaseConn(false)
}

func (ex *exchange) error(err error) error {
	return &Error{Server: ex.po.id, Address: ex.cn.address, Err: err}
}

// releaseConn returns the connection to the pool if it is clean, and otherwise closes it.
func (ex *exchange) releaseConn(clean bool) {
	if clean = ex.awaitWriter(clean) && clean; clean {
		ex.po.release(ex.cn)
	} else {
		ex.po.discard(ex.cn)
	}
	ex.cl.freeExchange(ex)
}

// awaitWriter reports whether the whole request was written. Closing the connection ends
// a goroutine that is still writing. If the connection could be kept, the goroutine first
// gets writerTimeout, as the server may have read the end of the body before the
// goroutine runs again.
//
// A server may reply before it has read a long body. If the connection were reused then,
// the server would read the next request as the rest of that body. Besides, the body
// belongs to the caller again once Do has returned.
func (ex *exchange) awaitWriter(clean bool) bool {
	if !ex.writing {
		return ex.allSent
	}
	if !clean {
		_ = ex.cn.nc.Close()
		<-ex.writeDone
		return false
	}
	nc := ex.cn.nc
	ti := ex.cl.ts.Timeout(writerTimeout, func() { _ = nc.Close() })
	err := <-ex.writeDone
	return ti.Stop() && err == nil
}
