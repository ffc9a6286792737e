package gateway

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/customer"
	"balsamwinch.example/route"
)

// Keys of the tests' customers. No other text of the tests contains "sk-".
const (
	lindaKey  = "sk-linda-1"
	lindaKey2 = "sk-linda-2"
	otterKey  = "sk-otter-1"
)

// lindaAndOtter returns the two customers of the tests.
func lindaAndOtter() []customer.Customer {
	return []customer.Customer{{Name: "linda", Keys: []string{lindaKey, lindaKey2}}, {Name: "otter", Keys: []string{otterKey}}}
}

// setCustomers adds customers to the table in force. Without any, requests on routes that
// are not public are rejected.
func (rg *rig) setCustomers(cus ...customer.Customer) {
	rg.tb.Helper()
	ix, err := customer.New(cus)
	qt.Assert(rg.tb, err, qt.IsNil)
	rg.gw.SetTable(rg.gw.Table().WithCustomers(ix))
}

// authorized returns a request with an Authorization header.
func authorized(uri, value string) request {
	return request{uri: uri, lines: []string{"Authorization: " + value}}
}

// checkCustomer fails the test unless the request reached a backend server, and each time
// with the customer's name and without any key; an empty name means without the header.
func (rg *rig) checkCustomer(id, name string) {
	rg.tb.Helper()
	ars := rg.hist.arrivalsOf(id)
	qt.Assert(rg.tb, len(ars) > 0, qt.IsTrue)
	var want []string
	if name != "" {
		want = []string{name}
	}
	for _, ar := range ars {
		qt.Check(rg.tb, ar.header.Values(names.Customer), qt.DeepEquals, want)
		for ke, vs := range ar.header {
			qt.Check(rg.tb, slices.ContainsFunc(vs, hasKey), qt.IsFalse, qt.Commentf("%s: %s", ke, vs))
		}
	}
}

func hasKey(text string) bool { return strings.Contains(text, "sk-") }

// A request without a valid key must not reach a backend server, and one with a valid key
// must not be rejected because of the way in which its caller writes the header.
func TestKeyIsRequired(t *testing.T) {
	tests := []struct {
		name   string
		lines  []string
		holder string // empty if the request is rejected
	}{
		{"none", nil, ""},
		{"first key", []string{"Authorization: Bearer " + lindaKey}, "linda"},
		{"second key", []string{"Authorization: Bearer " + lindaKey2}, "linda"},
		{"other customer", []string{"Authorization: Bearer " + otterKey}, "otter"},
		{"scheme in lower case", []string{"Authorization: bearer " + otterKey}, "otter"},
		{"scheme in upper case", []string{"AUTHORIZATION: BEARER " + otterKey}, "otter"},
		{"several spaces", []string{"Authorization: Bearer    " + otterKey}, "otter"},
		{"space at the end", []string{"Authorization: Bearer " + otterKey + "  "}, "otter"},
		{"customer name of the caller", []string{"Authorization: Bearer " + otterKey, names.Customer + ": linda"}, "otter"},
		{"customer name with underscore", []string{"Authorization: Bearer " + otterKey, "Customer_name: linda"}, "otter"},
		{"name listed as hop-by-hop", []string{"Authorization: Bearer " + otterKey, "Connection: " + names.Customer}, "otter"},
		{"key listed as hop-by-hop", []string{"Authorization: Bearer " + otterKey, "Connection: Authorization"}, "otter"},
		{"only a customer name", []string{names.Customer + ": linda"}, ""},
		{"unknown", []string{"Authorization: Bearer sk-unknown"}, ""},
		{"beginning of a key", []string{"Authorization: Bearer " + otterKey[:len(otterKey)-1]}, ""},
		{"key and more", []string{"Authorization: Bearer " + otterKey + "0"}, ""},
		{"key in upper case", []string{"Authorization: Bearer " + strings.ToUpper(otterKey)}, ""},
		{"empty", []string{"Authorization:"}, ""},
		{"scheme alone", []string{"Authorization: Bearer"}, ""},
		{"no space", []string{"Authorization: Bearer" + otterKey}, ""},
		{"tab", []string{"Authorization: Bearer\t" + otterKey}, ""},
		{"tab after the space", []string{"Authorization: Bearer \t" + otterKey}, ""},
		{"key alone", []string{"Authorization: " + otterKey}, ""},
		{"other scheme", []string{"Authorization: Basic " + otterKey}, ""},
		{"text after the key", []string{"Authorization: Bearer " + otterKey + " x"}, ""},
		{"parameter", []string{"Authorization: Bearer " + otterKey + ", x=y"}, ""},
		{"two headers", []string{"Authorization: Bearer " + otterKey, "Authorization: Bearer " + otterKey}, ""},
		{"second header empty", []string{"Authorization: Bearer " + otterKey, "Authorization:"}, ""},
		{"other header", []string{"Proxy-Authorization: Bearer " + otterKey}, ""},
		{"longest key", []string{"Authorization: Bearer " + longestKey}, "long"},
		{"key too long", []string{"Authorization: Bearer " + longestKey + "x"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, newMemNetwork(), setup{})
				rg.startServers("s", 1)
				rg.setTable(route.Route{Prefix: "/", Targets: singleTarget("s")})
				rg.setCustomers(append(lindaAndOtter(),
					customer.Customer{Name: "long", Keys: []string{longestKey}}, customer.Customer{Name: "longer", Keys: []string{longestKey + "x"}})...)
				an := rg.send(request{uri: "/", lines: tt.lines})
				if tt.holder != "" {
					rg.checkStatus(an, http.StatusOK)
					rg.checkCustomer(an.id, tt.holder)
					return
				}
				rg.checkStatus(an, http.StatusUnauthorized)
				qt.Assert(t, an.header.Values("WWW-Authenticate"), qt.DeepEquals, []string{"Bearer"})
				qt.Assert(t, strings.Contains(string(an.body), `{"Code":110,`), qt.IsTrue, qt.Commentf("%s", an.body))
				qt.Assert(t, hasKey(string(an.body)), qt.IsFalse)
				qt.Assert(t, rg.hist.arrivalsOf(""), qt.HasLen, 0)
			})
		})
	}
}

