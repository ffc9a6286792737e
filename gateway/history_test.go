package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/route"
)

// testTimeout bounds every wait for a condition. It is no timing check: a passing test
// finishes long before.
const testTimeout = time.Minute

// callerRequest is a request of a caller and its answer.
type callerRequest struct {
	method, host, uri string
	body              string
	answer            *answer // nil until the answer arrives
}

// arrival is a request that reached a backend server.
type arrival struct {
	id, service, server string
	at                  time.Time
	method, uri, host   string
	header              http.Header
	body                string
	ran                 bool
	answeredEarly       bool // the server answered before it had read the body
	broken              bool // the connection ended within the body, so that the server had no request to run
}

// stampedReply is an answer of a backend server that has a stamp.
type stampedReply struct {
	id, service, server string
	status              int
	body                string
}

// history records what callers and backend servers observe in a test.
type history struct {
	tb testing.TB

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at every change
	requests map[string]*callerRequest
	arrivals []*arrival
	stamped  map[string]stampedReply // answers by stamp
	aborted  []string                // IDs of requests whose connection ended while a server ran them
	stamps   int
}

func newHistory(tb testing.TB) *history {
	return &history{tb: tb, changed: make(chan struct{}), requests: make(map[string]*callerRequest), stamped: make(map[string]stampedReply)}
}

// update changes the history and wakes those that wait for a condition.
func (hi *history) update(change func()) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	change()
	close(hi.changed)
	hi.changed = make(chan struct{})
}

// await waits until a condition holds.
func (hi *history) await(holds func() bool) {
	hi.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		hi.mu.Lock()
		ok, changed := holds(), hi.changed
		hi.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			hi.tb.Fatalf("timed out waiting for the condition: %s", hi)
		}
	}
}

// awaitArrivals waits until the given number of requests have reached backend servers.
func (hi *history) awaitArrivals(count int) {
	hi.tb.Helper()
	hi.await(func() bool { return len(hi.arrivals) >= count })
}

// awaitAborted waits until the given number of requests were aborted by the close of their
// connection.
func (hi *history) awaitAborted(count int) {
	hi.tb.Helper()
	hi.await(func() bool { return len(hi.aborted) >= count })
}

// String lists the arrivals in order.
func (hi *history) String() string {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	var sb strings.Builder
	fmt.Fprintf(&sb, "%d requests, %d arrivals, %d aborted", len(hi.requests), len(hi.arrivals), len(hi.aborted))
	for _, ar := range hi.arrivals[:min(len(hi.arrivals), 40)] {
		fmt.Fprintf(&sb, "\n%s at %s, ran %t", ar.id, ar.server, ar.ran)
	}
	return sb.String()
}

// arrivalsOf returns the arrivals of a request in order, or all arrivals if the ID is
// empty.
func (hi *history) arrivalsOf(id string) []arrival {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	var out []arrival
	for _, ar := range hi.arrivals {
		if id == "" || ar.id == id {
			out = append(out, *ar)
		}
	}
	return out
}

// runs returns how often a request ran.
func (hi *history) runs(id string) int {
	count := 0
	for _, ar := range hi.arrivalsOf(id) {
		if ar.ran {
			count++
		}
	}
	return count
}

// issueStamp records an answer and returns its stamp.
func (hi *history) issueStamp(is stampedReply) string {
	stamp := ""
	hi.update(func() {
		hi.stamps++
		stamp = fmt.Sprintf("%s.%d.%x", is.server, hi.stamps, 0xc0ffee+hi.stamps)
		hi.stamped[stamp] = is
	})
	return stamp
}

// check fails the test if anything happened that the configurations, the requests and the
// backend servers do not allow.
func (hi *history) check(tables []*route.Table) {
	hi.tb.Helper()
	hi.mu.Lock()
	defer hi.mu.Unlock()
	byID := make(map[string][]*arrival)
	for _, ar := range hi.arrivals {
		byID[ar.id] = append(byID[ar.id], ar)
		cq := hi.requests[ar.id]
		if cq == nil {
			hi.tb.Errorf("%s reached %s, but no caller sent it", ar.id, ar.server)
			continue
		}
		whole := ar.body == cq.body || (ar.answeredEarly || ar.broken && !ar.ran) && strings.HasPrefix(cq.body, ar.body)
		if ar.method != cq.method || ar.uri != cq.uri || ar.host != cq.host || !whole {
			hi.tb.Errorf("%s reached %s as %s %s %s with %d bytes, but was sent as %s %s %s with %d",
				ar.id, ar.server, ar.method, ar.host, ar.uri, len(ar.body), cq.method, cq.host, cq.uri, len(cq.body))
		}
	}
	for id, cq := range hi.requests {
		hi.checkArrivals(id, byID[id], matchingRoutes(tables, cq))
		if cq.answer != nil && cq.answer.err == nil {
			hi.checkAnswer(id, cq.answer, byID[id], matchingRoutes(tables, cq))
		}
	}
}

// matchingRoutes returns the routes of a request in all tables that were in force.
func matchingRoutes(tables []*route.Table, cq *callerRequest) []*route.Route {
	path, _, _ := strings.Cut(cq.uri, "?")
	var out []*route.Route
	for _, tb := range tables {
		if ro, ok := tb.Match(cq.host, path); ok {
			out = append(out, ro)
		}
	}
	return out
}

