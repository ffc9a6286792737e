// Package snapshot names the snapshots of an index and decides which one a
// query pins before its first backend server is asked.
package snapshot

import (
	"cmp"
	"fmt"
)

// ID names one snapshot: a partition map together with an index version. Two
// answers may be merged only if their IDs are equal.
type ID struct {
	Partition uint64 // Partition is the number of the partition map.
	Version   uint64 // Version is the index version; higher is newer.
}

// String returns the ID as "partition.version".
func (id ID) String() string {
	return fmt.Sprintf("%d.%d", id.Partition, id.Version)
}

// Compare orders IDs from oldest to newest: by index version, and by partition
// map among equal versions.
func (id ID) Compare(ot ID) int {
	if co := cmp.Compare(id.Version, ot.Version); co != 0 {
		return co
	}
	return cmp.Compare(id.Partition, ot.Partition)
}
