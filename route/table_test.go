package route

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// plain returns a route that a table of services a, b and c takes.
func plain(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Targets: []Target{{Service: "a", Weight: 1}}}
}

func sharded(name string, shards ...string) Route {
	ro := plain(name, "h", "/")
	ro.Targets, ro.Shards, ro.Merge = nil, shards, Merge{TopK: 5, RecordBytes: 16, LeastShare: 0.75}
	return ro
}

func splitRoute(name string, ts ...Target) Route {
	ro := plain(name, "h", "/")
	ro.Targets = ts
	return ro
}

var abc = []Service{{Name: "a", HealthPath: "/health", MaxConnections: 26}, {Name: "b"}, {Name: "c"}}

func newTable(t testing.TB, rs ...Route) *Table {
	t.Helper()
	tb, err := New(7, rs, abc, Limits{})
	qt.Assert(t, err, qt.IsNil)
	return tb
}

func TestMatch(t *testing.T) {
	tb := newTable(
		t,
		plain("root", "one.example", "/"),
		plain("x", "one.example", "/x/"),
		plain("xy", "one.example", "/x/y/"),
		plain("xyz", "one.example", "/x/y/z/"),
		plain("xa", "one.example", "/x/a/"),
		plain("x-b", "one.example", "/x-b/"),
		plain("high", "one.example", "/\xff/"),
		plain("double", "one.example", "//"),
		plain("two", "Two.Example:8080", "/x/"),
		plain("six", "[2001:db8::1]", "/"),
	)
	for _, tc := range []struct{ host, path, want string }{
		{"one.example", "/", "root"},
		{"one.example", "/x", "root"},
		{"one.example", "/xx/", "root"},
		{"one.example", "/x/", "x"},
		{"one.example", "/x/y", "x"},
		{"one.example", "/x/yy/", "x"},
		{"one.example", "/x/y/", "xy"},
		{"one.example", "/x/y/zz", "xy"},
		{"one.example", "/x/y/z/1", "xyz"},
		{"one.example", "/x/b/", "x"},
		{"one.example", "/x/a/b/", "xa"},
		{"one.example", "/x-b/", "x-b"},
		{"one.example", "/x-c/", "root"},
		{"one.example", "/w/", "root"},
		{"one.example", "/\xff/a", "high"},
		{"one.example", "/\xff\xff/", "root"},
		{"one.example", "//x/", "double"},
		{"one.example", "/X/", "root"},
		{"one.example", "/%78/", "root"},
		{"one.example", "", ""},
		{"one.example", "x/", ""},
		{"one.example", "*", ""},
		{"one.example:80", "/x/", "x"},
		{"one.example:", "/x/", "x"},
		{"one.example.", "/x/", "x"},
		{"ONE.Example.:80", "/x/", "x"},
		{"two.example", "/x/", "two"},
		{"two.example", "/", ""},
		{"two.example", "/w/", ""},
		{"two.example", "/y/", ""},
		{"[2001:DB8::1]:443", "/", "six"},
		{"[2001:db8::1]", "/", "six"},
		{"[2001:db8::2]", "/", ""},
		{"2001:db8::1", "/", ""},
		{"three.example", "/x/", ""},
		{"x.one.example", "/", ""},
		{"", "/", ""},
		{":80", "/", ""},
	} {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			ro, ok := tb.Match(tc.host, tc.path)
			qt.Assert(t, ok, qt.Equals, tc.want != "")
			if ok {
				qt.Assert(t, ro.Name, qt.Equals, tc.want)
			}
		})
	}
}

func TestMatchEmpty(t *testing.T) {
	_, ok := newTable(t).Match("h", "/")
	qt.Assert(t, ok, qt.IsFalse)
}

// TestMatchLongest compares Match with a search of all routes.
func TestMatchLongest(t *testing.T) {
	paths := rapid.StringMatching(`(/[ab-]{0,2}){0,5}/?`)
	hosts := rapid.SampledFrom([]string{"h", "i"})
	rapid.Check(t, func(t *rapid.T) {
		seen := map[string]bool{}
		var rs []Route
		for range rapid.IntRange(0, 30).Draw(t, "routes") {
			ro := plain(fmt.Sprint(len(rs)), hosts.Draw(t, "host"), strings.TrimSuffix(paths.Draw(t, "prefix"), "/")+"/")
			if !seen[ro.Host+ro.Prefix] {
				seen[ro.Host+ro.Prefix] = true
				rs = append(rs, ro)
			}
		}
		tb, err := New(1, rs, abc, Limits{})
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			host, path := hosts.Draw(t, "host"), paths.Draw(t, "path")
			var want *Route
			for ix := range rs {
				ro := &rs[ix]
				if ro.Host == host && strings.HasPrefix(path, ro.Prefix) && (want == nil || len(ro.Prefix) > len(want.Prefix)) {
					want = ro
				}
			}
			got, ok := tb.Match(host, path)
			if ok != (want != nil) || ok && got.Name != want.Name {
				t.Fatalf("%s%s: got %v, want %v", host, path, got, want)
			}
		}
	})
}

