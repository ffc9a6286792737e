// Package snapshot identifies the snapshots of an index and chooses the one that a query pins
// before it is sent to any backend server.
package snapshot

import (
	"cmp"
	"fmt"
)

// ID identifies a snapshot: a partition map together with an index version. Responses may be
// merged only if their IDs are equal.
type ID struct {
	Partition uint64 // number of the partition map
	Version   uint64 // index version; higher is newer
}

// String returns the ID as "partition.version".
func (id ID) String() string {
	return fmt.Sprintf("%d.%d", id.Partition, id.Version)
}

// Compare orders IDs from oldest to newest: by index version, then by the number of the
// partition map.
func (id ID) Compare(ot ID) int {
	if co := cmp.Compare(id.Version, ot.Version); co != 0 {
		return co
	}
	return cmp.Compare(id.Partition, ot.Partition)
}
