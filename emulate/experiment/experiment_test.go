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

// The shipped experiment is run on a small tier for a moment: every request that
// was due is accounted for once, none is answered wrongly, and the backend servers
// counted at least one arrival for each part that came.
func TestRun(t *testing.T) {
	ex := readRouted(t)
	ex.Tier.Entries, ex.Tier.Controls, ex.Servers.Shards, ex.Servers.Replicas = 2, 1, 3, 2
	ex.Warmup, ex.Block, ex.Length = 0, 500*time.Millisecond, 2*time.Second
	ex.Merged.Rate, ex.Plain.Rate = 40, 20
	re, err := Run(t.Context(), ex, timer.New(), zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, re.Wrong(), qt.Equals, 0, qt.Commentf("%v", re.Examples))
	qt.Assert(t, len(re.Lines), qt.Equals, 4)
	due := make(map[string]int)
	for _, li := range re.Lines {
		qt.Check(t, li.Whole+li.Partial+li.Refused+li.Failed+li.Silent, qt.Equals, li.Due, qt.Commentf("%+v", li))
		qt.Check(t, li.Whole > 0, qt.IsTrue, qt.Commentf("%+v", li))
		if first, ok := due[li.Group]; ok {
			qt.Check(t, li.Due, qt.Equals, first) // The arms get the same arrivals.
		}
		due[li.Group] = li.Due
	}
	for _, co := range re.Arms {
		qt.Check(t, co.Asked, qt.Equals, 3*due[groupMerged]+due[groupPlain])
		qt.Check(t, co.Ran+co.NotRun <= co.Arrived, qt.IsTrue, qt.Commentf("%+v", co))
	}
	var out bytes.Buffer
	qt.Assert(t, re.WriteTable(&out), qt.IsNil)
	qt.Assert(t, strings.Count(out.String(), "\n") > 10, qt.IsTrue)
}

// An answer counts once, under what the caller can tell of it.
func TestNote(t *testing.T) {
	expect := emulate.Expectation{
		Services: []string{"a", "b"}, Records: 1, TopK: 1,
		Service: func(id string) (string, bool) { return id[:1], id != "" },
	}
	qu := emulate.Request{ID: "r", Path: "/x"}
	one := emulate.Records("a", "/x", 1)
	stamp := emulate.Stamp("a1", "r")
	tests := []struct {
		name string
		an   emulate.Response
		err  error
		of   func(*cell) int
	}{
		{"partial", emulate.Response{Status: http.StatusOK, Body: one, Stamps: []string{stamp}, Missing: 1}, nil, func(ce *cell) int { return ce.partial }},
		{"missing untold", emulate.Response{Status: http.StatusOK, Body: one, Stamps: []string{stamp}}, nil, func(ce *cell) int { return ce.wrong }},
		{"part twice", emulate.Response{Status: http.StatusOK, Body: one, Stamps: []string{stamp, stamp}}, nil, func(ce *cell) int { return ce.wrong }},
		{"other body", emulate.Response{Status: http.StatusOK, Body: one[1:], Stamps: []string{stamp}, Missing: 1}, nil, func(ce *cell) int { return ce.wrong }},
		{"stamp of another", emulate.Response{Status: http.StatusOK, Body: one, Stamps: []string{emulate.Stamp("a1", "q")}, Missing: 1}, nil, func(ce *cell) int { return ce.wrong }},
		{"refused", emulate.Response{Status: http.StatusServiceUnavailable}, nil, func(ce *cell) int { return ce.refused }},
		{"failed", emulate.Response{Status: http.StatusBadGateway}, nil, func(ce *cell) int { return ce.failed }},
		{"silent", emulate.Response{}, errors.New("closed"), func(ce *cell) int { return ce.silent }},
	}
	for _, tt := range tests {
		ce := newCell(expect, 1)
		ce.note(qu, tt.an, tt.err, 0, time.Millisecond, 2*time.Millisecond)
		qt.Check(t, tt.of(ce), qt.Equals, 1, qt.Commentf("%s", tt.name))
		qt.Check(t, ce.whole+ce.partial+ce.refused+ce.failed+ce.silent+ce.wrong, qt.Equals, 1, qt.Commentf("%s", tt.name))
		qt.Check(t, ce.due, qt.Equals, 1)
	}
}

func TestParse(t *testing.T) {
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
