package roster

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Group is the callers of the same backend servers.
type Group struct {
	Key            string // Key names the group; it stays while its backend servers do.
	MaxConnections int    // Limit is how many connections each of these servers takes; 0 if any number.
}

// Groups is what was decided for several groups in all data centres. It is immutable; the
// zero Groups has decided nothing.
type Groups struct {
	sizes   map[place]Size
	chosen  map[place][]Instance
	ready   map[string]int       // ready counts the instances by data centre.
	seen    map[string]time.Time // seen is when a data centre had an instance last.
	sharers int
}

// awayFor is for how long a data centre without an instance still counts as one.
const awayFor = 10 * time.Minute

// place is a group in a data centre.
type place struct{ key, dataCentre string }

// With returns what is decided after a look at the instances that are ready.
func (gs Groups) Update(now time.Time, groups []Group, ins []Instance) Groups {
	by := byDataCentre(ins)
	out := Groups{
		sizes: make(map[place]Size), chosen: make(map[place][]Instance), ready: make(map[string]int),
		seen: gs.lately(now), sharers: len(ins),
	}
	for centre, here := range by {
		out.ready[centre], out.seen[centre] = len(here), now
	}
	for _, gr := range groups {
		bo := NewBounds(gr.MaxConnections, len(out.seen))
		count := 0
		for centre := range out.seen {
			pl := place{gr.Key, centre}
			si := gs.sizes[pl]
			if here := by[centre]; len(here) > 0 {
				si = si.Next(now, bo, total(here))
				out.chosen[pl] = Choose(gr.Key, here, si.Members())
			}
			out.sizes[pl] = si
			count += len(out.chosen[pl])
		}
		out.sharers = min(out.sharers, count)
	}
	return out
}

// byDataCentre divides instances by their data centre.
func byDataCentre(ins []Instance) map[string][]Instance {
	by := make(map[string][]Instance)
	for _, in := range ins {
		by[in.DataCentre] = append(by[in.DataCentre], in)
	}
	return by
}

// lately returns when data centres had an instance last, of those that did lately. One
// that is away for a while keeps its part of the connections: after a loss of power of
// all, the first data centre to be back would otherwise take those of the others.
func (gs Groups) lately(now time.Time) map[string]time.Time {
	out := make(map[string]time.Time, len(gs.seen))
	for centre, at := range gs.seen {
		if now.Sub(at) < awayFor {
			out[centre] = at
		}
	}
	return out
}

// Noted is a size as it is noted for the next start.
type SavedSize struct {
	Key, DataCentre string
	Members         int
}

// Note returns the sizes, in the order of their keys and data centres.
func (gs Groups) SavedSizes() []SavedSize {
	out := make([]SavedSize, 0, len(gs.sizes))
	for pl, si := range gs.sizes {
		if si.members == 0 {
			continue
		}
		out = append(out, SavedSize{Key: pl.key, DataCentre: pl.dataCentre, Members: si.members})
	}
	slices.SortFunc(out, func(a, b SavedSize) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), strings.Compare(a.DataCentre, b.DataCentre))
	})
	return out
}

// Restore returns groups of the sizes that were noted before a start.
//
// After a loss of power of all, backend servers still count the connections of before and
// reset what is beyond their limit. Were as many instances chosen as there may be, they
// would open twice the connections that the load needs, in just these seconds.
func Restore(now time.Time, nos []SavedSize) Groups {
	gs := Groups{sizes: make(map[place]Size), seen: make(map[string]time.Time)}
	for _, no := range nos {
		if no.Members > 0 {
			gs.sizes[place{no.Key, no.DataCentre}] = Size{members: no.Members, shrunk: now}
			gs.seen[no.DataCentre] = now
		}
	}
	return gs
}

// Members returns the names of those of the instances that callers of any group would be
// led to at the sizes of now.
func (gs Groups) Members(ins []Instance) map[string]bool {
	by := byDataCentre(ins)
	out := make(map[string]bool)
	for pl, si := range gs.sizes {
		for _, in := range Choose(pl.key, by[pl.dataCentre], si.members) {
			out[in.Name] = true
		}
	}
	return out
}

// Sharers returns how many entry instances share the backend servers of the group with
// the fewest.
func (gs Groups) Sharers() int { return gs.sharers }

// Addresses returns the addresses that a caller of a group in a data centre is led to;
// none if all instances may serve it, also those of other data centres.
func (gs Groups) Addresses(key, dataCentre string) []string {
	chosen := gs.chosen[place{key, dataCentre}]
	if len(chosen) == 0 || len(chosen) == gs.ready[dataCentre] {
		return nil
	}
	out := make([]string, len(chosen))
	for ix, in := range chosen {
		out[ix] = in.Address
	}
	return out
}
