package upstream

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxInterimReplies bounds the interim replies (1xx) before a reply.
	maxInterimReplies = 16
	// minBodyGrowth is the minimum growth of a body's buffer in bytes.
	minBodyGrowth = 512
	// maxPreallocation bounds the bytes that are allocated for a stated length before
	// bytes arrive. It also bounds the buffers of recycled replies.
	maxPreallocation = 64 << 10
	// maxLoadValue is the greatest number that is accepted in a load header.
	maxLoadValue = 1 << 20
	// maxKeepAlive caps the idle timeout that a server states.
	maxKeepAlive = time.Hour
)

// headRequest makes the reply reader expect no body.
var headRequest = &http.Request{Method: http.MethodHead}

// receive reads the reply.
func (ex *exchange) receive() error {
	for ex.rs == nil {
		if err := ex.readHead(); err != nil {
			return err
		}
	}
	return ex.readBody()
}

// readHead reads one head. It stores the response unless that is an interim one.
func (ex *exchange) readHead() error {
	if _, err := ex.rd.Peek(1); err != nil {
		return err
	}
	if !ex.startsAsHTTP() {
		return errNotHTTP
	}
	var hr *http.Request
	if ex.isHead {
		hr = headRequest
	}
	rs, err := http.ReadResponse(ex.rd, hr)
	if err != nil {
		return err
	}
	switch {
	case rs.ProtoMajor != 1 || rs.StatusCode < http.StatusContinue || rs.StatusCode == http.StatusSwitchingProtocols:
		return errNotHTTP
	case rs.StatusCode >= http.StatusOK:
		ex.rs = rs
		ex.readBudget = unlimited
	default:
		if ex.numInterim++; ex.numInterim > maxInterimReplies {
			return errTooManyInterimReplies
		}
	}
	return nil
}

// startsAsHTTP checks the bytes received so far. Without it, bytes of another protocol
// without a line break would be waited on until the deadline.
func (ex *exchange) startsAsHTTP() bool {
	const prefix = "HTTP/1."
	bs, _ := ex.rd.Peek(min(len(prefix), ex.rd.Buffered()))
	return string(bs) == prefix[:len(bs)]
}

