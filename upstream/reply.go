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
	// maxInterim bounds the interim replies before a reply.
	maxInterim = 16
	// leastGrowth is by how much the buffer of a body grows at least.
	leastGrowth = 512
	// bodyBytes is how much of a stated length is believed before bytes come.
	bodyBytes = 64 << 10
	// maxLoad is the greatest figure of a load that is believed.
	maxLoad = 1 << 20
	// maxKeep is the longest stated idle timeout that counts.
	maxKeep = time.Hour
)

// headRequest tells the reply reader that no body follows.
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

// readHead reads the head of a reply and leaves out an interim one.
func (ex *exchange) readHead() error {
	if _, err := ex.rd.Peek(1); err != nil {
		return err
	}
	if !ex.beginsAsHTTP() {
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
		ex.budget = noBudget
	default:
		if ex.interim++; ex.interim > maxInterim {
			return errInterim
		}
	}
	return nil
}

// beginsAsHTTP looks at the bytes that are there. Without it, bytes without a line
// break would be waited on until the deadline.
func (ex *exchange) beginsAsHTTP() bool {
	const begin = "HTTP/1."
	bs, _ := ex.rd.Peek(min(len(begin), ex.rd.Buffered()))
	return string(bs) == begin[:len(bs)]
}

func (ex *exchange) readBody() error {
	rs := ex.rs
	if rs.Body == http.NoBody {
		return nil
	}
	most := ex.cl.cf.MaxReplyBytes
	if rs.ContentLength > int64(most) {
		return errLongBody
	}
	if ex.body == nil {
		begin := leastGrowth
		if rs.ContentLength > 0 {
			begin = min(int(rs.ContentLength), bodyBytes)
		}
		ex.body = ex.room(begin)
	}
	for {
		if len(ex.body) == cap(ex.body) {
			ex.body = slices.Grow(ex.body, leastGrowth)
		}
		nu, err := rs.Body.Read(ex.body[len(ex.body):cap(ex.body)])
		ex.body = ex.body[:len(ex.body)+nu]
		switch {
		case len(ex.body) > most:
			return errLongBody
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// room returns room for a body, that of a recycled reply if it is large enough.
func (ex *exchange) room(size int) []byte {
	ry, _ := ex.cl.replies.Get().(*Reply)
	if ry == nil || cap(ry.Body) < size {
		return make([]byte, 0, size)
	}
	ex.spare = ry
	return ry.Body
}

// noteKeeping takes over what the reply says about keeping the connection, and
// reports whether it can carry another request.
func (ex *exchange) noteKeeping() bool {
	if nu := ex.rd.Buffered(); nu > 0 {
		// They belong to no request; the next one would take them for its reply.
		sample, _ := ex.rd.Peek(min(nu, sampleBytes))
		ex.po.wrongBytes(errExtra, sample)
		return false
	}
	if ex.rs.Close {
		return false
	}
	keep, ok := parseKeepAlive(ex.rs.Header["Keep-Alive"])
	if ok {
		ex.cn.keep = keep
	}
	return !ok || keep > 0
}

// judge decides what the reply is and reports whether it answers this request.
func (ex *exchange) judge(re *Result) bool {
	rs, na := ex.rs, &ex.cl.cf.Names
	_, notRun := rs.Header[na.NotRun]
	notRun = notRun && na.NotRun != ""
	re.Misdirected = rs.StatusCode == http.StatusMisdirectedRequest
	if err := ex.checkID(notRun || re.Misdirected); err != nil {
		re.Outcome, re.Misdirected, re.Err = Wrong, false, ex.error(err)
		id := rs.Header.Get(na.RequestID)
		ex.po.wrongBytes(err, []byte(id[:min(len(id), sampleBytes)]))
		return false
	}
	re.Outcome = Answered
	if notRun || re.Misdirected {
		re.Outcome = NotRun
	}
	re.Reply = ex.reply(notRun || re.Misdirected)
	return true
}

// checkID checks whose reply it is. Only a server that didn't run the request may
// leave out its id: it may have refused before it read the head.
func (ex *exchange) checkID(notRun bool) error {
	na := ex.cl.cf.Names.RequestID
	if na == "" || ex.id == "" {
		return nil
	}
	ids := ex.rs.Header[na]
	for _, id := range ids {
		if id != ex.id {
			return errRequestID
		}
	}
	if len(ids) == 0 && !notRun {
		return errNoID
	}
	return nil
}

func (ex *exchange) reply(notRun bool) *Reply {
	rs, na := ex.rs, &ex.cl.cf.Names
	ry := ex.spare
	if ry == nil {
		ry = &Reply{}
	}
	ex.spare = nil
	*ry = Reply{Status: rs.StatusCode, Header: rs.Header, Body: ex.body, NotRun: notRun}
	stripHop(ry.Header)
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

// parseLoad reads "running,waiting,slots" with an optional pace behind. It reports
// false if the value is anything else.
func parseLoad(st string) (Load, bool) {
	var fis [4]int
	nu := 0
	for pa := range strings.SplitSeq(st, ",") {
		fi, err := strconv.Atoi(strings.TrimSpace(pa))
		if err != nil || fi < 0 || fi > maxLoad || nu == len(fis) {
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

// parseKeepAlive reads how long a server keeps an idle connection, and reports
// whether it says so.
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
				return min(maxKeep, time.Duration(se)*time.Second), true
			}
		}
	}
	return 0, false
}
