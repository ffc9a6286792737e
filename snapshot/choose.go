package snapshot

import (
	"slices"
)

// Partition is a partition map: a number and the shards that an index is split into.
type Partition struct {
	Number uint64
	Shards []string
}

// Holder states that a backend server holds a shard of a snapshot.
type Holder struct {
	Server   string
	Shard    string
	Snapshot ID
}

// Coverage is a snapshot with the shards that a query needs, in the order of the partition
// map, and those that no server holds.
type Coverage struct {
	Snapshot ID
	Shards   []string // shards that the query needs, held or not
	Missing  []string // needed shards without a holder
}

// Full reports whether every shard has a holder.
func (co Coverage) Full() bool {
	return len(co.Missing) == 0
}

// held returns the number of shards with a holder.
func (co Coverage) held() int {
	return len(co.Shards) - len(co.Missing)
}

// Choose returns the snapshot that a query should pin: the newest one with a holder for every
// wanted shard. If there is none, it returns the one with the largest fraction of its shards
// held, and the newest among equals. The fraction decides and not the number, because a map of
// eight shards with four held covers less of the index than a map of four with three held.
// Only snapshots of the given partition maps count, and only maps that contain every wanted
// shard; no wanted shards means all. Choose returns false if no such snapshot has a holder.
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
		needed, ok := neededShards(partitions, id.Partition, wanted)
		if !ok {
			continue
		}
		if co := newCoverage(id, needed, shs); co.held() > 0 && isBetter(co, best) {
			best = co
		}
	}
	return best, best.held() > 0
}

// neededShards returns the shards of the given partition map that a query for the wanted ones
// needs, in the order of the map. It returns false if the map lacks one of them.
func neededShards(partitions []Partition, number uint64, wanted []string) ([]string, bool) {
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

// newCoverage returns the coverage of the needed shards of a snapshot by its holders.
func newCoverage(id ID, needed []string, held map[string]bool) Coverage {
	co := Coverage{Snapshot: id, Shards: needed}
	for _, sh := range needed {
		if !held[sh] {
			co.Missing = append(co.Missing, sh)
		}
	}
	return co
}

// isBetter reports whether a coverage with at least one holder is preferable to another, which
// may be empty. Fractions are compared by cross multiplication.
func isBetter(co, ot Coverage) bool {
	if ot.held() == 0 {
		return true
	}
	score, otherScore := co.held()*len(ot.Shards), ot.held()*len(co.Shards)
	if score != otherScore {
		return score > otherScore
	}
	return co.Snapshot.Compare(ot.Snapshot) > 0
}
