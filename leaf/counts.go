package leaf

import (
	"maps"
	"sync"

	"balsamwinch.example/backend"
)

// Counts are the counters of a Leaf since its start.
type Counts struct {
	Requests int                       // query requests received
	Replies  map[backend.ReplyCode]int // replies by code
	Executed map[string]int            // executions started, by the key of a non-repeatable request
	RanTwice int                       // keys whose execution was started more than once

	Running          int // requests in slots
	PeakRunning      int
	Queued           int // requests that wait for a slot
	Cancels          int // Cancel requests received
	Stopped          int // requests that were cancelled, lost their connection or passed their deadline while in a slot
	RunningAfterStop int // stopped requests that still hold their slot

	Connections        int // open connections, including silent ones
	PeakConnections    int
	Accepted           int // connections accepted since the start
	OverLimit          int // connections closed because of the limit
	SilentConnections  int // open connections that went silent
	LastSilenced       int // connections that the last fault Silent made silent
	RefusedAfterNotice int // requests that arrived while draining

	Announced        int // announcements that an instance accepted
	FailedToAnnounce int // announcements that failed or were rejected
}

// tally is a Counts guarded by a mutex.
type tally struct {
	mu sync.Mutex
	co Counts
}

func newTally() *tally {
	return &tally{co: Counts{Replies: make(map[backend.ReplyCode]int), Executed: make(map[string]int)}}
}

// update calls fn on the counts.
func (tl *tally) update(fn func(co *Counts)) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	fn(&tl.co)
}

// counts returns a copy of the counts.
func (tl *tally) counts() Counts {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	co := tl.co
	co.Replies = maps.Clone(co.Replies)
	co.Executed = maps.Clone(co.Executed)
	return co
}

func (co *Counts) countStart(key string) {
	co.Running++
	co.PeakRunning = max(co.PeakRunning, co.Running)
	if key == "" {
		return
	}
	co.Executed[key]++
	if co.Executed[key] == 2 {
		co.RanTwice++
	}
}

func (co *Counts) countAccept() {
	co.Accepted++
	co.Connections++
	co.PeakConnections = max(co.PeakConnections, co.Connections)
}
