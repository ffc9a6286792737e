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

// plainRoute returns a route that is valid with the services a, b and c.
func plainRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Targets: []Target{{Service: "a", Weight: 1}}}
}

func shardedRoute(name string, shards ...string) Route {
	ro := plainRoute(name, "h", "/")
	ro.Targets, ro.Shards, ro.Merge = nil, shards, Merge{TopK: 5, RecordBytes: 16, LeastShare: 0.75}
	return ro
}

func splitRoute(name string, ts ...Target) Route {
	ro := plainRoute(name, "h", "/")
	ro.Targets = ts
	return ro
}

var testServices = []Service{{Name: "a", HealthPath: "/health", MaxConnections: 26}, {Name: "b"}, {Name: "c"}}

func newTable(t testing.TB, rs ...Route) *Table {
	t.Helper()
	tb, err := New(7, rs, testServices, Limits{})
	qt.Assert(t, err, qt.IsNil)
	return tb
}

func TestMatch(t *testing.T) {
	tb := newTable(
		t,
		plainRoute("root", "one.example", "/"),
		plainRoute("x", "one.example", "/x/"),
		plainRoute("xy", "one.example", "/x/y/"),
		plainRoute("xyz", "one.example", "/x/y/z/"),
		plainRoute("xa", "one.example", "/x/a/"),
		plainRoute("x-b", "one.example", "/x-b/"),
		plainRoute("high", "one.example", "/\xff/"),
		plainRoute("double", "one.example", "//"),
		plainRoute("two", "Two.Example:8080", "/x/"),
		plainRoute("six", "[2001:db8::1]", "/"),
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

func TestMatchInEmptyTable(t *testing.T) {
	_, ok := newTable(t).Match("h", "/")
	qt.Assert(t, ok, qt.IsFalse)
}

// Compares Match with a search through all routes.
func TestMatchFindsLongestPrefix(t *testing.T) {
	paths := rapid.StringMatching(`(/[ab-]{0,2}){0,5}/?`)
	hosts := rapid.SampledFrom([]string{"h", "i"})
	rapid.Check(t, func(t *rapid.T) {
		seen := map[string]bool{}
		var rs []Route
		for range rapid.IntRange(0, 30).Draw(t, "routes") {
			ro := plainRoute(fmt.Sprint(len(rs)), hosts.Draw(t, "host"), strings.TrimSuffix(paths.Draw(t, "prefix"), "/")+"/")
			if !seen[ro.Host+ro.Prefix] {
				seen[ro.Host+ro.Prefix] = true
				rs = append(rs, ro)
			}
		}
		tb, err := New(1, rs, testServices, Limits{})
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

func TestNewRejectsInvalidRoutes(t *testing.T) {
	with := func(ro Route, change func(*Route)) []Route {
		ro = ro.clone()
		change(&ro)
		return []Route{plainRoute("good", "good", "/"), ro}
	}
	plain, sharded := plainRoute("r", "h", "/"), shardedRoute("r", "a", "b")
	for _, tc := range []struct {
		name  string
		rs    []Route
		field string
	}{
		{"unknown target", with(plain, func(ro *Route) { ro.Targets[0].Service = "d" }), "Targets"},
		{"empty target name", with(plain, func(ro *Route) { ro.Targets[0].Service = "" }), "Targets"},
		{"unknown target without weight", []Route{splitRoute("r", Target{"a", 1}, Target{"d", 0})}, "Targets"},
		{"unknown shard", []Route{shardedRoute("r", "a", "d")}, "Shards"},
		{"shard twice", []Route{shardedRoute("r", "a", "b", "a")}, "Shards"},
		{"same host and prefix", with(plain, func(ro *Route) { ro.Host = "good" }), "Prefix"},
		{"same host and prefix, other case", with(plain, func(ro *Route) { ro.Host = "GOOD:80" }), "Prefix"},
		{"weight 0", []Route{splitRoute("r", Target{"a", 0})}, "Targets"},
		{"weights 0", []Route{splitRoute("r", Target{"a", 0}, Target{"b", 0})}, "Targets"},
		{"weight below 0", []Route{splitRoute("r", Target{"a", 2}, Target{"b", -1})}, "Targets"},
		{"weights cancel", []Route{splitRoute("r", Target{"a", 1}, Target{"b", -1})}, "Targets"},
		{"weight too great", []Route{splitRoute("r", Target{"a", math.MaxInt})}, "Targets"},
		{"weights too great", []Route{splitRoute("r", Target{"a", maxWeightSum}, Target{"b", 1})}, "Targets"},
		{"no timeout", with(plain, func(ro *Route) { ro.Timeout = 0 }), "Timeout"},
		{"timeout below 0", with(plain, func(ro *Route) { ro.Timeout = -1 }), "Timeout"},
		{"neither targets nor shards", with(plain, func(ro *Route) { ro.Targets = nil }), "Targets"},
		{"neither, with empty slices", with(plain, func(ro *Route) { ro.Targets, ro.Shards = []Target{}, []string{} }), "Targets"},
		{"targets and shards", with(sharded, func(ro *Route) { ro.Targets = plain.Targets }), "Targets"},
		{"no prefix", with(plain, func(ro *Route) { ro.Prefix = "" }), "Prefix"},
		{"no leading slash", with(plain, func(ro *Route) { ro.Prefix = "x/" }), "Prefix"},
		{"no trailing slash", with(plain, func(ro *Route) { ro.Prefix = "/x" }), "Prefix"},
		{"no host", with(plain, func(ro *Route) { ro.Host = "" }), "Host"},
		{"only a port", with(plain, func(ro *Route) { ro.Host = ":80" }), "Host"},
		{"share below 0", with(sharded, func(ro *Route) { ro.Merge.LeastShare = -0.01 }), "LeastShare"},
		{"share above 1", with(sharded, func(ro *Route) { ro.Merge.LeastShare = 1.01 }), "LeastShare"},
		{"share not a number", with(sharded, func(ro *Route) { ro.Merge.LeastShare = math.NaN() }), "LeastShare"},
		{"record size 0", with(sharded, func(ro *Route) { ro.Merge.RecordBytes = 0 }), "RecordBytes"},
		{"record size below 0", with(sharded, func(ro *Route) { ro.Merge.RecordBytes = -16 }), "RecordBytes"},
		{"top k below 0", with(sharded, func(ro *Route) { ro.Merge.TopK = -1 }), "TopK"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			tb, err := New(7, tc.rs, testServices, Limits{})
			c.Assert(tb, qt.IsNil)
			var ce *ConfigError
			c.Assert(errors.As(err, &ce), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert([]string{ce.Route, ce.Field}, qt.DeepEquals, []string{"r", tc.field})
			c.Assert(err, qt.ErrorMatches, `route "r": `+tc.field+`: want .+`)
		})
	}
}

func TestNewRejectsDuplicateServices(t *testing.T) {
	c := qt.New(t)
	_, err := New(7, nil, []Service{{Name: "a"}, {Name: "b"}, {Name: "a"}}, Limits{})
	var ce *ConfigError
	c.Assert(errors.As(err, &ce), qt.IsTrue)
	c.Assert([]string{ce.Route, ce.Field}, qt.DeepEquals, []string{"", "Name"})
	c.Assert(err, qt.ErrorMatches, `service: Name: want each service once, got "a" twice`)
}

// The error must not depend on the iteration order of a map.
func TestFirstErrorIsDeterministic(t *testing.T) {
	for range 50 {
		_, err := New(7, []Route{
			plainRoute("1", "h", "/"), plainRoute("2", "i", "/"), plainRoute("3", "i", "/"), plainRoute("4", "h", "/"),
		}, testServices, Limits{})
		qt.Assert(t, err, qt.ErrorMatches, `route "3".*`)
	}
}

func TestNewAcceptsValidRoutes(t *testing.T) {
	with := func(ro Route, change func(*Route)) Route {
		change(&ro)
		return ro
	}
	for _, tc := range []struct {
		name string
		rs   []Route
	}{
		{"empty", nil},
		{"same prefix, other host", []Route{plainRoute("r", "h", "/"), plainRoute("s", "i", "/")}},
		{"same name", []Route{plainRoute("r", "h", "/"), plainRoute("r", "h", "/x/")}},
		{"same service twice", []Route{splitRoute("r", Target{"a", 1}, Target{"a", 2})}},
		{"one weight of 0", []Route{splitRoute("r", Target{"a", 0}, Target{"b", 1})}},
		{"greatest weight", []Route{splitRoute("r", Target{"a", maxWeightSum})}},
		{"one shard", []Route{shardedRoute("r", "a")}},
		{"top k 0", []Route{with(shardedRoute("r", "a"), func(ro *Route) { ro.Merge.TopK = 0 })}},
		{"share 0", []Route{with(shardedRoute("r", "a"), func(ro *Route) { ro.Merge.LeastShare = 0 })}},
		{"share 1", []Route{with(shardedRoute("r", "a"), func(ro *Route) { ro.Merge.LeastShare = 1 })}},
		{"no target latency", []Route{with(plainRoute("r", "h", "/"), func(ro *Route) { ro.TargetLatency = 0 })}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := New(0, tc.rs, testServices, Limits{})
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

func TestAccessors(t *testing.T) {
	c := qt.New(t)
	li := Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	rs := []Route{shardedRoute("one", "a", "b"), plainRoute("two", "i", "/")}
	rs[0].MaxAttempts = 2
	rs[1].MaxAttempts = -1
	tb, err := New(7, rs, testServices, li)
	c.Assert(err, qt.IsNil)
	c.Assert(tb.Version(), qt.Equals, uint64(7))
	c.Assert(tb.Limits(), qt.Equals, li)
	c.Assert(tb.Services(), qt.DeepEquals, testServices)
	want := []Route{shardedRoute("one", "a", "b"), plainRoute("two", "i", "/")}
	want[0].MaxAttempts = 2
	want[1].MaxAttempts = 1
	c.Assert(tb.Routes(), qt.DeepEquals, want)
	for _, se := range testServices {
		got, ok := tb.Service(se.Name)
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, se)
	}
	_, ok := tb.Service("d")
	c.Assert(ok, qt.IsFalse)
}

// The caller of New or Routes modifies the slices afterwards. If the table
// shared them, requests would be sent to services that are not in the
// configuration.
func TestTableDoesNotShareSlices(t *testing.T) {
	c := qt.New(t)
	rs, ss := []Route{shardedRoute("one", "a", "b"), plainRoute("two", "i", "/")}, []Service{{Name: "a"}, {Name: "b"}}
	tb, err := New(7, rs, ss, Limits{})
	c.Assert(err, qt.IsNil)
	want, services := tb.Routes(), tb.Services()
	modify := func(rs []Route, ss []Service) {
		rs[0].Shards[0], rs[1].Targets[0].Service, rs[1].Host, ss[0].Name = "x", "x", "x", "x"
	}
	modify(rs, ss)
	modify(tb.Routes(), tb.Services())
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
		rs = append(rs, plainRoute(fmt.Sprint(ix), fmt.Sprintf("h%d.example", ix%6), fmt.Sprintf("/p%d/x%d/", ix%20, ix)))
	}
	tb := newTable(b, rs...)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := tb.Match("h3.example", "/p9/x249/2f"); !ok {
			b.Fatal("no route")
		}
	}
}
