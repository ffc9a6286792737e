package route

import (
	"fmt"
	"slices"
	"strings"
)

// Table is one version of the configuration. It is immutable and safe for
// concurrent use.
type Table struct {
	version  uint64
	routes   []Route
	list     []Service
	services map[string]Service
	limits   Limits
	hosts    map[string][]node
	places   map[place]struct{}
	merged   []*Route
}

// place is what no two routes may have in common.
type place struct{ host, prefix string }

// node is a route in the list of its host, which is sorted by prefix. Parent is
// the place of the route with the next shorter prefix that begins this one's;
// -1 if there is none.
type node struct {
	route  *Route
	parent int
}

// New returns the table of a configuration. It keeps copies of what it is
// given. In its routes, MaxAttempts is at least 1. If the configuration is
// invalid it returns a *Fault: the first that it finds.
func New(version uint64, rs []Route, ss []Service, li Limits) (*Table, error) {
	tb := &Table{
		version:  version,
		routes:   cloneRoutes(rs),
		list:     slices.Clone(ss),
		services: make(map[string]Service, len(ss)),
		limits:   li,
		hosts:    make(map[string][]node),
		places:   make(map[place]struct{}, len(rs)),
	}
	for _, se := range ss {
		if _, ok := tb.services[se.Name]; ok {
			return nil, &ConfigError{Field: "Name", Detail: fmt.Sprintf("want each service once, got %q twice", se.Name)}
		}
		tb.services[se.Name] = se
	}
	for ix := range tb.routes {
		if err := tb.add(&tb.routes[ix]); err != nil {
			return nil, err
		}
	}
	for _, nos := range tb.hosts {
		arrange(nos)
	}
	return tb, nil
}

// add checks a route and puts it under its host.
func (tb *Table) add(ro *Route) error {
	if err := tb.checkRoute(ro); err != nil {
		return err
	}
	ro.MaxAttempts = max(1, ro.MaxAttempts)
	ho := hostKey(ro.Host)
	pl := place{host: ho, prefix: ro.Prefix}
	if _, ok := tb.places[pl]; ok {
		return ro.fault("Prefix", "want one route for host %q and prefix %q, got two", ro.Host, ro.Prefix)
	}
	tb.places[pl] = struct{}{}
	if len(ro.Shards) > 0 {
		tb.merged = append(tb.merged, ro)
	}
	tb.hosts[ho] = append(tb.hosts[ho], node{route: ro})
	return nil
}

// arrange sorts the routes of one host and sets their parents.
func arrange(nos []node) {
	slices.SortFunc(nos, func(a, b node) int {
		return strings.Compare(a.route.Prefix, b.route.Prefix)
	})
	for ix := range nos {
		nos[ix].parent = ancestor(nos, ix-1, nos[ix].route.Prefix)
	}
}

// ancestor returns the first place, from ix along the parents, whose prefix
// begins path; -1 if there is none.
func ancestor(nos []node, ix int, path string) int {
	for ix >= 0 && !strings.HasPrefix(path, nos[ix].route.Prefix) {
		ix = nos[ix].parent
	}
	return ix
}

// Match returns the route with the longest prefix that begins the path, among
// those of the host, and whether there is one. A port and a final dot of the
// host don't count, nor does its case. The path is compared byte by byte, as
// the caller sent it and without the query. The route must not be changed.
func (tb *Table) Match(host, path string) (*Route, bool) {
	nos := tb.hosts[hostKey(host)]
	// Whatever begins the path is, in the order of the prefixes, at or before the
	// last prefix that isn't greater than the path, and begins that one as well.
	after, found := slices.BinarySearchFunc(nos, path, func(no node, path string) int {
		return strings.Compare(no.route.Prefix, path)
	})
	if !found {
		after--
	}
	ix := ancestor(nos, after, path)
	if ix < 0 {
		return nil, false
	}
	return nos[ix].route, true
}

// Of returns the routes of a host, whose port, final dot and case don't count. They must
// not be changed.
func (tb *Table) HostRoutes(host string) []*Route {
	nos := tb.hosts[hostKey(host)]
	out := make([]*Route, len(nos))
	for ix, no := range nos {
		out[ix] = no.route
	}
	return out
}

// Merged returns the routes that have shards, in the order of the configuration. They
// must not be changed.
func (tb *Table) ShardedRoutes() []*Route {
	return tb.merged
}

// Version returns the version of the configuration.
func (tb *Table) Version() uint64 {
	return tb.version
}

// Routes returns copies of the routes in the order of the configuration.
func (tb *Table) Routes() []Route {
	return cloneRoutes(tb.routes)
}

// Services returns the services in the order of the configuration.
func (tb *Table) Services() []Service {
	return slices.Clone(tb.list)
}

// Limits returns the limits on callers.
func (tb *Table) Limits() Limits {
	return tb.limits
}

// Service returns the service of a name and whether there is one.
func (tb *Table) Service(name string) (Service, bool) {
	se, ok := tb.services[name]
	return se, ok
}

func cloneRoutes(rs []Route) []Route {
	cs := make([]Route, len(rs))
	for ix := range rs {
		cs[ix] = rs[ix].clone()
	}
	return cs
}

// hostKey returns a host in lower case without its port and final dot. An IPv6
// address keeps its colons.
func hostKey(host string) string {
	if ix := strings.LastIndexByte(host, ':'); ix >= 0 {
		bracketed := strings.HasPrefix(host, "[") && !strings.Contains(host[ix:], "]")
		if bracketed || strings.IndexByte(host, ':') == ix {
			host = host[:ix]
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
