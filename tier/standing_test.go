package tier

import (
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/feed"
)

// An entry instance begins to stop while it takes a configuration in. It has looked
// that it isn't stopping and is about to say that it is ready when the stop says that
// it drains. The last word must be that it drains.
func TestStopWhileBecomingReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var told []feed.EntryState
		on := make(chan struct{})
		st := &standing{}
		st.tell = func(es feed.EntryState) {
			if es == feed.Ready {
				<-on
			}
			told = append(told, es)
		}
		var wg sync.WaitGroup
		wg.Go(st.ready)
		synctest.Wait()
		wg.Go(st.leave)
		close(on)
		wg.Wait()
		c.Assert(told, qt.DeepEquals, []feed.EntryState{feed.Ready, feed.Draining})
		st.ready()
		c.Assert(told, qt.HasLen, 2)
		c.Assert(st.left(), qt.IsTrue)
	})
}
