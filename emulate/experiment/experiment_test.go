package experiment

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/emulate"
	"balsamwinch.example/timer"
)

// routedFile is the experiment that the repository ships.
const routedFile = "../../experiments/routed/ten-shards.yaml"

func readRouted(t *testing.T) Experiment {
	ex, err := Read(routedFile)
	qt.Assert(t, err, qt.IsNil)
	return ex
}

// Runs the shipped experiment on a small tier for a short time: each request that was due
// is counted once, no response is wrong, and the backend servers count at least as many
// arrivals as they ran and rejected.
func TestShippedExperiment(t *testing.T) {
	ex := readRouted(t)
	ex.Tier.Entries, ex.Tier.Controls, ex.Servers.Shards, ex.Servers.Replicas = 2, 1, 3, 2
	ex.Warmup, ex.Block, ex.Length = 0, 500*time.Millisecond, 2*time.Second
	ex.Merged.Rate, ex.Plain.Rate = 40, 20
	re, err := Run(t.Context(), ex, timer.New(), zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, re.Wrong(), qt.Equals, 0, qt.Commentf("%v", re.Examples))
	qt.Assert(t, len(re.Lines), qt.Equals, 4)
	due := make(map[string]int)
	for _, me := range re.Lines {
		qt.Check(t, me.Whole+me.Partial+me.Refused+me.Failed+me.Silent, qt.Equals, me.Due, qt.Commentf("%+v", me))
		qt.Check(t, me.Whole > 0, qt.IsTrue, qt.Commentf("%+v", me))
		if first, ok := due[me.Group]; ok {
			qt.Check(t, me.Due, qt.Equals, first) // The arms get the same arrivals.
		}
		due[me.Group] = me.Due
	}
	for _, co := range re.Arms {
		qt.Check(t, co.Asked, qt.Equals, 3*due[groupMerged]+due[groupPlain])
		qt.Check(t, co.Ran+co.NotRun <= co.Arrived, qt.IsTrue, qt.Commentf("%+v", co))
	}
	var out bytes.Buffer
	qt.Assert(t, re.WriteTable(&out), qt.IsNil)
	qt.Assert(t, strings.Count(out.String(), "\n") > 10, qt.IsTrue)
}

// Each response is counted once, under the outcome that the caller can observe.
func TestResponseCountedOnce(t *testing.T) {
	expected := emulate.Expectation{
		Services: []string{"a", "b"}, Records: 1, TopK: 1,
		Service: func(id string) (string, bool) { return id[:1], id != "" },
	}
	req := emulate.Request{ID: "r", Path: "/x"}
	body := emulate.Records("a", "/x", 1)
	stamp := emulate.Stamp("a1", "r")
	tests := []struct {
		name string
		res  emulate.Response
		err  error
		of   func(*recorder) int
	}{
		{"partial", emulate.Response{Status: http.StatusOK, Body: body, Stamps: []string{stamp}, Missing: 1}, nil, func(rec *recorder) int { return rec.partial }},
		{"missing part not reported", emulate.Response{Status: http.StatusOK, Body: body, Stamps: []string{stamp}}, nil, func(rec *recorder) int { return rec.wrong }},
		{"duplicate part", emulate.Response{Status: http.StatusOK, Body: body, Stamps: []string{stamp, stamp}}, nil, func(rec *recorder) int { return rec.wrong }},
		{"wrong body", emulate.Response{Status: http.StatusOK, Body: body[1:], Stamps: []string{stamp}, Missing: 1}, nil, func(rec *recorder) int { return rec.wrong }},
		{"stamp of another request", emulate.Response{Status: http.StatusOK, Body: body, Stamps: []string{emulate.Stamp("a1", "q")}, Missing: 1}, nil, func(rec *recorder) int { return rec.wrong }},
		{"refused", emulate.Response{Status: http.StatusServiceUnavailable}, nil, func(rec *recorder) int { return rec.refused }},
		{"failed", emulate.Response{Status: http.StatusBadGateway}, nil, func(rec *recorder) int { return rec.failed }},
		{"silent", emulate.Response{}, errors.New("closed"), func(rec *recorder) int { return rec.silent }},
	}
	for _, tt := range tests {
		rec := newRecorder(expected, 1)
		rec.record(req, tt.res, tt.err, 0, time.Millisecond, 2*time.Millisecond)
		qt.Check(t, tt.of(rec), qt.Equals, 1, qt.Commentf("%s", tt.name))
		qt.Check(t, rec.whole+rec.partial+rec.refused+rec.failed+rec.silent+rec.wrong, qt.Equals, 1, qt.Commentf("%s", tt.name))
		qt.Check(t, rec.due, qt.Equals, 1)
	}
}

func TestParseRejectsInvalidFile(t *testing.T) {
	data, err := os.ReadFile(routedFile)
	qt.Assert(t, err, qt.IsNil)
	tests := []struct{ old, repl, want string }{
		{"Shards: 10", "Shards: 0", "Shards"},
		{"Name: single", "Name: hedged", "arm"},
		{"Block: 6s", "Block: 100s", "Length"},
		{"Timeout: 1s, Aim: 200ms, TopK: 10", "Aim: 200ms, TopK: 10", "Timeout"},
		{"Seed: 1", "Seeds: 1", "Seeds"},
	}
	for _, tt := range tests {
		text := strings.Replace(string(data), tt.old, tt.repl, 1)
		qt.Assert(t, text != string(data), qt.IsTrue, qt.Commentf("%s", tt.old))
		_, err := Parse("routed.yaml", []byte(text))
		qt.Check(t, err, qt.ErrorMatches, "(?s).*"+tt.want+".*")
	}
}
