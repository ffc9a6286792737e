package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	fi, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: fi, start: time.Now()}, nil
}

func (re *record) note(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fmt.Fprintf(re.file, "%8.3f s  %s\n", time.Since(re.start).Seconds(), fmt.Sprintf(format, args...))
}

func (re *record) close() { _ = re.file.Close() }
