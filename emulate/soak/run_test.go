package soak

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/emulate"
	"balsamwinch.example/timer"
)

// shipped are the soak files of the repository.
var shipped = []string{"../../experiments/routed/soak.yaml", "../../experiments/routed/soak-grown.yaml"}

// instanceVariable makes this test program run one instance instead of the tests.
const instanceVariable = "SOAK_TEST_INSTANCE"

func TestMain(m *testing.M) {
	if os.Getenv(instanceVariable) != "" {
		if err := emulate.ServeInstance(context.Background(), os.Stdin, zap.NewNop()); err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Runs the shipped soak on a small tier for a short time, with short faults: no check
// fails, each request is counted once, and all drawn faults are injected.
func TestShippedSoak(t *testing.T) {
	t.Setenv(instanceVariable, "1")
	cf, err := Read(shipped[0])
	qt.Assert(t, err, qt.IsNil)
	cf.Seed = 5
	cf.Tier.Entries, cf.Servers.Shards, cf.Servers.Replicas, cf.PlainServices = 2, 2, 2, 2
	cf.Merged.Rate, cf.Plain.Rate, cf.Once.Rate = 40, 30, 30
	cf.Length, cf.Quiet = 2500*time.Millisecond, 200*time.Millisecond
	cf.Faults.Every, cf.Faults.Least, cf.Faults.Most = 60*time.Millisecond, 50*time.Millisecond, 400*time.Millisecond
	cf.Faults.Weights[EntryKill] = 6
	// On a loaded machine an arrival may be recorded long after it was sent.
	cf.Checks.DrainSlack = 30 * time.Second
	program, err := os.Executable()
	qt.Assert(t, err, qt.IsNil)
	re, err := Run(t.Context(), cf, Program{Command: []string{program}}, timer.New(), zap.NewNop())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, re.NumViolations(), qt.Equals, 0, qt.Commentf("seed %d: %v", re.Seed, re.Breaches))
	qt.Assert(t, re.Problems, qt.HasLen, 0)
	evaluated := make(map[Check]int)
	for _, ta := range re.Checks {
		evaluated[ta.Check] = ta.Looked
	}
	for _, ck := range []Check{CheckStamp, CheckShards, CheckDuplicateParts, CheckPartCount, CheckRecords, CheckOnce, CheckVersion, CheckAccepted, CheckConnections} {
		qt.Check(t, evaluated[ck] > 0, qt.IsTrue, qt.Commentf("%s", ck))
	}
	for _, gr := range re.Groups {
		qt.Check(t, gr.Whole+gr.Partial+gr.Refused+gr.Failed+gr.Silent, qt.Equals, gr.Requests, qt.Commentf("%+v", gr))
		qt.Check(t, gr.Whole > 0, qt.IsTrue, qt.Commentf("%+v", gr))
	}
	qt.Check(t, len(re.Faults) > 5, qt.IsTrue, qt.Commentf("%v", re.Faults))
	for _, fc := range re.Faults {
		qt.Check(t, fc.Played, qt.Equals, fc.Drawn, qt.Commentf("%s", fc.Kind))
	}
	var out bytes.Buffer
	qt.Assert(t, re.WriteTable(&out), qt.IsNil)
	t.Log(out.String())
}

func TestParseRejectsInvalidFile(t *testing.T) {
	data, err := os.ReadFile(shipped[0])
	qt.Assert(t, err, qt.IsNil)
	tests := []struct{ old, repl, want string }{
		{"Shards: 6", "Shards: 0", "Shards"},
		{"EntryKill: 3", "EntryKilled: 3", "EntryKilled"},
		{"EntryKill: 3", "EntryKill: -3", "EntryKill"},
		{"Length: 60s", "Length: 2s", "Length"},
		{"Most: 4s", "Most: 1ms", "Most"},
		{"PlainServices: 4", "PlainServices: 1", "PlainServices"},
		{"Seed: 1", "Seeds: 1", "Seeds"},
	}
	for _, tt := range tests {
		text := strings.Replace(string(data), tt.old, tt.repl, 1)
		qt.Assert(t, text != string(data), qt.IsTrue, qt.Commentf("%s", tt.old))
		_, err := Parse("soak.yaml", []byte(text))
		qt.Check(t, err, qt.ErrorMatches, "(?s).*"+tt.want+".*")
	}
}
