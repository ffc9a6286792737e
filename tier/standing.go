package tier

import (
	"sync"

	"balsamwinch.example/feed"
)

// standing is what an entry instance says of itself to the control instances.
type standing struct {
	tell func(feed.EntryState)

	mu      sync.Mutex
	leaving bool
}

// ready says that callers may come, unless the instance is leaving.
//
// A configuration may arrive at the moment of a stop. Were it looked at first whether
// the instance is leaving and then told, the word that it drains could come between:
// the last word would be that it is ready, and callers would be sent to an instance
// that ends seconds later. Both are one step here.
func (st *standing) ready() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.leaving {
		st.tell(feed.Ready)
	}
}

// leave says that no further callers should come.
func (st *standing) leave() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.leaving = true
	st.tell(feed.Draining)
}

// left reports whether the instance is leaving.
func (st *standing) left() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.leaving
}