func TestFaults(t *testing.T) {
	with := func(ro Route, change func(*Route)) []Route {
		ro = ro.clone()
		change(&ro)
		return []Route{plain("good", "good", "/"), ro}
	}
	pl, sh := plain("r", "h", "/"), sharded("r", "a", "b")
	for _, tc := range []struct {
		name  string
		rs    []Route
		field string
	}{
		{"unknown target", with(pl, func(ro *Route) { ro.Targets[0].Service = "d" }), "Targets"},
		{"no name of a target", with(pl, func(ro *Route) { ro.Targets[0].Service = "" }), "Targets"},
		{"unknown target without weight", []Route{splitRoute("r", Target{"a", 1}, Target{"d", 0})}, "Targets"},
		{"unknown shard", []Route{sharded("r", "a", "d")}, "Shards"},
		{"shard twice", []Route{sharded("r", "a", "b", "a")}, "Shards"},
		{"same place", with(pl, func(ro *Route) { ro.Host = "good" }), "Prefix"},
		{"same place, other case", with(pl, func(ro *Route) { ro.Host = "GOOD:80" }), "Prefix"},
		{"weight 0", []Route{splitRoute("r", Target{"a", 0})}, "Targets"},
		{"weights 0", []Route{splitRoute("r", Target{"a", 0}, Target{"b", 0})}, "Targets"},
		{"weight below 0", []Route{splitRoute("r", Target{"a", 2}, Target{"b", -1})}, "Targets"},
		{"weights cancel", []Route{splitRoute("r", Target{"a", 1}, Target{"b", -1})}, "Targets"},
		{"weight too great", []Route{splitRoute("r", Target{"a", math.MaxInt})}, "Targets"},
		{"weights too great", []Route{splitRoute("r", Target{"a", mostWeight}, Target{"b", 1})}, "Targets"},
		{"no timeout", with(pl, func(ro *Route) { ro.Timeout = 0 }), "Timeout"},
		{"timeout below 0", with(pl, func(ro *Route) { ro.Timeout = -1 }), "Timeout"},
		{"neither", with(pl, func(ro *Route) { ro.Targets = nil }), "Targets"},
		{"neither, but empty", with(pl, func(ro *Route) { ro.Targets, ro.Shards = []Target{}, []string{} }), "Targets"},
		{"both", with(sh, func(ro *Route) { ro.Targets = pl.Targets }), "Targets"},
		{"no prefix", with(pl, func(ro *Route) { ro.Prefix = "" }), "Prefix"},
		{"no slash before", with(pl, func(ro *Route) { ro.Prefix = "x/" }), "Prefix"},
		{"no slash behind", with(pl, func(ro *Route) { ro.Prefix = "/x" }), "Prefix"},
		{"no host", with(pl, func(ro *Route) { ro.Host = "" }), "Host"},
		{"only a port", with(pl, func(ro *Route) { ro.Host = ":80" }), "Host"},
		{"share below 0", with(sh, func(ro *Route) { ro.Merge.LeastShare = -0.01 }), "LeastShare"},
		{"share above 1", with(sh, func(ro *Route) { ro.Merge.LeastShare = 1.01 }), "LeastShare"},
		{"share no number", with(sh, func(ro *Route) { ro.Merge.LeastShare = math.NaN() }), "LeastShare"},
		{"record of 0", with(sh, func(ro *Route) { ro.Merge.RecordBytes = 0 }), "RecordBytes"},
		{"record below 0", with(sh, func(ro *Route) { ro.Merge.RecordBytes = -16 }), "RecordBytes"},
		{"records below 0", with(sh, func(ro *Route) { ro.Merge.TopK = -1 }), "TopK"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			tb, err := New(7, tc.rs, abc, Limits{})
			c.Assert(tb, qt.IsNil)
			var fa *ConfigError
			c.Assert(errors.As(err, &fa), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert([]string{fa.Route, fa.Field}, qt.DeepEquals, []string{"r", tc.field})
			c.Assert(err, qt.ErrorMatches, `route "r": `+tc.field+`: want .+`)
		})
	}
}

func TestFaultService(t *testing.T) {
	c := qt.New(t)
	_, err := New(7, nil, []Service{{Name: "a"}, {Name: "b"}, {Name: "a"}}, Limits{})
	var fa *ConfigError
	c.Assert(errors.As(err, &fa), qt.IsTrue)
	c.Assert([]string{fa.Route, fa.Field}, qt.DeepEquals, []string{"", "Name"})
	c.Assert(err, qt.ErrorMatches, `service: Name: want each service once, got "a" twice`)
}

