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

// fixedParser returns a fixed table, or an error if it is nil.
type fixedParser struct{ tb *route.Table }

func (fp fixedParser) Parse([]byte) (*route.Table, error) {
	if fp.tb == nil {
		return nil, errors.New("not a configuration")
	}
	return fp.tb, nil
}

// wideTable returns a table with one merged route and one plain route, on different
// hosts.
func wideTable(c *qt.C) *route.Table {
	tb, err := route.New(1, []route.Route{
		{Name: "wide", Host: "wide.example", Prefix: "/", Timeout: time.Second, Shards: []string{"s1", "s2"}, Merge: route.Merge{TopK: 5, RecordBytes: 16, LeastShare: 0.5}},
		{Name: "plain", Host: "plain.example", Prefix: "/", Timeout: time.Second, Targets: []route.Target{{Service: "p", Weight: 1}}},
	}, []route.Service{{Name: "s1", MaxConnections: 10}, {Name: "s2", MaxConnections: 10}, {Name: "p", MaxConnections: 10}}, route.Limits{})
	c.Assert(err, qt.IsNil)
	return tb
}

func newEntries(count int) []feed.Entry {
	var out []feed.Entry
	for ix := range count {
		name := fmt.Sprint("e-", ix)
		out = append(out, feed.Entry{Name: name, DataCentre: "lima", Address: name + ":80", State: feed.Ready})
	}
	return out
}

// Forty entry instances share servers with ten connections each. Callers of the merged
// route must get a small subset of them; callers of other hosts, and all callers before a
// configuration is known, must get no subset. An instance that begins to stop must be
// left out of the very next look-up.
func TestMergedRouteCallersGetSubset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ts := timer.New()
		pu := feed.NewPublisher(feed.PublisherConfig{Name: "one", SilenceTimeout: time.Second}, ts, zap.NewNop())
		ens := newEntries(40)
		ro := newRosters(fixedParser{wideTable(c)}, pu, ts, zap.NewNop())
		ro.entries = func() []feed.Entry { return ens }
		ro.update(ts.Now())
		c.Assert(ro.addresses("wide.example", "lima", ens), qt.HasLen, 0)
		ro.setDocument(1, []byte("x"))
		ro.update(ts.Now())
		subset := ro.addresses("Wide.example:80", "lima", ens)
		c.Assert(subset, qt.HasLen, 8)
		c.Assert(ro.addresses("plain.example", "lima", ens), qt.HasLen, 0)
		c.Assert(ro.addresses("other.example", "lima", ens), qt.HasLen, 0)
		c.Assert(ro.addresses("wide.example", "cusco", ens), qt.HasLen, 0)
		for ix := range ens {
			if ens[ix].Address == subset[0] {
				ens = append(append([]feed.Entry{}, ens[:ix]...), ens[ix+1:]...)
				break
			}
		}
		c.Assert(ro.addresses("wide.example", "lima", ens), qt.DeepEquals, subset[1:])
	})
}

// When shards are repartitioned, routes stay and name other services. Their callers must
// keep their instances; otherwise twice as many entry instances would connect to all new
// servers while these are cold. Two hosts with the same shards form one group.
func TestRepartitionKeepsRoster(t *testing.T) {
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
			gr, ok := gs.forHost(tb, host)
			c.Assert(ok, qt.IsTrue)
			c.Assert(gr, qt.Equals, want[0])
		}
	}
}

// A configuration that can't be parsed must not change the subsets of the one before.
func TestUnreadableConfigurationKeepsRoster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ts := timer.New()
		pu := feed.NewPublisher(feed.PublisherConfig{Name: "one", SilenceTimeout: time.Second}, ts, zap.NewNop())
		ro := newRosters(fixedParser{wideTable(c)}, pu, ts, zap.NewNop())
		ens := newEntries(40)
		ro.entries = func() []feed.Entry { return ens }
		ro.setDocument(1, []byte("x"))
		ro.update(ts.Now())
		ro.parser = fixedParser{}
		ro.setDocument(2, []byte("y"))
		ro.update(ts.Now())
		c.Assert(ro.addresses("wide.example", "lima", ens), qt.HasLen, 8)
	})
}
