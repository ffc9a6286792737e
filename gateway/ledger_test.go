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

// patience bounds every wait for a condition. It is no timing bound: a test that
// holds is through long before.
const patience = time.Minute

// asked is a request of a caller and what came back.
type asked struct {
	method, host, uri string
	body              string
	got               *answer // got is nil while there is no answer.
}

// arrival is a request that reached a backend server.
type arrival struct {
	id, service, server string
	at                  time.Time
	method, uri, host   string
	header              http.Header
	body                string
	ran                 bool
	early               bool // early says that the server answered before it had read the body.
	broken              bool // broken says that the connection ended in the body, so that the server had no request to run.
}

// issue is an answer of a backend server that has a stamp.
type issue struct {
	id, service, server string
	status              int
	body                string
}

// ledger is what happened in a test, as callers and backend servers saw it.
type ledger struct {
	tb testing.TB

	mu       sync.Mutex
	changed  chan struct{} // changed is closed and replaced at every change.
	asked    map[string]*asked
	arrivals []*arrival
	issued   map[string]issue // issued holds answers by stamp.
	ended    []string         // ended are the ids of requests whose connection ended while a server was at work.
	stamps   int
}

func newLedger(tb testing.TB) *ledger {
	return &ledger{tb: tb, changed: make(chan struct{}), asked: make(map[string]*asked), issued: make(map[string]issue)}
}

// note changes the ledger and wakes whoever waits for a condition.
func (le *ledger) note(change func()) {
	le.mu.Lock()
	defer le.mu.Unlock()
	change()
	close(le.changed)
	le.changed = make(chan struct{})
}

// await waits until a condition holds.
func (le *ledger) await(holds func() bool) {
	le.tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		le.mu.Lock()
		ok, changed := holds(), le.changed
		le.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			le.tb.Fatalf("the condition never held; %s", le)
		}
	}
}

// awaitArrivals waits until so many requests in all have reached backend servers.
func (le *ledger) awaitArrivals(count int) {
	le.tb.Helper()
	le.await(func() bool { return len(le.arrivals) >= count })
}

// awaitEnded waits until the work of so many requests was ended by the close of
// its connection.
func (le *ledger) awaitEnded(count int) {
	le.tb.Helper()
	le.await(func() bool { return len(le.ended) >= count })
}

// String tells the arrivals in order.
func (le *ledger) String() string {
	le.mu.Lock()
	defer le.mu.Unlock()
	var sb strings.Builder
	fmt.Fprintf(&sb, "%d asked, %d arrivals, %d ended", len(le.asked), len(le.arrivals), len(le.ended))
	for _, ar := range le.arrivals[:min(len(le.arrivals), 40)] {
		fmt.Fprintf(&sb, "\n%s at %s, ran %t", ar.id, ar.server, ar.ran)
	}
	return sb.String()
}

// of returns the arrivals of a request in order; of all if the id is empty.
func (le *ledger) of(id string) []arrival {
	le.mu.Lock()
	defer le.mu.Unlock()
	var out []arrival
	for _, ar := range le.arrivals {
		if id == "" || ar.id == id {
			out = append(out, *ar)
		}
	}
	return out
}

// runs counts how often a request ran.
func (le *ledger) runs(id string) int {
	count := 0
	for _, ar := range le.of(id) {
		if ar.ran {
			count++
		}
	}
	return count
}

// issue notes an answer and returns its stamp.
func (le *ledger) issue(is issue) string {
	stamp := ""
	le.note(func() {
		le.stamps++
		stamp = fmt.Sprintf("%s.%d.%x", is.server, le.stamps, 0xc0ffee+le.stamps)
		le.issued[stamp] = is
	})
	return stamp
}

// check fails the test if anything happened that no configuration, request or
// backend server allows.
func (le *ledger) check(tables []*route.Table) {
	le.tb.Helper()
	le.mu.Lock()
	defer le.mu.Unlock()
	byID := make(map[string][]*arrival)
	for _, ar := range le.arrivals {
		byID[ar.id] = append(byID[ar.id], ar)
		as := le.asked[ar.id]
		if as == nil {
			le.tb.Errorf("%s reached %s, but no caller sent it", ar.id, ar.server)
			continue
		}
		whole := ar.body == as.body || (ar.early || ar.broken && !ar.ran) && strings.HasPrefix(as.body, ar.body)
		if ar.method != as.method || ar.uri != as.uri || ar.host != as.host || !whole {
			le.tb.Errorf("%s reached %s as %s %s %s with %d bytes, sent was %s %s %s with %d",
				ar.id, ar.server, ar.method, ar.host, ar.uri, len(ar.body), as.method, as.host, as.uri, len(as.body))
		}
	}
	for id, as := range le.asked {
		le.checkArrivals(id, byID[id], matches(tables, as))
		if as.got != nil && as.got.err == nil {
			le.checkAnswer(id, as.got, byID[id], matches(tables, as))
		}
	}
}

// matches returns the routes of a request in all tables that were in force.
func matches(tables []*route.Table, as *asked) []*route.Route {
	path, _, _ := strings.Cut(as.uri, "?")
	var out []*route.Route
	for _, tb := range tables {
		if ro, ok := tb.Match(as.host, path); ok {
			out = append(out, ro)
		}
	}
	return out
}

