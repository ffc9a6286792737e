package tier_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/tier"
)

// newDepartureCluster starts a tier with two backend servers of one service, the second of
// which has stopped announcing itself and is about to leave. All control instances list it
// as ready for 8 s. The last entry instance is stopped.
func newDepartureCluster(t *testing.T) (cl *cluster, leaving *backend) {
	cl = newCluster(t, 3, 2, func(in *instance) { in.se.Timing.Announcement = 2 * time.Second })
	cl.configure(config(1, "s1", "/extra/"), cl.controls...)
	qt.Assert(t, cl.entries[1].shutdown(), qt.IsNil)
	cl.startServer("s1", "i-s1-stays", func(be *backend) http.Handler { return be })
	leaving = cl.startServer("s1", "i-s1-leaves", func(be *backend) http.Handler { return be })
	cl.await("both servers serve", func() bool {
		cl.get(cl.entries[0], "/one/a")
		return leaving.runs.Load() > 0
	})
	leaving.stopAnnouncing()
	leaving.wg.Wait()
	for _, co := range cl.controls {
		qt.Assert(t, leaving.announceTo(co, lastSequence, "ready"), qt.Equals, http.StatusOK)
	}
	return cl, leaving
}

// lastSequence is the sequence of the last announcement of a server that is about to leave,
// higher than all before.
const lastSequence = 1 << 20

// leave tells a control instance that a backend server leaves, and returns the status.
func (cl *cluster) leave(be *backend, co *instance) int {
	status, _ := cl.call(http.MethodDelete, co.se.Listen.Control, "/instances/"+be.id, nil)
	return status
}

// awaitControlLinks waits until an entry instance has a link to each control instance.
func (cl *cluster) awaitControlLinks(en *instance) {
	cl.t.Helper()
	cl.await("the entry instance has a link to each control instance", func() bool {
		_, body := cl.call(http.MethodGet, en.se.Metrics, tier.MetricsPath, nil)
		return strings.Contains(string(body), fmt.Sprintf("balsamwinch_control_links %d\n", len(cl.controls)))
	})
}

// checkNotAsked fails the test if an entry instance sends requests to a backend server.
func (cl *cluster) checkNotAsked(en *instance, be *backend) {
	cl.t.Helper()
	cl.await("the entry instance serves", func() bool { return cl.get(en, "/one/a").status == http.StatusOK })
	cl.awaitControlLinks(en)
	before := be.runs.Load()
	for range 30 {
		cl.checkOne(cl.get(en, "/one/a"), "s1")
	}
	qt.Assert(cl.t, be.runs.Load(), qt.Equals, before)
}

// Guards against a leave that is forgotten when the control instance that acknowledged it
// ends: the others listed the backend server by its last announcement, and an entry instance
// that started then sent requests to it.
func TestLeaveOutlivesItsControlInstance(t *testing.T) {
	cl, leaving := newDepartureCluster(t)
	co, en := cl.controls[0], cl.entries[1]
	qt.Assert(t, cl.leave(leaving, co), qt.Equals, http.StatusOK)
	qt.Assert(t, co.shutdown(), qt.IsNil)
	co.se.FirstStart = false
	cl.start(co)
	cl.start(en)
	cl.checkNotAsked(en, leaving)
}

// Guards against a leave that is acknowledged before it is on a second disk, and lost if the
// control instance that acknowledged it ends at once or loses its disk. One control instance
// is away meanwhile, and so are all entry instances afterwards.
func TestAcknowledgedLeaveOutlivesDisk(t *testing.T) {
	cl, leaving := newDepartureCluster(t)
	told, other, away := cl.controls[0], cl.controls[1], cl.controls[2]
	qt.Assert(t, away.shutdown(), qt.IsNil)
	qt.Assert(t, cl.leave(leaving, told), qt.Equals, http.StatusOK)
	for _, co := range []*instance{told, other} {
		data, err := os.ReadFile(filepath.Join(co.se.DataFolder, "departures"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, strings.Contains(string(data), leaving.id), qt.IsTrue)
	}
	for _, in := range []*instance{told, cl.entries[0]} {
		qt.Assert(t, in.shutdown(), qt.IsNil)
	}
	qt.Assert(t, os.RemoveAll(told.se.DataFolder), qt.IsNil)
	told.se.FirstStart = false
	for _, in := range []*instance{told, away, cl.entries[1]} {
		cl.start(in)
	}
	cl.checkNotAsked(cl.entries[1], leaving)
}
