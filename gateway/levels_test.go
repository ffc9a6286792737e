package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap/zapcore"

	"balsamwinch.example/customer"
	"balsamwinch.example/overload"
	"balsamwinch.example/route"
)

// newLevelRig returns a rig with the levels of all entry instances and two routes, which
// differ in priority if ranked is set.
func newLevelRig(t *testing.T, ranked bool) (*rig, *overload.Client) {
	rg := newRig(t, newMemNetwork(), setup{})
	cl := overload.NewClient(0)
	rg.gw.cf.Levels = cl
	rg.startServers("s", 2)
	low := route.Route{Prefix: "/low/", Timeout: time.Second, TargetLatency: 200 * time.Millisecond, Targets: singleTarget("s")}
	if ranked {
		low.Priority = 2
	}
	rg.setTable(low, route.Route{Prefix: "/high/", Timeout: time.Second, TargetLatency: 200 * time.Millisecond, Targets: singleTarget("s")})
	return rg, cl
}

// limit makes the levels of a control instance known.
func limit(rg *rig, cl *overload.Client, fraction float32, les ...overload.Level) {
	cl.Update(rg.ts.Now(), "c", []overload.Levels{{Group: "s", Watched: true, Limited: true, Fraction: fraction, Levels: les}})
}

// Under overload the less urgent requests are refused before anything is sent, which a 503
// promises, and told when to come back. A caller that does so must be served; one that comes
// back early, or with another request, gets no preference.
func TestLevelsRefuseLessUrgentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg, cl := newLevelRig(t, true)
		limit(rg, cl, 0.5, overload.Level{Source: overload.Source{Class: 0}, Fraction: 1}, overload.Level{Source: overload.Source{Class: overload.ClassOf(2, 2)}, Fraction: 0.01})
		rg.get("/high/a", http.StatusOK)
		an := rg.get("/low/a", http.StatusServiceUnavailable)
		qt.Assert(t, rg.hist.arrivalsOf(an.id), qt.HasLen, 0)
		qt.Assert(t, strings.Contains(string(an.body), reasonOverload), qt.IsTrue)
		seconds, err := strconv.ParseFloat(an.header.Get("Retry-After"), 64)
		qt.Assert(t, err, qt.IsNil)
		told := time.Duration(seconds * float64(time.Second))
		qt.Assert(t, told > 0 && told <= time.Second/3, qt.IsTrue)
		time.Sleep(told)
		limit(rg, cl, 0.01)
		rg.get("/low/b", http.StatusServiceUnavailable)
		rg.get("/low/a", http.StatusOK)
		rg.get("/low/a", http.StatusServiceUnavailable)
		rg.get("/low/a", http.StatusServiceUnavailable)
		time.Sleep(overload.LevelsTTL)
		rg.get("/low/a", http.StatusOK)
	})
}

// A configuration that doesn't rank requests has no one to prefer, so the levels must not
// refuse anything, nor may anything be reported.
func TestLevelsNeedRankedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rg, cl := newLevelRig(t, false)
		limit(rg, cl, 0)
		rg.get("/low/a", http.StatusOK)
		qt.Assert(t, cl.Take(rg.ts.Now()), qt.HasLen, 0)
	})
}

// While a group is watched, each request is reported with its class and how it ended. Only a
// late answer from a server with a queue is overload: queues that delay nobody, and servers
// that are slow or refuse at any load, must not have callers refused.
func TestRequestsAreReported(t *testing.T) {
	queued := respondWith(func(re *reply) { re.lines = append(re.lines, names.ServerLoad+": 4,4,4") })
	for _, tt := range []struct {
		name       string
		bh         behavior
		status     int
		overloaded uint32
	}{
		{"late answer from a queue", delayed(300*time.Millisecond, queued), http.StatusOK, 1},
		{"answer in time from a queue", queued, http.StatusOK, 0},
		{"late answer without a queue", delayed(300*time.Millisecond, respondWith(func(*reply) {})), http.StatusOK, 0},
		{"refusal", rejectNotRun(http.StatusServiceUnavailable), http.StatusServiceUnavailable, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rg, cl := newLevelRig(t, true)
				cl.Update(rg.ts.Now(), "c", []overload.Levels{{Group: "s", Watched: true, Fraction: 1}})
				rg.get("/low/a", http.StatusOK)
				rg.startServers("s", 0, tt.bh)
				rg.get("/high/a", tt.status)
				qt.Assert(t, cl.Take(rg.ts.Now()), qt.DeepEquals, []overload.Report{{
					Group: "s", Admitted: 2, Ended: 2, Overloaded: tt.overloaded,
					Arrived: []overload.Arrivals{{Source: overload.Source{Class: 0}, Count: 1}, {Source: overload.Source{Class: overload.ClassOf(2, 2)}, Count: 1}},
				}})
			})
		})
	}
}

// The priority of a customer takes precedence over that of the route.
func TestClassOfRequest(t *testing.T) {
	for _, tt := range []struct {
		cu    *customer.Customer
		route int
		want  overload.Source
	}{
		{nil, 0, overload.Source{}},
		{nil, 3, overload.Source{Class: overload.NumClasses - 1}},
		{&customer.Customer{Name: "a"}, 1, overload.Source{Class: 5, Customer: "a"}},
		{&customer.Customer{Name: "a", Priority: 2}, 1, overload.Source{Class: 5, Customer: "a"}},
		{&customer.Customer{Name: "a", HasPriority: true}, 1, overload.Source{Class: 1, Customer: "a"}},
		{&customer.Customer{Name: "a", HasPriority: true}, 2, overload.Source{Class: 2, Customer: "a"}},
		{&customer.Customer{Name: "a", Priority: 1, HasPriority: true}, 0, overload.Source{Class: 4, Customer: "a"}},
		{&customer.Customer{Name: "a", Priority: 99, HasPriority: true}, 99, overload.Source{Class: overload.NumClasses - 1, Customer: "a"}},
	} {
		ca := &call{ro: &route.Route{Priority: tt.route}, customer: tt.cu}
		qt.Check(t, ca.source(), qt.Equals, tt.want)
	}
}

// The line of a refusal says why. The field names must not be those of other fields of a log
// line, such as its level.
func TestLogLineOfRefusalByLevel(t *testing.T) {
	oe := zapcore.NewMapObjectEncoder()
	ca := &call{levelUsed: true, decision: overload.Decision{Fraction: 0.25, Age: 40 * time.Millisecond, Wait: 66 * time.Millisecond}}
	ca.addDecision(oe)
	qt.Assert(t, oe.Fields, qt.DeepEquals, map[string]any{"AdmissionLevel": 0.25, "AdmissionLevelMillis": int64(40), "ToldMillis": int64(66)})
	ca.decision.Admitted = true
	oe = zapcore.NewMapObjectEncoder()
	ca.addDecision(oe)
	qt.Assert(t, oe.Fields, qt.HasLen, 0)
}
