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

// Entry instances are noted where they take invitations. All processes are killed, the
// links of entry instances end first, and the note must still name them.
func TestEntryList(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	el := newEntryList(now, nil)
	ens := []feed.Entry{{Name: "one", Address: "10.1.0.9:80"}, {Name: "two", DataCentre: "lima", Address: "10.1.0.2:81"}, {Name: "none"}}
	one, two := notedEntry{Name: "one", Address: "10.1.0.9:7740"}, notedEntry{Name: "two", DataCentre: "lima", Address: "10.1.0.2:7740"}
	c.Assert(el.look(now, ens, 7740), qt.IsTrue)
	c.Assert(el.noted(), qt.DeepEquals, []notedEntry{two, one})
	c.Assert(el.look(now.Add(entryKeep-1), ens[:1], 7740), qt.IsFalse)
	c.Assert(el.look(now.Add(entryKeep), ens[:1], 7740), qt.IsTrue)
	c.Assert(el.noted(), qt.DeepEquals, []notedEntry{one})
}

// The power of all is lost while callers are led to two of six entry instances in each of
// two data centres. A control instance that comes back must invite these first, those of
// its own data centre before the others: callers come to them alone.
func TestInviteesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		me := newMemory(t.TempDir())
		var ins []roster.Instance
		var nes []notedEntry
		for _, dc := range []string{"cusco", "lima"} {
			for ix := range 6 {
				ne := notedEntry{Name: fmt.Sprint(dc, ix), DataCentre: dc, Address: fmt.Sprintf("%s-%d:7740", dc, ix)}
				nes = append(nes, ne)
				ins = append(ins, roster.Instance{Name: ne.Name, DataCentre: dc})
			}
		}
		me.write(entriesName, nes)
		me.write(chosenName, []roster.SavedSize{{Key: "wide", DataCentre: "cusco", Members: 2}, {Key: "wide", DataCentre: "lima", Members: 2}})
		me.restore(time.Second)
		got := me.invitees("lima")
		c.Assert(got, qt.HasLen, 12)
		var want []string
		for _, here := range [][]roster.Instance{ins[6:], ins[:6]} {
			led := roster.Choose("wide", here, 2)
			c.Assert(led, qt.HasLen, 2)
			for _, in := range led {
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
