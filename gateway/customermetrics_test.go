package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/customer"
	"balsamwinch.example/route"
)

// sendWith sends a request with an ID and Authorization, and returns the status of the
// answer.
func (lr *logRig) sendWith(id, authorization string) int {
	rq := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil)
	rq.Header.Set(logHeaderNames.RequestID, id)
	if authorization != "" {
		rq.Header.Set("Authorization", authorization)
	}
	wr := httptest.NewRecorder()
	lr.sv.ServeHTTP(wr, rq)
	return wr.Code
}

// setCustomers adds customers to the table in force.
func (lr *logRig) setCustomers(cus ...customer.Customer) {
	ix, err := customer.New(cus)
	qt.Assert(lr.t, err, qt.IsNil)
	lr.sv.SetTable(lr.sv.Table().WithCustomers(ix))
}

// output returns all log lines and metrics so far.
func (lr *logRig) output() (lines, metrics string) {
	qt.Assert(lr.t, lr.tw.Close(), qt.IsNil)
	var bu bytes.Buffer
	lr.sv.WriteMetrics(&bu)
	lr.out.mu.Lock()
	defer lr.out.mu.Unlock()
	return lr.out.bu.String(), bu.String()
}

// The line of a request must name its customer, or an operator cannot tell whose requests
// fail.
func TestLogLineNamesCustomer(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget(), MaxAttempts: 1})
		lr.serve("desk", "i-1", closeConnection)
		lr.setCustomers(lindaAndOtter()...)
		qt.Assert(t, lr.sendWith("r-1", "Bearer "+lindaKey), qt.Equals, 502)
		li := lr.logLine()
		qt.Assert(t, li, qt.IsNotNil)
		qt.Assert(t, li.Text("Customer"), qt.Equals, "linda")
	})
}

// Anyone can send requests without a valid key. Their lines must not fill the disk or hide
// other lines, and the number of those left out must not be lost.
func TestUnauthorizedLinesAreBounded(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget()})
		lr.setCustomers(lindaAndOtter()...)
		for range 500 {
			qt.Assert(t, lr.sendWith("r-2", "Bearer sk-unknown"), qt.Equals, 401)
		}
		time.Sleep(2 * time.Second)
		qt.Assert(t, lr.sendWith("r-1", ""), qt.Equals, 401)
		li := lr.logLine()
		qt.Assert(t, li, qt.IsNotNil)
		qt.Check(t, li.Text("SkippedLines"), qt.Equals, fmt.Sprint(500-unauthorizedLogBurst))
		qt.Check(t, li.Text("Detail"), qt.Equals, "no API key")
		qt.Check(t, li.Text("Code"), qt.Equals, "110")
		lines, _ := lr.output()
		qt.Check(t, strings.Count(lines, `"r-2"`), qt.Equals, unauthorizedLogBurst)
		qt.Check(t, series(lr.sv, "balsamwinch_requests_unauthorized"), qt.DeepEquals, []string{
			`balsamwinch_requests_unauthorized_total{reason="missing"} 1`,
			`balsamwinch_requests_unauthorized_total{reason="unknown"} 500`,
		})
	})
}

// No key, valid or not, may appear in a log line or metric: both are read by more people
// than the configuration. The requests of this test have every kind of line.
func TestNoKeyInLinesAndMetrics(t *testing.T) {
	withLogRig(t, func(t *testing.T, lr *logRig) {
		lr.setRoute(route.Route{Targets: deskTarget(), MaxAttempts: 2, TargetLatency: 60 * time.Millisecond})
		lr.serve("desk", "i-1", func(wr http.ResponseWriter, rq *http.Request) {
			switch rq.Header.Get(logHeaderNames.RequestID) {
			case "lost":
				closeConnection(wr, rq)
			case "late":
				time.Sleep(time.Second)
			case "failed":
				wr.WriteHeader(http.StatusInternalServerError)
			}
		})
		lr.setCustomers(lindaAndOtter()...)
		for _, id := range []string{"ok", "lost", "lost", "late", "failed"} {
			lr.sendWith(id, "Bearer "+lindaKey)
		}
		for _, va := range []string{"Bearer sk-unknown", "Bearer sk-a sk-b", "sk-c", "Bearer sk-" + longestKey, "Basic sk-d"} {
			lr.sendWith("rejected", va)
		}
		lr.setCustomers(customer.Customer{Name: "otter", Keys: []string{otterKey}})
		lr.sendWith("removed", "Bearer "+lindaKey)
		lines, metrics := lr.output()
		for _, id := range []string{"lost", "late", "failed", "rejected", "removed"} {
			qt.Check(t, strings.Contains(lines, `"`+id+`"`), qt.IsTrue, qt.Commentf("%s\n%s", id, lines))
		}
		qt.Check(t, strings.Contains(metrics, "balsamwinch_customer_requests_total"), qt.IsTrue)
		qt.Check(t, hasKey(lines), qt.IsFalse, qt.Commentf("%s", lines))
		qt.Check(t, hasKey(metrics), qt.IsFalse, qt.Commentf("%s", metrics))
	})
}