// services returns the services that a route allows.
func services(ro *route.Route) []string {
	out := slices.Clone(ro.Shards)
	for _, ta := range ro.Targets {
		if ta.Weight > 0 {
			out = append(out, ta.Service)
		}
	}
	return out
}

func (le *ledger) checkArrivals(id string, ars []*arrival, ros []*route.Route) {
	le.tb.Helper()
	ran := make(map[string]int)
	most, once := 0, len(ros) > 0
	for _, ro := range ros {
		most = max(most, ro.MaxAttempts)
		once = once && ro.Kind == route.NotRepeatable
	}
	total := 0
	for _, ar := range ars {
		allowed := slices.ContainsFunc(ros, func(ro *route.Route) bool { return slices.Contains(services(ro), ar.service) })
		if !allowed {
			le.tb.Errorf("%s reached the service %s, which no configuration allows", id, ar.service)
		}
		if ar.ran {
			total++
			ran[ar.service]++
		}
	}
	for service, count := range ran {
		if count > most {
			le.tb.Errorf("%s ran %d times at %s, want at most %d", id, count, service, most)
		}
	}
	if once && total > 1 {
		le.tb.Errorf("%s may not be repeated and ran %d times", id, total)
	}
}

func (le *ledger) checkAnswer(id string, an *answer, ars []*arrival, ros []*route.Route) {
	le.tb.Helper()
	switch an.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if slices.ContainsFunc(ars, func(ar *arrival) bool { return ar.ran }) {
			le.tb.Errorf("%s was answered %d, which says that it has not run, but it ran", id, an.status)
		}
		if se, err := strconv.ParseFloat(an.header.Get("Retry-After"), 64); err != nil || se <= 0 {
			le.tb.Errorf("%s was answered %d with Retry-After %q", id, an.status, an.header.Get("Retry-After"))
		}
	}
	if an.header.Get(names.PartStamps) != "" {
		le.checkParts(id, an, ros)
		return
	}
	stamp := an.header.Get(names.Stamp)
	is, ok := le.issued[stamp]
	switch {
	case stamp == "" && an.status < 300:
		le.tb.Errorf("%s was answered %d without a stamp", id, an.status)
	case stamp == "":
	case !ok:
		le.tb.Errorf("%s was answered with the stamp %q, which no backend server gave", id, stamp)
	case is.id != id:
		le.tb.Errorf("%s was answered with the answer of %s", id, is.id)
	case is.status != an.status || is.body != string(an.body):
		le.tb.Errorf("%s was answered %d with %d bytes, the backend server gave %d with %d", id, an.status, len(an.body), is.status, len(is.body))
	}
}

// checkParts checks a merged answer against what the backend servers of its
// stamps gave.
func (le *ledger) checkParts(id string, an *answer, ros []*route.Route) {
	le.tb.Helper()
	var in []string
	var parts []string
	for _, stamp := range stampsOf(an) {
		is, ok := le.issued[stamp]
		if !ok || is.id != id || is.status < 200 || is.status > 299 || slices.Contains(in, is.service) {
			le.tb.Errorf("%s has the part %q: known %t, of %s, status %d, services so far %s", id, stamp, ok, is.id, is.status, in)
			return
		}
		in = append(in, is.service)
		parts = append(parts, is.body)
	}
	missing, err := strconv.Atoi(an.header.Get(names.MissingParts))
	if an.header.Get(names.MissingParts) == "" {
		missing, err = 0, nil
	}
	fits := err == nil && slices.ContainsFunc(ros, func(ro *route.Route) bool {
		for _, service := range in {
			if !slices.Contains(ro.Shards, service) {
				return false
			}
		}
		return len(in)+missing == len(ro.Shards) && float64(len(in)) >= ro.Merge.LeastShare*float64(len(ro.Shards))-1e-9 &&
			string(an.body) == greatest(parts, ro.Merge.RecordBytes, ro.Merge.TopK)
	})
	if !fits || an.status != http.StatusOK || len(in) == 0 {
		le.tb.Errorf("%s was answered %d with the parts of %s, %q missing and %d bytes, which fits no configuration", id, an.status, in, an.header.Get(names.MissingParts), len(an.body))
	}
}

// stampsOf returns the stamps of a merged answer's parts.
func stampsOf(an *answer) []string {
	var out []string
	for _, va := range an.header[names.PartStamps] {
		for stamp := range strings.SplitSeq(va, ",") {
			out = append(out, strings.TrimSpace(stamp))
		}
	}
	return out
}

// greatest merges parts in the plainest way, to compare with.
func greatest(parts []string, record, most int) string {
	var recs [][]byte
	for _, pa := range parts {
		for ; len(pa) >= record; pa = pa[record:] {
			recs = append(recs, []byte(pa[:record]))
		}
	}
	slices.SortFunc(recs, func(aa, bb []byte) int { return bytes.Compare(bb, aa) })
	return string(bytes.Join(recs[:min(most, len(recs))], nil))
}

// checkArrived fails the test unless requests reached the services in this order.
func (le *ledger) checkArrived(id string, want ...string) {
	le.tb.Helper()
	var got []string
	for _, ar := range le.of(id) {
		got = append(got, ar.service)
	}
	qt.Assert(le.tb, got, qt.DeepEquals, want)
}
