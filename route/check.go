package route

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"balsamwinch.example/customer"
)

// maxWeightSum bounds the sum of a route's weights, so that sums of a few of
// them fit an int64. JSON decoders in other languages also keep integers exact
// only up to 2^53.
const maxWeightSum = 1 << 53

// ConfigError is the first error found in a configuration.
type ConfigError struct {
	Route    string // route name; empty if the error is not in a route
	Customer string // customer name; empty if the error is not in a customer
	Field    string // field of Route, Service or Customer with the invalid value
	Detail   string // what was expected and what was found; never an API key
}

// Error returns the route or customer, the field and the detail in one line.
func (ce *ConfigError) Error() string {
	switch {
	case ce.Route != "":
		return fmt.Sprintf("route %q: %s: %s", ce.Route, ce.Field, ce.Detail)
	case ce.Customer != "":
		return fmt.Sprintf("customer %q: %s: %s", ce.Customer, ce.Field, ce.Detail)
	}
	return fmt.Sprintf("service: %s: %s", ce.Field, ce.Detail)
}

// AsConfigError returns the *ConfigError for a *customer.Error, and any other error
// unchanged.
func AsConfigError(err error) error {
	var ce *customer.Error
	if !errors.As(err, &ce) {
		return err
	}
	return &ConfigError{Customer: ce.Label(), Field: ce.Field, Detail: ce.Detail}
}

func (ro *Route) configError(field, format string, args ...any) error {
	return &ConfigError{Route: ro.Name, Field: field, Detail: fmt.Sprintf(format, args...)}
}

func (tb *Table) checkRoute(ro *Route) error {
	if hostKey(ro.Host) == "" {
		return ro.configError("Host", "want a host name, got %q", ro.Host)
	}
	if !strings.HasPrefix(ro.Prefix, "/") || !strings.HasSuffix(ro.Prefix, "/") {
		return ro.configError("Prefix", "want a slash at the beginning and the end, got %q", ro.Prefix)
	}
	if ro.Timeout <= 0 {
		return ro.configError("Timeout", "want more than 0, got %v", ro.Timeout)
	}
	if len(ro.Targets) > 0 == (len(ro.Shards) > 0) {
		return ro.configError("Targets", "want either targets or shards, got %d and %d", len(ro.Targets), len(ro.Shards))
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
			return ro.configError("Targets", "want a service of the configuration, got %q", ta.Service)
		}
		if ta.Weight < 0 {
			return ro.configError("Targets", "want a weight of at least 0 for %q, got %d", ta.Service, ta.Weight)
		}
		if ta.Weight > maxWeightSum-sum {
			return ro.configError("Targets", "want weights that add up to at most %d", maxWeightSum)
		}
		sum += ta.Weight
	}
	if len(ro.Targets) > 0 && sum == 0 {
		return ro.configError("Targets", "want weights that add up to more than 0")
	}
	return nil
}

func (tb *Table) checkShards(ro *Route) error {
	seen := make(map[string]struct{}, len(ro.Shards))
	for _, name := range ro.Shards {
		if _, ok := tb.services[name]; !ok {
			return ro.configError("Shards", "want a service of the configuration, got %q", name)
		}
		if _, ok := seen[name]; ok {
			return ro.configError("Shards", "want each shard once, got %q twice", name)
		}
		seen[name] = struct{}{}
	}
	return nil
}

func checkMerge(ro *Route) error {
	me := ro.Merge
	if me.TopK < 0 {
		return ro.configError("TopK", "want at least 0, got %d", me.TopK)
	}
	if math.IsNaN(me.LeastShare) || me.LeastShare < 0 || me.LeastShare > 1 {
		return ro.configError("LeastShare", "want 0 to 1, got %v", me.LeastShare)
	}
	if len(ro.Shards) > 0 && me.RecordBytes <= 0 {
		return ro.configError("RecordBytes", "want more than 0, got %d", me.RecordBytes)
	}
	return nil
}
