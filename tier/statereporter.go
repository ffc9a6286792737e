package tier

import (
	"sync"

	"balsamwinch.example/feed"
)

// stateReporter reports the state of an entry instance to the control instances.
type stateReporter struct {
	report func(feed.EntryState)

	mu       sync.Mutex
	draining bool
}

// setReady reports that callers may come, unless the instance is draining.
//
// A configuration may arrive at the moment of a stop. The check and the report happen
// under one lock: otherwise draining could be reported in between, the last state
// reported would be ready, and callers would be sent to an instance that exits seconds
// later.
func (sr *stateReporter) setReady() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if !sr.draining {
		sr.report(feed.Ready)
	}
}

// drain reports that no further callers should come.
func (sr *stateReporter) drain() {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.draining = true
	sr.report(feed.Draining)
}

// isDraining reports whether drain was called.
func (sr *stateReporter) isDraining() bool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.draining
}
