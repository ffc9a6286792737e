package tier

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamwinch.example/feed"
	"balsamwinch.example/roster"
)

// Entry instances are saved with the address at which they accept invitations. When all
// processes are killed, the links of entry instances may end first, and the list must
// still hold them.
func TestEntryListKeepsUnlinkedEntriesForTTL(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	el := newEntryList(now, nil)
	ens := []feed.Entry{{Name: "one", Address: "10.1.0.9:80"}, {Name: "two", DataCentre: "lima", Address: "10.1.0.2:81"}, {Name: "none"}}
	one, two := savedEntry{Name: "one", Address: "10.1.0.9:7740"}, savedEntry{Name: "two", DataCentre: "lima", Address: "10.1.0.2:7740"}
	c.Assert(el.update(now, ens, 7740), qt.IsTrue)
	c.Assert(el.entries(), qt.DeepEquals, []savedEntry{two, one})
	c.Assert(el.update(now.Add(entryTTL-1), ens[:1], 7740), qt.IsFalse)
	c.Assert(el.update(now.Add(entryTTL), ens[:1], 7740), qt.IsTrue)
	c.Assert(el.entries(), qt.DeepEquals, []savedEntry{one})
}

// All instances lose power while callers use two of the six entry instances in each of
// two data centres. A control instance that restarts must invite these first, because
// callers use only them, and those of its own data centre before the others.
func TestInviteesOrderedByRosterAndDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ss := newTestStore(t.TempDir())
		var ins []roster.Instance
		var saved []savedEntry
		for _, dc := range []string{"cusco", "lima"} {
			for ix := range 6 {
				se := savedEntry{Name: fmt.Sprint(dc, ix), DataCentre: dc, Address: fmt.Sprintf("%s-%d:7740", dc, ix)}
				saved = append(saved, se)
				ins = append(ins, roster.Instance{Name: se.Name, DataCentre: dc})
			}
		}
		ss.save(entriesFile, saved)
		ss.save(rosterSizesFile, []roster.SavedSize{{Key: "wide", DataCentre: "cusco", Members: 2}, {Key: "wide", DataCentre: "lima", Members: 2}})
		ss.restore(time.Second)
		got := ss.invitees("lima")
		c.Assert(got, qt.HasLen, 12)
		var want []string
		for _, here := range [][]roster.Instance{ins[6:], ins[:6]} {
			members := roster.Choose("wide", here, 2)
			c.Assert(members, qt.HasLen, 2)
			for _, in := range members {
				want = append(want, in.Name)
			}
		}
		var first []string
		for _, ie := range got[:4] {
			first = append(first, ie.Name)
		}
		c.Assert(first[:2], qt.ContentEquals, want[:2])
		c.Assert(first[2:], qt.ContentEquals, want[2:])
		for _, ie := range got[4:8] {
			c.Assert(ie.Name[:4], qt.Equals, "lima")
		}
	})
}
