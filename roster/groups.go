package roster

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Group is a set of callers that use the same backend servers.
type Group struct {
	Key            string // Key identifies the group; it stays the same as long as its backend servers do.
	MaxConnections int    // MaxConnections is how many connections each of these servers accepts; 0 means no limit.
}

// Groups holds the subsets chosen for several groups in all data centres. It is immutable;
// the zero Groups has chosen nothing.
type Groups struct {
	sizes    map[subset]Size
	chosen   map[subset][]Instance
	numReady map[string]int       // numReady counts the ready instances by data centre.
	seenAt   map[string]time.Time // seenAt is when a data centre last had a ready instance.
	sharers  int
}

// absenceTTL is how long a data centre without a ready instance still counts as one that
// has some.
const absenceTTL = 10 * time.Minute

// subset identifies the instances chosen for a group in a data centre.
type subset struct{ key, dataCentre string }

// Update returns the groups after a change of the ready instances or their loads.
func (gs Groups) Update(now time.Time, groups []Group, ins []Instance) Groups {
	byCentre := byDataCentre(ins)
	out := Groups{
		sizes: make(map[subset]Size), chosen: make(map[subset][]Instance), numReady: make(map[string]int),
		seenAt: gs.recentlySeen(now), sharers: len(ins),
	}
	for centre, here := range byCentre {
		out.numReady[centre], out.seenAt[centre] = len(here), now
	}
	for _, gr := range groups {
		bo := NewBounds(gr.MaxConnections, len(out.seenAt))
		count := 0
		for centre := range out.seenAt {
			su := subset{gr.Key, centre}
			si := gs.sizes[su]
			if here := byCentre[centre]; len(here) > 0 {
				si = si.Next(now, bo, totalLoad(here))
				out.chosen[su] = Choose(gr.Key, here, si.Members())
			}
			out.sizes[su] = si
			count += len(out.chosen[su])
		}
		out.sharers = min(out.sharers, count)
	}
	return out
}

// byDataCentre groups instances by their data centre.
func byDataCentre(ins []Instance) map[string][]Instance {
	byCentre := make(map[string][]Instance)
	for _, in := range ins {
		byCentre[in.DataCentre] = append(byCentre[in.DataCentre], in)
	}
	return byCentre
}

// recentlySeen returns when data centres last had a ready instance, without those that have
// been absent for absenceTTL. A data centre that is absent for a while keeps its part of
// the connections: after a power loss of all data centres, the first one to return would
// otherwise take those of the others.
func (gs Groups) recentlySeen(now time.Time) map[string]time.Time {
	out := make(map[string]time.Time, len(gs.seenAt))
	for centre, at := range gs.seenAt {
		if now.Sub(at) < absenceTTL {
			out[centre] = at
		}
	}
	return out
}

// SavedSize is a size as it is persisted for the next start.
type SavedSize struct {
	Key, DataCentre string
	Members         int
}

// SavedSizes returns the sizes, ordered by key and data centre.
func (gs Groups) SavedSizes() []SavedSize {
	out := make([]SavedSize, 0, len(gs.sizes))
	for su, si := range gs.sizes {
		if si.members == 0 {
			continue
		}
		out = append(out, SavedSize{Key: su.key, DataCentre: su.dataCentre, Members: si.members})
	}
	slices.SortFunc(out, func(a, b SavedSize) int {
		return cmp.Or(strings.Compare(a.Key, b.Key), strings.Compare(a.DataCentre, b.DataCentre))
	})
	return out
}

// Restore returns groups with the sizes that were persisted before a restart.
//
// After a power loss of all machines, backend servers still count the old connections and
// reset new ones beyond their limit. If the maximum number of instances were chosen then,
// they would open twice the connections that the load needs, just in these seconds.
func Restore(now time.Time, saved []SavedSize) Groups {
	gs := Groups{sizes: make(map[subset]Size), seenAt: make(map[string]time.Time)}
	for _, sz := range saved {
		if sz.Members > 0 {
			gs.sizes[subset{sz.Key, sz.DataCentre}] = Size{members: sz.Members, changedAt: now}
			gs.seenAt[sz.DataCentre] = now
		}
	}
	return gs
}

// Members returns the names of those of the given instances that callers of any group would
// be directed to at the current sizes.
func (gs Groups) Members(ins []Instance) map[string]bool {
	byCentre := byDataCentre(ins)
	out := make(map[string]bool)
	for su, si := range gs.sizes {
		for _, in := range Choose(su.key, byCentre[su.dataCentre], si.members) {
			out[in.Name] = true
		}
	}
	return out
}

// Sharers returns how many entry instances share the backend servers of the group with the
// fewest such instances.
func (gs Groups) Sharers() int { return gs.sharers }

// Addresses returns the addresses to which callers of a group in a data centre are
// directed; none if all instances may serve them, also those of other data centres.
func (gs Groups) Addresses(key, dataCentre string) []string {
	chosen := gs.chosen[subset{key, dataCentre}]
	if len(chosen) == 0 || len(chosen) == gs.numReady[dataCentre] {
		return nil
	}
	out := make([]string, len(chosen))
	for ix, in := range chosen {
		out[ix] = in.Address
	}
	return out
}
