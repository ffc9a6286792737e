// Package roster chooses the subsets of entry instances to which callers are directed. If
// many entry instances shared backend servers that accept few connections, each of them
// would hold at most one connection to each server, open a new one for one request in four,
// and see too few requests to learn from them. So callers of the same shards are directed
// to a subset of the entry instances: as few as their load allows, and no more than there
// are connections for.
//
// Every control instance decides on its own. Given the same instances all choose the same
// ones, by rendezvous hashing, so that no agreement is needed. The sizes that they choose
// may differ slightly for a while, which does no harm. An instance outside the subset still
// serves every caller that comes. The package does no I/O and reads no clock.
package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ConnectionFraction is the part of a backend server's connections that the chosen
	// instances may hold together. The rest is for instances that are not chosen, and for
	// closed connections whose end the server hasn't seen yet. Code that divides the
	// connections among instances uses it, too.
	ConnectionFraction = 0.8
	// targetConnections is how many connections to each backend server an instance should
	// be allowed. With one, a second request to the same server waits or goes to a slower
	// server, and is most often the first on a new connection.
	targetConnections = 2
	// minMembers is the minimum number of instances chosen in a data centre: one may fail,
	// and callers that exclude it need another.
	minMembers = 3
	// shrinkInterval is the time between two reductions, and shrinkFraction the part of the
	// excess that a reduction removes. Callers keep a list for some seconds and move
	// gradually, whereas growth takes effect at once.
	shrinkInterval = time.Second
	shrinkFraction = 0.25
	// minExcess is the excess from which the size is reduced. The load of a data centre
	// varies by the target load of one instance within seconds: when an excess of one was
	// reduced, five control instances sent all entry instances a new number 220 times in 23
	// s.
	minExcess = 2
)

// Instance is an entry instance that is ready for callers.
type Instance struct {
	Name       string
	DataCentre string
	Address    string
	// Load is the instance's load relative to its target; 1 means exactly the target.
	Load float64
}

// Bounds are the minimum and maximum number of instances chosen in one data centre.
type Bounds struct{ Min, Max int }

// NewBounds returns the bounds for backend servers that accept limit connections each,
// where dataCentres is the number of data centres with entry instances. A limit of 0 means
// none.
func NewBounds(limit, dataCentres int) Bounds {
	if limit <= 0 || dataCentres <= 0 {
		return Bounds{Min: math.MaxInt32, Max: math.MaxInt32}
	}
	allowed := ConnectionFraction * float64(limit) / float64(dataCentres)
	return Bounds{
		Min: max(minMembers, int(allowed/targetConnections)),
		Max: max(minMembers, int(allowed)),
	}
}

// Size is how many instances of a data centre are chosen. The zero Size is that before the
// first update. It is immutable.
type Size struct {
	members   int
	changedAt time.Time
}

// Members returns how many instances are chosen.
func (si Size) Members() int { return si.members }

// Next returns the size for the total load of all instances, which is the sum of their
// Loads. The first call chooses the maximum, because the load to come is unknown, and as
// long as there is no load the size stays there.
func (si Size) Next(now time.Time, bo Bounds, load float64) Size {
	want := min(max(int(math.Ceil(load)), bo.Min), bo.Max)
	switch {
	case si.members == 0:
		return Size{members: bo.Max, changedAt: now}
	case want >= si.members:
		return Size{members: want, changedAt: now}
	case si.members > bo.Max:
		return Size{members: bo.Max, changedAt: now}
	case load == 0 || si.members-want < minExcess || now.Sub(si.changedAt) < shrinkInterval:
		return si
	default:
		step := int(math.Ceil(shrinkFraction * float64(si.members-want)))
		return Size{members: si.members - step, changedAt: now}
	}
}

// Choose returns the given number of instances for a key, or all if there are no more. The
// choice does not depend on the order of the instances, and one instance more or less
// changes it by at most one.
func Choose(key string, ins []Instance, members int) []Instance {
	if len(ins) <= members {
		return ins
	}
	type ranked struct {
		in  Instance
		sum uint64
	}
	ras := make([]ranked, len(ins))
	for ix, in := range ins {
		ras[ix] = ranked{in, xxhash.Sum64String(key + "\x00" + in.Name)}
	}
	slices.SortFunc(ras, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.sum, a.sum), cmp.Compare(a.in.Name, b.in.Name))
	})
	out := make([]Instance, members)
	for ix := range out {
		out[ix] = ras[ix].in
	}
	return out
}

// totalLoad returns the sum of the instances' loads. It includes instances that are not
// chosen, because their callers move to the chosen ones.
func totalLoad(ins []Instance) float64 {
	sum := 0.0
	for _, in := range ins {
		sum += in.Load
	}
	return sum
}