func (ex *exchange) readBody() error {
	rs := ex.rs
	if rs.Body == http.NoBody {
		return nil
	}
	maxBytes := ex.cl.cf.MaxReplyBytes
	if rs.ContentLength > int64(maxBytes) {
		return errBodyTooLong
	}
	if ex.body == nil {
		size := minBodyGrowth
		if rs.ContentLength > 0 {
			size = min(int(rs.ContentLength), maxPreallocation)
		}
		ex.body = ex.bodyBuffer(size)
	}
	for {
		if len(ex.body) == cap(ex.body) && !ex.growBody(maxBytes) {
			return errBodyMemory
		}
		nu, err := rs.Body.Read(ex.body[len(ex.body):cap(ex.body)])
		ex.body = ex.body[:len(ex.body)+nu]
		switch {
		case len(ex.body) > maxBytes:
			return errBodyTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// growBody doubles the buffer of the body, up to a little more than the maximum size. It
// reports whether there is room for it.
func (ex *exchange) growBody(maxBytes int) bool {
	size := min(max(2*cap(ex.body), minBodyGrowth), max(maxBytes, cap(ex.body))+minBodyGrowth)
	held, ok := ex.cl.memory.Reserve(ex.reserved, size)
	if !ok {
		return false
	}
	ex.reserved = held
	ex.body = slices.Grow(ex.body, size-len(ex.body))
	return true
}

// bodyBuffer returns an empty buffer of at least that capacity, from a recycled reply if
// that is large enough.
func (ex *exchange) bodyBuffer(size int) []byte {
	ry, _ := ex.cl.replyPool.Get().(*Reply)
	if ry == nil || cap(ry.Body) < size {
		return make([]byte, 0, size)
	}
	ex.recycled = ry
	return ry.Body
}

// updateKeepAlive records the idle timeout that the reply states, and reports whether the
// connection can carry another request.
func (ex *exchange) updateKeepAlive() bool {
	if nu := ex.rd.Buffered(); nu > 0 {
		// These bytes belong to no request. The next one would take them for its reply.
		sample, _ := ex.rd.Peek(min(nu, maxSampleBytes))
		ex.po.logWrongBytes(errBytesAfterReply, sample)
		return false
	}
	if ex.rs.Close {
		return false
	}
	keep, ok := parseKeepAlive(ex.rs.Header["Keep-Alive"])
	if ok {
		ex.cn.keepAlive = keep
	}
	return !ok || keep > 0
}

// classify sets the outcome and reports whether the reply answers this request.
func (ex *exchange) classify(re *Result) bool {
	rs, na := ex.rs, &ex.cl.cf.Names
	_, notRun := rs.Header[na.NotRun]
	notRun = notRun && na.NotRun != ""
	re.Misdirected = rs.StatusCode == http.StatusMisdirectedRequest
	if err := ex.checkRequestID(notRun || re.Misdirected); err != nil {
		re.Outcome, re.Misdirected, re.Err = Wrong, false, ex.error(err)
		id := rs.Header.Get(na.RequestID)
		ex.po.logWrongBytes(err, []byte(id[:min(len(id), maxSampleBytes)]))
		return false
	}
	re.Outcome = Answered
	if notRun || re.Misdirected {
		re.Outcome = NotRun
	}
	re.Reply = ex.reply(notRun || re.Misdirected)
	return true
}

// checkRequestID checks which request the reply is to. Only a server that didn't run the
// request may omit the ID, since it may have refused before it read the head.
func (ex *exchange) checkRequestID(notRun bool) error {
	na := ex.cl.cf.Names.RequestID
	if na == "" || ex.requestID == "" {
		return nil
	}
	ids := ex.rs.Header[na]
	for _, id := range ids {
		if id != ex.requestID {
			return errWrongRequestID
		}
	}
	if len(ids) == 0 && !notRun {
		return errMissingRequestID
	}
	return nil
}

func (ex *exchange) reply(notRun bool) *Reply {
	rs, na := ex.rs, &ex.cl.cf.Names
	ry := ex.recycled
	if ry == nil {
		ry = &Reply{}
	}
	ex.recycled = nil
	*ry = Reply{Status: rs.StatusCode, Header: rs.Header, Body: ex.body, NotRun: notRun}
	ex.keep(ry)
	stripHopByHop(ry.Header)
	if !ex.isHead && rs.StatusCode != http.StatusNotModified {
		delete(ry.Header, "Content-Length")
	}
	if vs := ry.Header[na.Stamp]; len(vs) > 0 {
		ry.Stamp = vs[0]
	}
	if vs := ry.Header[na.Load]; len(vs) > 0 {
		ry.Load, ry.HasLoad = parseLoad(vs[0])
	}
	return ry
}

// parseLoad parses "running,waiting,slots" with an optional service time in percent as
// the fourth number. It returns false for anything else.
func parseLoad(st string) (Load, bool) {
	var fis [4]int
	nu := 0
	for pa := range strings.SplitSeq(st, ",") {
		fi, err := strconv.Atoi(strings.TrimSpace(pa))
		if err != nil || fi < 0 || fi > maxLoadValue || nu == len(fis) {
			return Load{}, false
		}
		fis[nu] = fi
		nu++
	}
	if nu < len(fis)-1 || fis[2] == 0 {
		return Load{}, false
	}
	return Load{Running: fis[0], Waiting: fis[1], Slots: fis[2], ServiceTimePercent: fis[3]}, true
}

// parseKeepAlive returns the idle timeout that a server states, or false if it states
// none.
func parseKeepAlive(values []string) (time.Duration, bool) {
	const name = "timeout="
	for _, va := range values {
		for pa := range strings.SplitSeq(va, ",") {
			pa = strings.TrimSpace(pa)
			if len(pa) <= len(name) || !strings.EqualFold(pa[:len(name)], name) {
				continue
			}
			se, err := strconv.ParseUint(strings.Trim(pa[len(name):], `" `), 10, 32)
			if err == nil {
				return min(maxKeepAlive, time.Duration(se)*time.Second), true
			}
		}
	}
	return 0, false
}
