package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
	"balsamwinch.example/view"
)

// ConnectionsPerInstance returns how many connections to a server one instance
// may hold. Control admits at most maxEntries instances at a time, so all shares
// together stay within the limit even while one instance replaces another. It is
// zero if there are more instances than connections. Then no instance may
// connect until MaxEntries is lowered or the tier assigns instances by service.
func ConnectionsPerInstance(limit, maxEntries int) int {
	if maxEntries <= 0 {
		maxEntries = operator.DefaultMaxEntries
	}
	return max(0, limit) / maxEntries
}

const (
	// minEntries is the minimum number of entry instances of a service, so that one
	// may fail.
	minEntries = 2
	// maxDividingEntries is the highest number of entry instances tried in order to
	// divide the slots evenly.
	maxDividingEntries = 5
)

// NumEntries returns how many instances serve a service: the number in its
// configuration, or the lowest one that evenly divides the slots of the server
// with the fewest. Entry instances with whole slots can't collide. With less
// than one slot each, they can only collide or coordinate every request, and
// slots left over by the division are hardly used (BenchmarkSlots,
// BenchmarkSurge). If no server is known, it returns zero, which means all
// instances.
func NumEntries(se operator.Service, servers []backend.Record) int {
	minSlots := 0
	for ix := range servers {
		re := &servers[ix]
		if re.Slots > 0 && (minSlots == 0 || re.Slots < minSlots) && Selects(se, re) {
			minSlots = re.Slots
		}
	}
	return numEntries(se, minSlots)
}

func numEntries(se operator.Service, minSlots int) int {
	if se.Entries > 0 || minSlots == 0 {
		return se.Entries
	}
	for n := minEntries; n <= maxDividingEntries; n++ {
		if minSlots%n == 0 {
			return n
		}
	}
	return minEntries
}

// Subset returns the instances that serve a service of which the given number of
// entry instances may; zero or less means all. Draining instances and those
// without the entry role are left out. The choice uses rendezvous hashing and
// takes turns between the data centres: if one instance joins or leaves, at most
// one other gains or loses its place.
func Subset(service string, entries int, instances []view.Instance) []view.Instance {
	ranked := rankInstances(service, instances)
	if entries <= 0 || entries >= len(ranked) {
		return ranked
	}
	return ranked[:entries]
}

// rankInstances orders the entry instances: the first of each data centre, then
// the second of each, and so on.
func rankInstances(service string, instances []view.Instance) []view.Instance {
	type rankedInstance struct {
		round   int
		centre  uint64
		weight  uint64
		ordinal int
	}
	rankedInstances := make([]rankedInstance, 0, len(instances))
	for ix, in := range instances {
		if in.Entry && !in.Draining {
			rankedInstances = append(rankedInstances, rankedInstance{
				centre: hash(service, in.DataCentre), weight: hash(service, in.Name), ordinal: ix,
			})
		}
	}
	slices.SortFunc(rankedInstances, func(ri, ot rankedInstance) int {
		return cmp.Or(cmp.Compare(ri.centre, ot.centre), cmp.Compare(ot.weight, ri.weight),
			cmp.Compare(instances[ri.ordinal].Name, instances[ot.ordinal].Name))
	})
	for ix := 1; ix < len(rankedInstances); ix++ {
		if rankedInstances[ix].centre == rankedInstances[ix-1].centre {
			rankedInstances[ix].round = rankedInstances[ix-1].round + 1
		}
	}
	slices.SortStableFunc(rankedInstances, func(ri, ot rankedInstance) int {
		return cmp.Or(cmp.Compare(ri.round, ot.round), cmp.Compare(ri.centre, ot.centre))
	})
	ranked := make([]view.Instance, len(rankedInstances))
	for ix, ri := range rankedInstances {
		ranked[ix] = instances[ri.ordinal]
	}
	return ranked
}

func hash(service, name string) uint64 {
	return xxhash.Sum64String(service + "\x00" + name)
}

// Selects reports whether the operators assigned the backend server to the
// service, whatever its state.
func Selects(se operator.Service, re *backend.Record) bool {
	sl := se.Selector
	if sl.Service != "" && sl.Service != re.Service {
		return false
	}
	if len(sl.DataCentres) > 0 && !slices.Contains(sl.DataCentres, re.DataCentre) {
		return false
	}
	for key, va := range sl.Labels {
		if re.Labels[key] != va {
			return false
		}
	}
	return !slices.Contains(se.Exclude, re.Server)
}