var longestKey = strings.Repeat("k", maxKeyBytes)

// On a public route a request is served with any key or none. The name of a customer that
// the request has no key of must not reach a backend server, nor any key.
func TestPublicRouteNeedsNoKey(t *testing.T) {
	for _, tt := range []struct {
		name   string
		lines  []string
		holder string
	}{
		{"no key", nil, ""},
		{"no key, customer name", []string{names.Customer + ": linda"}, ""},
		{"unknown key, customer name", []string{"Authorization: Bearer sk-unknown", names.Customer + ": linda"}, ""},
		{"other scheme", []string{"Authorization: Basic sk-unknown"}, ""},
		{"two keys", []string{"Authorization: Bearer " + lindaKey, "Authorization: Bearer " + otterKey}, ""},
		{"known key", []string{"Authorization: Bearer " + lindaKey, names.Customer + ": otter"}, "linda"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, newMemNetwork(), setup{})
				rg.startServers("s", 1)
				rg.setTable(route.Route{Prefix: "/", Public: true, Targets: singleTarget("s")})
				rg.setCustomers(lindaAndOtter()...)
				an := rg.send(request{uri: "/", lines: tt.lines})
				rg.checkStatus(an, http.StatusOK)
				rg.checkCustomer(an.id, tt.holder)
			})
		})
	}
}

// A configuration with an empty list of customers requires keys and accepts none. If it were
// taken for one without customers, removing the last customer would open all routes.
func TestEmptyCustomersRejectAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		rg.startServers("s", 1)
		rg.setTable(route.Route{Prefix: "/", Targets: singleTarget("s")}, route.Route{Prefix: "/open/", Public: true, Targets: singleTarget("s")})
		rg.setCustomers()
		rg.checkStatus(rg.send(authorized("/", "Bearer "+lindaKey)), http.StatusUnauthorized)
		rg.get("/", http.StatusUnauthorized)
		rg.get("/open/", http.StatusOK)
	})
}

// Earlier deployments have no customers and may use the headers for their own purposes:
// both must be forwarded as the caller sent them.
func TestHeadersForwardedWithoutCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		rg.startServers("s", 1)
		rg.setTable(route.Route{Prefix: "/", Targets: singleTarget("s")})
		an := rg.send(request{uri: "/", lines: []string{"Authorization: Bearer " + lindaKey, "Authorization: x", names.Customer + ": linda"}})
		rg.checkStatus(an, http.StatusOK)
		he := rg.hist.arrivalsOf(an.id)[0].header
		qt.Assert(t, he.Values("Authorization"), qt.DeepEquals, []string{"Bearer " + lindaKey, "x"})
		qt.Assert(t, he.Values(names.Customer), qt.DeepEquals, []string{"linda"})
	})
}

// Every path on which a request goes to a backend server must replace the key by the
// customer's name: first attempts, retries, hedges and the parts of a merged answer.
func TestKeyNeverReachesServers(t *testing.T) {
	lines := []string{"Authorization: Bearer " + lindaKey, names.Customer + ": otter"}
	hedged := []behavior{delayed(5*time.Second, respondOK), respondOK}
	for _, tt := range []struct {
		name     string
		ro       route.Route
		bhs      []behavior
		arrivals int
	}{
		{"retry after a rejection", route.Route{Targets: singleTarget("s")}, []behavior{rejectNotRun(http.StatusServiceUnavailable), respondOK}, 2},
		{"retry after a lost connection", route.Route{Targets: singleTarget("s")}, []behavior{closeUnanswered, respondOK}, 2},
		{"hedge", route.Route{Targets: singleTarget("s")}, hedged, 2},
		{"parts", route.Route{Shards: []string{"s", "t"}}, nil, 2},
		{"hedges of parts", route.Route{Shards: []string{"s", "t"}}, hedged, 4},
		{"retries of parts", route.Route{Shards: []string{"s", "t"}}, []behavior{closeUnanswered, respondOK}, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg := newRig(t, newMemNetwork(), setup{})
				rg.startServers("s", 3, tt.bhs...)
				rg.startServers("t", 3, tt.bhs...)
				tt.ro.Prefix, tt.ro.MaxAttempts, tt.ro.Kind = "/", 2, route.Repeatable
				rg.setTable(tt.ro)
				rg.setCustomers(lindaAndOtter()...)
				an := rg.send(request{uri: "/", lines: lines})
				rg.checkStatus(an, http.StatusOK)
				rg.checkCustomer(an.id, "linda")
				qt.Assert(t, rg.hist.arrivalsOf(an.id), qt.HasLen, tt.arrivals)
			})
		})
	}
}