// routeServices returns the services that a route allows.
func routeServices(ro *route.Route) []string {
	out := slices.Clone(ro.Shards)
	for _, ta := range ro.Targets {
		if ta.Weight > 0 {
			out = append(out, ta.Service)
		}
	}
	return out
}

func (hi *history) checkArrivals(id string, ars []*arrival, ros []*route.Route) {
	hi.tb.Helper()
	ran := make(map[string]int)
	maxAttempts, notRepeatable := 0, len(ros) > 0
	for _, ro := range ros {
		maxAttempts = max(maxAttempts, ro.MaxAttempts)
		notRepeatable = notRepeatable && ro.Kind == route.NotRepeatable
	}
	total := 0
	for _, ar := range ars {
		allowed := slices.ContainsFunc(ros, func(ro *route.Route) bool { return slices.Contains(routeServices(ro), ar.service) })
		if !allowed {
			hi.tb.Errorf("%s reached the service %s, which no configuration allows", id, ar.service)
		}
		if ar.ran {
			total++
			ran[ar.service]++
		}
	}
	for service, count := range ran {
		if count > maxAttempts {
			hi.tb.Errorf("%s ran %d times at %s, want at most %d", id, count, service, maxAttempts)
		}
	}
	if notRepeatable && total > 1 {
		hi.tb.Errorf("%s is not repeatable and ran %d times", id, total)
	}
}

func (hi *history) checkAnswer(id string, an *answer, ars []*arrival, ros []*route.Route) {
	hi.tb.Helper()
	switch an.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if slices.ContainsFunc(ars, func(ar *arrival) bool { return ar.ran }) {
			hi.tb.Errorf("%s was answered %d, which says that it has not run, but it ran", id, an.status)
		}
		if se, err := strconv.ParseFloat(an.header.Get("Retry-After"), 64); err != nil || se <= 0 {
			hi.tb.Errorf("%s was answered %d with Retry-After %q", id, an.status, an.header.Get("Retry-After"))
		}
	}
	if an.header.Get(names.PartStamps) != "" {
		hi.checkParts(id, an, ros)
		return
	}
	stamp := an.header.Get(names.Stamp)
	is, ok := hi.stamped[stamp]
	switch {
	case stamp == "" && an.status < 300:
		hi.tb.Errorf("%s was answered %d without a stamp", id, an.status)
	case stamp == "":
	case !ok:
		hi.tb.Errorf("%s was answered with the stamp %q, which no backend server issued", id, stamp)
	case is.id != id:
		hi.tb.Errorf("%s got the answer to %s", id, is.id)
	case is.status != an.status || is.body != string(an.body):
		hi.tb.Errorf("%s was answered %d with %d bytes, but the backend server answered %d with %d", id, an.status, len(an.body), is.status, len(is.body))
	}
}

// checkParts checks a merged answer against the answers of the backend servers whose stamps
// it has.
func (hi *history) checkParts(id string, an *answer, ros []*route.Route) {
	hi.tb.Helper()
	var services []string
	var parts []string
	for _, stamp := range partStamps(an) {
		is, ok := hi.stamped[stamp]
		if !ok || is.id != id || is.status < 200 || is.status > 299 || slices.Contains(services, is.service) {
			hi.tb.Errorf("%s has the part %q: known %t, of %s, status %d, services so far %s", id, stamp, ok, is.id, is.status, services)
			return
		}
		services = append(services, is.service)
		parts = append(parts, is.body)
	}
	missing, err := strconv.Atoi(an.header.Get(names.MissingParts))
	if an.header.Get(names.MissingParts) == "" {
		missing, err = 0, nil
	}
	fits := err == nil && slices.ContainsFunc(ros, func(ro *route.Route) bool {
		for _, service := range services {
			if !slices.Contains(ro.Shards, service) {
				return false
			}
		}
		return len(services)+missing == len(ro.Shards) && float64(len(services)) >= ro.Merge.LeastShare*float64(len(ro.Shards))-1e-9 &&
			string(an.body) == mergeGreatest(parts, ro.Merge.RecordBytes, ro.Merge.TopK)
	})
	if !fits || an.status != http.StatusOK || len(services) == 0 {
		hi.tb.Errorf("%s was answered %d with the parts of %s, %q missing and %d bytes, which matches no configuration", id, an.status, services, an.header.Get(names.MissingParts), len(an.body))
	}
}

// partStamps returns the stamps of a merged answer's parts.
func partStamps(an *answer) []string {
	var out []string
	for _, va := range an.header[names.PartStamps] {
		for stamp := range strings.SplitSeq(va, ",") {
			out = append(out, strings.TrimSpace(stamp))
		}
	}
	return out
}

// mergeGreatest merges parts by sorting all records, as a reference.
func mergeGreatest(parts []string, record, topK int) string {
	var recs [][]byte
	for _, pa := range parts {
		for ; len(pa) >= record; pa = pa[record:] {
			recs = append(recs, []byte(pa[:record]))
		}
	}
	slices.SortFunc(recs, func(aa, bb []byte) int { return bytes.Compare(bb, aa) })
	return string(bytes.Join(recs[:min(topK, len(recs))], nil))
}

// checkArrived fails the test unless a request reached exactly these services in this
// order.
func (hi *history) checkArrived(id string, want ...string) {
	hi.tb.Helper()
	var got []string
	for _, ar := range hi.arrivalsOf(id) {
		got = append(got, ar.service)
	}
	qt.Assert(hi.tb, got, qt.DeepEquals, want)
}
