package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/caller"
	"balsamwinch.example/fanout"
	"balsamwinch.example/load"
	"balsamwinch.example/result"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func checkGolden(c *qt.C, name string, got []byte) {
	c.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		c.Assert(os.WriteFile(path, got, 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, string(want))
}

// startFakeEntry starts a fake instance that answers every query with the code, and returns
// its address.
func startFakeEntry(t *testing.T, code result.Code) string {
	var sv *httptest.Server
	sv = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == caller.AddressesPath {
			address := strings.TrimPrefix(sv.URL, "http://")
			_ = json.NewEncoder(rw).Encode(caller.Addresses{Addresses: []string{address}, TTLMillis: 1000})
			return
		}
		an := fanout.Answer{RequestID: "q", Instance: "entry-01", Code: code, Covered: []string{"s01"}}
		an.Rows = []fanout.ShardRows{{Shard: "s01", Server: "archivo-1", Rows: []json.RawMessage{json.RawMessage(`{"Sheet":7}`)}}}
		if code != result.Complete {
			an.Missing = []fanout.MissingShard{{Shard: "s02", Reason: "Deadline"}}
			an.Detail, an.RetryAfterMillis = "1 of 2 shards missing", 40
		}
		rw.WriteHeader(code.Status())
		_ = json.NewEncoder(rw).Encode(an)
	}))
	t.Cleanup(sv.Close)
	return strings.TrimPrefix(sv.URL, "http://")
}

func TestCommandLine(t *testing.T) {
	complete, partial := startFakeEntry(t, result.Complete), startFakeEntry(t, result.Partial)
	for _, tt := range []struct {
		name string
		args string
		want int
	}{
		{"nothing", "", exitUsage},
		{"help", "help", exitOK},
		{"unknown", "fly", exitUsage},
		{"run-help", "run -h", exitOK},
		{"run-without-file", "run", exitUsage},
		{"run-missing-file", "run testdata/none.yaml", exitFailed},
		{"run-faulty-file", "run testdata/faulty.yaml", exitSettings},
		{"run-half-addresses", "run -callers 127.0.0.1:1 testdata/tiny.yaml", exitUsage},
		{"files-without-folder", "files testdata/tiny.yaml", exitUsage},
		{"soak-without-file", "soak", exitUsage},
		{"soak-missing-file", "soak testdata/none.yaml", exitFailed},
		{"soak-faulty-file", "soak testdata/faulty.yaml", exitSettings},
		{"soak-too-short", "soak -length 1s ../../experiments/routed/soak.yaml", exitUsage},
		{"once-complete", "once -callers " + complete + " archivo", exitOK},
		{"once-json", "once -json -callers " + complete + " archivo", exitOK},
		{"once-partial", "once -callers " + partial + " archivo", exitBroken},
		{"once-bad-query", "once -callers " + complete + " -query { archivo", exitUsage},
		{"once-no-callers", "once archivo", exitUsage},
		{"capacity-list", "capacity -list", exitOK},
		{"capacity", "capacity -runs 2 caller/addresses", exitOK},
		{"capacity-unknown", "capacity moon/phases", exitUsage},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var out, errOut bytes.Buffer
			code := run(context.Background(), strings.Fields(tt.args), &out, &errOut)
			c.Check(code, qt.Equals, tt.want)
			checkGolden(c, tt.name+".txt", append(out.Bytes(), errOut.Bytes()...))
		})
	}
}

func TestFilesWritesOperatorFiles(t *testing.T) {
	c := qt.New(t)
	folder := t.TempDir()
	var out, errOut bytes.Buffer
	c.Assert(run(t.Context(), []string{"files", "-out", folder, "testdata/tiny.yaml"}, &out, &errOut), qt.Equals, exitOK)
	paths, err := filepath.Glob(folder + "/*.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(paths, qt.HasLen, 3)
}

func TestVerdictExitCode(t *testing.T) {
	for _, tt := range []struct {
		re   load.Report
		want int
	}{
		{load.Report{}, exitOK},
		{load.Report{Promises: load.Promises{Keys: 5, RanTwice: 1}}, exitBroken},
		{load.Report{Promises: load.Promises{OverLimit: 1}, Dropped: 1}, exitBroken},
		{load.Report{Dropped: 1}, exitInvalid},
		{load.Report{Skipped: []string{"a kill"}}, exitInvalid},
	} {
		qt.Check(t, exitCode(verdict(tt.re), &bytes.Buffer{}), qt.Equals, tt.want)
	}
}

// Runs an experiment on a tier in this process, with two arms, a repartition, lost replies and
// the last instance killed. The report must have a line for each arm, phase and group, every
// fault must have been injected, and no promise may be broken.
func TestRunExperimentOnLocalTier(t *testing.T) {
	c := qt.New(t)
	var out, errOut bytes.Buffer
	code := run(t.Context(), []string{"run", "-json", "testdata/tiny.yaml"}, &out, &errOut)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s\n%s", &out, &errOut))
	var re load.Report
	c.Assert(json.Unmarshal(out.Bytes(), &re), qt.IsNil)
	c.Assert(re.Lines, qt.HasLen, 2*2*3)
	c.Assert(re.Promises.Ran > 0, qt.IsTrue)
	for _, li := range re.Lines {
		c.Assert(li.Queries > 0 && li.LeafSeen > 0, qt.IsTrue, qt.Commentf("%+v", li))
	}
}
