package tier_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/timer"
	"balsamwinch.example/trail"
)

// logSink collects an instance's log. While it is blocked, writes wait.
type logSink struct {
	mu      sync.Mutex
	text    strings.Builder
	blocked chan struct{} // writes wait until it is closed; nil if not blocked
}

// Write appends log lines.
func (ls *logSink) Write(data []byte) (int, error) {
	if ls.blocked != nil {
		<-ls.blocked
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.text.Write(data)
}

// take returns what was written since the last call.
func (ls *logSink) take() string {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	defer ls.text.Reset()
	return ls.text.String()
}

// newSingleControlCluster returns a tier of one control instance that logs to the sink.
func newSingleControlCluster(t *testing.T, ls *logSink, cf trail.Config) (*cluster, *instance) {
	cl := newCluster(t, 1, 0, func(in *instance) {
		in.se.Losses = 0
		in.lg, _ = trail.New(ls, cf, timer.New())
	})
	return cl, cl.controls[0]
}

// Guards against a power loss right after an operator's change was accepted or the newest
// configuration was read: the log must already name the version then. The batch delay of
// the log here is so long that no line is written by it.
func TestAcknowledgedChangeIsLogged(t *testing.T) {
	ls := &logSink{}
	cl, co := newSingleControlCluster(t, ls, trail.Config{BatchDelay: time.Hour, SyncTimeout: awaitTimeout})
	for _, version := range []int{3, 5} {
		cl.configure(config(version, "s1", "/first/"), co)
		qt.Assert(t, ls.take(), qt.Matches, fmt.Sprintf(`(?s).*"Event":"configuration-asked","Version":%d,"Bytes":\d+,"Accepted":true,.*`, version))
	}
	cl.readConfiguration(co)
	qt.Assert(t, ls.take(), qt.Matches, `(?s).*"Event":"configuration-read","Version":5\}.*`)
}

// Guards against a stalled log: while writes to it block for good, operators must be
// answered, and the instance must stop when told to.
func TestStalledLogDoesNotBlockOperators(t *testing.T) {
	ls := &logSink{blocked: make(chan struct{})}
	defer close(ls.blocked)
	cl, co := newSingleControlCluster(t, ls, trail.Config{})
	for version := 1; version <= 5; version++ {
		data := config(version, "s1", "/first/")
		cl.configure(data, co)
		qt.Assert(t, string(cl.readConfiguration(co)), qt.Equals, string(data))
	}
	status, _ := cl.call(http.MethodPut, co.se.Listen.Control, "/config", []byte("{"))
	qt.Assert(t, status, qt.Equals, http.StatusBadRequest)
	qt.Assert(t, co.shutdown(), qt.IsNil)
	qt.Assert(t, ls.take(), qt.Equals, "")
}

// Guards against an outage without log lines: while callers look up addresses and no
// entry instance is ready, because none has a link yet or none has a configuration, the
// control instance must log that, and stop once a look-up gets an address.
func TestLookUpsWithoutAddressAreLogged(t *testing.T) {
	ls := &logSink{}
	cl := newCluster(t, 1, 1, func(in *instance) {
		in.se.Losses = 0
		if in.se.Control() {
			in.lg, _ = trail.New(ls, trail.Config{}, timer.New())
		}
	})
	co, text := cl.controls[0], ""
	cl.await("a line about look-ups", func() bool {
		qt.Assert(t, cl.resolve(co, "north"), qt.HasLen, 0)
		text += ls.take()
		return strings.Contains(text, `"Entries":1,"Starting":1,"Draining":0}`)
	})
	qt.Assert(t, text, qt.Matches, `(?s).*"Level":"warn","Time":"[^"]+","Event":"look-ups-without-address","Count":\d+,"LookUps":\d+,"Entries":.*`)
	cl.configure(config(3, "s1", "/first/"), co)
	cl.awaitResolved(co, cl.entries[0])
}
