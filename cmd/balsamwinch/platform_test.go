package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"balsamwinch.example/result"
	"balsamwinch.example/trail"
)

// entrySettings are the settings of an entry instance without a control instance. The short
// StopWithin keeps the test fast.
const entrySettings = `
Name: entry-1
Address: 127.0.0.1
LinkPort: 1
Listen: {Callers: "127.0.0.1:0", Ready: "127.0.0.1:0"}
Metrics: "127.0.0.1:0"
Seeds: ["127.0.0.1:1"]
Timing: {StopWithin: 1s}
`

// logBuffer collects the log of an instance and calls onFirstWrite before it stores the first
// write.
type logBuffer struct {
	mu           sync.Mutex
	bu           bytes.Buffer
	once         sync.Once
	onFirstWrite func()
}

func (lb *logBuffer) Write(data []byte) (int, error) {
	lb.once.Do(lb.onFirstWrite)
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.bu.Write(data)
}

func settingsFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "entry.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// When an instance is stopped, the lines about the stop must be flushed before it exits,
// although their batch is not yet due.
func TestPlatformFlushesLogOnStop(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	lb := &logBuffer{onFirstWrite: stop}
	if err := runPlatform(ctx, []string{"-settings", settingsFile(t, entrySettings)}, lb, lb); err != nil {
		t.Fatal(err)
	}
	var events []string
	unread, err := trail.Scan(&lb.bu, func([]byte) bool { return true }, func(li trail.Line) bool {
		if li.Instance != "entry-1" {
			t.Errorf("line of instance %q", li.Instance)
		}
		events = append(events, li.Event)
		return true
	})
	if err != nil || unread > 0 {
		t.Fatalf("%d lines could not be read: %v", unread, err)
	}
	if first, last := events[0], events[len(events)-1]; first != "instance-starting" || last != "instance-stopped" {
		t.Errorf("want the start first and the stop last, got %v", events)
	}
	if !slices.Contains(events, "instance-stopping") || slices.Contains(events, "metrics-not-served") {
		t.Errorf("want instance-stopping and not metrics-not-served, got %v", events)
	}
}

func TestPlatformRejectsInvalidSettings(t *testing.T) {
	tests := []struct{ name, text string }{
		{"no name", strings.Replace(entrySettings, "Name: entry-1", "", 1)},
		{"metrics without port", strings.Replace(entrySettings, `Metrics: "127.0.0.1:0"`, `Metrics: "127.0.0.1"`, 1)},
	}
	for _, tt := range tests {
		var bu bytes.Buffer
		err := runPlatform(t.Context(), []string{"-settings", settingsFile(t, tt.text)}, &bu, &bu)
		var re *result.Error
		if !errors.As(err, &re) || re.Code != result.BadSettings {
			t.Errorf("%s: want BadSettings, got %v", tt.name, err)
		}
		if bu.Len() > 0 {
			t.Errorf("%s: want no line, got %s", tt.name, bu.String())
		}
	}
}
