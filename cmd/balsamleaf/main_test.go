package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"balsamwinch.example/backend"
)

var update = flag.Bool("update", false, "rewrite the expected output in the scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"balsamleaf": func() {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
	}})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", UpdateScripts: *update})
}

const settingsFile = `
Server: quote-desk-a1
Service: quote-desk
DataCentre: miraflores
Address: 127.0.0.1:0
Shards: [a]
DrainFor: 1ms
`

// On SIGTERM a backend server must announce that it drains and then that it has left, and exit
// without an error.
func TestSIGTERMAnnouncesDrainingAndLeft(t *testing.T) {
	c := qt.New(t)
	states := make(chan backend.State, 100)
	instance := httptest.NewServer(backend.NewAnnounceHandler(func(re backend.Record) backend.AnnounceReply {
		states <- re.State
		return backend.AnnounceReply{RepeatMillis: 3_600_000}
	}, zap.NewNop()))
	defer instance.Close()
	fi := filepath.Join(c.TempDir(), "leaf.yaml")
	c.Assert(os.WriteFile(fi, []byte(settingsFile), 0o644), qt.IsNil)
	cm := exec.Command("balsamleaf", "-settings", fi, "-announce", strings.TrimPrefix(instance.URL, "http://"))
	out, err := cm.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(cm.Start(), qt.IsNil)
	line, err := bufio.NewReader(out).ReadBytes('\n')
	c.Assert(err, qt.IsNil)
	var st started
	c.Assert(json.Unmarshal(line, &st), qt.IsNil)
	c.Check(st.Server, qt.Equals, "quote-desk-a1")
	c.Check(<-states, qt.Equals, backend.Serving)
	c.Assert(cm.Process.Signal(syscall.SIGTERM), qt.IsNil)
	for last := backend.Serving; last != backend.Left; {
		next := <-states
		c.Check([]backend.State{backend.Draining, backend.Left}, qt.Contains, next)
		last = next
	}
	c.Check(cm.Wait(), qt.IsNil)
}
