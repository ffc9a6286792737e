package leaf

import (
	"slices"

	"balsamwinch.example/backend"
	"balsamwinch.example/snapshot"
)

// index is the snapshots that a Leaf holds, oldest first. It is immutable.
type index struct {
	keep int
	held []held
}

// held is one snapshot and the shards of it that the Leaf holds.
type held struct {
	id     snapshot.ID
	shards []string
}

func newIndex(keep int, id snapshot.ID, shards []string) index {
	return index{keep: keep}.with(held{id: id, shards: shards})
}

func (ix index) newest() held {
	return ix.held[len(ix.held)-1]
}

// with returns the index with one snapshot more and without the oldest ones that
// are too many. A snapshot that is held already stays as it is.
func (ix index) with(he held) index {
	if slices.ContainsFunc(ix.held, func(ot held) bool { return ot.id == he.id }) {
		return ix
	}
	all := append(slices.Clone(ix.held), he)
	slices.SortFunc(all, func(aa, bb held) int { return aa.id.Compare(bb.id) })
	if len(all) > ix.keep {
		all = all[len(all)-ix.keep:]
	}
	return index{keep: ix.keep, held: all}
}

// withVersion returns the index with a newer version of the newest partition map.
func (ix index) withVersion(version uint64) index {
	ne := ix.newest()
	return ix.with(held{id: snapshot.ID{Partition: ne.id.Partition, Version: version}, shards: ne.shards})
}

// withPartition returns the index with another partition map.
func (ix index) withPartition(id snapshot.ID, shards []string) index {
	return ix.with(held{id: id, shards: shards})
}

// check says whether the Leaf can answer for the shard from the snapshot: OK,
// VersionGone or WrongShard.
func (ix index) check(shard string, id snapshot.ID) backend.ReplyCode {
	for _, he := range ix.held {
		if he.id != id {
			continue
		}
		if slices.Contains(he.shards, shard) {
			return backend.ReplyOK
		}
		return backend.ReplyWrongShard
	}
	return backend.ReplyVersionGone
}

func (ix index) holdings() []backend.Holding {
	var hs []backend.Holding
	for _, he := range ix.held {
		for _, sh := range he.shards {
			hs = append(hs, backend.Holding{Shard: sh, Snapshot: he.id})
		}
	}
	return hs
}
