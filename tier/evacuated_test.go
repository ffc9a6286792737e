package tier_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// totalRuns returns the number of requests that the backend servers ran.
func totalRuns(bes []*backend) int64 {
	sum := int64(0)
	for _, be := range bes {
		sum += be.runs.Load()
	}
	return sum
}

// orderEvacuation sends an evacuation order to control instances until one accepts it, as
// an operator does.
func (cl *cluster) orderEvacuation(method, dataCentre string, among ...*instance) {
	cl.t.Helper()
	nth := 0
	cl.await("an order is accepted", func() bool {
		co := among[nth%len(among)]
		nth++
		status, _ := cl.call(method, co.se.Listen.Control, "/evacuations/"+dataCentre, nil)
		return status == http.StatusOK
	})
}

// Guards against requests to backend servers of an evacuated data centre: through
// instances that were running at the time of the order, and after a restart of all.
func TestEvacuatedServersGetNoRequests(t *testing.T) {
	cl := newCluster(t, 3, 2)
	north, south := cl.startServersIn("north", "s1", 2), cl.startServersIn("south", "s1", 2)
	cl.configure(config(1, "s1", "/p/"), cl.controls...)
	served := func(in *instance) bool { return cl.get(in, "/p/").status == http.StatusOK }
	getFromAll := func() {
		cl.t.Helper()
		for _, in := range cl.entries {
			cl.await("an answer", func() bool { return served(in) })
		}
	}
	getFromAll()
	cl.orderEvacuation(http.MethodPost, "north", cl.controls...)
	cl.orderEvacuation(http.MethodPost, "north", cl.controls[1])
	cl.await("no request goes to the evacuated data centre", func() bool {
		before := totalRuns(north)
		for range 20 {
			getFromAll()
		}
		return totalRuns(north) == before
	})
	for _, in := range cl.instances {
		qt.Assert(t, in.shutdown(), qt.IsNil)
	}
	before := totalRuns(north)
	for _, in := range cl.instances {
		in.se.FirstStart = false
		cl.start(in)
	}
	for range 20 {
		getFromAll()
	}
	qt.Assert(t, totalRuns(north), qt.Equals, before)
	qt.Assert(t, totalRuns(south) > 0, qt.IsTrue)
	cl.orderEvacuation(http.MethodDelete, "north", cl.controls[2])
	cl.await("requests go there again", func() bool {
		getFromAll()
		return totalRuns(north) > before
	})
}

// Guards against callers waiting for backend servers that are all in an evacuated data
// centre: they must be refused at once, as not run, with a Retry-After header.
func TestRequestRefusedWhenAllServersEvacuated(t *testing.T) {
	cl := newCluster(t, 1, 1)
	cl.startServersIn("north", "s1", 2)
	cl.configure(config(1, "s1", "/p/"), cl.controls...)
	cl.await("an answer", func() bool { return cl.get(cl.entries[0], "/p/").status == http.StatusOK })
	cl.orderEvacuation(http.MethodPost, "north", cl.controls...)
	var rs *response
	cl.await("a refusal", func() bool {
		rs = cl.get(cl.entries[0], "/p/")
		return rs.status == http.StatusServiceUnavailable
	})
	qt.Assert(t, rs.header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// Guards against evacuation orders without a valid data centre, with an unexpected body,
// or at a high rate: each must get a clear response, and valid ones must be applied.
func TestMalformedEvacuationOrders(t *testing.T) {
	cl := newCluster(t, 1, 0, func(in *instance) { in.se.DataCentres = map[string]string{"north": "r", "south": "r"} })
	co := cl.controls[0].se.Listen.Control
	cl.orderEvacuation(http.MethodPost, "south", cl.controls...)
	for _, path := range []string{"/evacuations/east", "/evacuations/", "/evacuations/a%20b", "/evacuations/" + strings.Repeat("n", 200)} {
		for _, method := range []string{http.MethodPost, http.MethodDelete} {
			status, body := cl.call(method, co, path, nil)
			qt.Assert(t, status, qt.Equals, http.StatusNotFound, qt.Commentf("%s %s", method, path))
			qt.Assert(t, string(body), qt.Not(qt.Equals), "")
		}
	}
	status, _ := cl.call(http.MethodPost, co, "/evacuations/north", make([]byte, 100<<10))
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	start := time.Now()
	for nth := range 200 {
		cl.orderEvacuation([]string{http.MethodDelete, http.MethodPost}[nth%2], "north", cl.controls...)
	}
	t.Logf("200 orders took %v", time.Since(start))
	_, body := cl.call(http.MethodGet, co, "/evacuations", nil)
	qt.Assert(t, string(body), qt.Equals, `{"revision":202,"zones":["north","south"]}`)
}
