package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	start time.Time

	mu sync.Mutex
	fi *os.File
}

func newRecord(name string) (*record, error) {
	fi, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), fi: fi}, nil
}

// add writes a line with the time since the start of the case in seconds.
func (rc *record) add(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, _ = fmt.Fprintf(rc.fi, "%8.3f %s\n", time.Since(rc.start).Seconds(), fmt.Sprintf(format, args...))
}

func (rc *record) close() { _ = rc.fi.Close() }
