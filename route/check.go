package route

import (
	"fmt"
	"math"
	"strings"
)

// mostWeight bounds the sum of a route's weights, so that sums of a few of them
// fit an int64. Readers of JSON in other languages keep integers to 2^53 too.
const mostWeight = 1 << 53

// Fault is the first thing found wrong with a configuration.
type ConfigError struct {
	Route  string // Route names the route; empty if the fault is in a service.
	Field  string // Field is the field of Route or Service with the wrong value.
	Detail string // Detail says what was expected and what was found.
}

// Error returns the route, field and detail in one line.
func (fa *ConfigError) Error() string {
	if fa.Route == "" {
		return fmt.Sprintf("service: %s: %s", fa.Field, fa.Detail)
	}
	return fmt.Sprintf("route %q: %s: %s", fa.Route, fa.Field, fa.Detail)
}

func (ro *Route) fault(field, format string, args ...any) error {
	return &ConfigError{Route: ro.Name, Field: field, Detail: fmt.Sprintf(format, args...)}
}

func (tb *Table) checkRoute(ro *Route) error {
	if hostKey(ro.Host) == "" {
		return ro.fault("Host", "want a host name, got %q", ro.Host)
	}
	if !strings.HasPrefix(ro.Prefix, "/") || !strings.HasSuffix(ro.Prefix, "/") {
		return ro.fault("Prefix", "want a slash at the beginning and the end, got %q", ro.Prefix)
	}
	if ro.Timeout <= 0 {
		return ro.fault("Timeout", "want more than 0, got %v", ro.Timeout)
	}
	if len(ro.Targets) > 0 == (len(ro.Shards) > 0) {
		return ro.fault("Targets", "want either targets or shards, got %d and %d", len(ro.Targets), len(ro.Shards))
	}
	if err := tb.checkTargets(ro); err != nil {
		return err
	}
	if err := tb.checkShards(ro); err != nil {
		return err
	}
	return checkMerge(ro)
}

func (tb *Table) checkTargets(ro *Route) error {
	sum := 0
	for _, ta := range ro.Targets {
		if _, ok := tb.services[ta.Service]; !ok {
			return ro.fault("Targets", "want a service of the configuration, got %q", ta.Service)
		}
		if ta.Weight < 0 {
			return ro.fault("Targets", "want a weight of at least 0 for %q, got %d", ta.Service, ta.Weight)
		}
		if ta.Weight > mostWeight-sum {
			return ro.fault("Targets", "want weights that add up to at most %d", mostWeight)
		}
		sum += ta.Weight
	}
	if len(ro.Targets) > 0 && sum == 0 {
		return ro.fault("Targets", "want weights that add up to more than 0")
	}
	return nil
}

func (tb *Table) checkShards(ro *Route) error {
	seen := make(map[string]struct{}, len(ro.Shards))
	for _, name := range ro.Shards {
		if _, ok := tb.services[name]; !ok {
			return ro.fault("Shards", "want a service of the configuration, got %q", name)
		}
		if _, ok := seen[name]; ok {
			return ro.fault("Shards", "want each shard once, got %q twice", name)
		}
		seen[name] = struct{}{}
	}
	return nil
}

func checkMerge(ro *Route) error {
	me := ro.Merge
	if me.TopK < 0 {
		return ro.fault("TopK", "want at least 0, got %d", me.TopK)
	}
	if math.IsNaN(me.LeastShare) || me.LeastShare < 0 || me.LeastShare > 1 {
		return ro.fault("LeastShare", "want 0 to 1, got %v", me.LeastShare)
	}
	if len(ro.Shards) > 0 && me.RecordBytes <= 0 {
		return ro.fault("RecordBytes", "want more than 0, got %d", me.RecordBytes)
	}
	return nil
}
