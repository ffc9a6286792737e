package snapshot

import (
	"slices"
)

// Partition is one partition map: a number and the shards that make it up.
type Partition struct {
	Number uint64
	Shards []string
}

// Holder says that a backend server can answer for a shard from a snapshot.
type Holder struct {
	Server   string
	Shard    string
	Snapshot ID
}

// Coverage is a snapshot and the shards that a query of it has to ask for, in
// the order of the partition map, with those that have no holder.
type Coverage struct {
	Snapshot ID
	Shards   []string // Shards are all that the query needs, held or not.
	Missing  []string // Missing are those of Shards that nobody holds.
}

// Full reports whether each shard has a holder.
func (co Coverage) Full() bool {
	return len(co.Missing) == 0
}

// held returns how many shards have a holder.
func (co Coverage) held() int {
	return len(co.Shards) - len(co.Missing)
}

// Choose returns the snapshot that a query should pin: the newest that every
// wanted shard can be had from, else the one with the greatest share of its
// shards held, and the newest among equals. The share and not the number counts,
// because a map of eight shards with four held covers less of the index than a
// map of four with three held. Only snapshots whose partition map is among the
// given ones count, and of these only maps that have every wanted shard; no
// wanted shards means all. It returns false when no such snapshot has a holder.
func Choose(partitions []Partition, holders []Holder, wanted []string) (Coverage, bool) {
	held := make(map[ID]map[string]bool)
	for _, ho := range holders {
		if held[ho.Snapshot] == nil {
			held[ho.Snapshot] = make(map[string]bool)
		}
		held[ho.Snapshot][ho.Shard] = true
	}
	var best Coverage
	for id, shs := range held {
		needed, ok := needs(partitions, id.Partition, wanted)
		if !ok {
			continue
		}
		if co := cover(id, needed, shs); co.held() > 0 && better(co, best) {
			best = co
		}
	}
	return best, best.held() > 0
}

// needs returns the shards of the numbered partition map that a query for the
// wanted ones has to ask for. It returns false if the map lacks one of them.
func needs(partitions []Partition, number uint64, wanted []string) ([]string, bool) {
	ix := slices.IndexFunc(partitions, func(pa Partition) bool { return pa.Number == number })
	if ix < 0 {
		return nil, false
	}
	all := partitions[ix].Shards
	if len(wanted) == 0 {
		return all, true
	}
	for _, sh := range wanted {
		if !slices.Contains(all, sh) {
			return nil, false
		}
	}
	var shs []string
	for _, sh := range all {
		if slices.Contains(wanted, sh) {
			shs = append(shs, sh)
		}
	}
	return shs, true
}

// cover counts the holders of one snapshot against the shards needed of it.
func cover(id ID, needed []string, held map[string]bool) Coverage {
	co := Coverage{Snapshot: id, Shards: needed}
	for _, sh := range needed {
		if !held[sh] {
			co.Missing = append(co.Missing, sh)
		}
	}
	return co
}

// better reports whether a coverage with holders is to be preferred to another,
// which may be empty. Shares are compared by cross multiplication.
func better(co, ot Coverage) bool {
	if ot.held() == 0 {
		return true
	}
	here, there := co.held()*len(ot.Shards), ot.held()*len(co.Shards)
	if here != there {
		return here > there
	}
	return co.Snapshot.Compare(ot.Snapshot) > 0
}
