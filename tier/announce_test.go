package tier_test

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// invalidCall is a call of a writer that is no backend server.
type invalidCall struct{ method, id, body string }

const invalidBody = `{"service":"s1","address":"127.0.0.1:9","zone":"north","version":"v1","max_concurrency":4,"state":"ready","warmup_left_ms":0,"seq":1}`

// invalidCalls are calls whose texts or numbers can't be used.
func invalidCalls() []invalidCall {
	long := strings.Repeat("x", 12<<10)
	return []invalidCall{
		{http.MethodPut, "i-%ff", invalidBody},
		{http.MethodPut, "i-%c3%28", strings.Replace(invalidBody, "ready", "draining", 1)},
		{http.MethodPut, "i-%0d%0aX:%20y", invalidBody},
		{http.MethodPut, "i-%00", invalidBody},
		{http.MethodPut, "i-" + long, invalidBody},
		{http.MethodPut, "i-version", strings.Replace(invalidBody, `"v1"`, `"`+strings.Repeat(long, 20)+`"`, 1)},
		{http.MethodPut, "i-zone", strings.Replace(invalidBody, `"north"`, `"a\r\nb"`, 1)},
		{http.MethodPut, "i-slots", strings.Replace(invalidBody, `:4,`, `:9223372036854775807,`, 1)},
		{http.MethodPut, "i-warm-up", strings.Replace(invalidBody, `:0,`, `:9223372036854775807,`, 1)},
		{http.MethodDelete, "i-%fe", ""},
		{http.MethodDelete, "i-" + long, ""},
	}
}

// sendInvalidCalls sends each call to all control instances.
func (cl *cluster) sendInvalidCalls() {
	for _, ic := range invalidCalls() {
		for _, co := range cl.controls {
			cl.call(ic.method, co.se.Listen.Control, "/instances/"+ic.id, []byte(ic.body))
		}
	}
}

// startInvalidCalls sends the calls once, and then again and again until the test ends.
func (cl *cluster) startInvalidCalls() {
	cl.sendInvalidCalls()
	ctx, cancel := context.WithCancel(cl.ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		tk := time.NewTicker(announceInterval / 2)
		defer tk.Stop()
		for ctx.Err() == nil {
			cl.sendInvalidCalls()
			select {
			case <-tk.C:
			case <-ctx.Done():
			}
		}
	})
	cl.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// Guards against a request that another writer hides in the ID of an announcement: it would
// run at the address that the announcement names, though no caller sent it.
func TestInvalidIDSmugglesNoRequest(t *testing.T) {
	cl := newCluster(t, 3, 2)
	be := cl.startServers("s1", 1)[0]
	cl.configure(config(1, "s1", "/first/"), cl.controls...)
	for _, en := range cl.entries {
		cl.await("the backend server serves", func() bool { return cl.get(en, "/one/a").status == http.StatusOK })
	}
	id := "x\r\n\r\nGET /one/hidden HTTP/1.1\r\nHost: a.example\r\nBalsamwinch-Request-Id: hidden\r\nBalsamwinch-Expect-Instance: " + be.id
	announcement := strings.Replace(invalidBody, "127.0.0.1:9", be.hs.Listener.Addr().String(), 1)
	for _, co := range cl.controls {
		status, _ := cl.call(http.MethodPut, co.se.Listen.Control, "/instances/"+url.PathEscape(id), []byte(announcement))
		qt.Check(t, status, qt.Equals, http.StatusBadRequest)
	}
	for _, en := range cl.entries {
		before := be.runs.Load()
		for range 30 {
			cl.checkOne(cl.get(en, "/one/a"), "s1")
		}
		qt.Check(t, be.runs.Load()-before, qt.Equals, int64(30))
	}
}

// Guards against a text of one writer that ends the links of all: a configuration must come
// into force at each entry instance, also after a restart of the control instances.
func TestInvalidAnnouncementsKeepLinks(t *testing.T) {
	lines, logs := observer.New(zapcore.InfoLevel)
	cl := newCluster(t, 3, 2, func(in *instance) { in.lg = zap.New(lines) })
	for _, service := range []string{"s1", "s2", "p1", "p2", "p3"} {
		cl.startServers(service, 2)
	}
	cl.configure(config(1, "s1", "/first/"), cl.controls...)
	for _, en := range cl.entries {
		cl.awaitInForce(en, "s1", "/first/a", "")
		cl.awaitControlLinks(en)
	}
	logs.TakeAll()
	cl.startInvalidCalls()
	cl.configure(config(2, "s2", "/second/"), cl.controls...)
	for _, en := range cl.entries {
		cl.awaitInForce(en, "s2", "/second/a", "/first/a")
	}
	qt.Assert(t, logs.FilterMessage("control-link-down").All(), qt.HasLen, 0)
	for _, co := range cl.controls {
		qt.Assert(t, co.shutdown(), qt.IsNil)
		co.se.FirstStart = false
		cl.start(co)
	}
	cl.configure(config(3, "s1", "/third/"), cl.controls...)
	for _, en := range cl.entries {
		cl.awaitInForce(en, "s1", "/third/a", "/second/a")
		cl.awaitControlLinks(en)
	}
	qt.Assert(t, logs.FilterMessage("note-not-read").All(), qt.HasLen, 0)
}
