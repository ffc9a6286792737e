package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// appendHead appends the head of a request, without the lines that are only known when it
// is sent and the empty line. It returns false if the request is invalid: a line break in
// any part would start another header or another request.
func appendHead(bs []byte, rq *Request, na *Names) ([]byte, bool) {
	if !isToken(rq.Method) || rq.Method == http.MethodConnect || !isURI(rq.URI) || !isURI(rq.Host) {
		return bs, false
	}
	bs = append(bs, rq.Method...)
	bs = append(bs, ' ')
	bs = append(bs, rq.URI...)
	bs = append(bs, " HTTP/1.1\r\nHost: "...)
	bs = append(bs, rq.Host...)
	bs = append(bs, "\r\n"...)
	named := rq.Header["Connection"]
	for ke, vs := range rq.Header {
		if isReserved(ke, na) || (rq.HasCustomers && isCustomerHeader(ke, na)) || isHopByHop(ke) || isListedIn(ke, named) {
			continue
		}
		if !isToken(ke) {
			return bs, false
		}
		for _, va := range vs {
			if !isValue(va) {
				return bs, false
			}
			bs = appendLine(bs, ke, va)
		}
	}
	if rq.HasCustomers && rq.Customer != "" && na.Customer != "" {
		if !isValue(rq.Customer) {
			return bs, false
		}
		bs = appendLine(bs, na.Customer, rq.Customer)
	}
	if len(rq.Body) > 0 || usuallyHasBody(rq.Method) {
		bs = append(bs, "Content-Length: "...)
		bs = strconv.AppendInt(bs, int64(len(rq.Body)), 10)
		bs = append(bs, "\r\n"...)
	}
	return bs, true
}

// appendTail appends the last lines of a head: the time left, the target's ID, and the
// empty line.
func appendTail(bs []byte, na *Names, ta Target, rq *Request, now time.Time) []byte {
	if na.Deadline != "" && !rq.Deadline.IsZero() {
		bs = append(bs, na.Deadline...)
		bs = append(bs, ": "...)
		bs = strconv.AppendInt(bs, max(1, rq.Deadline.Sub(now).Milliseconds()), 10)
		bs = append(bs, "\r\n"...)
	}
	if na.Expect != "" && rq.SendTargetID {
		bs = appendLine(bs, na.Expect, ta.ID)
	}
	return append(bs, "\r\n"...)
}

// isTarget reports whether the lines about a target can be written: the ID is what somebody
// has announced, and a line break in it would start another request.
func isTarget(ta Target, rq *Request, na *Names) bool {
	return na.Expect == "" || !rq.SendTargetID || isValue(ta.ID)
}

func appendLine(bs []byte, name, value string) []byte {
	bs = append(bs, name...)
	bs = append(bs, ": "...)
	bs = append(bs, value...)
	return append(bs, "\r\n"...)
}

func usuallyHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// isReserved reports whether the client sets a header itself.
func isReserved(name string, na *Names) bool {
	return strings.EqualFold(name, "Host") || strings.EqualFold(name, "Content-Length") ||
		strings.EqualFold(name, na.Deadline) || strings.EqualFold(name, na.Expect)
}

// isCustomerHeader reports whether a header holds the caller's key or a customer's name.
// Underscores count as hyphens, because some servers treat the two names as the same.
func isCustomerHeader(name string, na *Names) bool {
	const authorization = "Authorization"
	switch len(name) {
	case len(authorization), len(na.Customer):
	default:
		return false
	}
	name = strings.ReplaceAll(name, "_", "-")
	return strings.EqualFold(name, authorization) || strings.EqualFold(name, na.Customer)
}

// isHopByHop reports whether a header is hop-by-hop. The name may be in any case: a
// header that slipped through could frame the body differently from Content-Length.
func isHopByHop(name string) bool {
	if name == "" {
		return false
	}
	switch name[0] | 0x20 {
	case 'c':
		return strings.EqualFold(name, "Connection")
	case 'k':
		return strings.EqualFold(name, "Keep-Alive")
	case 'p':
		const prefix = "Proxy-"
		return len(name) >= len(prefix) && strings.EqualFold(name[:len(prefix)], prefix)
	case 't':
		return strings.EqualFold(name, "Te") || strings.EqualFold(name, "Trailer") || strings.EqualFold(name, "Transfer-Encoding")
	case 'u':
		return strings.EqualFold(name, "Upgrade")
	}
	return false
}

// isListedIn reports whether the values of Connection list a header.
func isListedIn(name string, values []string) bool {
	for _, va := range values {
		for to := range strings.SplitSeq(va, ",") {
			if strings.EqualFold(strings.TrimSpace(to), name) {
				return true
			}
		}
	}
	return false
}

// stripHopByHop removes the hop-by-hop headers from a reply. It also removes names that
// contain a space: the reply reader accepts and ignores these, but the next reader might
// take one for another length of the body.
func stripHopByHop(he http.Header) {
	named := he["Connection"]
	for ke := range he {
		if isHopByHop(ke) || strings.IndexByte(ke, ' ') >= 0 || (named != nil && isListedIn(ke, named)) {
			delete(he, ke)
		}
	}
}

// isToken reports whether a string is an HTTP token.
func isToken(st string) bool {
	if st == "" {
		return false
	}
	for _, ch := range []byte(st) {
		if ch <= ' ' || ch >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, ch) >= 0 {
			return false
		}
	}
	return true
}

// isURI reports whether a string is not empty and has no spaces and control characters.
func isURI(st string) bool {
	if st == "" {
		return false
	}
	for _, ch := range []byte(st) {
		if ch <= ' ' || ch == 0x7f {
			return false
		}
	}
	return true
}

// isValue reports whether a string is valid as the value of a header.
func isValue(st string) bool {
	for _, ch := range []byte(st) {
		if (ch < ' ' && ch != '\t') || ch == 0x7f {
			return false
		}
	}
	return true
}