// TestFaultFirst shows that the fault does not depend on the order of a map.
func TestFaultFirst(t *testing.T) {
	for range 50 {
		_, err := New(7, []Route{
			plain("1", "h", "/"), plain("2", "i", "/"), plain("3", "i", "/"), plain("4", "h", "/"),
		}, abc, Limits{})
		qt.Assert(t, err, qt.ErrorMatches, `route "3".*`)
	}
}

func TestTaken(t *testing.T) {
	with := func(ro Route, change func(*Route)) Route {
		change(&ro)
		return ro
	}
	for _, tc := range []struct {
		name string
		rs   []Route
	}{
		{"nothing", nil},
		{"same prefix, other host", []Route{plain("r", "h", "/"), plain("s", "i", "/")}},
		{"same name", []Route{plain("r", "h", "/"), plain("r", "h", "/x/")}},
		{"same service twice", []Route{splitRoute("r", Target{"a", 1}, Target{"a", 2})}},
		{"one weight of 0", []Route{splitRoute("r", Target{"a", 0}, Target{"b", 1})}},
		{"greatest weight", []Route{splitRoute("r", Target{"a", mostWeight})}},
		{"one shard", []Route{sharded("r", "a")}},
		{"no record", []Route{with(sharded("r", "a"), func(ro *Route) { ro.Merge.TopK = 0 })}},
		{"share 0", []Route{with(sharded("r", "a"), func(ro *Route) { ro.Merge.LeastShare = 0 })}},
		{"share 1", []Route{with(sharded("r", "a"), func(ro *Route) { ro.Merge.LeastShare = 1 })}},
		{"no aim", []Route{with(plain("r", "h", "/"), func(ro *Route) { ro.TargetLatency = 0 })}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := New(0, tc.rs, abc, Limits{})
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

func TestParts(t *testing.T) {
	c := qt.New(t)
	li := Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	rs := []Route{sharded("one", "a", "b"), plain("two", "i", "/")}
	rs[0].MaxAttempts = 2
	rs[1].MaxAttempts = -1
	tb, err := New(7, rs, abc, li)
	c.Assert(err, qt.IsNil)
	c.Assert(tb.Version(), qt.Equals, uint64(7))
	c.Assert(tb.Limits(), qt.Equals, li)
	c.Assert(tb.Services(), qt.DeepEquals, abc)
	want := []Route{sharded("one", "a", "b"), plain("two", "i", "/")}
	want[0].MaxAttempts = 2
	want[1].MaxAttempts = 1
	c.Assert(tb.Routes(), qt.DeepEquals, want)
	for _, se := range abc {
		got, ok := tb.Service(se.Name)
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, se)
	}
	_, ok := tb.Service("d")
	c.Assert(ok, qt.IsFalse)
}

// A caller of New or Routes goes on to use the slices. Requests would be sent
// to services that no configuration names, if the table shared them.
func TestImmutable(t *testing.T) {
	c := qt.New(t)
	rs, ss := []Route{sharded("one", "a", "b"), plain("two", "i", "/")}, []Service{{Name: "a"}, {Name: "b"}}
	tb, err := New(7, rs, ss, Limits{})
	c.Assert(err, qt.IsNil)
	want, services := tb.Routes(), tb.Services()
	spoil := func(rs []Route, ss []Service) {
		rs[0].Shards[0], rs[1].Targets[0].Service, rs[1].Host, ss[0].Name = "x", "x", "x", "x"
	}
	spoil(rs, ss)
	spoil(tb.Routes(), tb.Services())
	c.Assert(tb.Routes(), qt.DeepEquals, want)
	c.Assert(tb.Services(), qt.DeepEquals, services)
	ro, ok := tb.Match("i", "/")
	c.Assert(ok, qt.IsTrue)
	c.Assert(*ro, qt.DeepEquals, want[1])
}

func TestKindString(t *testing.T) {
	for ki, want := range map[Kind]string{Repeatable: "Repeatable", NotRepeatable: "NotRepeatable", 9: "Kind(9)"} {
		qt.Assert(t, ki.String(), qt.Equals, want)
	}
}

func BenchmarkMatch(b *testing.B) {
	var rs []Route
	for ix := range 300 {
		rs = append(rs, plain(fmt.Sprint(ix), fmt.Sprintf("h%d.example", ix%6), fmt.Sprintf("/p%d/x%d/", ix%20, ix)))
	}
	tb := newTable(b, rs...)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := tb.Match("h3.example", "/p9/x249/2f"); !ok {
			b.Fatal("no route")
		}
	}
}
