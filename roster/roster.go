// Package roster decides to which entry instances callers are led. Where many entry
// instances share backend servers that take few connections, each of them would hold at
// most one to each server, open it anew for one request in four, and see so few requests
// that it learns nothing. So callers of the same shards are led to a part of the entry
// instances: as few as their load allows, and no more than there are connections for.
//
// Every control instance decides by itself. From the same instances all choose the same
// ones, as rendezvous hashing makes them, so that nothing has to be agreed; how many they
// choose may differ by a few for a while and does no harm. An instance that isn't chosen
// serves whoever comes all the same. The package asks nobody and reads no clock.
package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ConnectionShare is the part of a backend server's connections that the chosen
	// instances may hold together. The rest is for those that are not chosen, and for
	// connections of which the server hasn't seen the end yet. Who divides connections
	// among them goes by it, too.
	ConnectionFraction = 0.8
	// enoughConnections is how many connections to each backend server an instance should
	// have room for. With one, a second request to the same server waits or goes to a
	// slower one, and is most often the first on a new connection.
	enoughConnections = 2
	// leastMembers is how many instances are chosen in a data centre at least: one may be
	// lost, and callers who exclude it need another.
	leastMembers = 3
	// shrinkPause is the time between two steps down, and shrinkPart the part of what is
	// too many that a step takes away. Callers keep a list for some seconds and move by
	// and by, while growth is at once.
	shrinkPause = time.Second
	shrinkPart  = 0.25
	// leastExcess is from how many too many on a step down is taken. The load of a data
	// centre moves by what one instance should carry within seconds: with a step for a
	// single one, five control instances told all entry instances of another number 220
	// times in 23 s.
	leastExcess = 2
)

// Instance is an entry instance that is ready for callers.
type Instance struct {
	Name       string
	DataCentre string
	Address    string
	// Load is what the instance carries as a part of what it should, 1 for just that.
	Load float64
}

// Bounds are how many instances may be chosen in one data centre.
type Bounds struct{ Min, Max int }

// NewBounds returns the bounds of a data centre for backend servers that take so many
// connections, where dataCentres have entry instances. A limit of 0 is none.
func NewBounds(limit, dataCentres int) Bounds {
	if limit <= 0 || dataCentres <= 0 {
		return Bounds{Min: math.MaxInt32, Max: math.MaxInt32}
	}
	held := ConnectionFraction * float64(limit) / float64(dataCentres)
	return Bounds{
		Min: max(leastMembers, int(held/enoughConnections)),
		Max: max(leastMembers, int(held)),
	}
}

// Size is how many instances of a data centre are chosen. The zero Size is that of one
// that hasn't looked yet. It is immutable.
type Size struct {
	members int
	shrunk  time.Time
}

// Members returns how many instances are chosen.
func (si Size) Members() int { return si.members }

// With returns the size after a look at what all instances carry together, as the sum of
// their Loads. The first look chooses as many as there may be: how much they will carry
// isn't known, and while nobody carries anything it stays so.
func (si Size) Next(now time.Time, bo Bounds, load float64) Size {
	want := min(max(int(math.Ceil(load)), bo.Min), bo.Max)
	switch {
	case si.members == 0:
		return Size{members: bo.Max, shrunk: now}
	case want >= si.members:
		return Size{members: want, shrunk: now}
	case si.members > bo.Max:
		return Size{members: bo.Max, shrunk: now}
	case load == 0 || si.members-want < leastExcess || now.Sub(si.shrunk) < shrinkPause:
		return si
	default:
		step := int(math.Ceil(shrinkPart * float64(si.members-want)))
		return Size{members: si.members - step, shrunk: now}
	}
}

// Choose returns so many of the instances for a key, or all if there are no more. The
// same instances give the same choice in whatever order they come; one instance more or
// less changes it by one.
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

// total returns the sum of the instances' loads. One that isn't chosen counts too: its
// callers move to those that are.
func total(ins []Instance) float64 {
	sum := 0.0
	for _, in := range ins {
		sum += in.Load
	}
	return sum
}
