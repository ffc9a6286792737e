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

// logReader is the reader of an instance's log. While it is held, writes wait.
type logReader struct {
	mu   sync.Mutex
	text strings.Builder
	held chan struct{} // held makes writes wait until it is closed; nil for none.
}

// Write notes lines.
func (lr *logReader) Write(data []byte) (int, error) {
	if lr.held != nil {
		<-lr.held
	}
	lr.mu.Lock()
	defer lr.mu.Unlock()
	return lr.text.Write(data)
}

// take returns what was written since the last time.
func (lr *logReader) take() string {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	defer lr.text.Reset()
	return lr.text.String()
}

// alone returns a tier of one control instance with the log.
func alone(t *testing.T, lr *logReader, cf trail.Config) (*world, *instance) {
	wd := newWorld(t, 1, 0, func(in *instance) {
		in.se.Losses = 0
		in.lg, _ = trail.New(lr, cf, timer.New())
	})
	return wd, wd.controls[0]
}

// All instances lose power right after an operator was told that a change is
// accepted, or shown the newest one. Which change that was must be in the log by
// then; here no line is written for waiting long enough.
func TestAcknowledgedIsInLog(t *testing.T) {
	lr := &logReader{}
	wd, co := alone(t, lr, trail.Config{BatchDelay: time.Hour, AtOnceWithin: patience})
	for _, version := range []int{3, 5} {
		wd.configure(config(version, "s1", "/first/"), co)
		qt.Assert(t, lr.take(), qt.Matches, fmt.Sprintf(`(?s).*"Event":"configuration-asked","Version":%d,"Bytes":\d+,"Accepted":true,.*`, version))
	}
	wd.newest(co)
	qt.Assert(t, lr.take(), qt.Matches, `(?s).*"Event":"configuration-read","Version":5\}.*`)
}

// Whoever reads the log of a control instance has stopped for good. Operators are
// answered all the same, and the instance ends when it is told to.
func TestAcknowledgedWithStalledLog(t *testing.T) {
	lr := &logReader{held: make(chan struct{})}
	defer close(lr.held)
	wd, co := alone(t, lr, trail.Config{})
	for version := 1; version <= 5; version++ {
		data := config(version, "s1", "/first/")
		wd.configure(data, co)
		qt.Assert(t, string(wd.newest(co)), qt.Equals, string(data))
	}
	status, _ := wd.call(http.MethodPut, co.se.Listen.Control, "/config", []byte("{"))
	qt.Assert(t, status, qt.Equals, http.StatusBadRequest)
	qt.Assert(t, co.end(), qt.IsNil)
	qt.Assert(t, lr.take(), qt.Equals, "")
}

// Callers ask where to connect while no entry instance can serve them: before the
// first has linked, and while it waits for a configuration. The control instance
// that they ask says so in its log, and no more once it has an answer.
func TestLookUpsInLog(t *testing.T) {
	lr := &logReader{}
	wd := newWorld(t, 1, 1, func(in *instance) {
		in.se.Losses = 0
		if in.se.Control() {
			in.lg, _ = trail.New(lr, trail.Config{}, timer.New())
		}
	})
	co, text := wd.controls[0], ""
	wd.await("a line about look-ups", func() bool {
		qt.Assert(t, wd.resolve(co, "north"), qt.HasLen, 0)
		text += lr.take()
		return strings.Contains(text, `"Entries":1,"Starting":1,"Draining":0}`)
	})
	qt.Assert(t, text, qt.Matches, `(?s).*"Level":"warn","Time":"[^"]+","Event":"look-ups-without-address","Count":\d+,"LookUps":\d+,"Entries":.*`)
	wd.configure(config(3, "s1", "/first/"), co)
	wd.resolved(co, wd.entries[0])
}
