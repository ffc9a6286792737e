package leaf

import (
	"slices"

	"balsamwinch.example/backend"
	"balsamwinch.example/snapshot"
)

// index holds the snapshots of a Leaf, oldest first. It is immutable.
type index struct {
	maxSnapshots int
	snapshots    []heldSnapshot
}

// heldSnapshot is a snapshot and those of its shards that the Leaf holds.
type heldSnapshot struct {
	id     snapshot.ID
	shards []string
}

func newIndex(maxSnapshots int, id snapshot.ID, shards []string) index {
	return index{maxSnapshots: maxSnapshots}.with(heldSnapshot{id: id, shards: shards})
}

func (ix index) newest() heldSnapshot {
	return ix.snapshots[len(ix.snapshots)-1]
}

// with returns the index with one more snapshot, without the oldest ones beyond the maximum. A
// snapshot that is already held stays unchanged.
func (ix index) with(he heldSnapshot) index {
	if slices.ContainsFunc(ix.snapshots, func(ot heldSnapshot) bool { return ot.id == he.id }) {
		return ix
	}
	all := append(slices.Clone(ix.snapshots), he)
	slices.SortFunc(all, func(aa, bb heldSnapshot) int { return aa.id.Compare(bb.id) })
	if len(all) > ix.maxSnapshots {
		all = all[len(all)-ix.maxSnapshots:]
	}
	return index{maxSnapshots: ix.maxSnapshots, snapshots: all}
}

// withVersion returns the index with another version of the newest partition map.
func (ix index) withVersion(version uint64) index {
	ne := ix.newest()
	return ix.with(heldSnapshot{id: snapshot.ID{Partition: ne.id.Partition, Version: version}, shards: ne.shards})
}

// withPartition returns the index with another partition map.
func (ix index) withPartition(id snapshot.ID, shards []string) index {
	return ix.with(heldSnapshot{id: id, shards: shards})
}

// check returns whether the Leaf can answer for the shard from the snapshot: ReplyOK,
// ReplyVersionGone or ReplyWrongShard.
func (ix index) check(shard string, id snapshot.ID) backend.ReplyCode {
	for _, he := range ix.snapshots {
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
	for _, he := range ix.snapshots {
		for _, sh := range he.shards {
			hs = append(hs, backend.Holding{Shard: sh, Snapshot: he.id})
		}
	}
	return hs
}
