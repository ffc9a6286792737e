package limit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamwinch.example/backend"
	"balsamwinch.example/operator"
	"balsamwinch.example/view"
)

// ConnectionShare returns how many connections to a server one instance may
// hold. Control admits at most maxEntries instances at a time, so the shares of
// all of them stay within the limit, also while one replaces another. It is
// zero when there are more instances than connections: then no instance may
// connect, until MaxEntries is lower or the tier hands out seats by service.
func ConnectionsPerInstance(limit, maxEntries int) int {
	if maxEntries <= 0 {
		maxEntries = operator.DefaultMaxEntries
	}
	return max(0, limit) / maxEntries
}

const (
	// leastEntries is how many entries a service has at least, so that one may fail.
	leastEntries = 2
	// mostEntries is up to how many are tried to divide the slots evenly.
	mostEntries = 5
)

// Entries returns how many instances serve a service: the number that its
// configuration gives, or the fewest that divide the slots of its scarcest
// server without a rest. Entries with whole slots can't collide; those with
// less than one each can only collide or coordinate for each request, and what
// is left over is hardly used (BenchmarkSlots, BenchmarkSurge). It returns zero,
// for all of them, if no server is known.
func NumEntries(se operator.Service, servers []backend.Record) int {
	scarcest := 0
	for ix := range servers {
		re := &servers[ix]
		if re.Slots > 0 && (scarcest == 0 || re.Slots < scarcest) && Selects(se, re) {
			scarcest = re.Slots
		}
	}
	return entriesOf(se, scarcest)
}

func entriesOf(se operator.Service, scarcest int) int {
	if se.Entries > 0 || scarcest == 0 {
		return se.Entries
	}
	for n := leastEntries; n <= mostEntries; n++ {
		if scarcest%n == 0 {
			return n
		}
	}
	return leastEntries
}

// Subset returns the instances that serve a service of which only the given
// number of entries may; zero or less means all. Draining instances and those
// without the entry role are left out. The choice is by rendezvous hashing, in
// turn over the data centres: when one instance comes or goes, at most one
// other takes or loses a place.
func Subset(service string, entries int, instances []view.Instance) []view.Instance {
	ranked := rank(service, instances)
	if entries <= 0 || entries >= len(ranked) {
		return ranked
	}
	return ranked[:entries]
}

// rank orders the entry instances: the first of each data centre, then the
// second of each, and so on.
func rank(service string, instances []view.Instance) []view.Instance {
	type place struct {
		round   int
		centre  uint64
		weight  uint64
		ordinal int
	}
	places := make([]place, 0, len(instances))
	for ix, in := range instances {
		if in.Entry && !in.Draining {
			places = append(places, place{
				centre: weigh(service, in.DataCentre), weight: weigh(service, in.Name), ordinal: ix,
			})
		}
	}
	slices.SortFunc(places, func(pl, ot place) int {
		return cmp.Or(cmp.Compare(pl.centre, ot.centre), cmp.Compare(ot.weight, pl.weight),
			cmp.Compare(instances[pl.ordinal].Name, instances[ot.ordinal].Name))
	})
	for ix := 1; ix < len(places); ix++ {
		if places[ix].centre == places[ix-1].centre {
			places[ix].round = places[ix-1].round + 1
		}
	}
	slices.SortStableFunc(places, func(pl, ot place) int {
		return cmp.Or(cmp.Compare(pl.round, ot.round), cmp.Compare(pl.centre, ot.centre))
	})
	ranked := make([]view.Instance, len(places))
	for ix, pl := range places {
		ranked[ix] = instances[pl.ordinal]
	}
	return ranked
}

func weigh(service, name string) uint64 {
	return xxhash.Sum64String(service + "\x00" + name)
}

// Selects reports whether the operators gave the service the backend server,
// whatever its state.
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
