package tier_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// runs sums the requests that backend servers ran.
func runs(bes []*backend) int64 {
	sum := int64(0)
	for _, be := range bes {
		sum += be.runs.Load()
	}
	return sum
}

// order has an order acknowledged by one of the control instances, as an operator does.
func (wd *world) order(method, dataCentre string, among ...*instance) {
	wd.t.Helper()
	nth := 0
	wd.await("an order is accepted", func() bool {
		co := among[nth%len(among)]
		nth++
		status, _ := wd.call(method, co.se.Listen.Control, "/evacuations/"+dataCentre, nil)
		return status == http.StatusOK
	})
}

// Guards against requests to backend servers of a data centre that the operators have
// evacuated: through the instances that were there, and after a stop of all.
func TestEvacuatedServersGetNothing(t *testing.T) {
	wd := newWorld(t, 3, 2)
	north, south := wd.serveIn("north", "s1", 2), wd.serveIn("south", "s1", 2)
	wd.configure(config(1, "s1", "/p/"), wd.controls...)
	serve := func(in *instance) bool { return wd.get(in, "/p/").status == http.StatusOK }
	both := func() {
		wd.t.Helper()
		for _, in := range wd.entries {
			wd.await("an answer", func() bool { return serve(in) })
		}
	}
	both()
	wd.order(http.MethodPost, "north", wd.controls...)
	wd.order(http.MethodPost, "north", wd.controls[1])
	wd.await("no request goes to the evacuated data centre", func() bool {
		before := runs(north)
		for range 20 {
			both()
		}
		return runs(north) == before
	})
	for _, in := range wd.instances {
		qt.Assert(t, in.end(), qt.IsNil)
	}
	before := runs(north)
	for _, in := range wd.instances {
		in.se.FirstStart = false
		wd.start(in)
	}
	for range 20 {
		both()
	}
	qt.Assert(t, runs(north), qt.Equals, before)
	qt.Assert(t, runs(south) > 0, qt.IsTrue)
	wd.order(http.MethodDelete, "north", wd.controls[2])
	wd.await("requests go there again", func() bool {
		both()
		return runs(north) > before
	})
}

// Guards against callers who wait for backend servers that all stand in an evacuated data
// centre: they are refused at once, as not run, and told when to come back.
func TestAllServersEvacuated(t *testing.T) {
	wd := newWorld(t, 1, 1)
	wd.serveIn("north", "s1", 2)
	wd.configure(config(1, "s1", "/p/"), wd.controls...)
	wd.await("an answer", func() bool { return wd.get(wd.entries[0], "/p/").status == http.StatusOK })
	wd.order(http.MethodPost, "north", wd.controls...)
	var rs *response
	wd.await("a refusal", func() bool {
		rs = wd.get(wd.entries[0], "/p/")
		return rs.status == http.StatusServiceUnavailable
	})
	qt.Assert(t, rs.header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// Guards against orders that name no data centre, or come with a body that nobody asked
// for, or very often: each has a clear answer, and those that are proper hold.
func TestOrdersOfBadForm(t *testing.T) {
	wd := newWorld(t, 1, 0, func(in *instance) { in.se.DataCentres = map[string]string{"north": "r", "south": "r"} })
	co := wd.controls[0].se.Listen.Control
	wd.order(http.MethodPost, "south", wd.controls...)
	for _, path := range []string{"/evacuations/east", "/evacuations/", "/evacuations/a%20b", "/evacuations/" + strings.Repeat("n", 200)} {
		for _, method := range []string{http.MethodPost, http.MethodDelete} {
			status, body := wd.call(method, co, path, nil)
			qt.Assert(t, status, qt.Equals, http.StatusNotFound, qt.Commentf("%s %s", method, path))
			qt.Assert(t, string(body), qt.Not(qt.Equals), "")
		}
	}
	status, _ := wd.call(http.MethodPost, co, "/evacuations/north", make([]byte, 100<<10))
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	start := time.Now()
	for nth := range 200 {
		wd.order([]string{http.MethodDelete, http.MethodPost}[nth%2], "north", wd.controls...)
	}
	t.Logf("200 orders took %v", time.Since(start))
	_, body := wd.call(http.MethodGet, co, "/evacuations", nil)
	qt.Assert(t, string(body), qt.Equals, `{"revision":202,"zones":["north","south"]}`)
}
