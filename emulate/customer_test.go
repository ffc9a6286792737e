package emulate

import (
	"bytes"
	"context"
	"io/fs"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwinch.example/timer"
)

// syncBuffer is a buffer that several goroutines may write to.
type syncBuffer struct {
	mu sync.Mutex
	bu bytes.Buffer
}

func (sb *syncBuffer) Write(data []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.bu.Write(data)
}

func (sb *syncBuffer) String() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.bu.String()
}

// eventRecorder records the requests that backend servers receive.
type eventRecorder struct {
	mu  sync.Mutex
	evs []ServerEvent
}

func (er *eventRecorder) record(ev ServerEvent) {
	er.mu.Lock()
	defer er.mu.Unlock()
	if ev.Kind == EventRequestReceived {
		er.evs = append(er.evs, ev)
	}
}

func (er *eventRecorder) take() []ServerEvent {
	er.mu.Lock()
	defer er.mu.Unlock()
	out := er.evs
	er.evs = nil
	return out
}

// A tier with customers, from the operator's configuration to the backend servers: it must
// reject requests without a key, replace keys by names, follow versions that add and remove
// keys, and reject a version in which two customers share a key. No key may appear in a log
// line, and the files that hold keys may be read by the owner alone.
func TestLocalTierWithCustomers(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	var logs syncBuffer
	lg := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&logs), zap.DebugLevel))
	ts := timer.New()
	folder := t.TempDir()
	lo, err := StartLocalTier(ctx, LocalConfig{Entries: 2, Controls: 3, DataCentres: []string{"x", "y"}, Folder: folder, StopTimeout: 2 * time.Second}, ts, lg)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(lo.Close(), qt.IsNil) }()
	var er eventRecorder
	var cfs []Config
	for _, id := range []string{"p1", "p2", "q1", "q2"} {
		cfs = append(cfs, Config{ID: id, Service: id[:1], DataCentre: "x", Slots: 2, Queue: 2, Connections: 100, Records: 3, OnEvent: er.record})
	}
	ss, err := StartServers(cfs, lo.ControlAddresses(), ts, lg)
	c.Assert(err, qt.IsNil)
	defer ss.Close()
	ca := NewCaller()
	defer ca.Close()

	cf := testConfiguration(1)
	cf.Routes = append(cf.Routes, Route{Name: "open", Host: "a.example", Prefix: "/open/", Timeout: 5 * time.Second, Service: "p", Public: true})
	cf.Customers = []Customer{{Name: "linda", Keys: []string{"sk-1", "sk-2"}, Rate: 100, Burst: 10}, {Name: "otter", Keys: []string{"sk-3"}, HasPriority: true}}
	c.Assert(lo.Configure(ctx, cf), qt.IsNil)

	// await sends a request to every entry instance until its status is the given one.
	requests := 0
	await := func(path, key string, status int) {
		t.Helper()
		for _, address := range lo.CallerAddresses() {
			for {
				requests++
				res, err := ca.Send(ctx, address, Request{ID: strconv.Itoa(requests), Host: "a.example", Path: path, Timeout: 5 * time.Second, Key: key})
				if err == nil && res.Status == status {
					break
				}
				c.Assert(ts.Sleep(ctx, pollInterval), qt.IsNil, qt.Commentf("status %d, %v", res.Status, err))
			}
		}
	}
	received := func(customer string) {
		t.Helper()
		evs := er.take()
		c.Assert(len(evs) > 0, qt.IsTrue)
		for _, ev := range evs {
			c.Check(ev.Customer, qt.Equals, customer)
			c.Check(ev.HasKey, qt.IsFalse)
		}
	}
	await("/all/x", "sk-1", http.StatusOK)
	await("/one/x", "sk-2", http.StatusOK)
	received("linda")
	await("/all/x", "sk-3", http.StatusOK)
	received("otter")
	await("/open/x", "sk-9", http.StatusOK)
	received("")
	await("/all/x", "", http.StatusUnauthorized)
	await("/one/x", "sk-9", http.StatusUnauthorized)
	c.Assert(er.take(), qt.HasLen, 0)

	cf.Version, cf.Customers[0].Keys = 2, []string{"sk-2", "sk-4"}
	c.Assert(lo.Configure(ctx, cf), qt.IsNil)
	await("/one/x", "sk-1", http.StatusUnauthorized)
	await("/one/x", "sk-4", http.StatusOK)
	await("/one/x", "sk-2", http.StatusOK)

	cf.Version, cf.Customers = 3, append(cf.Customers, Customer{Name: "heron", Keys: []string{"sk-4"}})
	err = lo.Configure(ctx, cf)
	c.Assert(err, qt.ErrorMatches, `(?s).*customer.*heron.*Keys: .*linda.*`)
	c.Assert(strings.Contains(err.Error(), "sk-"), qt.IsFalse)

	c.Assert(strings.Contains(logs.String(), "request-failed"), qt.IsTrue)
	c.Assert(strings.Contains(logs.String(), "sk-"), qt.IsFalse)
	checkModes(c, folder)
}

// checkModes fails the test unless all files and folders below a folder can be read by
// their owner alone, and some file exists.
func checkModes(c *qt.C, folder string) {
	files := 0
	c.Assert(filepath.WalkDir(folder, func(path string, de fs.DirEntry, err error) error {
		c.Assert(err, qt.IsNil)
		if path == folder {
			return nil
		}
		in, err := de.Info()
		c.Assert(err, qt.IsNil)
		want := fs.FileMode(0o600)
		if de.IsDir() {
			want = 0o700
		} else {
			files++
		}
		c.Check(in.Mode().Perm(), qt.Equals, want, qt.Commentf(path))
		return nil
	}), qt.IsNil)
	c.Assert(files > 0, qt.IsTrue)
}

// The emulated dialect must distinguish no list of customers from an empty one, as the
// platform does, and must not show a key that stands in the wrong place.
func TestParseCustomers(t *testing.T) {
	c := qt.New(t)
	cf := testConfiguration(1)
	parsed := func() bool {
		tb, err := parseTable(cf.Encode())
		c.Assert(err, qt.IsNil)
		return tb.Customers() != nil
	}
	c.Check(parsed(), qt.IsFalse)
	cf.Customers = []Customer{}
	c.Check(parsed(), qt.IsTrue)
	cf.Customers = []Customer{{Name: "linda"}}
	c.Check(parsed(), qt.IsTrue)

	for _, list := range []string{
		`[{Name: linda, Keys: sk-1}]`, `[{Name: linda, Keys: [[sk-1]]}]`, `[{Name: linda, Priority: sk-1}]`, `[{Name: linda, Rate: sk-1}]`,
		`[sk-1]`, `sk-1`, `[{Name: linda, Keys: [sk-1]}, {Name: otter, Keys: [sk-1]}]`, `[{Name: linda, Rate: -1, Keys: [sk-1]}]`,
	} {
		_, err := parseTable([]byte("Version: 1\nCustomers: " + list))
		c.Assert(err, qt.ErrorMatches, `(?is).*customer.*`, qt.Commentf(list))
		c.Check(strings.Contains(err.Error(), "sk-"), qt.IsFalse, qt.Commentf("%s", err))
	}
}
