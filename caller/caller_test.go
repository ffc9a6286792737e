package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/caller"
	"balsamwinch.example/fanout"
	"balsamwinch.example/operator"
	"balsamwinch.example/result"
	"balsamwinch.example/timer"
	"balsamwinch.example/view"
)

func instance(name, region, dataCentre string) view.Instance {
	return view.Instance{Name: name, Region: region, DataCentre: dataCentre, Entry: true, CallerAddress: name + ":1"}
}

func names(ins []view.Instance) []string {
	var out []string
	for _, in := range ins {
		out = append(out, in.Name)
	}
	return out
}

func TestRankInstancesNearestFirst(t *testing.T) {
	far := instance("far", "bayern", "giesing")
	near := instance("near", "lima", "surquillo")
	here := instance("here", "lima", "miraflores")
	draining := instance("draining", "lima", "miraflores")
	draining.Draining = true
	notEntry := instance("notEntry", "lima", "miraflores")
	notEntry.Entry = false
	vi := &view.View{Self: far, Instances: []view.Instance{far, near, here, draining, notEntry}}
	for _, tc := range []struct {
		dataCentre string
		want       []string
	}{
		{"miraflores", []string{"here", "near", "far"}},
		{"surquillo", []string{"near", "here", "far"}},
		{"giesing", []string{"far", "here", "near"}},
	} {
		got := names(caller.RankInstances(vi, "", tc.dataCentre, 3))
		if tc.dataCentre == "giesing" {
			slices.Sort(got[1:])
		}
		qt.Check(t, got, qt.DeepEquals, tc.want)
	}
}

// Each caller asks one instance for addresses and uses the first one. If the
// order were fixed, all callers would use the same instance, so the order of
// equally near ones must vary between calls.
func TestRankInstancesSpreadsEquallyNear(t *testing.T) {
	vi := &view.View{Instances: []view.Instance{
		instance("i1", "lima", "a"), instance("i2", "lima", "a"), instance("i3", "lima", "a"),
	}}
	first := make(map[string]int)
	for salt := range uint64(300) {
		first[caller.RankInstances(vi, "", "a", salt)[0].Name]++
	}
	for _, name := range []string{"i1", "i2", "i3"} {
		qt.Check(t, first[name] > 50, qt.IsTrue, qt.Commentf("%s was first %d times", name, first[name]))
	}
}

// A caller asks an instance whose view wrongly contains no other instances. It
// must get at least the address of that instance, or no caller could use the
// tier.
func TestRankInstancesIsNeverEmpty(t *testing.T) {
	self := instance("self", "lima", "a")
	qt.Check(t, names(caller.RankInstances(&view.View{Self: self}, "", "b", 0)), qt.DeepEquals, []string{"self"})
}

// runner records the query that it receives.
type runner struct{ got fanout.Query }

func (ru *runner) Run(_ context.Context, qu fanout.Query) fanout.Answer {
	ru.got = qu
	return fanout.Answer{RequestID: qu.RequestID, Code: result.NotRunOverloaded, RetryAfterMillis: 1200}
}

func serve(ru *runner, vi *view.View, method, path, body string) *httptest.ResponseRecorder {
	var ce view.Cell
	ce.Store(vi)
	rw := httptest.NewRecorder()
	rq := httptest.NewRequest(method, path, strings.NewReader(body))
	caller.New(&ce, ru, timer.New(), zap.NewNop()).ServeHTTP(rw, rq)
	return rw
}

func TestQueryDefaultsAndRefusalHeaders(t *testing.T) {
	c := qt.New(t)
	var ru runner
	vi := &view.View{Draining: true, Configuration: operator.Configuration{Services: map[string]operator.Service{
		"archivo": {DeadlineMillis: 700},
	}}}
	rw := serve(&ru, vi, http.MethodPost, "/services/archivo/query", `{"RequestID":"r1","Query":{"Room":1}}`)
	c.Check(rw.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(rw.Header().Get("Retry-After"), qt.Equals, "2")
	c.Check(rw.Header().Get("Connection"), qt.Equals, "close")
	c.Check(ru.got.Service, qt.Equals, "archivo")
	c.Check(ru.got.Repeatable, qt.IsTrue)
	left := time.Until(ru.got.Deadline)
	c.Check(left <= 700*time.Millisecond, qt.IsTrue)
}

func TestQueryRejectsInvalid(t *testing.T) {
	for _, tc := range []struct{ body, want string }{
		{`{`, "body: unexpected EOF"},
		{`{"Repeatble":false}`, `body: json: unknown field "Repeatble"`},
		{`{} {}`, "body: want one JSON value"},
		{`{"DeadlineMillis":-1}`, "DeadlineMillis: want 0 to 600000"},
		{`{"Policy":"Fast"}`, `Policy: want Complete or Best, got "Fast"`},
		{`{"Repeatable":false}`, "a request that is not repeatable needs a Key"},
		{`{"Key":"` + strings.Repeat("k", 201) + `"}`, "Key: want at most 200 bytes"},
		{`{"Query":"` + strings.Repeat("q", 1<<20) + `"}`, "body: want at most 1048576 bytes"},
	} {
		var ru runner
		rw := serve(&ru, &view.View{}, http.MethodPost, "/services/archivo/query", tc.body)
		var an fanout.Answer
		qt.Assert(t, json.Unmarshal(rw.Body.Bytes(), &an), qt.IsNil)
		qt.Check(t, an.Code, qt.Equals, result.NotRunBadRequest)
		qt.Check(t, an.Detail, qt.Matches, tc.want)
		qt.Check(t, ru.got.Service, qt.Equals, "")
	}
}

func TestAddresses(t *testing.T) {
	vi := &view.View{
		Self:          instance("self", "lima", "a"),
		Configuration: operator.Configuration{Limits: operator.Limits{AddressTTLMillis: 400}},
	}
	rw := serve(&runner{}, vi, http.MethodGet, "/addresses", "")
	qt.Check(t, strings.TrimSpace(rw.Body.String()), qt.Equals, `{"Addresses":["self:1"],"TTLMillis":400}`)
}
