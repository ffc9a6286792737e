package tier

import (
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/feed"
)

// Guards against an entry instance that begins to stop while it applies a configuration:
// it has checked that it isn't draining and is about to report ready when drain is
// called. The last state reported must be draining.
func TestDrainingIsReportedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var reported []feed.EntryState
		proceed := make(chan struct{})
		sr := &stateReporter{}
		sr.report = func(es feed.EntryState) {
			if es == feed.Ready {
				<-proceed
			}
			reported = append(reported, es)
		}
		var wg sync.WaitGroup
		wg.Go(sr.setReady)
		synctest.Wait()
		wg.Go(sr.drain)
		close(proceed)
		wg.Wait()
		c.Assert(reported, qt.DeepEquals, []feed.EntryState{feed.Ready, feed.Draining})
		sr.setReady()
		c.Assert(reported, qt.HasLen, 2)
		c.Assert(sr.isDraining(), qt.IsTrue)
	})
}
