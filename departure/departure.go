// Package departure decides when the departure of a backend server is stored on enough
// control instances to be acknowledged. Each control instance numbers the departures that it
// learns of; an instance that has stored a number has stored all lower ones.
package departure

import (
	"math"
	"slices"
)

// Needed returns on how many of the control instances a departure must be stored, so that it
// outlives the loss of some of them together with their disks. It is never more than are left
// during such a loss, since a departure must be accepted then, too.
func Needed(losses, instances int) int {
	return max(1, min(losses+1, instances-losses))
}

// Acknowledged returns the highest number that is stored on the needed number of control
// instances, given the highest one that each of them has stored. If none are needed, it is
// the highest of all numbers.
func Acknowledged(needed int, stored []uint64) uint64 {
	switch {
	case needed <= 0:
		return math.MaxUint64
	case needed > len(stored):
		return 0
	}
	sorted := slices.Sorted(slices.Values(stored))
	return sorted[len(sorted)-needed]
}