// A new version removes a key. The next request with it must be rejected, while one in
// flight finishes under the version with which it started, on retries too.
func TestRemovedKeyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		gate := make(chan struct{})
		rg.startServers("s", 2, heldUntil(gate, closeUnanswered), respondOK)
		rg.setTable(route.Route{Prefix: "/", MaxAttempts: 2, Kind: route.Repeatable, Targets: singleTarget("s")})
		rg.setCustomers(lindaAndOtter()...)
		inFlight := rg.sendAsync(authorized("/", "Bearer "+lindaKey))
		rg.hist.awaitArrivals(1)

		rg.setCustomers(customer.Customer{Name: "linda", Keys: []string{lindaKey2}})
		rg.checkStatus(rg.send(authorized("/", "Bearer "+lindaKey)), http.StatusUnauthorized)
		rg.checkStatus(rg.send(authorized("/", "Bearer "+otterKey)), http.StatusUnauthorized)
		close(gate)
		an := <-inFlight
		rg.checkStatus(an, http.StatusOK)
		rg.checkCustomer(an.id, "linda")
		rg.checkStatus(rg.send(authorized("/", "Bearer "+lindaKey2)), http.StatusOK)
	})
}

// A caller sends its body slowly, and its key is removed meanwhile. The request must not run
// once the body is complete.
func TestKeyRemovedDuringBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		rg.startServers("s", 1)
		rg.setTable(route.Route{Prefix: "/", Targets: singleTarget("s")})
		rg.setCustomers(lindaAndOtter()...)
		ca := rg.connect()
		defer ca.leave()
		rq := rg.register(request{uri: "/", method: http.MethodPost, lines: []string{"Authorization: Bearer " + lindaKey, "Content-Length: 2"}})
		ca.write(rq)
		synctest.Wait()
		rg.setCustomers(customer.Customer{Name: "linda", Keys: []string{lindaKey2}})
		_, _ = io.WriteString(ca.nc, "ab")
		rg.checkStatus(ca.receive(rq), http.StatusUnauthorized)
		qt.Assert(t, rg.hist.arrivalsOf(rq.id), qt.HasLen, 0)
	})
}

// The order of the checks: without a configuration nothing is known about keys, so callers
// must try another instance, and only a route determines whether a key is required. A
// request without a key must be rejected before its body is read and a slot is taken.
func TestOrderOfChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg := newRig(t, newMemNetwork(), setup{})
		rg.startServers("s", 1)
		rg.get("/a/", http.StatusServiceUnavailable)
		rg.setTable(route.Route{Prefix: "/a/", Targets: singleTarget("s")})
		rg.setCustomers(lindaAndOtter()...)
		rg.get("/b/", http.StatusNotFound)
		rg.get("/a/", http.StatusUnauthorized)
		rg.checkStatus(rg.send(request{uri: "/a/", noID: true}), http.StatusUnauthorized)
		rg.checkStatus(rg.send(request{uri: "/a/", body: strings.Repeat("x", limits.BodyBytes+1)}), http.StatusUnauthorized)

		ca := rg.connect()
		defer ca.leave()
		rq := rg.register(request{uri: "/a/", method: http.MethodPost, lines: []string{"Content-Length: 1000000"}})
		ca.write(rq)
		rg.checkStatus(ca.receive(rq), http.StatusUnauthorized)
	})
}

// FuzzBearerKey looks for values of Authorization from which a key is taken that is not all
// of the text after the scheme.
func FuzzBearerKey(f *testing.F) {
	f.Add("Bearer " + lindaKey)
	f.Add("bEaReR   x")
	f.Add("Bearer\tx")
	f.Add("Bearer ")
	f.Fuzz(func(t *testing.T, value string) {
		key, ks := bearerKey([]string{value})
		if ks != keyPresent {
			if key != "" {
				t.Fatalf("%v with a key", ks)
			}
			return
		}
		fields := strings.FieldsFunc(value, func(ru rune) bool { return ru == ' ' })
		if len(fields) != 2 || !strings.EqualFold(fields[0], "bearer") || fields[1] != key || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n\x00\x7f") {
			t.Fatalf("key %q of %q", key, value)
		}
	})
}
