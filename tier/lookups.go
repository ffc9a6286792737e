package tier

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/feed"
	"balsamwinch.example/timer"
)

// lookUpLogInterval is the time that one log line about look-ups covers.
const lookUpLogInterval = time.Second

// lookUps logs address look-ups of callers that got no address. Such a caller sends no
// request, so no entry instance logs anything about it: without these lines, the log of
// an outage in which nobody was served would be empty. There is at most one line a
// second, however many callers look up.
type lookUps struct {
	ts *timer.Service
	lg *zap.Logger

	mu         sync.Mutex
	linked     map[string]*linkedEntry // entry instances with a link to this instance, by name
	lastReady  []feed.Entry            // list passed to the latest updateReady
	numLookUps int                     // look-ups since the last log interval
	numEmpty   int                     // those of numLookUps that got no address
	counts     entryCounts             // entry instances at the first of numEmpty
}

// linkedEntry is an entry instance with one or more links to this control instance.
type linkedEntry struct {
	links    int
	wasReady bool // whether it has been ready, on this link or before
}

// entryCounts holds the number of known entry instances in each state while none of them
// is ready.
type entryCounts struct {
	starting, draining int
}

func newLookUps(ts *timer.Service, lg *zap.Logger) *lookUps {
	return &lookUps{ts: ts, lg: lg, linked: make(map[string]*linkedEntry)}
}

// linkOpened records that an entry instance opened a link. An instance that is still
// starting was not ready before.
func (lu *lookUps) linkOpened(name string, state feed.EntryState) {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	le, ok := lu.linked[name]
	if !ok {
		le = &linkedEntry{}
		lu.linked[name] = le
	}
	le.links++
	le.wasReady = state != feed.Starting
	lu.lastReady = nil // So that the next updateReady doesn't skip the list, which may name this instance.
}

// linkClosed records that a link of an entry instance ended.
func (lu *lookUps) linkClosed(name string) {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	le := lu.linked[name]
	le.links--
	if le.links == 0 {
		delete(lu.linked, name)
	}
}

// record records a look-up, which got the addresses of the ready instances.
func (lu *lookUps) record(ready []feed.Entry) {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	lu.updateReady(ready)
	lu.numLookUps++
	if len(ready) > 0 {
		return
	}
	if lu.numEmpty == 0 {
		lu.counts = lu.countEntries()
	}
	lu.numEmpty++
}

// updateReady records which instances are ready. The publisher replaces the list on every
// change, so the same list again is skipped.
func (lu *lookUps) updateReady(ready []feed.Entry) {
	if len(ready) == len(lu.lastReady) && (len(ready) == 0 || &ready[0] == &lu.lastReady[0]) {
		return
	}
	lu.lastReady = ready
	for _, en := range ready {
		if le, ok := lu.linked[en.Name]; ok {
			le.wasReady = true
		}
	}
}

// countEntries counts the linked instances while none is ready. An instance that was
// ready counts as draining, since none becomes ready a second time. An instance that was
// ready only between two calls of updateReady counts as starting.
func (lu *lookUps) countEntries() entryCounts {
	var st entryCounts
	for _, le := range lu.linked {
		if le.wasReady {
			st.draining++
		} else {
			st.starting++
		}
	}
	return st
}

// serve logs a line for each interval until the context ends, and then one for the last
// interval.
func (lu *lookUps) serve(ctx context.Context, ready func() []feed.Entry) error {
	su := lu.ts.Subscribe(lookUpLogInterval)
	defer su.Stop()
	for {
		select {
		case <-ctx.Done():
			lu.logSummary(ready())
			return ctx.Err()
		case <-su.C:
			lu.logSummary(ready())
		}
	}
}

// logSummary logs the look-ups since the last call, if any of them got no address.
func (lu *lookUps) logSummary(ready []feed.Entry) {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	lu.updateReady(ready)
	if lu.numEmpty > 0 {
		st := lu.counts
		lu.lg.Warn("look-ups-without-address", zap.Int("Count", lu.numEmpty), zap.Int("LookUps", lu.numLookUps),
			zap.Int("Entries", st.starting+st.draining), zap.Int("Starting", st.starting), zap.Int("Draining", st.draining))
	}
	lu.numLookUps, lu.numEmpty = 0, 0
}
