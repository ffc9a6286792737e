package gateway

import (
	"net/http"
	"strings"

	"balsamwinch.example/result"
	"balsamwinch.example/upstream"
)

// headerAuthorization is the header that carries a customer's API key.
const headerAuthorization = "Authorization"

// maxKeyBytes is the length above which a key is rejected without being looked up.
const maxKeyBytes = 4096

// authenticate sets the customer that holds the request's API key. It reports whether the
// request may go on, and answers it with 401 if not: the configuration has customers, the
// route is not public, and the request has no valid key.
func (ca *call) authenticate() bool {
	ix := ca.tb.Customers()
	if ix == nil {
		return true
	}
	ca.customer = nil
	key, reason := bearerKey(ca.rq.Header[headerAuthorization])
	if reason == keyPresent {
		if ca.customer, _ = ix.ByKey(key); ca.customer != nil {
			ca.sv.customers.count(ca.customer.Name)
			return true
		}
		reason = keyUnknown
	}
	if ca.ro.Public {
		return true
	}
	ca.sv.customers.unauthorized[reason].Inc()
	ca.wr.Header().Set("WWW-Authenticate", "Bearer")
	ca.respondError(http.StatusUnauthorized, result.NotRunUnauthorized, reason.String())
	return false
}

// setCustomer makes a request to backend servers carry the customer's name and not the
// caller's key.
func (ca *call) setCustomer(rq *upstream.Request) {
	rq.HasCustomers = ca.tb.Customers() != nil
	if ca.customer != nil {
		rq.Customer = ca.customer.Name
	}
}

// credentials returns what distinguishes the request from the same one of another caller for
// the backend servers: the customer's name or, if the configuration has no customers,
// Authorization.
func (ca *call) credentials() string {
	switch {
	case ca.tb.Customers() == nil:
		return ca.rq.Header.Get(headerAuthorization)
	case ca.customer != nil:
		return ca.customer.Name
	}
	return ""
}

// keyState tells what is wrong with the key of a request.
type keyState uint8

const (
	keyPresent keyState = iota // a key, which may be unknown
	keyMissing
	keyMalformed
	keyDuplicated
	keyTooLong
	keyUnknown
	numKeyStates
)

// String returns the state as it appears in answers and log lines.
func (ks keyState) String() string {
	switch ks {
	case keyMissing:
		return "no API key"
	case keyMalformed:
		return "malformed API key"
	case keyDuplicated:
		return "several API keys"
	case keyTooLong:
		return "API key too long"
	case keyUnknown:
		return "unknown API key"
	default:
		return "API key"
	}
}

// label returns the state as it appears in metrics.
func (ks keyState) label() string {
	return [numKeyStates]string{"valid", "missing", "malformed", "duplicated", "too-long", "unknown"}[ks]
}

// bearerKey returns the API key in the values of Authorization. There must be one value: the
// word Bearer in any case, one or more spaces, and the key, which contains no spaces, tabs
// and control characters.
func bearerKey(values []string) (string, keyState) {
	const scheme = "Bearer"
	switch len(values) {
	case 0:
		return "", keyMissing
	case 1:
	default:
		return "", keyDuplicated
	}
	va := values[0]
	if len(va) <= len(scheme) || !strings.EqualFold(va[:len(scheme)], scheme) || va[len(scheme)] != ' ' {
		return "", keyMalformed
	}
	key := strings.TrimLeft(va[len(scheme):], " ")
	if len(key) > maxKeyBytes {
		return "", keyTooLong
	}
	if key == "" || strings.ContainsFunc(key, func(ru rune) bool { return ru <= ' ' || ru == 0x7f }) {
		return "", keyMalformed
	}
	return key, keyPresent
}
