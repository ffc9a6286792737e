package leaf

import (
	"maps"
	"sync"

	"balsamwinch.example/backend"
)

// Counts is what a Leaf has seen since its start.
type Counts struct {
	Requests int                       // Requests counts the query requests that arrived.
	Replies  map[backend.ReplyCode]int // Replies counts the replies by code.
	Executed map[string]int            // Executed counts, for each key of a not-repeatable request, how often it was begun.
	RanTwice int                       // RanTwice counts the keys that were begun more than once.

	Running          int // Running counts the requests in slots.
	PeakRunning      int
	Queued           int // Queued counts the requests that wait for a slot.
	Cancels          int // Cancels counts the Cancel requests.
	Stopped          int // Stopped counts the requests that were cancelled, lost their connection or passed their deadline while in a slot.
	RunningAfterStop int // RunningAfterStop counts those of them that still hold their slot.

	Connections        int // Connections counts the open connections, silent ones included.
	PeakConnections    int
	Accepted           int // Accepted counts the connections ever accepted.
	OverLimit          int // OverLimit counts the connections refused because of the limit.
	SilentConnections  int // SilentConnections counts the open connections that went silent.
	RefusedAfterNotice int // RefusedAfterNotice counts the requests that came while draining.

	Announced        int // Announced counts the announcements that an instance took.
	FailedToAnnounce int // FailedToAnnounce counts the others.
}

// tally guards a Counts.
type tally struct {
	mu sync.Mutex
	co Counts
}

func newTally() *tally {
	return &tally{co: Counts{Replies: make(map[backend.ReplyCode]int), Executed: make(map[string]int)}}
}

// change applies fn to the counts.
func (tl *tally) change(fn func(co *Counts)) {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	fn(&tl.co)
}

// counts returns a copy.
func (tl *tally) counts() Counts {
	tl.mu.Lock()
	defer tl.mu.Unlock()
	co := tl.co
	co.Replies = maps.Clone(co.Replies)
	co.Executed = maps.Clone(co.Executed)
	return co
}

func (co *Counts) begin(key string) {
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

func (co *Counts) accept() {
	co.Accepted++
	co.Connections++
	co.PeakConnections = max(co.PeakConnections, co.Connections)
}
