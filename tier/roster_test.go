package tier

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamwinch.example/feed"
	"balsamwinch.example/roster"
	"balsamwinch.example/route"
	"balsamwinch.example/timer"
)

// fixedTables gives a table, or an error if it is nil.
type fixedTables struct{ tb *route.Table }

func (ft fixedTables) Table([]byte) (*route.Table, error) {
	if ft.tb == nil {
		return nil, errors.New("not a configuration")
	}
	return ft.tb, nil
}

// wideTable has one merged route and one to a single server, on hosts of their own.
func wideTable(c *qt.C) *route.Table {
	tb, err := route.New(1, []route.Route{
		{Name: "wide", Host: "wide.example", Prefix: "/", Timeout: time.Second, Shards: []string{"s1", "s2"}, Merge: route.Merge{TopK: 5, RecordBytes: 16, LeastShare: 0.5}},
		{Name: "plain", Host: "plain.example", Prefix: "/", Timeout: time.Second, Targets: []route.Target{{Service: "p", Weight: 1}}},
	}, []route.Service{{Name: "s1", MaxConnections: 10}, {Name: "s2", MaxConnections: 10}, {Name: "p", MaxConnections: 10}}, route.Limits{})
	c.Assert(err, qt.IsNil)
	return tb
}

func someEntries(count int) []feed.Entry {
	var out []feed.Entry
	for ix := range count {
		name := fmt.Sprint("e-", ix)
		out = append(out, feed.Entry{Name: name, DataCentre: "lima", Address: name + ":80", State: feed.Ready})
	}
	return out
}

// Forty entry instances share servers of ten connections. Callers of the merged route are
// led to few of them; others, and all before a configuration is known, to all. One that
// begins to stop is left out of the very next answer.
func TestCallersAreLedToFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ts := timer.New()
		pu := feed.NewPublisher(feed.PublisherConfig{Name: "one", SilenceTimeout: time.Second}, ts, zap.NewNop())
		ens := someEntries(40)
		ro := newRosters(fixedTables{wideTable(c)}, pu, ts, zap.NewNop())
		ro.entries = func() []feed.Entry { return ens }
		ro.look(ts.Now())
		c.Assert(ro.addresses("wide.example", "lima", ens), qt.HasLen, 0)
		ro.setDocument(1, []byte("x"))
		ro.look(ts.Now())
		led := ro.addresses("Wide.example:80", "lima", ens)
		c.Assert(led, qt.HasLen, 8)
		c.Assert(ro.addresses("plain.example", "lima", ens), qt.HasLen, 0)
		c.Assert(ro.addresses("other.example", "lima", ens), qt.HasLen, 0)
		c.Assert(ro.addresses("wide.example", "cusco", ens), qt.HasLen, 0)
		for ix := range ens {
			if ens[ix].Address == led[0] {
				ens = append(append([]feed.Entry{}, ens[:ix]...), ens[ix+1:]...)
				break
			}
		}
		c.Assert(ro.addresses("wide.example", "lima", ens), qt.DeepEquals, led[1:])
	})
}

// Shards are cut anew: the routes stay and name other services. Their callers must stay
// where they are, or twice as many entry instances would connect to all new servers in
// the seconds in which these are cold. Two hosts of the same shards are one group.
func TestCallersStayWhenShardsAreCutAnew(t *testing.T) {
	c := qt.New(t)
	wide := func(service string) *route.Table {
		merge := route.Merge{TopK: 5, RecordBytes: 16, LeastShare: 0.5}
		tb, err := route.New(1, []route.Route{
			{Name: "one", Host: "one.example", Prefix: "/", Timeout: time.Second, Shards: []string{service}, Merge: merge},
			{Name: "two", Host: "a-two.example", Prefix: "/", Timeout: time.Second, Shards: []string{service}, Merge: merge},
		}, []route.Service{{Name: service, MaxConnections: 10}}, route.Limits{})
		c.Assert(err, qt.IsNil)
		return tb
	}
	want := []roster.Group{{Key: "a-two.example", MaxConnections: 10}}
	for _, service := range []string{"s1", "later-s1"} {
		tb := wide(service)
		gs := groupsOf(tb)
		c.Assert(gs.list(), qt.DeepEquals, want)
		for _, host := range []string{"one.example", "A-two.example:80"} {
			gr, ok := gs.of(tb, host)
			c.Assert(ok, qt.IsTrue)
			c.Assert(gr, qt.Equals, want[0])
		}
	}
}

// A configuration that can't be read leaves what was decided by the one before.
func TestUnreadableConfigurationChangesNoList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ts := timer.New()
		pu := feed.NewPublisher(feed.PublisherConfig{Name: "one", SilenceTimeout: time.Second}, ts, zap.NewNop())
		ro := newRosters(fixedTables{wideTable(c)}, pu, ts, zap.NewNop())
		ens := someEntries(40)
		ro.entries = func() []feed.Entry { return ens }
		ro.setDocument(1, []byte("x"))
		ro.look(ts.Now())
		ro.tbs = fixedTables{}
		ro.setDocument(2, []byte("y"))
		ro.look(ts.Now())
		c.Assert(ro.addresses("wide.example", "lima", ens), qt.HasLen, 8)
	})
}