// The metrics page must stay small with any number of customers, and keep the sum of all
// requests when customers are removed.
func TestCustomerMetricsAreBounded(t *testing.T) {
	c := qt.New(t)
	var cm customerMetrics
	written := func() (lines []string, sum int) {
		var bu bytes.Buffer
		cm.write(&bu)
		for li := range strings.Lines(bu.String()) {
			var count int
			_, err := fmt.Sscan(li[strings.LastIndex(li, " ")+1:], &count)
			c.Assert(err, qt.IsNil)
			lines, sum = append(lines, strings.TrimSpace(li)), sum+count
		}
		return lines, sum
	}
	lines, _ := written()
	c.Assert(lines, qt.DeepEquals, []string{`balsamwinch_customer_requests_total{customer="other"} 0`})
	want := 0
	for ix := range 50 {
		for range ix + 1 {
			cm.count(fmt.Sprint("c-", ix))
			want++
		}
	}
	lines, sum := written()
	c.Assert(lines, qt.HasLen, maxCustomerLabels+1)
	c.Check(sum, qt.Equals, want)
	c.Check(lines[0], qt.Equals, `balsamwinch_customer_requests_total{customer="c-49"} 50`)
	c.Check(lines[maxCustomerLabels-1], qt.Equals, `balsamwinch_customer_requests_total{customer="c-18"} 19`)
	c.Check(lines[maxCustomerLabels], qt.Equals, fmt.Sprintf(`balsamwinch_customer_requests_total{customer="other"} %d`, 18*19/2))

	ix, err := customer.New([]customer.Customer{{Name: "c-3"}})
	c.Assert(err, qt.IsNil)
	cm.retain(ix)
	lines, sum = written()
	c.Check(sum, qt.Equals, want)
	c.Check(lines, qt.DeepEquals, []string{
		`balsamwinch_customer_requests_total{customer="c-3"} 4`, fmt.Sprintf(`balsamwinch_customer_requests_total{customer="other"} %d`, want-4),
	})
}

// A name that breaks the format, or two names with one label, would make the whole metrics
// page unreadable.
func TestCustomerLabels(t *testing.T) {
	var cm customerMetrics
	for _, name := range []string{`a"b`, `a\b`, "other"} {
		cm.count(name)
	}
	cm.removed.Add(5)
	var bu bytes.Buffer
	cm.write(&bu)
	lines := strings.Split(strings.TrimSpace(bu.String()), "\n")
	slices.Sort(lines)
	qt.Assert(t, lines, qt.DeepEquals, []string{`balsamwinch_customer_requests_total{customer="a_b"} 2`, `balsamwinch_customer_requests_total{customer="other"} 6`})
}

// Requests of two customers with the same content are different requests for the backend
// servers, and all keys of one customer give the same one. Otherwise a customer's request
// is refused for another's, or is tried anew on other servers with its other key.
func TestQuarantineKeyUsesCustomer(t *testing.T) {
	c := qt.New(t)
	lr := newLogRig(t)
	lr.setRoute(route.Route{Targets: deskTarget(), Public: true})
	key := func(authorization string) string {
		rq := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil)
		if authorization != "" {
			rq.Header.Set("Authorization", authorization)
		}
		ca := &call{sv: lr.sv, rq: rq, wr: httptest.NewRecorder(), tb: lr.sv.Table()}
		ca.ro, _ = ca.tb.Match(rq.Host, "/x")
		c.Assert(ca.authenticate(), qt.IsTrue)
		return ca.quarantineKey().String()
	}
	c.Check(key("Bearer "+lindaKey) == key("Bearer "+lindaKey2), qt.IsFalse)
	lr.setCustomers(lindaAndOtter()...)
	c.Check(key("Bearer "+lindaKey), qt.Equals, key("bearer  "+lindaKey2))
	c.Check(key("Bearer "+lindaKey) == key("Bearer "+otterKey), qt.IsFalse)
	c.Check(key("Bearer "+lindaKey) == key(""), qt.IsFalse)
	c.Check(key(""), qt.Equals, key("Bearer sk-unknown"))
}
