package tier

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamwinch.example/feed"
	"balsamwinch.example/timer"
)

// lookUpsPeriod is the time that one line about look-ups covers.
const lookUpsPeriod = time.Second

// lookUps notes callers' look-ups of addresses that got none. Such a caller sends
// nothing, so that no entry instance has a line of it: without these lines the log
// of a time in which nobody was served is empty. There is at most one line for each
// second, however many callers ask.
type lookUps struct {
	ts *timer.Service
	lg *zap.Logger

	mu     sync.Mutex
	linked map[string]*linkedEntry // linked holds the entry instances with a link to this one, by name.
	ready  []feed.Entry            // ready is the list that was seen last.
	asked  int                     // asked counts the look-ups since the last line was due.
	empty  int                     // empty counts those that got no address.
	stand  standings               // stand is how things stood at the first of these.
}

// linkedEntry is an entry instance with one or more links to this control instance.
type linkedEntry struct {
	links  int
	served bool // served says that it was ready, on this link or before.
}

// standings counts the entry instances that a control instance knows while none of
// them is ready, by state.
type standings struct {
	starting, draining int
}

func newLookUps(ts *timer.Service, lg *zap.Logger) *lookUps {
	return &lookUps{ts: ts, lg: lg, linked: make(map[string]*linkedEntry)}
}

// opened takes in that an entry instance has opened a link. One that begins anew
// was not ready before.
func (lu *lookUps) opened(name string, state feed.EntryState) {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	le, ok := lu.linked[name]
	if !ok {
		le = &linkedEntry{}
		lu.linked[name] = le
	}
	le.links++
	le.served = state != feed.Starting
	lu.ready = nil // The list may be the one that was seen, and name it.
}

// closed takes in that a link of an entry instance has ended.
func (lu *lookUps) closed(name string) {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	le := lu.linked[name]
	le.links--
	if le.links == 0 {
		delete(lu.linked, name)
	}
}

// note takes in a look-up, which got the addresses of the instances that are ready.
func (lu *lookUps) note(ready []feed.Entry) {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	lu.see(ready)
	lu.asked++
	if len(ready) > 0 {
		return
	}
	if lu.empty == 0 {
		lu.stand = lu.standings()
	}
	lu.empty++
}

// see notes which instances are ready. The list is replaced whenever it changes, so
// that one that was seen before is passed over.
func (lu *lookUps) see(ready []feed.Entry) {
	if len(ready) == len(lu.ready) && (len(ready) == 0 || &ready[0] == &lu.ready[0]) {
		return
	}
	lu.ready = ready
	for _, en := range ready {
		if le, ok := lu.linked[en.Name]; ok {
			le.served = true
		}
	}
}

// standings counts the linked instances while none is ready. One that was ready
// drains: none becomes ready a second time. One that was ready only between two
// looks at the list counts as starting.
func (lu *lookUps) standings() standings {
	var st standings
	for _, le := range lu.linked {
		if le.served {
			st.draining++
		} else {
			st.starting++
		}
	}
	return st
}

// serve writes the lines until the context ends, and then the last one.
func (lu *lookUps) serve(ctx context.Context, ready func() []feed.Entry) error {
	su := lu.ts.Subscribe(lookUpsPeriod)
	defer su.Stop()
	for {
		select {
		case <-ctx.Done():
			lu.tell(ready())
			return ctx.Err()
		case <-su.C:
			lu.tell(ready())
		}
	}
}

// tell writes the line for the time since the last one, if any look-up got nothing.
func (lu *lookUps) tell(ready []feed.Entry) {
	lu.mu.Lock()
	defer lu.mu.Unlock()
	lu.see(ready)
	if lu.empty > 0 {
		st := lu.stand
		lu.lg.Warn("look-ups-without-address", zap.Int("Count", lu.empty), zap.Int("LookUps", lu.asked),
			zap.Int("Entries", st.starting+st.draining), zap.Int("Starting", st.starting), zap.Int("Draining", st.draining))
	}
	lu.asked, lu.empty = 0, 0
}
