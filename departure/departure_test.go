package departure

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestNeeded(t *testing.T) {
	for _, tt := range []struct{ losses, instances, needed int }{
		{0, 1, 1},
		{0, 3, 1},
		{1, 1, 1},
		{1, 2, 1},
		{1, 3, 2},
		{1, 9, 2},
		{2, 4, 2},
		{2, 5, 3},
		{2, 9, 3},
	} {
		qt.Check(t, Needed(tt.losses, tt.instances), qt.Equals, tt.needed, qt.Commentf("%d of %d", tt.losses, tt.instances))
	}
}

func TestAcknowledged(t *testing.T) {
	for _, tt := range []struct {
		name   string
		needed int
		stored []uint64
		want   uint64
	}{
		{"none needed", 0, nil, math.MaxUint64},
		{"nobody has stored anything", 2, nil, 0},
		{"too few instances", 2, []uint64{7}, 0},
		{"own disk only", 1, []uint64{7, 0, 0}, 7},
		{"one of two behind", 2, []uint64{7, 0, 5}, 5},
		{"own disk behind", 2, []uint64{0, 7, 6}, 6},
		{"three of five", 3, []uint64{9, 1, 4, 8, 2}, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, Acknowledged(tt.needed, tt.stored), qt.Equals, tt.want)
		})
	}
}
