package route

import (
	"fmt"
	"slices"
	"strings"

	"balsamwinch.example/customer"
)

// Table is one version of the configuration. It is immutable and safe for
// concurrent use.
type Table struct {
	version      uint64
	routes       []Route
	serviceList  []Service
	services     map[string]Service
	limits       Limits
	hosts        map[string][]node
	hostPrefixes map[hostPrefix]struct{}
	sharded      []*Route
	customers    *customer.Index
}

// hostPrefix is the host and prefix of a route. No two routes share one.
type hostPrefix struct{ host, prefix string }

// node is a route in the list of its host, which is sorted by prefix. Parent is
// the index of the route with the longest other prefix that this route's prefix
// begins with; -1 if there is none.
type node struct {
	route  *Route
	parent int
}

// New returns the table of a configuration. It copies its arguments and raises
// each route's MaxAttempts to at least 1. If the configuration is invalid, it
// returns a *ConfigError for the first error found.
func New(version uint64, rs []Route, ss []Service, li Limits) (*Table, error) {
	tb := &Table{
		version:      version,
		routes:       cloneRoutes(rs),
		serviceList:  slices.Clone(ss),
		services:     make(map[string]Service, len(ss)),
		limits:       li,
		hosts:        make(map[string][]node),
		hostPrefixes: make(map[hostPrefix]struct{}, len(rs)),
	}
	for _, se := range ss {
		if _, ok := tb.services[se.Name]; ok {
			return nil, &ConfigError{Field: "Name", Detail: fmt.Sprintf("want each service once, got %q twice", se.Name)}
		}
		tb.services[se.Name] = se
	}
	for ix := range tb.routes {
		if err := tb.addRoute(&tb.routes[ix]); err != nil {
			return nil, err
		}
	}
	for _, nos := range tb.hosts {
		sortNodes(nos)
	}
	return tb, nil
}

// addRoute validates a route and adds it to those of its host.
func (tb *Table) addRoute(ro *Route) error {
	if err := tb.checkRoute(ro); err != nil {
		return err
	}
	ro.MaxAttempts = max(1, ro.MaxAttempts)
	ho := hostKey(ro.Host)
	hp := hostPrefix{host: ho, prefix: ro.Prefix}
	if _, ok := tb.hostPrefixes[hp]; ok {
		return ro.configError("Prefix", "want one route for host %q and prefix %q, got two", ro.Host, ro.Prefix)
	}
	tb.hostPrefixes[hp] = struct{}{}
	if len(ro.Shards) > 0 {
		tb.sharded = append(tb.sharded, ro)
	}
	tb.hosts[ho] = append(tb.hosts[ho], node{route: ro})
	return nil
}

// sortNodes sorts the routes of one host and sets their parents.
func sortNodes(nos []node) {
	slices.SortFunc(nos, func(a, b node) int {
		return strings.Compare(a.route.Prefix, b.route.Prefix)
	})
	for ix := range nos {
		nos[ix].parent = ancestor(nos, ix-1, nos[ix].route.Prefix)
	}
}

// ancestor returns the first index, from ix along the parents, whose prefix the
// path begins with; -1 if there is none.
func ancestor(nos []node, ix int, path string) int {
	for ix >= 0 && !strings.HasPrefix(path, nos[ix].route.Prefix) {
		ix = nos[ix].parent
	}
	return ix
}

// Match returns the route of the host with the longest prefix that the path
// begins with, and whether there is one. The host is compared without port,
// final dot and case. The path is compared byte by byte, as the caller sent it
// and without the query. The route must not be modified.
func (tb *Table) Match(host, path string) (*Route, bool) {
	nos := tb.hosts[hostKey(host)]
	// All prefixes that the path begins with are sorted at or before the last
	// prefix not greater than the path, and that prefix begins with each of them
	// too.
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

// HostRoutes returns the routes of a host, which is compared without port, final
// dot and case. They must not be modified.
func (tb *Table) HostRoutes(host string) []*Route {
	nos := tb.hosts[hostKey(host)]
	out := make([]*Route, len(nos))
	for ix, no := range nos {
		out[ix] = no.route
	}
	return out
}

// ShardedRoutes returns the routes that have shards, in the order of the
// configuration. They must not be modified.
func (tb *Table) ShardedRoutes() []*Route {
	return tb.sharded
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
	return slices.Clone(tb.serviceList)
}

// Customers returns the customers of the configuration, or nil if requests need no API key.
func (tb *Table) Customers() *customer.Index {
	return tb.customers
}

// WithCustomers returns a copy of the table with the given customers; nil means that
// requests need no API key.
func (tb *Table) WithCustomers(ix *customer.Index) *Table {
	co := *tb
	co.customers = ix
	return &co
}

// Limits returns the limits on callers.
func (tb *Table) Limits() Limits {
	return tb.limits
}

// Service returns the service with the given name, and whether there is one.
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
