package route

import (
	"math/rand/v2"
	"slices"
	"sync"
)

const (
	// mostNames bounds the route names that a picker remembers, in each of its two
	// generations.
	mostNames = 4096
	// mostVariants bounds the sets of targets remembered for one route name. While
	// a configuration changes, requests of the old one and the new one alternate.
	mostVariants = 4
	// mostPhase bounds the steps that a new split is moved on. The shares in so
	// many steps are those of the weights to within a thousandth.
	mostPhase = 1024
)

// Picker divides the requests of split routes by smooth weighted round robin.
// Each service gets its exact share of each run of requests as long as the sum
// of the weights, divided by their greatest common divisor. It is safe for
// concurrent use and needs no word of a new configuration: a route with the
// same name and targets goes on where it was.
type Picker struct {
	phase func(n int) int // phase returns a number from 0 to n-1.

	mu      sync.Mutex
	splits  map[string][]*split // splits holds the variants of a route's name, the last used first.
	earlier map[string][]*split // earlier is the generation before.
}

// NewPicker returns a picker that has divided nothing yet.
func NewPicker() *Picker {
	return &Picker{phase: rand.IntN, splits: make(map[string][]*split)}
}

// Pick returns the service that gets the next request of the route. A route
// without targets gives an empty name. The route is meant to come from a Table;
// in any other, negative weights count as 0, and without a weight above 0 the
// first target gets everything.
func (pk *Picker) Pick(ro *Route) string {
	switch len(ro.Targets) {
	case 0:
		return ""
	case 1:
		return ro.Targets[0].Service
	}
	pk.mu.Lock()
	defer pk.mu.Unlock()
	sp := pk.find(ro)
	return sp.targets[sp.next()].Service
}

// find returns the split of a route, and a new one if none is remembered.
func (pk *Picker) find(ro *Route) *split {
	sps, ok := pk.splits[ro.Name]
	if !ok {
		sps = pk.recall(ro.Name)
	}
	ix := slices.IndexFunc(sps, func(sp *split) bool { return slices.Equal(sp.targets, ro.Targets) })
	if ix == 0 {
		return sps[0]
	}
	var sp *split
	if ix > 0 {
		sp = sps[ix]
		sps = slices.Delete(sps, ix, ix+1)
	} else {
		sp = pk.newSplit(ro.Targets)
		sps = sps[:min(len(sps), mostVariants-1)]
	}
	pk.splits[ro.Name] = slices.Insert(sps, 0, sp)
	return sp
}

// recall brings the splits of a name from the earlier generation to this one.
// A full generation becomes the earlier one; names that haven't been asked for
// since then are forgotten.
func (pk *Picker) recall(name string) []*split {
	if len(pk.splits) >= mostNames {
		pk.earlier = pk.splits
		pk.splits = make(map[string][]*split)
	}
	sps := pk.earlier[name]
	delete(pk.earlier, name)
	pk.splits[name] = sps
	return sps
}

// split is the state of smooth weighted round robin: at each step each service
// gains its weight, and the one that has most gets the request and pays the sum.
type split struct {
	targets []Target
	weights []int
	gains   []int
	sum     int
}

// newSplit returns a split at a random place of its sequence. If each began at
// the same place, many instances with a few requests each would all send them
// to the service of the greatest weight, and its share over all instances would
// be too great after each start and each change of weights.
func (pk *Picker) newSplit(ts []Target) *split {
	sp := &split{targets: slices.Clone(ts), weights: make([]int, len(ts)), gains: make([]int, len(ts))}
	divisor := 0
	for ix, ta := range ts {
		sp.weights[ix] = max(0, ta.Weight)
		sp.sum += sp.weights[ix]
		divisor = gcd(divisor, sp.weights[ix])
	}
	if sp.sum == 0 {
		return sp
	}
	for range pk.phase(min(sp.sum/divisor, mostPhase)) {
		sp.next()
	}
	return sp
}

// next returns the place of the service that gets the next request.
func (sp *split) next() int {
	best := 0
	for ix, we := range sp.weights {
		sp.gains[ix] += we
		if sp.gains[ix] > sp.gains[best] {
			best = ix
		}
	}
	sp.gains[best] -= sp.sum
	return best
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
